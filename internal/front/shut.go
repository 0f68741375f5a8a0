package front

import (
	"net"
	"net/netip"
	"syscall"

	"github.com/lesismal/nbio"
)

// Shut ends the sending side of a connection and leaves its reading side open, so that the
// peer reads all that was written and then the end. It reports false where that could not
// be done: then the connection is gone already, or is to be closed.
//
// The engine closes a descriptor whenever its poller sees the peer's end, and its number
// may be another connection's a moment later. Shut works on a duplicate, which stays what
// it is, and only where that has the addresses of this connection.
func Shut(nb *nbio.Conn) bool {
	fd, err := syscall.Dup(nb.Hash())
	if err != nil {
		return false
	}
	defer syscall.Close(fd)
	syscall.CloseOnExec(fd)
	peer, err := syscall.Getpeername(fd)
	if err != nil || !same(peer, nb.RemoteAddr()) {
		return false
	}
	own, err := syscall.Getsockname(fd)
	if err != nil || !same(own, nb.LocalAddr()) {
		return false
	}
	return syscall.Shutdown(fd, syscall.SHUT_WR) == nil
}

func same(s syscall.Sockaddr, a net.Addr) bool {
	tcp, ok := a.(*net.TCPAddr)
	if !ok {
		return false
	}
	var addr netip.AddrPort
	switch s := s.(type) {
	case *syscall.SockaddrInet4:
		addr = netip.AddrPortFrom(netip.AddrFrom4(s.Addr), uint16(s.Port))
	case *syscall.SockaddrInet6:
		addr = netip.AddrPortFrom(netip.AddrFrom16(s.Addr).Unmap(), uint16(s.Port))
	}
	at := tcp.AddrPort()
	return addr == netip.AddrPortFrom(at.Addr().Unmap().WithZone(""), at.Port())
}
