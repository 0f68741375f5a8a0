package addr

import (
	"cmp"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"time"
)

// Endpoint is one endpoint of the endpoint list, with its addresses.
type Endpoint struct {
	Host    string // its name, or its only address
	Partner int
	// Secure endpoints authenticate by TLS, so that an address shared with another partner does no
	// harm.
	Secure bool
	Addrs  []Address
}

// NameCacheSettings limit the effect of a resolver's answers.
type NameCacheSettings struct {
	MinTTL, MaxTTL time.Duration // bounds on the TTL of an answer; MinTTL is above 0
	MaxStale       time.Duration // how long an expired answer is used while the resolver fails (RFC 8767)
	MaxAddresses   int           // limit on the addresses used per name
	MaxQueries     int           // limit on concurrent queries
}

// DefaultNameCacheSettings are the settings that fit most installations.
var DefaultNameCacheSettings = NameCacheSettings{MinTTL: time.Second, MaxTTL: 10 * time.Minute,
	MaxStale: 24 * time.Hour, MaxAddresses: 16, MaxQueries: 16}

// Answer is a resolver's answer to the query for a name.
type Answer struct {
	Addrs  []netip.Addr
	TTL    time.Duration
	Failed bool // no answer came; false without addresses means that the name has none
}

// nameState is the state of one host name.
type nameState struct {
	addrs      []netip.Addr
	expires    time.Duration // the answer expires then
	nextQuery  time.Duration // time of the next query
	failures   int           // consecutive failed queries
	emptySince time.Duration // since when answers have been empty; 0 while they are not
	querying   bool
	endpoints  []int // indices of the endpoints that use the name
}

// Conflict is a resolved address that is not used because it belongs to another partner.
type Conflict struct {
	Host    string
	Address Address
	Partner int // the partner that has the address
}

// NameCache keeps the addresses of the host names in an endpoint list: it schedules the queries,
// expires answers, and decides which addresses of an answer are accepted and used. It does no I/O,
// reads no clock, and draws random numbers from a seed only. It is not safe for concurrent use.
type NameCache struct {
	settings NameCacheSettings
	rand     *rand.Rand
	list     []Endpoint
	names    map[string]*nameState
	// Owner of each address used without authentication. Addresses that the list contains literally
	// take precedence; among resolved ones the first claim counts.
	claims      map[Address]claim
	claimed     [][]Address // by endpoint: the addresses claimed for its names
	outstanding int
	// Conflicts are the current conflicts, at most maxConflicts of them.
	Conflicts []Conflict
}

type claim struct {
	// claim records which partner owns an address.
	partner int
	listed  bool
	users   int
}

const (
	maxConflicts = 1000
	// emptyConfirmation is how long a name that had addresses must resolve to none before that is
	// accepted: a broken zone transfer gives empty answers as well.
	emptyConfirmation = 3 * time.Second
	// Back-off after a failed query, doubling from queryBackoff to maxQueryBackoff (RFC 8767, 5,
	// has 30 s).
	queryBackoff    = time.Second
	maxQueryBackoff = 30 * time.Second
)

// NewNameCache returns a NameCache that draws its random numbers from the seed.
func NewNameCache(set NameCacheSettings, seed uint64) *NameCache {
	return &NameCache{settings: set, rand: rand.New(rand.NewPCG(seed, 7)), names: map[string]*nameState{},
		claims: map[Address]claim{}}
}

