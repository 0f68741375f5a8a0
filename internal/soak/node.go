package soak

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"basaltcross.example/basaltcross/internal/emulator"
	"basaltcross.example/basaltcross/internal/shim"
	"basaltcross.example/basaltcross/internal/trace"
)

// node is one relay over all of its processes.
type node struct {
	run    *run
	number int    // node number, from 0
	dir    string // contains the configuration file and the state directory
	addr   string // listen address
	agent  *emulator.Agent

	configuring sync.Mutex // held while the configuration file is written

	mu           sync.Mutex
	process      *shim.Process
	processRun   *emulator.Process
	log          *logTail
	starts       int
	restarting   bool // a restart is in progress
	problems     []string
	hits         map[shim.Kind]int
	clientFaults map[Kind]bool // active faults of its clients
	discovery    string        // agent's address in the configuration file
	dumped       bool          // the process was ended for the stacks of its goroutines
}

// logTail keeps the last lines of a log, and passes the steps of requests on.
type logTail struct {
	step func(trace.Step) // called for each step of a request; may be nil

	mu      sync.Mutex
	most    int // lines that are kept, if more than maxLines
	lines   []string
	partial []byte
}

// maxLines bounds the lines of a log that are kept while the process serves.
const maxLines = 200

// Write takes output of a process. It never fails.
func (t *logTail) Write(b []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.partial = append(t.partial, b...)
	for {
		line, rest, found := bytes.Cut(t.partial, []byte("\n"))
		if !found {
			return len(b), nil
		}
		t.partial = rest
		if step, is := trace.Parse(line); is {
			if t.step != nil {
				t.step(step)
			}
			continue
		}
		if t.lines = append(t.lines, string(line)); len(t.lines) > max(t.most, maxLines) {
			t.lines = t.lines[1:]
		}
	}
}

// violations returns the lines that report a broken rule, and those of panics and fatal errors.
func (t *logTail) violations() (bad []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, line := range t.lines {
		if strings.Contains(line, `"cause":"violation"`) {
			bad = append(bad, line)
		}
		if strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:") {
			bad = append(bad, strings.Join(t.lines[i:min(i+12, len(t.lines))], " | "))
		}
	}
	return bad
}

func (n *node) configPath() string { return filepath.Join(n.dir, "config.json") }
func (n *node) stateDir() string   { return filepath.Join(n.dir, "state") }

// configure writes the configuration file, with the agent's current address.
func (n *node) configure() error {
	n.configuring.Lock()
	defer n.configuring.Unlock()
	at := n.agent.Addr()
	n.mu.Lock()
	n.discovery = at
	n.mu.Unlock()
	known := n.run.platform.List()
	n.run.platform.Record.Listed(n.number, time.Now(), known.Targets, true)
	text, err := json.Marshal(map[string]any{"name": fmt.Sprint("n", n.number), "listen": n.addr, "discovery": at,
		"seed": fmt.Sprintf("%016x", n.run.opt.Seed*1000+uint64(n.number)), "known": known,
		"settings": settings(n.number, n.run.opt.Nodes),
		"limits":   map[string]any{"cores": 1, "memory_mb": nodeMemoryMB, "sockets": nodeSockets, "disk_mb": 0.5}})
	if err != nil {
		return err
	}
	if err := os.WriteFile(n.configPath()+".new", text, 0o600); err != nil {
		return err
	}
	// A rename over the older file would wait for the disk, while the agent has its new address already. The node
	// reads the file when it starts and on the SIGHUP that follows.
	if err := os.Remove(n.configPath()); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return os.Rename(n.configPath()+".new", n.configPath())
}

