package choice

// The decisions of the relay. In reading order: constants; the host list; the timeout estimator; health,
// waits and back-off; arrivals and results; key ordering; dispatch. Admission, pacing and final answers have
// their own files.

import (
	"cmp"
	"fmt"
	"math"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// buckets is the number of buckets of a latency table, H in the paper on the timeout estimator. They
	// cover the longest Aim.
	buckets = 100
	// minSamples is the number of samples from which a latency table is used: the 98% edge of fewer means
	// nothing.
	minSamples = 30
	// memory is the number of samples over which a latency table decays. Twice the number of buckets fills
	// the buckets of the tail and still adapts.
	memory = 200
	// wasted is the cost of a restart (c in the paper) in mean latencies: the abandoned attempt goes on
	// running, and the next one queues behind it.
	wasted = 4.0
	// outage is the number of failures among the last history outcomes of a unit from which it is suspect:
	// a single stray error is not an outage.
	history, outage = 5, 2
	// margin is the time in ticks, before the deadline, at which a waiting message gets its final answer.
	margin = 4
	// budgetShare is the share that is used of the rules' call budget for a warming-up destination.
	budgetShare = 0.9
	// aside is the cost, as a share of worth, added to a host that failed or whose unit is not healthy.
	aside = 0.02
	// glance is the number of steps without events within the shortest Aim.
	glance = 200
	// scarce is the share of a kind's calls without a connection from which no idle connection is kept.
	scarce = 1.0 / 32
	// doubt is the excess of the share of calls lost on reused idle connections, over twice that on new
	// ones, from which idle connections are distrusted: about three losses in a row.
	doubt = 1.0 / 8
	// crowded is the share of MaxHeld above which the messages of least worth are shed.
	crowded = 0.9
)

// New returns a Chooser for one relay. Its random choices, such as the jitter of back-offs, derive from the
// seed.
func New(s Settings, seed uint64) (*Chooser, error) {
	if err := s.check(); err != nil {
		return nil, fmt.Errorf("choice: settings: %w", err)
	}
	c := &Chooser{set: s, minAim: math.MaxInt64, msgs: map[string]*message{}, dests: map[int]*dest{},
		hosts: map[string]*host{}, lines: map[string]*line{}, owing: map[string]*message{},
		rand: rand.New(rand.NewPCG(seed, 0)), pool: table{weight: 1}}
	for _, k := range s.Classes {
		c.bound, c.minAim, c.longest = max(c.bound, k.Aim), min(c.minAim, k.Aim), max(c.longest, k.Deadline)
	}
	if !s.Subscribe {
		c.askAt = -1
	}
	c.pool.width = c.bound / buckets
	c.habits, c.keep = slices.Repeat([]habits{{luck: 0.5, power: 3}}, max(1, len(s.Kinds))), s.ConnIdle
	c.nap = max(s.Tick, c.minAim/glance)
	return c, nil
}

// Step processes the events and then makes all decisions once. It returns the actions to carry out, in order.
func (c *Chooser) Step(now time.Duration, events []Event) []Action {
	c.now, c.acts = now, nil
	for _, e := range events {
		switch e := e.(type) {
		case Arrival:
			c.arrived = append(c.arrived, c.arrive(e))
		case Result:
			c.result(e)
		case Withdrawn:
			if m := c.msgs[e.ID]; m != nil && !m.over {
				if m.unwanted = true; !e.Owed {
					c.end(m)
				} else if m.call == nil {
					c.final(m)
				}
			}
		case Retracted:
			c.retract(e)
		case Listing:
			c.list(e)
		case Stop:
			c.stopped, c.parked = !e.Keep, e.Keep
		case Pause:
			c.paused = e.On
		case Settled:
			if m := c.owing[e.ID]; m != nil {
				delete(c.owing, e.ID)
				c.leave(m)
			}
		case Tolls:
			c.tolls = &e
		case Fleet:
			c.fleet(e)
		case Restored:
			m := c.arrive(e.Arrival)
			m.restored = true
			if m.attempts = e.Attempts; e.Ran {
				m.ran, m.ranAt, m.ranZone = true, c.now-min(e.Since, math.MaxInt64/4), e.Zone
				m.unsure, m.noRefuse = c.now, true
			}
			if e.Answered {
				c.owing[m.ID] = m
				c.end(m)
			}
		case Waited:
			if h := c.hosts[e.Host]; h != nil {
				h.unit.waitUntil = max(h.unit.waitUntil, c.now+e.Left)
				if e.Failing && h.unit.state == healthy {
					h.unit.risky = true
					c.suspect(h.unit, h.dest, "failed before a restart", 0)
				}
			}
		}
	}
	if c.askAt >= 0 && now >= c.askAt {
		c.askAt = -1
		c.act(Subscribe{})
	}
	c.freeLines()
	c.live = slices.DeleteFunc(c.live, func(d *dest) bool {
		d.live = len(d.waiting) > 0 || d.out > 0
		return !d.live
	})
	c.watch()
	c.measure()
	c.admit()
	c.answer()
	c.turn()
	c.noteWaiting()
	at := now + c.nap
	if (c.held+c.busy > 0 || c.askAt >= 0) && (c.wakeAt <= now || at < c.wakeAt) {
		c.wakeAt = at
		c.act(Wake{at - now})
	}
	return c.acts
}

