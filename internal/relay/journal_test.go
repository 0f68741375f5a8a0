package relay_test

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"basaltcross.example/basaltcross/internal/client"
	"basaltcross.example/basaltcross/internal/config"
	"basaltcross.example/basaltcross/internal/journal"
	"basaltcross.example/basaltcross/internal/mqtt"
	"basaltcross.example/basaltcross/internal/relay"
	"basaltcross.example/basaltcross/internal/standin"
	"basaltcross.example/basaltcross/internal/testutil"
)

// startWithJournal starts a relay with a journal in dir and one partner with the given endpoints.
func startWithJournal(t testing.TB, dir string, more string, ends ...string) *relay.Relay {
	t.Helper()
	list := filepath.Join(t.TempDir(), "list.cue")
	text := "endpoints: [\n"
	for _, e := range ends {
		text += fmt.Sprintf("{addr: %q, partner: \"p0\"},\n", e)
	}
	if err := os.WriteFile(list, []byte(text+"]\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	cfg, err := config.Parse("test.cue", []byte(testutil.ConfigText(list, 1,
		fmt.Sprintf("journal: dir: %q\n%s", dir, more))))
	if err != nil {
		t.Fatal(err)
	}
	r, err := relay.Start(cfg, zerolog.Nop(), relay.Hooks{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Stop)
	return r
}

// writeJournal writes a journal as a killed relay leaves it behind.
func writeJournal(t testing.TB, dir string, fill func(j *journal.Journal)) {
	t.Helper()
	j, _, err := journal.Open(journal.Options{Dir: dir, MaxQueued: 1 << 30})
	if err != nil {
		t.Fatal(err)
	}
	fill(j)
	if err := j.Close(); err != nil {
		t.Fatal(err)
	}
}

// Guards against wrong answers and repeated charges after a crash. A charge that may have
// run is answered failed and not sent again, one that certainly did not run is delivered,
// one whose deadline has passed is refused. A client that hands each of them in again gets
// these answers, also for a message that had ended before the crash. An endpoint gets no
// call until the wait that it asked for is over.
func TestRestartAfterCrash(t *testing.T) {
	rec := standin.NewRecorder(1000)
	e, err := standin.Start("127.0.0.1:0", standin.NewPartner("p0", standin.Model{Service: ms}, 1), rec)
	if err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	dir := t.TempDir()
	identity := func(id string) string { return fmt.Sprintf("c0:1:c%d:%s", len(id), id) }
	writeJournal(t, dir, func(j *journal.Journal) {
		m := func(seq uint64, id string, left time.Duration) {
			j.RecordMessage(journal.Message{Seq: seq, Identity: identity(id), Source: "c", Class: "charge", Partner: "p0",
				At: j.Stamp(), Remaining: int64(left), Body: []byte(id)})
		}
		m(1, "doubt", 5*time.Second)
		j.RecordAttempt(journal.Attempt{Seq: 1, Host: e.Addr, Zone: "default", At: j.Stamp()})
		m(2, "clear", 5*time.Second)
		j.RecordAttempt(journal.Attempt{Seq: 2, Host: e.Addr, Zone: "default", At: j.Stamp()})
		j.RecordAttempt(journal.Attempt{Seq: 2, Host: e.Addr, Zone: "default", At: j.Stamp(), NeverRan: true})
		m(3, "late", 0)
		j.RecordEnd(journal.End{Seq: 4, Identity: identity("ended"), Class: "charge", Verdict: 3, At: j.Stamp()})
		j.RecordWait(journal.Wait{Host: e.Addr, At: j.Stamp(), Remaining: int64(time.Second)})
	})
	started := time.Now()
	r := startWithJournal(t, dir, "", e.Addr)
	in := newInbox()
	c, err := client.Dial(testutil.Context(t), r.Addrs()[0], client.Options{ID: "c", Expiry: 600, OnAnswer: in.receive})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	want := map[string]string{"doubt": "failed", "clear": "delivered", "late": "refused", "ended": "failed"}
	for id := range want {
		if err := c.Send(testutil.Context(t), client.Message{ID: id, Class: "charge",
			Partner: "p0", Body: []byte(id)}); err != nil {
			t.Fatal(err)
		}
	}
	for id, a := range in.wait(t, len(want)) {
		// A refused message that is handed in again is a new message: both answers are correct.
		if a[0].Outcome != want[id] && !(id == "late" && a[0].Outcome == "delivered") {
			t.Errorf("%s: %s, want %s", id, a[0].Outcome, want[id])
		}
	}
	for _, k := range rec.Calls() {
		if k.Body == "doubt" || k.Body == "ended" {
			t.Errorf("%s was sent", k.Body)
		}
		if k.Start.Sub(started) < 900*ms {
			t.Errorf("%s was sent %v after the start, within the wait that the endpoint asked for", k.Body,
				k.Start.Sub(started))
		}
	}
}

