package mqttfront

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"golang.org/x/crypto/bcrypt"

	"basaltcross.example/basaltcross/internal/core"
	"basaltcross.example/basaltcross/internal/front"
	"basaltcross.example/basaltcross/internal/ledger"
	"basaltcross.example/basaltcross/internal/mqtt"
)

// fakeCore accepts each hand-in unless it is busy. It answers at once with autoAnswer, else
// when the test calls answer.
type fakeCore struct {
	mu         sync.Mutex
	received   []*core.Message
	busy       bool
	autoAnswer bool
}

func (d *fakeCore) Submit(m *core.Message) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.busy {
		return core.ErrBusy
	}
	d.received = append(d.received, m)
	m.Reply.Taken(nil)
	if d.autoAnswer {
		m.Reply.Answer(ledger.Answer{Verdict: ledger.Delivered})
	}
	return nil
}

func (d *fakeCore) Withdraw(string) {}

func (d *fakeCore) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.received)
}

// nopObserver ignores all reports.
type nopObserver struct{}

func (nopObserver) Front(int, int, int64) {}
func (nopObserver) Closed(byte)           {}
func (nopObserver) NotTaken(string)       {}
func (nopObserver) Handshake(error)       {}
func (nopObserver) Logf(string, ...any)   {}

// start starts a front with small limits, changed by change, and returns its address.
func start(t *testing.T, d *fakeCore, change func(*Options)) string {
	t.Helper()
	o := Options{Listen: []string{"127.0.0.1:0"}, Body: 4096, Connections: 100, Sessions: 100, ReceiveMaximum: 4,
		TopicAliases: 2, Pending: 8, PartialBytes: 64 << 10, SessionExpiry: time.Minute, KeepAlive: time.Minute,
		Handshake: 10 * time.Second, WriteBuffer: 32 << 10, Door: d, Observer: nopObserver{},
		Names: front.Names{Classes: map[string]int{"status": 0}, Partners: map[string]int{"p": 0},
			Deadlines: []time.Duration{time.Minute}}}
	if change != nil {
		change(&o)
	}
	f, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f.Addrs()[0]
}

// testClient is a client that sends the bytes of the test.
type testClient struct {
	t    *testing.T
	conn net.Conn
	buf  []byte
}

func dial(t *testing.T, addr string) *testClient {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return &testClient{t: t, conn: c}
}

func (p *testClient) send(b []byte) { _, _ = p.conn.Write(b) }

// next reads the next packet. Its type is 0 if the connection was closed.
func (p *testClient) next() (kind byte, body []byte) {
	p.t.Helper()
	for {
		first, body, rest, ok, err := mqtt.Frame(p.buf, 1<<20)
		if err != nil {
			p.t.Fatal(err)
		}
		if ok {
			p.buf = rest
			return first >> 4, bytes.Clone(body)
		}
		more := make([]byte, 4096)
		n, e := p.conn.Read(more)
		var ne net.Error
		if errors.As(e, &ne) && ne.Timeout() {
			p.t.Fatal("no packet received and connection not closed within 20 s")
		}
		if e != nil {
			return 0, nil
		}
		p.buf = append(p.buf, more[:n]...)
	}
}

// connect returns a CONNECT of MQTT 5.0.
func connect(id string, props mqtt.Props) []byte {
	return mqtt.AppendConnect(nil, &mqtt.Connect{Version: mqtt.V5, ClientID: id, Props: props})
}

func (p *testClient) connect(id string, props mqtt.Props) mqtt.Connack {
	p.t.Helper()
	p.send(connect(id, props))
	kind, body := p.next()
	a, err := mqtt.ParseConnack(mqtt.V5, body)
	if kind != mqtt.CONNACK || err != nil {
		p.t.Fatalf("packet type %d, error %v, want CONNACK", kind, err)
	}
	return a
}

// publish returns a PUBLISH to send/status/p, with corr as Correlation Data unless empty.
func publish(qos byte, id uint16, corr string, more ...func(*mqtt.Publish)) []byte {
	p := mqtt.Publish{QoS: qos, ID: id, Topic: "send/status/p", Payload: []byte("x")}
	if corr != "" {
		p.Props.Correlation = []byte(corr)
	}
	for _, m := range more {
		m(&p)
	}
	return mqtt.AppendPublish(nil, mqtt.V5, &p)
}

