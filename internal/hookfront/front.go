// Package hookfront is the relay's front in the platform's form: POST /api hands in
// one message, GET /up tells whether the relay may be used. What the module decides
// in the step that takes a message is the answer; what it decides later is a notice.
package hookfront

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"basaltcross.example/basaltcross/internal/core"
	"basaltcross.example/basaltcross/internal/engine"
	"basaltcross.example/basaltcross/internal/front"
	"basaltcross.example/basaltcross/internal/http1"
	"basaltcross.example/basaltcross/internal/ledger"
	"basaltcross.example/basaltcross/internal/lifecycle"
)

// Name is that of the front in records.
const Name = "hook"

// Door is where messages are handed in; core.Core is one.
type Door interface {
	Submit(*core.Message) error
	Abandon(identity string, by core.Reply)
	Settled(identity string)
}

// Keeper is told of answers that have reached their client.
type Keeper interface{ Handed(identity string) }

// Notices takes the final answers of messages that were taken on.
type Notices interface {
	// Room tells whether a message may be taken, which may come to need one.
	Room() bool
	Add(identity string, a ledger.Answer)
}

// Options of a Front.
type Options struct {
	Listen  string
	Lanes   map[string]int   // classes by name
	Ordered []bool           // by class: keys count
	Dest    func(n int) bool // whether a destination is known
	Ready   func() bool

	Header      int           // bytes of a request's header
	Body        int           // bytes of its content
	Connections int           // open at once
	Lingering   int           // further ones, shut by the relay and not yet by the client
	Kept        int           // of them between two requests
	Request     time.Duration // a begun request may pause so long
	Whole       time.Duration // and must be whole by then; the first one since the connection came up
	Respond     time.Duration // a request has its response within this, whatever the disk does; 0 for no such time
	Wait        time.Duration // clients wait so long for it; 0 for an unknown time
	Linger      time.Duration // a connection that the relay has shut is closed after it, whatever the client does
	Idle        time.Duration // a connection without a request closes after it
	WriteBuffer int
	Door        Door
	Keeper      Keeper
	Notices     Notices
	Trace       lifecycle.Trace
	Guard       *lifecycle.Guard // decides what may be answered and closed; nil for one that keeps no count
	Logf        func(format string, args ...any)
}

// Front serves clients.
type Front struct {
	opt      Options
	sockets  *front.Listeners
	stop     chan struct{}
	done     sync.WaitGroup
	draining atomic.Bool
	left     atomic.Bool
	finished atomic.Bool
	numbers  atomic.Uint64

	mu    sync.Mutex
	conns map[*conn]struct{}

	counts Counts
}

// Counts of a run.
type Counts struct {
	Taken, Refused, Failed, Rejected, Closed, Evicted atomic.Int64
	Closes                                            lifecycle.Closes
}

// New opens the listener and serves.
func New(opt Options) (*Front, error) {
	f := &Front{opt: opt, stop: make(chan struct{}), conns: map[*conn]struct{}{}}
	var err error
	f.sockets, err = front.Listen(front.Sockets{Name: Name, Addrs: []string{opt.Listen}, ReadBuffer: 16 << 10,
		WriteBuffer: opt.WriteBuffer, Open: f.open,
		Failed: func(err error) { opt.Logf("accept: %v", err) }})
	if err != nil {
		return nil, err
	}
	f.done.Add(1)
	go f.janitor()
	return f, nil
}

// Addr is the address listened on.
func (f *Front) Addr() string { return f.sockets.Addrs[0] }

// Counts of this run so far.
func (f *Front) Counts() *Counts { return &f.counts }

// Connections open now.
func (f *Front) Connections() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns)
}

// Drain has every connection close after the answer that comes next.
func (f *Front) Drain() { f.draining.Store(true) }

// Leave closes the listener, and connections that rest between two requests. One that is
// new gets the time in which a client sends a request, lest it hears no answer.
func (f *Front) Leave() {
	f.Drain()
	f.sockets.Refuse()
	f.left.Store(true)
	f.shutIdle(lifecycle.CloseDrain, func(c *conn) bool { return c.overdue(time.Now()) })
}