// fleet applies a new fleet size. In a larger fleet the learned limits shrink with this relay's share; in a
// smaller one they grow by themselves.
func (c *Chooser) fleet(e Fleet) {
	if e.Size < 1 {
		return
	}
	for _, d := range c.order {
		for _, u := range d.units {
			u.limit *= min(1, float64(c.set.Fleet)/float64(e.Size))
		}
	}
	c.set.Index, c.set.Fleet = e.Index, e.Size
}

func (c *Chooser) act(a Action) { c.acts = append(c.acts, a) }

// list applies an update of the host list.
func (c *Chooser) list(e Listing) {
	if e.Failed {
		c.askAt = c.now + time.Second
		return
	}
	if e.Whole {
		for _, h := range c.hosts {
			h.State = Gone
		}
	}
	for _, n := range e.Hosts {
		h := c.hosts[n.Addr]
		if h == nil && n.State == Gone {
			continue
		}
		if h == nil {
			d := c.dest(n.Dest)
			h = &host{dest: d, liking: c.rand.Float64(), idleAt: math.MinInt64 / 2}
			c.hosts[n.Addr], d.hosts = h, append(d.hosts, h)
			if n.Kind >= 0 && n.Kind < len(c.set.Kinds) {
				d.kind, d.habits = c.set.Kinds[n.Kind], &c.habits[n.Kind]
			}
			if d.kind.Apart || len(d.units) == 0 {
				u := &unit{name: n.Addr, lastServed: c.now - time.Second}
				d.units = append(d.units, u)
			}
			h.unit = d.units[len(d.units)-1]
		}
		if h.Host = n; c.set.Listed && n.State == Ready {
			if h.unit.listed = n.Rate; h.unit.limit == 0 {
				h.unit.limit = n.Rate // the listed rate is for all relays, so one may not exceed it
			}
		}
	}
	for _, d := range c.order {
		d.hosts = slices.DeleteFunc(d.hosts, func(h *host) bool {
			// A host that may return soon is kept, with its wait and its health.
			left := h.State == Gone && h.out == 0 && c.now >= h.unit.waitUntil &&
				(h.unit.state == healthy || c.now-h.unit.since > c.set.Rules.Cold)
			if left {
				delete(c.hosts, h.Addr)
			}
			if left && d.kind.Apart {
				d.units = remove(d.units, h.unit)
			}
			return left
		})
	}
	c.order = slices.DeleteFunc(c.order, func(d *dest) bool {
		idle := len(d.hosts) == 0 && len(d.waiting) == 0 && d.out == 0
		if idle {
			delete(c.dests, d.id)
		}
		return idle
	})
}

func (c *Chooser) dest(id int) *dest {
	d := c.dests[id]
	if d == nil {
		d = &dest{id: id, kind: Kind{PerCall: 1}, habits: &c.habits[0], readyAt: c.now}
		d.rates = make([]queueRate, len(c.set.Classes))
		d.table = table{width: c.bound / buckets, weight: 1}
		c.dests[id], c.order = d, append(c.order, d)
	}
	return d
}

// The timeout estimator.

// table is a latency histogram. Old samples decay: each new one weighs a little more than the one before it.
// From it follows the restart timeout that minimises the expected completion time E.
type table struct {
	width  time.Duration // width of a bucket
	weight float64       // weight of the newest sample
	count  []float64     // weight of the samples by bucket, N_i; allocated with the first sample
	sum    []float64     // sum of the latencies by bucket in seconds, N_i times M_i
	beyond float64       // weight of the samples above the last bucket, and of abandoned attempts, N_tau
	total  float64       // number of samples, without decay
	edge   time.Duration // upper edge of the bucket with the least E as a timeout; 0 if unknown
	high   time.Duration // upper edge of the bucket below which 98% of the answers lie; 0 if unknown
	stale  bool          // samples were added since edge and high were computed
}

// add enters the latency of a served attempt.
func (t *table) add(took time.Duration) {
	i := int(took / t.width)
	if i < 0 || i >= buckets {
		t.cutShort()
		return
	}
	t.fade()
	if t.count == nil {
		t.count, t.sum = make([]float64, buckets), make([]float64, buckets)
	}
	t.count[i] += t.weight
	t.sum[i] += t.weight * took.Seconds()
}

// cutShort enters an attempt that was abandoned without an answer, as longer than all buckets.
func (t *table) cutShort() { t.fade(); t.beyond += t.weight }

// fade increases the weight of the next sample, relative to the older ones.
func (t *table) fade() {
	t.total++
	t.stale = true
	if t.weight *= 1 + 1.0/memory; t.weight > 1e6 {
		for i := range t.count {
			t.count[i] /= t.weight
			t.sum[i] /= t.weight
		}
		t.beyond, t.weight = t.beyond/t.weight, 1
	}
}

