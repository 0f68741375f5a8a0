package emulator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"basaltcross.example/basaltcross/internal/agent"
	"basaltcross.example/basaltcross/internal/pause"
)

// Platform is a set of agents and hosts, with a record of the traffic.
type Platform struct {
	Record *Record
	Hosts  []*Host
	IP     string // loopback address all servers listen on; other platforms on this machine use others
	seed   uint64

	mu      sync.Mutex
	list    agent.List
	changed chan struct{}
	agents  []*Agent
	servers []*server
}

// New starts a platform with one host for each of kinds. Destinations are numbered from 0.
func New(seed uint64, kinds ...string) (*Platform, error) {
	ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
	p := &Platform{IP: ip, seed: seed, Record: NewRecord(), changed: make(chan struct{}),
		list: agent.List{Rev: 1, All: true}}
	for i, kind := range kinds {
		h := &Host{platform: p, UID: fmt.Sprint("s-", i), r: rand.New(rand.NewPCG(seed, uint64(i))),
			Network: &Network{r: rand.New(rand.NewPCG(seed, uint64(i+1000)))}}
		s, err := p.serve(http.HandlerFunc(h.serve), h.Network)
		if err != nil {
			return nil, err
		}
		p.Hosts = append(p.Hosts, h)
		p.list.Targets = append(p.list.Targets, agent.Target{UID: h.UID, Endpoint: s.addr(), Zone: "z",
			Kind: kind, Dest: i, State: "up", Rate: 1})
	}
	return p, nil
}

// serve starts an HTTP server at an address of its own, behind a network.
func (p *Platform) serve(h http.Handler, network *Network) (*server, error) {
	l, err := net.Listen("tcp", p.IP+":0")
	if err != nil {
		return nil, fmt.Errorf("emulator: %w", err)
	}
	s := &server{http: &http.Server{Handler: h, ConnContext: withConn}, listener: l}
	go func() { _ = s.http.Serve(listener{l, network}) }()
	p.mu.Lock()
	p.servers = append(p.servers, s)
	p.mu.Unlock()
	return s, nil
}

// connKey is the context key of a request's connection.
type connKey struct{}

// withConn adds the connection to the context of its requests.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// server is an HTTP server on one address.
type server struct {
	http     *http.Server
	listener net.Listener
}

func (s *server) addr() string { return s.listener.Addr().String() }

// Close closes all servers.
func (p *Platform) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		_ = s.http.Close()
	}
}

// List returns a copy of the current list of hosts.
func (p *Platform) List() agent.List {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.list
	l.Targets = append([]agent.Target(nil), l.Targets...)
	return l
}

// Change modifies the list of hosts, increments its revision and wakes the open watches of all agents.
func (p *Platform) Change(f func(l *agent.List)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list.Targets = append([]agent.Target(nil), p.list.Targets...)
	f(&p.list)
	p.list.Rev++
	close(p.changed)
	p.changed = make(chan struct{})
}

// Agent is the platform's agent for one relay: it serves the list of hosts and takes notices.
type Agent struct {
	Network  *Network
	node     int
	platform *Platform
	mu       sync.Mutex
	current  *server // server at the current address
	silent   bool    // watches bring nothing
	mute     bool    // notices stay unanswered
}

// Agent starts an agent at an address of its own.
func (p *Platform) Agent() (*Agent, error) {
	a := &Agent{platform: p, node: len(p.agents),
		Network: &Network{r: rand.New(rand.NewPCG(p.seed, uint64(2000+len(p.agents))))}}
	if err := a.ChangeAddress(); err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.agents = append(p.agents, a)
	p.mu.Unlock()
	return a, nil
}

// oldAddressGrace is how long connections to an agent's old address stay open after a move.
const oldAddressGrace = 1500 * time.Millisecond

// ChangeAddress moves the agent to a new address. The old one accepts no new connections and closes those it has
// after oldAddressGrace.
func (a *Agent) ChangeAddress() error {
	mux := http.NewServeMux()
	mux.HandleFunc("/discovery/hosts", a.watch)
	mux.HandleFunc("/v1/notices", a.notices)
	s, err := a.platform.serve(mux, a.Network)
	if err != nil {
		return err
	}
	a.mu.Lock()
	old := a.current
	a.current = s
	a.mu.Unlock()
	if old != nil {
		_ = old.listener.Close()
		time.AfterFunc(oldAddressGrace, func() { _ = old.http.Close() })
	}
	return nil
}

// Addr returns the current address.
func (a *Agent) Addr() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.current.addr()
}

// SetSilent makes watches bring nothing.
func (a *Agent) SetSilent(on bool) { a.setFlag(&a.silent, on) }

// SetMute leaves notices unanswered. They are recorded all the same.
func (a *Agent) SetMute(on bool) { a.setFlag(&a.mute, on) }

func (a *Agent) setFlag(what *bool, on bool) {
	a.mu.Lock()
	*what = on
	a.mu.Unlock()
}

