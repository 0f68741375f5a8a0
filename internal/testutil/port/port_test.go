package port

import (
	"errors"
	"net"
	"syscall"
	"testing"
)

// The port of an address that refuses connections is nobody else's while the test runs.
func TestRefusingKeepsItsPort(t *testing.T) {
	for _, ip := range []string{"127.0.0.1", "::1"} {
		address := Refusing(t, ip)
		if conn, err := net.Dial("tcp", address); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("a connection to %s: %v, %v", address, conn, err)
		}
		if l, err := net.Listen("tcp", address); !errors.Is(err, syscall.EADDRINUSE) {
			t.Errorf("a listener on %s: %v, %v", address, l, err)
		}
	}
}
