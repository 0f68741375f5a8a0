// Package catalog follows services in Consul's catalogue and health API with blocking
// queries, and keeps a relay registered there. Pacer decides when to query and whether an
// answer is up to date; what follows from an answer is decided by package member.
package catalog

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/consul/api"

	"basaltcross.example/basaltcross/internal/member"

	"basaltcross.example/basaltcross/internal/pause"
)

// Options configures a Client.
type Options struct {
	Address     string // host:port, which http:// or https:// may precede
	Token       string
	TokenFile   string // read by the Consul library once for each Client
	Datacenter  string
	Namespace   string
	Partition   string
	Consistency string        // "default", "stale" or "consistent"
	MaxStale    time.Duration // limit on the time since the server's last contact with its leader
	Wait        time.Duration // how long a blocking query may wait for a change
	MaxBytes    int64         // limit on the size of a response
	TLS         *tls.Config   // nil for the defaults
}

// queryMargin returns the time that a query may take beyond its wait and the sixteenth of
// it that servers add: as long as the wait, but 2 s at least and 10 s at most.
func (o *Options) queryMargin() time.Duration { return min(max(o.Wait, 2*time.Second), 10*time.Second) }

// Client queries one Consul agent or server.
type Client struct {
	api *api.Client
	opt Options
}

// errTooLarge is the read error of a response that is larger than Options.MaxBytes.
var errTooLarge = errors.New("catalog: response is larger than allowed")

// limitedTransport is a transport that limits the size of each response body.
type limitedTransport struct {
	http.RoundTripper
	maxBytes int64 // bytes
}

// limitedBody is a response body that fails with errTooLarge after a number of bytes.
type limitedBody struct {
	io.ReadCloser
	remaining int64
}

func (l limitedTransport) RoundTrip(q *http.Request) (*http.Response, error) {
	r, err := l.RoundTripper.RoundTrip(q)
	if err == nil {
		r.Body = &limitedBody{r.Body, l.maxBytes}
	}
	return r, err
}

func (b *limitedBody) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, errTooLarge
	}
	n, err := b.ReadCloser.Read(p[:min(int64(len(p)), b.remaining)])
	b.remaining -= int64(n)
	return n, err
}

// New returns a client. It opens no connection.
func New(opt Options) (*Client, error) {
	t := &http.Transport{DialContext: (&net.Dialer{Timeout: opt.queryMargin()}).DialContext, TLSClientConfig: opt.TLS,
		MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute, TLSHandshakeTimeout: opt.queryMargin()}
	cfg := &api.Config{Address: opt.Address, Token: opt.Token, TokenFile: opt.TokenFile, Datacenter: opt.Datacenter,
		Namespace: opt.Namespace, Partition: opt.Partition,
		HttpClient: &http.Client{Transport: limitedTransport{t, opt.MaxBytes}}}
	if opt.TLS != nil && !strings.Contains(opt.Address, "://") {
		cfg.Scheme = "https"
	}
	c, err := api.NewClient(cfg)
	if err != nil {
		return nil, fmt.Errorf("catalog: %w", err)
	}
	return &Client{c, opt}, nil
}

// Mapping describes how the instances of a service become endpoints.
type Mapping struct {
	Service     string
	Tags        []string // tags that an instance must all have
	Filter      string   // expression in the filter language of Consul's API
	Partner     string   // partner of the endpoints
	Zone        string   // default for instances without a zone in the metadata of service or node
	Tagged      []string // names of the tagged addresses to connect to, in order of preference
	UseHealth   bool     // the health of an instance affects whether and how much it is called
	CatalogOnly bool     // health is not queried, only the catalogue, which doesn't show maintenance mode
}

// Handlers holds the functions that receive what a watch finds.
type Handlers struct {
	OnReport func(member.Report)
	OnAnswer func()          // called for each answer, also one without changes
	OnError  func(err error) // called for a failed query, and for an instance that can't be used
}

