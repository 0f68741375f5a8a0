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
	"basaltcross.example/basaltcross/internal/journal"
	"basaltcross.example/basaltcross/internal/ledger"
	"basaltcross.example/basaltcross/internal/lifecycle"
	"basaltcross.example/basaltcross/internal/member"
	"basaltcross.example/basaltcross/internal/partner"
	"basaltcross.example/basaltcross/internal/recover"
	"basaltcross.example/basaltcross/internal/stall"
	tracing "basaltcross.example/basaltcross/internal/trace"
)

// The phases of a planned shutdown, counted from SIGTERM. The platform opens new connections
// for up to 0.4 s after SIGTERM and sends SIGKILL no sooner than 3.7 s after it (PROTOCOL).
const (
	closeListenerAfter = 600 * time.Millisecond  // the listener is closed
	stopSendingAfter   = 2800 * time.Millisecond // no further call to a host is started
	exitAfter          = 3500 * time.Millisecond // the wait for calls in flight and for the journal ends
	flushGrace         = 100 * time.Millisecond  // extra time to flush responses to clients
	flushPollInterval  = 2 * time.Millisecond    // interval between checks for unsent responses
)

// strictVariable names the environment variable that makes a violation of the rules in
// package lifecycle end the process; used by tests.
const strictVariable = "BASALTCROSS_STRICT"

// trustVariable names the environment variable that turns off the validation of hosts' answers,
// for tests that must fail without it.
const trustVariable = "BASALTCROSS_TRUST_PEERS"

// traceVariable names the environment variable that turns on request tracing: allSteps logs
// every step of every request, a comma-separated list only the steps that it names.
const (
	traceVariable = "BASALTCROSS_TRACE"
	allSteps      = "1"
)

