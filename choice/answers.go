package choice

import (
	"math"
	"time"
)

// Final answers: what is answered when, refused or failed, and with which advice to return.

// answer ends messages whose time is up, and the least worth while the holding room is crowded.
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
					w += b.Cost * m.class.Worth // rather refused before it is taken than given up after
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

// final answers a message that is not out: refused where that is lawful, else failed.
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

// back tells how long a client should stay away: until a wait, a pause or a trial of its destination is over,
// and a zone of it is open.
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
