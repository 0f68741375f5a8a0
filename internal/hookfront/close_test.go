package hookfront

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"basaltcross.example/basaltcross/internal/core"
	"basaltcross.example/basaltcross/internal/lifecycle"
)

// startWithoutTimeouts returns a front whose time limits don't expire within a test.
func startWithoutTimeouts(t *testing.T) (*Front, *fakeCore) {
	t.Helper()
	return startWith(t, func(o *Options) {
		o.Connections, o.IdleConnections = 10, 10
		o.RequestPause, o.RequestTimeout, o.IdleTimeout, o.LingerTimeout =
			time.Minute, time.Minute, time.Minute, time.Minute
	})
}

// onlyConn returns the only connection of a front.
func onlyConn(t *testing.T, f *Front) *conn {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.conns) != 1 {
		t.Fatalf("%d connections, want 1", len(f.conns))
	}
	for c := range f.conns {
		return c
	}
	return nil
}

// readToEnd reads to the end of a connection and reports an error if it is reset instead.
func readToEnd(t *testing.T, c net.Conn, r io.Reader) string {
	t.Helper()
	b, err := io.ReadAll(r)
	if err != nil {
		t.Errorf("%v after %q, want the end of the connection", err, b)
	}
	return string(b)
}

// Guards against a reset, or a hand-in, for a request that crosses the relay's close of an idle
// connection. The client must read the end of the connection, which tells it that its request was
// not read.
func TestRequestAfterCloseIsDiscarded(t *testing.T) {
	f, d := startWithoutTimeouts(t)
	c := dial(t, f)
	if got := ask(t, c, handInText("first", "charge", "7", "480", "", "")); got != 202 {
		t.Fatal(got)
	}
	<-d.events
	if !onlyConn(t, f).tryEnd(lifecycle.CloseIdle) {
		t.Fatal("the relay did not end its side")
	}
	for i := range 3 { // a second write to a closed socket would fail, and the read after it
		if _, err := io.WriteString(c, handInText(fmt.Sprint("crosses", i),
			"charge", "7", "480", "", "")); err != nil {
			t.Fatal(err)
		}
	}
	if got := readToEnd(t, c, c); got != "" {
		t.Errorf("%q after the relay ended its side", got)
	}
	_ = c.Close()
	for f.Connections() > 0 { // the relay closes once the client has closed
		time.Sleep(time.Millisecond)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.taken) != 1 {
		t.Errorf("%d messages handed in, want the first one only", len(d.taken))
	}
}

// Guards against losing an answer that ends its connection because the client has sent more than
// the relay has read by then.
func TestAnswerSurvivesUnreadBytes(t *testing.T) {
	for name, draining := range map[string]bool{"a body over the limit": false, "a request while draining": true} {
		t.Run(name, func(t *testing.T) {
			f, d := startWithoutTimeouts(t)
			c := dial(t, f)
			text, want := strings.Replace(handInText("x", "notice", "7", "480", "", ""),
				"Content-Length: 0", "Content-Length: 900000", 1), 413
			if draining {
				f.Drain()
				text, want = handInText("x", "notice", "7", "480", "", ""), 202
			}
			if _, err := io.WriteString(c, text); err != nil {
				t.Fatal(err)
			}
			if draining {
				<-d.events // the answer has been written; what follows crosses the close
			}
			for range 30 {
				if _, err := c.Write(make([]byte, 30000)); err != nil {
					t.Fatalf("write of the remaining request: %v", err)
				}
			}
			r := bufio.NewReader(c)
			a, err := http.ReadResponse(r, nil)
			if err != nil || a.StatusCode != want || !a.Close {
				t.Fatalf("%v %v, want %d and Connection: close", a, err, want)
			}
			_, _ = io.Copy(io.Discard, a.Body)
			readToEnd(t, c, r)
		})
	}
}

// Guards against reading an endless body, and against keeping connections that their client never
// closes.
func TestLingeringIsBounded(t *testing.T) {
	f, _ := start(t, 10)
	c := dial(t, f)
	_, _ = io.WriteString(c, strings.Replace(handInText("x", "notice", "7", "480", "", ""),
		"Content-Length: 0", "Content-Length: 60000000", 1))
	var err error
	for n := 0; err == nil; n += 1 << 16 {
		if _, err = c.Write(make([]byte, 1<<16)); n > 60<<20 {
			t.Fatal("60 MB were read without a close")
		}
	}
	silent := dial(t, f)
	if got := ask(t, silent, "GET /none HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"); got != 404 {
		t.Fatal(got)
	}
	for f.Connections() > 0 { // by the linger time-out only: the client keeps its side open
		time.Sleep(time.Millisecond)
	}
	var many []net.Conn
	for range 5 * maxLingering {
		c := dial(t, f)
		many = append(many, c)
		if got := ask(t, c, "GET /none HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"); got != 404 {
			t.Fatal(got)
		}
	}
	if n := f.Connections(); n > maxLingering+1 {
		t.Errorf("%d of %d connections are still open", n, len(many))
	}
}

