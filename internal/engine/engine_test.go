package engine

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Guards against Stop blocking when it is called before the poller has run: with one processor the
// poller doesn't run between Start and Stop.
func TestStopRightAfterStart(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for range 3 {
		e, err := Start(Options{Name: "test"})
		if err != nil {
			t.Fatal(err)
		}
		done := make(chan struct{})
		go func() {
			e.Stop()
			close(done)
		}()
		<-done // a Stop that blocks ends in the test's time-out
	}
}

// recorder stores what a connection receives.
type recorder struct {
	mu     sync.Mutex
	got    bytes.Buffer
	closed chan struct{}
}

func (r *recorder) Data(b []byte) {
	r.mu.Lock()
	r.got.Write(b)
	r.mu.Unlock()
}

func (r *recorder) Closed() { close(r.closed) }

// pair returns a connection of an engine, its handler, and its peer.
func pair(t *testing.T, opt Options) (*Conn, *recorder, *net.TCPConn) {
	t.Helper()
	opt.Name = "test"
	e, err := Start(opt)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Stop)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	peer, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = peer.Close() })
	raw, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	r := &recorder{closed: make(chan struct{})}
	c, err := e.Adopt(raw, func(*Conn) Handler { return r })
	if err != nil {
		t.Fatal(err)
	}
	return c, r, peer.(*net.TCPConn)
}

// Guards against bytes that nobody knows of while they are on their way from the kernel to the handler.
func TestBytesOnTheirWayToTheHandlerAreUnhandled(t *testing.T) {
	c, r, peer := pair(t, Options{})
	if c.HasUnhandledBytes() {
		t.Error("unhandled bytes before the peer has sent any")
	}
	r.mu.Lock() // the handler waits
	if _, err := peer.Write([]byte("answer")); err != nil {
		t.Fatal(err)
	}
	for !c.HasUnhandledBytes() || c.Peek() == PeekBytes { // until they have left the kernel
		runtime.Gosched()
	}
	if !c.HasUnhandledBytes() {
		t.Error("bytes that the handler has not finished with are not reported")
	}
	r.mu.Unlock()
	for c.HasUnhandledBytes() {
		runtime.Gosched()
	}
	if r.got.String() != "answer" {
		t.Errorf("the handler got %q", r.got.String())
	}
}

// Guards against an answer that is taken for not arrived, and a connection for clean, because the look at the socket failed
// for lack of memory.
func TestFailedLookAtTheSocketIsNotAnEmptyOne(t *testing.T) {
	c, _, _ := pair(t, Options{})
	for _, errno := range []syscall.Errno{syscall.ENOMEM, syscall.ENOBUFS} {
		c.peekFrom = func(int, []byte) (int, error) { return -1, errno }
		if found := c.Peek(); found != PeekUnknown {
			t.Errorf("%v: found %d, want %d", errno, found, PeekUnknown)
		}
		if !c.HasUnhandledBytes() {
			t.Errorf("%v: no bytes are said to have arrived", errno)
		}
	}
}

// Guards against a request that counts as just sent although it waited: the system was out of memory when it was asked
// how long.
func TestAgeOfDataIsAskedAgainWhileMemoryIsShort(t *testing.T) {
	c, _, _ := pair(t, Options{})
	failures := 0
	c.tcpInfo = func(int) (*unix.TCPInfo, error) {
		if failures++; failures < dataAgeAttempts {
			return nil, unix.ENOBUFS
		}
		return &unix.TCPInfo{Last_data_recv: 700}, nil
	}
	if age, known := c.DataAge(); !known || age != 700*time.Millisecond {
		t.Errorf("age %v, known %v, want 700 ms", age, known)
	}
	c.tcpInfo = func(int) (*unix.TCPInfo, error) { return nil, unix.ENOMEM }
	if age, known := c.DataAge(); known {
		t.Errorf("age %v is said to be known", age)
	}
}

// large is more bytes than the kernel buffers for a peer that does not read.
const large = 16 << 20

