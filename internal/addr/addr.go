// Package addr decides in which order the addresses of an endpoint are
// connected to, and when the next one is begun beside those that are under way
// (Happy Eyeballs, RFC 8305, adapted: connections race, requests never). It does
// no I/O and reads no clock.
//
// What is learned of an address is its connect time, its failures to connect,
// and calls that it took and did not answer. Its family's health is learned over
// all endpoints, so that a dead family is met once and not at each of them.
package addr

import (
	"cmp"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"
)

// Family of an address.
type Family int

// The families, in the order in which they are preferred while nothing is
// known: local ones, then IPv6 before IPv4 (RFC 6724, 10.3; RFC 8305, 4).
const (
	Unix Family = iota
	IPv6
	IPv4
	Name // to be resolved by the dialler
	families
)

func (f Family) String() string { return [...]string{"unix", "ipv6", "ipv4", "name"}[f] }

// Address is one way to an endpoint.
type Address struct {
	Network string // "tcp" or "unix"
	Addr    string // host:port, or a path
	Family  Family
}

func (a Address) String() string {
	if a.Network == "unix" {
		return "unix:" + a.Addr
	}
	return a.Addr
}

// Parse reads host:port, [ipv6]:port or unix:/path. An IPv4-mapped IPv6 address
// is the IPv4 address.
func Parse(s string) (Address, error) {
	if path, ok := strings.CutPrefix(s, "unix:"); ok {
		if !strings.HasPrefix(path, "/") || len(path) > 107 { // sockaddr_un, unix(7)
			return Address{}, fmt.Errorf("addr: %q is not unix: and an absolute path of at most 107 bytes", s)
		}
		return Address{"unix", path, Unix}, nil
	}
	if ap, err := netip.ParseAddrPort(s); err == nil {
		ap = netip.AddrPortFrom(ap.Addr().Unmap(), ap.Port())
		f := IPv6
		if ap.Addr().Is4() {
			f = IPv4
		}
		return Address{"tcp", ap.String(), f}, nil
	}
	host, port, ok := strings.Cut(s, ":")
	if !ok || host == "" || port == "" || strings.ContainsAny(s, " /[]") {
		return Address{}, fmt.Errorf("addr: %q is neither host:port nor unix:/path", s)
	}
	return Address{"tcp", s, Name}, nil
}

// Bounds of RFC 8305, section 8, on the delay before the next connection is
// begun, and ours on how long an address that fails is left alone.
const (
	leastDelay   = 10 * time.Millisecond
	usualDelay   = 250 * time.Millisecond
	strangeDelay = 100 * time.Millisecond // least for an address that was never connected to
	enough       = 16                     // connections after which a family's times are heard
	mostDelay    = 2 * time.Second
	firstPenalty = time.Second
	mostPenalty  = time.Minute
	// a family counts as broken once so many of its last attempts failed, over
	// several endpoints.
	broken    = 0.9
	endpoints = 3
)

// Families is the health of families over all endpoints. It is safe for
// concurrent use.
type Families struct {
	mu   sync.Mutex
	bad  [families]float64 // smoothed share of failed connections
	seen [families]map[string]bool
	srtt [families]time.Duration // smoothed connect time over all endpoints
	dev  [families]time.Duration
	n    [families]int
	next [families]time.Duration // of a broken family: its next trial
	gap  [families]time.Duration
}

// try tells whether it is time to try a broken family again, at whichever
// endpoint comes first.
func (f *Families) try(now time.Duration, family Family) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now < f.next[family] {
		return false
	}
	f.gap[family] = min(max(2*f.gap[family], firstPenalty), mostPenalty)
	f.next[family] = now + f.gap[family]
	return true
}

// delay is what an address of a family is given before the next is begun, while
// nothing is known of it itself: what the others of its family took, for a new
// address is seldom slower by much than all that were met.
func (f *Families) delay(family Family) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.n[family] < enough {
		return usualDelay
	}
	return min(max(f.srtt[family]+8*f.dev[family], strangeDelay), mostDelay)
}

func (f *Families) took(family Family, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	smooth(&f.srtt[family], &f.dev[family], took)
	f.n[family] = min(f.n[family]+1, enough)
}

