// Command review2 plays the platform around one relay, for the cases 6 to 10 of the review: the agent, the hosts and
// the clients, as the pages describe them, on loopback addresses. It starts the relay with the command of the deploy
// file and writes what was sent, answered and run to a record.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record is the file of what was seen, with times in seconds since the start.
type record struct {
	mu    sync.Mutex
	out   *bufio.Writer
	began time.Time
}

func newRecord(path string) (*record, func(), error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, nil, err
	}
	r := &record{out: bufio.NewWriter(f), began: time.Now()}
	return r, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		_ = r.out.Flush()
		_ = f.Close()
	}, nil
}

func (r *record) now() time.Duration { return time.Since(r.began) }

func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.4f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// target is one host in the form of the discovery list.
type target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Kind     string  `json:"model"`
	Dest     int     `json:"pod_group"`
	State    string  `json:"state"`
	Rate     float64 `json:"capacity_hint"`
	BootMs   int64   `json:"boot_ms"`
}

type list struct {
	Rev     int64    `json:"rev"`
	All     bool     `json:"all"`
	Targets []target `json:"targets"`
}

// agent is the agent of discovery on the relay's machine.
type agent struct {
	rec    *record
	addr   string
	server *http.Server

	mu      sync.Mutex
	full    list
	changes []list // each change, by revision
	changed chan struct{}
	down    bool
	notices []notice
	// onNotice is called for each notice before it is answered.
	onNotice func(notice)
}

type notice struct {
	At     time.Duration
	Ref    string `json:"ref"`
	Result string `json:"result"`
	WaitMs int64  `json:"wait_ms"`
}

func startAgent(rec *record, first list) (*agent, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &agent{rec: rec, addr: l.Addr().String(), full: first, changed: make(chan struct{})}
	a.server = &http.Server{Handler: http.HandlerFunc(a.serve)}
	go func() { _ = a.server.Serve(l) }()
	return a, nil
}

// stop ends the agent and its connections.
func (a *agent) stop() { _ = a.server.Close() }

func (a *agent) wake() { close(a.changed); a.changed = make(chan struct{}) }

// setDown makes discovery unreachable: the agent is silent, but takes notices.
func (a *agent) setDown(down bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rec.log("discovery down=%v", down)
	a.down = down
	a.wake()
}

// change tells new states of hosts.
func (a *agent) change(all ...target) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.full.Rev++
	for _, t := range all {
		a.rec.log("list rev=%d uid=%s state=%s", a.full.Rev, t.UID, t.State)
		kept := a.full.Targets[:0:0]
		found := false
		for _, o := range a.full.Targets {
			if o.UID == t.UID {
				found = true
				if o = t; t.State == "removed" {
					continue
				}
			}
			kept = append(kept, o)
		}
		if !found && t.State != "removed" {
			kept = append(kept, t)
		}
		a.full.Targets = kept
	}
	a.changes = append(a.changes, list{Rev: a.full.Rev, Targets: all})
	a.wake()
}

