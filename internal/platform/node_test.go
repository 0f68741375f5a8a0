package platform

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"basaltcross.example/basaltcross/internal/agent"
	"basaltcross.example/basaltcross/internal/journal"
)

// TestNodeProcess runs a node if another test has started this binary for that; it tests nothing itself.
func TestNodeProcess(t *testing.T) {
	if os.Getenv(nodeProcessVariable) == "" {
		t.Skip("runs only as the node process of other tests")
	}
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	if err := Run(ctx, reload, os.Getenv, zerolog.New(os.Stderr)); err != nil {
		t.Fatal(err)
	}
}

// load hands in messages from several clients until ctx ends.
func (s *fakePlatform) load(ctx context.Context, addr string, tag string, clients int) *sync.WaitGroup {
	var all sync.WaitGroup
	for i := range clients {
		all.Go(func() {
			c := s.client()
			for n := 0; ctx.Err() == nil; n++ {
				id := fmt.Sprintf("%s-%d-%d", tag, i, n)
				if n%2 == 0 {
					c.handIn(addr, id, "notice", n%len(s.hosts), "", make([]byte, n%700))
				} else {
					c.handIn(addr, id, "charge", i%len(s.hosts), fmt.Sprint("key", i), nil)
				}
			}
		})
	}
	return &all
}

// erraticHost returns the behaviour of a host that fails, refuses and delays at random.
func erraticHost(seed uint64) func(string) (int, bool) {
	var mu sync.Mutex
	r := rand.New(rand.NewPCG(seed, 1))
	return func(string) (int, bool) {
		mu.Lock()
		x, pause := r.Float64(), time.Duration(r.IntN(20))*time.Millisecond
		mu.Unlock()
		time.Sleep(pause)
		switch {
		case x < 0.05:
			return 500, x < 0.025
		case x < 0.1:
			return 503, false
		}
		return 200, true
	}
}

// checkGuarantees checks that every accepted message has ended, that no message with the effect
// at_most_once took effect twice, that no message was both served and reported as failed, and that the
// messages of each key kept their order.
func (s *fakePlatform) checkGuarantees() {
	s.t.Helper()
	s.waitSettled()
	s.mu.Lock()
	defer s.mu.Unlock()
	last := map[string]int{}
	for id, n := range s.runs {
		if strings.Contains(id, "charge") && n > 1 {
			s.t.Errorf("%s took effect %d times", id, n)
		}
	}
	for id, list := range s.notices {
		if s.served[id] > 0 && strings.HasPrefix(id, "sure") {
			s.t.Errorf("%s was served and has notices: %v", id, list)
		}
	}
	for _, id := range s.order { // the messages of each key must run in the order of hand-in
		var tag string
		var client, n int
		if _, err := fmt.Sscanf(strings.ReplaceAll(id, "-", " "), "%s %d %d", &tag, &client, &n); err != nil || n%2 == 0 {
			continue
		}
		key := fmt.Sprint(tag, client)
		if n < last[key] {
			s.t.Errorf("%s ran after number %d of its key", id, last[key])
		}
		if n == last[key] {
			s.t.Errorf("%s ran twice", id)
		}
		last[key] = n
	}
}

// Guards against messages that a restart loses, runs twice or reorders: SIGKILL and SIGTERM under load,
// each followed by a restart with the same state folder. A planned shutdown must not fail.
func TestRestartsUnderLoad(t *testing.T) {
	s := newFakePlatform(t, "small", "small", "large")
	for i := range s.hosts {
		s.say(i, erraticHost(uint64(i)))
	}
	addr := freeAddr(t)
	p := s.start(addr)
	for round, sig := range []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM, syscall.SIGKILL} {
		ctx, cancel := context.WithCancel(context.Background())
		all := s.load(ctx, addr, fmt.Sprint("r", round), 8)
		time.Sleep(600 * time.Millisecond)
		if err := p.end(t, sig); sig == syscall.SIGTERM && err != nil {
			t.Errorf("SIGTERM: %v\n%s", err, p.log)
		}
		cancel()
		all.Wait()
		p = s.start(addr)
	}
	s.checkGuarantees()
	if len(s.taken) < 100 {
		t.Errorf("%d messages accepted, want 100 or more", len(s.taken))
	}
}

