// Package fleet is a discrete-event simulation of an installation: many relays, each with the
// program's own core, decision module and zone budget, against modelled partners. A run is
// determined by its seed. It covers sizes that a test on sockets can't reach, such as hundreds
// of relays and a thousand endpoints. Limits names what the model leaves out.
package fleet

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"basaltcross.example/basaltcross/choice"
	"basaltcross.example/basaltcross/internal/budget"
	"basaltcross.example/basaltcross/internal/core"
	"basaltcross.example/basaltcross/internal/ledger"
	"basaltcross.example/basaltcross/internal/zone"
)

// Limits names what the model leaves out.
const Limits = "no connections and their set-up, no clients that come again, no CPU; partners have service times, " +
	"slots and outages, and no rate limits"

// Policy selects how cross-zone traffic is limited.
type Policy string

// The policies compared: Budget divides the budget evenly among the relays; Ideal is one shared
// budget whose state all relays see without delay; NoBudget has none; ZoneBlindCap is a cap of
// the same size, divided evenly, on all traffic whatever its zone.
const (
	Budget       Policy = "budget"
	Ideal        Policy = "ideal"
	NoBudget     Policy = "no budget"
	ZoneBlindCap Policy = "zone-blind cap"
)

// Settings configures a run.
type Settings struct {
	Seed      uint64
	Policy    Policy
	Bytes     float64       // budget of the whole installation for a Window
	Window    time.Duration // length of the budget's window
	Relays    int
	Partners  int
	Zones     int
	Rate      float64       // messages per second of all relays together
	Duration  time.Duration // period in which messages arrive
	Overdraft float64       // overdraft of the at-most-once class, as a fraction of Bytes
	Skew      float64       // skew of the load; 0: even, 1: the first relay has twice the mean, the last none
	// Outage is the fraction of the partners whose first endpoint is down in the middle third
	// of the run, so that relays in its zone must send across zones.
	Outage float64
	// Silent makes the first zone's endpoints accept calls and never answer in the middle third
	// of the run. They return with a quarter of their slots; the others follow 5 s later.
	Silent bool
	// CrashShare is the fraction of the relays that crash halfway through the run.
	CrashShare float64
	// DetectionDelay is the delay after which the other relays learn that a relay is gone.
	DetectionDelay time.Duration
	// SizeTest configures a change of the fleet's size and what relays assume of it; nil for none.
	SizeTest *SizeTest
}

// Sizes and times of the modelled traffic.
const (
	requestBytes      = 600 // bytes, including headers
	responseBytes     = 400 // bytes, including headers
	medianServiceTime = 30 * time.Millisecond
	serviceTimeSpread = 0.5 // standard deviation of the logarithm of the service time
	slotsPerRelay     = 8   // concurrent calls of an endpoint, before scaling by relays per partner
)

// classes are the message classes of the modelled traffic.
var classes = []choice.Class{
	{Name: "status", Aim: time.Second, Deadline: 6 * time.Second, Worth: 1, LateShare: 0.3, Effect: choice.Safe},
	{Name: "order", Aim: time.Second, Deadline: 6 * time.Second, Worth: 2, LateShare: 0.3, Effect: choice.Keyed,
		Window: 20 * time.Second},
	{Name: "charge", Aim: time.Second, Deadline: 6 * time.Second, Worth: 5, LateShare: 0.3, Effect: choice.Unsafe},
}

// classShares are the fractions of the traffic by class, in the order of classes.
var classShares = []float64{0.6, 0.25, 0.15}

// Result is the result of a run. Asked, Delivered, ChargeAsked and Charge are sums of worth; Charge
// and ChargeAsked count the charge class only.
type Result struct {
	Policy       string  `parquet:"how,dict"`
	Seed         int64   `parquet:"seed"`
	Relays       int64   `parquet:"relays"`
	Bytes        float64 `parquet:"budget_bytes"`
	Asked        float64 `parquet:"worth_asked"`
	Delivered    float64 `parquet:"worth_delivered"`
	ChargeAsked  float64 `parquet:"charge_asked"`
	Charge       float64 `parquet:"charge_delivered"`
	Crossed      float64 `parquet:"bytes_crossed"`
	WorstWindow  float64 `parquet:"worst_window_bytes"` // most cross-zone bytes within any window
	Overdrawn    float64 `parquet:"overdrawn_bytes"`
	Refused      int64   `parquet:"refused"`
	Failed       int64   `parquet:"failed"`
	RefusedCalls int64   `parquet:"refused_calls"` // calls refused by partners' rate limits
	Overloaded   int64   `parquet:"pushed_over"`   // partners overloaded on their return from an outage
}

