package partner

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"basaltcross.example/basaltcross/choice"
	"basaltcross.example/basaltcross/internal/addr"
)

// pool holds the connections of one endpoint, and the calls that wait for one. addr.PoolPolicy decides
// which connections are kept and opened, and which calls wait.
type pool struct {
	caller  *Caller
	host    string
	partner int

	mu         sync.Mutex
	policy     *addr.PoolPolicy
	idle       []*conn // most recently used last
	open       int     // open connections, those being set up included
	connecting int
	calls      int                // calls that have not ended
	written    map[*call]struct{} // those of them that were written, or wait for the kernel to take their bytes
	waiting    []*call            // those of them without a connection, in order of arrival
	excluded   bool
	waitUntil  time.Duration // no call is written until then; see heedWait

	servedMu sync.Mutex     // guards served; no other lock is taken while it is held
	served   []servedAnswer // recent answers, oldest first
}

// servedAnswer is a successful answer on a reused connection.
type servedAnswer struct {
	at      time.Duration
	doubted func()
}

// maxServedAnswers is the limit on the answers remembered per endpoint.
const maxServedAnswers = 256

// dialing is one connection that is being set up.
type dialing struct {
	cancel   context.CancelFunc
	owner    *call // the call that it was started for, nil for a spare connection
	finished bool
}

// pool returns the pool of an endpoint, which it creates if necessary, and counts a call to it.
func (c *Caller) pool(host string, partner int) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[host]
	if p == nil {
		p = &pool{caller: c, host: host, partner: partner, excluded: c.excluded[host], written: map[*call]struct{}{},
			policy: addr.NewPoolPolicy(c.opt.Pool, rand.Uint64())}
		c.pools[host] = p
	}
	p.mu.Lock()
	p.calls++
	p.policy.CallStarted(c.now(), p.calls)
	p.mu.Unlock()
	return p
}

// acquire returns an idle connection for a call. If there is none, it queues the call and opens a
// connection if the limits allow it.
func (p *pool) acquire(k *call) (found *conn) {
	p.mu.Lock()
	found, unusable := p.takeIdle(k)
	if found == nil {
		p.waiting = append(p.waiting, k)
		p.dialForWaiting()
		p.scheduleRested(p.caller.now())
	}
	p.mu.Unlock()
	unusable.closeAll()
	return found
}

// dialForWaiting opens connections for waiting calls that have none being set up, within the
// limits. The caller holds p.mu.
func (p *pool) dialForWaiting() {
	for _, k := range p.waiting {
		if p.connecting >= len(p.waiting) || !p.policy.MayDial(p.connecting) {
			return
		}
		if k.dial == nil || k.dial.finished {
			p.dial(k, k.Timeout-time.Since(k.began))
		}
	}
}

// dialSpares opens spare connections. The caller holds p.mu.
func (p *pool) dialSpares() {
	if p.excluded || p.caller.ctx.Err() != nil || p.caller.sockets.contended() {
		return
	}
	for range p.policy.Spares(p.caller.now(), p.calls-len(p.waiting), len(p.idle), p.connecting) {
		p.dial(nil, addr.SpareTimeout)
	}
}

// dial starts setting up a connection. The caller holds p.mu.
func (p *pool) dial(k *call, within time.Duration) {
	if most := p.caller.opt.DialTimeout; most > 0 {
		within = min(within, most)
	}
	ctx, cancel := context.WithTimeout(p.caller.ctx, within)
	d := &dialing{cancel: cancel, owner: k}
	if k != nil {
		k.dial = d
	}
	p.connecting++
	p.addOpen(1)
	p.caller.done.Add(1)
	go func() {
		defer p.caller.done.Done()
		defer cancel()
		cn, err := p.caller.connect(ctx, p, within)
		p.dialFinished(d, cn, err)
	}()
}

