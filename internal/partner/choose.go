package partner

import (
	"slices"
	"time"

	"basaltcross.example/basaltcross/internal/engine"
	"basaltcross.example/basaltcross/internal/lifecycle"
)

// looked is what a look at an idle connection finds.
type looked int

const (
	ready   looked = iota
	ended          // the peer closed
	unasked        // bytes that no call asked for
	unread         // TLS records wait to be read: not now
)

// peek looks whether the peer closed a connection that idles, or sent something, which the engine
// may not have noticed yet: a request into a closed one would be lost, and may have run.
func (cn *conn) peek() looked {
	switch found := cn.nb.Peek(); {
	case found == engine.Nothing:
		return ready
	case found == engine.Bytes && cn.sec != nil:
		return unread
	case found == engine.Bytes:
		return unasked
	}
	return ended
}

// refused are idle connections that a look has turned down.
type refused struct {
	old   []*conn // too old
	ended []*conn // by the peer
}

// end closes them; not under the pool's lock.
func (r *refused) end() {
	retireAll(r.old)
	for _, cn := range r.ended {
		cn.peerEnded()
	}
}

// choose takes the idle connection out on which a call goes, nil if there is none; under mu.
func (p *pool) choose(k *call) (found *conn, turned refused) {
	now := p.c.now()
	rule := p.rule(now, k)
	var later []*conn
	for found == nil {
		i := p.best(now, rule)
		if i < 0 {
			break
		}
		cn := p.idle[i]
		p.idle = slices.Delete(p.idle, i, i+1)
		if cn.nb.IsClosed() || !p.keep.Fresh(now, cn.born, cn.lasts, cn.since) {
			turned.old = append(turned.old, cn)
			continue
		}
		switch cn.peek() {
		case ready:
			found = cn
		case ended:
			turned.ended = append(turned.ended, cn)
		case unasked: // its goroutine reads what they say, and closes it
		case unread:
			later = append(later, cn)
		}
	}
	if found == nil {
		p.tellReuse(now, k, rule)
	}
	p.idle = append(p.idle, later...)
	return found, turned
}

// rule is what the peer's conduct allows for a call.
func (p *pool) rule(now time.Duration, k *call) lifecycle.PeerRule {
	return p.c.conduct.Rule(now, p.host, p.partner, k.bears())
}

// best is the place of the idle connection that a call should go out on: the one used last among
// those whose answers are confirmed, else the one that has rested longest; below 0 for none;
// under mu.
func (p *pool) best(now time.Duration, rule lifecycle.PeerRule) int {
	longest := -1
	for i := len(p.idle) - 1; i >= 0; i-- {
		cn := p.idle[i]
		cn.mu.Lock()
		may, confirmed := cn.life.MayCarry(now, rule), cn.life.Confirmed(now)
		cn.mu.Unlock()
		switch {
		case may != lifecycle.CarryNow:
		case confirmed:
			return i
		default:
			longest = i
		}
	}
	return longest
}

// tellReuse tells that idle connections were there and may not carry a call; under mu.
func (p *pool) tellReuse(now time.Duration, k *call, rule lifecycle.PeerRule) {
	if len(p.idle) == 0 {
		return
	}
	cn := p.idle[len(p.idle)-1]
	cn.mu.Lock()
	defer cn.mu.Unlock()
	switch cn.life.MayCarry(now, rule) {
	case lifecycle.CarryNow:
	case lifecycle.CarryLater:
		cn.refuse(lifecycle.ReuseUnrested, k)
	case lifecycle.CarryNever:
		cn.refuse(lifecycle.ReuseForbidden, k)
	}
}

// next is the first call that waits and may go out on a connection, nil for none; under mu.
func (p *pool) next(now time.Duration, cn *conn) *call {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	for _, k := range p.waiting {
		if cn.life.MayCarry(now, p.rule(now, k)) == lifecycle.CarryNow {
			return k
		}
	}
	return nil
}

// unwait takes a call off those that wait, and tells whether it was there; under mu.
func (p *pool) unwait(k *call) bool {
	i := slices.Index(p.waiting, k)
	if i < 0 {
		return false
	}
	p.waiting = slices.Delete(p.waiting, i, i+1)
	return true
}

// awaitRest looks again when the first of the idle connections has rested, if a call waits; under mu.
func (p *pool) awaitRest(now time.Duration) {
	if len(p.waiting) == 0 {
		return
	}
	rule := p.rule(now, p.waiting[0])
	soonest := time.Duration(-1)
	for _, cn := range p.idle {
		cn.mu.Lock()
		if cn.life.MayCarry(now, rule) == lifecycle.CarryLater {
			if after := cn.life.RestsUntil(rule) - now; soonest < 0 || after < soonest {
				soonest = after
			}
		}
		cn.mu.Unlock()
	}
	if soonest >= 0 {
		time.AfterFunc(soonest, p.rested)
	}
}

// rested has calls that wait go out on connections whose rest is over.
func (p *pool) rested() {
	p.mu.Lock()
	waiting := slices.Clone(p.waiting)
	p.mu.Unlock()
	for _, k := range waiting {
		p.mu.Lock()
		var found *conn
		var turned refused
		if slices.Contains(p.waiting, k) {
			if found, turned = p.choose(k); found != nil {
				p.unwait(k)
			}
		}
		p.mu.Unlock()
		turned.end()
		if found != nil && !k.write(found) {
			p.give(found)
		}
	}
}
