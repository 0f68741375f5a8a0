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

// tryEnd ends the relay's side of a connection, unless a request has arrived on it since it was
// selected: that request is owed its answer. Later input is discarded, so that its client may send
// it again to another relay. A connection whose sending side has already ended is closed.
func (c *conn) tryEnd(why lifecycle.CloseReason) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	phase := c.state.Phase()
	switch {
	case phase == lifecycle.Answering:
		return false
	case c.sendingEnded:
		c.close(lifecycle.CloseLinger)
	case phase == lifecycle.Reading && c.front.finished.Load():
		c.reject(http.StatusServiceUnavailable, "the relay ends")
	case phase == lifecycle.Reading:
		c.reject(http.StatusRequestTimeout, "the request did not end")
	default:
		c.endSending(why)
	}
	return true
}

// endSending ends the sending side: the client reads what was written and then the end. What the
// client has sent meanwhile is read and discarded until the client closes as well, within bounds,
// because closing a socket with unread bytes would reset the connection and destroy the answer. The
// caller holds mu.
func (c *conn) endSending(why lifecycle.CloseReason) {
	if c.sendingEnded || !c.state.MayClose(c.front.opt.Guard) {
		return
	}
	c.sendingEnded = true
	c.lastActive.Store(front.Now())
	c.recordClose(why)
	c.dropRequest()
	c.socket.CloseWrite()
}

// dropRequest frees the memory of the request: nothing that comes is parsed any more. The caller holds mu.
func (c *conn) dropRequest() {
	c.req = http1.Request{}
	c.partial.Set(0)
}

// close closes the connection whatever the client does. The caller holds mu.
func (c *conn) close(why lifecycle.CloseReason) {
	c.sendingEnded = true
	c.recordClose(why)
	_ = c.socket.Close()
	c.front.remove(c) // it counts until its descriptor is closed
}

// recordClose counts and traces the reason for the end of the connection.
func (c *conn) recordClose(why lifecycle.CloseReason) {
	c.front.counts.Closes.Add(why)
	c.front.opt.Trace.Step(c.name, "close", string(why))
}

// maxDiscarded bounds the bytes read from a client after the relay has ended its sending side:
// enough for what was under way by then, but not for a body without end.
const maxDiscarded = 1 << 20

// conn is the connection of one client.
type conn struct {
	front        *Front
	socket       *engine.Conn
	name         string
	lastActive   atomic.Int64 // by front.Now: last change of phase, or last byte while a request is read
	requestBegun atomic.Int64 // by front.Now: start of the request, or of the connection before its first request
	state        lifecycle.ClientConn
	answeredOnce atomic.Bool          // a request has been answered
	queue        front.QueueWait      // wait in the listener's queue
	evicting     atomic.Bool          // selected to be closed to make room
	partial      *front.PartialHolder // bytes of the request that has not arrived completely
	// The client has ended its sending side while its request is being answered.
	halfClosed atomic.Bool

	mu           sync.Mutex
	req          http1.Request
	pending      *handIn
	readDelay    time.Duration // how long the request waited to be read
	sendingEnded bool
	invalid      bool // the input was not a valid request, or not complete in time
	discarded    int  // bytes received and discarded after sendingEnded
}

// evictBefore reports whether c is closed before o to make room. First go connections that have not
// sent a request within the time a client needs for it, then those between two requests, whose
// clients will open another one, and last the new ones, whose request may be on its way and would
// be lost. Among equals, the one that has been idle longest goes first.
func (c *conn) evictBefore(o *conn, now time.Time) bool {
	if x, y := c.evictionRank(now), o.evictionRank(now); x != y {
		return x < y
	}
	return c.lastActive.Load() < o.lastActive.Load()
}

func (c *conn) evictionRank(now time.Time) int {
	switch {
	case c.answeredOnce.Load():
		return 1
	case front.SinceStart(now)-c.lastActive.Load() > int64(c.front.opt.RequestPause)/2:
		return 0
	}
	return 2
}

