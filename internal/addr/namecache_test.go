package addr

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func ips(list ...string) (out []netip.Addr) {
	for _, s := range list {
		out = append(out, netip.MustParseAddr(s))
	}
	return out
}

// ask marks the names that are due as queried, and fails unless host is among them.
func ask(t interface{ Fatalf(string, ...any) }, n *NameCache, now time.Duration, host string) {
	due, _ := n.Due(now)
	for _, d := range due {
		if d == host {
			return
		}
	}
	t.Fatalf("%v: %s is not due, %v is", now, host, due)
}

// Guards against TTLs that are not applied or not limited, and against addresses that are lost
// while the resolver fails or after a single empty answer.
func TestNamesTTL(t *testing.T) {
	n := NewNameCache(NameCacheSettings{MinTTL: time.Second, MaxTTL: time.Minute, MaxStale: time.Minute,
		MaxAddresses: 4, MaxQueries: 4}, 1)
	e := Endpoint{Host: "bank:1", Addrs: parse(t, "bank.example:80", "127.0.0.9:80")}
	if got := n.Set(0, []Endpoint{e}); len(got["bank:1"]) != 1 {
		t.Fatalf("before any answer: %v", got)
	}
	ask(t, n, 0, "bank.example")
	got := n.Answered(0, "bank.example", Answer{Addrs: ips("::1", "127.0.0.1", "127.0.0.1"), TTL: 10 * time.Second})
	if fmt.Sprint(got["bank:1"]) != "[[::1]:80 127.0.0.1:80 127.0.0.9:80]" {
		t.Fatalf("answered: %v", got)
	}
	if due, next := n.Due(7 * time.Second); len(due) > 0 || next < 8*time.Second || next > 10*time.Second {
		t.Fatalf("due %v, next %v", due, next)
	}
	ask(t, n, 10*time.Second, "bank.example")
	if got := n.Answered(10*time.Second, "bank.example", Answer{Failed: true}); got != nil {
		t.Fatalf("a failure changed %v", got)
	}
	ask(t, n, 12*time.Second, "bank.example")
	if got := n.Answered(12*time.Second, "bank.example", Answer{}); got != nil {
		t.Fatalf("one empty answer changed %v", got)
	}
	ask(t, n, 15*time.Second, "bank.example")
	if got := n.Answered(15*time.Second, "bank.example", Answer{}); len(got["bank:1"]) != 1 {
		t.Fatalf("a second empty answer: %v", got)
	}
	ask(t, n, 18*time.Second, "bank.example")
	n.Answered(18*time.Second, "bank.example", Answer{Addrs: ips("127.0.0.1"), TTL: time.Hour})
	ask(t, n, 79*time.Second, "bank.example") // the TTL of an hour is limited to a minute
	n.Answered(79*time.Second, "bank.example", Answer{Failed: true})
	ask(t, n, 140*time.Second, "bank.example")
	if got := n.Answered(140*time.Second, "bank.example", Answer{Failed: true}); len(got["bank:1"]) != 1 {
		t.Fatalf("past the limit for stale answers: %v", got)
	}
}

// Guards against an answer with a hundred addresses that is used whole or makes the addresses in
// use change, and against a name that resolves to an address of another partner, which only an
// authenticated endpoint may use.
func TestNamesLimitsAndConflicts(t *testing.T) {
	n := NewNameCache(DefaultNameCacheSettings, 1)
	secure := Endpoint{Host: "c:1", Partner: 2, Secure: true, Addrs: parse(t, "c.example:80")}
	n.Set(0, []Endpoint{{Host: "a:1", Partner: 0, Addrs: parse(t, "a.example:80")},
		{Host: "127.0.0.7:80", Partner: 1, Addrs: parse(t, "127.0.0.7:80")}, secure})
	n.Due(0)
	var many []netip.Addr
	for i := range 100 {
		many = append(many, netip.AddrFrom4([4]byte{127, 1, 0, byte(i + 1)}),
			netip.MustParseAddr(fmt.Sprintf("fd00::%x", i+1)))
	}
	first := n.Answered(0, "a.example", Answer{Addrs: many, TTL: time.Second})["a:1"]
	six := 0
	for _, a := range first {
		if a.Family == IPv6 {
			six++
		}
	}
	if len(first) != 16 || six != 8 {
		t.Fatalf("%d addresses, %d of IPv6", len(first), six)
	}
	n.Due(2 * time.Second)
	if got := n.Answered(2*time.Second, "a.example", Answer{Addrs: many, TTL: time.Second}); got != nil {
		t.Errorf("the same answer changed %v", got)
	}
	n.Due(4 * time.Second)
	got := n.Answered(4*time.Second, "a.example", Answer{Addrs: ips("127.0.0.7", "127.0.0.8"), TTL: time.Second})
	if fmt.Sprint(got["a:1"]) != "[127.0.0.8:80]" || len(n.Conflicts) != 1 || n.Conflicts[0].Partner != 1 {
		t.Errorf("an address of another partner: %v, %v", got, n.Conflicts)
	}
	if got := n.Answered(4*time.Second, "c.example",
		Answer{Addrs: ips("127.0.0.7"), TTL: time.Second}); len(got["c:1"]) != 1 {
		t.Errorf("an authenticated endpoint: %v", got)
	}
}

// Guards, by random answers, against more addresses or concurrent queries than configured, against
// an address used by two partners without authentication, and against names that are never queried
// again.
func TestNamesAnything(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := NameCacheSettings{MinTTL: time.Second, MaxTTL: time.Minute, MaxStale: time.Minute,
			MaxAddresses: 3, MaxQueries: 2}
		n := NewNameCache(set, 1)
		var list []Endpoint
		for i := range 5 {
			list = append(list, Endpoint{Host: fmt.Sprintf("e%d:1", i), Partner: i % 3,
				Addrs: parse(t, fmt.Sprintf("n%d.example:80", i%4))})
		}
		now := time.Duration(0)
		held := n.Set(now, list)
		var out []string
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 9000).Draw(t, "ms")) * ms
			due, next := n.Due(now)
			if out = append(out, due...); len(out) > set.MaxQueries {
				t.Fatalf("%d concurrent queries", len(out))
			}
			if len(out) == 0 && next < 0 {
				t.Fatal("no query is outstanding or scheduled")
			}
			if len(out) > 0 && rapid.Bool().Draw(t, "answer") {
				a := Answer{TTL: time.Duration(rapid.IntRange(0, 90).Draw(t, "ttl")) * time.Second,
					Failed: rapid.Bool().Draw(t, "failed")}
				for range rapid.IntRange(0, 5).Draw(t, "n") {
					a.Addrs = append(a.Addrs,
						netip.AddrFrom4([4]byte{127, 0, 0, byte(rapid.IntRange(1, 6).Draw(t, "ip"))}))
				}
				for host, l := range n.Answered(now, out[0], a) {
					held[host] = l
				}
				out = out[1:]
			}
			if rapid.IntRange(0, 20).Draw(t, "relist") == 0 {
				held = n.Set(now, list)
			}
			owner := map[Address]int{}
			for _, e := range list {
				if len(held[e.Host]) > set.MaxAddresses {
					t.Fatalf("%s has too many addresses: %v", e.Host, held[e.Host])
				}
				for _, a := range held[e.Host] {
					if p, ok := owner[a]; ok && p != e.Partner {
						t.Fatalf("partners %d and %d share %v", p, e.Partner, a)
					}
					owner[a] = e.Partner
				}
			}
		}
	})
}
