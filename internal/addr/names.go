package addr

import (
	"cmp"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"time"
)

// Endpoint is one endpoint as a list has it, with the addresses to reach it.
type Endpoint struct {
	Host    string // its name, or its only address
	Partner int
	// Secure endpoints prove who they are, so that an address which another
	// partner has too does no harm.
	Secure bool
	Addrs  []Address
}

// NamesSettings bound what a resolver may cause.
type NamesSettings struct {
	Least, Most time.Duration // a TTL below or above counts as these; Least is above 0
	Stale       time.Duration // how long past its TTL an answer serves while the resolver fails (RFC 8767)
	Each        int           // addresses of a name that are used
	Asking      int           // names asked for at once
}

// DefaultNames are settings that fit most installations.
var DefaultNames = NamesSettings{Least: time.Second, Most: 10 * time.Minute, Stale: 24 * time.Hour, Each: 16, Asking: 16}

// Answer is what a resolver said of a name.
type Answer struct {
	Addrs  []netip.Addr
	TTL    time.Duration
	Failed bool // no answer came; with false and no addresses the name has none
}

// name is one name that is to be resolved.
type name struct {
	addrs  []netip.Addr
	until  time.Duration // the answer counts until then
	next   time.Duration // ask then
	fails  int           // answers in a row that failed
	empty  time.Duration // since when the answers have been empty; 0 for never
	asking bool
	users  []int // endpoints, indices
}

// Conflict is an address that a name stands for and that is not used, because
// another partner has it.
type Conflict struct {
	Host    string
	Address Address
	Partner int // who has it
}

// Names decides what the names in an endpoint list stand for: when each is asked
// for, how long an answer counts, what of it is believed and used. It does no
// I/O, reads no clock, and draws by chance from a seed only. It is not safe for
// concurrent use.
type Names struct {
	set   NamesSettings
	rand  *rand.Rand
	list  []Endpoint
	names map[string]*name
	// claims tell which partner an address without proof belongs to. Those that
	// a list spells out come first; among names the first one holds.
	claims map[Address]claim
	held   [][]Address // by endpoint: what its names claimed
	asking int
	// Conflicts are those in force, at most mostConflicts of them.
	Conflicts []Conflict
}

type claim struct {
	partner int
	listed  bool
	users   int
}

const (
	mostConflicts = 1000
	// doubt is how long a name that had addresses must have none before that is
	// believed: an empty answer is also what a broken zone transfer looks like.
	doubt = 3 * time.Second
	// again after an answer that failed, doubling up to mostAgain (RFC 8767, 5, has 30 s).
	again     = time.Second
	mostAgain = 30 * time.Second
)

// NewNames draws from the seed.
func NewNames(set NamesSettings, seed uint64) *Names {
	return &Names{set: set, rand: rand.New(rand.NewPCG(seed, 7)), names: map[string]*name{}, claims: map[Address]claim{}}
}

// Set takes in a whole list. It returns the addresses of each endpoint that
// needs a book: one with several, or with a name. What is known of names that
// stay is kept.
func (n *Names) Set(now time.Duration, list []Endpoint) map[string][]Address {
	n.list = list
	clear(n.claims)
	n.held = make([][]Address, len(list))
	n.Conflicts = nil
	old := n.names
	n.names = map[string]*name{}
	for i, e := range list {
		for _, a := range e.Addrs {
			if a.Family != Name {
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
					k = &name{next: now}
				}
				k.users = nil
				n.names[host] = k
			}
			if len(k.users) == 0 || k.users[len(k.users)-1] != i {
				k.users = append(k.users, i)
			}
		}
	}
	n.asking = 0
	for _, k := range n.names {
		if k.asking {
			n.asking++
		}
	}
	out := map[string][]Address{}
	for i, e := range list {
		if len(e.Addrs) > 1 || len(e.Addrs) == 1 && (e.Addrs[0].Family == Name || e.Addrs[0].String() != e.Host) {
			out[e.Host] = n.expand(i)
		}
	}
	return out
}

// expand replaces the names of an endpoint by what they stand for, and claims
// those addresses for its partner.
func (n *Names) expand(i int) []Address {
	e := n.list[i]
	n.release(i)
	out := make([]Address, 0, len(e.Addrs))
	for _, a := range e.Addrs {
		if a.Family != Name {
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
				if len(n.Conflicts) < mostConflicts {
					n.Conflicts = append(n.Conflicts, Conflict{e.Host, at, c.partner})
				}
				continue
			} else if !e.Secure {
				n.claims[at] = claim{e.Partner, c.listed, c.users + 1}
				n.held[i] = append(n.held[i], at)
			}
			out = append(out, at)
		}
	}
	return out
}

