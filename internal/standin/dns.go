package standin

import (
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"

	"github.com/miekg/dns"
)

// DNSAnswer configures the answer of the stand-in DNS server for one name.
type DNSAnswer struct {
	Addrs      []netip.Addr
	Alias      string // target of a CNAME, which replaces the addresses
	TTL        uint32 // seconds
	Rcode      int
	NoResponse bool // sends no response
	Truncate   bool // truncates responses over UDP, so that the client must retry over TCP
}

// DNS is a stand-in DNS server on loopback, over UDP and TCP.
type DNS struct {
	Addr string
	udp  *dns.Server
	tcp  *dns.Server

	mu      sync.Mutex
	zones   map[string]DNSAnswer
	queries map[string]int // queries by name
}

// StartDNS starts a server on a free port of 127.0.0.1.
func StartDNS() (*DNS, error) {
	d := &DNS{zones: map[string]DNSAnswer{}, queries: map[string]int{}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("standin: %w", err)
	}
	d.Addr = l.Addr().String()
	p, err := net.ListenPacket("udp", d.Addr)
	if err != nil {
		_ = l.Close()
		return nil, fmt.Errorf("standin: %w", err)
	}
	d.udp, d.tcp = &dns.Server{PacketConn: p, Handler: d}, &dns.Server{Listener: l, Handler: d}
	for _, s := range []*dns.Server{d.udp, d.tcp} {
		up := make(chan struct{})
		s.NotifyStartedFunc = func() { close(up) }
		go func() { _ = s.ActivateAndServe() }()
		<-up
	}
	return d, nil
}

// Close stops the server.
func (d *DNS) Close() {
	_ = d.udp.Shutdown()
	_ = d.tcp.Shutdown()
}

// Set replaces the answer for a name.
func (d *DNS) Set(name string, z DNSAnswer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.zones[dns.CanonicalName(name)] = z
}

// QueryCount returns the number of queries for a name.
func (d *DNS) QueryCount(name string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queries[dns.CanonicalName(name)]
}

// ServeDNS answers a query. It follows at most 20 CNAMEs, which may form a loop. Names that were
// not set get NXDOMAIN.
func (d *DNS) ServeDNS(w dns.ResponseWriter, q *dns.Msg) {
	r := new(dns.Msg)
	r.SetReply(q)
	name := dns.CanonicalName(q.Question[0].Name)
	d.mu.Lock()
	z, ok := d.zones[name]
	d.queries[name]++
	d.mu.Unlock()
	if z.NoResponse {
		return
	}
	if r.Rcode = z.Rcode; !ok {
		r.Rcode = dns.RcodeNameError
	}
	if z.Truncate && strings.HasPrefix(w.LocalAddr().Network(), "udp") {
		r.Truncated = true
		_ = w.WriteMsg(r)
		return
	}
	for owner, n := name, 0; n < 20; n++ {
		if z.Alias != "" {
			r.Answer = append(r.Answer, &dns.CNAME{Hdr: dns.RR_Header{Name: owner, Rrtype: dns.TypeCNAME,
				Class: dns.ClassINET, Ttl: z.TTL}, Target: dns.Fqdn(z.Alias)})
			owner = dns.CanonicalName(z.Alias)
			d.mu.Lock()
			z = d.zones[owner]
			d.mu.Unlock()
			continue
		}
		for _, ip := range z.Addrs {
			h := dns.RR_Header{Name: owner, Rrtype: q.Question[0].Qtype, Class: dns.ClassINET, Ttl: z.TTL}
			switch {
			case ip.Is4() && h.Rrtype == dns.TypeA:
				r.Answer = append(r.Answer, &dns.A{Hdr: h, A: ip.AsSlice()})
			case ip.Is6() && h.Rrtype == dns.TypeAAAA:
				r.Answer = append(r.Answer, &dns.AAAA{Hdr: h, AAAA: ip.AsSlice()})
			}
		}
		break
	}
	_ = w.WriteMsg(r)
}
