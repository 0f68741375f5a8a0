package choice

import (
	"slices"
	"testing"
	"time"
)

// TestShortIdleTimesAreNoEvidence guards against distrusting idle connections because of calls lost on ones that had
// been idle for a moment only: slow hosts lose calls too.
func TestShortIdleTimesAreNoEvidence(t *testing.T) {
	s := testSettings()
	s.ConnIdle = 5 * time.Second
	r := newHarness(t, s, readyHost("a", 1, 0, 0))
	r.deliver(arrival("first", 0))
	for i, id := range []string{"l1", "l2", "l3", "l4"} {
		r.now += 100 * ms
		r.step(arrival(id, 2))
		r.now += time.Second
		r.step(r.result(id, "a", Timeout, func(e *Result) { e.Took = time.Second }))
		r.now += 10 * time.Second // until the next probe is due
		r.deliver(arrival("ok"+id, 0))
		if i == 0 {
			continue
		}
		r.now += 100 * ms
		if n := closedHosts(r.step(arrival("next"+id, 0))); len(n) != 0 {
			t.Fatalf("closed %v after an idle time of 100 ms, want none", n)
		}
		r.step(r.result("next"+id, "a", Served))
	}
}

// TestMessagesOfACallShareTimeout checks that the messages of a call have one timeout, since they end together: the
// longest among them, up to the earliest deadline.
func TestMessagesOfACallShareTimeout(t *testing.T) {
	r := newHarness(t, testSettings(), readyHost("a", 1, 1, 0))
	for i := range 40 { // fill the latency table with short latencies
		r.deliver(arrival("warm"+string(rune('a'+i)), 0))
		r.now += 200 * ms
	}
	safe, unsafe, short := arrival("safe", 0), arrival("unsafe", 2), arrival("short", 0)
	short.TimeLeft = 4 * time.Second
	s := sends(r.step(safe, unsafe, short))
	if len(s) != 3 {
		t.Fatalf("%d sends, want 3", len(s))
	}
	for _, x := range s {
		if x.Timeout != 4*time.Second {
			t.Errorf("%s has a timeout of %v, want 4s: that of the unsafe message, up to the deadline of the short one",
				x.ID, x.Timeout)
		}
	}
}

// TestKeyWaitsForAcknowledgement guards against overtaking within a key: a message that ended with a notice blocks its
// key until the notice is acknowledged, also across a restart.
func TestKeyWaitsForAcknowledgement(t *testing.T) {
	s := testSettings()
	s.HoldUntilAcknowledged = true
	for _, restart := range []bool{false, true} {
		r := newHarness(t, s, readyHost("a", 1, 0, 0))
		first, second, other := arrival("first", 3), arrival("second", 3), arrival("other", 3)
		first.Key, second.Key, other.Key = "k", "k", "o"
		if restart {
			r.step(Restored{Arrival: first, Answered: true})
		} else {
			r.step(first)
			r.step(r.result("first", "a", Error)) // fails, since it may have run
		}
		acts := append(r.step(second, other), r.advance(time.Second)...)
		if slices.ContainsFunc(sends(acts), func(x Send) bool { return x.ID == "second" }) {
			t.Errorf("restart %v: second sent before the notice of first was acknowledged", restart)
		}
		if !slices.ContainsFunc(sends(acts), func(x Send) bool { return x.ID == "other" }) {
			t.Errorf("restart %v: a message of another key was not sent", restart)
		}
		r.step(r.result("other", "a", Served))
		acts = append(r.step(Acknowledged{"first"}), r.advance(time.Second)...)
		if !slices.ContainsFunc(sends(acts), func(x Send) bool { return x.ID == "second" }) {
			t.Errorf("restart %v: second not sent after the notice was acknowledged", restart)
		}
		if len(r.c.unacknowledged) != 0 {
			t.Errorf("restart %v: %d messages still unacknowledged, want none", restart, len(r.c.unacknowledged))
		}
	}
}

// TestServedTooLate checks that a message served too late for its client fails once and is not sent again.
func TestServedTooLate(t *testing.T) {
	for class := range 3 {
		r := newHarness(t, testSettings(), readyHost("a", 1, 0, 0))
		r.step(arrival("m", class))
		acts := append(r.step(r.result("m", "a", Served, func(e *Result) { e.Done = false })), r.advance(2*time.Second)...)
		fails := 0
		for _, a := range acts {
			switch a.(type) {
			case Send, Refuse:
				t.Errorf("class %d: unexpected action %#v", class, a)
			case Fail:
				fails++
			}
		}
		if fails != 1 {
			t.Errorf("class %d: failed %d times, want once", class, fails)
		}
	}
}

// TestStopWithKeepAnswersNothing checks that after a Stop with Keep nothing is sent or answered, since a later run
// resumes.
func TestStopWithKeepAnswersNothing(t *testing.T) {
	r := newHarness(t, testSettings(), readyHost("a", 1, 0, 0))
	r.step(Stop{Keep: true})
	acts := append(r.step(arrival("m", 0)), r.advance(time.Second)...)
	for _, a := range acts {
		switch a.(type) {
		case Send, Refuse, Fail:
			t.Errorf("unexpected action %#v after a Stop with Keep", a)
		}
	}
}

// TestNoMoreAttemptsEndsMessage checks that a result with NoMoreAttempts ends a message, whatever the number of
// counted attempts.
func TestNoMoreAttemptsEndsMessage(t *testing.T) {
	r := newHarness(t, testSettings(), readyHost("a", 1, 0, 0))
	r.step(arrival("m", 0))
	acts := r.step(r.result("m", "a", NotSent, func(e *Result) { e.NoMoreAttempts = true }))
	if len(sends(acts)) != 0 || !slices.ContainsFunc(acts, func(a Action) bool { _, ok := a.(Refuse); return ok }) {
		t.Errorf("actions %v after a result with NoMoreAttempts, want a refusal", acts)
	}
}

