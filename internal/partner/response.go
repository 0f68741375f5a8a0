package partner

import (
	"strconv"
	"strings"

	"basaltcross.example/basaltcross/internal/http1"
)

// response is what is kept of one response while it is parsed; its content is
// counted and dropped.
type response struct {
	http1.Parser
	status  int
	says    int    // status of the first line of the answer, also of one that is spoilt; 0 if there is none yet
	retry   string // Retry-After
	hook    bool   // in the platform's form
	wait    string // of that: told wait, its load report, whether all slots were taken
	report  string
	slots   bool
	keeps   bool // content is kept
	content []byte
	keep    bool // the connection may carry a further call
	old     bool // HTTP/1.0
}

func (r *response) reset(l http1.Limits) {
	r.Parser.Prefix = "HTTP/"
	r.Parser.Reset(l)
	*r = response{Parser: r.Parser}
}

func (r *response) feed(b []byte) (rest []byte, err error) {
	rest, err = r.Feed(b, r)
	if line, whole := r.FirstLine(); whole && (err != nil || !r.InContent() && !r.Done()) {
		r.says = 0
		if version, code, _ := strings.Cut(line, " "); version == "HTTP/1.1" || version == "HTTP/1.0" {
			code, _, _ = strings.Cut(strings.TrimSpace(code), " ")
			r.says, _ = strconv.Atoi(code)
		}
	}
	return rest, err
}

// Start takes the status line.
func (r *response) Start(line string) error {
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	if version != "HTTP/1.1" && version != "HTTP/1.0" {
		return http1.Malformed("version %.20q", version)
	}
	status, err := strconv.Atoi(code)
	if err != nil || len(code) != 3 || status < 100 || status > 599 {
		return http1.Malformed("status %.20q", code)
	}
	r.status, r.says, r.retry = status, status, ""
	r.wait, r.report, r.slots = "", "", false
	r.old = version == "HTTP/1.0"
	r.keep = !r.old
	return nil
}

// Field takes one header field.
func (r *response) Field(name, value string) error {
	switch {
	case strings.EqualFold(name, "connection"):
		r.keep = r.keep && !http1.Closes(value)
	case strings.EqualFold(name, "retry-after"):
		r.retry = value
	case r.hook && len(name) > 2 && (name[0] == 'X' || name[0] == 'x'):
		r.hookField(name, value)
	case r.old && strings.EqualFold(name, "transfer-encoding"):
		return http1.Malformed("Transfer-Encoding in HTTP/1.0")
	}
	return nil
}

// Head tells how the content is delimited (RFC 9112, 6.3).
func (r *response) Head() (http1.Framing, error) {
	switch {
	case r.status == 101:
		return 0, http1.Malformed("101 without a request to upgrade")
	case r.status < 200:
		return http1.Interim, nil
	case r.status == 204 || r.status == 304:
		return http1.NoContent, nil
	}
	return http1.ToClose, nil
}

// Content keeps or drops a piece.
func (r *response) Content(b []byte) error {
	if r.keeps {
		r.content = append(r.content, b...)
	}
	return nil
}
