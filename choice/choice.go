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
	// decaySamples is the number of samples over which a latency table decays. Twice the number of buckets
	// fills the buckets of the tail and still adapts.
	decaySamples = 200
	// restartCost is the cost of a restart (c in the paper) in mean latencies: the abandoned attempt goes on
	// running, and the next one queues behind it.
	restartCost = 4.0
	// outageFailures is the number of failures among the last outcomeHistory outcomes of a unit from which it
	// is suspect: a single stray error is not an outage.
	outcomeHistory, outageFailures = 5, 2
	// deadlineMargin is the time in ticks, before the deadline, at which a waiting message gets its final
	// answer.
	deadlineMargin = 4
	// coldBudgetShare is the share that is used of the rules' call budget for a warming-up destination.
	coldBudgetShare = 0.9
	// failureCost is the cost, as a share of worth, added to a host that failed or whose unit is not healthy.
	failureCost = 0.02
	// stepsPerAim is the number of steps without events within the shortest Aim.
	stepsPerAim = 200
	// scarceConnShare is the share of a kind's calls without a connection from which no idle connection is
	// kept.
	scarceConnShare = 1.0 / 32
	// idleLossMargin is the excess of the share of calls lost on reused idle connections, over twice that on
	// new ones, from which idle connections are distrusted: about three losses in a row.
	idleLossMargin = 1.0 / 8
	// shedThreshold is the share of MaxHeld above which the messages of least worth are shed.
	shedThreshold = 0.9
)

// New returns a Chooser for one relay. Its random choices, such as the jitter of back-offs, derive from the
// seed.
func New(s Settings, seed uint64) (*Chooser, error) {
	if err := s.check(); err != nil {
		return nil, fmt.Errorf("choice: settings: %w", err)
	}
	c := &Chooser{cfg: s, minAim: math.MaxInt64, messages: map[string]*message{},
		destByID: map[int]*destination{}, hosts: map[string]*host{}, keyQueues: map[string]*keyQueue{},
		unacknowledged: map[string]*message{},
		rand:           rand.New(rand.NewPCG(seed, 0)), allLatencies: latencyTable{weight: 1}}
	for _, k := range s.Classes {
		c.tableBound, c.minAim, c.maxDeadline =
			max(c.tableBound, k.Aim), min(c.minAim, k.Aim), max(c.maxDeadline, k.Deadline)
	}
	if !s.Subscribe {
		c.subscribeAt = -1
	}
	c.allLatencies.width = c.tableBound / buckets
	c.statsByKind, c.maxIdle =
		slices.Repeat([]kindStats{{retrySuccess: 0.5, backoffExponent: 3}}, max(1, len(s.Kinds))), s.ConnIdle
	c.stepInterval = max(s.Tick, c.minAim/stepsPerAim)
	return c, nil
}

// Step processes the events and then makes all decisions once. It returns the actions to carry out, in order.
func (c *Chooser) Step(now time.Duration, events []Event) []Action {
	c.now, c.actions = now, nil
	for _, e := range events {
		switch e := e.(type) {
		case Arrival:
			c.arrivals = append(c.arrivals, c.addMessage(e))
		case Result:
			c.handleResult(e)
		case Withdrawn:
			if m := c.messages[e.ID]; m != nil && !m.finished {
				if m.withdrawn = true; !e.AnswerOwed {
					c.forget(m)
				} else if m.call == nil {
					c.giveFinalAnswer(m)
				}
			}
		case HostUpdate:
			c.updateHosts(e)
		case Stop:
			c.stopped, c.suspended = !e.Keep, e.Keep
		case Pause:
			c.paused = e.On
		case Acknowledged:
			if m := c.unacknowledged[e.ID]; m != nil {
				delete(c.unacknowledged, e.ID)
				c.releaseKey(m)
			}
		case ZoneBudget:
			c.zoneBudget = &e
		case FleetChange:
			c.setFleet(e)
		case Restored:
			m := c.addMessage(e.Arrival)
			m.restored = true
			if m.attempts = e.Attempts; e.MayHaveRun {
				m.mayHaveRun, m.firstRunAt, m.firstRunZone = true, c.now-min(e.Since, math.MaxInt64/4), e.Zone
				m.unsureAt, m.noRefusal = c.now, true
			}
			if e.Answered {
				c.unacknowledged[m.ID] = m
				c.forget(m)
			}
		case RestoredHost:
			if h := c.hosts[e.Host]; h != nil {
				h.unit.waitUntil = max(h.unit.waitUntil, c.now+e.RetryAfter)
				if e.Failing && h.unit.state == healthy {
					h.unit.failedMayHaveRun = true
					c.markSuspect(h.unit, h.dest, "failed before a restart", 0)
				}
			}
		}
	}
	if c.subscribeAt >= 0 && now >= c.subscribeAt {
		c.subscribeAt = -1
		c.emit(Subscribe{})
	}
	c.dropFreeKeys()
	c.active = slices.DeleteFunc(c.active, func(d *destination) bool {
		d.active = len(d.waiting) > 0 || d.inFlight > 0
		return !d.active
	})
	c.detectSilence()
	c.updateQueueRates()
	c.admit()
	c.answerDue()
	c.dispatch()
	c.noteWaiting()
	at := now + c.stepInterval
	if (c.held+c.inFlight > 0 || c.subscribeAt >= 0) && (c.wakeAt <= now || at < c.wakeAt) {
		c.wakeAt = at
		c.emit(Wake{at - now})
	}
	return c.actions
}

