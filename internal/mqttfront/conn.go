package mqttfront

import (
	"bytes"
	"crypto/rand"
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"basaltcross.example/basaltcross/internal/engine"
	"basaltcross.example/basaltcross/internal/front"
	"basaltcross.example/basaltcross/internal/mqtt"
	"basaltcross.example/basaltcross/internal/secure"
)

// conn is one client's connection.
type conn struct {
	front         *Front
	nb            *engine.Conn
	sec           *secure.Conn // nil without TLS
	out           io.Writer    // nb, or sec with TLS
	certName      string       // common name of the verified client certificate, empty for none
	openedAt      time.Time
	lastPacket    atomic.Int64         // time of the last packet, as of front.Now
	partialSince  atomic.Int64         // start of the partially received packet, as of front.Now; 0 for none
	partial       *front.PartialHolder // bytes of the partially received packet
	ended         atomic.Bool
	writeMu       sync.Mutex  // held for each write and to set ended, as nothing may follow DISCONNECT (3.14)
	discardWill   atomic.Bool // DISCONNECT received that discards the will
	canDisconnect atomic.Bool // CONNACK of MQTT 5.0 sent, so that DISCONNECT may be sent

	// Input state; guarded by mu, which is held while packets are handled.
	mu        sync.Mutex
	buf       []byte // received, not yet handled
	state     state
	version   byte
	session   *session
	keepAlive time.Duration // 0 for none
	aliases   map[uint16]string

	// Set at CONNECT, guarded by the session's mu from then on.
	receiveMax      int    // Receive Maximum of the client
	clientMaxPacket int    // Maximum Packet Size of the client, 0 for none
	wantReason      bool   // the client wants reason strings
	outQueue        []byte // packets to write before the session's mu is released
	dirty           bool   // on writeLoop's list of connections to flush
}

// state is the progress of a connection towards its session.
type state int

const (
	awaitingConnect state = iota
	authenticating
	connected
)

// enqueue queues a packet until flush; under the session's mu.
func (c *conn) enqueue(b []byte) {
	if c.clientMaxPacket > 0 && len(b) > c.clientMaxPacket {
		return // over the client's Maximum Packet Size: treated as sent (3.1.2.11.4)
	}
	c.outQueue = append(c.outQueue, b...)
}

// flush writes the queued packets.
func (c *conn) flush() {
	c.session.mu.Lock()
	c.writeQueued()
	c.session.mu.Unlock()
}

// writeQueued writes the queued packets; the caller holds the session's mu, which keeps
// their order. It never blocks, and an error closes the connection.
func (c *conn) writeQueued() {
	b := c.outQueue
	c.outQueue, c.dirty = nil, false
	if len(b) == 0 {
		return
	}
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if !c.ended.Load() {
		_, _ = c.out.Write(b)
	}
}

// reason returns text if the client wants reason strings, else "".
func (c *conn) reason(text string) string {
	if !c.wantReason {
		return ""
	}
	return text
}

// end closes the connection, in MQTT 5.0 after a DISCONNECT with code and reason. It
// returns false if the connection has ended before.
func (c *conn) end(code byte, reason string) bool {
	c.writeMu.Lock()
	if c.ended.Swap(true) {
		c.writeMu.Unlock()
		return false
	}
	if c.canDisconnect.Load() {
		_, _ = c.out.Write(mqtt.AppendDisconnect(nil, code, reason))
	}
	c.writeMu.Unlock()
	c.front.opt.Observer.Closed(code)
	if code == mqtt.QuotaExceeded { // frees its buffers at once
		_ = c.nb.Close()
		return true
	}
	c.nb.CloseLingering(front.LingerTime)
	return true
}

// Data accepts bytes received on the socket.
func (c *conn) Data(b []byte) {
	if c.sec != nil {
		c.sec.Data(b)
		return
	}
	c.handlePlaintext(b)
}

// handshakeDone is called after the TLS handshake and returns the receiver of the
// plaintext.
func (c *conn) handshakeDone(s *secure.Conn, err error) func([]byte) {
	c.front.opt.Observer.Handshake(err)
	if err != nil {
		return nil
	}
	if certs := s.ConnectionState().PeerCertificates; len(certs) > 0 { // verified by the handshake
		c.mu.Lock()
		c.certName = certs[0].Subject.CommonName
		c.mu.Unlock()
	}
	return c.handlePlaintext
}

// handlePlaintext accepts received MQTT bytes.
func (c *conn) handlePlaintext(b []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.process(b)
}

