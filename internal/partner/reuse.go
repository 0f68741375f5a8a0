package partner

import (
	"math"
	"slices"
	"time"

	"basaltcross.example/basaltcross/internal/engine"
	"basaltcross.example/basaltcross/internal/lifecycle"
)

// peekResult is what was found on an idle connection before its reuse.
type peekResult int

const (
	peekReady       peekResult = iota
	peekClosed                 // closed by the peer
	peekUnsolicited            // bytes that no call asked for
	peekTLSRecords             // TLS records have to be read first
	peekUnknown                // the system could not tell
)

// peek checks an idle connection for bytes or a close by the peer that the engine may not have
// handled yet. A request on a half-closed connection would be lost, and may have run.
func (cn *conn) peek() peekResult {
	switch found := cn.sock.Peek(); {
	case found == engine.PeekNothing:
		return peekReady
	case found == engine.PeekBytes && cn.tls != nil:
		return peekTLSRecords
	case found == engine.PeekBytes:
		return peekUnsolicited
	case found == engine.PeekUnknown:
		return peekUnknown
	}
	return peekClosed
}

// rejected are idle connections that were found unusable.
type rejected struct {
	expired []*conn // past their age or idle limit
	closed  []*conn // closed by the peer
}

// closeAll closes the connections. The caller must not hold the pool's lock.
func (r *rejected) closeAll() {
	closeAllWhenSettled(r.expired)
	for _, cn := range r.closed {
		cn.closedByPeer()
	}
}

// takeIdle removes the idle connection that k goes out on from the pool, nil if there is none. The
// caller holds p.mu.
func (p *pool) takeIdle(k *call) (found *conn, unusable rejected) {
	now := p.caller.now()
	rule := p.rule(now, k)
	var later []*conn
	for found == nil {
		i := p.bestIdle(now, rule)
		if i < 0 {
			break
		}
		cn := p.idle[i]
		p.idle = slices.Delete(p.idle, i, i+1)
		if cn.sock.IsClosed() || !p.policy.MayReuse(now, cn.established, cn.maxAge, cn.idleSince) {
			unusable.expired = append(unusable.expired, cn)
			continue
		}
		switch cn.peek() {
		case peekReady:
			found = cn
		case peekClosed:
			unusable.closed = append(unusable.closed, cn)
		case peekUnsolicited: // the connection's goroutine reads the bytes and closes it
		case peekTLSRecords, peekUnknown:
			later = append(later, cn)
		}
	}
	if found == nil {
		p.reportNoReuse(now, k, rule)
		if p.policy.MayReplace(now, p.open) {
			unusable.expired = append(unusable.expired, p.takeOldestIdle(func(cn *conn) bool { return cn.lacksProof(rule) })...)
		}
	}
	p.idle = append(p.idle, later...)
	return found, unusable
}

// takeOldestIdle removes and returns the connection that has been idle longest of those that pick selects, if
// there is one. The caller holds p.mu.
func (p *pool) takeOldestIdle(pick func(*conn) bool) []*conn {
	i := slices.IndexFunc(p.idle, pick)
	if i < 0 {
		return nil
	}
	cn := p.idle[i]
	p.idle = slices.Delete(p.idle, i, i+1)
	return []*conn{cn}
}

// carries reports whether the call is the one in progress on the connection.
func (cn *conn) carries(k *call) bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	return cn.call == k
}

// proofs returns how many kinds of answers to the next call would be proved to be its own.
func (cn *conn) proofs() int {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	return cn.state.Proofs()
}

// lacksProof reports whether an answer to the next call would not be proved as the rule requires.
func (cn *conn) lacksProof(rule lifecycle.PeerRule) bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	return cn.state.LacksProof(rule)
}

// usedUp reports whether the connection carries no further call because of the answers on it.
func (cn *conn) usedUp() bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	return cn.state.UsedUp()
}

// rule returns what the peer's conduct allows for a call. The answer to a call with several messages names
// those that are delivered, so that it needs no connection that proves it.
func (p *pool) rule(now time.Duration, k *call) lifecycle.PeerRule {
	rule := p.caller.conduct.Rule(now, p.host, p.partner, k.requirement())
	rule.ProvableDelivery = rule.ProvableDelivery && len(k.Items) == 0
	return rule
}

// bestIdle returns the index of the idle connection that a call should go out on: the most recently used one
// of those on which the fewest kinds of answers would be proved, which leaves the others to the calls that
// require proof; negative if there is none. The caller holds p.mu.
func (p *pool) bestIdle(now time.Duration, rule lifecycle.PeerRule) int {
	best, fewest := -1, math.MaxInt
	for i, cn := range slices.Backward(p.idle) {
		cn.mu.Lock()
		may, proofs := cn.state.MayCarry(now, rule), cn.state.Proofs()
		cn.mu.Unlock()
		if may == lifecycle.CarryNow && proofs < fewest {
			best, fewest = i, proofs
		}
	}
	return best
}

// reportNoReuse reports that there are idle connections and none may carry the call. The caller
// holds p.mu.
func (p *pool) reportNoReuse(now time.Duration, k *call, rule lifecycle.PeerRule) {
	if len(p.idle) == 0 {
		return
	}
	cn := p.idle[len(p.idle)-1]
	cn.mu.Lock()
	defer cn.mu.Unlock()
	switch cn.state.MayCarry(now, rule) {
	case lifecycle.CarryNow:
	case lifecycle.CarryLater:
		cn.reportBreach(lifecycle.ReuseUnrested, k)
	case lifecycle.CarryNever:
		cn.reportBreach(lifecycle.ReuseForbidden, k)
	}
}

// nextWaiting returns the first waiting call that may go out on the connection, nil if there is
// none. The caller holds p.mu.
func (p *pool) nextWaiting(now time.Duration, cn *conn) *call {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	for _, k := range p.waiting {
		if cn.state.MayCarry(now, p.rule(now, k)) == lifecycle.CarryNow {
			return k
		}
	}
	return nil
}

// removeWaiting removes a call from the waiting ones, and reports whether it was among them. The
// caller holds p.mu.
func (p *pool) removeWaiting(k *call) bool {
	i := slices.Index(p.waiting, k)
	if i < 0 {
		return false
	}
	p.waiting = slices.Delete(p.waiting, i, i+1)
	return true
}

// scheduleRested makes waiting calls try again once the first idle connection has rested. The
// caller holds p.mu.
func (p *pool) scheduleRested(now time.Duration) {
	if len(p.waiting) == 0 {
		return
	}
	rule := p.rule(now, p.waiting[0])
	soonest := time.Duration(-1)
	for _, cn := range p.idle {
		cn.mu.Lock()
		if cn.state.MayCarry(now, rule) == lifecycle.CarryLater {
			if after := cn.state.ReusableAt(rule) - now; soonest < 0 || after < soonest {
				soonest = after
			}
		}
		cn.mu.Unlock()
	}
	if soonest >= 0 {
		time.AfterFunc(soonest, p.serveRested)
	}
}

// serveRested sends waiting calls on connections that have rested.
func (p *pool) serveRested() {
	p.mu.Lock()
	waiting := slices.Clone(p.waiting)
	p.mu.Unlock()
	for _, k := range waiting {
		p.mu.Lock()
		var found *conn
		var unusable rejected
		if slices.Contains(p.waiting, k) {
			if found, unusable = p.takeIdle(k); found != nil {
				p.removeWaiting(k)
			}
		}
		p.mu.Unlock()
		unusable.closeAll()
		if found != nil && !k.write(found) {
			p.release(found)
		}
	}
}