// setFleet applies a new fleet size. In a larger fleet the learned limits shrink with this relay's share; in
// a smaller one they grow by themselves.
func (c *Chooser) setFleet(e FleetChange) {
	if e.Size < 1 {
		return
	}
	for _, d := range c.destList {
		for _, u := range d.units {
			u.limit *= min(1, float64(c.cfg.Fleet)/float64(e.Size))
		}
	}
	c.cfg.Index, c.cfg.Fleet = e.Index, e.Size
}

// emit adds an action to those of the current step.
func (c *Chooser) emit(a Action) { c.actions = append(c.actions, a) }

// updateHosts applies an update of the host list.
func (c *Chooser) updateHosts(e HostUpdate) {
	if e.Failed {
		c.subscribeAt = c.now + time.Second
		return
	}
	if e.Full {
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
			d := c.destinationFor(n.Dest)
			h = &host{dest: d, preference: c.rand.Float64(), idleSince: math.MinInt64 / 2}
			c.hosts[n.Addr], d.hosts = h, append(d.hosts, h)
			if n.Kind >= 0 && n.Kind < len(c.cfg.Kinds) {
				d.kind, d.stats = c.cfg.Kinds[n.Kind], &c.statsByKind[n.Kind]
			}
			if d.kind.PerHostLimits || len(d.units) == 0 {
				u := &unit{name: n.Addr, lastServedAt: c.now - time.Second}
				d.units = append(d.units, u)
			}
			h.unit = d.units[len(d.units)-1]
		}
		if h.Host = n; c.cfg.ListedRates && n.State == Ready {
			if h.unit.listedRate = n.Rate; h.unit.limit == 0 {
				h.unit.limit = n.Rate // the listed rate is for all relays, so one may not exceed it
			}
		}
	}
	for _, d := range c.destList {
		d.hosts = slices.DeleteFunc(d.hosts, func(h *host) bool {
			// A host that may return soon is kept, with its wait and its health.
			left := h.State == Gone && h.inFlight == 0 && c.now >= h.unit.waitUntil &&
				(h.unit.state == healthy || c.now-h.unit.stateSince > c.cfg.Rules.Cold)
			if left {
				delete(c.hosts, h.Addr)
			}
			if left && d.kind.PerHostLimits {
				d.units = remove(d.units, h.unit)
			}
			return left
		})
	}
	c.destList = slices.DeleteFunc(c.destList, func(d *destination) bool {
		idle := len(d.hosts) == 0 && len(d.waiting) == 0 && d.inFlight == 0
		if idle {
			delete(c.destByID, d.id)
		}
		return idle
	})
}

// destinationFor returns the state of a destination, which it creates if there is none.
func (c *Chooser) destinationFor(id int) *destination {
	d := c.destByID[id]
	if d == nil {
		d = &destination{id: id, kind: Kind{PerCall: 1}, stats: &c.statsByKind[0], lastReadyAt: c.now}
		d.queueRates = make([]queueRate, len(c.cfg.Classes))
		d.latencies = latencyTable{width: c.tableBound / buckets, weight: 1}
		c.destByID[id], c.destList = d, append(c.destList, d)
	}
	return d
}

// The timeout estimator.

// latencyTable is a latency histogram. Old samples decay: each new one weighs a little more than the one
// before it. From it follows the restart timeout that minimises the expected completion time E.
type latencyTable struct {
	width       time.Duration // width of a bucket
	weight      float64       // weight of the newest sample
	count       []float64     // weight of the samples by bucket, N_i; allocated with the first sample
	sum         []float64     // sum of the latencies by bucket in seconds, N_i times M_i
	overflow    float64       // weight of the samples above the last bucket, and of abandoned attempts, N_tau
	total       float64       // number of samples, without decay
	bestTimeout time.Duration // upper edge of the bucket with the least E as a timeout; 0 if unknown
	p98         time.Duration // upper edge of the bucket below which 98% of the answers lie; 0 if unknown
	stale       bool          // samples were added since bestTimeout and p98 were computed
}

// add enters the latency of a served attempt.
func (t *latencyTable) add(took time.Duration) {
	i := int(took / t.width)
	if i < 0 || i >= buckets {
		t.addAbandoned()
		return
	}
	t.decay()
	if t.count == nil {
		t.count, t.sum = make([]float64, buckets), make([]float64, buckets)
	}
	t.count[i] += t.weight
	t.sum[i] += t.weight * took.Seconds()
}

// addAbandoned enters an attempt that was abandoned without an answer, as longer than all buckets.
func (t *latencyTable) addAbandoned() { t.decay(); t.overflow += t.weight }

// decay increases the weight of the next sample, relative to the older ones.
func (t *latencyTable) decay() {
	t.total++
	t.stale = true
	if t.weight *= 1 + 1.0/decaySamples; t.weight > 1e6 {
		for i := range t.count {
			t.count[i] /= t.weight
			t.sum[i] /= t.weight
		}
		t.overflow, t.weight = t.overflow/t.weight, 1
	}
}

// refresh recomputes bestTimeout and p98 if samples were added. For a timeout at the edge of each bucket, E
// is the mean latency of the answers before it, plus the expected number of restarts times the cost of one.
func (t *latencyTable) refresh() {
	if !t.stale || t.total < minSamples {
		return
	}
	t.stale = false
	served := 0.0
	for _, n := range t.count {
		served += n
	}
	totalWeight, cost := served+t.overflow, t.width.Seconds()
	if served > 0 {
		for _, s := range t.sum {
			cost += restartCost * s / served
		}
	}
	f, m, best := 0.0, 0.0, math.Inf(1)
	t.bestTimeout, t.p98 = 0, 0
	for i := range t.count {
		f += t.count[i] / totalWeight
		m += t.sum[i] / totalWeight
		edge := time.Duration(i+1) * t.width
		if f <= 0 {
			continue
		}
		if e := m/f + (1-f)/f*(edge.Seconds()+cost); e < best {
			best, t.bestTimeout = e, edge
		}
		if t.p98 == 0 && f*totalWeight >= 0.98*served {
			t.p98 = edge
		}
	}
}

