package choice

import (
	"fmt"
	"testing"
	"time"
)

// runOverload hands in a message every interval for the given span, to a destination that serves one at a time, and
// returns how many were accepted, attempted, and refused without an attempt after they had been accepted.
func runOverload(t *testing.T, s Settings, span, every, service time.Duration) (taken, tried, untried int) {
	t.Helper()
	s.Workers, s.MaxHeld, s.ShedPenalty.Cost, s.ShedPenalty.Before = 1, 0, 0.3, 0.7
	r := newHarness(t, s, Host{Addr: "a", Dest: 1, State: Ready})
	held, out := map[string]bool{}, ""
	begun, next := time.Duration(0), 0
	take := func(acts []Action, fresh string) {
		for _, a := range acts {
			switch a := a.(type) {
			case Send:
				out, begun = a.ID, r.now
				tried++
				delete(held, a.ID)
			case Refuse:
				if a.ID == fresh {
					taken--
				} else if held[a.ID] {
					untried++
				}
				delete(held, a.ID)
			}
		}
	}
	for end := r.now + span; r.now < end; {
		var events []Event
		if out != "" && r.now-begun >= service {
			events = append(events, Result{ID: out, Host: "a", Outcome: Served, Took: r.now - begun, Done: true})
			out = ""
		}
		fresh := ""
		if next%int(every/(10*ms)) == 0 {
			fresh = fmt.Sprint("m", next)
			taken++
			held[fresh] = true
			events = append(events, arrival(fresh, 0))
		}
		next++
		take(r.step(events...), fresh)
		r.now += 10 * ms
	}
	return taken, tried, untried
}

// TestOverloadIsRefusedBeforeTaking guards against accepting messages that have no chance: at twice the rate that a
// destination serves, messages that can't be attempted before their deadline are refused on arrival.
func TestOverloadIsRefusedBeforeTaking(t *testing.T) {
	s := testSettings()
	span := 6 * s.Classes[0].Deadline
	taken, tried, untried := runOverload(t, s, span, 50*ms, 100*ms)
	offered := int(span / (50 * ms))
	t.Logf("of %d offered %d accepted, %d attempted, %d refused later unattempted", offered, taken, tried, untried)
	if 2*tried < 9*offered/10 {
		t.Errorf("%d attempted, want nearly half of %d", tried, offered)
	}
	if 50*untried >= taken {
		t.Errorf("%d of %d accepted were refused later without an attempt, want under one in fifty", untried, taken)
	}
}

// TestNoRefusalBelowCapacity guards against refusals below the rate that a destination serves.
func TestNoRefusalBelowCapacity(t *testing.T) {
	s := testSettings()
	span := 3 * s.Classes[0].Deadline
	taken, _, untried := runOverload(t, s, span, 120*ms, 100*ms)
	if offered := int(span/(120*ms)) - 1; taken < offered || untried > 0 {
		t.Errorf("%d of %d accepted, %d refused later without an attempt, want all and none", taken, offered, untried)
	}
}

// TestRestoredMessageIsSentFirst guards against restored messages that wait until they are refused: one that was never
// attempted is sent before new ones that lose more by waiting.
func TestRestoredMessageIsSentFirst(t *testing.T) {
	s := testSettings()
	s.Workers, s.Halving = 1, true
	r := newHarness(t, s, Host{Addr: "a", Dest: 1, State: Ready})
	old, fresh := arrival("old", 0), arrival("new", 0)
	old.TimeLeft = s.Classes[0].Deadline / 2    // its worth does not fall any further
	fresh.TimeLeft -= s.Classes[0].Aim - 500*ms // its worth is about to fall
	acts := r.step(Restored{Arrival: old}, fresh)
	for _, a := range acts {
		if send, is := a.(Send); is && send.ID != "old" {
			t.Errorf("%s was sent before the restored message", send.ID)
		}
	}
	if len(acts) == 0 {
		t.Error("no actions")
	}
}

// TestNoAdmissionWhileAllHostsDrain guards against accepting messages without end for a destination whose hosts all
// drain: the longer that lasts, the longer the time that a message must have left.
func TestNoAdmissionWhileAllHostsDrain(t *testing.T) {
	s := testSettings()
	r := newHarness(t, s, Host{Addr: "a", Dest: 1, State: Draining})
	r.step(arrival("first", 0))
	r.now += s.Classes[0].Deadline * 19 / 20
	for _, a := range r.step(arrival("late", 0)) {
		if refuse, is := a.(Refuse); is && refuse.ID == "late" {
			return
		}
	}
	t.Error("message was accepted although no host has been ready for longer than it may wait")
}

// TestLeastWaitGrowsWithTheQueue checks that the expected wait grows with the number of messages ahead.
func TestLeastWaitGrowsWithTheQueue(t *testing.T) {
	s := testSettings()
	var q queueRate
	for now := time.Duration(0); now < 4*time.Second; now += 500 * ms {
		q.update(now, s.Classes[0].Deadline)
		q.waiting = true
		q.served++
	}
	short, long := q.minWait(0), q.minWait(39)
	if short <= 0 || long < 30*short {
		t.Errorf("wait %v behind no message, %v behind 39, want at least 30 times as long", short, long)
	}
}