// look recomputes edge and high if samples were added. For a timeout at the edge of each bucket, E is the
// mean latency of the answers before it, plus the expected number of restarts times the cost of one.
func (t *table) look() {
	if !t.stale || t.total < minSamples {
		return
	}
	t.stale = false
	served := 0.0
	for _, n := range t.count {
		served += n
	}
	all, cost := served+t.beyond, t.width.Seconds()
	if served > 0 {
		for _, s := range t.sum {
			cost += wasted * s / served
		}
	}
	f, m, best := 0.0, 0.0, math.Inf(1)
	t.edge, t.high = 0, 0
	for i := range t.count {
		f += t.count[i] / all
		m += t.sum[i] / all
		edge := time.Duration(i+1) * t.width
		if f <= 0 {
			continue
		}
		if e := m/f + (1-f)/f*(edge.Seconds()+cost); e < best {
			best, t.edge = e, edge
		}
		if t.high == 0 && f*all >= 0.98*served {
			t.high = edge
		}
	}
}

// patience returns how long a call to a destination may stay unanswered before the unit counts as silent.
func (c *Chooser) patience(d *dest) time.Duration {
	t, least := &d.table, c.minAim/8
	if t.total < minSamples {
		t, least = &c.pool, c.minAim/2
	}
	if t.look(); t.high == 0 {
		return c.minAim / 2
	}
	return min(max(2*t.high, least), c.bound)
}

// timeout returns the timeout for the next attempt of a message at a unit.
func (c *Chooser) timeout(m *message, u *unit) time.Duration {
	left := m.due - c.now
	if m.class.Effect == Unsafe || !c.repeatable(m) || m.attempts+1 >= c.set.MaxAttempts {
		return left
	}
	d := m.dest
	d.table.look()
	t := d.table.edge
	switch {
	case u.state == suspect:
		t = c.patience(d) << min(u.trials, 4)
	case t == 0 && c.pool.total >= minSamples && c.thin(u):
		// A seldom called destination never fills its table. The table of all destinations serves instead,
		// with a timeout that grows with each attempt.
		t = max(2*c.patience(d), m.class.Aim) * time.Duration(m.attempts+1)
	case t > 0 && len(d.waiting) > 1:
		// While other messages wait here, a restart takes the place of one of them and feeds an overload:
		// only calls that are very likely lost are abandoned.
		t = max(t, c.patience(d))
	}
	t <<= min(d.backoff, 4)
	if t == 0 {
		return left
	}
	t = max(t, m.timeout+d.table.width)
	restart := c.now + t + time.Duration(u.latency*float64(time.Second))
	if restart >= m.due || m.class.Effect == Keyed && restart >= c.windowEnd(m) {
		return left
	}
	return t
}

// Health, waits and back-off.

// bad counts a failure or a refusal.
func (c *Chooser) bad(u *unit) {
	u.streak, u.bad = 0, u.bad+1
	if u.state == suspect {
		u.trials++
		u.trialAt = c.now + c.gap(u)
	}
}

// failed counts a failure. It counts against the host alone while another host of its unit is well, so that
// the loss of one machine or one data centre does not make the whole destination suspect.
func (c *Chooser) failed(h *host, o Outcome, took time.Duration) {
	u, d := h.unit, h.dest
	h.fails++
	h.retryAt = c.now + min(c.set.Rules.Fall/8<<min(h.fails, 3), c.set.Rules.Fall/3)
	trials := 0 // set to 1 if another host failed before: this call then counts as a failed probe
	for _, g := range d.hosts {
		if g.unit == u && g != h && g.State == Ready {
			if g.fails == 0 || c.now-g.retryAt > c.set.Rules.Cold {
				return
			}
			trials = 1
		}
	}
	c.bad(u)
	if o == NoConnection && took < c.minAim/4 && d.habits.unconn > 1.0/history && c.thin(u) {
		u.pauseUntil = max(u.pauseUntil, c.now+2*c.spread(u, d, 2*u.bad-2)) // its connection table is full
		return
	}
	u.risky, u.errors = u.risky || o != NoConnection, u.errors || o == Error
	u.note(true)
	alone := c.thin(u) && c.now-u.lastServed > c.set.Rules.Fall // no recent served call
	if u.state != suspect && (alone || bits.OnesCount(u.recent) >= outage) {
		c.suspect(u, d, "failures", trials)
	}
}

// note records whether the last outcome was a failure.
func (u *unit) note(failed bool) {
	u.recent = u.recent << 1 & (1<<history - 1)
	if failed {
		u.recent |= 1
	}
}

// budget returns this relay's share of the calls that the rules allow to a warming-up destination within
// Rules.Fall, at the given time after its return.
func (c *Chooser) budget(u *unit, back time.Duration) float64 {
	rate := u.listed
	if rate == 0 {
		rate = u.base * float64(c.set.Fleet)
	}
	k := c.set.Rules
	share := min(1, k.ColdFrom+(1-k.ColdFrom)*back.Seconds()/k.Cold.Seconds())
	return budgetShare * k.OverloadFactor * share * rate * k.Fall.Seconds() / float64(c.set.Fleet)
}

