// Package relay assembles a running relay from its components: the MQTT and Web Push
// fronts, the core, the partner caller, the endpoint directory, the journal, and the
// metrics and status pages. Messages pass from a front through the core to the partner
// caller; answers take the same way back.
//
// The package holds the wiring, the order of start, restore and stop, and nothing of
// the protocols or of the decisions about messages, which belong to the components.
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

// Hooks wrap the interfaces between components, for tests and for the audit. A nil
// hook is not called.
type Hooks struct {
	Caller func(core.Caller) core.Caller
	Sink   func(directory.Sink) directory.Sink
	Door   func(front.Submitter) front.Submitter
	// OnJournalFailure is called with the error when the journal fails; the process should
	// then exit.
	OnJournalFailure func(error)
	// Journal wraps the journal that the core writes to.
	Journal func(core.Journal) core.Journal
}

// Relay is a running relay.
type Relay struct {
	cfg           *config.Config
	obs           *obs.Relay
	core          *core.Core
	caller        *partner.Caller
	front         *mqttfront.Front
	push          *webpush.Front // nil if Web Push is not configured
	zoneReporter  *zone.Reporter
	zoneBudget    *zone.Budget     // nil without a budget or without a journal
	journal       *journal.Journal // nil if no journal is configured
	nameRefresher *resolve.Refresher
	directory     *directory.Directory
	fleet         *fleetMembership // nil if size and index are fixed by the configuration

	// MetricsAddr is the address on which metrics are served, nil if they are not.
	MetricsAddr net.Addr

	stop context.CancelFunc
	once sync.Once
	done sync.WaitGroup
}

// indexByName maps the name of each element to its index in list.
func indexByName[T any](list []T, name func(T) string) map[string]int {
	m := make(map[string]int, len(list))
	for i, e := range list {
		m[name(e)] = i
	}
	return m
}

// directoryNames returns the partners and zones that an endpoint list may refer to,
// with each partner's kind and whether it is called over TLS.
func directoryNames(cfg *config.Config) directory.Names {
	n := directory.Names{Partners: indexByName(cfg.Partners, func(p config.Partner) string { return p.Name }),
		Zones: indexByName(cfg.Zones, func(z config.Zone) string { return z.Name })}
	kinds := indexByName(cfg.Kinds, func(k config.Kind) string { return k.Name })
	for _, p := range cfg.Partners {
		n.Kinds = append(n.Kinds, kinds[p.Kind])
		n.Secure = append(n.Secure, p.TLS != nil)
	}
	return n
}

// CheckList reads the configured endpoint list file once and returns the number of its
// endpoints, 0 if no file is configured.
func CheckList(cfg *config.Config) (int, error) {
	if cfg.Directory.File == "" {
		return 0, nil
	}
	f := directory.File{Path: cfg.Directory.File, Names: directoryNames(cfg), MaxBytes: cfg.Limits.ListBytes}
	list, err := f.Load()
	return len(list), err
}

