// Package fleet models an installation in simulated time: many relays, each with
// the program's own core, decision module and zone budget, against modelled
// partners, from one seed. What sockets can't reach (hundreds of relays, a
// thousand endpoints) is tried here; what the model leaves out says Limits.
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

// Limits says what the model leaves out.
const Limits = "no connections and their set-up, no clients that come again, no CPU; partners have service times, " +
	"slots and outages, and no rate limits"

// How crossing zones is limited.
type How string

// The ways compared: the budget, shared evenly; the ideal, one purse for all
// relays that each sees at once; no budget; and a cap of the same size, shared
// evenly, on all traffic whatever its zone.
const (
	Budget How = "budget"
	Ideal  How = "ideal"
	None   How = "no budget"
	Blind  How = "zone-blind cap"
)

// Settings of a run.
type Settings struct {
	Seed      uint64
	How       How
	Bytes     float64       // of the installation over Window
	Window    time.Duration // of the budget
	Relays    int
	Partners  int
	Zones     int
	Rate      float64       // messages a second of all relays
	Lasts     time.Duration // messages arrive for so long
	Overdraft float64       // of the at-most-once class, as a share of Bytes
	Uneven    float64       // 0: even load of relays; 1: the first has twice the mean, the last none
	// Near endpoints of a part of the partners are gone from a third of the run
	// to two thirds, so that their traffic must cross.
	Outage float64
	// Silent makes the first zone take calls and never answer in the middle third;
	// it returns with a quarter of its slots.
	Silent bool
	// Die is the part of the relays that die at half the time; the others learn
	// of it Late after.
	Die  float64
	Late time.Duration
	// Size tests what relays believe of the fleet's size; nil for none of it.
	Size *Size
}

// Sizes and times of the modelled traffic.
const (
	request  = 600 // bytes
	response = 400
	service  = 30 * time.Millisecond // median
	spread   = 0.5                   // sigma of its logarithm
	slots    = 8                     // calls at once for each relay's part of an endpoint's load
)

var classes = []choice.Class{
	{Name: "status", Aim: time.Second, Deadline: 6 * time.Second, Worth: 1, LateShare: 0.3, Effect: choice.Safe},
	{Name: "order", Aim: time.Second, Deadline: 6 * time.Second, Worth: 2, LateShare: 0.3, Effect: choice.Keyed,
		Window: 20 * time.Second},
	{Name: "charge", Aim: time.Second, Deadline: 6 * time.Second, Worth: 5, LateShare: 0.3, Effect: choice.Unsafe},
}

var shares = []float64{0.6, 0.25, 0.15}

// Result of a run.
type Result struct {
	How         string  `parquet:"how,dict"`
	Seed        int64   `parquet:"seed"`
	Relays      int64   `parquet:"relays"`
	Bytes       float64 `parquet:"budget_bytes"`
	Asked       float64 `parquet:"worth_asked"`
	Delivered   float64 `parquet:"worth_delivered"`
	ChargeAsked float64 `parquet:"charge_asked"`
	Charge      float64 `parquet:"charge_delivered"`
	Crossed     float64 `parquet:"bytes_crossed"`
	Worst       float64 `parquet:"worst_window_bytes"` // most that crossed within any window
	Over        float64 `parquet:"overdrawn_bytes"`
	Refused     int64   `parquet:"refused"`
	Failed      int64   `parquet:"failed"`
	Shut        int64   `parquet:"refused_calls"` // by partners' limits
	Pushed      int64   `parquet:"pushed_over"`   // partners that fell over as they returned
}

// event is something that happens at a time; seq keeps equal times in order.
type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

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

// World is one run.
type World struct {
	set     Settings
	now     time.Duration
	seq     uint64
	queue   events
	rand    *rand.Rand // of service times; arrivals have their own, so that runs compare in pairs
	relays  []*relay
	hosts   map[string]*host
	limits  []*limited // by partner, with Size
	result  Result
	crossed []crossing
}

type crossing struct {
	at    time.Duration
	bytes float64
}

type host struct {
	zone    int
	limited *limited        // shared by the partner's endpoints; nil for none
	free    []time.Duration // when each slot is free
	gone    bool
	mute    bool // takes calls and never answers
}

type relay struct {
	w     *World
	index int
	zone  int
	core  *core.Core
	toll  *zone.Budget
	dead  bool
	wake  time.Duration // the next step that is scheduled
	armed bool
}

func (w *World) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now + max(0, d), w.seq, do})
}