// dialFinished handles the result of dial. If it failed, the call that it was started for ends, if
// it still waits.
func (p *pool) dialFinished(d *dialing, cn *conn, err error) {
	p.mu.Lock()
	p.connecting--
	d.finished = true
	waits := d.owner != nil && slices.Contains(p.waiting, d.owner)
	if err == nil {
		cn.established, cn.maxAge = p.caller.now(), p.policy.DrawMaxAge()
	} else {
		if cn == nil || !cn.removed.Swap(true) {
			p.addOpen(-1)
		}
		if !waits {
			p.dialForWaiting()
		}
	}
	p.mu.Unlock()
	switch {
	case err == nil:
		p.release(cn)
	case waits && errors.Is(err, errOutOfResources):
		d.owner.end(notTried, nil)
	case waits:
		d.owner.end(noConnection, nil)
	}
}

// release hands a connection to the first waiting call that may go out on it, or else keeps it
// idle.
func (p *pool) release(cn *conn) {
	for {
		p.mu.Lock()
		now := p.caller.now()
		cn.idleSince = now
		usable := p.policy.MayReuse(now, cn.established, cn.maxAge, now) &&
			(cn.selector == nil || cn.selector.Has(cn.addr)) && !cn.usedUp() && !(cn.used() && cn.firstCallOnly())
		k, found := (*call)(nil), peekReady
		if usable {
			if k = p.nextWaiting(now, cn); k != nil && cn.used() {
				found = cn.peek()
			}
		}
		if k == nil || found != peekReady {
			var replaced []*conn
			if usable && !p.policy.MayKeepIdle(len(p.idle)) {
				proofs := cn.proofs()
				replaced = p.takeOldestIdle(func(other *conn) bool { return other.proofs() < proofs })
			}
			keeps := usable && found != peekClosed && found != peekUnsolicited && !cn.removed.Load() &&
				!p.excluded && p.policy.MayKeepIdle(len(p.idle)) && !p.caller.sockets.contended()
			if keeps {
				p.idle = append(p.idle, cn)
				p.scheduleRested(now)
			}
			p.dialForWaiting()
			p.mu.Unlock()
			closeAllWhenSettled(replaced)
			switch {
			case found == peekUnsolicited: // the connection's goroutine reads the bytes and closes it
			case found == peekClosed:
				cn.closedByPeer()
			case !keeps:
				cn.closeWhenSettled()
			}
			return
		}
		p.removeWaiting(k)
		p.mu.Unlock()
		if k.write(cn) {
			return
		}
	}
}

// maxCoreDelay is the longest time for which calls are kept back here for a wait that the core has yet to learn of:
// a process that stands still is held up for 150 ms (STANDING), and then waits for late events.
const maxCoreDelay = 500 * time.Millisecond

// heedWait keeps calls from being written for a wait that the host has told, and takes those back of which the kernel
// has taken nothing. The core keeps the wait, but a call that has waited for its connection may be written before the
// core processes the answer.
func (p *pool) heedWait(wait time.Duration) {
	if wait <= 0 {
		return
	}
	p.mu.Lock()
	p.waitUntil = max(p.waitUntil, p.caller.now()+min(wait, maxCoreDelay))
	written := slices.Collect(maps.Keys(p.written))
	p.mu.Unlock()
	for _, k := range written {
		k.takeBack()
	}
}

// callWritten records that a call was written.
func (p *pool) callWritten(k *call) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.written[k] = struct{}{}
}

// mustWait reports whether a wait that the host has told keeps calls from being written.
func (p *pool) mustWait() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.caller.now() < p.waitUntil
}

// callEnded records the end of a call.
func (p *pool) callEnded(k *call, ev event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls--
	delete(p.written, k)
	if ev != notTried {
		p.policy.CallEnded(p.caller.now(), ev == answered)
	}
	if p.removeWaiting(k) {
		if k.dial != nil && p.connecting > len(p.waiting) {
			k.dial.cancel() // no other call needs it
		}
	}
	if ev == answered {
		p.dialSpares()
	}
}

// addOpen changes the number of open connections, those being set up included. The caller holds
// p.mu.
func (p *pool) addOpen(n int) {
	p.open += n
}

