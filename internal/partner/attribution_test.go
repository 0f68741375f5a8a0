package partner

import (
	"bufio"
	"fmt"
	"io"
	"net"
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
	ended, doubted := make(chan core.Ending, 1), make(chan string, 1)
	c.Send(core.Call{ID: "m", Identity: name, Host: "h", Body: []byte("body"), Timeout: 10 * time.Second,
		Items: several,
		End:   func(e core.Ending) { ended <- e }, Retract: func() { doubted <- name }})
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
	host := startScripted(t, servedResponse, refusedResponse)
	c := hookCaller(t, host.addr)
	waits := make(chan time.Duration, 1)
	c.opt.UnsolicitedWait = func(_ string, _ int, wait time.Duration) { waits <- wait }
	first, _ := sendDoubtable(t, c, "first")
	// A usual answer time of a minute: the second answer is still unconfirmed when the bytes come.
	c.conduct.RecordAnswerTime(c.now(), "h", time.Minute)
	second, doubted := sendDoubtable(t, c, "second")
	if first.Outcome != choice.Served || first.ConfirmAfter != 0 ||
		second.Outcome != choice.Refused || second.ConfirmAfter == 0 {
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
	for i := range 3 {
		if e, _ := sendDoubtable(t, c, "later"); e.Outcome != choice.Served || e.ConfirmAfter != 0 {
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

// Guards against a call that goes out on a connection right after a refusal that may have belonged
// to another call.
func TestConnectionIsNotReusedAfterAnUnconfirmedRefusal(t *testing.T) {
	host := startScripted(t, servedResponse, refusedResponse, servedResponse)
	c := hookCaller(t, host.addr)
	sendDoubtable(t, c, "first")
	c.conduct.RecordAnswerTime(c.now(), "h", time.Minute)
	sendDoubtable(t, c, "refused")
	if e, _ := sendDoubtable(t, c, "next"); e.Outcome != choice.Served || host.connections.Load() != 2 {
		t.Errorf("%+v over %d connections, want Served over 2", e, host.connections.Load())
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
		e.ConfirmAfter != 0 {
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
