package limit

import "testing"

// Guards against a source that takes all slots: one that floods leaves half of them, two
// leave a third, and a third source gets one. Released slots can be acquired by others.
func TestShare(t *testing.T) {
	s := NewShare(90)
	fill := func(source string) (n int) {
		for s.Acquire(source) {
			n++
		}
		return n
	}
	if n := fill("a"); n != 45 {
		t.Errorf("the first source got %d of 90 slots, want 45", n)
	}
	if n := fill("b"); n != 23 {
		t.Errorf("the second source got %d of the 45 free slots, want 23", n)
	}
	if !s.Acquire("c") {
		t.Error("a third source got no slot")
	}
	for range 40 {
		s.Release("a")
	}
	if n := fill("b"); n == 0 {
		t.Error("released slots cannot be acquired by another source")
	}
	for s.Len() < 90 { // many small sources fill it up to its capacity
		if !s.Acquire(string(rune('A' + s.Len()))) {
			break
		}
	}
	if s.Len() != 90 || s.Acquire("z") {
		t.Errorf("%d slots in use, want 90 and no further one", s.Len())
	}
	s.Release("nobody")
	if s.ReleaseAll(); s.Len() != 0 || !s.Acquire("a") {
		t.Error("slots in use after ReleaseAll")
	}
}