// A packet that violates the protocol, exceeds a limit or uses a feature that is not offered
// must end the connection, with a DISCONNECT of the standard's reason code.
func TestProtocolViolationsCloseTheConnection(t *testing.T) {
	addr := start(t, &fakeCore{}, nil)
	many := []byte{}
	for i := range 9 {
		many = append(many, publish(2, uint16(i+1), "")...)
	}
	for _, c := range []struct {
		name string
		send []byte
		code byte
	}{
		{"second CONNECT", connect("x", mqtt.Props{}), mqtt.ProtocolError},
		{"retained", publish(0, 0, "", func(p *mqtt.Publish) { p.Retain = true }), mqtt.RetainNotSupported},
		{"alias over the maximum", publish(0, 0, "", func(p *mqtt.Publish) { p.Props.Alias = 3 }),
			mqtt.TopicAliasInvalid},
		{"alias not set", publish(0, 0, "", func(p *mqtt.Publish) { p.Props.Alias, p.Topic = 1, "" }),
			mqtt.ProtocolError},
		{"wildcard in a topic", publish(0, 0, "", func(p *mqtt.Publish) { p.Topic = "send/#" }),
			mqtt.TopicNameInvalid},
		{"QoS 3", []byte{0x36, 5, 0, 1, 'a', 0, 1}, mqtt.MalformedPacket},
		{"packet id 0", []byte{0x32, 6, 0, 1, 'a', 0, 0, 0}, mqtt.MalformedPacket},
		{"no UTF-8", []byte{0x30, 5, 0, 2, 0xff, 0xfe, 0}, mqtt.MalformedPacket},
		{"U+0000 in a topic", []byte{0x30, 5, 0, 2, 'a', 0, 0}, mqtt.MalformedPacket},
		{"property that is not a PUBLISH's", []byte{0x30, 6, 0, 1, 'a', 2, 0x24, 1}, mqtt.MalformedPacket},
		{"property twice", []byte{0x30, 8, 0, 1, 'a', 4, 1, 0, 1, 0}, mqtt.ProtocolError},
		{"properties past the end", []byte{0x30, 5, 0, 1, 'a', 9, 1}, mqtt.MalformedPacket},
		{"long length", []byte{0x30, 0xff, 0xff, 0xff, 0xff}, mqtt.MalformedPacket},
		{"packet too large", []byte{0x30, 0xff, 0xff, 0x7f}, mqtt.PacketTooLarge},
		{"payload too large", publish(0, 0, "", func(p *mqtt.Publish) { p.Payload = make([]byte, 5000) }),
			mqtt.PacketTooLarge},
		{"flags of SUBSCRIBE", []byte{0x80, 7, 0, 1, 0, 0, 1, 'a', 0}, mqtt.MalformedPacket},
		{"no filter", []byte{0x82, 3, 0, 1, 0}, mqtt.ProtocolError},
		{"subscription identifier", []byte{0x82, 9, 0, 1, 2, 0x0b, 1, 0, 1, 'a', 0}, mqtt.SubIDsNotSupported},
		{"AUTH", []byte{0xf0, 0}, mqtt.ProtocolError},
		{"a server's packet", []byte{0xd0, 0}, mqtt.ProtocolError},
		{"over Receive Maximum", many, mqtt.ReceiveMaxExceeded},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := dial(t, addr)
			p.connect("c-"+c.name, mqtt.Props{})
			p.send(c.send)
			kind, body := p.next()
			for kind == mqtt.PUBREC {
				kind, body = p.next()
			}
			if kind != mqtt.DISCONNECT || body[0] != c.code {
				t.Fatalf("packet type %d %x, want DISCONNECT 0x%02x", kind, body, c.code)
			}
			if kind, _ := p.next(); kind != 0 {
				t.Errorf("packet type %d after DISCONNECT", kind)
			}
		})
	}
}

