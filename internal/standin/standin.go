// Package standin implements stand-ins for the systems that a relay talks to: partner
// hosts that receive messages by HTTP calls on loopback, a Consul catalogue and a DNS
// server. The hosts simulate service times, concurrency and rate limits, Retry-After,
// deduplication and reduced capacity after an outage, and inject faults on demand. Every
// call is recorded with its times, its connection and its effect; audits check the records.
//
// The hosts use the server of net/http, so that the relay's HTTP client is tested against
// an independent implementation.
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

// Model configures the behaviour of a partner without injected faults.
type Model struct {
	Service         time.Duration // mean service time of a call
	ServiceJitter   float64       // uniform variation of the service time, as a share of the mean
	Concurrency     int           // maximum calls in service at a time; 0 for no limit
	Queue           int           // maximum calls that wait for service; further ones are refused
	Rate            float64       // rate limit in calls/s over all relays; 0 for no limit
	RateWindow      time.Duration // length of the fixed windows of the rate limit; 0 for a token bucket
	SendsRetryAfter bool          // whether refusals carry Retry-After, in whole seconds
	CountsRefusals  bool          // whether refused calls count against the rate limit
	DedupWindow     time.Duration // time for which repeats of an idempotency key are dropped; 0 for no deduplication
	RampUpFrom      float64       // share of the capacity that is available right after an outage
	RampUp          time.Duration // ramp-up time from RampUpFrom to the full capacity; 0 for none
	OverloadFactor  float64       // multiple of the available capacity above which the partner collapses
	OverloadTime    time.Duration // time for which the overload must last; 0 for no collapse
	Capacity        float64       // full capacity in calls/s; 0 for no collapse
}

// Faults is the set of faults injected at an endpoint. The zero value injects none.
type Faults struct {
	Hang           bool    // accepts calls and never responds
	RefuseAll      bool    // refuses all calls
	Errors         float64 // share of calls that get an immediate 500
	ErrorClass     string  // message class that Errors is limited to; empty for all
	ServiceFactor  float64 // multiplier of the service time; 0 for 1
	TailShare      float64 // share of calls whose service time is multiplied by TailFactor
	TailFactor     float64
	PauseEvery     time.Duration // period of the pauses; 0 for none
	Pause          time.Duration // length of each pause
	RateShare      float64       // share of the rate limit that remains; 0 for all of it
	LostResponses  float64       // share of calls that take effect and get no response
	IdleReset      time.Duration // a call on a connection idle for longer takes effect and is reset; 0 for none
	FirstCallDelay time.Duration // delay of the first call of a connection
}

// Outcomes of a call, as Call.Outcome records them.
const (
	Served     = "served"  // took effect and got a 200
	Repeat     = "repeat"  // got a 200 and was dropped as a repeat
	Refused    = "refused" // got a 429
	Failed     = "error"   // got a 500
	Lost       = "lost"    // got no response: the call hung or the connection was reset
	Incomplete = "half"    // the request was incomplete and took no effect
)

// Call is the record of one call.
type Call struct {
	Start, End     time.Time // first byte of the request on the socket; end of the handler
	Endpoint       string    // listen address
	Partner        string
	Conn           string // remote address
	Relay          string // name in the Via header
	Class          string
	Key            string // order key
	IdempotencyKey string // idempotency key
	Body           string
	Outcome        string        // outcome, such as Served
	Effect         bool          // whether the message took effect
	Wait           time.Duration // Retry-After of a refusal
	CallerClosed   time.Time     // when the caller closed the connection; zero if it did not before End
}

// Partner is the state shared by the endpoints of a partner.
type Partner struct {
	Name  string
	Model Model

	mu          sync.Mutex
	rand        *rand.Rand
	keySeen     map[string]time.Time // last effect by idempotency key
	tokens      float64
	refilled    time.Time
	windowStart time.Time
	windowUsed  float64
	inOutage    bool      // an outage is in progress
	outageEnd   time.Time // end of the last outage, the start of the ramp-up
	arrivals    []arrival // arrivals within the last Model.OverloadTime

	collapsed    bool
	inService    int
	queued       int
	slotFreed    chan struct{}
	collapses    []Collapse
	sawFailure   map[string]bool // relays that met a failure in the current or last outage
	outagesEnded int
}

type arrival struct {
	at    time.Time
	relay string
}

// Collapse records one collapse of a partner under overload during its ramp-up.
type Collapse struct {
	At         time.Time
	Calls      map[string]int  // calls by relay within the last Model.OverloadTime
	SawFailure map[string]bool // relays that had met a failure of the partner in the outage before
}

