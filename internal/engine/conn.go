package engine

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Conn is one connection of an Engine. Its methods are safe for concurrent use and never wait for
// the peer. A write is accepted whole; what the kernel does not take at once is sent later, in
// order.
type Conn struct {
	engine        *Engine
	handler       Handler
	raw           net.Conn
	socket        syscall.RawConn
	descriptor    int
	local, remote net.Addr

	mu           sync.Mutex
	open         bool
	closeReason  error         // reason for the close
	closedSignal chan struct{} // closed when the connection is closed
	peerEnded    bool          // the peer has ended its sending side
	writeEnding  bool          // the sending side ends once pending is written
	discarding   bool          // received bytes are discarded
	discarded    int
	pending      []byte // bytes still to be written
	untouched    bool   // nothing of what pending began with has been written
	writeBy      time.Time
	retryTimer   *time.Timer
	retryPause   time.Duration
	closeTimer   *time.Timer

	peekFrom func(fd int, b []byte) (n int, err error)
	tcpInfo  func(fd int) (*unix.TCPInfo, error)

	handling atomic.Bool // bytes may have been read that the handler has not finished with

	// For the connection's goroutine only.
	failingSince time.Time     // start of a series of failed reads; zero if the last read succeeded
	readDelay    time.Duration // upper bound on the time for which the data read last waited because reads failed
}

// Errors of writes.
var (
	// ErrFull reports that more bytes wait to be written than the engine's bound allows.
	ErrFull = errors.New("engine: write buffer is full")
	// ErrLate reports that the time by which the bytes had to be written has passed.
	ErrLate = errors.New("engine: write deadline exceeded")
)

const (
	// The interval between two attempts at a read or write that made no progress starts at
	// minRetryPause and doubles up to maxRetryPause.
	minRetryPause = time.Millisecond
	maxRetryPause = 16 * time.Millisecond
	// maxDiscarded bounds the bytes read from a peer after CloseLingering: enough for what was
	// under way by then, but not for a body without end.
	maxDiscarded = 1 << 20
)

// initSocket obtains the raw connection and the descriptor of the socket.
func (c *Conn) initSocket() error {
	socket, ok := c.raw.(syscall.Conn)
	if !ok {
		return fmt.Errorf("%T is not a socket", c.raw)
	}
	var err error
	if c.socket, err = socket.SyscallConn(); err != nil {
		return err
	}
	return c.socket.Control(func(fd uintptr) { c.descriptor = int(fd) })
}

// serve passes what is read to the handler until the connection ends.
func (c *Conn) serve() {
	pause := minRetryPause
	for {
		switch err := c.receive(); {
		case err == nil:
			pause = minRetryPause
		case isTransient(err):
			time.Sleep(pause)
			pause = min(2*pause, maxRetryPause)
		default:
			if errors.Is(err, io.EOF) {
				c.awaitHandlerClose()
			}
			c.mu.Lock()
			c.abort(err)
			c.mu.Unlock()
			c.handler.Closed()
			return
		}
	}
}

// awaitHandlerClose keeps a connection whose peer has ended its sending side open until the handler
// has ended it too, if the handler asks for that.
func (c *Conn) awaitHandlerClose() {
	h, may := c.handler.(HalfCloser)
	if !may || !h.HalfClosed() {
		return
	}
	c.mu.Lock()
	c.peerEnded = true
	if c.writeEnding && len(c.pending) == 0 { // both sides have ended by now
		c.abort(io.EOF)
	}
	c.mu.Unlock()
	<-c.closedSignal
}

// isTransient reports whether a read or write failed only because the system was out of memory at
// that moment, which says nothing about the connection.
func isTransient(err error) bool { return err == syscall.ENOMEM || err == syscall.ENOBUFS }

// receive waits for data and passes it to the handler. It returns io.EOF when the peer has ended
// its sending side.
func (c *Conn) receive() error {
	var buf *[]byte
	var n int
	var readErr error
	err := c.socket.Read(func(fd uintptr) (done bool) {
		buf = c.engine.buffers.Get().(*[]byte)
		c.handling.Store(true)
		n, readErr = read(int(fd), *buf)
		if readErr == syscall.EAGAIN { // don't hold a buffer while waiting for data
			c.handling.Store(false)
			c.engine.buffers.Put(buf)
			buf = nil
			return false
		}
		return true
	})
	defer c.handling.Store(false)
	if buf != nil {
		defer c.engine.buffers.Put(buf)
	}
	switch {
	case err != nil: // closed by this side
		return err
	case isTransient(readErr) && c.failingSince.IsZero():
		c.failingSince = time.Now()
		return readErr
	case readErr != nil:
		return readErr
	case n == 0:
		return io.EOF
	}
	c.readDelay = 0
	if !c.failingSince.IsZero() {
		c.readDelay, c.failingSince = time.Since(c.failingSince), time.Time{}
	}
	c.deliver((*buf)[:n])
	return nil
}

