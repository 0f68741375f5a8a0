package choice

import (
	"testing"
	"time"
)

// TestPause guards against sends that the relay can't carry out, and against blaming hosts for the delay: during a
// pause nothing is sent and no unit becomes suspect. Afterwards waiting messages are sent; one that expires in the
// meantime is refused.
func TestPause(t *testing.T) {
	set := Settings{Fleet: 1, Workers: 8, MaxHeld: 100, MaxAttempts: 4, Tick: 5 * time.Millisecond, ReportLimitIndex: -1, Kinds: []Kind{{PerCall: 1}},
		Classes: []Class{{Aim: time.Second, Deadline: 4 * time.Second, Worth: 1}},
		Rules:   Rules{OverloadFactor: 2, Fall: time.Second, ColdFrom: 0.2, Cold: 5 * time.Second}}
	c, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	count := func(now time.Duration, events ...Event) (sends, refusals, logs int) {
		for _, a := range c.Step(now, events) {
			switch a.(type) {
			case Send:
				sends++
			case Refuse:
				refusals++
			case Log:
				logs++
			}
		}
		return sends, refusals, logs
	}
	count(0, HostUpdate{Full: true, Hosts: []Host{{Addr: "a", State: Ready}}}, Pause{On: true})
	arrivals := []Event{Arrival{ID: "short", TimeLeft: 500 * time.Millisecond}, Arrival{ID: "long", TimeLeft: 4 * time.Second}}
	sends, refusals, logs := count(0, arrivals...)
	for now := time.Millisecond; now < 2*time.Second; now += 5 * time.Millisecond {
		s, r, l := count(now, Woken{})
		sends, refusals, logs = sends+s, refusals+r, logs+l
	}
	if sends != 0 || refusals != 1 || logs != 0 {
		t.Errorf("%d sends, %d refusals and %d log lines during the pause, want 0, 1 and 0", sends, refusals, logs)
	}
	if sends, _, _ = count(2*time.Second, Pause{}); sends != 1 {
		t.Errorf("%d sends after the pause, want 1", sends)
	}
}