// gap returns a random interval until the next probe. It doubles with each failed probe up to a third of
// Rules.Fall, or to what keeps the probes of all relays within the budget of a unit that has just returned
// even if its rate is overestimated by half. In a large fleet each relay probes by itself: the first probe
// comes soon, or at another host, and the intervals are at their longest once it has failed.
func (c *Chooser) gap(u *unit) time.Duration {
	fall := c.set.Rules.Fall
	longest := max(fall/3, min(2*c.set.Rules.Cold, time.Duration(1.5*float64(fall)/c.budget(u, 0))))
	gap := min(fall/8<<min(u.trials, 6), longest)
	if c.thin(u) && u.trials > 0 {
		gap = longest
	}
	return gap/2 + time.Duration(c.rand.Float64()*float64(gap))
}

// suspect makes a unit suspect and schedules its first probe.
func (c *Chooser) suspect(u *unit, d *dest, why string, trials int) {
	if u.state == healthy {
		u.base = max(u.served, 1/c.set.Rules.Cold.Seconds())
	}
	c.log("destination %d unit %s suspect: %s", d.id, u.name, why)
	u.state, u.since, u.trials, u.streak = suspect, c.now, trials, 0
	u.trialAt = c.now + c.gap(u)
}

func (c *Chooser) log(format string, args ...any) { c.act(Log{fmt.Sprintf(format, args...)}) }

// rate returns the rate that a unit accepts from all relays together: the listed or reported one, otherwise
// the rate served to this relay times the fleet size, and at least one call in an eighth of the shortest Aim.
func (c *Chooser) rate(u *unit) float64 {
	if u.listed > 0 {
		return u.listed
	}
	return max(u.served*float64(c.set.Fleet), 8/c.minAim.Seconds())
}

// even returns the interval between calls at this relay's even share of that rate.
func (c *Chooser) even(u *unit) time.Duration {
	return time.Duration(float64(c.set.Fleet) / c.rate(u) * float64(time.Second))
}

// thin reports whether this relay calls a unit too seldom to learn a rate limit from its own calls.
func (c *Chooser) thin(u *unit) bool { return c.even(u) > c.minAim/2 }

// refused handles a refusal: it keeps the wait that the destination asked for (Retry-After), or backs off
// without one, and lowers the rate limit.
func (c *Chooser) refused(u *unit, d *dest, wait time.Duration) {
	c.bad(u)
	u.noteRefusal(c.now, c.set.Rules.Cold, wait > 0)
	u.waitUntil = max(u.waitUntil, c.now+wait)
	u.pauseUntil = max(c.now, u.waitUntil)
	step := u.bad - 1
	if wait > 0 {
		d.habits.power = 2 // waits depend on free capacity too, so the share of served retries weighs less
	} else {
		step *= 2 // a full queue asks for no wait, and may be that of a hanging unit
	}
	if wait <= 0 || c.thin(u) {
		u.pauseUntil += c.spread(u, d, step)
	}
	if d.refused > 0 {
		d.habits.luck -= d.habits.luck / 8
	}
	if d.refused++; d.refused >= len(d.units) && c.thin(u) {
		if d.kind.Apart {
			step = d.refused - len(d.units)
		}
		d.pauseUntil = c.now + 2*c.spread(u, d, step)
	}
	c.cutPace(u)
	// Only refusals, for longer than a rate limit explains, mean that the destination is closed. From one
	// that it seldom calls, a relay gets few refusals before it opens and all relays call at once: there
	// three in a row suffice.
	fall := c.set.Rules.Fall
	alone := (u.bad > 6 || u.bad > 2 && c.thin(u)) && c.now-u.lastServed >= fall
	if u.state == healthy && (wait > 2*fall/3 || alone) {
		if c.suspect(u, d, "refusals only", 0); wait > 0 && c.thin(u) {
			u.trials = 1 // otherwise all refused relays would call at once when it opens, cold
			u.trialAt = u.waitUntil + min(c.gap(u), time.Duration(8*c.rand.Float64()*float64(wait)))
		}
	}
}

// spread returns a back-off with jitter, so that relays do not return in step. It doubles with each step, up
// to the interval of this relay's even share. It is longer the fewer retries after a refusal are served at
// this kind of destination, since retries alone can keep a destination closed whose limit refused calls use
// up. As this does harm where refusals are random, the back-off never exceeds the interval that keeps all
// relays within the budget of a destination that has just returned; without a listed rate that is known only
// after an outage. A relay of a large fleet that calls a unit at most once within Rules.Fall starts with a
// back-off of a third of it: otherwise all relays that were refused just before the unit opens would call at
// once.
func (c *Chooser) spread(u *unit, d *dest, step int) time.Duration {
	base := c.minAim / 4
	if c.even(u) > c.set.Rules.Fall {
		base = max(base, c.set.Rules.Fall/3)
	}
	pause := min(base.Seconds()*math.Exp2(float64(min(step, 20))), c.even(u).Seconds())
	pause = min(pause/math.Pow(max(0.4, 2*d.habits.luck), d.habits.power), c.coldGap(u))
	return time.Duration(pause * (0.5 + c.rand.Float64()) * float64(time.Second))
}

// coldGap returns the interval in seconds between calls at this relay's share of the budget of a destination
// that has just returned from an outage.
func (c *Chooser) coldGap(u *unit) float64 { return c.set.Rules.Fall.Seconds() / c.budget(u, 0) }

