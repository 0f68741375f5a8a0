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

// keeper counts the identities whose answers were recorded as acknowledged.
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

// answer answers the newest hand-in.
func (d *fakeCore) answer(v ledger.Verdict) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.received[len(d.received)-1].Reply.Answer(ledger.Answer{Verdict: v, RetryAfter: 10 * time.Millisecond})
}

// receivedAnswer is an answer that the client received, with the packet id of its PUBLISH.
type receivedAnswer struct {
	verdict string
	id      uint16
	handIn  bool // its packet_id names the hand-in with packet id 2
}

// readUntil reads packets up to the first of type want and returns its body. Packets of
// the types in skip may precede it; any other fails the test.
func (p *testClient) readUntil(want byte, skip ...byte) []byte {
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

// readAnswer reads the next answer, which must be of QoS 1 or 2.
func (p *testClient) readAnswer(skip ...byte) receivedAnswer {
	p.t.Helper()
	q, err := mqtt.ParsePublish(mqtt.V5, 0x32, p.readUntil(mqtt.PUBLISH, skip...))
	if err != nil {
		p.t.Fatal(err)
	}
	return receivedAnswer{verdict: q.Props.UserValue("answer"), id: q.ID,
		handIn: strings.Contains(string(q.Payload), `"packet_id":2`)}
}

// acknowledge completes the acknowledgement of an answer.
func (p *testClient) acknowledge(qos byte, id uint16) {
	p.t.Helper()
	if qos == 1 {
		p.send(mqtt.AppendAck(nil, mqtt.V5, mqtt.PUBACK, id, mqtt.Success, ""))
		return
	}
	p.receive(id)
	p.complete(id)
}

// receive does the first half of the acknowledgement of a QoS 2 answer: it sends PUBREC
// and reads PUBREL.
func (p *testClient) receive(id uint16) {
	p.t.Helper()
	p.send(mqtt.AppendAck(nil, mqtt.V5, mqtt.PUBREC, id, mqtt.Success, ""))
	p.readUntil(mqtt.PUBREL)
}

// complete does the second half: it sends PUBCOMP.
func (p *testClient) complete(id uint16) {
	p.send(mqtt.AppendAck(nil, mqtt.V5, mqtt.PUBCOMP, id, mqtt.Success, ""))
}

// resume reconnects the client of a session, which must receive its unacknowledged answer,
// first, once more.
func resume(t *testing.T, p *testClient, addr string, first receivedAnswer) *testClient {
	t.Helper()
	_ = p.conn.Close()
	p = dial(t, addr)
	if !p.connect("c", mqtt.Props{SessionExpiry: 60}).SessionPresent {
		t.Fatal("CONNACK without Session Present, want the session resumed")
	}
	if again := p.readAnswer(); again != first {
		t.Fatalf("answer after reconnecting %+v, want %+v", again, first)
	}
	return p
}

// ping waits until the front has handled all packets sent before.
func (p *testClient) ping() {
	p.t.Helper()
	p.send(mqtt.AppendEmpty(nil, mqtt.PINGREQ))
	p.readUntil(mqtt.PINGRESP)
}

// answered returns a client that has received the answer of its first hand-in and has not
// acknowledged it.
func answered(t *testing.T, d *fakeCore, addr string, qos byte, v ledger.Verdict) (*testClient, receivedAnswer) {
	t.Helper()
	p := dial(t, addr)
	p.connect("c", mqtt.Props{SessionExpiry: 60})
	p.send(mqtt.AppendSubscribe(nil, mqtt.V5, 9, mqtt.Filter{Topic: "answers/c", QoS: qos}))
	p.readUntil(mqtt.SUBACK)
	p.send(publish(1, 1, "a"))
	p.readUntil(mqtt.PUBACK)
	d.answer(v)
	first := p.readAnswer()
	if first.verdict != v.String() {
		t.Fatalf("first answer %q, want %v", first.verdict, v)
	}
	return p, first
}

// A client that hands a message in again before it acknowledges the earlier answer, as it
// may after a refusal without a wait, must get a second answer: the core must receive the
// second hand-in, and the identity may be recorded as finished only when the second answer
// is acknowledged. Otherwise a restart would lose that answer.
func TestHandInRepeatedBeforeItsAnswerIsAcknowledged(t *testing.T) {
	for _, c := range []struct {
		name     string
		qos      byte
		verdict  ledger.Verdict
		received bool // the second hand-in comes between PUBREC and PUBCOMP of the first answer
		resumed  bool // the second hand-in comes on the session's next connection
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
			d, k := &fakeCore{}, &keeper{}
			addr := start(t, d, func(o *Options) { o.Keeper = k })
			p, first := answered(t, d, addr, c.qos, c.verdict)
			if c.resumed {
				p = resume(t, p, addr, first)
			}
			if c.received {
				p.receive(first.id)
			}
			p.send(publish(1, 2, "a"))
			p.readUntil(mqtt.PUBACK)
			if n := d.count(); n != 2 {
				t.Fatalf("the core received %d hand-ins, want 2", n)
			}
			if c.received {
				p.complete(first.id)
			} else {
				p.acknowledge(c.qos, first.id)
			}
			p.ping()
			if n := k.count(); n != 0 {
				t.Fatal("the identity is recorded as finished before the second answer")
			}
			d.answer(ledger.Delivered)
			second := p.readAnswer()
			if second.verdict != "delivered" || !second.handIn {
				t.Errorf("second answer %+v, want delivered for packet id 2", second)
			}
			p.acknowledge(c.qos, second.id)
			p.ping()
			if n := k.count(); n != 1 {
				t.Errorf("%d identities recorded as finished, want 1", n)
			}
		})
	}
}