func (a *agent) serve(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/v1/notices":
		body, _ := io.ReadAll(r.Body)
		a.mu.Lock()
		for line := range strings.Lines(string(body)) {
			n := notice{At: a.rec.now()}
			if json.Unmarshal([]byte(line), &n) != nil {
				a.mu.Unlock()
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			a.notices = append(a.notices, n)
			a.rec.log("notice id=%s result=%s wait_ms=%d", n.Ref, n.Result, n.WaitMs)
			if a.onNotice != nil {
				a.onNotice(n)
			}
		}
		a.mu.Unlock()
		w.WriteHeader(http.StatusNoContent)
	case "/discovery/hosts":
		if r.URL.Query().Get("watch") == "" {
			a.mu.Lock()
			b, _ := json.Marshal(a.full)
			down := a.down
			a.mu.Unlock()
			if down {
				<-r.Context().Done()
				return
			}
			_, _ = w.Write(b)
			return
		}
		after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
		a.watch(w, r, after)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (a *agent) watch(w http.ResponseWriter, r *http.Request, rev int64) {
	flush := http.NewResponseController(w).Flush
	first := true
	for {
		a.mu.Lock()
		changed, down := a.changed, a.down
		var lines [][]byte
		if !down {
			oldest := a.full.Rev
			if len(a.changes) > 0 {
				oldest = a.changes[0].Rev - 1
			}
			if first && rev < oldest {
				l := a.full
				l.All = true
				b, _ := json.Marshal(l)
				lines = append(lines, b)
			} else {
				for _, c := range a.changes {
					if c.Rev > rev {
						b, _ := json.Marshal(c)
						lines = append(lines, b)
					}
				}
				if first && len(lines) == 0 {
					b, _ := json.Marshal(list{Rev: a.full.Rev, Targets: []target{}})
					lines = append(lines, b)
				}
			}
			rev, first = a.full.Rev, false
		}
		a.mu.Unlock()
		for _, b := range lines {
			if _, err := w.Write(append(b, '\n')); err != nil {
				return
			}
			_ = flush()
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-time.After(2 * time.Second):
			a.mu.Lock()
			quiet := a.down
			a.mu.Unlock()
			if !quiet {
				_, _ = io.WriteString(w, "\n")
				_ = flush()
			}
		}
	}
}

// noticesOf returns the notices of a message.
func (a *agent) noticesOf(id string) (all []notice) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, n := range a.notices {
		if n.Ref == id {
			all = append(all, n)
		}
	}
	return all
}

// call is one call of one message that a host got whole.
type call struct {
	At   time.Duration
	Host string
	ID   string
}

// answer is what a host does with a call: it waits, then answers with a status, or with 0 stays silent until the relay
// ends the connection.
type answer struct {
	after  time.Duration
	status int
}

// host is one host of a destination.
type host struct {
	uid  string
	addr string
	rec  *record
	l    net.Listener
	do   func(c call) answer

	mu    sync.Mutex
	conns map[net.Conn]bool
	calls []call
}

// startHost starts a host at an address of its own.
func startHost(rec *record, uid string, do func(c call) answer) (*host, error) {
	return startHostAt(rec, uid, "127.0.0.1:0", do)
}

func startHostAt(rec *record, uid, addr string, do func(c call) answer) (*host, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	h := &host{uid: uid, addr: l.Addr().String(), rec: rec, l: l, do: do, conns: map[net.Conn]bool{}}
	rec.log("host %s starts", uid)
	go h.accept()
	return h, nil
}

// end ends the host: its connections are reset, and new ones are refused.
func (h *host) end() {
	h.rec.log("host %s ends", h.uid)
	_ = h.l.Close()
	h.mu.Lock()
	defer h.mu.Unlock()
	for c := range h.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

func (h *host) accept() {
	for {
		c, err := h.l.Accept()
		if err != nil {
			return
		}
		h.mu.Lock()
		h.conns[c] = true
		h.mu.Unlock()
		go h.serve(c)
	}
}

func (h *host) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		h.mu.Lock()
		delete(h.conns, c)
		h.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.ReadAll(q.Body); err != nil {
			return
		}
		one := call{At: h.rec.now(), Host: h.uid, ID: q.Header.Get("X-Txn")}
		h.mu.Lock()
		h.calls = append(h.calls, one)
		h.mu.Unlock()
		h.rec.log("call host=%s id=%s remaining_ms=%s", h.uid, one.ID, q.Header.Get("X-Remaining-Ms"))
		x := h.do(one)
		time.Sleep(x.after)
		switch {
		case x.status == 0:
			_, _ = in.ReadByte() // until the relay ends the connection
			h.rec.log("call host=%s id=%s given up by the relay", h.uid, one.ID)
			return
		default:
			if _, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nContent-Length: 0\r\n\r\n", x.status, http.StatusText(x.status)); err != nil {
				h.rec.log("answer host=%s id=%s not written: %v", h.uid, one.ID, err)
				return
			}
			h.rec.log("answer host=%s id=%s status=%d", h.uid, one.ID, x.status)
		}
	}
}

func (h *host) all() []call {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]call(nil), h.calls...)
}

// relay is the process under test.
type relay struct {
	rec    *record
	root   string
	dir    string // temporary folder
	listen string
	agent  string
	config map[string]any
	cmd    *exec.Cmd
	exited chan struct{}
	starts int
	nofile int // limit on descriptors that the process is started with; 0 for none
}

func freePort() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

func newRelay(rec *record, root, dir, agentAddr string, known list, limits, settings map[string]any) (*relay, error) {
	addr, err := freePort()
	if err != nil {
		return nil, err
	}
	known.All = true
	p := &relay{rec: rec, root: root, dir: dir, listen: addr, agent: agentAddr, config: map[string]any{"name": "n1", "listen": addr,
		"discovery": agentAddr, "limits": limits, "known": known, "settings": settings}}
	return p, os.MkdirAll(filepath.Join(dir, "state"), 0o700)
}

// writeConfig replaces the configuration file.
func (p *relay) writeConfig() (string, error) {
	path := filepath.Join(p.dir, "config.json")
	b, err := json.Marshal(p.config)
	if err == nil {
		err = os.WriteFile(path+".new", b, 0o600)
	}
	if err == nil {
		err = os.Rename(path+".new", path)
	}
	return path, err
}

