package partner

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"basaltcross.example/basaltcross/choice"
	"basaltcross.example/basaltcross/internal/addr"
	"basaltcross.example/basaltcross/internal/core"
	"basaltcross.example/basaltcross/internal/lifecycle"
)

const (
	servedResponse  = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	refusedResponse = "HTTP/1.1 503 U\r\nContent-Length: 0\r\n\r\n"
)

// list returns a response to a call with several messages, all in the same state.
func list(state string, ids ...string) string {
	text := "["
	for i, id := range ids {
		if i > 0 {
			text += ","
		}
		text += fmt.Sprintf(`{"id":%q,"state":%q}`, id, state)
	}
	text += "]"
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
}

// scripted is a host that sends the given responses on each connection, one per request, the last
// one repeatedly. What is sent to unasked is written to the connections.
type scripted struct {
	addr        string
	connections atomic.Int64
	unasked     chan string
	written     chan struct{}
}

func startScripted(t *testing.T, answers ...string) *scripted {
	t.Helper()
	s := &scripted{unasked: make(chan string), written: make(chan struct{}, 16)}
	s.addr = peer(t, func(conn net.Conn, r *bufio.Reader) {
		s.connections.Add(1)
		go func() {
			for text := range s.unasked {
				_, _ = io.WriteString(conn, text)
				s.written <- struct{}{}
			}
		}()
		for i := 0; request(r) == nil; i++ {
			if _, err := io.WriteString(conn, answers[min(i, len(answers)-1)]); err != nil {
				return
			}
		}
	})
	t.Cleanup(func() { close(s.unasked) })
	return s
}

// sendDoubtable sends one call, and returns its end and a channel that receives its name if its
// answer is retracted.
func sendDoubtable(t *testing.T, c *Caller, name string, several ...core.Item) (core.Ending, chan string) {
	t.Helper()
	return sendCall(t, c, core.Call{Identity: name, Items: several})
}

// sendCall is sendDoubtable for a call that is given in part.
func sendCall(t *testing.T, c *Caller, call core.Call) (core.Ending, chan string) {
	t.Helper()
	ended, doubted := make(chan core.Ending, 1), make(chan string, 1)
	call.ID, call.Host, call.Body, call.Timeout = "m", "h", []byte("body"), 10*time.Second
	call.End, call.Retract = func(e core.Ending) { ended <- e }, func() { doubted <- call.Identity }
	c.Send(call)
	select {
	case e := <-ended:
		return e, doubted
	case <-time.After(20 * time.Second):
		t.Fatal("the call did not end within 20 s")
		return core.Ending{}, nil
	}
}

// Guards against an answer that stays valid although unsolicited bytes follow it, which shows that
// the answer may have belonged to an earlier call, and against a host that sent such bytes and is
// trusted as before.
func TestUnsolicitedBytesRetractTheLastAnswer(t *testing.T) {
	host := startScripted(t, servedResponse)
	c := hookCaller(t, host.addr)
	waits := make(chan time.Duration, 1)
	c.opt.UnsolicitedWait = func(_ string, _ int, wait time.Duration) { waits <- wait }
	first, _ := sendDoubtable(t, c, "first")
	// A usual answer time of a minute: the second answer is still unsettled when the bytes come.
	c.conduct.RecordAnswerTime(c.now(), "h", time.Minute)
	second, doubted := sendDoubtable(t, c, "second")
	if first.Outcome != choice.Served || first.Attribution != lifecycle.Certain || second.Outcome != choice.Served || second.Attribution != lifecycle.Likely {
		t.Fatalf("first call ended with %+v, second with %+v", first, second)
	}
	host.unasked <- "HTTP/1.1 429 T\r\nX-RateLimit-Wait-Ms: 250\r\nContent-Length: 0\r\n\r\n"
	if name := <-doubted; name != "second" {
		t.Errorf("the answer to %s is retracted, want second", name)
	}
	if wait := <-waits; wait != 250*time.Millisecond { // the bytes may be the real answer to the second call
		t.Errorf("a wait of %s is applied, want 250ms", wait)
	}
	waitFor(t, "closed", func() bool { return c.Connections("h") == 0 })
	if e, _ := sendDoubtable(t, c, "early"); e.Outcome != choice.NotSent {
		t.Errorf("a call within the wait: %+v, want it not sent", e)
	}
	waitFor(t, "over", func() bool { return !c.pools["h"].mustWait() })
	for i := range 3 {
		if e, _ := sendDoubtable(t, c, "later"); e.Outcome != choice.Served || e.Attribution != lifecycle.Certain {
			t.Errorf("call %d after the unsolicited bytes: %+v", i, e)
		}
	}
	if n := host.connections.Load(); n != 4 {
		t.Errorf("%d connections, want one for each call to a distrusted host", n)
	}
	if counts := c.Refusals(); counts[lifecycle.BytesUnasked] != 1 || counts[lifecycle.AnswerRetracted] != 1 {
		t.Errorf("counted %v", counts)
	}
}

