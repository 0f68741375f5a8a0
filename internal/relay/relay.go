// Package relay puts one relay together: fronts, core, partner calls, directory
// and what operators see. Data goes front, core, partner, and back.
package relay

import (
	"cmp"
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"runtime"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"basaltcross.example/basaltcross/internal/addr"
	"basaltcross.example/basaltcross/internal/budget"
	"basaltcross.example/basaltcross/internal/config"
	"basaltcross.example/basaltcross/internal/core"
	"basaltcross.example/basaltcross/internal/directory"
	"basaltcross.example/basaltcross/internal/front"
	"basaltcross.example/basaltcross/internal/http1"
	"basaltcross.example/basaltcross/internal/journal"
	"basaltcross.example/basaltcross/internal/keys"
	"basaltcross.example/basaltcross/internal/lifecycle"
	"basaltcross.example/basaltcross/internal/member"
	"basaltcross.example/basaltcross/internal/mqttfront"
	"basaltcross.example/basaltcross/internal/obs"
	"basaltcross.example/basaltcross/internal/partner"
	"basaltcross.example/basaltcross/internal/resolve"
	"basaltcross.example/basaltcross/internal/secure"
	"basaltcross.example/basaltcross/internal/webpush"
	"basaltcross.example/basaltcross/internal/zone"
)

// Hooks let a test or an audit stand between the parts; nil ones do nothing.
type Hooks struct {
	Caller func(core.Caller) core.Caller
	Sink   func(directory.Sink) directory.Sink
	Door   func(front.Submitter) front.Submitter
	// Broken is told that the journal failed; the process should end then.
	Broken func(error)
	// Journal stands between core and journal.
	Journal func(core.Journal) core.Journal
}

// Relay is a running relay.
type Relay struct {
	cfg    *config.Config
	obs    *obs.Relay
	core   *core.Core
	caller *partner.Caller
	front  *mqttfront.Front
	push   *webpush.Front // nil where it is not configured
	zones  *zone.Reporter
	toll   *zone.Budget     // nil without a budget
	log    *journal.Journal // nil where nothing is kept
	names  *resolve.Refresher
	list   *directory.Directory
	fleet  *follower // nil where the fleet is a setting

	// MetricsAddr is where the metrics are served, nil if nowhere.
	MetricsAddr net.Addr

	stop context.CancelFunc
	once sync.Once
	done sync.WaitGroup
}

func index[T any](list []T, name func(T) string) map[string]int {
	m := make(map[string]int, len(list))
	for i, e := range list {
		m[name(e)] = i
	}
	return m
}

// names are those that an endpoint list may use.
func names(cfg *config.Config) directory.Names {
	n := directory.Names{Partners: index(cfg.Partners, func(p config.Partner) string { return p.Name }),
		Zones: index(cfg.Zones, func(z config.Zone) string { return z.Name })}
	kinds := index(cfg.Kinds, func(k config.Kind) string { return k.Name })
	for _, p := range cfg.Partners {
		n.Kinds = append(n.Kinds, kinds[p.Kind])
		n.Secure = append(n.Secure, p.TLS != nil)
	}
	return n
}

// CheckList reads the endpoint list of a configuration once and counts its endpoints.
func CheckList(cfg *config.Config) (int, error) {
	if cfg.Directory.File == "" {
		return 0, nil
	}
	f := directory.File{Path: cfg.Directory.File, Names: names(cfg), MaxBytes: cfg.Limits.ListBytes}
	list, err := f.Load()
	return len(list), err
}

