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

// Guards against a first address that never connects and delays or fails the call, against
// connections left behind by a call aborted during the race, and against calls that outlast their
// time-out if all addresses are dead.
func TestRace(t *testing.T) {
	good := peer(t, func(conn net.Conn, r *bufio.Reader) {
		for request(r) == nil {
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	unanswered, refused := port.Unanswered(t), port.Refusing(t, "::1")
	c := caller(t, true)
	c.SetAddresses(map[string][]addr.Address{"e": addresses(t, refused, unanswered, good),
		"dead": addresses(t, refused, unanswered)})
	for range 5 {
		if e := do(t, c, "e", nil); e.Outcome != choice.Served {
			t.Fatalf("outcome %d", e.Outcome)
		}
		c.CloseIdle("e")
	}
	if p := c.selector("e").Plan(c.now(), time.Second); p[0].Addr != good {
		t.Errorf("the working address is not first: %+v", p)
	}
	ended := make(chan core.Ending, 4)
	send := func(within time.Duration) core.Attempt {
		return c.Send(core.Call{Host: "dead", Timeout: within, End: func(e core.Ending) { ended <- e }})
	}
	if started, ok := send(time.Minute).Abort(); started || !ok {
		t.Errorf("abort: %v, %v", started, ok)
	}
	send(300 * time.Millisecond)
	if e := <-ended; e.Outcome != choice.NoConnection {
		t.Errorf("only dead addresses: outcome %d", e.Outcome)
	}
	connections := func(host string, want int) func() bool {
		return func() bool { return c.Connections(host) == want }
	}
	waitFor(t, "the races are over", connections("dead", 0))
	// An address is removed while there is an idle connection to it. The previous connection counts
	// until its own goroutine has handled its close.
	if e := do(t, c, "e", nil); e.Outcome != choice.Served {
		t.Fatalf("outcome %d", e.Outcome)
	}
	waitFor(t, "a single connection", connections("e", 1))
	c.SetAddresses(map[string][]addr.Address{"e": addresses(t, refused)})
	waitFor(t, "the idle connection is closed", connections("e", 0))
}

// Measures what a first address that never connects adds to the connect time: before it is known,
// once it is known, without such an address, and with net.Dialer.
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
	good, unanswered := l.Addr().String(), port.Unanswered(b)
	c, err := New(Options{Targets: []Target{{}}, Pool: addr.PoolSettings{IdleTimeout: time.Minute}})
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
	race := func(selector *addr.Selector) func() (net.Conn, error) {
		return func() (net.Conn, error) {
			conn, _, err := c.race(context.Background(), "e", 5*time.Second, selector)
			return conn, err
		}
	}
	b.Run("good alone", func(b *testing.B) {
		measure(b, race(addr.NewSelector("e", &addr.FamilyHealth{}, addresses(b, good))))
	})
	selector := addr.NewSelector("e", &addr.FamilyHealth{}, addresses(b, unanswered, good))
	b.Run("first call", func(b *testing.B) {
		measure(b, func() (net.Conn, error) {
			return race(addr.NewSelector("e", &addr.FamilyHealth{}, addresses(b, unanswered, good)))()
		})
	})
	b.Run("learned", func(b *testing.B) { measure(b, race(selector)) })
	b.Run("net.Dialer", func(b *testing.B) { // ::1 refuses at once, which is less severe
		_, port, _ := net.SplitHostPort(good)
		measure(b, func() (net.Conn, error) { return net.Dial("tcp", "localhost:"+port) })
	})
}
