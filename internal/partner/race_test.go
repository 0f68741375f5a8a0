package partner

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"basaltcross.example/basaltcross/choice"
	"basaltcross.example/basaltcross/internal/addr"
	"basaltcross.example/basaltcross/internal/core"
	"basaltcross.example/basaltcross/internal/testutil/port"
)

func addresses(t testing.TB, list ...string) (out []addr.Address) {
	t.Helper()
	for _, s := range list {
		a, err := addr.Parse(s)
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, a)
	}
	return out
}

// A race: the good address carries the request though the first never connects;
// a cancel during the race leaves nothing behind; with only dead addresses the
// attempt ends as no connection, within its time.
func TestRace(t *testing.T) {
	good := peer(t, func(conn net.Conn, r *bufio.Reader) {
		for request(r) == nil {
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	hole, refused := port.Unanswered(t), port.Refusing(t, "::1")
	c := caller(t, true)
	c.Addresses(map[string][]addr.Address{"e": addresses(t, refused, hole, good), "dead": addresses(t, refused, hole)})
	for range 5 {
		if e := do(t, c, "e", nil); e.Outcome != choice.Served {
			t.Fatalf("outcome %d", e.Outcome)
		}
		c.CloseIdle("e")
	}
	if p := c.book("e").Plan(c.now(), time.Second); p[0].Addr != good {
		t.Errorf("learned: %+v", p)
	}
	ended := make(chan core.Ending, 4)
	send := func(within time.Duration) core.Attempt {
		return c.Send(core.Call{Host: "dead", Patient: within, End: func(e core.Ending) { ended <- e }})
	}
	if started, ok := send(time.Minute).Abort(); started || !ok {
		t.Errorf("abort: %v, %v", started, ok)
	}
	send(300 * time.Millisecond)
	if e := <-ended; e.Outcome != choice.NoConnection {
		t.Errorf("only dead ones: outcome %d", e.Outcome)
	}
	connections := func(host string, want int) func() bool {
		return func() bool { return c.Connections(host) == want }
	}
	until(t, "the end of the races", connections("dead", 0))
	// An address leaves the list with a connection kept to it. The one before that counts
	// until its own goroutine has taken in that it was closed.
	if e := do(t, c, "e", nil); e.Outcome != choice.Served {
		t.Fatalf("outcome %d", e.Outcome)
	}
	until(t, "one connection", connections("e", 1))
	c.Addresses(map[string][]addr.Address{"e": addresses(t, refused)})
	until(t, "the end of the connection kept", connections("e", 0))
}

// What a first address that never connects adds to a connection: at first, once
// it is learned, without any fallback needed, and with net.Dialer's own.
func BenchmarkDeadFirst(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			_ = conn.Close()
		}
	}()
	good, hole := l.Addr().String(), port.Unanswered(b)
	c, err := New(Options{Targets: []Target{{}}, Keep: addr.KeepSettings{Idle: time.Minute}})
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	measure := func(b *testing.B, dial func() (net.Conn, error)) {
		var took []time.Duration
		for b.Loop() {
			at := time.Now()
			conn, err := dial()
			if err != nil {
				b.Fatal(err)
			}
			took = append(took, time.Since(at))
			_ = conn.Close()
		}
		slices.Sort(took)
		b.ReportMetric(float64(took[len(took)/2].Microseconds()), "p50-us")
		b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-us")
	}
	race := func(book *addr.Book) func() (net.Conn, error) {
		return func() (net.Conn, error) {
			conn, _, err := c.race(context.Background(), "e", 5*time.Second, book)
			return conn, err
		}
	}
	b.Run("good alone", func(b *testing.B) { measure(b, race(addr.NewBook("e", &addr.Families{}, addresses(b, good)))) })
	book := addr.NewBook("e", &addr.Families{}, addresses(b, hole, good))
	b.Run("first call", func(b *testing.B) {
		measure(b, func() (net.Conn, error) {
			return race(addr.NewBook("e", &addr.Families{}, addresses(b, hole, good)))()
		})
	})
	b.Run("learned", func(b *testing.B) { measure(b, race(book)) })
	b.Run("net.Dialer", func(b *testing.B) { // ::1 refuses at once, which is the milder case
		_, port, _ := net.SplitHostPort(good)
		measure(b, func() (net.Conn, error) { return net.Dial("tcp", "localhost:"+port) })
	})
}