// silenceLimit returns how long a call to a destination may stay unanswered before the unit counts as silent.
func (c *Chooser) silenceLimit(d *destination) time.Duration {
	t, least := &d.latencies, c.minAim/8
	if t.total < minSamples {
		t, least = &c.allLatencies, c.minAim/2
	}
	if t.refresh(); t.p98 == 0 {
		return c.minAim / 2
	}
	return min(max(2*t.p98, least), c.tableBound)
}

// attemptTimeout returns the timeout for the next attempt of a message at a unit.
func (c *Chooser) attemptTimeout(m *message, u *unit) time.Duration {
	left := m.deadline - c.now
	if m.class.Effect == Unsafe || !c.repeatable(m) || m.attempts+1 >= c.cfg.MaxAttempts {
		return left
	}
	d := m.dest
	d.latencies.refresh()
	t := d.latencies.bestTimeout
	switch {
	case u.state == suspect:
		t = c.silenceLimit(d) << min(u.failedProbes, 4)
	case t == 0 && c.allLatencies.total >= minSamples && c.seldomCalled(u):
		// A seldom called destination never fills its table. The table of all destinations serves instead,
		// with a timeout that grows with each attempt.
		t = max(2*c.silenceLimit(d), m.class.Aim) * time.Duration(m.attempts+1)
	case t > 0 && len(d.waiting) > 1:
		// While other messages wait here, a restart takes the place of one of them and feeds an overload:
		// only calls that are very likely lost are abandoned.
		t = max(t, c.silenceLimit(d))
	}
	t <<= min(d.timeoutsInRow, 4)
	if t == 0 {
		return left
	}
	t = max(t, m.timeout+d.latencies.width)
	restart := c.now + t + time.Duration(u.latency*float64(time.Second))
	if restart >= m.deadline || m.class.Effect == Keyed && restart >= c.windowEnd(m) {
		return left
	}
	return t
}

// Health, waits and back-off.

// countUnserved counts a failure or a refusal.
func (c *Chooser) countUnserved(u *unit) {
	u.servedInRow, u.unservedInRow = 0, u.unservedInRow+1
	if u.state == suspect {
		u.failedProbes++
		u.probeAt = c.now + c.probeInterval(u)
	}
}

// handleFailure counts a failure. It counts against the host alone while another host of its unit is well, so
// that the loss of one machine or one data centre does not make the whole destination suspect.
func (c *Chooser) handleFailure(h *host, o Outcome, took time.Duration) {
	u, d := h.unit, h.dest
	h.failuresInRow++
	h.avoidUntil = c.now + min(c.cfg.Rules.Fall/8<<min(h.failuresInRow, 3), c.cfg.Rules.Fall/3)
	failedProbes := 0 // set to 1 if another host failed before: this call then counts as a failed probe
	for _, g := range d.hosts {
		if g.unit == u && g != h && g.State == Ready {
			if g.failuresInRow == 0 || c.now-g.avoidUntil > c.cfg.Rules.Cold {
				return
			}
			failedProbes = 1
		}
	}
	c.countUnserved(u)
	if o == NoConnection && took < c.minAim/4 && d.stats.noConnShare > 1.0/outcomeHistory &&
		c.seldomCalled(u) {
		// The host's connection table is full.
		u.backoffUntil = max(u.backoffUntil, c.now+2*c.refusalBackoff(u, d, 2*u.unservedInRow-2))
		return
	}
	u.failedMayHaveRun, u.sawErrors = u.failedMayHaveRun || o != NoConnection, u.sawErrors || o == Error
	u.noteOutcome(true)
	unopposed := c.seldomCalled(u) && c.now-u.lastServedAt > c.cfg.Rules.Fall // no recent served call
	if u.state != suspect && (unopposed || bits.OnesCount(u.recentFailures) >= outageFailures) {
		c.markSuspect(u, d, "failures", failedProbes)
	}
}

// noteOutcome records whether the last outcome was a failure.
func (u *unit) noteOutcome(failed bool) {
	u.recentFailures = u.recentFailures << 1 & (1<<outcomeHistory - 1)
	if failed {
		u.recentFailures |= 1
	}
}

// coldBudget returns this relay's share of the calls that the rules allow to a warming-up destination within
// Rules.Fall, at the given time after its return.
func (c *Chooser) coldBudget(u *unit, sinceReturn time.Duration) float64 {
	rate := u.listedRate
	if rate == 0 {
		rate = u.rateBeforeOutage * float64(c.cfg.Fleet)
	}
	k := c.cfg.Rules
	share := min(1, k.ColdFrom+(1-k.ColdFrom)*sinceReturn.Seconds()/k.Cold.Seconds())
	return coldBudgetShare * k.OverloadFactor * share * rate * k.Fall.Seconds() / float64(c.cfg.Fleet)
}

// probeInterval returns a random interval until the next probe. It doubles with each failed probe up to a
// third of Rules.Fall, or to what keeps the probes of all relays within the budget of a unit that has just
// returned even if its rate is overestimated by half. In a large fleet each relay probes by itself: the first
// probe comes soon, or at another host, and the intervals are at their longest once it has failed.
func (c *Chooser) probeInterval(u *unit) time.Duration {
	fall := c.cfg.Rules.Fall
	longest := max(fall/3, min(2*c.cfg.Rules.Cold, time.Duration(1.5*float64(fall)/c.coldBudget(u, 0))))
	interval := min(fall/8<<min(u.failedProbes, 6), longest)
	if c.seldomCalled(u) && u.failedProbes > 0 {
		interval = longest
	}
	return interval/2 + time.Duration(c.rand.Float64()*float64(interval))
}

