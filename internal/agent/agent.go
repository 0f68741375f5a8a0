// Package agent is the client of the platform's agent, which runs on the relay's machine. It watches
// the list of hosts and delivers notices. The agent's address may change while the relay runs.
package agent

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"basaltcross.example/basaltcross/internal/engine"
	"basaltcross.example/basaltcross/internal/http1"
	"basaltcross.example/basaltcross/internal/lifecycle"
)

// Client opens connections to the agent.
type Client struct {
	engine *engine.Engine

	mu          sync.Mutex
	addr        string
	addrChanged chan struct{} // closed and replaced when the address changes
}

// New returns a client of the agent at addr, host:port.
func New(addr string) (*Client, error) {
	c := &Client{addr: addr, addrChanged: make(chan struct{})}
	var err error
	if c.engine, err = engine.Start(engine.Options{Name: "agent", ReadBuffer: 16 << 10}); err != nil {
		return nil, err
	}
	return c, nil
}

// Close closes all connections.
func (c *Client) Close() { c.engine.Stop() }

// SetAddress changes the agent's address. Requests in progress to the old address fail and are sent again
// to the new one.
func (c *Client) SetAddress(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if addr != c.addr {
		c.addr = addr
		close(c.addrChanged)
		c.addrChanged = make(chan struct{})
	}
}

// address returns the current address and a channel that is closed when it changes.
func (c *Client) address() (addr string, addrChanged <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addr, c.addrChanged
}

var (
	errTimeout     = errors.New("agent: time-out: nothing was received")
	errConnClosed  = errors.New("agent: connection closed")
	errAddrChanged = errors.New("agent: address changed")
	// errUnsolicited reports bytes that cannot be the response to the request.
	errUnsolicited = errors.New("agent: unsolicited response")
)

// agentConn is a connection for a single request. It buffers what it receives, up to a bound.
type agentConn struct {
	socket *engine.Conn
	state  lifecycle.PeerConn // used only by the goroutine that sends the request
	wake   chan struct{}
	mu     sync.Mutex
	buf    []byte
	ended  bool
}

// maxUnreadBytes bounds the bytes buffered for the reader; a connection that exceeds it is closed.
const maxUnreadBytes = 4 << 20

// dial opens a connection. It fails when the time within has passed, when addrChanged is closed, or
// when ctx ends.
func (c *Client) dial(ctx context.Context, addr string, within time.Duration, addrChanged <-chan struct{}) (*agentConn, error) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	up := make(chan struct{})
	defer close(up)
	go func() {
		select {
		case <-addrChanged:
			cancel()
		case <-up:
		}
	}()
	raw, err := new(net.Dialer).DialContext(ctx, "tcp", addr)
	if err != nil {
		select {
		case <-addrChanged:
			return nil, errAddrChanged
		default:
		}
		return nil, fmt.Errorf("agent: %w", err)
	}
	l := &agentConn{wake: make(chan struct{}, 1)}
	_, err = c.engine.Adopt(raw, func(nb *engine.Conn) engine.Handler {
		l.socket = nb
		return l
	})
	if err != nil {
		return nil, err
	}
	return l, nil
}

// Data buffers bytes received from the socket.
func (l *agentConn) Data(b []byte) {
	l.mu.Lock()
	l.buf = append(l.buf, b...)
	over := len(l.buf) > maxUnreadBytes
	l.mu.Unlock()
	l.signal()
	if over {
		_ = l.socket.Close()
	}
}

// Closed records the end of the connection.
func (l *agentConn) Closed() {
	l.mu.Lock()
	l.ended = true
	l.mu.Unlock()
	l.signal()
}

func (l *agentConn) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *agentConn) close() {
	l.state.Closed()
	_ = l.socket.Close()
}

// send writes a request, the first and only one on the connection.
func (l *agentConn) send(request []byte) error {
	if l.state.MayCarry(0, lifecycle.PeerRule{SingleUse: true}) != lifecycle.CarryNow {
		return errUnsolicited
	}
	l.state.Begin(0)
	if _, err := l.socket.Write(request); err != nil {
		return fmt.Errorf("agent: %w", err)
	}
	return nil
}

// attribute decides whether a response, or a part of one, belongs to the request: the first response
// on the connection does once the request has been written. followed says that more bytes came after it.
func (l *agentConn) attribute(followed bool) lifecycle.Attribution {
	if l.socket.Unsent() > 0 {
		return lifecycle.Unmatched
	}
	return l.state.Attribute(lifecycle.PeerAnswer{Written: true, TrailingBytes: followed})
}

// read waits for received bytes. It fails when the time within has passed, when addrChanged is
// closed, or when ctx ends.
func (l *agentConn) read(ctx context.Context, within time.Duration, addrChanged <-chan struct{}) ([]byte, error) {
	timer := time.NewTimer(within)
	defer timer.Stop()
	for {
		l.mu.Lock()
		b, ended := l.buf, l.ended
		l.buf = nil
		l.mu.Unlock()
		if len(b) > 0 {
			return b, nil
		}
		if ended {
			return nil, errConnClosed
		}
		select {
		case <-l.wake:
		case <-timer.C:
			return nil, errTimeout
		case <-addrChanged:
			return nil, errAddrChanged
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// response parses a response and passes its content to a function, if one is set.
type response struct {
	http1.Parser
	status  int
	content func([]byte) error
}

func (a *response) Start(line string) error {
	var version string
	if _, err := fmt.Sscanf(line, "%s %d", &version, &a.status); err != nil || version != "HTTP/1.1" {
		return http1.Malformed("status line %.40q", line)
	}
	return nil
}

func (a *response) Field(string, string) error { return nil }

func (a *response) Head() (http1.Framing, error) {
	switch {
	case a.status < 200:
		return http1.Interim, nil
	case a.status == 204 || a.status == 304:
		return http1.NoContent, nil
	}
	return http1.UntilClose, nil
}

func (a *response) Content(b []byte) error {
	if a.content != nil {
		return a.content(b)
	}
	return nil
}

// backOff returns the delay before the next attempt after fails failed ones.
func backOff(fails int) time.Duration {
	return min(20*time.Millisecond<<min(fails, 6), time.Second)
}