// Recorder stores the calls to all stand-ins of a run. When it is full it keeps the
// calls it has and counts the others in Dropped.
type Recorder struct {
	mu      sync.Mutex
	calls   []Call
	limit   int
	Dropped int
}

// NewRecorder returns a recorder that stores at most the given number of calls.
func NewRecorder(most int) *Recorder { return &Recorder{limit: most} }

func (r *Recorder) add(c Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.calls) >= r.limit {
		r.Dropped++
		return
	}
	r.calls = append(r.calls, c)
}

// Calls returns a copy of the recorded calls.
func (r *Recorder) Calls() []Call {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Call(nil), r.calls...)
}

// NewPartner returns a partner without endpoints. The seed makes its random choices repeatable.
func NewPartner(name string, m Model, seed uint64) *Partner {
	return &Partner{Name: name, Model: m, rand: rand.New(rand.NewPCG(seed, 1)), keySeen: map[string]time.Time{},
		refilled: time.Now(), tokens: 1}
}

// Outage starts or ends an outage of the partner. Relays whose calls arrive during the
// outage are counted as having met a failure. saw names further ones, for outages in which
// no call can arrive.
func (p *Partner) Outage(down bool, saw ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inOutage && !down {
		p.outageEnd, p.arrivals = time.Now(), nil
		p.outagesEnded++
	}
	if !p.inOutage && down {
		p.sawFailure = map[string]bool{}
	}
	for _, r := range saw {
		p.sawFailure[r] = true
	}
	p.inOutage = down
}

// OutagesEnded returns the number of outages that have ended.
func (p *Partner) OutagesEnded() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.outagesEnded
}

// capacityShare returns the share of its capacity that the partner has at the given time.
// The caller holds mu.
func (p *Partner) capacityShare(now time.Time) float64 {
	m := &p.Model
	if p.outageEnd.IsZero() || m.RampUp <= 0 {
		return 1
	}
	return min(1, m.RampUpFrom+(1-m.RampUpFrom)*now.Sub(p.outageEnd).Seconds()/m.RampUp.Seconds())
}

// Collapses returns the collapses of the partner so far.
func (p *Partner) Collapses() []Collapse {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Collapse(nil), p.collapses...)
}

// Endpoint is a host of a partner: an HTTP server at one listen address.
type Endpoint struct {
	Addr          string
	Partner       *Partner
	rec           *Recorder
	srv           *http.Server
	mu            sync.Mutex
	faults        Faults
	faultsChanged chan struct{} // neither closed nor received from
	started       time.Time
	wrap          func(net.Conn) net.Conn
}

type connKey struct{}

// timedConn records when the first byte of each request arrived on the socket.
type timedConn struct {
	net.Conn
	mu        sync.Mutex
	firstByte time.Time // arrival of the first byte since the last complete request
}

func (m *timedConn) Read(b []byte) (int, error) {
	n, err := m.Conn.Read(b)
	if n > 0 {
		m.mu.Lock()
		if m.firstByte.IsZero() {
			m.firstByte = time.Now()
		}
		m.mu.Unlock()
	}
	return n, err
}

// takeFirstByte returns when the first byte of the current request arrived, and clears it.
// It is called when the request has been read.
func (m *timedConn) takeFirstByte() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	at := m.firstByte
	m.firstByte = time.Time{}
	return at
}

// connState is the state of one connection to an endpoint.
type connState struct {
	*timedConn
	mu    sync.Mutex
	last  time.Time // end of the last call, or the accept
	calls int
}

// Start starts an endpoint on an address; "127.0.0.1:0" takes a free port.
func Start(addr string, p *Partner, rec *Recorder) (*Endpoint, error) {
	return StartWrapped(addr, p, rec, nil)
}

// StartWrapped is like Start, with wrap applied to every accepted connection, for example to
// count its bytes. An address "unix:PATH" listens on a Unix socket. wrap may be nil.
func StartWrapped(addr string, p *Partner, rec *Recorder, wrap func(net.Conn) net.Conn) (*Endpoint, error) {
	network, at := "tcp", addr
	if path, ok := strings.CutPrefix(addr, "unix:"); ok {
		network, at = "unix", path
	}
	l, err := net.Listen(network, at)
	if err != nil {
		return nil, fmt.Errorf("standin: %w", err)
	}
	e := &Endpoint{wrap: wrap, Addr: l.Addr().String(), Partner: p, rec: rec,
		faultsChanged: make(chan struct{}), started: time.Now()}
	e.serve(l)
	return e, nil
}

// timedListener wraps its connections in wrap, if that is set, and in timedConn.
type timedListener struct {
	net.Listener
	wrap func(net.Conn) net.Conn
}

func (w timedListener) Accept() (net.Conn, error) {
	c, err := w.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if w.wrap != nil {
		c = w.wrap(c)
	}
	return &timedConn{Conn: c}, nil
}

