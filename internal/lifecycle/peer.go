package lifecycle

import (
	"slices"
	"time"
)

// PeerPhase is what a connection to a peer does.
type PeerPhase int

// The phases of a connection to a peer.
const (
	PeerNew     PeerPhase = iota // no call has gone out on it
	PeerInUse                    // a call is out
	PeerResting                  // between two calls
	PeerDoubted                  // bytes came that no call had asked for
	PeerClosed
)

var peerPhaseNames = [...]string{"new", "in use", "resting", "doubted", "closed"}

func (p PeerPhase) String() string { return peerPhaseNames[p] }

// PeerConn is the state of one connection to a peer that answers calls in their order and
// names none of them. Only the answer to the first call on it is that call's own by
// construction: any later one may be a second copy of an answer before it. Its owner holds
// one lock over it. Times are by one clock, which nobody sets.
type PeerConn struct {
	phase     PeerPhase
	turn      int           // calls so far
	sent      time.Duration // the last call went out
	ended     time.Duration // its answer came
	confirmed time.Duration // what waits for that answer to be its own goes on then
	aside     bool          // the connection carries no call before it is confirmed
	settled   time.Duration // of the last answer
	answers   []unconfirmed // since the connection was in step for sure
}

// unconfirmed is an answer that may turn out to be another's.
type unconfirmed struct {
	at      time.Duration
	settled time.Duration // it is its call's own if nothing has come by then, or if the peer is silent
	served  bool
	doubted func()
}

const (
	// mostUnconfirmed answers of one connection are remembered.
	mostUnconfirmed = 16
	// LongestDoubt is how long an answer may turn out to be another's.
	LongestDoubt = 5 * time.Second
	// longestConfirmation bounds how long anything waits for an answer to be confirmed.
	longestConfirmation = 250 * time.Millisecond
)

// Carry is whether a connection may carry a call.
type Carry int

// The decisions on a call and a connection.
const (
	CarryNow Carry = iota
	CarryLater
	CarryNever
)

// PeerRule is what the conduct of a peer allows on its connections.
type PeerRule struct {
	FirstOnly bool          // a connection carries one call
	Rest      time.Duration // a connection rests so long before it carries a further one
}

// Phase is what the connection does now, Turn the number of its last call, from 1.
func (p *PeerConn) Phase() PeerPhase { return p.phase }
func (p *PeerConn) Turn() int        { return p.turn }

// MayCarry decides whether a call may go out on the connection now.
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

// RestsUntil is when a resting connection may carry a call again.
func (p *PeerConn) RestsUntil(rule PeerRule) time.Duration {
	until := p.ended + rule.Rest
	if p.aside {
		until = max(until, p.confirmed)
	}
	return until
}

// Confirmed tells whether nothing waits for an answer on the connection to be confirmed.
func (p *PeerConn) Confirmed(now time.Duration) bool { return p.phase == PeerNew || now >= p.confirmed }

// Unsettled is how long a resting connection should be kept from its end, because an answer on it may
// turn out to be another's; bounded.
func (p *PeerConn) Unsettled(now time.Duration) time.Duration {
	if p.phase != PeerResting {
		return 0
	}
	return max(0, min(p.settled, p.ended+longestConfirmation)-now)
}

// Begin takes in that a call goes out, and returns how long the connection had rested.
func (p *PeerConn) Begin(now time.Duration) (rested time.Duration) {
	if p.turn > 0 {
		rested = now - p.ended
	}
	p.phase, p.sent = PeerInUse, now
	p.turn++
	return rested
}

// Belief is how far an answer is believed.
type Belief int

// The beliefs.
const (
	Own      Belief = iota // it answers the call that is out
	Likely                 // it does as far as is known; it may yet turn out to be another's
	Doubtful               // it may be another's: the call may have run
	Nobodys                // it doesn't
)

// PeerAnswer is what is known of an answer when it has come.
type PeerAnswer struct {
	Written   bool // the call's last byte had been written by then
	Names     bool // it names the messages of the call
	Foreign   bool // it names others
	Followed  bool // further bytes came with it
	FirstOnly bool // the peer is known to send what nobody asked for
}

// Believe decides how far an answer is believed of the call that is out.
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

// Answered takes in that the call that is out was answered. A likely answer is confirmed by
// silence until the peer would have answered, usual after the sending at the latest; doubted
// is called if bytes come before that which nobody asked for. What does not say that the call
// was served sets the connection aside, for a bounded time. It returns how long what rests on
// the answer should wait, and how long it may turn out to be another's.
func (p *PeerConn) Answered(now, usual time.Duration, belief Belief, served bool, doubted func()) (wait, unsettled time.Duration) {
	p.phase, p.ended, p.confirmed, p.settled, p.aside = PeerResting, now, now, now, false
	switch belief {
	case Own: // and so were those before it
		p.answers = nil
		return 0, 0
	case Doubtful, Nobodys:
		return 0, 0
	case Likely: // the peer answers: it isn't at work on a call from before the silence
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

// Strayed takes in bytes that no call asked for, and returns what has to be told that the
// answers since the connection was in step may have been others', and how long after the last
// answer the bytes came. The connection carries no further call.
func (p *PeerConn) Strayed(now time.Duration) (doubted []func(), late time.Duration) {
	doubted = p.Retract(now)
	p.phase = PeerDoubted
	return doubted, now - p.ended
}

// Retract returns what has to be told of the answers that may have been others': the peer sent what
// nobody asked for, here or elsewhere. Silence since then tells nothing of what was served: the peer
// may be silent on the call.
func (p *PeerConn) Retract(now time.Duration) []func() {
	return p.pick(func(a unconfirmed) bool { return now < a.settled || a.served && now-a.at <= LongestDoubt })
}

// Broke returns what has to be told where the peer ends the connection: it may have been at work on
// a call that a copy had ended. That is told of answers that said that the call was served, for such
// a message would be lost. What was refused stays refused.
func (p *PeerConn) Broke(now time.Duration) []func() {
	return p.pick(func(a unconfirmed) bool { return now < a.settled && a.served })
}

// Left returns what would have to be told if the peer is doubted later, of a connection that ends.
func (p *PeerConn) Left() []func() {
	return p.pick(func(a unconfirmed) bool { return a.served })
}

// pick takes the answers out, and returns those that a test picks.
func (p *PeerConn) pick(test func(unconfirmed) bool) (doubted []func()) {
	for _, a := range p.answers {
		if test(a) {
			doubted = append(doubted, a.doubted)
		}
	}
	p.answers = nil
	return doubted
}

// Closed takes in the connection's end.
func (p *PeerConn) Closed() { p.phase = PeerClosed }
