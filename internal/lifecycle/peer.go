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
// does not name the call in its answer. A peer may send an answer twice. The copy then looks like the
// answer to a later call, and each further answer on the connection may belong to the call before the
// one in progress, for as long as the peer works.
//
// An answer is proved to belong to its call if it is the first on its connection, if it names the
// messages of its call, or if all answers before it are proved and it differs from each of them, so
// that it can't be a copy. No span of time proves anything. The owner guards a PeerConn with one lock.
// All times are readings of one monotonic clock.
type PeerConn struct {
	phase      PeerPhase
	calls      int                 // number of calls so far
	sentAt     time.Duration       // start of the latest call
	answeredAt time.Duration       // arrival of the latest answer
	settledAt  time.Duration       // when the peer would have answered the latest call
	unproven   int                 // answers since the last one that was proved
	seen       []AnswerDigest      // different answers so far, but those that named their messages
	refused    bool                // one of them was no success
	succeeded  bool                // one of them was a success
	named      bool                // there was an answer that named its messages
	incomplete bool                // one of them is not known completely, or they are too many
	answers    []unconfirmedAnswer // unproven answers that said their call was served
}

// AnswerDigest identifies the bytes of a complete answer: equal answers have equal digests. 0 stands
// for an answer that is not known completely.
type AnswerDigest uint64

// unconfirmedAnswer is an answer that may turn out to belong to another call.
type unconfirmedAnswer struct {
	answeredAt time.Duration
	settledAt  time.Duration // when the peer would have answered the call
	retract    func()
}

const (
	// maxUnproven is the number of unproven answers after which a connection is not used again. It
	// bounds how many answers a single copy can shift, and how many are remembered.
	maxUnproven = 64
	// maxSeen bounds the different answers remembered to recognize copies.
	maxSeen = 8
	// RetractionWindow is how long an answer is remembered to be retracted.
	RetractionWindow = 5 * time.Second
	// maxSettleTime bounds how long a connection that is not needed any more stays open because bytes
	// may follow its last answer.
	maxSettleTime = 250 * time.Millisecond
)

// Carry states whether a connection may carry a call.
type Carry int

// The decisions about a call on a connection.
const (
	CarryNow Carry = iota
	CarryLater
	CarryNever
)

// PeerRule is what a call requires of its connection, and what the relay's trust in the peer allows.
type PeerRule struct {
	SingleUse bool          // a connection carries a single call
	MinIdle   time.Duration // minimum idle time between two calls on a connection
	// ProvableRefusal states that a refusal of the call must be proved to be its own, ProvableDelivery that
	// its delivery must be.
	ProvableRefusal  bool
	ProvableDelivery bool
}

// Phase returns the current phase of the connection, Calls the number of calls on it so far.
func (p *PeerConn) Phase() PeerPhase { return p.phase }
func (p *PeerConn) Calls() int       { return p.calls }

// MayCarry reports whether a call may be sent on the connection now.
func (p *PeerConn) MayCarry(now time.Duration, rule PeerRule) Carry {
	switch {
	case p.phase == PeerNew:
		return CarryNow
	case p.phase != PeerIdle || rule.SingleUse || p.UsedUp():
		return CarryNever
	case p.LacksProof(rule):
		return CarryNever
	case now < p.ReusableAt(rule):
		return CarryLater
	}
	return CarryNow
}

// UsedUp reports whether the connection carries no further call because of the answers on it.
func (p *PeerConn) UsedUp() bool { return p.unproven >= maxUnproven }

// ReusableAt returns when an idle connection may carry a call again.
func (p *PeerConn) ReusableAt(rule PeerRule) time.Duration { return p.answeredAt + rule.MinIdle }

// LacksProof reports whether an answer to the next call would not be proved as the rule requires.
func (p *PeerConn) LacksProof(rule PeerRule) bool {
	return rule.ProvableRefusal && !p.provesRefusal() || rule.ProvableDelivery && !p.provesDelivery()
}

// provesRefusal reports whether a refusal of the next call would be proved to be its own: there was
// no answer yet, or all were proved and none was a refusal.
func (p *PeerConn) provesRefusal() bool {
	return p.calls == 0 || p.unproven == 0 && !p.incomplete && !p.refused
}

// provesDelivery reports whether a delivery of the next call would be proved to be its own: there was no
// answer yet, or all were proved and none was a delivery.
func (p *PeerConn) provesDelivery() bool {
	return p.calls == 0 || p.unproven == 0 && !p.incomplete && !p.succeeded
}

// Proofs returns how many kinds of answers to the next call would be proved to be its own: refusals,
// deliveries, both or none.
func (p *PeerConn) Proofs() int {
	proofs := 0
	if p.provesRefusal() {
		proofs++
	}
	if p.provesDelivery() {
		proofs++
	}
	return proofs
}

