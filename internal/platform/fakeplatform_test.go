package platform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"basaltcross.example/basaltcross/internal/agent"
)

// fakePlatform is a platform on loopback addresses: agent, hosts and clients. It records the requests
// and responses that it sees.
type fakePlatform struct {
	t     *testing.T
	dir   string
	agent []*http.Server // one server per address; the last one is in use
	at    []string
	hosts []*fakeHost

	mu      sync.Mutex
	list    agent.List
	changed chan struct{}
	mute    bool // notices are answered with 500
	notices map[string][]string
	taken   map[string]bool // messages answered with 202, by identity
	runs    map[string]int  // times that each message took effect
	served  map[string]int  // times that a host answered each message with 200
	order   []string        // identities in the order of their effects
	out     int             // calls in flight now
	most    int             // highest value of out
}

// fakeHost is one host of the platform.
type fakeHost struct {
	uid, addr string
	srv       *http.Server
	// say returns the status for a message and whether the message took effect.
	say func(id string) (status int, ran bool)
	// wait is sent with each 429. early counts the calls that came within such a wait, except in its
	// first 100 ms, which the protocol allows.
	wait  time.Duration
	until time.Time
	early int
}

const (
	lanes = `[{"name":"notice","aim":2,"give-up":8,"effect":"idempotent","group":"all","late-share":0.5,"window":5,"worth":1},
		{"name":"charge","aim":2,"give-up":8,"effect":"at_most_once","group":"all","keep-order":true,"late-share":0.5,"window":5,"worth":2}]`
	object = `{"bounds":{"cancel":true,"conn-idle":15,"dial-timeout":1.5,"max-attempts":6,"most-held":400},"classes":` + lanes + `,
		"family-info":{"late":"halving","own-limits":[false,false],"per-call":[1,4],"workers":16,"zone-fee":[0]},"fleet-size":1,"index":0,
		"load-report":{"columns":[],"how":"off"},"registry-mode":"automatic","rules":{"cold":2,"cold-from":0.5,"drain-grace":0.5,"fall":1,
		"grace-to-answer":0.05,"order-settle":0.1,"overload-factor":3},"skus":["small","large"],"tick":0.005,"weights":"off","zones":["z"]}`
)

func newFakePlatform(t *testing.T, kinds ...string) *fakePlatform {
	t.Helper()
	s := &fakePlatform{t: t, dir: t.TempDir(), changed: make(chan struct{}), notices: map[string][]string{}, taken: map[string]bool{},
		runs: map[string]int{}, served: map[string]int{}}
	for i, kind := range kinds {
		h := &fakeHost{uid: fmt.Sprint("s-", i), say: func(string) (int, bool) { return 200, true }}
		h.addr, h.srv = s.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.call(h, w, r) }))
		s.hosts = append(s.hosts, h)
		s.list.Targets = append(s.list.Targets, agent.Target{UID: h.uid, Endpoint: h.addr, Zone: "z", Kind: kind, Dest: i, State: "up", Rate: 1})
	}
	s.list.Rev, s.list.All = 1, true
	s.newAgent()
	return s
}

func (s *fakePlatform) serve(h http.Handler) (string, *http.Server) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	srv := &http.Server{Handler: h}
	go func() { _ = srv.Serve(l) }()
	s.t.Cleanup(func() { _ = srv.Close() })
	return l.Addr().String(), srv
}

// newAgent starts a server for the agent at a further address.
func (s *fakePlatform) newAgent() {
	mux := http.NewServeMux()
	mux.HandleFunc("/discovery/hosts", s.watch)
	mux.HandleFunc("/v1/notices", s.notice)
	at, srv := s.serve(mux)
	s.at, s.agent = append(s.at, at), append(s.agent, srv)
}

func (s *fakePlatform) watch(w http.ResponseWriter, r *http.Request) {
	for r.Context().Err() == nil {
		s.mu.Lock()
		line, _ := json.Marshal(s.list)
		changed := s.changed
		s.mu.Unlock()
		_, _ = w.Write(append(line, '\n'))
		_ = http.NewResponseController(w).Flush()
		select {
		case <-changed:
		case <-r.Context().Done():
		}
	}
}

