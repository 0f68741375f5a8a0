package choice

import (
	"math"
	"slices"
	"time"
)

// Admission: a message is refused in the step of its arrival when it surely can't be tried in its time. The
// expectation is Little's law: what waits before it, divided by the rate at which what waited was served. Two
// queues count: the messages of its class for the same destination, and those that share its key of the order,
// which go one at a time.

const (
	// waitShare of its time left a message may be expected to wait; the rest is for its tries.
	waitShare = 0.9
	// confidence in standard deviations: a queue counts as served faster than was measured by so much.
	confidence = 2.0
	// leastBusy is how long messages must have waited for a rate to mean something, in shortest aims.
	leastBusy = 1.0 / 32
	// followerShare of what the messages behind it in the order of its key lose counts for the first one.
	followerShare = 0.5
)

// queueRate measures how fast the messages that wait in one queue are served. Both figures fade with time.
type queueRate struct {
	served    float64       // messages that had waited
	busy      float64       // seconds in which messages waited
	updatedAt time.Duration // both were brought up to date
	waiting   bool          // something waits since then
}

// update takes in the time since the last one.
func (q *queueRate) update(now, memory time.Duration) {
	span := now - q.updatedAt
	if span <= 0 {
		return
	}
	q.updatedAt = now
	if q.waiting {
		q.busy += span.Seconds()
	}
	if q.busy == 0 && q.served == 0 {
		return
	}
	keep := math.Exp(-span.Seconds() / memory.Seconds())
	q.served *= keep
	q.busy *= keep
}

// leastWait is how long a message behind others waits at least, with confidence.
func (q *queueRate) leastWait(ahead int) time.Duration {
	most := q.served + 1 + confidence*math.Sqrt(q.served+1)
	return time.Duration(float64(ahead+1) * q.busy / most * float64(time.Second))
}

// measure brings the rates of destinations up to date, before the decisions of a step.
func (c *Chooser) measure() {
	for _, d := range c.live {
		for i := range d.rates {
			d.rates[i].update(c.now, c.longest)
		}
		if d.hasReady() {
			d.readyAt = c.now
		}
	}
}

// noteWaiting notes what waits once a step has decided.
func (c *Chooser) noteWaiting() {
	for _, d := range c.live {
		for i := range d.rates {
			d.rates[i].waiting = false
		}
		for _, m := range d.waiting {
			d.rates[m.Class].waiting = true
		}
	}
}

// admit refuses those of the messages that have just come which can't be tried in their time.
func (c *Chooser) admit() {
	for _, m := range c.arrived {
		if m.over || m.call != nil {
			continue
		}
		allowed := time.Duration(waitShare * float64(m.due-c.now))
		if wait := c.expectedWait(m); wait > allowed {
			m.excess = wait - allowed
			c.final(m)
		}
	}
	c.arrived = c.arrived[:0]
}

// expectedWait is how long a message that has just come will wait for its first try at least.
func (c *Chooser) expectedWait(m *message) time.Duration {
	d := m.dest
	if len(d.hosts) == 0 {
		return 0 // when it gets one is not known
	}
	wait := max(c.shutFor(d), c.behindInLine(m))
	ahead := -1 // itself
	for _, o := range d.waiting {
		if o.Class == m.Class {
			ahead++
		}
	}
	if ahead <= 0 && d.hasReady() {
		return wait // a destination is tried by what waits for it
	}
	if q := &d.rates[m.Class]; c.means(q) {
		wait = max(wait, q.leastWait(ahead))
	}
	return wait
}

// behindInLine is how long a message waits for those of its key that came before it.
func (c *Chooser) behindInLine(m *message) time.Duration {
	l := c.lines[m.Key]
	if l == nil || !m.class.Ordered || !c.means(&l.rate) {
		return 0
	}
	return l.rate.leastWait(len(l.queue) - 1)
}

// means tells whether messages have waited long enough for a rate to mean something.
func (c *Chooser) means(q *queueRate) bool { return q.busy >= leastBusy*c.minAim.Seconds() }

// hasReady tells whether one of a destination's hosts wants work.
func (d *dest) hasReady() bool {
	return slices.ContainsFunc(d.hosts, func(h *host) bool { return h.State == Ready })
}

// shutFor is how long none of a destination's units may be sent to. While none of its hosts wants work, that is
// expected to last as long again as it has lasted.
func (c *Chooser) shutFor(d *dest) time.Duration {
	if !d.hasReady() {
		return c.now - d.readyAt
	}
	opens := time.Duration(math.MaxInt64)
	for _, u := range d.units {
		at := max(u.waitUntil, u.pauseUntil, d.pauseUntil)
		if u.state == suspect {
			at = max(at, u.trialAt)
		}
		opens = min(opens, at)
	}
	return max(0, opens-c.now)
}

// loss is what a message loses by waiting for a time, with a part of what those behind it in the order of its
// key lose.
func (c *Chooser) loss(m *message, wait time.Duration) float64 {
	lost := c.worth(m, c.now) - c.worth(m, c.now+wait)
	if !m.class.Ordered || m.Key == "" {
		return lost
	}
	for _, f := range c.lines[m.Key].queue[1:] {
		lost += followerShare * (c.worth(f, c.now) - c.worth(f, c.now+wait))
	}
	return lost
}

// goesFirst tells whether a message goes before those that lose more by waiting: an earlier run took it, and
// it was not tried yet.
func (m *message) goesFirst() bool { return m.restored && m.attempts == 0 }
