package partner

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"basaltcross.example/basaltcross/internal/addr"
	"basaltcross.example/basaltcross/internal/engine"
	"basaltcross.example/basaltcross/internal/lifecycle"
	"basaltcross.example/basaltcross/internal/secure"
)

// conn is one connection. It carries one call at a time.
type conn struct {
	pool        *pool
	host        string
	number      uint64 // sequence number among the Caller's connections
	sock        *engine.Conn
	writer      io.Writer
	tls         *secure.Conn // nil without TLS
	addr        addr.Address
	selector    *addr.Selector // nil for an endpoint that is its own address
	mu          sync.Mutex
	state       lifecycle.PeerConn
	call        *call
	readingRest bool        // the call has ended, the rest of its response is still to be read
	removed     atomic.Bool // it has left its pool
	resp        response
	// Time when it was established, age limit, and time when it became idle; under pool.mu.
	established, maxAge, idleSince time.Duration
	// Bytes handed to the socket so far, and those of them that the kernel has accepted.
	queued, sent   atomic.Int64
	account        atomic.Pointer[account]
	defaultAccount account // account of bytes that belong to no call
}

// drop detaches k from the connection and closes it.
func (cn *conn) drop(k *call) {
	cn.mu.Lock()
	if cn.call == k {
		cn.call = nil
	}
	cn.mu.Unlock()
	_ = cn.sock.Close()
}

// sawEnd reports whether the first line of the response to k says that its message has ended, and returns
// that status and its attribution. What follows the line is not considered.
func (cn *conn) sawEnd(k *call) (status int, belief lifecycle.Attribution, ok bool) {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if cn.call != k || !cn.resp.firstLineEnds(k) {
		return 0, lifecycle.Unmatched, false
	}
	return cn.resp.firstStatus, cn.attributeLast(k), true
}

// firstLineEnds reports whether the first line of the response to a call with a single message, in the platform's
// format, says that the message has ended.
func (r *response) firstLineEnds(k *call) bool {
	return r.hook && len(k.Items) == 0 && endsMessage(r.firstStatus)
}

// closeEvent returns the event that ends a call whose connection broke.
func (cn *conn) closeEvent() event {
	if cn.tls == nil && cn.sent.Load() < cn.queued.Load() {
		return closedPartial
	}
	return closedSent
}

// restTimeout is how long the rest of a response may take after its status line ended the call. If
// it arrives by then, the connection may be reused.
const restTimeout = 200 * time.Millisecond

// boundRest closes the connection unless the rest of the response arrives within restTimeout.
func (cn *conn) boundRest() {
	time.AfterFunc(restTimeout, func() {
		cn.mu.Lock()
		late := cn.readingRest && cn.call == nil
		cn.mu.Unlock()
		if late {
			_ = cn.sock.Close()
		}
	})
}

// Data handles bytes read from the socket.
func (cn *conn) Data(b []byte) {
	c := cn.pool.caller
	c.count(cn, len(b), false)
	if cn.tls != nil {
		cn.tls.Data(b)
	} else {
		cn.handleData(c, b)
	}
}

// Closed handles the end of the connection.
func (cn *conn) Closed() {
	if cn.tls != nil {
		cn.tls.End()
	}
	cn.handleClose()
}

// handleData handles decrypted bytes. It runs on the connection's goroutine.
func (cn *conn) handleData(c *Caller, b []byte) {
	for more := true; more; {
		cn.mu.Lock()
		switch k := cn.call; {
		case k != nil:
			b, more = cn.readResponse(k, b)
		case cn.readingRest:
			cn.readRest(b)
			more = false
		default:
			cn.mu.Unlock()
			cn.unsolicited(b)
			more = false
		}
	}
}

// readRest reads the rest of a response whose call has ended. It is called with cn.mu held and
// unlocks it.
func (cn *conn) readRest(b []byte) {
	rest, err := cn.resp.feed(b)
	whole := cn.resp.Done()
	keep := err == nil && whole && cn.resp.reusable
	if whole || err != nil {
		cn.readingRest = false
		cn.state.AnswerCompleted(cn.resp.digest())
		cn.resp.forget()
	}
	cn.mu.Unlock()
	switch {
	case err == nil && len(rest) > 0:
		cn.unsolicited(rest)
	case keep:
		cn.pool.release(cn)
	case whole || err != nil:
		_ = cn.sock.Close()
	}
}

