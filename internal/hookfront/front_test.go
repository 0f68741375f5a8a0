package hookfront

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"basaltcross.example/basaltcross/internal/core"
	"basaltcross.example/basaltcross/internal/ledger"
	"basaltcross.example/basaltcross/internal/lifecycle"
)

// fakeCore is a core for tests: it stores what is handed in, and answers only when the test says
// so.
type fakeCore struct {
	mu        sync.Mutex
	taken     []*core.Message
	abandoned []string
	settled   []string
	handed    []string
	notices   []string
	full      bool
	events    chan struct{}
	verdict   ledger.Answer // given in the step that accepts a message
	hold      bool          // no step is made
}

func (d *fakeCore) Submit(m *core.Message) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.taken = append(d.taken, m)
	go func() {
		if !d.hold {
			m.Reply.Taken(nil)
			if d.verdict.Verdict != 0 {
				m.Reply.Answer(d.verdict)
			}
			m.Reply.(core.Decider).Decided()
		}
		d.events <- struct{}{}
	}()
	return nil
}

func (d *fakeCore) record(list *[]string, s string) {
	d.mu.Lock()
	*list = append(*list, s)
	d.mu.Unlock()
	d.events <- struct{}{}
}
func (d *fakeCore) Abandon(id string, _ core.Reply) { d.record(&d.abandoned, id) }
func (d *fakeCore) Settled(id string)               { d.record(&d.settled, id) }
func (d *fakeCore) Handed(id string)                { d.record(&d.handed, id) }
func (d *fakeCore) Room() bool                      { return !d.full }
func (d *fakeCore) Add(id string, a ledger.Answer)  { d.record(&d.notices, id+" "+a.Verdict.String()) }

// maxLingering is the limit on connections on which the relay has ended its side and the client has
// not.
const maxLingering = 3

func start(t *testing.T, maxConns int, kept ...int) (*Front, *fakeCore) {
	t.Helper()
	return startWith(t, func(o *Options) { o.Connections, o.IdleConnections = maxConns, append(kept, maxConns)[0] })
}

func startWith(t *testing.T, change func(*Options)) (*Front, *fakeCore) {
	t.Helper()
	d := &fakeCore{events: make(chan struct{}, 1000)}
	o := Options{Listen: "127.0.0.1:0", Classes: map[string]int{"notice": 0, "charge": 1},
		Ordered:          []bool{false, true},
		KnownDestination: func(n int) bool { return n < 10 }, Ready: func() bool { return true },
		HeaderBytes: 16 << 10, BodyBytes: 64 << 10,
		RequestPause: 500 * time.Millisecond, RequestTimeout: time.Second,
		IdleTimeout: 500 * time.Millisecond, LingerTimeout: 200 * time.Millisecond,
		LingeringConnections: maxLingering, WriteBuffer: 64 << 10, Core: d, Journal: d, Notices: d, Logf: t.Logf}
	change(&o)
	f, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f, d
}

func dial(t *testing.T, f *Front) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", f.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

func handInText(id, lane, dest, left, more, body string) string {
	return fmt.Sprintf("POST /api HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: %s\r\nX-Lane: %s\r\nCookie: a=b; about=key1\r\n"+
		"X-Remaining-Ms: %s\r\nX-Addressing: dest=%s\r\n%sContent-Length: %d\r\n\r\n%s",
		id, lane, left, dest, more, len(body), body)
}

// ask sends text and returns the status of the answer, 0 for a close without one.
func ask(t *testing.T, c net.Conn, text string) int {
	t.Helper()
	go func() { _, _ = io.WriteString(c, text) }() // the other side may close during the write
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		if ne, ok := err.(net.Error); ok && ne.Timeout() {
			t.Fatal("neither an answer nor a close in time")
		}
		return 0
	}
	_, _ = io.Copy(io.Discard, r.Body)
	return r.StatusCode
}

