package platform

import (
	"bufio"
	"net"
	"testing"
)

// Guards against the next message of a key that is called while the one before it may still run: a copy of another
// message's delivery counted for that one.
func TestCopyOfADeliveryKeepsTheOrderOfAKey(t *testing.T) {
	s := newFakePlatform(t, "small")
	running := ""
	s.copyingHost(0, func(c net.Conn, r *bufio.Reader, _, call int, id string) bool {
		s.mu.Lock()
		if id == "next" && running != "" && len(s.notices[running]) == 0 {
			t.Errorf("the next message of the key is called while %s runs", running)
		}
		s.mu.Unlock()
		if call > 1 { // the copy of the first answer arrives, and the host works on until the relay has done the next thing
			s.mu.Lock()
			running = id
			s.mu.Unlock()
			writeStatus(c, 200)
			if _, err := r.Peek(1); err == nil {
				t.Errorf("a call follows on the connection while %s runs", id)
			}
			return false
		}
		writeStatus(c, 200)
		s.mu.Lock()
		s.served[id]++
		s.mu.Unlock()
		return true
	})
	n := s.startInProcess("")
	c := s.client()
	if !c.handIn(n.Addr(), "other", "charge", 0, "", nil) {
		t.Fatal("message not accepted")
	}
	s.waitSettled()
	for _, id := range []string{"first", "next"} {
		if !c.handIn(n.Addr(), id, "charge", 0, "key", nil) {
			t.Fatal("message not accepted")
		}
	}
	s.waitSettled()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range []string{"first", "next"} {
		if s.served[id] == 0 {
			t.Errorf("%s is not delivered, its notices are %v", id, s.notices[id])
		}
	}
}
