package choice

import (
	"slices"
	"testing"
	"time"
)

// A call that is lost on a connection which had rested for a moment says nothing of
// paths that drop idle connections: slow hosts cost calls too.
func TestShortRestsAreNoEvidence(t *testing.T) {
	s := settings()
	s.ConnIdle = 5 * time.Second
	r := newRig(t, s, ready("a", 1, 0, 0))
	r.deliver(arrival("first", 0))
	for i, id := range []string{"l1", "l2", "l3", "l4"} {
		r.now += 100 * ms
		r.step(arrival(id, 2))
		r.now += time.Second
		r.step(r.end(id, "a", Timeout, func(e *Result) { e.Took = time.Second }))
		r.now += 10 * time.Second // its trials are due
		r.deliver(arrival("ok"+id, 0))
		if i == 0 {
			continue
		}
		r.now += 100 * ms
		if n := closes(r.step(arrival("next"+id, 0))); len(n) != 0 {
			t.Fatalf("closed %v: a connection that rested for 100 ms", n)
		}
		r.step(r.end("next"+id, "a", Served))
	}
}

// Messages of one call share its end, so they have one time-out: the longest among
// them, within the time of each.
func TestOneTimeOutForACall(t *testing.T) {
	r := newRig(t, settings(), ready("a", 1, 1, 0))
	for i := range 40 { // a table with a short edge
		r.deliver(arrival("warm"+string(rune('a'+i)), 0))
		r.now += 200 * ms
	}
	safe, unsafe, short := arrival("safe", 0), arrival("unsafe", 2), arrival("short", 0)
	short.Left = 4 * time.Second
	s := sends(r.step(safe, unsafe, short))
	if len(s) != 3 {
		t.Fatalf("%d sends, want 3", len(s))
	}
	for _, x := range s {
		if x.Timeout != 4*time.Second {
			t.Errorf("%s may take %v, want 4s: as long as the unsafe one would wait, and the short one has", x.ID, x.Timeout)
		}
	}
}

// A message that ended by a notice keeps its place in the order of its key until the
// notice is answered, across a restart too.
func TestOrderWaitsForNotices(t *testing.T) {
	s := settings()
	s.Acknowledged = true
	for _, restart := range []bool{false, true} {
		r := newRig(t, s, ready("a", 1, 0, 0))
		first, second, other := arrival("first", 3), arrival("second", 3), arrival("other", 3)
		first.Key, second.Key, other.Key = "k", "k", "o"
		if restart {
			r.step(Restored{Arrival: first, Answered: true})
		} else {
			r.step(first)
			r.step(r.end("first", "a", Error)) // failed: it may have run
		}
		acts := append(r.step(second, other), r.after(time.Second)...)
		if slices.ContainsFunc(sends(acts), func(x Send) bool { return x.ID == "second" }) {
			t.Errorf("restart %v: sent before the notice of the one before it was answered", restart)
		}
		if !slices.ContainsFunc(sends(acts), func(x Send) bool { return x.ID == "other" }) {
			t.Errorf("restart %v: another key waits too", restart)
		}
		r.step(r.end("other", "a", Served))
		acts = append(r.step(Settled{"first"}), r.after(time.Second)...)
		if !slices.ContainsFunc(sends(acts), func(x Send) bool { return x.ID == "second" }) {
			t.Errorf("restart %v: not sent after the notice was answered", restart)
		}
		if len(r.c.owing) != 0 {
			t.Errorf("restart %v: %d messages still owe a place", restart, len(r.c.owing))
		}
	}
}

// What is served too late for who waits is owed its end, and never goes again.
func TestServedTooLate(t *testing.T) {
	for class := range 3 {
		r := newRig(t, settings(), ready("a", 1, 0, 0))
		r.step(arrival("m", class))
		acts := append(r.step(r.end("m", "a", Served, func(e *Result) { e.Done = false })), r.after(2*time.Second)...)
		fails := 0
		for _, a := range acts {
			switch a.(type) {
			case Send, Refuse:
				t.Errorf("class %d: %#v", class, a)
			case Fail:
				fails++
			}
		}
		if fails != 1 {
			t.Errorf("class %d: failed %d times", class, fails)
		}
	}
}

// A stop that keeps what is held sends and answers nothing; one without answers all.
func TestStopThatKeeps(t *testing.T) {
	r := newRig(t, settings(), ready("a", 1, 0, 0))
	r.step(Stop{Keep: true})
	acts := append(r.step(arrival("m", 0)), r.after(time.Second)...)
	for _, a := range acts {
		switch a.(type) {
		case Send, Refuse, Fail:
			t.Errorf("%#v while a later run is to go on", a)
		}
	}
}

