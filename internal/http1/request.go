package http1

import "strings"

// Request is one request while it is parsed and answered; it is its parser's
// Handler: r.Feed(b, r).
type Request struct {
	Parser
	Method, Path string
	Body         []byte
	Keep         bool // the connection may carry a further request
	Expect       bool // waits for 100 Continue
	fields       []field
	old          bool // HTTP/1.0
	hosts        int
}

type field struct{ name, value string }

const scheme = "http://"

// Start takes the request line.
func (r *Request) Start(line string) error {
	parts := strings.Split(line, " ")
	if len(parts) == 3 && len(parts[1]) > len(scheme) && strings.EqualFold(parts[1][:len(scheme)], scheme) {
		// The absolute form (RFC 9112, 3.2.2); only its path counts here.
		_, path, _ := strings.Cut(parts[1][len(scheme):], "/")
		parts[1] = "/" + path
	}
	if len(parts) != 3 || !Token(parts[0]) || !strings.HasPrefix(parts[1], "/") {
		return Malformed("request line %.60q", line)
	}
	if parts[2] != "HTTP/1.1" && parts[2] != "HTTP/1.0" {
		return Malformed("version %.20q", parts[2])
	}
	r.Method, r.Path = parts[0], parts[1]
	r.old = parts[2] == "HTTP/1.0"
	r.Keep = !r.old
	r.fields, r.Body, r.Expect, r.hosts = r.fields[:0], nil, false, 0
	return nil
}

// Field takes one header field.
func (r *Request) Field(name, value string) error {
	switch {
	case strings.EqualFold(name, "connection"):
		r.Keep = r.Keep && !Closes(value)
	case strings.EqualFold(name, "host"):
		r.hosts++
	case strings.EqualFold(name, "expect"):
		r.Expect = strings.EqualFold(value, "100-continue")
	}
	r.fields = append(r.fields, field{name, value})
	return nil
}

// Head takes the end of the header.
func (r *Request) Head() (Framing, error) {
	if r.hosts != 1 && !r.old || r.hosts > 1 { // RFC 9112, 3.2
		return 0, Malformed("%d Host fields", r.hosts)
	}
	return ByFields, nil
}

// Content takes a piece of the body.
func (r *Request) Content(b []byte) error {
	r.Body = append(r.Body, b...)
	return nil
}

// All are the values of every field of a name, in their order.
func (r *Request) All(name string) (values []string) {
	for _, f := range r.fields {
		if strings.EqualFold(f.name, name) {
			values = append(values, f.value)
		}
	}
	return values
}

// Header is the value of the first field of a name, empty for none.
func (r *Request) Header(name string) string {
	v, _ := r.Only(name)
	return v
}

// Only is that, and how many fields have the name.
func (r *Request) Only(name string) (value string, n int) {
	for _, f := range r.fields {
		if strings.EqualFold(f.name, name) {
			if n++; n == 1 {
				value = f.value
			}
		}
	}
	return value, n
}