// event is an action at a simulated time; seq orders events of the same time.
type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

// events is the event queue, a heap ordered by time.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return x
}

// simulation is the state of one run.
type simulation struct {
	settings  Settings
	now       time.Duration
	seq       uint64
	queue     events
	rand      *rand.Rand // service times; arrivals have generators of their own and so are the same for each policy
	relays    []*relay
	hosts     map[string]*host
	limits    []*rateLimit // rate limits by partner; used with Settings.SizeTest only
	result    Result
	crossings []crossing
}

// crossing records bytes sent across zones.
type crossing struct {
	at    time.Duration
	bytes float64
}

// host is one modelled endpoint of a partner.
type host struct {
	zone       int
	rateLimit  *rateLimit      // rate limit shared by the partner's endpoints; nil for none
	slotFreeAt []time.Duration // time at which each slot becomes free
	down       bool
	silent     bool // accepts calls and never answers
}

// relay is one simulated relay; it is also its core's Caller and Observer.
type relay struct {
	w          *simulation
	index      int
	zone       int
	core       *core.Core
	zoneBudget *zone.Budget
	dead       bool
	nextStep   time.Duration // time of the next scheduled step; valid while armed
	armed      bool
}

// after schedules an action; a negative delay counts as 0.
func (w *simulation) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now + max(0, d), w.seq, do})
}

