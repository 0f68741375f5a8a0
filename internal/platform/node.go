package platform

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"basaltcross.example/basaltcross/choice"
	"basaltcross.example/basaltcross/internal/addr"
	"basaltcross.example/basaltcross/internal/agent"
	"basaltcross.example/basaltcross/internal/core"
	"basaltcross.example/basaltcross/internal/directory"
	"basaltcross.example/basaltcross/internal/hookfront"
	"basaltcross.example/basaltcross/internal/http1"
	"basaltcross.example/basaltcross/internal/journal"
	"basaltcross.example/basaltcross/internal/ledger"
	"basaltcross.example/basaltcross/internal/lifecycle"
	"basaltcross.example/basaltcross/internal/member"
	"basaltcross.example/basaltcross/internal/partner"
	"basaltcross.example/basaltcross/internal/recover"
	tracing "basaltcross.example/basaltcross/internal/trace"
)

// The last seconds of a run. At a planned restart new connections come for up to
// 0.4 s after SIGTERM, and SIGKILL follows no sooner than 3.7 s after it (PROTOCOL).
const (
	leaveAfter = 600 * time.Millisecond  // then no connection is taken any more
	parkAfter  = 2800 * time.Millisecond // then nothing further is sent to hosts
	endAfter   = 3500 * time.Millisecond // then the process ends, whatever is out
	lastBytes  = 100 * time.Millisecond  // further for what still has to reach clients
	lastLook   = 2 * time.Millisecond    // between two looks at that
)

// strictVariable names the variable of the environment that has a violation of the rules in
// package lifecycle end the process, for tests.
const strictVariable = "BASALTCROSS_STRICT"

// trustVariable names the one that has every answer of a host believed, for tests that must fail.
const trustVariable = "BASALTCROSS_TRUST_PEERS"

// traceVariable names the one that has each step of each request logged, or only those that it
// lists, separated by commas.
const (
	traceVariable = "BASALTCROSS_TRACE"
	allSteps      = "1"
)

// trace logs the steps of requests, if that is asked for.
func trace(log zerolog.Logger) lifecycle.Trace {
	steps := os.Getenv(traceVariable)
	if steps == "" {
		return nil
	}
	some := strings.Split(steps, ",")
	process := os.Getpid()
	return func(id, step, with string) {
		if steps != allSteps && !slices.Contains(some, step) {
			return
		}
		log.Info().Str("cause", tracing.Cause).Str("id", id).Str("step", step).Int64("mono_us", tracing.Now()).Int("pid", process).
			Str(tracing.Field(step), with).Send()
	}
}

// Node is a running relay of the platform.
type Node struct {
	cfg    *Config
	bounds Bounds
	log    zerolog.Logger
	keep   *journal.Log
	caller *partner.Caller
	core   *core.Core
	client *agent.Client
	said   *agent.Notices
	list   *directory.Directory
	front  *hookfront.Front
	watch  *watcher
	hosts  *hosts
	guard  *lifecycle.Guard

	ready  atomic.Bool
	ctx    context.Context
	stop   context.CancelFunc
	done   sync.WaitGroup
	kept   sync.WaitGroup // notices
	unsaid context.CancelFunc
	once   sync.Once

	mu    sync.Mutex
	dests map[int]bool // that a list has named
}

// mostDests remembers so many destinations; more than a relay's lists ever name.
const mostDests = 1 << 16

var tuneOnce sync.Once

// Tune sets the process to its limits, once.
func Tune(b Bounds) {
	tuneOnce.Do(func() {
		runtime.GOMAXPROCS(b.Procs)
		debug.SetMemoryLimit(b.Memory)
	})
}