// ReadDelay returns an upper bound on the time for which the current data waited to be read because
// reads failed. The handler may call it within Data.
func (c *Conn) ReadDelay() time.Duration { return c.readDelay }

// read is read(2), repeated when a signal interrupts it.
func read(fd int, b []byte) (n int, err error) {
	for {
		n, err = syscall.Read(fd, b)
		if err != syscall.EINTR {
			return n, err
		}
	}
}

// deliver passes read data to the handler, or discards it after CloseLingering.
func (c *Conn) deliver(b []byte) {
	c.mu.Lock()
	wanted := c.open && !c.discarding
	if c.discarding {
		c.discarded += len(b)
	}
	over := c.discarded > maxDiscarded
	c.mu.Unlock()
	switch {
	case over:
		_ = c.Close()
	case wanted:
		c.handler.Data(b)
	}
}

// Write accepts all of b or none of it. On an error n is the number of bytes that the kernel had
// taken before, and the connection is closed.
func (c *Conn) Write(b []byte) (n int, err error) { return c.WriteBy(b, time.Time{}) }

// WriteBy is like Write for bytes that must not be sent after by: past it, the connection is closed
// and what still waits is dropped. The zero time means no limit.
func (c *Conn) WriteBy(b []byte, by time.Time) (n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.open {
		return 0, fmt.Errorf("%w: %w", net.ErrClosed, c.closeReason)
	}
	if c.writeEnding {
		return 0, net.ErrClosed
	}
	if most := c.engine.opt.WriteBuffer; most > 0 && len(c.pending)+len(b) > most {
		c.abort(ErrFull)
		return 0, ErrFull
	}
	if c.writeBy = by; len(c.pending) > 0 {
		c.pending = append(c.pending, b...)
		return len(b), nil
	}
	n, err = c.send(b)
	if err != nil {
		c.abort(err)
		return n, err
	}
	if n < len(b) {
		c.pending, c.untouched = append([]byte(nil), b[n:]...), n == 0
		c.retryPause = minRetryPause
		c.scheduleFlush()
	}
	return len(b), nil
}

// send writes as much as the kernel takes. The caller holds mu, and the connection is open.
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
	case err == syscall.EAGAIN, isTransient(err):
		return n, nil // the rest is retried later
	}
	return n, err
}

// sendOnce does one write(2). The caller holds mu.
func (c *Conn) sendOnce(fd int, b []byte) (n int, err error) {
	if !c.writeBy.IsZero() && !time.Now().Before(c.writeBy) {
		return 0, ErrLate
	}
	n, err = syscall.Write(fd, b)
	if n = max(n, 0); n > 0 && c.engine.opt.OnSent != nil {
		c.engine.opt.OnSent(c.handler, n)
	}
	if err == syscall.EINTR {
		err = nil
	}
	return n, err
}

// scheduleFlush retries the pending write after a pause. The caller holds mu.
func (c *Conn) scheduleFlush() {
	c.retryTimer = time.AfterFunc(c.retryPause, c.flush)
	c.retryPause = min(2*c.retryPause, maxRetryPause)
}

// flush writes the pending bytes, and then ends the sending side if that was requested.
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
		c.retryPause, c.untouched = minRetryPause, false
	}
	if c.pending = c.pending[n:]; len(c.pending) > 0 {
		c.scheduleFlush()
		return
	}
	c.retryTimer = nil
	c.pending = nil
	if c.writeEnding {
		c.shutdownWrite()
	}
}

// DropUnsent drops the bytes that wait to be written, if the kernel has taken none of them since they began to wait. It
// reports whether it did.
func (c *Conn) DropUnsent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.open || len(c.pending) == 0 || !c.untouched {
		return false
	}
	c.pending = nil
	c.retryTimer.Stop()
	return true
}

// abort closes the connection and drops the pending bytes. The caller holds mu.
func (c *Conn) abort(reason error) {
	if !c.open {
		return
	}
	c.open, c.closeReason, c.pending = false, reason, nil
	close(c.closedSignal)
	for _, t := range []*time.Timer{c.retryTimer, c.closeTimer} {
		if t != nil {
			t.Stop()
		}
	}
	_ = c.raw.Close()
}