// Guards against a planned restart that fails the messages it holds: they must be delivered after it.
func TestHeldMessagesSurviveRestart(t *testing.T) {
	s := newFakePlatform(t, "small")
	s.say(0, func(string) (int, bool) { return 503, false })
	addr := freeAddr(t)
	p := s.start(addr)
	c := s.client()
	for i := range 20 {
		if !c.handIn(addr, fmt.Sprint("sure", i), []string{"notice", "charge"}[i%2], 0, fmt.Sprint("k", i), nil) {
			t.Fatal("message not accepted")
		}
	}
	if err := p.end(t, syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	s.say(0, func(string) (int, bool) { return 200, true })
	s.start(addr)
	s.waitSettled()
	for i := range 20 {
		if id := fmt.Sprint("sure", i); s.runs[id] != 1 {
			t.Errorf("%s ran %d times, notices %v", id, s.runs[id], s.notices[id])
		}
	}
}

// Guards against a crash that loses notices: those that were not answered must be sent after it.
func TestNoticesSurviveCrash(t *testing.T) {
	s := newFakePlatform(t, "small")
	s.say(0, func(string) (int, bool) { return 500, true })
	s.mute = true
	addr := freeAddr(t)
	p := s.start(addr)
	for i := range 5 {
		if !s.client().handIn(addr, fmt.Sprint("m", i), "charge", 0, "", nil) {
			t.Fatal("message not accepted")
		}
	}
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		s.mu.Lock()
		n := len(s.runs)
		s.mu.Unlock()
		if n > 0 || time.Now().After(end) {
			break
		}
	}
	_ = p.end(t, syscall.SIGKILL)
	s.mu.Lock()
	s.mute = false
	s.mu.Unlock()
	s.start(addr)
	s.waitSettled()
}

// Guards against deadlines extended by a slow start: the time until messages are restored counts
// towards their age.
func TestAgesCountUntilTheRestore(t *testing.T) {
	s := newFakePlatform(t, "small")
	s.config("127.0.0.1:0", "")
	cfg, err := Load(s.env)
	if err != nil {
		t.Fatal(err)
	}
	wall := time.Now().Add(-time.Minute).UnixNano()
	p, _ := plan(cfg, &journal.Contents{Runs: map[uint32]journal.Run{1: {Number: 1, Wall: wall}},
		ThisRun: journal.Run{Number: 2, Wall: wall}, LastSeq: 1,
		Messages: []journal.Message{{Seq: 1, Identity: "m", Class: "notice", Partner: "7", At: journal.Stamp{Run: 1},
			Remaining: int64(7 * time.Second)}}},
		journal.Run{Number: 2, Wall: time.Now().UnixNano()})
	if len(p.Messages) != 1 || p.Messages[0].Left != 0 || p.Messages[0].Verdict != 0 {
		t.Errorf("%+v: the deadline was a minute ago", p.Messages)
	}
}

