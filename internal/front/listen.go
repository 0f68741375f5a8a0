package front

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"basaltcross.example/basaltcross/internal/engine"
)

// ConnHandler is a front's handler for one connection.
type ConnHandler = engine.Handler

// ListenOptions configures the listeners of one front and how their connections are served.
type ListenOptions struct {
	Name        string
	Addrs       []string
	ReadBuffer  int
	WriteBuffer int // bytes that may wait to be written to a connection, which is closed beyond that
	// NewHandler makes the front's handler for a connection; nil closes the connection at once. waited
	// bounds the time for which the connection waited in the listener's queue because accepting
	// failed.
	NewHandler func(conn *engine.Conn, waited time.Duration) ConnHandler
	// OnError is called when accepting a connection fails, in most cases for lack of descriptors.
	OnError func(err error)
}

// Listeners are the open listening sockets of one front.
type Listeners struct {
	Addrs     []string
	sockets   ListenOptions
	engine    *engine.Engine
	listeners []*net.TCPListener
	acceptors sync.WaitGroup
	closing   atomic.Bool
}

// LingerTime is how long a client may take to read what was written to it before its connection is
// closed.
const LingerTime = time.Second

const (
	// acceptRetryPause keeps failing accepts from spinning.
	acceptRetryPause = 20 * time.Millisecond
	// queueDrainTime bounds how long a closing listener goes on accepting the connections in its
	// queue if accepting fails or further clients keep coming.
	queueDrainTime = time.Second
)

// Listen opens the sockets and starts to serve them.
func Listen(s ListenOptions) (*Listeners, error) {
	l := &Listeners{sockets: s}
	for _, addr := range s.Addrs {
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			l.StopAccepting()
			return nil, fmt.Errorf("%s: %w", s.Name, err)
		}
		l.Addrs, l.listeners = append(l.Addrs, listener.Addr().String()),
			append(l.listeners, listener.(*net.TCPListener))
	}
	var err error
	l.engine, err = engine.Start(engine.Options{Name: s.Name, ReadBuffer: s.ReadBuffer, WriteBuffer: s.WriteBuffer})
	if err != nil {
		l.StopAccepting()
		return nil, err
	}
	for _, listener := range l.listeners {
		l.acceptors.Go(func() { l.accept(listener) })
	}
	return l, nil
}

// accept serves one listener until it is closing and its queue is empty. The kernel resets the
// connections that are still in the queue when a listener is closed.
func (l *Listeners) accept(listener *net.TCPListener) {
	defer listener.Close()
	var delay queueDelay
	var drainUntil time.Time // limit for emptying the queue, set once the listener is closing
	for {
		asked := time.Now()
		if l.closing.Load() {
			if drainUntil.IsZero() {
				drainUntil = asked.Add(queueDrainTime)
			}
			if !pending(listener) || asked.After(drainUntil) {
				return
			}
			_ = listener.SetDeadline(drainUntil) // connections in the queue are accepted at once
		}
		raw, err := listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, os.ErrDeadlineExceeded): // the listener is closing
		case err != nil:
			delay.delayed(asked)
			l.sockets.OnError(err)
			time.Sleep(acceptRetryPause)
		default:
			delay.accepted(asked, time.Now())
			asked = time.Now()
			l.serve(raw, delay.longest(asked))
			if time.Since(asked) > promptAccept {
				delay.delayed(asked)
			}
		}
	}
}

// pending reports whether a connection waits in a listener's queue.
func pending(listener *net.TCPListener) (waits bool) {
	raw, err := listener.SyscallConn()
	if err != nil {
		return false
	}
	_ = raw.Control(func(fd uintptr) {
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(poll, 0)
		for err == unix.EINTR {
			n, err = unix.Poll(poll, 0)
		}
		waits = n > 0 && poll[0].Revents&unix.POLLIN != 0
	})
	return waits
}

// promptAccept is the longest time that accepting and serving one connection takes without delaying
// the queue.
const promptAccept = 5 * time.Millisecond

// queueDelay bounds how long connections may have waited in a listener's queue: from the moment at
// which accepting failed or was delayed until the next connection that was not there yet when it
// was accepted.
type queueDelay struct{ since time.Time }

// delayed records that no connection was accepted from the given time on.
func (q *queueDelay) delayed(from time.Time) {
	if q.since.IsZero() {
		q.since = from
	}
}

// accepted records that a connection was asked for and when it arrived.
func (q *queueDelay) accepted(asked, came time.Time) {
	if came.Sub(asked) > promptAccept {
		q.since = time.Time{}
	}
}

// longest returns the longest time for which a connection accepted now may have waited.
func (q *queueDelay) longest(now time.Time) time.Duration {
	if q.since.IsZero() {
		return 0
	}
	return now.Sub(q.since)
}

// serve passes one connection to the engine and to the front.
func (l *Listeners) serve(raw net.Conn, waited time.Duration) {
	refused := false
	conn, err := l.engine.Adopt(raw, func(conn *engine.Conn) engine.Handler {
		c := l.sockets.NewHandler(conn, waited)
		if refused = c == nil; refused {
			return rejected{}
		}
		return c
	})
	switch {
	case err != nil:
		l.sockets.OnError(err)
	case refused:
		_ = conn.Close()
	}
}

// rejected handles a connection that the front did not accept.
type rejected struct{}

func (rejected) Data([]byte) {}
func (rejected) Closed()     {}

// StopAccepting closes the listeners, after accepting what is in their queues. Open connections are
// kept.
func (l *Listeners) StopAccepting() {
	l.closing.Store(true)
	for _, listener := range l.listeners {
		_ = listener.SetDeadline(time.Now()) // ends the wait for the next connection
	}
	l.acceptors.Wait()
	for _, listener := range l.listeners {
		_ = listener.Close() // for a listener that nobody accepted from yet
	}
}

// Close closes the listeners and all connections.
func (l *Listeners) Close() {
	l.StopAccepting()
	l.engine.Stop()
}