// removeFromPool removes a closed connection from its pool, once.
func (cn *conn) removeFromPool() {
	p := cn.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if cn.removed.Swap(true) {
		return
	}
	p.addOpen(-1)
	if i := slices.Index(p.idle, cn); i >= 0 {
		p.idle = slices.Delete(p.idle, i, i+1)
	}
	p.policy.ConnectionClosed(cn.used())
	p.dialSpares()
}

// removeIdle removes and returns the idle connections that pick selects.
func (p *pool) removeIdle(pick func(*conn) bool) (out []*conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = slices.DeleteFunc(p.idle, func(cn *conn) bool {
		if !pick(cn) {
			return false
		}
		out = append(out, cn)
		return true
	})
	return out
}

// allPools returns the pools of all endpoints.
func (c *Caller) allPools() (all []*pool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		all = append(all, p)
	}
	return all
}

// sweep closes connections past their idle time or age, and drops unused pools.
func (c *Caller) sweep() {
	defer c.done.Done()
	tick := time.NewTicker(max(50*time.Millisecond, c.opt.Pool.IdleTimeout/8))
	defer tick.Stop()
	for {
		select {
		case <-c.stop:
			return
		case <-tick.C:
			c.mu.Lock()
			pools := make([]*pool, 0, len(c.pools))
			for host, p := range c.pools {
				pools = append(pools, p)
				p.mu.Lock()
				if p.open == 0 && p.calls == 0 {
					delete(c.pools, host)
					delete(c.excluded, host)
					c.conduct.Forget(c.now(), host)
				}
				p.mu.Unlock()
			}
			c.mu.Unlock()
			for _, p := range pools {
				now := c.now()
				closeAllWhenSettled(p.removeIdle(func(cn *conn) bool {
					return !p.policy.MayReuse(now, cn.established, cn.maxAge, cn.idleSince)
				}))
			}
		}
	}
}

// CloseIdle closes the idle connections of an endpoint.
func (c *Caller) CloseIdle(host string) {
	c.mu.Lock()
	p := c.pools[host]
	c.mu.Unlock()
	if p != nil {
		p.mu.Lock()
		p.policy.IdleClosed(c.now())
		p.mu.Unlock()
		closeAllWhenSettled(p.removeIdle(func(*conn) bool { return true }))
	}
}

// Connections returns the number of open connections of an endpoint, idle ones and those being set
// up included.
func (c *Caller) Connections(host string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.pools[host]; p != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.open
	}
	return 0
}

// Sizes returns the sizes of the Caller's tables, and the number of open connections.
func (c *Caller) Sizes() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	open := 0
	for _, p := range c.pools {
		p.mu.Lock()
		open += p.open
		p.mu.Unlock()
	}
	return map[string]int{"pools": len(c.pools), "books": len(c.selectors), "barred": len(c.excluded),
		"connections": open, "sockets": int(c.sockets.open.Load()), "peers": c.conduct.Len()}
}

// List applies a change of the endpoint list: endpoints that take no new calls get no spare
// connections, and their idle connections are closed.
func (c *Caller) List(l choice.HostUpdate) {
	if l.Failed {
		return
	}
	c.mu.Lock()
	if l.Full {
		listed := make(map[string]bool, len(l.Hosts))
		for _, h := range l.Hosts {
			listed[h.Addr] = true
		}
		clear(c.excluded)
		for host := range c.pools {
			if !listed[host] {
				c.excluded[host] = true
			}
		}
	}
	for _, h := range l.Hosts {
		delete(c.excluded, h.Addr)
		// For a removed endpoint only while it has connections: sweep deletes the entry.
		if h.State == choice.Draining || h.State == choice.Gone && c.pools[h.Addr] != nil {
			c.excluded[h.Addr] = true
		}
	}
	var old []*conn
	for host, p := range c.pools {
		p.mu.Lock()
		if p.excluded = c.excluded[host]; p.excluded {
			old = append(old, p.idle...)
			p.idle = nil
		}
		p.mu.Unlock()
	}
	c.mu.Unlock()
	closeAllWhenSettled(old)
}