// start starts a process and waits until it is ready.
func (n *node) start() error {
	if err := n.configure(); err != nil {
		return err
	}
	n.mu.Lock()
	n.starts++
	n.log = &logTail{step: n.run.step}
	seed := n.run.opt.Seed*1_000_000 + uint64(n.number*1000+n.starts)
	n.mu.Unlock()
	life := n.run.platform.Record.ProcessStarted(n.number)
	log := io.Writer(n.log)
	if n.run.opt.Trace != "" {
		file, err := os.OpenFile(filepath.Join(n.run.opt.Trace, fmt.Sprintf("n%d.log", n.number)),
			os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
		if err != nil {
			return err
		}
		// The file is left to the garbage collector: it must stay open until all output has been copied.
		log = io.MultiWriter(n.log, file)
	}
	env := append(os.Environ(), "ROUTER_CONFIG="+n.configPath(), "ROUTER_STATE="+n.stateDir(),
		"GOTRACEBACK=single", "BASALTCROSS_TRACE="+n.run.traceSteps())
	if n.run.opt.Plant == PlantTrust {
		env = append(env, "BASALTCROSS_TRUST_PEERS=1")
	}
	p, err := shim.Start(shim.Options{Path: n.run.opt.Shim, Args: []string{"shim-exec", n.run.opt.Program, "node"},
		Dir: n.dir, State: n.stateDir(), Env: env,
		Stderr: log, Seed: seed, Poll: n.run.includes(Kind(shim.PollInterrupted)),
		OnStall: func(begin, end time.Time) { n.run.platform.Record.Stalled(n.number, begin, end) }})
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.process, n.processRun = p, life
	n.mu.Unlock()
	n.run.reapply(n)
	return n.awaitReady(p, life)
}

// startTimeout is how long a process may take to become ready.
const startTimeout = 30 * time.Second

// awaitReady waits until a new process answers its readiness check.
func (n *node) awaitReady(p *shim.Process, life *emulator.Process) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		select {
		case <-p.Done():
			return fmt.Errorf("node %d ended before it was ready: %v: %s", n.number, p.Exit(), strings.Join(n.log.lines, " | "))
		default:
		}
		r, err := client.Get("http://" + n.addr + "/up")
		if err != nil {
			continue
		}
		_ = r.Body.Close()
		if r.StatusCode == http.StatusOK {
			n.run.platform.Record.Update(func() { life.Ready = time.Now() })
			return nil
		}
	}
	return fmt.Errorf("node %d is not ready after %s: %s", n.number, startTimeout, strings.Join(n.log.lines, " | "))
}

const (
	earliestKill = 3700 * time.Millisecond // from SIGTERM to SIGKILL
	downTime     = 600 * time.Millisecond  // from the end of a process to the start of the next
	// killAgainDelay is the time from the readiness of a process to its SIGKILL, with KillAgain.
	killAgainDelay = 100 * time.Millisecond
)

// restart ends the process as the kind of fault says, and starts a new one.
func (n *node) restart(how Kind) error {
	n.mu.Lock()
	if n.restarting || n.process == nil {
		n.mu.Unlock()
		return nil
	}
	n.restarting = true
	n.mu.Unlock()
	n.run.countHit(how)
	err := n.replaceProcess(how)
	if err == nil && how == KillAgain {
		time.Sleep(killAgainDelay)
		err = n.replaceProcess(how)
	}
	time.Sleep(reloadDelay)
	n.mu.Lock()
	moved := n.discovery != n.agent.Addr()
	n.restarting = false
	n.mu.Unlock()
	if err == nil && moved {
		err = n.reload()
	}
	return err
}

// replaceProcess ends the process, after SIGTERM unless it is to be killed, and starts a new one.
func (n *node) replaceProcess(how Kind) error {
	n.mu.Lock()
	p, life := n.process, n.processRun
	n.mu.Unlock()
	n.run.platform.Record.Update(func() { life.StopSent = time.Now() })
	switch how {
	case Term:
		p.Signal(syscall.SIGTERM)
		time.Sleep(earliestKill)
	case TermTwice:
		p.Signal(syscall.SIGTERM)
		time.Sleep(earliestKill / 4)
		p.Signal(syscall.SIGTERM)
		p.Signal(syscall.SIGHUP)
		time.Sleep(earliestKill - earliestKill/4)
	}
	n.checkCPU(p, life)
	n.run.platform.Record.Update(func() { life.KillSent = time.Now() })
	p.Signal(syscall.SIGKILL)
	<-p.Done()
	n.recordEnd(p, life, how == Term || how == TermTwice)
	time.Sleep(downTime)
	return n.start()
}

// reloadDelay is the time after readiness in which a process gets no SIGHUP.
const reloadDelay = time.Second

// reload makes the process reload its configuration. During a restart it does nothing: restart reloads at its
// end if the agent's address changed.
func (n *node) reload() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.restarting || n.process == nil {
		return nil
	}
	p := n.process
	n.mu.Unlock()
	err := n.configure()
	n.mu.Lock()
	p.Signal(syscall.SIGHUP)
	return err
}

const (
	// maxCPUShare is the share of a core above which a process is taken to have been busy-looping: it carries
	// only a hundred messages per second.
	maxCPUShare = 0.6
	// minCPURun is the shortest process lifetime that maxCPUShare is applied to.
	minCPURun = 2 * time.Second
)