// timedOut reports whether the connection has been idle for too long or its request takes too long.
func (c *conn) timedOut(now time.Time) bool {
	age := front.SinceStart(now) - c.lastActive.Load()
	switch c.state.Phase() {
	case lifecycle.Idle:
		if c.front.listenerClosed.Load() {
			return c.answeredOnce.Load() || age > int64(c.front.opt.RequestPause)/2
		}
		return age > int64(c.front.opt.IdleTimeout)
	case lifecycle.Reading:
		return age > int64(c.front.opt.RequestPause) ||
			front.SinceStart(now)-c.requestBegun.Load() > int64(c.front.opt.RequestTimeout)
	case lifecycle.Closing:
		return age > int64(c.front.opt.LingerTimeout)
	}
	return false
}

// Closed records the end of the connection. A message whose client has not been answered is
// withdrawn, because nobody can receive the answer any more.
func (c *conn) Closed() {
	c.front.remove(c)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.sendingEnded {
		c.recordClose(lifecycle.CloseClient)
	}
	c.sendingEnded = true
	c.state.MarkClosed()
	c.withdraw()
}

// HalfClosed records that the client has ended its sending side. Its client may still wait for the
// answer to a request that was read, so that the answer is written completely before the connection
// ends (RFC 9112, 9.6), as long as the client waits.
func (c *conn) HalfClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.req.KeepAlive = false
	if !c.sendingEnded && c.state.Phase() == lifecycle.Answering && c.front.opt.ClientTimeout > 0 {
		c.halfClosed.Store(true)
		return true
	}
	if c.socket.Unsent() == 0 {
		return false
	}
	if c.state.Phase() == lifecycle.Idle { // between a response and a next request that won't come
		c.endSending(lifecycle.CloseClient)
	}
	return c.sendingEnded
}

// halfClosedWaiting reports whether the client has ended its sending side and its answer is still
// owed.
func (c *conn) halfClosedWaiting() bool {
	return c.halfClosed.Load() && c.state.Phase() == lifecycle.Answering
}

// closeGivenUp closes such a connection and withdraws its message once its client certainly no
// longer waits. The time for which the request may have waited unread is not counted, because it is
// only an upper bound.
func (c *conn) closeGivenUp() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending != nil && time.Duration(front.Now()-c.lastActive.Load()) > c.front.opt.ClientTimeout {
		c.withdraw()
		c.close(lifecycle.CloseClient)
	}
}

// withdraw tells the core that nobody waits for the answer to the pending request any more. The
// caller holds mu.
func (c *conn) withdraw() {
	if x := c.pending; x != nil {
		c.pending = nil
		c.front.opt.Core.Abandon(x.id, x)
	}
}

// Data processes the bytes read from the socket.
func (c *conn) Data(b []byte) {
	c.receive(b)
	c.front.partial.Shed()
}

// receive does the work of Data for this connection.
func (c *conn) receive(b []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.recordPartial()
	if c.sendingEnded {
		if c.discarded += len(b); c.discarded > maxDiscarded {
			c.close(lifecycle.CloseFlood)
		}
		return
	}
	if c.state.Phase() == lifecycle.Answering { // the protocol allows one request at a time
		c.withdraw()
		c.reject(http.StatusBadRequest, "a request before the answer to the last one")
		return
	}
	now := front.Now()
	if c.state.Begin() && c.answeredOnce.Load() {
		c.requestBegun.Store(now)
	}
	c.lastActive.Store(now)
	rest, err := c.req.Feed(b, &c.req)
	switch {
	case errors.Is(err, http1.ErrTooLong):
		c.reject(http.StatusRequestEntityTooLarge, "%v", err)
	case err != nil:
		c.reject(http.StatusBadRequest, "%v", err)
	case !c.req.Done():
		if c.req.ExpectContinue && c.req.InContent() {
			c.req.ExpectContinue = false
			_, _ = c.socket.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
		}
	case len(rest) > 0:
		c.reject(http.StatusBadRequest, "a request before the answer to the last one")
	default:
		c.readDelay = c.measureReadDelay()
		c.state.RequestRead(c.name, c.clientDeadline(time.Duration(now)))
		c.serve()
	}
}

// recordPartial records what a request that has not arrived completely holds. The caller holds mu.
func (c *conn) recordPartial() {
	held := 0
	if c.state.Phase() == lifecycle.Reading && !c.sendingEnded {
		held = c.req.HeldBytes()
	}
	c.partial.Set(held)
}

