// Package kit holds what the review's cases share: a relay as a separate process, and stand-ins for
// the platform's agent, its hosts and its clients, all on loopback addresses.
package kit

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
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

// Recorder writes the record of a run, one line an event, with the time since the start.
type Recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// NewRecorder creates the file of a record.
func NewRecorder(path string) (*Recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Recorder{file: f, began: time.Now()}, nil
}

// Now returns the time since the start of the run.
func (r *Recorder) Now() time.Duration { return time.Since(r.began) }

// Line writes one line.
func (r *Recorder) Line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f ", time.Since(r.began).Seconds())
	fmt.Fprintf(r.file, format+"\n", args...)
}

// Class is a class of message, with the names of the settings.
type Class struct {
	Name    string  `json:"name"`
	Aim     float64 `json:"aim"`
	GiveUp  float64 `json:"give-up"`
	Effect  string  `json:"effect"`
	Group   string  `json:"group"`
	Order   bool    `json:"keep-order"`
	Late    float64 `json:"late-share"`
	Stream  bool    `json:"stream"`
	Window  float64 `json:"window"`
	Worth   float64 `json:"worth"`
	Stretch float64 `json:"aim-stretch"`
}

// Settings returns the settings of a small deployment: the figures are those of the example on the
// wire's page, of a deployment of one relay.
func Settings(classes []Class, change func(m map[string]any)) map[string]any {
	m := map[string]any{
		"bounds": map[string]any{"cancel": true, "conn-idle": 15, "cpu-us-per-request": 0, "cpu-us-per-s": 589285,
			"dial-timeout": 1.5, "max-attempts": 6, "max-retry-after": 3, "most-held": 125, "peers": false, "probes": false,
			"retry-after": false, "second-copies": false, "streams-per-conn": 1},
		"classes": classes, "client-habits": map[string]any{"marks-retry": false}, "domain-type": "deliver",
		"family-info": map[string]any{"late": "halving", "own-limits": []bool{false, false}, "per-call": []int{5, 1},
			"refused-price": 0.05, "workers": 8, "zone-fee": []float64{0}},
		"fleet-size": 1, "index": 0, "load-report": map[string]any{"columns": []string{}, "how": "off"},
		"registry-mode": "automatic",
		"rules": map[string]any{"ask-within": 10, "cold": 9.6, "cold-from": 0.13, "drain-grace": 1, "fall": 3,
			"grace-to-answer": 0.02, "order-settle": 0.1, "overload-factor": 2.5},
		"skus": []string{"large", "small"}, "tenants": []string{}, "tick": 0.005, "tier": 0, "tiers": []string{"partners"},
		"weights": "nominal", "worth-by": "request", "zone": 0, "zones": []string{"akl-dc1"}}
	if change != nil {
		change(m)
	}
	return m
}

// Target is a host in the list of discovery.
type Target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Kind     string  `json:"model"`
	Dest     int     `json:"pod_group"`
	State    string  `json:"state"`
	Rate     float64 `json:"capacity_hint"`
	BootMs   int64   `json:"boot_ms"`
}

// Notice is one notice that a relay sent.
type Notice struct {
	Ref    string `json:"ref"`
	Result string `json:"result"`
	At     time.Duration
}

// Agent is the platform's agent of one relay.
type Agent struct {
	rec     *Recorder
	l       net.Listener
	mu      sync.Mutex
	rev     int
	targets []Target
	notices []Notice
}

// NewAgent starts an agent with a list of hosts.
func NewAgent(rec *Recorder, targets []Target) (*Agent, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &Agent{rec: rec, l: l, rev: 1, targets: targets}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /discovery/hosts", a.hosts)
	mux.HandleFunc("POST /v1/notices", a.take)
	go func() { _ = http.Serve(l, mux) }()
	return a, nil
}

// Addr returns the agent's address.
func (a *Agent) Addr() string { return a.l.Addr().String() }

// Close closes the agent's listener.
func (a *Agent) Close() { _ = a.l.Close() }

// List returns the list of hosts in discovery's form.
func (a *Agent) List() map[string]any {
	a.mu.Lock()
	defer a.mu.Unlock()
	return map[string]any{"rev": a.rev, "all": true, "targets": a.targets}
}

func (a *Agent) hosts(w http.ResponseWriter, r *http.Request) {
	b, _ := json.Marshal(a.List())
	if r.URL.Query().Get("watch") == "" {
		_, _ = w.Write(append(b, '\n'))
		return
	}
	_, _ = w.Write(append(b, '\n'))
	flush := http.NewResponseController(w)
	_ = flush.Flush()
	for {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(2 * time.Second):
			if _, err := w.Write([]byte("\n")); err != nil {
				return
			}
			_ = flush.Flush()
		}
	}
}

