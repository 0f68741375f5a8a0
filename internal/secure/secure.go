// Package secure runs crypto/tls over the non-blocking connections of package
// engine. Each handshake runs on a goroutine of its own; after it, records are
// decrypted on the engine's goroutine of the connection.
//
// It relies on tls.Conn.Read: when the underlying connection has nothing to read
// and returns a temporary net.Error, Read returns that error, keeps the part of a
// record that it has read, and continues with it at the next call.
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

// errWouldBlock is the temporary error of a non-blocking read with no bytes
// available.
type errWouldBlock struct{}

func (errWouldBlock) Error() string   { return "secure: no data available to read" }
func (errWouldBlock) Timeout() bool   { return true }
func (errWouldBlock) Temporary() bool { return true }

// ErrReadBufferFull is the error of a connection that is closed because over 1 MiB received
// from its peer has not been read.
var ErrReadBufferFull = errors.New("secure: more than 1 MiB received and not yet read")

// closeTimeout is the time that the peer has to read what was written before the
// connection is closed.
const closeTimeout = time.Second

// maxBuffered is the number of received bytes, still encrypted, that are held for a
// blocking reader.
const maxBuffered = 1 << 20

// HandshakeSlots limits the handshakes that compute at the same time to its capacity. A
// handshake that waits for its peer holds no slot, so that clients that stall do not
// delay others.
type HandshakeSlots chan struct{}

// transport is the net.Conn beneath a tls.Conn. Reads return the bytes that the
// engine delivered; writes go to the engine and never block.
type transport struct {
	nb    *engine.Conn
	slots HandshakeSlots
	write func(*engine.Conn, []byte) (int, error) // nil for nb.Write

	mu          sync.Mutex
	changed     sync.Cond
	buf         []byte
	err         error
	nonBlocking bool // reads return errWouldBlock instead of waiting
	deadline    time.Time
	timer       *time.Timer
}

func newTransport(nb *engine.Conn, slots HandshakeSlots) *transport {
	tr := &transport{nb: nb, slots: slots}
	tr.changed.L = &tr.mu
	return tr
}

// deliver appends received bytes for Read. Beyond maxBuffered it closes the
// connection with ErrReadBufferFull.
func (tr *transport) deliver(b []byte) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if len(tr.buf)+len(b) > maxBuffered {
		tr.err = ErrReadBufferFull
		tr.buf = nil
		go tr.nb.Close()
	} else if tr.err == nil {
		tr.buf = append(tr.buf, b...)
	}
	tr.changed.Broadcast()
}

// fail makes reads return err once the buffered bytes are read, unless an earlier
// error is set.
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

// Read returns buffered bytes. While none are there it waits until the read
// deadline, without its handshake slot, or returns errWouldBlock if reads are
// non-blocking.
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

// Close half-closes the connection, so that the peer can read what was written. It is
// closed when the peer closes it too, or after closeTimeout.
func (tr *transport) Close() error {
	tr.nb.CloseLingering(closeTimeout) // sends the pending close_notify alert first
	return nil
}

func (tr *transport) LocalAddr() net.Addr              { return tr.nb.LocalAddr() }
func (tr *transport) RemoteAddr() net.Addr             { return tr.nb.RemoteAddr() }
func (tr *transport) SetWriteDeadline(time.Time) error { return nil } // writes never block
func (tr *transport) SetDeadline(t time.Time) error    { return tr.SetReadDeadline(t) }

// SetReadDeadline sets the deadline of blocking reads, zero for none, and wakes a
// read that waits.
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

// Conn is one TLS connection over an engine.Conn.
type Conn struct {
	*tls.Conn
	transport *transport

	mu       sync.Mutex
	switched bool
	onData   func([]byte)
}

// Server starts TLS on an accepted connection. The caller passes received bytes to
// Data and calls End when the connection has ended. The handshake must finish within
// timeout. After it, ready is called on the handshake's goroutine, with the error if
// it failed. If ready returns a function, this is called with the plaintext on the
// connection's goroutine from then on. If it returns nil, it has used c as a blocking
// connection until its end.
func Server(nb *engine.Conn, cfg *tls.Config, slots HandshakeSlots, timeout time.Duration,
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
			nb.CloseLingering(closeTimeout) // lets the peer read the alert that tells why
			return
		}
		if onData != nil {
			c.switchToNonBlocking(onData)
		}
	}()
	return c
}

// switchToNonBlocking ends the blocking reads of the handshake's goroutine. From then
// on Data reads the plaintext, on the connection's goroutine, and passes it to onData.
func (c *Conn) switchToNonBlocking(onData func([]byte)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.transport.mu.Lock()
	c.transport.nonBlocking = true
	c.transport.mu.Unlock()
	c.switched, c.onData = true, onData
	c.readPlaintext()
}

// Data accepts received bytes. It is called on the connection's goroutine.
func (c *Conn) Data(b []byte) {
	c.transport.deliver(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.switched {
		c.readPlaintext()
	}
}

// plaintextBuffers holds buffers that readPlaintext uses for one call.
var plaintextBuffers = sync.Pool{New: func() any { b := make([]byte, 16<<10); return &b }}

// readPlaintext passes all plaintext available to onData and closes the connection
// on an error; under mu.
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

// End must be called when the underlying connection has ended.
func (c *Conn) End() { c.transport.fail(io.EOF) }

// swapConn is a net.Conn whose underlying connection is replaced after the handshake.
type swapConn struct{ net.Conn }

// Client does the TLS handshake on a connected socket, with blocking reads and
// writes, then passes the socket to the engine; a wrapper that has an Unwrap method is
// removed first. Records are written by write, which must not block. newHandler is
// called with the engine's connection before any data can arrive, onData with the
// plaintext from then on.
func Client(ctx context.Context, raw net.Conn, cfg *tls.Config, sockets *engine.Engine,
	write func(*engine.Conn, []byte) (int, error), newHandler func(*engine.Conn, *Conn) engine.Handler,
	onData func([]byte)) error {
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

// Handshakes counts TLS handshakes by their result, for metrics.
type Handshakes struct{ OK, Failed atomic.Int64 }
