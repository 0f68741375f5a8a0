package catalog

import (
	"math/rand/v2"
	"time"
)

// Pacer decides how one blocking query is repeated: with which index, how soon,
// and what its answers are worth (Consul, "Blocking Queries"). It does no I/O,
// reads no clock, and draws by chance from a seed only.
type Pacer struct {
	rand  *rand.Rand
	wait  time.Duration // asked for
	most  time.Duration // staleness that is still believed
	index uint64        // to ask with; 0 for at once
	high  uint64        // the highest that was seen
	back  time.Duration // since when the index has been below that; 0 if it is not
	fails int
	quick int // answers in a row that came at once and told nothing new
	room  float64
	at    time.Duration
}

const (
	// changes that are asked for at once, and so many more a second: an index moves
	// for every service of a node, also where nothing of ours changed.
	changes, changesPerSecond = 20, 10.0
	leastGap, mostGap         = 100 * time.Millisecond, 2 * time.Second
	firstRetry, mostRetry     = 250 * time.Millisecond, 15 * time.Second
	// backTime is how long an index that went back makes what is missing doubtful:
	// a restored or restarted server fills up again.
	backTime = time.Minute
)

// NewPacer makes one for queries that wait so long.
func NewPacer(wait, mostStale time.Duration, seed uint64) *Pacer {
	return &Pacer{rand: rand.New(rand.NewPCG(seed, 13)), wait: wait, most: mostStale, room: changes}
}

// Ask tells the index to ask with; 0 for an answer at once.
func (p *Pacer) Ask() uint64 { return p.index }

// Answer is what comes with an answer.
type Answer struct {
	Index   uint64
	Contact time.Duration // since the server heard its leader
	Leader  bool          // it knows one
}

// Answered takes in an answer and tells whether it may be believed on what it
// lacks, whether it is news, and after how long to ask again.
func (p *Pacer) Answered(now, took time.Duration, a Answer) (fresh, news bool, after time.Duration) {
	p.fails = 0
	fresh = a.Leader && a.Contact <= p.most
	news = p.index == 0 || a.Index != p.index
	switch {
	case a.Index < 1: // documented: never ask with 0 again and again without a pause
		p.index, news, fresh = 0, true, false
		return fresh, news, min(p.blur(leastGap<<min(p.again(), 6)), mostGap)
	case a.Index < p.index: // documented: reset to 0 if it goes backwards
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
			p.high, p.back = a.Index, 0 // the new count is the count
		}
	} else {
		p.high, p.back = a.Index, 0
	}
	if !news && took < p.wait/2 { // it did not block although nothing changed
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

func (p *Pacer) again() int {
	p.quick = min(p.quick+1, 20)
	return p.quick - 1
}

// Failed takes in that no answer came, and tells after how long to ask again:
// drawn evenly from a time that doubles, so that a fleet which lost its catalogue
// at one moment does not ask at one moment when it is back.
func (p *Pacer) Failed() time.Duration {
	p.fails = min(p.fails+1, 20)
	p.index = 0 // the next answer comes at once
	return time.Duration(p.rand.Float64() * float64(min(firstRetry<<min(p.fails, 10), mostRetry)))
}

// blur draws between three quarters of a time and all of it.
func (p *Pacer) blur(d time.Duration) time.Duration {
	return d - time.Duration(p.rand.Float64()*float64(d)/4)
}