// Guards against a restart that gives up messages before any attempt, or miscalculates windows, because
// the wall clock was set: deadlines and windows are spans of elapsed time.
func TestRestartUnderASteppedWallClock(t *testing.T) {
	s := newFakePlatform(t, "small")
	s.config("127.0.0.1:0", "")
	cfg, err := Load(s.env)
	if err != nil {
		t.Fatal(err)
	}
	for _, step := range []time.Duration{0, time.Hour, -time.Hour, 3 * time.Second, -3 * time.Second} {
		dir := t.TempDir()
		clocks := journal.Run{Boot: "one", Clock: int64(time.Hour), Wall: int64(1_000_000 * time.Hour)}
		open := func() (*journal.Log, *journal.Contents) {
			l, k, damaged, err := journal.OpenLog(journal.LogOptions{Dir: dir, MaxBytes: 1 << 20,
				NeedsNotice: func(uint8) bool { return true }, OnWriteError: func(err error) { t.Error(err) },
				ReadClocks: func() (journal.Run, error) { return clocks, nil }})
			if err != nil || damaged != nil {
				t.Fatal(err, damaged)
			}
			t.Cleanup(func() { _ = l.Close() })
			return l, k
		}
		l, _ := open()
		l.RecordMessage(journal.Message{Seq: 1, Identity: "m", Class: "notice", Partner: "7", At: l.Stamp(),
			Remaining: int64(7 * time.Second)})
		l.RecordAttempt(journal.Attempt{Seq: 1, At: l.Stamp()})
		clocks.Clock += int64(2 * time.Second)
		clocks.Wall += int64(2*time.Second + step)
		l, k := open()
		p, _ := plan(cfg, k, l.Now())
		if len(p.Messages) != 1 {
			t.Fatalf("step %v: %d messages", step, len(p.Messages))
		}
		// The running time of the test counts as well, hence the rounding to seconds.
		if m := p.Messages[0]; m.Left.Round(time.Second) != 5*time.Second || m.SentAgo.Round(time.Second) != 2*time.Second {
			t.Errorf("step %v: left %v, sent %v ago; want 5s and 2s", step, m.Left, m.SentAgo)
		}
	}
}

// startInProcess starts a node in the test's process.
func (s *fakePlatform) startInProcess(limits string) *Node {
	s.t.Helper()
	s.t.Setenv(strictVariable, "1")
	s.config("127.0.0.1:0", limits)
	cfg, err := Load(s.env)
	if err != nil {
		s.t.Fatal(err)
	}
	n, err := Start(cfg, zerolog.Nop())
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { n.closeOnce.Do(n.close) })
	s.waitReady(n.Addr())
	return n
}

// Guards against a node that exits, or starts with an empty state, because the state folder cannot be
// read at that moment.
func TestStartWaitsForItsFolder(t *testing.T) {
	s := newFakePlatform(t, "small")
	s.say(0, func(string) (int, bool) { return 503, false })
	n := s.startInProcess("")
	if !s.client().handIn(n.Addr(), "sure", "notice", 0, "", nil) {
		t.Fatal("message not accepted")
	}
	n.Drain()
	blocked := filepath.Join(s.dir, "blocked")
	if err := os.WriteFile(blocked, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	s.config("127.0.0.1:0", "")
	cfg, err := Load(s.env)
	if err != nil {
		t.Fatal(err)
	}
	state := cfg.State
	cfg.State = filepath.Join(blocked, "state")
	said := make(chan struct{}, 1)
	log := zerolog.New(io.Discard).Hook(zerolog.HookFunc(func(_ *zerolog.Event, _ zerolog.Level, text string) {
		select {
		case said <- struct{}{}:
		default:
		}
	}))
	done := make(chan error, 1)
	go func() {
		var err error
		n, err = StartWithRetry(context.Background(), cfg, log)
		done <- err
	}()
	select {
	case err := <-done:
		t.Fatalf("the start ended: %v", err)
	case <-said:
	}
	s.say(0, func(string) (int, bool) { return 200, true })
	if err := errors.Join(os.Remove(blocked), os.Mkdir(blocked, 0o700), os.Rename(state, cfg.State)); err != nil {
		t.Fatal(err)
	}
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { n.closeOnce.Do(n.close) })
	s.waitSettled()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs["sure"] != 1 {
		t.Errorf("the message of the previous run took effect %d times, want 1", s.runs["sure"])
	}
}

