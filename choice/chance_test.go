package choice

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// refusalSimulation is a simulation of a fleet of relays that send messages to one destination, which serves every
// call except for a random share that it refuses.
type refusalSimulation struct {
	relays  int
	rate    float64 // messages a second, over all relays
	refused float64 // share of the calls that is refused
	ordered bool
	restart bool // each relay restarts once, and restores the messages it holds
	listed  bool // the destination has a listed rate, twice that of the messages
	span    time.Duration
	seed    uint64
}

// callInFlight is a call with its future result.
type callInFlight struct {
	at     time.Duration
	result Result
}

// simulatedRelay is one relay of the simulation.
type simulatedRelay struct {
	chooser  *Chooser
	random   *rand.Rand
	wake     time.Duration
	calls    []callInFlight
	attempts map[string]int
	held     map[string]heldMessage
	restart  time.Duration
}

// heldMessage is a message without a final answer.
type heldMessage struct {
	Arrival
	due  time.Duration
	sent time.Duration // first attempt that ran; negative if none
}

const (
	// simulationTick is the time step of the simulation.
	simulationTick = 5 * ms
	// keysPerRate is the number of ordering keys for each message per second.
	keysPerRate = 2
)

func (p refusalSimulation) settings(index int) Settings {
	s := testSettings()
	s.Index, s.Fleet = index, p.relays
	s.ListedRates, s.MaxAttempts, s.ReportLimitIndex = p.listed, 6, -1
	each := p.rate / float64(p.relays)
	s.Workers, s.MaxHeld = 8+int(each/4), 50+int(10*each)
	inOrder := s.Classes[0]
	inOrder.Ordered = true
	s.Classes = []Class{s.Classes[0], inOrder}
	return s
}

func (p refusalSimulation) start(t *testing.T, r *simulatedRelay, index int, now time.Duration) {
	t.Helper()
	chooser, err := New(p.settings(index), p.seed+uint64(index))
	if err != nil {
		t.Fatal(err)
	}
	r.chooser, r.calls, r.wake = chooser, nil, now // the calls in flight get no result
	host := Host{Addr: "a", Dest: 1, State: Ready, Rate: 2 * p.rate}
	events := []Event{HostUpdate{Full: true, Hosts: []Host{host}}}
	for _, id := range slices.Sorted(maps.Keys(r.held)) {
		m := r.held[id]
		m.TimeLeft = m.due - now
		back := Restored{Arrival: m.Arrival, Attempts: r.attempts[id], MayHaveRun: m.sent >= 0, Since: now - m.sent}
		events = append(events, back)
	}
	r.carryOut(chooser.Step(now, events), now, p)
}

// carryOut carries out the actions of a relay.
func (r *simulatedRelay) carryOut(actions []Action, now time.Duration, p refusalSimulation) {
	for _, a := range actions {
		switch a := a.(type) {
		case Wake:
			r.wake = min(r.wake, now+a.After)
		case Refuse:
			delete(r.held, a.ID)
		case Fail:
			delete(r.held, a.ID)
		case Send:
			r.call(a, now, p)
		}
	}
}

func (r *simulatedRelay) call(a Send, now time.Duration, p refusalSimulation) {
	m := r.held[a.ID]
	outcome, took := Served, simulationTick+time.Duration(r.random.Int64N(int64(15*ms)))
	if r.random.Float64() < p.refused {
		outcome = Refused
	}
	if outcome == Served && m.sent < 0 {
		m.sent = now
		r.held[a.ID] = m
	}
	result := Result{ID: a.ID, Host: a.Host, Attempt: r.attempts[a.ID], Outcome: outcome, Took: took, Done: outcome == Served}
	r.attempts[a.ID]++
	r.calls = append(r.calls, callInFlight{now + took, result})
}

// outcomes returns the results that are due, and the number of messages delivered before their deadline.
func (r *simulatedRelay) outcomes(now time.Duration) (events []Event, delivered int) {
	var open []callInFlight
	for _, call := range r.calls {
		if call.at > now {
			open = append(open, call)
			continue
		}
		events = append(events, call.result)
		if m, held := r.held[call.result.ID]; held && call.result.Outcome == Served {
			if now <= m.due {
				delivered++
			}
			delete(r.held, call.result.ID)
		}
	}
	r.calls = open
	return events, delivered
}

