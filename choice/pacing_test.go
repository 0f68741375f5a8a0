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