// Guards against truncated answers: the end of a connection overtook bytes that an earlier write
// had left pending.
func TestEndFollowsPendingWrites(t *testing.T) {
	for name, end := range map[string]func(*Conn){
		"CloseWrite":     (*Conn).CloseWrite,
		"CloseLingering": func(c *Conn) { c.CloseLingering(time.Minute) },
	} {
		t.Run(name, func(t *testing.T) {
			c, _, peer := pair(t, Options{})
			if n, err := c.Write(make([]byte, large)); n != large || err != nil {
				t.Fatal(n, err)
			}
			if c.Unsent() == 0 {
				t.Fatal("the kernel took all bytes at once; the test needs some of them pending")
			}
			end(c)
			if n, err := io.Copy(io.Discard, peer); n != large || err != nil {
				t.Errorf("the peer reads %d of %d bytes, %v", n, large, err)
			}
			if _, err := c.Write([]byte("x")); !errors.Is(err, net.ErrClosed) {
				t.Errorf("write after the end: %v, want net.ErrClosed", err)
			}
		})
	}
}

// Guards against an answer destroyed by a reset, which a close with unread bytes causes.
func TestCloseLingeringWithUnreadBytes(t *testing.T) {
	c, r, peer := pair(t, Options{})
	if _, err := c.Write([]byte("answer")); err != nil {
		t.Fatal(err)
	}
	c.CloseLingering(time.Minute)
	if _, err := peer.Write(make([]byte, 64<<10)); err != nil {
		t.Fatal(err)
	}
	if b, err := io.ReadAll(peer); string(b) != "answer" || err != nil {
		t.Errorf("the peer reads %q, %v", b, err)
	}
	_ = peer.Close()
	<-r.closed
	if r.got.Len() > 0 {
		t.Errorf("%d bytes after the end were passed to the handler", r.got.Len())
	}
}

// Guards against a call that is sent after the host has forgotten its first attempt: bytes that
// wait for a slow socket must not be sent after their deadline.
func TestNothingIsWrittenAfterItsDeadline(t *testing.T) {
	c, r, peer := pair(t, Options{})
	if _, err := c.WriteBy(make([]byte, large), time.Now().Add(20*time.Millisecond)); err != nil &&
		!errors.Is(err, ErrLate) {
		t.Fatal(err)
	}
	<-r.closed
	if n, _ := io.Copy(io.Discard, peer); n >= large {
		t.Error("all bytes were written despite the deadline")
	}
	if _, err := c.WriteBy([]byte("x"), time.Now().Add(-time.Second)); err == nil {
		t.Error("a write after its deadline succeeded")
	}
}

// Guards against a call within a wait that its host has told meanwhile: bytes of which the kernel has taken nothing can
// be taken back, and no others.
func TestUnsentBytesAreDropped(t *testing.T) {
	c, _, peer := pair(t, Options{})
	if c.DropUnsent() {
		t.Error("dropped though nothing waits")
	}
	filled := 0
	for size := large; size > 0; size /= 2 { // past the engine, until the kernel takes not even a byte
		for {
			_ = c.raw.SetWriteDeadline(time.Now().Add(20 * time.Millisecond))
			n, err := c.raw.Write(make([]byte, size))
			if filled += n; err != nil {
				break
			}
		}
	}
	if _, err := c.Write([]byte("call")); err != nil {
		t.Fatal(err)
	}
	if !c.DropUnsent() || c.Unsent() != 0 {
		t.Errorf("not dropped, %d bytes wait", c.Unsent())
	}
	c.CloseWrite()
	if n, err := io.Copy(io.Discard, peer); int(n) != filled || err != nil {
		t.Errorf("the peer reads %d of %d bytes, %v", n, filled, err)
	}
	c, _, _ = pair(t, Options{})
	if _, err := c.Write(make([]byte, large)); err != nil || c.DropUnsent() || c.Unsent() == 0 {
		t.Errorf("bytes dropped that the kernel had taken in part, %d wait, %v", c.Unsent(), err)
	}
}

// Guards against memory that grows with a peer that does not read.
func TestWriteBufferIsBounded(t *testing.T) {
	c, r, _ := pair(t, Options{WriteBuffer: large})
	var err error
	for range 3 {
		if _, err = c.Write(make([]byte, large-1)); err != nil {
			break
		}
	}
	if <-r.closed; !errors.Is(err, ErrFull) {
		t.Errorf("%v, want ErrFull", err)
	}
}