// Set replaces the endpoint list. It returns the addresses of each endpoint that needs a Selector,
// which is one with several addresses or with a host name. The state of names that remain is kept.
func (n *NameCache) Set(now time.Duration, list []Endpoint) map[string][]Address {
	n.list = list
	clear(n.claims)
	n.claimed = make([][]Address, len(list))
	n.Conflicts = nil
	old := n.names
	n.names = map[string]*nameState{}
	for i, e := range list {
		for _, a := range e.Addrs {
			if a.Family != Hostname {
				if c, ok := n.claims[a]; !ok && !e.Secure {
					n.claims[a] = claim{e.Partner, true, 1}
				} else if ok {
					c.users++
					n.claims[a] = c
				}
				continue
			}
			host, _, _ := net.SplitHostPort(a.Addr)
			k := n.names[host]
			if k == nil {
				if k = old[host]; k == nil {
					k = &nameState{nextQuery: now}
				}
				k.endpoints = nil
				n.names[host] = k
			}
			if len(k.endpoints) == 0 || k.endpoints[len(k.endpoints)-1] != i {
				k.endpoints = append(k.endpoints, i)
			}
		}
	}
	n.outstanding = 0
	for _, k := range n.names {
		if k.querying {
			n.outstanding++
		}
	}
	out := map[string][]Address{}
	for i, e := range list {
		if len(e.Addrs) > 1 || len(e.Addrs) == 1 && (e.Addrs[0].Family == Hostname || e.Addrs[0].String() != e.Host) {
			out[e.Host] = n.expand(i)
		}
	}
	return out
}

// expand replaces the host names of an endpoint by their addresses, and claims those for its
// partner.
func (n *NameCache) expand(i int) []Address {
	e := n.list[i]
	n.release(i)
	out := make([]Address, 0, len(e.Addrs))
	for _, a := range e.Addrs {
		if a.Family != Hostname {
			out = append(out, a)
			continue
		}
		host, port, _ := net.SplitHostPort(a.Addr)
		for _, ip := range n.names[host].addrs {
			at := Address{"tcp", net.JoinHostPort(ip.String(), port), IPv6}
			if ip.Is4() {
				at.Family = IPv4
			}
			if c, ok := n.claims[at]; ok && c.partner != e.Partner && !e.Secure {
				if len(n.Conflicts) < maxConflicts {
					n.Conflicts = append(n.Conflicts, Conflict{e.Host, at, c.partner})
				}
				continue
			} else if !e.Secure {
				n.claims[at] = claim{e.Partner, c.listed, c.users + 1}
				n.claimed[i] = append(n.claimed[i], at)
			}
			out = append(out, at)
		}
	}
	return out
}

// release gives up the addresses claimed for an endpoint, and removes its conflicts.
func (n *NameCache) release(i int) {
	for _, at := range n.claimed[i] {
		c := n.claims[at]
		if c.users--; c.users <= 0 && !c.listed {
			delete(n.claims, at)
		} else {
			n.claims[at] = c
		}
	}
	n.claimed[i] = nil
	n.Conflicts = slices.DeleteFunc(n.Conflicts, func(x Conflict) bool { return n.list[i].Host == x.Host })
}

// Due returns the names to query now, the longest overdue first, and when to call it again at the
// latest. The time is negative if nothing is due before an outstanding query ends.
func (n *NameCache) Due(now time.Duration) (ask []string, next time.Duration) {
	next = -1
	for host, k := range n.names {
		switch {
		case k.querying:
		case k.nextQuery <= now:
			ask = append(ask, host)
		case next < 0 || k.nextQuery < next:
			next = k.nextQuery
		}
	}
	slices.SortFunc(ask, func(x, y string) int {
		return cmp.Or(cmp.Compare(n.names[x].nextQuery, n.names[y].nextQuery), cmp.Compare(x, y))
	})
	ask = ask[:min(len(ask), max(0, n.settings.MaxQueries-n.outstanding))]
	for _, host := range ask {
		n.names[host].querying = true
	}
	n.outstanding += len(ask)
	return ask, next
}

