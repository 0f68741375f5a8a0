// Package port gives tests addresses to which no connection comes up.
package port

import (
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"
)

// Refusing is an address at the given IP address of this machine that refuses connections.
// Its port stays bound until the test ends: one that was only free before could become
// the port of another test's server.
func Refusing(t testing.TB, ip string) string {
	t.Helper()
	_, address := bind(t, netip.MustParseAddr(ip))
	return address
}

const (
	// fillers are connections that take all places of a backlog of 0.
	fillers = 2
	// fillTime is long for a connection on the same machine that comes up.
	fillTime = 200 * time.Millisecond
)

// Unanswered is an address whose backlog is full: connections to it neither come up nor fail.
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

// bind makes a socket that has a port and does not listen. It is closed when the test ends.
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
	t.Fatalf("%T is no address of the Internet", name)
	return 0, ""
}

// socketAddress is an IP address with any port.
func socketAddress(ip netip.Addr) (family int, anyPort syscall.Sockaddr) {
	if ip.Is4() {
		return syscall.AF_INET, &syscall.SockaddrInet4{Addr: ip.As4()}
	}
	return syscall.AF_INET6, &syscall.SockaddrInet6{Addr: ip.As16()}
}