func (a *Agent) take(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	for line := range bytes.SplitSeq(bytes.TrimSpace(b), []byte("\n")) {
		var n Notice
		if json.Unmarshal(line, &n) != nil || n.Ref == "" {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		n.At = a.rec.Now()
		a.rec.Line("notice %s %s", n.Ref, n.Result)
		a.mu.Lock()
		a.notices = append(a.notices, n)
		a.mu.Unlock()
	}
	w.WriteHeader(http.StatusNoContent)
}

// Notices returns all notices so far.
func (a *Agent) Notices() []Notice {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]Notice(nil), a.notices...)
}

// Limits are the limits of a relay's machine.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
	DiskMB   float64 `json:"disk_mb"`
}

// Relay is one relay, which may be restarted.
type Relay struct {
	Root, Dir, Listen string
	Limits            Limits
	Settings          map[string]any
	Agent             *Agent
	Discovery         string
	rec               *Recorder
	cmd               *exec.Cmd
	name              string
	starts            int
	ended             chan struct{}
}

// FreeAddr returns a free address on loopback.
func FreeAddr() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// NewRelay prepares a relay: its folder that lasts is empty.
func NewRelay(rec *Recorder, name, root, dir string, limits Limits, settings map[string]any, agent *Agent) (*Relay, error) {
	addr, err := FreeAddr()
	if err != nil {
		return nil, err
	}
	if err := os.MkdirAll(filepath.Join(dir, "state"), 0o700); err != nil {
		return nil, err
	}
	return &Relay{name: name, Root: root, Dir: dir, Listen: addr, Limits: limits, Settings: settings, Agent: agent, rec: rec}, nil
}

// Start starts the relay with the command of the deploy file and waits until it is ready.
func (r *Relay) Start() error {
	r.starts++
	config, err := json.MarshalIndent(map[string]any{"name": r.name, "listen": r.Listen, "discovery": cmp.Or(r.Discovery, r.Agent.Addr()),
		"seed": fmt.Sprintf("%016x", time.Now().UnixNano()), "limits": r.Limits, "known": r.Agent.List(),
		"settings": r.Settings}, "", " ")
	if err != nil {
		return err
	}
	path := filepath.Join(r.Dir, "config.json")
	if err := os.WriteFile(path, config, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(r.Dir, "relay.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	r.cmd = exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d && exec bin/basaltcross node", r.Limits.Sockets))
	r.cmd.Dir, r.cmd.Stdout, r.cmd.Stderr = r.Root, log, log
	r.cmd.Env = append(os.Environ(), "ROUTER_NAME="+r.name, "ROUTER_LISTEN="+r.Listen, "ROUTER_DISCOVERY="+r.Agent.Addr(),
		"ROUTER_STATE="+filepath.Join(r.Dir, "state"), "ROUTER_CONFIG="+path)
	if err := r.cmd.Start(); err != nil {
		return err
	}
	register(r.cmd)
	cmd, ended := r.cmd, make(chan struct{})
	r.ended = ended
	go func() {
		_ = cmd.Wait()
		r.rec.Line("relay %s process %d ended: %v", r.name, cmd.Process.Pid, cmd.ProcessState)
		close(ended)
	}()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if r.up() {
			r.rec.Line("relay %s process %d ready", r.name, cmd.Process.Pid)
			return nil
		}
		select {
		case <-ended:
			return fmt.Errorf("the relay ended before it was ready; see %s", filepath.Join(r.Dir, "relay.log"))
		default:
		}
	}
	return fmt.Errorf("the relay is not ready after 30 s")
}

func (r *Relay) up() bool {
	c, err := net.DialTimeout("tcp", r.Listen, time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(c, "GET /up HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n")
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return false
	}
	_ = a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// Pid returns the id of the relay's process.
func (r *Relay) Pid() int { return r.cmd.Process.Pid }

// Ended reports whether the process has ended.
func (r *Relay) Ended() bool {
	select {
	case <-r.ended:
		return true
	default:
		return false
	}
}

// Signal sends a signal to the relay's process.
func (r *Relay) Signal(s syscall.Signal) {
	r.rec.Line("relay %s gets %v", r.name, s)
	_ = r.cmd.Process.Signal(s)
}

// Kill kills the process, if it still runs, and waits for its end.
func (r *Relay) Kill() {
	if r.cmd == nil || r.cmd.Process == nil {
		return
	}
	if !r.Ended() {
		r.Signal(syscall.SIGKILL)
	}
	<-r.ended
}

// AnonymousKB returns the anonymous memory of the process, in KiB: neither its program nor any file.
func (r *Relay) AnonymousKB() int {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.Pid()))
	for line := range strings.SplitSeq(string(b), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			n, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(rest, "kB")))
			return n
		}
	}
	return 0
}