// Finish takes nothing further: a request that is not whole yet is answered with 503.
// Those that were handed in still get their answers.
func (f *Front) Finish() {
	f.finished.Store(true)
	f.shutIdle(lifecycle.CloseDrain, func(c *conn) bool { return c.life.Phase() != lifecycle.Closing })
}

// Quiet tells whether nothing is owed to a client: no response, and no byte of one.
func (f *Front) Quiet() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		if c.life.Phase() == lifecycle.Answering || c.nb.Unsent() > 0 {
			return false
		}
	}
	return true
}

// Close ends everything.
func (f *Front) Close() {
	f.mu.Lock()
	for c := range f.conns {
		_ = c.life.MayClose(f.opt.Guard) // counted
	}
	f.mu.Unlock()
	close(f.stop)
	f.done.Wait()
	f.sockets.Close()
}

func (f *Front) shutIdle(why lifecycle.Reason, pick func(*conn) bool) {
	var out []*conn
	f.mu.Lock()
	for c := range f.conns {
		if pick(c) {
			out = append(out, c)
		}
	}
	f.mu.Unlock()
	for _, c := range out {
		c.end(why)
	}
}

// end shuts a connection unless a request has come on it since it was picked: that is
// owed its answer. What comes later is dropped, so that its client may send it again
// elsewhere. One that was shut before is closed.
func (c *conn) end(why lifecycle.Reason) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	phase := c.life.Phase()
	switch {
	case phase == lifecycle.Answering:
		return false
	case c.shut:
		c.close(lifecycle.CloseLinger)
	case phase == lifecycle.Reading && c.front.finished.Load():
		c.reject(http.StatusServiceUnavailable, "the relay ends")
	case phase == lifecycle.Reading:
		c.reject(http.StatusRequestTimeout, "the request did not end")
	default:
		c.finish(why)
	}
	return true
}

// finish ends the sending side: the client reads what was written and then the end. What
// it has sent meanwhile is read and dropped until it closes as well, within a bound: a
// close over unread bytes would reset the connection and take the answer with it; under mu.
func (c *conn) finish(why lifecycle.Reason) {
	if c.shut || !c.life.MayClose(c.front.opt.Guard) {
		return
	}
	c.shut = true
	c.since.Store(front.Now())
	c.ended(why)
	c.nb.CloseWrite()
}

// close closes the connection whatever the client does; under mu.
func (c *conn) close(why lifecycle.Reason) {
	c.shut = true
	c.ended(why)
	c.front.gone(c)
	_ = c.nb.Close()
}

// ended notes why a connection ends.
func (c *conn) ended(why lifecycle.Reason) {
	c.front.counts.Closes.Add(why)
	c.front.opt.Trace.Step(c.name, "close", string(why))
}

// gone takes a connection off the table.
func (f *Front) gone(c *conn) {
	f.mu.Lock()
	delete(f.conns, c)
	f.mu.Unlock()
}

// mostDropped bytes of a client are read after the relay has shut the connection: what
// was on its way by then, and not all of a body without end.
const mostDropped = 1 << 20

// look is how often connections are looked over.
const look = 100 * time.Millisecond

func (f *Front) janitor() {
	defer f.done.Done()
	tick := time.NewTicker(look)
	defer tick.Stop()
	for {
		select {
		case <-f.stop:
			return
		case now := <-tick.C:
			f.shutIdle(lifecycle.CloseIdle, func(c *conn) bool { return c.overdue(now) })
		}
	}
}

// conn is one client's connection.
type conn struct {
	front   *Front
	nb      *engine.Conn
	name    string
	since   atomic.Int64 // by front.Now: of the state, or of the last byte while reading
	begun   atomic.Int64 // by front.Now: of the request, or of the connection before the first
	life    lifecycle.Exchange
	asked   atomic.Bool   // a request was answered
	waited  time.Duration // the connection may have stood in the listener's queue so long
	leaving atomic.Bool   // about to be closed to make room

	mu      sync.Mutex
	req     http1.Request
	open    *exchange
	shut    bool
	bad     bool // what came was no request, or not in time
	dropped int  // bytes after that
}