// A refused CONNECT must get a CONNACK with the code of its own protocol version.
func TestConnectRefusedWithTheCodeOfItsVersion(t *testing.T) {
	hash, err := bcrypt.GenerateFromPassword([]byte("secret"), bcrypt.MinCost)
	if err != nil {
		t.Fatal(err)
	}
	addr := start(t, &fakeCore{}, func(o *Options) { o.Users = map[string]string{"u": string(hash)} })
	con := func(v byte, change func(*mqtt.Connect)) []byte {
		c := &mqtt.Connect{Version: v, ClientID: "c", CleanStart: true, HasUser: true, User: "u",
			Password: []byte("secret")}
		if change != nil {
			change(c)
		}
		return mqtt.AppendConnect(nil, c)
	}
	for _, c := range []struct {
		name string
		send []byte
		code byte
	}{
		{"good", con(mqtt.V5, nil), 0},
		{"good 3.1.1", con(mqtt.V311, nil), 0},
		{"password", con(mqtt.V5, func(c *mqtt.Connect) { c.Password = []byte("x") }), mqtt.BadUserOrPassword},
		{"password 3.1.1", con(mqtt.V311, func(c *mqtt.Connect) { c.Password = []byte("x") }), 4},
		{"unknown user", con(mqtt.V5, func(c *mqtt.Connect) { c.User = "who" }), mqtt.BadUserOrPassword},
		{"no user", con(mqtt.V5, func(c *mqtt.Connect) { c.HasUser, c.Password = false, nil }),
			mqtt.BadUserOrPassword},
		{"enhanced authentication", con(mqtt.V5, func(c *mqtt.Connect) { c.Props.AuthMethod = "SCRAM" }),
			mqtt.BadAuthMethod},
		{"empty id 3.1.1", con(mqtt.V311, func(c *mqtt.Connect) { c.ClientID, c.CleanStart = "", false }), 2},
		{"version 3", con(3, nil), 1},
		{"version 9", con(9, nil), mqtt.UnsupportedVersion},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := dial(t, addr)
			p.send(c.send)
			kind, body := p.next()
			if kind != mqtt.CONNACK || body[1] != c.code {
				t.Fatalf("packet type %d %x, want CONNACK 0x%02x", kind, body, c.code)
			}
		})
	}
}

// Features of a broker that this front lacks must be declared as unavailable in CONNACK,
// and their use refused by reason code.
func TestUnsupportedFeaturesAreAnnouncedAndRefused(t *testing.T) {
	p := dial(t, start(t, &fakeCore{}, nil))
	a := p.connect("c", mqtt.Props{RequestResponse: 1})
	if a.Props.RetainAvailable != 0 || a.Props.Wildcard != 0 || a.Props.Shared != 0 || a.Props.SubIDs != 0 ||
		a.Props.ResponseInfo != "answers/c" || a.Props.ReceiveMaximum != 4 {
		t.Errorf("CONNACK %+v", a.Props)
	}
	p.send(mqtt.AppendSubscribe(nil, mqtt.V5, 5, mqtt.Filter{Topic: "answers/c", QoS: 2},
		mqtt.Filter{Topic: "answers/+"},
		mqtt.Filter{Topic: "$share/g/a"}, mqtt.Filter{Topic: "send/status/p"}))
	kind, body := p.next()
	want := []byte{0, 5, 0, 2, mqtt.WildcardNotSupported, mqtt.SharedNotSupported, mqtt.NotAuthorized}
	if kind != mqtt.SUBACK || !bytes.Equal(body, want) {
		t.Errorf("packet type %d %x, want %x", kind, body, want)
	}
	p.send(publish(1, 3, "", func(p *mqtt.Publish) { p.Topic = "send/status/nobody" }))
	if kind, body = p.next(); kind != mqtt.PUBACK || body[2] != mqtt.TopicNameInvalid {
		t.Errorf("unknown partner: packet type %d %x", kind, body)
	}
}