// smooth takes a time into a mean and its deviation (RFC 6298, 2).
func smooth(srtt, dev *time.Duration, took time.Duration) {
	if *srtt == 0 {
		*srtt, *dev = max(took, 1), took/2
		return
	}
	*dev += (time.Duration(math.Abs(float64(took-*srtt))) - *dev) / 4
	*srtt = max(*srtt+(took-*srtt)/8, 1)
}

// note takes in one connection attempt at an endpoint.
func (f *Families) note(family Family, endpoint string, failed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	x := 0.0
	if failed {
		x = 1
	}
	f.bad[family] += (x - f.bad[family]) / 8
	if !failed {
		f.seen[family], f.gap[family] = nil, 0
	} else if len(f.seen[family]) < endpoints {
		if f.seen[family] == nil {
			f.seen[family] = map[string]bool{}
		}
		f.seen[family][endpoint] = true
	}
}

// Broken tells whether a family fails wherever it is tried.
func (f *Families) Broken(family Family) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.bad[family] >= broken && len(f.seen[family]) >= endpoints
}

// state is what is known of one address.
type state struct {
	Address
	rank   int           // in the list, families interleaved
	srtt   time.Duration // smoothed connect time, 0 if unknown
	dev    time.Duration
	fails  int // connections in a row that failed
	hung   int // calls in a row that it took and did not answer
	until  time.Duration
	back   time.Duration // after calls that hung: one call may try it again then
	trying bool          // a trial after a failure is under way
}

// Step is one connection to begin.
type Step struct {
	Address
	After time.Duration // after the race began, or as soon as all before it failed
	// Trial is to end by itself, within TrialTime, also if another wins: it is to
	// show whether the address is well again.
	Trial bool
}

// TrialTime is how long a trial may take.
const TrialTime = mostDelay

// Book is what a relay knows of one endpoint's addresses. It is safe for
// concurrent use.
type Book struct {
	name     string
	families *Families
	mu       sync.Mutex
	list     []*state
}

// NewBook makes the book of an endpoint. Addresses that stand twice count once.
func NewBook(name string, families *Families, addrs []Address) *Book {
	b := &Book{name: name, families: families}
	b.Set(addrs)
	return b
}

// Set replaces the addresses; what is known of those that stay is kept.
func (b *Book) Set(addrs []Address) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := map[Address]*state{}
	for _, s := range b.list {
		known[s.Address] = s
	}
	b.list = nil
	have := map[Address]bool{}
	var by [families]int
	for _, a := range addrs {
		if have[a] {
			continue
		}
		have[a] = true
		s := known[a]
		if s == nil {
			s = &state{Address: a}
		}
		// Interleaved: the first of each family, then the second of each, ...
		s.rank = by[a.Family]*int(families) + int(a.Family)
		by[a.Family]++
		b.list = append(b.list, s)
	}
}

// Plan is the race for one connection that must be up within a time: the order
// and the moments to begin. Addresses that failed lately come last; one whose
// time to be tried again has come is raced beside the best at once, which costs a
// connection and no time. One that hung is left for the next tries.
func (b *Book) Plan(now, within time.Duration) []Step {
	b.mu.Lock()
	defer b.mu.Unlock()
	order := slices.Clone(b.list)
	level := func(s *state) int {
		switch {
		case s.fails > 0 || s.hung > 0 && now < s.until:
			return 2
		case b.families.Broken(s.Family):
			return 1
		}
		return 0
	}
	slices.SortStableFunc(order, func(x, y *state) int {
		return cmp.Or(cmp.Compare(level(x), level(y)), cmp.Compare(x.hung, y.hung), cmp.Compare(x.fails, y.fails),
			cmp.Compare(x.rank, y.rank))
	})
	// A better address that hung gets one call to show that it is well again.
	if i := slices.IndexFunc(order, func(s *state) bool {
		return s.hung > 0 && s.fails == 0 && now >= s.back && s.rank < order[0].rank
	}); i > 0 {
		s := order[i]
		s.leave(now)
		order = slices.Insert(slices.Delete(order, i, i+1), 0, s)
	}
	var steps []Step
	at := time.Duration(0)
	for i, s := range order {
		if i > 0 {
			at += b.delay(order[i-1])
		}
		if at > within/2 && i > 0 { // what comes later would leave the call no time
			break
		}
		steps = append(steps, Step{Address: s.Address, After: at})
	}
	for i, s := range order[:len(steps)] { // due for a trial: beside the first
		own := s.fails > 0 && now >= s.until && !s.trying
		if i > 0 && (own || s.fails == 0 && b.families.Broken(s.Family) && b.families.try(now, s.Family)) {
			s.trying = true
			steps[i].After, steps[i].Trial = 0, true
			break
		}
	}
	return steps
}