// provesOwn reports whether an answer to a later call can't be a copy of an earlier one, nor belong to
// an earlier call. Where no earlier answer was a success, the first line of one shows that.
func (p *PeerConn) provesOwn(a PeerAnswer) bool {
	firstSuccess := a.Success && !p.succeeded && !p.named
	differs := firstSuccess || a.Digest != 0 && !slices.Contains(p.seen, a.Digest)
	return p.unproven == 0 && !p.incomplete && differs
}

// UnsettledFor returns how much longer an idle connection should stay open because bytes may follow
// its last answer. It is at most maxSettleTime after the answer.
func (p *PeerConn) UnsettledFor(now time.Duration) time.Duration {
	if p.phase != PeerIdle {
		return 0
	}
	return max(0, min(p.settledAt, p.answeredAt+maxSettleTime)-now)
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
	Certain   Attribution = iota // the answer is proved to belong to the call in progress
	Likely                       // the answer may belong to another call: nothing proves it
	Doubtful                     // the answer probably belongs to another call, so the call may have taken effect
	Unmatched                    // the answer does not belong to the call
)

// PeerAnswer holds what is known about an answer on its arrival.
type PeerAnswer struct {
	Written       bool         // the call's last byte was written before the answer arrived
	NamesCall     bool         // the answer names the messages of the call
	NamesOther    bool         // the answer names messages of another call
	TrailingBytes bool         // further bytes arrived behind the answer
	Distrusted    bool         // the peer is known for unsolicited bytes
	Success       bool         // the status says that the call was processed
	Digest        AnswerDigest // 0 if the answer is malformed or not complete
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
	case p.provesOwn(a):
		return Certain
	}
	return Likely
}

// ReceivedAnswer describes an answer that ended the call in progress.
type ReceivedAnswer struct {
	Attribution Attribution
	NamesCall   bool // the answer names the messages of the call, so that no other call takes it for its own
	Digest      AnswerDigest
	Success     bool          // the status says that the call was processed
	Served      bool          // the answer ended the call as served
	Expected    time.Duration // time after the sending in which the peer answers a call
	Retract     func()        // called if the answer proves to belong to another call; nil for none
}

// Answered records the answer to the call in progress. An unproven answer that said the call was
// served is remembered, to be retracted if unsolicited bytes show that it belonged to another call.
func (p *PeerConn) Answered(now time.Duration, a ReceivedAnswer) {
	p.phase, p.answeredAt, p.settledAt = PeerIdle, now, now
	if p.named = p.named || a.NamesCall; !a.NamesCall {
		p.remember(a.Digest)
		p.refused = p.refused || !a.Success
		p.succeeded = p.succeeded || a.Success
	}
	if a.Attribution == Certain { // earlier answers on the connection are certain as well
		p.unproven, p.answers = 0, nil
		return
	}
	p.unproven++
	if a.Attribution != Likely {
		return
	}
	// The peer has answered, so it isn't still processing an earlier call.
	p.answers = slices.DeleteFunc(p.answers, func(b unconfirmedAnswer) bool { return b.settledAt <= p.sentAt })
	p.settledAt = max(now, p.sentAt+min(a.Expected, RetractionWindow))
	if a.Served && a.Retract != nil && len(p.answers) < maxUnproven {
		p.answers = append(p.answers, unconfirmedAnswer{now, p.settledAt, a.Retract})
	}
}

// remember remembers an answer, so that a copy of it is recognized.
func (p *PeerConn) remember(digest AnswerDigest) {
	switch {
	case digest == 0 || len(p.seen) == maxSeen:
		p.incomplete = true
	case !slices.Contains(p.seen, digest):
		p.seen = append(p.seen, digest)
	}
}

// AnswerCompleted records the digest of the latest answer, once all of it has arrived after its first
// line ended the call.
func (p *PeerConn) AnswerCompleted(digest AnswerDigest) {
	p.incomplete = false
	p.remember(digest)
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
// peer sent unsolicited bytes on this or another connection.
func (p *PeerConn) Retract(now time.Duration) []func() {
	return p.take(func(a unconfirmedAnswer) bool { return now-a.answeredAt <= RetractionWindow })
}

// RetractOnPeerClose returns the callbacks to run when the peer closes the connection: it may still
// have been processing a call that a copy of another answer had ended.
func (p *PeerConn) RetractOnPeerClose(now time.Duration) []func() {
	return p.take(func(a unconfirmedAnswer) bool { return now < a.settledAt })
}

// TakeServed returns, for a connection that ends, the callbacks to run if the peer becomes
// distrusted later.
func (p *PeerConn) TakeServed() []func() {
	return p.take(func(unconfirmedAnswer) bool { return true })
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