// process handles complete packets and keeps the rest; under mu.
func (c *conn) process(b []byte) {
	buffered := len(c.buf) > 0
	if buffered {
		c.hold(len(c.buf) + len(b))
		c.buf = append(c.buf, b...)
		b = c.buf
	}
	limit := c.front.max
	if c.state != connected {
		limit = min(limit, maxBeforeConnack)
	}
	for !c.ended.Load() && c.state != authenticating {
		first, body, rest, ok, err := mqtt.Frame(b, limit)
		if err != nil {
			c.end(err.Code, err.Text)
			break
		}
		if !ok {
			break
		}
		c.lastPacket.Store(front.Now())
		c.partialSince.Store(0)
		b = rest
		if err := c.handlePacket(first, body); err != nil {
			c.refuse(err)
			break
		}
		limit = c.front.max
	}
	if c.ended.Load() {
		b = nil
	}
	if c.state == authenticating && len(b) > maxBeforeConnack {
		c.end(mqtt.QuotaExceeded, "too much sent before the CONNACK")
		b = nil
	}
	if c.session != nil {
		c.flush()
	}
	switch {
	case len(b) == 0:
		c.buf = nil
		c.partialSince.Store(0)
	case buffered:
		c.buf = b[:len(b):len(b)]
	default:
		c.buf = bytes.Clone(b)
	}
	if len(b) > 0 && c.partialSince.Load() == 0 {
		c.partialSince.Store(front.Now())
	}
	c.hold(len(b))
}

// hold records the bytes of the partially received packet, and ends the connections that hold most if all of
// them hold too many; under mu.
func (c *conn) hold(bytes int) {
	c.partial.Set(bytes)
	c.front.partial.Shed()
}

// refuse closes the connection for an error of the client, with a CONNACK of the error's
// code if none was sent.
func (c *conn) refuse(err *mqtt.Error) {
	if c.session != nil || c.ended.Load() {
		c.end(err.Code, err.Text)
		return
	}
	if c.version != 0 {
		code := err.Code
		if c.version != mqtt.V5 {
			switch code {
			case mqtt.UnsupportedVersion:
				code = 1
			case mqtt.BadIdentifier:
				code = 2
			case mqtt.BadUserOrPassword:
				code = 4
			case mqtt.NotAuthorized, mqtt.TopicNameInvalid, mqtt.RetainNotSupported:
				code = 5
			case mqtt.ServerBusy, mqtt.ServerUnavailable, mqtt.QuotaExceeded, mqtt.ServerShuttingDown:
				code = 3
			default:
				code = 0
			}
		}
		if code != 0 {
			p := &mqtt.Props{ReasonString: err.Text}
			_, _ = c.out.Write(mqtt.AppendConnack(nil, c.version, false, code, p))
		}
	}
	c.end(err.Code, err.Text)
}

// checkTimeouts closes a connection that exceeds the time limit of a packet, of CONNECT
// or of its keep-alive.
func (c *conn) checkTimeouts(now time.Time) {
	wait := c.front.opt.Handshake
	if since := c.partialSince.Load(); since != 0 && front.SinceStart(now)-since > int64(wait) {
		c.end(mqtt.ProtocolError, "packet was not finished in time")
		return
	}
	c.mu.Lock()
	st, keep := c.state, c.keepAlive
	c.mu.Unlock()
	switch {
	case st != connected && now.Sub(c.openedAt) > wait:
		c.end(mqtt.ProtocolError, "no CONNECT in time")
	case st == connected && keep > 0 && front.SinceStart(now)-c.lastPacket.Load() > int64(keep+keep/2):
		c.end(mqtt.KeepAliveTimeout, "nothing came within one and a half keep-alive times")
	}
}

// Closed is called when the connection has ended. It detaches the session.
func (c *conn) Closed() {
	f := c.front
	if c.sec != nil {
		c.sec.End()
	}
	f.mu.Lock()
	delete(f.conns, c)
	f.mu.Unlock()
	c.mu.Lock()
	c.ended.Store(true)
	s := c.session
	c.buf = nil
	c.partial.Leave()
	c.mu.Unlock()
	if s == nil {
		return
	}
	s.mu.Lock()
	if s.conn != c {
		s.mu.Unlock()
		return
	}
	s.conn, s.disconnectedAt, s.inFlight = nil, time.Now(), 0
	if c.discardWill.Load() {
		s.will = nil
	}
	if s.will != nil {
		s.willAt = s.disconnectedAt.Add(time.Duration(s.will.Props.WillDelay) * time.Second)
	}
	s.scheduleExpiry()
	s.mu.Unlock()
	f.expire(s, time.Now())
}

