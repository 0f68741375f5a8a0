// Package budget decides how much may cross zones: a budget of bytes over any
// window of a length, kept by reservations before a send that are settled
// afterwards. It does no I/O, reads no clock and draws nothing by chance.
//
// The budget of an installation is shared evenly by fleet size. A relay's part is
// a bucket that holds the burst and refills so that burst and refill of one
// window are the budget: over any window, wherever it begins, no more is
// reserved. What a class may take depends on its worth: the lower part of the
// bucket is held for worthier ones. Classes that must not be stopped may draw it
// below empty, down to their overdraft; later traffic pays that back, as the
// bucket fills from there.
package budget

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// Class is what the budget knows of a class of messages.
type Class struct {
	Worth     float64
	Overdraft float64 // bytes below empty that this class may draw, of the installation; 0: it waits
	Limit     float64 // bytes over a window of this class alone, of the installation; 0 for none
}

// Settings of a budget.
type Settings struct {
	Bytes  float64       // over any window, of the installation
	Window time.Duration // above 0
	Burst  float64       // share of Bytes that may go at once, above 0 and at most 1
	Held   float64       // share of the burst held for worthier classes, below 1
	// First is the size of an exchange, both ways, before any was seen.
	First   float64
	Classes []Class
}

// The learning of sizes: a new exchange weighs 1/8, as in RFC 6298's smoothing of
// round trips, and so many mean deviations are added for safety.
const (
	weight = 1.0 / 8
	safety = 2
)

// bucket holds bytes, and refills.
type bucket struct {
	size, rate float64 // bytes, bytes a second
	have       float64
	at         time.Duration
}

// newBucket holds the burst, but one exchange at least where the budget has it:
// the part of one relay out of many may be small.
func newBucket(bytes, burst, least float64, window time.Duration) bucket {
	size := math.Max(bytes*burst, math.Min(bytes, least))
	return bucket{size: size, rate: (bytes - size) / window.Seconds(), have: size}
}

func (b *bucket) fill(now time.Duration) {
	if now > b.at {
		b.have = math.Min(b.size, b.have+b.rate*(now-b.at).Seconds())
		b.at = now
	}
}

// until is when the bucket holds so much, math.MaxInt64 for never.
func (b *bucket) until(now time.Duration, level float64) time.Duration {
	missing := level - b.have
	switch {
	case missing <= 0:
		return now
	case level > b.size || b.rate <= 0:
		return math.MaxInt64
	}
	return now + time.Duration(math.Ceil(missing/b.rate*1e9))
}

// sizes learns how large exchanges are.
type sizes struct{ mean, dev float64 }

func (s *sizes) add(n float64) {
	if s.mean == 0 {
		s.mean, s.dev = n, n/2
		return
	}
	s.dev += weight * (math.Abs(n-s.mean) - s.dev)
	s.mean += weight * (n - s.mean)
}

// Grant is a reservation.
type Grant struct {
	class, partner int
	bytes          float64
	over           bool // drawn below empty
}

// Book is one relay's part of a budget. It is not safe for concurrent use.
type Book struct {
	set   Settings
	fleet int
	all   bucket
	own   []bucket // by class, where it has a limit
	floor []float64
	sizes map[[2]int]*sizes
	large []float64 // by class: estimate of the largest partner seen
	now   time.Duration

	// Totals of this relay, bytes.
	Reserved  float64 // out now
	Spent     float64 // settled
	Overdrawn float64 // granted below empty
	Beyond    float64 // by which settled exchanges were larger than reserved
}

// New makes the book of one relay out of a fleet.
func New(s Settings, fleet int) (*Book, error) {
	switch {
	case s.Bytes <= 0 || s.Window <= 0:
		return nil, fmt.Errorf("budget: %v bytes over %v, both must be above 0", s.Bytes, s.Window)
	case s.Burst <= 0 || s.Burst > 1:
		return nil, fmt.Errorf("budget: burst is %v, must be above 0 and at most 1", s.Burst)
	case s.Held < 0 || s.Held >= 1:
		return nil, fmt.Errorf("budget: held is %v, must be at least 0 and below 1", s.Held)
	case fleet < 1:
		return nil, fmt.Errorf("budget: fleet is %d, must be at least 1", fleet)
	case s.First <= 0:
		return nil, fmt.Errorf("budget: first size is %v, must be above 0", s.First)
	}
	b := &Book{set: s, sizes: map[[2]int]*sizes{}, large: make([]float64, len(s.Classes))}
	for i := range b.large {
		b.large[i] = s.First
	}
	b.share(fleet)
	return b, nil
}

// share sizes the buckets for a fleet; what they held stays, as far as it fits.
func (b *Book) share(fleet int) {
	b.fleet = fleet
	n := float64(fleet)
	resize := func(k *bucket, bytes float64) {
		was := *k
		*k = newBucket(bytes/n, b.set.Burst, b.set.First, b.set.Window)
		if k.at = b.now; was.size > 0 {
			k.have = math.Min(was.have, k.size)
		}
	}
	resize(&b.all, b.set.Bytes)
	if b.own == nil {
		b.own = make([]bucket, len(b.set.Classes))
	}
	// The worthiest may empty the bucket; the floor of the others rises evenly to
	// the held part of the burst, by the rank of their worth.
	var worths []float64
	for i, c := range b.set.Classes {
		worths = append(worths, c.Worth)
		if c.Limit > 0 {
			resize(&b.own[i], c.Limit)
		}
	}
	slices.SortFunc(worths, func(x, y float64) int { return cmp.Compare(y, x) })
	worths = slices.Compact(worths)
	b.floor = b.floor[:0]
	for _, c := range b.set.Classes {
		rank := float64(slices.Index(worths, c.Worth))
		b.floor = append(b.floor, b.all.size*b.set.Held*rank/math.Max(1, float64(len(worths)-1)))
	}
}

