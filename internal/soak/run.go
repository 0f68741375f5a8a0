package soak

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"basaltcross.example/basaltcross/internal/agent"
	"basaltcross.example/basaltcross/internal/emulator"
	"basaltcross.example/basaltcross/internal/pause"
	"basaltcross.example/basaltcross/internal/shim"
	"basaltcross.example/basaltcross/internal/trace"
)

// Options configures a run.
type Options struct {
	Shim        string // executable that runs the relay under the shim
	Program     string // executable of the relay, possibly another build
	Seed        uint64
	Nodes       int
	Hosts       int
	Clients     int // clients per node
	Duration    time.Duration
	Faults      []Fault  // faults to inject; nil for faults drawn from the seed
	Kinds       []Kind   // kinds that faults are drawn from; nil for all
	KnownBroken []string // invariants known to be broken: printed, not counted as failures
	Trace       string   // directory for the nodes' logs with each step of each request; empty for none
	Evidence    string   // directory for the logs and goroutines of the nodes if the run fails; empty for none
	Plant       Plant    // violation planted to test the audit; empty for none
}

// Plant is a violation put into a run to test that the audit finds it.
type Plant string

// The planted violations.
const (
	PlantCut     Plant = "answer-cut"
	PlantForward Plant = "refused-and-forwarded"
	PlantForget  Plant = "record-after-answer"
	PlantTwice   Plant = "second-effect"
	PlantSilent  Plant = "unanswered"
	PlantServed  Plant = "served-and-refused"
	PlantReset   Plant = "reset-while-leaving"
	PlantOver    Plant = "called-after-its-end"
	PlantLimit   Plant = "descriptor-too-many"
	// PlantTrust makes the nodes accept every answer of a host, as if their protection against misattributed
	// answers were off.
	PlantTrust Plant = "peers-trusted"
)

// Plants lists the violations that are planted in the record, or in what the nodes are found to hold, each once.
var Plants = []Plant{PlantCut, PlantForward, PlantForget, PlantTwice, PlantSilent, PlantServed, PlantReset, PlantOver,
	PlantLimit}

// Result is the result of a run.
type Result struct {
	Seed     uint64              `json:"seed"`
	Findings []*emulator.Finding `json:"findings"`
	Hits     map[Kind]int        `json:"faults"` // number of injected faults by kind
	// Violations are the rule violations that processes reported, and their unexpected exits.
	Violations     []string                `json:"violations,omitempty"`
	Requests       int                     `json:"requests"`
	Replies        map[string]int          `json:"replies"` // number of requests by status or connection end
	DeliveryCounts emulator.DeliveryCounts `json:"service"`
	Connections    int                     `json:"accepted"`        // number of connections to hosts
	Lag            time.Duration           `json:"lag_ns"`          // largest delay of the emulator's own timers
	MaxCPUShare    float64                 `json:"busiest"`         // largest share of a core that one process used
	MaxDescriptors int                     `json:"descriptors"`     // most that one process held
	MaxMemoryKB    int                     `json:"memory_kb"`       // most anonymous memory that one process held
	KnownBroken    []string                `json:"known,omitempty"` // invariants not counted as failures
	Faults         []Fault                 `json:"-"`
}

// Broken returns the number of invariants broken and not known to be, plus that of violations.
func (r *Result) Broken() int {
	n := len(r.Violations)
	for _, f := range r.Findings {
		if f.Broken > 0 && !slices.Contains(r.KnownBroken, f.Invariant) {
			n++
		}
	}
	return n
}

// run is a run in progress.
type run struct {
	opt      Options
	platform *emulator.Platform
	nodes    []*node
	limits   *limitWatch

	mu     sync.Mutex
	hits   map[Kind]int
	active map[Kind]map[int]int // number of active faults by kind and node or host
	errs   []string             // errors in injecting faults
	lag    time.Duration        // largest delay of the emulator's own timers
	maxCPU float64              // largest share of a core that a process used
}

// hostKinds are the kinds of hosts, used in turn: "small" ones take one message per call, "large" ones several.
var hostKinds = []string{"small", "small", "large"}

