package lifecycle

import (
	"maps"
	"sync"
	"time"
)

// Requirement is what the messages of a call require of the connection that carries it, a set of flags.
type Requirement int

// The requirements of calls.
const (
	Ordered       Requirement = 1 << iota // messages with the same ordering key follow
	Once                                  // a second effect does harm
	NoRequirement Requirement = 0
)

// PeerRefusalReason is the reason why an answer or a connection of a peer was refused.
type PeerRefusalReason string

// The reasons for refusals. Their values appear as names in the line of counts and in the log. A
// later call is one that is not the first on its connection.
const (
	BytesUnasked    PeerRefusalReason = "bytes_unasked"    // bytes without a call, or behind a complete answer
	AnswerEarly     PeerRefusalReason = "answer_early"     // answer to a later call before it was written
	AnswerForeign   PeerRefusalReason = "answer_foreign"   // answer that names the messages of another call
	AnswerDoubtful  PeerRefusalReason = "answer_doubtful"  // answer to a later call, by a distrusted peer
	ReuseForbidden  PeerRefusalReason = "reuse_forbidden"  // connection has already carried the only call it may carry
	ReuseUnrested   PeerRefusalReason = "reuse_unrested"   // connection has not been idle for long enough
	AnswerRetracted PeerRefusalReason = "answer_retracted" // accepted until unsolicited bytes followed
)

// PeerRefusal describes one answer of a peer that was not accepted, or one connection that was not
// used.
type PeerRefusal struct {
	Reason     PeerRefusalReason
	Peer       string
	Connection uint64
	Calls      int    // number of calls on the connection so far
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

// PeerTrust records which peers sent unsolicited bytes and how long peers take to answer, and
// decides from that what their connections may carry. It is safe for concurrent use.
type PeerTrust struct {
	// OnRefusal is called with each refusal and must not block. It may be nil.
	OnRefusal func(PeerRefusal)
	// TrustAll makes every peer trusted, for tests that must then fail.
	TrustAll bool

	mu             sync.Mutex
	peers          map[string]*peerRecord
	destinations   map[int]time.Duration // by destination: when the last of its distrusted peers is trusted again
	duplicateDelay time.Duration         // largest delay of a duplicate answer behind the answer before it
	distrustEnd    time.Duration         // when the last distrusted peer is trusted again
	counts         map[PeerRefusalReason]int
}

// peerRecord is what is known of one peer.
type peerRecord struct {
	distrustEnd  time.Duration // end of the peer's distrust
	distrustTime time.Duration // length of the latest period of distrust
	slowest      time.Duration // slowest recent answer time, decaying
}

// RecordRefusal counts a refusal and passes it to OnRefusal.
func (c *PeerTrust) RecordRefusal(r PeerRefusal) {
	c.mu.Lock()
	if c.counts == nil {
		c.counts = map[PeerRefusalReason]int{}
	}
	c.counts[r.Reason]++
	c.mu.Unlock()
	if c.OnRefusal != nil {
		c.OnRefusal(r)
	}
}

// Counts returns the refusals so far by reason.
func (c *PeerTrust) Counts() map[PeerRefusalReason]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.counts)
}

// RecordUnsolicited records that a peer sent unsolicited bytes, and how long after its last answer
// they came. From then on each connection of the peer carries one call. general reports that, with
// this peer, peers of a second destination have become distrusted, so that the cause is not a
// single peer.
func (c *PeerTrust) RecordUnsolicited(now time.Duration, peer string, destination int, delay time.Duration) (
	general bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	generalBefore := c.distrustedDestinations(now) > 1
	c.recordUnsolicited(now, peer, destination, delay)
	return !generalBefore && c.distrustedDestinations(now) > 1
}

// recordUnsolicited does the work of RecordUnsolicited; the caller holds mu.
func (c *PeerTrust) recordUnsolicited(now time.Duration, peer string, destination int, delay time.Duration) {
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
func (c *PeerTrust) peer(now time.Duration, name string) *peerRecord {
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
func (c *PeerTrust) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.peers)
}

// Forget drops what is known of a peer that was removed, unless the peer is distrusted.
func (c *PeerTrust) Forget(now time.Duration, peer string) {
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
// minimum idle time separates two calls. However far the peer is trusted, a call whose second effect does
// harm goes only where a refusal is proved to be its own, and one that others of its key wait for only
// where a delivery is.
func (c *PeerTrust) Rule(now time.Duration, peer string, destination int, requirement Requirement) PeerRule {
	c.mu.Lock()
	defer c.mu.Unlock()
	rule := c.trustRule(now, peer, destination, requirement)
	rule.ProvableRefusal = requirement&Once != 0 && !c.TrustAll
	rule.ProvableDelivery = requirement&Ordered != 0 && !c.TrustAll
	return rule
}

// trustRule returns what follows from the trust in a peer alone. The caller holds mu.
func (c *PeerTrust) trustRule(now time.Duration, peer string, destination int, requirement Requirement) PeerRule {
	if c.TrustAll || now >= c.distrustEnd {
		return PeerRule{}
	}
	p := c.peers[peer]
	distrusted := p != nil && now < p.distrustEnd
	if distrusted || c.distrustedDestinations(now) > 1 ||
		requirement != NoRequirement && now < c.destinations[destination] {
		return PeerRule{SingleUse: true}
	}
	return PeerRule{MinIdle: min(max(2*c.duplicateDelay, minIdleTime), maxIdleTime)}
}

// distrustedDestinations returns the number of destinations with a distrusted peer. The caller
// holds mu.
func (c *PeerTrust) distrustedDestinations(now time.Duration) int {
	maps.DeleteFunc(c.destinations, func(_ int, until time.Duration) bool { return now >= until })
	return len(c.destinations)
}

// RecordAnswerTime records how long a peer took to answer a call.
func (c *PeerTrust) RecordAnswerTime(now time.Duration, peer string, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.peer(now, peer); p != nil {
		p.slowest = max(took, p.slowest-p.slowest/slowestDecay)
	}
}

// ExpectedAnswerTime returns how long after a call was sent its answer is expected at the latest.
func (c *PeerTrust) ExpectedAnswerTime(peer string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[peer]
	if p == nil || c.TrustAll {
		return 0
	}
	return p.slowest + p.slowest/answerTimeMargin + socketGrace
}