// Start brings a node up: what an earlier run left first, then the list, then
// clients. It runs until Drain or Kill.
func Start(cfg *Config, log zerolog.Logger) (_ *Node, err error) {
	began := time.Now()
	n := &Node{cfg: cfg, bounds: BoundsOf(cfg), log: log, dests: map[int]bool{}}
	b := &n.bounds
	n.watch = &watcher{node: n}
	n.guard = &lifecycle.Guard{Strict: os.Getenv(strictVariable) != "", OnViolation: func(v lifecycle.Violation) {
		if v.Rule == lifecycle.AnswerLate { // a machine that stood still has it as well
			n.warn("late").Str("rule", string(v.Rule)).Str("id", v.ID).Msg(v.State)
			return
		}
		n.log.Error().Str("cause", "violation").Str("rule", string(v.Rule)).Str("id", v.ID).Msg(v.State)
	}}
	var undo []func()
	defer func() {
		if err != nil {
			for i := len(undo) - 1; i >= 0; i-- {
				undo[i]()
			}
			err = fmt.Errorf("platform: %w", err)
		}
	}()
	owes := func(v uint8) bool { return ledger.Verdict(v) == ledger.Refused || ledger.Verdict(v) == ledger.Failed }
	var kept *journal.Contents
	var damaged error
	n.keep, kept, damaged, err = journal.OpenLog(journal.LogOptions{Dir: cfg.State, MaxBytes: b.Disk,
		NeedsNotice: owes, OnWriteError: func(err error) {
			n.warn("journal").Err(err).Msg("records wait to be written, nothing is taken")
		}, OnRecovered: func(waited time.Duration) {
			n.warn("journal").Dur("waited", waited).Msg("all records are written")
		}})
	if err != nil {
		return nil, err
	}
	undo = append(undo, func() { _ = n.keep.Close() })
	if damaged != nil {
		n.warn("journal").Err(damaged).Msg("what could be read is gone on with")
	}
	s := &cfg.Settings
	n.caller, err = partner.New(partner.Options{Name: cfg.Name, Hook: &partner.Hook{Host: cfg.Name, Columns: s.Columns},
		Limits: http1.Limits{Header: headerBytes, Body: bodyBytes}, Pool: b.Keep, DialTimeout: s.DialTimeout,
		MaxOpen: b.Hosts, PeerRefused: n.refusedOf,
		UnsolicitedWait: func(host string, dest int, wait time.Duration) { n.core.ReportWait(host, dest, wait) },
		Trace:           trace(log), TrustPeers: os.Getenv(trustVariable) != ""})
	if err != nil {
		return nil, err
	}
	undo = append(undo, n.caller.Close)
	set := s.Settings
	set.HoldUntilAcknowledged = true
	set.ShedPenalty.Cost, set.ShedPenalty.Before = takenBack, takenBackBefore
	longest := time.Duration(0)
	var ordered []bool
	for _, k := range set.Classes {
		longest = max(longest, k.Deadline)
		ordered = append(ordered, k.Ordered)
	}
	n.core, err = core.New(core.Options{Settings: set, Seed: cfg.Seed, InboxSize: b.Clients, Identities: b.Identities, Retention: longest,
		Caller: n.caller, Observer: n.watch, Journal: n.keep, RecordAllAttempts: true, MaxCallBytes: bodyBytes, SkipHostRecords: true, LateMargin: clientWaits,
		Names: core.Names{Partner: strconv.Itoa}, Guard: n.guard, Trace: trace(log), DeliveryRetracted: n.undelivered})
	if err != nil {
		return nil, err
	}
	if n.client, err = agent.New(cfg.Discovery); err != nil {
		return nil, err
	}
	undo = append(undo, n.client.Close)
	n.said = agent.NewNotices(n.client, b.Notices, func(identity string) {
		n.keep.Handed(identity)
		n.core.Settled(identity)
	}, func(err error) { n.warn("notices").Err(err).Msg("notices are owed") })
	n.hosts = hostsIn(cfg.State, b.List, func(err error) { n.warn("discovery").Err(err).Msg("") })
	known, err := n.hosts.newer(cfg.Known)
	if transient(err) {
		return nil, err
	} else if err != nil {
		n.warn("discovery").Err(err).Msg("the configuration's list counts")
	}
	n.list = directory.New(directory.Options{Names: directory.Names{Host: n.host},
		Sources: []directory.Source{&agent.Watch{Client: n.client, Known: known, Told: n.named, Keep: n.hosts.keep}},
		Sink:    directory.Sinks{n.core, n.caller}, OnAddresses: n.addresses,
		OnListed: func(int) {}, OnError: func(source string, err error) {
			n.warn("discovery").Str("source", source).Err(err).Msg("")
		}})
	n.front, err = hookfront.New(hookfront.Options{Listen: cfg.Listen, Classes: s.Lanes, Ordered: ordered, KnownDestination: n.known,
		Ready: n.ready.Load, HeaderBytes: headerBytes, BodyBytes: bodyBytes, Connections: b.Clients, LingeringConnections: b.Lingering, IdleConnections: b.Kept, RequestPause: 2 * clientWaits, RespondWithin: respondWithin, ClientTimeout: clientWaits, RequestTimeout: whole, IdleTimeout: silent, LingerTimeout: linger,
		WriteBuffer: b.WriteBuffer, Core: n.core, Journal: n.keep, Notices: n.said, Guard: n.guard, Trace: trace(log),
		Logf: func(f string, v ...any) { n.warn("front").Msgf(f, v...) }})
	if err != nil {
		return nil, err
	}
	held, owed := n.restore(kept)
	ctx, stop := context.WithCancel(context.Background())
	n.ctx, n.stop = ctx, stop
	unsaid, silence := context.WithCancel(context.Background())
	n.unsaid = silence
	n.done.Go(func() { n.core.Run(ctx, 0) })
	n.done.Go(func() { n.list.Run(ctx) })
	n.kept.Go(func() { n.said.Run(unsaid) })
	n.done.Go(func() { n.watch.run(ctx) })
	log.Info().Str("name", cfg.Name).Str("listen", n.front.Addr()).Int("held", held).Int("owed", owed).
		Dur("took", time.Since(began)).Msg("up")
	return n, nil
}