// markSuspect makes a unit suspect and schedules its first probe.
func (c *Chooser) markSuspect(u *unit, d *destination, reason string, failedProbes int) {
	if u.state == healthy {
		u.rateBeforeOutage = max(u.servedRate, 1/c.cfg.Rules.Cold.Seconds())
	}
	c.log("destination %d unit %s suspect: %s", d.id, u.name, reason)
	u.state, u.stateSince, u.failedProbes, u.servedInRow = suspect, c.now, failedProbes, 0
	u.probeAt = c.now + c.probeInterval(u)
}

// log emits a log line.
func (c *Chooser) log(format string, args ...any) { c.emit(Log{fmt.Sprintf(format, args...)}) }

// acceptedRate returns the rate that a unit accepts from all relays together: the listed or reported one,
// otherwise the rate served to this relay times the fleet size, and at least one call in an eighth of the
// shortest Aim.
func (c *Chooser) acceptedRate(u *unit) float64 {
	if u.listedRate > 0 {
		return u.listedRate
	}
	return max(u.servedRate*float64(c.cfg.Fleet), 8/c.minAim.Seconds())
}

// evenInterval returns the interval between calls at this relay's even share of that rate.
func (c *Chooser) evenInterval(u *unit) time.Duration {
	return time.Duration(float64(c.cfg.Fleet) / c.acceptedRate(u) * float64(time.Second))
}

// seldomCalled reports whether this relay calls a unit too seldom to learn a rate limit from its own calls.
func (c *Chooser) seldomCalled(u *unit) bool { return c.evenInterval(u) > c.minAim/2 }

// handleRefusal handles a refusal: it keeps the wait that the destination asked for (Retry-After), or backs
// off without one, and lowers the rate limit.
func (c *Chooser) handleRefusal(u *unit, d *destination, wait time.Duration) {
	c.countUnserved(u)
	u.noteRefusal(c.now, c.cfg.Rules.Cold, wait > 0)
	u.waitUntil = max(u.waitUntil, c.now+wait)
	u.backoffUntil = max(c.now, u.waitUntil)
	step := u.unservedInRow - 1
	if wait > 0 {
		d.stats.backoffExponent = 2 // waits depend on capacity too: the share of served retries weighs less
	} else {
		step *= 2 // a full queue asks for no wait, and may be that of a hanging unit
	}
	if wait <= 0 || c.seldomCalled(u) {
		u.backoffUntil += c.refusalBackoff(u, d, step)
	}
	if d.refusalsInRow > 0 {
		d.stats.retrySuccess -= d.stats.retrySuccess / 8
	}
	if d.refusalsInRow++; d.refusalsInRow >= len(d.units) && c.seldomCalled(u) {
		if d.kind.PerHostLimits {
			step = d.refusalsInRow - len(d.units)
		}
		d.backoffUntil = c.now + 2*c.refusalBackoff(u, d, step)
	}
	c.cutLimit(u)
	// Only refusals, for longer than a rate limit explains, mean that the destination is closed. From one
	// that it seldom calls, a relay gets few refusals before it opens and all relays call at once: there
	// three in a row suffice.
	fall := c.cfg.Rules.Fall
	onlyRefusals := (u.unservedInRow > 6 || u.unservedInRow > 2 && c.seldomCalled(u)) &&
		c.now-u.lastServedAt >= fall
	if u.state == healthy && (wait > 2*fall/3 || onlyRefusals) {
		if c.markSuspect(u, d, "refusals only", 0); wait > 0 && c.seldomCalled(u) {
			u.failedProbes = 1 // otherwise all refused relays would call at once when it opens, cold
			u.probeAt = u.waitUntil + min(c.probeInterval(u), time.Duration(8*c.rand.Float64()*float64(wait)))
		}
	}
}

// refusalBackoff returns a back-off with jitter, so that relays do not return in step. It doubles with each
// step, up to the interval of this relay's even share. It is longer the fewer retries after a refusal are
// served at this kind of destination, since retries alone can keep a destination closed whose limit refused
// calls use up. As this does harm where refusals are random, the back-off never exceeds the interval that
// keeps all relays within the budget of a destination that has just returned; without a listed rate that is
// known only after an outage. A relay of a large fleet that calls a unit at most once within Rules.Fall
// starts with a back-off of a third of it: otherwise all relays that were refused just before the unit opens
// would call at once.
func (c *Chooser) refusalBackoff(u *unit, d *destination, step int) time.Duration {
	base := c.minAim / 4
	if c.evenInterval(u) > c.cfg.Rules.Fall {
		base = max(base, c.cfg.Rules.Fall/3)
	}
	seconds := min(base.Seconds()*math.Exp2(float64(min(step, 20))), c.evenInterval(u).Seconds())
	seconds = min(seconds/math.Pow(max(0.4, 2*d.stats.retrySuccess), d.stats.backoffExponent),
		c.coldInterval(u))
	return time.Duration(seconds * (0.5 + c.rand.Float64()) * float64(time.Second))
}

// coldInterval returns the interval in seconds between calls at this relay's share of the budget of a
// destination that has just returned from an outage.
func (c *Chooser) coldInterval(u *unit) float64 {
	return c.cfg.Rules.Fall.Seconds() / c.coldBudget(u, 0)
}

