package lifecycle

import (
	"slices"
	"time"
)

// PeerPhase is the state of a connection to a peer.
type PeerPhase int

// The phases of a connection to a peer.
const (
	PeerNew     PeerPhase = iota // no call has been sent
	PeerInUse                    // a call is in progress
	PeerResting                  // idle between two calls
	PeerDoubted                  // unsolicited bytes arrived; answers and calls can't be matched any more
	PeerClosed
)

var peerPhaseNames = [...]string{"new", "in use", "resting", "doubted", "closed"}

func (p PeerPhase) String() string { return peerPhaseNames[p] }

// PeerConn is the state of one connection to a peer that answers calls in the order of sending and
// does not name the call in its answer. Only the answer to the first call on a connection certainly
// belongs to that call: any later answer may be a duplicate of the one before it. The owner guards
// a PeerConn with one lock. All times are readings of one monotonic clock.
type PeerConn struct {
	phase     PeerPhase
	turn      int           // number of calls so far
	sent      time.Duration // start of the latest call
	ended     time.Duration // arrival of the latest answer
	confirmed time.Duration // when actions that wait for the latest answer's confirmation go on
	aside     bool          // no call is carried before the latest answer is confirmed
	settled   time.Duration // when the latest answer can no longer turn out to belong to another call
	answers   []unconfirmed // answers since the connection was last certainly synchronized
}

// unconfirmedAnswer is an answer that may turn out to belong to another call.
type unconfirmed struct {
	at      time.Duration
	settled time.Duration // confirmed if nothing arrives by then, or the peer never answers the call
	served  bool
	doubted func()
}

const (
	// maxUnconfirmed bounds the unconfirmed answers remembered for one connection.
	mostUnconfirmed = 16
	// LongestDoubt is how long an answer may turn out to belong to another call.
	LongestDoubt = 5 * time.Second
	// maxConfirmation bounds how long any action waits for an answer to be confirmed.
	longestConfirmation = 250 * time.Millisecond
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
	FirstOnly bool          // a connection carries a single call
	Rest      time.Duration // minimum idle time between two calls on a connection
}

// Phase returns the current phase of the connection, Turn the number of calls on it so far.
func (p *PeerConn) Phase() PeerPhase { return p.phase }
func (p *PeerConn) Turn() int        { return p.turn }

// MayCarry reports whether a call may be sent on the connection now.
func (p *PeerConn) MayCarry(now time.Duration, rule PeerRule) Carry {
	switch {
	case p.phase == PeerNew:
		return CarryNow
	case p.phase != PeerResting || rule.FirstOnly:
		return CarryNever
	case now < p.RestsUntil(rule):
		return CarryLater
	}
	return CarryNow
}

// RestsUntil returns when an idle connection may carry a call again.
func (p *PeerConn) RestsUntil(rule PeerRule) time.Duration {
	until := p.ended + rule.Rest
	if p.aside {
		until = max(until, p.confirmed)
	}
	return until
}

// Confirmed reports that nothing waits for an answer on the connection to be confirmed.
func (p *PeerConn) Confirmed(now time.Duration) bool { return p.phase == PeerNew || now >= p.confirmed }

// Unsettled returns how much longer an idle connection should stay open because an answer on it may
// turn out to belong to another call. It is at most longestConfirmation after the answer.
func (p *PeerConn) Unsettled(now time.Duration) time.Duration {
	if p.phase != PeerResting {
		return 0
	}
	return max(0, min(p.settled, p.ended+longestConfirmation)-now)
}

// Begin records the start of a call and returns how long the connection had been idle.
func (p *PeerConn) Begin(now time.Duration) (rested time.Duration) {
	if p.turn > 0 {
		rested = now - p.ended
	}
	p.phase, p.sent = PeerInUse, now
	p.turn++
	return rested
}

// Belief states how certainly an answer belongs to the call in progress.
type Belief int

// The degrees of certainty.
const (
	Own      Belief = iota // the answer belongs to the call in progress
	Likely                 // nothing speaks against it, but the answer may yet turn out to belong to another call
	Doubtful               // the answer may belong to another call, so the call may have taken effect
	Nobodys                // the answer does not belong to the call
)

