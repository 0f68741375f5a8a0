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
	"basaltcross.example/basaltcross/internal/stall"
)

// ConnHandler is a front's handler for one connection.
type ConnHandler = engine.Handler

// ListenOptions configures the listeners of one front and how their connections are served.
type ListenOptions struct {
	Name        string
	Addrs       []string
	ReadBuffer  int
	WriteBuffer int // bytes that may wait to be written to a connection, which is closed beyond that
	// NewHandler makes the front's handler for a connection; nil closes the connection at once.
	NewHandler func(conn *engine.Conn, wait QueueWait) ConnHandler
	// Stalls tells when the process stood still; nil if that isn't known.
	Stalls *stall.Monitor
	// OnError is called when accepting a connection fails, in most cases for lack of descriptors.
	OnError func(err error)
}

// QueueWait is what is known of the time for which a connection waited in its listener's queue.
type QueueWait struct {
	AcceptedAt time.Time
	// Delayed is an upper bound for a connection that waited because accepting failed or was slow; 0 otherwise.
	Delayed time.Duration
	// AtMost is the time since the queue was last known to be empty, an upper bound for any connection.
	AtMost time.Duration
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
	delay := newQueueDelay(time.Now())
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
		empty := !pending(listener)
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
			came := time.Now()
			delay.accepted(asked, empty, came)
			if begin, stalled := l.stalledSince(asked, came); stalled {
				delay.stalled(begin)
			}
			asked = time.Now()
			l.serve(raw, delay.wait(asked))
			if time.Since(asked) > promptAccept {
				delay.delayed(asked)
			}
		}
	}
}

// stalledSince returns the beginning of the first stall of the process that ended after a time, if there was one.
func (l *Listeners) stalledSince(from, now time.Time) (begin time.Time, stalled bool) {
	if l.sockets.Stalls == nil {
		return time.Time{}, false
	}
	return l.sockets.Stalls.Since(from, now)
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

// queueDelay bounds how long connections may have waited in a listener's queue.
type queueDelay struct {
	// delayedSince is when accepting failed or was delayed, until the next connection that was not there yet when it
	// was accepted; zero if it didn't.
	delayedSince time.Time
	emptyAt      time.Time // when the queue was last known to be empty
}

// newQueueDelay returns the queueDelay of a listener that is opened now.
func newQueueDelay(now time.Time) queueDelay { return queueDelay{emptyAt: now} }

// delayed records that no connection was accepted from the given time on.
func (q *queueDelay) delayed(from time.Time) {
	if q.delayedSince.IsZero() {
		q.delayedSince = from
	}
}

// stalled records that the process stood still from the given time on, while a connection was asked for.
func (q *queueDelay) stalled(from time.Time) {
	if from.Before(q.emptyAt) {
		q.emptyAt = from
	}
}

// accepted records that a connection was asked for, whether the queue was empty then, and when it arrived.
func (q *queueDelay) accepted(asked time.Time, empty bool, came time.Time) {
	if came.Sub(asked) > promptAccept {
		q.delayedSince = time.Time{}
	}
	if empty {
		q.emptyAt = came
	}
}

// wait returns what is known of the wait of a connection accepted now.
func (q *queueDelay) wait(now time.Time) QueueWait {
	w := QueueWait{AcceptedAt: now, AtMost: now.Sub(q.emptyAt)}
	if !q.delayedSince.IsZero() {
		w.Delayed = now.Sub(q.delayedSince)
	}
	return w
}

// serve passes one connection to the engine and to the front.
func (l *Listeners) serve(raw net.Conn, wait QueueWait) {
	refused := false
	conn, err := l.engine.Adopt(raw, func(conn *engine.Conn) engine.Handler {
		c := l.sockets.NewHandler(conn, wait)
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
