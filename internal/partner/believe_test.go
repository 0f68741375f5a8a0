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
	served     = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	turnedAway = "HTTP/1.1 503 U\r\nContent-Length: 0\r\n\r\n"
)

// list is the answer to a call with several messages.
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

// scripted is a host whose answers to the calls of each connection are given; more says what is written
// unasked once it is told to go on.
type scripted struct {
	addr        string
	connections atomic.Int64
	more        chan string
	written     chan struct{}
}

func script(t *testing.T, answers ...string) *scripted {
	t.Helper()
	s := &scripted{more: make(chan string), written: make(chan struct{}, 16)}
	s.addr = peer(t, func(conn net.Conn, r *bufio.Reader) {
		s.connections.Add(1)
		go func() {
			for text := range s.more {
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
	t.Cleanup(func() { close(s.more) })
	return s
}

// doubtful sends one call, and returns its end and where it is told that this was another's.
func doubtful(t *testing.T, c *Caller, name string, several ...core.Item) (core.Ending, chan string) {
	t.Helper()
	ended, doubted := make(chan core.Ending, 1), make(chan string, 1)
	c.Send(core.Call{ID: "m", Name: name, Host: "h", Body: []byte("body"), Patient: 10 * time.Second, Several: several,
		End: func(e core.Ending) { ended <- e }, Doubted: func() { doubted <- name }})
	select {
	case e := <-ended:
		return e, doubted
	case <-time.After(20 * time.Second):
		t.Fatal("no ending")
		return core.Ending{}, nil
	}
}

// Guards against an answer that stays believed though bytes come behind it that nobody asked for, and against a
// host that sent them and is trusted as before.
func TestBytesNobodyAskedForRetractTheLastAnswer(t *testing.T) {
	host := script(t, served, turnedAway)
	c := hookCaller(t, host.addr)
	waits := make(chan time.Duration, 1)
	c.opt.Waits = func(_ string, _ int, wait time.Duration) { waits <- wait }
	first, _ := doubtful(t, c, "first")
	c.conduct.Took(c.now(), "h", time.Minute) // the second answer is not confirmed before the bytes come
	second, doubted := doubtful(t, c, "second")
	if first.Outcome != choice.Served || first.Unconfirmed != 0 || second.Outcome != choice.Refused || second.Unconfirmed == 0 {
		t.Fatalf("%+v, then %+v", first, second)
	}
	host.more <- "HTTP/1.1 429 T\r\nX-RateLimit-Wait-Ms: 250\r\nContent-Length: 0\r\n\r\n"
	if name := <-doubted; name != "second" {
		t.Errorf("%s is doubted", name)
	}
	if wait := <-waits; wait != 250*time.Millisecond { // it may be the own answer of the second call
		t.Errorf("%s is heeded, want 250ms", wait)
	}
	until(t, "closed", func() bool { return c.Connections("h") == 0 })
	for i := range 3 {
		if e, _ := doubtful(t, c, "later"); e.Outcome != choice.Served || e.Unconfirmed != 0 {
			t.Errorf("call %d after it: %+v", i, e)
		}
	}
	if n := host.connections.Load(); n != 4 {
		t.Errorf("%d connections, want one for each call once the host is doubted", n)
	}
	if counts := c.Refusals(); counts[lifecycle.BytesUnasked] != 1 || counts[lifecycle.AnswerRetracted] != 1 {
		t.Errorf("counted %v", counts)
	}
}

// Guards against a call that goes out on a connection behind a refusal which may have been another's.
func TestConnectionBehindARefusalIsSetAside(t *testing.T) {
	host := script(t, served, turnedAway, served)
	c := hookCaller(t, host.addr)
	doubtful(t, c, "first")
	c.conduct.Took(c.now(), "h", time.Minute)
	doubtful(t, c, "refused")
	if e, _ := doubtful(t, c, "next"); e.Outcome != choice.Served || host.connections.Load() != 2 {
		t.Errorf("%+v over %d connections, want a second one", e, host.connections.Load())
	}
}

// Guards against the answer to another call with several messages that ends this one.
func TestAnswerThatNamesOtherMessagesIsSkipped(t *testing.T) {
	host := script(t, list("delivered", "a", "b"), list("delivered", "a", "b")+list("refused", "c", "d"))
	c := hookCaller(t, host.addr)
	if e, _ := doubtful(t, c, "", core.Item{ID: "a"}, core.Item{ID: "b"}); e.Each[0].Outcome != choice.Served {
		t.Fatalf("%+v", e)
	}
	e, _ := doubtful(t, c, "", core.Item{ID: "c"}, core.Item{ID: "d"})
	if len(e.Each) != 2 || e.Each[0].Outcome != choice.Refused || e.Each[1].Outcome != choice.Refused || e.Unconfirmed != 0 {
		t.Errorf("%+v, want both refused", e)
	}
	if counts := c.Refusals(); counts[lifecycle.AnswerForeign] != 1 {
		t.Errorf("counted %v", counts)
	}
}

// Guards against an answer that was there before its call was written: bytes stand on the connection when the next
// call should get it, or the host is known to send such.
func TestAnswersOfADoubtedHostAreBelievedOnFirstCallsOnly(t *testing.T) {
	host := script(t, served, served+turnedAway)
	c := hookCaller(t, host.addr)
	doubtful(t, c, "first")
	e, _ := doubtful(t, c, "second")
	if e.Outcome != choice.Doubted {
		t.Errorf("an answer with bytes behind it: %+v", e)
	}
	if e, _ := doubtful(t, c, "third"); e.Outcome != choice.Served || host.connections.Load() != 2 {
		t.Errorf("%+v over %d connections", e, host.connections.Load())
	}
}

// Guards against an answer to a later call that is believed although it came before that call was written: a second copy.
func TestAnswerBeforeItsCallIsWrittenIsNobodysOnAUsedConnection(t *testing.T) {
	const large = 32 << 20 // no socket takes it at once
	over := make(chan struct{})
	defer close(over)
	for _, platform := range []bool{true, false} {
		at := peer(t, func(conn net.Conn, r *bufio.Reader) {
			if request(r) != nil {
				return
			}
			_, _ = io.WriteString(conn, served)
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
			c.Addresses(map[string][]addr.Address{"h": {a}})
		}
		doubtful(t, c, "first")
		ended := make(chan core.Ending, 1)
		c.Send(core.Call{ID: "m", Name: "large", Host: "h", Body: make([]byte, large), Patient: 10 * time.Second, End: func(e core.Ending) { ended <- e }})
		e := <-ended
		if e.Outcome != want.Outcome || e.Wait != want.Wait {
			t.Errorf("platform %v: %+v, want %+v", platform, e, want)
		}
		if counts := c.Refusals(); counts[lifecycle.AnswerEarly] != 1 {
			t.Errorf("counted %v", counts)
		}
	}
}
