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

// patient is a front that closes nothing by time within a test.
func patient(t *testing.T) (*Front, *door) {
	t.Helper()
	return startWith(t, func(o *Options) {
		o.Connections, o.Kept = 10, 10
		o.Request, o.Whole, o.Idle, o.Linger = time.Minute, time.Minute, time.Minute, time.Minute
	})
}

// only is the one connection that a front has.
func only(t *testing.T, f *Front) *conn {
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

// drained reads to the end of a connection; the end has to be one, and no reset.
func drained(t *testing.T, c net.Conn, r io.Reader) string {
	t.Helper()
	b, err := io.ReadAll(r)
	if err != nil {
		t.Errorf("%v after %q, want the end of the connection", err, b)
	}
	return string(b)
}

// A request that crosses the close of a resting connection finds its end and no reset, so
// that its client knows that nothing has read it; and it is not handed in.
func TestRequestAfterTheShutIsDropped(t *testing.T) {
	f, d := patient(t)
	c := dial(t, f)
	if got := ask(t, c, hand("first", "charge", "7", "480", "", "")); got != 202 {
		t.Fatal(got)
	}
	<-d.came
	if !only(t, f).end(lifecycle.CloseIdle) {
		t.Fatal("not shut")
	}
	for i := range 3 { // the second write into a closed socket would fail, and the read with it
		if _, err := io.WriteString(c, hand(fmt.Sprint("crosses", i), "charge", "7", "480", "", "")); err != nil {
			t.Fatal(err)
		}
	}
	if got := drained(t, c, c); got != "" {
		t.Errorf("%q after the shut", got)
	}
	_ = c.Close()
	for f.Connections() > 0 { // the relay closes when the client has
		time.Sleep(time.Millisecond)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.taken) != 1 {
		t.Errorf("%d messages taken, want the first one alone", len(d.taken))
	}
}

// An answer that ends its connection is read whole though the client has sent more than
// the relay has read by then.
func TestAnswerBeforeUnreadBytes(t *testing.T) {
	for name, draining := range map[string]bool{"a body over the limit": false, "a request while draining": true} {
		t.Run(name, func(t *testing.T) {
			f, d := patient(t)
			c := dial(t, f)
			text, want := strings.Replace(hand("x", "notice", "7", "480", "", ""), "Content-Length: 0", "Content-Length: 900000", 1), 413
			if draining {
				f.Drain()
				text, want = hand("x", "notice", "7", "480", "", ""), 202
			}
			if _, err := io.WriteString(c, text); err != nil {
				t.Fatal(err)
			}
			if draining {
				<-d.came // the answer was written: what comes now crosses the shut
			}
			for range 30 {
				if _, err := c.Write(make([]byte, 30000)); err != nil {
					t.Fatalf("a client that sends on: %v", err)
				}
			}
			r := bufio.NewReader(c)
			a, err := http.ReadResponse(r, nil)
			if err != nil || a.StatusCode != want || !a.Close {
				t.Fatalf("%v %v, want %d and the close", a, err, want)
			}
			_, _ = io.Copy(io.Discard, a.Body)
			drained(t, c, r)
		})
	}
}

// A body without end is not read for ever, and a client that never closes is closed.
func TestLingeringIsBounded(t *testing.T) {
	f, _ := start(t, 10)
	c := dial(t, f)
	_, _ = io.WriteString(c, strings.Replace(hand("x", "notice", "7", "480", "", ""), "Content-Length: 0", "Content-Length: 60000000", 1))
	var err error
	for n := 0; err == nil; n += 1 << 16 {
		if _, err = c.Write(make([]byte, 1<<16)); n > 60<<20 {
			t.Fatal("60 MB were read")
		}
	}
	silent := dial(t, f)
	if got := ask(t, silent, "GET /none HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"); got != 404 {
		t.Fatal(got)
	}
	for f.Connections() > 0 { // by the linger alone: the client holds its side open
		time.Sleep(time.Millisecond)
	}
	var many []net.Conn
	for range 5 * lingering {
		c := dial(t, f)
		many = append(many, c)
		if got := ask(t, c, "GET /none HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"); got != 404 {
			t.Fatal(got)
		}
	}
	if n := f.Connections(); n > lingering+1 {
		t.Errorf("%d connections linger of %d", n, len(many))
	}
}

// At a planned end a connection that has just come up still gets its request answered;
// one that rests is shut.
func TestLeaveKeepsNewConnections(t *testing.T) {
	f, d := patient(t)
	rests, fresh := dial(t, f), dial(t, f)
	if got := ask(t, rests, hand("m1", "notice", "7", "480", "", "")); got != 202 {
		t.Fatal(got)
	}
	<-d.came
	for f.Connections() < 2 {
		time.Sleep(time.Millisecond)
	}
	f.Leave()
	if got := drained(t, rests, rests); got != "" {
		t.Errorf("%q on the one that rests", got)
	}
	if got := ask(t, fresh, hand("m2", "notice", "7", "480", "", "")); got != 202 {
		t.Errorf("the one that had just come got %d", got)
	}
}

// Once the run finishes nothing more is handed in, and all that was gets its answer: a
// request that is not whole 503, one that the core has its own.
func TestFinishAnswersAll(t *testing.T) {
	f, d := patient(t)
	d.hold = true
	open, half, late := dial(t, f), dial(t, f), dial(t, f)
	if _, err := io.WriteString(open, hand("open", "charge", "7", "480", "", "")); err != nil {
		t.Fatal(err)
	}
	<-d.came
	text := hand("half", "charge", "7", "480", "", "body")
	if _, err := io.WriteString(half, text[:len(text)-2]); err != nil {
		t.Fatal(err)
	}
	reading := func() (n int) {
		f.mu.Lock()
		defer f.mu.Unlock()
		for c := range f.conns {
			if c.life.Phase() == lifecycle.Reading {
				n++
			}
		}
		return n
	}
	for reading() == 0 || f.Connections() < 3 {
		time.Sleep(time.Millisecond)
	}
	f.Finish()
	if r, err := http.ReadResponse(bufio.NewReader(half), nil); err != nil || r.StatusCode != 503 {
		t.Errorf("half a request: %v %v, want 503", r, err)
	}
	_, _ = io.WriteString(late, hand("late", "charge", "7", "480", "", ""))
	if got := drained(t, late, late); got != "" && !strings.HasPrefix(got, "HTTP/1.1 503") {
		t.Errorf("a request after the end: %q", got)
	}
	d.mu.Lock()
	m := d.taken[0]
	d.mu.Unlock()
	m.Reply.Taken(nil)
	m.Reply.(core.Decider).Decided()
	if r, err := http.ReadResponse(bufio.NewReader(open), nil); err != nil || r.StatusCode != 202 {
		t.Errorf("the open request: %v %v, want 202", r, err)
	}
	if len(d.taken) != 1 {
		t.Errorf("%d handed in", len(d.taken))
	}
}

// A request may come byte by byte as long as it goes on; one that stops, or never ends, is
// told so.
func TestSlowWriters(t *testing.T) {
	f, d := patient(t)
	text := hand("slow", "charge", "7", "480", "Cookie: c=d\r\n", "some body")
	c := dial(t, f)
	for i := range len(text) - 1 {
		if _, err := io.WriteString(c, text[i:i+1]); err != nil {
			t.Fatal(err)
		}
	}
	if got := ask(t, c, text[len(text)-1:]); got != 202 {
		t.Errorf("byte by byte: %d", got)
	}
	<-d.came
	f, _ = start(t, 10)
	if got := ask(t, dial(t, f), text[:len(text)-1]); got != 408 {
		t.Errorf("all but a byte: %d, want 408", got)
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
		t.Errorf("a head without end: %v %v, want 408", r, err)
	}
}

// All forms in which HTTP lets a client write a hand-in.
func TestForms(t *testing.T) {
	good := hand("ID", "charge", "7", "480", "", "body")
	for name, text := range map[string]string{
		"an empty line before it": "\r\n" + good,
		"the absolute form":       strings.Replace(good, "POST /api", "POST http://origin.svc/api", 1),
		"names in lower case":     strings.NewReplacer("X-Txn", "x-txn", "X-Lane", "x-lane", "X-Addressing", "x-addressing", "Cookie", "cookie").Replace(good),
		"no spaces, tabs behind":  strings.NewReplacer(": ID", ":ID\t ", ": charge", ":charge\t").Replace(good),
		"two cookie fields":       strings.Replace(good, "Cookie: a=b; about=key1", "Cookie: a=b\r\nCookie: about=key1", 1),
		"chunked":                 strings.Replace(strings.Replace(good, "Content-Length: 4", "Transfer-Encoding: chunked", 1), "\r\n\r\nbody", "\r\n\r\n3;x=y\r\nbod\r\n1\r\ny\r\n0\r\nT: u\r\n\r\n", 1),
		"expecting 100":           strings.Replace(good, "X-Lane", "Expect: 100-continue\r\nX-Lane", 1),
		"more parameters":         strings.Replace(good, "dest=7", `zone="a"; dest=7`, 1),
	} {
		for pieces, size := range map[string]int{"whole": len(text), "in pieces": 7} {
			t.Run(name+" "+pieces, func(t *testing.T) {
				f, d := patient(t)
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
				<-d.came
				if m := d.taken[0]; m.Identity != "id1" || m.Key != "key1" || m.Partner != 7 || string(m.Body) != "body" {
					t.Errorf("%+v", m)
				}
			})
		}
	}
}

// The answers are not held back for those that follow: small writes go out at once.
func TestNoDelay(t *testing.T) {
	f, d := patient(t)
	c := dial(t, f)
	if got := ask(t, c, hand("m", "notice", "7", "480", "", "")); got != 202 {
		t.Fatal(got)
	}
	<-d.came
	v, err := syscall.GetsockoptInt(only(t, f).nb.Descriptor(), syscall.IPPROTO_TCP, syscall.TCP_NODELAY)
	if err != nil || v == 0 {
		t.Errorf("TCP_NODELAY is %d (%v)", v, errors.Unwrap(err))
	}
}

// The key by which a host tells a repeat goes on as it came; two of them, or one that would
// not be the same behind the relay, are a bad client's.
func TestIdempotencyKey(t *testing.T) {
	for field, want := range map[string]string{
		"":                               "",
		"Idempotency-Key: 125a169f\r\n":  "Idempotency-Key: 125a169f\r\n",
		"idempotency-key:  \"a b\" \r\n": "Idempotency-Key: \"a b\"\r\n",
		"Idempotency-Key: a\r\nIdempotency-Key: a\r\n":          "400",
		"Idempotency-Key: " + strings.Repeat("k", 257) + "\r\n": "400",
		"Idempotency-Key: a\tb\r\n":                             "400",
	} {
		f, d := patient(t)
		got := ask(t, dial(t, f), hand("m", "charge", "7", "480", field, "body"))
		if want == "400" {
			if got != 400 || len(d.taken) != 0 {
				t.Errorf("%.40q: %d", field, got)
			}
			continue
		}
		if <-d.came; got != 202 || string(d.taken[0].Head) != want {
			t.Errorf("%q: %d, %q goes on, want %q", field, got, d.taken[0].Head, want)
		}
	}
}