func (e *Endpoint) serve(l net.Listener) {
	e.srv = &http.Server{Handler: e, ReadHeaderTimeout: 30 * time.Second,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, &connState{timedConn: c.(*timedConn), last: time.Now()})
		}}
	srv := e.srv
	go func() { _ = srv.Serve(timedListener{l, e.wrap}) }()
}

// Close stops listening and closes all connections.
func (e *Endpoint) Close() { _ = e.srv.Close() }

// Reopen listens on the same address again after Close.
func (e *Endpoint) Reopen() error {
	l, err := net.Listen("tcp", e.Addr)
	if err != nil {
		return fmt.Errorf("standin: %w", err)
	}
	e.serve(l)
	return nil
}

// Set replaces the injected faults. Calls that hang already go on until their caller
// closes the connection.
func (e *Endpoint) Set(t Faults) {
	e.mu.Lock()
	e.faults = t
	e.mu.Unlock()
}

func (e *Endpoint) currentFaults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// maxBodyBytes is the number of bytes of a request body that are read and recorded.
const maxBodyBytes = 1 << 20

// ServeHTTP handles and records one call.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := Call{Start: time.Now(), Endpoint: e.Addr, Partner: e.Partner.Name, Conn: r.RemoteAddr,
		Relay: strings.TrimPrefix(r.Header.Get("Via"), "1.1 "), Class: r.Header.Get("Message-Class"),
		Key: r.Header.Get("Order-Key"), IdempotencyKey: r.Header.Get("Idempotency-Key"), Outcome: Lost}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	st, _ := r.Context().Value(connKey{}).(*connState)
	c.Start, c.Body = st.takeFirstByte(), string(body)
	if err != nil { // an incomplete request takes no effect, but was in progress until now
		c.Outcome, c.End = Incomplete, time.Now()
		c.CallerClosed = c.End
		e.rec.add(c)
		return
	}
	t := e.currentFaults()
	e.Partner.recordArrival(&c)
	var closedAt atomic.Int64
	stop := context.AfterFunc(r.Context(), func() { closedAt.Store(time.Now().UnixNano()) })
	defer func() {
		stop()
		c.End = time.Now()
		if r.Context().Err() != nil {
			if c.CallerClosed = c.End; closedAt.Load() != 0 {
				c.CallerClosed = time.Unix(0, closedAt.Load())
			}
		}
		e.rec.add(c)
	}()
	st.mu.Lock()
	idle, first := c.Start.Sub(st.last), st.calls == 0
	st.calls++
	st.mu.Unlock()
	defer func() { st.mu.Lock(); st.last = time.Now(); st.mu.Unlock() }()
	if first && t.FirstCallDelay > 0 {
		pause.For(r.Context(), t.FirstCallDelay)
	}
	hang := func() {
		<-r.Context().Done()
		panic(http.ErrAbortHandler) // keeps the server from writing a response
	}
	resetConn := func() {
		if h, ok := w.(http.Hijacker); ok {
			if conn, _, err := h.Hijack(); err == nil {
				if m, ok := conn.(*timedConn); ok {
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
		hang()
		return
	case t.IdleReset > 0 && !first && idle > t.IdleReset:
		c.Effect = e.Partner.recordEffect(&c)
		resetConn()
		return
	case t.Errors > 0 && (t.ErrorClass == "" || t.ErrorClass == c.Class) && e.Partner.randomShare() < t.Errors:
		c.Outcome = Failed
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	ok, wait, done := e.Partner.admit(r.Context(), t)
	if !ok {
		c.Outcome, c.Wait = Refused, wait
		if wait > 0 {
			w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(wait.Seconds()))))
			c.Wait = time.Duration(math.Ceil(wait.Seconds())) * time.Second
		}
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	delay := e.Partner.serviceTime(t)
	if t.PauseEvery > 0 {
		if into := time.Since(e.started) % t.PauseEvery; into < t.Pause {
			delay += t.Pause - into
		}
	}
	time.Sleep(delay) // continues even if the caller has closed the connection
	c.Effect = e.Partner.recordEffect(&c)
	done()
	if t.LostResponses > 0 && e.Partner.randomShare() < t.LostResponses {
		hang()
		return
	}
	if c.Outcome = Served; !c.Effect {
		c.Outcome = Repeat
	}
	w.WriteHeader(http.StatusOK)
}

// StartMinimal starts a server that responds to every call after the service time and records
// nothing, for load measurements. It returns the listen address and a function that stops
// the server.
func StartMinimal(addr string, service time.Duration) (listening string, stop func(), err error) {
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

func (p *Partner) randomShare() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rand.Float64()
}

// recordArrival records a call and checks whether the partner collapses: during the ramp-up after
// an outage it does so if the calls within
// Model.OverloadTime exceed Model.OverloadFactor times the available capacity.
func (p *Partner) recordArrival(c *Call) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := &p.Model
	if p.inOutage {
		p.sawFailure[c.Relay] = true
	}
	if m.OverloadTime <= 0 || m.Capacity <= 0 || p.outageEnd.IsZero() || p.inOutage || p.collapsed {
		return
	}
	now := c.Start
	share := p.capacityShare(now)
	p.arrivals = append(p.arrivals, arrival{now, c.Relay})
	for len(p.arrivals) > 0 && now.Sub(p.arrivals[0].at) > m.OverloadTime {
		p.arrivals = p.arrivals[1:]
	}
	if now.Sub(p.outageEnd) >= m.OverloadTime &&
		float64(len(p.arrivals)) > m.OverloadFactor*share*m.Capacity*m.OverloadTime.Seconds() && share < 1 {
		f := Collapse{At: now, Calls: map[string]int{}, SawFailure: maps.Clone(p.sawFailure)}
		for _, a := range p.arrivals {
			f.Calls[a.relay]++
		}
		p.collapses = append(p.collapses, f)
		p.collapsed = true
	}
}

