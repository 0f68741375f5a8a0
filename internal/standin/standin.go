// Package standin plays partners: hosts on loopback that take a message by an
// HTTP call, with service times, limits, waits, dedupe and cold returns as
// partners have them, and with troubles on demand. Every call is recorded with
// its times, its connection and its effect; audits go by these records.
//
// The HTTP server is net/http's, so that the relay's client meets one that this
// project did not write.
package standin

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"basaltcross.example/basaltcross/internal/pause"
)

// Model is how a partner behaves while nothing is wrong.
type Model struct {
	Service     time.Duration // mean time of a call
	Spread      float64       // share by which it varies, evenly
	Concurrency int           // calls in service at once; 0 for no limit
	Queue       int           // calls that wait for service; more are refused
	Rate        float64       // calls a second of all relays together; 0 for no limit
	Span        time.Duration // the limit counts in spans of this; 0: a plain rate
	Tells       bool          // refusals tell the wait, in whole seconds
	Counts      bool          // refused calls use up the limit
	Window      time.Duration // a repeat of an idempotency key is dropped for so long
	ColdFrom    float64       // share of the capacity after an outage
	Cold        time.Duration // until all of it is back
	Factor      float64       // falls over above this multiple of its capacity
	Fall        time.Duration // kept up for so long; 0: never falls
	Capacity    float64       // calls a second; 0: never falls
}

// Trouble is what is wrong with an endpoint now. The zero value is nothing.
type Trouble struct {
	Hang       bool    // takes calls and never answers
	Shut       bool    // refuses all
	Errors     float64 // share of calls answered 500 at once
	ErrorClass string  // only this class, if set
	Factor     float64 // service times; 0 for 1
	TailShare  float64 // share of calls that take TailFactor times as long
	TailFactor float64
	PauseEvery time.Duration // stands still this often ...
	Pause      time.Duration // ... for so long
	RateShare  float64       // of the limit that is left; 0 for all
	Lost       float64       // share of calls that run and whose answer is lost
	Reap       time.Duration // calls on a connection that idled longer are lost
	Handshake  time.Duration // a new connection's first call waits so long
}

// What became of a call.
const (
	Served  = "served"
	Repeat  = "repeat" // served, and dropped as a repeat
	Refused = "refused"
	Failed  = "error"
	Lost    = "lost" // no answer: hung, or the connection was cut
	Half    = "half" // not all of the request came; nothing ran
)

// Call is the record of one call.
type Call struct {
	Start, End time.Time // first byte of the request on the socket; its end here
	Endpoint   string    // listening address
	Partner    string
	Conn       string // peer address
	Relay      string // from Via
	Class      string
	Key        string // order key
	Idem       string
	Body       string
	What       string
	Effect     bool
	Wait       time.Duration // told with a refusal
	Left       time.Time     // when the caller closed, if it did so first
}

// Partner is the state that the endpoints of a partner share.
type Partner struct {
	Name  string
	Model Model

	mu     sync.Mutex
	rand   *rand.Rand
	seen   map[string]time.Time // by idempotency key
	tokens float64
	at     time.Time
	span   time.Time
	used   float64
	down   bool      // in an outage
	back   time.Time // returned cold then
	load   []arrival // within Fall

	fallen  bool
	busy    int
	waiting int
	free    chan struct{}
	falls   []Fall
	saw     map[string]bool // relays that met a failure in this outage
	returns int
}

type arrival struct {
	at    time.Time
	relay string
}

// Fall is one time that a partner was pushed over.
type Fall struct {
	At    time.Time
	Calls map[string]int  // within the window, by relay
	Saw   map[string]bool // relays that had met a failure there in the outage
}

// Recorder keeps the records of all stand-ins of a run; at its bound it keeps
// the first ones and counts the rest.
type Recorder struct {
	mu      sync.Mutex
	calls   []Call
	most    int
	Dropped int
}

// NewRecorder keeps at most so many calls.
func NewRecorder(most int) *Recorder { return &Recorder{most: most} }

func (r *Recorder) add(c Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.calls) >= r.most {
		r.Dropped++
		return
	}
	r.calls = append(r.calls, c)
}

