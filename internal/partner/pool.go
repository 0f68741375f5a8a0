package partner

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"basaltcross.example/basaltcross/choice"
	"basaltcross.example/basaltcross/internal/addr"
)

// pool is the connections of one endpoint, and the calls that wait for one. What
// is kept, opened and waited for decides addr.Keep.
type pool struct {
	c       *Caller
	host    string
	partner int

	mu         sync.Mutex
	keep       *addr.Keep
	idle       []*conn // the one used last at the end
	open       int     // connections, those being set up included
	connecting int
	out        int     // calls not ended
	waiting    []*call // those of them without a connection, first come first
	barred     bool

	recent sync.Mutex // innermost
	served []likely   // of late, the oldest first
}

// likely is an answer on a used connection that said that its call was served.
type likely struct {
	at      time.Duration
	doubted func()
}

// mostServed likely answers of one endpoint are remembered.
const mostServed = 256

// dialing is one connection being set up.
type dialing struct {
	cancel context.CancelFunc
	k      *call // for which it was begun, nil for a spare
	over   bool
}

// pool finds or makes that of an endpoint, and counts a call to it.
func (c *Caller) pool(host string, partner int) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[host]
	if p == nil {
		p = &pool{c: c, host: host, partner: partner, barred: c.barred[host],
			keep: addr.NewKeep(c.opt.Keep, rand.Uint64())}
		c.pools[host] = p
	}
	p.mu.Lock()
	p.out++
	p.keep.Called(c.now(), p.out)
	p.mu.Unlock()
	return p
}

// take finds a kept connection for a call; if there is none, the call waits, and
// one is opened if it may be.
func (p *pool) take(k *call) (found *conn) {
	p.mu.Lock()
	found, turned := p.choose(k)
	if found == nil {
		p.waiting = append(p.waiting, k)
		p.more()
		p.awaitRest(p.c.now())
	}
	p.mu.Unlock()
	turned.end()
	return found
}

// more opens connections for calls that wait without one being set up for them,
// as far as may be; under mu.
func (p *pool) more() {
	for _, k := range p.waiting {
		if p.connecting >= len(p.waiting) || !p.keep.Dials(p.connecting) {
			return
		}
		if k.dial == nil || k.dial.over {
			p.dial(k, k.Patient-time.Since(k.began))
		}
	}
}

// spares opens connections in advance; under mu.
func (p *pool) spares() {
	if p.barred || p.c.ctx.Err() != nil {
		return
	}
	for range p.keep.Spares(p.c.now(), p.out-len(p.waiting), len(p.idle), p.connecting) {
		p.dial(nil, addr.SpareTime)
	}
}

// dial begins a connection; under mu.
func (p *pool) dial(k *call, within time.Duration) {
	if most := p.c.opt.Dial; most > 0 {
		within = min(within, most)
	}
	ctx, cancel := context.WithTimeout(p.c.ctx, within)
	d := &dialing{cancel: cancel, k: k}
	if k != nil {
		k.dial = d
	}
	p.connecting++
	p.opened(1)
	p.c.done.Add(1)
	go func() {
		defer p.c.done.Done()
		defer cancel()
		cn, err := p.c.connect(ctx, p, within)
		p.dialed(d, cn, err)
	}()
}

// dialed takes in a connection, or why there is none: then the call for which it
// was begun ends, if it still waits.
func (p *pool) dialed(d *dialing, cn *conn, err error) {
	p.mu.Lock()
	p.connecting--
	d.over = true
	waits := d.k != nil && slices.Contains(p.waiting, d.k)
	if err == nil {
		cn.born, cn.lasts = p.c.now(), p.keep.Life()
	} else {
		if cn == nil || !cn.gone.Swap(true) {
			p.opened(-1)
		}
		if !waits {
			p.more()
		}
	}
	p.mu.Unlock()
	switch {
	case err == nil:
		p.give(cn)
	case waits && errors.Is(err, errOurs):
		d.k.end(unready, nil)
	case waits:
		d.k.end(noConnection, nil)
	}
}

