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

// Conn is a front's handler for one connection.
type Conn = engine.Handler

// Sockets configures the listeners of one front and how their connections are served.
type Sockets struct {
	Name        string
	Addrs       []string
	ReadBuffer  int
	WriteBuffer int // bytes that may wait to be written to a connection, which is closed beyond that
	// Open makes the front's handler for a connection; nil closes the connection at once. waited
	// bounds the time for which the connection waited in the listener's queue because accepting
	// failed.
	Open func(nb *engine.Conn, waited time.Duration) Conn
	// Failed is called when accepting a connection fails, in most cases for lack of descriptors.
	Failed func(err error)
}

// Listeners are the open listening sockets of one front.
type Listeners struct {
	Addrs     []string
	sockets   Sockets
	engine    *engine.Engine
	all       []*net.TCPListener
	accepting sync.WaitGroup
	leaving   atomic.Bool
}

// Farewell is how long a client may take to read what was written to it before its connection is
// closed.
const Farewell = time.Second

const (
	// acceptRetryPause keeps failing accepts from spinning.
	acceptPause = 20 * time.Millisecond
	// queueDrainTime bounds how long a closing listener goes on accepting the connections in its
	// queue if accepting fails or further clients keep coming.
	emptyWithin = time.Second
)

// Listen opens the sockets and starts to serve them.
func Listen(s Sockets) (*Listeners, error) {
	l := &Listeners{sockets: s}
	for _, addr := range s.Addrs {
		one, err := net.Listen("tcp", addr)
		if err != nil {
			l.Refuse()
			return nil, fmt.Errorf("%s: %w", s.Name, err)
		}
		l.Addrs, l.all = append(l.Addrs, one.Addr().String()), append(l.all, one.(*net.TCPListener))
	}
	var err error
	l.engine, err = engine.Start(engine.Options{Name: s.Name, ReadBuffer: s.ReadBuffer, WriteBuffer: s.WriteBuffer})
	if err != nil {
		l.Refuse()
		return nil, err
	}
	for _, one := range l.all {
		l.accepting.Go(func() { l.accept(one) })
	}
	return l, nil
}

// accept serves one listener until it is closing and its queue is empty. The kernel resets the
// connections that are still in the queue when a listener is closed.
func (l *Listeners) accept(from *net.TCPListener) {
	defer from.Close()
	var q queue
	var until time.Time // limit for emptying the queue, set once the listener is closing
	for {
		asked := time.Now()
		if l.leaving.Load() {
			if until.IsZero() {
				until = asked.Add(emptyWithin)
			}
			if !pending(from) || asked.After(until) {
				return
			}
			_ = from.SetDeadline(until) // connections in the queue are accepted at once
		}
		raw, err := from.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, os.ErrDeadlineExceeded): // the listener is closing
		case err != nil:
			q.held(asked)
			l.sockets.Failed(err)
			time.Sleep(acceptPause)
		default:
			q.got(asked, time.Now())
			asked = time.Now()
			l.serve(raw, q.waited(asked))
			if time.Since(asked) > prompt {
				q.held(asked)
			}
		}
	}
}

// pending reports whether a connection waits in a listener's queue.
func pending(from *net.TCPListener) (waits bool) {
	raw, err := from.SyscallConn()
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
const prompt = 5 * time.Millisecond

// queueDelay bounds how long connections may have waited in a listener's queue: from the moment at
// which accepting failed or was delayed until the next connection that was not there yet when it
// was accepted.
type queue struct{ since time.Time }

// delayed records that no connection was accepted from the given time on.
func (q *queue) held(from time.Time) {
	if q.since.IsZero() {
		q.since = from
	}
}

// accepted records that a connection was asked for and when it arrived.
func (q *queue) got(asked, came time.Time) {
	if came.Sub(asked) > prompt {
		q.since = time.Time{}
	}
}

// longest returns the longest time for which a connection accepted now may have waited.
func (q *queue) waited(now time.Time) time.Duration {
	if q.since.IsZero() {
		return 0
	}
	return now.Sub(q.since)
}

// serve passes one connection to the engine and to the front.
func (l *Listeners) serve(raw net.Conn, waited time.Duration) {
	refused := false
	nb, err := l.engine.Adopt(raw, func(nb *engine.Conn) engine.Handler {
		c := l.sockets.Open(nb, waited)
		if refused = c == nil; refused {
			return refusal{}
		}
		return c
	})
	switch {
	case err != nil:
		l.sockets.Failed(err)
	case refused:
		_ = nb.Close()
	}
}

// rejected handles a connection that the front did not accept.
type refusal struct{}

func (refusal) Data([]byte) {}
func (refusal) Closed()     {}

// Refuse closes the listeners, after accepting what is in their queues. Open connections are kept.
func (l *Listeners) Refuse() {
	l.leaving.Store(true)
	for _, one := range l.all {
		_ = one.SetDeadline(time.Now()) // ends the wait for the next connection
	}
	l.accepting.Wait()
	for _, one := range l.all {
		_ = one.Close() // for a listener that nobody accepted from yet
	}
}

// Close closes the listeners and all connections.
func (l *Listeners) Close() {
	l.Refuse()
	l.engine.Stop()
}