// delay before the next connection is begun beside one to an address.
func (b *Book) delay(s *state) time.Duration {
	if s.srtt == 0 {
		return b.families.delay(s.Family)
	}
	return min(max(s.srtt+4*s.dev, leastDelay), mostDelay)
}

// Len is the number of addresses.
func (b *Book) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.list)
}

// Handshake tells how long the handshake at one address may take, of what is left of
// an attempt, and whether it is the last address to be tried: others need their part.
// A nil book has one address.
func (b *Book) Handshake(tries int, left time.Duration) (within time.Duration, last bool) {
	if b == nil || tries >= b.Len() {
		return left, true
	}
	return left / 2, false
}

// Pause is how long to wait where nothing is left here to open a connection with;
// TryAgain tells whether to go on after that: for half of the attempt's time.
const Pause = 10 * time.Millisecond

// TryAgain is described at Pause.
func TryAgain(passed, within time.Duration) bool { return passed <= within/2 }

// Has tells whether an address is still listed.
func (b *Book) Has(a Address) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.find(a) != nil
}

func (b *Book) find(a Address) *state {
	for _, s := range b.list {
		if s.Address == a {
			return s
		}
	}
	return nil
}

// Connected takes in a connection that came up, whether it won its race or not.
func (b *Book) Connected(a Address, took time.Duration) {
	b.families.note(a.Family, b.name, false)
	b.families.took(a.Family, took)
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.find(a)
	if s == nil {
		return
	}
	s.fails, s.trying = 0, false
	smooth(&s.srtt, &s.dev, took)
}

// Failed takes in a connection that failed, by itself or by its time; not one
// that was called off because another won.
func (b *Book) Failed(now time.Duration, a Address) {
	b.families.note(a.Family, b.name, true)
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.find(a); s != nil {
		s.fails++
		s.trying = false
		s.until = now + min(firstPenalty<<min(s.fails-1, 10), mostPenalty)
	}
}

// Left takes in a connection that was called off, undecided, after a time: an
// address that had its head start and did not connect in it failed. If it was
// only slow, its trial beside the best, which costs no time, tells soon.
func (b *Book) Left(now time.Duration, a Address, after time.Duration) {
	b.mu.Lock()
	s := b.find(a)
	slow := false
	if s != nil {
		s.trying = false
		slow = after >= b.delay(s)
	}
	b.mu.Unlock()
	if slow {
		b.Failed(now, a)
	}
}

// Answered takes in a call that an address answered, Hung one that it took and
// did not: within the attempt there is no other; the next prefers another.
func (b *Book) Answered(a Address) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.find(a); s != nil {
		s.hung = 0
	}
}

func (b *Book) Hung(now time.Duration, a Address) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.find(a); s != nil {
		s.hung++
		s.leave(now)
	}
}

// leave leaves an address that hung alone, and keeps it behind the others for
// longer: a call that finds out costs an attempt, where a connection costs none.
func (s *state) leave(now time.Duration) {
	pause := min(firstPenalty<<min(s.hung-1, 10), mostPenalty)
	s.until = max(s.until, now+pause)
	s.back = now + 8*pause
}

// Known is what a report shows of an address.
type Known struct {
	Address string        `json:"address"`
	Family  string        `json:"family"`
	Connect time.Duration `json:"connect_ns"` // smoothed, 0 if unknown
	Fails   int           `json:"fails"`      // connections in a row
	Hung    int           `json:"hung"`       // calls in a row
	Until   time.Duration `json:"left_alone_ns"`
}

// Known tells what the book holds, in the order of the list.
func (b *Book) Known(now time.Duration) (out []Known) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.list {
		out = append(out, Known{s.String(), s.Family.String(), s.srtt, s.fails, s.hung, max(0, s.until-now)})
	}
	return out
}
