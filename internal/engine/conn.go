package engine

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// Conn is one connection of an Engine. Its methods are safe for concurrent use and never
// wait for the peer. Writes are taken whole; what the kernel does not take at once follows in order.
type Conn struct {
	engine        *Engine
	handler       Handler
	raw           net.Conn
	socket        syscall.RawConn
	descriptor    int
	local, remote net.Addr

	mu       sync.Mutex
	open     bool
	why      error         // it is not open any more
	ended    chan struct{} // closed with it
	heardAll bool          // the peer has ended its sending
	ending   bool          // nothing is written behind what waits, and then the sending side ends
	discard  bool          // what comes is dropped
	dropped  int
	pending  []byte // to be written
	by       time.Time
	retry    *time.Timer
	pause    time.Duration
	closedBy *time.Timer

	// Of the connection's goroutine alone.
	failing time.Time     // reading fails since then; zero if it does not
	heldUp  time.Duration // what was read last may have stood there for so long
}

// Errors of a connection.
var (
	// ErrFull: more waits to be written than the engine's bound.
	ErrFull = errors.New("engine: too much waits to be written")
	// ErrLate: the time by which all had to be written has passed.
	ErrLate = errors.New("engine: not written in time")
)

const (
	// A socket that takes or gives nothing is tried again after firstPause, doubling to longestPause.
	firstPause   = time.Millisecond
	longestPause = 16 * time.Millisecond
	// mostDropped bytes are read of a peer after Finish: what was on its way by then,
	// and not all of a body without end.
	mostDropped = 1 << 20
)

// takeSocket takes what the connection's operations need from its socket.
func (c *Conn) takeSocket() error {
	socket, ok := c.raw.(syscall.Conn)
	if !ok {
		return fmt.Errorf("%T is no socket", c.raw)
	}
	var err error
	if c.socket, err = socket.SyscallConn(); err != nil {
		return err
	}
	return c.socket.Control(func(fd uintptr) { c.descriptor = int(fd) })
}

// serve hands over what is read until the connection ends.
func (c *Conn) serve() {
	pause := firstPause
	for {
		switch err := c.receive(); {
		case err == nil:
			pause = firstPause
		case passes(err):
			time.Sleep(pause)
			pause = min(2*pause, longestPause)
		default:
			if errors.Is(err, io.EOF) {
				c.outlast()
			}
			c.mu.Lock()
			c.abort(err)
			c.mu.Unlock()
			c.handler.Closed()
			return
		}
	}
}

// outlast keeps a connection whose peer has ended its sending until the handler has ended it too, if
// the handler wants that.
func (c *Conn) outlast() {
	h, may := c.handler.(HalfCloser)
	if !may || !h.HalfClosed() {
		return
	}
	c.mu.Lock()
	c.heardAll = true
	if c.ending && len(c.pending) == 0 { // both sides have ended by now
		c.abort(io.EOF)
	}
	c.mu.Unlock()
	<-c.ended
}

// passes tells an error of a read or write that says nothing of the connection: the system had
// no memory for it at that moment.
func passes(err error) bool { return err == syscall.ENOMEM || err == syscall.ENOBUFS }

// receive waits for data and hands it over. io.EOF is the peer's end.
func (c *Conn) receive() error {
	var buf *[]byte
	var n int
	var failed error
	err := c.socket.Read(func(fd uintptr) (done bool) {
		buf = c.engine.buffers.Get().(*[]byte)
		n, failed = read(int(fd), *buf)
		if failed == syscall.EAGAIN { // no buffer is held while nothing comes
			c.engine.buffers.Put(buf)
			buf = nil
			return false
		}
		return true
	})
	if buf != nil {
		defer c.engine.buffers.Put(buf)
	}
	switch {
	case err != nil: // closed here
		return err
	case passes(failed) && c.failing.IsZero():
		c.failing = time.Now()
		return failed
	case failed != nil:
		return failed
	case n == 0:
		return io.EOF
	}
	c.heldUp = 0
	if !c.failing.IsZero() {
		c.heldUp, c.failing = time.Since(c.failing), time.Time{}
	}
	c.data((*buf)[:n])
	return nil
}

// HeldUp is how long the data that is handed over may have stood there because reading it
// failed; for the handler, within Data.
func (c *Conn) HeldUp() time.Duration { return c.heldUp }

// read is read(2) that goes on after a signal.
func read(fd int, b []byte) (n int, err error) {
	for {
		n, err = syscall.Read(fd, b)
		if err != syscall.EINTR {
			return n, err
		}
	}
}

// data hands over what was read.
func (c *Conn) data(b []byte) {
	c.mu.Lock()
	wanted := c.open && !c.discard
	if c.discard {
		c.dropped += len(b)
	}
	over := c.dropped > mostDropped
	c.mu.Unlock()
	switch {
	case over:
		_ = c.Close()
	case wanted:
		c.handler.Data(b)
	}
}

// Write takes all of b, or none of it. On an error n tells how much the kernel had taken
// before, and the connection is closed.
func (c *Conn) Write(b []byte) (n int, err error) { return c.WriteBy(b, time.Time{}) }

