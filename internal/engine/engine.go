// Package engine serves sockets with the pollers of nbio, and writes to them by itself.
//
// The library keeps what a write left over in a buffer that nobody can ask for, and
// drops it when the connection is shut or closed; it also takes a change of the poller's
// interest as done when epoll_ctl(2) has failed. A Conn therefore keeps what is still to be
// written, and only reading, accepting and closing are the library's.
package engine

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
)

// Handler takes in what happens on one connection.
type Handler interface {
	Data(b []byte) // on the connection's poller; b is not to be kept
	Closed()       // once, after the last Data
}

// Options of an Engine.
type Options struct {
	Name        string
	Pollers     int // 0 for one
	ReadBuffer  int // bytes read at once
	WriteBuffer int // bytes that may wait to be written to one connection; over it, it is closed. 0 for no bound
	// Sent is told of bytes that the kernel has taken, in the order of writing; it must not
	// call back into the connection. May be nil.
	Sent func(h Handler, n int)
}

// Engine runs pollers.
type Engine struct {
	opt     Options
	nbio    *nbio.Engine
	buffers sync.Pool
	// life is held for reading while a connection uses its descriptor: once the engine has
	// stopped, another one may have its number.
	life    sync.RWMutex
	stopped bool
	// fence orders the making of a Conn before its use on a poller: the library
	// hands it over through the kernel, which the race detector cannot see.
	fence atomic.Uint64
}

// Start begins to serve; it opens nothing.
func Start(opt Options) (*Engine, error) {
	e := &Engine{opt: opt}
	size := max(opt.ReadBuffer, 4<<10)
	e.buffers.New = func() any { b := make([]byte, size); return &b }
	e.nbio = nbio.NewEngine(nbio.Config{Name: opt.Name, NPoller: max(1, opt.Pollers), ReadBufferSize: size})
	e.nbio.OnRead(func(nb *nbio.Conn) {
		e.fence.Load()
		if c, ok := nb.Session().(*Conn); ok {
			c.readable(nb)
		}
	})
	e.nbio.OnClose(func(nb *nbio.Conn, _ error) {
		e.fence.Load()
		if c, ok := nb.Session().(*Conn); ok {
			c.gone(nb)
		}
	})
	if err := e.nbio.Start(); err != nil {
		return nil, fmt.Errorf("%s: %w", opt.Name, err)
	}
	return e, nil
}

const (
	// adoptTries and adoptPause bound how long a poller that refuses a connection for want
	// of kernel memory is asked again.
	adoptTries = 50
	adoptPause = 10 * time.Millisecond
)

// Adopt hands a connected socket to a poller. bind makes its handler, before any data can
// come. Where the poller refuses it for a moment, a duplicate is tried again. On an error
// the socket is closed, and the handler is told so.
func (e *Engine) Adopt(raw net.Conn, bind func(*Conn) Handler) (*Conn, error) {
	c := &Conn{engine: e, open: true, local: raw.LocalAddr(), remote: raw.RemoteAddr()}
	c.handler = bind(c)
	e.fence.Add(1)
	began := time.Now()
	for try := 1; ; try++ {
		spare, kept := duplicate(raw)
		err := c.adopt(raw)
		if err == nil {
			if kept {
				_ = syscall.Close(spare)
			}
			return c, nil
		}
		if kept && try < adoptTries {
			time.Sleep(adoptPause)
			raw, err = revive(spare)
			c.mu.Lock()
			c.held = time.Since(began)
			c.mu.Unlock()
		} else if kept {
			_ = syscall.Close(spare)
		}
		if err != nil {
			c.handler.Closed()
			return nil, fmt.Errorf("%s: %w", e.opt.Name, err)
		}
	}
}

// duplicate of a socket's descriptor; false where none can be made.
func duplicate(raw net.Conn) (fd int, ok bool) {
	s, is := raw.(syscall.Conn)
	if !is {
		return 0, false
	}
	control, err := s.SyscallConn()
	if err != nil {
		return 0, false
	}
	err = errors.Join(control.Control(func(own uintptr) {
		fd, err = syscall.Dup(int(own))
	}), err)
	return fd, err == nil
}

// revive makes a connection of a duplicate, which is closed.
func revive(fd int) (net.Conn, error) {
	file := os.NewFile(uintptr(fd), "socket")
	defer file.Close()
	return net.FileConn(file)
}

// errStopped says that the engine has ended.
var errStopped = errors.New("engine: stopped")

// stopTime is long for an engine whose connections are all being closed.
const stopTime = 2 * time.Second

// Stop ends the engine and its connections. It does not wait for ever: a poller that was
// started a moment ago and has not run yet forgets that it was to end, and stays with its
// empty table (nbio 1.6.8, poller.readWriteLoop). That is so where what follows a start
// fails at once, and the process ends then.
func (e *Engine) Stop() {
	e.life.Lock()
	e.stopped = true
	e.life.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), stopTime)
	defer cancel()
	_ = e.nbio.Shutdown(ctx) // the time-out is the one error
}
