package mqttfront

import (
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"basaltcross.example/basaltcross/internal/ledger"
	"basaltcross.example/basaltcross/internal/mqtt"
)

// keeper notes whose answers were recorded as handed over.
type keeper struct {
	mu     sync.Mutex
	handed int
}

func (k *keeper) Session(string, string, []byte) {}

func (k *keeper) Handed(string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.handed++
}

func (k *keeper) count() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.handed
}

// answer answers the newest hand-in that the door took.
func (d *door) answer(v ledger.Verdict) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.msgs[len(d.msgs)-1].Reply.Answer(ledger.Answer{Verdict: v, RetryAfter: 10 * time.Millisecond})
}

// note is an answer as the client got it, with the packet id of its PUBLISH.
type note struct {
	verdict string
	id      uint16
	handIn  bool // it names the hand-in with packet id 2
}

// until reads up to the first packet of a kind, past those that may come before it.
func (p *peer) until(want byte, skip ...byte) []byte {
	p.t.Helper()
	for {
		kind, body := p.next()
		if kind == want {
			return body
		}
		if !slices.Contains(skip, kind) {
			p.t.Fatalf("packet type %d %x, want type %d", kind, body, want)
		}
	}
}

// note reads the next answer, which is of QoS 1 or 2.
func (p *peer) note(skip ...byte) note {
	p.t.Helper()
	q, err := mqtt.ParsePublish(mqtt.V5, 0x32, p.until(mqtt.PUBLISH, skip...))
	if err != nil {
		p.t.Fatal(err)
	}
	return note{verdict: q.Props.Get("answer"), id: q.ID, handIn: strings.Contains(string(q.Payload), `"packet_id":2`)}
}

// acknowledge takes an answer's acknowledgement to its end.
func (p *peer) acknowledge(qos byte, id uint16) {
	p.t.Helper()
	if qos == 1 {
		p.send(mqtt.AppendAck(nil, mqtt.V5, mqtt.PUBACK, id, mqtt.Success, ""))
		return
	}
	p.receive(id)
	p.complete(id)
}

// receive and complete are the two halves of an acknowledgement of QoS 2.
func (p *peer) receive(id uint16) {
	p.t.Helper()
	p.send(mqtt.AppendAck(nil, mqtt.V5, mqtt.PUBREC, id, mqtt.Success, ""))
	p.until(mqtt.PUBREL)
}

func (p *peer) complete(id uint16) {
	p.send(mqtt.AppendAck(nil, mqtt.V5, mqtt.PUBCOMP, id, mqtt.Success, ""))
}

// resume connects the client of a session again, which gets its answer once more.
func resume(t *testing.T, p *peer, addr string, first note) *peer {
	t.Helper()
	_ = p.conn.Close()
	p = dial(t, addr)
	if !p.connect("c", mqtt.Props{SessionExpiry: 60}).Present {
		t.Fatal("session is gone")
	}
	if again := p.note(); again != first {
		t.Fatalf("resumed with %+v, want %+v", again, first)
	}
	return p
}

// ping waits until the front has handled all that was sent.
func (p *peer) ping() {
	p.t.Helper()
	p.send(mqtt.AppendEmpty(nil, mqtt.PINGREQ))
	p.until(mqtt.PINGRESP)
}

// answered is a client whose first hand-in got its answer, which it has not acknowledged.
func answered(t *testing.T, d *door, addr string, qos byte, v ledger.Verdict) (*peer, note) {
	t.Helper()
	p := dial(t, addr)
	p.connect("c", mqtt.Props{SessionExpiry: 60})
	p.send(mqtt.AppendSubscribe(nil, mqtt.V5, 9, mqtt.Filter{Topic: "answers/c", QoS: qos}))
	p.until(mqtt.SUBACK)
	p.send(publish(1, 1, "a"))
	p.until(mqtt.PUBACK)
	d.answer(v)
	first := p.note()
	if first.verdict != v.String() {
		t.Fatalf("answer %q, want %v", first.verdict, v)
	}
	return p, first
}

// A client hands a message in again before it has acknowledged the earlier answer, as one
// does that was told to come again at once. The core hears of it, and it gets an answer of
// its own; what is recorded as handed over is that one only.
func TestComesAgainBeforeItAcknowledges(t *testing.T) {
	for _, c := range []struct {
		name     string
		qos      byte
		verdict  ledger.Verdict
		received bool // the answer is between PUBREC and PUBCOMP
		resumed  bool // on the session's next connection
	}{
		{name: "refused, QoS 1", qos: 1, verdict: ledger.Refused},
		{name: "refused, QoS 2", qos: 2, verdict: ledger.Refused},
		{name: "refused, between PUBREC and PUBCOMP", qos: 2, verdict: ledger.Refused, received: true},
		{name: "refused, session resumed", qos: 1, verdict: ledger.Refused, resumed: true},
		{name: "delivered, QoS 1", qos: 1, verdict: ledger.Delivered},
		{name: "delivered, QoS 2", qos: 2, verdict: ledger.Delivered},
		{name: "failed, QoS 2, session resumed", qos: 2, verdict: ledger.Failed, resumed: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			d, k := &door{}, &keeper{}
			addr := start(t, d, func(o *Options) { o.Keeper = k })
			p, first := answered(t, d, addr, c.qos, c.verdict)
			if c.resumed {
				p = resume(t, p, addr, first)
			}
			if c.received {
				p.receive(first.id)
			}
			p.send(publish(1, 2, "a"))
			p.until(mqtt.PUBACK)
			if n := d.count(); n != 2 {
				t.Fatalf("the core heard of %d hand-ins, want 2", n)
			}
			if c.received {
				p.complete(first.id)
			} else {
				p.acknowledge(c.qos, first.id)
			}
			p.ping()
			if n := k.count(); n != 0 {
				t.Fatal("the identity counts as handed over while its second hand-in is owed an answer")
			}
			d.answer(ledger.Delivered)
			second := p.note()
			if second.verdict != "delivered" || !second.handIn {
				t.Errorf("second answer %+v", second)
			}
			p.acknowledge(c.qos, second.id)
			p.ping()
			if n := k.count(); n != 1 {
				t.Errorf("%d identities handed over, want 1", n)
			}
		})
	}
}