// open makes room for a connection: at the bound one without an open request goes, and
// where too many are between two requests the longest silent of those. Clients have a
// bound of their own, and hold what they asked on until the relay closes it.
func (f *Front) open(nb *engine.Conn, waited time.Duration) front.Conn {
	c := &conn{front: f, nb: nb, waited: waited, name: strconv.FormatUint(f.numbers.Add(1), 36)}
	c.since.Store(front.Now())
	c.begun.Store(c.since.Load())
	c.req.Reset(http1.Limits{Header: f.opt.Header, Body: f.opt.Body})
	f.mu.Lock()
	var out, rests, lingers *conn
	resting, going, now := 0, 0, time.Now()
	for o := range f.conns {
		phase := o.life.Phase()
		if phase == lifecycle.Closing || o.leaving.Load() {
			if going++; phase == lifecycle.Closing && (lingers == nil || o.since.Load() < lingers.since.Load()) {
				lingers = o
			}
			continue
		}
		if phase == lifecycle.Idle && o.asked.Load() {
			if resting++; rests == nil || o.since.Load() < rests.since.Load() {
				rests = o
			}
		}
		if phase != lifecycle.Answering && (out == nil || o.before(out, now)) {
			out = o
		}
	}
	switch {
	case len(f.conns)-going < f.opt.Connections && resting > f.opt.Kept:
		out = rests
	case len(f.conns)-going < f.opt.Connections:
		out = nil
	case out == nil:
		f.mu.Unlock()
		f.counts.Closed.Add(1)
		return nil
	}
	if out != nil {
		out.leaving.Store(true)
	}
	f.conns[c] = struct{}{}
	if going < f.opt.Lingering {
		lingers = nil
	}
	f.mu.Unlock()
	if lingers != nil {
		lingers.end(lifecycle.CloseEvicted)
	}
	if out != nil {
		f.counts.Evicted.Add(1)
		if !out.end(lifecycle.CloseEvicted) {
			out.leaving.Store(false)
		}
	}
	return c
}

// before tells which of two connections goes first: one that has not asked in the time
// in which a client sends a request; else one between two requests, whose client opens
// another; last one that is new, for its request may be on its way and would be lost.
// Among equals the longest silent goes.
func (c *conn) before(o *conn, now time.Time) bool {
	if x, y := c.rank(now), o.rank(now); x != y {
		return x < y
	}
	return c.since.Load() < o.since.Load()
}

func (c *conn) rank(now time.Time) int {
	switch {
	case c.asked.Load():
		return 1
	case front.Nanos(now)-c.since.Load() > int64(c.front.opt.Request)/2:
		return 0
	}
	return 2
}

// overdue tells whether a connection was silent too long, or its request does not end.
func (c *conn) overdue(now time.Time) bool {
	age := front.Nanos(now) - c.since.Load()
	switch c.life.Phase() {
	case lifecycle.Idle:
		if c.front.left.Load() {
			return c.asked.Load() || age > int64(c.front.opt.Request)/2
		}
		return age > int64(c.front.opt.Idle)
	case lifecycle.Reading:
		return age > int64(c.front.opt.Request) || front.Nanos(now)-c.begun.Load() > int64(c.front.opt.Whole)
	case lifecycle.Closing:
		return age > int64(c.front.opt.Linger)
	}
	return false
}

// Closed takes in the end of the connection. Whoever had a request open there
// hears no answer any more, so that none is owed.
func (c *conn) Closed() {
	c.front.gone(c)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.shut {
		c.ended(lifecycle.CloseClient)
	}
	c.shut = true
	c.life.Gone()
	c.withdraw()
}