// What the host counts as spent is given up, however many attempts are counted here.
func TestSpentIsTheLastAttempt(t *testing.T) {
	r := newRig(t, settings(), ready("a", 1, 0, 0))
	r.step(arrival("m", 0))
	acts := r.step(r.end("m", "a", NotSent, func(e *Result) { e.Spent = true }))
	if len(sends(acts)) != 0 || !slices.ContainsFunc(acts, func(a Action) bool { _, ok := a.(Refuse); return ok }) {
		t.Errorf("%v after the last attempt was spent, want a refusal", acts)
	}
}

// An error to a call that carries several messages is one failure of its host, as it is
// to a call that carries one: a host that answered one call badly is not taken for down.
func TestOneErrorForACall(t *testing.T) {
	r := newRig(t, settings(), ready("a", 1, 1, 0))
	for i := range 6 {
		r.deliver(arrival("well"+string(rune('a'+i)), 0))
		r.now += 200 * ms
	}
	for try, want := range []health{healthy, suspect} {
		name := string(rune('0' + try))
		s := sends(r.step(arrival("x"+name, 2), arrival("y"+name, 2), arrival("z"+name, 2)))
		if len(s) != 3 {
			t.Fatalf("%d sends, want a call of three", len(s))
		}
		var ends []Event
		for _, x := range s {
			ends = append(ends, r.end(x.ID, "a", Error))
		}
		r.step(ends...)
		if got := r.c.dests[1].units[0].state; got != want {
			t.Errorf("after %d calls that failed: state %d, want %d", try+1, got, want)
		}
		r.now += 3 * time.Second
	}
}

// A repeat that is remembered for a while tells how long it may still leave: a connection
// may come up after that. A first try has no such time, nor has what may always come again.
func TestRepeatsSayUntilWhen(t *testing.T) {
	r := newRig(t, settings(), ready("a", 1, 0, 0))
	if s := sends(r.step(arrival("safe", 0), arrival("keyed", 1))); len(s) != 2 || s[0].Within != 0 || s[1].Within != 0 {
		t.Fatalf("first tries %+v", s)
	}
	r.now += time.Second
	acts := append(r.step(r.end("safe", "a", Reset), r.end("keyed", "a", Reset)), r.after(1500*ms)...)
	again := sends(acts)
	i := slices.IndexFunc(again, func(s Send) bool { return s.ID == "keyed" })
	if i < 0 || again[i].Within <= 0 || again[i].Within > 2*time.Second {
		t.Fatalf("tries again %+v, want keyed within what is left of its 3 s", again)
	}
	for _, s := range again {
		if s.ID == "safe" && s.Within != 0 {
			t.Errorf("safe within %v", s.Within)
		}
	}
}

// Where giving up costs something a crowded relay refuses what has just come rather than
// what it took before, unless that is worth so much less that it pays; late in its time a
// message costs nothing more.
func TestCrowdedRelayRefusesBeforeTaking(t *testing.T) {
	for _, cost := range []float64{0, 0.3} {
		s := settings()
		s.MaxHeld = 10
		s.TakenBack.Cost, s.TakenBack.Before = cost, 0.7
		r := newRig(t, s) // no host: all wait
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
			t.Fatalf("refused %v with room left", got)
		}
		r.now += 3 * time.Second // they are worth less by now than what is new
		got := refused(r.step(arrival("new", 0)))
		if want := map[bool]string{true: "old", false: "new"}[cost == 0]; len(got) != 1 || got[0][:3] != want {
			t.Errorf("cost %v: refused %v, want an %s one", cost, got, want)
		}
		other := arrival("other", 0)
		other.Dest = 2 // nothing waits there
		if got := refused(r.step(other)); len(got) != 1 || got[0] == "other" {
			t.Errorf("cost %v: refused %v, want one of those that wait in line", cost, got)
		}
		r.now += 5 * time.Second
		if got := refused(r.step(arrival("last", 0))); len(got) != 1 || got[0] == "last" {
			t.Errorf("cost %v: refused %v late in the time of the others", cost, got)
		}
	}
}

// Guards against a notice that promises no effect of a message which its host had answered
// 200: after a restart nothing tells whether a call that may have run was answered.
func TestRestoredThatMayHaveRunIsNotRefused(t *testing.T) {
	for class := range 2 { // safe, keyed
		for _, ran := range []bool{false, true} {
			s := settings() // not Certain
			r := newRig(t, s, Host{Addr: "a", Dest: 1, State: Draining})
			m := arrival("m", class)
			r.step(Restored{Arrival: m, Attempts: 1, Ran: ran, Since: 100 * ms})
			var acts []Action
			for range 200 {
				acts = append(acts, r.after(100*ms)...)
			}
			refused := slices.ContainsFunc(acts, func(a Action) bool { _, is := a.(Refuse); return is })
			failed := slices.Contains(acts, Action(Fail{ID: "m"}))
			if refused == ran || failed != ran {
				t.Errorf("class %d, may have run %v: refused %v, failed %v", class, ran, refused, failed)
			}
		}
	}
}
