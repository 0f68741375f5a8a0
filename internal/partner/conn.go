package partner

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"basaltcross.example/basaltcross/internal/addr"
	"basaltcross.example/basaltcross/internal/engine"
	"basaltcross.example/basaltcross/internal/secure"
)

// conn is one connection; it carries one call at a time.
type conn struct {
	pool *pool
	host string
	nb   *engine.Conn
	out  io.Writer
	sec  *secure.Conn // nil without TLS
	addr addr.Address
	book *addr.Book // nil where the endpoint has one address
	mu   sync.Mutex
	call *call
	tail bool // the rest of an answer is still to come, its call has ended
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

// told tells whether the answer to a call that carries one message has begun with
// a 200 in the platform's form: that line is true, whatever becomes of the rest.
func (cn *conn) told(k *call) bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	return cn.call == k && cn.resp.hook && len(k.Several) == 0 && cn.resp.says == 200
}

// lost is how a call ends whose connection broke.
func (cn *conn) lost() seen {
	if cn.sec == nil && cn.sent.Load() < cn.size.Load() {
		return lostPart
	}
	return lost
}

// tailTime is how long the rest of an answer may take whose first line told all:
// within it the connection may still be used again.
const tailTime = 200 * time.Millisecond

// finish has the rest of an answer read without its call.
func (cn *conn) finish() {
	time.AfterFunc(tailTime, func() {
		cn.mu.Lock()
		late := cn.tail && cn.call == nil
		cn.mu.Unlock()
		if late {
			_ = cn.nb.Close()
		}
	})
}

// Data takes in what the socket gave.
func (cn *conn) Data(b []byte) {
	c := cn.pool.c
	c.count(cn, len(b), false)
	if cn.sec != nil {
		cn.sec.Data(b)
	} else {
		cn.data(c, b)
	}
}

// Closed takes in the end of the connection.
func (cn *conn) Closed() {
	if cn.sec != nil {
		cn.sec.End()
	}
	cn.closed()
}

// data takes in what the socket gave; it runs on the connection's goroutine.
func (cn *conn) data(c *Caller, b []byte) {
	cn.mu.Lock()
	k := cn.call
	if k == nil && cn.tail {
		rest, err := cn.resp.feed(b)
		whole := cn.resp.Done()
		keep := err == nil && whole && len(rest) == 0 && cn.resp.keep
		if whole || err != nil {
			cn.tail = false
		}
		cn.mu.Unlock()
		if keep {
			cn.pool.give(cn)
		} else if whole || err != nil {
			_ = cn.nb.Close()
		}
		return
	}
	if k == nil { // bytes without a request: not to be trusted further
		cn.mu.Unlock()
		if c.opt.Unsolicited != nil {
			c.opt.Unsolicited(cn.host)
		}
		_ = cn.nb.Close()
		return
	}
	rest, err := cn.resp.feed(b)
	r := cn.resp // what it says, not its parser, is used further
	if err != nil {
		cn.call = nil
		cn.mu.Unlock()
		_ = cn.nb.Close()
		k.end(nonsense, &r)
		return
	}
	if !cn.resp.Done() {
		if r.hook && r.says == 200 && len(k.Several) == 0 && cn.sent.Load() >= cn.size.Load() {
			cn.call, cn.tail = nil, true
			cn.mu.Unlock()
			cn.finish()
			k.end(nonsense, &r)
			return
		}
		cn.mu.Unlock()
		return
	}
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
	final := *r
	cn.mu.Unlock()
	cn.leave()
	switch {
	case k == nil:
	case whole: // content that runs to the close is whole by it
		k.end(answered, &final)
	default:
		if final.hook && final.says == 200 && len(k.Several) == 0 {
			k.end(nonsense, &final)
			return
		}
		cn.hung(k.caller)
		k.end(cn.lost(), nil)
	}
}
