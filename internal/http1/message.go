// Package http1 parses HTTP/1.1 messages (RFC 9112) from pieces of any size: requests at the HTTP
// fronts, and responses in partner calls. It does no I/O and does not buffer content.
package http1

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// ErrMalformed is wrapped by every parse error.
var ErrMalformed = errors.New("malformed message")

// Malformed returns an error that wraps ErrMalformed.
func Malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}

// Limits bound the size of a message.
type Limits struct {
	Header int // bytes of the start line and header fields, of the trailers, and of each chunk-size line
	Body   int // bytes of content
}

// Bounds on the interim responses before the final one, on the fields of one header, and on the
// bytes of empty lines before a request.
const (
	maxInterim = 16
	maxFields  = 256
	maxBlank   = 8
)

// Framing states how a message's content is delimited, in addition to the message's own fields.
type Framing int

// The framings. ByFields follows Content-Length and Transfer-Encoding; without either there is no
// content, except with UntilClose, where the content then ends with the connection.
const (
	ByFields Framing = iota
	UntilClose
	NoContent
	Interim // interim response; a further header follows
)

// Handler receives the parts of a message. An error ends the parsing.
type Handler interface {
	Start(line string) error
	Field(name, value string) error
	Head() (Framing, error)
	Content(b []byte) error // b is a piece of the content and must not be kept
}

// ErrTooLong is wrapped if the content exceeds its limit.
var ErrTooLong = fmt.Errorf("%w: content is over its limit", ErrMalformed)

// Parser parses one message at a time.
type Parser struct {
	// Prefix is what a message must begin with, so that other input is rejected before its first
	// line is complete; empty to accept anything. Reset keeps it.
	Prefix        string
	limits        Limits
	state         int
	line          []byte // header or chunk-size line read so far
	headerBytes   int    // bytes of the header, which the handler may keep
	length        int64  // Content-Length, -1 for none
	remaining     int64  // bytes still to come of the content or of the current chunk
	received      int64  // content bytes received so far
	chunked       bool
	untilClose    bool
	interimCount  int
	trailerFields int
	blankBytes    int
}

// The states of the parser.
const (
	inHead = iota
	inBody
	inChunkLine
	inChunk
	inChunkEnd
	inTrailer
	finished
)

// Reset prepares the parser for a new message.
func (p *Parser) Reset(l Limits) {
	*p = Parser{Prefix: p.Prefix, limits: l, line: p.line[:0]}
	p.dropLongLine()
}

// maxKeptLine bounds the buffer of a line that is kept for the next one.
const maxKeptLine = 4096

// dropLongLine frees the buffer of a line if it is long.
func (p *Parser) dropLongLine() {
	if cap(p.line) > maxKeptLine {
		p.line = nil
	}
}

// FirstLine returns the first line of a header that is incomplete or was found invalid. whole
// reports whether the line is complete.
func (p *Parser) FirstLine() (line string, whole bool) {
	if p.state != inHead {
		return "", false
	}
	i := bytes.IndexByte(p.line, '\n')
	if i < 0 {
		return "", false
	}
	return strings.TrimSuffix(string(p.line[:i]), "\r"), true
}

// Done reports whether the message is complete.
func (p *Parser) Done() bool { return p.state == finished }

// heldBytes returns the bytes of memory that the parser and the header take up.
func (p *Parser) heldBytes() int { return cap(p.line) + p.headerBytes }

// Began reports whether any byte of the message has arrived.
func (p *Parser) Began() bool { return p.state != inHead || len(p.line) > 0 || p.interimCount > 0 }

// InContent reports whether the header is complete and content is still expected.
func (p *Parser) InContent() bool { return p.state != inHead && p.state != finished }

// CompleteAtClose reports whether the end of the connection would complete the message.
func (p *Parser) CompleteAtClose() bool { return p.state == inBody && p.untilClose }

// Feed parses b and returns the bytes behind the end of the message.
func (p *Parser) Feed(b []byte, h Handler) (rest []byte, err error) {
	for len(b) > 0 && p.state != finished {
		switch p.state {
		case inHead:
			if b, err = p.head(b, h); err != nil {
				return nil, err
			}
		case inBody, inChunk:
			n := int64(len(b))
			if !p.untilClose {
				n = min(n, p.remaining)
			}
			p.remaining -= n
			if p.received += n; p.received > int64(p.limits.Body) {
				return nil, fmt.Errorf("%w of %d bytes", ErrTooLong, p.limits.Body)
			}
			if err = h.Content(b[:n]); err != nil {
				return nil, err
			}
			b = b[n:]
			if p.remaining == 0 && !p.untilClose {
				if p.state == inBody {
					p.state = finished
				} else {
					p.state, p.line = inChunkEnd, p.line[:0]
				}
			}
		case inChunkLine, inChunkEnd, inTrailer:
			var line []byte
			var whole bool
			if line, b, whole, err = p.nextLine(b); err != nil {
				return nil, err
			}
			if whole {
				if err = p.chunkedLine(line); err != nil {
					return nil, err
				}
			}
		}
	}
	return b, nil
}

// nextLine collects a line up to its CRLF.
func (p *Parser) nextLine(b []byte) (line, rest []byte, whole bool, err error) {
	i := bytes.IndexByte(b, '\n')
	if i < 0 {
		p.line = append(p.line, b...)
	} else {
		p.line, rest, whole = append(p.line, b[:i+1]...), b[i+1:], true
	}
	if len(p.line) > p.limits.Header {
		return nil, nil, false, Malformed("a line of chunked content is over the limit of %d bytes", p.limits.Header)
	}
	if !whole {
		return nil, nil, false, nil
	}
	line = p.line
	p.line = p.line[:0]
	if !bytes.HasSuffix(line, []byte("\r\n")) {
		return nil, nil, false, Malformed("a line of chunked content ends without CR")
	}
	return line[:len(line)-2], rest, true, nil
}

