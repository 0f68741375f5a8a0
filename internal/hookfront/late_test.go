package hookfront

import (
	"testing"
	"time"
)

// Guards against a call after the time of its message, and for a client that has stopped waiting: the process stood
// still, and the time for which a request waited to be read counted as if it had just been sent.
func TestTimeBeforeARequestIsReadCounts(t *testing.T) {
	const waited, left = 300 * time.Millisecond, 4 * time.Second
	for _, timeout := range []time.Duration{0, waited / 2} {
		f, d := startWith(t, func(o *Options) { o.Connections, o.IdleConnections, o.ClientTimeout = 10, 10, timeout })
		f.mu.Lock() // no connection is accepted meanwhile
		c := dial(t, f)
		answered := make(chan int, 1)
		go func() { answered <- ask(t, c, handInText("late", "notice", "1", "4000", "", "body")) }()
		time.Sleep(waited + 100*time.Millisecond) // the client's bytes arrive in that time
		f.mu.Unlock()
		status := <-answered
		d.mu.Lock()
		switch {
		case timeout > 0 && (status != 503 || len(d.taken) > 0):
			t.Errorf("answered %d and taken %d times, though its client has stopped waiting", status, len(d.taken))
		case timeout == 0 && (status != 202 || len(d.taken) != 1):
			t.Errorf("answered %d and taken %d times, want it accepted", status, len(d.taken))
		case timeout == 0 && d.taken[0].Left > left-waited:
			t.Errorf("%s are left of %s after over %s", d.taken[0].Left, left, waited)
		}
		d.mu.Unlock()
	}
}
