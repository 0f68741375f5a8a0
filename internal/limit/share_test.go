package limit

import "testing"

// One that floods leaves half of the room, two leave a third, and a newcomer
// finds a place; what one leaves the other may have.
func TestShare(t *testing.T) {
	s := NewShare(90)
	fill := func(source string) (n int) {
		for s.Enter(source) {
			n++
		}
		return n
	}
	if n := fill("a"); n != 45 {
		t.Errorf("one alone takes %d of 90", n)
	}
	if n := fill("b"); n != 23 {
		t.Errorf("the second takes %d of the 45 left", n)
	}
	if !s.Enter("c") {
		t.Error("a third finds no place")
	}
	for range 40 {
		s.Leave("a")
	}
	if n := fill("b"); n == 0 {
		t.Error("what was left is not given on")
	}
	for s.Len() < 90 { // many small ones fill it to its bound, not over it
		if !s.Enter(string(rune('A' + s.Len()))) {
			break
		}
	}
	if s.Len() != 90 || s.Enter("z") {
		t.Errorf("%d places taken of 90", s.Len())
	}
	s.Leave("nobody")
	if s.Clear(); s.Len() != 0 || !s.Enter("a") {
		t.Error("not empty after Clear")
	}
}