// Guards against a call within a told wait that the core has not learnt of yet: the call had waited for a connection.
func TestCallIsNotWrittenWithinAToldWait(t *testing.T) {
	host := startScripted(t, "HTTP/1.1 429 T\r\nX-RateLimit-Wait-Ms: 200\r\nContent-Length: 0\r\n\r\n", servedResponse)
	c := hookCaller(t, host.addr)
	ends := make(chan core.Ending, 2)
	next := core.Call{ID: "next", Identity: "next", Host: "h", Timeout: 10 * time.Second,
		End: func(e core.Ending) { ends <- e }}
	first := next
	first.ID, first.Identity = "first", "first"
	first.End = func(e core.Ending) {
		ends <- e
		c.Send(next)
	}
	c.Send(first)
	if e := <-ends; e.Outcome != choice.Refused {
		t.Fatalf("the first call: %+v", e)
	}
	if e := <-ends; e.Outcome != choice.NotSent {
		t.Errorf("a call within the wait: %+v, want it not sent", e)
	}
	waitFor(t, "over", func() bool { return !c.pools["h"].mustWait() })
	if e, _ := sendDoubtable(t, c, "later"); e.Outcome != choice.Served {
		t.Errorf("a call behind the wait: %+v", e)
	}
}

// Guards against a copy of a refusal that counts as proof that the next call on the connection did not
// run: a message that must not be repeated goes where no answer can be a copy, and any other counts as
// one that may have run, whose call is given up with its connection.
func TestCopyOfARefusalProvesNothing(t *testing.T) {
	host := startScripted(t, refusedResponse)
	c := hookCaller(t, host.addr)
	if e, _ := sendDoubtable(t, c, "first"); e.Outcome != choice.Refused || e.Attribution != lifecycle.Certain {
		t.Fatalf("the first answer on a connection: %+v", e)
	}
	once, _ := sendCall(t, c, core.Call{Identity: "once", NotRepeatable: true})
	if once.Outcome != choice.Refused || once.Attribution != lifecycle.Certain || host.connections.Load() != 2 {
		t.Errorf("%+v over %d connections, want a proved refusal over 2", once, host.connections.Load())
	}
	e, _ := sendDoubtable(t, c, "second")
	if e.Outcome != choice.Refused || e.Attribution != lifecycle.Likely || host.connections.Load() != 2 {
		t.Errorf("%+v over %d connections, want an unproven refusal over 2", e, host.connections.Load())
	}
	waitFor(t, "closed", func() bool { return c.Connections("h") == 1 })
}

// Guards against a needless connection for each message that must not be repeated: a refusal behind a
// delivery can't be a copy of it, until a second delivery may have been one.
func TestRefusalBehindADeliveryIsProved(t *testing.T) {
	host := startScripted(t, servedResponse, refusedResponse, servedResponse, servedResponse)
	c := hookCaller(t, host.addr)
	for i, want := range []struct {
		outcome     choice.Outcome
		unproven    bool
		connections int64
	}{
		{choice.Served, false, 1}, {choice.Refused, false, 1}, // the third could be refused by a copy: a new connection
		{choice.Served, false, 2}, {choice.Refused, false, 2},
	} {
		e, _ := sendCall(t, c, core.Call{Identity: fmt.Sprint("once", i), NotRepeatable: true})
		if e.Outcome != want.outcome || (e.Attribution != lifecycle.Certain) != want.unproven || host.connections.Load() != want.connections {
			t.Errorf("call %d: %+v over %d connections, want %+v", i, e, host.connections.Load(), want)
		}
	}
}