// handleServed handles a served call: it updates latency and served rate, and the unit recovers.
func (c *Chooser) handleServed(u *unit, d *destination, took time.Duration) {
	u.latency = cmp.Or(u.latency, took.Seconds())
	u.latency += (took.Seconds() - u.latency) / 8
	cold := c.cfg.Rules.Cold.Seconds()
	u.servedRate = u.servedRate*math.Exp(-(c.now-u.lastServedAt).Seconds()/cold) + 1/cold
	shortOutage := u.unservedInRow == 0 || !u.sawErrors && c.now-u.lastServedAt < c.cfg.Rules.Fall ||
		u.unservedInRow == 1 && c.seldomCalled(u) && c.now-u.stateSince < c.cfg.Rules.Fall
	u.noteServed()
	u.lastServedAt, u.unservedInRow = c.now, 0
	u.servedInRow++
	u.noteOutcome(false)
	switch {
	case u.state == healthy && u.recentFailures == 0:
		u.failedMayHaveRun, u.sawErrors = false, false
	case u.state == suspect && shortOutage:
		u.state, u.stateSince, u.failedMayHaveRun, u.recentFailures = healthy, c.now, false, 0
	case u.state == suspect:
		u.state, u.stateSince, u.recentFailures = recovering, c.now, 0
		c.log("destination %d unit %s recovering", d.id, u.name)
	case u.state == recovering && c.now-u.stateSince >= c.cfg.Rules.Cold:
		u.state, u.stateSince, u.failedMayHaveRun, u.sawErrors = healthy, c.now, false, false
		c.log("destination %d unit %s healthy", d.id, u.name)
	}
}

// detectSilence makes units suspect that leave calls unanswered. It detects silence before a timeout does,
// and in particular where the timeout is long because the call carries an unsafe message.
func (c *Chooser) detectSilence() {
	for _, d := range c.active {
		for _, u := range d.units {
			if u.state == healthy && len(u.inFlight) > 0 &&
				c.now-max(u.inFlight[0].sentAt, u.lastServedAt) > c.silenceLimit(d) {
				u.failedMayHaveRun = true
				c.markSuspect(u, d, "silent", 0)
			}
		}
	}
}

// maySend reports whether a call may be sent to a unit now.
func (c *Chooser) maySend(u *unit) bool {
	if c.now < u.waitUntil || c.now < u.backoffUntil {
		return false
	}
	switch u.state {
	case suspect:
		return len(u.inFlight) <= 1 && c.now >= u.probeAt
	case recovering:
		n, span := c.coldBudget(u, c.now-u.stateSince), c.cfg.Rules.Fall
		if n < 1 {
			n, span = 1, time.Duration(float64(span)/n)
		}
		if c.callsWithin(u, span)+1 > n {
			return false
		}
	}
	return u.hasToken()
}

// Arrivals and results.

// addMessage adds a new message.
func (c *Chooser) addMessage(e Arrival) *message {
	e.Class = min(max(e.Class, 0), len(c.cfg.Classes)-1)
	k := &c.cfg.Classes[e.Class]
	m := &message{Arrival: e, class: k, dest: c.destinationFor(e.Dest), deadline: c.now + e.TimeLeft,
		arrivedAt: c.now, unsureAt: -1}
	m.startedAt = m.deadline - k.Deadline
	c.messages[e.ID] = m
	c.held++
	c.enqueue(m)
	if k.Ordered && e.Key != "" {
		l := c.keyQueues[e.Key]
		if l == nil {
			l = &keyQueue{key: e.Key}
			c.keyQueues[e.Key] = l
		}
		l.rate.update(c.now, c.maxDeadline)
		l.messages = append(l.messages, m)
		l.rate.waiting = len(l.messages) > 1
	}
	return m
}

// handleResult handles the end of an attempt.
func (c *Chooser) handleResult(e Result) {
	m := c.messages[e.ID]
	if m == nil || m.call == nil {
		return
	}
	k, h, u, d := m.call, m.call.host, m.call.host.unit, m.dest
	m.call, m.lastHost = nil, h
	u.waitUntil = max(u.waitUntil, c.now+e.RetryAfter) // a wait is kept whatever the outcome
	if e.NoMoreAttempts {
		m.attempts = c.cfg.MaxAttempts
	}
	if k.members = remove(k.members, m); len(k.members) == 0 {
		c.inFlight, d.inFlight, h.inFlight = c.inFlight-1, d.inFlight-1, h.inFlight-1
		u.inFlight = remove(u.inFlight, k)
		c.trackConnections(k, e.Outcome, e.Took)
	}
	if r := c.cfg.ReportLimitIndex; r >= 0 && r < len(e.Report) && e.Report[r] > 0 {
		u.listedRate = e.Report[r]
	}
	switch e.Outcome {
	case Served:
		d.latencies.add(e.Took)
		c.allLatencies.add(e.Took)
		if k.sentAt > m.arrivedAt {
			d.queueRates[m.Class].served++
		}
		if e.Took <= d.latencies.bestTimeout {
			d.timeoutsInRow = 0
		}
		h.failuresInRow = 0
		if d.refusalsInRow > 0 {
			d.stats.retrySuccess += (1 - d.stats.retrySuccess) / 8
		}
		d.refusalsInRow = 0
		c.handleServed(u, d, e.Took)
	case Refused:
		c.handleRefusal(u, d, e.RetryAfter)
	case Error, Reset:
		if !k.failureCounted { // the messages of one call count as one failure
			c.handleFailure(h, e.Outcome, e.Took)
		}
		k.failureCounted = true
	case Timeout, Cancelled:
		d.latencies.addAbandoned()
		if u.lastServedAt < k.sentAt {
			d.timeoutsInRow++
			if e.Took >= c.silenceLimit(d) {
				c.handleFailure(h, e.Outcome, e.Took)
			}
		}
	case NoConnection:
		d.latencies.addAbandoned()
		c.handleFailure(h, e.Outcome, e.Took)
	}
	sure := e.Outcome == Served && !(e.Unproven && e.Over) ||
		!e.Unproven && (e.Outcome == Refused || e.Outcome == NoConnection || e.Outcome == NotSent)
	if !sure {
		if m.unsureAt = c.now; !m.mayHaveRun {
			m.mayHaveRun, m.firstRunAt, m.firstRunZone = true, k.sentAt, h.Zone
		}
	}
	switch {
	case e.Done || m.finished:
		c.forget(m)
	case e.Over || e.Outcome == Served: // ended elsewhere, or too late: a final answer is due
		m.mayHaveRun, m.noRefusal = true, true
		c.giveFinalAnswer(m)
	case m.withdrawn || !c.repeatable(m) || m.attempts >= c.cfg.MaxAttempts:
		c.giveFinalAnswer(m)
	default:
		c.enqueue(m)
	}
}

