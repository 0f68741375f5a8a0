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
	rand  *rand.Rand
	wait  time.Duration // wait of the query
	most  time.Duration // limit on the staleness of an answer
	index uint64        // index for the next query; 0 for an answer at once
	high  uint64        // highest index seen
	back  time.Duration // since when the index has been lower than high; 0 if it isn't
	fails int           // failures in a row
	quick int           // answers in a row that came at once and had nothing new
	room  float64       // tokens of the rate limit of queries after a change
	at    time.Duration // when the tokens were last refilled
}

const (
	// Burst and rate of the token bucket that limits queries after a change. An index
	// rises with every service of a node, also if nothing changed for this query.
	changes, changesPerSecond = 20, 10.0
	// First and greatest pause after answers that come at once and have nothing new.
	leastGap, mostGap = 100 * time.Millisecond, 2 * time.Second
	// Base and maximum of the exponential back-off after failures.
	firstRetry, mostRetry = 250 * time.Millisecond, 15 * time.Second
	// backTime is how long answers don't count as up to date after the index went back:
	// a server that was restored or restarted may not have all entries again yet.
	backTime = time.Minute
)

// NewPacer returns a pacer for queries with a wait, of which answers staler than mostStale
// don't count as up to date.
func NewPacer(wait, mostStale time.Duration, seed uint64) *Pacer {
	return &Pacer{rand: rand.New(rand.NewPCG(seed, 13)), wait: wait, most: mostStale, room: changes}
}

// Ask returns the index for the next query; 0 for an answer at once.
func (p *Pacer) Ask() uint64 { return p.index }

// Answer is the metadata of an answer.
type Answer struct {
	Index   uint64
	Contact time.Duration // time since the server's last contact with its leader
	Leader  bool          // the server knows a leader
}

// Answered processes an answer that took some time. It returns whether the answer is up to
// date, so that a missing entry is really gone, whether it is new, and how long to pause
// before the next query.
func (p *Pacer) Answered(now, took time.Duration, a Answer) (fresh, news bool, after time.Duration) {
	p.fails = 0
	fresh = a.Leader && a.Contact <= p.most
	news = p.index == 0 || a.Index != p.index
	switch {
	case a.Index < 1: // Consul's rules: never repeat queries with index 0 without a pause
		p.index, news, fresh = 0, true, false
		return fresh, news, min(p.blur(leastGap<<min(p.again(), 6)), mostGap)
	case a.Index < p.index: // Consul's rules: reset the index to 0 if it goes backwards
		p.index = 0
	default:
		p.index = a.Index
	}
	if a.Index < p.high {
		if p.back == 0 {
			p.back = max(now, 1)
		}
		if now-p.back < backTime {
			fresh = false
		} else {
			p.high, p.back = a.Index, 0 // accept the lower index
		}
	} else {
		p.high, p.back = a.Index, 0
	}
	if !news && took < p.wait/2 { // the query didn't block although nothing changed
		return fresh, news, min(p.blur(leastGap<<min(p.again(), 6)), mostGap)
	}
	p.quick = 0
	p.room = min(p.room+changesPerSecond*(now-p.at).Seconds(), changes)
	p.at = now
	if p.room--; p.room < 0 {
		after = time.Duration(-p.room / changesPerSecond * float64(time.Second))
	}
	return fresh, news, after
}

// again counts an answer that came at once and had nothing new, and returns the number of
// those before it.
func (p *Pacer) again() int {
	p.quick = min(p.quick+1, 20)
	return p.quick - 1
}

// Failed processes a failed query and returns how long to pause before the next one:
// exponential back-off with full jitter, so that the relays of a fleet don't all query at
// the same moment when the catalogue is back.
func (p *Pacer) Failed() time.Duration {
	p.fails = min(p.fails+1, 20)
	p.index = 0 // have the next query answered at once
	return time.Duration(p.rand.Float64() * float64(min(firstRetry<<min(p.fails, 10), mostRetry)))
}

// blur returns a random time between three quarters of d and d.
func (p *Pacer) blur(d time.Duration) time.Duration {
	return d - time.Duration(p.rand.Float64()*float64(d)/4)
}