// Run runs one seed.
func Run(ctx context.Context, opt Options) (*Result, error) {
	if opt.Faults == nil {
		kinds := opt.Kinds
		if len(kinds) == 0 {
			kinds = Kinds()
		}
		opt.Faults = Draw(opt.Seed, opt.Nodes, opt.Hosts, opt.Duration, kinds)
	}
	if opt.Trace != "" {
		if err := os.MkdirAll(opt.Trace, 0o700); err != nil {
			return nil, fmt.Errorf("soak: %w", err)
		}
	}
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return nil, fmt.Errorf("soak: %w", err)
	}
	defer os.RemoveAll(dir)
	var kinds []string
	for i := range opt.Hosts {
		kinds = append(kinds, hostKinds[i%len(hostKinds)])
	}
	platform, err := emulator.New(opt.Seed, kinds...)
	if err != nil {
		return nil, err
	}
	defer platform.Close()
	r := &run{opt: opt, platform: platform, hits: map[Kind]int{}, active: map[Kind]map[int]int{},
		limits: newLimitWatch()}
	if opt.Plant == PlantLimit {
		r.limits.plant()
	}
	if err := r.startAll(dir); err != nil {
		r.killAll()
		return nil, err
	}
	defer r.killAll()
	stopLag := r.measureLag()
	stopLimits := r.watchLimits()
	load, stop := context.WithCancel(ctx)
	var clients sync.WaitGroup
	for _, n := range r.nodes {
		for i := range opt.Clients {
			c := &emulator.Client{Platform: platform, Node: n.number, Addr: n.addr,
				Name: fmt.Sprintf("c%d-%d", n.number, i), Classes: clientClasses(),
				TimeToLive: lifetime, MaxPause: 40 * time.Millisecond,
				Seed: opt.Seed*10_000 + uint64(n.number*100+i), AbandonNext: n.clientsDo(ClientsLeave), HalfCloseNext: n.clientsDo(ClientsEnd),
				Ends: emulator.Ends{Withdraws: n.clientsDo(Withdrawals), Limits: n.clientsDo(AttemptLimits)}}
			clients.Go(func() { c.Run(load) })
		}
	}
	r.play(ctx)
	stop()
	clients.Wait()
	r.awaitOpen(ctx)
	stopLag()
	stopLimits()
	r.plant()
	return r.result(), errors.Join(r.writeTrace(), ctx.Err())
}

// writeTrace writes the platform's steps of each request to a file next to the nodes' logs.
func (r *run) writeTrace() error {
	if r.opt.Trace == "" {
		return nil
	}
	f, err := os.Create(filepath.Join(r.opt.Trace, trace.File))
	if err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	return errors.Join(r.platform.Record.WriteTrace(f), f.Close())
}

// startAll starts all nodes and waits until they are ready.
func (r *run) startAll(dir string) error {
	var all sync.WaitGroup
	errs := make([]error, r.opt.Nodes)
	for i := range r.opt.Nodes {
		agent, err := r.platform.Agent()
		if err != nil {
			return err
		}
		addr, err := r.platform.FreeAddr()
		if err != nil {
			return err
		}
		n := &node{run: r, number: i, dir: filepath.Join(dir, fmt.Sprint("n", i)), addr: addr, agent: agent,
			hits: map[shim.Kind]int{}, clientFaults: map[Kind]bool{}}
		if err := os.MkdirAll(n.stateDir(), 0o700); err != nil {
			return err
		}
		r.nodes = append(r.nodes, n)
		all.Go(func() { errs[i] = n.start() })
	}
	all.Wait()
	return errors.Join(errs...)
}

// lagEvery is the interval at which the delay of the emulator's own timers is measured.
const lagEvery = 10 * time.Millisecond

// measureLag measures the largest delay of timers in this process, until stop is called.
func (r *run) measureLag() (stop func()) {
	done := make(chan struct{})
	var over sync.WaitGroup
	over.Go(func() {
		for last := time.Now(); ; {
			select {
			case <-done:
				return
			case <-time.After(lagEvery):
			}
			now := time.Now()
			r.lag = max(r.lag, now.Sub(last)-lagEvery)
			last = now
		}
	})
	return func() {
		close(done)
		over.Wait()
	}
}

// play injects all faults at their times, and returns at the end of the load.
func (r *run) play(ctx context.Context) {
	began := time.Now()
	var all sync.WaitGroup
	for _, f := range r.opt.Faults {
		if !pause.For(ctx, time.Until(began.Add(f.At))) {
			break
		}
		all.Go(func() { r.playFault(ctx, f) })
	}
	pause.For(ctx, time.Until(began.Add(r.opt.Duration)))
	all.Wait()
}

