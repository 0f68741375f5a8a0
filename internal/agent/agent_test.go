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

// script serves connections one after the other, each with its function.
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

// news keeps what a watch reports.
type recordingReceiver struct {
	reports chan map[string]string // uid: address and state
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

// A watch that ends, falls silent, or brings what cannot be read is opened again from
// the revision it had; changes come in pieces, over chunks and lines.
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
	at := scriptedAgent(t, func(c net.Conn, q *http.Request) { // changes in pieces, then the end
		asked(q)
		line := `{"rev":7,"all":false,"targets":[` + entry("s1", "1.1.1.1:1", "draining") + "]}\n"
		_, _ = io.WriteString(c, head)
		chunk(c, "\n"+line[:30])
		chunk(c, line[30:]+"\n\n")
		_, _ = io.WriteString(c, "0\r\n\r\n")
	}, func(c net.Conn, q *http.Request) { // the whole list, then nothing at all
		asked(q)
		_, _ = io.WriteString(c, head)
		chunk(c, `{"rev":9,"all":true,"targets":[`+entry("s2", "1.1.1.2:1", "up")+","+entry("s3", "1.1.1.3:1", "up")+"]}\n")
	}, func(c net.Conn, q *http.Request) { // noise
		asked(q)
		_, _ = io.WriteString(c, head)
		chunk(c, "{\"rev\":\n")
	}, func(c net.Conn, q *http.Request) { // one is gone, one has moved
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
	for i, want := range []string{"map[s1:1.1.1.1:1 3 true]", // what the agent has counts before the known list ever does
		"map[s2:1.1.1.2:1 3 false s3:1.1.1.3:1 3 false]", "map[s3:1.1.1.9:1 3 false]"} {
		select {
		case m := <-n.reports:
			if fmt.Sprint(m) != want {
				t.Errorf("report %d: %v, want %s", i, m, want)
			}
		case <-time.After(20 * time.Second):
			t.Fatalf("report %d never came", i)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if got := strings.Join(after, " "); got != "5 7 9 9" {
		t.Errorf("watches from %s, want 5 7 9 9", got)
	}
}

// Notices are sent in order and in bounded batches until each was answered with 204,
// over connections that break, refusals, and a new address.
func TestNotices(t *testing.T) {
	var mu sync.Mutex
	var got []string
	requests := 0
	long := strings.Repeat("-", 900) // so that they do not fit into one request
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
		t.Error("room at the bound")
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go n.Run(ctx)
	for range 3 {
		<-tried
	}
	if len(over) != 0 {
		t.Errorf("%d are over that nobody took", len(over))
	}
	c.Move(scriptedAgent(t, take))
	for i := range 150 {
		select {
		case id := <-over:
			if i == 0 && id != "dead" || i > 0 && id != fmt.Sprint("b", i-1, long) {
				t.Fatalf("number %d is %s", i, id)
			}
		case <-time.After(20 * time.Second):
			t.Fatal("never handed over")
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if len(got) != 150 || got[0] != `{"ref":"dead","result":"dead"}` || got[1] != `{"ref":"b0`+long+`","result":"bounced","wait_ms":2}` || !n.Room() ||
		n.Len() != 0 || requests < 3 {
		t.Errorf("%d lines in %d requests, %q", len(got), requests, got[:2])
	}
}

// Guards against notices that come too late because older ones are not answered: each is
// sent in its time, whatever becomes of the others.
func TestNoticesDoNotWaitBehindUnansweredOnes(t *testing.T) {
	seen := make(chan string, 10_000)
	mute := func(c net.Conn, q *http.Request) {
		body, _ := io.ReadAll(q.Body)
		for line := range strings.Lines(string(body)) {
			seen <- line
		}
		_, _ = io.Copy(io.Discard, c) // no answer, until the other side gives up
	}
	c, err := New(scriptedAgent(t, mute))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	n := NewNotices(c, 1000, func(id string) { t.Errorf("%s is over that nobody took", id) }, func(error) {})
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
