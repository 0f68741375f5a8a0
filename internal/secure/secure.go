// Package secure puts crypto/tls over non-blocking connections of an
// engine. A handshake has a goroutine for as long as it lasts; after it, records
// are opened on the connection's goroutine of the engine.
//
// What makes it work: where the connection beneath has nothing to read,
// tls.Conn.Read passes a temporary net.Error on, keeps the part of a record that
// it has, and goes on with it at the next call.
package secure

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"basaltcross.example/basaltcross/internal/engine"
)

// errNothing says that no bytes are there now.
type errWouldBlock struct{}

func (errWouldBlock) Error() string   { return "secure: nothing to read now" }
func (errWouldBlock) Timeout() bool   { return true }
func (errWouldBlock) Temporary() bool { return true }

// ErrFlood ends a connection whose reader cannot keep up with it.
var ErrFlood = errors.New("secure: too much is waiting to be read")

// farewell is how long the peer may take to read what was written before a close.
const closeTimeout = time.Second

// most bytes that wait for a blocking reader.
const maxBuffered = 1 << 20

// Slots bound the handshakes that compute at once. One that waits for its peer
// holds none, so that clients that stall hold no others up.
type Slots chan struct{}

// feed is the net.Conn beneath a tls.Conn: reads come from what the engine
// hands over, writes go to the engine, which never blocks.
type transport struct {
	nb    *engine.Conn
	slots Slots
	write func(*engine.Conn, []byte) (int, error) // nil for the engine's

	mu          sync.Mutex
	changed     sync.Cond
	buf         []byte
	err         error
	nonBlocking bool // reads do not block
	deadline    time.Time
	timer       *time.Timer
}

func newTransport(nb *engine.Conn, slots Slots) *transport {
	tr := &transport{nb: nb, slots: slots}
	tr.changed.L = &tr.mu
	return tr
}

func (tr *transport) deliver(b []byte) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if len(tr.buf)+len(b) > maxBuffered {
		tr.err = ErrFlood
		tr.buf = nil
		go tr.nb.Close()
	} else if tr.err == nil {
		tr.buf = append(tr.buf, b...)
	}
	tr.changed.Broadcast()
}

func (tr *transport) fail(err error) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if tr.err == nil {
		tr.err = err
	}
	if tr.timer != nil {
		tr.timer.Stop()
	}
	tr.changed.Broadcast()
}

func (tr *transport) Read(b []byte) (int, error) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for len(tr.buf) == 0 {
		switch {
		case tr.err != nil:
			return 0, tr.err
		case tr.nonBlocking:
			return 0, errWouldBlock{}
		case !tr.deadline.IsZero() && !time.Now().Before(tr.deadline):
			return 0, os.ErrDeadlineExceeded
		}
		if tr.slots != nil {
			<-tr.slots
		}
		tr.changed.Wait()
		if tr.slots != nil {
			tr.mu.Unlock()
			tr.slots <- struct{}{}
			tr.mu.Lock()
		}
	}
	n := copy(b, tr.buf)
	if tr.buf = tr.buf[n:]; len(tr.buf) == 0 {
		tr.buf = nil
	}
	return n, nil
}

func (tr *transport) Write(b []byte) (int, error) {
	if tr.write != nil {
		return tr.write(tr.nb, b)
	}
	return tr.nb.Write(b)
}

func (tr *transport) Close() error {
	tr.nb.Finish(closeTimeout) // behind the alert that ends TLS
	return nil
}

func (tr *transport) LocalAddr() net.Addr              { return tr.nb.LocalAddr() }
func (tr *transport) RemoteAddr() net.Addr             { return tr.nb.RemoteAddr() }
func (tr *transport) SetWriteDeadline(time.Time) error { return nil } // writes never block
func (tr *transport) SetDeadline(t time.Time) error    { return tr.SetReadDeadline(t) }

