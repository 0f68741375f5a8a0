package partner

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"basaltcross.example/basaltcross/internal/addr"
	"basaltcross.example/basaltcross/internal/engine"
	"basaltcross.example/basaltcross/internal/lifecycle"
	"basaltcross.example/basaltcross/internal/secure"
)

// conn is one connection; it carries one call at a time.
type conn struct {
	pool   *pool
	host   string
	number uint64 // of the caller's connections
	nb     *engine.Conn
	out    io.Writer
	sec    *secure.Conn // nil without TLS
	addr   addr.Address
	book   *addr.Book // nil where the endpoint has one address
	mu     sync.Mutex
	life   lifecycle.PeerConn
	call   *call
	tail   bool // the rest of an answer is still to come, its call has ended
	gone   atomic.Bool
	resp   response
	// Since when it stands, how old it may get, since when it idles; under pool.mu.
	born, lasts, since time.Duration
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
// a 200 in the platform's form, and how far that line is believed, whatever becomes of the rest.
func (cn *conn) told(k *call) (belief lifecycle.Belief, told bool) {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if cn.call != k || !cn.resp.hook || len(k.Several) > 0 || cn.resp.says != http.StatusOK {
		return lifecycle.Nobodys, false
	}
	return cn.believeLast(k), true
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
	for more := true; more; {
		cn.mu.Lock()
		switch k := cn.call; {
		case k != nil:
			b, more = cn.dataFor(k, b)
		case cn.tail:
			cn.dataBehind(b)
			more = false
		default:
			cn.mu.Unlock()
			cn.unasked(b)
			more = false
		}
	}
}

// dataBehind takes in the rest of an answer whose call has ended; it takes over mu.
func (cn *conn) dataBehind(b []byte) {
	rest, err := cn.resp.feed(b)
	whole := cn.resp.Done()
	keep := err == nil && whole && cn.resp.keep
	if whole || err != nil {
		cn.tail = false
	}
	cn.mu.Unlock()
	switch {
	case err == nil && len(rest) > 0:
		cn.unasked(rest)
	case keep:
		cn.pool.give(cn)
	case whole || err != nil:
		_ = cn.nb.Close()
	}
}

// dataFor takes in data while a call is out; it takes over mu. more tells that what is left of
// the data follows an answer that was not this call's.
func (cn *conn) dataFor(k *call, b []byte) (rest []byte, more bool) {
	rest, err := cn.resp.feed(b)
	r := cn.resp // what it says, not its parser, is used further
	if err != nil {
		cn.spoilt(k, &r)
		return nil, false
	}
	if !cn.resp.Done() {
		if r.hook && r.says == http.StatusOK && len(k.Several) == 0 && cn.written() {
			cn.saysAll(k, &r)
			return nil, false
		}
		cn.mu.Unlock()
		return nil, false
	}
	belief := cn.believe(k, len(rest) > 0)
	if belief == lifecycle.Nobodys {
		return cn.passOver(k, &r, rest)
	}
	how := cn.answered(k, belief)
	cn.bill.Store(nil)
	if cn.book != nil {
		cn.book.Answered(cn.addr)
	}
	cn.call = nil
	what, keep := answered, cn.resp.keep && belief != lifecycle.Doubtful
	if !cn.written() {
		what, keep = early, false
	}
	cn.mu.Unlock()
	switch {
	case len(rest) > 0:
		cn.unasked(rest)
	case keep:
		cn.pool.give(cn) // first, so that the next call finds it
	default:
		_ = cn.nb.Close() // what is not confirmed is told with the end of the connection
	}
	k.endBelieved(what, &r, how)
	return nil, false
}

// spoilt ends a call whose answer is none; it takes over mu.
func (cn *conn) spoilt(k *call, r *response) {
	belief := cn.believeLast(k)
	cn.call = nil
	cn.mu.Unlock()
	_ = cn.nb.Close()
	k.endBelieved(nonsense, r, believed{belief: belief})
}

// saysAll ends a call by the first line of its answer; the rest is read without it. It takes over mu.
func (cn *conn) saysAll(k *call, r *response) {
	belief := cn.believeLast(k)
	how := cn.answered(k, belief)
	cn.call, cn.tail = nil, true
	cn.mu.Unlock()
	cn.finish()
	k.endBelieved(nonsense, r, how)
}

// passOver leaves an answer that is not the call's own. One that names other messages is skipped,
// for the call's own names its messages as well; behind one that came before the call was written
// nothing can be told apart. It takes over mu.
func (cn *conn) passOver(k *call, r *response, rest []byte) (left []byte, more bool) {
	c := cn.pool.c
	now := c.now()
	if !cn.written() {
		cn.call = nil
		cn.mu.Unlock()
		_ = cn.nb.Close()
		k.endBelieved(early, r, believed{belief: lifecycle.Nobodys})
		return nil, false
	}
	doubted := cn.life.Retract(now)
	cn.resp.reset(c.opt.Limits)
	cn.resp.hook, cn.resp.keeps = true, true
	cn.mu.Unlock()
	cn.broke(now, 0, doubted)
	return rest, len(rest) > 0
}

// closed takes in the end of a connection.
func (cn *conn) closed() {
	cn.mu.Lock()
	k := cn.call
	cn.call = nil
	r := &cn.resp
	whole := k != nil && r.AtClose()
	final := *r
	belief := lifecycle.Own
	if k != nil && final.says != 0 {
		belief = cn.believeLast(k)
	}
	doubted := cn.retracted()
	cn.life.Closed()
	cn.mu.Unlock()
	cn.leave()
	tellAll(doubted)
	switch {
	case k == nil:
	case whole: // content that runs to the close is whole by it
		k.endBelieved(answered, &final, believed{belief: belief})
	default:
		if final.hook && final.says == http.StatusOK && len(k.Several) == 0 {
			k.endBelieved(nonsense, &final, believed{belief: belief})
			return
		}
		cn.hung(k.caller)
		k.end(cn.lost(), nil)
	}
}
