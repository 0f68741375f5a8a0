// Package client implements the clients that submit messages to a relay, over MQTT
// 5.0 with Eclipse Paho or over Web Push, and that receive the notices of how the
// messages ended. The demo, the fault-injection run and the tests use it.
//
// The package does not retry a failed hand-in and does not reconnect; callers do both.
package client

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/eclipse/paho.golang/packets"
	"github.com/eclipse/paho.golang/paho"
	"github.com/eclipse/paho.golang/paho/session/state"

	"basaltcross.example/basaltcross/internal/mqttfront"
)

// Message is a message to hand in.
type Message struct {
	ID      string // unique identifier: MQTT Correlation Data or Idempotency-Key header
	Class   string
	Partner string
	Key     string
	Body    []byte
	QoS     byte
	Expiry  uint32 // lifetime in seconds; 0 for the deadline of the class (over MQTT) or one day (over Web Push)
}

// Answer is a notice as received: the final outcome of one message.
type Answer struct {
	ID         string
	Outcome    string // delivered, refused or failed
	RetryAfter time.Duration
	At         time.Time
}

// Options configures a Client.
type Options struct {
	ID         string
	User       string
	Password   string
	Expiry     uint32      // session expiry interval in seconds
	CleanStart bool        // discards the session that the relay has stored (Clean Start)
	TLS        *tls.Config // nil for plain TCP
	// OnAnswer is called for each notice, on the client's receive goroutine.
	OnAnswer func(Answer)
	// OnAcknowledged is called with the message ID of each notice whose PUBACK was written; may be nil.
	OnAcknowledged func(id string)
	// AckInterval is the interval between batches of acknowledgements; 0 sends each immediately.
	AckInterval time.Duration
	// Session holds the unacknowledged QoS 1 and 2 exchanges from one connection to the next;
	// nil starts with an empty session.
	Session *state.State
}

// Client is one MQTT connection to a relay.
type Client struct {
	paho           *paho.Client
	conn           net.Conn
	SessionPresent bool // Session Present flag of the CONNACK
	lostOnce       sync.Once
	lost           chan struct{}
}

// ackSession is a session state that reports the notices it has acknowledged.
type ackSession struct {
	*state.State
	acknowledged func(id string)
	ephemeral    bool // closed with its connection
}

func newAckSession(o Options) ackSession {
	if o.Session != nil {
		return ackSession{State: o.Session, acknowledged: o.OnAcknowledged}
	}
	return ackSession{State: state.NewInMemory(), acknowledged: o.OnAcknowledged, ephemeral: true}
}

// Ack writes the acknowledgement of a notice and reports it.
func (a ackSession) Ack(p *packets.Publish) error {
	if err := a.State.Ack(p); err != nil {
		return err
	}
	if p.Properties != nil {
		a.acknowledged(string(p.Properties.CorrelationData))
	}
	return nil
}

// ConnectionLost ends the calls that wait for the connection. An ephemeral session is also closed.
func (a ackSession) ConnectionLost(p *packets.Disconnect) error {
	err := a.State.ConnectionLost(p)
	if a.ephemeral {
		err = errors.Join(err, a.Close())
	}
	return err
}

// Topic returns the topic on which a client receives its notices.
func Topic(id string) string { return "answers/" + id }

// Dial connects to a relay and subscribes to the client's notices.
func Dial(ctx context.Context, addr string, o Options) (*Client, error) {
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("client: %w", err)
	}
	if o.TLS != nil {
		tlsConn := tls.Client(conn, o.TLS)
		if err := tlsConn.HandshakeContext(ctx); err != nil {
			_ = conn.Close()
			return nil, fmt.Errorf("client: %w", err)
		}
		conn = packets.NewThreadSafeConn(tlsConn) // Paho writes a packet in several writes, which must not interleave
	}
	c := &Client{conn: conn, lost: make(chan struct{})}
	cfg := paho.ClientConfig{ClientID: o.ID, Conn: conn, PacketTimeout: 30 * time.Second,
		OnPublishReceived: []func(paho.PublishReceived) (bool, error){func(p paho.PublishReceived) (bool, error) {
			var n mqttfront.AnswerPayload
			if err := json.Unmarshal(p.Packet.Payload, &n); err != nil {
				return false, err
			}
			a := Answer{Outcome: n.Answer, RetryAfter: time.Duration(n.RetryAfterMS) * time.Millisecond, At: time.Now()}
			if p.Packet.Properties != nil {
				a.ID = string(p.Packet.Properties.CorrelationData)
			}
			if o.OnAnswer != nil {
				o.OnAnswer(a)
			}
			if o.AckInterval > 0 {
				return true, p.Client.Ack(p.Packet)
			}
			return true, nil
		}},
		OnClientError:      func(error) { c.markLost() },
		OnServerDisconnect: func(*paho.Disconnect) { c.markLost() },
	}
	if o.Session != nil {
		cfg.Session = o.Session
	}
	if o.OnAcknowledged != nil {
		cfg.Session = newAckSession(o)
	}
	if o.AckInterval > 0 {
		cfg.EnableManualAcknowledgment, cfg.SendAcksInterval = true, o.AckInterval
	}
	c.paho = paho.NewClient(cfg)
	cp := &paho.Connect{ClientID: o.ID, KeepAlive: 30, CleanStart: o.CleanStart}
	if o.Expiry > 0 {
		cp.Properties = &paho.ConnectProperties{SessionExpiryInterval: &o.Expiry}
	}
	if o.User != "" {
		cp.Username, cp.UsernameFlag, cp.Password, cp.PasswordFlag = o.User, true, []byte(o.Password), true
	}
	ack, err := c.paho.Connect(ctx, cp)
	if err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("client: connect: %w", err)
	}
	c.SessionPresent = ack.SessionPresent
	if _, err := c.paho.Subscribe(ctx, &paho.Subscribe{
		Subscriptions: []paho.SubscribeOptions{{Topic: Topic(o.ID), QoS: 1}}}); err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("client: subscribe: %w", err)
	}
	return c, nil
}

func (c *Client) markLost() { c.lostOnce.Do(func() { close(c.lost) }) }

// Lost returns a channel that is closed when the connection ends.
func (c *Client) Lost() <-chan struct{} { return c.lost }

// Send hands a message in and waits until the relay has accepted it. After an error
// the message was either not accepted or its state is unknown.
func (c *Client) Send(ctx context.Context, m Message) error {
	p := &paho.Publish{Topic: "send/" + m.Class + "/" + m.Partner, QoS: max(m.QoS, 1), Payload: m.Body,
		Properties: &paho.PublishProperties{CorrelationData: []byte(m.ID)}}
	if m.Key != "" {
		p.Properties.User.Add("key", m.Key)
	}
	if m.Expiry > 0 {
		p.Properties.MessageExpiry = &m.Expiry
	}
	if _, err := c.paho.Publish(ctx, p); err != nil {
		return fmt.Errorf("client: publish: %w", err)
	}
	return nil
}

// Close sends a DISCONNECT and closes the connection.
func (c *Client) Close() {
	_ = c.paho.Disconnect(&paho.Disconnect{})
	_ = c.conn.Close()
	c.markLost()
}

// Cut closes the connection without a DISCONNECT.
func (c *Client) Cut() {
	_ = c.conn.Close()
	c.markLost()
}

// Done returns a channel that is closed when all goroutines of the client have ended.
// Only then may another client use the same Session.
func (c *Client) Done() <-chan struct{} { return c.paho.Done() }
