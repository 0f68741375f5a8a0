// Package partner calls partners' endpoints: HTTP/1.1 over non-blocking
// sockets, a pool of kept connections per endpoint, and one table from what
// happened on a socket to what the decision module is told.
package partner

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"

	"basaltcross.example/basaltcross/internal/addr"
	"basaltcross.example/basaltcross/internal/core"
	"basaltcross.example/basaltcross/internal/http1"
	"basaltcross.example/basaltcross/internal/secure"
	"basaltcross.example/basaltcross/internal/zone"
)

// Target says how calls for one partner look.
type Target struct {
	Path     string
	Host     string // Host field; empty for the endpoint's address
	Promises bool   // a refusal never ran
	// TLS makes the configuration of one connection; nil for none.
	TLS func() *tls.Config
}

// Options of a Caller.
type Options struct {
	Name        string   // of the relay, as Via tells it (RFC 9110, 7.6.3)
	Targets     []Target // by partner
	Classes     []string // names by class
	Limits      http1.Limits
	IdlePerHost int           // kept connections per endpoint; further ones close when their call ends
	IdleFor     time.Duration // and each for so long
	Pollers     int
	// Traffic counts bytes by class, partner and zone; may be nil.
	Traffic *zone.Table
	// Dialed counts connections by family and what became of them: won, lost
	// (closed unused), failed, left; may be nil.
	Dialed func(family, result string)
	// Failed is told of TLS handshakes that failed; may be nil.
	Failed func(host string, err error)
	// Unsolicited is told of bytes that came without a request; may be nil.
	Unsolicited func(host string)
}

// Caller holds the connections to all endpoints.
type Caller struct {
	opt    Options
	engine *nbio.Engine
	mu     sync.Mutex
	pools  map[string]*pool
	books  map[string]*addr.Book // of endpoints with addresses of their own
	fams   addr.Families
	epoch  time.Time
	stop   chan struct{}
	done   sync.WaitGroup
	// fence orders the making of a conn before its use on a poller: the engine
	// hands it over through the kernel, which the race detector cannot see.
	fence atomic.Uint64
}

// pool is the kept connections of one endpoint, the one used last at the end.
type pool struct {
	mu   sync.Mutex
	idle []*conn
	open int
}

// conn is one connection; it carries one call at a time.
type conn struct {
	pool *pool
	host string
	nb   *nbio.Conn
	out  io.Writer
	sec  *secure.Conn // nil without TLS
	addr addr.Address
	book *addr.Book // nil where the endpoint has one address
	mu   sync.Mutex
	call *call
	gone atomic.Bool
	at   time.Time // idle since
	resp response
	// Bytes for the socket so far, and those of them that the kernel has.
	size, sent atomic.Int64
	bill       atomic.Pointer[bill]
	home       bill // of what no class is charged with
}

// bill says who is charged with a connection's bytes.
type bill struct {
	class, partner, zone int
	passed               *atomic.Int64
}

// count books bytes of a connection: to the call that it carries, else to none.
func (c *Caller) count(cn *conn, n int, out bool) {
	b := cn.bill.Load()
	if b == nil {
		b = &cn.home
	} else if b.passed != nil {
		b.passed.Add(int64(n))
	}
	if t := c.opt.Traffic; t != nil && out {
		t.Out(b.class, b.partner, b.zone, n)
	} else if t != nil {
		t.In(b.class, b.partner, b.zone, n)
	}
}

// counted counts the bytes of a TLS handshake.
type counted struct {
	net.Conn
	c  *Caller
	cn *conn
}

func (k counted) Unwrap() net.Conn { return k.Conn }

func (k counted) Read(b []byte) (int, error) {
	n, err := k.Conn.Read(b)
	k.c.count(k.cn, n, false)
	return n, err
}

func (k counted) Write(b []byte) (int, error) {
	n, err := k.Conn.Write(b)
	k.c.count(k.cn, n, true)
	return n, err
}

// call is one attempt. Its state goes from dialing to written to ended.
type call struct {
	core.Call
	caller *Caller
	began  time.Time
	mu     sync.Mutex
	conn   *conn
	cancel context.CancelFunc // of the dialing
	wrote  bool               // bytes were handed to the kernel
	ended  bool
}