// Guards against closing a connection at shutdown that has just been established, without an answer
// to its request. An idle one is closed.
func TestCloseListenerKeepsNewConnections(t *testing.T) {
	f, d := startWithoutTimeouts(t)
	rests, fresh := dial(t, f), dial(t, f)
	if got := ask(t, rests, handInText("m1", "notice", "7", "480", "", "")); got != 202 {
		t.Fatal(got)
	}
	<-d.events
	for f.Connections() < 2 {
		time.Sleep(time.Millisecond)
	}
	f.CloseListener()
	if got := readToEnd(t, rests, rests); got != "" {
		t.Errorf("%q on the idle connection", got)
	}
	if got := ask(t, fresh, handInText("m2", "notice", "7", "480", "", "")); got != 202 {
		t.Errorf("the request on the new connection got %d", got)
	}
}

// Guards against hand-ins after StopHandIns, and against hand-ins before it that get no answer: an
// incomplete request gets 503, a pending one the core's answer.
func TestStopHandInsAnswersAll(t *testing.T) {
	f, d := startWithoutTimeouts(t)
	d.hold = true
	open, half, late := dial(t, f), dial(t, f), dial(t, f)
	if _, err := io.WriteString(open, handInText("open", "charge", "7", "480", "", "")); err != nil {
		t.Fatal(err)
	}
	<-d.events
	text := handInText("half", "charge", "7", "480", "", "body")
	if _, err := io.WriteString(half, text[:len(text)-2]); err != nil {
		t.Fatal(err)
	}
	reading := func() (n int) {
		f.mu.Lock()
		defer f.mu.Unlock()
		for c := range f.conns {
			if c.state.Phase() == lifecycle.Reading {
				n++
			}
		}
		return n
	}
	for reading() == 0 || f.Connections() < 3 {
		time.Sleep(time.Millisecond)
	}
	f.StopHandIns()
	if r, err := http.ReadResponse(bufio.NewReader(half), nil); err != nil || r.StatusCode != 503 {
		t.Errorf("incomplete request: %v %v, want 503", r, err)
	}
	_, _ = io.WriteString(late, handInText("late", "charge", "7", "480", "", ""))
	if got := readToEnd(t, late, late); got != "" && !strings.HasPrefix(got, "HTTP/1.1 503") {
		t.Errorf("request after StopHandIns: %q", got)
	}
	d.mu.Lock()
	m := d.taken[0]
	d.mu.Unlock()
	m.Reply.Taken(nil)
	m.Reply.(core.Decider).Decided()
	if r, err := http.ReadResponse(bufio.NewReader(open), nil); err != nil || r.StatusCode != 202 {
		t.Errorf("pending request: %v %v, want 202", r, err)
	}
	if len(d.taken) != 1 {
		t.Errorf("%d messages handed in, want 1", len(d.taken))
	}
}