// BenchmarkRestart measures how long a relay takes to restore 100,000 messages from the
// journal of a killed one: until it listens and until the core serves.
func BenchmarkRestart(b *testing.B) {
	const n = 100_000
	dir := b.TempDir()
	writeJournal(b, dir, func(j *journal.Journal) {
		for i := range uint64(n) {
			j.RecordMessage(journal.Message{Seq: i + 1, Identity: fmt.Sprint("c0:1:c", i), Class: "order", Partner: "p0",
				At: j.Stamp(), Remaining: int64(6 * time.Second), Body: make([]byte, 256)})
			if i%3 == 0 {
				j.RecordAttempt(journal.Attempt{Seq: i + 1, Host: "127.0.0.1:1", At: j.Stamp()})
			}
		}
	})
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	began := time.Now()
	r := startWithJournal(b, dir, `relay: held: 200000
limits: identities: count: 300000`)
	took := time.Since(began)
	held, _, err := r.Inspect(testutil.Context(b))
	if err != nil || held != n {
		b.Fatal(held, err)
	}
	serving := time.Since(began)
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(took.Seconds()*1000, "ms-listening")
	b.ReportMetric(serving.Seconds()*1000, "ms-decided")
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "B/message")
}

// BenchmarkSessionsReturn measures how many of 8,000 sessions are present when all clients
// reconnect at once to a restarted relay, and how long until the last CONNACK.
func BenchmarkSessionsReturn(b *testing.B) {
	const n = 8_000 // each takes two file descriptors, as client and relay share this process
	dir := b.TempDir()
	all := func(addr string) (present int) {
		var mu sync.Mutex
		var wait sync.WaitGroup
		var conns []net.Conn
		defer func() {
			for _, c := range conns {
				_ = c.Close()
			}
		}()
		slots := make(chan struct{}, 500)
		for i := range n {
			wait.Go(func() {
				slots <- struct{}{}
				defer func() { <-slots }()
				c, err := net.Dial("tcp", addr)
				if err != nil {
					b.Error(err)
					return
				}
				mu.Lock()
				conns = append(conns, c)
				mu.Unlock()
				_, _ = c.Write(mqtt.AppendConnect(nil, &mqtt.Connect{Version: mqtt.V5, ClientID: fmt.Sprint("c", i),
					Props: mqtt.Props{SessionExpiry: 600}}))
				buf := make([]byte, 4)
				if _, err := io.ReadFull(c, buf); err != nil { // CONNACK: kind, length, flags, code (MQTT 5.0, 3.2)
					b.Error(err)
					return
				}
				mu.Lock()
				defer mu.Unlock()
				present += int(buf[2] & 1)
			})
		}
		wait.Wait()
		return present
	}
	r := startWithJournal(b, dir, `mqtt: {connections: 20000, sessions: 20000}`)
	if all(r.Addrs()[0]) != 0 {
		b.Fatal("sessions present before the first connection")
	}
	r.Stop()
	began := time.Now()
	r = startWithJournal(b, dir, `mqtt: {connections: 20000, sessions: 20000}`)
	up := time.Since(began)
	present := all(r.Addrs()[0])
	b.ReportMetric(float64(present), "kept")
	b.ReportMetric(up.Seconds()*1000, "ms-listening")
	b.ReportMetric((time.Since(began)-up).Seconds()*1000, "ms-all-greeted")
	if present != n {
		b.Errorf("%d of %d sessions are present after the restart", present, n)
	}
}

// restartBed is a relay with a journal, and an MQTT client that hands in the message "a"
// and reads and acknowledges its answers packet by packet.
type restartBed struct {
	t        *testing.T
	rec      *standin.Recorder
	addr     string // address of the endpoint
	dir      string
	relay    *relay.Relay
	conn     net.Conn
	packetID uint16 // of the last hand-in
}