// Follow watches a service until ctx ends.
func (c *Client) Follow(ctx context.Context, m Mapping, n Handlers) {
	c.watch(ctx, n.OnError, func(q *api.QueryOptions) (*api.QueryMeta, func(fresh bool), error) {
		q.Filter = m.Filter
		var list []*api.ServiceEntry
		var meta *api.QueryMeta
		var err error
		if m.CatalogOnly {
			var all []*api.CatalogService
			all, meta, err = c.api.Catalog().ServiceMultipleTags(m.Service, m.Tags, q)
			for _, s := range all {
				list = append(list, &api.ServiceEntry{Node: &api.Node{Address: s.Address, Meta: s.NodeMeta},
					Service: &api.AgentService{ID: s.ServiceID, Address: s.ServiceAddress, Port: s.ServicePort,
						Tags: s.ServiceTags, Meta: s.ServiceMeta, TaggedAddresses: s.ServiceTaggedAddresses}})
			}
		} else {
			list, meta, err = c.api.Health().ServiceMultipleTags(m.Service, m.Tags, false, q)
		}
		if err != nil {
			return nil, nil, err
		}
		return meta, func(fresh bool) {
			r := member.Report{Fresh: fresh}
			for _, s := range list {
				e, err := m.entry(s)
				if err != nil {
					n.OnError(fmt.Errorf("catalog: service %s: %w", m.Service, err))
					continue
				}
				r.Entries = append(r.Entries, e)
			}
			n.OnReport(r)
		}, nil
	}, n.OnAnswer)
}

// watch repeats one blocking query until ctx ends. ask sends the query and returns a
// function that reports its result, which is called if the result is new.
func (c *Client) watch(ctx context.Context, failed func(error),
	ask func(*api.QueryOptions) (*api.QueryMeta, func(fresh bool), error), heard func()) {
	p := NewPacer(c.opt.Wait, c.opt.MaxStale, rand.Uint64())
	epoch := time.Now()
	refuseStale := false // the last answer was too stale, so don't allow a stale one again
	for ctx.Err() == nil {
		index := p.WaitIndex()
		within := c.opt.queryMargin()
		q := &api.QueryOptions{WaitIndex: index, AllowStale: c.opt.Consistency == "stale" && !refuseStale,
			RequireConsistent: c.opt.Consistency == "consistent"}
		if index > 0 {
			q.WaitTime = c.opt.Wait
			within += c.opt.Wait + c.opt.Wait/16
		}
		query, cancel := context.WithTimeout(ctx, within)
		began := time.Now()
		meta, report, err := ask(q.WithContext(query))
		cancel()
		var after time.Duration
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			after = p.Failed()
			failed(fmt.Errorf("catalog: %w", err))
		default:
			fresh, news, wait := p.Answered(time.Since(epoch), time.Since(began), Answer{Index: meta.LastIndex,
				LastContact: meta.LastContact, KnownLeader: meta.KnownLeader})
			refuseStale = q.AllowStale && meta.LastContact > c.opt.MaxStale
			after = wait
			if heard(); news {
				report(fresh)
			}
		}
		if after > 0 && !pause.For(ctx, after) {
			return
		}
	}
}

// draining is the tag, and the value of the metadata key "state", that takes an instance
// out of service.
const draining = "draining"

// entry translates one instance.
func (m *Mapping) entry(s *api.ServiceEntry) (e member.Entry, err error) {
	if s == nil || s.Service == nil || s.Node == nil {
		return e, errors.New("instance without a node or service")
	}
	v := s.Service
	join := func(host string, port int) (string, error) {
		if host == "" || port < 1 || port > 65535 {
			return "", fmt.Errorf("instance %q has no usable address: %q, port %d", v.ID, host, port)
		}
		return net.JoinHostPort(host, strconv.Itoa(port)), nil
	}
	host := v.Address
	if host == "" {
		host = s.Node.Address
	}
	e = member.Entry{ID: v.ID, Partner: m.Partner, Zone: m.Zone}
	if e.Addr, err = join(host, v.Port); err != nil {
		return e, err
	}
	for _, name := range m.Tagged {
		if t, ok := v.TaggedAddresses[name]; ok {
			port := t.Port
			if port == 0 {
				port = v.Port
			}
			at, err := join(t.Address, port)
			if err != nil {
				return e, err
			}
			if !slices.Contains(e.Addrs, at) {
				e.Addrs = append(e.Addrs, at)
			}
		}
	}
	if v.SocketPath != "" {
		e.Addrs = append(e.Addrs, "unix:"+v.SocketPath)
	}
	if len(e.Addrs) > 0 && !slices.Contains(e.Addrs, e.Addr) {
		e.Addrs = append(e.Addrs, e.Addr)
	}
	for _, z := range []string{v.Meta["zone"], s.Node.Meta["zone"]} {
		if z != "" {
			e.Zone = z
			break
		}
	}
	if r := v.Meta["rate"]; r != "" {
		if e.Rate, err = strconv.ParseFloat(r, 64); err != nil || !(e.Rate >= 0 && e.Rate < 1e9) {
			return e, fmt.Errorf("instance %q: rate %q is not a valid number of calls a second", v.ID, r)
		}
	}
	e.Draining = v.Meta["state"] == draining || slices.Contains(v.Tags, draining)
	for _, k := range s.Checks {
		switch {
		case k.CheckID == api.NodeMaint || strings.HasPrefix(k.CheckID, api.ServiceMaintPrefix):
			// An operator sets maintenance mode, so it is a drain and doesn't count as health.
			e.Draining = e.Draining || k.Status == api.HealthCritical
		case k.Status == api.HealthCritical:
			e.Health = member.Critical
		case k.Status == api.HealthWarning:
			e.Health = max(e.Health, member.Warning)
		case k.Status == api.HealthPassing:
			e.Health = max(e.Health, member.Passing)
		}
	}
	if w := v.Weights; m.UseHealth && e.Health == member.Warning && w.Passing > 0 {
		e.Rate *= float64(w.Warning) / float64(w.Passing)
	}
	return e, nil
}