// withdraw says that nobody waits for the answer to the open request any more; under mu.
func (c *conn) withdraw() {
	if x := c.open; x != nil {
		c.open = nil
		c.front.opt.Door.Abandon(x.id, x)
	}
}

// Data takes in what the socket gave.
func (c *conn) Data(b []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shut {
		if c.dropped += len(b); c.dropped > mostDropped {
			c.close(lifecycle.CloseFlood)
		}
		return
	}
	if c.life.Phase() == lifecycle.Answering { // one request at a time, by the protocol
		c.withdraw()
		c.reject(http.StatusBadRequest, "a request before the answer to the last one")
		return
	}
	now := front.Now()
	if c.life.Begin() && c.asked.Load() {
		c.begun.Store(now)
	}
	c.since.Store(now)
	rest, err := c.req.Feed(b, &c.req)
	switch {
	case errors.Is(err, http1.ErrTooLong):
		c.reject(http.StatusRequestEntityTooLarge, "%v", err)
	case err != nil:
		c.reject(http.StatusBadRequest, "%v", err)
	case !c.req.Done():
		if c.req.Expect && c.req.InContent() {
			c.req.Expect = false
			_, _ = c.nb.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
		}
	case len(rest) > 0:
		c.reject(http.StatusBadRequest, "a request before the answer to the last one")
	default:
		c.life.Whole(c.name, c.waitsUntil(time.Duration(now)))
		c.serve()
	}
}

// serve answers a whole request; under mu.
func (c *conn) serve() {
	f, r := c.front, &c.req
	switch {
	case r.Path == "/up" && r.Method == http.MethodGet:
		if f.opt.Ready() && !f.draining.Load() {
			c.write(http.StatusOK, "", "ready\n")
		} else {
			c.write(http.StatusServiceUnavailable, "", "not ready\n")
		}
	case r.Path != "/api":
		c.say(http.StatusNotFound, "no such resource")
	case r.Method != http.MethodPost:
		c.say(http.StatusMethodNotAllowed, "POST a message here")
	case !f.opt.Ready():
		c.say(http.StatusServiceUnavailable, "not ready")
	case f.finished.Load(): // after Finish had looked at this connection, or before it did
		c.say(http.StatusServiceUnavailable, "the relay ends")
	default:
		m, err := c.message()
		if err != nil {
			c.say(http.StatusBadRequest, "%v", err)
			return
		}
		if !f.opt.Dest(m.Partner) {
			c.say(http.StatusServiceUnavailable, "dest: %d has no host", m.Partner)
			return
		}
		if !f.opt.Notices.Room() {
			c.say(http.StatusServiceUnavailable, "notices are owed, and not taken")
			return
		}
		c.life.Name(m.Identity)
		f.opt.Trace.Step(m.Identity, "read", c.name)
		x := &exchange{conn: c, id: m.Identity}
		m.Reply = x
		c.open = x
		if err := f.opt.Door.Submit(m); err != nil {
			c.open = nil
			c.say(http.StatusServiceUnavailable, "%v", err)
		}
	}
}

