package partner

import (
	"fmt"
	"strconv"
	"sync"
	"time"

	"basaltcross.example/basaltcross/choice"
	"basaltcross.example/basaltcross/internal/core"
	"basaltcross.example/basaltcross/internal/lifecycle"
)

// call is one call to a host. It waits for a connection, is written, and ends.
type call struct {
	core.Call
	caller    *Caller
	pool      *pool
	began     time.Time
	dial      *dialing // set up for this call, nil if none was; under pool.mu
	mu        sync.Mutex
	conn      *conn
	state     lifecycle.Call
	writtenAt time.Duration // when it was written, on the Caller's clock; under conn.mu
}

// Send starts a call on an idle connection, or else on the first one that is established or becomes
// idle within the call's time-out. The call's End is called once, unless Abort or Recall ended the
// call before.
func (c *Caller) Send(in core.Call) core.Attempt {
	k := &call{Call: in, caller: c, began: time.Now()}
	k.pool = c.pool(in.Host, in.Partner)
	if cn := k.pool.acquire(k); cn != nil && !k.write(cn) {
		k.pool.release(cn)
	}
	return k
}

// write writes the request to the socket. It returns false if the call was already over, had another
// connection, or must wait.
func (k *call) write(cn *conn) bool {
	if k.pool.mustWait() {
		k.end(notTried, nil)
		return false
	}
	request := k.request() // a single write: the engine's Writev loses buffers after a partial write
	k.mu.Lock()
	may, late := k.state.MayWrite(time.Since(k.began), k.WriteWithin)
	if !may {
		k.mu.Unlock()
		if late { // past the window in which the host recognises a repeat: it might take effect again
			k.end(notTried, nil)
		}
		return false
	}
	cn.mu.Lock()
	if cn.removed.Load() || cn.call != nil {
		cn.mu.Unlock()
		k.mu.Unlock()
		_ = cn.sock.Close()
		k.end(closedUnsent, nil)
		return true
	}
	cn.call = k
	k.writtenAt = k.caller.now()
	cn.beginCall(k)
	cn.resp.reset(k.caller.opt.Limits)
	cn.resp.hook = k.caller.opt.Hook != nil
	cn.resp.keepContent = cn.resp.hook && (len(k.Items) > 0 || cn.state.Calls() > 1)
	if cn.tls == nil { // with TLS, each TLS record is counted when it is written
		cn.queued.Add(int64(len(request)))
	}
	cn.mu.Unlock()
	k.conn = cn
	cn.account.Store(&account{k.Class, k.Partner, k.Zone, k.BytesPassed})
	if t := k.caller.opt.Traffic; t != nil {
		t.Call(k.Class, k.Partner, k.Zone)
	}
	k.pool.callWritten(k)
	k.mu.Unlock()
	// From here on the response may arrive at any moment, on the connection's goroutine.
	if n, err := k.send(cn, request); err != nil {
		cn.drop(k)
		if n <= 0 { // nothing was sent before the error
			k.end(closedUnsent, nil)
		} else {
			k.end(cn.closeEvent(), nil)
		}
	}
	return true
}

// send writes a request, but nothing of it past the window in which the host recognises a repeat.
func (k *call) send(cn *conn, request []byte) (int, error) {
	if k.WriteWithin == 0 || cn.tls != nil {
		return cn.writer.Write(request)
	}
	return cn.sock.WriteBy(request, k.began.Add(k.WriteWithin))
}

func (k *call) request() []byte {
	if h := k.caller.opt.Hook; h != nil {
		return h.request(&k.Call, k.Timeout-time.Since(k.began))
	}
	return append(k.head(), k.Body...)
}

