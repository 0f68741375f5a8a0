package hookfront

import (
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"basaltcross.example/basaltcross/internal/core"
	"basaltcross.example/basaltcross/internal/ledger"
)

// handIn is one hand-in, to which the core reports what becomes of its message.
type handIn struct {
	conn    *conn // nil for a message from before a restart
	front   *Front
	id      string
	decided bool          // the step that accepted the message is over
	answer  ledger.Answer // answer given within that step, if any
}

// Owe returns the core.Reply of a message from before a restart.
func (f *Front) Owe(identity string) core.Reply {
	return &handIn{front: f, id: identity, decided: true}
}

// Taken receives the core's decision whether the message was accepted.
func (x *handIn) Taken(err error) {
	if err == nil {
		return
	}
	status := http.StatusServiceUnavailable
	if errors.Is(err, core.ErrDuplicate) {
		status = http.StatusConflict
	}
	x.ifWaiting(func(c *conn) { c.writeError(status, "%v", err) })
}

// Answer receives the final answer. Within the step that accepts the message it becomes the
// response to the client; later it becomes a notice.
func (x *handIn) Answer(a ledger.Answer) {
	if !x.decided {
		x.answer = a
		return
	}
	if a.Verdict == ledger.Refused || a.Verdict == ledger.Failed {
		x.owner().opt.Notices.Add(x.id, a)
	}
}

func (x *handIn) owner() *Front {
	if x.conn != nil {
		return x.conn.front
	}
	return x.front
}

// Decided sends the response when the step that accepted the message is over.
func (x *handIn) Decided() {
	x.decided = true
	f := x.owner()
	switch x.answer.Verdict {
	case ledger.Refused:
		f.counts.Refused.Add(1)
		x.ifWaiting(func(c *conn) { c.writeResponse(http.StatusTooManyRequests, retryAfter(x.answer.RetryAfter), "") })
	case ledger.Failed:
		f.counts.Failed.Add(1)
		x.ifWaiting(func(c *conn) { c.writeResponse(http.StatusInternalServerError, "", "") })
	case ledger.Abandoned:
		return
	default:
		f.counts.Taken.Add(1)
		x.ifWaiting(func(c *conn) {
			c.writeResponse(http.StatusAccepted, "", "")
		})
		return
	}
	if f.opt.Journal != nil {
		f.opt.Journal.Handed(x.id)
	}
	f.opt.Core.Settled(x.id)
}

// Undecided sends the response when a record of the decision cannot be written in time, or before
// the process ends. held states whether the message survives a restart.
func (x *handIn) Undecided(held bool) {
	x.decided = true
	x.ifWaiting(func(c *conn) {
		if held {
			x.owner().counts.Taken.Add(1)
			c.writeResponse(http.StatusAccepted, "", "")
			return
		}
		c.writeError(http.StatusServiceUnavailable, "nothing can be recorded")
	})
}

// retryAfter returns a Retry-After field in seconds, rounded up to milliseconds.
func retryAfter(d time.Duration) string {
	if d <= 0 {
		return ""
	}
	return "Retry-After: " + strconv.FormatFloat(math.Ceil(d.Seconds()*1e3)/1e3, 'f', -1, 64) + "\r\n"
}

// ifWaiting calls do if the client still waits for the response.
func (x *handIn) ifWaiting(do func(*conn)) {
	c := x.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == x {
		c.pending = nil
		do(c)
	}
}
