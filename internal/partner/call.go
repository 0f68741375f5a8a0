package partner

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"basaltcross.example/basaltcross/choice"
	"basaltcross.example/basaltcross/internal/core"
	"basaltcross.example/basaltcross/internal/lifecycle"
)

// call is one attempt. Its state goes from waiting for a connection to written
// to ended.
type call struct {
	core.Call
	caller *Caller
	pool   *pool
	began  time.Time
	dial   *dialing // begun for it, nil for none; under pool.mu
	mu     sync.Mutex
	conn   *conn
	life   lifecycle.Call
	wrote  time.Duration // when it went out, by the caller's clock; under conn.mu
}

// Send begins an attempt: on a kept connection, else on the first one that comes
// up or free, within the attempt's own time-out. Its End is called once unless
// Abort or Recall came first.
func (c *Caller) Send(in core.Call) core.Attempt {
	k := &call{Call: in, caller: c, began: time.Now()}
	k.pool = c.pool(in.Host, in.Partner)
	if cn := k.pool.take(k); cn != nil && !k.write(cn) {
		k.pool.give(cn)
	}
	return k
}

// write hands the request to the kernel; false if the attempt was ended, or got
// another connection, before this one came.
func (k *call) write(cn *conn) bool {
	request := k.request() // one write: the engine's Writev loses buffers after a partial one
	k.mu.Lock()
	may, late := k.life.MayWrite(time.Since(k.began), k.Within)
	if !may {
		k.mu.Unlock()
		if late { // a repeat might take effect again by now
			k.end(unready, nil)
		}
		return false
	}
	cn.mu.Lock()
	if cn.gone.Load() || cn.call != nil {
		cn.mu.Unlock()
		k.mu.Unlock()
		_ = cn.nb.Close()
		k.end(lostUnsent, nil)
		return true
	}
	cn.call = k
	k.wrote = k.caller.now()
	cn.begin(k)
	cn.resp.reset(k.caller.opt.Limits)
	cn.resp.hook = k.caller.opt.Hook != nil
	cn.resp.keeps = cn.resp.hook && (len(k.Several) > 0 || cn.life.Turn() > 1)
	if cn.sec == nil { // else the TLS layer counts its records
		cn.size.Add(int64(len(request)))
	}
	cn.mu.Unlock()
	k.conn = cn
	cn.bill.Store(&bill{k.Class, k.Partner, k.Zone, k.Passed})
	if t := k.caller.opt.Traffic; t != nil {
		t.Call(k.Class, k.Partner, k.Zone)
	}
	k.mu.Unlock()
	// From here on the answer may come at any moment, on the connection's goroutine.
	if n, err := k.send(cn, request); err != nil {
		cn.drop(k)
		if n <= 0 { // nothing went out before the error
			k.end(lostUnsent, nil)
		} else {
			k.end(cn.lost(), nil)
		}
	}
	return true
}

// send writes a request, and nothing of it once a repeat might take effect again.
func (k *call) send(cn *conn, request []byte) (int, error) {
	if k.Within == 0 || cn.sec != nil {
		return cn.out.Write(request)
	}
	return cn.nb.WriteBy(request, k.began.Add(k.Within))
}

func (k *call) request() []byte {
	if h := k.caller.opt.Hook; h != nil {
		return h.request(&k.Call, k.Patient-time.Since(k.began))
	}
	return append(k.head(), k.Body...)
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
func (k *call) end(s seen, r *response) { k.endBelieved(s, r, believed{belief: lifecycle.Own}) }

// endBelieved is end of an attempt that was answered, as far as the answer is believed.
func (k *call) endBelieved(s seen, r *response, how believed) {
	k.mu.Lock()
	first := k.life.MayEnd()
	k.mu.Unlock()
	if !first {
		return
	}
	k.pool.ended(k, s)
	now := time.Now()
	e := k.ending(s, r, now)
	e.Took = now.Sub(k.began)
	e.Unconfirmed, e.Unsettled = how.wait, how.unsettled
	k.disbelieve(&e, how.belief)
	k.End(e)
}

// ending reads what an attempt's end says.
func (k *call) ending(s seen, r *response, now time.Time) (e core.Ending) {
	if r == nil {
		r = &response{}
	}
	if h := k.caller.opt.Hook; h != nil {
		return h.ending(s, r, &k.Call)
	}
	e.Outcome, e.Wait = outcome(s, r.status, r.retry, k.caller.opt.Targets[k.Partner].Promises, now)
	return e
}

// disbelieve takes back what an answer says as far as it is not believed. A wait is heeded all the
// same: the answer may be the call's own. In the platform's form a call begins once its last byte has
// arrived; a partner may act on a part.
func (k *call) disbelieve(e *core.Ending, belief lifecycle.Belief) {
	instead := choice.Doubted
	switch belief {
	case lifecycle.Own, lifecycle.Likely:
		return
	case lifecycle.Nobodys:
		if k.caller.opt.Hook != nil {
			instead = choice.NotSent
		}
	case lifecycle.Doubtful:
	}
	*e = core.Ending{Outcome: instead, Took: e.Took, Wait: e.Wait}
}

// Abort ends an attempt; its connection is closed.
func (k *call) Abort() (started, ok bool) {
	k.mu.Lock()
	if cn := k.conn; cn != nil && !k.life.Ended() {
		if belief, told := cn.told(k); told {
			k.mu.Unlock()
			k.endBelieved(nonsense, &response{says: http.StatusOK}, believed{belief: belief})
			cn.drop(k)
			return true, false
		}
	}
	first := k.life.MayEnd()
	cn, wrote := k.conn, k.life.Written()
	k.mu.Unlock()
	if !first {
		return wrote, false
	}
	if cn != nil {
		k.pool.ended(k, lost)
		cn.drop(k)
		cn.hung(k.caller)
	} else {
		k.pool.ended(k, unready)
	}
	return wrote, true
}

// Recall ends an attempt that has not reached the kernel.
func (k *call) Recall() bool {
	k.mu.Lock()
	recalled := !k.life.Written() && k.life.MayEnd()
	k.mu.Unlock()
	if !recalled {
		return false
	}
	k.pool.ended(k, unready)
	return true
}