// Start builds the components of a relay and starts them; the relay runs until Stop.
// What the journal holds is restored before the core runs.
func Start(cfg *config.Config, log zerolog.Logger, hooks Hooks) (_ *Relay, err error) {
	r := &Relay{cfg: cfg}
	var classes []string
	var deadlines []time.Duration
	for _, k := range cfg.Classes {
		classes, deadlines = append(classes, k.Name), append(deadlines, k.Deadline.D())
	}
	r.obs = obs.NewRelay(log, classes)
	names := directoryNames(cfg)
	r.obs.SetExpiryWarning(cfg.TLS.Warn.D())
	certStore := &keys.CertStore{Report: r.obs.Certificate}
	slots := make(secure.HandshakeSlots, cmp.Or(cfg.TLS.Handshakes, runtime.GOMAXPROCS(0)))
	var targets []partner.Target
	for i, p := range cfg.Partners {
		k := cfg.Kinds[names.Kinds[i]]
		t := partner.Target{Path: p.Path, Host: p.Host, RefusalNeverRan: k.RefusalNeverRan}
		if p.TLS != nil {
			if t.TLS, err = clientTLS(certStore, p.TLS); err != nil {
				return nil, fmt.Errorf("relay: partner %s: %w", p.Name, err)
			}
		}
		targets = append(targets, t)
	}
	mqttTLS, err := serverTLS(certStore, cfg.MQTT.TLS)
	if err != nil {
		return nil, fmt.Errorf("relay: mqtt: %w", err)
	}
	pushTLS, err := serverTLS(certStore, cfg.WebPush.TLS, "h2", "http/1.1")
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
	ownZone := max(0, slices.Index(zones, cfg.Relay.Zone))
	traffic := zone.NewTable(len(classes), len(partners), len(zones))
	accounted := traffic
	if !cfg.Relay.Accounting {
		accounted = nil
	}
	var zoneBudget *zone.Budget
	if b := cfg.Budget; b != nil {
		budgetSettings := budget.Settings{Bytes: b.Bytes, Window: b.Window.D(), Burst: b.Burst, Held: b.Held, First: b.First}
		for _, k := range cfg.Classes {
			budgetSettings.Classes = append(budgetSettings.Classes,
				budget.Class{Worth: k.Worth, Overdraft: k.Overdraft, Limit: k.Crossing})
		}
		book, err := budget.New(budgetSettings, cfg.Relay.Fleet)
		if err != nil {
			return nil, fmt.Errorf("relay: %w", err)
		}
		zoneBudget = zone.NewBudget(book, ownZone)
	}
	r.caller, err = partner.New(partner.Options{Name: cfg.Relay.Name, Targets: targets, Classes: classes,
		Limits: http1.Limits{Header: cfg.PartnerCalls.HeaderBytes, Body: cfg.PartnerCalls.BodyBytes},
		Pool: addr.PoolSettings{IdleTimeout: cfg.Relay.ConnIdle.D(), MaxAge: cfg.PartnerCalls.ConnAge.D(),
			MaxIdle:  cfg.PartnerCalls.IdlePerHost,
			MaxSpare: cfg.PartnerCalls.Spares, MaxConnecting: cfg.PartnerCalls.Connecting},
		TLSSessions: cfg.PartnerCalls.Sessions,
		Traffic:     accounted, PeerRefused: r.onPeerRefusal,
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
		InboxSize: cfg.Limits.Arrivals, InboxBytes: cfg.Limits.ArrivalBytes, Identities: cfg.Limits.Identities.Count,
		Retention: cfg.Limits.Identities.Keep.D(), Caller: caller, Observer: r.obs}
	if zoneBudget != nil {
		opt.ZoneBudget = zoneBudget
	}
	var journalContents *journal.Contents
	if cfg.Journal != nil {
		if r.journal, journalContents, err = openJournal(cfg, r.obs, hooks.OnJournalFailure); err != nil {
			r.caller.Close()
			return nil, fmt.Errorf("relay: %w", err)
		}
		if r.zoneBudget = zoneBudget; zoneBudget != nil {
			zoneBudget.OnReserve = r.journal.RecordBudget
		}
		opt.Journal, opt.Names = r.journal, core.Names{Partner: func(i int) string { return partners[i] }, Zones: zones}
		if hooks.Journal != nil {
			opt.Journal = hooks.Journal(opt.Journal)
		}
		r.obs.AddReport("/journal", func() any { return r.journal.Stats() })
	}
	r.core, err = core.New(opt)
	if err != nil {
		r.caller.Close()
		r.closeJournal()
		return nil, fmt.Errorf("relay: %w", err)
	}
	r.zoneReporter = &zone.Reporter{Relay: cfg.Relay.Name, Classes: classes,
		Partners: partners, Zones: zones, Own: ownZone,
		Table: traffic, Budget: zoneBudget, Now: r.core.Now, File: cfg.ZoneRecords,
		Failed: func(err error) { r.obs.Logf("zone records: %v", err) }}
	nameCacheSettings := addr.DefaultNameCacheSettings
	nameCacheSettings.MaxStale, nameCacheSettings.MaxAddresses = cfg.Resolver.Stale.D(), cfg.Resolver.Addresses
	r.nameRefresher = resolve.New(resolver(cfg), nameCacheSettings, cfg.Resolver.Timeout.D(), r.caller, r.obs.Unresolved)
	r.obs.AddReport("/addresses", func() any { return r.Addresses() })
	r.obs.Zones(traffic, zones, func() any { return r.zoneReporter.Report() })
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
	sources, clients, err := directorySources(cfg, certStore, names)
	if err != nil {
		cancel()
		r.caller.Close()
		r.closeJournal()
		return nil, fmt.Errorf("relay: %w", err)
	}
	r.directory = directory.New(directory.Options{Names: names, Sources: sources, SavedPath: cfg.Directory.Saved,
		Settings: member.Settings{RemoveAfter: cfg.Directory.Gone.D(), ConfirmAfter: cfg.Directory.Believe.D(),
			SilenceLimit: cfg.Directory.Trust.D()},
		MaxSavedBytes: cfg.Limits.ListBytes, Sink: sink, OnAddresses: r.nameRefresher.Set, OnListed: r.obs.Listed,
		OnError: r.obs.ListError})
	if cfg.Fleet != nil {
		r.fleet = newFleetMembership(cfg, clients[0], r.core.Fleet, r.obs)
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
		r.nameRefresher.Run(ctx)
	}()
	go func() {
		defer r.done.Done()
		r.zoneReporter.Run(ctx)
	}()
	go func() {
		defer r.done.Done()
		certStore.Run(ctx)
	}()
	go func() {
		defer r.done.Done()
		r.directory.Run(ctx)
	}()
	users := map[string]string{}
	for _, u := range cfg.MQTT.Users {
		users[u.Name] = u.Bcrypt
	}
	m := &cfg.MQTT
	frontNames := front.Names{Classes: indexByName(cfg.Classes, func(k config.Class) string { return k.Name }),
		Partners: names.Partners, Deadlines: deadlines}
	runCore := func() {
		r.done.Add(1)
		go func() {
			defer r.done.Done()
			r.core.Run(ctx, cfg.Relay.Shutdown.D())
		}()
	}
	var keeper front.Journal
	if r.journal != nil {
		keeper = r.journal
	}
	if w := &cfg.WebPush; len(w.Listen)+len(w.TLSListen) > 0 {
		o := webpush.Options{Listen: w.Listen, TLSListen: w.TLSListen, TLS: pushTLS, HandshakeSlots: slots,
			Names: frontNames, Audience: w.Audience, AllowAnonymous: len(w.Keys) == 0, Body: cfg.Limits.Body,
			Header: w.HeaderBytes, Connections: w.Connections, PartialBytes: int64(w.PartialBytes), Streams: w.Streams, Messages: w.Messages,
			Subscriptions: w.Receipts, Pending: w.Pending, Polls: w.Polls,
			Retention: cfg.Limits.Identities.Keep.D(), MaxPollWait: w.Poll.D(), Handshake: w.Handshake.D(),
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
	r.front, err = mqttfront.New(mqttfront.Options{Listen: m.Listen, Keeper: keeper,
		BeforeListen: func(f *mqttfront.Front) {
			if journalContents != nil {
				r.restore(journalContents, f, r.push, frontNames)
			}
			runCore()
		},
		TLSListen: m.TLSListen, TLS: mqttTLS, HandshakeSlots: slots, Names: frontNames, Body: cfg.Limits.Body,
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
		r.obs.Info(fmt.Sprintf("Web Push is served on %v, over TLS on %v", r.push.Addrs(), r.push.TLSAddrs()))
	}
	if r.fleet != nil {
		r.done.Add(1)
		go func() {
			defer r.done.Done()
			r.fleet.run(ctx, r.front.Addrs())
		}()
	}
	r.obs.Info(fmt.Sprintf("relay %s accepts messages over MQTT on %v", cfg.Relay.Name, r.front.Addrs()))
	return r, nil
}

// Addrs returns the addresses on which MQTT is served without TLS.
func (r *Relay) Addrs() []string { return r.front.Addrs() }

// TLSAddrs returns the addresses on which MQTT is served over TLS.
func (r *Relay) TLSAddrs() []string { return r.front.TLSAddrs() }

// PushAddrs returns the addresses on which Web Push is served, without and with TLS.
func (r *Relay) PushAddrs() (plain, secured []string) {
	if r.push == nil {
		return nil, nil
	}
	return r.push.Addrs(), r.push.TLSAddrs()
}

// Addresses is the status report on endpoints with several addresses and on the DNS
// names of endpoints.
type Addresses struct {
	Endpoints map[string][]addr.AddressStatus `json:"endpoints"`
	Names     []addr.NameStatus               `json:"names,omitempty"`
	// LeftOut lists addresses that a name resolved to and that are not used because
	// they belong to another partner.
	LeftOut []addr.Conflict `json:"left_out,omitempty"`
}

// Addresses returns the current state of endpoint addresses and DNS names.
func (r *Relay) Addresses() Addresses {
	names, out := r.nameRefresher.Status()
	return Addresses{r.caller.AddressStatus(), names, out}
}

// resolver returns the configured DNS servers, or the system's resolver if there are none.
func resolver(cfg *config.Config) resolve.Resolver {
	if len(cfg.Resolver.Servers) == 0 {
		return resolve.System{TTL: cfg.Resolver.TTL.D()}
	}
	return resolve.Servers{Addrs: cfg.Resolver.Servers, Timeout: cfg.Resolver.Timeout.D() / 2}
}

// serverTLS returns the TLS configuration of a listener, nil if t is nil.
func serverTLS(certStore *keys.CertStore, t *config.TLS, protocols ...string) (*tls.Config, error) {
	if t == nil {
		return nil, nil
	}
	pair, err := certStore.LoadPair(t.Cert, t.Key)
	if err != nil {
		return nil, err
	}
	var clients *keys.CAPool
	if t.ClientCA != "" {
		if clients, err = certStore.LoadPool(t.ClientCA); err != nil {
			return nil, err
		}
	}
	return keys.Server(pair, clients, t.RequireClient, protocols...), nil
}

// clientTLS returns a function that makes the TLS configuration for calls as t configures them.
func clientTLS(certStore *keys.CertStore, t *config.PartnerTLS) (func() *tls.Config, error) {
	var ca *keys.CAPool
	var clientPair *keys.KeyPair
	var err error
	if t.CA != "" {
		if ca, err = certStore.LoadPool(t.CA); err != nil {
			return nil, err
		}
	}
	if t.Cert != "" {
		if clientPair, err = certStore.LoadPair(t.Cert, t.Key); err != nil {
			return nil, err
		}
	}
	return keys.Client(ca, clientPair, t.Name), nil
}

// CheckKeys loads the configured certificates and keys once and returns the first error.
func CheckKeys(cfg *config.Config) error {
	certStore := &keys.CertStore{}
	for _, t := range []*config.TLS{cfg.MQTT.TLS, cfg.WebPush.TLS} {
		if _, err := serverTLS(certStore, t); err != nil {
			return err
		}
	}
	for _, p := range cfg.Partners {
		if p.TLS != nil {
			if _, err := clientTLS(certStore, p.TLS); err != nil {
				return fmt.Errorf("partner %s: %w", p.Name, err)
			}
		}
	}
	return nil
}

// Stop shuts the relay down gracefully: it accepts no further messages, lets calls in
// flight finish within the configured shutdown time, answers the remaining messages,
// delivers the answers and closes every component. Further calls have no effect.
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

// Zones returns the report on traffic between zones.
func (r *Relay) Zones() zone.Report { return r.zoneReporter.Report() }

// Inspect returns the number of messages held and of messages in a call.
func (r *Relay) Inspect(ctx context.Context) (held, out int, err error) {
	err = r.core.Inspect(ctx, func(h, o int) { held, out = h, o })
	return
}

var _ directory.Sink = (*core.Core)(nil)
var _ front.Submitter = (*core.Core)(nil)
var _ core.Caller = (*partner.Caller)(nil)

// onPeerRefusal reports to the observer when a partner sent bytes without a request;
// refusals for any other cause are not reported.
func (r *Relay) onPeerRefusal(refusal lifecycle.PeerRefusal) {
	if refusal.Reason == lifecycle.BytesUnasked {
		r.obs.Unsolicited(refusal.Peer)
	}
}
