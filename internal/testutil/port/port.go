// Package port provides tests with addresses to which no connection can be established.
package port

import (
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"
)

// Refusing returns an address, at the given local IP address, that refuses connections.
// Its port stays bound until the test ends, since a port that was merely free could be
// assigned to the server of another test.
func Refusing(t testing.TB, ip string) string {
	t.Helper()
	_, address := bind(t, netip.MustParseAddr(ip))
	return address
}

const (
	// fillers is the number of connections that fill a listen backlog of 0.
	fillers = 2
	// fillTime is the dial timeout of a filler, far above the time to connect over loopback.
	fillTime = 200 * time.Millisecond
)

// Unanswered returns an address whose listen backlog is full: connections to it neither succeed nor fail.
func Unanswered(t testing.TB) string {
	t.Helper()
	socket, address := bind(t, netip.AddrFrom4([4]byte{127, 0, 0, 1}))
	if err := syscall.Listen(socket, 0); err != nil {
		t.Fatal(err)
	}
	for range fillers {
		if filler, err := net.DialTimeout("tcp", address, fillTime); err == nil {
			t.Cleanup(func() { _ = filler.Close() })
		}
	}
	return address
}

// bind returns a socket that is bound to a port and does not listen. It is closed when the test ends.
func bind(t testing.TB, ip netip.Addr) (socket int, address string) {
	t.Helper()
	family, anyPort := socketAddress(ip)
	socket, err := syscall.Socket(family, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(socket) })
	if err := syscall.Bind(socket, anyPort); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(socket)
	if err != nil {
		t.Fatal(err)
	}
	switch name := name.(type) {
	case *syscall.SockaddrInet4:
		return socket, netip.AddrPortFrom(ip, uint16(name.Port)).String()
	case *syscall.SockaddrInet6:
		return socket, netip.AddrPortFrom(ip, uint16(name.Port)).String()
	}
	t.Fatalf("%T is not an IP socket address", name)
	return 0, ""
}

// socketAddress returns the address family and the socket address of ip with port 0, that is, any port.
func socketAddress(ip netip.Addr) (family int, anyPort syscall.Sockaddr) {
	if ip.Is4() {
		return syscall.AF_INET, &syscall.SockaddrInet4{Addr: ip.As4()}
	}
	return syscall.AF_INET6, &syscall.SockaddrInet6{Addr: ip.As16()}
}
