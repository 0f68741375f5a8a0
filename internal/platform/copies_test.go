package platform

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"
)

// copyingHost serves a destination on a raw listener, so that it can write an answer a second time. serve handles the
// call with the given number, from 1, on the connection with the given number, from 0; false closes the connection.
func (s *fakePlatform) copyingHost(dest int, serve func(c net.Conn, r *bufio.Reader, connection, call int, id string) bool) {
	s.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = l.Close() })
	s.list.Targets[dest].Endpoint = l.Addr().String()
	go func() {
		for connection := 0; ; connection++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for call := 1; ; call++ {
					request, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					if !serve(c, r, connection, call, request.Header.Get("X-Txn")) {
						return
					}
				}
			}()
		}
	}()
}

func writeStatus(c net.Conn, status int) {
	fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status))
}

// Guards against a message that must not be repeated and runs twice, because a copy of the refusal before it on its
// connection counts as its own while its host runs it.
func TestCopyOfARefusalDoesNotRunAMessageTwice(t *testing.T) {
	s := newFakePlatform(t, "small")
	s.copyingHost(0, func(c net.Conn, r *bufio.Reader, connection, call int, id string) bool {
		if connection == 0 && call == 1 {
			writeStatus(c, 503)
			return true
		}
		s.mu.Lock()
		s.runs[id]++
		s.mu.Unlock()
		if call > 1 { // the copy of the refusal arrives, and the host works on until the relay has done the next thing
			writeStatus(c, 503)
			_, err := r.Peek(1)
			return err == nil
		}
		writeStatus(c, 200)
		s.mu.Lock()
		s.served[id]++
		s.mu.Unlock()
		return true
	})
	n := s.startInProcess("")
	if !s.client().handIn(n.Addr(), "once", "charge", 0, "", nil) {
		t.Fatal("message not accepted")
	}
	s.waitSettled()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs["once"] != 1 {
		t.Errorf("the message took effect %d times, want 1", s.runs["once"])
	}
}

// hangsBehindACopy hands in two messages. The host answers the first one twice, so that the copy counts for the
// second, which the host never finishes.
func (s *fakePlatform) hangsBehindACopy(left time.Duration) (c *client, heard chan struct{}) {
	end := make(chan struct{})
	s.t.Cleanup(func() { close(end) })
	heard = make(chan struct{})
	s.copyingHost(0, func(c net.Conn, _ *bufio.Reader, _, call int, id string) bool {
		switch call {
		case 1:
			writeStatus(c, 200)
			s.mu.Lock()
			s.served[id]++
			s.mu.Unlock()
			return true
		case 2:
			writeStatus(c, 200)
			return true // reads on: the relay sends the next call, since it has read the copy
		}
		close(heard)
		<-end
		return false
	})
	c = s.client()
	c.left = left
	return c, heard
}

// Guards against a message that gets no final answer: a copy of the answer before it on its connection counts as its
// delivery, and its host doesn't finish it within its time.
func TestCopyOfADeliveryDoesNotLoseAMessage(t *testing.T) {
	s := newFakePlatform(t, "small")
	c, _ := s.hangsBehindACopy(2 * time.Second)
	n := s.startInProcess("")
	for _, id := range []string{"first", "second"} {
		if !c.handIn(n.Addr(), id, "charge", 0, "", nil) {
			t.Fatal("message not accepted")
		}
		if id == "first" {
			s.waitSettled()
		}
	}
	s.waitSettled()
	s.mu.Lock()
	defer s.mu.Unlock()
	if got := fmt.Sprint(s.notices["second"]); got != "[dead]" {
		t.Errorf("notices %s, want [dead]", got)
	}
}

// closedOrServed waits until a channel is closed or a message has been served, and reports whether it is closed. A
// message that was not handed in counts as served.
func (s *fakePlatform) closedOrServed(closed chan struct{}, id string) bool {
	s.t.Helper()
	for end := time.Now().Add(40 * time.Second); time.Now().Before(end); {
		select {
		case <-closed:
			return true
		case <-time.After(time.Millisecond):
		}
		s.mu.Lock()
		served := s.served[id] > 0 || !s.taken[id]
		s.mu.Unlock()
		if served {
			return false
		}
	}
	s.t.Fatalf("%s was not served within 40 s", id)
	return false
}

// Guards against the same where the process is killed before the time of the message is over.
func TestCopyOfADeliveryDoesNotLoseAMessageOverARestart(t *testing.T) {
	s := newFakePlatform(t, "small")
	c, heard := s.hangsBehindACopy(8 * time.Second)
	addr := freeAddr(t)
	p := s.start(addr)
	for _, id := range []string{"first", "second"} {
		if !c.handIn(addr, id, "notice", 0, "", nil) {
			t.Fatal("message not accepted")
		}
		if id == "first" {
			s.waitSettled()
		}
	}
	// A further call on the connection shows that the copy has ended the second message.
	for i := 0; !s.closedOrServed(heard, fmt.Sprint("next", i-1)); i++ {
		if !c.handIn(addr, fmt.Sprint("next", i), "notice", 0, "", nil) {
			t.Fatal("message not accepted")
		}
	}
	_ = p.end(t, syscall.SIGKILL)
	s.start(addr)
	s.waitSettled()
	s.mu.Lock()
	defer s.mu.Unlock()
	if got := fmt.Sprint(s.notices["second"]); got != "[dead]" {
		t.Errorf("notices %s, want [dead]", got)
	}
}
