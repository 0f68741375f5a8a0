package agent

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"basaltcross.example/basaltcross/internal/ledger"
)

const (
	up      = `{"uid":"s1","endpoint":"1.1.1.1:1","az":"a","model":"m","pod_group":3,"state":"up","capacity_hint":1}`
	drain   = `{"uid":"s1","endpoint":"1.1.1.1:1","az":"a","model":"m","pod_group":3,"state":"draining","capacity_hint":1}`
	another = `{"uid":"s2","endpoint":"1.1.1.2:1","az":"a","model":"m","pod_group":4,"state":"up","capacity_hint":1}`
)

// follow starts a watch that knows s1 as up at revision 5.
func follow(t *testing.T, at string) (*recordingReceiver, *Client, chan List) {
	t.Helper()
	c, err := New(at)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	n := &recordingReceiver{make(chan map[string]string, 100), make(chan error, 100)}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	kept := make(chan List, 100)
	w := &Watch{Client: c, Known: List{Rev: 5, Targets: []Target{{UID: "s1", Endpoint: "1.1.1.1:1", Dest: 3, State: "up"}}},
		Keep: func(l List) { kept <- l }}
	go w.Follow(ctx, n)
	return n, c, kept
}

func (n *recordingReceiver) expectReport(t *testing.T, want string) {
	t.Helper()
	select {
	case m := <-n.reports:
		if got := fmt.Sprint(m); got != want {
			t.Errorf("reported %s, want %s", got, want)
		}
	case <-time.After(30 * time.Second):
		t.Fatalf("%s was never reported", want)
	}
}

// However the lists of one connection are laid out: over lines, indented, in pieces of any
// size, with braces within names; older revisions among them say nothing.
func TestLayouts(t *testing.T) {
	text := "\n\n{\n  \"rev\": 6,\n  \"all\": false,\n  \"targets\": [\n    " + drain + "\n  ]\n}\n\n" +
		`{"rev":4,"all":true,"targets":[` + up + `]}` + "\r\n" + // older than what is held: s1 stays a draining one
		`{"rev":7,"all":false,"targets":[{"uid":"{[\"\\","endpoint":"1.1.1.3:1","pod_group":5,"state":"up"}]}` + "\n \t\n" +
		`{"rev":8,"all":true,"targets":[` + another + `]}` // without the line's end
	for _, size := range []int{1, 2, 7, 64, len(text)} {
		at := scriptedAgent(t, func(c net.Conn, q *http.Request) {
			_, _ = io.WriteString(c, head)
			for rest := text; rest != ""; rest = rest[min(size, len(rest)):] {
				chunk(c, rest[:min(size, len(rest))])
			}
		})
		n, _, kept := follow(t, at)
		n.expectReport(t, "map[s1:1.1.1.1:1 3 true]")
		n.expectReport(t, `map[s1:1.1.1.1:1 3 true {["\:1.1.1.3:1 5 false]`)
		n.expectReport(t, "map[s2:1.1.1.2:1 4 false]")
		<-kept
		if l := <-kept; l.Rev != 7 || !l.All || len(l.Targets) != 2 {
			t.Errorf("kept %+v", l)
		}
	}
}

// The agent's first list counts before the known one ever does, however slowly it comes; the
// known one counts by itself where the agent says nothing, refuses, or ends at once.
func TestFirstList(t *testing.T) {
	refused, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = refused.Close()
	for name, at := range map[string]string{
		"silent":  scriptedAgent(t, func(net.Conn, *http.Request) {}),
		"refused": refused.Addr().String(),
		"ends":    scriptedAgent(t, func(c net.Conn, _ *http.Request) { _ = c.Close() }),
		"half a line, then silent": scriptedAgent(t, func(c net.Conn, _ *http.Request) {
			_, _ = io.WriteString(c, head)
			chunk(c, `{"rev":6,"all":true,`)
		}),
		"an error": scriptedAgent(t, func(c net.Conn, _ *http.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n")
		}),
	} {
		t.Run(name, func(t *testing.T) {
			n, _, _ := follow(t, at)
			n.expectReport(t, "map[s1:1.1.1.1:1 3 false]")
		})
	}
	begin := make(chan struct{})
	n, _, _ := follow(t, scriptedAgent(t, func(c net.Conn, q *http.Request) {
		_, _ = io.WriteString(c, head)
		<-begin
		chunk(c, `{"rev":6,"all":false,"targets":[`+drain+`]}`)
	}))
	if len(n.reports) != 0 {
		t.Error("a list counts before the agent has spoken")
	}
	close(begin)
	n.expectReport(t, "map[s1:1.1.1.1:1 3 true]")
}

