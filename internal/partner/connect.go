package partner

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"basaltcross.example/basaltcross/internal/engine"
	"basaltcross.example/basaltcross/internal/secure"
)

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
		cn := &conn{pool: p, host: p.host, number: c.opened.Add(1), home: bill{class: -1, partner: p.partner}, addr: at, book: book}
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