// Calls is a copy of the records.
func (r *Recorder) Calls() []Call {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Call(nil), r.calls...)
}

// NewPartner makes a partner.
func NewPartner(name string, m Model, seed uint64) *Partner {
	return &Partner{Name: name, Model: m, rand: rand.New(rand.NewPCG(seed, 1)), seen: map[string]time.Time{},
		at: time.Now(), tokens: 1}
}

// Outage says that the partner is, or is no longer, in an outage. Relays whose
// calls arrive during it count as having met a failure; where none can arrive,
// those named do.
func (p *Partner) Outage(down bool, saw ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down && !down {
		p.back, p.load = time.Now(), nil
		p.returns++
	}
	if !p.down && down {
		p.saw = map[string]bool{}
	}
	for _, r := range saw {
		p.saw[r] = true
	}
	p.down = down
}

// Returns counts the ends of outages.
func (p *Partner) Returns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.returns
}

// cold is the share of its capacity that a partner has now; under mu.
func (p *Partner) cold(now time.Time) float64 {
	m := &p.Model
	if p.back.IsZero() || m.Cold <= 0 {
		return 1
	}
	return min(1, m.ColdFrom+(1-m.ColdFrom)*now.Sub(p.back).Seconds()/m.Cold.Seconds())
}

// Falls are the times that it was pushed over.
func (p *Partner) Falls() []Fall {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Fall(nil), p.falls...)
}

// Endpoint is one listening address of a partner.
type Endpoint struct {
	Addr    string
	Partner *Partner
	rec     *Recorder
	srv     *http.Server
	mu      sync.Mutex
	t       Trouble
	cut     chan struct{} // closed when the trouble changes
	begun   time.Time
	wrap    func(net.Conn) net.Conn
}

type connKey struct{}

// metered notes when the first byte of each request came, on the socket.
type metered struct {
	net.Conn
	mu    sync.Mutex
	first time.Time // of bytes that no request is known for yet
}

func (m *metered) Read(b []byte) (int, error) {
	n, err := m.Conn.Read(b)
	if n > 0 {
		m.mu.Lock()
		if m.first.IsZero() {
			m.first = time.Now()
		}
		m.mu.Unlock()
	}
	return n, err
}

// request tells when the first byte of the request that is read whole came.
func (m *metered) request() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	at := m.first
	m.first = time.Time{}
	return at
}

// connState is what an endpoint knows of one connection.
type connState struct {
	*metered
	mu    sync.Mutex
	last  time.Time
	calls int
}

// Start listens on an address; "127.0.0.1:0" takes a free port.
func Start(addr string, p *Partner, rec *Recorder) (*Endpoint, error) {
	return StartWrapped(addr, p, rec, nil)
}

// StartWrapped is Start with every connection wrapped, to meter it.
func StartWrapped(addr string, p *Partner, rec *Recorder, wrap func(net.Conn) net.Conn) (*Endpoint, error) {
	network, at := "tcp", addr
	if path, ok := strings.CutPrefix(addr, "unix:"); ok {
		network, at = "unix", path
	}
	l, err := net.Listen(network, at)
	if err != nil {
		return nil, fmt.Errorf("standin: %w", err)
	}
	e := &Endpoint{wrap: wrap, Addr: l.Addr().String(), Partner: p, rec: rec, cut: make(chan struct{}), begun: time.Now()}
	e.serve(l)
	return e, nil
}

type wrapped struct {
	net.Listener
	wrap func(net.Conn) net.Conn
}

func (w wrapped) Accept() (net.Conn, error) {
	c, err := w.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if w.wrap != nil {
		c = w.wrap(c)
	}
	return &metered{Conn: c}, nil
}

func (e *Endpoint) serve(l net.Listener) {
	e.srv = &http.Server{Handler: e, ReadHeaderTimeout: 30 * time.Second,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, &connState{metered: c.(*metered), last: time.Now()})
		}}
	srv := e.srv
	go func() { _ = srv.Serve(wrapped{l, e.wrap}) }()
}

// Close stops listening and cuts all connections.
func (e *Endpoint) Close() { _ = e.srv.Close() }