// A later hand-in of an identity replaces an answer that is not sent yet, so that the client
// gets one answer only. If the core rejects the later hand-in, the first answer must still
// be sent.
func TestHandInRepeatedBeforeItsAnswerIsSent(t *testing.T) {
	for _, busy := range []bool{false, true} {
		d, k := &fakeCore{}, &keeper{}
		p := dial(t, start(t, d, func(o *Options) { o.Keeper = k }))
		p.connect("c", mqtt.Props{SessionExpiry: 60})
		p.send(publish(1, 1, "a"))
		p.readUntil(mqtt.PUBACK)
		d.answer(ledger.Refused) // not sent, as the client is not subscribed
		d.waitHandled(t, p)
		want := receivedAnswer{verdict: "delivered", handIn: true}
		if d.busy = busy; busy {
			want = receivedAnswer{verdict: "refused"}
		}
		p.send(publish(1, 2, "a"))
		if body := p.readUntil(mqtt.PUBACK); (len(body) > 2 && body[2] == mqtt.QuotaExceeded) != busy {
			t.Fatalf("core busy %v: PUBACK %x", busy, body)
		}
		if !busy {
			d.answer(ledger.Delivered)
		}
		p.send(mqtt.AppendSubscribe(nil, mqtt.V5, 9, mqtt.Filter{Topic: "answers/c", QoS: 1}))
		got := p.readAnswer(mqtt.SUBACK)
		if want.id = got.id; got != want {
			t.Errorf("core busy %v: answer %+v, want %+v", busy, got, want)
		}
		p.acknowledge(1, got.id)
		p.ping() // fails if another answer arrives
		if n := k.count(); n != 1 {
			t.Errorf("core busy %v: %d identities recorded as finished, want 1", busy, n)
		}
	}
}

// waitHandled waits until the front has handled all replies of the core, by a hand-in whose
// PUBACK follows them. It removes this hand-in from the received ones.
func (d *fakeCore) waitHandled(t *testing.T, p *testClient) {
	t.Helper()
	p.send(publish(1, 90, "settle"))
	p.readUntil(mqtt.PUBACK)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.received = d.received[:len(d.received)-1]
}

// A PUBLISH that is retransmitted on the next connection is not a new hand-in: it is
// acknowledged, and the core must not receive it a second time.
func TestRetransmittedFlowIsNotANewHandIn(t *testing.T) {
	d := &fakeCore{}
	addr := start(t, d, nil)
	p, first := answered(t, d, addr, 1, ledger.Refused)
	p = resume(t, p, addr, first)
	p.send(publish(1, 1, "a", func(q *mqtt.Publish) { q.Dup = true }))
	p.readUntil(mqtt.PUBACK)
	p.acknowledge(1, first.id)
	p.ping()
	if n := d.count(); n != 1 {
		t.Errorf("the core received %d hand-ins, want 1", n)
	}
}

// Unacknowledged answers count against Options.Pending, also older ones of an identity that
// was handed in again: without that a client could make the relay hold any number of them.
func TestUnacknowledgedAnswersAreBounded(t *testing.T) {
	const bound = 3
	d := &fakeCore{autoAnswer: true}
	p := dial(t, start(t, d, func(o *Options) { o.Pending = bound }))
	p.connect("c", mqtt.Props{SessionExpiry: 60})
	p.send(mqtt.AppendSubscribe(nil, mqtt.V5, 9, mqtt.Filter{Topic: "answers/c", QoS: 1}))
	p.readUntil(mqtt.SUBACK)
	var last receivedAnswer
	for i := range bound {
		p.send(publish(1, uint16(i+1), "a"))
		p.readUntil(mqtt.PUBACK)
		last = p.readAnswer()
	}
	again := publish(1, 50, "a")
	p.send(again)
	if body := p.readUntil(mqtt.PUBACK); len(body) < 3 || body[2] != mqtt.QuotaExceeded {
		t.Fatalf("PUBACK %x over the limit, want code Quota exceeded", body)
	}
	p.acknowledge(1, last.id)
	p.send(again)
	if body := p.readUntil(mqtt.PUBACK); len(body) > 2 && body[2] != mqtt.Success {
		t.Fatalf("PUBACK %x below the limit, want success", body)
	}
	p.readAnswer()
}

// A QoS 0 message that is handed in again before its answer joins the first hand-in, and
// must not be acknowledged: QoS 0 has no acknowledgement.
func TestRepeatOfQoS0IsNotAcknowledged(t *testing.T) {
	d := &fakeCore{}
	p := dial(t, start(t, d, nil))
	p.connect("c", mqtt.Props{})
	p.send(publish(0, 0, "a"))
	d.waitHandled(t, p)
	p.send(publish(0, 0, "a"))
	p.ping()
}

// A client reuses a packet id for another message, and the connection breaks before the
// relay reads it. Its retransmission must be handed in as the new message, not taken for a
// retransmission of the earlier one with the same packet id.
func TestPacketIDReusedForAnotherMessage(t *testing.T) {
	d := &fakeCore{}
	addr := start(t, d, nil)
	p, first := answered(t, d, addr, 1, ledger.Delivered)
	p.acknowledge(1, first.id)
	p.ping()
	_ = p.conn.Close()
	p = dial(t, addr)
	p.connect("c", mqtt.Props{SessionExpiry: 60})
	p.send(publish(1, 1, "b", func(q *mqtt.Publish) { q.Dup = true }))
	p.readUntil(mqtt.PUBACK)
	d.mu.Lock()
	defer d.mu.Unlock()
	if n := len(d.received); n != 2 || d.received[0].Identity == d.received[1].Identity {
		t.Errorf("the core received %d hand-ins, want 2 of different identities", n)
	}
}
