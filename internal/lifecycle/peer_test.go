package lifecycle

import (
	"fmt"
	"testing"
	"time"
)

const ms = time.Millisecond

// Guards against attributing an answer to a call only because of its order on a reused connection.
func TestAnswerAttributionOnReusedConnections(t *testing.T) {
	const first, other = AnswerDigest(1), AnswerDigest(2)
	for _, c := range []struct {
		turn   int
		answer PeerAnswer
		want   Attribution
	}{
		{1, PeerAnswer{Written: true}, Certain},
		{1, PeerAnswer{}, Certain}, // no other call was sent on the connection
		{2, PeerAnswer{Written: true}, Likely},
		{2, PeerAnswer{Written: true, NamesCall: true}, Certain},
		{2, PeerAnswer{Written: true, NamesOther: true}, Unmatched},
		{2, PeerAnswer{}, Unmatched},
		{2, PeerAnswer{Written: true, TrailingBytes: true}, Doubtful},
		{2, PeerAnswer{Written: true, Distrusted: true}, Doubtful},
		{1, PeerAnswer{Written: true, Distrusted: true}, Certain},
		{2, PeerAnswer{Written: true, Digest: first}, Likely}, // may be a copy of the first answer
		{2, PeerAnswer{Written: true, Digest: other}, Certain},
		{2, PeerAnswer{Digest: other}, Unmatched},
		{2, PeerAnswer{Written: true, Digest: other, TrailingBytes: true}, Doubtful},
	} {
		p := PeerConn{}
		for range c.turn - 1 {
			p.Begin(0)
			p.Answered(0, ReceivedAnswer{Attribution: Certain, Digest: first, Success: true, Served: true})
		}
		p.Begin(0)
		if got := p.Attribute(c.answer); got != c.want {
			t.Errorf("call %d, %+v: %d, want %d", c.turn, c.answer, got, c.want)
		}
	}
}

// Guards against a refusal that counts as the call's own although an earlier answer on the connection
// may have been a copy: from then on each answer may belong to the call before.
func TestNoAnswerIsProvedBehindAnUnprovenOne(t *testing.T) {
	const ok, refused = AnswerDigest(1), AnswerDigest(2)
	once := PeerRule{ProvableRefusal: true}
	p := PeerConn{}
	answer := func(digest AnswerDigest, names bool, want Attribution, mayCarryNext Carry) {
		t.Helper()
		p.Begin(0)
		got := p.Attribute(PeerAnswer{Written: true, Digest: digest, NamesCall: names})
		if got != want {
			t.Errorf("call %d: attribution %d, want %d", p.Calls(), got, want)
		}
		p.Answered(0, ReceivedAnswer{Attribution: got, NamesCall: names, Digest: digest, Success: digest != refused,
			Served: digest == ok && !names})
		if may := p.MayCarry(time.Hour, once); may != mayCarryNext {
			t.Errorf("behind call %d: %d for a call that must not be repeated, want %d", p.Calls(), may, mayCarryNext)
		}
	}
	if p.MayCarry(0, once) != CarryNow {
		t.Error("a new connection does not carry a call that must not be repeated")
	}
	answer(ok, false, Certain, CarryNow)
	answer(ok, false, Likely, CarryNever)
	answer(refused, false, Likely, CarryNever) // belongs to the call before, if that answer was a copy
	answer(10, true, Certain, CarryNever)      // names its messages; a copy of the refusal may still come
	answer(refused, false, Likely, CarryNever)
	p = PeerConn{}
	answer(ok, false, Certain, CarryNow)
	answer(refused, false, Certain, CarryNever)
	answer(ok, false, Likely, CarryNever) // may be a late copy of the first
	p = PeerConn{}
	for i := range 3 * AnswerDigest(maxSeen) {
		answer(10+i, true, Certain, CarryNow)
	}
	for i := range AnswerDigest(maxSeen) {
		answer(100+i, false, Certain, CarryNow)
	}
	answer(200, false, Certain, CarryNever) // too many to remember
	answer(201, false, Likely, CarryNever)
	p = PeerConn{}
	firstLine := PeerAnswer{Written: true, Success: true}
	answer(refused, false, Certain, CarryNever)
	p.Begin(0)
	if p.Attribute(firstLine) != Certain {
		t.Error("a first line of success is not proved behind refusals alone")
	}
	for _, names := range []bool{false, true} {
		p = PeerConn{}
		answer(ok, names, Certain, CarryNow)
		p.Begin(0)
		if p.Attribute(firstLine) != Likely {
			t.Errorf("names its messages %v: a first line of success is proved behind another one", names)
		}
	}
	p = PeerConn{}
	p.Begin(0)
	p.Answered(0, ReceivedAnswer{Attribution: Certain, Success: true, Served: true}) // ended at its first line
	if p.MayCarry(0, once) != CarryNever || p.Attribute(PeerAnswer{Written: true, Digest: ok}) != Certain {
		t.Error("a call that must not be repeated goes out before the answer to the first one is complete")
	}
	p.Begin(0)
	if p.Attribute(PeerAnswer{Written: true, Digest: ok}) != Likely {
		t.Error("an answer is proved although the one before it is not known completely")
	}
	if p.AnswerCompleted(refused); p.Attribute(PeerAnswer{Written: true, Digest: ok}) != Certain {
		t.Error("an answer is not proved although it differs from the one before, known completely by now")
	}
}

