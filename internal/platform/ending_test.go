package platform

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"basaltcross.example/basaltcross/internal/agent"
)

// What the agent has counts from the first moment of a process: a message that a restart
// found is not sent to a host that drained meanwhile, though the configuration's list still
// has it as up.
func TestAgentBeforeTheFirstSend(t *testing.T) {
	s := newFakePlatform(t, "small", "small")
	s.hosts[1].uid = "s-1"
	s.list.Targets[1].Dest = 0 // both serve one destination
	s.say(0, func(string) (int, bool) { return 503, false })
	s.say(1, func(string) (int, bool) { return 503, false })
	addr := freeAddr(t)
	p := s.start(addr)
	c := s.client()
	for i := range 10 {
		if !c.handIn(addr, fmt.Sprint("sure", i), "notice", 0, "", nil) {
			t.Fatal("not taken")
		}
	}
	_ = p.end(t, syscall.SIGKILL)
	var early atomic.Int32
	s.say(0, func(string) (int, bool) { early.Add(1); return 200, true })
	s.say(1, func(string) (int, bool) { return 200, true })
	s.config(addr, "") // knows both as up
	s.updateList(func(l *agent.List) {
		l.Targets = append(l.Targets[:0:0], l.Targets...)
		l.Targets[0].State = "draining"
	})
	s.startConfigured(addr)
	s.waitSettled()
	if n := early.Load(); n > 0 {
		t.Errorf("%d calls to a host that the agent had as draining", n)
	}
}

// A message's key for repeats outlives the process: the calls after a restart carry it too.
func TestIdempotencyKeySurvives(t *testing.T) {
	s := newFakePlatform(t, "small")
	var mu sync.Mutex
	keys := map[string]bool{}
	inner := s.hosts[0].srv.Handler
	status := 503
	s.hosts[0].srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		keys[fmt.Sprint(status, " ", r.Header.Get("Idempotency-Key"))] = true
		mu.Unlock()
		inner.ServeHTTP(w, r)
	})
	s.say(0, func(string) (int, bool) { mu.Lock(); defer mu.Unlock(); return status, status == 200 })
	addr := freeAddr(t)
	p := s.start(addr)
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprint(c, "POST /api HTTP/1.1\r\nHost: h\r\nX-Txn: sure-1\r\nX-Lane: notice\r\nX-Remaining-Ms: 8000\r\n"+
		"X-Addressing: dest=0\r\nIdempotency-Key: key-1\r\nContent-Length: 0\r\n\r\n")
	if a, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || a.StatusCode != 202 {
		t.Fatal(a, err)
	}
	s.taken["sure-1"] = true
	_ = p.end(t, syscall.SIGKILL)
	mu.Lock()
	status = 200
	mu.Unlock()
	s.start(addr)
	s.waitSettled()
	mu.Lock()
	defer mu.Unlock()
	if !keys["200 key-1"] || keys["200 "] {
		t.Errorf("calls with %v", keys)
	}
}

