package partner

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"basaltcross.example/basaltcross/choice"
	"basaltcross.example/basaltcross/internal/core"
)

// Hook is the platform's form of calls, in place of Targets: POST /hook with one
// message, /hook/batch with several.
type Hook struct {
	Host    string   // Host field
	Columns []string // fields of a load report in answers; nil where they hold none
}

// Fields of the platform's calls and answers.
const (
	fieldID     = "X-Txn"
	fieldLeft   = "X-Remaining-Ms"
	fieldWait   = "X-RateLimit-Wait-Ms"
	fieldSlots  = "X-Over-Slots"
	fieldReport = "X-Pressure"
)

// item is one message of a call that carries several; its body goes in Base64.
type item struct {
	ID   string `json:"id"`
	Key  string `json:"key"`
	Body []byte `json:"body"`
}

// request writes a whole call. Ids and keys were checked when they came.
func (h *Hook) request(c *core.Call, left time.Duration) []byte {
	path, body := "/hook", c.Body
	if len(c.Several) > 0 {
		items := make([]item, len(c.Several))
		for i, m := range c.Several {
			items[i] = item{m.ID, m.Key, m.Body}
			if key := idempotencyKey(m.Head); key != "" {
				items[i].Key = key
			}
			if m.Body == nil {
				items[i].Body = []byte{}
			}
		}
		path = "/hook/batch"
		body, _ = json.Marshal(items) // of strings and bytes: it cannot fail
	}
	b := make([]byte, 0, 256+len(body))
	b = append(append(append(b, "POST "...), path...), " HTTP/1.1\r\nHost: "...)
	b = append(b, h.Host...)
	if len(c.Several) == 0 {
		b = append(append(b, "\r\n"+fieldID+": "...), c.Name...)
	}
	b = strconv.AppendInt(append(b, "\r\n"+fieldLeft+": "...), max(1, left.Milliseconds()), 10)
	b = strconv.AppendInt(append(b, "\r\nContent-Length: "...), int64(len(body)), 10)
	b = append(b, "\r\n"...)
	if len(c.Several) == 0 {
		b = append(b, c.Head...)
	}
	return append(append(b, "\r\n"...), body...)
}

// idempotencyKey is the value of that field among header lines.
func idempotencyKey(head []byte) string {
	for line := range strings.SplitSeq(string(head), "\r\n") {
		if name, value, _ := strings.Cut(line, ":"); strings.EqualFold(name, "Idempotency-Key") {
			return strings.TrimSpace(value)
		}
	}
	return ""
}

// ending is the one table from what happened on a socket to what the decision
// module is told, for the platform's calls.
//
//	seen          status               outcome          reason
//	noConnection  -                    NoConnection     it never came up
//	unready       -                    NotSent          nothing was tried: no word on the host
//	lostUnsent    -                    NoConnection     the kernel got no byte of the call
//	lostPart      -                    NoConnection     a call begins once its last byte has arrived, and that was not written
//	lost          -                    Reset            it may have run
//	nonsense      first line 200, one  Served           of one message that line is true, whatever follows
//	nonsense      any other            Error            somebody answered; it has run, or may have
//	answered      200, one             Served
//	answered      200, several         each its own     as the body says; what it does not name may have run: Error
//	answered      429                  Refused          it never ran; the wait is told, or 0
//	answered      503, over slots      NotSent          this relay had all its slots taken; no word on the host
//	answered      503                  Refused          it never ran
//	answered      504                  NotSent, spent   it has had all its attempts; its end is owed
//	answered      410                  NotSent, over    it is withdrawn or out of time; nothing is owed
//	answered      400, 413, several    NotSent          none of them has run; the relay's own fault
//	answered      any other            Error            it may have run
//
// An early answer, whole before the call was written, is an answer. A wait told
// with any of them is heeded.
func (h *Hook) ending(s seen, r *response, c *core.Call) core.Ending {
	several := len(c.Several) > 0
	switch s {
	case unready:
		return core.Ending{Outcome: choice.NotSent}
	case noConnection, lostUnsent, lostPart:
		return core.Ending{Outcome: choice.NoConnection}
	case lost:
		return core.Ending{Outcome: choice.Reset}
	case nonsense:
		if r.says == http.StatusOK && !several {
			return core.Ending{Outcome: choice.Served}
		}
		return core.Ending{Outcome: choice.Error}
	}
	e := core.Ending{Outcome: choice.Error, Wait: waitMs(r.wait), Report: h.report(r.report)}
	switch r.status {
	case http.StatusOK:
		if e.Outcome = choice.Served; several {
			h.each(&e, r.content, c)
		}
	case http.StatusTooManyRequests:
		e.Outcome = choice.Refused
	case http.StatusServiceUnavailable:
		if e.Outcome = choice.Refused; r.slots {
			e.Outcome = choice.NotSent
		}
	case http.StatusGatewayTimeout:
		e.Outcome, e.Spent = choice.NotSent, true
	case http.StatusGone:
		e.Outcome, e.Over = choice.NotSent, true
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		if several {
			e.Outcome = choice.NotSent
		}
	}
	return e
}

// each reads the ends of the messages in a call that carried several.
func (h *Hook) each(e *core.Ending, content []byte, c *core.Call) {
	var ends []struct {
		ID    string `json:"id"`
		State string `json:"state"`
	}
	if json.Unmarshal(content, &ends) != nil {
		ends = nil
	}
	states := make(map[string]string, len(ends))
	for _, x := range ends {
		states[x.ID] = x.State
	}
	e.Each = make([]core.Ending, len(c.Several))
	for i, m := range c.Several {
		x := core.Ending{Outcome: choice.Error, Wait: e.Wait, Report: e.Report}
		switch states[m.ID] {
		case "delivered":
			x.Outcome = choice.Served
		case "refused":
			x.Outcome = choice.Refused
		case "over":
			x.Outcome, x.Over = choice.NotSent, true
		case "spent":
			x.Outcome, x.Spent = choice.NotSent, true
		}
		e.Each[i] = x
	}
}

// waitMs reads a told wait; what cannot be read is none.
func waitMs(v string) time.Duration {
	ms, err := strconv.ParseFloat(v, 64)
	if v == "" || err != nil || !(ms > 0) {
		return 0
	}
	if ms > float64(longestWait.Milliseconds()) {
		return longestWait
	}
	return time.Duration(math.Ceil(ms * float64(time.Millisecond)))
}

// report reads a load report; one that cannot be read is none.
func (h *Hook) report(v string) []float64 {
	if len(h.Columns) == 0 || v == "" {
		return nil
	}
	var by map[string]float64
	if json.Unmarshal([]byte(v), &by) != nil {
		return nil
	}
	row := make([]float64, len(h.Columns))
	for i, name := range h.Columns {
		x, ok := by[name]
		if !ok || x < 0 {
			return nil
		}
		row[i] = x
	}
	return row
}

// field takes one header field of an answer.
func (r *response) hookField(name, value string) {
	switch {
	case strings.EqualFold(name, fieldWait):
		r.wait = value
	case strings.EqualFold(name, fieldSlots):
		r.slots = value == "1"
	case strings.EqualFold(name, fieldReport):
		r.report = value
	}
}
