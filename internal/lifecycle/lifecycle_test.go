package lifecycle

import (
	"testing"
	"time"
)

const s = time.Second

// Guards against rules that let their violation pass, that report it more than once or under
// another rule, or that refuse allowed actions.
func TestRules(t *testing.T) {
	message := func(repeat Repeatability) *Message {
		return &Message{ID: "m", Repeat: repeat, Window: 2 * s, Deadline: 10 * s, Durable: true}
	}
	sent := func(g *Guard, m *Message, now time.Duration, noEffect bool) {
		if !m.MaySend(g, now, false) || !m.MayBegin(g, now, true) {
			t.Error("an allowed call was refused")
		}
		m.CallEnded(noEffect, MayCallAgain)
	}
	for rule, violate := range map[Rule]func(g *Guard) bool{
		SendAfterEnd: func(g *Guard) bool {
			m := message(Repeatable)
			return m.MayEnd(g, true) && m.MaySend(g, s, false)
		},
		SendWhileOut: func(g *Guard) bool {
			m := message(Repeatable)
			return m.MaySend(g, s, false) && m.MaySend(g, s, false)
		},
		SendBeforeRecord: func(g *Guard) bool {
			m := message(Repeatable)
			return m.MaySend(g, s, false) && m.MayBegin(g, s, false)
		},
		SendAfterPark: func(g *Guard) bool { return message(Repeatable).MaySend(g, s, true) },
		RepeatUnsafe: func(g *Guard) bool {
			m := message(NotRepeatable)
			sent(g, m, s, true)
			sent(g, m, s, false)
			return m.MaySend(g, 2*s, false)
		},
		RepeatAfterWindow: func(g *Guard) bool {
			m := message(RepeatableInWindow)
			sent(g, m, s, false)
			sent(g, m, 3*s, false)
			return m.MaySend(g, 3*s+1, false)
		},
		AnswerTwice: func(g *Guard) bool {
			m := message(Repeatable)
			return m.MayEnd(g, false) && m.MayAnswer(g, s, true) && m.MayAnswer(g, s, true)
		},
		AnswerUnasked: func(g *Guard) bool {
			var e ClientConn
			return e.MayAnswer(g, 0)
		},
		AnswerBeforeRecord: func(g *Guard) bool {
			m := message(Repeatable)
			return m.MayEnd(g, true) && m.MayAnswer(g, s, false)
		},
		RefuseAfterSend: func(g *Guard) bool {
			m := message(NotRepeatable)
			m.Restore(true, s)
			return m.MayEnd(g, true)
		},
		CloseUnanswered: func(g *Guard) bool {
			var e ClientConn
			e.Begin()
			e.RequestRead("m", 0)
			return e.MayClose(g)
		},
	} {
		var told []Violation
		g := &Guard{OnViolation: func(v Violation) { told = append(told, v) }}
		if violate(g) {
			t.Errorf("%s was allowed", rule)
		}
		if len(told) != 1 || told[0].Rule != rule || g.Counts()[rule] != 1 {
			t.Errorf("%s: reported %v", rule, told)
		}
	}
}

// Guards against violations reported for a connection that answers each of its requests and then
// ends.
func TestClientConn(t *testing.T) {
	g := &Guard{Strict: true}
	var e ClientConn
	for range 2 {
		if !e.Begin() || e.Begin() {
			t.Fatal("a request did not begin exactly once")
		}
		e.RequestRead("m", 0)
		if !e.MayAnswer(g, 0) || e.Phase() != Idle {
			t.Fatal("the response was refused, or the connection is not idle")
		}
	}
	if !e.MayClose(g) || e.Phase() != Closing {
		t.Error("the close was refused")
	}
	if e.MarkClosed(); e.Phase() != Closed {
		t.Error("the phase is not Closed after the connection's end")
	}
}

// Guards against responses that wait for the disk beyond their client's deadline, and against
// telling a client something that doesn't agree with what the next process will do.
func TestHandInResponseWhileRecordsArePending(t *testing.T) {
	for name, c := range map[string]struct {
		now      time.Duration
		recorded bool
		backs    bool // the message's record can be withdrawn
		want     Response
	}{
		"all is on disk":              {recorded: true, want: RespondDecision},
		"records wait, there is time": {now: s - 1, backs: true, want: RespondLater},
		"its own record is on disk":   {now: s, want: RespondAccepted},
		"its own record is not":       {now: s, backs: true, want: RespondNotAccepted},
		"on disk in the last instant": {now: 2 * s, recorded: true, backs: true, want: RespondDecision},
	} {
		m := &Message{ID: "m", Deadline: 10 * s, Durable: true, RespondBy: s}
		if got := m.MayRespond(c.now, c.recorded, func() bool { return c.backs }); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
		if m.Durable == (c.want == RespondNotAccepted) {
			t.Errorf("%s: kept %v", name, m.Durable)
		}
	}
}

// Guards against responses after their client's deadline that are not counted.
func TestLateResponsesAreCounted(t *testing.T) {
	g := &Guard{}
	for range 2 { // the second response is in time
		var e ClientConn
		e.Begin()
		e.RequestRead("m", s)
		if !e.MayAnswer(g, s+time.Duration(1-g.Counts()[AnswerLate])) {
			t.Error("a late response was refused")
		}
	}
	if g.Counts()[AnswerLate] != 1 {
		t.Errorf("counted %v", g.Counts())
	}
}