// step records a step of a request that a node has logged.
func (r *run) step(s trace.Step) {
	switch s.Name {
	case "read":
		r.platform.Record.Read(s.ID, trace.Time(s.At))
	case "response":
		r.platform.Record.Responded(s.ID, trace.Time(s.At))
	}
}

// auditedSteps are the steps that the audit needs.
const auditedSteps = "read,response"

// traceSteps returns which steps the nodes log, as BASALTCROSS_TRACE expects them. They are as few as possible:
// each line is one more system call that stops the node in the tracer.
func (r *run) traceSteps() string {
	if r.opt.Trace != "" {
		return "1"
	}
	return auditedSteps
}

// includes reports whether a kind is among the faults of the run.
func (r *run) includes(k Kind) bool {
	return slices.ContainsFunc(r.opt.Faults, func(f Fault) bool { return f.Kind == k })
}

// countHit counts an injected fault.
func (r *run) countHit(k Kind) {
	r.mu.Lock()
	r.hits[k]++
	r.mu.Unlock()
}

// recordError records an error, if any, as a violation of the run.
func (r *run) recordError(err error) {
	if err != nil {
		r.mu.Lock()
		r.errs = append(r.errs, err.Error())
		r.mu.Unlock()
	}
}

// playFault injects one fault and returns at its end.
func (r *run) playFault(ctx context.Context, f Fault) {
	switch f.Kind {
	case Kill, Term, TermTwice, KillAgain:
		r.recordError(r.nodes[f.Target].restart(f.Kind))
		return
	case Reload:
		r.moveDiscovery(r.nodes[f.Target])
		return
	case Crowd:
		r.countHit(f.Kind)
		r.platform.Record.NewConnsMayClose(f.Target, f.Length)
		r.nodes[f.Target].openIdleConns(f.Length)
		return
	}
	if f.Kind == Kind(shim.PollNoMemory) { // an accepted connection that cannot be polled is closed
		r.platform.Record.NewConnsMayClose(f.Target, f.Length)
	}
	if f.Kind.isDiskFault() {
		r.platform.Record.DiskFails(f.Target, f.Length)
	}
	if f.Kind == Kind(shim.WriteDown) {
		r.platform.Record.SocketWritesFail(f.Target, f.Length)
	}
	if r.adjustActive(f, 1) == 1 {
		r.setFault(f.Kind, f.Target, true)
	}
	pause.For(ctx, f.Length)
	if r.adjustActive(f, -1) == 0 {
		r.setFault(f.Kind, f.Target, false)
	}
}

// adjustActive adds by to the number of active faults of a kind at one node or host, and returns the sum.
func (r *run) adjustActive(f Fault, by int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.active[f.Kind] == nil {
		r.active[f.Kind] = map[int]int{}
	}
	r.active[f.Kind][f.Target] += by
	return r.active[f.Kind][f.Target]
}

// setFault activates or deactivates a kind of fault at one node or host.
func (r *run) setFault(k Kind, where int, on bool) {
	if !isSyscallFault(k) && on {
		r.countHit(k)
	}
	behaviours := map[Kind]emulator.Behaviour{HostFails: emulator.Failing, HostFull: emulator.Overloaded,
		HostHangs: emulator.Hanging, HostCuts: emulator.Disconnecting,
		HostForgets: emulator.ClosingAfterAnswer, HostBlank: emulator.NoStatus}
	if behaviour, is := behaviours[k]; is {
		if !on {
			behaviour = emulator.Healthy
		}
		r.platform.Hosts[where].SetBehaviour(behaviour)
		return
	}
	if k == HostDrains {
		r.platform.Change(func(l *agent.List) {
			l.Targets[where].State = map[bool]string{true: "draining", false: "up"}[on]
		})
		return
	}
	switch k {
	case HostNetHold:
		r.platform.Hosts[where].Network.SetDelay(on)
		return
	case HostNetReset:
		r.platform.Hosts[where].Network.SetReset(on)
		return
	case HostRepeats:
		r.platform.Hosts[where].Network.SetRepeat(on)
		return
	case HostSlow:
		r.platform.Hosts[where].SetSlow(on)
		return
	}
	n := r.nodes[where]
	switch k {
	case AgentNetHold:
		n.agent.Network.SetDelay(on)
	case AgentNetReset:
		n.agent.Network.SetReset(on)
	case AgentRepeats:
		n.agent.Network.SetRepeat(on)
	case AgentSilent:
		n.agent.SetSilent(on)
	case NoticesMute:
		n.agent.SetMute(on)
	case ClientsLeave, ClientsEnd, Withdrawals, AttemptLimits:
		n.setClientFault(k, on)
	default:
		n.mu.Lock()
		p := n.process
		n.mu.Unlock()
		setSyscallFault(p, shim.Kind(k), on)
	}
}

