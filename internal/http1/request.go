package http1

import "strings"

// Request is one request while it is parsed and answered. It is the Handler of its own parser:
// r.Feed(b, r).
type Request struct {
	Parser
	Method, Path   string
	Body           []byte
	KeepAlive      bool // the connection may carry a further request
	ExpectContinue bool // the client waits for 100 Continue
	fields         []field
	http10         bool // the request's version is HTTP/1.0
	hostFields     int
}

type field struct{ name, value string }

const scheme = "http://"

// Start parses the request line.
func (r *Request) Start(line string) error {
	parts := strings.Split(line, " ")
	if len(parts) == 3 && len(parts[1]) > len(scheme) && strings.EqualFold(parts[1][:len(scheme)], scheme) {
		// The absolute form (RFC 9112, 3.2.2); only the path is used.
		_, path, _ := strings.Cut(parts[1][len(scheme):], "/")
		parts[1] = "/" + path
	}
	if len(parts) != 3 || !IsToken(parts[0]) || !strings.HasPrefix(parts[1], "/") {
		return Malformed("request line %.60q", line)
	}
	if parts[2] != "HTTP/1.1" && parts[2] != "HTTP/1.0" {
		return Malformed("version %.20q", parts[2])
	}
	r.Method, r.Path = parts[0], parts[1]
	r.http10 = parts[2] == "HTTP/1.0"
	r.KeepAlive = !r.http10
	r.fields, r.Body, r.ExpectContinue, r.hostFields = r.fields[:0], nil, false, 0
	return nil
}

// Field records one header field.
func (r *Request) Field(name, value string) error {
	switch {
	case strings.EqualFold(name, "connection"):
		r.KeepAlive = r.KeepAlive && !HasCloseOption(value)
	case strings.EqualFold(name, "host"):
		r.hostFields++
	case strings.EqualFold(name, "expect"):
		r.ExpectContinue = strings.EqualFold(value, "100-continue")
	}
	r.fields = append(r.fields, field{name, value})
	return nil
}

// Head checks the header when it is complete.
func (r *Request) Head() (Framing, error) {
	if r.hostFields != 1 && !r.http10 || r.hostFields > 1 { // RFC 9112, 3.2
		return 0, Malformed("%d Host fields", r.hostFields)
	}
	return ByFields, nil
}

// Content appends a piece of the body, whose length is known beforehand but for a chunked one.
func (r *Request) Content(b []byte) error {
	if r.Body == nil && r.length > 0 {
		r.Body = make([]byte, 0, r.length)
	}
	r.Body = append(r.Body, b...)
	return nil
}

// HeldBytes returns the bytes of memory that the request takes up.
func (r *Request) HeldBytes() int { return r.heldBytes() + cap(r.Body) }

// Values returns the values of all fields with the given name, in their order. They share no memory with the header,
// so that a value may be kept for longer than its request.
func (r *Request) Values(name string) (values []string) {
	for _, f := range r.fields {
		if strings.EqualFold(f.name, name) {
			values = append(values, strings.Clone(f.value))
		}
	}
	return values
}

// Header returns the value of the first field with the given name, empty for none.
func (r *Request) Header(name string) string {
	v, _ := r.FirstAndCount(name)
	return v
}

// FirstAndCount returns the value of the first field with the given name, and the number of such
// fields. The value shares no memory with the header, as those of Values.
func (r *Request) FirstAndCount(name string) (value string, n int) {
	for _, f := range r.fields {
		if strings.EqualFold(f.name, name) {
			if n++; n == 1 {
				value = strings.Clone(f.value)
			}
		}
	}
	return value, n
}