// Run simulates a run to its end, 10 s after the last arrival at most.
func Run(s Settings) (Result, error) {
	w := &simulation{settings: s, rand: rand.New(rand.NewPCG(s.Seed, 3)), hosts: map[string]*host{}}
	w.result = Result{Policy: string(s.Policy), Seed: int64(s.Seed), Relays: int64(s.Relays), Bytes: s.Bytes}
	var list []choice.Host
	for p := range s.Partners {
		for i := range 2 { // each partner has two endpoints, in neighbouring zones
			z := (p + i) % s.Zones
			addr := fmt.Sprintf("p%d-%d", p, i)
			w.hosts[addr] = &host{zone: z, rateLimit: w.limit(p),
				slotFreeAt: make([]time.Duration, max(slotsPerRelay, slotsPerRelay*s.Relays/s.Partners))}
			list = append(list, choice.Host{Addr: addr, Dest: p, Zone: z, Rate: w.listedRate(p), State: choice.Ready})
		}
	}
	assumedFleet := s.Relays
	if s.SizeTest != nil {
		assumedFleet = s.SizeTest.initialAssumedSize(s.Relays)
	}
	var sharedAccount *budget.Account
	for i := range s.Relays {
		r := &relay{w: w, index: i, zone: i % s.Zones}
		opt := core.Options{Seed: s.Seed + uint64(i), InboxSize: 1 << 20, Identities: 1 << 20,
			Retention: time.Minute, Caller: r, Observer: r, Clock: func() time.Duration { return w.now },
			Settings: choice.Settings{Index: i, Fleet: assumedFleet, ListedRates: s.SizeTest != nil && s.SizeTest.Listed,
				Workers: 64, MaxHeld: 2000, MaxAttempts: 4,
				Tick: 10 * time.Millisecond, Classes: classes,
				Kinds: []choice.Kind{{PerCall: 1, PerHostLimits: s.SizeTest == nil}}, Cancels: true,
				RefuseOnlyNeverRan: true, ReportLimitIndex: -1, ZoneFee: fees(s.Zones, r.zone),
				Rules: choice.Rules{OverloadFactor: 2,
					Fall: 2 * time.Second, ColdFrom: 0.2, Cold: 10 * time.Second}}}
		if s.Policy != NoBudget {
			set := budget.Settings{Bytes: s.Bytes, Window: s.Window, Burst: 0.25, Held: 0.3,
				First: requestBytes + responseBytes}
			for _, c := range classes {
				k := budget.Class{Worth: c.Worth}
				if c.Effect == choice.Unsafe {
					k.Overdraft = s.Bytes * s.Overdraft
				}
				set.Classes = append(set.Classes, k)
			}
			account, err := budget.New(set, s.Relays)
			if s.Policy == Ideal {
				if sharedAccount == nil {
					sharedAccount, err = budget.New(set, 1)
				}
				account = sharedAccount
			}
			if err != nil {
				return w.result, err
			}
			own := r.zone
			if s.Policy == ZoneBlindCap {
				own = -1
			}
			r.zoneBudget = zone.NewBudget(account, own)
			opt.ZoneBudget = r.zoneBudget
		}
		var err error
		if r.core, err = core.New(opt); err != nil {
			return w.result, err
		}
		w.relays = append(w.relays, r)
		r.dead = s.SizeTest != nil && i >= s.SizeTest.From
		r.core.List(choice.HostUpdate{Full: true, Hosts: list})
		r.step()
	}
	if s.SizeTest != nil {
		w.scheduleSizeTest()
	} else {
		w.schedule()
	}
	for len(w.queue) > 0 && w.now < s.Duration+10*time.Second {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	for _, r := range w.relays {
		if r.zoneBudget != nil && (s.Policy != Ideal || r.index == 0) {
			w.result.Overdrawn += r.zoneBudget.State(w.now).Overdrawn
		}
	}
	w.findWorstWindow()
	return w.result, nil
}

// fees returns the zone fees of a relay, which give its own zone a slight preference.
func fees(zones, own int) []float64 {
	f := make([]float64, zones)
	for z := range f {
		if z != own {
			f[z] = 0.05
		}
	}
	return f
}

// schedule schedules the arrivals and the faults.
func (w *simulation) schedule() {
	s := w.settings
	for i, r := range w.relays {
		part := 1.0
		if n := float64(len(w.relays) - 1); n > 0 {
			part += s.Skew * (1 - 2*float64(i)/n)
		}
		if rate := s.Rate / float64(s.Relays) * part; rate > 0 {
			w.arrivals(r, func() float64 { return rate })
		}
	}
	if s.Outage > 0 {
		w.after(s.Duration/3, func() { w.setOutage(true) })
		w.after(2*s.Duration/3, func() { w.setOutage(false) })
	}
	if s.Silent {
		w.after(s.Duration/3, func() { w.setSilence(true) })
		w.after(2*s.Duration/3, func() { w.setSilence(false) })
	}
	if dying := int(s.CrashShare * float64(s.Relays)); dying > 0 {
		w.after(s.Duration/2, func() {
			for _, r := range w.relays[:dying] {
				r.dead = true
			}
			w.after(s.DetectionDelay, func() {
				for _, r := range w.relays[dying:] {
					if r.zoneBudget != nil && s.Policy != Ideal {
						r.zoneBudget.Fleet(w.now, s.Relays-dying)
					}
				}
			})
		})
	}
}

// setSilence begins or ends the silence of the first zone. On return three quarters of the slots stay
// blocked for another 5 s.
func (w *simulation) setSilence(on bool) {
	for _, h := range w.hosts {
		if h.zone != 0 {
			continue
		}
		if h.silent = on; !on {
			for i := range h.slotFreeAt {
				h.slotFreeAt[i] = w.now
				if i%4 != 0 {
					h.slotFreeAt[i] += 5 * time.Second
				}
			}
		}
	}
}

// setOutage takes the first endpoint of a fraction of the partners down, or brings it back.
func (w *simulation) setOutage(on bool) {
	for p := range int(w.settings.Outage * float64(w.settings.Partners)) {
		w.hosts[fmt.Sprintf("p%d-0", p)].down = on
	}
}

// arrivals schedules a relay's messages as a Poisson process, until the relay dies.
func (w *simulation) arrivals(r *relay, rate func() float64) {
	rng := rand.New(rand.NewPCG(w.settings.Seed, uint64(100+r.index)))
	var next func()
	next = func() {
		if w.now >= w.settings.Duration || r.dead {
			return
		}
		class, x := 0, rng.Float64()
		for class < len(classShares)-1 && x > classShares[class] {
			x -= classShares[class]
			class++
		}
		// A few partners get most of the traffic.
		partner := int(float64(w.settings.Partners) * math.Pow(rng.Float64(), 2))
		w.result.Asked += classes[class].Worth
		if class == 2 {
			w.result.ChargeAsked += classes[class].Worth
		}
		w.seq++
		_ = r.core.Submit(&core.Message{Identity: fmt.Sprint(w.seq), Class: class, Partner: partner,
			Left: classes[class].Deadline, Reply: &reply{r, class, w.now}})
		r.step()
		w.after(time.Duration(rng.ExpFloat64()/rate()*1e9), next)
	}
	w.after(time.Duration(rng.ExpFloat64()/rate()*1e9), next)
}

// reply adds a message's final answer to the result.
type reply struct {
	r       *relay
	class   int
	arrival time.Duration
}

func (p *reply) Taken(error) {}
func (p *reply) Answer(a ledger.Answer) {
	w, k := p.r.w, classes[p.class]
	switch a.Verdict {
	case ledger.Refused:
		w.result.Refused++
	case ledger.Failed:
		w.result.Failed++
	case ledger.Delivered:
		worth, age := k.Worth, w.now-p.arrival
		if age > k.Aim {
			worth *= math.Max(0, 1-(1-k.LateShare)*float64(age-k.Aim)/float64(k.Deadline-k.Aim))
		}
		w.result.Delivered += worth
		if p.class == 2 {
			w.result.Charge += worth
		}
	}
}

// step runs the relay's core and schedules its next step.
func (r *relay) step() {
	if r.dead {
		return
	}
	next := r.core.Step()
	if next < 0 || r.armed && r.nextStep <= next {
		return
	}
	r.armed, r.nextStep = true, next
	r.w.after(next-r.w.now, func() {
		if r.armed && r.nextStep == next {
			r.armed = false
			r.step()
		}
	})
}

// attempt is a call in flight.
type attempt struct {
	r     *relay
	ended bool
}

func (a *attempt) Abort() (started, ok bool) {
	ok = !a.ended
	a.ended = true
	return true, ok
}

func (a *attempt) Recall() bool { return false }

func (a *attempt) AnswerPending() bool { return false }

// Send models one call, which the slot of the endpoint that is free first serves.
func (r *relay) Send(c core.Call) core.Attempt {
	w, h, a := r.w, r.w.hosts[c.Host], &attempt{r: r}
	end := func(o choice.Outcome, took time.Duration, bytes int64) {
		w.after(took, func() {
			if a.ended || r.dead {
				return
			}
			a.ended = true
			if bytes > 0 {
				c.BytesPassed.Add(bytes)
				w.countCrossZone(r, h, float64(bytes))
			}
			c.End(core.Ending{Outcome: o, Took: took})
			r.step()
		})
	}
	if h.rateLimit != nil && !h.down && !h.rateLimit.admit(w) {
		w.result.RefusedCalls++
		end(choice.Refused, time.Millisecond, 0)
		return a
	}
	if h.down {
		end(choice.NoConnection, time.Millisecond, 0)
		return a
	}
	c.BytesPassed.Add(requestBytes)
	w.countCrossZone(r, h, requestBytes)
	if h.silent {
		return a
	}
	first := 0
	for i, f := range h.slotFreeAt {
		if f < h.slotFreeAt[first] {
			first = i
		}
	}
	took := time.Duration(float64(medianServiceTime) * math.Exp(serviceTimeSpread*w.rand.NormFloat64()))
	done := max(w.now, h.slotFreeAt[first]) + took
	h.slotFreeAt[first] = done
	end(choice.Served, done-w.now, responseBytes)
	return a
}

// countCrossZone counts bytes of a call if it crosses zones.
func (w *simulation) countCrossZone(r *relay, h *host, bytes float64) {
	if h.zone != r.zone {
		w.result.Crossed += bytes
		w.crossings = append(w.crossings, crossing{w.now, bytes})
	}
}

// findWorstWindow finds the window with the most cross-zone bytes.
func (w *simulation) findWorstWindow() {
	sum, from := 0.0, 0
	for _, c := range w.crossings {
		for sum += c.bytes; c.at-w.crossings[from].at > w.settings.Window; from++ {
			sum -= w.crossings[from].bytes
		}
		w.result.WorstWindow = math.Max(w.result.WorstWindow, sum)
	}
}

func (r *relay) CloseIdle(string)                             {}
func (r *relay) Taken(int)                                    {}
func (r *relay) Answered(int, ledger.Answer, time.Duration)   {}
func (r *relay) Attempted(int, choice.Outcome, time.Duration) {}
func (r *relay) Log(string)                                   {}
func (r *relay) Gauge(int, int, int, int)                     {}
