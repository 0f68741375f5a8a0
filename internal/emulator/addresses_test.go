package emulator

import "testing"

// Guards against a node that follows another node's agent: the address that its agent has left becomes that of the
// other one, while the node restarts and doesn't know of the move.
func TestAddressesAreNotUsedTwice(t *testing.T) {
	p, err := New(1)
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	a, err := p.Agent()
	if err != nil {
		t.Fatal(err)
	}
	used := map[string]bool{}
	for i := range 2000 {
		var addr string
		if i%2 == 0 {
			addr, err = p.FreeAddr()
		} else {
			err = a.ChangeAddress()
			addr = a.Addr()
		}
		if err != nil {
			t.Fatal(err)
		}
		if used[addr] {
			t.Fatalf("%s is used a second time, after %d addresses", addr, i)
		}
		used[addr] = true
	}
}