// kernelTick is the longest step of the clock by which Linux tells the age of data: CONFIG_HZ is 100 or more.
const kernelTick = 10 * time.Millisecond

// Guards against decisions that reach the client in the wrong way: a decision within the step is
// the response, a later one is a notice.
func TestAnswers(t *testing.T) {
	for verdict, want := range map[ledger.Verdict]int{
		0: 202, ledger.Delivered: 202, ledger.Refused: 429, ledger.Failed: 500} {
		f, d := start(t, 10)
		d.verdict = ledger.Answer{Verdict: verdict}
		c := dial(t, f)
		var roundTrip [2]time.Duration
		for i := range roundTrip { // the second request uses the same connection
			sent := time.Now()
			if got := ask(t, c, handInText(fmt.Sprint("m", i), "charge", "7", "480", "", "body")); got != want {
				t.Fatalf("%v within the step: %d, want %d", verdict, got, want)
			}
			roundTrip[i] = time.Since(sent)
		}
		m := d.taken[0]
		if m.Identity != "m0" || m.Class != 1 || m.Partner != 7 || m.Key != "key1" || string(m.Body) != "body" {
			t.Errorf("%+v", m)
		}
		const left = 480 * time.Millisecond
		if m.Left > left || m.Left < left-roundTrip[0]-kernelTick {
			t.Errorf("%s are left of %s, answered within %s", m.Left, left, roundTrip[0])
		}
		if d.taken[1].Left != left { // the wait of later requests is not measured
			t.Errorf("%s are left of %s", d.taken[1].Left, left)
		}
		<-d.events
		<-d.events
		if verdict != 0 {
			continue
		}
		m.Reply.Answer(ledger.Answer{Verdict: ledger.Failed})
		d.taken[1].Reply.Answer(ledger.Answer{Verdict: ledger.Delivered})
		if len(d.notices) != 1 || d.notices[0] != "m0 failed" || len(d.handed) != 0 {
			t.Errorf("notices %v, handed %v", d.notices, d.handed)
		}
	}
}

// Guards against accepting invalid input: each must get an error status or a close, and nothing may
// be handed in.
func TestBadClients(t *testing.T) {
	good := handInText("x1", "notice", "7", "480", "", "body")
	long := strings.Repeat("x", 4<<20)
	for name, text := range map[string]string{
		"noise":           "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n",
		"endless head":    "POST /api HTTP/1.1\r\nHost: h\r\nX: " + long,
		"endless fields":  "POST /api HTTP/1.1\r\n" + strings.Repeat("X: y\r\n", 100000),
		"wrong length":    strings.Replace(good, "Content-Length: 4", "Content-Length: 4x", 1),
		"negative length": strings.Replace(good, "Content-Length: 4", "Content-Length: -4", 1),
		"huge length":     strings.Replace(good, "Content-Length: 4", "Content-Length: 99999999999999999999", 1),
		"long body":       strings.Replace(good, "Content-Length: 4", "Content-Length: 60000000", 1) + long,
		"two lengths":     strings.Replace(good, "Content-Length: 4", "Content-Length: 4\r\nContent-Length: 5", 1),
		"length and chunked": strings.Replace(good, "Content-Length: 4",
			"Content-Length: 4\r\nTransfer-Encoding: chunked", 1),
		"odd chunked":        strings.Replace(good, "Content-Length: 4", "Transfer-Encoding: xchunked", 1),
		"no such class":      handInText("x1", "none", "7", "480", "", "body"),
		"no such dest":       handInText("x1", "notice", "70", "480", "", "body"),
		"dest is no number":  handInText("x1", "notice", "seven", "480", "", "body"),
		"dest below 0":       handInText("x1", "notice", "-7", "480", "", "body"),
		"time is no number":  handInText("x1", "notice", "7", "soon", "", "body"),
		"time below 0":       handInText("x1", "notice", "7", "-480", "", "body"),
		"time without end":   handInText("x1", "notice", "7", "99999999999999999999999", "", "body"),
		"no id":              strings.Replace(good, "X-Txn: x1\r\n", "", 1),
		"empty id":           strings.Replace(good, "X-Txn: x1", "X-Txn: ", 1),
		"two ids":            strings.Replace(good, "X-Txn: x1", "X-Txn: x1\r\nX-Txn: x2", 1),
		"id with a space":    strings.Replace(good, "X-Txn: x1", "X-Txn: x 1", 1),
		"half a request":     good[:len(good)-2],
		"half a head":        good[:40],
		"silent":             "",
		"300 pipelined":      strings.Repeat(good, 300),
		"a get":              "GET /api HTTP/1.1\r\nHost: h\r\n\r\n",
		"another path":       "POST /other HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n",
		"no host":            strings.Replace(good, "Host: origin.svc\r\n", "", 1),
		"bare line feeds":    strings.ReplaceAll(good, "\r\n", "\n"),
		"space before colon": strings.Replace(good, "X-Txn:", "X-Txn :", 1),
		"folded field":       strings.Replace(good, "X-Lane: notice", "X-Lane: notice\r\n x", 1),
		"unknown version":    strings.Replace(good, "HTTP/1.1", "HTTP/3.0", 1),
	} {
		t.Run(name, func(t *testing.T) {
			f, d := start(t, 10)
			got := ask(t, dial(t, f), text)
			d.mu.Lock()
			defer d.mu.Unlock()
			if got != 0 && got < 400 || len(d.taken) != 0 {
				t.Errorf("answered %d, %d handed in", got, len(d.taken))
			}
		})
	}
}