// Guards against the next message of a key that goes behind a delivery which nothing proves: a delivery is proved on a
// connection that has carried none, and in an answer that names its messages.
func TestDeliveryOfAnOrderedMessageIsProved(t *testing.T) {
	host := startScripted(t, servedResponse)
	c := hookCaller(t, host.addr)
	for i, call := range []core.Call{{Ordered: true}, {}, {Ordered: true}, {Ordered: true, NotRepeatable: true}} {
		e, _ := sendCall(t, c, call)
		if proved := e.Attribution == lifecycle.Certain; e.Outcome != choice.Served || proved != call.Ordered {
			t.Errorf("call %d ended with %+v", i, e)
		}
	}
	if n := host.connections.Load(); n != 3 {
		t.Errorf("%d connections, want one for each ordered message", n)
	}
	host = startScripted(t, refusedResponse, servedResponse, list("delivered", "m"))
	c = hookCaller(t, host.addr)
	for i, call := range []core.Call{{Ordered: true}, {Ordered: true}, {Ordered: true, Items: []core.Item{{Identity: "m"}}}} {
		if e, _ := sendCall(t, c, call); e.Attribution != lifecycle.Certain {
			t.Errorf("call %d ended with %+v", i, e)
		}
	}
	if n := host.connections.Load(); n != 1 {
		t.Errorf("%d connections behind a refusal and to several messages, want 1", n)
	}
}

// Guards against a delivery that counts as unproven although the rest of its answer proves it: its first line came alone,
// behind an answer that named its messages.
func TestRestOfAnAnswerProvesItsCall(t *testing.T) {
	c := hookCaller(t, peer(t, func(conn net.Conn, r *bufio.Reader) {
		if request(r) != nil {
			return
		}
		_, _ = io.WriteString(conn, list("delivered", "first"))
		if request(r) != nil {
			return
		}
		line, rest, _ := strings.Cut(servedResponse, "\r\n")
		_, _ = io.WriteString(conn, line+"\r\n")
		time.Sleep(50 * time.Millisecond) // the caller reads the line meanwhile
		_, _ = io.WriteString(conn, rest)
		_ = request(r)
	}))
	for i, call := range []core.Call{{Items: []core.Item{{Identity: "first"}}}, {Identity: "second", Ordered: true, NotRepeatable: true}} {
		if e, _ := sendCall(t, c, call); e.Attribution != lifecycle.Certain {
			t.Errorf("call %d ended with %+v", i, e)
		}
	}
}

// Guards against idle connections that no call may use any more: they fill the pool, so that others are not kept.
func TestConnectionsThatProveNothingAreNotKept(t *testing.T) {
	for _, x := range []struct {
		once, ordered bool
		calls, opened int64
	}{{true, false, 40, 20}, {false, true, 40, 40}, {true, true, 40, 40}, {false, false, 200, 4}} { // 65 calls on each of the last
		host := startScripted(t, servedResponse)
		c := hookCaller(t, host.addr)
		for range x.calls {
			sendCall(t, c, core.Call{Identity: "m", NotRepeatable: x.once, Ordered: x.ordered})
		}
		if n := host.connections.Load(); n != x.opened {
			t.Errorf("%+v: %d connections", x, n)
		}
		// A connection stays open for a moment behind its last answer.
		waitFor(t, "closed", func() bool { return c.Connections("h") <= 2 })
	}
}

// Guards against an end that counts as proved although it may be a copy: 410 says that nothing is owed any more, 504
// that all attempts are used up. And against one that is dropped although it may be the call's own.
func TestCopyOfAnEndIsNoProof(t *testing.T) {
	for status, over := range map[string]bool{"410 G": true, "504 T": false} {
		host := startScripted(t, "HTTP/1.1 "+status+"\r\nContent-Length: 0\r\n\r\n")
		c := hookCaller(t, host.addr)
		for i, want := range []lifecycle.Attribution{lifecycle.Certain, lifecycle.Likely} {
			e, _ := sendDoubtable(t, c, fmt.Sprint("m", i))
			if e.Over != over || e.Spent == over || e.Attribution != want {
				t.Errorf("%s: call %d ended with %+v, want attribution %d", status, i, e, want)
			}
		}
		if n := host.connections.Load(); n != 1 {
			t.Errorf("%s: %d connections, want one", status, n)
		}
	}
}

