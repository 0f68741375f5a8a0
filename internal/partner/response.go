package partner

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// ErrMalformed is wrapped by every complaint about a response.
var ErrMalformed = errors.New("malformed response")

// Limits bound what a response may take. Past one the connection is closed and
// the attempt ends as an error answered.
type Limits struct {
	Header int // bytes of status line and header fields, trailers and each chunk line
	Body   int // bytes of content; it is read and dropped
}

// most interim responses before the final one, and header fields of one.
const (
	mostInterim = 16
	mostFields  = 256
)

// response parses one HTTP/1.1 response (RFC 9112) from whatever pieces the
// socket gives. Content is counted and dropped.
type response struct {
	limits  Limits
	state   int
	line    []byte // head or chunk line read so far
	status  int
	retry   string // Retry-After
	keep    bool   // the connection may carry a further call
	left    int64  // content bytes still to come
	body    int64  // content bytes so far
	chunked bool
	toEnd   bool // content runs to the close
	interim int
	fields  int
}

// States of the parser.
const (
	inHead = iota
	inBody
	inChunkLine
	inChunk
	inChunkEnd
	inTrailer
	finished
)

func (r *response) reset(l Limits) { *r = response{limits: l, line: r.line[:0]} }

// began tells whether any byte of the response has come.
func (r *response) began() bool { return r.state != inHead || len(r.line) > 0 || r.interim > 0 }

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}

// feed takes bytes and returns those that follow the end of the response.
func (r *response) feed(b []byte) (rest []byte, err error) {
	for len(b) > 0 && r.state != finished {
		switch r.state {
		case inHead:
			if b, err = r.head(b); err != nil {
				return nil, err
			}
		case inBody, inChunk:
			n := int64(len(b))
			if !r.toEnd {
				n = min(n, r.left)
			}
			r.left -= n
			if r.body += n; r.body > int64(r.limits.Body) {
				return nil, malformed("content is over the limit of %d bytes", r.limits.Body)
			}
			b = b[n:]
			if r.left == 0 && !r.toEnd {
				if r.state == inBody {
					r.state = finished
				} else {
					r.state, r.line = inChunkEnd, r.line[:0]
				}
			}
		case inChunkLine, inChunkEnd, inTrailer:
			var line []byte
			var whole bool
			if line, b, whole, err = r.nextLine(b); err != nil {
				return nil, err
			}
			if whole {
				if err = r.chunk(line); err != nil {
					return nil, err
				}
			}
		}
	}
	return b, nil
}

// nextLine collects up to CRLF.
func (r *response) nextLine(b []byte) (line, rest []byte, whole bool, err error) {
	i := bytes.IndexByte(b, '\n')
	if i < 0 {
		r.line = append(r.line, b...)
		rest = nil
	} else {
		r.line, rest, whole = append(r.line, b[:i+1]...), b[i+1:], true
	}
	if len(r.line) > r.limits.Header {
		return nil, nil, false, malformed("a line of chunked content is over the limit of %d bytes", r.limits.Header)
	}
	if !whole {
		return nil, nil, false, nil
	}
	line = r.line
	r.line = r.line[:0]
	if !bytes.HasSuffix(line, []byte("\r\n")) {
		return nil, nil, false, malformed("a line of chunked content ends without CR")
	}
	return line[:len(line)-2], rest, true, nil
}

func (r *response) chunk(line []byte) error {
	switch r.state {
	case inChunkEnd:
		if len(line) > 0 {
			return malformed("chunk is longer than its size")
		}
		r.state = inChunkLine
	case inChunkLine:
		size, _, _ := bytes.Cut(line, []byte(";"))
		size = bytes.TrimRight(size, " \t")
		n, err := strconv.ParseUint(string(size), 16, 62)
		if err != nil || len(size) == 0 || size[0] == '+' {
			return malformed("chunk size %q", size)
		}
		r.left = int64(n)
		if r.state = inChunk; n == 0 {
			r.state = inTrailer
		}
	case inTrailer:
		if len(line) == 0 {
			r.state = finished
			return nil
		}
		if r.fields++; r.fields > mostFields {
			return malformed("over %d trailer fields", mostFields)
		}
	}
	return nil
}

