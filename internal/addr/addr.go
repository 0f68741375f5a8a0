// Package addr plans how to reach an endpoint. A Selector orders the endpoint's addresses and schedules
// the staggered start of connection attempts to them (Happy Eyeballs, RFC 8305, with one
// restriction: connections are raced, requests never are). A PoolPolicy sizes the pool of connections to
// one endpoint, and a NameCache schedules and validates the resolution of host names. The package does no
// I/O and reads no clock.
//
// For each address a Selector tracks the connect time, failures to connect, and calls that were sent
// and not answered. The health of an address family is tracked over all endpoints, so that a family
// that is down is detected once and not at every endpoint separately.
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

// Family is the address family of an Address.
type Family int

// The families, in their order of preference while no connect times are known: Unix sockets, then
// IPv6 before IPv4 (RFC 6724, 10.3; RFC 8305, 4).
const (
	Unix Family = iota
	IPv6
	IPv4
	Hostname // a host name, resolved before it is connected to
	familyCount
)

func (f Family) String() string { return [...]string{"unix", "ipv6", "ipv4", "name"}[f] }

// Address is one network address of an endpoint.
type Address struct {
	Network string // "tcp" or "unix"
	Addr    string // host:port, or the path of a Unix socket
	Family  Family
}

func (a Address) String() string {
	if a.Network == "unix" {
		return "unix:" + a.Addr
	}
	return a.Addr
}

// Parse reads host:port, [ipv6]:port or unix:/path. An IPv4-mapped IPv6 address is returned as the
// IPv4 address.
func Parse(s string) (Address, error) {
	if path, ok := strings.CutPrefix(s, "unix:"); ok {
		if !strings.HasPrefix(path, "/") || len(path) > 107 { // size of sun_path in sockaddr_un, unix(7)
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
	return Address{"tcp", s, Hostname}, nil
}

// Bounds on the delay before the next connection attempt starts (RFC 8305, section 8), and on the
// back-off of an address that failed.
const (
	minDelay        = 10 * time.Millisecond
	defaultDelay    = 250 * time.Millisecond
	minUnknownDelay = 100 * time.Millisecond // lower bound for an address without a connect time of its own
	minSamples      = 16                     // connections before a family's connect times are used
	maxDelay        = 2 * time.Second
	minBackoff      = time.Second
	maxBackoff      = time.Minute
	// A family is broken once brokenFailureRate of its recent connection attempts failed, at
	// minBrokenEndpoints or more endpoints.
	brokenFailureRate  = 0.9
	minBrokenEndpoints = 3
)

// FamilyHealth tracks the health of the address families over all endpoints. It is safe for concurrent
// use.
type FamilyHealth struct {
	mu            sync.Mutex
	failureRate   [familyCount]float64 // smoothed share of connection attempts that failed
	failedAt      [familyCount]map[string]bool
	srtt          [familyCount]time.Duration // smoothed connect time over all endpoints
	rttvar        [familyCount]time.Duration
	samples       [familyCount]int
	nextTrial     [familyCount]time.Duration // when a broken family may be tried again
	trialInterval [familyCount]time.Duration
}

// trialDue reports whether a broken family may be tried again now, at whichever endpoint asks
// first, and schedules the next trial.
func (f *FamilyHealth) trialDue(now time.Duration, family Family) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now < f.nextTrial[family] {
		return false
	}
	f.trialInterval[family] = min(max(2*f.trialInterval[family], minBackoff), maxBackoff)
	f.nextTrial[family] = now + f.trialInterval[family]
	return true
}

// delay returns how long to wait for an address that has no connect time of its own before the next
// attempt starts. It is derived from the connect times of the whole family, because a new address
// is seldom much slower than all addresses measured so far.
func (f *FamilyHealth) delay(family Family) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.samples[family] < minSamples {
		return defaultDelay
	}
	return min(max(f.srtt[family]+8*f.rttvar[family], minUnknownDelay), maxDelay)
}

// recordConnectTime adds the connect time of a successful attempt.
func (f *FamilyHealth) recordConnectTime(family Family, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	smooth(&f.srtt[family], &f.rttvar[family], took)
	f.samples[family] = min(f.samples[family]+1, minSamples)
}

// smooth updates a smoothed time and its mean deviation (RFC 6298, 2).
func smooth(srtt, rttvar *time.Duration, took time.Duration) {
	if *srtt == 0 {
		*srtt, *rttvar = max(took, 1), took/2
		return
	}
	*rttvar += (time.Duration(math.Abs(float64(took-*srtt))) - *rttvar) / 4
	*srtt = max(*srtt+(took-*srtt)/8, 1)
}