// Guards against a reload under load that keeps using the agent's old address for the host list or the
// notices, and against an invalid configuration file that takes effect.
func TestReload(t *testing.T) {
	s := newFakePlatform(t, "small", "small")
	n := s.startInProcess("")
	ctx, cancel := context.WithCancel(context.Background())
	all := s.load(ctx, n.Addr(), "h", 4)
	s.newAgent()
	s.config(n.Addr(), "")
	n.Reload(s.env)
	_ = s.agent[0].Close()
	s.say(0, func(string) (int, bool) { return 500, true }) // so that notices are needed
	time.Sleep(200 * time.Millisecond)
	if err := os.WriteFile(s.env("ROUTER_CONFIG"), []byte(`{"name":`), 0o600); err != nil {
		t.Fatal(err)
	}
	n.Reload(s.env)
	s.updateList(func(l *agent.List) { l.Targets[1].State = "removed" })
	for end := time.Now().Add(20 * time.Second); n.hostDirectory.Endpoints() != 1; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the list of the new agent was not applied within 20 s")
		}
	}
	noticed := func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.notices) > 0
	}
	for end := time.Now().Add(20 * time.Second); !noticed(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no notice was sent to the new address within 20 s")
		}
	}
	cancel()
	all.Wait()
	s.say(0, func(string) (int, bool) { return 200, true })
	s.waitSettled()
}

// Guards against a new host that inherits the connections of the host that had its address before, and
// against connections to the old address of a host whose address has changed.
func TestNewHostAtAnOldAddress(t *testing.T) {
	s := newFakePlatform(t, "small")
	n := s.startInProcess("")
	c := s.client()
	if !c.handIn(n.Addr(), "one", "notice", 0, "", nil) {
		t.Fatal("message not accepted")
	}
	s.waitSettled()
	if n.caller.Connections("s-0") != 1 {
		t.Fatalf("%d connections, want 1", n.caller.Connections("s-0"))
	}
	s.updateList(func(l *agent.List) {
		l.Targets = append(l.Targets[:0:0], l.Targets...)
		l.Targets[0].UID = "s-new"
	})
	for end := time.Now().Add(20 * time.Second); n.caller.Connections("s-0") != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the connection of the host that left is kept")
		}
	}
	if !c.handIn(n.Addr(), "two", "notice", 0, "", nil) {
		t.Fatal("message not accepted")
	}
	s.waitSettled()
	if n.caller.Connections("s-new") != 1 {
		t.Error("the new host was called on a connection of the old one")
	}
	moved, _ := s.serve(s.hosts[0].srv.Handler)
	s.updateList(func(l *agent.List) {
		l.Targets = append(l.Targets[:0:0], l.Targets...)
		l.Targets[0].Endpoint = moved
	})
	for end := time.Now().Add(20 * time.Second); n.caller.Connections("s-new") != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("a connection to the old address is kept")
		}
	}
	_ = s.hosts[0].srv.Close()
	if !c.handIn(n.Addr(), "three", "notice", 0, "", nil) {
		t.Fatal("message not accepted")
	}
	s.waitSettled()
}

// Guards against tables that grow without bound with ever new hosts, identities, keys and connections.
func TestTablesStayBounded(t *testing.T) {
	s := newFakePlatform(t, "small")
	n := s.startInProcess("")
	c := s.client()
	const many = 3000
	for i := range many {
		if i%10 == 0 { // a new host in place of the old one, at its address
			s.updateList(func(l *agent.List) {
				l.Targets = append(l.Targets[:0:0], l.Targets...)
				l.Targets[0].UID = fmt.Sprint("s-", i)
			})
		}
		if i%20 == 0 {
			c = s.client()
		}
		c.handIn(n.Addr(), fmt.Sprint("m", i), []string{"notice", "charge"}[i%2], 0, fmt.Sprint("key", i), nil)
	}
	s.waitSettled()
	for end := time.Now().Add(30 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		sizes := n.Sizes()
		over := ""
		for name, size := range sizes {
			if size > many/20 && name != "identities" {
				over = fmt.Sprintf("%s: %d", name, size)
			}
		}
		if over == "" {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("%s after %d messages to %d hosts: %v", over, many, many/10, sizes)
		}
	}
}