// Guards against messages that are not withdrawn when their client closes before the answer, and
// against withdrawing them when it closes afterwards.
func TestClientsThatLeave(t *testing.T) {
	f, d := start(t, 10)
	d.hold = true
	c := dial(t, f)
	if _, err := io.WriteString(c, handInText("gone", "notice", "7", "480", "", "")); err != nil {
		t.Fatal(err)
	}
	<-d.events
	_ = c.Close()
	<-d.events
	d.mu.Lock()
	if len(d.abandoned) != 1 || d.abandoned[0] != "gone" {
		t.Errorf("abandoned %v", d.abandoned)
	}
	d.hold = false
	d.mu.Unlock()
	c = dial(t, f)
	if got := ask(t, c, handInText("stays", "notice", "7", "480", "", "")); got != 202 {
		t.Fatal(got)
	}
	<-d.events
	_ = c.Close()
	for f.Connections() > 0 {
		time.Sleep(time.Millisecond)
	}
	if len(d.abandoned) != 1 {
		t.Errorf("abandoned %v after the answer was given", d.abandoned)
	}
}

// Guards against closing without a response when the client ends its sending side after the request
// and waits for the answer, and against holding the message of a client that has gone for good.
func TestHalfClosedClientIsAnsweredWhileItWaits(t *testing.T) {
	f, d := startWith(t, func(o *Options) {
		o.Connections, o.IdleConnections, o.ClientTimeout = 10, 10, 300*time.Millisecond
	})
	for _, text := range []string{handInText("ends", "notice", "7", "480", "", ""),
		"GET /up HTTP/1.1\r\nHost: r\r\n\r\n"} {
		c := dial(t, f)
		if _, err := io.WriteString(c, text); err != nil {
			t.Fatal(err)
		}
		if err := c.(*net.TCPConn).CloseWrite(); err != nil {
			t.Fatal(err)
		}
		if got := readToEnd(t, c, c); !strings.HasPrefix(got, "HTTP/1.1 20") {
			t.Errorf("%q", got)
		}
	}
	<-d.events
	d.mu.Lock()
	d.hold = true
	d.mu.Unlock()
	c := dial(t, f)
	if _, err := io.WriteString(c, handInText("leaves", "notice", "7", "480", "", "")); err != nil {
		t.Fatal(err)
	}
	<-d.events
	_ = c.Close()
	<-d.events
	if d.mu.Lock(); fmt.Sprint(d.abandoned) != "[leaves]" {
		t.Errorf("abandoned %v", d.abandoned)
	}
	d.mu.Unlock()
	for f.Connections() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// Guards against closing a request unanswered because its connection may have waited in the
// listener's queue for longer than its client waits: that time is only an upper bound, and the
// client has just sent.
func TestHalfClosedClientOfQueuedConnectionIsAnswered(t *testing.T) {
	f, d := startWith(t, func(o *Options) {
		o.Connections, o.IdleConnections, o.ClientTimeout, o.RequestPause = 10, 10, time.Minute, 2*time.Minute
	})
	d.hold = true
	c := dial(t, f)
	for f.Connections() == 0 {
		time.Sleep(time.Millisecond)
	}
	late := onlyConn(t, f)
	late.mu.Lock()
	late.queue.Delayed, late.queue.AtMost = time.Hour, time.Hour
	late.mu.Unlock()
	if _, err := io.WriteString(c, handInText("late", "notice", "7", "480", "", "")); err != nil {
		t.Fatal(err)
	}
	<-d.events
	if err := c.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	for !late.halfClosed.Load() {
		time.Sleep(time.Millisecond)
	}
	late.closeGivenUp()
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.abandoned) > 0 {
		t.Errorf("abandoned %v", d.abandoned)
	}
}