func (n *Node) warn(cause string) *zerolog.Event { return n.log.Warn().Str("cause", cause) }

// undelivered tells the platform that a message has failed which was delivered by an answer that was
// another call's: a notice for a message that is over does no harm.
func (n *Node) undelivered(identity string) {
	n.warn("host").Str("id", identity).Msg("delivered by an answer that was not its own")
	n.said.Add(identity, ledger.Answer{Verdict: ledger.Failed})
}

// refusedOf logs what was refused of a host; connections that are not used again are only counted.
func (n *Node) refusedOf(r lifecycle.PeerRefusal) {
	if r.Reason == lifecycle.ReuseForbidden || r.Reason == lifecycle.ReuseUnrested {
		return
	}
	n.warn("host").Str("breach", string(r.Reason)).Str("host", r.Peer).Uint64("connection", r.Connection).Int("turn", r.Calls).
		Str("id", r.Message).Msg("not believed")
}

// plan decides what follows from a journal's records now: ages count until this
// moment, not until the journal was opened.
func plan(cfg *Config, k *journal.Contents, now journal.Run) (recover.Plan, map[string]recover.Class) {
	classes, dests := map[string]recover.Class{}, map[string]bool{}
	longest := time.Duration(0)
	for _, c := range cfg.Settings.Classes {
		classes[c.Name] = recover.Class{Deadline: c.Deadline, RecordAttempts: c.Effect != choice.Safe}
		longest = max(longest, c.Deadline)
	}
	for _, m := range k.Messages {
		if _, err := strconv.Atoi(m.Partner); err == nil {
			dests[m.Partner] = true
		}
	}
	k.ThisRun = now
	return recover.NewPlan(k, classes, dests, longest, 0), classes
}

// restore goes on with what an earlier run left.
func (n *Node) restore(k *journal.Contents) (held, owed int) {
	number := func(name string) int {
		d, _ := strconv.Atoi(name)
		return d
	}
	plan, classes := plan(n.cfg, k, n.keep.Now())
	var ended []core.Ended
	for _, e := range plan.Ends {
		a := ledger.Answer{Verdict: ledger.Verdict(e.Verdict), RetryAfter: time.Duration(e.After)}
		wait := !e.Handed && (a.Verdict == ledger.Refused || a.Verdict == ledger.Failed)
		if wait {
			owed++
			n.said.Add(e.Identity, a)
		}
		ended = append(ended, core.Ended{Identity: e.Identity, Answer: a, Age: e.Age, Owed: wait, Seq: e.Seq,
			Class: n.cfg.Settings.Lanes[e.Class], Key: string(e.Way), Evictable: !classes[e.Class].RecordAttempts})
	}
	for _, identity := range plan.ExpiredIdentities {
		n.keep.Forget(identity)
	}
	var messages []core.Restored
	for _, m := range plan.Messages {
		reply := n.front.Owe(m.Identity)
		if m.Verdict != 0 { // of a class that is no more
			n.keep.RecordEnd(journal.End{Seq: m.Seq, Identity: m.Identity, Class: m.Class, Verdict: uint8(m.Verdict),
				At: n.keep.Stamp()})
			n.said.Add(m.Identity, ledger.Answer{Verdict: m.Verdict})
			continue
		}
		zone := -1
		if z, err := strconv.Atoi(m.Zone); err == nil {
			zone = z
		}
		messages = append(messages, core.Restored{Message: core.Message{Source: m.Source, Identity: m.Identity,
			Class: n.cfg.Settings.Lanes[m.Class], Partner: number(m.Partner), Key: m.Key, Left: m.Left, Front: m.Front, ReturnPath: m.Way,
			Head: m.Head, Body: m.Body, RejectKnown: true, Reply: reply}, Seq: m.Seq, Attempts: m.Attempts, MayHaveRun: m.MayHaveRun, Since: m.SentAgo, Zone: zone})
	}
	n.core.Restore(messages, ended, nil, k.LastSeq)
	return len(messages), owed
}