// give hands a connection to the first call that waits and may go out on it, or keeps it.
func (p *pool) give(cn *conn) {
	for {
		p.mu.Lock()
		now := p.c.now()
		cn.since = now
		usable := p.keep.Fresh(now, cn.born, cn.lasts, now) && (cn.book == nil || cn.book.Has(cn.addr)) && !(cn.used() && cn.spent())
		k, found := (*call)(nil), ready
		if usable {
			if k = p.next(now, cn); k != nil && cn.used() {
				found = cn.peek()
			}
		}
		if k == nil || found != ready {
			most := int64(p.c.opt.Descriptors)
			keeps := usable && found != ended && found != unasked && !cn.gone.Load() && !p.barred && p.keep.Kept(len(p.idle)) &&
				(most == 0 || p.c.open.Load() <= most)
			if keeps {
				p.idle = append(p.idle, cn)
				p.awaitRest(now)
			}
			p.more()
			p.mu.Unlock()
			switch {
			case found == unasked: // its goroutine reads what they say, and closes it
			case found == ended:
				cn.peerEnded()
			case !keeps:
				cn.retire()
			}
			return
		}
		p.unwait(k)
		p.mu.Unlock()
		if k.write(cn) {
			return
		}
	}
}

// ended takes in a call's end.
func (p *pool) ended(k *call, s seen) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.out--
	if s != unready {
		p.keep.Ended(p.c.now(), s == answered)
	}
	if p.unwait(k) {
		if k.dial != nil && p.connecting > len(p.waiting) {
			k.dial.cancel() // nobody else waits for it
		}
	}
	if s == answered {
		p.spares()
	}
}

// opened counts connections, those being set up included; under mu.
func (p *pool) opened(n int) {
	p.open += n
	p.c.open.Add(int64(n))
}

// leave takes a connection that is gone out of its pool, once.
func (cn *conn) leave() {
	p := cn.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if cn.gone.Swap(true) {
		return
	}
	p.opened(-1)
	if i := slices.Index(p.idle, cn); i >= 0 {
		p.idle = slices.Delete(p.idle, i, i+1)
	}
	p.keep.Spent(cn.used())
	p.spares()
}

// drain removes idle connections that a test picks.
func (p *pool) drain(pick func(*conn) bool) (out []*conn) {
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

// allPools are those of all endpoints.
func (c *Caller) allPools() (all []*pool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		all = append(all, p)
	}
	return all
}

// sweep closes connections that idled too long or are too old.
func (c *Caller) sweep() {
	defer c.done.Done()
	tick := time.NewTicker(max(50*time.Millisecond, c.opt.Keep.Idle/8))
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
				if p.open == 0 && p.out == 0 {
					delete(c.pools, host)
					delete(c.barred, host)
					c.conduct.Forget(c.now(), host)
				}
				p.mu.Unlock()
			}
			c.mu.Unlock()
			for _, p := range pools {
				now := c.now()
				retireAll(p.drain(func(cn *conn) bool { return !p.keep.Fresh(now, cn.born, cn.lasts, cn.since) }))
			}
		}
	}
}

// CloseIdle closes the kept connections of an endpoint.
func (c *Caller) CloseIdle(host string) {
	c.mu.Lock()
	p := c.pools[host]
	c.mu.Unlock()
	if p != nil {
		p.mu.Lock()
		p.keep.Dismissed(c.now())
		p.mu.Unlock()
		retireAll(p.drain(func(*conn) bool { return true }))
	}
}

// Connections counts the open connections of an endpoint, idle ones and those
// being set up included.
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

// Sizes are those of the caller's tables, and its open connections.
func (c *Caller) Sizes() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	open := 0
	for _, p := range c.pools {
		p.mu.Lock()
		open += p.open
		p.mu.Unlock()
	}
	return map[string]int{"pools": len(c.pools), "books": len(c.books), "barred": len(c.barred), "connections": open, "peers": c.conduct.Len()}
}

// List takes in news of the endpoint list: nothing is opened in advance to an
// endpoint that takes no new work, and nothing kept.
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
		clear(c.barred)
		for host := range c.pools {
			if !listed[host] {
				c.barred[host] = true
			}
		}
	}
	for _, h := range l.Hosts {
		delete(c.barred, h.Addr)
		// Of one that went, only as long as there are connections: the sweep forgets it.
		if h.State == choice.Draining || h.State == choice.Gone && c.pools[h.Addr] != nil {
			c.barred[h.Addr] = true
		}
	}
	var old []*conn
	for host, p := range c.pools {
		p.mu.Lock()
		if p.barred = c.barred[host]; p.barred {
			old = append(old, p.idle...)
			p.idle = nil
		}
		p.mu.Unlock()
	}
	c.mu.Unlock()
	retireAll(old)
}