// handlePacket handles one packet.
func (c *conn) handlePacket(first byte, body []byte) *mqtt.Error {
	kind := first >> 4
	if c.state == awaitingConnect {
		if kind != mqtt.CONNECT {
			return &mqtt.Error{Code: mqtt.ProtocolError, Text: "first packet is no CONNECT"}
		}
		return c.connect(first, body)
	}
	switch kind {
	case mqtt.PUBLISH:
		return c.publish(first, body)
	case mqtt.PUBACK, mqtt.PUBREC, mqtt.PUBCOMP:
		a, err := mqtt.ParseAck(c.version, first, body)
		if err != nil {
			return err
		}
		c.session.mu.Lock()
		c.session.handleAck(a)
		c.session.mu.Unlock()
	case mqtt.PUBREL:
		return c.handlePubrel(first, body)
	case mqtt.SUBSCRIBE, mqtt.UNSUBSCRIBE:
		return c.subscribe(first, body)
	case mqtt.PINGREQ:
		if first&0x0f != 0 || len(body) > 0 {
			return &mqtt.Error{Code: mqtt.MalformedPacket, Text: "PINGREQ with flags or content"}
		}
		c.session.mu.Lock()
		c.enqueue(mqtt.AppendEmpty(nil, mqtt.PINGRESP))
		c.session.mu.Unlock()
	case mqtt.DISCONNECT:
		return c.disconnect(first, body)
	case mqtt.AUTH:
		return &mqtt.Error{Code: mqtt.ProtocolError, Text: "AUTH without a method agreed on"}
	default:
		return &mqtt.Error{Code: mqtt.ProtocolError, Text: fmt.Sprintf("packet type %d from a client", kind)}
	}
	return nil
}

// disconnect handles DISCONNECT.
func (c *conn) disconnect(first byte, body []byte) *mqtt.Error {
	d, err := mqtt.ParseDisconnect(c.version, first, body)
	if err != nil {
		return err
	}
	s := c.session
	s.mu.Lock()
	if d.Props.HasSessionExpiry() {
		if s.expiry == 0 && d.Props.SessionExpiry != 0 {
			s.mu.Unlock()
			return &mqtt.Error{Code: mqtt.ProtocolError, Text: "session expiry was 0 and stays so"}
		}
		s.expiry = c.front.boundedExpiry(d.Props.SessionExpiry)
		s.persist()
	}
	s.mu.Unlock()
	c.discardWill.Store(d.Code != mqtt.DisconnectWithWill)
	c.ended.Store(true)
	c.nb.CloseLingering(front.LingerTime)
	return nil
}

// boundedExpiry returns a Session Expiry Interval, limited to Options.SessionExpiry.
func (f *Front) boundedExpiry(seconds uint32) time.Duration {
	return min(time.Duration(seconds)*time.Second, f.opt.SessionExpiry)
}

// connect handles CONNECT: it checks the packet, checks the password on another goroutine
// unless it is cached, and then admits the client.
func (c *conn) connect(first byte, body []byte) *mqtt.Error {
	in, err := mqtt.ParseConnect(first, body)
	if in != nil {
		if c.version = in.Version; in.Version != mqtt.V311 && in.Version != mqtt.V5 && c.version > mqtt.V5 {
			c.version = mqtt.V5
		}
	}
	if err != nil {
		return err
	}
	if in.Props.HasAuth() {
		return &mqtt.Error{Code: mqtt.BadAuthMethod, Text: "enhanced authentication is not offered"}
	}
	if in.ClientID == "" {
		if in.Version == mqtt.V311 && !in.CleanStart {
			return &mqtt.Error{Code: mqtt.BadIdentifier, Text: "an empty client identifier needs a clean session"}
		}
		in.Props.AssignedID = "auto-" + rand.Text()
		in.ClientID = in.Props.AssignedID
	}
	if len(in.ClientID) > 256 {
		return &mqtt.Error{Code: mqtt.BadIdentifier, Text: "client identifier is over 256 bytes"}
	}
	if w := in.Will; w != nil {
		if w.Retain {
			return &mqtt.Error{Code: mqtt.RetainNotSupported, Text: "retained messages are not offered"}
		}
		if _, _, err := c.front.route(w.Topic); err != nil {
			return &mqtt.Error{Code: mqtt.TopicNameInvalid, Text: "will: " + err.Error()}
		}
		if len(w.Payload) > c.front.opt.Body {
			return &mqtt.Error{Code: mqtt.PacketTooLarge, Text: "will payload is over the limit"}
		}
		w.Payload = bytes.Clone(w.Payload) // the packet's memory is reused
		w.Props.Correlation = bytes.Clone(w.Props.Correlation)
	}
	if c.certName != "" { // the certificate's name is the user name; no password is needed
		in.User = c.certName
		return c.admit(in)
	}
	if len(c.front.opt.Users) == 0 {
		return c.admit(in)
	}
	if !in.HasUser {
		return &mqtt.Error{Code: mqtt.BadUserOrPassword, Text: "user name and password are needed"}
	}
	if ok, _ := c.front.auth.checkCached(in.User, in.Password); ok {
		return c.admit(in)
	}
	in.Password = bytes.Clone(in.Password)
	in.Props.Correlation = nil
	c.state = authenticating
	go func() {
		ok, err := c.front.auth.check(in.User, in.Password)
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.ended.Load() {
			return
		}
		c.state = awaitingConnect
		var fail *mqtt.Error
		switch {
		case err != nil:
			fail = &mqtt.Error{Code: mqtt.ServerBusy, Text: err.Error()}
		case !ok:
			fail = &mqtt.Error{Code: mqtt.BadUserOrPassword, Text: "user name or password is wrong"}
		default:
			fail = c.admit(in)
		}
		if fail != nil {
			c.refuse(fail)
			return
		}
		rest := c.buf
		c.buf = nil
		c.process(rest)
	}()
	return nil
}

