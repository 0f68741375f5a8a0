package partner

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"

	"basaltcross.example/basaltcross/internal/addr"
	"basaltcross.example/basaltcross/internal/secure"
)

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
	resp response
	// Since when it stands, how old it may get, since when it idles; under pool.mu.
	born, life, since time.Duration
	used              bool // carried a call
	// Bytes for the socket so far, and those of them that the kernel has.
	size, sent atomic.Int64
	bill       atomic.Pointer[bill]
	home       bill // of what no class is charged with
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
		cn.pool.give(cn) // first, so that the next call finds it
	} else {
		_ = cn.nb.Close()
	}
	k.end(what, &r)
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
