package agent

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"basaltcross.example/basaltcross/internal/ledger"
	"basaltcross.example/basaltcross/internal/member"
)

// scriptedAgent accepts connections and serves the i-th one with the i-th function, further ones with
// the last.
func scriptedAgent(t *testing.T, each ...func(c net.Conn, q *http.Request)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for i := 0; ; i++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			do := each[min(i, len(each)-1)]
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for {
					q, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					do(c, q)
				}
			}()
		}
	}()
	return l.Addr().String()
}

func chunk(c net.Conn, text string) { fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text) }

const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// recordingReceiver records what a watch reports.
type recordingReceiver struct {
	reports chan map[string]string // address, destination and draining, by uid
	failed  chan error
}

func (n *recordingReceiver) Report(r member.Report) {
	m := map[string]string{}
	for _, e := range r.Entries {
		m[e.Addr] = fmt.Sprint(e.Addrs[0], " ", e.Partner, " ", e.Draining)
	}
	n.reports <- m
}
func (n *recordingReceiver) ReportAlive()          {}
func (n *recordingReceiver) ReportError(err error) { n.failed <- err }

// Guards against a watch that is not reopened from its last revision after it ends, times out or sends
// invalid data, and against changes lost because they are split over chunks and lines.
func TestWatch(t *testing.T) {
	var mu sync.Mutex
	var after []string
	asked := func(q *http.Request) {
		mu.Lock()
		after = append(after, q.URL.Query().Get("after"))
		mu.Unlock()
	}
	entry := func(uid, at, state string) string {
		return fmt.Sprintf(`{"uid":%q,"endpoint":%q,"az":"a","model":"m","pod_group":3,"state":%q,"capacity_hint":1}`, uid, at, state)
	}
	at := scriptedAgent(t, func(c net.Conn, q *http.Request) { // a change in two chunks, then the end
		asked(q)
		line := `{"rev":7,"all":false,"targets":[` + entry("s1", "1.1.1.1:1", "draining") + "]}\n"
		_, _ = io.WriteString(c, head)
		chunk(c, "\n"+line[:30])
		chunk(c, line[30:]+"\n\n")
		_, _ = io.WriteString(c, "0\r\n\r\n")
	}, func(c net.Conn, q *http.Request) { // the whole list, then no further data
		asked(q)
		_, _ = io.WriteString(c, head)
		chunk(c, `{"rev":9,"all":true,"targets":[`+entry("s2", "1.1.1.2:1", "up")+","+entry("s3", "1.1.1.3:1", "up")+"]}\n")
	}, func(c net.Conn, q *http.Request) { // invalid JSON
		asked(q)
		_, _ = io.WriteString(c, head)
		chunk(c, "{\"rev\":\n")
	}, func(c net.Conn, q *http.Request) { // one host is removed, one has a new address
		asked(q)
		_, _ = io.WriteString(c, head)
		chunk(c, `{"rev":10,"all":false,"targets":[`+entry("s2", "1.1.1.2:1", "removed")+","+entry("s3", "1.1.1.9:1", "up")+"]}\n")
	})
	c, err := New(at)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	n := &recordingReceiver{make(chan map[string]string, 10), make(chan error, 10)}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w := &Watch{Client: c, Known: List{Rev: 5, Targets: []Target{{UID: "s1", Endpoint: "1.1.1.1:1", Dest: 3, State: "up"}}}}
	go w.Follow(ctx, n)
	for i, want := range []string{"map[s1:1.1.1.1:1 3 true]", // the agent's list is reported before the known one
		"map[s2:1.1.1.2:1 3 false s3:1.1.1.3:1 3 false]", "map[s3:1.1.1.9:1 3 false]"} {
		select {
		case m := <-n.reports:
			if fmt.Sprint(m) != want {
				t.Errorf("report %d: %v, want %s", i, m, want)
			}
		case <-time.After(20 * time.Second):
			t.Fatalf("report %d did not come within 20 s", i)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if got := strings.Join(after, " "); got != "5 7 9 9" {
		t.Errorf("watches opened from revisions %s, want 5 7 9 9", got)
	}
}

// Guards against notices that are lost, reordered or sent in batches that are too large, when connections
// break, requests are refused and the agent's address changes.
func TestNotices(t *testing.T) {
	var mu sync.Mutex
	var got []string
	requests := 0
	long := strings.Repeat("-", 900) // so that the notices do not fit into one request
	take := func(c net.Conn, q *http.Request) {
		body, _ := io.ReadAll(q.Body)
		mu.Lock()
		lines := strings.Split(strings.TrimSpace(string(body)), "\n")
		if len(body) > 64<<10 {
			t.Errorf("%d bytes in one request", len(body))
		}
		requests++
		got = append(got, lines...)
		mu.Unlock()
		_, _ = io.WriteString(c, "HTTP/1.1 204 No Content\r\n\r\n")
	}
	deaf := scriptedAgent(t, func(c net.Conn, q *http.Request) { _ = c.Close() },
		func(c net.Conn, q *http.Request) {
			_, _ = io.Copy(io.Discard, q.Body)
			_, _ = io.WriteString(c, "HTTP/1.1 400 B\r\nContent-Length: 0\r\n\r\n")
		})
	c, err := New(deaf)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	over := make(chan string, 1000)
	tried := make(chan error, 1000)
	n := NewNotices(c, 150, func(id string) { over <- id }, func(err error) { tried <- err })
	n.Add("dead", ledger.Answer{Verdict: ledger.Failed})
	for i := range 149 {
		n.Add(fmt.Sprint("b", i, long), ledger.Answer{Verdict: ledger.Refused, RetryAfter: 1500 * time.Microsecond})
	}
	if n.Room() {
		t.Error("Room is true at the limit")
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go n.Run(ctx)
	for range 3 {
		<-tried
	}
	if len(over) != 0 {
		t.Errorf("%d notices count as delivered that no agent accepted", len(over))
	}
	c.SetAddress(scriptedAgent(t, take))
	for i := range 150 {
		select {
		case id := <-over:
			if i == 0 && id != "dead" || i > 0 && id != fmt.Sprint("b", i-1, long) {
				t.Fatalf("notice %d is %s", i, id)
			}
		case <-time.After(20 * time.Second):
			t.Fatal("a notice was not delivered within 20 s")
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if len(got) != 150 || got[0] != `{"ref":"dead","result":"dead"}` || got[1] != `{"ref":"b0`+long+`","result":"bounced","wait_ms":2}` || !n.Room() ||
		n.Len() != 0 || requests < 3 {
		t.Errorf("%d lines in %d requests, %q", len(got), requests, got[:2])
	}
}

// Guards against notices that are sent too late because older ones are not answered.
func TestNoticesDoNotWaitBehindUnansweredOnes(t *testing.T) {
	seen := make(chan string, 10_000)
	mute := func(c net.Conn, q *http.Request) {
		body, _ := io.ReadAll(q.Body)
		for line := range strings.Lines(string(body)) {
			seen <- line
		}
		_, _ = io.Copy(io.Discard, c) // no answer until the client closes the connection
	}
	c, err := New(scriptedAgent(t, mute))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	n := NewNotices(c, 1000, func(id string) { t.Errorf("%s counts as delivered, but no agent accepted it", id) }, func(error) {})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	running.Go(func() { n.Run(ctx) })
	for i := range 100 {
		n.Add(fmt.Sprint("b", i), ledger.Answer{Verdict: ledger.Failed})
	}
	for end := time.After(20 * time.Second); ; {
		select {
		case line := <-seen:
			if strings.Contains(line, `"b99"`) {
				return
			}
		case <-end:
			t.Fatal("the last notice was never sent")
		}
	}
}