// Run plays a run to its end.
func Run(s Settings) (Result, error) {
	w := &World{set: s, rand: rand.New(rand.NewPCG(s.Seed, 3)), hosts: map[string]*host{}}
	w.result = Result{How: string(s.How), Seed: int64(s.Seed), Relays: int64(s.Relays), Bytes: s.Bytes}
	var list []choice.Host
	for p := range s.Partners {
		for i := range 2 { // in two zones each
			z := (p + i) % s.Zones
			addr := fmt.Sprintf("p%d-%d", p, i)
			w.hosts[addr] = &host{zone: z, limited: w.limit(p), free: make([]time.Duration, max(slots, slots*s.Relays/s.Partners))}
			list = append(list, choice.Host{Addr: addr, Dest: p, Zone: z, Rate: w.rateOf(p), State: choice.Ready})
		}
	}
	believed := s.Relays
	if s.Size != nil {
		believed = s.Size.configured(s.Relays)
	}
	var purse *budget.Account
	for i := range s.Relays {
		r := &relay{w: w, index: i, zone: i % s.Zones}
		opt := core.Options{Seed: s.Seed + uint64(i), InboxSize: 1 << 20, Identities: 1 << 20,
			Retention: time.Minute, Caller: r, Observer: r, Clock: func() time.Duration { return w.now },
			Settings: choice.Settings{Index: i, Fleet: believed, ListedRates: s.Size != nil && s.Size.Listed, Workers: 64, MaxHeld: 2000, MaxAttempts: 4,
				Tick: 10 * time.Millisecond, Classes: classes, Kinds: []choice.Kind{{PerCall: 1, PerHostLimits: s.Size == nil}}, Cancels: true,
				RefuseOnlyNeverRan: true, ReportLimitIndex: -1, ZoneFee: fees(s.Zones, r.zone), Rules: choice.Rules{OverloadFactor: 2,
					Fall: 2 * time.Second, ColdFrom: 0.2, Cold: 10 * time.Second}}}
		if s.How != None {
			set := budget.Settings{Bytes: s.Bytes, Window: s.Window, Burst: 0.25, Held: 0.3, First: request + response}
			for _, c := range classes {
				k := budget.Class{Worth: c.Worth}
				if c.Effect == choice.Unsafe {
					k.Overdraft = s.Bytes * s.Overdraft
				}
				set.Classes = append(set.Classes, k)
			}
			book, err := budget.New(set, s.Relays)
			if s.How == Ideal {
				if purse == nil {
					purse, err = budget.New(set, 1)
				}
				book = purse
			}
			if err != nil {
				return w.result, err
			}
			own := r.zone
			if s.How == Blind {
				own = -1
			}
			r.toll = zone.NewBudget(book, own)
			opt.ZoneBudget = r.toll
		}
		var err error
		if r.core, err = core.New(opt); err != nil {
			return w.result, err
		}
		w.relays = append(w.relays, r)
		r.dead = s.Size != nil && i >= s.Size.From
		r.core.List(choice.HostUpdate{Full: true, Hosts: list})
		r.step()
	}
	if s.Size != nil {
		w.planSize()
	} else {
		w.plan()
	}
	for len(w.queue) > 0 && w.now < s.Lasts+10*time.Second {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	for _, r := range w.relays {
		if r.toll != nil && (s.How != Ideal || r.index == 0) {
			w.result.Over += r.toll.State(w.now).Overdrawn
		}
	}
	w.worst()
	return w.result, nil
}

// fees make a relay like its own zone a little better.
func fees(zones, own int) []float64 {
	f := make([]float64, zones)
	for z := range f {
		if z != own {
			f[z] = 0.05
		}
	}
	return f
}

// plan schedules arrivals and troubles.
func (w *World) plan() {
	s := w.set
	for i, r := range w.relays {
		part := 1.0
		if n := float64(len(w.relays) - 1); n > 0 {
			part += s.Uneven * (1 - 2*float64(i)/n)
		}
		if rate := s.Rate / float64(s.Relays) * part; rate > 0 {
			w.arrivals(r, func() float64 { return rate })
		}
	}
	if s.Outage > 0 {
		w.after(s.Lasts/3, func() { w.outage(true) })
		w.after(2*s.Lasts/3, func() { w.outage(false) })
	}
	if s.Silent {
		w.after(s.Lasts/3, func() { w.silence(true) })
		w.after(2*s.Lasts/3, func() { w.silence(false) })
	}
	if dying := int(s.Die * float64(s.Relays)); dying > 0 {
		w.after(s.Lasts/2, func() {
			for _, r := range w.relays[:dying] {
				r.dead = true
			}
			w.after(s.Late, func() {
				for _, r := range w.relays[dying:] {
					if r.toll != nil && s.How != Ideal {
						r.toll.Fleet(w.now, s.Relays-dying)
					}
				}
			})
		})
	}
}

// silence begins or ends that of the first zone; it returns cold.
func (w *World) silence(on bool) {
	for _, h := range w.hosts {
		if h.zone != 0 {
			continue
		}
		if h.mute = on; !on {
			for i := range h.free {
				h.free[i] = w.now
				if i%4 != 0 {
					h.free[i] += 5 * time.Second
				}
			}
		}
	}
}

func (w *World) outage(on bool) {
	for p := range int(w.set.Outage * float64(w.set.Partners)) {
		w.hosts[fmt.Sprintf("p%d-0", p)].gone = on
	}
}

func (w *World) arrivals(r *relay, rate func() float64) {
	chance := rand.New(rand.NewPCG(w.set.Seed, uint64(100+r.index)))
	var next func()
	next = func() {
		if w.now >= w.set.Lasts || r.dead {
			return
		}
		class, x := 0, chance.Float64()
		for class < len(shares)-1 && x > shares[class] {
			x -= shares[class]
			class++
		}
		// A few partners get much of the traffic.
		partner := int(float64(w.set.Partners) * math.Pow(chance.Float64(), 2))
		w.result.Asked += classes[class].Worth
		if class == 2 {
			w.result.ChargeAsked += classes[class].Worth
		}
		w.seq++
		_ = r.core.Submit(&core.Message{Identity: fmt.Sprint(w.seq), Class: class, Partner: partner,
			Left: classes[class].Deadline, Reply: &reply{r, class, w.now}})
		r.step()
		w.after(time.Duration(chance.ExpFloat64()/rate()*1e9), next)
	}
	w.after(time.Duration(chance.ExpFloat64()/rate()*1e9), next)
}

// reply books a final answer.
type reply struct {
	r     *relay
	class int
	at    time.Duration
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
		worth, age := k.Worth, w.now-p.at
		if age > k.Aim {
			worth *= math.Max(0, 1-(1-k.LateShare)*float64(age-k.Aim)/float64(k.Deadline-k.Aim))
		}
		w.result.Delivered += worth
		if p.class == 2 {
			w.result.Charge += worth
		}
	}
}