// stepLogger returns a function that logs the steps of requests, or nil if tracing is off.
func stepLogger(log zerolog.Logger) lifecycle.Trace {
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

// Node is a running relay of the users' platform.
type Node struct {
	cfg           *Config
	bounds        Bounds
	log           zerolog.Logger
	journalLog    *journal.Log
	caller        *partner.Caller
	core          *core.Core
	client        *agent.Client
	notices       *agent.Notices
	hostDirectory *directory.Directory
	front         *hookfront.Front
	stats         *observer
	hostLists     *hostListWriter
	guard         *lifecycle.Guard
	stalls        *stall.Monitor

	ready       atomic.Bool
	ctx         context.Context
	stop        context.CancelFunc
	done        sync.WaitGroup // the goroutines of the core, the directory and the observer
	noticesDone sync.WaitGroup // the goroutine that delivers notices
	stopNotices context.CancelFunc
	closeOnce   sync.Once

	mu          sync.Mutex
	listedDests map[int]bool // destinations that any host list has named
}

// maxListedDests bounds the remembered destinations; a relay's lists never name that many.
const maxListedDests = 1 << 16

var runtimeLimitsOnce sync.Once

// SetRuntimeLimits sets the runtime's number of processors and its soft memory limit, once per process.
func SetRuntimeLimits(b Bounds) {
	runtimeLimitsOnce.Do(func() {
		runtime.GOMAXPROCS(b.Procs)
		debug.SetMemoryLimit(b.Memory)
	})
}

func (n *Node) warn(cause string) *zerolog.Event { return n.log.Warn().Str("cause", cause) }

// deliveryRetracted queues a failure notice for a message that was taken as delivered because of
// an answer that belonged to another call. A notice for a message that has ended does no harm.
func (n *Node) deliveryRetracted(identity string) {
	n.warn("host").Str("id", identity).Msg("delivery retracted: the answer belonged to another call")
	n.oweFailure(identity)
}

// oweFailure queues a failure notice for a message that was taken as delivered because of an answer
// that nothing proved to be its own.
func (n *Node) oweFailure(identity string) {
	n.notices.Add(identity, ledger.Answer{Verdict: ledger.Failed})
}

// logPeerRefusal logs a host's answer that failed validation. Refusals to reuse a connection are
// only counted.
func (n *Node) logPeerRefusal(r lifecycle.PeerRefusal) {
	if r.Reason == lifecycle.ReuseForbidden || r.Reason == lifecycle.ReuseUnrested {
		return
	}
	n.warn("host").Str("breach", string(r.Reason)).Str("host", r.Peer).Uint64("connection", r.Connection).Int("turn", r.Calls).
		Str("id", r.Message).Msg("answer of host rejected")
}

// plan computes the recovery plan for a journal's records. Ages are counted until now, not until
// the journal was opened, so that the time a start takes is included.
func plan(cfg *Config, k *journal.Contents, now journal.Run) (recover.Plan, map[string]recover.Class) {
	classes, dests := map[string]recover.Class{}, map[string]bool{}
	longestDeadline := time.Duration(0)
	for _, c := range cfg.Settings.Classes {
		classes[c.Name] = recover.Class{Deadline: c.Deadline, RecordAttempts: c.Effect != choice.Safe}
		longestDeadline = max(longestDeadline, c.Deadline)
	}
	for _, m := range k.Messages {
		if _, err := strconv.Atoi(m.Partner); err == nil {
			dests[m.Partner] = true
		}
	}
	k.ThisRun = now
	return recover.NewPlan(k, classes, dests, longestDeadline, 0), classes
}

// restore loads the messages, results and owed notices of an earlier run into the core. It returns
// the number of messages held and of notices owed.
func (n *Node) restore(k *journal.Contents) (held, owed int) {
	number := func(name string) int {
		d, _ := strconv.Atoi(name)
		return d
	}
	plan, classes := plan(n.cfg, k, n.journalLog.Now())
	var ended []core.Ended
	for _, e := range plan.Ends {
		a := ledger.Answer{Verdict: ledger.Verdict(e.Verdict), RetryAfter: time.Duration(e.After)}
		if e.Unproven {
			a = ledger.Answer{Verdict: ledger.Failed}
		}
		wait := !e.Handed && (a.Verdict == ledger.Refused || a.Verdict == ledger.Failed)
		if wait {
			owed++
			n.notices.Add(e.Identity, a)
		}
		ended = append(ended, core.Ended{Identity: e.Identity, Answer: a, Age: e.Age, Owed: wait, Seq: e.Seq,
			Class: n.cfg.Settings.Lanes[e.Class], Key: string(e.Way), Evictable: !classes[e.Class].RecordAttempts})
	}
	for _, identity := range plan.ExpiredIdentities {
		n.journalLog.Forget(identity)
	}
	var messages []core.Restored
	for _, m := range plan.Messages {
		reply := n.front.Owe(m.Identity)
		if m.Verdict != 0 { // its class has been removed from the settings
			n.journalLog.RecordEnd(journal.End{Seq: m.Seq, Identity: m.Identity, Class: m.Class, Verdict: uint8(m.Verdict),
				At: n.journalLog.Stamp()})
			n.notices.Add(m.Identity, ledger.Answer{Verdict: m.Verdict})
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

// host converts an entry of the host list for package choice.
func (n *Node) host(e *member.Entry) (choice.Host, error) {
	d, err := strconv.Atoi(e.Partner)
	if err != nil {
		return choice.Host{}, fmt.Errorf("pod_group: %w", err)
	}
	h := choice.Host{Addr: e.Addr, Dest: d, Kind: -1, Rate: e.Rate}
	if kind, ok := n.cfg.Settings.Kinds[e.Kind]; ok {
		h.Kind = kind
	}
	h.Zone = n.cfg.Settings.Zones[e.Zone] // a zone that the settings lack counts as the first
	return h, nil
}

func (n *Node) addDestination(dest int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.listedDests) < maxListedDests {
		n.listedDests[dest] = true
	}
}

func (n *Node) isListed(dest int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.listedDests[dest]
}

// setAddresses passes the addresses of all hosts to the caller, before the core gets the list that
// names those hosts. The first call marks the node as ready for clients.
func (n *Node) setAddresses(all []addr.Endpoint) {
	by := make(map[string][]addr.Address, len(all))
	for _, e := range all {
		by[e.Host] = e.Addrs
	}
	n.caller.SetAddresses(by)
	if !n.ready.Swap(true) {
		n.log.Info().Int("hosts", len(all)).Msg("ready")
	}
}

// Reload reloads the configuration. A new discovery address takes effect at once, everything
// else at the next start. An invalid file changes nothing; a read that fails with a transient
// system error is retried.
func (n *Node) Reload(getenv func(string) string) {
	cfg, err := retryTransient(n.ctx, n.log, func() (*Config, error) { return Load(getenv) })
	if err != nil {
		n.log.Error().Err(err).Msg("reload failed; keeping the configuration in force")
		return
	}
	n.client.SetAddress(cfg.Discovery)
	n.log.Info().Str("discovery", cfg.Discovery).Msg("configuration reloaded")
}

// Sizes returns the size of every table that holds hosts, identities, keys or connections, by name
// of the table.
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
	for name, size := range n.journalLog.Sizes() {
		all[name] = size
	}
	all["clients"], all["notices"] = n.front.Connections(), n.notices.Len()
	return all
}

// Addr returns the address on which the node listens for clients.
func (n *Node) Addr() string { return n.front.Addr() }

// Drain shuts the node down gracefully: it answers the requests that were read, lets calls in
// flight finish, and leaves the remaining messages in the journal for the next start. It returns
// once everything is closed.
func (n *Node) Drain() {
	n.closeOnce.Do(func() {
		began := time.Now()
		n.front.Drain()
		time.Sleep(closeListenerAfter)
		n.front.CloseListener()
		time.Sleep(stopSendingAfter - time.Since(began))
		n.front.StopHandIns() // before the core is parked, so that every message handed in until then is answered
		idle := make(chan struct{})
		n.core.Park(func() { close(idle) })
		select {
		case <-idle:
		case <-time.After(exitAfter - time.Since(began)):
			n.core.CloseCalls()
		}
		n.flush(began.Add(exitAfter))
		n.log.Info().Dur("after", time.Since(began)).Msg("all calls have ended and responses are flushed")
		n.close()
		n.log.Info().Dur("after", time.Since(began)).Msg("closed")
	})
}

// flush waits until all decisions are on disk and the clients have their responses. Where the
// journal does not get there by the deadline, the undecided requests are resolved all the same:
// no request that was read stays without a response.
func (n *Node) flush(by time.Time) {
	down := make(chan struct{})
	if n.journalLog.WhenWritten(func() { close(down) }) {
		close(down)
	}
	select {
	case <-down:
	case <-time.After(time.Until(by)):
	}
	resolved := make(chan struct{})
	n.core.ResolveUndecided(func() { close(resolved) })
	<-resolved
	for end := by.Add(flushGrace); !n.front.AllAnswered() && time.Now().Before(end); {
		time.Sleep(flushPollInterval)
	}
}

func (n *Node) close() {
	n.stop()
	n.done.Wait()
	n.stopNotices()
	n.noticesDone.Wait()
	n.front.Close()
	n.caller.Close()
	n.client.Close()
	n.hostLists.close()
	n.stalls.Stop()
	if err := n.journalLog.Close(); err != nil {
		n.warn("journal").Err(err).Msg("")
	}
}