// checkCPU records the processor share of a process, and a problem if it exceeds maxCPUShare.
func (n *node) checkCPU(p *shim.Process, life *emulator.Process) {
	lived := time.Since(life.Started)
	share := p.CPU().Seconds() / lived.Seconds()
	n.run.mu.Lock()
	n.run.maxCPU = max(n.run.maxCPU, share)
	n.run.mu.Unlock()
	if lived > minCPURun && share > maxCPUShare {
		n.mu.Lock()
		n.problems = append(n.problems, fmt.Sprintf("node %d used %.0f%% of a core over %s",
			n.number, 100*share, lived.Round(time.Millisecond)))
		n.mu.Unlock()
	}
}

// recordEnd records the end of a process, its injected faults, and as problems the violations in its log and an
// unexpected exit. told is whether it had been asked to end. One that was ended for its goroutines may exit as it does.
func (n *node) recordEnd(p *shim.Process, life *emulator.Process, told bool) {
	n.run.platform.Record.Update(func() { life.Ended = time.Now() })
	n.mu.Lock()
	defer n.mu.Unlock()
	n.problems = append(n.problems, n.log.violations()...)
	exit := p.Exit()
	unexpected := exit.Signaled() && exit.Signal() != syscall.SIGKILL || exit.Exited() && (!told || exit.ExitStatus() != 0)
	if unexpected && !n.dumped {
		n.problems = append(n.problems, fmt.Sprintf("node %d ended with %v: %s",
			n.number, exit, strings.Join(n.log.lines, " | ")))
	}
	for k, hits := range p.Hits() {
		n.hits[k] += hits
	}
}

// openIdleConns opens 300 idle connections for a time.
func (n *node) openIdleConns(length time.Duration) {
	var conns []net.Conn
	for range 300 {
		if c, err := net.DialTimeout("tcp", n.addr, 100*time.Millisecond); err == nil {
			conns = append(conns, c)
		}
	}
	time.Sleep(length)
	for _, c := range conns {
		_ = c.Close()
	}
}

// setClientFault activates or deactivates a fault of the node's clients.
func (n *node) setClientFault(k Kind, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.clientFaults[k] = on
}

// clientsDo returns a function that reports whether a fault of the node's clients is active at present.
func (n *node) clientsDo(k Kind) func() bool {
	return func() bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.clientFaults[k]
	}
}

// settings returns the settings of a small site with a class of each effect. Times are in seconds.
func settings(index, fleet int) map[string]any {
	class := func(name, effect string, ordered bool) map[string]any {
		return map[string]any{"name": name, "aim": 1, "give-up": lifetime.Seconds(),
			"effect": effect, "group": "all", "keep-order": ordered,
			"late-share": 0.5, "window": window.Seconds(), "worth": 1}
	}
	return map[string]any{
		"bounds": map[string]any{"cancel": true, "conn-idle": 5, "dial-timeout": 1.5, "max-attempts": 6,
			"most-held": 400, "retry-after": true, "max-retry-after": 2},
		"classes": []any{class("notice", "idempotent", false),
			class("charge", "at_most_once", true), class("order", "deduplicated", false)},
		"family-info": map[string]any{"late": "halving", "own-limits": []bool{false, false},
			"per-call": []int{1, 4}, "workers": 16,
			"zone-fee": []int{0}},
		"fleet-size": fleet, "index": index, "load-report": map[string]any{"columns": []string{}, "how": "off"},
		"registry-mode": "automatic",
		"rules": map[string]any{"cold": 2, "cold-from": 0.5, "drain-grace": emulator.DrainGrace.Seconds(),
			"fall": 1, "grace-to-answer": 0.05, "order-settle": 0.1,
			"overload-factor": 3},
		"skus": []string{"small", "large"}, "tick": 0.005, "weights": "off", "zones": []string{"z"}}
}

const (
	lifetime = 4 * time.Second // time to live of a message
	window   = time.Second     // time in which hosts deduplicate repeats
)

// clientClasses returns the classes of settings as the clients use them.
func clientClasses() []emulator.Class {
	return []emulator.Class{{Name: "notice", Effect: emulator.Idempotent},
		{Name: "charge", Effect: emulator.AtMostOnce, Ordered: true},
		{Name: "order", Effect: emulator.Deduplicated, Window: window}}
}
