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

// Conn is what a front keeps of one connection.
type Conn = engine.Handler

// Sockets are the listeners of one sort, and how their connections are served.
type Sockets struct {
	Name        string
	Addrs       []string
	ReadBuffer  int
	WriteBuffer int // bytes that wait for one connection; over it, it is closed
	// Open makes the front's side of a connection, nil to close it at once. waited is how long
	// it may have stood in the listener's queue because accepting failed.
	Open func(nb *engine.Conn, waited time.Duration) Conn
	// Failed is told that an accept failed, out of descriptors mostly.
	Failed func(err error)
}

// Listeners are open sockets.
type Listeners struct {
	Addrs     []string
	sockets   Sockets
	engine    *engine.Engine
	all       []*net.TCPListener
	accepting sync.WaitGroup
	leaving   atomic.Bool
}

// Farewell is how long a client may take to read what was written to it before a close.
const Farewell = time.Second

const (
	// acceptPause keeps failing accepts from a hot loop.
	acceptPause = 20 * time.Millisecond
	// emptyWithin is how long a listener that is to close goes on accepting what stands in its
	// queue, where accepting fails or clients come without end.
	emptyWithin = time.Second
)

// Listen opens the sockets and begins to serve them.
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

// accept serves one listener until it is to close and nothing stands in its queue: the system
// resets what does when a listener closes.
func (l *Listeners) accept(from *net.TCPListener) {
	defer from.Close()
	var q queue
	var until time.Time // of the queue's emptying, once the listener is to close
	for {
		asked := time.Now()
		if l.leaving.Load() {
			if until.IsZero() {
				until = asked.Add(emptyWithin)
			}
			if !pending(from) || asked.After(until) {
				return
			}
			_ = from.SetDeadline(until) // what stands there is accepted at once
		}
		raw, err := from.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, os.ErrDeadlineExceeded): // it is to close
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

// pending tells whether a connection stands in a listener's queue.
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

// prompt is what accepting takes that holds nothing up.
const prompt = 5 * time.Millisecond

// queue tells how long connections may have stood in a listener's queue: since accepting
// failed or was held up, until one had to be waited for.
type queue struct{ since time.Time }

// held says that nothing was accepted from a moment on.
func (q *queue) held(from time.Time) {
	if q.since.IsZero() {
		q.since = from
	}
}

// got takes in that a connection was asked for and came.
func (q *queue) got(asked, came time.Time) {
	if came.Sub(asked) > prompt {
		q.since = time.Time{}
	}
}

// waited is the longest that a connection which has just come may have stood there.
func (q *queue) waited(now time.Time) time.Duration {
	if q.since.IsZero() {
		return 0
	}
	return now.Sub(q.since)
}

// serve hands one connection to the engine, and to the front.
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

// refusal handles a connection that the front did not want.
type refusal struct{}

func (refusal) Data([]byte) {}
func (refusal) Closed()     {}

// Refuse closes the listeners, once what stands in their queues has been accepted; connections
// stand.
func (l *Listeners) Refuse() {
	l.leaving.Store(true)
	for _, one := range l.all {
		_ = one.SetDeadline(time.Now()) // ends the wait for the next connection
	}
	l.accepting.Wait()
	for _, one := range l.all {
		_ = one.Close() // where nobody accepted yet
	}
}

// Close ends everything.
func (l *Listeners) Close() {
	l.Refuse()
	l.engine.Stop()
}
