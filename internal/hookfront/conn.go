package hookfront

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"basaltcross.example/basaltcross/internal/engine"
	"basaltcross.example/basaltcross/internal/front"
	"basaltcross.example/basaltcross/internal/http1"
	"basaltcross.example/basaltcross/internal/lifecycle"
)

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

// mostDropped bytes of a client are read after the relay has shut the connection: what
// was on its way by then, and not all of a body without end.
const mostDropped = 1 << 20

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
	// The client has ended its sending behind a request that is being answered.
	halfClosed atomic.Bool

	mu      sync.Mutex
	req     http1.Request
	open    *exchange
	shut    bool
	bad     bool // what came was no request, or not in time
	dropped int  // bytes after that
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

// HalfClosed takes in that the client has ended its sending. Behind a request that was read it may wait for the
// answer: that is written whole before the connection ends (RFC 9112, 9.6), while a client waits.
func (c *conn) HalfClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.req.Keep = false
	if !c.shut && c.life.Phase() == lifecycle.Answering && c.front.opt.Wait > 0 {
		c.halfClosed.Store(true)
		return true
	}
	if c.nb.Unsent() == 0 {
		return false
	}
	if c.life.Phase() == lifecycle.Idle { // between its response and the next request, which does not come
		c.finish(lifecycle.CloseClient)
	}
	return c.shut
}

// forsaken tells whether the client has ended its sending and its answer is still owed.
func (c *conn) forsaken() bool { return c.halfClosed.Load() && c.life.Phase() == lifecycle.Answering }

// forsake ends such a connection once its client surely waits no more, and withdraws the message. How long the
// request may have stood unread is no more than a bound.
func (c *conn) forsake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open != nil && time.Duration(front.Now()-c.since.Load()) > c.front.opt.Wait {
		c.withdraw()
		c.close(lifecycle.CloseClient)
	}
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