// giveUpPartial refuses a request that has not arrived completely, since such requests hold too much memory. It
// reports false if the request is complete by now.
func (c *conn) giveUpPartial() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state.Phase() != lifecycle.Reading || c.sendingEnded {
		return false
	}
	c.reject(http.StatusServiceUnavailable, "incomplete requests hold too much memory")
	return true
}

// serve answers a complete request. The caller holds mu.
func (c *conn) serve() {
	f, r := c.front, &c.req
	switch {
	case r.Path == "/up" && r.Method == http.MethodGet:
		if f.opt.Ready() && !f.draining.Load() {
			c.writeResponse(http.StatusOK, "", "ready\n")
		} else {
			c.writeResponse(http.StatusServiceUnavailable, "", "not ready\n")
		}
	case r.Path != "/api":
		c.writeError(http.StatusNotFound, "no such resource")
	case r.Method != http.MethodPost:
		c.writeError(http.StatusMethodNotAllowed, "POST a message here")
	case !f.opt.Ready():
		c.writeError(http.StatusServiceUnavailable, "not ready")
	case f.finished.Load(): // covers requests completed after StopHandIns visited this connection, and before
		c.writeError(http.StatusServiceUnavailable, "the relay ends")
	case c.clientGaveUp(): // and may hand its message in again
		c.writeError(http.StatusServiceUnavailable, "read too late")
	default:
		m, err := c.parseHandIn()
		if err != nil {
			c.writeError(http.StatusBadRequest, "%v", err)
			return
		}
		if !f.opt.KnownDestination(m.Partner) {
			c.writeError(http.StatusServiceUnavailable, "dest: %d has no host", m.Partner)
			return
		}
		if !f.opt.Notices.Room() {
			c.writeError(http.StatusServiceUnavailable, "notices are owed, and not taken")
			return
		}
		c.state.SetID(m.Identity)
		f.opt.Trace.Step(m.Identity, "read", c.name)
		x := &handIn{conn: c, id: m.Identity}
		m.Reply = x
		c.pending = x
		if err := f.opt.Core.Submit(m); err != nil {
			c.pending = nil
			c.writeError(http.StatusServiceUnavailable, "%v", err)
			return
		}
		c.req = http1.Request{KeepAlive: c.req.KeepAlive} // the core has what it needs of the rest
	}
}

func (c *conn) writeError(status int, format string, args ...any) {
	c.front.counts.Rejected.Add(1)
	c.writeResponse(status, "", fmt.Sprintf(format, args...)+"\n")
}

// reject answers input that is not a valid request and ends the connection. A request pending on
// the connection gets no other answer. The caller holds mu.
func (c *conn) reject(status int, format string, args ...any) {
	c.req.KeepAlive, c.invalid = false, true
	c.writeError(status, format, args...)
}

// writeResponse sends a response and prepares the connection for the next request. The caller holds
// mu.
func (c *conn) writeResponse(status int, field, body string) {
	if c.sendingEnded || !c.state.MayAnswer(c.front.opt.Guard, time.Duration(front.Now())) {
		return
	}
	keep := c.req.KeepAlive && !c.front.draining.Load()
	b := make([]byte, 0, 160+len(body))
	b = append(strconv.AppendInt(append(b, "HTTP/1.1 "...), int64(status), 10), ' ')
	b = append(append(b, http.StatusText(status)...), "\r\n"...)
	b = append(b, field...)
	b = strconv.AppendInt(append(b, "Content-Length: "...), int64(len(body)), 10)
	if !keep {
		b = append(b, "\r\nConnection: close"...)
	}
	b = append(append(b, "\r\n\r\n"...), body...)
	_, err := c.socket.Write(b)
	c.front.opt.Trace.Step(c.state.ID(), "response", strconv.Itoa(status))
	switch {
	case err != nil: // the engine has closed the connection
		c.sendingEnded = true
		c.recordClose(lifecycle.CloseError)
		c.front.opt.Trace.Step(c.name, "error", err.Error())
		return
	case !keep:
		why := lifecycle.CloseAnswer
		if c.invalid {
			why = lifecycle.CloseBadData
		} else if c.front.draining.Load() {
			why = lifecycle.CloseDrain
		}
		c.endSending(why)
		return
	}
	c.req.Reset(http1.Limits{Header: c.front.opt.HeaderBytes, Body: c.front.opt.BodyBytes})
	c.req.Body = nil
	c.answeredOnce.Store(true)
	c.lastActive.Store(front.Now())
}
