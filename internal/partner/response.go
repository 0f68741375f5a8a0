package partner

import (
	"hash/maphash"
	"strconv"
	"strings"

	"basaltcross.example/basaltcross/internal/http1"
	"basaltcross.example/basaltcross/internal/lifecycle"
)

// digestSeed is the seed of all digests of responses.
var digestSeed = maphash.MakeSeed()

// response is the state of one response while it is parsed. Its content is discarded unless
// keepContent is set.
type response struct {
	http1.Parser
	status      int
	firstStatus int    // from the first line, also of a malformed response; 0 until that is read
	retryAfter  string // value of Retry-After
	hook        bool   // in the platform's format
	wait        string // platform's fields: announced wait, load report, all slots of this relay were in use
	loadReport  string
	overSlots   bool
	keepContent bool // keep the content
	content     []byte
	reusable    bool // the connection may carry another call
	endBehind   bool // a response behind this one says that a message has ended
	http10      bool // HTTP/1.0
	hash        maphash.Hash
	names       *messageMatch // see matchMessages; nil before
}

func (r *response) reset(l http1.Limits) {
	r.Parser.Prefix = "HTTP/"
	r.Parser.Reset(l)
	*r = response{Parser: r.Parser}
	r.hash.SetSeed(digestSeed)
}

// forget drops the texts of a response that has been handled, which share memory with its whole header and content.
func (r *response) forget() {
	r.content, r.wait, r.loadReport, r.retryAfter = nil, "", "", ""
}

// digest returns the digest of a complete response, from its status, fields and content; 0 if it is
// not complete.
func (r *response) digest() lifecycle.AnswerDigest {
	if !r.Done() {
		return 0
	}
	return lifecycle.AnswerDigest(r.hash.Sum64())
}

func (r *response) feed(b []byte) (rest []byte, err error) {
	rest, err = r.Feed(b, r)
	if line, whole := r.FirstLine(); whole && (err != nil || !r.InContent() && !r.Done()) {
		r.firstStatus = 0
		if version, code, _ := strings.Cut(line, " "); version == "HTTP/1.1" || version == "HTTP/1.0" {
			code, _, _ = strings.Cut(strings.TrimSpace(code), " ")
			r.firstStatus, _ = strconv.Atoi(code)
		}
	}
	return rest, err
}

// Start handles the status line.
func (r *response) Start(line string) error {
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	if version != "HTTP/1.1" && version != "HTTP/1.0" {
		return http1.Malformed("unsupported HTTP version %.20q", version)
	}
	status, err := strconv.Atoi(code)
	if err != nil || len(code) != 3 || status < 100 || status > 599 {
		return http1.Malformed("invalid status code %.20q", code)
	}
	r.status, r.firstStatus, r.retryAfter = status, status, ""
	r.wait, r.loadReport, r.overSlots = "", "", false
	r.http10 = version == "HTTP/1.0"
	r.reusable = !r.http10
	r.addToDigest(line)
	return nil
}

// addToDigest adds a text and a separator to the digest.
func (r *response) addToDigest(text string) {
	_, _ = r.hash.WriteString(text) // never fails
	_ = r.hash.WriteByte(0)
}

// Field handles one header field.
func (r *response) Field(name, value string) error {
	r.addToDigest(name)
	r.addToDigest(value)
	switch {
	case strings.EqualFold(name, "connection"):
		r.reusable = r.reusable && !http1.HasCloseOption(value)
	case strings.EqualFold(name, "retry-after"):
		r.retryAfter = value
	case r.hook && len(name) > 2 && (name[0] == 'X' || name[0] == 'x'):
		r.hookField(name, value)
	case r.http10 && strings.EqualFold(name, "transfer-encoding"):
		return http1.Malformed("Transfer-Encoding in HTTP/1.0")
	}
	return nil
}

// Head returns how the content is delimited (RFC 9112, 6.3).
func (r *response) Head() (http1.Framing, error) {
	switch {
	case r.status == 101:
		return 0, http1.Malformed("101 without a request to upgrade")
	case r.status < 200:
		return http1.Interim, nil
	case r.status == 204 || r.status == 304:
		return http1.NoContent, nil
	}
	return http1.UntilClose, nil
}

// Content keeps or discards a piece of the content.
func (r *response) Content(b []byte) error {
	_, _ = r.hash.Write(b) // never fails
	if r.keepContent {
		r.content = append(r.content, b...)
	}
	return nil
}