// trackConnections updates the connection statistics at the end of a call, and closes idle connections where
// calls get no connection: a host may accept only few, including idle ones, and those of a large fleet fill
// its connection table although each is seldom reused. Elsewhere idle connections are kept, which saves
// handshakes. Clearly more lost calls on reused idle connections than on new ones mean that the network drops
// idle connections silently; the shortest idle time of a lost call then limits how long they are trusted. A
// slow host loses calls on both.
func (c *Chooser) trackConnections(k *call, o Outcome, took time.Duration) {
	h, noConn := k.host, &k.host.dest.stats.noConnShare
	before := *noConn
	if *noConn -= *noConn / decaySamples; o == NoConnection && took < c.minAim/4 && h.State == Ready {
		*noConn += 1.0 / outcomeHistory // a full table refuses at once; a host that is down seldom does
	}
	lost := &c.lostShare[k.reused]
	*lost -= *lost / 16
	if o == Reset || o == Timeout || o == Cancelled {
		if *lost += 1.0 / 16; k.reused == 1 && *lost > 2*c.lostShare[0]+idleLossMargin {
			c.maxIdle = min(c.maxIdle, k.idleFor/2)
		}
	} else if k.reused == 1 && o == Served {
		c.maxIdle = min(c.maxIdle+c.maxIdle/16, c.cfg.ConnIdle)
	}
	if h.inFlight > 0 || c.cfg.ConnIdle == 0 {
		return
	}
	h.keptOpen, h.idleSince = true, c.now
	for _, d := range c.destList {
		if full := *noConn >= scarceConnShare; full &&
			(d == h.dest || before < scarceConnShare && &d.stats.noConnShare == noConn) {
			for _, g := range d.hosts {
				if g.keptOpen && g.inFlight == 0 {
					g.keptOpen = false
					c.emit(CloseIdle{g.Addr})
				}
			}
		}
	}
}

// enqueue adds a message to those that wait for their next attempt.
func (c *Chooser) enqueue(m *message) {
	d := m.dest
	if d.waiting = append(d.waiting, m); !d.active {
		d.active, c.active = true, append(c.active, d)
	}
}

// repeatable reports whether the effect of a message allows another attempt now.
func (c *Chooser) repeatable(m *message) bool {
	return !m.mayHaveRun || m.class.Effect == Safe || m.class.Effect == Keyed && c.now < c.windowEnd(m)
}

// windowEnd returns the time until which a destination deduplicates repeats of a message.
func (c *Chooser) windowEnd(m *message) time.Duration {
	if !m.mayHaveRun {
		return c.now + m.class.Window
	}
	return m.firstRunAt + m.class.Window
}

// forget forgets a finished message. One that is in flight keeps its state and its key until its result.
func (c *Chooser) forget(m *message) {
	if !m.finished {
		m.finished = true
		c.held--
		if m.call == nil {
			m.dest.waiting = remove(m.dest.waiting, m)
		}
	}
	if m.call != nil {
		return
	}
	delete(c.messages, m.ID)
	c.releaseKey(m)
}

// releaseKey removes a message from the queue of its key, once it is neither in flight nor unacknowledged.
func (c *Chooser) releaseKey(m *message) {
	if m.call != nil || c.unacknowledged[m.ID] == m {
		return
	}
	if l := c.keyQueues[m.Key]; l != nil && m.class.Ordered {
		if l.rate.update(c.now, c.maxDeadline); l.rate.waiting && m.attempts > 0 {
			l.rate.served++
		}
		l.messages = remove(l.messages, m)
		l.rate.waiting = len(l.messages) > 1
		if m.unsureAt >= 0 {
			l.blockedUntil = max(l.blockedUntil, m.unsureAt+c.cfg.Rules.OrderSettle)
		}
		if len(l.messages) == 0 {
			c.blockedQueues = append(c.blockedQueues, l)
		}
	}
}

// worthAt returns the worth of a message if it is served at the given time.
func (c *Chooser) worthAt(m *message, at time.Duration) float64 {
	k := m.class
	if at >= m.deadline {
		return 0
	}
	age := at - m.startedAt
	if age <= k.Aim {
		return k.Worth
	}
	late := (age - k.Aim).Seconds()
	if c.cfg.Halving {
		return k.Worth * max(k.LateShare, math.Exp2(-late/k.Aim.Seconds()))
	}
	return k.Worth * (1 - (1-k.LateShare)*late/(k.Deadline-k.Aim).Seconds())
}

// Key ordering.

// keyAllows reports whether the order of its key allows a message to be sent now.
func (c *Chooser) keyAllows(m *message) bool {
	if !m.class.Ordered || m.Key == "" {
		return true
	}
	l := c.keyQueues[m.Key]
	return l.messages[0] == m && c.now >= l.blockedUntil
}

// dropFreeKeys forgets empty key queues whose key is no longer blocked.
func (c *Chooser) dropFreeKeys() {
	c.blockedQueues = slices.DeleteFunc(c.blockedQueues, func(l *keyQueue) bool {
		if len(l.messages) == 0 && c.now >= l.blockedUntil {
			delete(c.keyQueues, l.key)
		}
		return len(l.messages) > 0 || c.now >= l.blockedUntil
	})
}