// What a relay was told lasts: where the agent is silent after a restart, the list that the
// last run heard counts, and not an older one in the configuration. A file that cannot be
// read, or one that is older than the configuration's list, counts for nothing.
func TestListSurvives(t *testing.T) {
	dir := t.TempDir()
	var failed error
	h := newHostListFile(dir, 400, func(err error) { failed = err })
	list := func(rev int64, uids ...string) agent.List {
		l := agent.List{Rev: rev, All: true}
		for _, uid := range uids {
			l.Targets = append(l.Targets, agent.Target{UID: uid, State: "up"})
		}
		return l
	}
	check := func(what string, want int64, failed bool) {
		t.Helper()
		l, err := h.newest(list(5, "known"))
		if l.Rev != want || (err != nil) != failed {
			t.Errorf("%s: revision %d, %v; want %d, failed %v", what, l.Rev, err, want, failed)
		}
	}
	check("none kept", 5, false)
	for _, rev := range []int64{4, 7, 9} {
		if h.save(list(rev, "a")); failed != nil {
			t.Fatal(failed)
		}
		check("kept", max(5, rev), false)
	}
	if h.save(list(10, strings.Repeat("long", 200))); failed == nil {
		t.Error("a list over the bound was kept")
	}
	check("too long to keep", 5, false)
	if err := os.WriteFile(filepath.Join(dir, "hosts.json"), []byte(`{"rev":11,`), 0o600); err != nil {
		t.Fatal(err)
	}
	check("damaged", 5, true)

	s := newFakePlatform(t, "small", "small")
	s.list.Targets[1].Dest = 0
	n := s.startInProcess("")
	s.config(n.Addr(), "")
	s.updateList(func(l *agent.List) {
		l.Targets = append(l.Targets[:0:0], l.Targets[1])
	})
	for end := time.Now().Add(20 * time.Second); n.hostDirectory.Endpoints() != 1; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the news never came")
		}
	}
	n.closeOnce.Do(n.close)
	_ = s.agent[0].Close() // silent from now on
	cfg, err := Load(s.env)
	if err != nil {
		t.Fatal(err)
	}
	if len(cfg.Known.Targets) != 2 {
		t.Fatalf("the configuration knows %d hosts", len(cfg.Known.Targets))
	}
	n = s.startInProcess("")
	if got := n.hostDirectory.Endpoints(); got != 1 {
		t.Errorf("%d hosts, want the one that the last run had heard of", got)
	}
}

// While a relay ends, clients go on on every connection that is open, until the process is
// gone: whatever is written, none finds its connection reset, and a request on a connection
// that has just come up gets its answer. Once a client was told that a connection ends it
// opens no other, as behind a front: the system resets what is in the listener's queue when
// that closes. What was taken is delivered, by this run or the next.
func TestClientsUntilTheEnd(t *testing.T) {
	s := newFakePlatform(t, "small", "small")
	addr := freeAddr(t)
	p := s.start(addr)
	var all sync.WaitGroup
	var resets, unanswered, taken atomic.Int32
	var ending atomic.Bool
	for i := range 12 {
		all.Go(func() {
			for n := 0; ; n++ {
				c, err := net.Dial("tcp", addr)
				if err != nil {
					return // the relay takes no connections any more
				}
				_ = c.SetDeadline(time.Now().Add(20 * time.Second))
				r := bufio.NewReader(c)
				ends := false
				for asked := 0; ; asked++ {
					id := fmt.Sprintf("sure-%d-%d-%d", i, n, asked)
					_, err := fmt.Fprintf(c, "POST /api HTTP/1.1\r\nHost: h\r\nX-Txn: %s\r\nX-Lane: notice\r\nX-Remaining-Ms: 8000\r\n"+
						"X-Addressing: dest=%d\r\nContent-Length: 0\r\n\r\n", id, i%2)
					var a *http.Response
					if err == nil {
						a, err = http.ReadResponse(r, nil)
					}
					if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
						resets.Add(1)
					}
					if err != nil {
						if asked == 0 {
							unanswered.Add(1)
						}
						break
					}
					_, _ = io.Copy(io.Discard, a.Body)
					ends = ends || a.Close
					if a.StatusCode == 202 {
						taken.Add(1)
						s.mu.Lock()
						s.taken[id] = true
						s.mu.Unlock()
					}
					if i%3 == 0 { // rests until the relay ends the connection
						if _, err := r.ReadByte(); err != io.EOF {
							resets.Add(1)
						}
						break
					}
				}
				_ = c.Close()
				if ends || ending.Load() {
					return
				}
			}
		})
	}
	for taken.Load() < 50 {
		time.Sleep(time.Millisecond)
	}
	ending.Store(true)
	if err := p.end(t, syscall.SIGTERM); err != nil {
		t.Errorf("SIGTERM: %v\n%s", err, p.log)
	}
	all.Wait()
	if resets.Load() > 0 || unanswered.Load() > 0 {
		t.Errorf("%d connections were reset, %d new ones ended without an answer; %d messages were taken", resets.Load(), unanswered.Load(), taken.Load())
	}
	s.start(addr)
	s.waitSettled()
}