// Answered records the result of a query, and returns the addresses of the endpoints that it
// changes.
func (n *NameCache) Answered(now time.Duration, host string, a Answer) map[string][]Address {
	k := n.names[host]
	if k == nil || !k.querying {
		return nil
	}
	k.querying = false
	n.outstanding--
	var next []netip.Addr
	switch {
	case a.Failed:
		k.failures++
		k.nextQuery = now + n.jitter(min(queryBackoff<<min(k.failures-1, 10), maxQueryBackoff))
		if now < k.expires+n.settings.MaxStale {
			return nil
		}
		// The answer is older than the limit for stale ones: drop it.
	case len(a.Addrs) == 0:
		k.failures = 0
		if k.emptySince == 0 {
			k.emptySince = max(now, 1)
		}
		if len(k.addrs) > 0 && now-k.emptySince < emptyConfirmation {
			k.nextQuery = now + n.jitter(emptyConfirmation/2)
			return nil
		}
		k.expires, k.nextQuery = now, now+n.jitter(min(max(a.TTL, emptyConfirmation), maxQueryBackoff))
	default:
		ttl := min(max(a.TTL, n.settings.MinTTL), n.settings.MaxTTL)
		k.failures, k.emptySince, k.expires = 0, 0, now+ttl
		k.nextQuery = now + n.jitter(ttl) // before the answer expires, so that no call waits for a query
		next = n.pick(k.addrs, a.Addrs)
	}
	inConflict := func(i int) bool {
		return slices.ContainsFunc(n.Conflicts, func(x Conflict) bool { return n.list[i].Host == x.Host })
	}
	if slices.Equal(next, k.addrs) && !slices.ContainsFunc(k.endpoints, inConflict) {
		return nil
	}
	k.addrs = next
	for _, i := range k.endpoints {
		n.release(i) // all claims, before the first endpoint claims again
	}
	out := map[string][]Address{}
	for _, i := range k.endpoints {
		out[n.list[i].Host] = n.expand(i)
	}
	return out
}

// jitter draws a time between 80 % and 100 % of d, so that neither names nor relays query in
// lockstep.
func (n *NameCache) jitter(d time.Duration) time.Duration {
	return d - time.Duration(n.rand.Float64()*float64(d)/5)
}

// pick selects which addresses of an answer to use. Addresses already in use stay, so that their
// connections do; others are drawn at random, so that the relays of a fleet spread over them. The
// families alternate.
func (n *NameCache) pick(old, all []netip.Addr) []netip.Addr {
	var perFamily [2][]netip.Addr
	seen := map[netip.Addr]bool{}
	for _, ip := range all {
		if ip = ip.Unmap(); !ip.IsValid() || ip.IsMulticast() || ip.IsUnspecified() || seen[ip] {
			continue
		}
		seen[ip] = true
		f := 0
		if ip.Is4() {
			f = 1
		}
		perFamily[f] = append(perFamily[f], ip)
	}
	var out []netip.Addr
	for _, l := range perFamily {
		slices.SortFunc(l, netip.Addr.Compare) // servers rotate their answers; another order is no change
		n.rand.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
		slices.SortStableFunc(l, func(x, y netip.Addr) int {
			return cmp.Compare(indexOrLen(old, x), indexOrLen(old, y))
		})
	}
	for i := 0; len(out) < n.settings.MaxAddresses && i < max(len(perFamily[0]), len(perFamily[1])); i++ {
		for _, l := range perFamily {
			if i < len(l) && len(out) < n.settings.MaxAddresses {
				out = append(out, l[i])
			}
		}
	}
	return out
}

// indexOrLen returns the index of ip in the list, or the length of the list if it is not there.
func indexOrLen(list []netip.Addr, ip netip.Addr) int {
	if i := slices.Index(list, ip); i >= 0 {
		return i
	}
	return len(list)
}

// NameStatus is the status of one host name, as reports show it.
type NameStatus struct {
	Name     string        `json:"name"`
	Addrs    []netip.Addr  `json:"addresses"`
	TTLLeft  time.Duration `json:"ttl_left_ns"` // negative while an expired answer is used
	Failures int           `json:"fails"`
}

// Status returns the status of all names, sorted by name.
func (n *NameCache) Status(now time.Duration) (out []NameStatus) {
	for host, k := range n.names {
		out = append(out, NameStatus{host, k.addrs, k.expires - now, k.failures})
	}
	slices.SortFunc(out, func(x, y NameStatus) int { return cmp.Compare(x.Name, y.Name) })
	return out
}
