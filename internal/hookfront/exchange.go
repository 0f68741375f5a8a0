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

// exchange is one hand-in; the core tells it what becomes of the message.
type exchange struct {
	conn    *conn // nil for a message of an earlier run
	front   *Front
	id      string
	decided bool
	answer  ledger.Answer // given before that
}

// Owe is the reply of a message of an earlier run.
func (f *Front) Owe(identity string) core.Reply {
	return &exchange{front: f, id: identity, decided: true}
}

// Taken hears whether the core took the message.
func (x *exchange) Taken(err error) {
	if err == nil {
		return
	}
	status := http.StatusServiceUnavailable
	if errors.Is(err, core.ErrDuplicate) {
		status = http.StatusConflict
	}
	x.respond(func(c *conn) { c.say(status, "%v", err) })
}

// Answer is the final one: told to the client while it waits, to the platform later.
func (x *exchange) Answer(a ledger.Answer) {
	if !x.decided {
		x.answer = a
		return
	}
	if a.Verdict == ledger.Refused || a.Verdict == ledger.Failed {
		x.of().opt.Notices.Add(x.id, a)
	}
}

func (x *exchange) of() *Front {
	if x.conn != nil {
		return x.conn.front
	}
	return x.front
}

// Decided: the step that took the message is over.
func (x *exchange) Decided() {
	x.decided = true
	f := x.of()
	switch x.answer.Verdict {
	case ledger.Refused:
		f.counts.Refused.Add(1)
		x.respond(func(c *conn) { c.write(http.StatusTooManyRequests, retryAfter(x.answer.RetryAfter), "") })
	case ledger.Failed:
		f.counts.Failed.Add(1)
		x.respond(func(c *conn) { c.write(http.StatusInternalServerError, "", "") })
	case ledger.Abandoned:
		return
	default:
		f.counts.Taken.Add(1)
		x.respond(func(c *conn) {
			c.write(http.StatusAccepted, "", "")
		})
		return
	}
	if f.opt.Keeper != nil {
		f.opt.Keeper.Handed(x.id)
	}
	f.opt.Door.Settled(x.id)
}

// Undecided: a record of what was decided cannot be written in time, or before the process ends.
func (x *exchange) Undecided(held bool) {
	x.decided = true
	x.respond(func(c *conn) {
		if held {
			x.of().counts.Taken.Add(1)
			c.write(http.StatusAccepted, "", "")
			return
		}
		c.say(http.StatusServiceUnavailable, "nothing can be recorded")
	})
}

// retryAfter is that field, in seconds with milliseconds.
func retryAfter(d time.Duration) string {
	if d <= 0 {
		return ""
	}
	return "Retry-After: " + strconv.FormatFloat(math.Ceil(d.Seconds()*1e3)/1e3, 'f', -1, 64) + "\r\n"
}

// respond answers if the client still waits.
func (x *exchange) respond(do func(*conn)) {
	c := x.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == x {
		c.open = nil
		do(c)
	}
}