// admit attaches the client's session or a new one to the connection and sends CONNACK
// and what is due to the client.
func (c *conn) admit(in *mqtt.Connect) *mqtt.Error {
	f := c.front
	keep := time.Duration(in.KeepAlive) * time.Second
	ack := mqtt.UnsupportedFeatures()
	if in.Version == mqtt.V5 && f.opt.KeepAlive > 0 && (keep == 0 || keep > f.opt.KeepAlive) {
		keep = f.opt.KeepAlive
		ack.ServerKeepAlive = uint16(min(keep/time.Second, 65535))
	}
	expiry := time.Duration(0)
	switch {
	case in.Version == mqtt.V5:
		expiry = f.boundedExpiry(in.Props.SessionExpiry)
		if time.Duration(in.Props.SessionExpiry)*time.Second != expiry {
			ack.SessionExpiry = uint32(expiry / time.Second)
		}
	case !in.CleanStart:
		expiry = f.opt.SessionExpiry
	}
	f.mu.Lock()
	if f.stopping {
		f.mu.Unlock()
		return &mqtt.Error{Code: mqtt.ServerShuttingDown, Text: "relay stops"}
	}
	old := f.sessions[in.ClientID]
	if old != nil && old.user != in.User {
		f.mu.Unlock()
		return &mqtt.Error{Code: mqtt.NotAuthorized, Text: "client identifier belongs to another user"}
	}
	if old == nil && len(f.sessions) >= f.opt.Sessions {
		f.mu.Unlock()
		return &mqtt.Error{Code: mqtt.QuotaExceeded, Text: "as many sessions as are kept"}
	}
	s := old
	var previous *conn
	var will *mqtt.Will
	if s != nil {
		s.mu.Lock()
		previous, will = s.conn, s.will
		if s.conn == nil && !time.Now().Before(s.disconnectedAt.Add(s.expiry)) || in.CleanStart {
			s.removed, s.conn = true, nil
			s.scheduleExpiry()
			s.mu.Unlock()
			s = nil
		}
	}
	present := s != nil
	if s == nil {
		s = &session{id: in.ClientID, user: in.User, createdAt: time.Now().UnixNano(), front: f,
			subs: map[string]byte{}, newest: map[string]*pending{}}
		f.sessions[in.ClientID] = s
		s.mu.Lock()
	}
	s.conn, s.version, s.expiry, s.will = c, in.Version, expiry, in.Will
	s.epoch++
	s.inFlight = len(s.qos2Flows)
	for _, fl := range s.qos2Flows {
		fl.epoch = s.epoch
	}
	c.session, c.state, c.keepAlive = s, connected, keep
	c.receiveMax, c.clientMaxPacket, c.wantReason = 65535, 0, true
	if in.Props.HasReceiveMaximum() {
		c.receiveMax = int(in.Props.ReceiveMaximum)
	}
	if in.Props.HasMaximumPacket() {
		c.clientMaxPacket = int(in.Props.MaximumPacket)
	}
	if in.Props.HasRequestProblem() {
		c.wantReason = in.Props.RequestProblem == 1
	}
	s.scheduleExpiry()
	ack.AssignedID = in.Props.AssignedID
	ack.ReceiveMaximum = uint16(f.opt.ReceiveMaximum)
	ack.AliasMaximum = uint16(f.opt.TopicAliases)
	ack.MaximumPacket = uint32(f.max)
	if in.Props.RequestResponse == 1 {
		ack.ResponseInfo = answersTopic(s.id)
	}
	s.persist()
	c.enqueue(mqtt.AppendConnack(nil, c.version, present, mqtt.Success, &ack))
	s.resendUnacked()
	c.writeQueued()
	c.canDisconnect.Store(c.version == mqtt.V5)
	s.mu.Unlock()
	f.mu.Unlock()
	if previous != nil {
		go previous.end(mqtt.SessionTakenOver, "another connection has this client identifier")
	}
	// The will of a connection that was taken over is due now if it has no delay, and so is
	// any will of a session that has ended. Else its delay continues with the session.
	if will != nil && (!present || previous != nil && will.Props.WillDelay == 0) {
		go f.publishWill(s, will)
	}
	return nil
}

