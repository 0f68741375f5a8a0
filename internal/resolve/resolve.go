// Package resolve asks for the addresses of names: by DNS servers that are named
// (RFC 1035, TTLs obeyed), or by the system, which tells no TTL. What is asked
// when, and what is believed, decides addr.Names.
package resolve

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/miekg/dns"

	"basaltcross.example/basaltcross/internal/addr"
)

// Resolver tells the addresses of a name. An error means that none came; a name
// without addresses is no error.
type Resolver interface {
	Look(ctx context.Context, name string) ([]netip.Addr, time.Duration, error)
}

// System asks as the system is set up. It knows no TTLs: TTL stands for them.
type System struct{ TTL time.Duration }

// Look asks the system.
func (s System) Look(ctx context.Context, name string) ([]netip.Addr, time.Duration, error) {
	ips, err := net.DefaultResolver.LookupNetIP(ctx, "ip", name)
	if no := (*net.DNSError)(nil); errors.As(err, &no) && no.IsNotFound {
		return nil, s.TTL, nil
	}
	if err != nil {
		return nil, 0, fmt.Errorf("resolve: %s: %w", name, err)
	}
	return ips, s.TTL, nil
}

// Servers asks recursive DNS servers, one after the other until one answers.
type Servers struct {
	Addrs   []string // host:port
	Timeout time.Duration
}

// mostTTL is a TTL that no record exceeds (RFC 2181, 8).
const mostTTL = math.MaxInt32 * time.Second

// Look asks for A and AAAA records. Where one kind fails and the other has
// addresses, those count: a broken server for one family is no reason to go without both.
func (s Servers) Look(ctx context.Context, name string) ([]netip.Addr, time.Duration, error) {
	type part struct {
		ips []netip.Addr
		ttl time.Duration
		err error
	}
	parts := make(chan part, 2)
	for _, kind := range []uint16{dns.TypeA, dns.TypeAAAA} {
		go func() {
			ips, ttl, err := s.ask(ctx, name, kind)
			parts <- part{ips, ttl, err}
		}()
	}
	var out []netip.Addr
	var err error
	ttl := mostTTL
	for range 2 {
		p := <-parts
		if p.err != nil {
			err = p.err
			continue
		}
		out, ttl = append(out, p.ips...), min(ttl, p.ttl)
	}
	if err != nil && len(out) == 0 {
		return nil, 0, fmt.Errorf("resolve: %s: %w", name, err)
	}
	return out, ttl, nil
}

func (s Servers) ask(ctx context.Context, name string, kind uint16) (ips []netip.Addr, ttl time.Duration, err error) {
	q := new(dns.Msg)
	q.SetQuestion(dns.Fqdn(name), kind)
	q.SetEdns0(1232, false)
	for _, at := range s.Addrs {
		var r *dns.Msg
		for _, network := range []string{"udp", "tcp"} { // TCP where the answer was cut off (RFC 7766)
			q.Id = dns.Id()
			c := &dns.Client{Net: network, Timeout: s.Timeout, UDPSize: 1232}
			if r, _, err = c.ExchangeContext(ctx, q, at); err != nil || !r.Truncated {
				break
			}
		}
		if err != nil {
			continue
		}
		if ips, ttl, err = read(q, r); err == nil {
			return ips, ttl, nil
		}
	}
	if err == nil {
		err = errors.New("no server to ask")
	}
	return nil, 0, err
}

// read takes the addresses from an answer, along its aliases; its TTL is the
// least of all records on the way, or that of the SOA where there are none (RFC 2308, 5).
func read(q, r *dns.Msg) (ips []netip.Addr, ttl time.Duration, err error) {
	switch {
	case r.Rcode != dns.RcodeSuccess && r.Rcode != dns.RcodeNameError:
		return nil, 0, fmt.Errorf("answer %s", dns.RcodeToString[r.Rcode])
	case len(r.Question) != 1 || r.Question[0].Qtype != q.Question[0].Qtype ||
		dns.CanonicalName(r.Question[0].Name) != dns.CanonicalName(q.Question[0].Name):
		return nil, 0, errors.New("an answer to another question")
	}
	ttl = mostTTL
	owner := dns.CanonicalName(q.Question[0].Name)
	for range 16 { // aliases in a row
		next := ""
		for _, rr := range r.Answer {
			h := rr.Header()
			if dns.CanonicalName(h.Name) != owner {
				continue
			}
			var ip net.IP
			switch rr := rr.(type) {
			case *dns.CNAME:
				next = dns.CanonicalName(rr.Target)
			case *dns.A:
				ip = rr.A
			case *dns.AAAA:
				ip = rr.AAAA
			default:
				continue
			}
			if a, ok := netip.AddrFromSlice(ip); ok {
				ips = append(ips, a.Unmap())
			}
			ttl = min(ttl, time.Duration(h.Ttl)*time.Second)
		}
		if next == "" || len(ips) > 0 {
			break
		}
		owner = next
	}
	if len(ips) == 0 {
		for _, rr := range r.Ns {
			if soa, ok := rr.(*dns.SOA); ok {
				ttl = min(ttl, time.Duration(min(soa.Hdr.Ttl, soa.Minttl))*time.Second)
			}
		}
	}
	return ips, ttl, nil
}

// Sink takes the addresses of endpoints: of all that need more than their own,
// or of those for which they changed.
type Sink interface {
	Addresses(all map[string][]addr.Address)
	Changed(some map[string][]addr.Address)
}

// Follower keeps the addresses of a list's names up to date.
type Follower struct {
	resolver Resolver
	timeout  time.Duration
	epoch    time.Time
	to       Sink
	report   func(name string, err error)

	mu    sync.Mutex
	names *addr.Names
	wake  chan struct{}
}

// New makes a follower; report is told of names that could not be looked up.
func New(r Resolver, set addr.NamesSettings, timeout time.Duration, to Sink, report func(name string, err error)) *Follower {
	return &Follower{resolver: r, timeout: timeout, epoch: time.Now(), to: to, report: report,
		names: addr.NewNames(set, rand.Uint64()), wake: make(chan struct{}, 1)}
}

// Set takes in a whole list.
func (f *Follower) Set(list []addr.Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.to.Addresses(f.names.Set(time.Since(f.epoch), list)) // under the lock: news must not overtake each other
	f.nudge()
}

func (f *Follower) nudge() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Run asks for names until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var wait sync.WaitGroup
	defer wait.Wait()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		f.mu.Lock()
		now := time.Since(f.epoch)
		ask, next := f.names.Due(now)
		f.mu.Unlock()
		for _, name := range ask {
			wait.Go(func() { f.look(ctx, name) })
		}
		sleep := time.Hour
		if next >= 0 {
			sleep = max(next-now, time.Millisecond)
		}
		timer.Reset(sleep)
		select {
		case <-ctx.Done():
			return
		case <-f.wake:
		case <-timer.C:
		}
	}
}

func (f *Follower) look(ctx context.Context, name string) {
	within, cancel := context.WithTimeout(ctx, f.timeout)
	ips, ttl, err := f.resolver.Look(within, name)
	cancel()
	if err != nil && ctx.Err() == nil {
		f.report(name, err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if news := f.names.Answered(time.Since(f.epoch), name, addr.Answer{Addrs: ips, TTL: ttl, Failed: err != nil}); len(news) > 0 {
		f.to.Changed(news)
	}
	f.nudge()
}

// Known reports every name, and addresses that are left out as another partner's.
func (f *Follower) Known() ([]addr.Resolved, []addr.Conflict) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.names.Known(time.Since(f.epoch)), append([]addr.Conflict(nil), f.names.Conflicts...)
}