// Dispatch.

// dispatch sends waiting messages while call slots are free, to the destination with the fewest calls in
// flight first.
func (c *Chooser) dispatch() {
	limitAlone := max(1, (3*c.cfg.Workers+3)/4-1)
	limitShared := max(1, c.cfg.Workers/2)
	// Probes go last, so that calls that may hang do not fill the slots of a small relay, unless they are
	// overdue.
	wellOrOverdue := func(u *unit) bool { return u.state != suspect || c.now-u.probeAt > c.cfg.Rules.Fall }
	probesOnly := func(d *destination) int {
		if slices.ContainsFunc(d.units, wellOrOverdue) {
			return 0
		}
		return 1
	}
	var ready []*destination
	for _, d := range c.active {
		if len(d.waiting) == 0 || c.now < d.backoffUntil {
			continue
		}
		for _, u := range d.units {
			c.refill(u)
		}
		if slices.ContainsFunc(d.units, c.maySend) {
			ready = append(ready, d)
		}
	}
	for c.inFlight < c.cfg.Workers && len(ready) > 0 {
		d := slices.MinFunc(ready, func(a, b *destination) int {
			return cmp.Or(cmp.Compare(probesOnly(a), probesOnly(b)), cmp.Compare(a.inFlight, b.inFlight),
				cmp.Compare(a.lastSentAt, b.lastSentAt), cmp.Compare(a.id, b.id))
		})
		maxInFlight := limitAlone
		if len(ready) > 1 {
			maxInFlight = limitShared
		}
		if d.inFlight >= maxInFlight || !c.sendOne(d) {
			ready = remove(ready, d)
		}
	}
	waits := func(d *destination) bool { m, _ := c.pick(d); return m != nil }
	if c.cfg.Cancels && slices.ContainsFunc(ready, waits) {
		c.cancelOverdue()
	}
}

// cancelOverdue cancels the oldest overdue call if all slots are taken while a message waits for one: calls
// that are never answered must not block the slots. A call is overdue after its destination's silence limit:
// twice that if the unit has served others since, times the number of attempts, and half of it once messages
// fill half of MaxHeld. Cancelling loses an unsafe message, so its call gets at least twice the limit while
// overdue calls hold no more than half of the slots.
func (c *Chooser) cancelOverdue() {
	var overdue []*call
	for _, d := range c.active {
		for _, u := range d.units {
			for _, k := range u.inFlight {
				if k.cancelled {
					return // one at a time
				}
				overdueAfter := c.silenceLimit(d)
				if c.cfg.MaxHeld > 0 && 2*c.held > c.cfg.MaxHeld {
					overdueAfter /= 2
				}
				if u.lastServedAt >= k.sentAt {
					overdueAfter *= 2
				}
				overdueAfter *= time.Duration(k.members[0].attempts)
				if c.now-k.sentAt > overdueAfter {
					overdue = append(overdue, k)
				}
			}
		}
	}
	slices.SortStableFunc(overdue, func(a, b *call) int { return cmp.Compare(a.sentAt, b.sentAt) })
	for _, k := range overdue {
		unsafe := slices.ContainsFunc(k.members, func(m *message) bool { return m.class.Effect == Unsafe })
		if unsafe && 2*len(overdue) <= c.cfg.Workers && c.now-k.sentAt < 2*c.silenceLimit(k.host.dest) {
			continue
		}
		k.cancelled = true
		for _, m := range k.members {
			c.emit(Cancel{m.ID, m.attempts - 1})
		}
		return
	}
}

// sendOne sends the best message of a destination, together with others that fit in the same call. It reports
// whether there was a message to send.
func (c *Chooser) sendOne(d *destination) bool {
	m, h := c.pick(d)
	if m == nil {
		return false
	}
	u := h.unit
	k := &call{host: h, sentAt: c.now, idleFor: c.now - h.idleSince}
	if old := h.keptOpen && h.inFlight == 0; old && k.idleFor > c.maxIdle {
		c.emit(CloseIdle{h.Addr})
	} else if old && k.idleFor > c.cfg.ConnIdle/16 { // a shorter idle time is no evidence
		k.reused = 1
	}
	c.inFlight, d.inFlight, h.inFlight, d.lastSentAt = c.inFlight+1, d.inFlight+1, h.inFlight+1, c.now
	for len(u.sendTimes) > 0 && c.now-u.sendTimes[0] > max(c.cfg.Rules.Cold, time.Second) {
		// Only the oldest: scanning all of them at each send took most of a busy relay's CPU time.
		u.sendTimes = u.sendTimes[1:]
	}
	u.inFlight, u.sendTimes = append(u.inFlight, k), append(u.sendTimes, c.now)
	u.takeToken()
	if u.state == suspect {
		u.probeAt = c.now + c.silenceLimit(d)<<min(u.failedProbes, 4) + c.probeInterval(u)
	}
	c.addToCall(m, k)
	for len(k.members) < d.kind.PerCall && u.state != suspect {
		m := c.bestMessage(d, func(m *message) bool { return c.eligible(m, h) })
		if m == nil {
			break
		}
		c.addToCall(m, k)
	}
	// The messages of a call end together: the longest of their timeouts applies, up to the earliest
	// deadline.
	longest, left := time.Duration(0), time.Duration(math.MaxInt64)
	for _, m := range k.members {
		longest, left = max(longest, m.timeout), min(left, m.deadline-c.now)
	}
	for _, m := range k.members {
		m.timeout = min(longest, left)
		s := Send{ID: m.ID, Host: h.Addr, Timeout: m.timeout}
		if m.mayHaveRun && m.class.Effect == Keyed { // a connection may open only after the window
			s.StartWithin = c.windowEnd(m) - c.now
		}
		c.emit(s)
	}
	if len(k.members) > 1 {
		u.sendTimes = append(u.sendTimes, c.now) // further messages count as one more call
	}
	return true
}