// New starts the pollers.
func New(opt Options) (*Caller, error) {
	c := &Caller{opt: opt, pools: map[string]*pool{}, books: map[string]*addr.Book{},
		epoch: time.Now(), stop: make(chan struct{})}
	c.engine = nbio.NewEngine(nbio.Config{Name: "partner", NPoller: max(1, opt.Pollers), ReadBufferSize: 16 << 10})
	c.engine.OnData(func(nb *nbio.Conn, data []byte) {
		c.fence.Load()
		if cn, ok := nb.Session().(*conn); ok {
			c.count(cn, len(data), false)
			if cn.sec != nil {
				cn.sec.Data(data)
			} else {
				cn.data(c, data)
			}
		}
	})
	c.engine.OnClose(func(nb *nbio.Conn, err error) {
		c.fence.Load()
		if cn, ok := nb.Session().(*conn); ok {
			if cn.sec != nil {
				cn.sec.End()
			}
			cn.closed()
		}
	})
	c.engine.OnWrittenSize(func(nb *nbio.Conn, _ []byte, n int) {
		if cn, ok := nb.Session().(*conn); ok && n > 0 {
			cn.sent.Add(int64(n))
			c.count(cn, n, true)
		}
	})
	if err := c.engine.Start(); err != nil {
		return nil, err
	}
	c.done.Add(1)
	go c.sweep()
	return c, nil
}

// Close ends all connections.
func (c *Caller) Close() {
	close(c.stop)
	c.done.Wait()
	c.engine.Stop()
}

// sweep closes connections that idled too long.
func (c *Caller) sweep() {
	defer c.done.Done()
	tick := time.NewTicker(max(50*time.Millisecond, c.opt.IdleFor/8))
	defer tick.Stop()
	for {
		select {
		case <-c.stop:
			return
		case now := <-tick.C:
			c.mu.Lock()
			pools := make([]*pool, 0, len(c.pools))
			for host, p := range c.pools {
				pools = append(pools, p)
				p.mu.Lock()
				if p.open == 0 && len(p.idle) == 0 {
					delete(c.pools, host)
				}
				p.mu.Unlock()
			}
			c.mu.Unlock()
			for _, p := range pools {
				p.mu.Lock()
				n := 0
				for n < len(p.idle) && c.opt.IdleFor > 0 && now.Sub(p.idle[n].at) >= c.opt.IdleFor {
					n++
				}
				old := slices.Clone(p.idle[:n])
				p.idle = slices.Delete(p.idle, 0, n)
				p.mu.Unlock()
				closeAll(old)
			}
		}
	}
}

func closeAll(conns []*conn) {
	for _, cn := range conns {
		_ = cn.nb.Close()
	}
}

func (c *Caller) pool(host string) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[host]
	if p == nil {
		p = &pool{}
		c.pools[host] = p
	}
	p.mu.Lock()
	p.open++ // taken for the caller, so that the sweep leaves it
	p.mu.Unlock()
	return p
}

// CloseIdle closes the kept connections of an endpoint.
func (c *Caller) CloseIdle(host string) {
	c.mu.Lock()
	p := c.pools[host]
	c.mu.Unlock()
	if p == nil {
		return
	}
	p.mu.Lock()
	old := p.idle
	p.idle = nil
	p.mu.Unlock()
	closeAll(old)
}

// Connections counts the open connections of an endpoint, idle ones included.
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

// Send begins an attempt: on a kept connection, else on a new one that has the
// attempt's own time-out to come up. Its End is called once unless Abort or
// Recall came first.
func (c *Caller) Send(in core.Call) core.Attempt {
	k := &call{Call: in, caller: c, began: time.Now()}
	p := c.pool(in.Host)
	p.mu.Lock()
	for len(p.idle) > 0 {
		cn := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if closed, _ := cn.nb.IsClosed(); closed {
			continue
		}
		p.open-- // counted with its connection already
		p.mu.Unlock()
		k.write(cn)
		return k
	}
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), in.Patient)
	k.cancel = cancel
	c.done.Add(1)
	go func() {
		defer c.done.Done()
		k.dial(ctx, p)
	}()
	return k
}

// dial opens a connection for an attempt. There are never more of these than
// calls out; Abort and Recall end it at once.
func (k *call) dial(ctx context.Context, p *pool) {
	defer k.cancel()
	c := k.caller
	book := c.book(k.Host)
	raw, at, err := c.race(ctx, k, book)
	if err != nil {
		p.release()
		k.end(noConnection, nil)
		return
	}
	if cfg := c.opt.Targets[k.Partner].TLS; cfg != nil {
		k.dialTLS(ctx, raw, cfg(), p, at, book)
		return
	}
	nb, err := nbio.NBConn(raw) // duplicates the descriptor and closes the first
	if err != nil {
		_ = raw.Close()
		p.release()
		k.end(noConnection, nil)
		return
	}
	cn := &conn{pool: p, host: k.Host, nb: nb, out: nb, home: k.home(), addr: at, book: book}
	nb.SetSession(cn)
	c.fence.Add(1)
	if _, err := c.engine.AddConn(nb); err != nil {
		_ = nb.Close()
		cn.leave()
		k.end(noConnection, nil)
		return
	}
	k.write(cn)
}