// Start brings a relay up. It runs until Stop.
func Start(cfg *config.Config, log zerolog.Logger, hooks Hooks) (_ *Relay, err error) {
	r := &Relay{cfg: cfg}
	var classes []string
	var lives []time.Duration
	for _, k := range cfg.Classes {
		classes, lives = append(classes, k.Name), append(lives, k.Deadline.D())
	}
	r.obs = obs.NewRelay(log, classes)
	names := names(cfg)
	r.obs.SetExpiryWarning(cfg.TLS.Warn.D())
	ring := &keys.CertStore{Report: r.obs.Certificate}
	slots := make(secure.HandshakeSlots, cmp.Or(cfg.TLS.Handshakes, runtime.GOMAXPROCS(0)))
	var targets []partner.Target
	for i, p := range cfg.Partners {
		k := cfg.Kinds[names.Kinds[i]]
		t := partner.Target{Path: p.Path, Host: p.Host, RefusalNeverRan: k.RefusalNeverRan}
		if p.TLS != nil {
			if t.TLS, err = clientTLS(ring, p.TLS); err != nil {
				return nil, fmt.Errorf("relay: partner %s: %w", p.Name, err)
			}
		}
		targets = append(targets, t)
	}
	mqttTLS, err := serverTLS(ring, cfg.MQTT.TLS)
	if err != nil {
		return nil, fmt.Errorf("relay: mqtt: %w", err)
	}
	pushTLS, err := serverTLS(ring, cfg.WebPush.TLS, "h2", "http/1.1")
	if err != nil {
		return nil, fmt.Errorf("relay: webpush: %w", err)
	}
	var zones, partners []string
	for _, z := range cfg.Zones {
		zones = append(zones, z.Name)
	}
	for _, p := range cfg.Partners {
		partners = append(partners, p.Name)
	}
	own := max(0, slices.Index(zones, cfg.Relay.Zone))
	traffic := zone.NewTable(len(classes), len(partners), len(zones))
	counted := traffic
	if !cfg.Relay.Accounting {
		counted = nil
	}
	var toll *zone.Budget
	if b := cfg.Budget; b != nil {
		set := budget.Settings{Bytes: b.Bytes, Window: b.Window.D(), Burst: b.Burst, Held: b.Held, First: b.First}
		for _, k := range cfg.Classes {
			set.Classes = append(set.Classes, budget.Class{Worth: k.Worth, Overdraft: k.Overdraft, Limit: k.Crossing})
		}
		book, err := budget.New(set, cfg.Relay.Fleet)
		if err != nil {
			return nil, fmt.Errorf("relay: %w", err)
		}
		toll = zone.NewBudget(book, own)
	}
	r.caller, err = partner.New(partner.Options{Name: cfg.Relay.Name, Targets: targets, Classes: classes,
		Limits: http1.Limits{Header: cfg.PartnerCalls.HeaderBytes, Body: cfg.PartnerCalls.BodyBytes},
		Pool: addr.PoolSettings{IdleTimeout: cfg.Relay.ConnIdle.D(), MaxAge: cfg.PartnerCalls.ConnAge.D(),
			MaxIdle: cfg.PartnerCalls.IdlePerHost, MaxSpare: cfg.PartnerCalls.Spares, MaxConnecting: cfg.PartnerCalls.Connecting},
		TLSSessions: cfg.PartnerCalls.Sessions,
		Traffic:     counted, PeerRefused: r.refusedOf,
		UnsolicitedWait: func(host string, at int, wait time.Duration) { r.core.ReportWait(host, at, wait) },
		HandshakeFailed: r.obs.HandshakeOut,
		Dialed:          r.obs.Dialed})
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	var caller core.Caller = r.caller
	if hooks.Caller != nil {
		caller = hooks.Caller(caller)
	}
	seed := cfg.Relay.Seed
	if seed == 0 {
		seed = uint64(time.Now().UnixNano())
	}
	opt := core.Options{Settings: cfg.Settings(), Seed: seed,
		InboxSize: cfg.Limits.Arrivals, Identities: cfg.Limits.Identities.Count,
		Retention: cfg.Limits.Identities.Keep.D(), Caller: caller, Observer: r.obs}
	if toll != nil {
		opt.ZoneBudget = toll
	}
	var kept *journal.Contents
	if cfg.Journal != nil {
		if r.log, kept, err = openJournal(cfg, r.obs, hooks.Broken); err != nil {
			r.caller.Close()
			return nil, fmt.Errorf("relay: %w", err)
		}
		if r.toll = toll; toll != nil {
			toll.OnReserve = r.log.RecordBudget
		}
		opt.Journal, opt.Names = r.log, core.Names{Partner: func(i int) string { return partners[i] }, Zones: zones}
		if hooks.Journal != nil {
			opt.Journal = hooks.Journal(opt.Journal)
		}
		r.obs.AddReport("/journal", func() any { return r.log.Stats() })
	}
	r.core, err = core.New(opt)
	if err != nil {
		r.caller.Close()
		r.closeJournal()
		return nil, fmt.Errorf("relay: %w", err)
	}
	r.zones = &zone.Reporter{Relay: cfg.Relay.Name, Classes: classes, Partners: partners, Zones: zones, Own: own,
		Table: traffic, Budget: toll, Now: r.core.Now, File: cfg.ZoneRecords,
		Failed: func(err error) { r.obs.Logf("zone records: %v", err) }}
	set := addr.DefaultNameCacheSettings
	set.MaxStale, set.MaxAddresses = cfg.Resolver.Stale.D(), cfg.Resolver.Addresses
	r.names = resolve.New(resolver(cfg), set, cfg.Resolver.Timeout.D(), r.caller, r.obs.Unresolved)
	r.obs.AddReport("/addresses", func() any { return r.Addresses() })
	r.obs.Zones(traffic, zones, func() any { return r.zones.Report() })
	var door front.Submitter = r.core
	if hooks.Door != nil {
		door = hooks.Door(door)
	}
	var sink directory.Sink = directory.Sinks{r.core, r.caller}
	if hooks.Sink != nil {
		sink = hooks.Sink(sink)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	sources, clients, err := sources(cfg, ring, names)
	if err != nil {
		cancel()
		r.caller.Close()
		r.closeJournal()
		return nil, fmt.Errorf("relay: %w", err)
	}
	r.list = directory.New(directory.Options{Names: names, Sources: sources, SavedPath: cfg.Directory.Saved,
		Settings: member.Settings{RemoveAfter: cfg.Directory.Gone.D(), ConfirmAfter: cfg.Directory.Believe.D(),
			SilenceLimit: cfg.Directory.Trust.D()},
		MaxSavedBytes: cfg.Limits.ListBytes, Sink: sink, OnAddresses: r.names.Set, OnListed: r.obs.Listed,
		OnError: r.obs.ListError})
	if cfg.Fleet != nil {
		r.fleet = newFollower(cfg, clients[0], r.core.Fleet, r.obs)
	}
	r.obs.AddReport("/directory", func() any { return r.Directory() })
	fail := func(err error) (*Relay, error) {
		cancel()
		r.done.Wait()
		r.caller.Close()
		r.closeJournal()
		return nil, fmt.Errorf("relay: %w", err)
	}
	if cfg.Metrics.Listen != "" {
		if r.MetricsAddr, err = r.obs.Serve(ctx, cfg.Metrics.Listen); err != nil {
			return fail(err)
		}
	}
	r.done.Add(4)
	go func() {
		defer r.done.Done()
		r.names.Run(ctx)
	}()
	go func() {
		defer r.done.Done()
		r.zones.Run(ctx)
	}()
	go func() {
		defer r.done.Done()
		ring.Run(ctx)
	}()
	go func() {
		defer r.done.Done()
		r.list.Run(ctx)
	}()
	users := map[string]string{}
	for _, u := range cfg.MQTT.Users {
		users[u.Name] = u.Bcrypt
	}
	m := &cfg.MQTT
	doors := front.Names{Classes: index(cfg.Classes, func(k config.Class) string { return k.Name }),
		Partners: names.Partners, Deadlines: lives}
	run := func() {
		r.done.Add(1)
		go func() {
			defer r.done.Done()
			r.core.Run(ctx, cfg.Relay.Shutdown.D())
		}()
	}
	var keeper front.Journal
	if r.log != nil {
		keeper = r.log
	}
	if w := &cfg.WebPush; len(w.Listen)+len(w.TLSListen) > 0 {
		o := webpush.Options{Listen: w.Listen, TLSListen: w.TLSListen, TLS: pushTLS, HandshakeSlots: slots, Names: doors,
			Audience: w.Audience, AllowAnonymous: len(w.Keys) == 0, Body: cfg.Limits.Body, Header: w.HeaderBytes,
			Connections: w.Connections, Streams: w.Streams, Messages: w.Messages, Subscriptions: w.Receipts,
			Pending: w.Pending,
			Polls:   w.Polls, Retention: cfg.Limits.Identities.Keep.D(), MaxPollWait: w.Poll.D(), Handshake: w.Handshake.D(),
			Idle: w.Idle.D(), WriteBuffer: w.WriteBuffer, Door: door, Observer: r.obs, Keeper: keeper}
		for _, k := range cfg.Classes {
			o.RequireIdempotencyKey = append(o.RequireIdempotencyKey, k.Effect == "unsafe")
		}
		if len(w.Keys) > 0 {
			o.Keys = map[string][]string{}
			for _, k := range w.Keys {
				o.Keys[k.Key] = k.Resources
			}
		}
		r.push = webpush.New(o)
	}
	r.front, err = mqttfront.New(mqttfront.Options{Listen: m.Listen, Keeper: keeper, BeforeListen: func(f *mqttfront.Front) {
		if kept != nil {
			r.restore(kept, f, r.push, doors)
		}
		run()
	},
		TLSListen: m.TLSListen, TLS: mqttTLS, HandshakeSlots: slots, Names: doors, Body: cfg.Limits.Body,
		Connections: m.Connections, Sessions: m.Sessions,
		ReceiveMaximum: m.ReceiveMaximum, TopicAliases: m.TopicAliases, Pending: m.Pending,
		PartialBytes: int64(m.PartialBytes), SessionExpiry: m.SessionExpiry.D(), KeepAlive: m.KeepAlive.D(),
		Handshake: m.Handshake.D(), WriteBuffer: m.WriteBuffer, Users: users,
		Door: door, Observer: r.obs})
	if err != nil {
		return fail(err)
	}
	if r.push != nil {
		if err := r.push.Start(); err != nil {
			r.front.Close()
			return fail(err)
		}
		r.obs.Info(fmt.Sprintf("Web Push on %v, with TLS on %v", r.push.Addrs(), r.push.TLSAddrs()))
	}
	if r.fleet != nil {
		r.done.Add(1)
		go func() {
			defer r.done.Done()
			r.fleet.run(ctx, r.front.Addrs())
		}()
	}
	r.obs.Info(fmt.Sprintf("relay %s takes messages on %v", cfg.Relay.Name, r.front.Addrs()))
	return r, nil
}

// Addrs are the MQTT addresses listened on, TLSAddrs those with TLS.
func (r *Relay) Addrs() []string    { return r.front.Addrs() }
func (r *Relay) TLSAddrs() []string { return r.front.TLSAddrs() }

// PushAddrs are the Web Push addresses listened on, without and with TLS.
func (r *Relay) PushAddrs() (plain, secured []string) {
	if r.push == nil {
		return nil, nil
	}
	return r.push.Addrs(), r.push.TLSAddrs()
}

// Addresses is the report on endpoints that have several addresses, and on the
// names among them.
type Addresses struct {
	Endpoints map[string][]addr.AddressStatus `json:"endpoints"`
	Names     []addr.NameStatus               `json:"names,omitempty"`
	// LeftOut are addresses that a name gave and another partner has.
	LeftOut []addr.Conflict `json:"left_out,omitempty"`
}

// Addresses tells what is known of them now.
func (r *Relay) Addresses() Addresses {
	names, out := r.names.Status()
	return Addresses{r.caller.AddressStatus(), names, out}
}

func resolver(cfg *config.Config) resolve.Resolver {
	if len(cfg.Resolver.Servers) == 0 {
		return resolve.System{TTL: cfg.Resolver.TTL.D()}
	}
	return resolve.Servers{Addrs: cfg.Resolver.Servers, Timeout: cfg.Resolver.Timeout.D() / 2}
}

func serverTLS(ring *keys.CertStore, t *config.TLS, protocols ...string) (*tls.Config, error) {
	if t == nil {
		return nil, nil
	}
	pair, err := ring.LoadPair(t.Cert, t.Key)
	if err != nil {
		return nil, err
	}
	var clients *keys.CAPool
	if t.ClientCA != "" {
		if clients, err = ring.LoadPool(t.ClientCA); err != nil {
			return nil, err
		}
	}
	return keys.Server(pair, clients, t.RequireClient, protocols...), nil
}

func clientTLS(ring *keys.CertStore, t *config.PartnerTLS) (func() *tls.Config, error) {
	var ca *keys.CAPool
	var own *keys.KeyPair
	var err error
	if t.CA != "" {
		if ca, err = ring.LoadPool(t.CA); err != nil {
			return nil, err
		}
	}
	if t.Cert != "" {
		if own, err = ring.LoadPair(t.Cert, t.Key); err != nil {
			return nil, err
		}
	}
	return keys.Client(ca, own, t.Name), nil
}

// CheckKeys reads the certificates of a configuration once.
func CheckKeys(cfg *config.Config) error {
	ring := &keys.CertStore{}
	for _, t := range []*config.TLS{cfg.MQTT.TLS, cfg.WebPush.TLS} {
		if _, err := serverTLS(ring, t); err != nil {
			return err
		}
	}
	for _, p := range cfg.Partners {
		if p.TLS != nil {
			if _, err := clientTLS(ring, p.TLS); err != nil {
				return fmt.Errorf("partner %s: %w", p.Name, err)
			}
		}
	}
	return nil
}

// Stop takes nothing further, lets what is out finish within the configured
// time, answers the rest, hands the answers over and closes everything.
func (r *Relay) Stop() {
	r.once.Do(func() {
		r.front.Drain()
		r.stop()
		r.done.Wait()
		if r.push != nil {
			r.push.Close()
		}
		r.front.Close()
		r.caller.Close()
		r.closeJournal()
	})
}

// Zones is the report on traffic between zones.
func (r *Relay) Zones() zone.Report { return r.zones.Report() }

// Inspect tells what the relay holds now.
func (r *Relay) Inspect(ctx context.Context) (held, out int, err error) {
	err = r.core.Inspect(ctx, func(h, o int) { held, out = h, o })
	return
}

var _ directory.Sink = (*core.Core)(nil)
var _ front.Submitter = (*core.Core)(nil)
var _ core.Caller = (*partner.Caller)(nil)

// refusedOf counts and logs bytes that a partner sent without a request.
func (r *Relay) refusedOf(refusal lifecycle.PeerRefusal) {
	if refusal.Reason == lifecycle.BytesUnasked {
		r.obs.Unsolicited(refusal.Peer)
	}
}