func (a *Agent) flag(what *bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return *what
}

// keepAliveTime is the time within which a watch writes a line: while the list is unchanged, it writes an empty
// line every eighth of it.
const keepAliveTime = 2 * time.Second

// watch serves the list of hosts, as a stream of its revisions.
func (a *Agent) watch(w http.ResponseWriter, r *http.Request) {
	last := int64(-1)
	for r.Context().Err() == nil {
		p := a.platform
		p.mu.Lock()
		list, changed := p.list, p.changed
		p.mu.Unlock()
		line := []byte("\n")
		if list.Rev != last {
			line, _ = json.Marshal(list)
			line = append(line, '\n')
		}
		if !a.flag(&a.silent) {
			last = list.Rev
			at := time.Now() // taken before the write: the relay may act on the list before the write returns
			_, err := w.Write(line)
			if errors.Join(err, http.NewResponseController(w).Flush()) == nil {
				a.recordList(r.Context(), at, list.Targets)
			}
		}
		timer := time.NewTimer(keepAliveTime / 8)
		select {
		case <-changed:
		case <-timer.C:
		case <-r.Context().Done():
		}
		timer.Stop()
	}
}

// listReceivedAfter is how long a watch must stay open after a list was written until the relay certainly has
// the list: a write to a connection that the relay has closed succeeds too.
const listReceivedAfter = 100 * time.Millisecond

// recordList records that a list was written to the relay: hosts that accept work at once, draining ones only
// once the relay certainly has the list.
func (a *Agent) recordList(watch context.Context, at time.Time, targets []agent.Target) {
	a.platform.Record.Listed(a.node, at, targets, true)
	time.AfterFunc(listReceivedAfter, func() {
		if watch.Err() == nil {
			a.platform.Record.Listed(a.node, at, targets, false)
		}
	})
}