// recordEffect records that a message took effect. It returns false for a repeat, which is dropped.
func (p *Partner) recordEffect(c *Call) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.IdempotencyKey == "" || p.Model.DedupWindow <= 0 {
		return true
	}
	now := time.Now()
	if at, ok := p.keySeen[c.IdempotencyKey]; ok && now.Sub(at) < p.Model.DedupWindow {
		return false
	}
	if len(p.keySeen) > 1<<20 {
		clear(p.keySeen)
	}
	p.keySeen[c.IdempotencyKey] = now
	return true
}

// serviceTime draws the service time of a call.
func (p *Partner) serviceTime(t Faults) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := float64(p.Model.Service) * (1 + p.Model.ServiceJitter*(2*p.rand.Float64()-1))
	if t.ServiceFactor > 0 {
		d *= t.ServiceFactor
	}
	if t.TailShare > 0 && p.rand.Float64() < t.TailShare {
		d *= t.TailFactor
	}
	return time.Duration(d)
}

// admit applies the rate limit, then the concurrency limit and its queue. A refused call gets the
// wait for Retry-After; the caller of an admitted one calls done at its end.
func (p *Partner) admit(ctx context.Context, t Faults) (ok bool, wait time.Duration, done func()) {
	p.mu.Lock()
	now := time.Now()
	m := &p.Model
	refuse := func(wait time.Duration) (bool, time.Duration, func()) {
		p.mu.Unlock()
		if !m.SendsRetryAfter {
			wait = 0
		}
		return false, wait, nil
	}
	if t.RefuseAll || p.collapsed {
		return refuse(time.Second)
	}
	rate := m.Rate * p.capacityShare(now)
	if t.RateShare > 0 {
		rate *= t.RateShare
	}
	switch {
	case rate <= 0:
	case m.RateWindow > 0:
		if now.Sub(p.windowStart) >= m.RateWindow {
			p.windowStart, p.windowUsed = now.Truncate(m.RateWindow), 0
		}
		if p.windowUsed+1 > math.Max(1, rate*m.RateWindow.Seconds()) {
			if m.CountsRefusals {
				p.windowUsed++
			}
			return refuse(p.windowStart.Add(m.RateWindow).Sub(now))
		}
		p.windowUsed++
	default:
		p.tokens = math.Min(math.Max(1, rate/4), p.tokens+rate*now.Sub(p.refilled).Seconds())
		p.refilled = now
		if p.tokens < 1 {
			missing := 1 - p.tokens
			if m.CountsRefusals {
				p.tokens -= 0.5
			}
			return refuse(time.Duration(missing / rate * 1e9))
		}
		p.tokens--
	}
	if m.Concurrency > 0 {
		if p.inService >= m.Concurrency {
			if p.queued >= m.Queue {
				return refuse(0)
			}
			if p.slotFreed == nil {
				p.slotFreed = make(chan struct{}, m.Concurrency)
			}
			p.queued++
			p.mu.Unlock()
			<-p.slotFreed
			p.mu.Lock()
			p.queued--
		}
		p.inService++
	}
	p.mu.Unlock()
	return true, 0, p.release
}

// release ends a call in service and lets the next queued one start.
func (p *Partner) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.Model.Concurrency <= 0 {
		return
	}
	p.inService--
	if p.queued > 0 && p.slotFreed != nil {
		select {
		case p.slotFreed <- struct{}{}:
		default:
		}
	}
}