// Registration is the entry of a relay in the catalogue.
type Registration struct {
	Service string
	Self    member.Peer
	Address string        // host, for information only
	Port    int           // port of a front, for information only
	TTL     time.Duration // time to live of the health check, which is refreshed every third of it
}

// deregisterAfter is the time from when the health check of a relay turns critical until
// Consul deregisters the relay.
const deregisterAfter = "30m"

// KeepRegistered keeps a relay registered until ctx ends, and then deregisters it.
func (c *Client) KeepRegistered(ctx context.Context, r Registration, failed func(error)) {
	id := r.Service + "-" + r.Self.Name + "-" + r.Self.RunID
	check := "service:" + id
	register := func() error {
		return c.api.Agent().ServiceRegisterOpts(&api.AgentServiceRegistration{ID: id, Name: r.Service,
			Address: r.Address, Port: r.Port, Meta: map[string]string{"name": r.Self.Name, "boot": r.Self.RunID,
				"since": strconv.FormatInt(r.Self.StartedMS, 10)},
			Check: &api.AgentServiceCheck{CheckID: check, TTL: r.TTL.String(), Status: api.HealthPassing,
				DeregisterCriticalServiceAfter: deregisterAfter}},
			api.ServiceRegisterOpts{}.WithContext(ctx))
	}
	p := NewPacer(r.TTL, 0, rand.Uint64())
	for known := false; ctx.Err() == nil; {
		var err error
		if !known {
			err = register()
		} else {
			err = c.api.Agent().UpdateTTLOpts(check, "", api.HealthPassing, new(api.QueryOptions).WithContext(ctx))
		}
		// Register again after an error: a restarted agent has lost the check.
		known = err == nil
		after := r.TTL / 3
		if err != nil && ctx.Err() == nil {
			failed(fmt.Errorf("catalog: %w", err))
			after = min(after, p.Failed())
		}
		if !pause.For(ctx, after) {
			break
		}
	}
	out, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	if err := c.api.Agent().ServiceDeregisterOpts(id, new(api.QueryOptions).WithContext(out)); err != nil {
		failed(fmt.Errorf("catalog: deregister: %w", err))
	}
}

// WatchPeers watches the registered relays until ctx ends.
func (c *Client) WatchPeers(ctx context.Context, service string, report func(peers []member.Peer, fresh bool),
	failed func(error)) {
	c.watch(ctx, failed, func(q *api.QueryOptions) (*api.QueryMeta, func(bool), error) {
		list, meta, err := c.api.Health().Service(service, "", false, q)
		if err != nil {
			return nil, nil, err
		}
		return meta, func(fresh bool) {
			var peers []member.Peer
			for _, s := range list {
				if s == nil || s.Service == nil || s.Service.Meta["name"] == "" {
					continue
				}
				since, _ := strconv.ParseInt(s.Service.Meta["since"], 10, 64)
				peers = append(peers, member.Peer{Name: s.Service.Meta["name"], RunID: s.Service.Meta["boot"],
					StartedMS: since, Healthy: s.Checks.AggregatedStatus() != api.HealthCritical})
			}
			report(peers, fresh)
		}, nil
	}, func() {})
}