// served handles a served call: it updates latency and served rate, and the unit recovers.
func (c *Chooser) served(u *unit, d *dest, took time.Duration) {
	u.latency = cmp.Or(u.latency, took.Seconds())
	u.latency += (took.Seconds() - u.latency) / 8
	cold := c.set.Rules.Cold.Seconds()
	u.served = u.served*math.Exp(-(c.now-u.lastServed).Seconds()/cold) + 1/cold
	short := u.bad == 0 || !u.errors && c.now-u.lastServed < c.set.Rules.Fall ||
		u.bad == 1 && c.thin(u) && c.now-u.since < c.set.Rules.Fall
	u.noteServed()
	u.lastServed, u.bad = c.now, 0
	u.streak++
	u.note(false)
	switch {
	case u.state == healthy && u.recent == 0:
		u.risky, u.errors = false, false
	case u.state == suspect && short:
		u.state, u.since, u.risky, u.recent = healthy, c.now, false, 0
	case u.state == suspect:
		u.state, u.since, u.recent = recovering, c.now, 0
		c.log("destination %d unit %s recovering", d.id, u.name)
	case u.state == recovering && c.now-u.since >= c.set.Rules.Cold:
		u.state, u.since, u.risky, u.errors = healthy, c.now, false, false
		c.log("destination %d unit %s healthy", d.id, u.name)
	}
}

// watch makes units suspect that leave calls unanswered. It detects silence before a timeout does, and in
// particular where the timeout is long because the call carries an unsafe message.
func (c *Chooser) watch() {
	for _, d := range c.live {
		for _, u := range d.units {
			if u.state == healthy && len(u.outs) > 0 &&
				c.now-max(u.outs[0].sent, u.lastServed) > c.patience(d) {
				u.risky = true
				c.suspect(u, d, "silent", 0)
			}
		}
	}
}

// room reports whether a call may be sent to a unit now.
func (c *Chooser) room(u *unit) bool {
	if c.now < u.waitUntil || c.now < u.pauseUntil {
		return false
	}
	switch u.state {
	case suspect:
		return len(u.outs) <= 1 && c.now >= u.trialAt
	case recovering:
		n, span := c.budget(u, c.now-u.since), c.set.Rules.Fall
		if n < 1 {
			n, span = 1, time.Duration(float64(span)/n)
		}
		if c.sent(u, span)+1 > n {
			return false
		}
	}
	return u.hasToken()
}

// Arrivals and results.

// arrive adds a new message.
func (c *Chooser) arrive(e Arrival) *message {
	e.Class = min(max(e.Class, 0), len(c.set.Classes)-1)
	k := &c.set.Classes[e.Class]
	m := &message{Arrival: e, class: k, dest: c.dest(e.Dest), due: c.now + e.Left, taken: c.now, unsure: -1}
	m.born = m.due - k.Deadline
	c.msgs[e.ID] = m
	c.held++
	c.queue(m)
	if k.Ordered && e.Key != "" {
		l := c.lines[e.Key]
		if l == nil {
			l = &line{key: e.Key}
			c.lines[e.Key] = l
		}
		l.rate.update(c.now, c.longest)
		l.queue = append(l.queue, m)
		l.rate.waiting = len(l.queue) > 1
	}
	return m
}

// result handles the end of an attempt.
func (c *Chooser) result(e Result) {
	m := c.msgs[e.ID]
	if m == nil || m.call == nil {
		return
	}
	k, h, u, d := m.call, m.call.host, m.call.host.unit, m.dest
	m.call, m.last = nil, h
	u.waitUntil = max(u.waitUntil, c.now+e.Wait) // a wait is kept whatever the outcome
	if e.Spent {
		m.attempts = c.set.MaxAttempts
	}
	if k.members = remove(k.members, m); len(k.members) == 0 {
		c.busy, d.out, h.out = c.busy-1, d.out-1, h.out-1
		u.outs = remove(u.outs, k)
		c.part(k, e.Outcome, e.Took)
	}
	if r := c.set.ReportLimit; r >= 0 && r < len(e.Report) && e.Report[r] > 0 {
		u.listed = e.Report[r]
	}
	switch e.Outcome {
	case Served:
		d.table.add(e.Took)
		c.pool.add(e.Took)
		if k.sent > m.taken {
			d.rates[m.Class].served++
		}
		if e.Took <= d.table.edge {
			d.backoff = 0
		}
		h.fails = 0
		if d.refused > 0 {
			d.habits.luck += (1 - d.habits.luck) / 8
		}
		d.refused = 0
		c.served(u, d, e.Took)
	case Refused:
		c.refused(u, d, e.Wait)
	case Error, Reset:
		if !k.bad { // the messages of one call count as one failure
			c.failed(h, e.Outcome, e.Took)
		}
		k.bad = true
	case Timeout, Cancelled:
		d.table.cutShort()
		if u.lastServed < k.sent {
			d.backoff++
			if e.Took >= c.patience(d) {
				c.failed(h, e.Outcome, e.Took)
			}
		}
	case NoConnection:
		d.table.cutShort()
		c.failed(h, e.Outcome, e.Took)
	}
	sure := e.Outcome == Served || e.Outcome == Refused || e.Outcome == NoConnection || e.Outcome == NotSent
	if !sure {
		if m.unsure = c.now; !m.ran {
			m.ran, m.ranAt, m.ranZone = true, k.sent, h.Zone
		}
	}
	switch {
	case e.Done || m.over:
		c.end(m)
	case e.Outcome == Served: // too late for the client: the final answer is still due
		m.ran, m.noRefuse = true, true
		c.final(m)
	case m.unwanted || !c.repeatable(m) || m.attempts >= c.set.MaxAttempts:
		c.final(m)
	default:
		c.queue(m)
	}
}

