package choice

import (
	"testing"
	"time"
)

// TestUnprovenRefusal guards against sending a message again, or refusing it, although its refusal may belong to
// another call and it may have run: a message that may be repeated waits for its next attempt, within its window; any
// other fails in the same step.
func TestUnprovenRefusal(t *testing.T) {
	for _, x := range []struct {
		class   Class
		outcome Outcome
		took    time.Duration
		fails   bool
	}{
		{Class{Effect: Unsafe}, Refused, time.Second, true},
		{Class{Effect: Unsafe}, NotSent, time.Second, true},
		{Class{Effect: Safe}, Refused, time.Second, false},
		{Class{Effect: Keyed, Window: time.Second}, Refused, 500 * time.Millisecond, false},
		{Class{Effect: Keyed, Window: time.Second}, Refused, 1500 * time.Millisecond, true},
	} {
		x.class.Aim, x.class.Deadline, x.class.Worth = time.Second, 6*time.Second, 1
		c, err := New(Settings{Fleet: 1, Workers: 8, MaxHeld: 100, MaxAttempts: 4, Tick: 5 * time.Millisecond, RefuseOnlyNeverRan: true, ReportLimitIndex: -1,
			Classes: []Class{x.class}, Kinds: []Kind{{PerCall: 1}},
			Rules: Rules{OverloadFactor: 2, Fall: time.Second, ColdFrom: 0.2, Cold: 5 * time.Second}}, 1)
		if err != nil {
			t.Fatal(err)
		}
		c.Step(0, []Event{HostUpdate{Full: true, Hosts: []Host{{Addr: "a", State: Ready}}}, Arrival{ID: "m", TimeLeft: 6 * time.Second}})
		failed, refused := false, false
		for _, a := range c.Step(x.took, []Event{Result{ID: "m", Host: "a", Outcome: x.outcome, Took: x.took,
			RetryAfter: time.Second, Unproven: true}}) {
			switch a.(type) {
			case Fail:
				failed = true
			case Refuse:
				refused = true
			}
		}
		if failed != x.fails || refused {
			t.Errorf("%+v, %s: failed %v, refused %v, want a failure if not repeatable", x.class, x.outcome, failed, refused)
		}
	}
}

// TestKeyWaitsBehindAnUnprovenEnd guards against messages of a key out of order: the next one is sent at once behind
// an answer that may belong to another call, while the one before may still run.
func TestKeyWaitsBehindAnUnprovenEnd(t *testing.T) {
	const settle, sent = 100 * time.Millisecond, 10 * time.Millisecond
	for _, x := range []struct {
		result Result
		waits  bool
	}{
		{Result{Outcome: Refused, Unproven: true}, true},
		{Result{Outcome: NotSent, Unproven: true, Over: true}, true},
		{Result{Outcome: Doubted, Unproven: true, Over: true}, true},
		{Result{Outcome: Served, Unproven: true, Over: true}, true}, // too late for the client
		{Result{Outcome: Served, Over: true}, false},
		{Result{Outcome: NotSent, Over: true}, false},
	} {
		c, err := New(Settings{Fleet: 1, Workers: 8, MaxHeld: 100, MaxAttempts: 4, Tick: 5 * time.Millisecond, ReportLimitIndex: -1,
			Classes: []Class{{Effect: Unsafe, Ordered: true, Aim: time.Second, Deadline: 6 * time.Second, Worth: 1}}, Kinds: []Kind{{PerCall: 1}},
			Rules: Rules{OverloadFactor: 2, Fall: time.Second, ColdFrom: 0.2, Cold: 5 * time.Second, OrderSettle: settle}}, 1)
		if err != nil {
			t.Fatal(err)
		}
		c.Step(0, []Event{HostUpdate{Full: true, Hosts: []Host{{Addr: "a", State: Ready}}},
			Arrival{ID: "first", Key: "k", TimeLeft: 6 * time.Second}, Arrival{ID: "next", Key: "k", TimeLeft: 6 * time.Second}})
		x.result.ID, x.result.Host, x.result.Took = "first", "a", sent
		at := time.Duration(0)
		events := []Event{x.result}
		for now := sent; at == 0 && now < 5*time.Second; now += 5 * time.Millisecond {
			for _, a := range c.Step(now, events) {
				if s, ok := a.(Send); ok && s.ID == "next" {
					at = now
				}
			}
			events = []Event{Woken{}}
		}
		if waited := at >= sent+settle; at == 0 || waited != x.waits {
			t.Errorf("%+v: the next message of the key is sent at %s, want it to wait: %v", x.result, at, x.waits)
		}
	}
}