// setSyscallFault activates or deactivates a system call fault in a process.
func setSyscallFault(p *shim.Process, k shim.Kind, on bool) {
	switch {
	case p == nil:
	case k != shim.WallClock:
		p.Set(k, on)
	case on:
		p.SetWall(wallStep)
	default:
		p.SetWall(-wallStep)
	}
}

// reapply activates the current system call faults of a node in its new process.
func (r *run) reapply(n *node) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for k, places := range r.active {
		if isSyscallFault(k) && places[n.number] > 0 {
			setSyscallFault(n.process, shim.Kind(k), true)
		}
	}
}

// isSyscallFault reports whether a kind is one of package shim's.
func isSyscallFault(k Kind) bool {
	for _, s := range shim.Kinds {
		if Kind(s) == k {
			return true
		}
	}
	return false
}

// moveDiscovery changes the address of a node's agent and makes the node reload its configuration.
func (r *run) moveDiscovery(n *node) {
	r.countHit(Reload)
	if err := n.agent.ChangeAddress(); err != nil {
		r.recordError(err)
		return
	}
	r.recordError(n.reload())
}

// awaitOpen ends all system call faults and waits until all accepted messages are delivered or ended, at most 3 s
// longer than their time to live.
func (r *run) awaitOpen(ctx context.Context) {
	r.mu.Lock()
	for k, places := range r.active {
		for where := range places {
			places[where] = 0
			if isSyscallFault(k) {
				setSyscallFault(r.nodes[where].process, shim.Kind(k), false)
			}
		}
	}
	r.mu.Unlock()
	for end := time.Now().Add(lifetime + 3*time.Second); r.platform.Record.CountOpen() > 0 && time.Now().Before(end); {
		if !pause.For(ctx, 20*time.Millisecond) {
			return
		}
	}
	pause.For(ctx, 200*time.Millisecond) // for what is still in transit
}

// plant plants the run's violation in the record.
func (r *run) plant() {
	switch r.opt.Plant {
	case "", PlantTrust, PlantLimit:
	default:
		r.platform.Record.Plant(string(r.opt.Plant))
	}
}

// killAll kills all processes.
func (r *run) killAll() {
	for _, n := range r.nodes {
		n.mu.Lock()
		p := n.process
		n.mu.Unlock()
		if p != nil {
			p.Signal(9)
			<-p.Done()
		}
	}
}

// violates reports whether a finding violates an invariant that is not known to be broken.
func (r *run) violates(findings []*emulator.Finding) bool {
	res := Result{Findings: findings, KnownBroken: r.opt.KnownBroken}
	return res.Broken() > 0
}

// result kills all processes and audits the record.
func (r *run) result() *Result {
	now := time.Now()
	res := &Result{KnownBroken: r.opt.KnownBroken, Seed: r.opt.Seed, Hits: r.hits, Lag: r.lag,
		Faults: r.opt.Faults, Violations: r.errs}
	held, most := r.limits.result()
	if r.opt.Evidence != "" && r.violates(append(r.platform.Record.Audit(r.lag, now), held)) {
		r.recordError(r.keepEvidence(r.opt.Evidence))
	}
	for _, n := range r.nodes {
		n.mu.Lock()
		p, life := n.process, n.processRun
		n.mu.Unlock()
		if p == nil {
			continue
		}
		select {
		case <-p.Done(): // exited on its own
		default:
			n.checkCPU(p, life)
			p.Signal(9)
			<-p.Done()
		}
		n.recordEnd(p, life, false)
		for k, hits := range n.hits {
			res.Hits[Kind(k)] += hits
		}
		for _, line := range n.problems {
			res.Violations = append(res.Violations, strings.TrimSpace(line))
		}
	}
	res.Findings = append(r.platform.Record.Audit(r.lag, now), held)
	res.MaxDescriptors, res.MaxMemoryKB = most.descriptors, most.memoryKB
	res.MaxCPUShare = r.maxCPU
	res.Requests, res.Replies = r.platform.Record.Replies()
	res.DeliveryCounts = r.platform.Record.DeliveryCounts()
	for _, h := range r.platform.Hosts {
		res.Connections += h.Network.Accepted()
	}
	return res
}
