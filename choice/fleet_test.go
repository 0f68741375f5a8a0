package choice

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// outageSimulation is a simulation of one destination that fails for some time and returns cold, called by a fleet of
// relays that don't communicate. A call gets its result after some time.
type outageSimulation struct {
	relays        []*Chooser
	params        Rules
	rate          float64           // capacity in calls per second when warm
	outageEnd     time.Duration     // end of the outage
	outageOutcome Outcome           // outcome of calls during the outage
	shareWithWait float64           // share of the refusals that carry the time until the end of the outage
	callsAfter    []callAfterOutage // calls after the outage
}

// callAfterOutage is a call after the outage.
type callAfterOutage struct {
	at        time.Duration
	sawOutage bool // sent by a relay that had a failed or refused call during the outage
}

// pendingResult is the future result of a call.
type pendingResult struct {
	at     time.Duration
	relay  int
	result Result
}

// run sends messages to the fleet for 30 s, at the given share of the capacity, with an outage from 5 s to outageEnd.
// It looks at the windows of Rules.Fall after the outage in which more than two thirds of the calls came from relays
// that had noticed it. over is the largest ratio of the calls in such a window to N + 2 sqrt(N) + 2, where N is the
// number that the rules allow and the rest allows for random variation.
func (w *outageSimulation) run(t *testing.T, fleet int, load float64, seed uint64) (over float64, served int) {
	t.Helper()
	const outageStart = 5 * time.Second
	s := Settings{Fleet: fleet, Workers: 6, MaxHeld: 60, MaxAttempts: 6, Tick: 5 * ms, Cancels: true, ListedRates: true, RefuseOnlyNeverRan: true,
		ReportLimitIndex: -1, ConnIdle: 15 * time.Second, Classes: []Class{
			{Name: "safe", Aim: 2 * time.Second, Deadline: 10 * time.Second, Worth: 1, LateShare: 0.5, Effect: Safe},
			{Name: "unsafe", Aim: 2 * time.Second, Deadline: 10 * time.Second, Worth: 1, LateShare: 0.5, Effect: Unsafe}},
		Kinds: []Kind{{PerCall: 1}}, Rules: w.params}
	for i := range fleet {
		one := s
		one.Index = i
		c, err := New(one, seed+uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		c.Step(0, []Event{HostUpdate{Full: true, Hosts: []Host{{Addr: "a", Dest: 1, Rate: w.rate, State: Ready}}}})
		w.relays = append(w.relays, c)
	}
	random := rand.New(rand.NewPCG(seed, 5))
	pending := make([][]pendingResult, fleet)
	tries := make([]map[string]int, fleet)
	for i := range tries {
		tries[i] = map[string]int{}
	}
	sawOutage, wake := make([]bool, fleet), slices.Repeat([]time.Duration{math.MaxInt64}, fleet)
	n := 0
	for now := time.Duration(0); now < 30*time.Second; now += 5 * ms {
		events := make([][]Event, fleet)
		for random.Float64() < load*w.rate*0.005 { // the expected number for each step
			i := random.IntN(fleet)
			n++
			events[i] = append(events[i], Arrival{ID: fmt.Sprint("m", n), Class: random.IntN(2), Dest: 1, TimeLeft: 10 * time.Second})
			if load*w.rate*0.005 < 1 {
				break
			}
		}
		for i, c := range w.relays {
			if len(events[i]) == 0 && len(pending[i]) == 0 && now < wake[i] {
				continue
			}
			if now >= wake[i] {
				events[i], wake[i] = append(events[i], Woken{}), math.MaxInt64
			}
			keep := pending[i][:0]
			for _, d := range pending[i] {
				if d.at <= now {
					events[i] = append(events[i], d.result)
					if d.result.Outcome == Served {
						served++
					} else if now < w.outageEnd {
						sawOutage[i] = true
					}
				} else {
					keep = append(keep, d)
				}
			}
			pending[i] = keep
			for _, a := range c.Step(now, events[i]) {
				switch a := a.(type) {
				case Wake:
					wake[i] = min(wake[i], now+a.After)
				case Send:
					took, o := 100*ms, Served
					if now >= outageStart && now < w.outageEnd {
						if o = w.outageOutcome; o == Timeout {
							took = a.Timeout
						}
					} else if now >= w.outageEnd {
						w.callsAfter = append(w.callsAfter, callAfterOutage{now, sawOutage[i]})
					}
					wait := time.Duration(0)
					if o == Refused && random.Float64() < w.shareWithWait {
						wait = w.outageEnd - now
					}
					k := tries[i][a.ID]
					tries[i][a.ID]++
					pending[i] = append(pending[i], pendingResult{now + took, i, Result{ID: a.ID, Host: "a", Attempt: k, Outcome: o, Took: took, RetryAfter: wait,
						Done: o == Served}})
				case Cancel:
					for j := range pending[i] {
						if d := &pending[i][j]; d.result.ID == a.ID && d.result.Attempt == a.Attempt {
							d.at, d.result.Outcome, d.result.Took = now, Cancelled, min(d.result.Took, now)
						}
					}
				}
			}
		}
	}
	k := w.params
	for i, end := range w.callsAfter {
		calls, fromAware := 0, 0
		for j := i; j >= 0 && end.at-w.callsAfter[j].at < k.Fall; j-- {
			if calls++; w.callsAfter[j].sawOutage {
				fromAware++
			}
		}
		since := (end.at - w.outageEnd).Seconds() / k.Cold.Seconds()
		if since >= 1 {
			break
		}
		allowed := k.OverloadFactor * (k.ColdFrom + (1-k.ColdFrom)*since) * w.rate * k.Fall.Seconds()
		if 3*fromAware <= 2*calls {
			continue // relays that noticed the outage are not the cause of this load
		}
		over = max(over, float64(calls)/(allowed+2*math.Sqrt(allowed)+2))
	}
	return over, served
}

// TestFleetStaysWithinColdBudget guards against overloading a destination that returns cold with the sum of a fleet's
// calls, for small and large fleets, for each kind of outage, and for destinations of small and large capacity.
func TestFleetStaysWithinColdBudget(t *testing.T) {
	rules := Rules{AnswerGrace: 20 * ms, DrainGrace: time.Second, OverloadFactor: 2.5, Fall: 3 * time.Second, ColdFrom: 0.13, Cold: 9600 * ms}
	// Closed destinations in production ask for a wait in at least 17 of 100 refusals.
	for how, tells := range map[Outcome]float64{Timeout: 0, Error: 0, Refused: 0.17, NoConnection: 0} {
		for _, fleet := range []int{3, 25, 300} {
			for _, rate := range []float64{3, 12, 50} {
				worst, served := 0.0, 0
				for seed := range uint64(max(1, 4-fleet/100)) { // a large fleet is slow to simulate
					w := &outageSimulation{params: rules, rate: rate, outageEnd: 15 * time.Second, outageOutcome: how, shareWithWait: tells}
					over, n := w.run(t, fleet, 0.8, seed+1)
					worst, served = max(worst, over), served+n
				}
				t.Logf("%v, %d relays, %v calls/s: %.2f of the limit, %d served", how, fleet, rate, worst, served)
				if worst > 1 {
					t.Errorf("%v, %d relays, %v calls/s: %.2f of the limit, want at most 1", how, fleet, rate, worst)
				}
			}
		}
	}
}