// Log returns the relay's log.
func (r *Relay) Log() string {
	b, _ := os.ReadFile(filepath.Join(r.Dir, "relay.log"))
	return string(b)
}

// Client is a client's connection to a relay.
type Client struct {
	addr string
	conn net.Conn
	r    *bufio.Reader
}

// NewClient returns a client of a relay.
func NewClient(addr string) *Client { return &Client{addr: addr} }

// Message is a message as a client hands it in.
type Message struct {
	ID, Lane, Key string
	Dest          int
	Remaining     time.Duration
	Body          []byte
}

// Request returns the request that hands a message in.
func (m Message) Request() []byte {
	key := ""
	if m.Key != "" {
		key = "Cookie: about=" + m.Key + "\r\n"
	}
	return append([]byte(fmt.Sprintf("POST /api HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: %s\r\nX-Lane: %s\r\n%sX-Remaining-Ms: %d\r\n"+
		"Content-Length: %d\r\nX-Addressing: dest=%d\r\n\r\n", m.ID, m.Lane, key, m.Remaining.Milliseconds(), len(m.Body), m.Dest)), m.Body...)
}

// HandIn hands a message in and returns the status of the answer, 0 if there is none within the 400 ms
// that a client waits. A connection that is closed between two requests is replaced once.
func (c *Client) HandIn(m Message) int {
	for range 2 {
		fresh := c.conn == nil
		if fresh {
			conn, err := net.DialTimeout("tcp", c.addr, 400*time.Millisecond)
			if err != nil {
				return 0
			}
			c.conn, c.r = conn, bufio.NewReader(conn)
		}
		_ = c.conn.SetDeadline(time.Now().Add(400 * time.Millisecond))
		_, err := c.conn.Write(m.Request())
		var a *http.Response
		if err == nil {
			a, err = http.ReadResponse(c.r, nil)
		}
		if err != nil {
			c.Close()
			if t, ok := err.(net.Error); ok && t.Timeout() || fresh {
				return 0
			}
			continue
		}
		_, _ = io.Copy(io.Discard, a.Body)
		_ = a.Body.Close()
		if a.Close {
			c.Close()
		}
		return a.StatusCode
	}
	return 0
}

// Close closes the client's connection.
func (c *Client) Close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// Call is one call that a host got.
type Call struct {
	Path  string
	IDs   []string
	Body  []byte
	Conn  net.Conn
	Turn  int // number of the call on its connection, from 1
	Batch bool
}

// Host is a host: it passes each call to Serve, which writes the answer. A false result closes the connection.
type Host struct {
	Serve func(*Call) bool
	l     net.Listener
	rec   *Recorder
}

// NewHost starts a host.
func NewHost(rec *Recorder, serve func(*Call) bool) (*Host, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	h := &Host{Serve: serve, l: l, rec: rec}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go h.conn(c)
		}
	}()
	return h, nil
}

// Addr returns the host's address.
func (h *Host) Addr() string { return h.l.Addr().String() }

// Close closes the host's listener.
func (h *Host) Close() { _ = h.l.Close() }

func (h *Host) conn(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for turn := 1; ; turn++ {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		k := &Call{Path: q.URL.Path, Body: body, Conn: c, Turn: turn}
		if k.Batch = k.Path == "/hook/batch"; k.Batch {
			var items []struct {
				ID string `json:"id"`
			}
			if json.Unmarshal(body, &items) != nil || len(items) == 0 {
				Respond(c, 400, "", "")
				continue
			}
			for _, x := range items {
				k.IDs = append(k.IDs, x.ID)
			}
		} else {
			k.IDs = []string{q.Header.Get("X-Txn")}
		}
		if !h.Serve(k) {
			return
		}
	}
}

// Response returns an answer.
func Response(status int, fields, body string) []byte {
	return []byte(fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: %d\r\n%s\r\n%s", status, http.StatusText(status), len(body), fields, body))
}

// Respond writes an answer.
func Respond(c net.Conn, status int, fields, body string) {
	_, _ = c.Write(Response(status, fields, body))
}

// RespondAll answers a call with the same state for each of its messages.
func RespondAll(k *Call, state string) {
	if !k.Batch {
		Respond(k.Conn, map[string]int{"delivered": 200, "failed": 500, "refused": 503}[state], "", "")
		return
	}
	var ends []map[string]string
	for _, id := range k.IDs {
		ends = append(ends, map[string]string{"id": id, "state": state})
	}
	b, _ := json.Marshal(ends)
	Respond(k.Conn, 200, "", string(b))
}

// LogLines returns the lines of the relay's log that hold one of the texts.
func (r *Relay) LogLines(texts ...string) (lines []string) {
	for line := range strings.SplitSeq(r.Log(), "\n") {
		for _, text := range texts {
			if strings.Contains(line, text) {
				lines = append(lines, line)
				break
			}
		}
	}
	return lines
}