// notices records the notices of a request, and answers it unless the agent is mute.
func (a *Agent) notices(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var all []struct{ Ref, Result string }
	for line := range bytes.Lines(body) {
		var n struct{ Ref, Result string }
		if json.Unmarshal(line, &n) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		all = append(all, n)
	}
	for _, n := range all {
		a.platform.Record.Noticed(n.Ref, n.Result)
	}
	if a.flag(&a.mute) {
		<-r.Context().Done()
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// Behaviour is the behaviour of a host.
type Behaviour int

// The behaviours of a host.
const (
	Healthy            Behaviour = iota // answers; fails 3 and refuses 5 of 100 messages at random
	Failing                             // answers 500 to 80 of 100 messages
	Overloaded                          // answers 429 with a wait to all messages
	Hanging                             // reads calls and does not answer
	Disconnecting                       // closes half of the connections during a call, some within the answer
	ClosingAfterAnswer                  // closes every connection after an answer that does not announce it
	NoStatus                            // answers some calls with a status line without a status
)

// Host is one host of a partner. A message that it refuses never takes effect.
type Host struct {
	UID      string
	Network  *Network
	platform *Platform

	mu        sync.Mutex
	behaviour Behaviour
	r         *rand.Rand
}

// SetBehaviour sets the host's behaviour.
func (h *Host) SetBehaviour(m Behaviour) {
	h.mu.Lock()
	h.behaviour = m
	h.mu.Unlock()
}

// outcome is the drawn result of one message in a call.
type outcome struct {
	status int           // 0 for no answer
	ran    bool          // the message takes effect
	cut    bool          // the connection is closed: before the answer, or within it if there is a status
	pause  time.Duration // before the answer
	wait   time.Duration // that the answer asks the relay to keep
	forget bool          // the connection is closed after the answer
	blank  bool          // the answer has no status
}

// maxHostDelay bounds the time that a host takes for an answer.
const maxHostDelay = 20 * time.Millisecond

// drawOutcome draws the outcome of one message by the host's behaviour.
func (h *Host) drawOutcome() outcome {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := outcome{status: 200, ran: true, pause: time.Duration(h.r.Int64N(int64(maxHostDelay)))}
	x := h.r.Float64()
	switch h.behaviour {
	case Failing:
		if x < 0.8 {
			f.status, f.ran = 500, x < 0.3
		}
	case Overloaded:
		f.status, f.ran, f.wait = 429, false, 300*time.Millisecond
	case Hanging:
		f.status, f.ran = 0, x < 0.5
	case Disconnecting:
		if x < 0.5 {
			f.cut, f.ran = true, x < 0.3
			if f.status = 0; x < 0.15 {
				f.status = 200
			}
		}
	case ClosingAfterAnswer:
		f.forget = true
	case NoStatus:
		f.blank, f.ran = x < 0.1, x < 0.05 || x >= 0.1
		if f.blank {
			f.status = 0
		}
	}
	if h.behaviour == Healthy && x < 0.05 {
		f.status, f.ran = 503, false
	} else if h.behaviour == Healthy && x < 0.08 {
		f.status, f.ran = 500, x < 0.065
	}
	return f
}

// item is one message in a call.
type item struct {
	ID        string `json:"id"`
	callIndex int
	outcome   outcome
}

// serve handles one call: it records the call and acts out the drawn outcomes of its messages.
func (h *Host) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // not read to its last byte, so not a call
	}
	items := []*item{{ID: r.Header.Get("X-Txn")}}
	several := r.URL.Path == "/hook/batch"
	if several {
		items = nil
		if json.Unmarshal(body, &items) != nil || len(items) == 0 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	rec := h.platform.Record
	waited, _ := strconv.ParseInt(r.Header.Get("X-Remaining-Ms"), 10, 32) // 0 without the header
	conn, _ := r.Context().Value(connKey{}).(*faultyConn)
	turn := conn.calls.Add(1)
	for _, x := range items {
		x.callIndex = rec.Called(x.ID, Call{At: time.Now(), Host: h.UID,
			Timeout: time.Duration(waited) * time.Millisecond, conn: conn, turn: turn})
		x.outcome = h.drawOutcome()
		if status := rec.endStatus(x.ID, x.callIndex); status != 0 {
			x.outcome = x.outcome.forEnded(status)
		}
	}
	defer func() {
		for _, x := range items {
			rec.CallEnded(x.ID, x.callIndex)
		}
	}()
	first := items[0].outcome
	if !pause.For(r.Context(), first.pause) && !first.ran {
		return // cancelled before it took effect
	}
	for _, x := range items {
		if x.outcome.ran {
			rec.Ran(x.ID, x.callIndex)
		}
	}
	if first.blank {
		h.answerBlank(w)
		return
	}
	if first.status == 0 && !first.cut {
		<-r.Context().Done()
		return
	}
	if first.cut {
		h.disconnect(w, first.status)
		return
	}
	if first.forget {
		defer h.closeAfterAnswer(w)
	}
	if several {
		h.answerAll(w, items)
		return
	}
	if r.Context().Err() != nil {
		return
	}
	if first.wait > 0 {
		w.Header().Set("X-RateLimit-Wait-Ms", strconv.FormatInt(first.wait.Milliseconds(), 10))
	}
	w.Header().Set("Content-Length", "0")
	rec.AnswerStarted(items[0].ID, items[0].callIndex, first.status, first.wait)
	w.WriteHeader(first.status)
	if http.NewResponseController(w).Flush() == nil {
		rec.AnswerCompleted(items[0].ID, items[0].callIndex)
	}
}

// states are the states of a message in the answer to a call with several, by status.
var states = map[int]string{200: "delivered", 500: "failed", 429: "refused", 503: "refused", 410: "over", 504: "spent"}

// answerAll answers a call that carries several messages, each with a state of its own.
func (h *Host) answerAll(w http.ResponseWriter, items []*item) {
	type end struct {
		ID    string `json:"id"`
		State string `json:"state"`
	}
	var ends []end
	wait := time.Duration(0)
	for _, x := range items {
		wait = max(wait, x.outcome.wait)
	}
	if wait > 0 {
		w.Header().Set("X-RateLimit-Wait-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
	}
	for _, x := range items {
		if x.outcome.status == 0 {
			x.outcome.status = 500
		}
		state := states[x.outcome.status]
		ends = append(ends, end{x.ID, state})
		h.platform.Record.AnswerStarted(x.ID, x.callIndex, x.outcome.status, x.outcome.wait)
	}
	text, _ := json.Marshal(ends)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if _, err := w.Write(text); errors.Join(err, http.NewResponseController(w).Flush()) != nil {
		return
	}
	for _, x := range items {
		h.platform.Record.AnswerCompleted(x.ID, x.callIndex)
	}
}

// disconnect closes a connection during a call: within the answer if there is a status, by a reset otherwise.
func (h *Host) disconnect(w http.ResponseWriter, status int) {
	conn, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	if f, ok := conn.(*faultyConn); ok {
		f.markBroken()
	}
	if status != 0 {
		_, _ = buf.WriteString("HTTP/1.1 2")
		_ = buf.Flush()
		return
	}
	if f, ok := conn.(*faultyConn); ok {
		if tcp, ok := f.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // close by a reset
		}
	}
}

// answerBlank answers with a status line that has no status, and closes the connection.
func (h *Host) answerBlank(w http.ResponseWriter) {
	if conn, buf, err := http.NewResponseController(w).Hijack(); err == nil {
		if f, ok := conn.(*faultyConn); ok {
			f.markBroken()
		}
		_, _ = buf.WriteString("HTTP/1.1 \r\n\r\n")
		_ = buf.Flush()
		_ = conn.Close()
	}
}

// closeAfterAnswer closes the connection once the answer is flushed.
func (h *Host) closeAfterAnswer(w http.ResponseWriter) {
	_ = http.NewResponseController(w).Flush()
	if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
		if f, ok := conn.(*faultyConn); ok {
			f.markBroken()
		}
		_ = conn.Close()
	}
}
