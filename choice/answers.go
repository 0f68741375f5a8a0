package choice

import (
	"math"
	"time"
)

// Final answers: when a message is refused or failed, and which Retry-After a refusal carries.

// answerDue gives the final answer to waiting messages that can't be sent any more, and sheds those of least worth
// while the number of held messages is close to MaxHeld.
func (c *Chooser) answerDue() {
	for _, d := range c.active {
		for i := len(d.waiting) - 1; i >= 0; i-- {
			m := d.waiting[i]
			if c.stopped || c.zonesExcluded(m) || m.deadline-c.now <= deadlineMargin*c.cfg.Tick+c.stepInterval ||
				!c.repeatable(m) {
				c.giveFinalAnswer(m)
			}
		}
	}
	for c.cfg.MaxHeld > 0 && float64(c.held) > shedThreshold*float64(c.cfg.MaxHeld) {
		worst, leastWorth := (*message)(nil), math.Inf(1)
		for _, d := range c.active {
			for _, m := range d.waiting {
				w := c.worthAt(m, c.now) / float64(len(d.waiting))
				if b := c.cfg.ShedPenalty; !m.mayHaveRun && c.now > m.arrivedAt &&
					(c.now-m.arrivedAt).Seconds() < b.Before*(m.deadline-m.arrivedAt).Seconds() {
					w += b.Cost * m.class.Worth // prefers refusing a new message to shedding an accepted one
				}
				if w < leastWorth && (!m.mayHaveRun || m.class.Effect == Safe && !m.noRefusal) {
					leastWorth, worst = w, m
				}
			}
		}
		if worst == nil {
			return
		}
		c.giveFinalAnswer(worst)
	}
}

// giveFinalAnswer gives a message that is not in flight its final answer: Refuse where the rules allow it, otherwise
// Fail.
func (c *Chooser) giveFinalAnswer(m *message) {
	harmless := m.class.Effect == Safe || m.class.Effect == Keyed && !m.class.SameZone
	if !m.mayHaveRun || harmless && !c.cfg.RefuseOnlyNeverRan && !m.noRefusal {
		c.emit(Refuse{m.ID, c.retryAfter(m)})
	} else {
		c.emit(Fail{m.ID})
	}
	if c.cfg.HoldUntilAcknowledged && m.class.Ordered && m.Key != "" {
		c.unacknowledged[m.ID] = m
	}
	c.forget(m)
}

// retryAfter returns the Retry-After of a refusal: the time until a unit of the destination may be called again and
// the budget allows sends to the zone of one of its hosts, limited to MaxRetryAfter.
func (c *Chooser) retryAfter(m *message) time.Duration {
	wait, d := c.cfg.MaxRetryAfter, m.dest
	if m.excessWait > 0 {
		return min(wait, m.excessWait)
	}
	for _, u := range d.units {
		wait = min(wait, max(u.waitUntil, u.backoffUntil, d.backoffUntil, u.probeAt)-c.now)
	}
	if c.zoneBudget != nil && len(d.hosts) > 0 {
		opens := time.Duration(math.MaxInt64)
		for _, h := range d.hosts {
			again, _ := c.zoneAllowed(m, h.Zone)
			opens = min(opens, again)
		}
		wait = min(max(wait, opens-c.now), c.cfg.MaxRetryAfter)
	}
	return max(0, wait)
}