// step lets a relay work now, and arms its next wake-up.
func (r *relay) step() {
	if r.dead {
		return
	}
	next := r.core.Step()
	if next < 0 || r.armed && r.wake <= next {
		return
	}
	r.armed, r.wake = true, next
	r.w.after(next-r.w.now, func() {
		if r.armed && r.wake == next {
			r.armed = false
			r.step()
		}
	})
}

// attempt is a call that is out.
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

// Send models one call: the first free slot of the endpoint serves it.
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
				w.cross(r, h, float64(bytes))
			}
			c.End(core.Ending{Outcome: o, Took: took})
			r.step()
		})
	}
	if h.limited != nil && !h.gone && !h.limited.take(w) {
		w.result.Shut++
		end(choice.Refused, time.Millisecond, 0)
		return a
	}
	if h.gone {
		end(choice.NoConnection, time.Millisecond, 0)
		return a
	}
	c.BytesPassed.Add(request)
	w.cross(r, h, request)
	if h.mute {
		return a
	}
	first := 0
	for i, f := range h.free {
		if f < h.free[first] {
			first = i
		}
	}
	took := time.Duration(float64(service) * math.Exp(spread*w.rand.NormFloat64()))
	done := max(w.now, h.free[first]) + took
	h.free[first] = done
	end(choice.Served, done-w.now, response)
	return a
}

func (w *World) cross(r *relay, h *host, bytes float64) {
	if h.zone != r.zone {
		w.result.Crossed += bytes
		w.crossed = append(w.crossed, crossing{w.now, bytes})
	}
}

// worst finds the window in which most crossed.
func (w *World) worst() {
	sum, from := 0.0, 0
	for _, c := range w.crossed {
		for sum += c.bytes; c.at-w.crossed[from].at > w.set.Window; from++ {
			sum -= w.crossed[from].bytes
		}
		w.result.Worst = math.Max(w.result.Worst, sum)
	}
}

func (r *relay) CloseIdle(string)                             {}
func (r *relay) Taken(int)                                    {}
func (r *relay) Answered(int, ledger.Answer, time.Duration)   {}
func (r *relay) Attempted(int, choice.Outcome, time.Duration) {}
func (r *relay) Log(string)                                   {}
func (r *relay) Gauge(int, int, int, int)                     {}
