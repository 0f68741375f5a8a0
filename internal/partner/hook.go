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
	"basaltcross.example/basaltcross/internal/lifecycle"
)

// Hook is the platform's call format, which replaces Targets: POST /hook with one message, POST
// /hook/batch with several.
type Hook struct {
	Host    string   // value of the Host field
	Columns []string // keys of the load report in responses, in order; nil for none
}

// Header fields of the platform's requests and responses.
const (
	fieldID        = "X-Txn"
	fieldRemaining = "X-Remaining-Ms"
	fieldWait      = "X-RateLimit-Wait-Ms"
	fieldSlots     = "X-Over-Slots"
	fieldReport    = "X-Pressure"
)

// item is one message of a call that carries several. Its body is encoded in Base64.
type item struct {
	ID   string `json:"id"`
	Key  string `json:"key"`
	Body []byte `json:"body"`
}

// request returns a complete request. Names and keys were validated when the message was received.
func (h *Hook) request(c *core.Call, left time.Duration) []byte {
	path, body := "/hook", c.Body
	if len(c.Items) > 0 {
		items := make([]item, len(c.Items))
		for i, m := range c.Items {
			items[i] = item{m.Identity, m.Key, m.Body}
			if key := idempotencyKey(m.Head); key != "" {
				items[i].Key = key
			}
			if m.Body == nil {
				items[i].Body = []byte{}
			}
		}
		path = "/hook/batch"
		body, _ = json.Marshal(items) // cannot fail for strings and bytes
	}
	b := make([]byte, 0, 256+len(body))
	b = append(append(append(b, "POST "...), path...), " HTTP/1.1\r\nHost: "...)
	b = append(b, h.Host...)
	if len(c.Items) == 0 {
		b = append(append(b, "\r\n"+fieldID+": "...), c.Identity...)
	}
	b = strconv.AppendInt(append(b, "\r\n"+fieldRemaining+": "...), max(1, left.Milliseconds()), 10)
	b = strconv.AppendInt(append(b, "\r\nContent-Length: "...), int64(len(body)), 10)
	b = append(b, "\r\n"...)
	if len(c.Items) == 0 {
		b = append(b, c.Head...)
	}
	return append(append(b, "\r\n"...), body...)
}

// idempotencyKey returns the value of the Idempotency-Key field among header lines.
func idempotencyKey(head []byte) string {
	for line := range strings.SplitSeq(string(head), "\r\n") {
		if name, value, _ := strings.Cut(line, ":"); strings.EqualFold(name, "Idempotency-Key") {
			return strings.TrimSpace(value)
		}
	}
	return ""
}

// ending maps what happened on a socket to the Ending of a call in the platform's format.
//
//	event          status                outcome         reason
//	noConnection   -                     NoConnection    no connection was established
//	notTried       -                     NotSent         says nothing about the host
//	closedUnsent   -                     NoConnection    no byte of the call reached the kernel
//	closedPartial  -                     NoConnection    a call runs once its last byte has arrived,
//	                                                     and that was not written
//	closedSent     -                     Reset           it may have run
//	malformed      status line 200, one  Served          for one message the status line counts,
//	                                                     whatever follows it
//	malformed      status line 410, 504, Error           Over or Spent, but not proved: the rest is missing
//	               one
//	malformed      any other             Error           a server answered; it has run, or may have
//	answered       200, one              Served
//	answered       200, several          one for each    as the content says; a message that it does not
//	                                                     name may have run: Error
//	answered       429                   Refused         it has not run; wait as announced, or 0
//	answered       503, over slots       NotSent         all slots of this relay were in use; says nothing
//	                                                     about the host
//	answered       503                   Refused         it has not run
//	answered       504                   NotSent         Spent; its notice is still due
//	answered       410                   NotSent         Over; it was withdrawn or has expired; no notice is due
//	answered       400, 413, several     NotSent         none of them has run; the fault is this relay's
//	answered       any other             Error           it may have run
//
// answeredEarly, a complete response before the call was written, counts as answered. A wait that
// any of the responses announces is applied.
func (h *Hook) ending(ev event, r *response, c *core.Call) core.Ending {
	several := len(c.Items) > 0
	switch ev {
	case notTried:
		return core.Ending{Outcome: choice.NotSent}
	case noConnection, closedUnsent, closedPartial:
		return core.Ending{Outcome: choice.NoConnection}
	case closedSent:
		return core.Ending{Outcome: choice.Reset}
	case malformed:
		return firstLineEnding(r.firstStatus, several)
	}
	e := core.Ending{Outcome: choice.Error, Wait: parseWaitMs(r.wait), LoadReport: h.parseReport(r.loadReport)}
	switch r.status {
	case http.StatusOK:
		if e.Outcome = choice.Served; several {
			h.readEach(&e, r.content, c)
		}
	case http.StatusTooManyRequests:
		e.Outcome = choice.Refused
	case http.StatusServiceUnavailable:
		if e.Outcome = choice.Refused; r.overSlots {
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

// firstLineEnding maps a response of which only the first line is known to the Ending of its call.
func firstLineEnding(status int, several bool) core.Ending {
	e := core.Ending{Outcome: choice.Error}
	switch {
	case several:
	case status == http.StatusOK:
		e.Outcome = choice.Served
	case endsMessage(status):
		e.Over, e.Spent = status == http.StatusGone, status == http.StatusGatewayTimeout
		e.Attribution = lifecycle.Likely
	}
	return e
}

// endsMessage reports whether a status says that the message has ended, so that no further call of it may begin.
func endsMessage(status int) bool {
	return status == http.StatusOK || status == http.StatusGone || status == http.StatusGatewayTimeout
}

// readEach sets the outcome of each message in a call that carried several.
func (h *Hook) readEach(e *core.Ending, content []byte, c *core.Call) {
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
	e.Each = make([]core.Ending, len(c.Items))
	for i, m := range c.Items {
		x := core.Ending{Outcome: choice.Error, Wait: e.Wait, LoadReport: e.LoadReport}
		switch states[m.Identity] {
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

// parseWaitMs parses a wait in milliseconds; an invalid one counts as none.
func parseWaitMs(v string) time.Duration {
	ms, err := strconv.ParseFloat(v, 64)
	if v == "" || err != nil || !(ms > 0) {
		return 0
	}
	if ms > float64(maxWait.Milliseconds()) {
		return maxWait
	}
	return time.Duration(math.Ceil(ms * float64(time.Millisecond)))
}

// parseReport parses a load report; an invalid one counts as none.
func (h *Hook) parseReport(v string) []float64 {
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

// hookField handles one header field of the platform's format.
func (r *response) hookField(name, value string) {
	switch {
	case strings.EqualFold(name, fieldWait):
		r.wait = value
	case strings.EqualFold(name, fieldSlots):
		r.overSlots = value == "1"
	case strings.EqualFold(name, fieldReport):
		r.loadReport = value
	}
}