// A watch that brings half a list and then nothing, or an empty line and then nothing, is
// opened anew, and the half is forgotten.
func TestSilentWatches(t *testing.T) {
	at := scriptedAgent(t, func(c net.Conn, q *http.Request) {
		_, _ = io.WriteString(c, head)
		chunk(c, `{"rev":5,"all":false,"targets":[]}`+"\n"+`{"rev":6,"all":true,"tar`)
	}, func(c net.Conn, q *http.Request) {
		_, _ = io.WriteString(c, head)
		chunk(c, "\n")
	}, func(c net.Conn, q *http.Request) {
		if after := q.URL.Query().Get("after"); after != "5" {
			t.Errorf("opened from %s, want 5", after)
		}
		_, _ = io.WriteString(c, head)
		chunk(c, `{"rev":7,"all":false,"targets":[`+another+`]}`)
	})
	n, _, _ := follow(t, at)
	n.expectReport(t, "map[s1:1.1.1.1:1 3 false]")
	for range 2 {
		if err := <-n.failed; err != errTimeout {
			t.Errorf("%v, want %v", err, errTimeout)
		}
	}
	n.expectReport(t, "map[s1:1.1.1.1:1 3 false s2:1.1.1.2:1 4 false]")
}

// full is an address where connections never come up: its queue of those not accepted yet
// is full, and nobody accepts.
func unresponsiveAddr(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	at := fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	for { // until one does not come up
		c, err := net.DialTimeout("tcp", at, 200*time.Millisecond)
		if err != nil {
			return at
		}
		t.Cleanup(func() { _ = c.Close() })
	}
}

// While a connection to the old address does not come up, the move to a new one is heard at
// once: the watch and the notices go there without waiting for it.
func TestMoveWhileConnecting(t *testing.T) {
	at := unresponsiveAddr(t)
	n, c, _ := follow(t, at)
	n.expectReport(t, "map[s1:1.1.1.1:1 3 false]") // by now the second dial has begun, or soon will
	over := make(chan string, 10)
	notices := NewNotices(c, 10, func(id string) { over <- id }, func(error) {})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go notices.Run(ctx)
	notices.Add("m1", ledger.Answer{Verdict: ledger.Failed})
	c.Move(scriptedAgent(t, func(c net.Conn, q *http.Request) {
		if q.Method == http.MethodPost {
			_, _ = io.Copy(io.Discard, q.Body)
			_, _ = io.WriteString(c, "HTTP/1.1 204 N\r\n\r\n")
			return
		}
		_, _ = io.WriteString(c, head)
		chunk(c, `{"rev":6,"all":false,"targets":[`+drain+`]}`)
	}))
	n.expectReport(t, "map[s1:1.1.1.1:1 3 true]")
	if id := <-over; id != "m1" {
		t.Errorf("%s is over", id)
	}
	for len(n.failed) > 0 {
		if err := <-n.failed; err == errTimeout {
			t.Errorf("%v after the move", err)
		}
	}
}

// A notice on a kept connection that takes it and never answers, or ends without, goes out
// again on a new one, and its message is over only then.
func TestNoticesOnABrokenConnection(t *testing.T) {
	for name, second := range map[string]func(c net.Conn, q *http.Request){
		"silent": func(net.Conn, *http.Request) {},
		"half an answer": func(c net.Conn, _ *http.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 20")
		},
		"closed": func(c net.Conn, _ *http.Request) { _ = c.Close() },
		"reset": func(c net.Conn, _ *http.Request) {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			refs := make(chan string, 10)
			var asked atomic.Int32
			at := scriptedAgent(t, func(c net.Conn, q *http.Request) {
				line, _ := bufio.NewReader(q.Body).ReadString('\n')
				if asked.Add(1) == 2 { // the second notice, on the connection of the first
					refs <- "lost " + line
					second(c, q)
					return
				}
				refs <- line
				_, _ = io.WriteString(c, "HTTP/1.1 204 N\r\n\r\n")
			})
			c, err := New(at)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			over := make(chan string, 10)
			n := NewNotices(c, 10, func(id string) { over <- id }, func(error) {})
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go n.Run(ctx)
			for _, id := range []string{"a", "b"} {
				n.Add(id, ledger.Answer{Verdict: ledger.Failed})
				if got := <-over; got != id {
					t.Errorf("%s is over, want %s", got, id)
				}
			}
			line := func(id string) string { return fmt.Sprintf("{\"ref\":%q,\"result\":\"dead\"}\n", id) }
			for _, want := range []string{line("a"), "lost " + line("b"), line("b")} {
				if got := <-refs; got != want {
					t.Errorf("%q, want %q", got, want)
				}
			}
		})
	}
}