func newRestartBed(t *testing.T) *restartBed {
	t.Helper()
	b := &restartBed{t: t, rec: standin.NewRecorder(1000), dir: t.TempDir()}
	e, err := standin.Start("127.0.0.1:0", standin.NewPartner("p0", standin.Model{Service: ms}, 1), b.rec)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	b.addr = e.Addr
	b.relay = startWithJournal(t, b.dir, "", b.addr)
	b.connect(false)
	return b
}

// connect reconnects the client, resuming its session or starting a clean one.
func (b *restartBed) connect(clean bool) {
	b.t.Helper()
	if b.conn != nil {
		_ = b.conn.Close()
	}
	b.conn = rawConnectAs(b.t, b.relay.Addrs()[0], &mqtt.Connect{Version: mqtt.V5, ClientID: "c", CleanStart: clean,
		Props: mqtt.Props{SessionExpiry: 60}})
}

// restart stops the relay, starts another one on its journal and resumes the session.
func (b *restartBed) restart() {
	b.t.Helper()
	b.relay.Stop()
	b.relay = startWithJournal(b.t, b.dir, "", b.addr)
	b.connect(false)
}

func (b *restartBed) subscribe() {
	b.t.Helper()
	write(b.t, b.conn, mqtt.AppendSubscribe(nil, mqtt.V5, 9, mqtt.Filter{Topic: "answers/c", QoS: 1}))
}

func (b *restartBed) handIn() {
	b.t.Helper()
	b.packetID++
	p := mqtt.Publish{QoS: 1, ID: b.packetID, Topic: "send/charge/p0", Payload: []byte("x"),
		Props: mqtt.Props{Correlation: []byte("a")}}
	write(b.t, b.conn, mqtt.AppendPublish(nil, mqtt.V5, &p))
}

// answer reads packets up to the next answer and fails the test unless it is "delivered".
func (b *restartBed) answer() mqtt.Publish {
	b.t.Helper()
	for {
		first, body := read(b.t, b.conn)
		if first>>4 != mqtt.PUBLISH {
			continue
		}
		p, err := mqtt.ParsePublish(mqtt.V5, first, body)
		if err != nil || string(p.Props.Correlation) != "a" || p.Props.UserValue("answer") != "delivered" {
			b.t.Fatalf("%+v, %v", p, err)
		}
		return p
	}
}

// acknowledge sends the PUBACK of an answer and returns once the relay has processed it:
// packets are processed in order, so the response to a following PINGREQ shows it.
func (b *restartBed) acknowledge(answer mqtt.Publish) {
	b.t.Helper()
	write(b.t, b.conn, mqtt.AppendAck(nil, mqtt.V5, mqtt.PUBACK, answer.ID, mqtt.Success, ""))
	write(b.t, b.conn, mqtt.AppendEmpty(nil, mqtt.PINGREQ))
	if first, _ := read(b.t, b.conn); first>>4 != mqtt.PINGRESP {
		b.t.Fatalf("packet type %d after the PUBACK, want PINGRESP", first>>4)
	}
}

// checkOneCall checks that the partner got exactly one call.
func (b *restartBed) checkOneCall() {
	b.t.Helper()
	if n := len(b.rec.Calls()); n != 1 {
		b.t.Errorf("%d calls", n)
	}
}

// Guards against the loss of an unacknowledged answer at a restart. The client hands a
// message in twice, gets two answers and acknowledges only the first: the second must be
// sent again after the restart.
func TestLaterHandInIsOwedAfterARestart(t *testing.T) {
	b := newRestartBed(t)
	b.subscribe()
	b.handIn()
	first := b.answer()
	b.handIn()
	b.answer()
	b.acknowledge(first)
	b.restart()
	b.answer()
	b.checkOneCall()
}

// Guards against the loss of an unacknowledged answer at a restart if the answer to the
// first hand-in was acknowledged before the second hand-in.
func TestHandInAfterAnAcknowledgementIsOwedAfterARestart(t *testing.T) {
	b := newRestartBed(t)
	b.subscribe()
	b.handIn()
	b.acknowledge(b.answer())
	b.handIn()
	b.answer()
	b.restart()
	b.answer()
	b.checkOneCall()
}

// Guards against the loss of an unacknowledged answer at a restart if a clean session was
// started before the second hand-in: the answer must be sent in that session.
func TestHandInOfACleanSessionIsOwedAfterARestart(t *testing.T) {
	b := newRestartBed(t)
	b.subscribe()
	b.handIn()
	b.answer()
	b.connect(true)
	b.subscribe()
	b.handIn()
	b.answer()
	b.restart()
	b.answer()
	b.checkOneCall()
}