// part updates the connection statistics at the end of a call, and closes idle connections where calls get no
// connection: a host may accept only few, including idle ones, and those of a large fleet fill its connection
// table although each is seldom reused. Elsewhere idle connections are kept, which saves handshakes. Clearly
// more lost calls on reused idle connections than on new ones mean that the network drops idle connections
// silently; the shortest idle time of a lost call then limits how long they are trusted. A slow host loses
// calls on both.
func (c *Chooser) part(k *call, o Outcome, took time.Duration) {
	h, none := k.host, &k.host.dest.habits.unconn
	before := *none
	if *none -= *none / memory; o == NoConnection && took < c.minAim/4 && h.State == Ready {
		*none += 1.0 / history // a full table refuses at once; a host that is down seldom does
	}
	lost := &c.lost[k.reused]
	*lost -= *lost / 16
	if o == Reset || o == Timeout || o == Cancelled {
		if *lost += 1.0 / 16; k.reused == 1 && *lost > 2*c.lost[0]+doubt {
			c.keep = min(c.keep, k.idle/2)
		}
	} else if k.reused == 1 && o == Served {
		c.keep = min(c.keep+c.keep/16, c.set.ConnIdle)
	}
	if h.out > 0 || c.set.ConnIdle == 0 {
		return
	}
	h.kept, h.idleAt = true, c.now
	for _, d := range c.order {
		if full := *none >= scarce; full && (d == h.dest || before < scarce && &d.habits.unconn == none) {
			for _, g := range d.hosts {
				if g.kept && g.out == 0 {
					g.kept = false
					c.act(CloseIdle{g.Addr})
				}
			}
		}
	}
}

// queue adds a message to those that wait for their next attempt.
func (c *Chooser) queue(m *message) {
	d := m.dest
	if d.waiting = append(d.waiting, m); !d.live {
		d.live, c.live = true, append(c.live, d)
	}
}

// repeatable reports whether the effect of a message allows another attempt now.
func (c *Chooser) repeatable(m *message) bool {
	return !m.ran || m.class.Effect == Safe || m.class.Effect == Keyed && c.now < c.windowEnd(m)
}

// windowEnd returns the time until which a destination deduplicates repeats of a message.
func (c *Chooser) windowEnd(m *message) time.Duration {
	if !m.ran {
		return c.now + m.class.Window
	}
	return m.ranAt + m.class.Window
}

// end forgets a finished message. One that is in flight keeps its state and its key until its result.
func (c *Chooser) end(m *message) {
	if !m.over {
		m.over = true
		c.held--
		if m.call == nil {
			m.dest.waiting = remove(m.dest.waiting, m)
		}
	}
	if m.call != nil {
		return
	}
	delete(c.msgs, m.ID)
	c.leave(m)
}

// leave removes a message from the queue of its key, once it is neither in flight nor unacknowledged.
func (c *Chooser) leave(m *message) {
	if m.call != nil || c.owing[m.ID] == m {
		return
	}
	if l := c.lines[m.Key]; l != nil && m.class.Ordered {
		if l.rate.update(c.now, c.longest); l.rate.waiting && m.attempts > 0 {
			l.rate.served++
		}
		l.queue = remove(l.queue, m)
		l.rate.waiting = len(l.queue) > 1
		if m.unsure >= 0 {
			l.rest = max(l.rest, m.unsure+c.set.Rules.OrderSettle)
		}
		if len(l.queue) == 0 {
			c.resting = append(c.resting, l)
		}
	}
}

// worth returns the worth of a message if it is served at the given time.
func (c *Chooser) worth(m *message, at time.Duration) float64 {
	k := m.class
	if at >= m.due {
		return 0
	}
	age := at - m.born
	if age <= k.Aim {
		return k.Worth
	}
	late := (age - k.Aim).Seconds()
	if c.set.Halving {
		return k.Worth * max(k.LateShare, math.Exp2(-late/k.Aim.Seconds()))
	}
	return k.Worth * (1 - (1-k.LateShare)*late/(k.Deadline-k.Aim).Seconds())
}

// Key ordering.

// hasTurn reports whether the order of its key allows a message to be sent now.
func (c *Chooser) hasTurn(m *message) bool {
	if !m.class.Ordered || m.Key == "" {
		return true
	}
	l := c.lines[m.Key]
	return l.queue[0] == m && c.now >= l.rest
}