// updateList changes the host list and its revision, and wakes the watches.
func (s *fakePlatform) updateList(f func(l *agent.List)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.list)
	s.list.Rev++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakePlatform) notice(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mute {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	for line := range bytes.Lines(body) {
		var n struct{ Ref, Result string }
		if json.Unmarshal(line, &n) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.notices[n.Ref] = append(s.notices[n.Ref], n.Result)
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *fakePlatform) call(h *fakeHost, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.out++
	s.most = max(s.most, s.out)
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.out--
		s.mu.Unlock()
	}()
	if r.URL.Path == "/hook" {
		s.mu.Lock()
		if now := time.Now(); now.Before(h.until) && now.After(h.until.Add(100*time.Millisecond-h.wait)) {
			h.early++
		}
		s.mu.Unlock()
		status := s.run(h, r.Header.Get("X-Txn"))
		if status == http.StatusTooManyRequests {
			s.mu.Lock()
			h.until = time.Now().Add(h.wait)
			s.mu.Unlock()
			w.Header().Set("X-RateLimit-Wait-Ms", strconv.Itoa(int(h.wait.Milliseconds())))
		}
		w.WriteHeader(status)
		return
	}
	var items []struct{ ID string }
	if json.Unmarshal(body, &items) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	type end struct {
		ID    string `json:"id"`
		State string `json:"state"`
	}
	var ends []end
	for _, m := range items {
		state := map[int]string{200: "delivered", 500: "failed", 429: "refused", 503: "refused", 504: "spent", 410: "over"}[s.run(h, m.ID)]
		ends = append(ends, end{m.ID, state})
	}
	_ = json.NewEncoder(w).Encode(ends)
}

func (s *fakePlatform) run(h *fakeHost, id string) int {
	s.mu.Lock()
	say := h.say
	s.mu.Unlock()
	status, ran := say(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if ran {
		s.runs[id]++
		s.order = append(s.order, id)
	}
	if status == 200 {
		s.served[id]++
	}
	return status
}

// say sets how a host answers messages.
func (s *fakePlatform) say(i int, f func(id string) (int, bool)) {
	s.mu.Lock()
	s.hosts[i].say = f
	s.mu.Unlock()
}

// config writes the configuration file; limits "" stands for the default ones.
func (s *fakePlatform) config(listen string, limits string) {
	s.t.Helper()
	if limits == "" {
		limits = `{"cores":1,"memory_mb":128,"sockets":256,"disk_mb":1}`
	}
	s.mu.Lock()
	known, _ := json.Marshal(s.list)
	s.mu.Unlock()
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964","limits":%s,"known":%s,"settings":%s}`,
		listen, s.at[len(s.at)-1], limits, known, object)
	tmp := filepath.Join(s.dir, "new.json")
	if err := os.WriteFile(tmp, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	if err := os.Rename(tmp, filepath.Join(s.dir, "config.json")); err != nil {
		s.t.Fatal(err)
	}
}

func (s *fakePlatform) env(name string) string {
	return map[string]string{"ROUTER_CONFIG": filepath.Join(s.dir, "config.json"), "ROUTER_STATE": filepath.Join(s.dir, "state")}[name]
}

// process is a node in a process of its own, which runs this test's binary.
type process struct {
	cmd  *exec.Cmd
	addr string
	log  *bytes.Buffer
}

// freeAddr returns a free address, for a node that is started several times at the same address.
func freeAddr(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

const nodeProcessVariable = "BASALTCROSS_TEST_NODE"

func (s *fakePlatform) start(addr string) *process {
	s.t.Helper()
	s.config(addr, "")
	return s.startConfigured(addr)
}

// startConfigured is start without writing the configuration file.
func (s *fakePlatform) startConfigured(addr string) *process {
	s.t.Helper()
	p := &process{cmd: exec.Command(os.Args[0], "-test.run=TestNodeProcess"), addr: addr, log: &bytes.Buffer{}}
	p.cmd.Env = append(os.Environ(), nodeProcessVariable+"=1", strictVariable+"=1", "ROUTER_CONFIG="+s.env("ROUTER_CONFIG"), "ROUTER_STATE="+s.env("ROUTER_STATE"))
	p.cmd.Stderr = p.log
	if err := p.cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = p.cmd.Process.Kill(); _ = p.cmd.Wait() })
	s.waitReady(addr)
	return p
}

// waitReady waits until /up is answered with 200.
func (s *fakePlatform) waitReady(addr string) {
	s.t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if r, err := http.Get("http://" + addr + "/up"); err == nil {
			_ = r.Body.Close()
			if r.StatusCode == 200 {
				return
			}
		}
	}
	s.t.Fatal("/up was not answered with 200 within 30 s")
}

func (p *process) end(t *testing.T, sig syscall.Signal) error {
	t.Helper()
	if err := p.cmd.Process.Signal(sig); err != nil {
		t.Fatal(err)
	}
	return p.cmd.Wait()
}

// client hands in messages one after another over a connection of its own.
type client struct {
	s    *fakePlatform
	http http.Client
	left time.Duration // X-Remaining-Ms of its messages
}

func (s *fakePlatform) client() *client {
	return &client{s: s, left: 8 * time.Second, http: http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}}
}

// handIn hands in a message and returns whether it was accepted.
func (c *client) handIn(addr, id, lane string, dest int, key string, body []byte) bool {
	r, _ := http.NewRequest(http.MethodPost, "http://"+addr+"/api", bytes.NewReader(body))
	r.Header.Set("X-Txn", id)
	r.Header.Set("X-Lane", lane)
	r.Header.Set("X-Remaining-Ms", strconv.FormatInt(c.left.Milliseconds(), 10))
	r.Header.Set("X-Addressing", "dest="+strconv.Itoa(dest))
	if key != "" {
		r.AddCookie(&http.Cookie{Name: "about", Value: key})
	}
	a, err := c.http.Do(r)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, a.Body)
	_ = a.Body.Close()
	if a.StatusCode != 202 {
		return false
	}
	c.s.mu.Lock()
	c.s.taken[id] = true
	c.s.mu.Unlock()
	return true
}

// waitSettled waits until each accepted message has been served or has a notice.
func (s *fakePlatform) waitSettled() {
	s.t.Helper()
	var open []string
	for end := time.Now().Add(40 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		open = open[:0]
		s.mu.Lock()
		for id := range s.taken {
			if s.served[id] == 0 && len(s.notices[id]) == 0 {
				open = append(open, id)
			}
		}
		s.mu.Unlock()
		if len(open) == 0 {
			return
		}
	}
	s.t.Fatalf("%d accepted messages were neither served nor have a notice: %.10q", len(open), open)
}
