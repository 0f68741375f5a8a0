package resolve

import (
	"context"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/miekg/dns"

	"basaltcross.example/basaltcross/internal/addr"
	"basaltcross.example/basaltcross/internal/standin"
)

func server(t *testing.T) *standin.DNS {
	t.Helper()
	d, err := standin.StartDNS()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return d
}

func ips(list ...string) (out []netip.Addr) {
	for _, s := range list {
		out = append(out, netip.MustParseAddr(s))
	}
	return out
}

// Guards against wrong addresses or TTLs: CNAME records, both families, the lowest TTL of a chain,
// truncated answers, no addresses, a CNAME loop, and a failing server before one that answers.
func TestServers(t *testing.T) {
	d := server(t)
	d.Set("a.example", standin.DNSAnswer{Alias: "b.example", TTL: 7})
	d.Set("b.example", standin.DNSAnswer{Addrs: ips("127.0.0.1", "::1", "127.0.0.2"), TTL: 60, Truncate: true})
	d.Set("cut.example", standin.DNSAnswer{Addrs: ips("127.0.0.3"), TTL: 60, Truncate: true})
	d.Set("loop.example", standin.DNSAnswer{Alias: "loop.example", TTL: 9})
	d.Set("bad.example", standin.DNSAnswer{Rcode: dns.RcodeServerFailure})
	d.Set("mute.example", standin.DNSAnswer{NoResponse: true})
	s := Servers{Addrs: []string{"127.0.0.1:1", d.Addr}, Timeout: 300 * time.Millisecond}
	for _, c := range []struct {
		name string
		want []netip.Addr
		ttl  time.Duration // 0: not checked
		fail bool
	}{
		{"a.example", ips("127.0.0.1", "127.0.0.2", "::1"), 7 * time.Second, false},
		{"cut.example", ips("127.0.0.3"), 60 * time.Second, false},
		{"loop.example", nil, 0, false}, {"none.example", nil, 0, false},
		{"bad.example", nil, 0, true}, {"mute.example", nil, 0, true},
	} {
		got, ttl, err := s.Lookup(context.Background(), c.name)
		slices.SortFunc(got, netip.Addr.Compare)
		if !slices.Equal(got, c.want) || c.ttl > 0 && ttl != c.ttl || (err != nil) != c.fail {
			t.Errorf("%s: %v, %v, %v", c.name, got, ttl, err)
		}
	}
}

// sink forwards the addresses that it receives.
type sink chan map[string][]addr.Address

func (s sink) SetAddresses(all map[string][]addr.Address)     { s <- all }
func (s sink) UpdateAddresses(some map[string][]addr.Address) { s <- some }

// Guards against a changed name that is not followed within its TTL, and against addresses that are
// lost while the server does not answer: they stay, and the name is queried again without a busy
// loop.
func TestFollower(t *testing.T) {
	d := server(t)
	d.Set("bank.example", standin.DNSAnswer{Addrs: ips("127.0.0.1"), TTL: 1})
	news := make(sink, 100)
	f := New(Servers{Addrs: []string{d.Addr}, Timeout: 100 * time.Millisecond}, addr.DefaultNameCacheSettings,
		200*time.Millisecond, news,
		func(string, error) {})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { f.Run(ctx); close(done) }()
	a, _ := addr.Parse("bank.example:80")
	f.Set([]addr.Endpoint{{Host: "bank:1", Addrs: []addr.Address{a}}})
	next := func() string {
		select {
		case n := <-news:
			if len(n["bank:1"]) == 0 {
				return ""
			}
			return n["bank:1"][0].String()
		case <-time.After(20 * time.Second):
			t.Fatal("no update within 20 s")
			return ""
		}
	}
	if next() != "" || next() != "127.0.0.1:80" {
		t.Fatal("the first address was not reported")
	}
	d.Set("bank.example", standin.DNSAnswer{Addrs: ips("127.0.0.2"), TTL: 1})
	if next() != "127.0.0.2:80" {
		t.Fatal("the changed address was not reported")
	}
	d.Set("bank.example", standin.DNSAnswer{NoResponse: true})
	asked := d.QueryCount("bank.example")
	for d.QueryCount("bank.example") < asked+3 {
		time.Sleep(10 * time.Millisecond)
	}
	if known, _ := f.Status(); len(known) != 1 || len(known[0].Addrs) != 1 || len(news) > 0 {
		t.Errorf("without answers: %+v, %d updates", known, len(news))
	}
	d.Set("bank.example", standin.DNSAnswer{Addrs: ips("127.0.0.3"), TTL: 1})
	if next() != "127.0.0.3:80" {
		t.Error("the new address was not reported once the server answered again")
	}
	cancel()
	<-done
}
