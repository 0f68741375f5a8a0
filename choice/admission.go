package choice

import (
	"math"
	"slices"
	"time"
)

// Admission control: a message is refused in the step of its arrival if it almost certainly can't be attempted
// before its deadline. Its wait is estimated by Little's law: the number of messages ahead of it, divided by the
// rate at which waiting messages were served. Two queues count: the messages of its class for the same
// destination, and those that share its ordering key, which are sent one at a time.

const (
	// waitShare is the share of the time left that a message may be expected to wait; the rest is for its attempts.
	waitShare = 0.9
	// confidence is the number of standard deviations by which a queue is assumed to be served faster than measured.
	confidence = 2.0
	// minBusyAims is how long messages must have waited before a service rate is used, in shortest Aims.
	minBusyAims = 1.0 / 32
	// followerShare is the share of the loss of the messages queued behind it that counts for the first one of a key.
	followerShare = 0.5
)

// queueRate measures how fast the messages of one queue are served. Both counts decay with time.
type queueRate struct {
	served    float64       // messages that were served after they had waited
	busy      float64       // seconds in which messages waited
	updatedAt time.Duration // time of the last update of both counts
	waiting   bool          // messages have been waiting since then
}

// update accounts for the time since the last update. The counts decay by a factor of e in the time memory.
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

// minWait returns a lower bound of the wait of a message with the given number of messages ahead of it.
func (q *queueRate) minWait(ahead int) time.Duration {
	most := q.served + 1 + confidence*math.Sqrt(q.served+1)
	return time.Duration(float64(ahead+1) * q.busy / most * float64(time.Second))
}

// updateQueueRates updates the service rates of the active destinations, before the decisions of a step.
func (c *Chooser) updateQueueRates() {
	for _, d := range c.active {
		for i := range d.queueRates {
			d.queueRates[i].update(c.now, c.maxDeadline)
		}
		if d.hasReady() {
			d.lastReadyAt = c.now
		}
	}
}

// noteWaiting records which queues hold waiting messages, after the decisions of a step.
func (c *Chooser) noteWaiting() {
	for _, d := range c.active {
		for i := range d.queueRates {
			d.queueRates[i].waiting = false
		}
		for _, m := range d.waiting {
			d.queueRates[m.Class].waiting = true
		}
	}
}

// admit refuses the messages of this step's arrivals that can't be attempted before their deadline.
func (c *Chooser) admit() {
	for _, m := range c.arrivals {
		if m.finished || m.call != nil {
			continue
		}
		allowed := time.Duration(waitShare * float64(m.deadline-c.now))
		if wait := c.expectedWait(m); wait > allowed {
			m.excessWait = wait - allowed
			c.giveFinalAnswer(m)
		}
	}
	c.arrivals = c.arrivals[:0]
}

// expectedWait returns a lower bound of the time until the first attempt of a message that has just arrived.
func (c *Chooser) expectedWait(m *message) time.Duration {
	d := m.dest
	if len(d.hosts) == 0 {
		return 0 // unknown, since the destination has no host yet
	}
	wait := max(c.closedFor(d), c.keyWait(m))
	ahead := -1 // itself
	for _, o := range d.waiting {
		if o.Class == m.Class {
			ahead++
		}
	}
	if ahead <= 0 && d.hasReady() {
		return wait // without messages ahead this one is the next attempt, whatever the measured rate
	}
	if q := &d.queueRates[m.Class]; c.hasEvidence(q) {
		wait = max(wait, q.minWait(ahead))
	}
	return wait
}

// keyWait returns a lower bound of the time for which a message waits for earlier messages of its key.
func (c *Chooser) keyWait(m *message) time.Duration {
	l := c.keyQueues[m.Key]
	if l == nil || !m.class.Ordered || !c.hasEvidence(&l.rate) {
		return 0
	}
	return l.rate.minWait(len(l.messages) - 1)
}

// hasEvidence reports whether messages have waited long enough for a service rate to be used.
func (c *Chooser) hasEvidence(q *queueRate) bool { return q.busy >= minBusyAims*c.minAim.Seconds() }

// hasReady reports whether one of the destination's hosts is Ready.
func (d *destination) hasReady() bool {
	return slices.ContainsFunc(d.hosts, func(h *host) bool { return h.State == Ready })
}

// closedFor returns the time for which no unit of a destination may be sent to. A period without Ready hosts is
// expected to last as long again as it has lasted so far.
func (c *Chooser) closedFor(d *destination) time.Duration {
	if !d.hasReady() {
		return c.now - d.lastReadyAt
	}
	opens := time.Duration(math.MaxInt64)
	for _, u := range d.units {
		at := max(u.waitUntil, u.backoffUntil, d.backoffUntil)
		if u.state == suspect {
			at = max(at, u.probeAt)
		}
		opens = min(opens, at)
	}
	return max(0, opens-c.now)
}

// waitLoss returns the worth that a message loses by the given wait, plus a share of what the messages queued behind
// it under the same key lose.
func (c *Chooser) waitLoss(m *message, wait time.Duration) float64 {
	lost := c.worthAt(m, c.now) - c.worthAt(m, c.now+wait)
	if !m.class.Ordered || m.Key == "" {
		return lost
	}
	for _, f := range c.keyQueues[m.Key].messages[1:] {
		lost += followerShare * (c.worthAt(f, c.now) - c.worthAt(f, c.now+wait))
	}
	return lost
}

// goesFirst reports whether a message is sent before messages that lose more by waiting: an earlier run accepted
// it, and it has not been attempted yet.
func (m *message) goesFirst() bool { return m.restored && m.attempts == 0 }
