package front

import (
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/lesismal/nbio"
)

// pair is a connection: the engine's side, not yet in an engine, and the other one.
func pair(t *testing.T) (*nbio.Conn, net.Conn) {
	t.Helper()
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
	own, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	nb, err := nbio.NBConn(own)
	if err != nil {
		t.Fatal(err)
	}
	return nb, peer
}

// A shut connection is at its end for the peer and still reads. Where its descriptor was
// closed and is another connection's by now, that one is left alone.
func TestShut(t *testing.T) {
	first, peer := pair(t)
	if !Shut(first) {
		t.Fatal("not shut")
	}
	if b, err := io.ReadAll(peer); err != nil || len(b) > 0 {
		t.Errorf("the peer reads %q %v", b, err)
	}
	if _, err := io.WriteString(peer, "x"); err != nil {
		t.Fatal(err)
	}
	b := make([]byte, 1)
	if n, _, err := syscall.Recvfrom(first.Hash(), b, syscall.MSG_WAITALL); n != 1 || err != nil {
		t.Errorf("the shut side reads %d %v", n, err)
	}
	if err := syscall.Close(first.Hash()); err != nil {
		t.Fatal(err)
	}
	if Shut(first) {
		t.Error("shut without a descriptor")
	}
	second, other := pair(t)
	if second.Hash() != first.Hash() { // the lowest free number is given out first
		if err := syscall.Dup2(second.Hash(), first.Hash()); err != nil {
			t.Fatal(err)
		}
	}
	if Shut(first) {
		t.Error("shut by a descriptor that is another connection's")
	}
	if _, err := syscall.Write(second.Hash(), []byte("y")); err != nil {
		t.Errorf("the other connection does not write any more: %v", err)
	}
	if n, err := other.Read(b); n != 1 || err != nil {
		t.Errorf("its peer reads %d %v", n, err)
	}
}