// freeLines forgets empty key queues whose key is no longer blocked.
func (c *Chooser) freeLines() {
	c.resting = slices.DeleteFunc(c.resting, func(l *line) bool {
		if len(l.queue) == 0 && c.now >= l.rest {
			delete(c.lines, l.key)
		}
		return len(l.queue) > 0 || c.now >= l.rest
	})
}

// Dispatch.

// turn sends waiting messages while call slots are free, to the destination with the fewest calls in flight
// first.
func (c *Chooser) turn() {
	most := max(1, (3*c.set.Workers+3)/4-1)
	half := max(1, c.set.Workers/2)
	// Probes go last, so that calls that may hang do not fill the slots of a small relay, unless they are
	// overdue.
	well := func(u *unit) bool { return u.state != suspect || c.now-u.trialAt > c.set.Rules.Fall }
	trial := func(d *dest) int {
		if slices.ContainsFunc(d.units, well) {
			return 0
		}
		return 1
	}
	var ready []*dest
	for _, d := range c.live {
		if len(d.waiting) == 0 || c.now < d.pauseUntil {
			continue
		}
		for _, u := range d.units {
			c.refill(u)
		}
		if slices.ContainsFunc(d.units, c.room) {
			ready = append(ready, d)
		}
	}
	for c.busy < c.set.Workers && len(ready) > 0 {
		d := slices.MinFunc(ready, func(a, b *dest) int {
			return cmp.Or(cmp.Compare(trial(a), trial(b)), cmp.Compare(a.out, b.out),
				cmp.Compare(a.lastTurn, b.lastTurn), cmp.Compare(a.id, b.id))
		})
		top := most
		if len(ready) > 1 {
			top = half
		}
		if d.out >= top || !c.sendOne(d) {
			ready = remove(ready, d)
		}
	}
	waits := func(d *dest) bool { m, _ := c.pick(d); return m != nil }
	if c.set.Cancels && slices.ContainsFunc(ready, waits) {
		c.callOff()
	}
}

// callOff cancels the oldest overdue call if all slots are taken while a message waits for one: calls that
// are never answered must not block the slots. A call is overdue after its destination's silence limit: twice
// that if the unit has served others since, times the number of attempts, and half of it once messages fill
// half of MaxHeld. Cancelling loses an unsafe message, so its call gets at least twice the limit while
// overdue calls hold no more than half of the slots.
func (c *Chooser) callOff() {
	var stuck []*call
	for _, d := range c.live {
		for _, u := range d.units {
			for _, k := range u.outs {
				if k.off {
					return // one at a time
				}
				patience := c.patience(d)
				if c.set.MaxHeld > 0 && 2*c.held > c.set.MaxHeld {
					patience /= 2
				}
				if u.lastServed >= k.sent {
					patience *= 2
				}
				patience *= time.Duration(k.members[0].attempts)
				if c.now-k.sent > patience {
					stuck = append(stuck, k)
				}
			}
		}
	}
	slices.SortStableFunc(stuck, func(a, b *call) int { return cmp.Compare(a.sent, b.sent) })
	for _, k := range stuck {
		unsafe := slices.ContainsFunc(k.members, func(m *message) bool { return m.class.Effect == Unsafe })
		if unsafe && 2*len(stuck) <= c.set.Workers && c.now-k.sent < 2*c.patience(k.host.dest) {
			continue
		}
		k.off = true
		for _, m := range k.members {
			c.act(Cancel{m.ID, m.attempts - 1})
		}
		return
	}
}

// sendOne sends the best message of a destination, together with others that fit in the same call. It reports
// whether there was a message to send.
func (c *Chooser) sendOne(d *dest) bool {
	m, h := c.pick(d)
	if m == nil {
		return false
	}
	u := h.unit
	k := &call{host: h, sent: c.now, idle: c.now - h.idleAt}
	if old := h.kept && h.out == 0; old && k.idle > c.keep {
		c.act(CloseIdle{h.Addr})
	} else if old && k.idle > c.set.ConnIdle/16 { // a shorter idle time is no evidence
		k.reused = 1
	}
	c.busy, d.out, h.out, d.lastTurn = c.busy+1, d.out+1, h.out+1, c.now
	for len(u.sends) > 0 && c.now-u.sends[0] > max(c.set.Rules.Cold, time.Second) {
		u.sends = u.sends[1:] // oldest first: scanning all at each send took most of a busy relay's CPU time
	}
	u.outs, u.sends = append(u.outs, k), append(u.sends, c.now)
	u.takeToken()
	if u.state == suspect {
		u.trialAt = c.now + c.patience(d)<<min(u.trials, 4) + c.gap(u)
	}
	c.join(m, k)
	for len(k.members) < d.kind.PerCall && u.state != suspect {
		m := c.best(d, func(m *message) bool { return c.fits(m, h) })
		if m == nil {
			break
		}
		c.join(m, k)
	}
	// The messages of a call end together: the longest of their timeouts applies, up to the earliest
	// deadline.
	longest, left := time.Duration(0), time.Duration(math.MaxInt64)
	for _, m := range k.members {
		longest, left = max(longest, m.timeout), min(left, m.due-c.now)
	}
	for _, m := range k.members {
		m.timeout = min(longest, left)
		s := Send{ID: m.ID, Host: h.Addr, Timeout: m.timeout}
		if m.ran && m.class.Effect == Keyed { // a connection may open only after the window
			s.Within = c.windowEnd(m) - c.now
		}
		c.act(s)
	}
	if len(k.members) > 1 {
		u.sends = append(u.sends, c.now) // further messages count as one more call
	}
	return true
}

