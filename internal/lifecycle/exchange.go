package lifecycle

import (
	"sync/atomic"
	"time"
)

// Phase is what a client's connection does.
type Phase int32

// The phases of a connection.
const (
	Idle      Phase = iota // between two requests, or before the first
	Reading                // a request has begun
	Answering              // a request was read whole; its response is owed
	Closing                // the relay has ended its side; what comes is dropped
	Closed
)

var phaseNames = [...]string{"idle", "reading", "answering", "closing", "closed"}

func (p Phase) String() string { return phaseNames[p] }

// Exchange is the state of a connection with one request at a time. Phase may be read from
// any goroutine; the rest is its owner's, under one lock.
type Exchange struct {
	phase atomic.Int32
	id    string        // of the request that is being answered, or of the connection
	by    time.Duration // its client waits so long; 0 for no such time
}

// Phase is what the connection does now.
func (e *Exchange) Phase() Phase { return Phase(e.phase.Load()) }

// Begin takes in the first byte of a request, and reports whether it is one.
func (e *Exchange) Begin() bool {
	return e.phase.CompareAndSwap(int32(Idle), int32(Reading))
}

// Whole takes in the last byte of a request: from now on a response is owed, which its client
// waits for until the time given, 0 for no such time.
func (e *Exchange) Whole(id string, by time.Duration) {
	e.id, e.by = id, by
	e.phase.Store(int32(Answering))
}

// Name gives the request that is being answered the id by which it is told.
func (e *Exchange) Name(id string) { e.id = id }

// ID is that of the request, or of the connection.
func (e *Exchange) ID() string { return e.id }

// MayAnswer decides whether a response may be written now: to a request that was read, or to
// what is no request and will not become one. The connection rests after it. One that leaves
// after its client's time is counted, and leaves all the same.
func (e *Exchange) MayAnswer(g *Guard, now time.Duration) bool {
	switch p := e.Phase(); p {
	case Reading, Answering:
		if p == Answering && e.by > 0 && now > e.by {
			g.count(AnswerLate, e.id, "its client's time is over")
		}
		e.phase.Store(int32(Idle))
		return true
	case Idle:
		return g.forbid(AnswerUnasked, e.id, p.String())
	default:
		return g.forbid(AnswerTwice, e.id, p.String())
	}
}

// MayClose decides whether the relay may end its side now. A request that was read is owed
// its response first.
func (e *Exchange) MayClose(g *Guard) bool {
	if e.Phase() == Answering {
		return g.forbid(CloseUnanswered, e.id, Answering.String())
	}
	e.phase.CompareAndSwap(int32(Idle), int32(Closing))
	e.phase.CompareAndSwap(int32(Reading), int32(Closing))
	return true
}

// Gone takes in that the connection has ended, by the client's side or for good.
func (e *Exchange) Gone() { e.phase.Store(int32(Closed)) }