// message reads the fields of a hand-in; the error names the one that is wrong.
func (c *conn) message() (*core.Message, error) {
	f, r := c.front, &c.req
	value := map[string]string{}
	for _, name := range [...]string{"X-Txn", "X-Lane", "X-Remaining-Ms", "X-Addressing"} {
		v, n := r.Only(name)
		if n != 1 {
			return nil, fmt.Errorf("%s: %d fields, one is needed", name, n)
		}
		value[name] = v
	}
	id := value["X-Txn"]
	if len(id) > 128 || !http1.Token(id) {
		return nil, fmt.Errorf("X-Txn: %.40q is no id of at most 128 characters", id)
	}
	class, ok := f.opt.Lanes[value["X-Lane"]]
	if !ok {
		return nil, fmt.Errorf("X-Lane: %.40q is no class", value["X-Lane"])
	}
	left, err := strconv.ParseUint(value["X-Remaining-Ms"], 10, 40)
	if err != nil || left == 0 {
		return nil, fmt.Errorf("X-Remaining-Ms: %.40q is no time in milliseconds", value["X-Remaining-Ms"])
	}
	dest, err := destination(value["X-Addressing"])
	if err != nil {
		return nil, err
	}
	m := &core.Message{Source: c.name, Identity: id, Class: class, Partner: dest, Once: true,
		Left: max(time.Duration(left)*time.Millisecond-c.late(), time.Millisecond), Respond: c.respondWithin(),
		Front: Name, Body: r.Body}
	key, n := r.Only(fieldIdempotency)
	if n > 1 || len(key) > 256 || strings.ContainsFunc(key, func(c rune) bool { return c < ' ' || c >= 0x7f }) {
		return nil, fmt.Errorf("%s: %d fields, %.40q; one of at most 256 visible characters may be there", fieldIdempotency, n, key)
	}
	if n == 1 { // by it a host tells a repeat
		m.Head = []byte(fieldIdempotency + ": " + key + "\r\n")
	}
	if f.opt.Ordered[class] {
		m.Key = cookie(strings.Join(r.All("Cookie"), "; "), "about")
		if m.Way = []byte(m.Key); len(m.Key) > 256 {
			return nil, errors.New("Cookie: the key is over 256 bytes")
		}
	}
	return m, nil
}

// late is how long ago a request that is being read may have been sent: reading it failed for a
// while, or, for the first one of a connection, accepting that did.
func (c *conn) late() time.Duration {
	late := c.nb.HeldUp()
	if !c.asked.Load() {
		late += c.waited
	}
	return min(late, c.front.opt.Request/2) // a client waits no longer
}

// waitsUntil is when the client of a request that was read now waits no more; 0 if that is not known.
func (c *conn) waitsUntil(now time.Duration) time.Duration {
	if c.front.opt.Wait == 0 {
		return 0
	}
	return now + c.front.opt.Wait - c.late()
}

// respondWithin is how soon the core must answer a hand-in; 0 for no such time.
func (c *conn) respondWithin() time.Duration {
	if c.front.opt.Respond == 0 {
		return 0
	}
	return max(c.front.opt.Respond-c.late(), time.Millisecond)
}

// fieldIdempotency names the field by which hosts of some classes tell a repeat; it goes on
// to them as it came, with every attempt.
const fieldIdempotency = "Idempotency-Key"

// destination reads dest=N among parameters.
func destination(v string) (int, error) {
	for part := range strings.FieldsFuncSeq(v, func(r rune) bool { return r == ';' || r == ',' }) {
		name, n, _ := strings.Cut(strings.TrimSpace(part), "=")
		if name == "dest" {
			if d, err := strconv.ParseUint(strings.Trim(n, `"`), 10, 31); err == nil {
				return int(d), nil
			}
		}
	}
	return 0, fmt.Errorf("X-Addressing: %.40q names no dest", v)
}

// cookie finds one by its name (RFC 6265, 4.2.1); empty for none.
func cookie(v, name string) string {
	for part := range strings.SplitSeq(v, ";") {
		if n, value, _ := strings.Cut(strings.TrimSpace(part), "="); n == name {
			return value
		}
	}
	return ""
}

func (c *conn) say(status int, format string, args ...any) {
	c.front.counts.Rejected.Add(1)
	c.write(status, "", fmt.Sprintf(format, args...)+"\n")
}

// reject answers what is no request, and closes; under mu. A request that is open
// on the connection is not answered any more.
func (c *conn) reject(status int, format string, args ...any) {
	c.req.Keep, c.bad = false, true
	c.say(status, format, args...)
}