// TestFailedCallCountsOnce guards against suspecting a host after one failed call that carried several messages: their
// errors count as one failure.
func TestFailedCallCountsOnce(t *testing.T) {
	r := newHarness(t, testSettings(), readyHost("a", 1, 1, 0))
	for i := range 6 {
		r.deliver(arrival("well"+string(rune('a'+i)), 0))
		r.now += 200 * ms
	}
	for try, want := range []health{healthy, suspect} {
		name := string(rune('0' + try))
		s := sends(r.step(arrival("x"+name, 2), arrival("y"+name, 2), arrival("z"+name, 2)))
		if len(s) != 3 {
			t.Fatalf("%d sends, want a call with 3 messages", len(s))
		}
		var ends []Event
		for _, x := range s {
			ends = append(ends, r.result(x.ID, "a", Error))
		}
		r.step(ends...)
		if got := r.c.destByID[1].units[0].state; got != want {
			t.Errorf("after %d failed calls: health %d, want %d", try+1, got, want)
		}
		r.now += 3 * time.Second
	}
}

// TestKeyedRepeatCarriesSendLimit guards against a keyed repeat that is written after its window because its
// connection took long to open: its Send carries the rest of the window. First attempts and safe messages carry no
// such limit.
func TestKeyedRepeatCarriesSendLimit(t *testing.T) {
	r := newHarness(t, testSettings(), readyHost("a", 1, 0, 0))
	if s := sends(r.step(arrival("safe", 0), arrival("keyed", 1))); len(s) != 2 || s[0].StartWithin != 0 || s[1].StartWithin != 0 {
		t.Fatalf("first sends %+v, want two without a limit", s)
	}
	r.now += time.Second
	acts := append(r.step(r.result("safe", "a", Reset), r.result("keyed", "a", Reset)), r.advance(1500*ms)...)
	again := sends(acts)
	i := slices.IndexFunc(again, func(s Send) bool { return s.ID == "keyed" })
	if i < 0 || again[i].StartWithin <= 0 || again[i].StartWithin > 2*time.Second {
		t.Fatalf("repeats %+v, want keyed within the rest of its 3 s", again)
	}
	for _, s := range again {
		if s.ID == "safe" && s.StartWithin != 0 {
			t.Errorf("safe message sent with a limit of %v, want none", s.StartWithin)
		}
	}
}

// TestCrowdedRelayRefusesNewMessages checks that with a penalty for shedding accepted messages a crowded relay
// refuses new ones instead, unless the worth differs by more than the penalty. Late in the time of a message there is
// no penalty.
func TestCrowdedRelayRefusesNewMessages(t *testing.T) {
	for _, cost := range []float64{0, 0.3} {
		s := testSettings()
		s.MaxHeld = 10
		s.ShedPenalty.Cost, s.ShedPenalty.Before = cost, 0.7
		r := newHarness(t, s) // without a host all messages wait
		refused := func(acts []Action) (ids []string) {
			for _, a := range acts {
				if f, ok := a.(Refuse); ok {
					ids = append(ids, f.ID)
				}
			}
			return ids
		}
		var old []Event
		for i := range 9 {
			old = append(old, arrival("old"+string(rune('0'+i)), 0))
		}
		if got := refused(r.step(old...)); len(got) != 0 {
			t.Fatalf("refused %v below the limit, want none", got)
		}
		r.now += 3 * time.Second // by now they are worth less than a new message
		got := refused(r.step(arrival("new", 0)))
		if want := map[bool]string{true: "old", false: "new"}[cost == 0]; len(got) != 1 || got[0][:3] != want {
			t.Errorf("penalty %v: refused %v, want one message named %s", cost, got, want)
		}
		other := arrival("other", 0)
		other.Dest = 2 // no message waits there
		if got := refused(r.step(other)); len(got) != 1 || got[0] == "other" {
			t.Errorf("penalty %v: refused %v, want one of the destination with the longer queue", cost, got)
		}
		r.now += 5 * time.Second
		if got := refused(r.step(arrival("last", 0))); len(got) != 1 || got[0] == "last" {
			t.Errorf("penalty %v: refused %v late in the time of the old messages, want one of those", cost, got)
		}
	}
}

// TestRestoredThatMayHaveRunIsNotRefused guards against a notice that promises no effect for a message which its host
// had answered with 200: after a restart it is unknown whether a call that may have run was answered.
func TestRestoredThatMayHaveRunIsNotRefused(t *testing.T) {
	for class := range 2 { // safe, keyed
		for _, ran := range []bool{false, true} {
			s := testSettings() // RefuseOnlyNeverRan is off
			r := newHarness(t, s, Host{Addr: "a", Dest: 1, State: Draining})
			m := arrival("m", class)
			r.step(Restored{Arrival: m, Attempts: 1, MayHaveRun: ran, Since: 100 * ms})
			var acts []Action
			for range 200 {
				acts = append(acts, r.advance(100*ms)...)
			}
			refused := slices.ContainsFunc(acts, func(a Action) bool { _, is := a.(Refuse); return is })
			failed := slices.Contains(acts, Action(Fail{ID: "m"}))
			if refused == ran || failed != ran {
				t.Errorf("class %d, may have run %v: refused %v, failed %v", class, ran, refused, failed)
			}
		}
	}
}