// answersTopic returns the topic of a client's answers, unless a PUBLISH names another by
// its Response Topic.
func answersTopic(clientID string) string { return "answers/" + clientID }

// publish handles PUBLISH.
func (c *conn) publish(first byte, body []byte) *mqtt.Error {
	p, err := mqtt.ParsePublish(c.version, first, body)
	if err != nil {
		return err
	}
	if p.Retain {
		return &mqtt.Error{Code: mqtt.RetainNotSupported, Text: "retained messages are not offered"}
	}
	if p.Props.SubscriptionID != 0 {
		return &mqtt.Error{Code: mqtt.ProtocolError, Text: "Subscription Identifier from a client"}
	}
	if p.Props.HasAlias() {
		if p.Props.Alias == 0 || int(p.Props.Alias) > c.front.opt.TopicAliases {
			return &mqtt.Error{Code: mqtt.TopicAliasInvalid, Text: "topic alias is 0 or over the maximum"}
		}
		if p.Topic == "" {
			if p.Topic = c.aliases[p.Props.Alias]; p.Topic == "" {
				return &mqtt.Error{Code: mqtt.ProtocolError, Text: "topic alias was not set"}
			}
		} else {
			if c.aliases == nil {
				c.aliases = map[uint16]string{}
			}
			c.aliases[p.Props.Alias] = p.Topic
		}
	} else if p.Topic == "" {
		return &mqtt.Error{Code: mqtt.ProtocolError, Text: "no topic and no alias"}
	}
	if len(p.Payload) > c.front.opt.Body {
		return &mqtt.Error{Code: mqtt.PacketTooLarge, Text: "payload is over the limit"}
	}
	return c.session.publish(c, &p)
}

// subscribe handles SUBSCRIBE and UNSUBSCRIBE.
func (c *conn) subscribe(first byte, body []byte) *mqtt.Error {
	in, err := mqtt.ParseSubscribe(c.version, first, body)
	if err != nil {
		return err
	}
	if in.Props.SubscriptionID != 0 {
		return &mqtt.Error{Code: mqtt.SubIDsNotSupported, Text: "subscription identifiers are not offered"}
	}
	s := c.session
	s.mu.Lock()
	defer s.mu.Unlock()
	codes := make([]byte, 0, len(in.Filters))
	for _, f := range in.Filters {
		code := f.QoS
		_, there := s.subs[f.Topic]
		if first>>4 == mqtt.UNSUBSCRIBE {
			if code = mqtt.NoSubscription; there {
				code = mqtt.Success
			}
			delete(s.subs, f.Topic)
			codes = append(codes, code)
			continue
		}
		switch {
		case strings.HasPrefix(f.Topic, "$share/"):
			code = mqtt.SharedNotSupported
		case strings.ContainsAny(f.Topic, "+#"):
			code = mqtt.WildcardNotSupported
		case strings.HasPrefix(f.Topic, "send/") || strings.HasPrefix(f.Topic, "$"):
			code = mqtt.NotAuthorized
		case !there && len(s.subs) >= maxSubscriptions:
			code = mqtt.QuotaExceeded
		default:
			s.subs[f.Topic] = f.QoS
		}
		if code >= 0x80 && c.version == mqtt.V311 {
			code = 0x80
		}
		codes = append(codes, code)
	}
	kind := byte(mqtt.SUBACK)
	if first>>4 == mqtt.UNSUBSCRIBE {
		kind = mqtt.UNSUBACK
	}
	c.enqueue(mqtt.AppendSuback(nil, c.version, kind, in.ID, codes))
	s.persist()
	s.sendAnswers()
	return nil
}