// shutdownWrite ends the sending side. The caller holds mu, and nothing is pending.
func (c *Conn) shutdownWrite() {
	var err error
	closed := c.socket.Control(func(fd uintptr) { err = syscall.Shutdown(int(fd), syscall.SHUT_WR) })
	switch err = errors.Join(closed, err); {
	case err != nil:
		c.abort(err)
	case c.peerEnded:
		c.abort(io.EOF)
	}
}

// CloseWrite ends the sending side after all that was written and leaves the receiving side open:
// the peer reads everything and then the end.
func (c *Conn) CloseWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.open || c.writeEnding {
		return
	}
	c.endWriting()
}

// endWriting ends the sending side once nothing is pending. The caller holds mu.
func (c *Conn) endWriting() {
	if c.writeEnding = true; len(c.pending) == 0 {
		c.shutdownWrite()
	}
}

// CloseLingering is CloseWrite for a connection from which nothing more is wanted. Received bytes
// are discarded, and the connection is closed when the peer closes it, at the latest after the
// given time. Closing it with unread bytes would reset the connection and destroy data that the
// peer has not read yet.
func (c *Conn) CloseLingering(within time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.open || c.discarding {
		return
	}
	c.discarding = true
	c.closeTimer = time.AfterFunc(within, func() { _ = c.Close() })
	if !c.writeEnding {
		c.endWriting()
	}
}

// Close closes the connection at once and drops the pending bytes. The handler's Closed is called
// on the connection's goroutine.
func (c *Conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abort(net.ErrClosed)
	return nil
}

// Unsent returns the number of bytes that wait to be written.
func (c *Conn) Unsent() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending)
}

// IsClosed reports whether the connection is closed.
func (c *Conn) IsClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.open
}

// PeekResult is the result of Peek.
type PeekResult int

// The results of Peek.
const (
	PeekNothing PeekResult = iota
	PeekBytes
	PeekEnd     // the peer's end, or an error
	PeekUnknown // the system was out of memory
)

// Peek looks at the socket without reading from it: the end of a connection may not have been read
// yet.
func (c *Conn) Peek() PeekResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.open {
		return PeekEnd
	}
	var b [1]byte
	var n int
	var err error
	closed := c.socket.Control(func(fd uintptr) { n, err = c.peekFrom(int(fd), b[:]) })
	switch {
	case closed != nil:
		return PeekEnd
	case err == syscall.EAGAIN:
		return PeekNothing
	case isTransient(err):
		return PeekUnknown
	case err == nil && n > 0:
		return PeekBytes
	}
	return PeekEnd
}

// peek looks at received bytes without taking them, again when a signal interrupts it.
func peek(fd int, b []byte) (n int, err error) {
	for {
		n, _, err = syscall.Recvfrom(fd, b, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if err != syscall.EINTR {
			return n, err
		}
	}
}

// HasUnhandledBytes reports whether bytes have arrived, or may have, that the handler has not finished with.
func (c *Conn) HasUnhandledBytes() bool {
	found := c.Peek() // before handling: bytes that are read now are seen by one of the two
	return found == PeekBytes || found == PeekUnknown || c.handling.Load()
}

// dataAgeAttempts bounds how often the system is asked for the age of data while it is out of memory.
const dataAgeAttempts = 8

// DataAge returns how long ago the last bytes arrived at this machine, whether or not they have been read since; known
// is false if the system can't tell. It is as exact as the kernel's clock, some milliseconds.
func (c *Conn) DataAge() (age time.Duration, known bool) {
	var info *unix.TCPInfo
	var err error
	closed := c.socket.Control(func(fd uintptr) {
		for range dataAgeAttempts {
			if info, err = c.tcpInfo(int(fd)); err == nil || !isTransient(err) {
				return
			}
		}
	})
	if closed != nil || err != nil {
		return 0, false
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond, true
}

// tcpInfo asks the system for the state of a TCP connection.
func tcpInfo(fd int) (*unix.TCPInfo, error) {
	return unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
}

// EndedByPeer reports whether the peer closed the connection, as opposed to this side or a local
// error.
func (c *Conn) EndedByPeer() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return errors.Is(c.closeReason, io.EOF) || errors.Is(c.closeReason, syscall.ECONNRESET) ||
		errors.Is(c.closeReason, syscall.EPIPE)
}

// LocalAddr returns the local address of the connection.
func (c *Conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr returns the peer's address.
func (c *Conn) RemoteAddr() net.Addr { return c.remote }

// Descriptor returns the socket's descriptor, for socket options. Once the connection is closed,
// the number may belong to another one.
func (c *Conn) Descriptor() int { return c.descriptor }
