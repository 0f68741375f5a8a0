package choice

import (
	"fmt"
	"testing"
	"time"
)

// overload hands in more than a destination serves, for a while, and tells what became of it: taken, tried
// and given up untried after it was taken.
func overload(t *testing.T, s Settings, span, every, service time.Duration) (taken, tried, untried int) {
	t.Helper()
	s.Workers, s.MaxHeld, s.TakenBack.Cost, s.TakenBack.Before = 1, 0, 0.3, 0.7
	r := newRig(t, s, Host{Addr: "a", Dest: 1, State: Ready})
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

// Guards against messages that are taken without a chance: under twice what a destination serves, what can't
// be tried in its time is refused before it is taken.
func TestOverloadIsRefusedBeforeTaking(t *testing.T) {
	s := settings()
	span := 6 * s.Classes[0].Deadline
	taken, tried, untried := overload(t, s, span, 50*ms, 100*ms)
	offered := int(span / (50 * ms))
	t.Logf("of %d offered %d taken, %d tried, %d given up untried", offered, taken, tried, untried)
	if 2*tried < 9*offered/10 {
		t.Errorf("%d tried, want nearly half of %d", tried, offered)
	}
	if 50*untried >= taken {
		t.Errorf("%d of %d taken were given up untried, want under one in fifty", untried, taken)
	}
}

// What a destination can serve is taken: no refusal below its rate.
func TestWhatCanBeServedIsTaken(t *testing.T) {
	s := settings()
	span := 3 * s.Classes[0].Deadline
	taken, _, untried := overload(t, s, span, 120*ms, 100*ms)
	if offered := int(span/(120*ms)) - 1; taken < offered || untried > 0 {
		t.Errorf("%d of %d taken, %d given up untried", taken, offered, untried)
	}
}

// Guards against restarts that give up what they find untried: it goes before what has come since.
func TestRestoredGoesFirst(t *testing.T) {
	s := settings()
	s.Workers, s.Halving = 1, true
	r := newRig(t, s, Host{Addr: "a", Dest: 1, State: Ready})
	old, fresh := arrival("old", 0), arrival("new", 0)
	old.Left = s.Classes[0].Deadline / 2    // loses nothing more by waiting
	fresh.Left -= s.Classes[0].Aim - 500*ms // loses much
	acts := r.step(Restored{Arrival: old}, fresh)
	for _, a := range acts {
		if send, is := a.(Send); is && send.ID != "old" {
			t.Errorf("%s goes before what an earlier run took", send.ID)
		}
	}
	if len(acts) == 0 {
		t.Error("nothing was sent")
	}
}

// A destination whose hosts all drain is not handed more and more: the longer that lasts, the less is taken.
func TestNothingIsTakenWhileAllHostsDrain(t *testing.T) {
	s := settings()
	r := newRig(t, s, Host{Addr: "a", Dest: 1, State: Draining})
	r.step(arrival("first", 0))
	r.now += s.Classes[0].Deadline * 19 / 20
	for _, a := range r.step(arrival("late", 0)) {
		if refuse, is := a.(Refuse); is && refuse.ID == "late" {
			return
		}
	}
	t.Error("taken, with no host that wants work for as long as it may wait")
}

// The expected wait grows with what waits before a message, at the rate that was measured.
func TestLeastWaitGrowsWithTheQueue(t *testing.T) {
	s := settings()
	var q queueRate
	for now := time.Duration(0); now < 4*time.Second; now += 500 * ms {
		q.update(now, s.Classes[0].Deadline)
		q.waiting = true
		q.served++
	}
	short, long := q.leastWait(0), q.leastWait(39)
	if short <= 0 || long < 30*short {
		t.Errorf("%v behind none, %v behind 39", short, long)
	}
}
