package choice

import "time"

// Pacing: a token bucket for each unit limits the rate of this relay's calls. A refusal cuts the rate limit, which
// then grows again with time.
//
// A refusal is taken for rate limiting if the destination's refusals carry waits (Retry-After), or if this relay sends
// more than its even share of a listed rate. A unit that has served nothing yet is paced in the same way until it
// does. Otherwise the refusal may be random: the limit is cut by the share of calls refused, less the share of calls
// that the unit refuses at any rate.

const (
	// maxCut is the largest share by which a refusal cuts the limit.
	maxCut = 0.2
	// listedGrowth is the growth of the limit per second, as a share, if a rate is listed; searchGrowth if none is.
	listedGrowth, searchGrowth = 0.05, 0.1
	// maxLimit, in calls per second, keeps a limit that is never cut from growing to infinity.
	maxLimit = 1e9
	// cutInterval is the minimum time between two cuts, and the span over which this relay's own rate is measured.
	cutInterval = time.Second
	// bucketAims is the size of the token bucket: the time in which the limit fills it, in shortest Aims.
	bucketAims = 1.0 / 8
	// baselineRateShare is the share of the rate at the last cut below which a refusal is not attributed to this
	// relay's load.
	baselineRateShare = 0.9
	// baselineDecayCalls is the number of calls over which the refusals below that rate decay.
	baselineDecayCalls = 64
	// maxRandomShare is the largest share of refusals taken for random: a closed or warming-up unit refuses more.
	maxRandomShare = 0.3
	// retryAfterDecay is the number of refusals over which the share of those with a wait is smoothed.
	retryAfterDecay = 8
	// retryAfterThreshold is the share of refusals with a wait from which all refusals are taken for rate limiting.
	retryAfterThreshold = 0.1
)

// pacer is the token bucket of a unit.
type pacer struct {
	limit           float64         // limit in calls per second; 0 for no limit
	refilledAt      time.Duration   // time of the last update of limit and tokens
	cutAt           time.Duration   // time of the last cut
	rateBeforeCut   float64         // rate, or limit if lower, before the last cut
	tokens          float64         // calls that may be sent now
	refusals        []time.Duration // times of the refusals within Rules.Cold
	retryAfterShare float64         // smoothed share of the refusals that carried a wait
	baseline        refusalShare    // refusals while the limit is well below the rate at the last cut
	provisional     bool            // the limit was set before anything was served; the first served call removes it
}

// refusalShare counts calls, and those of them that were refused. Both counts decay with each call.
type refusalShare struct{ calls, refused float64 }

// add counts a call.
func (s *refusalShare) add(refused bool) {
	keep := 1 - 1.0/baselineDecayCalls
	s.calls = s.calls*keep + 1
	s.refused *= keep
	if refused {
		s.refused++
	}
}

// noteAnswer counts an answered call while the limit is well below the rate at the last cut. Refusals at such a rate
// are not caused by this relay's load.
func (p *pacer) noteAnswer(refused bool) {
	if p.rateBeforeCut > 0 && p.limit < baselineRateShare*p.rateBeforeCut {
		p.baseline.add(refused)
	}
}

// noteServed counts a served call.
func (p *pacer) noteServed() {
	p.noteAnswer(false)
	if p.provisional {
		p.provisional, p.limit, p.rateBeforeCut = false, 0, 0
	}
}

// noteRefusal counts a refusal; withWait says whether it carried a wait. Refusals older than memory are forgotten.
func (p *pacer) noteRefusal(now, memory time.Duration, withWait bool) {
	p.noteAnswer(true)
	p.retryAfterShare -= p.retryAfterShare / retryAfterDecay
	if withWait {
		p.retryAfterShare += 1.0 / retryAfterDecay
	}
	p.refusals = append(p.refusals, now)
	for now-p.refusals[0] > memory {
		p.refusals = p.refusals[1:]
	}
}

// randomRefusalShare returns the share of the calls that the unit refuses at any rate.
func (p *pacer) randomRefusalShare() float64 {
	if p.baseline.refused < 1 {
		return 0
	}
	share := p.baseline.refused / p.baseline.calls
	if share > maxRandomShare {
		return 0
	}
	return share
}

