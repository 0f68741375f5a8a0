package port

import (
	"errors"
	"net"
	"syscall"
	"testing"
)

// Guards against the port of a refusing address being assigned to another server while the
// test runs: a test that expects a refused connection would then connect to it.
func TestRefusingKeepsItsPort(t *testing.T) {
	for _, ip := range []string{"127.0.0.1", "::1"} {
		address := Refusing(t, ip)
		if conn, err := net.Dial("tcp", address); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("dial %s: got connection %v and error %v, want ECONNREFUSED", address, conn, err)
		}
		if l, err := net.Listen("tcp", address); !errors.Is(err, syscall.EADDRINUSE) {
			t.Errorf("listen on %s: got listener %v and error %v, want EADDRINUSE", address, l, err)
		}
	}
}
