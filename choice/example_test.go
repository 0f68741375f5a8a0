package choice_test

import (
	"fmt"
	"time"

	"basaltcross.example/basaltcross/choice"
)

// Example shows the main loop of a relay: it passes events to Step and carries out the actions.
func Example() {
	c, err := choice.New(choice.Settings{
		Fleet: 1, Workers: 8, MaxHeld: 100, MaxAttempts: 4, Tick: 5 * time.Millisecond,
		Classes: []choice.Class{{Name: "status", Aim: 2 * time.Second, Deadline: 10 * time.Second,
			Worth: 1, LateShare: 0.5, Effect: choice.Safe}},
		Kinds: []choice.Kind{{PerCall: 1}},
		Rules: choice.Rules{OverloadFactor: 2, Fall: 2 * time.Second, ColdFrom: 0.2, Cold: 10 * time.Second},
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Duration(0)
	inbox := []choice.Event{
		choice.HostUpdate{Full: true, Hosts: []choice.Host{{Addr: "10.0.0.1:80", Dest: 7, State: choice.Ready}}},
		choice.Arrival{ID: "m1", Class: 0, Dest: 7, TimeLeft: 10 * time.Second},
	}
	for len(inbox) > 0 {
		actions := c.Step(now, inbox)
		inbox = nil
		for _, a := range actions {
			switch a := a.(type) {
			case choice.Send: // a relay would call a.Host here; this example reports a served call
				fmt.Printf("send %s to %s, timeout %v\n", a.ID, a.Host, a.Timeout)
				inbox = append(inbox, choice.Result{ID: a.ID, Host: a.Host, Outcome: choice.Served,
					Took: 80 * time.Millisecond, Done: true})
			case choice.Wake:
				fmt.Println("step again after", a.After)
			}
		}
		now += 80 * time.Millisecond
	}
	// Output:
	// send m1 to 10.0.0.1:80, timeout 10s
	// step again after 10ms
}
