package platform

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
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