// Guards against a call with several messages that ends by the answer to another such call.
func TestAnswerThatNamesOtherMessagesIsSkipped(t *testing.T) {
	host := startScripted(t, list("delivered", "a", "b"), list("delivered", "a", "b")+list("refused", "c", "d"))
	c := hookCaller(t, host.addr)
	if e, _ := sendDoubtable(t, c, "", core.Item{Identity: "a"},
		core.Item{Identity: "b"}); e.Each[0].Outcome != choice.Served {
		t.Fatalf("%+v", e)
	}
	e, _ := sendDoubtable(t, c, "", core.Item{Identity: "c"}, core.Item{Identity: "d"})
	if len(e.Each) != 2 || e.Each[0].Outcome != choice.Refused || e.Each[1].Outcome != choice.Refused ||
		e.Attribution != lifecycle.Certain || e.Each[0].Attribution != lifecycle.Certain {
		t.Errorf("%+v, want both messages refused", e)
	}
	if counts := c.Refusals(); counts[lifecycle.AnswerForeign] != 1 {
		t.Errorf("counted %v", counts)
	}
}

// Guards against an answer taken for that of a call although it was there before: further bytes
// follow the answer, or the host is known to send duplicates.
func TestDistrustedHostGetsOneCallPerConnection(t *testing.T) {
	host := startScripted(t, servedResponse, servedResponse+refusedResponse)
	c := hookCaller(t, host.addr)
	sendDoubtable(t, c, "first")
	e, _ := sendDoubtable(t, c, "second")
	if e.Outcome != choice.Doubted {
		t.Errorf("an answer followed by further bytes: %+v", e)
	}
	if e, _ := sendDoubtable(t, c, "third"); e.Outcome != choice.Served || host.connections.Load() != 2 {
		t.Errorf("third call: %+v over %d connections", e, host.connections.Load())
	}
}

// Guards against a message that is called again although its own answer, behind a copy of another one in the same
// read, says that it has ended. Behind an answer that is proved, other bytes say nothing.
func TestEndBehindADoubtfulAnswerIsHeeded(t *testing.T) {
	const over = "HTTP/1.1 410 G\r\nContent-Length: 0\r\n\r\n"
	for _, x := range []struct {
		behind      string
		first, over bool
	}{{over, false, true}, {servedResponse, false, true}, {refusedResponse, false, false}, {over, true, false}} {
		answers := []string{servedResponse, refusedResponse + x.behind}
		if x.first {
			answers = answers[1:]
		}
		c := hookCaller(t, startScripted(t, answers...).addr)
		var e core.Ending
		for range answers {
			e, _ = sendDoubtable(t, c, "m")
		}
		if e.Over != x.over {
			t.Errorf("%+v: %+v", x, e)
		}
	}
}

// Guards against an answer that is accepted for a later call on a connection although it came
// before that call was written: it is a duplicate of an earlier answer.
func TestEarlyAnswerOnAReusedConnectionIsNotAccepted(t *testing.T) {
	const large = 32 << 20 // larger than any socket buffer
	over := make(chan struct{})
	defer close(over)
	for _, platform := range []bool{true, false} {
		at := peer(t, func(conn net.Conn, r *bufio.Reader) {
			if request(r) != nil {
				return
			}
			_, _ = io.WriteString(conn, servedResponse)
			if _, err := r.Peek(1); err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 429 T\r\nX-RateLimit-Wait-Ms: 250\r\nContent-Length: 0\r\n\r\n")
			<-over
		})
		c, want := hookCaller(t, at), core.Ending{Outcome: choice.NotSent, Wait: 250 * time.Millisecond}
		if !platform {
			c, want = caller(t, true), core.Ending{Outcome: choice.Doubted}
			a, err := addr.Parse(at)
			if err != nil {
				t.Fatal(err)
			}
			c.SetAddresses(map[string][]addr.Address{"h": {a}})
		}
		sendDoubtable(t, c, "first")
		ended := make(chan core.Ending, 1)
		c.Send(core.Call{ID: "m", Identity: "large", Host: "h", Body: make([]byte, large),
			Timeout: 10 * time.Second, End: func(e core.Ending) { ended <- e }})
		e := <-ended
		if e.Outcome != want.Outcome || e.Wait != want.Wait {
			t.Errorf("platform %v: %+v, want %+v", platform, e, want)
		}
		if counts := c.Refusals(); counts[lifecycle.AnswerEarly] != 1 {
			t.Errorf("counted %v", counts)
		}
	}
}
