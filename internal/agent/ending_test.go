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
		OnList: func(l List) { kept <- l }}
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

// Guards against lists that are misread because of their layout: spread over lines, indented, in chunks
// of any size, with braces inside names. Lists with older revisions must be ignored.
func TestListLayouts(t *testing.T) {
	text := "\n\n{\n  \"rev\": 6,\n  \"all\": false,\n  \"targets\": [\n    " + drain + "\n  ]\n}\n\n" +
		`{"rev":4,"all":true,"targets":[` + up + `]}` + "\r\n" + // older revision: s1 stays draining
		`{"rev":7,"all":false,"targets":[{"uid":"{[\"\\","endpoint":"1.1.1.3:1","pod_group":5,"state":"up"}]}` + "\n \t\n" +
		`{"rev":8,"all":true,"targets":[` + another + `]}` // without a line feed
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
			t.Errorf("list passed on: %+v", l)
		}
	}
}

// Guards against a known list that is reported before the agent's first one although the agent answers,
// and against a known list that is never reported because the agent does not answer, refuses the
// connection, or closes it at once.
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
		t.Error("a list was reported before the agent sent one")
	}
	close(begin)
	n.expectReport(t, "map[s1:1.1.1.1:1 3 true]")
}

// Guards against a watch that is not reopened when it stalls, after part of a list or after an empty
// line, and against the partial list being used afterwards.
func TestStalledWatches(t *testing.T) {
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

// unresponsiveAddr returns an address where connecting never succeeds: its listener accepts nothing and
// its queue is full.
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
	for { // until a connection attempt times out
		c, err := net.DialTimeout("tcp", at, 200*time.Millisecond)
		if err != nil {
			return at
		}
		t.Cleanup(func() { _ = c.Close() })
	}
}

// Guards against a change of the agent's address that takes effect only after a pending connection
// attempt to the old address has timed out, for the watch and for the notices.
func TestMoveWhileConnecting(t *testing.T) {
	at := unresponsiveAddr(t)
	n, c, _ := follow(t, at)
	n.expectReport(t, "map[s1:1.1.1.1:1 3 false]") // the second connection attempt has begun or is about to
	over := make(chan string, 10)
	notices := NewNotices(c, 10, func(id string) { over <- id }, func(error) {})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go notices.Run(ctx)
	notices.Add("m1", ledger.Answer{Verdict: ledger.Failed})
	c.SetAddress(scriptedAgent(t, func(c net.Conn, q *http.Request) {
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
		t.Errorf("%s was delivered, want m1", id)
	}
	for len(n.failed) > 0 {
		if err := <-n.failed; err == errTimeout {
			t.Errorf("%v after the change of address", err)
		}
	}
}

// Guards against a notice that is lost, or counts as delivered, when its connection breaks or never
// answers: it must be sent again on a new connection.
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
				if asked.Add(1) == 2 { // the first request with the second notice
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
					t.Errorf("%s was delivered, want %s", got, id)
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
