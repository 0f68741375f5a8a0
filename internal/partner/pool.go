package partner

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"basaltcross.example/basaltcross/choice"
	"basaltcross.example/basaltcross/internal/addr"
	"basaltcross.example/basaltcross/internal/engine"
	"basaltcross.example/basaltcross/internal/secure"
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
}

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
	var old, later []*conn
	p.mu.Lock()
	now := p.c.now()
	for found == nil && len(p.idle) > 0 {
		cn := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		switch {
		case cn.nb.IsClosed() || !p.keep.Fresh(now, cn.born, cn.life, cn.since):
			old = append(old, cn)
		default:
			switch cn.peek() {
			case ready:
				found = cn
			case ended:
				old = append(old, cn)
			case unread:
				later = append(later, cn)
			}
		}
	}
	p.idle = append(p.idle, later...)
	if found == nil {
		p.waiting = append(p.waiting, k)
		p.more()
	}
	p.mu.Unlock()
	closeAll(old)
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
		cn.born, cn.life = p.c.now(), p.keep.Life()
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

// give hands a connection to the first call that waits, or keeps it.
func (p *pool) give(cn *conn) {
	for {
		p.mu.Lock()
		now := p.c.now()
		cn.since = now
		usable := p.keep.Fresh(now, cn.born, cn.life, now) && (cn.book == nil || cn.book.Has(cn.addr))
		if !usable || len(p.waiting) == 0 {
			most := int64(p.c.opt.Descriptors)
			keeps := usable && !cn.gone.Load() && !p.barred && p.keep.Kept(len(p.idle)) && (most == 0 || p.c.open.Load() <= most)
			if keeps {
				p.idle = append(p.idle, cn)
			}
			p.more()
			p.mu.Unlock()
			if !keeps {
				_ = cn.nb.Close()
			}
			return
		}
		k := p.waiting[0]
		p.waiting = slices.Delete(p.waiting, 0, 1)
		cn.used = true
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
	if i := slices.Index(p.waiting, k); i >= 0 {
		p.waiting = slices.Delete(p.waiting, i, i+1)
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
	p.keep.Spent(cn.used)
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
				}
				p.mu.Unlock()
			}
			c.mu.Unlock()
			for _, p := range pools {
				now := c.now()
				closeAll(p.drain(func(cn *conn) bool { return !p.keep.Fresh(now, cn.born, cn.life, cn.since) }))
			}
		}
	}
}

func closeAll(conns []*conn) {
	for _, cn := range conns {
		_ = cn.nb.Close()
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
		closeAll(p.drain(func(*conn) bool { return true }))
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
	return map[string]int{"pools": len(c.pools), "books": len(c.books), "barred": len(c.barred), "connections": open}
}

// List takes in news of the endpoint list: nothing is opened in advance to an
// endpoint that takes no new work, and nothing kept.
func (c *Caller) List(l choice.Listing) {
	if l.Failed {
		return
	}
	c.mu.Lock()
	if l.Whole {
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
	closeAll(old)
}

// What peek finds on an idle connection.
const (
	ready  = iota
	ended  // the peer closed, or sent what nobody asked for
	unread // TLS records wait to be read: not now
)

// peek looks whether the peer closed a connection that idles, which the engine
// may not have noticed yet: a request into it would be lost, and may have run.
func (cn *conn) peek() int {
	switch found := cn.nb.Peek(); {
	case found == engine.Nothing:
		return ready
	case found == engine.Bytes && cn.sec != nil:
		return unread
	}
	return ended
}

// connect sets up one connection: the race of its addresses, then TLS, then the
// engine. It never carries a byte of a request, so an address whose handshake
// fails may be followed by another; with others left it gets half of the time.
func (c *Caller) connect(ctx context.Context, p *pool, all time.Duration) (*conn, error) {
	book := c.book(p.host)
	end := time.Now().Add(all)
	for tries := 1; ; tries++ {
		left := time.Until(end)
		raw, at, err := c.race(ctx, p.host, left, book)
		if err != nil {
			return nil, err
		}
		cn := &conn{pool: p, host: p.host, home: bill{class: -1, partner: p.partner}, addr: at, book: book}
		var cfg func() *tls.Config
		if c.opt.Hook == nil {
			cfg = c.opt.Targets[p.partner].TLS
		}
		if cfg == nil {
			return c.plain(cn, raw)
		}
		within, last := book.Handshake(tries, left)
		shake, cancel := context.WithTimeout(ctx, within)
		err = c.secure(shake, cn, raw, cfg())
		cancel()
		if err == nil {
			return cn, nil
		}
		if c.opt.Failed != nil {
			c.opt.Failed(p.host, err)
		}
		if book != nil && ctx.Err() == nil {
			book.Failed(c.now(), at)
		}
		if last || ctx.Err() != nil {
			return cn, err
		}
		if cn.gone.Swap(true) { // it left the pool by itself; the next one stands for it
			p.mu.Lock()
			p.opened(1)
			p.mu.Unlock()
		}
	}
}

func (c *Caller) plain(cn *conn, raw net.Conn) (*conn, error) {
	_, err := c.engine.Adopt(raw, func(nb *engine.Conn) engine.Handler {
		cn.nb, cn.out = nb, nb
		return cn
	})
	if err != nil {
		return cn, errOurs
	}
	return cn, nil
}

func (c *Caller) secure(ctx context.Context, cn *conn, raw net.Conn, t *tls.Config) error {
	if t.ServerName == "" {
		t.ServerName, _, _ = net.SplitHostPort(cn.host)
	}
	t.ClientSessionCache = c.tls.of(cn.pool.partner, t.RootCAs, cn.host+" "+cn.addr.String())
	return secure.Client(ctx, counted{raw, c, cn}, t, c.engine, func(nb *engine.Conn, b []byte) (int, error) {
		cn.size.Add(int64(len(b)))
		return nb.Write(b)
	}, func(nb *engine.Conn, s *secure.Conn) engine.Handler {
		cn.nb, cn.out, cn.sec = nb, s, s
		return cn
	}, func(b []byte) { cn.data(c, b) })
}

// sessions are TLS sessions to resume, by endpoint and address: two addresses of
// one name may be two machines with keys of their own. With new authorities, or
// another partner's, none is resumed.
type sessions struct {
	tls.ClientSessionCache
	mu    sync.Mutex
	roots map[int]any // by partner: the authorities last seen
	turn  map[int]int // how often they changed
}

func newSessions(most int) *sessions {
	return &sessions{ClientSessionCache: tls.NewLRUClientSessionCache(max(1, most)), roots: map[int]any{}, turn: map[int]int{}}
}

type scoped struct {
	all    tls.ClientSessionCache
	prefix string
}

func (s *sessions) of(partner int, roots any, where string) tls.ClientSessionCache {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.roots[partner] != roots {
		s.roots[partner] = roots
		s.turn[partner]++
	}
	return scoped{s.ClientSessionCache, fmt.Sprintf("%d %d %s ", partner, s.turn[partner], where)}
}

func (s scoped) Get(key string) (*tls.ClientSessionState, bool) { return s.all.Get(s.prefix + key) }
func (s scoped) Put(key string, cs *tls.ClientSessionState)     { s.all.Put(s.prefix+key, cs) }
