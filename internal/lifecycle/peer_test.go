package lifecycle

import (
	"fmt"
	"testing"
	"time"
)

const ms = time.Millisecond

// Guards against attributing an answer to a call only because of its order on a reused connection.
func TestAnswerAttributionOnReusedConnections(t *testing.T) {
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
	} {
		p := PeerConn{}
		for range c.turn - 1 {
			p.Begin(0)
			p.Answered(0, 0, Certain, true, nil)
		}
		p.Begin(0)
		if got := p.Attribute(c.answer); got != c.want {
			t.Errorf("call %d, %+v: %d, want %d", c.turn, c.answer, got, c.want)
		}
	}
}

// Guards against answers that stay accepted although unsolicited bytes follow them, and against
// connections that carry a call while such bytes may still arrive.
func TestUnsolicitedBytesRetractUnconfirmedAnswers(t *testing.T) {
	var told []string
	doubted := func(name string) func() { return func() { told = append(told, name) } }
	p := PeerConn{}
	call := func(at time.Duration, name string, belief Attribution, served bool) time.Duration {
		t.Helper()
		if p.MayCarry(at, PeerRule{}) != CarryNow {
			t.Fatalf("%s may not be sent at %s", name, at)
		}
		p.Begin(at)
		wait, unsettled := p.Answered(at+10*ms, 40*ms, belief, served, doubted(name))
		if wait != unsettled || unsettled != p.UnsettledFor(at+10*ms) {
			t.Errorf("%s: waits %s, unsettled for %s and %s", name, wait, unsettled, p.UnsettledFor(at+10*ms))
		}
		return wait
	}
	if left := call(0, "first", Certain, true); left != 0 {
		t.Errorf("the first answer is unconfirmed for %s", left)
	}
	call(20*ms, "confirmed", Likely, true)
	if left := call(200*ms, "served", Likely, true); left != 30*ms {
		t.Errorf("unconfirmed for %s, want 30ms", left)
	}
	call(215*ms, "refused", Likely, false)
	if p.MayCarry(230*ms, PeerRule{}) != CarryLater || p.MayCarry(255*ms, PeerRule{}) != CarryNow {
		t.Error("a connection carries a call before a refusal on it is confirmed, or not afterwards")
	}
	all, late := p.ReceivedUnsolicited(240 * ms)
	for _, tell := range all {
		tell()
	}
	if fmt.Sprint(told) != "[served refused]" || late != 15*ms {
		t.Errorf("retracted %v, %s late", told, late)
	}
	if p.MayCarry(time.Hour, PeerRule{}) != CarryNever {
		t.Error("a desynchronized connection carries a call")
	}
	p.Answered(0, s, Likely, true, doubted("x"))
	p.Begin(ms)
	p.Answered(2*ms, s, Doubtful, true, nil)
	if all := p.Retract(3 * ms); len(all) != 1 {
		t.Errorf("%d answers are retracted after a doubtful one, want 1", len(all))
	}
	p.Answered(0, s, Likely, false, doubted("refused"))
	p.Answered(ms, s, Likely, true, doubted("served"))
	told = nil
	for _, tell := range p.RetractOnPeerClose(2 * ms) {
		tell()
	}
	if fmt.Sprint(told) != "[served]" {
		t.Errorf("retracted %v after the peer closed the connection, want the served answer only", told)
	}
	p = PeerConn{calls: 1}
	p.Begin(0)
	if wait, unsettled := p.Answered(s, 2*s, Likely, true, doubted("slow")); wait != 0 ||
		unsettled != s || p.UnsettledFor(s) != maxConfirmation {
		t.Errorf("a slow answer: waits %s, unsettled for %s, kept for %s", wait, unsettled, p.UnsettledFor(s))
	}
	for range 2 * maxUnconfirmed {
		p.Answered(0, s, Likely, true, doubted("x"))
	}
	if all, _ := p.ReceivedUnsolicited(0); len(all) != maxUnconfirmed {
		t.Errorf("%d answers are remembered, want %d", len(all), maxUnconfirmed)
	}
	p.Answered(0, s, Likely, true, doubted("old"))
	if all, _ := p.ReceivedUnsolicited(RetractionWindow + ms); len(all) != 0 {
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
	only := PeerRule{SingleUse: true}
	want(0, "a", 1, OnceOrOrdered, PeerRule{})
	if c.RecordUnsolicited(s, "a", 1, 400*ms) {
		t.Error("one distrusted peer is reported as a general fault")
	}
	want(2*s, "a", 1, NoRequirement, only)
	want(2*s, "b", 1, OnceOrOrdered, only)                        // the same destination
	want(2*s, "b", 1, NoRequirement, PeerRule{MinIdle: 800 * ms}) // twice the delay of the duplicate answer
	want(2*s, "c", 2, OnceOrOrdered, PeerRule{MinIdle: 800 * ms})
	if !c.RecordUnsolicited(2*s, "c", 2, 10*s) || c.RecordUnsolicited(2*s, "c", 2, 0) {
		t.Error("distrusted peers of two destinations are not reported exactly once")
	}
	want(3*s, "d", 3, OnceOrOrdered, only) // two destinations: the cause is not one peer
	want(3*s, "d", 3, NoRequirement, only)
	want(s+minDistrust, "d", 3, NoRequirement, PeerRule{MinIdle: maxIdleTime}) // only one destination left
	end := 2*s + minDistrust
	want(end, "a", 1, OnceOrOrdered, PeerRule{})
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

// Guards against a refusal, which promises that nothing took effect, on the ground of an answer
// that belonged to another call.
func TestRefusalWaitsForConfirmation(t *testing.T) {
	for _, c := range []struct {
		repeat Repeatability
		now    time.Duration
		mayRun bool
		want   Refusal
	}{
		{NotRepeatable, s, false, RefuseLater},
		{NotRepeatable, 2 * s, false, RefuseNow},
		{NotRepeatable, s, true, FailInstead},
		{NotRepeatable, 2 * s, true, FailInstead},
		{Repeatable, s, true, RefuseNow},
		{RepeatableInWindow, s, false, RefuseNow},
	} {
		m := Message{Repeat: c.repeat}
		if m.AwaitConfirmation(2*s, true) || !m.AwaitConfirmation(2*s, false) {
			t.Error("the next message of a key must wait only behind an answer that was not served")
		}
		if c.mayRun {
			m.SetMayHaveRun(0)
		}
		if got := m.Refusal(c.now); got != c.want {
			t.Errorf("%+v: %d", c, got)
		}
	}
}
