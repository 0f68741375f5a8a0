package lifecycle

import (
	"sync/atomic"
	"time"
)

// Phase is the state of a client's connection.
type Phase int32

// The phases of a client's connection.
const (
	Idle      Phase = iota // between two requests, or before the first one
	Reading                // first byte of a request received
	Answering              // complete request read, response not yet written
	Closing                // the relay has ended its sending side and discards what it receives
	Closed
)

var phaseNames = [...]string{"idle", "reading", "answering", "closing", "closed"}

func (p Phase) String() string { return phaseNames[p] }

// ClientConn is the state of a connection that carries one request at a time. Phase may be called
// from any goroutine; everything else is guarded by the owner's lock.
type ClientConn struct {
	phase    atomic.Int32
	id       string        // id of the request in progress, or of the connection
	deadline time.Duration // time until which the client waits for the response; 0 for no limit
}

// Phase returns the current phase of the connection.
func (e *ClientConn) Phase() Phase { return Phase(e.phase.Load()) }

// Begin records the first byte of a request and reports whether it was the first.
func (e *ClientConn) Begin() bool {
	return e.phase.CompareAndSwap(int32(Idle), int32(Reading))
}

// RequestRead records the last byte of a request. From now on the client is owed a response, for
// which it waits until deadline; 0 for no limit.
func (e *ClientConn) RequestRead(id string, deadline time.Duration) {
	e.id, e.deadline = id, deadline
	e.phase.Store(int32(Answering))
}

// SetID sets the id under which the request in progress is logged and traced.
func (e *ClientConn) SetID(id string) { e.id = id }

// ID returns the id of the request in progress, or of the connection.
func (e *ClientConn) ID() string { return e.id }

// MayAnswer reports whether a response may be written now: to a request that was read, or to input
// that is not a valid request. The connection is idle afterwards. A response after its client's
// deadline is counted as a violation but is still written.
func (e *ClientConn) MayAnswer(g *Guard, now time.Duration) bool {
	switch p := e.Phase(); p {
	case Reading, Answering:
		if p == Answering && e.deadline > 0 && now > e.deadline {
			g.count(AnswerLate, e.id, "its client's deadline has passed")
		}
		e.phase.Store(int32(Idle))
		return true
	case Idle:
		return g.forbid(AnswerUnasked, e.id, p.String())
	default:
		return g.forbid(AnswerTwice, e.id, p.String())
	}
}

// MayClose reports whether the relay may end its sending side now. A request that was read must be
// answered first.
func (e *ClientConn) MayClose(g *Guard) bool {
	if e.Phase() == Answering {
		return g.forbid(CloseUnanswered, e.id, Answering.String())
	}
	e.phase.CompareAndSwap(int32(Idle), int32(Closing))
	e.phase.CompareAndSwap(int32(Reading), int32(Closing))
	return true
}

// MarkClosed records that the connection has ended, by the client or by a close.
func (e *ClientConn) MarkClosed() { e.phase.Store(int32(Closed)) }
