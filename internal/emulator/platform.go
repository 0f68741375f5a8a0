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
	"sync"
	"time"

	"basaltcross.example/basaltcross/internal/agent"
)

// Platform is a set of agents and hosts, with a record of the traffic.
type Platform struct {
	Record    *Record
	Hosts     []*Host
	seed      uint64
	addresses addresses

	mu      sync.Mutex
	list    agent.List
	changed chan struct{}
	agents  []*Agent
	servers []*server
}

// New starts a platform with one host for each of kinds. Destinations are numbered from 0.
func New(seed uint64, kinds ...string) (*Platform, error) {
	ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
	p := &Platform{addresses: addresses{ip: ip, used: map[int]bool{}}, seed: seed, Record: NewRecord(), changed: make(chan struct{}),
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
	l, err := p.addresses.listen()
	if err != nil {
		return nil, err
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
