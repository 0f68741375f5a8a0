package partner

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"basaltcross.example/basaltcross/internal/engine"
	"basaltcross.example/basaltcross/internal/secure"
)

// connect sets up one connection: it races the addresses, does the TLS handshake, and hands the
// connection to the engine. No byte of a request is sent, so an address whose handshake fails may
// be followed by another. The handshake gets half of the time while other addresses are left.
func (c *Caller) connect(ctx context.Context, p *pool, all time.Duration) (*conn, error) {
	selector := c.selector(p.host)
	end := time.Now().Add(all)
	for tries := 1; ; tries++ {
		left := time.Until(end)
		raw, at, err := c.race(ctx, p.host, left, selector)
		if err != nil {
			return nil, err
		}
		cn := &conn{pool: p, host: p.host, number: c.openedTotal.Add(1),
			defaultAccount: account{class: -1, partner: p.partner}, addr: at, selector: selector}
		var cfg func() *tls.Config
		if c.opt.Hook == nil {
			cfg = c.opt.Targets[p.partner].TLS
		}
		if cfg == nil {
			return c.plain(cn, raw)
		}
		within, last := selector.HandshakeTimeout(tries, left)
		handshakeCtx, cancel := context.WithTimeout(ctx, within)
		err = c.secure(handshakeCtx, cn, raw, cfg())
		cancel()
		if err == nil {
			return cn, nil
		}
		if c.opt.HandshakeFailed != nil {
			c.opt.HandshakeFailed(p.host, err)
		}
		if selector != nil && ctx.Err() == nil {
			selector.Failed(c.now(), at)
		}
		if last || ctx.Err() != nil {
			return cn, err
		}
		if cn.removed.Swap(true) { // it left its pool when it closed: count the next one again
			p.mu.Lock()
			p.addOpen(1)
			p.mu.Unlock()
		}
	}
}

func (c *Caller) plain(cn *conn, raw net.Conn) (*conn, error) {
	_, err := c.engine.Adopt(raw, func(nb *engine.Conn) engine.Handler {
		cn.sock, cn.writer = nb, nb
		return cn
	})
	if err != nil {
		return cn, errOutOfResources
	}
	return cn, nil
}

func (c *Caller) secure(ctx context.Context, cn *conn, raw net.Conn, t *tls.Config) error {
	if t.ServerName == "" {
		t.ServerName, _, _ = net.SplitHostPort(cn.host)
	}
	t.ClientSessionCache = c.sessions.of(cn.pool.partner, t.RootCAs, cn.host+" "+cn.addr.String())
	return secure.Client(ctx, countedConn{raw, c, cn}, t, c.engine, func(nb *engine.Conn, b []byte) (int, error) {
		cn.queued.Add(int64(len(b)))
		return nb.Write(b)
	}, func(nb *engine.Conn, s *secure.Conn) engine.Handler {
		cn.sock, cn.writer, cn.tls = nb, s, s
		return cn
	}, func(b []byte) { cn.handleData(c, b) })
}