// head collects status line and fields up to the empty line.
func (r *response) head(b []byte) (rest []byte, err error) {
	from := max(0, len(r.line)-3)
	before := len(r.line)
	r.line = append(r.line, b[:min(len(b), r.limits.Header+4)]...)
	i := bytes.Index(r.line[from:], []byte("\r\n\r\n"))
	if i < 0 {
		if len(r.line) > r.limits.Header {
			return nil, malformed("header is over the limit of %d bytes", r.limits.Header)
		}
		if len(r.line) >= 5 && string(r.line[:5]) != "HTTP/" {
			return nil, malformed("starts with %q", r.line[:5])
		}
		return nil, nil
	}
	end := from + i + 4
	if end > r.limits.Header {
		return nil, malformed("header is over the limit of %d bytes", r.limits.Header)
	}
	if err := r.parseHead(string(r.line[:end-4])); err != nil {
		return nil, err
	}
	r.line = r.line[:0]
	return b[end-before:], nil
}

func (r *response) parseHead(head string) error {
	line, fields, _ := strings.Cut(head, "\r\n")
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	if version != "HTTP/1.1" && version != "HTTP/1.0" {
		return malformed("version %.20q", version)
	}
	status, err := strconv.Atoi(code)
	if err != nil || len(code) != 3 || status < 100 || status > 599 {
		return malformed("status %.20q", code)
	}
	r.status, r.retry, r.chunked, r.toEnd = status, "", false, false
	r.keep = version == "HTTP/1.1"
	length := int64(-1)
	for count := 0; fields != ""; count++ {
		if count >= mostFields {
			return malformed("over %d header fields", mostFields)
		}
		line, fields, _ = strings.Cut(fields, "\r\n")
		name, value, ok := strings.Cut(line, ":")
		if !ok || !token(name) {
			return malformed("header line %.40q", line)
		}
		value = strings.Trim(value, " \t")
		if strings.ContainsAny(value, "\r\n\x00") {
			return malformed("header field %.40q holds a control character", name)
		}
		switch strings.ToLower(name) {
		case "content-length":
			for part := range strings.SplitSeq(value, ",") {
				part = strings.Trim(part, " \t")
				n, err := strconv.ParseUint(part, 10, 62)
				if err != nil || part[0] == '+' || length >= 0 && length != int64(n) {
					return malformed("Content-Length %.40q", value)
				}
				length = int64(n)
			}
		case "transfer-encoding":
			if !strings.EqualFold(value, "chunked") || r.chunked {
				return malformed("Transfer-Encoding %.40q", value)
			}
			r.chunked = true
		case "connection":
			for part := range strings.SplitSeq(value, ",") {
				if strings.EqualFold(strings.Trim(part, " \t"), "close") {
					r.keep = false
				}
			}
		case "retry-after":
			r.retry = value
		}
	}
	if status < 200 {
		if status == 101 {
			return malformed("101 without a request to upgrade")
		}
		if r.interim++; r.interim > mostInterim {
			return malformed("over %d interim responses", mostInterim)
		}
		return nil // the final one follows
	}
	switch {
	case status == 204 || status == 304:
		r.state = finished
	case r.chunked && length >= 0:
		return malformed("both Content-Length and Transfer-Encoding")
	case r.chunked && version == "HTTP/1.0":
		return malformed("Transfer-Encoding in HTTP/1.0")
	case r.chunked:
		r.state = inChunkLine
	case length == 0:
		r.state = finished
	case length > 0:
		r.state, r.left = inBody, length
	default:
		r.state, r.toEnd, r.keep = inBody, true, false
	}
	return nil
}

// token tells whether a field name is one by RFC 9110, 5.6.2.
func token(s string) bool {
	for i := range len(s) {
		c := s[i]
		if c <= ' ' || c >= 0x7f || strings.IndexByte("\"(),/:;<=>?@[\\]{}", c) >= 0 {
			return false
		}
	}
	return s != ""
}