// The QoS 2 exchange of an answer must resume at the step that it had reached when the
// connection broke, before and after PUBREC, and the answer must count against the client's
// Receive Maximum until PUBCOMP.
func TestAnswersResume(t *testing.T) {
	d := &fakeCore{autoAnswer: true}
	addr := start(t, d, nil)
	props := mqtt.Props{SessionExpiry: 60, ReceiveMaximum: 1}
	p := dial(t, addr)
	p.connect("c", props)
	p.send(mqtt.AppendSubscribe(nil, mqtt.V5, 1, mqtt.Filter{Topic: "answers/c", QoS: 2}))
	p.send(publish(1, 1, "a"))
	p.send(publish(1, 2, "b"))
	seen := map[byte]int{}
	var id uint16
	for seen[mqtt.SUBACK]+seen[mqtt.PUBACK]+seen[mqtt.PUBLISH] < 4 {
		kind, body := p.next()
		if seen[kind]++; kind == mqtt.PUBLISH {
			q, _ := mqtt.ParsePublish(mqtt.V5, 0x34, body)
			id = q.ID
		}
	}
	if seen[mqtt.PUBLISH] != 1 {
		t.Fatalf("packets by type %v: more answers than the client's Receive Maximum of 1", seen)
	}
	_ = p.conn.Close()
	p = dial(t, addr)
	if a := p.connect("c", props); !a.SessionPresent {
		t.Fatal("CONNACK without Session Present, want the session resumed")
	}
	kind, body := p.next() // sent again, as it was not acknowledged
	if q, _ := mqtt.ParsePublish(mqtt.V5, 0x3c, body); kind != mqtt.PUBLISH || q.ID != id ||
		string(q.Props.Correlation) != "a" {
		t.Fatalf("packet type %d %x", kind, body)
	}
	p.send(mqtt.AppendAck(nil, mqtt.V5, mqtt.PUBREC, id, 0, ""))
	if kind, _ := p.next(); kind != mqtt.PUBREL {
		t.Fatalf("packet type %d after PUBREC, want PUBREL", kind)
	}
	_ = p.conn.Close()
	p = dial(t, addr)
	p.connect("c", props)
	if kind, _ := p.next(); kind != mqtt.PUBREL {
		t.Fatalf("packet type %d after reconnecting between PUBREC and PUBCOMP, want PUBREL", kind)
	}
	p.send(mqtt.AppendAck(nil, mqtt.V5, mqtt.PUBCOMP, id, 0, ""))
	kind, body = p.next()
	if q, _ := mqtt.ParsePublish(mqtt.V5, 0x34, body); kind != mqtt.PUBLISH || string(q.Props.Correlation) != "b" {
		t.Fatalf("packet type %d %x after PUBCOMP, want the second answer", kind, body)
	}
}

// A hand-in must be rejected with Quota exceeded when Options.Pending is reached, and when
// the core is busy.
func TestPendingLimitAndBusyCoreReject(t *testing.T) {
	d := &fakeCore{}
	addr := start(t, d, func(o *Options) { o.ReceiveMaximum = 100 })
	p := dial(t, addr)
	p.connect("c", mqtt.Props{SessionExpiry: 60})
	for i := range 9 {
		p.send(publish(1, uint16(i+1), fmt.Sprint(i)))
		_, body := p.next()
		if refused := len(body) > 2 && body[2] == mqtt.QuotaExceeded; refused != (i == 8) {
			t.Errorf("message %d: %x", i, body)
		}
	}
	d.mu.Lock()
	d.busy = true
	d.mu.Unlock()
	q := dial(t, addr)
	q.connect("q", mqtt.Props{})
	q.send(publish(2, 1, "q"))
	if kind, body := q.next(); kind != mqtt.PUBREC || body[2] != mqtt.QuotaExceeded {
		t.Errorf("packet type %d %x", kind, body)
	}
}