// readResponse reads the response to k. more reports whether rest follows a response that was not
// k's. It is called with cn.mu held and unlocks it.
func (cn *conn) readResponse(k *call, b []byte) (rest []byte, more bool) {
	rest, err := cn.resp.feed(b)
	r := cn.resp // a copy: its fields are used below, its parser is not
	if err != nil {
		cn.endMalformed(k, &r)
		return nil, false
	}
	if !cn.resp.Done() {
		if cn.endsAtStatusLine(k) {
			cn.endAtStatusLine(k, &r)
			return nil, false
		}
		cn.mu.Unlock()
		return nil, false
	}
	belief := cn.attribute(k, len(rest) > 0)
	if belief == lifecycle.Unmatched {
		return cn.skipForeign(k, &r, rest)
	}
	r.endBehind = belief != lifecycle.Certain && cn.pool.caller.anyEndsMessage(rest)
	cn.recordAnswer(k, belief)
	cn.account.Store(nil)
	if cn.selector != nil {
		cn.selector.Answered(cn.addr)
	}
	cn.call = nil
	ev, keep := answered, cn.resp.mayCarryOn(k, belief)
	if !cn.allSent() {
		ev, keep = answeredEarly, false
	}
	cn.resp.forget() // r has what the end of the call needs
	cn.mu.Unlock()
	switch {
	case len(rest) > 0:
		cn.unsolicited(rest)
	case keep:
		cn.pool.release(cn) // before the call ends, so that the next call finds the connection
	default:
		_ = cn.sock.Close() // unconfirmed answers are retracted when the connection has closed
	}
	k.endWith(ev, &r, belief)
	return nil, false
}

// endMalformed ends a call whose response is malformed. It is called with cn.mu held and unlocks
// it.
func (cn *conn) endMalformed(k *call, r *response) {
	belief := cn.attributeLast(k)
	cn.call = nil
	cn.mu.Unlock()
	_ = cn.sock.Close()
	k.endWith(malformed, r, belief)
}

// endAtStatusLine ends a call by the status line of its response, the rest of which is read without
// the call. It is called with cn.mu held and unlocks it.
func (cn *conn) endAtStatusLine(k *call, r *response) {
	belief := cn.attributeLast(k)
	cn.recordAnswer(k, belief)
	cn.call, cn.readingRest = nil, true
	cn.mu.Unlock()
	cn.boundRest()
	k.endWith(malformed, r, belief)
}

// skipForeign handles a response that is not the call's own. A response that names other messages
// is skipped: the call's own response names its messages too, and may still come. After a response
// that was received before the call was written, it would be impossible to tell which response is
// the call's own, so the call ends. skipForeign is called with cn.mu held and unlocks it.
func (cn *conn) skipForeign(k *call, r *response, rest []byte) (left []byte, more bool) {
	c := cn.pool.caller
	now := c.now()
	if !cn.allSent() {
		cn.call = nil
		cn.mu.Unlock()
		_ = cn.sock.Close()
		k.endWith(answeredEarly, r, lifecycle.Unmatched)
		return nil, false
	}
	doubted := cn.state.Retract(now)
	cn.resp.reset(c.opt.Limits)
	cn.resp.hook, cn.resp.keepContent = true, true
	cn.mu.Unlock()
	cn.distrust(now, 0, doubted)
	return rest, len(rest) > 0
}

// handleClose handles the end of the connection.
func (cn *conn) handleClose() {
	cn.mu.Lock()
	k := cn.call
	cn.call = nil
	r := &cn.resp
	whole := k != nil && r.CompleteAtClose()
	final := *r
	belief := lifecycle.Certain
	if k != nil && final.firstStatus != 0 {
		belief = cn.attributeLast(k)
	}
	doubted := cn.doubtedAtClose()
	cn.state.Closed()
	cn.mu.Unlock()
	cn.removeFromPool()
	notifyAll(doubted)
	switch {
	case k == nil:
	case whole: // content delimited by the close is complete now
		k.endWith(answered, &final, belief)
	default:
		if final.firstLineEnds(k) {
			k.endWith(malformed, &final, belief)
			return
		}
		cn.markHung(k.caller)
		k.end(cn.closeEvent(), nil)
	}
}
