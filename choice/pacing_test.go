package choice

import (
	"fmt"
	"testing"
	"time"
)

// serveSteadily hands in a message every interval and has each call answered as the function tells; it returns
// how many were sent.
func serveSteadily(r *rig, span, interval time.Duration, outcome func(sent int) Outcome) (sent int) {
	next := r.now
	var events []Event
	for n, end := 0, r.now+span; r.now < end; r.now += 5 * ms {
		if r.now >= next {
			next += interval
			n++
			events = append(events, arrival(fmt.Sprint("s", r.now, n), 0))
		}
		actions := r.step(append(events, Woken{})...)
		events = nil
		for _, send := range sends(actions) {
			sent++
			events = append(events, r.end(send.ID, send.Host, outcome(sent)))
		}
	}
	return sent
}

// Guards against a destination that gets nothing for seconds after its first refusal: what was sent while there was
// no limit is no debt once there is one.
func TestFirstRefusalLeavesNoDebt(t *testing.T) {
	s := settings()
	s.Listed, s.Fleet = false, 1
	r := newRig(t, s, Host{Addr: "a", Dest: 1, State: Ready})
	const refused = 200
	serveSteadily(r, 11*time.Second, 50*ms, func(sent int) Outcome {
		if sent == refused {
			return Refused
		}
		return Served
	})
	sent := serveSteadily(r, 2*time.Second, 50*ms, func(int) Outcome { return Served })
	if sent < 30 {
		t.Errorf("%d calls in the two seconds that follow, want most of 40", sent)
	}
}

// A destination that is full, and tells neither a rate nor waits, is not overrun: what it refuses shrinks with the pace.
func TestFullDestinationIsNotOverrun(t *testing.T) {
	s := settings()
	s.Listed, s.Fleet, s.Workers = false, 1, 20
	r := newRig(t, s, Host{Addr: "a", Dest: 1, State: Ready})
	const capacity = 10 // calls in each second
	second, taken, refused := time.Duration(0), 0, 0
	full := func(int) Outcome {
		if now := r.now.Truncate(time.Second); now != second {
			second, taken = now, 0
		}
		if taken++; taken > capacity {
			refused++
			return Refused
		}
		return Served
	}
	serveSteadily(r, 10*time.Second, 25*ms, full)
	refused = 0
	sent := serveSteadily(r, 10*time.Second, 25*ms, full)
	t.Logf("%d of %d calls refused", refused, sent)
	if served := sent - refused; served < 7*capacity {
		t.Errorf("%d calls served in ten seconds, want most of %d", served, 10*capacity)
	}
	if float64(refused) > mostChance*float64(sent) {
		t.Errorf("%d of %d calls refused, want under %v", refused, sent, mostChance)
	}
}

// A destination that tells waits has a limit: its refusals are no chance, however few they are.
func TestToldWaitCutsThePace(t *testing.T) {
	s := settings()
	s.Listed, s.Fleet = false, 1
	r := newRig(t, s, Host{Addr: "a", Dest: 1, State: Ready})
	serveSteadily(r, 3*time.Second, 50*ms, func(int) Outcome { return Served })
	u := r.c.order[0].units[0]
	for _, send := range sends(r.step(arrival("told", 0))) {
		r.step(r.end(send.ID, send.Host, Refused, func(e *Result) { e.Wait = 100 * ms }))
	}
	if found := u.cutFrom; found == 0 || u.limit > (1-cutShare)*found+0.1 {
		t.Errorf("limit %v after a told wait at a pace of %v, want a cut by a fifth", u.limit, found)
	}
}

// Guards against a destination that gets nothing after hours without a cut: a limit that grows without end is no number.
func TestLimitStaysFinite(t *testing.T) {
	s := settings()
	s.Listed, s.Fleet = false, 1
	r := newRig(t, s, Host{Addr: "a", Dest: 1, State: Ready})
	u := r.c.order[0].units[0]
	u.limit = 1
	const hours = 3
	for range hours * 3600 {
		r.c.now += time.Second
		r.c.refill(u)
	}
	r.c.refill(u) // at the same time once more
	if !u.hasToken() {
		t.Errorf("limit %v, tokens %v: nothing may be sent", u.limit, u.tokens)
	}
}

// The pace set while a destination served nothing is lifted by the first call that it serves, however often it refused.
func TestPaceBeforeTheFirstServedIsLifted(t *testing.T) {
	s := settings()
	s.Listed, s.Fleet, s.MaxAttempts = false, 1, 20
	r := newRig(t, s, Host{Addr: "a", Dest: 1, State: Ready})
	serveSteadily(r, 4*time.Second, 500*ms, func(int) Outcome { return Refused })
	u := r.c.order[0].units[0]
	if u.limit == 0 || u.bad < 4 {
		t.Fatalf("limit %v after %d refusals, want one", u.limit, u.bad)
	}
	serveSteadily(r, 10*time.Second, 500*ms, func(int) Outcome { return Served })
	if u.limit != 0 {
		t.Errorf("limit %v once it serves, want none", u.limit)
	}
}