// dialTLS does the handshake, within the attempt's time. A failed one carried no
// byte of the request.
func (k *call) dialTLS(ctx context.Context, raw net.Conn, cfg *tls.Config, p *pool, at addr.Address,
	book *addr.Book) {
	c := k.caller
	if cfg.ServerName == "" {
		cfg.ServerName, _, _ = net.SplitHostPort(k.Host)
	}
	cn := &conn{pool: p, host: k.Host, home: k.home(), addr: at, book: book}
	err := secure.Client(ctx, counted{raw, c, cn}, cfg, c.engine, func(n int) { cn.size.Add(int64(n)) },
		func(nb *nbio.Conn, s *secure.Conn) {
			cn.nb, cn.out, cn.sec = nb, s, s
			nb.SetSession(cn)
			c.fence.Add(1)
		}, func(b []byte) { cn.data(c, b) })
	if err != nil {
		if book != nil {
			book.Failed(c.now(), at)
		}
		if c.opt.Failed != nil {
			c.opt.Failed(k.Host, err)
		}
		cn.leave()
		k.end(noConnection, nil)
		return
	}
	k.write(cn)
}

func (k *call) home() bill { return bill{class: -1, partner: k.Partner, zone: k.Zone} }

func (p *pool) release() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// write hands the request to the kernel, unless the attempt was ended while
// its connection came up.
func (k *call) write(cn *conn) {
	request := append(k.head(), k.Body...) // one write: the engine's Writev loses buffers after a partial one
	k.mu.Lock()
	if k.ended {
		k.mu.Unlock()
		cn.rest(k.caller)
		return
	}
	cn.mu.Lock()
	if cn.gone.Load() || cn.call != nil {
		cn.mu.Unlock()
		k.mu.Unlock()
		_ = cn.nb.Close()
		k.end(lostUnsent, nil)
		return
	}
	cn.call = k
	cn.resp.reset(k.caller.opt.Limits)
	if cn.sec == nil { // else the TLS layer counts its records
		cn.size.Add(int64(len(request)))
	}
	cn.mu.Unlock()
	k.conn = cn
	k.wrote = true
	cn.bill.Store(&bill{k.Class, k.Partner, k.Zone, k.Passed})
	if t := k.caller.opt.Traffic; t != nil {
		t.Call(k.Class, k.Partner, k.Zone)
	}
	k.mu.Unlock()
	// From here on the answer may come at any moment, on the poller.
	before := cn.sent.Load()
	n, err := cn.out.Write(request)
	if err == nil && cn.addr.Family == addr.Unix && cn.sec == nil {
		if done := int(cn.sent.Load() - before); done < len(request) {
			go cn.rests(k, request[done:])
		}
	}
	if err != nil {
		if n <= 0 { // nothing went out before the error
			cn.drop(k)
			k.end(lostUnsent, nil)
			return
		}
		cn.drop(k)
		k.end(lost, nil)
	}
}