// An answer that was not sent yet gives way to that of a later hand-in; if that is not
// taken, it stands.
func TestComesAgainBeforeItsAnswerIsSent(t *testing.T) {
	for _, busy := range []bool{false, true} {
		d, k := &door{}, &keeper{}
		p := dial(t, start(t, d, func(o *Options) { o.Keeper = k }))
		p.connect("c", mqtt.Props{SessionExpiry: 60})
		p.send(publish(1, 1, "a"))
		p.until(mqtt.PUBACK)
		d.answer(ledger.Refused) // nobody is subscribed
		d.settle(t, p)
		want := note{verdict: "delivered", handIn: true}
		if d.busy = busy; busy {
			want = note{verdict: "refused"}
		}
		p.send(publish(1, 2, "a"))
		if body := p.until(mqtt.PUBACK); (len(body) > 2 && body[2] == mqtt.QuotaExceeded) != busy {
			t.Fatalf("busy %v: PUBACK %x", busy, body)
		}
		if !busy {
			d.answer(ledger.Delivered)
		}
		p.send(mqtt.AppendSubscribe(nil, mqtt.V5, 9, mqtt.Filter{Topic: "answers/c", QoS: 1}))
		got := p.note(mqtt.SUBACK)
		if want.id = got.id; got != want {
			t.Errorf("busy %v: answer %+v, want %+v", busy, got, want)
		}
		p.acknowledge(1, got.id)
		p.ping() // nothing else comes
		if n := k.count(); n != 1 {
			t.Errorf("busy %v: %d identities handed over, want 1", busy, n)
		}
	}
}

// settle waits until the front has taken in what the core said: a hand-in's PUBACK comes
// behind it.
func (d *door) settle(t *testing.T, p *peer) {
	t.Helper()
	p.send(publish(1, 90, "settle"))
	p.until(mqtt.PUBACK)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.msgs = d.msgs[:len(d.msgs)-1]
}

// A flow that is asked for again on the next connection is the hand-in that it was: it is
// acknowledged, and the answer that was sent is its answer.
func TestFlowAskedForAgainIsNoNewHandIn(t *testing.T) {
	d := &door{}
	addr := start(t, d, nil)
	p, first := answered(t, d, addr, 1, ledger.Refused)
	p = resume(t, p, addr, first)
	p.send(publish(1, 1, "a", func(q *mqtt.Publish) { q.Dup = true }))
	p.until(mqtt.PUBACK)
	p.acknowledge(1, first.id)
	p.ping()
	if n := d.count(); n != 1 {
		t.Errorf("the core heard of %d hand-ins, want 1", n)
	}
}

// Answers that a client leaves without acknowledgement count against its bound, also those
// whose identity it has handed in again.
func TestUnacknowledgedAnswersAreBounded(t *testing.T) {
	const bound = 3
	d := &door{auto: true}
	p := dial(t, start(t, d, func(o *Options) { o.Pending = bound }))
	p.connect("c", mqtt.Props{SessionExpiry: 60})
	p.send(mqtt.AppendSubscribe(nil, mqtt.V5, 9, mqtt.Filter{Topic: "answers/c", QoS: 1}))
	p.until(mqtt.SUBACK)
	var last note
	for i := range bound {
		p.send(publish(1, uint16(i+1), "a"))
		p.until(mqtt.PUBACK)
		last = p.note()
	}
	again := publish(1, 50, "a")
	p.send(again)
	if body := p.until(mqtt.PUBACK); len(body) < 3 || body[2] != mqtt.QuotaExceeded {
		t.Fatalf("PUBACK %x past the bound", body)
	}
	p.acknowledge(1, last.id)
	p.send(again)
	if body := p.until(mqtt.PUBACK); len(body) > 2 && body[2] != mqtt.Success {
		t.Fatalf("PUBACK %x below the bound", body)
	}
	p.note()
}

// A message of QoS 0 that is handed in again while it is under way has no acknowledgement,
// as the first had none.
func TestQoS0HandedInAgain(t *testing.T) {
	d := &door{}
	p := dial(t, start(t, d, nil))
	p.connect("c", mqtt.Props{})
	p.send(publish(0, 0, "a"))
	d.settle(t, p)
	p.send(publish(0, 0, "a"))
	p.ping()
}

// A client uses a packet id again for another message, which the relay does not read before
// the connection breaks: asked for again, it is that message and not the earlier one.
func TestPacketIDUsedAgain(t *testing.T) {
	d := &door{}
	addr := start(t, d, nil)
	p, first := answered(t, d, addr, 1, ledger.Delivered)
	p.acknowledge(1, first.id)
	p.ping()
	_ = p.conn.Close()
	p = dial(t, addr)
	p.connect("c", mqtt.Props{SessionExpiry: 60})
	p.send(publish(1, 1, "b", func(q *mqtt.Publish) { q.Dup = true }))
	p.until(mqtt.PUBACK)
	d.mu.Lock()
	defer d.mu.Unlock()
	if n := len(d.msgs); n != 2 || d.msgs[0].Identity == d.msgs[1].Identity {
		t.Errorf("the core heard of %d hand-ins, want 2 of two identities", n)
	}
}