// Guards against one copy that shifts the answers of a busy connection without end.
func TestConnectionIsNotUsedBehindManyUnprovenAnswers(t *testing.T) {
	p, calls := PeerConn{}, 0
	for p.MayCarry(0, PeerRule{}) == CarryNow && calls < 1000 {
		p.Begin(0)
		p.Answered(0, ReceivedAnswer{Attribution: p.Attribute(PeerAnswer{Written: true, Digest: 1}), Digest: 1,
			Success: true, Served: true, Expected: s, Retract: func() {}})
		calls++
	}
	if calls != 1+maxUnproven {
		t.Errorf("%d calls on a connection, want the first and %d unproven ones", calls, maxUnproven)
	}
	if all, _ := p.ReceivedUnsolicited(0); len(all) != maxUnproven {
		t.Errorf("%d answers are remembered, want %d", len(all), maxUnproven)
	}
}

// Guards against answers that stay accepted although unsolicited bytes follow them, and against
// connections that carry a call behind such bytes.
func TestUnsolicitedBytesRetractUnprovenAnswers(t *testing.T) {
	var told []string
	doubted := func(name string) func() { return func() { told = append(told, name) } }
	p := PeerConn{}
	call := func(at time.Duration, name string, belief Attribution, served bool) {
		t.Helper()
		if p.MayCarry(at, PeerRule{}) != CarryNow {
			t.Fatalf("%s may not be sent at %s", name, at)
		}
		p.Begin(at)
		p.Answered(at+10*ms, ReceivedAnswer{Attribution: belief, Served: served, Expected: 40 * ms, Retract: doubted(name)})
	}
	if call(0, "first", Certain, true); p.UnsettledFor(10*ms) != 0 {
		t.Error("the first answer is unsettled")
	}
	call(20*ms, "settled", Likely, true)
	if call(200*ms, "served", Likely, true); p.UnsettledFor(210*ms) != 30*ms {
		t.Errorf("unsettled for %s, want 30ms", p.UnsettledFor(210*ms))
	}
	call(215*ms, "refused", Likely, false) // counts as one that may have run: nothing is to be retracted
	all, late := p.ReceivedUnsolicited(240 * ms)
	for _, tell := range all {
		tell()
	}
	if fmt.Sprint(told) != "[served]" || late != 15*ms {
		t.Errorf("retracted %v, %s late", told, late)
	}
	if p.MayCarry(time.Hour, PeerRule{}) != CarryNever {
		t.Error("a desynchronized connection carries a call")
	}
	served := func(at time.Duration, name string) {
		p.Answered(at, ReceivedAnswer{Attribution: Likely, Served: true, Expected: s, Retract: doubted(name)})
	}
	served(0, "x")
	p.Begin(ms)
	p.Answered(2*ms, ReceivedAnswer{Attribution: Doubtful, Served: true, Expected: s})
	if all := p.Retract(3 * ms); len(all) != 1 {
		t.Errorf("%d answers are retracted after a doubtful one, want 1", len(all))
	}
	served(ms, "served")
	if all := p.RetractOnPeerClose(2 * ms); len(all) != 1 {
		t.Errorf("%d answers are retracted after the peer closed the connection, want 1", len(all))
	}
	p = PeerConn{calls: 1}
	p.Begin(0)
	p.Answered(s, ReceivedAnswer{Attribution: Likely, Served: true, Expected: 2 * s, Retract: doubted("slow")})
	if p.UnsettledFor(s) != maxSettleTime {
		t.Errorf("a connection stays open for %s behind a slow answer", p.UnsettledFor(s))
	}
	served(0, "old")
	if all, _ := p.ReceivedUnsolicited(RetractionWindow + s + ms); len(all) != 0 {
		t.Error("an answer is retracted after RetractionWindow")
	}
}

