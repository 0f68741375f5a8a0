// Package engine reads from and writes to sockets with the runtime's network poller. Reading has a
// goroutine for each connection, which holds no buffer while it waits for data; writing never
// blocks.
//
// A descriptor is closed only when no operation uses it any more, and the runtime doesn't confuse
// events of a closed connection with those of a later connection that got the same descriptor
// number. Bytes that the kernel did not take are buffered here, so that the end of a connection
// follows all that was written to it.
package engine

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

// Handler receives the events of one connection.
type Handler interface {
	Data(b []byte) // called on the connection's goroutine; b must not be kept
	Closed()       // called once, after the last Data, on the same goroutine
}

// HalfCloser is a Handler that may still have something to write after its peer has ended its
// sending side.
type HalfCloser interface {
	// HalfClosed is called when the peer has ended its sending side. If it returns true, the
	// connection stays open for writing until the handler ends it. Nothing more is read, so that
	// only a failing write shows that the peer has left.
	HalfClosed() bool
}

// Options configure an Engine.
type Options struct {
	Name        string
	ReadBuffer  int // bytes read at once
	WriteBuffer int // bytes that may wait to be written to a connection, closed beyond that; 0 for no bound
	// OnSent is called with the number of bytes that the kernel has taken, in the order of writing.
	// It must not call back into the connection. It may be nil.
	OnSent func(h Handler, n int)
}

// Engine serves connections.
type Engine struct {
	opt     Options
	buffers sync.Pool
	serving sync.WaitGroup

	mu      sync.Mutex
	conns   map[*Conn]struct{}
	stopped bool
}

// minReadBuffer is the smallest read buffer, in bytes.
const minReadBuffer = 4 << 10

// Start returns an Engine that is ready to adopt connections; it opens nothing. The error names an
// option that is out of its range.
func Start(opt Options) (*Engine, error) {
	if opt.ReadBuffer < 0 || opt.WriteBuffer < 0 {
		return nil, fmt.Errorf("%s: ReadBuffer is %d and WriteBuffer %d, must be at least 0",
			opt.Name, opt.ReadBuffer, opt.WriteBuffer)
	}
	e := &Engine{opt: opt, conns: map[*Conn]struct{}{}}
	size := max(opt.ReadBuffer, minReadBuffer)
	e.buffers.New = func() any { b := make([]byte, size); return &b }
	return e, nil
}

// errStopped is returned for a connection that comes after Stop.
var errStopped = errors.New("engine: stopped")

// Adopt starts to serve a connected socket. bind makes its handler before any data can arrive. On
// an error the socket is closed, and the handler's Closed is called.
func (e *Engine) Adopt(raw net.Conn, bind func(*Conn) Handler) (*Conn, error) {
	c := &Conn{engine: e, raw: raw, open: true, peekFrom: peek, tcpInfo: tcpInfo, closedSignal: make(chan struct{}),
		local: raw.LocalAddr(), remote: raw.RemoteAddr()}
	err := c.initSocket()
	c.handler = bind(c)
	if err == nil {
		err = e.serve(c)
	}
	if err != nil {
		_ = c.Close()
		c.handler.Closed()
		return nil, fmt.Errorf("%s: %w", e.opt.Name, err)
	}
	return c, nil
}

// serve starts the goroutine of a connection.
func (e *Engine) serve(c *Conn) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopped {
		return errStopped
	}
	e.conns[c] = struct{}{}
	e.serving.Go(func() {
		c.serve()
		e.mu.Lock()
		delete(e.conns, c)
		e.mu.Unlock()
	})
	return nil
}

// stopTimeout bounds the wait for handlers in Stop; their connections are all closed by then.
const stopTimeout = 2 * time.Second

// Stop closes all connections and waits for their goroutines, but not for a handler that blocks for
// longer than stopTimeout.
func (e *Engine) Stop() {
	e.mu.Lock()
	e.stopped = true
	var all []*Conn
	for c := range e.conns {
		all = append(all, c)
	}
	e.mu.Unlock()
	for _, c := range all {
		_ = c.Close()
	}
	ended := make(chan struct{})
	go func() {
		e.serving.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(stopTimeout):
	}
}
