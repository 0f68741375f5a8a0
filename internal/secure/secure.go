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
type errNothing struct{}

func (errNothing) Error() string   { return "secure: nothing to read now" }
func (errNothing) Timeout() bool   { return true }
func (errNothing) Temporary() bool { return true }

// ErrFlood ends a connection whose reader cannot keep up with it.
var ErrFlood = errors.New("secure: too much is waiting to be read")

// farewell is how long the peer may take to read what was written before a close.
const farewell = time.Second

// most bytes that wait for a blocking reader.
const most = 1 << 20

// Slots bound the handshakes that compute at once. One that waits for its peer
// holds none, so that clients that stall hold no others up.
type Slots chan struct{}

// feed is the net.Conn beneath a tls.Conn: reads come from what the engine
// hands over, writes go to the engine, which never blocks.
type feed struct {
	nb    *engine.Conn
	slots Slots
	write func(*engine.Conn, []byte) (int, error) // nil for the engine's

	mu       sync.Mutex
	some     sync.Cond
	buf      []byte
	err      error
	calm     bool // reads do not block
	deadline time.Time
	timer    *time.Timer
}

func newFeed(nb *engine.Conn, slots Slots) *feed {
	f := &feed{nb: nb, slots: slots}
	f.some.L = &f.mu
	return f
}

func (f *feed) put(b []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.buf)+len(b) > most {
		f.err = ErrFlood
		f.buf = nil
		go f.nb.Close()
	} else if f.err == nil {
		f.buf = append(f.buf, b...)
	}
	f.some.Broadcast()
}

func (f *feed) end(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err == nil {
		f.err = err
	}
	if f.timer != nil {
		f.timer.Stop()
	}
	f.some.Broadcast()
}

func (f *feed) Read(b []byte) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for len(f.buf) == 0 {
		switch {
		case f.err != nil:
			return 0, f.err
		case f.calm:
			return 0, errNothing{}
		case !f.deadline.IsZero() && !time.Now().Before(f.deadline):
			return 0, os.ErrDeadlineExceeded
		}
		if f.slots != nil {
			<-f.slots
		}
		f.some.Wait()
		if f.slots != nil {
			f.mu.Unlock()
			f.slots <- struct{}{}
			f.mu.Lock()
		}
	}
	n := copy(b, f.buf)
	if f.buf = f.buf[n:]; len(f.buf) == 0 {
		f.buf = nil
	}
	return n, nil
}

func (f *feed) Write(b []byte) (int, error) {
	if f.write != nil {
		return f.write(f.nb, b)
	}
	return f.nb.Write(b)
}

func (f *feed) Close() error {
	f.nb.Finish(farewell) // behind the alert that ends TLS
	return nil
}

func (f *feed) LocalAddr() net.Addr              { return f.nb.LocalAddr() }
func (f *feed) RemoteAddr() net.Addr             { return f.nb.RemoteAddr() }
func (f *feed) SetWriteDeadline(time.Time) error { return nil } // writes never block
func (f *feed) SetDeadline(t time.Time) error    { return f.SetReadDeadline(t) }

func (f *feed) SetReadDeadline(t time.Time) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.deadline = t
	if f.timer != nil {
		f.timer.Stop()
		f.timer = nil
	}
	if !t.IsZero() {
		f.timer = time.AfterFunc(time.Until(t), func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.some.Broadcast()
		})
	}
	f.some.Broadcast()
	return nil
}

// Conn is one TLS connection.
type Conn struct {
	*tls.Conn
	feed *feed

	mu   sync.Mutex
	open bool
	got  func([]byte)
}

// Server begins TLS on an accepted connection. Raw bytes are to be handed to
// Data, its end to End. After the handshake, within the time given, ready is
// called on a goroutine of its own; it returns what takes in the plaintext, on
// the connection's goroutine from then on, or nil: then it has used the connection as a
// blocking one, and is done with it.
func Server(nb *engine.Conn, cfg *tls.Config, slots Slots, within time.Duration,
	ready func(c *Conn, err error) func([]byte)) *Conn {
	f := newFeed(nb, slots)
	c := &Conn{Conn: tls.Server(f, cfg), feed: f}
	go func() {
		slots <- struct{}{}
		ctx, cancel := context.WithTimeout(context.Background(), within)
		_ = f.SetReadDeadline(time.Now().Add(within))
		err := c.HandshakeContext(ctx)
		cancel()
		<-slots
		f.mu.Lock()
		f.slots = nil
		f.mu.Unlock()
		_ = f.SetReadDeadline(time.Time{})
		got := ready(c, err)
		if err != nil {
			nb.Finish(farewell) // the alert that says why is read
			return
		}
		if got != nil {
			c.calm(got)
		}
	}()
	return c
}

// calm goes over from the handshake's goroutine to the connection's.
func (c *Conn) calm(got func([]byte)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.feed.mu.Lock()
	c.feed.calm = true
	c.feed.mu.Unlock()
	c.open, c.got = true, got
	c.drain()
}

// Data takes in raw bytes, on the connection's goroutine.
func (c *Conn) Data(b []byte) {
	c.feed.put(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open {
		c.drain()
	}
}

// buffers for plaintext, for the time of one drain.
var buffers = sync.Pool{New: func() any { b := make([]byte, 16<<10); return &b }}

func (c *Conn) drain() {
	b := buffers.Get().(*[]byte)
	defer buffers.Put(b)
	for {
		n, err := c.Read(*b)
		if n > 0 {
			c.got((*b)[:n])
		}
		if err != nil {
			if !errors.Is(err, errNothing{}) {
				_ = c.feed.nb.Close()
			}
			return
		}
	}
}

// End says that the connection beneath has ended.
func (c *Conn) End() { c.feed.end(io.EOF) }

// swap is a connection whose inside is exchanged after the handshake.
type swap struct{ net.Conn }

// Client does the handshake on a connected socket, then hands it to the engine;
// a wrapped socket that has an Unwrap is unwrapped for that.
// Records are written by write, which must not block. made is called with the
// engine's connection before any data can come.
func Client(ctx context.Context, raw net.Conn, cfg *tls.Config, sockets *engine.Engine,
	write func(*engine.Conn, []byte) (int, error), made func(*engine.Conn, *Conn) engine.Handler, got func([]byte)) error {
	s := &swap{raw}
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
		c.feed = newFeed(nb, nil)
		c.feed.write = write
		s.Conn = c.feed
		return made(nb, c)
	})
	if err != nil {
		return err
	}
	c.calm(got)
	return nil
}

// Handshakes counts by result, for metrics.
type Handshakes struct{ OK, Failed atomic.Int64 }