// Reopen listens again after Close.
func (e *Endpoint) Reopen() error {
	l, err := net.Listen("tcp", e.Addr)
	if err != nil {
		return fmt.Errorf("standin: %w", err)
	}
	e.serve(l)
	return nil
}

// Set changes what is wrong. Calls that hang go on hanging until their caller
// closes.
func (e *Endpoint) Set(t Trouble) {
	e.mu.Lock()
	e.t = t
	e.mu.Unlock()
}

func (e *Endpoint) trouble() Trouble {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.t
}

// longest body that is read and kept.
const longestBody = 1 << 20

func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := Call{Start: time.Now(), Endpoint: e.Addr, Partner: e.Partner.Name, Conn: r.RemoteAddr,
		Relay: strings.TrimPrefix(r.Header.Get("Via"), "1.1 "), Class: r.Header.Get("Message-Class"),
		Key: r.Header.Get("Order-Key"), Idem: r.Header.Get("Idempotency-Key"), What: Lost}
	body, err := io.ReadAll(io.LimitReader(r.Body, longestBody))
	st, _ := r.Context().Value(connKey{}).(*connState)
	c.Start, c.Body = st.request(), string(body)
	if err != nil { // nothing came whole, nothing runs; but it was out until now
		c.What, c.End = Half, time.Now()
		c.Left = c.End
		e.rec.add(c)
		return
	}
	t := e.trouble()
	e.Partner.arrived(&c)
	var left atomic.Int64
	stop := context.AfterFunc(r.Context(), func() { left.Store(time.Now().UnixNano()) })
	defer func() {
		stop()
		c.End = time.Now()
		if r.Context().Err() != nil {
			if c.Left = c.End; left.Load() != 0 {
				c.Left = time.Unix(0, left.Load())
			}
		}
		e.rec.add(c)
	}()
	st.mu.Lock()
	idle, first := c.Start.Sub(st.last), st.calls == 0
	st.calls++
	st.mu.Unlock()
	defer func() { st.mu.Lock(); st.last = time.Now(); st.mu.Unlock() }()
	if first && t.Handshake > 0 {
		pause.For(r.Context(), t.Handshake)
	}
	silent := func() {
		<-r.Context().Done()
		panic(http.ErrAbortHandler) // lest the server writes an answer after all
	}
	cutOff := func() {
		if h, ok := w.(http.Hijacker); ok {
			if conn, _, err := h.Hijack(); err == nil {
				if m, ok := conn.(*metered); ok {
					conn = m.Conn
				}
				if tcp, ok := conn.(*net.TCPConn); ok {
					_ = tcp.SetLinger(0)
				}
				_ = conn.Close()
			}
		}
	}
	switch {
	case t.Hang:
		silent()
		return
	case t.Reap > 0 && !first && idle > t.Reap:
		c.Effect = e.Partner.effect(&c)
		cutOff()
		return
	case t.Errors > 0 && (t.ErrorClass == "" || t.ErrorClass == c.Class) && e.Partner.chance() < t.Errors:
		c.What = Failed
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	ok, wait, done := e.Partner.admit(r.Context(), t)
	if !ok {
		c.What, c.Wait = Refused, wait
		if wait > 0 {
			w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(wait.Seconds()))))
			c.Wait = time.Duration(math.Ceil(wait.Seconds())) * time.Second
		}
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	took := e.Partner.service(t)
	if t.PauseEvery > 0 {
		if into := time.Since(e.begun) % t.PauseEvery; into < t.Pause {
			took += t.Pause - into
		}
	}
	time.Sleep(took) // runs on also if the caller has gone
	c.Effect = e.Partner.effect(&c)
	done()
	if t.Lost > 0 && e.Partner.chance() < t.Lost {
		silent()
		return
	}
	if c.What = Served; !c.Effect {
		c.What = Repeat
	}
	w.WriteHeader(http.StatusOK)
}

// Quick listens with a server that answers every call after the service time
// and records nothing, for measurements.
func Quick(addr string, service time.Duration) (listening string, stop func(), err error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return "", nil, fmt.Errorf("standin: %w", err)
	}
	srv := &http.Server{ReadHeaderTimeout: 30 * time.Second,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			if service > 0 {
				time.Sleep(service)
			}
		})}
	go func() { _ = srv.Serve(l) }()
	return l.Addr().String(), func() { _ = srv.Close() }, nil
}

