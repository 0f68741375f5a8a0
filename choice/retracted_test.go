package choice

import (
	"testing"
	"time"
)

// TestRetractedRefusal guards against sending a message again, or refusing it, although its refusal belonged to
// another call and it may have run: a message that may be repeated waits for its next attempt, within its window; any
// other fails in the same step.
func TestRetractedRefusal(t *testing.T) {
	for _, x := range []struct {
		class Class
		since time.Duration
		fails bool
	}{
		{Class{Effect: Unsafe}, 0, true},
		{Class{Effect: Safe}, 0, false},
		{Class{Effect: Keyed, Window: time.Second}, 500 * time.Millisecond, false},
		{Class{Effect: Keyed, Window: time.Second}, 1500 * time.Millisecond, true},
	} {
		x.class.Aim, x.class.Deadline, x.class.Worth = time.Second, 6*time.Second, 1
		c, err := New(Settings{Fleet: 1, Workers: 8, MaxHeld: 100, MaxAttempts: 4, Tick: 5 * time.Millisecond, RefuseOnlyNeverRan: true, ReportLimitIndex: -1,
			Classes: []Class{x.class}, Kinds: []Kind{{PerCall: 1}},
			Rules: Rules{OverloadFactor: 2, Fall: time.Second, ColdFrom: 0.2, Cold: 5 * time.Second}}, 1)
		if err != nil {
			t.Fatal(err)
		}
		c.Step(0, []Event{HostUpdate{Full: true, Hosts: []Host{{Addr: "a", State: Ready}}}, Arrival{ID: "m", TimeLeft: 6 * time.Second}})
		now := 2 * time.Second
		c.Step(now, []Event{Result{ID: "m", Host: "a", Outcome: Refused, RetryAfter: time.Second}})
		failed, refused := false, false
		for _, a := range c.Step(now+time.Millisecond, []Event{Retracted{ID: "m", Since: x.since}, Retracted{ID: "unknown"}}) {
			switch a.(type) {
			case Fail:
				failed = true
			case Refuse:
				refused = true
			}
		}
		if failed != x.fails || refused {
			t.Errorf("%+v: failed %v, refused %v, want a failure if not repeatable", x.class, failed, refused)
		}
	}
}
