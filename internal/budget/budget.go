// Package budget limits the traffic between zones: a budget of bytes over any window of a fixed
// length, enforced by reservations before each send that are settled afterwards. It does no I/O, reads
// no clock and uses no random numbers.
//
// The budget of an installation is divided evenly among the relays of the fleet. A relay's share is a
// token bucket. It holds the burst and refills at such a rate that the burst and the refill of one window
// add up to the budget, so that no more is reserved over any window, wherever it begins. What a class may
// take depends on its worth: the lower part of the bucket is held for classes of higher worth. Classes
// that must not be stopped may draw the bucket below zero, down to their overdraft; later traffic pays
// that back, since the bucket refills from there.
package budget

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// Class describes a class of messages to the budget.
type Class struct {
	Worth     float64
	Overdraft float64 // bytes below zero that the class may draw, for the whole installation; 0 if it must wait
	Limit     float64 // bytes over a window for this class alone, for the whole installation; 0 for none
}

// Settings are the settings of a budget.
type Settings struct {
	Bytes  float64       // budget over any window, for the whole installation
	Window time.Duration // length of the window, above 0
	Burst  float64       // share of Bytes that may be sent at once, above 0 and at most 1
	Held   float64       // share of the burst held for classes of higher worth, at least 0 and below 1
	// First is the assumed size of an exchange, both ways, before any has been measured; bytes.
	First   float64
	Classes []Class
}

// Parameters of the size estimate: the weight of a new exchange in the moving averages, as in RFC 6298's
// smoothing of round-trip times, and the number of mean deviations added to the mean as a margin.
const (
	smoothing  = 1.0 / 8
	deviations = 2
)

// bucket is a token bucket of bytes.
type bucket struct {
	size, rate float64 // bytes; bytes per second
	level      float64
	at         time.Duration
}

// newBucket returns a full bucket of the size of the burst. It holds at least one exchange if the budget
// covers it, since the share of one relay in a large fleet may be small.
func newBucket(bytes, burst, least float64, window time.Duration) bucket {
	size := math.Max(bytes*burst, math.Min(bytes, least))
	return bucket{size: size, rate: (bytes - size) / window.Seconds(), level: size}
}

func (b *bucket) fill(now time.Duration) {
	if now > b.at {
		b.level = math.Min(b.size, b.level+b.rate*(now-b.at).Seconds())
		b.at = now
	}
}

// reachedAt returns the time at which the bucket reaches a level; math.MaxInt64 if it never does.
func (b *bucket) reachedAt(now time.Duration, target float64) time.Duration {
	missing := target - b.level
	switch {
	case missing <= 0:
		return now
	case target > b.size || b.rate <= 0:
		return math.MaxInt64
	}
	return now + time.Duration(math.Ceil(missing/b.rate*1e9))
}

// sizeEstimate estimates the size of exchanges: moving averages of size and of deviation.
type sizeEstimate struct{ mean, dev float64 }

func (s *sizeEstimate) add(n float64) {
	if s.mean == 0 {
		s.mean, s.dev = n, n/2
		return
	}
	s.dev += smoothing * (math.Abs(n-s.mean) - s.dev)
	s.mean += smoothing * (n - s.mean)
}

// Reservation is a reservation of bytes for one exchange.
type Reservation struct {
	class, partner int
	bytes          float64
	overdrawn      bool // the bucket was drawn below zero
}

// Account is one relay's share of a budget. It is not safe for concurrent use.
type Account struct {
	settings Settings
	fleet    int
	total    bucket
	byClass  []bucket // bucket of each class that has a limit of its own
	floors   []float64
	sizes    map[[2]int]*sizeEstimate
	largest  []float64 // by class: estimate for the partner with the largest exchanges
	now      time.Duration

	// Totals of this relay, bytes.
	Reserved  float64 // reserved and not yet settled
	Spent     float64 // transferred by settled exchanges
	Overdrawn float64 // reserved below zero
	Beyond    float64 // bytes of settled exchanges in excess of their reservations
}

// New returns the share of one relay in a fleet of the given size.
func New(s Settings, fleet int) (*Account, error) {
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
	b := &Account{settings: s, sizes: map[[2]int]*sizeEstimate{}, largest: make([]float64, len(s.Classes))}
	for i := range b.largest {
		b.largest[i] = s.First
	}
	b.setFleet(fleet)
	return b, nil
}

// setFleet sets the sizes of the buckets for a fleet. They keep their levels, as far as these fit.
func (b *Account) setFleet(fleet int) {
	b.fleet = fleet
	n := float64(fleet)
	resize := func(k *bucket, bytes float64) {
		was := *k
		*k = newBucket(bytes/n, b.settings.Burst, b.settings.First, b.settings.Window)
		if k.at = b.now; was.size > 0 {
			k.level = math.Min(was.level, k.size)
		}
	}
	resize(&b.total, b.settings.Bytes)
	if b.byClass == nil {
		b.byClass = make([]bucket, len(b.settings.Classes))
	}
	// The class of the highest worth may empty the bucket. The floors of the others rise evenly with
	// their rank by worth, up to the held share of the burst.
	var worths []float64
	for i, c := range b.settings.Classes {
		worths = append(worths, c.Worth)
		if c.Limit > 0 {
			resize(&b.byClass[i], c.Limit)
		}
	}
	slices.SortFunc(worths, func(x, y float64) int { return cmp.Compare(y, x) })
	worths = slices.Compact(worths)
	b.floors = b.floors[:0]
	for _, c := range b.settings.Classes {
		rank := float64(slices.Index(worths, c.Worth))
		b.floors = append(b.floors, b.total.size*b.settings.Held*rank/math.Max(1, float64(len(worths)-1)))
	}
}