// Guards against closing slow requests that make progress, and against requests that stop or never
// end and are kept open or closed without a response.
func TestSlowWriters(t *testing.T) {
	f, d := startWithoutTimeouts(t)
	text := handInText("slow", "charge", "7", "480", "Cookie: c=d\r\n", "some body")
	c := dial(t, f)
	for i := range len(text) - 1 {
		if _, err := io.WriteString(c, text[i:i+1]); err != nil {
			t.Fatal(err)
		}
	}
	if got := ask(t, c, text[len(text)-1:]); got != 202 {
		t.Errorf("request sent byte by byte: %d", got)
	}
	<-d.events
	f, _ = start(t, 10)
	if got := ask(t, dial(t, f), text[:len(text)-1]); got != 408 {
		t.Errorf("request without its last byte: %d, want 408", got)
	}
	drip := dial(t, f)
	began := time.Now()
	go func() {
		for i := 0; ; i++ {
			if _, err := io.WriteString(drip, "X"); err != nil || time.Since(began) > 15*time.Second {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
	}()
	r, err := http.ReadResponse(bufio.NewReader(drip), nil)
	if err != nil || r.StatusCode != 408 {
		t.Errorf("endless header: %v %v, want 408", r, err)
	}
}

// Guards against rejecting a hand-in in any of the forms that HTTP allows.
func TestHandInForms(t *testing.T) {
	good := handInText("ID", "charge", "7", "480", "", "body")
	for name, text := range map[string]string{
		"an empty line before it": "\r\n" + good,
		"the absolute form":       strings.Replace(good, "POST /api", "POST http://origin.svc/api", 1),
		"names in lower case": strings.NewReplacer("X-Txn", "x-txn", "X-Lane", "x-lane",
			"X-Addressing", "x-addressing", "Cookie", "cookie").Replace(good),
		"no spaces, tabs behind": strings.NewReplacer(": ID", ":ID\t ", ": charge", ":charge\t").Replace(good),
		"two cookie fields": strings.Replace(good, "Cookie: a=b; about=key1",
			"Cookie: a=b\r\nCookie: about=key1", 1),
		"chunked": strings.Replace(strings.Replace(good, "Content-Length: 4", "Transfer-Encoding: chunked", 1),
			"\r\n\r\nbody", "\r\n\r\n3;x=y\r\nbod\r\n1\r\ny\r\n0\r\nT: u\r\n\r\n", 1),
		"expecting 100":   strings.Replace(good, "X-Lane", "Expect: 100-continue\r\nX-Lane", 1),
		"more parameters": strings.Replace(good, "dest=7", `zone="a"; dest=7`, 1),
	} {
		for pieces, size := range map[string]int{"whole": len(text), "in pieces": 7} {
			t.Run(name+" "+pieces, func(t *testing.T) {
				f, d := startWithoutTimeouts(t)
				c := dial(t, f)
				for rest := strings.Replace(text, "ID", "id1", 1); rest != ""; rest = rest[min(size, len(rest)):] {
					if _, err := io.WriteString(c, rest[:min(size, len(rest))]); err != nil {
						t.Fatal(err)
					}
				}
				r := bufio.NewReader(c)
				a, err := http.ReadResponse(r, nil)
				for err == nil && a.StatusCode == 100 {
					a, err = http.ReadResponse(r, nil)
				}
				if err != nil || a.StatusCode != 202 {
					t.Fatalf("%v %v", a, err)
				}
				<-d.events
				if m := d.taken[0]; m.Identity != "id1" || m.Key != "key1" ||
					m.Partner != 7 || string(m.Body) != "body" {
					t.Errorf("%+v", m)
				}
			})
		}
	}
}

// Guards against delayed answers: small writes must be sent at once.
func TestNoDelay(t *testing.T) {
	f, d := startWithoutTimeouts(t)
	c := dial(t, f)
	if got := ask(t, c, handInText("m", "notice", "7", "480", "", "")); got != 202 {
		t.Fatal(got)
	}
	<-d.events
	v, err := syscall.GetsockoptInt(onlyConn(t, f).socket.Descriptor(), syscall.IPPROTO_TCP, syscall.TCP_NODELAY)
	if err != nil || v == 0 {
		t.Errorf("TCP_NODELAY is %d (%v)", v, errors.Unwrap(err))
	}
}

// Guards against a changed idempotency key: hosts recognize a repeat by it, so that it must be
// passed on unchanged. Two keys, or a key that could not be passed on unchanged, are an error of
// the client.
func TestIdempotencyKey(t *testing.T) {
	for field, want := range map[string]string{
		"":                               "",
		"Idempotency-Key: 125a169f\r\n":  "Idempotency-Key: 125a169f\r\n",
		"idempotency-key:  \"a b\" \r\n": "Idempotency-Key: \"a b\"\r\n",
		"Idempotency-Key: a\r\nIdempotency-Key: a\r\n":          "400",
		"Idempotency-Key: " + strings.Repeat("k", 257) + "\r\n": "400",
		"Idempotency-Key: a\tb\r\n":                             "400",
	} {
		f, d := startWithoutTimeouts(t)
		got := ask(t, dial(t, f), handInText("m", "charge", "7", "480", field, "body"))
		if want == "400" {
			if got != 400 || len(d.taken) != 0 {
				t.Errorf("%.40q: %d", field, got)
			}
			continue
		}
		if <-d.events; got != 202 || string(d.taken[0].Head) != want {
			t.Errorf("%q: %d, %q is passed on, want %q", field, got, d.taken[0].Head, want)
		}
	}
}
