package hookfront

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"basaltcross.example/basaltcross/internal/core"
	"basaltcross.example/basaltcross/internal/http1"
)

// parseHandIn builds a message from a hand-in. The error names the invalid field.
func (c *conn) parseHandIn() (*core.Message, error) {
	f, r := c.front, &c.req
	value := map[string]string{}
	for _, name := range [...]string{"X-Txn", "X-Lane", "X-Remaining-Ms", "X-Addressing"} {
		v, n := r.FirstAndCount(name)
		if n != 1 {
			return nil, fmt.Errorf("%s: %d fields, one is needed", name, n)
		}
		value[name] = v
	}
	id := value["X-Txn"]
	if len(id) > 128 || !http1.IsToken(id) {
		return nil, fmt.Errorf("X-Txn: %.40q is no id of at most 128 characters", id)
	}
	class, ok := f.opt.Classes[value["X-Lane"]]
	if !ok {
		return nil, fmt.Errorf("X-Lane: %.40q is no class", value["X-Lane"])
	}
	left, err := strconv.ParseUint(value["X-Remaining-Ms"], 10, 40)
	if err != nil || left == 0 {
		return nil, fmt.Errorf("X-Remaining-Ms: %.40q is no time in milliseconds", value["X-Remaining-Ms"])
	}
	dest, err := parseDestination(value["X-Addressing"])
	if err != nil {
		return nil, err
	}
	m := &core.Message{Source: c.name, Identity: id, Class: class, Partner: dest, RejectKnown: true,
		Left:          max(time.Duration(left)*time.Millisecond-c.readDelay, time.Millisecond),
		RespondWithin: c.respondWithin(), Front: Name, Body: r.Body}
	key, n := r.FirstAndCount(idempotencyField)
	if n > 1 || len(key) > 256 || strings.ContainsFunc(key, func(c rune) bool { return c < ' ' || c >= 0x7f }) {
		return nil, fmt.Errorf("%s: %d fields, %.40q; one of at most 256 visible characters may be there",
			idempotencyField, n, key)
	}
	if n == 1 { // the host recognizes a repeat by it
		m.Head = []byte(idempotencyField + ": " + key + "\r\n")
	}
	if f.opt.Ordered[class] {
		m.Key = strings.Clone(cookie(strings.Join(r.Values("Cookie"), "; "), "about")) // not the other cookies with it
		if m.ReturnPath = []byte(m.Key); len(m.Key) > 256 {
			return nil, errors.New("Cookie: the key is over 256 bytes")
		}
	}
	return m, nil
}

// shortReadDelay is a wait of a request that isn't worth a question to the system.
const shortReadDelay = 20 * time.Millisecond

// measureReadDelay returns how long the request that has just been read waited. The first request of a connection may
// have waited for the connection to be accepted as well. Where this process knows that it may have waited for long, the
// system tells; where that doesn't, and for later requests, the result is an upper bound on the time for which accepting
// or reading failed.
func (c *conn) measureReadDelay() time.Duration {
	delay := c.socket.ReadDelay()
	if !c.answeredOnce.Load() {
		atMost := c.queue.AtMost + time.Since(c.queue.AcceptedAt)
		if atMost <= shortReadDelay {
			return 0
		}
		if age, known := c.socket.DataAge(); known {
			return min(age, atMost)
		}
		delay += c.queue.Delayed
	}
	return min(delay, c.front.opt.RequestPause/2) // a client doesn't wait longer
}

// clientDeadline returns when the client of a request read now stops waiting; 0 if that is unknown.
func (c *conn) clientDeadline(now time.Duration) time.Duration {
	if c.front.opt.ClientTimeout == 0 {
		return 0
	}
	return now + c.front.opt.ClientTimeout - c.readDelay
}

// clientGaveUp reports whether the client of the request that was read has stopped waiting for the response by now.
func (c *conn) clientGaveUp() bool {
	return c.front.opt.ClientTimeout > 0 && c.readDelay >= c.front.opt.ClientTimeout
}

// respondWithin returns how soon the core must answer a hand-in; 0 for no limit.
func (c *conn) respondWithin() time.Duration {
	if c.front.opt.RespondWithin == 0 {
		return 0
	}
	return max(c.front.opt.RespondWithin-c.readDelay, time.Millisecond)
}

// idempotencyField is the field by which the hosts of some classes recognize a repeat. It is passed
// on unchanged with every attempt.
const idempotencyField = "Idempotency-Key"

// parseDestination finds dest=N among parameters.
func parseDestination(v string) (int, error) {
	for part := range strings.FieldsFuncSeq(v, func(r rune) bool { return r == ';' || r == ',' }) {
		name, n, _ := strings.Cut(strings.TrimSpace(part), "=")
		if name == "dest" {
			if d, err := strconv.ParseUint(strings.Trim(n, `"`), 10, 31); err == nil {
				return int(d), nil
			}
		}
	}
	return 0, fmt.Errorf("X-Addressing: %.40q names no dest", v)
}

// cookie returns the value of the cookie with the given name (RFC 6265, 4.2.1), empty for none.
func cookie(v, name string) string {
	for part := range strings.SplitSeq(v, ";") {
		if n, value, _ := strings.Cut(strings.TrimSpace(part), "="); n == name {
			return value
		}
	}
	return ""
}