// hasToken reports whether the limit allows a call now.
func (p *pacer) hasToken() bool { return p.limit == 0 || p.tokens >= 1 }

// takeToken takes the token of a call. Calls sent while there is no limit take none, so that they leave no debt.
func (p *pacer) takeToken() {
	if p.limit > 0 {
		p.tokens--
	}
}

// refill updates the limit and the tokens of a unit to the current time.
func (c *Chooser) refill(u *unit) {
	elapsed := (c.now - u.refilledAt).Seconds()
	u.refilledAt = c.now
	if u.listedRate > 0 {
		u.limit = min(u.limit*(1+listedGrowth*min(elapsed, 1)), u.listedRate)
	} else {
		u.limit = min(u.limit*(1+searchGrowth*min(elapsed, 1)), maxLimit)
	}
	u.tokens = min(u.tokens+u.limit*elapsed, max(1, u.limit*c.minAim.Seconds()*bucketAims))
}

// cutLimit lowers the limit of a unit that refused a call, if this relay calls it often enough to learn a rate.
func (c *Chooser) cutLimit(u *unit) {
	if u.rateBeforeCut > 0 && c.now-u.cutAt < cutInterval || c.seldomCalled(u) {
		return
	}
	// The span holds at least one call of this relay's even share; with a shorter one the refused call alone would
	// exceed that share.
	span := min(max(cutInterval, c.evenInterval(u)), c.cfg.Rules.Cold)
	calls := c.callsWithin(u, span)
	rate, cut := calls/span.Seconds(), maxCut
	switch {
	case c.refusesByLimit(u, rate):
		u.provisional = false
	case c.servesNothing(u):
		u.provisional = u.provisional || u.limit == 0
	case !u.hasSentFor(span, c.now):
		return // this relay's own rate is not known yet
	default:
		refused := float64(countWithin(u.refusals, c.now, span))
		if cut = min(maxCut, refused/calls-u.randomRefusalShare()); cut <= 0 {
			return
		}
		rate = u.peakRate(span)
	}
	if u.limit > 0 {
		rate = min(rate, u.limit)
	}
	u.rateBeforeCut = rate
	least := max(1/c.cfg.Rules.Cold.Seconds(), u.listedRate/float64(c.cfg.Fleet)/2)
	u.limit = max(rate*(1-cut), least)
	u.cutAt = c.now
	u.tokens = min(u.tokens, 0)
}

// refusesByLimit reports whether refusals of a unit are taken for rate limiting, at the given rate of this relay.
func (c *Chooser) refusesByLimit(u *unit, rate float64) bool {
	return u.retryAfterShare >= retryAfterThreshold || u.listedRate > 0 && rate > u.listedRate/float64(c.cfg.Fleet)
}

// servesNothing reports whether a unit may be closed: it has served no call yet, or none for the time Rules.Cold, and
// has refused more than one.
func (c *Chooser) servesNothing(u *unit) bool {
	return u.unservedInRow > 1 && (u.servedRate == 0 || c.now-u.lastServedAt > c.cfg.Rules.Cold)
}

// callsWithin returns the number of calls to a unit within a span that ends now.
func (c *Chooser) callsWithin(u *unit, span time.Duration) float64 {
	return float64(countWithin(u.sendTimes, c.now, span))
}

// countWithin returns the number of times that lie within a span that ends now.
func countWithin(times []time.Duration, now, span time.Duration) int {
	count := 0
	for _, at := range times {
		if now-at <= span {
			count++
		}
	}
	return count
}

// hasSentFor reports whether the remembered calls to a unit reach back for at least the given span.
func (u *unit) hasSentFor(span, now time.Duration) bool {
	return len(u.sendTimes) > 0 && now-u.sendTimes[0] >= span
}

// peakRate returns the highest rate of calls to a unit over any span of the given length among the remembered calls.
func (u *unit) peakRate(span time.Duration) float64 {
	most, first := 0, 0
	for i, at := range u.sendTimes {
		for at-u.sendTimes[first] > span {
			first++
		}
		most = max(most, i-first+1)
	}
	return float64(most) / span.Seconds()
}
