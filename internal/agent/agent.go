// Package agent speaks with the platform's agent on the relay's own machine: it
// follows the list of hosts and hands over notices. The agent's address may change
// while the relay runs.
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

	mu    sync.Mutex
	addr  string
	moved chan struct{} // closed when the address changes
}

// New serves connections to an agent at host:port.
func New(addr string) (*Client, error) {
	c := &Client{addr: addr, moved: make(chan struct{})}
	var err error
	if c.engine, err = engine.Start(engine.Options{Name: "agent", ReadBuffer: 16 << 10}); err != nil {
		return nil, err
	}
	return c, nil
}

// Close ends all connections.
func (c *Client) Close() { c.engine.Stop() }

// Move has everything go to another address from now on.
func (c *Client) Move(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if addr != c.addr {
		c.addr = addr
		close(c.moved)
		c.moved = make(chan struct{})
	}
}

// at is the address in force, and what is closed once it is no more.
func (c *Client) at() (addr string, moved <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addr, c.moved
}

var (
	errSilent = errors.New("agent: silent for too long")
	errEnded  = errors.New("agent: the connection ended")
	errMoved  = errors.New("agent: its address has changed")
	// errNobodys: what came cannot be the answer to what was asked.
	errNobodys = errors.New("agent: an answer to nothing that was asked")
)

// link is one connection, for one request. What it reads waits, bounded, until it is asked for.
type link struct {
	nb    *engine.Conn
	life  lifecycle.PeerConn // of the goroutine that asks
	wake  chan struct{}
	mu    sync.Mutex
	buf   []byte
	ended bool
}

// mostUnread bytes wait for the reader; an agent that sends more without being
// heard is cut off.
const mostUnread = 4 << 20

// dial opens a connection: at most so long, until the agent moves, or ctx ends.
func (c *Client) dial(ctx context.Context, addr string, within time.Duration, moved <-chan struct{}) (*link, error) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	up := make(chan struct{})
	defer close(up)
	go func() {
		select {
		case <-moved:
			cancel()
		case <-up:
		}
	}()
	raw, err := new(net.Dialer).DialContext(ctx, "tcp", addr)
	if err != nil {
		select {
		case <-moved:
			return nil, errMoved
		default:
		}
		return nil, fmt.Errorf("agent: %w", err)
	}
	l := &link{wake: make(chan struct{}, 1)}
	_, err = c.engine.Adopt(raw, func(nb *engine.Conn) engine.Handler {
		l.nb = nb
		return l
	})
	if err != nil {
		return nil, err
	}
	return l, nil
}

// Data takes in what the socket gave.
func (l *link) Data(b []byte) {
	l.mu.Lock()
	l.buf = append(l.buf, b...)
	over := len(l.buf) > mostUnread
	l.mu.Unlock()
	l.nudge()
	if over {
		_ = l.nb.Close()
	}
}

// Closed takes in the end of the connection.
func (l *link) Closed() {
	l.mu.Lock()
	l.ended = true
	l.mu.Unlock()
	l.nudge()
}

func (l *link) nudge() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *link) close() {
	l.life.Closed()
	_ = l.nb.Close()
}

// ask sends a request, the first and only one on the connection.
func (l *link) ask(request []byte) error {
	if l.life.MayCarry(0, lifecycle.PeerRule{SingleUse: true}) != lifecycle.CarryNow {
		return errNobodys
	}
	l.life.Begin(0)
	if _, err := l.nb.Write(request); err != nil {
		return fmt.Errorf("agent: %w", err)
	}
	return nil
}

// believe decides how far an answer, or a part of one, is believed of the request: as the first on
// its connection it is the request's own once that was written.
func (l *link) believe(followed bool) lifecycle.Attribution {
	if l.nb.Unsent() > 0 {
		return lifecycle.Unmatched
	}
	return l.life.Attribute(lifecycle.PeerAnswer{Written: true, TrailingBytes: followed})
}

// read waits for bytes: at most so long, until the agent moves, or ctx ends.
func (l *link) read(ctx context.Context, within time.Duration, moved <-chan struct{}) ([]byte, error) {
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
			return nil, errEnded
		}
		select {
		case <-l.wake:
		case <-timer.C:
			return nil, errSilent
		case <-moved:
			return nil, errMoved
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// answer is a response while it is parsed; its content goes to a function.
type answer struct {
	http1.Parser
	status  int
	content func([]byte) error
}

func (a *answer) Start(line string) error {
	var version string
	if _, err := fmt.Sscanf(line, "%s %d", &version, &a.status); err != nil || version != "HTTP/1.1" {
		return http1.Malformed("status line %.40q", line)
	}
	return nil
}

func (a *answer) Field(string, string) error { return nil }

func (a *answer) Head() (http1.Framing, error) {
	switch {
	case a.status < 200:
		return http1.Interim, nil
	case a.status == 204 || a.status == 304:
		return http1.NoContent, nil
	}
	return http1.UntilClose, nil
}

func (a *answer) Content(b []byte) error {
	if a.content != nil {
		return a.content(b)
	}
	return nil
}

// backOff before the next try after so many that failed.
func backOff(fails int) time.Duration {
	return min(20*time.Millisecond<<min(fails, 6), time.Second)
}