func (p *Parser) chunkedLine(line []byte) error {
	switch p.state {
	case inChunkEnd:
		if len(line) > 0 {
			return Malformed("chunk is longer than its size")
		}
		p.state = inChunkLine
	case inChunkLine:
		size, _, _ := bytes.Cut(line, []byte(";"))
		size = bytes.TrimRight(size, " \t")
		n, err := strconv.ParseUint(string(size), 16, 62)
		if err != nil || size[0] == '+' {
			return Malformed("chunk size %.20q", size)
		}
		p.remaining = int64(n)
		if p.state = inChunk; n == 0 {
			p.state = inTrailer
		}
	case inTrailer:
		if len(line) == 0 {
			p.state = finished
			return nil
		}
		if p.trailerFields++; p.trailerFields > maxFields {
			return Malformed("over %d trailer fields", maxFields)
		}
	}
	return nil
}

// head collects the start line and the header fields up to the empty line.
func (p *Parser) head(b []byte, h Handler) (rest []byte, err error) {
	if len(p.line) == 0 && p.Prefix == "" { // skip empty lines before a request (RFC 9112, 2.2)
		for len(b) > 0 && p.blankBytes < maxBlank && (b[0] == '\r' || b[0] == '\n') {
			b, p.blankBytes = b[1:], p.blankBytes+1
		}
		if len(b) == 0 {
			return nil, nil
		}
	}
	from := max(0, len(p.line)-3)
	before := len(p.line)
	p.line = append(p.line, b[:min(len(b), p.limits.Header+4)]...)
	i := bytes.Index(p.line[from:], []byte("\r\n\r\n"))
	if i < 0 {
		if len(p.line) > p.limits.Header {
			return nil, Malformed("header is over the limit of %d bytes", p.limits.Header)
		}
		if n := len(p.Prefix); n > 0 && len(p.line) >= n && string(p.line[:n]) != p.Prefix {
			return nil, Malformed("begins with %q", p.line[:n])
		}
		return nil, nil
	}
	end := from + i + 4
	if end > p.limits.Header {
		return nil, Malformed("header is over the limit of %d bytes", p.limits.Header)
	}
	p.headerBytes = end
	if err := p.parseHeader(string(p.line[:end-4]), h); err != nil {
		return nil, err
	}
	p.line = p.line[:0]
	p.dropLongLine()
	return b[end-before:], nil
}

func (p *Parser) parseHeader(head string, h Handler) error {
	line, fields, _ := strings.Cut(head, "\r\n")
	if strings.ContainsAny(line, "\r\n\x00") {
		return Malformed("start line holds a control character")
	}
	if err := h.Start(line); err != nil {
		return err
	}
	p.length, p.chunked, p.untilClose = -1, false, false
	for count := 0; fields != ""; count++ {
		if count >= maxFields {
			return Malformed("over %d header fields", maxFields)
		}
		line, fields, _ = strings.Cut(fields, "\r\n")
		name, value, ok := strings.Cut(line, ":")
		if !ok || !IsToken(name) {
			return Malformed("header line %.40q", line)
		}
		value = strings.Trim(value, " \t")
		if strings.ContainsAny(value, "\r\n\x00") {
			return Malformed("header field %.40q holds a control character", name)
		}
		switch {
		case strings.EqualFold(name, "content-length"):
			for part := range strings.SplitSeq(value, ",") {
				part = strings.Trim(part, " \t")
				n, err := strconv.ParseUint(part, 10, 62)
				if err != nil || part[0] == '+' || p.length >= 0 && p.length != int64(n) {
					return Malformed("Content-Length %.40q", value)
				}
				p.length = int64(n)
			}
		case strings.EqualFold(name, "transfer-encoding"):
			if !strings.EqualFold(value, "chunked") || p.chunked {
				return Malformed("Transfer-Encoding %.40q", value)
			}
			p.chunked = true
		}
		if err := h.Field(name, value); err != nil {
			return err
		}
	}
	framing, err := h.Head()
	if err != nil {
		return err
	}
	switch {
	case framing == Interim:
		if p.interimCount++; p.interimCount > maxInterim {
			return Malformed("over %d interim responses", maxInterim)
		}
	case framing == NoContent:
		p.state = finished
	case p.chunked && p.length >= 0:
		return Malformed("both Content-Length and Transfer-Encoding")
	case p.chunked:
		p.state = inChunkLine
	case p.length > int64(p.limits.Body):
		return fmt.Errorf("%w of %d bytes", ErrTooLong, p.limits.Body)
	case p.length > 0:
		p.state, p.remaining = inBody, p.length
	case p.length < 0 && framing == UntilClose:
		p.state, p.untilClose = inBody, true
	default:
		p.state = finished
	}
	return nil
}

// IsToken reports whether s is a token as defined in RFC 9110, 5.6.2.
func IsToken(s string) bool {
	for i := range len(s) {
		c := s[i]
		if c <= ' ' || c >= 0x7f || strings.IndexByte("\"(),/:;<=>?@[\\]{}", c) >= 0 {
			return false
		}
	}
	return s != ""
}

// HasCloseOption reports whether a Connection field contains the close option.
func HasCloseOption(value string) bool {
	for part := range strings.SplitSeq(value, ",") {
		if strings.EqualFold(strings.Trim(part, " \t"), "close") {
			return true
		}
	}
	return false
}