// head returns the request line and the header fields. Names and values come from the validated
// configuration, except the key and the identity, which are escaped.
func (k *call) head() []byte {
	t := &k.caller.opt.Targets[k.Partner]
	host := t.Host
	if host == "" {
		host = k.Host
	}
	b := make([]byte, 0, 256+len(t.Path)+len(host)+len(k.Key)+len(k.IdempotencyKey))
	b = append(append(append(b, "POST "...), t.Path...), " HTTP/1.1\r\nHost: "...)
	b = append(append(b, host...), "\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(k.Body)), 10)
	b = append(append(b, "\r\nVia: 1.1 "...), k.caller.opt.Name...)
	b = append(append(b, "\r\nMessage-Class: "...), k.caller.opt.Classes[k.Class]...)
	if k.IdempotencyKey != "" {
		b = appendValue(append(b, "\r\nIdempotency-Key: \""...), k.IdempotencyKey)
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

// appendValue appends text as a field value. Bytes that are not allowed in one, or in a quoted
// string, are written as %XX.
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

// end reports the outcome of the call, unless it has already ended.
func (k *call) end(ev event, r *response) { k.endWith(ev, r, lifecycle.Certain) }

// endWith is end for a call that was answered, with the attribution of its answer.
func (k *call) endWith(ev event, r *response, belief lifecycle.Attribution) {
	k.mu.Lock()
	first := k.state.MayEnd()
	k.mu.Unlock()
	if !first {
		return
	}
	k.pool.callEnded(k, ev)
	now := time.Now()
	e := k.ending(ev, r, now)
	e.Took = now.Sub(k.began)
	k.attribute(&e, r, belief)
	k.pool.heedWait(e.LongestWait())
	k.End(e)
}

// ending maps what happened to the call to the Ending for the core.
func (k *call) ending(ev event, r *response, now time.Time) (e core.Ending) {
	if r == nil {
		r = &response{}
	}
	if h := k.caller.opt.Hook; h != nil {
		return h.ending(ev, r, &k.Call)
	}
	e.Outcome, e.Wait = outcome(ev, r.status, r.retryAfter, k.caller.opt.Targets[k.Partner].RefusalNeverRan, now)
	return e
}

// attribute records in the Ending how certainly the answer is the call's own. In the platform's format a host does
// not run a call before it has received its last byte, so that an answer before that is another's and the call was
// not sent; a partner may act on part of a request. The call's own answer may be the one behind an answer that is not
// certain.
func (k *call) attribute(e *core.Ending, r *response, belief lifecycle.Attribution) {
	if belief == lifecycle.Unmatched && k.caller.opt.Hook != nil {
		*e = core.Ending{Outcome: choice.NotSent, Took: e.Took, Wait: e.Wait}
		return
	}
	e.Attribute(belief)
	if r != nil && r.endBehind {
		e.MarkOver()
	}
}

// Abort ends the call and closes its connection. If a status line has already said that the message has
// ended, the call ends by that, and Abort returns false for ok.
func (k *call) Abort() (started, ok bool) {
	k.mu.Lock()
	if cn := k.conn; cn != nil && !k.state.Ended() {
		if status, belief, decided := cn.sawEnd(k); decided {
			k.mu.Unlock()
			k.endWith(malformed, &response{firstStatus: status}, belief)
			cn.drop(k)
			return true, false
		}
	}
	first := k.state.MayEnd()
	cn, wrote := k.conn, k.state.Written()
	k.mu.Unlock()
	if !first {
		return wrote, false
	}
	if cn != nil {
		k.pool.callEnded(k, closedSent)
		cn.drop(k)
		cn.markHung(k.caller)
	} else {
		k.pool.callEnded(k, notTried)
	}
	return wrote, true
}

// AnswerPending reports whether bytes have arrived on the call's connection that are not processed yet.
func (k *call) AnswerPending() bool {
	k.mu.Lock()
	cn, ended := k.conn, k.state.Ended()
	k.mu.Unlock()
	return cn != nil && !ended && cn.sock.HasUnhandledBytes()
}

// takeBack ends the call, and closes its connection, if it was written and the kernel has taken nothing of it yet.
func (k *call) takeBack() {
	k.mu.Lock()
	cn := k.conn
	k.mu.Unlock()
	if cn != nil && cn.carries(k) && cn.sock.DropUnsent() {
		k.end(notTried, nil)
		cn.drop(k)
	}
}

// Recall ends the call unless it has been written.
func (k *call) Recall() bool {
	k.mu.Lock()
	recalled := !k.state.Written() && k.state.MayEnd()
	k.mu.Unlock()
	if !recalled {
		return false
	}
	k.pool.callEnded(k, notTried)
	return true
}