// run runs the simulation and returns how many messages were handed in and how many delivered before their deadline.
func (p refusalSimulation) run(t *testing.T) (offered, delivered int) {
	t.Helper()
	random := rand.New(rand.NewPCG(p.seed, 7))
	relays := make([]*simulatedRelay, p.relays)
	for i := range relays {
		relays[i] = &simulatedRelay{random: rand.New(rand.NewPCG(p.seed, uint64(100+i))), attempts: map[string]int{}, held: map[string]heldMessage{}}
		if p.restart {
			relays[i].restart = p.span/4 + time.Duration(random.Int64N(int64(p.span/2)))
		}
		p.start(t, relays[i], i, 0)
	}
	s := p.settings(0)
	next := time.Duration(random.ExpFloat64() / p.rate * float64(time.Second))
	end := p.span + s.Classes[0].Deadline
	for now := simulationTick; now < end; now += simulationTick {
		for i, r := range relays {
			if p.restart && now-simulationTick < r.restart && r.restart <= now {
				p.start(t, r, i, now)
			}
		}
		arrivals := make([][]Event, p.relays)
		for ; next <= now && next < p.span; next += time.Duration(random.ExpFloat64() / p.rate * float64(time.Second)) {
			offered++
			m := Arrival{ID: fmt.Sprint("m", offered), Dest: 1, TimeLeft: s.Classes[0].Deadline}
			to := random.IntN(p.relays)
			if p.ordered {
				key := random.IntN(max(p.relays, int(keysPerRate*p.rate)))
				m.Class, m.Key, to = 1, fmt.Sprint("k", key), key%p.relays
			}
			r := relays[to]
			r.held[m.ID] = heldMessage{Arrival: m, due: now + m.TimeLeft, sent: -1}
			arrivals[to] = append(arrivals[to], m)
		}
		for i, r := range relays {
			events, done := r.outcomes(now)
			delivered += done
			events = append(events, arrivals[i]...)
			if len(events) == 0 && now < r.wake {
				continue
			}
			if now >= r.wake {
				events, r.wake = append(events, Woken{}), 1<<62
			}
			r.carryOut(r.chooser.Step(now, events), now, p)
		}
	}
	return offered, delivered
}

// deliveryTargets holds the least share of messages delivered in time, by the share of calls refused at random.
var deliveryTargets = []struct{ refused, delivered float64 }{{0.01, 0.99}, {0.05, 0.97}, {0.1, 0.95}, {0.2, 0.9}}

// runRefusalSimulations runs all cases with one seed and compares the share delivered with its target.
func runRefusalSimulations(t *testing.T, seed uint64, listed bool) {
	t.Helper()
	for _, target := range deliveryTargets {
		for _, relays := range []int{1, 30} {
			for _, rate := range []float64{2, 20, 200} {
				for _, ordered := range []bool{false, true} {
					for _, restart := range []bool{false, true} {
						p := refusalSimulation{relays: relays, rate: rate, refused: target.refused, ordered: ordered, restart: restart, listed: listed,
							span: time.Minute, seed: seed}
						name := fmt.Sprintf("refused=%v/relays=%d/rate=%v/ordered=%v/restart=%v", p.refused, relays, rate, ordered, restart)
						t.Run(name, func(t *testing.T) {
							t.Parallel()
							offered, delivered := p.run(t)
							t.Logf("%d of %d delivered", delivered, offered)
							if float64(delivered) < target.delivered*float64(offered) {
								t.Errorf("%d of %d delivered in time, want %v of them", delivered, offered, target.delivered)
							}
						})
					}
				}
			}
		}
	}
}

// TestRefusalsByChanceStarveNoDestination guards against cutting the rate of a destination that has capacity and
// refuses a few calls at random.
func TestRefusalsByChanceStarveNoDestination(t *testing.T) { runRefusalSimulations(t, 1, false) }

// TestRefusalsByChanceWithFurtherSeeds runs the same cases with more seeds, with and without a listed rate.
func TestRefusalsByChanceWithFurtherSeeds(t *testing.T) {
	const seeds = 5
	for seed := uint64(1); seed <= seeds; seed++ {
		for _, listed := range []bool{false, true} {
			t.Run(fmt.Sprintf("seed=%d/listed=%v", seed, listed), func(t *testing.T) { runRefusalSimulations(t, seed, listed) })
		}
	}
}
