package engine

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
)

// Conn is one connection of an Engine. Its methods are safe for concurrent use and never
// block. Writes are taken whole; what the kernel does not take at once follows in order.
type Conn struct {
	engine        *Engine
	handler       Handler
	local, remote net.Addr

	mu       sync.Mutex
	nb       *nbio.Conn
	adopted  bool          // a poller has it
	held     time.Duration // until then
	lost     bool          // it ended before that was known
	open     bool          // its descriptor is its own
	ending   bool          // nothing is written behind what waits, and then the sending side ends
	discard  bool          // what comes is dropped
	dropped  int
	pending  []byte // to be written
	by       time.Time
	retry    *time.Timer
	pause    time.Duration
	closedBy *time.Timer
}

// Errors of a connection.
var (
	// ErrFull: more waits to be written than the engine's bound.
	ErrFull = errors.New("engine: too much waits to be written")
	// ErrLate: the time by which all had to be written has passed.
	ErrLate = errors.New("engine: not written in time")
)

const (
	// A socket that takes nothing is tried again after firstPause, doubling to longestPause.
	firstPause   = time.Millisecond
	longestPause = 16 * time.Millisecond
	// mostDropped bytes are read of a peer after Finish: what was on its way by then,
	// and not all of a body without end.
	mostDropped = 1 << 20
)

// adopt hands a socket to a poller.
func (c *Conn) adopt(raw net.Conn) error {
	nb, err := nbio.NBConn(raw) // duplicates the descriptor and closes the first
	if err != nil {
		_ = raw.Close()
		return err
	}
	c.mu.Lock()
	c.nb, c.lost = nb, false
	c.mu.Unlock()
	nb.SetSession(c)
	c.engine.fence.Add(1)
	if _, err := c.engine.nbio.AddConn(nb); err != nil {
		return err // the library has closed it
	}
	c.mu.Lock()
	c.adopted = true
	lost, open := c.lost, c.open
	c.mu.Unlock()
	switch {
	case lost:
		go c.handler.Closed()
	case !open: // closed meanwhile
		c.mu.Lock()
		c.dismiss()
		c.mu.Unlock()
	}
	return nil
}

// gone takes in that the library has closed a descriptor.
func (c *Conn) gone(nb *nbio.Conn) {
	c.mu.Lock()
	if c.nb != nb {
		c.mu.Unlock()
		return
	}
	tell := c.adopted
	c.lost = true
	if tell {
		c.end()
	}
	c.mu.Unlock()
	if tell {
		c.handler.Closed()
	}
}

// end forgets the descriptor; under mu.
func (c *Conn) end() {
	c.open, c.pending = false, nil
	for _, t := range []*time.Timer{c.retry, c.closedBy} {
		if t != nil {
			t.Stop()
		}
	}
}

// readable reads until nothing is left: the library closes a connection whose peer has
// ended it right after this, and a short read is no sign that all was read.
func (c *Conn) readable(nb *nbio.Conn) {
	buf := c.engine.buffers.Get().(*[]byte)
	defer c.engine.buffers.Put(buf)
	for {
		n, err := nb.Read(*buf)
		switch {
		case n > 0:
			c.data((*buf)[:n])
		case errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.EAGAIN), errors.Is(err, net.ErrClosed):
			return
		default: // the peer's end, or an error
			c.mu.Lock()
			c.end()
			c.mu.Unlock()
			_ = nb.CloseWithError(err)
			return
		}
	}
}

// data hands over what was read.
func (c *Conn) data(b []byte) {
	c.mu.Lock()
	discard := c.discard
	if discard {
		c.dropped += len(b)
	}
	over := c.dropped > mostDropped
	c.mu.Unlock()
	switch {
	case over:
		_ = c.Close()
	case !discard:
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
	if !c.open || c.ending {
		return 0, net.ErrClosed
	}
	if most := c.engine.opt.WriteBuffer; most > 0 && len(c.pending)+len(b) > most {
		c.abort()
		return 0, ErrFull
	}
	if c.by = by; len(c.pending) > 0 {
		c.pending = append(c.pending, b...)
		return len(b), nil
	}
	n, err = c.send(b)
	if err != nil {
		c.abort()
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
	c.engine.life.RLock()
	defer c.engine.life.RUnlock()
	switch {
	case c.engine.stopped:
		return 0, errStopped
	case !c.adopted:
		return 0, nil
	}
	for n < len(b) {
		if !c.by.IsZero() && !time.Now().Before(c.by) {
			return n, ErrLate
		}
		k, err := syscall.Write(c.nb.Hash(), b[n:])
		if k > 0 {
			n += k
			if c.engine.opt.Sent != nil {
				c.engine.opt.Sent(c.handler, k)
			}
		}
		switch err {
		case nil, syscall.EINTR:
		case syscall.EAGAIN, syscall.ENOBUFS, syscall.ENOMEM:
			return n, nil
		default:
			return n, err
		}
	}
	return n, nil
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
		c.abort()
		return
	}
	if n > 0 {
		c.pause = firstPause
	}
	if c.pending = c.pending[n:]; len(c.pending) > 0 || !c.adopted {
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
func (c *Conn) abort() {
	c.end()
	c.dismiss()
}

// dismiss closes the descriptor; under mu, of a connection that has ended.
func (c *Conn) dismiss() {
	if c.adopted { // else adopt does so
		_ = c.nb.Close()
	}
}

// shut ends the sending side; under mu, with nothing left to be written.
func (c *Conn) shut() {
	if err := c.shutdown(syscall.SHUT_WR); err != nil {
		c.abort()
	}
}

// shutdown is shutdown(2) while the descriptor is the connection's; under mu.
func (c *Conn) shutdown(how int) error {
	c.engine.life.RLock()
	defer c.engine.life.RUnlock()
	if c.engine.stopped {
		return nil
	}
	return syscall.Shutdown(c.nb.Hash(), how)
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
	if c.ending = true; len(c.pending) == 0 && c.adopted {
		c.shut()
	} else if c.retry == nil {
		c.pause = firstPause
		c.later()
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

// Close ends the connection at once, with what waits to be written.
func (c *Conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open {
		c.abort()
	}
	return nil
}

// Held is how long the poller had refused the connection: what its peer sent meanwhile was
// read so much later.
func (c *Conn) Held() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.held
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

// Peek looks what stands to be read, without reading it: of the end of a connection the
// poller may not have told yet.
func (c *Conn) Peek() Peeked {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.engine.life.RLock()
	defer c.engine.life.RUnlock()
	if !c.open || !c.adopted || c.engine.stopped {
		return End
	}
	var b [1]byte
	n, _, err := syscall.Recvfrom(c.nb.Hash(), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case err == syscall.EAGAIN || err == syscall.EINTR:
		return Nothing
	case err == nil && n > 0:
		return Bytes
	}
	return End
}

// LocalAddr is the connection's own address.
func (c *Conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr is that of the peer.
func (c *Conn) RemoteAddr() net.Addr { return c.remote }

// Descriptor is the number of the socket, for options of it; of a closed connection it
// may be another one's.
func (c *Conn) Descriptor() int { return c.nb.Hash() }