// Guards against a wrong count of calls in flight: the node's maximum must match the one that the hosts
// observe, and stay within the number of slots.
func TestCountOfCallsInFlight(t *testing.T) {
	s := newFakePlatform(t, "small", "small", "small")
	for i := range s.hosts {
		s.say(i, func(string) (int, bool) { time.Sleep(30 * time.Millisecond); return 200, true })
	}
	n := s.startInProcess("")
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	s.load(ctx, n.Addr(), "o", 40).Wait()
	s.waitSettled()
	n.stats.mu.Lock()
	believed := n.stats.maxOutInRun
	n.stats.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.most > believed || s.most < believed/2 || believed > 16 {
		t.Errorf("at most %d calls in flight by the node's count, %d by the hosts'; 16 slots", believed, s.most)
	}
}

// Guards against calls during a wait that a host has asked for, and against a host that fails every call
// but still gets a full share of the calls.
func TestWaitsAndFailingHosts(t *testing.T) {
	s := newFakePlatform(t, "small", "small", "small")
	calls := 0
	var mu sync.Mutex
	s.say(0, func(string) (int, bool) { // every 30th call is answered with a wait
		mu.Lock()
		defer mu.Unlock()
		if calls++; calls%30 == 0 {
			return 429, false
		}
		return 200, true
	})
	s.hosts[0].wait = 1500 * time.Millisecond // longer than the pause that package choice makes by itself
	failed := 0
	s.say(1, func(string) (int, bool) {
		mu.Lock()
		defer mu.Unlock()
		failed++
		return 500, true
	})
	n := s.startInProcess("")
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	s.load(ctx, n.Addr(), "w", 2).Wait()
	s.waitSettled()
	s.mu.Lock()
	defer s.mu.Unlock()
	mu.Lock()
	defer mu.Unlock()
	if told := calls / 30; told == 0 || s.hosts[0].early > told { // a stalled machine may deliver a call late
		t.Errorf("%d calls during %d waits", s.hosts[0].early, told)
	}
	if failed == 0 || failed*5 > calls {
		t.Errorf("%d calls to the host that fails every call, %d to a healthy one", failed, calls)
	}
}

// Guards against an invalid environment or configuration file that is accepted, or whose error message
// is not a single line.
func TestBadConfigurations(t *testing.T) {
	s := newFakePlatform(t, "small")
	good := func() string {
		s.config("127.0.0.1:0", "")
		b, _ := os.ReadFile(s.env("ROUTER_CONFIG"))
		return string(b)
	}()
	for name, edit := range map[string][2]string{
		"no listen":   {`"listen":"127.0.0.1:0"`, `"listen":"here"`},
		"seed":        {"8c1f30d27a5be964", "seven"},
		"cores":       {`"cores":1`, `"cores":0`},
		"memory":      {`"memory_mb":128`, `"memory_mb":0`},
		"sockets":     {`"sockets":256`, `"sockets":3`},
		"disk":        {`"disk_mb":1`, `"disk_mb":-1`},
		"effect":      {"idempotent", "odd"},
		"no settings": {`"settings":`, `"set":`},
		"cut off":     {"]}", ""},
	} {
		if err := os.WriteFile(s.env("ROUTER_CONFIG"), []byte(strings.Replace(good, edit[0], edit[1], 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := Load(s.env); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", name, err)
		}
	}
	for _, name := range []string{"ROUTER_CONFIG", "ROUTER_STATE"} {
		if _, err := Load(func(v string) string {
			if v == name {
				return ""
			}
			return s.env(v)
		}); err == nil {
			t.Errorf("%s is not set, but Load gave no error", name)
		}
	}
	var taken net.Listener
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	s.config(taken.Addr().String(), "")
	cfg, err := Load(s.env)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Start(cfg, zerolog.Nop()); err == nil {
		t.Error("started on an address that is in use")
	}
}