// Fleet sets the number of relays that share the budget. Too small a number would overspend the budget,
// so callers should report failed relays late and new ones early.
func (b *Account) Fleet(now time.Duration, n int) {
	if b.advance(now); n >= 1 && n != b.fleet {
		b.setFleet(n)
	}
}

// SetBytes changes the budget, as after a reload of the configuration. Bytes spent stay spent; a bucket
// that holds more than its new size loses the excess.
func (b *Account) SetBytes(now time.Duration, bytes float64) {
	if b.advance(now); bytes > 0 {
		b.settings.Bytes = bytes
		b.setFleet(b.fleet)
	}
}

// advance refills the buckets up to now. A time before the latest one counts as the latest one.
func (b *Account) advance(now time.Duration) {
	b.now = max(b.now, now)
	b.total.fill(b.now)
	for i := range b.byClass {
		if b.settings.Classes[i].Limit > 0 {
			b.byClass[i].fill(b.now)
		}
	}
}

// Estimate returns the estimated size of the next exchange, both ways, in bytes.
func (b *Account) Estimate(class, partner int) float64 {
	if s := b.sizes[[2]int{class, partner}]; s != nil && s.mean > 0 {
		return s.mean + deviations*s.dev
	}
	return b.largest[class]
}

// Allowance is what a class may send now. An exchange takes Cost; it must not draw the bucket below Floor
// (below Urgent if its message is short of time), nor the class's own bucket, which holds Own, below 0.
type Allowance struct {
	Cost, Floor, Urgent, Own float64
	Again                    time.Duration // time at which Floor and Own allow an exchange; math.MaxInt64 for never
}

// Allowances returns the level of the bucket and what each class may draw from it.
func (b *Account) Allowances(now time.Duration) (left float64, classes []Allowance) {
	b.advance(now)
	for i, c := range b.settings.Classes {
		t := Allowance{Cost: b.largest[i], Floor: b.minLevel(i), Own: math.Inf(1)}
		t.Urgent = math.Min(0, t.Floor)
		t.Again = b.total.reachedAt(b.now, t.Floor+t.Cost)
		if c.Limit > 0 {
			t.Own = b.byClass[i].level
			t.Again = max(t.Again, b.byClass[i].reachedAt(b.now, t.Cost))
		}
		classes = append(classes, t)
	}
	return b.total.level, classes
}

// minLevel returns the level down to which a class may draw the bucket.
func (b *Account) minLevel(class int) float64 {
	if o := b.settings.Classes[class].Overdraft; o > 0 {
		return -o / float64(b.fleet)
	}
	return b.floors[class]
}

// Reserve reserves bytes for a send that package choice has decided on by the allowances. It never
// refuses: the allowances had room, and the send has already been made.
func (b *Account) Reserve(now time.Duration, class, partner int) Reservation {
	b.advance(now)
	g := Reservation{class: class, partner: partner, bytes: b.largest[class]}
	b.total.level -= g.bytes
	b.byClass[class].level -= g.bytes
	if g.overdrawn = b.total.level < 0; g.overdrawn {
		b.Overdrawn += math.Min(g.bytes, -b.total.level)
	}
	b.Reserved += g.bytes
	return g
}

// Settle ends a reservation with the bytes that were transferred. A surplus returns to the bucket; a
// deficit is taken from it. The size of an exchange that was cut off (whole is false) does not enter the
// estimate unless it exceeds the reservation.
func (b *Account) Settle(now time.Duration, g Reservation, passed int64, whole bool) {
	b.advance(now)
	n := float64(passed)
	b.Reserved -= g.bytes
	b.Spent += n
	b.total.level = math.Min(b.total.size, b.total.level+g.bytes-n)
	b.byClass[g.class].level += g.bytes - n
	if size := b.byClass[g.class].size; size > 0 {
		b.byClass[g.class].level = math.Min(b.byClass[g.class].level, size)
	}
	b.Beyond += math.Max(0, n-g.bytes)
	if !whole && n < g.bytes {
		return // cut off: its size is not representative
	}
	k := [2]int{g.class, g.partner}
	s := b.sizes[k]
	if s == nil {
		s = &sizeEstimate{}
		b.sizes[k] = s
	}
	s.add(n)
	// Allowances use the estimate for the partner with the largest exchanges, so that no mix of partners
	// within one step takes more than was allowed.
	b.largest[g.class] = 0
	for k, s := range b.sizes {
		if k[0] == g.class {
			b.largest[g.class] = math.Max(b.largest[g.class], s.mean+deviations*s.dev)
		}
	}
}

// Levels returns the levels of the buckets for Resume: the shared one, then those of the classes.
func (b *Account) Levels() []float64 {
	out := []float64{b.total.level}
	for _, k := range b.byClass {
		out = append(out, k.level)
	}
	return out
}

// Resume restores the levels of an earlier run, saved the time ago before now, so that bytes spent then
// stay spent. If the number of classes differs, only the shared bucket is restored.
func (b *Account) Resume(levels []float64, ago time.Duration) {
	resume := func(k *bucket, have float64) {
		k.level = math.Min(k.size, have+k.rate*max(0, ago).Seconds())
	}
	if len(levels) > 0 {
		resume(&b.total, levels[0])
	}
	for i := range b.byClass {
		if len(levels) == len(b.byClass)+1 && b.settings.Classes[i].Limit > 0 {
			resume(&b.byClass[i], levels[i+1])
		}
	}
}

// Level returns the level of the relay's bucket in bytes; below 0 while it is overdrawn.
func (b *Account) Level(now time.Duration) float64 {
	b.advance(now)
	return b.total.level
}