// Guards against a truncated response when the client ends its sending side before the socket has
// taken all of it.
func TestHalfClosedClientReadsItsWholeAnswer(t *testing.T) {
	f, _ := startWith(t, func(o *Options) {
		o.Connections, o.IdleConnections, o.LingerTimeout, o.WriteBuffer = 10, 10, time.Minute, 0
	})
	c := dial(t, f)
	if got := ask(t, c, "GET /up HTTP/1.1\r\nHost: r\r\n\r\n"); got != 200 {
		t.Fatal(got)
	}
	const large = 16 << 20 // more than a socket takes at once
	if _, err := onlyConn(t, f).socket.Write(make([]byte, large)); err != nil {
		t.Fatal(err)
	}
	if err := c.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond) // time for the relay to read the end
	if got := readToEnd(t, c, c); len(got) < large {
		t.Errorf("%d of %d bytes were read", len(got), large)
	}
}

// Guards against silent connections that keep other clients out: the ones idle for longest are
// closed first, and never one with a pending request.
func TestSilentConnectionsMakeRoom(t *testing.T) {
	f, d := start(t, 20)
	d.hold = true
	open := dial(t, f)
	if _, err := io.WriteString(open, handInText("open", "notice", "7", "480", "", "")); err != nil {
		t.Fatal(err)
	}
	<-d.events
	d.mu.Lock()
	d.hold = false
	d.mu.Unlock()
	for i := range 200 {
		dial(t, f)
		if i%20 == 19 {
			if got := ask(t, dial(t, f), handInText(fmt.Sprint("u", i), "notice", "7", "480", "", "")); got != 202 {
				t.Fatalf("a client among silent connections got %d", got)
			}
			<-d.events
		}
	}
	if n := f.Connections(); n > 20+maxLingering {
		t.Errorf("%d connections are open", n)
	}
	d.taken[0].Reply.Taken(nil)
	d.taken[0].Reply.(core.Decider).Decided()
	if r, err := http.ReadResponse(bufio.NewReader(open), nil); err != nil || r.StatusCode != 202 {
		t.Errorf("pending request: %v %v, want 202", r, err)
	}
}

