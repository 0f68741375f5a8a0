// Package client is a sender's side: it hands messages to a relay over MQTT 5.0
// with eclipse paho and collects the final answers. The demo, the bad day and
// the tests send with it.
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

// Message is one hand-in.
type Message struct {
	ID      string // Correlation Data
	Class   string
	Partner string
	Key     string
	Body    []byte
	QoS     byte
	Expiry  uint32 // seconds; 0 for the class's own
}

// Answer is a final answer as it arrived.
type Answer struct {
	ID     string
	Answer string // delivered, refused or failed
	After  time.Duration
	At     time.Time
}

// Options of a Client.
type Options struct {
	ID       string
	User     string
	Password string
	Expiry   uint32 // of the session, seconds
	Clean    bool
	TLS      *tls.Config // nil for none
	// On is called for each answer, on the client's own goroutine.
	On func(Answer)
	// Acknowledged is told the ID of each answer whose acknowledgement was written; nil for none.
	Acknowledged func(id string)
	// AcknowledgeEvery is the time between batches of acknowledgements; 0 sends each at once.
	AcknowledgeEvery time.Duration
	// Session carries unacknowledged flows from one connection to the next;
	// nil starts without any.
	Session *state.State
}

// Client is one connection.
type Client struct {
	paho    *paho.Client
	conn    net.Conn
	Present bool // the relay had kept the session
	once    sync.Once
	lost    chan struct{}
}

// acknowledging is a session that tells of the answers it has acknowledged.
type acknowledging struct {
	*state.State
	tell func(id string)
	own  bool // it ends with its connection
}

func newAcknowledging(o Options) acknowledging {
	if o.Session != nil {
		return acknowledging{State: o.Session, tell: o.Acknowledged}
	}
	return acknowledging{State: state.NewInMemory(), tell: o.Acknowledged, own: true}
}

// Ack writes the acknowledgement of an answer.
func (a acknowledging) Ack(p *packets.Publish) error {
	if err := a.State.Ack(p); err != nil {
		return err
	}
	if p.Properties != nil {
		a.tell(string(p.Properties.CorrelationData))
	}
	return nil
}

// ConnectionLost ends what waits for the connection, for good if the session is its own.
func (a acknowledging) ConnectionLost(p *packets.Disconnect) error {
	err := a.State.ConnectionLost(p)
	if a.own {
		err = errors.Join(err, a.Close())
	}
	return err
}

// Topic is where answers to a client id arrive.
func Topic(id string) string { return "answers/" + id }

// Dial connects and subscribes to the answers.
func Dial(ctx context.Context, addr string, o Options) (*Client, error) {
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("client: %w", err)
	}
	if o.TLS != nil {
		secured := tls.Client(conn, o.TLS)
		if err := secured.HandshakeContext(ctx); err != nil {
			_ = conn.Close()
			return nil, fmt.Errorf("client: %w", err)
		}
		conn = packets.NewThreadSafeConn(secured) // paho writes a packet in pieces
	}
	c := &Client{conn: conn, lost: make(chan struct{})}
	cfg := paho.ClientConfig{ClientID: o.ID, Conn: conn, PacketTimeout: 30 * time.Second,
		OnPublishReceived: []func(paho.PublishReceived) (bool, error){func(p paho.PublishReceived) (bool, error) {
			var n mqttfront.AnswerPayload
			if err := json.Unmarshal(p.Packet.Payload, &n); err != nil {
				return false, err
			}
			a := Answer{Answer: n.Answer, After: time.Duration(n.RetryAfterMS) * time.Millisecond, At: time.Now()}
			if p.Packet.Properties != nil {
				a.ID = string(p.Packet.Properties.CorrelationData)
			}
			if o.On != nil {
				o.On(a)
			}
			if o.AcknowledgeEvery > 0 {
				return true, p.Client.Ack(p.Packet)
			}
			return true, nil
		}},
		OnClientError:      func(error) { c.gone() },
		OnServerDisconnect: func(*paho.Disconnect) { c.gone() },
	}
	if o.Session != nil {
		cfg.Session = o.Session
	}
	if o.Acknowledged != nil {
		cfg.Session = newAcknowledging(o)
	}
	if o.AcknowledgeEvery > 0 {
		cfg.EnableManualAcknowledgment, cfg.SendAcksInterval = true, o.AcknowledgeEvery
	}
	c.paho = paho.NewClient(cfg)
	cp := &paho.Connect{ClientID: o.ID, KeepAlive: 30, CleanStart: o.Clean}
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
	c.Present = ack.SessionPresent
	if _, err := c.paho.Subscribe(ctx, &paho.Subscribe{
		Subscriptions: []paho.SubscribeOptions{{Topic: Topic(o.ID), QoS: 1}}}); err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("client: subscribe: %w", err)
	}
	return c, nil
}

func (c *Client) gone() { c.once.Do(func() { close(c.lost) }) }

// Lost is closed once the connection is.
func (c *Client) Lost() <-chan struct{} { return c.lost }

// Send hands a message in and waits until it is taken. An error means that it
// was not, or that nobody knows.
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

// Close says goodbye.
func (c *Client) Close() {
	_ = c.paho.Disconnect(&paho.Disconnect{})
	_ = c.conn.Close()
	c.gone()
}

// Cut closes the connection without a word.
func (c *Client) Cut() {
	_ = c.conn.Close()
	c.gone()
}

// Done is closed when nothing of the client runs any more. A session that a next client
// shares is free only then.
func (c *Client) Done() <-chan struct{} { return c.paho.Done() }
