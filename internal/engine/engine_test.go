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
)

// An engine that is stopped before its poller has run does not hold up who stops it: on one
// processor the poller never runs in between.
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
		<-done // the test's own time-out otherwise
	}
}

// recorder keeps what a connection brings.
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

// pair is a connection of an engine and its peer.
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

// larger than what the kernel takes for a peer that does not read.
const large = 16 << 20

// Guards against answers that are cut off: a connection's end overtook what its write
// had left over.
func TestTheEndComesBehindWhatWasWritten(t *testing.T) {
	for name, end := range map[string]func(*Conn){
		"CloseWrite": (*Conn).CloseWrite,
		"Finish":     func(c *Conn) { c.Finish(time.Minute) },
	} {
		t.Run(name, func(t *testing.T) {
			c, _, peer := pair(t, Options{})
			if n, err := c.Write(make([]byte, large)); n != large || err != nil {
				t.Fatal(n, err)
			}
			if c.Unsent() == 0 {
				t.Fatal("the kernel took all: this shows nothing")
			}
			end(c)
			if n, err := io.Copy(io.Discard, peer); n != large || err != nil {
				t.Errorf("the peer reads %d of %d bytes, %v", n, large, err)
			}
			if _, err := c.Write([]byte("x")); !errors.Is(err, net.ErrClosed) {
				t.Errorf("a write behind the end: %v", err)
			}
		})
	}
}

// Guards against an answer that is taken away by a reset: a close over bytes that
// were not read.
func TestFinishOverUnreadBytes(t *testing.T) {
	c, r, peer := pair(t, Options{})
	if _, err := c.Write([]byte("answer")); err != nil {
		t.Fatal(err)
	}
	c.Finish(time.Minute)
	if _, err := peer.Write(make([]byte, 64<<10)); err != nil {
		t.Fatal(err)
	}
	if b, err := io.ReadAll(peer); string(b) != "answer" || err != nil {
		t.Errorf("the peer reads %q, %v", b, err)
	}
	_ = peer.Close()
	<-r.closed
	if r.got.Len() > 0 {
		t.Errorf("%d bytes behind the end were handed over", r.got.Len())
	}
}

// Guards against a call that leaves after its repeats are forgotten: what waits for a slow
// socket goes with its connection when its time is over.
func TestNothingIsWrittenBehindItsTime(t *testing.T) {
	c, r, peer := pair(t, Options{})
	if _, err := c.WriteBy(make([]byte, large), time.Now().Add(20*time.Millisecond)); err != nil && !errors.Is(err, ErrLate) {
		t.Fatal(err)
	}
	<-r.closed
	if n, _ := io.Copy(io.Discard, peer); n >= large {
		t.Error("all was written")
	}
	if _, err := c.WriteBy([]byte("x"), time.Now().Add(-time.Second)); err == nil {
		t.Error("written behind its time")
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

// Guards against a host's answer that is lost because its connection ends right behind it.
func TestAllIsReadBeforeThePeersEnd(t *testing.T) {
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

// Guards against bytes and ends that strike another connection: one that was closed has no
// descriptor any more, whoever has its number now.
func TestAClosedConnectionLeavesItsNumberAlone(t *testing.T) {
	first, r, _ := pair(t, Options{})
	second, _, other := pair(t, Options{})
	_ = first.Close()
	<-r.closed
	if err := syscall.Dup2(second.Descriptor(), first.Descriptor()); err != nil {
		t.Fatal(err)
	}
	defer syscall.Close(first.Descriptor())
	if _, err := first.Write([]byte("stray")); !errors.Is(err, net.ErrClosed) {
		t.Errorf("a write to a closed connection: %v", err)
	}
	first.CloseWrite()
	first.Finish(time.Minute)
	_ = first.Close()
	if first.Peek() != End {
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

// gate is a handler that holds the poller up at its first data.
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

// Guards against a connection that ends over a request because an earlier one had its
// descriptor's number: events that the poller had fetched for that one struck it.
func TestEventsOfAClosedConnectionStrikeNoOther(t *testing.T) {
	for range 10 { // the numbers do not always fall alike
		eventsOfAClosedConnection(t)
	}
}

func eventsOfAClosedConnection(t *testing.T) {
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
	lower := null() // its number is for the duplicate that is made of a socket
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
		return &gate{recorder: recorder{closed: make(chan struct{})}, entered: make(chan struct{}), release: make(chan struct{})}
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
	say(firstPeer) // while the poller is held here, two events come that it fetches together
	<-first.entered
	say(secondPeer)
	_ = oldPeer.Close()
	close(first.release)
	<-second.entered                                 // and here the second of them waits for its turn
	for null().Fd() < uintptr(closed.Descriptor()) { // no other number below is free
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
		t.Error("an event of the connection that was closed ended this one")
	}
}