func (p *Partner) chance() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rand.Float64()
}

// arrived counts a call against what a cold partner can take.
func (p *Partner) arrived(c *Call) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := &p.Model
	if p.down {
		p.saw[c.Relay] = true
	}
	if m.Fall <= 0 || m.Capacity <= 0 || p.back.IsZero() || p.down || p.fallen {
		return
	}
	now := c.Start
	share := p.cold(now)
	p.load = append(p.load, arrival{now, c.Relay})
	for len(p.load) > 0 && now.Sub(p.load[0].at) > m.Fall {
		p.load = p.load[1:]
	}
	if now.Sub(p.back) >= m.Fall && float64(len(p.load)) > m.Factor*share*m.Capacity*m.Fall.Seconds() && share < 1 {
		f := Fall{At: now, Calls: map[string]int{}, Saw: maps.Clone(p.saw)}
		for _, a := range p.load {
			f.Calls[a.relay]++
		}
		p.falls = append(p.falls, f)
		p.fallen = true
	}
}

// effect notes that a message took effect; false for a repeat that is dropped.
func (p *Partner) effect(c *Call) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.Idem == "" || p.Model.Window <= 0 {
		return true
	}
	now := time.Now()
	if at, ok := p.seen[c.Idem]; ok && now.Sub(at) < p.Model.Window {
		return false
	}
	if len(p.seen) > 1<<20 {
		clear(p.seen)
	}
	p.seen[c.Idem] = now
	return true
}

func (p *Partner) service(t Trouble) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := float64(p.Model.Service) * (1 + p.Model.Spread*(2*p.rand.Float64()-1))
	if t.Factor > 0 {
		d *= t.Factor
	}
	if t.TailShare > 0 && p.rand.Float64() < t.TailShare {
		d *= t.TailFactor
	}
	return time.Duration(d)
}

// admit applies the limit, then the queue. done frees the place in service.
func (p *Partner) admit(ctx context.Context, t Trouble) (ok bool, wait time.Duration, done func()) {
	p.mu.Lock()
	now := time.Now()
	m := &p.Model
	refuse := func(wait time.Duration) (bool, time.Duration, func()) {
		p.mu.Unlock()
		if !m.Tells {
			wait = 0
		}
		return false, wait, nil
	}
	if t.Shut || p.fallen {
		return refuse(time.Second)
	}
	rate := m.Rate * p.cold(now)
	if t.RateShare > 0 {
		rate *= t.RateShare
	}
	switch {
	case rate <= 0:
	case m.Span > 0:
		if now.Sub(p.span) >= m.Span {
			p.span, p.used = now.Truncate(m.Span), 0
		}
		if p.used+1 > math.Max(1, rate*m.Span.Seconds()) {
			if m.Counts {
				p.used++
			}
			return refuse(p.span.Add(m.Span).Sub(now))
		}
		p.used++
	default:
		p.tokens = math.Min(math.Max(1, rate/4), p.tokens+rate*now.Sub(p.at).Seconds())
		p.at = now
		if p.tokens < 1 {
			missing := 1 - p.tokens
			if m.Counts {
				p.tokens -= 0.5
			}
			return refuse(time.Duration(missing / rate * 1e9))
		}
		p.tokens--
	}
	if m.Concurrency > 0 {
		if p.busy >= m.Concurrency {
			if p.waiting >= m.Queue {
				return refuse(0)
			}
			if p.free == nil {
				p.free = make(chan struct{}, m.Concurrency)
			}
			p.waiting++
			p.mu.Unlock()
			<-p.free
			p.mu.Lock()
			p.waiting--
		}
		p.busy++
	}
	p.mu.Unlock()
	return true, 0, p.leave
}

func (p *Partner) leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.Model.Concurrency <= 0 {
		return
	}
	p.busy--
	if p.waiting > 0 && p.free != nil {
		select {
		case p.free <- struct{}{}:
		default:
		}
	}
}