// WriteBy is Write of what must not leave later than by: past it the connection is closed
// with what waits. The zero time stands for no such time.
func (c *Conn) WriteBy(b []byte, by time.Time) (n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.open {
		return 0, fmt.Errorf("%w: %w", net.ErrClosed, c.why)
	}
	if c.ending {
		return 0, net.ErrClosed
	}
	if most := c.engine.opt.WriteBuffer; most > 0 && len(c.pending)+len(b) > most {
		c.abort(ErrFull)
		return 0, ErrFull
	}
	if c.by = by; len(c.pending) > 0 {
		c.pending = append(c.pending, b...)
		return len(b), nil
	}
	n, err = c.send(b)
	if err != nil {
		c.abort(err)
		return n, err
	}
	if n < len(b) {
		c.pending = append([]byte(nil), b[n:]...)
		c.pause = firstPause
		c.later()
	}
	return len(b), nil
}

// send writes as much as the kernel takes; under mu, of an open connection.
func (c *Conn) send(b []byte) (n int, err error) {
	closed := c.socket.Control(func(fd uintptr) {
		for n < len(b) && err == nil {
			var k int
			k, err = c.sendOnce(int(fd), b[n:])
			n += k
		}
	})
	switch {
	case closed != nil:
		return n, closed
	case err == syscall.EAGAIN, passes(err):
		return n, nil // the rest is tried later
	}
	return n, err
}

// sendOnce is one write(2); under mu.
func (c *Conn) sendOnce(fd int, b []byte) (n int, err error) {
	if !c.by.IsZero() && !time.Now().Before(c.by) {
		return 0, ErrLate
	}
	n, err = syscall.Write(fd, b)
	if n = max(n, 0); n > 0 && c.engine.opt.Sent != nil {
		c.engine.opt.Sent(c.handler, n)
	}
	if err == syscall.EINTR {
		err = nil
	}
	return n, err
}

// later tries what waits again after a pause; under mu.
func (c *Conn) later() {
	c.retry = time.AfterFunc(c.pause, c.flush)
	c.pause = min(2*c.pause, longestPause)
}

// flush writes what waits, and then ends the sending side if that was asked for.
func (c *Conn) flush() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.open {
		return
	}
	n, err := c.send(c.pending)
	if err != nil {
		c.abort(err)
		return
	}
	if n > 0 {
		c.pause = firstPause
	}
	if c.pending = c.pending[n:]; len(c.pending) > 0 {
		c.later()
		return
	}
	c.retry = nil
	c.pending = nil
	if c.ending {
		c.shut()
	}
}

// abort ends the connection with what waits to be written; under mu.
func (c *Conn) abort(why error) {
	if !c.open {
		return
	}
	c.open, c.why, c.pending = false, why, nil
	close(c.ended)
	for _, t := range []*time.Timer{c.retry, c.closedBy} {
		if t != nil {
			t.Stop()
		}
	}
	_ = c.raw.Close()
}

// shut ends the sending side; under mu, with nothing left to be written.
func (c *Conn) shut() {
	var err error
	closed := c.socket.Control(func(fd uintptr) { err = syscall.Shutdown(int(fd), syscall.SHUT_WR) })
	switch err = errors.Join(closed, err); {
	case err != nil:
		c.abort(err)
	case c.heardAll:
		c.abort(io.EOF)
	}
}

// CloseWrite ends the sending side behind all that was written, and leaves the reading
// side open: the peer reads everything and then the end.
func (c *Conn) CloseWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.open || c.ending {
		return
	}
	c.endWriting()
}

// endWriting ends the sending side once nothing waits; under mu.
func (c *Conn) endWriting() {
	if c.ending = true; len(c.pending) == 0 {
		c.shut()
	}
}

// Finish is CloseWrite for a connection of which nothing more is wanted: what comes is
// dropped, and the connection is closed when the peer has closed it, at the latest after
// the time given. A close over bytes that were not read would reset the connection and
// take with it what the peer has not read yet.
func (c *Conn) Finish(within time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.open || c.discard {
		return
	}
	c.discard = true
	c.closedBy = time.AfterFunc(within, func() { _ = c.Close() })
	if !c.ending {
		c.endWriting()
	}
}

// Close ends the connection at once, with what waits to be written. The handler is told by
// its own goroutine.
func (c *Conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abort(net.ErrClosed)
	return nil
}

// Unsent is how many bytes wait to be written.
func (c *Conn) Unsent() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending)
}

// IsClosed tells whether the connection has ended.
func (c *Conn) IsClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.open
}

// Peeked is what Peek finds.
type Peeked int

// What may stand to be read.
const (
	Nothing Peeked = iota
	Bytes
	End // the peer's end, or an error
)

// Peek looks what stands to be read, without reading it: the end of a connection may not
// have been read yet.
func (c *Conn) Peek() Peeked {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.open {
		return End
	}
	var b [1]byte
	var n int
	var err error
	closed := c.socket.Control(func(fd uintptr) {
		n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	switch {
	case closed != nil:
		return End
	case err == syscall.EAGAIN || err == syscall.EINTR || passes(err):
		return Nothing
	case err == nil && n > 0:
		return Bytes
	}
	return End
}

// EndedByPeer tells whether the peer has ended the connection, and not this side or an error of its own.
func (c *Conn) EndedByPeer() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return errors.Is(c.why, io.EOF) || errors.Is(c.why, syscall.ECONNRESET) || errors.Is(c.why, syscall.EPIPE)
}

// LocalAddr is the connection's own address.
func (c *Conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr is that of the peer.
func (c *Conn) RemoteAddr() net.Addr { return c.remote }

// Descriptor is the number of the socket, for options of it; of a closed connection it
// may be another one's.
func (c *Conn) Descriptor() int { return c.descriptor }