// Guards against losing a host's answer because its connection ends right after it.
func TestAllDataIsReadBeforeThePeersEnd(t *testing.T) {
	_, r, peer := pair(t, Options{ReadBuffer: 4 << 10})
	body := bytes.Repeat([]byte("0123456789"), 100<<10)
	if _, err := peer.Write(body); err != nil {
		t.Fatal(err)
	}
	_ = peer.CloseWrite()
	<-r.closed
	if !bytes.Equal(r.got.Bytes(), body) {
		t.Errorf("%d bytes, want %d", r.got.Len(), len(body))
	}
}

// Guards against operations on a closed connection that affect another one: a closed connection
// must not use its old descriptor number, whichever connection has it now.
func TestClosedConnectionDoesNotUseItsOldDescriptor(t *testing.T) {
	first, r, _ := pair(t, Options{})
	second, _, other := pair(t, Options{})
	_ = first.Close()
	<-r.closed
	if err := syscall.Dup3(second.Descriptor(), first.Descriptor(), 0); err != nil {
		t.Fatal(err)
	}
	defer syscall.Close(first.Descriptor())
	if _, err := first.Write([]byte("stray")); !errors.Is(err, net.ErrClosed) {
		t.Errorf("write to a closed connection: %v, want net.ErrClosed", err)
	}
	first.CloseWrite()
	first.CloseLingering(time.Minute)
	_ = first.Close()
	if first.Peek() != PeekEnd {
		t.Error("a closed connection has bytes to read")
	}
	if _, err := second.Write([]byte("y")); err != nil {
		t.Fatal(err)
	}
	second.CloseWrite()
	if b, err := io.ReadAll(other); string(b) != "y" || err != nil {
		t.Errorf("the other connection's peer reads %q, %v", b, err)
	}
}

// gate is a handler that blocks the poller at its first data.
type gate struct {
	recorder
	entered chan struct{}
	release chan struct{}
	once    sync.Once
}

func (g *gate) Data(b []byte) {
	g.recorder.Data(b)
	g.once.Do(func() {
		close(g.entered)
		<-g.release
	})
}

// Guards against a connection that is closed during a request because an earlier connection had the
// same descriptor number: events that the poller had already fetched for the earlier one were
// applied to it.
func TestEventsOfClosedConnectionDoNotAffectTheNext(t *testing.T) {
	for range 10 { // the descriptor numbers are not assigned alike each time
		checkEventsOfClosedConnection(t)
	}
}

func checkEventsOfClosedConnection(t *testing.T) {
	t.Helper()
	e, err := Start(Options{Name: "test"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Stop)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	null := func() *os.File {
		t.Helper()
		f, err := os.Open(os.DevNull)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = f.Close() })
		return f
	}
	lower := null() // its number is used by the duplicate made of a socket
	dial := func() (raw, peer net.Conn) {
		t.Helper()
		peer, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = peer.Close() })
		if raw, err = l.Accept(); err != nil {
			t.Fatal(err)
		}
		return raw, peer
	}
	adopt := func(raw net.Conn, h Handler) *Conn {
		t.Helper()
		c, err := e.Adopt(raw, func(*Conn) Handler { return h })
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	connect := func(h Handler) (*Conn, net.Conn) {
		t.Helper()
		raw, peer := dial()
		return adopt(raw, h), peer
	}
	newGate := func() *gate {
		return &gate{recorder: recorder{closed: make(chan struct{})},
			entered: make(chan struct{}), release: make(chan struct{})}
	}
	say := func(c net.Conn) {
		t.Helper()
		if _, err := c.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
	}
	first, second := newGate(), newGate()
	_, firstPeer := connect(first)
	_, secondPeer := connect(second)
	old := &recorder{closed: make(chan struct{})}
	closed, oldPeer := connect(old)
	raw, nextPeer := dial()
	say(firstPeer) // while the poller is blocked here, two events arrive that it fetches together
	<-first.entered
	say(secondPeer)
	_ = oldPeer.Close()
	close(first.release)
	<-second.entered                                 // and here the second of them waits to be processed
	for null().Fd() < uintptr(closed.Descriptor()) { // use up all lower numbers
	}
	_ = lower.Close()
	_ = closed.Close()
	next := newGate()
	close(next.release)
	adopt(raw, next)
	close(second.release)
	<-old.closed
	say(nextPeer)
	select {
	case <-next.entered:
	case <-next.closed:
		t.Error("an event of the closed connection ended the next one")
	}
}