// start starts the relay as the deploy file says, and waits until it is ready.
func (p *relay) start() error {
	p.starts++
	p.config["seed"] = fmt.Sprintf("%016x", 0x5c1f30d27a5be960+p.starts)
	path, err := p.writeConfig()
	if err != nil {
		return err
	}
	tmp := filepath.Join(p.dir, fmt.Sprint("tmp", p.starts))
	if err := os.MkdirAll(tmp, 0o700); err != nil {
		return err
	}
	logFile, err := os.Create(filepath.Join(p.dir, fmt.Sprintf("relay-%d.log", p.starts)))
	if err != nil {
		return err
	}
	defer logFile.Close()
	run := "exec bin/basaltcross node"
	if p.nofile > 0 {
		run = fmt.Sprintf("ulimit -n %d && %s", p.nofile, run)
	}
	cmd := exec.Command("/bin/sh", "-c", run)
	cmd.Dir, cmd.Stdout, cmd.Stderr = p.root, logFile, logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	cmd.Env = append(os.Environ(), "ROUTER_NAME=n1", "ROUTER_LISTEN="+p.listen, "ROUTER_DISCOVERY="+p.agent,
		"ROUTER_STATE="+filepath.Join(p.dir, "state"), "ROUTER_CONFIG="+path, "TMPDIR="+tmp)
	if err := cmd.Start(); err != nil {
		return err
	}
	p.rec.log("relay started, run %d", p.starts)
	p.cmd, p.exited = cmd, make(chan struct{})
	go func(done chan struct{}) { _ = cmd.Wait(); close(done) }(p.exited)
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		select {
		case <-p.exited:
			return errors.New("the relay ended before it was ready")
		default:
		}
		if status, _ := p.get("/up"); status == http.StatusOK {
			p.rec.log("relay ready, run %d", p.starts)
			return nil
		}
	}
	return errors.New("the relay was not ready within 30 s")
}

func (p *relay) get(path string) (int, error) {
	c, err := net.DialTimeout("tcp", p.listen, time.Second)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n", path)
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	return r.StatusCode, nil
}

func (p *relay) signal(s syscall.Signal) {
	if p.cmd != nil {
		p.rec.log("signal %v", s)
		_ = p.cmd.Process.Signal(s)
	}
}

// kill ends the relay and waits for its end.
func (p *relay) kill() {
	if p.cmd == nil {
		return
	}
	p.signal(syscall.SIGKILL)
	<-p.exited
}

func (p *relay) alive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// descriptors returns the number of descriptors that the relay holds.
func (p *relay) descriptors() int {
	all, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	return len(all)
}

// rss returns the anonymous resident memory of the relay in MB.
func (p *relay) rss() float64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(b)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kb / 1024
		}
	}
	return 0
}

// client keeps one connection to the relay, as the usual clients do.
type client struct {
	relay *relay
	conn  net.Conn
	in    *bufio.Reader
}

// message is one hand-in.
type message struct {
	id, lane, key string
	dest          int
	left          time.Duration
	body          []byte
}

const clientTimeout = 400 * time.Millisecond

// hand hands in a message and returns the status of the answer; 0 where none came within 400 ms.
func (c *client) hand(m message) (status int, at time.Duration) {
	rec := c.relay.rec
	for try := 0; ; try++ {
		fresh := c.conn == nil
		if fresh {
			conn, err := net.DialTimeout("tcp", c.relay.listen, clientTimeout)
			if err != nil {
				rec.log("hand-in id=%s no connection: %v", m.id, err)
				return 0, rec.now()
			}
			c.conn, c.in = conn, bufio.NewReader(conn)
		}
		at = rec.now()
		_ = c.conn.SetDeadline(time.Now().Add(clientTimeout))
		var b strings.Builder
		fmt.Fprintf(&b, "POST /api HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: %s\r\nX-Lane: %s\r\n", m.id, m.lane)
		if m.key != "" {
			fmt.Fprintf(&b, "Cookie: about=%s\r\n", m.key)
		}
		fmt.Fprintf(&b, "X-Remaining-Ms: %d\r\nContent-Length: %d\r\nX-Addressing: dest=%d\r\n\r\n", m.left.Milliseconds(), len(m.body), m.dest)
		b.Write(m.body)
		_, err := io.WriteString(c.conn, b.String())
		var r *http.Response
		if err == nil {
			r, err = http.ReadResponse(c.in, nil)
		}
		if err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
			rec.log("hand-in id=%s lane=%s key=%s dest=%d left_ms=%d answered=%d", m.id, m.lane, m.key, m.dest, m.left.Milliseconds(), r.StatusCode)
			if r.Close {
				c.close()
			}
			return r.StatusCode, at
		}
		var timeout net.Error
		late := errors.As(err, &timeout) && timeout.Timeout()
		c.close()
		if !fresh && !late && try == 0 { // the relay closed between two requests
			continue
		}
		rec.log("hand-in id=%s lane=%s dest=%d answered=none: %v", m.id, m.lane, m.dest, err)
		return 0, at
	}
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