// Guards against clients that keep used connections open and so keep others out: connections
// between two requests are closed before new ones.
func TestIdleConnectionsAreEvictedBeforeNewOnes(t *testing.T) {
	f, d := start(t, 20)
	for i := range 100 {
		c := dial(t, f)
		if got := ask(t, c, handInText(fmt.Sprint("m", i), "notice", "7", "480", "", "")); got != 202 {
			t.Fatalf("client %d got %d", i, got)
		}
		<-d.events
		if i >= 20 { // two that connect together; the second sends its request first
			first, second := dial(t, f), dial(t, f)
			for _, c := range []net.Conn{second, first} {
				if got := ask(t, c, handInText(fmt.Sprintf("p%d%v", i, c == first),
					"notice", "7", "480", "", "")); got != 202 {
					t.Fatalf("a client that connected along with another got %d", got)
				}
				<-d.events
			}
		}
	}
}

// Guards against clients that stay connected after one request and use up all connections: beyond a
// limit, the connection between two requests that has been idle longest is closed for each new one.
func TestIdleConnectionLimit(t *testing.T) {
	f, d := start(t, 50, 10)
	var all []net.Conn
	for i := range 30 {
		all = append(all, dial(t, f))
		if got := ask(t, all[i], handInText(fmt.Sprint("m", i), "notice", "7", "480", "", "")); got != 202 {
			t.Fatalf("client %d got %d", i, got)
		}
		<-d.events
	}
	if n := f.Connections(); n > 11+maxLingering {
		t.Errorf("%d connections are open, want at most 10 between two requests", n)
	}
	if got := ask(t, all[29], handInText("again", "notice", "7", "480", "", "")); got != 202 {
		t.Errorf("the next request of the last client got %d", got)
	}
}

// Guards against closing a connection that was selected while it was idle and on which a request
// arrived before the close: its message must not be withdrawn, and must get its answer.
func TestRequestCrossingCloseIsAnswered(t *testing.T) {
	f, d := start(t, 10)
	c := dial(t, f)
	if got := ask(t, c, handInText("first", "charge", "7", "480", "", "")); got != 202 {
		t.Fatal(got)
	}
	<-d.events
	d.mu.Lock()
	d.hold = true
	d.mu.Unlock()
	var picked *conn
	f.endMatching(lifecycle.CloseIdle, func(c *conn) bool {
		picked = c
		return false
	})
	if _, err := io.WriteString(c, handInText("crosses", "charge", "7", "480", "", "")); err != nil {
		t.Fatal(err)
	}
	<-d.events
	if picked.tryEnd(lifecycle.CloseIdle) {
		t.Error("closed while a request is pending")
	}
	d.mu.Lock()
	last := d.taken[1]
	d.mu.Unlock()
	last.Reply.Taken(nil)
	last.Reply.(core.Decider).Decided()
	if r, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || r.StatusCode != 202 ||
		len(d.abandoned) != 0 {
		t.Errorf("%v %v, withdrawn %v", r, err, d.abandoned)
	}
	if !picked.tryEnd(lifecycle.CloseIdle) {
		t.Error("not closed when it was idle again")
	}
}

// Guards against connections that stay open while draining, after their next answer, and against
// hand-ins after that.
func TestDrain(t *testing.T) {
	f, _ := start(t, 10)
	c := dial(t, f)
	if got := ask(t, c, handInText("m1", "notice", "7", "480", "", "")); got != 202 {
		t.Fatal(got)
	}
	f.Drain()
	_, _ = io.WriteString(c, handInText("m2", "notice", "7", "480", "", ""))
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || r.StatusCode != 202 || !r.Close {
		t.Errorf("%v %v, want 202 and Connection: close", r, err)
	}
	if got := ask(t, dial(t, f), "GET /up HTTP/1.1\r\nHost: h\r\n\r\n"); got != 503 {
		t.Errorf("/up says %d while draining", got)
	}
	f.CloseListener()
	if c, err := net.Dial("tcp", f.Addr()); err == nil {
		_ = c.Close()
		t.Error("the listener is open after CloseListener")
	}
}
