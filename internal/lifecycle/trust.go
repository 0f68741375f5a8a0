package lifecycle

import (
	"maps"
	"sync"
	"time"
)

// Bears is what the messages of a call require of the connection that carries it.
type Bears int

// The requirements of calls.
const (
	Repeats Bears = iota // a second effect does no harm, and no other message waits for the end of this one
	Once                 // a second effect does harm, or messages with the same ordering key follow
)

// PeerBreach is the reason why an answer or a connection of a peer was refused.
type PeerBreach string

// The reasons for refusals. Their values appear as names in the line of counts and in the log.
const (
	BytesUnasked    PeerBreach = "bytes_unasked"    // bytes while no call was in progress, or behind a complete answer
	AnswerEarly     PeerBreach = "answer_early"     // answer before the call was written, not the connection's first
	AnswerForeign   PeerBreach = "answer_foreign"   // answer that names the messages of another call
	AnswerDoubtful  PeerBreach = "answer_doubtful"  // answer of a distrusted peer, not the connection's first
	ReuseForbidden  PeerBreach = "reuse_forbidden"  // connection has already carried the only call it may carry
	ReuseUnrested   PeerBreach = "reuse_unrested"   // connection has not been idle for long enough
	AnswerRetracted PeerBreach = "answer_retracted" // answer that was accepted until unsolicited bytes followed it
)

// PeerRefusal describes one answer of a peer that was not accepted, or one connection that was not
// used.
type PeerRefusal struct {
	Breach     PeerBreach
	Peer       string
	Connection uint64
	Turn       int    // number of calls on the connection so far
	Message    string // id of a message of the last call, empty for none
}

const (
	// socketGrace is how long socket buffers and the network may delay bytes (PROTOCOL).
	socketGrace = 50 * time.Millisecond
	// A connection stays idle for twice the largest delay at which duplicate answers came, within
	// these bounds.
	minIdleTime = socketGrace
	maxIdleTime = 2 * time.Second
	// A peer that violated the protocol is distrusted for minDistrust at first, twice as long after
	// each further violation, and for maxDistrust at most.
	minDistrust = time.Minute
	maxDistrust = 16 * time.Minute
	// maxPeers bounds the peers that are remembered.
	maxPeers = 1 << 13
	// A peer is expected to answer within its slowest recent answer time plus 1/answerTimeMargin of
	// it, plus socketGrace. The slowest answer time decays by 1/slowestDecay with each further
	// answer.
	answerTimeMargin = 2
	slowestDecay     = 64
)

// Conduct records which peers sent unsolicited bytes and how long peers take to answer, and decides
// from that what their connections may carry. It is safe for concurrent use.
type Conduct struct {
	// Refused is called with each refusal and must not block. It may be nil.
	Refused func(PeerRefusal)
	// Off makes every peer trusted, for tests that must then fail.
	Off bool

	mu             sync.Mutex
	peers          map[string]*peerRecord
	destinations   map[int]time.Duration // by destination: when the last of its distrusted peers is trusted again
	duplicateDelay time.Duration         // largest delay of a duplicate answer behind the answer before it
	distrustEnd    time.Duration         // when the last distrusted peer is trusted again
	counts         map[PeerBreach]int
}

// peerRecord is what is known of one peer.
type peerRecord struct {
	distrustEnd  time.Duration // end of the peer's distrust
	distrustTime time.Duration // length of the latest period of distrust
	slowest      time.Duration // slowest recent answer time, decaying
}

// Refuse counts a refusal and passes it to Refused.
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

// Counts returns the refusals so far by reason.
func (c *Conduct) Counts() map[PeerBreach]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.counts)
}

// Saw records that a peer sent unsolicited bytes, and how long after its last answer they came.
// From then on each connection of the peer carries one call. general reports that, with this peer,
// peers of a second destination have become distrusted, so that the cause is not a single peer.
func (c *Conduct) Saw(now time.Duration, peer string, destination int, delay time.Duration) (general bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	generalBefore := c.distrustedDestinations(now) > 1
	c.recordUnsolicited(now, peer, destination, delay)
	return !generalBefore && c.distrustedDestinations(now) > 1
}

// recordUnsolicited does the work of Saw; the caller holds mu.
func (c *Conduct) recordUnsolicited(now time.Duration, peer string, destination int, delay time.Duration) {
	if now >= c.distrustEnd {
		c.duplicateDelay = 0
	}
	p := c.peer(now, peer)
	if p == nil || now < p.distrustEnd { // bytes on a connection from before the current distrust
		c.duplicateDelay = max(c.duplicateDelay, delay)
		return
	}
	p.distrustTime = min(max(minDistrust, 2*p.distrustTime), maxDistrust)
	p.distrustEnd = now + p.distrustTime
	if c.destinations == nil {
		c.destinations = map[int]time.Duration{}
	}
	c.destinations[destination] = max(c.destinations[destination], p.distrustEnd)
	c.distrustEnd = max(c.distrustEnd, p.distrustEnd)
	c.duplicateDelay = max(c.duplicateDelay, delay)
}

// peer returns the entry of a peer and creates it if needed, or nil when maxPeers are remembered
// already. The caller holds mu.
func (c *Conduct) peer(now time.Duration, name string) *peerRecord {
	if p := c.peers[name]; p != nil {
		return p
	}
	if len(c.peers) >= maxPeers {
		maps.DeleteFunc(c.peers, func(_ string, p *peerRecord) bool { return now >= p.distrustEnd })
	}
	if len(c.peers) >= maxPeers {
		return nil
	}
	if c.peers == nil {
		c.peers = map[string]*peerRecord{}
	}
	p := &peerRecord{}
	c.peers[name] = p
	return p
}

// Len returns the number of peers remembered.
func (c *Conduct) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.peers)
}

// Forget drops what is known of a peer that was removed, unless the peer is distrusted.
func (c *Conduct) Forget(now time.Duration, peer string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.peers[peer]; p != nil && now >= p.distrustEnd {
		delete(c.peers, peer)
	}
}

// Rule returns what the connections of a peer may carry. A connection of a distrusted peer carries
// one call. The same holds for all peers while peers of two or more destinations are distrusted,
// since the cause is then not a single peer. With one such destination, calls whose second effect
// does harm get single-use connections at its other peers as well, and on all other connections a
// minimum idle time separates two calls.
func (c *Conduct) Rule(now time.Duration, peer string, destination int, requirement Bears) PeerRule {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.Off || now >= c.distrustEnd {
		return PeerRule{}
	}
	p := c.peers[peer]
	distrusted := p != nil && now < p.distrustEnd
	if distrusted || c.distrustedDestinations(now) > 1 || requirement == Once && now < c.destinations[destination] {
		return PeerRule{FirstOnly: true}
	}
	return PeerRule{Rest: min(max(2*c.duplicateDelay, minIdleTime), maxIdleTime)}
}

// distrustedDestinations returns the number of destinations with a distrusted peer. The caller
// holds mu.
func (c *Conduct) distrustedDestinations(now time.Duration) int {
	maps.DeleteFunc(c.destinations, func(_ int, until time.Duration) bool { return now >= until })
	return len(c.destinations)
}

// Took records how long a peer took to answer a call.
func (c *Conduct) Took(now time.Duration, peer string, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.peer(now, peer); p != nil {
		p.slowest = max(took, p.slowest-p.slowest/slowestDecay)
	}
}

// Usual returns how long after a call was sent its answer is expected at the latest.
func (c *Conduct) Usual(peer string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[peer]
	if p == nil || c.Off {
		return 0
	}
	return p.slowest + p.slowest/answerTimeMargin + socketGrace
}
