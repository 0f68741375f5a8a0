package choice

import (
	"math"
	"time"
)

// Final answers: when a message is refused or failed, and which Retry-After a refusal carries.

// answer gives the final answer to waiting messages that can't be sent any more, and sheds those of least worth
// while the number of held messages is close to MaxHeld.
func (c *Chooser) answer() {
	for _, d := range c.live {
		for i := len(d.waiting) - 1; i >= 0; i-- {
			m := d.waiting[i]
			if c.stopped || c.barred(m) || m.due-c.now <= margin*c.set.Tick+c.nap || !c.repeatable(m) {
				c.final(m)
			}
		}
	}
	for c.set.MaxHeld > 0 && float64(c.held) > crowded*float64(c.set.MaxHeld) {
		worst, least := (*message)(nil), math.Inf(1)
		for _, d := range c.live {
			for _, m := range d.waiting {
				w := c.worth(m, c.now) / float64(len(d.waiting))
				if b := c.set.TakenBack; !m.ran && c.now > m.taken &&
					(c.now-m.taken).Seconds() < b.Before*(m.due-m.taken).Seconds() {
					w += b.Cost * m.class.Worth // prefers refusing a new message to shedding an accepted one
				}
				if w < least && (!m.ran || m.class.Effect == Safe && !m.noRefuse) {
					least, worst = w, m
				}
			}
		}
		if worst == nil {
			return
		}
		c.final(worst)
	}
}

// final gives a message that is not in flight its final answer: Refuse where the rules allow it, otherwise Fail.
func (c *Chooser) final(m *message) {
	harmless := m.class.Effect == Safe || m.class.Effect == Keyed && !m.class.SameZone
	if !m.ran || harmless && !c.set.Certain && !m.noRefuse {
		c.act(Refuse{m.ID, c.back(m)})
	} else {
		c.act(Fail{m.ID})
	}
	if c.set.Acknowledged && m.class.Ordered && m.Key != "" {
		c.owing[m.ID] = m
	}
	c.end(m)
}

// back returns the Retry-After of a refusal: the time until a unit of the destination may be called again and the
// budget allows sends to the zone of one of its hosts, limited to MaxRetryAfter.
func (c *Chooser) back(m *message) time.Duration {
	wait, d := c.set.MaxRetryAfter, m.dest
	if m.excess > 0 {
		return min(wait, m.excess)
	}
	for _, u := range d.units {
		wait = min(wait, max(u.waitUntil, u.pauseUntil, d.pauseUntil, u.trialAt)-c.now)
	}
	if c.tolls != nil && len(d.hosts) > 0 {
		opens := time.Duration(math.MaxInt64)
		for _, h := range d.hosts {
			again, _ := c.passes(m, h.Zone)
			opens = min(opens, again)
		}
		wait = min(max(wait, opens-c.now), c.set.MaxRetryAfter)
	}
	return max(0, wait)
}