// recordResult adds the result of one connection attempt at an endpoint.
func (f *FamilyHealth) recordResult(family Family, endpoint string, failed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	x := 0.0
	if failed {
		x = 1
	}
	f.failureRate[family] += (x - f.failureRate[family]) / 8
	if !failed {
		f.failedAt[family], f.trialInterval[family] = nil, 0
	} else if len(f.failedAt[family]) < minBrokenEndpoints {
		if f.failedAt[family] == nil {
			f.failedAt[family] = map[string]bool{}
		}
		f.failedAt[family][endpoint] = true
	}
}

// Broken reports whether connection attempts of a family fail at all endpoints.
func (f *FamilyHealth) Broken(family Family) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failureRate[family] >= brokenFailureRate && len(f.failedAt[family]) >= minBrokenEndpoints
}

// addressState is what is known of one address.
type addressState struct {
	Address
	rank         int           // position in the list, with the families interleaved
	srtt         time.Duration // smoothed connect time, 0 if unknown
	rttvar       time.Duration
	failures     int           // consecutive failed connections
	hung         int           // consecutive calls that were sent and not answered
	backoffUntil time.Duration // end of the back-off
	retryAt      time.Duration // after unanswered calls: when one call may try the address again
	inTrial      bool          // a trial after a failure is in progress
}

// Step is one connection attempt of a race.
type Step struct {
	Address
	After time.Duration // delay from the start of the race; shorter if all earlier attempts failed
	// Trial marks an attempt that runs to its own end, at most TrialTimeout, even if another attempt
	// wins: it finds out whether the address has recovered.
	Trial bool
}

// TrialTimeout is the time-out of a trial.
const TrialTimeout = maxDelay

// Selector orders the addresses of one endpoint and tracks their results. It is safe for
// concurrent use.
type Selector struct {
	name     string
	families *FamilyHealth
	mu       sync.Mutex
	list     []*addressState
}

// NewSelector returns the Selector of an endpoint. Duplicate addresses are dropped.
func NewSelector(name string, families *FamilyHealth, addrs []Address) *Selector {
	b := &Selector{name: name, families: families}
	b.Set(addrs)
	return b
}

// Set replaces the addresses. The state of addresses that remain is kept.
func (b *Selector) Set(addrs []Address) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := map[Address]*addressState{}
	for _, s := range b.list {
		known[s.Address] = s
	}
	b.list = nil
	added := map[Address]bool{}
	var perFamily [familyCount]int
	for _, a := range addrs {
		if added[a] {
			continue
		}
		added[a] = true
		s := known[a]
		if s == nil {
			s = &addressState{Address: a}
		}
		// Interleave the families: the first address of each, then the second of each, and so on.
		s.rank = perFamily[a.Family]*int(familyCount) + int(a.Family)
		perFamily[a.Family]++
		b.list = append(b.list, s)
	}
}

// Plan returns the attempts of one race, in order and with their start times, for a connection that
// must be up within the given time. Addresses whose last connection failed come last. A failed
// address whose back-off has ended is raced at once beside the best one, which costs a connection
// and no time. An address with unanswered calls stays behind the others until its back-off ends.
func (b *Selector) Plan(now, within time.Duration) []Step {
	b.mu.Lock()
	defer b.mu.Unlock()
	order := slices.Clone(b.list)
	level := func(s *addressState) int {
		switch {
		case s.failures > 0 || s.hung > 0 && now < s.backoffUntil:
			return 2
		case b.families.Broken(s.Family):
			return 1
		}
		return 0
	}
	slices.SortStableFunc(order, func(x, y *addressState) int {
		return cmp.Or(cmp.Compare(level(x), level(y)), cmp.Compare(x.hung, y.hung),
			cmp.Compare(x.failures, y.failures), cmp.Compare(x.rank, y.rank))
	})
	// A preferred address with unanswered calls gets one call to show that it has recovered.
	if i := slices.IndexFunc(order, func(s *addressState) bool {
		return s.hung > 0 && s.failures == 0 && now >= s.retryAt && s.rank < order[0].rank
	}); i > 0 {
		s := order[i]
		s.penalize(now)
		order = slices.Insert(slices.Delete(order, i, i+1), 0, s)
	}
	var steps []Step
	start := time.Duration(0)
	for i, s := range order {
		if i > 0 {
			start += b.delay(order[i-1])
		}
		if start > within/2 && i > 0 { // a later start would leave no time for the call
			break
		}
		steps = append(steps, Step{Address: s.Address, After: start})
	}
	for i, s := range order[:len(steps)] { // a trial starts together with the first attempt
		afterBackoff := s.failures > 0 && now >= s.backoffUntil && !s.inTrial
		if i > 0 && (afterBackoff || s.failures == 0 && b.families.Broken(s.Family) &&
			b.families.trialDue(now, s.Family)) {
			s.inTrial = true
			steps[i].After, steps[i].Trial = 0, true
			break
		}
	}
	return steps
}

