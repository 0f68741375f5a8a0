package lifecycle

import (
	"slices"
	"time"
)

// PeerPhase is the state of a connection to a peer.
type PeerPhase int

// The phases of a connection to a peer.
const (
	PeerNew            PeerPhase = iota // no call has been sent
	PeerInUse                           // a call is in progress
	PeerIdle                            // idle between two calls
	PeerDesynchronized                  // unsolicited bytes arrived; answers and calls can't be matched any more
	PeerClosed
)

var peerPhaseNames = [...]string{"new", "in use", "resting", "doubted", "closed"}

func (p PeerPhase) String() string { return peerPhaseNames[p] }

// PeerConn is the state of one connection to a peer that answers calls in the order of sending and
// does not name the call in its answer. Only the answer to the first call on a connection certainly
// belongs to that call: any later answer may be a duplicate of the one before it. The owner guards
// a PeerConn with one lock. All times are readings of one monotonic clock.
type PeerConn struct {
	phase                PeerPhase
	calls                int                 // number of calls so far
	sentAt               time.Duration       // start of the latest call
	answeredAt           time.Duration       // arrival of the latest answer
	confirmedAt          time.Duration       // when actions that wait for the latest answer's confirmation go on
	waitsForConfirmation bool                // no call is carried before the latest answer is confirmed
	settledAt            time.Duration       // when the latest answer can no longer turn out to belong to another call
	answers              []unconfirmedAnswer // answers since the connection was last certainly synchronized
}

// unconfirmedAnswer is an answer that may turn out to belong to another call.
type unconfirmedAnswer struct {
	answeredAt time.Duration
	settledAt  time.Duration // confirmed if nothing arrives by then, or the peer never answers the call
	served     bool
	retract    func()
}

const (
	// maxUnconfirmed bounds the unconfirmed answers remembered for one connection.
	maxUnconfirmed = 16
	// RetractionWindow is how long an answer may turn out to belong to another call.
	RetractionWindow = 5 * time.Second
	// maxConfirmation bounds how long any action waits for an answer to be confirmed.
	maxConfirmation = 250 * time.Millisecond
)

// Carry states whether a connection may carry a call.
type Carry int

// The decisions about a call on a connection.
const (
	CarryNow Carry = iota
	CarryLater
	CarryNever
)

// PeerRule is what the relay's trust in a peer allows on its connections.
type PeerRule struct {
	SingleUse bool          // a connection carries a single call
	MinIdle   time.Duration // minimum idle time between two calls on a connection
}

// Phase returns the current phase of the connection, Calls the number of calls on it so far.
func (p *PeerConn) Phase() PeerPhase { return p.phase }
func (p *PeerConn) Calls() int       { return p.calls }

// MayCarry reports whether a call may be sent on the connection now.
func (p *PeerConn) MayCarry(now time.Duration, rule PeerRule) Carry {
	switch {
	case p.phase == PeerNew:
		return CarryNow
	case p.phase != PeerIdle || rule.SingleUse:
		return CarryNever
	case now < p.ReusableAt(rule):
		return CarryLater
	}
	return CarryNow
}

// ReusableAt returns when an idle connection may carry a call again.
func (p *PeerConn) ReusableAt(rule PeerRule) time.Duration {
	until := p.answeredAt + rule.MinIdle
	if p.waitsForConfirmation {
		until = max(until, p.confirmedAt)
	}
	return until
}

// Confirmed reports that nothing waits for an answer on the connection to be confirmed.
func (p *PeerConn) Confirmed(now time.Duration) bool {
	return p.phase == PeerNew || now >= p.confirmedAt
}

// UnsettledFor returns how much longer an idle connection should stay open because an answer on it
// may turn out to belong to another call. It is at most maxConfirmation after the answer.
func (p *PeerConn) UnsettledFor(now time.Duration) time.Duration {
	if p.phase != PeerIdle {
		return 0
	}
	return max(0, min(p.settledAt, p.answeredAt+maxConfirmation)-now)
}

// Begin records the start of a call and returns how long the connection had been idle.
func (p *PeerConn) Begin(now time.Duration) (rested time.Duration) {
	if p.calls > 0 {
		rested = now - p.answeredAt
	}
	p.phase, p.sentAt = PeerInUse, now
	p.calls++
	return rested
}

// Attribution states how certainly an answer belongs to the call in progress.
type Attribution int

// The degrees of certainty.
const (
	Certain   Attribution = iota // the answer belongs to the call in progress
	Likely                       // probably, but the answer may yet turn out to belong to another call
	Doubtful                     // the answer may belong to another call, so the call may have taken effect
	Unmatched                    // the answer does not belong to the call
)