// write sends an answer and readies the connection for the next request; under mu.
func (c *conn) write(status int, field, body string) {
	if c.shut || !c.life.MayAnswer(c.front.opt.Guard, time.Duration(front.Now())) {
		return
	}
	keep := c.req.Keep && !c.front.draining.Load()
	b := make([]byte, 0, 160+len(body))
	b = append(strconv.AppendInt(append(b, "HTTP/1.1 "...), int64(status), 10), ' ')
	b = append(append(b, http.StatusText(status)...), "\r\n"...)
	b = append(b, field...)
	b = strconv.AppendInt(append(b, "Content-Length: "...), int64(len(body)), 10)
	if !keep {
		b = append(b, "\r\nConnection: close"...)
	}
	b = append(append(b, "\r\n\r\n"...), body...)
	_, err := c.nb.Write(b)
	c.front.opt.Trace.Step(c.life.ID(), "response", strconv.Itoa(status))
	switch {
	case err != nil: // closed by the engine
		c.shut = true
		c.ended(lifecycle.CloseError)
		c.front.opt.Trace.Step(c.name, "error", err.Error())
		return
	case !keep:
		why := lifecycle.CloseAnswer
		if c.bad {
			why = lifecycle.CloseBadData
		} else if c.front.draining.Load() {
			why = lifecycle.CloseDrain
		}
		c.finish(why)
		return
	}
	c.req.Reset(http1.Limits{Header: c.front.opt.Header, Body: c.front.opt.Body})
	c.req.Body = nil
	c.asked.Store(true)
	c.since.Store(front.Now())
}

// exchange is one hand-in; the core tells it what becomes of the message.
type exchange struct {
	conn    *conn // nil for a message of an earlier run
	front   *Front
	id      string
	decided bool
	answer  ledger.Answer // given before that
}

// Owe is the reply of a message of an earlier run.
func (f *Front) Owe(identity string) core.Reply {
	return &exchange{front: f, id: identity, decided: true}
}

// Taken hears whether the core took the message.
func (x *exchange) Taken(err error) {
	if err == nil {
		return
	}
	status := http.StatusServiceUnavailable
	if errors.Is(err, core.ErrKnown) {
		status = http.StatusConflict
	}
	x.respond(func(c *conn) { c.say(status, "%v", err) })
}

// Answer is the final one: told to the client while it waits, to the platform later.
func (x *exchange) Answer(a ledger.Answer) {
	if !x.decided {
		x.answer = a
		return
	}
	if a.Verdict == ledger.Refused || a.Verdict == ledger.Failed {
		x.of().opt.Notices.Add(x.id, a)
	}
}

func (x *exchange) of() *Front {
	if x.conn != nil {
		return x.conn.front
	}
	return x.front
}

// Decided: the step that took the message is over.
func (x *exchange) Decided() {
	x.decided = true
	f := x.of()
	switch x.answer.Verdict {
	case ledger.Refused:
		f.counts.Refused.Add(1)
		x.respond(func(c *conn) { c.write(http.StatusTooManyRequests, retryAfter(x.answer.After), "") })
	case ledger.Failed:
		f.counts.Failed.Add(1)
		x.respond(func(c *conn) { c.write(http.StatusInternalServerError, "", "") })
	case ledger.Abandoned:
		return
	default:
		f.counts.Taken.Add(1)
		x.respond(func(c *conn) {
			c.write(http.StatusAccepted, "", "")
		})
		return
	}
	if f.opt.Keeper != nil {
		f.opt.Keeper.Handed(x.id)
	}
	f.opt.Door.Settled(x.id)
}

// Undecided: a record of what was decided cannot be written in time, or before the process ends.
func (x *exchange) Undecided(held bool) {
	x.decided = true
	x.respond(func(c *conn) {
		if held {
			x.of().counts.Taken.Add(1)
			c.write(http.StatusAccepted, "", "")
			return
		}
		c.say(http.StatusServiceUnavailable, "nothing can be recorded")
	})
}

// retryAfter is that field, in seconds with milliseconds.
func retryAfter(d time.Duration) string {
	if d <= 0 {
		return ""
	}
	return "Retry-After: " + strconv.FormatFloat(math.Ceil(d.Seconds()*1e3)/1e3, 'f', -1, 64) + "\r\n"
}

// respond answers if the client still waits.
func (x *exchange) respond(do func(*conn)) {
	c := x.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == x {
		c.open = nil
		do(c)
	}
}