// Fleet says how many relays share the budget now. A fleet that is thought too
// small would overspend: tell deaths late and joins early.
func (b *Book) Fleet(now time.Duration, n int) {
	if b.tick(now); n >= 1 && n != b.fleet {
		b.share(n)
	}
}

// Lower changes the budget at a reload. What is spent stays spent: a bucket that
// holds more than it may loses the rest.
func (b *Book) Lower(now time.Duration, bytes float64) {
	if b.tick(now); bytes > 0 {
		b.set.Bytes = bytes
		b.share(b.fleet)
	}
}

// tick takes in the time; a clock that runs backwards stands still.
func (b *Book) tick(now time.Duration) {
	b.now = max(b.now, now)
	b.all.fill(b.now)
	for i := range b.own {
		if b.set.Classes[i].Limit > 0 {
			b.own[i].fill(b.now)
		}
	}
}

// Estimate is how large the next exchange is taken to be, bytes both ways.
func (b *Book) Estimate(class, partner int) float64 {
	if s := b.sizes[[2]int{class, partner}]; s != nil && s.mean > 0 {
		return s.mean + safety*s.dev
	}
	return b.large[class]
}

// Toll is what a class may do now: an exchange takes Cost, and the bucket may not
// sink below Floor by it, for one short of time not below Urgent; nor Own below 0.
type Toll struct {
	Cost, Floor, Urgent, Own float64
	Again                    time.Duration // when Floor lets one pass; math.MaxInt64 for never
}

// Tolls tell what the bucket holds and what each class may draw.
func (b *Book) Tolls(now time.Duration) (left float64, classes []Toll) {
	b.tick(now)
	for i, c := range b.set.Classes {
		t := Toll{Cost: b.large[i], Floor: b.lowest(i), Own: math.Inf(1)}
		t.Urgent = math.Min(0, t.Floor)
		t.Again = b.all.until(b.now, t.Floor+t.Cost)
		if c.Limit > 0 {
			t.Own = b.own[i].have
			t.Again = max(t.Again, b.own[i].until(b.now, t.Cost))
		}
		classes = append(classes, t)
	}
	return b.all.have, classes
}

// lowest is the level to which a class may draw the bucket.
func (b *Book) lowest(class int) float64 {
	if o := b.set.Classes[class].Overdraft; o > 0 {
		return -o / float64(b.fleet)
	}
	return b.floor[class]
}

// Reserve books a send that the decision module made by the tolls. It never
// refuses: there was room, and what is sent is sent.
func (b *Book) Reserve(now time.Duration, class, partner int) Grant {
	b.tick(now)
	g := Grant{class: class, partner: partner, bytes: b.large[class]}
	b.all.have -= g.bytes
	b.own[class].have -= g.bytes
	if g.over = b.all.have < 0; g.over {
		b.Overdrawn += math.Min(g.bytes, -b.all.have)
	}
	b.Reserved += g.bytes
	return g
}

// Settle ends a reservation by the bytes that passed. What it had too much
// comes back; what was too little is a debt that the bucket pays first.
func (b *Book) Settle(now time.Duration, g Grant, passed int64, whole bool) {
	b.tick(now)
	n := float64(passed)
	b.Reserved -= g.bytes
	b.Spent += n
	b.all.have = math.Min(b.all.size, b.all.have+g.bytes-n)
	b.own[g.class].have += g.bytes - n
	if size := b.own[g.class].size; size > 0 {
		b.own[g.class].have = math.Min(b.own[g.class].have, size)
	}
	b.Beyond += math.Max(0, n-g.bytes)
	if !whole && n < g.bytes {
		return // cut off: its size says nothing
	}
	k := [2]int{g.class, g.partner}
	s := b.sizes[k]
	if s == nil {
		s = &sizes{}
		b.sizes[k] = s
	}
	s.add(n)
	// Tolls count in the largest partner's exchanges: no mix of partners within
	// one step takes more than was told.
	b.large[g.class] = 0
	for k, s := range b.sizes {
		if k[0] == g.class {
			b.large[g.class] = math.Max(b.large[g.class], s.mean+safety*s.dev)
		}
	}
}

// Levels are what the buckets hold, that of all first, for Resume.
func (b *Book) Levels() []float64 {
	out := []float64{b.all.have}
	for _, k := range b.own {
		out = append(out, k.have)
	}
	return out
}

// Resume goes on from the levels of an earlier run, so long ago: what was spent then
// stays spent. Levels of other classes than now count for the bucket of all alone.
func (b *Book) Resume(levels []float64, ago time.Duration) {
	resume := func(k *bucket, have float64) {
		k.have = math.Min(k.size, have+k.rate*max(0, ago).Seconds())
	}
	if len(levels) > 0 {
		resume(&b.all, levels[0])
	}
	for i := range b.own {
		if len(levels) == len(b.own)+1 && b.set.Classes[i].Limit > 0 {
			resume(&b.own[i], levels[i+1])
		}
	}
}

// Have is what the relay's bucket holds, bytes; below 0 while it is overdrawn.
func (b *Book) Have(now time.Duration) float64 {
	b.tick(now)
	return b.all.have
}