// join adds a message to a call.
func (c *Chooser) join(m *message, k *call) {
	d := m.dest
	m.timeout = c.timeout(m, k.host.unit)
	if c.tolls != nil && k.host.Zone != c.tolls.Home {
		t := &c.tolls.Class[m.Class]
		c.tolls.Left, t.Own = c.tolls.Left-t.Cost, t.Own-t.Cost
	}
	d.waiting = remove(d.waiting, m)
	m.attempts++
	m.call = k
	k.members = append(k.members, m)
}

// passes reports whether the budget allows a message to be sent to a zone, and if not, the earliest time when
// it may. A message is urgent in the last quarter of its time.
func (c *Chooser) passes(m *message, zone int) (time.Duration, bool) {
	if c.tolls == nil || zone == c.tolls.Home {
		return 0, true
	}
	t := &c.tolls.Class[m.Class]
	floor := t.Floor
	if m.due-c.now < m.class.Deadline/4 {
		floor = t.Urgent
	}
	return t.Again, c.tolls.Left-t.Cost >= floor && t.Own >= t.Cost
}

// barred reports whether the budget excludes all hosts of a message's destination until past its deadline.
func (c *Chooser) barred(m *message) bool {
	if c.tolls == nil || len(m.dest.hosts) == 0 {
		return false
	}
	if t := &c.tolls.Class[m.Class]; c.tolls.Left-t.Cost >= t.Urgent {
		return false // it may be sent once it is urgent
	}
	return !slices.ContainsFunc(m.dest.hosts, func(h *host) bool {
		again, open := c.passes(m, h.Zone)
		return h.State == Ready && (open || again < m.due)
	})
}

// fits reports whether a message may be sent to a host now, limits of the host's unit aside.
func (c *Chooser) fits(m *message, h *host) bool {
	if _, open := c.passes(m, h.Zone); !open {
		return false
	}
	if h.State != Ready || c.parked || c.paused || !c.repeatable(m) || m.attempts >= c.set.MaxAttempts {
		return false
	}
	if m.class.Effect == Keyed && m.class.SameZone && m.ran && h.Zone != m.ranZone {
		return false
	}
	// A message that must not be repeated is not sent to a unit where failed messages may have run, until the
	// unit has served a few calls or the message is urgent.
	u := h.unit
	proven := u.state == healthy || !u.risky || u.state == recovering && (!u.errors || u.streak >= history)
	return proven || m.class.Effect != Unsafe || m.due-c.now < m.class.Deadline/4
}

// best returns the message that loses most by waiting, among those that pass the test.
func (c *Chooser) best(d *dest, test func(*message) bool) *message {
	rate := 0.0
	for _, u := range d.units {
		rate += u.served
	}
	wait := c.minAim
	if rate > 0 {
		wait = time.Duration(float64(len(d.waiting)) / rate * float64(time.Second))
	}
	wait = min(max(wait, c.minAim/8), 4*c.bound)
	best, most := (*message)(nil), math.Inf(-1)
	for _, m := range d.waiting {
		if !c.hasTurn(m) || !test(m) {
			continue
		}
		loss := c.loss(m, wait)
		if m.goesFirst() {
			loss = math.Inf(1)
		}
		if best == nil || loss > most || loss == most && m.due < best.due {
			best, most = m, loss
		}
	}
	return best
}

// pick returns the best message of a destination that can be sent now, and the host of least cost for it.
func (c *Chooser) pick(d *dest) (*message, *host) {
	var open []*host
	for _, h := range d.hosts {
		if h.State == Ready && c.room(h.unit) {
			open = append(open, h)
		}
	}
	m := c.best(d, func(m *message) bool {
		return slices.ContainsFunc(open, func(h *host) bool { return c.fits(m, h) })
	})
	best, least := (*host)(nil), math.Inf(1)
	for _, h := range open {
		if m != nil && c.fits(m, h) && c.cost(m, h) < least {
			best, least = h, c.cost(m, h)
		}
	}
	return m, best
}

// cost returns the cost of sending a message to a host, as a share of worth: the zone fee, and the share of
// the Aim that the host's latency and its calls in flight take.
func (c *Chooser) cost(m *message, h *host) float64 {
	u := h.unit
	cost := 0.0
	if m.dest.kind.Apart && h.Zone < len(c.set.ZoneFee) {
		cost += c.set.ZoneFee[h.Zone]
	}
	if c.thin(u) {
		cost = cost/10 + h.liking/20
	}
	finish := u.latency * float64(h.out+1) / m.class.Aim.Seconds()
	cost += max(0, finish-0.25) + finish/100
	if h == m.last || u.state != healthy || h.fails > 0 {
		cost += aside * float64(1+min(h.fails, 4)) // after a few failures an untried host is preferred
	}
	if c.now < h.retryAt {
		cost++
	}
	return cost
}