// Partially received packets of many connections must stay within Options.PartialBytes, and the
// connection of a client that does not read its answers must be closed, so that neither
// exhausts the memory. Other clients must be served meanwhile.
func TestPartialPacketsAndSlowReaderAreBounded(t *testing.T) {
	d := &fakeCore{}
	addr := start(t, d, func(o *Options) {
		o.Pending, o.ReceiveMaximum, o.Body, o.PartialBytes = 60000, 65535, 64<<10, 256<<10
	})
	good := dial(t, addr)
	good.connect("good", mqtt.Props{})
	closed := make(chan int, 40)
	for i := range 40 {
		p := dial(t, addr)
		p.connect(fmt.Sprint("half", i), mqtt.Props{})
		p.send(append([]byte{0x30, 0x80, 0x80, 0x04}, make([]byte, 32<<10)...))
		go func() { _, _ = io.Copy(io.Discard, p.conn); closed <- i }()
		good.send(publish(1, uint16(i+1), fmt.Sprint(i)))
		if kind, body := good.next(); kind != mqtt.PUBACK || len(body) > 2 && body[2] != 0 {
			t.Fatalf("well-behaved client got packet type %d %x, want PUBACK", kind, body)
		}
	}
	for range 40 - 256/32 { // 32 KiB each, and only PartialBytes of 256 KiB may be held
		select {
		case <-closed:
		case <-time.After(5 * time.Second):
			t.Fatal("connections with partial packets over Options.PartialBytes are not closed")
		}
	}
	slow := dial(t, addr)
	slow.connect("slow", mqtt.Props{SessionExpiry: 60})
	topic := fmt.Sprintf("answers/%0500d", 0)
	slow.send(mqtt.AppendSubscribe(nil, mqtt.V5, 1, mqtt.Filter{Topic: topic}))
	d.mu.Lock()
	d.autoAnswer = true
	d.mu.Unlock()
	before := d.count()
	_ = slow.conn.SetWriteDeadline(time.Now().Add(10 * time.Second))
	var err error
	for i := 0; err == nil && i < 60000; i++ {
		_, err = slow.conn.Write(publish(1, uint16(i%60000+1), fmt.Sprint("s", i), func(p *mqtt.Publish) {
			p.Props.ResponseTopic = topic
		}))
	}
	var ne net.Error
	if err == nil || errors.As(err, &ne) && ne.Timeout() {
		t.Errorf("error %v: connection stays open with %d answers to a client that does not read", err,
			d.count()-before)
	}
	t.Logf("slow reader disconnected: %v after %d messages", err, d.count()-before)
	good.send(mqtt.AppendEmpty(nil, mqtt.PINGREQ))
	if kind, _ := good.next(); kind != mqtt.PINGRESP {
		t.Errorf("well-behaved client got packet type %d, want PINGRESP", kind)
	}
}

// A connection must be closed when nothing arrives within one and a half keep-alive
// intervals, or when a packet is not completed in time. The will must be handed in then,
// and must not be after a DISCONNECT.
func TestKeepAliveAndWill(t *testing.T) {
	d := &fakeCore{}
	addr := start(t, d, func(o *Options) { o.Handshake = 300 * time.Millisecond })
	will := func(id string) []byte {
		b := mqtt.AppendConnect(nil, &mqtt.Connect{Version: mqtt.V5, ClientID: id, KeepAlive: 1, CleanStart: true})
		b[9] |= 4 // will flag, QoS 0
		b[1] += byte(1 + 2 + len("send/status/p") + 2 + 1)
		b = append(b, 0, 0, byte(len("send/status/p")))
		b = append(b, "send/status/p"...)
		return append(b, 0, 1, 'w')
	}
	p := dial(t, addr)
	p.send(will("a"))
	if kind, body := p.next(); kind != mqtt.CONNACK || body[1] != 0 {
		t.Fatalf("packet type %d %x", kind, body)
	}
	if kind, body := p.next(); kind != mqtt.DISCONNECT || body[0] != mqtt.KeepAliveTimeout {
		t.Fatalf("packet type %d %x", kind, body)
	}
	for d.count() < 1 {
		time.Sleep(time.Millisecond)
	}
	p = dial(t, addr)
	p.send(will("b"))
	p.next()
	p.send([]byte{0xe0, 0})
	if kind, _ := p.next(); kind != 0 {
		t.Errorf("packet type %d after DISCONNECT", kind)
	}
	p = dial(t, addr)
	p.connect("half", mqtt.Props{})
	p.send([]byte{0x30, 0x20, 0})
	if kind, body := p.next(); kind != mqtt.DISCONNECT || body[0] != mqtt.ProtocolError {
		t.Errorf("partial packet: type %d %x, want DISCONNECT with Protocol Error", kind, body)
	}
	if d.count() != 1 {
		t.Errorf("%d wills handed in, want 1", d.count())
	}
}
