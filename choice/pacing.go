package choice

import "time"

// Pacing: how many calls a second a relay allows itself at one unit. A refusal cuts the limit, and it grows again
// with time. Calls take tokens, which come at the rate of the limit.

const (
	// cutShare of the limit goes with a cut.
	cutShare = 0.2
	// listedGrowth is the share by which a limit grows in a second where a rate is listed, searchGrowth where none is.
	listedGrowth, searchGrowth = 0.05, 0.1
	// cutInterval is the least time between two cuts, and that over which the own rate is measured.
	cutInterval = time.Second
	// burstAims is how much of the shortest aim's calls may go at once.
	burstAims = 1.0 / 8
)

// pacer is the limit of a unit, and its tokens.
type pacer struct {
	limit      float64       // calls a second this relay allows itself; 0 for no limit
	refilledAt time.Duration // limit and tokens were last brought up to date
	cutAt      time.Duration
	tokens     float64
}

// hasToken tells whether the pace lets a call go now.
func (p *pacer) hasToken() bool { return p.limit == 0 || p.tokens >= 1 }

// takeToken pays for a call. What is sent while there is no limit is no debt.
func (p *pacer) takeToken() {
	if p.limit > 0 {
		p.tokens--
	}
}

// refill brings limit and tokens of a unit up to date.
func (c *Chooser) refill(u *unit) {
	elapsed := (c.now - u.refilledAt).Seconds()
	u.refilledAt = c.now
	if u.listed > 0 {
		u.limit = min(u.limit*(1+listedGrowth*min(elapsed, 1)), u.listed)
	} else {
		u.limit *= 1 + searchGrowth*min(elapsed, 1)
	}
	u.tokens = min(u.tokens+u.limit*elapsed, max(1, u.limit*c.minAim.Seconds()*burstAims))
}

// cutPace lowers the limit of a unit that refused a call, where this relay meets it often enough to learn a pace.
func (c *Chooser) cutPace(u *unit) {
	if c.now-u.cutAt < cutInterval || c.thin(u) {
		return
	}
	// Over at least the even share of a call, or the refused call alone counts as more than its share.
	span := min(max(cutInterval, c.even(u)), c.set.Rules.Cold)
	found := c.sent(u, span) / span.Seconds()
	if u.limit > 0 {
		found = min(found, u.limit)
	}
	least := max(1/c.set.Rules.Cold.Seconds(), u.listed/float64(c.set.Fleet)/2)
	u.limit = max(found*(1-cutShare), least)
	u.cutAt = c.now
	u.tokens = min(u.tokens, 0)
}

// sent counts the calls to a unit within a span until now.
func (c *Chooser) sent(u *unit, span time.Duration) float64 {
	calls := 0.0
	for _, at := range u.sends {
		if c.now-at <= span {
			calls++
		}
	}
	return calls
}