// PeerAnswer holds what is known about an answer on its arrival.
type PeerAnswer struct {
	Written       bool // the call's last byte was written before the answer arrived
	NamesCall     bool // the answer names the messages of the call
	NamesOther    bool // the answer names messages of another call
	TrailingBytes bool // further bytes arrived behind the answer
	Distrusted    bool // the peer is known for unsolicited bytes
}

// Attribute decides how certainly an answer belongs to the call in progress.
func (p *PeerConn) Attribute(a PeerAnswer) Attribution {
	switch {
	case p.calls > 1 && (!a.Written || a.NamesOther):
		return Unmatched
	case p.calls <= 1 || a.NamesCall:
		return Certain
	case a.TrailingBytes || a.Distrusted:
		return Doubtful
	}
	return Likely
}

// Answered records the answer to the call in progress. A likely answer is confirmed if no
// unsolicited bytes arrive until the peer would have answered, at the latest expected after the call
// was sent; retract is called if such bytes arrive before. An answer that doesn't say that the call
// was served keeps the connection from carrying calls until the answer is confirmed, which takes a
// bounded time. Answered returns how long actions based on the answer should wait, and how long the
// answer may turn out to belong to another call.
func (p *PeerConn) Answered(now, expected time.Duration, belief Attribution, served bool, retract func()) (
	wait, unsettled time.Duration) {
	p.phase, p.answeredAt, p.confirmedAt, p.settledAt, p.waitsForConfirmation = PeerIdle, now, now, now, false
	switch belief {
	case Certain: // earlier answers on the connection are certain as well
		p.answers = nil
		return 0, 0
	case Doubtful, Unmatched:
		return 0, 0
	case Likely: // the peer has answered, so it isn't still processing an earlier call
		p.answers = slices.DeleteFunc(p.answers, func(a unconfirmedAnswer) bool { return a.settledAt <= p.sentAt })
	}
	p.settledAt = max(now, p.sentAt+min(expected, RetractionWindow))
	p.confirmedAt = max(now, p.sentAt+min(expected, maxConfirmation))
	p.waitsForConfirmation = !served
	if retract != nil {
		if len(p.answers) == maxUnconfirmed {
			p.answers = append(p.answers[:0], p.answers[1:]...)
		}
		p.answers = append(p.answers, unconfirmedAnswer{now, p.settledAt, served, retract})
	}
	return p.confirmedAt - now, p.settledAt - now
}

// ReceivedUnsolicited records unsolicited bytes. It returns the callbacks of all answers since the
// connection was last certainly synchronized that may have belonged to other calls, and how long
// after the latest answer the bytes arrived. The connection carries no further call.
func (p *PeerConn) ReceivedUnsolicited(now time.Duration) (retractions []func(), delay time.Duration) {
	retractions = p.Retract(now)
	p.phase = PeerDesynchronized
	return retractions, now - p.answeredAt
}

// Retract returns the callbacks of the answers that may have belonged to other calls, after the
// peer sent unsolicited bytes on this or another connection. For an answer that said the call was
// served, the absence of bytes since then proves nothing: the peer may never answer the call
// itself.
func (p *PeerConn) Retract(now time.Duration) []func() {
	return p.take(func(a unconfirmedAnswer) bool {
		return now < a.settledAt || a.served && now-a.answeredAt <= RetractionWindow
	})
}

// RetractOnPeerClose returns the callbacks to run when the peer closes the connection: it may still
// have been processing a call that a duplicate answer had ended. Only answers that said the call
// was served are returned, since such a message would be lost. A refusal is not retracted.
func (p *PeerConn) RetractOnPeerClose(now time.Duration) []func() {
	return p.take(func(a unconfirmedAnswer) bool { return now < a.settledAt && a.served })
}

// TakeServed returns, for a connection that ends, the callbacks to run if the peer becomes
// distrusted later.
func (p *PeerConn) TakeServed() []func() {
	return p.take(func(a unconfirmedAnswer) bool { return a.served })
}

// take removes all unconfirmed answers and returns the callbacks of those that match.
func (p *PeerConn) take(matches func(unconfirmedAnswer) bool) (retractions []func()) {
	for _, a := range p.answers {
		if matches(a) {
			retractions = append(retractions, a.retract)
		}
	}
	p.answers = nil
	return retractions
}

// Closed records the end of the connection.
func (p *PeerConn) Closed() { p.phase = PeerClosed }
