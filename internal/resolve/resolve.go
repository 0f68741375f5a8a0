// Package resolve looks up the addresses of host names, either at configured DNS servers (RFC
// 1035), whose TTLs it passes on, or through the system's resolver, which reports no TTL. It does
// not decide when a name is queried or which answers are accepted; addr.NameCache does.
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

// Resolver looks up the addresses of a host name and their TTL. It returns an error if no answer
// came; a name that has no addresses is no error.
type Resolver interface {
	Lookup(ctx context.Context, name string) ([]netip.Addr, time.Duration, error)
}

// System resolves names through the resolver of the operating system. That reports no TTLs; TTL is
// returned instead.
type System struct{ TTL time.Duration }

// Lookup queries the system's resolver.
func (s System) Lookup(ctx context.Context, name string) ([]netip.Addr, time.Duration, error) {
	ips, err := net.DefaultResolver.LookupNetIP(ctx, "ip", name)
	if no := (*net.DNSError)(nil); errors.As(err, &no) && no.IsNotFound {
		return nil, s.TTL, nil
	}
	if err != nil {
		return nil, 0, fmt.Errorf("resolve: %s: %w", name, err)
	}
	return ips, s.TTL, nil
}

// Servers queries recursive DNS servers, one after the other until one answers.
type Servers struct {
	Addrs   []string      // host:port of each server
	Timeout time.Duration // of one query over one transport
}

// maxTTL is the largest TTL that a record can have (RFC 2181, 8).
const maxTTL = math.MaxInt32 * time.Second

// Lookup queries A and AAAA records concurrently. If one query fails and the other returns addresses,
// those are used: a server that fails for one family must not make the endpoint unreachable.
func (s Servers) Lookup(ctx context.Context, name string) ([]netip.Addr, time.Duration, error) {
	type result struct {
		ips []netip.Addr
		ttl time.Duration
		err error
	}
	results := make(chan result, 2)
	for _, kind := range []uint16{dns.TypeA, dns.TypeAAAA} {
		go func() {
			ips, ttl, err := s.query(ctx, name, kind)
			results <- result{ips, ttl, err}
		}()
	}
	var out []netip.Addr
	var err error
	ttl := maxTTL
	for range 2 {
		p := <-results
		if p.err != nil {
			err = p.err
			continue
		}
		out, ttl = append(out, p.ips...), min(ttl, p.ttl)
	}
	if err != nil && len(out) == 0 {
		return nil, 0, fmt.Errorf("resolve: %s: %w", name, err)
	}
	// query asks each server for records of one type until one answers.
	return out, ttl, nil
}

func (s Servers) query(ctx context.Context, name string, kind uint16) (
	ips []netip.Addr, ttl time.Duration, err error) {
	q := new(dns.Msg)
	q.SetQuestion(dns.Fqdn(name), kind)
	q.SetEdns0(1232, false)
	for _, at := range s.Addrs {
		var r *dns.Msg
		for _, network := range []string{"udp", "tcp"} { // TCP if the answer is truncated (RFC 7766)
			q.Id = dns.Id()
			c := &dns.Client{Net: network, Timeout: s.Timeout, UDPSize: 1232}
			if r, _, err = c.ExchangeContext(ctx, q, at); err != nil || !r.Truncated {
				break
			}
		}
		if err != nil {
			continue
		}
		if ips, ttl, err = parseAnswer(q, r); err == nil {
			return ips, ttl, nil
		}
	}
	if err == nil {
		err = errors.New("no DNS server is configured")
	}
	return nil, 0, err
}

// parseAnswer extracts the addresses from an answer, following CNAME records. The TTL is the lowest
// of all records on the way, or that of the SOA record if there are no addresses (RFC 2308, 5).
func parseAnswer(q, r *dns.Msg) (ips []netip.Addr, ttl time.Duration, err error) {
	switch {
	case r.Rcode != dns.RcodeSuccess && r.Rcode != dns.RcodeNameError:
		return nil, 0, fmt.Errorf("server answered %s", dns.RcodeToString[r.Rcode])
	case len(r.Question) != 1 || r.Question[0].Qtype != q.Question[0].Qtype ||
		dns.CanonicalName(r.Question[0].Name) != dns.CanonicalName(q.Question[0].Name):
		return nil, 0, errors.New("the answer does not match the question")
	}
	ttl = maxTTL
	owner := dns.CanonicalName(q.Question[0].Name)
	for range 16 { // limit on the chain of CNAME records
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

// Sink receives resolved addresses: those of all endpoints that have more than the address in their
// name, or those of the endpoints that changed.
type Sink interface {
	SetAddresses(all map[string][]addr.Address)
	UpdateAddresses(some map[string][]addr.Address)
}

// Refresher keeps the addresses of the host names in an endpoint list up to date.
type Refresher struct {
	resolver Resolver
	timeout  time.Duration
	epoch    time.Time
	sink     Sink
	report   func(name string, err error)

	mu    sync.Mutex
	cache *addr.NameCache
	wake  chan struct{}
}

// New returns a Refresher. report is called for each name whose query failed.
func New(r Resolver, set addr.NameCacheSettings, timeout time.Duration, sink Sink,
	report func(name string, err error)) *Refresher {
	return &Refresher{resolver: r, timeout: timeout, epoch: time.Now(), sink: sink, report: report,
		cache: addr.NewNameCache(set, rand.Uint64()), wake: make(chan struct{}, 1)}
}

// Set replaces the endpoint list.
func (f *Refresher) Set(list []addr.Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sink.SetAddresses(f.cache.Set(time.Since(f.epoch), list)) // under the lock, so that updates keep their order
	f.wakeUp()
}

// wakeUp makes Run look for due names without waiting for its timer.
func (f *Refresher) wakeUp() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Run queries names as they become due, until ctx ends.
func (f *Refresher) Run(ctx context.Context) {
	var wait sync.WaitGroup
	defer wait.Wait()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		f.mu.Lock()
		now := time.Since(f.epoch)
		due, next := f.cache.Due(now)
		f.mu.Unlock()
		for _, name := range due {
			wait.Go(func() { f.refresh(ctx, name) })
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

func (f *Refresher) refresh(ctx context.Context, name string) {
	// refresh queries one name and passes on the addresses that changed.
	queryCtx, cancel := context.WithTimeout(ctx, f.timeout)
	ips, ttl, err := f.resolver.Lookup(queryCtx, name)
	cancel()
	if err != nil && ctx.Err() == nil {
		f.report(name, err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if changed := f.cache.Answered(time.Since(f.epoch), name,
		addr.Answer{Addrs: ips, TTL: ttl, Failed: err != nil}); len(changed) > 0 {
		f.sink.UpdateAddresses(changed)
	}
	f.wakeUp()
}

// Status returns the status of every name, and the addresses that are not used because they belong
// to another partner.
func (f *Refresher) Status() ([]addr.NameStatus, []addr.Conflict) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cache.Status(time.Since(f.epoch)), append([]addr.Conflict(nil), f.cache.Conflicts...)
}