// host translates an entry of the list.
func (n *Node) host(e *member.Entry) (choice.Host, error) {
	d, err := strconv.Atoi(e.Partner)
	if err != nil {
		return choice.Host{}, fmt.Errorf("pod_group: %w", err)
	}
	h := choice.Host{Addr: e.Addr, Dest: d, Kind: -1, Rate: e.Rate}
	if kind, ok := n.cfg.Settings.Kinds[e.Kind]; ok {
		h.Kind = kind
	}
	h.Zone = n.cfg.Settings.Zones[e.Zone] // a zone that the settings lack is as the first
	return h, nil
}

func (n *Node) named(dest int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.dests) < mostDests {
		n.dests[dest] = true
	}
}

func (n *Node) known(dest int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dests[dest]
}

// addresses takes those of all hosts, before the list that has them; with the first
// of them clients may come.
func (n *Node) addresses(all []addr.Endpoint) {
	by := make(map[string][]addr.Address, len(all))
	for _, e := range all {
		by[e.Host] = e.Addrs
	}
	n.caller.SetAddresses(by)
	if !n.ready.Swap(true) {
		n.log.Info().Int("hosts", len(all)).Msg("ready")
	}
}

// ReadAgain loads the configuration anew: the address of discovery counts from now
// on, all else from the next start. A broken file changes nothing.
// One that cannot be read for a moment is waited for.
func (n *Node) ReadAgain(getenv func(string) string) {
	cfg, err := whenPossible(n.ctx, n.log, func() (*Config, error) { return Load(getenv) })
	if err != nil {
		n.log.Error().Err(err).Msg("the configuration in force stays")
		return
	}
	n.client.Move(cfg.Discovery)
	n.log.Info().Str("discovery", cfg.Discovery).Msg("configuration read again")
}

// Sizes are those of every table that hosts, ids, keys or connections are in.
func (n *Node) Sizes() map[string]int {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	all, _ := n.core.Sizes(ctx)
	if all == nil {
		all = map[string]int{}
	}
	for name, size := range n.caller.Sizes() {
		all[name] = size
	}
	for name, size := range n.keep.Sizes() {
		all[name] = size
	}
	all["clients"], all["notices"] = n.front.Connections(), n.said.Len()
	return all
}

// Addr is where clients connect.
func (n *Node) Addr() string { return n.front.Addr() }

// Drain ends the run in good order: what is asked is answered, what is out may
// finish, and the rest stays for the next start. It returns once all is closed.
func (n *Node) Drain() {
	n.once.Do(func() {
		began := time.Now()
		n.front.Drain()
		time.Sleep(leaveAfter)
		n.front.CloseListener()
		time.Sleep(parkAfter - time.Since(began))
		n.front.StopHandIns() // before the core is parked: what was handed in until then is answered
		idle := make(chan struct{})
		n.core.Park(func() { close(idle) })
		select {
		case <-idle:
		case <-time.After(endAfter - time.Since(began)):
		}
		n.settle(began.Add(endAfter))
		n.log.Info().Dur("after", time.Since(began)).Msg("nothing more is sent")
		n.close()
		n.log.Info().Dur("after", time.Since(began)).Msg("closed")
	})
}

// settle waits until what was decided is on disk and told, and ends the wait where that
// cannot be: no request that was read stays without its response.
func (n *Node) settle(by time.Time) {
	down := make(chan struct{})
	if n.keep.WhenWritten(func() { close(down) }) {
		close(down)
	}
	select {
	case <-down:
	case <-time.After(time.Until(by)):
	}
	resolved := make(chan struct{})
	n.core.ResolveUndecided(func() { close(resolved) })
	<-resolved
	for end := by.Add(lastBytes); !n.front.AllAnswered() && time.Now().Before(end); {
		time.Sleep(lastLook)
	}
}

func (n *Node) close() {
	n.stop()
	n.done.Wait()
	n.unsaid()
	n.kept.Wait()
	n.front.Close()
	n.caller.Close()
	n.client.Close()
	n.hosts.close()
	if err := n.keep.Close(); err != nil {
		n.warn("journal").Err(err).Msg("")
	}
}
