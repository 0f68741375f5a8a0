package lifecycle

import (
	"maps"
	"sync"
	"time"
)

// Bears is what a call's messages bear.
type Bears int

// What calls bear.
const (
	Repeats Bears = iota // a second effect does no harm, and no other message waits for the end
	Once                 // a second effect does harm, or messages of the same key go after it
)

// PeerBreach is what is refused of a peer, or of a connection to one.
type PeerBreach string

// The breaches. Their names are those of the count line and of the log.
const (
	BytesUnasked    PeerBreach = "bytes_unasked"    // bytes without a call, or behind a whole answer
	AnswerEarly     PeerBreach = "answer_early"     // an answer to a later call before that was written
	AnswerForeign   PeerBreach = "answer_foreign"   // an answer that names the messages of another call
	AnswerDoubtful  PeerBreach = "answer_doubtful"  // an answer to a later call, of a peer that sends what nobody asked for
	ReuseForbidden  PeerBreach = "reuse_forbidden"  // a connection that has carried its one call
	ReuseUnrested   PeerBreach = "reuse_unrested"   // a connection that has to rest
	AnswerRetracted PeerBreach = "answer_retracted" // an answer that was believed until bytes came behind it
)

// PeerRefusal is one thing that was not done with a connection, or not believed of it.
type PeerRefusal struct {
	Breach     PeerBreach
	Peer       string
	Connection uint64
	Turn       int    // of the connection's calls, the last one
	Message    string // that call's, empty for none
}

const (
	// socketGrace is how long sockets and the network may hold bytes up (PROTOCOL).
	socketGrace = 50 * time.Millisecond
	// A connection rests for twice as long as copies were late, within these bounds.
	leastRest   = socketGrace
	longestRest = 2 * time.Second
	// A peer that broke the protocol is doubted for firstSpell, twice as long after each
	// further time, longestSpell at most.
	firstSpell   = time.Minute
	longestSpell = 16 * time.Minute
	// mostPeers are remembered.
	mostPeers = 1 << 13
	// A peer takes no longer than its slowest answer and 1/usualMargin of it, as a rule, and its
	// answer arrives within the grace. The slowest counts for 1/usualFade less with each further one.
	usualMargin = 2
	usualFade   = 64
)

// Conduct is what is known of peers' conduct: which of them sent what nobody asked for, and
// how long they take to answer. It decides what goes on their connections. It is safe for
// concurrent use.
type Conduct struct {
	// Refused takes each refusal; it must not block. May be nil.
	Refused func(PeerRefusal)
	// Off trusts every peer, for tests that must fail.
	Off bool

	mu     sync.Mutex
	peers  map[string]*peerConduct
	groups map[int]time.Duration // peers of one destination: doubted until then
	late   time.Duration         // copies came so late at most
	until  time.Duration         // some peer is doubted until then
	counts map[PeerBreach]int
}

// peerConduct is that of one peer.
type peerConduct struct {
	until   time.Duration // it is doubted until then
	spell   time.Duration // for so long the last time
	slowest time.Duration // of its answers, of late
}

// Refuse counts and tells what was refused.
func (c *Conduct) Refuse(r PeerRefusal) {
	c.mu.Lock()
	if c.counts == nil {
		c.counts = map[PeerBreach]int{}
	}
	c.counts[r.Breach]++
	c.mu.Unlock()
	if c.Refused != nil {
		c.Refused(r)
	}
}

// Counts of refusals by breach.
func (c *Conduct) Counts() map[PeerBreach]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.counts)
}

// Saw takes in that a peer sent what nobody asked for, so long after its last answer. From
// then on its connections carry one call each. It tells whether that is no fault of one peer, as of now.
func (c *Conduct) Saw(now time.Duration, peer string, group int, late time.Duration) (general bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.doubtedGroups(now) > 1
	c.saw(now, peer, group, late)
	return !before && c.doubtedGroups(now) > 1
}

// saw is Saw under mu.
func (c *Conduct) saw(now time.Duration, peer string, group int, late time.Duration) {
	if now >= c.until {
		c.late = 0
	}
	p := c.peer(now, peer)
	if p == nil || now < p.until { // the same spell: connections from before it
		c.late = max(c.late, late)
		return
	}
	p.spell = min(max(firstSpell, 2*p.spell), longestSpell)
	p.until = now + p.spell
	if c.groups == nil {
		c.groups = map[int]time.Duration{}
	}
	c.groups[group] = max(c.groups[group], p.until)
	c.until = max(c.until, p.until)
	c.late = max(c.late, late)
}

// peer finds or makes what is known of one; nil where no more are remembered; under mu.
func (c *Conduct) peer(now time.Duration, name string) *peerConduct {
	if p := c.peers[name]; p != nil {
		return p
	}
	if len(c.peers) >= mostPeers {
		maps.DeleteFunc(c.peers, func(_ string, p *peerConduct) bool { return now >= p.until })
	}
	if len(c.peers) >= mostPeers {
		return nil
	}
	if c.peers == nil {
		c.peers = map[string]*peerConduct{}
	}
	p := &peerConduct{}
	c.peers[name] = p
	return p
}

// Len is how many peers are remembered.
func (c *Conduct) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.peers)
}

// Forget drops what is known of a peer that went, unless it is doubted.
func (c *Conduct) Forget(now time.Duration, peer string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.peers[peer]; p != nil && now >= p.until {
		delete(c.peers, peer)
	}
}

// Rule is what may go out on the connections of a peer. One that is doubted gets one call a
// connection. So do all once peers of two destinations are doubted, for then it is no fault of one
// peer. Before that, what must not have a second effect gets that at the other peers of the same
// destination, and all else rests between two calls.
func (c *Conduct) Rule(now time.Duration, peer string, group int, bears Bears) PeerRule {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.Off || now >= c.until {
		return PeerRule{}
	}
	p := c.peers[peer]
	doubted := p != nil && now < p.until
	if doubted || c.doubtedGroups(now) > 1 || bears == Once && now < c.groups[group] {
		return PeerRule{FirstOnly: true}
	}
	return PeerRule{Rest: min(max(2*c.late, leastRest), longestRest)}
}

// doubtedGroups counts the destinations with a doubted peer; under mu.
func (c *Conduct) doubtedGroups(now time.Duration) int {
	maps.DeleteFunc(c.groups, func(_ int, until time.Duration) bool { return now >= until })
	return len(c.groups)
}

// Took takes in how long a peer took to answer a call.
func (c *Conduct) Took(now time.Duration, peer string, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.peer(now, peer); p != nil {
		p.slowest = max(took, p.slowest-p.slowest/usualFade)
	}
}

// Usual is how long after the sending of a call its answer comes at the latest, as a rule.
func (c *Conduct) Usual(peer string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[peer]
	if p == nil || c.Off {
		return 0
	}
	return p.slowest + p.slowest/usualMargin + socketGrace
}