// release takes back what an endpoint's names claimed, and its conflicts.
func (n *Names) release(i int) {
	for _, at := range n.held[i] {
		c := n.claims[at]
		if c.users--; c.users <= 0 && !c.listed {
			delete(n.claims, at)
		} else {
			n.claims[at] = c
		}
	}
	n.held[i] = nil
	n.Conflicts = slices.DeleteFunc(n.Conflicts, func(x Conflict) bool { return n.list[i].Host == x.Host })
}

// Due are the names to ask for now, the longest due first, and when to look
// again at the latest; below 0 where an answer must come first.
func (n *Names) Due(now time.Duration) (ask []string, next time.Duration) {
	next = -1
	for host, k := range n.names {
		switch {
		case k.asking:
		case k.next <= now:
			ask = append(ask, host)
		case next < 0 || k.next < next:
			next = k.next
		}
	}
	slices.SortFunc(ask, func(x, y string) int { return cmp.Or(cmp.Compare(n.names[x].next, n.names[y].next), cmp.Compare(x, y)) })
	ask = ask[:min(len(ask), max(0, n.set.Asking-n.asking))]
	for _, host := range ask {
		n.names[host].asking = true
	}
	n.asking += len(ask)
	return ask, next
}

// Answered takes in what became of asking for a name, and returns the addresses
// of the endpoints for which that changes something.
func (n *Names) Answered(now time.Duration, host string, a Answer) map[string][]Address {
	k := n.names[host]
	if k == nil || !k.asking {
		return nil
	}
	k.asking = false
	n.asking--
	var next []netip.Addr
	switch {
	case a.Failed:
		k.fails++
		k.next = now + n.blur(min(again<<min(k.fails-1, 10), mostAgain))
		if now < k.until+n.set.Stale {
			return nil
		}
		// Too old to be believed any more.
	case len(a.Addrs) == 0:
		k.fails = 0
		if k.empty == 0 {
			k.empty = max(now, 1)
		}
		if len(k.addrs) > 0 && now-k.empty < doubt {
			k.next = now + n.blur(doubt/2)
			return nil
		}
		k.until, k.next = now, now+n.blur(min(max(a.TTL, doubt), mostAgain))
	default:
		ttl := min(max(a.TTL, n.set.Least), n.set.Most)
		k.fails, k.empty, k.until = 0, 0, now+ttl
		k.next = now + n.blur(ttl) // before it runs out, so that no call ever waits for an answer
		next = n.pick(k.addrs, a.Addrs)
	}
	barred := func(i int) bool {
		return slices.ContainsFunc(n.Conflicts, func(x Conflict) bool { return n.list[i].Host == x.Host })
	}
	if slices.Equal(next, k.addrs) && !slices.ContainsFunc(k.users, barred) {
		return nil
	}
	k.addrs = next
	for _, i := range k.users {
		n.release(i) // all, before one of them claims anew
	}
	out := map[string][]Address{}
	for _, i := range k.users {
		out[n.list[i].Host] = n.expand(i)
	}
	return out
}

// blur draws a time between four fifths of one and all of it, so that neither
// names nor relays come in step.
func (n *Names) blur(d time.Duration) time.Duration {
	return d - time.Duration(n.rand.Float64()*float64(d)/5)
}

// pick chooses which addresses of an answer are used: those that were used
// before stay, so that connections do; others are drawn by chance, so that the
// relays of a fleet spread over them; families take turns.
func (n *Names) pick(old, all []netip.Addr) []netip.Addr {
	var by [2][]netip.Addr
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
		by[f] = append(by[f], ip)
	}
	var out []netip.Addr
	for _, l := range by {
		slices.SortFunc(l, netip.Addr.Compare) // servers rotate answers; that is no news
		n.rand.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
		slices.SortStableFunc(l, func(x, y netip.Addr) int { return cmp.Compare(place(old, x), place(old, y)) })
	}
	for i := 0; len(out) < n.set.Each && i < max(len(by[0]), len(by[1])); i++ {
		for _, l := range by {
			if i < len(l) && len(out) < n.set.Each {
				out = append(out, l[i])
			}
		}
	}
	return out
}

func place(list []netip.Addr, ip netip.Addr) int {
	if i := slices.Index(list, ip); i >= 0 {
		return i
	}
	return len(list)
}

// Resolved is what a report shows of a name.
type Resolved struct {
	Name  string        `json:"name"`
	Addrs []netip.Addr  `json:"addresses"`
	Left  time.Duration `json:"ttl_left_ns"` // below 0: served past its time
	Fails int           `json:"fails"`
}

// Known tells of every name, in their order.
func (n *Names) Known(now time.Duration) (out []Resolved) {
	for host, k := range n.names {
		out = append(out, Resolved{host, k.addrs, k.until - now, k.fails})
	}
	slices.SortFunc(out, func(x, y Resolved) int { return cmp.Compare(x.Name, y.Name) })
	return out
}