// addToCall adds a message to a call.
func (c *Chooser) addToCall(m *message, k *call) {
	d := m.dest
	m.timeout = c.attemptTimeout(m, k.host.unit)
	if c.zoneBudget != nil && k.host.Zone != c.zoneBudget.Home {
		t := &c.zoneBudget.Classes[m.Class]
		c.zoneBudget.Remaining, t.Own = c.zoneBudget.Remaining-t.Cost, t.Own-t.Cost
	}
	d.waiting = remove(d.waiting, m)
	m.attempts++
	m.call = k
	k.members = append(k.members, m)
}

// zoneAllowed reports whether the budget allows a message to be sent to a zone, and if not, the earliest time
// when it may. A message is urgent in the last quarter of its time.
func (c *Chooser) zoneAllowed(m *message, zone int) (time.Duration, bool) {
	if c.zoneBudget == nil || zone == c.zoneBudget.Home {
		return 0, true
	}
	t := &c.zoneBudget.Classes[m.Class]
	floor := t.Floor
	if m.deadline-c.now < m.class.Deadline/4 {
		floor = t.Urgent
	}
	return t.Again, c.zoneBudget.Remaining-t.Cost >= floor && t.Own >= t.Cost
}

// zonesExcluded reports whether the budget excludes all hosts of a message's destination until past its
// deadline.
func (c *Chooser) zonesExcluded(m *message) bool {
	if c.zoneBudget == nil || len(m.dest.hosts) == 0 {
		return false
	}
	if t := &c.zoneBudget.Classes[m.Class]; c.zoneBudget.Remaining-t.Cost >= t.Urgent {
		return false // it may be sent once it is urgent
	}
	return !slices.ContainsFunc(m.dest.hosts, func(h *host) bool {
		again, open := c.zoneAllowed(m, h.Zone)
		return h.State == Ready && (open || again < m.deadline)
	})
}

// eligible reports whether a message may be sent to a host now, limits of the host's unit aside.
func (c *Chooser) eligible(m *message, h *host) bool {
	if _, open := c.zoneAllowed(m, h.Zone); !open {
		return false
	}
	if h.State != Ready || c.suspended || c.paused || !c.repeatable(m) || m.attempts >= c.cfg.MaxAttempts {
		return false
	}
	if m.class.Effect == Keyed && m.class.SameZone && m.mayHaveRun && h.Zone != m.firstRunZone {
		return false
	}
	// A message that must not be repeated is not sent to a unit where failed messages may have run, until the
	// unit has served a few calls or the message is urgent.
	u := h.unit
	proven := u.state == healthy || !u.failedMayHaveRun ||
		u.state == recovering && (!u.sawErrors || u.servedInRow >= outcomeHistory)
	return proven || m.class.Effect != Unsafe || m.deadline-c.now < m.class.Deadline/4
}

// bestMessage returns the message that loses most by waiting, among those that pass the test.
func (c *Chooser) bestMessage(d *destination, test func(*message) bool) *message {
	rate := 0.0
	for _, u := range d.units {
		rate += u.servedRate
	}
	wait := c.minAim
	if rate > 0 {
		wait = time.Duration(float64(len(d.waiting)) / rate * float64(time.Second))
	}
	wait = min(max(wait, c.minAim/8), 4*c.tableBound)
	best, mostLoss := (*message)(nil), math.Inf(-1)
	for _, m := range d.waiting {
		if !c.keyAllows(m) || !test(m) {
			continue
		}
		loss := c.waitLoss(m, wait)
		if m.goesFirst() {
			loss = math.Inf(1)
		}
		if best == nil || loss > mostLoss || loss == mostLoss && m.deadline < best.deadline {
			best, mostLoss = m, loss
		}
	}
	return best
}

// pick returns the best message of a destination that can be sent now, and the host of least cost for it.
func (c *Chooser) pick(d *destination) (*message, *host) {
	var open []*host
	for _, h := range d.hosts {
		if h.State == Ready && c.maySend(h.unit) {
			open = append(open, h)
		}
	}
	m := c.bestMessage(d, func(m *message) bool {
		return slices.ContainsFunc(open, func(h *host) bool { return c.eligible(m, h) })
	})
	best, leastCost := (*host)(nil), math.Inf(1)
	for _, h := range open {
		if m != nil && c.eligible(m, h) && c.hostCost(m, h) < leastCost {
			best, leastCost = h, c.hostCost(m, h)
		}
	}
	return m, best
}

// hostCost returns the cost of sending a message to a host, as a share of worth: the zone fee, and the share
// of the Aim that the host's latency and its calls in flight take.
func (c *Chooser) hostCost(m *message, h *host) float64 {
	u := h.unit
	cost := 0.0
	if m.dest.kind.PerHostLimits && h.Zone < len(c.cfg.ZoneFee) {
		cost += c.cfg.ZoneFee[h.Zone]
	}
	if c.seldomCalled(u) {
		cost = cost/10 + h.preference/20
	}
	finish := u.latency * float64(h.inFlight+1) / m.class.Aim.Seconds()
	cost += max(0, finish-0.25) + finish/100
	if h == m.lastHost || u.state != healthy || h.failuresInRow > 0 {
		// After a few failures an untried host is preferred.
		cost += failureCost * float64(1+min(h.failuresInRow, 4))
	}
	if c.now < h.avoidUntil {
		cost++
	}
	return cost
}