// PeerAnswer holds what is known about an answer on its arrival.
type PeerAnswer struct {
	Written   bool // the call's last byte was written before the answer arrived
	Names     bool // the answer names the messages of the call
	Foreign   bool // the answer names messages of another call
	Followed  bool // further bytes arrived behind the answer
	FirstOnly bool // the peer is known for unsolicited bytes
}

// Believe decides how certainly an answer belongs to the call in progress.
func (p *PeerConn) Believe(a PeerAnswer) Belief {
	switch {
	case p.turn > 1 && (!a.Written || a.Foreign):
		return Nobodys
	case p.turn <= 1 || a.Names:
		return Own
	case a.Followed || a.FirstOnly:
		return Doubtful
	}
	return Likely
}

// Answered records the answer to the call in progress. A likely answer is confirmed if no
// unsolicited bytes arrive until the peer would have answered, at the latest usual after the call
// was sent; doubted is called if such bytes arrive before. An answer that doesn't say that the call
// was served keeps the connection from carrying calls until the answer is confirmed, which takes a
// bounded time. Answered returns how long actions based on the answer should wait, and how long the
// answer may turn out to belong to another call.
func (p *PeerConn) Answered(now, usual time.Duration, belief Belief, served bool, doubted func()) (wait, unsettled time.Duration) {
	p.phase, p.ended, p.confirmed, p.settled, p.aside = PeerResting, now, now, now, false
	switch belief {
	case Own: // earlier answers on the connection are certain as well
		p.answers = nil
		return 0, 0
	case Doubtful, Nobodys:
		return 0, 0
	case Likely: // the peer has answered, so it isn't still processing an earlier call
		p.answers = slices.DeleteFunc(p.answers, func(a unconfirmed) bool { return a.settled <= p.sent })
	}
	p.settled = max(now, p.sent+min(usual, LongestDoubt))
	p.confirmed = max(now, p.sent+min(usual, longestConfirmation))
	p.aside = !served
	if doubted != nil {
		if len(p.answers) == mostUnconfirmed {
			p.answers = append(p.answers[:0], p.answers[1:]...)
		}
		p.answers = append(p.answers, unconfirmed{now, p.settled, served, doubted})
	}
	return p.confirmed - now, p.settled - now
}

// Strayed records unsolicited bytes. It returns the callbacks of all answers since the connection
// was last certainly synchronized that may have belonged to other calls, and how long after the
// latest answer the bytes arrived. The connection carries no further call.
func (p *PeerConn) Strayed(now time.Duration) (doubted []func(), late time.Duration) {
	doubted = p.Retract(now)
	p.phase = PeerDoubted
	return doubted, now - p.ended
}

// Retract returns the callbacks of the answers that may have belonged to other calls, after the
// peer sent unsolicited bytes on this or another connection. For an answer that said the call was
// served, the absence of bytes since then proves nothing: the peer may never answer the call
// itself.
func (p *PeerConn) Retract(now time.Duration) []func() {
	return p.pick(func(a unconfirmed) bool { return now < a.settled || a.served && now-a.at <= LongestDoubt })
}

// Broke returns the callbacks to run when the peer closes the connection: it may still have been
// processing a call that a duplicate answer had ended. Only answers that said the call was served
// are returned, since such a message would be lost. A refusal is not retracted.
func (p *PeerConn) Broke(now time.Duration) []func() {
	return p.pick(func(a unconfirmed) bool { return now < a.settled && a.served })
}

// Left returns, for a connection that ends, the callbacks to run if the peer becomes distrusted
// later.
func (p *PeerConn) Left() []func() {
	return p.pick(func(a unconfirmed) bool { return a.served })
}

// take removes all unconfirmed answers and returns the callbacks of those that match.
func (p *PeerConn) pick(test func(unconfirmed) bool) (doubted []func()) {
	for _, a := range p.answers {
		if test(a) {
			doubted = append(doubted, a.doubted)
		}
	}
	p.answers = nil
	return doubted
}

// Closed records the end of the connection.
func (p *PeerConn) Closed() { p.phase = PeerClosed }
