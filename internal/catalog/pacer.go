package catalog

import (
	"math/rand/v2"
	"time"
)

// Pacer decides how one blocking query is repeated: with which index, after what pause, and
// whether an answer is up to date. It follows the rules for clients in Consul's
// documentation, "Blocking Queries". It does no I/O and reads no clock; its randomness
// comes from a seed.
type Pacer struct {
	rand         *rand.Rand
	wait         time.Duration // wait of the query
	maxStale     time.Duration // limit on the staleness of an answer
	index        uint64        // index for the next query; 0 for an answer at once
	highest      uint64        // highest index seen
	lowerSince   time.Duration // since when the index has been lower than highest; 0 if it isn't
	failures     int           // failures in a row
	emptyAnswers int           // answers in a row that came at once and had nothing new
	tokens       float64       // tokens of the rate limit of queries after a change
	refilledAt   time.Duration // when the tokens were last refilled
}

const (
	// Burst and rate of the token bucket that limits queries after a change. An index
	// rises with every service of a node, also if nothing changed for this query.
	burst, refillPerSecond = 20, 10.0
	// First and greatest pause after answers that come at once and have nothing new.
	minGap, maxGap = 100 * time.Millisecond, 2 * time.Second
	// Base and maximum of the exponential back-off after failures.
	retryBase, maxRetry = 250 * time.Millisecond, 15 * time.Second
	// indexResetTime is how long answers don't count as up to date after the index went
	// back: a server that was restored or restarted may not have all entries again yet.
	indexResetTime = time.Minute
)

// NewPacer returns a pacer for queries with a wait, of which answers staler than maxStale
// don't count as up to date.
func NewPacer(wait, maxStale time.Duration, seed uint64) *Pacer {
	return &Pacer{rand: rand.New(rand.NewPCG(seed, 13)), wait: wait, maxStale: maxStale, tokens: burst}
}

// WaitIndex returns the index for the next query; 0 for an answer at once.
func (p *Pacer) WaitIndex() uint64 { return p.index }

// Answer is the metadata of an answer.
type Answer struct {
	Index       uint64
	LastContact time.Duration // time since the server's last contact with its leader
	KnownLeader bool          // the server knows a leader
}

// Answered processes an answer that took some time. It returns whether the answer is up to
// date, so that a missing entry is really gone, whether it is new, and how long to pause
// before the next query.
func (p *Pacer) Answered(now, took time.Duration, a Answer) (fresh, news bool, after time.Duration) {
	p.failures = 0
	fresh = a.KnownLeader && a.LastContact <= p.maxStale
	news = p.index == 0 || a.Index != p.index
	switch {
	case a.Index < 1: // Consul's rules: never repeat queries with index 0 without a pause
		p.index, news, fresh = 0, true, false
		return fresh, news, min(p.jitter(minGap<<min(p.countEmpty(), 6)), maxGap)
	case a.Index < p.index: // Consul's rules: reset the index to 0 if it goes backwards
		p.index = 0
	default:
		p.index = a.Index
	}
	if a.Index < p.highest {
		if p.lowerSince == 0 {
			p.lowerSince = max(now, 1)
		}
		if now-p.lowerSince < indexResetTime {
			fresh = false
		} else {
			p.highest, p.lowerSince = a.Index, 0 // accept the lower index
		}
	} else {
		p.highest, p.lowerSince = a.Index, 0
	}
	if !news && took < p.wait/2 { // the query didn't block although nothing changed
		return fresh, news, min(p.jitter(minGap<<min(p.countEmpty(), 6)), maxGap)
	}
	p.emptyAnswers = 0
	p.tokens = min(p.tokens+refillPerSecond*(now-p.refilledAt).Seconds(), burst)
	p.refilledAt = now
	if p.tokens--; p.tokens < 0 {
		after = time.Duration(-p.tokens / refillPerSecond * float64(time.Second))
	}
	return fresh, news, after
}

// countEmpty counts an answer that came at once and had nothing new, and returns the number
// of those before it.
func (p *Pacer) countEmpty() int {
	p.emptyAnswers = min(p.emptyAnswers+1, 20)
	return p.emptyAnswers - 1
}

// Failed processes a failed query and returns how long to pause before the next one:
// exponential back-off with full jitter, so that the relays of a fleet don't all query at
// the same moment when the catalogue is back.
func (p *Pacer) Failed() time.Duration {
	p.failures = min(p.failures+1, 20)
	p.index = 0 // have the next query answered at once
	return time.Duration(p.rand.Float64() * float64(min(retryBase<<min(p.failures, 10), maxRetry)))
}

// jitter returns a random time between three quarters of d and d.
func (p *Pacer) jitter(d time.Duration) time.Duration {
	return d - time.Duration(p.rand.Float64()*float64(d)/4)
}