// delay returns how long to wait for s to connect before the next attempt starts.
func (b *Selector) delay(s *addressState) time.Duration {
	if s.srtt == 0 {
		return b.families.delay(s.Family)
	}
	return min(max(s.srtt+4*s.rttvar, minDelay), maxDelay)
}

// Len returns the number of addresses.
func (b *Selector) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.list)
}

// HandshakeTimeout returns the time-out of the TLS handshake at one address, given the time left of an
// attempt, and whether it is the last address to be tried. Half of the time is reserved for the
// other addresses. A nil Selector stands for a single address.
func (b *Selector) HandshakeTimeout(tries int, left time.Duration) (within time.Duration, last bool) {
	if b == nil || tries >= b.Len() {
		return left, true
	}
	return left / 2, false
}

// LocalRetryDelay is the delay before a connection is tried again after file descriptors, ports or memory of
// this process ran out.
const LocalRetryDelay = 10 * time.Millisecond

// LocalRetryTime returns for how long an attempt waits for local resources: the first half of its time.
func LocalRetryTime(within time.Duration) time.Duration { return within / 2 }

// LocalRetryAllowed reports whether a connection that failed for want of local resources is tried again.
func LocalRetryAllowed(passed, within time.Duration) bool { return passed <= LocalRetryTime(within) }

// Has reports whether an address is listed.
func (b *Selector) Has(a Address) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.find(a) != nil
}

func (b *Selector) find(a Address) *addressState {
	for _, s := range b.list {
		if s.Address == a {
			return s
		}
	}
	return nil
}

// Connected records a connection that was established, whether or not it won its race.
func (b *Selector) Connected(a Address, took time.Duration) {
	b.families.recordResult(a.Family, b.name, false)
	b.families.recordConnectTime(a.Family, took)
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.find(a)
	if s == nil {
		return
	}
	s.failures, s.inTrial = 0, false
	smooth(&s.srtt, &s.rttvar, took)
}

// Failed records a connection that failed or timed out by itself. It is not called for one that was
// cancelled because another won.
func (b *Selector) Failed(now time.Duration, a Address) {
	b.families.recordResult(a.Family, b.name, true)
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.find(a); s != nil {
		s.failures++
		s.inTrial = false
		s.backoffUntil = now + min(minBackoff<<min(s.failures-1, 10), maxBackoff)
	}
}

// Cancelled records a connection that was cancelled while undecided, so long after its start. An address
// that did not connect within its own delay counts as failed. If it was merely slow, its trial
// beside the best address shows so soon, at no cost in time.
func (b *Selector) Cancelled(now time.Duration, a Address, after time.Duration) {
	b.mu.Lock()
	s := b.find(a)
	slow := false
	if s != nil {
		s.inTrial = false
		slow = after >= b.delay(s)
	}
	b.mu.Unlock()
	if slow {
		b.Failed(now, a)
	}
}

// Answered records that an address answered a call.
func (b *Selector) Answered(a Address) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.find(a); s != nil {
		s.hung = 0
	}
}

// Hung records a call that an address accepted and did not answer. The call is not repeated at
// another address within the attempt; the next attempt prefers another one.
func (b *Selector) Hung(now time.Duration, a Address) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.find(a); s != nil {
		s.hung++
		s.penalize(now)
	}
}

// penalize backs off from an address with unanswered calls. It is kept behind the others longer
// than after failed connections, because finding out costs a whole attempt, where a failed
// connection costs none.
func (s *addressState) penalize(now time.Duration) {
	pause := min(minBackoff<<min(s.hung-1, 10), maxBackoff)
	s.backoffUntil = max(s.backoffUntil, now+pause)
	s.retryAt = now + 8*pause
}

// AddressStatus is the status of one address, as reports show it.
type AddressStatus struct {
	Address     string        `json:"address"`
	Family      string        `json:"family"`
	Connect     time.Duration `json:"connect_ns"` // smoothed connect time, 0 if unknown
	Failures    int           `json:"fails"`      // consecutive failed connections
	Hung        int           `json:"hung"`       // consecutive unanswered calls
	BackoffLeft time.Duration `json:"left_alone_ns"`
}

// Status returns the status of all addresses, in the order of the list.
func (b *Selector) Status(now time.Duration) (out []AddressStatus) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.list {
		out = append(out, AddressStatus{s.String(), s.Family.String(), s.srtt, s.failures, s.hung,
			max(0, s.backoffUntil-now)})
	}
	return out
}