func (tr *transport) SetReadDeadline(t time.Time) error {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.deadline = t
	if tr.timer != nil {
		tr.timer.Stop()
		tr.timer = nil
	}
	if !t.IsZero() {
		tr.timer = time.AfterFunc(time.Until(t), func() {
			tr.mu.Lock()
			defer tr.mu.Unlock()
			tr.changed.Broadcast()
		})
	}
	tr.changed.Broadcast()
	return nil
}

// Conn is one TLS connection.
type Conn struct {
	*tls.Conn
	transport *transport

	mu       sync.Mutex
	switched bool
	onData   func([]byte)
}

// Server begins TLS on an accepted connection. Raw bytes are to be handed to
// Data, its end to End. After the handshake, within the time given, ready is
// called on a goroutine of its own; it returns what takes in the plaintext, on
// the connection's goroutine from then on, or nil: then it has used the connection as a
// blocking one, and is done with it.
func Server(nb *engine.Conn, cfg *tls.Config, slots Slots, timeout time.Duration,
	ready func(c *Conn, err error) func([]byte)) *Conn {
	tr := newTransport(nb, slots)
	c := &Conn{Conn: tls.Server(tr, cfg), transport: tr}
	go func() {
		slots <- struct{}{}
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		_ = tr.SetReadDeadline(time.Now().Add(timeout))
		err := c.HandshakeContext(ctx)
		cancel()
		<-slots
		tr.mu.Lock()
		tr.slots = nil
		tr.mu.Unlock()
		_ = tr.SetReadDeadline(time.Time{})
		onData := ready(c, err)
		if err != nil {
			nb.Finish(closeTimeout) // the alert that says why is read
			return
		}
		if onData != nil {
			c.switchToNonBlocking(onData)
		}
	}()
	return c
}

// calm goes over from the handshake's goroutine to the connection's.
func (c *Conn) switchToNonBlocking(onData func([]byte)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.transport.mu.Lock()
	c.transport.nonBlocking = true
	c.transport.mu.Unlock()
	c.switched, c.onData = true, onData
	c.readPlaintext()
}

// Data takes in raw bytes, on the connection's goroutine.
func (c *Conn) Data(b []byte) {
	c.transport.deliver(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.switched {
		c.readPlaintext()
	}
}

// buffers for plaintext, for the time of one drain.
var plaintextBuffers = sync.Pool{New: func() any { b := make([]byte, 16<<10); return &b }}

func (c *Conn) readPlaintext() {
	b := plaintextBuffers.Get().(*[]byte)
	defer plaintextBuffers.Put(b)
	for {
		n, err := c.Read(*b)
		if n > 0 {
			c.onData((*b)[:n])
		}
		if err != nil {
			if !errors.Is(err, errWouldBlock{}) {
				_ = c.transport.nb.Close()
			}
			return
		}
	}
}

// End says that the connection beneath has ended.
func (c *Conn) End() { c.transport.fail(io.EOF) }

// swap is a connection whose inside is exchanged after the handshake.
type swapConn struct{ net.Conn }

// Client does the handshake on a connected socket, then hands it to the engine;
// a wrapped socket that has an Unwrap is unwrapped for that.
// Records are written by write, which must not block. made is called with the
// engine's connection before any data can come.
func Client(ctx context.Context, raw net.Conn, cfg *tls.Config, sockets *engine.Engine,
	write func(*engine.Conn, []byte) (int, error), newHandler func(*engine.Conn, *Conn) engine.Handler, onData func([]byte)) error {
	s := &swapConn{raw}
	tc := tls.Client(s, cfg)
	if err := tc.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return err
	}
	if w, ok := raw.(interface{ Unwrap() net.Conn }); ok {
		raw = w.Unwrap()
	}
	c := &Conn{Conn: tc}
	_, err := sockets.Adopt(raw, func(nb *engine.Conn) engine.Handler {
		c.transport = newTransport(nb, nil)
		c.transport.write = write
		s.Conn = c.transport
		return newHandler(nb, c)
	})
	if err != nil {
		return err
	}
	c.switchToNonBlocking(onData)
	return nil
}

// Handshakes counts by result, for metrics.
type Handshakes struct{ OK, Failed atomic.Int64 }