// head is the request's start line and fields. Names and values come from the
// checked configuration, but for the key and the identity, which are cleaned.
func (k *call) head() []byte {
	t := &k.caller.opt.Targets[k.Partner]
	host := t.Host
	if host == "" {
		host = k.Host
	}
	b := make([]byte, 0, 256+len(t.Path)+len(host)+len(k.Key)+len(k.Idem))
	b = append(append(append(b, "POST "...), t.Path...), " HTTP/1.1\r\nHost: "...)
	b = append(append(b, host...), "\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(k.Body)), 10)
	b = append(append(b, "\r\nVia: 1.1 "...), k.caller.opt.Name...)
	b = append(append(b, "\r\nMessage-Class: "...), k.caller.opt.Classes[k.Class]...)
	if k.Idem != "" {
		b = appendValue(append(b, "\r\nIdempotency-Key: \""...), k.Idem)
		b = append(b, '"')
	}
	if k.Key != "" {
		b = appendValue(append(b, "\r\nOrder-Key: "...), k.Key)
	}
	b = append(b, "\r\n"...)
	if b = append(b, k.Head...); len(k.Head) == 0 {
		b = append(b, "Content-Type: application/octet-stream\r\n"...)
	}
	return append(b, "\r\n"...)
}

// appendValue writes text as a field value; what may not stand in one, or in a
// quoted string, is written as %XX.
func appendValue(b []byte, text string) []byte {
	for i := range len(text) {
		if c := text[i]; c <= ' ' || c >= 0x7f || c == '"' || c == '\\' || c == '%' {
			b = fmt.Appendf(b, "%%%02X", c)
		} else {
			b = append(b, c)
		}
	}
	return b
}

// end reports an attempt's outcome, if nothing else ended it before.
func (k *call) end(s seen, r *response) {
	k.mu.Lock()
	if k.ended {
		k.mu.Unlock()
		return
	}
	k.ended = true
	k.mu.Unlock()
	now := time.Now()
	e := core.Ending{Took: now.Sub(k.began)}
	status, retry := 0, ""
	if r != nil {
		status, retry = r.status, r.retry
	}
	e.Outcome, e.Wait = outcome(s, status, retry, k.caller.opt.Targets[k.Partner].Promises, now)
	k.End(e)
}

// Abort ends an attempt; its connection is closed.
func (k *call) Abort() (started, ok bool) {
	k.mu.Lock()
	if k.ended {
		k.mu.Unlock()
		return k.wrote, false
	}
	k.ended = true
	cn, wrote, cancel := k.conn, k.wrote, k.cancel
	k.mu.Unlock()
	if cn != nil {
		cn.drop(k)
		cn.hung(k.caller)
	} else if cancel != nil {
		cancel()
	}
	return wrote, true
}

// Recall ends an attempt that has not reached the kernel.
func (k *call) Recall() bool {
	k.mu.Lock()
	if k.ended || k.wrote {
		k.mu.Unlock()
		return false
	}
	k.ended = true
	cancel := k.cancel
	k.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	return true
}

// drop takes an attempt off its connection and closes that.
func (cn *conn) drop(k *call) {
	cn.mu.Lock()
	if cn.call == k {
		cn.call = nil
	}
	cn.mu.Unlock()
	_ = cn.nb.Close()
}

// data takes in what the socket gave; it runs on the connection's poller.
func (cn *conn) data(c *Caller, b []byte) {
	cn.mu.Lock()
	k := cn.call
	if k == nil { // bytes without a request: not to be trusted further
		cn.mu.Unlock()
		if c.opt.Unsolicited != nil {
			c.opt.Unsolicited(cn.host)
		}
		_ = cn.nb.Close()
		return
	}
	rest, err := cn.resp.feed(b)
	if err != nil {
		cn.call = nil
		cn.mu.Unlock()
		_ = cn.nb.Close()
		k.end(nonsense, nil)
		return
	}
	if !cn.resp.Done() {
		cn.mu.Unlock()
		return
	}
	r := response{status: cn.resp.status, retry: cn.resp.retry}
	cn.bill.Store(nil)
	if cn.book != nil {
		cn.book.Answered(cn.addr)
	}
	keep := cn.resp.keep && len(rest) == 0
	cn.call = nil
	what := answered
	if cn.sent.Load() < cn.size.Load() {
		what, keep = early, false
	}
	cn.mu.Unlock()
	if keep {
		cn.rest(c) // first, so that the next call finds it
	} else {
		_ = cn.nb.Close()
	}
	k.end(what, &r)
}

// rest keeps a connection for the next call, if there is room.
func (cn *conn) rest(c *Caller) {
	p := cn.pool
	cn.at = time.Now()
	p.mu.Lock()
	if cn.gone.Load() || len(p.idle) >= c.opt.IdlePerHost {
		p.mu.Unlock()
		_ = cn.nb.Close()
		return
	}
	p.idle = append(p.idle, cn)
	p.mu.Unlock()
}

// closed takes in the end of a connection.
func (cn *conn) closed() {
	cn.mu.Lock()
	k := cn.call
	cn.call = nil
	r := &cn.resp
	whole := k != nil && r.AtClose()
	final := response{status: r.status, retry: r.retry}
	cn.mu.Unlock()
	cn.leave()
	switch {
	case k == nil:
	case whole: // content that runs to the close is whole by it
		k.end(answered, &final)
	default:
		cn.hung(k.caller)
		k.end(lost, nil)
	}
}

// leave takes a connection that is gone out of its pool, once.
func (cn *conn) leave() {
	p := cn.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if cn.gone.Swap(true) {
		return
	}
	p.open--
	if i := slices.Index(p.idle, cn); i >= 0 {
		p.idle = slices.Delete(p.idle, i, i+1)
	}
}
