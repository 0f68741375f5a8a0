// Package engine serves sockets on the runtime's poller, and writes to them without blocking.
//
// Each connection has a goroutine that waits for data without holding a buffer. A descriptor
// is closed only when no operation uses it any more, and the runtime tells the events of a
// closed connection from those of the next one that has its number. What a write left over is
// kept here, so that the end of a connection stands behind it.
package engine

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

// Handler takes in what happens on one connection.
type Handler interface {
	Data(b []byte) // on the connection's goroutine; b is not to be kept
	Closed()       // once, after the last Data, on the same goroutine
}

// HalfCloser is a Handler that may still owe its peer something when that has ended its sending.
type HalfCloser interface {
	// HalfClosed takes in that the peer has ended its sending, and tells whether the connection
	// is kept for what is still to be written. Its end is then the handler's to make: nothing more is
	// read, so that a peer that leaves is noticed by a write only.
	HalfClosed() bool
}

// Options of an Engine.
type Options struct {
	Name        string
	ReadBuffer  int // bytes read at once
	WriteBuffer int // bytes that may wait to be written to one connection; over it, it is closed. 0 for no bound
	// Sent is told of bytes that the kernel has taken, in the order of writing; it must not
	// call back into the connection. May be nil.
	Sent func(h Handler, n int)
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

// leastReadBuffer bytes are read at once at least.
const leastReadBuffer = 4 << 10

// Start begins to serve; it opens nothing. The error names an option that is out of its range.
func Start(opt Options) (*Engine, error) {
	if opt.ReadBuffer < 0 || opt.WriteBuffer < 0 {
		return nil, fmt.Errorf("%s: ReadBuffer is %d and WriteBuffer %d, must be at least 0", opt.Name, opt.ReadBuffer, opt.WriteBuffer)
	}
	e := &Engine{opt: opt, conns: map[*Conn]struct{}{}}
	size := max(opt.ReadBuffer, leastReadBuffer)
	e.buffers.New = func() any { b := make([]byte, size); return &b }
	return e, nil
}

// errStopped says that the engine has ended.
var errStopped = errors.New("engine: stopped")

// Adopt serves a connected socket. bind makes its handler, before any data can come. On an
// error the socket is closed, and the handler is told so.
func (e *Engine) Adopt(raw net.Conn, bind func(*Conn) Handler) (*Conn, error) {
	c := &Conn{engine: e, raw: raw, open: true, ended: make(chan struct{}), local: raw.LocalAddr(), remote: raw.RemoteAddr()}
	err := c.takeSocket()
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

// serve begins the goroutine of a connection.
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

// stopTime is long for connections that have all been closed.
const stopTime = 2 * time.Second

// Stop ends all connections. It does not wait for ever for a handler that is held up.
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
	case <-time.After(stopTime):
	}
}
