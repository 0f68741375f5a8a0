package choice

import "time"

// Pacing: how many calls a second a relay allows itself at one unit. A refusal cuts the limit, and it grows again
// with time. Calls take tokens, which come at the rate of the limit.
//
// A refusal is taken for that of a limit where the destination tells waits, or where this relay sends more than its
// even share of a listed rate. A unit that has served nothing is paced alike until it serves. Otherwise a refusal may
// have come by chance: the cut is as deep as the share of calls refused, less the share refused whatever the pace.

const (
	// cutShare of the limit goes with a cut at most.
	cutShare = 0.2
	// listedGrowth is the share by which a limit grows in a second where a rate is listed, searchGrowth where none is.
	listedGrowth, searchGrowth = 0.05, 0.1
	// mostLimit in calls a second keeps a limit that is never cut a number.
	mostLimit = 1e9
	// cutInterval is the least time between two cuts, and that over which the own rate is measured.
	cutInterval = time.Second
	// burstAims is how much of the shortest aim's calls may go at once.
	burstAims = 1.0 / 8
	// calmPace is the share of the pace at the last cut below which a refusal says nothing of this relay's load.
	calmPace = 0.9
	// calmMemory is how many calls at a calm pace count; each one weighs a little more than the one before it.
	calmMemory = 64
	// mostChance is the largest share of refusals that is put down to chance: one that is shut or cold refuses more.
	mostChance = 0.3
	// tellsMemory is the number of refusals over which the share that tells a wait is smoothed.
	tellsMemory = 8
	// tellsLimit is the share of refusals with a told wait from which all of them are taken for those of a limit.
	tellsLimit = 0.1
)

// pacer is the limit of a unit, and its tokens.
type pacer struct {
	limit      float64       // calls a second this relay allows itself; 0 for no limit
	refilledAt time.Duration // limit and tokens were last brought up to date
	cutAt      time.Duration
	cutFrom    float64 // the limit or pace that the last cut found
	tokens     float64
	refusals   []time.Duration // within the longest span of a cut
	tellsWait  float64         // share of the refusals, faded
	calm       refusalShare    // of the calls at a calm pace
	uncertain  bool            // the limit was set before anything was served; the first call served lifts it
}

// refusalShare counts calls and those of them that were refused. Old ones fade.
type refusalShare struct{ calls, refused float64 }

// add enters a call.
func (s *refusalShare) add(refused bool) {
	keep := 1 - 1.0/calmMemory
	s.calls = s.calls*keep + 1
	s.refused *= keep
	if refused {
		s.refused++
	}
}

// noteAnswer enters whether a call was refused. What is refused at a calm pace is refused whatever the pace.
func (p *pacer) noteAnswer(refused bool) {
	if p.cutFrom > 0 && p.limit < calmPace*p.cutFrom {
		p.calm.add(refused)
	}
}

// noteServed enters a call that was served.
func (p *pacer) noteServed() {
	p.noteAnswer(false)
	if p.uncertain {
		p.uncertain, p.limit, p.cutFrom = false, 0, 0
	}
}

// noteRefusal enters a refusal, and whether it told a wait.
func (p *pacer) noteRefusal(now, memory time.Duration, told bool) {
	p.noteAnswer(true)
	p.tellsWait -= p.tellsWait / tellsMemory
	if told {
		p.tellsWait += 1.0 / tellsMemory
	}
	p.refusals = append(p.refusals, now)
	for now-p.refusals[0] > memory {
		p.refusals = p.refusals[1:]
	}
}

// chance is the share of the calls that is refused whatever the pace.
func (p *pacer) chance() float64 {
	if p.calm.refused < 1 {
		return 0
	}
	share := p.calm.refused / p.calm.calls
	if share > mostChance {
		return 0
	}
	return share
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
		u.limit = min(u.limit*(1+searchGrowth*min(elapsed, 1)), mostLimit)
	}
	u.tokens = min(u.tokens+u.limit*elapsed, max(1, u.limit*c.minAim.Seconds()*burstAims))
}

// cutPace lowers the limit of a unit that refused a call, where this relay meets it often enough to learn a pace.
func (c *Chooser) cutPace(u *unit) {
	if u.cutFrom > 0 && c.now-u.cutAt < cutInterval || c.thin(u) {
		return
	}
	// Over at least the even share of a call, or the refused call alone counts as more than its share.
	span := min(max(cutInterval, c.even(u)), c.set.Rules.Cold)
	calls := c.sent(u, span)
	found, depth := calls/span.Seconds(), cutShare
	switch {
	case c.tellsOfLimit(u, found):
		u.uncertain = false
	case c.servesNothing(u):
		u.uncertain = u.uncertain || u.limit == 0
	case !u.sentFor(span, c.now):
		return // how much it sends is not known yet
	default:
		refused := float64(countWithin(u.refusals, c.now, span))
		if depth = min(cutShare, refused/calls-u.chance()); depth <= 0 {
			return
		}
		found = u.peak(span)
	}
	if u.limit > 0 {
		found = min(found, u.limit)
	}
	u.cutFrom = found
	least := max(1/c.set.Rules.Cold.Seconds(), u.listed/float64(c.set.Fleet)/2)
	u.limit = max(found*(1-depth), least)
	u.cutAt = c.now
	u.tokens = min(u.tokens, 0)
}

// tellsOfLimit tells whether refusals of a unit are those of a limit, at a pace of this relay.
func (c *Chooser) tellsOfLimit(u *unit, pace float64) bool {
	return u.tellsWait >= tellsLimit || u.listed > 0 && pace > u.listed/float64(c.set.Fleet)
}

// servesNothing tells whether a unit has served no call yet, or none for the cold time, and refused more than one: it
// may be shut.
func (c *Chooser) servesNothing(u *unit) bool {
	return u.bad > 1 && (u.served == 0 || c.now-u.lastServed > c.set.Rules.Cold)
}

// sent counts the calls to a unit within a span until now.
func (c *Chooser) sent(u *unit, span time.Duration) float64 {
	return float64(countWithin(u.sends, c.now, span))
}

// countWithin counts the times within a span until now.
func countWithin(times []time.Duration, now, span time.Duration) int {
	count := 0
	for _, at := range times {
		if now-at <= span {
			count++
		}
	}
	return count
}

// sentFor tells whether calls have gone to a unit for a span at least.
func (u *unit) sentFor(span, now time.Duration) bool {
	return len(u.sends) > 0 && now-u.sends[0] >= span
}

// peak is the highest rate of calls to a unit over any such span that is remembered.
func (u *unit) peak(span time.Duration) float64 {
	most, first := 0, 0
	for i, at := range u.sends {
		for at-u.sends[first] > span {
			first++
		}
		most = max(most, i-first+1)
	}
	return float64(most) / span.Seconds()
}