// Guards against a peer that violated the protocol and is trusted as before.
func TestDistrustLimitsWhatConnectionsCarry(t *testing.T) {
	c := PeerTrust{}
	want := func(now time.Duration, peer string, group int, bears Requirement, rule PeerRule) {
		t.Helper()
		if got := c.Rule(now, peer, group, bears); got != rule {
			t.Errorf("%s at %s: %+v, want %+v", peer, now, got, rule)
		}
	}
	only, onlyOnce := PeerRule{SingleUse: true}, PeerRule{SingleUse: true, ProvableRefusal: true}
	onlyOrdered := PeerRule{SingleUse: true, ProvableDelivery: true}
	want(0, "a", 1, Ordered, PeerRule{ProvableDelivery: true})
	want(0, "a", 1, Ordered|Once, PeerRule{ProvableRefusal: true, ProvableDelivery: true})
	want(0, "a", 1, Once, PeerRule{ProvableRefusal: true})
	if c.RecordUnsolicited(s, "a", 1, 400*ms) {
		t.Error("one distrusted peer is reported as a general fault")
	}
	want(2*s, "a", 1, NoRequirement, only)
	want(2*s, "b", 1, Ordered, onlyOrdered) // the same destination
	want(2*s, "b", 1, Once, onlyOnce)
	want(2*s, "b", 1, NoRequirement, PeerRule{MinIdle: 800 * ms}) // twice the delay of the duplicate answer
	want(2*s, "c", 2, Ordered, PeerRule{MinIdle: 800 * ms, ProvableDelivery: true})
	want(2*s, "c", 2, Once, PeerRule{MinIdle: 800 * ms, ProvableRefusal: true})
	if !c.RecordUnsolicited(2*s, "c", 2, 10*s) || c.RecordUnsolicited(2*s, "c", 2, 0) {
		t.Error("distrusted peers of two destinations are not reported exactly once")
	}
	want(3*s, "d", 3, Ordered, onlyOrdered) // two destinations: the cause is not one peer
	want(3*s, "d", 3, NoRequirement, only)
	want(s+minDistrust, "d", 3, NoRequirement, PeerRule{MinIdle: maxIdleTime}) // only one destination left
	end := 2*s + minDistrust
	want(end, "a", 1, Ordered, PeerRule{ProvableDelivery: true})
	c.RecordUnsolicited(end, "a", 1, 0) // a second violation: twice as long
	want(end+minDistrust, "a", 1, NoRequirement, only)
	want(end+2*minDistrust, "a", 1, NoRequirement, PeerRule{})
	want(end+minDistrust, "b", 1, NoRequirement, PeerRule{MinIdle: minIdleTime})
	for i := range 2 * maxPeers {
		c.RecordUnsolicited(end, fmt.Sprint(i), 4, 0)
	}
	if len(c.peers) > maxPeers {
		t.Errorf("%d peers are remembered", len(c.peers))
	}
	c = PeerTrust{}
	c.RecordAnswerTime(0, "a", 100*ms)
	if got := c.ExpectedAnswerTime("a"); got != 200*ms {
		t.Errorf("expected answer time %s, want 200ms", got)
	}
	for range 1000 {
		c.RecordAnswerTime(0, "a", 10*ms)
	}
	if got := c.ExpectedAnswerTime("a"); got < 65*ms || got > 66*ms {
		t.Errorf("expected answer time %s after many quick answers", got)
	}
}

// Guards against a refusal, which promises that nothing took effect, of a message that may have run.
func TestRefusalOfAMessageThatMayHaveRun(t *testing.T) {
	for _, c := range []struct {
		repeat   Repeatability
		noEffect bool
		fails    bool
	}{
		{NotRepeatable, true, false},
		{NotRepeatable, false, true},
		{Repeatable, false, false},
		{RepeatableInWindow, false, false},
	} {
		m := Message{Repeat: c.repeat, Deadline: s}
		m.MaySend(nil, 0, false)
		m.CallEnded(c.noEffect, MayCallAgain)
		if got := m.FailsInsteadOfRefusal(); got != c.fails {
			t.Errorf("%+v: fails instead %v", c, got)
		}
	}
}
