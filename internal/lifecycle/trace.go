package lifecycle

import (
	"maps"
	"sync"
)

// Reason states why the relay ended its side of a client's connection.
type Reason string

// The reasons. Their values appear as names in the line of counts and in the trace.
const (
	CloseIdle    Reason = "idle"     // idle for too long
	CloseDrain   Reason = "drain"    // the relay is shutting down
	CloseEvicted Reason = "evicted"  // closed to make room for another connection
	CloseAnswer  Reason = "answer"   // the response asked for the close
	CloseFlood   Reason = "flood"    // too many bytes after the relay ended its side
	CloseLinger  Reason = "linger"   // the client didn't close its side in time
	CloseError   Reason = "error"    // a write failed
	CloseClient  Reason = "client"   // the client closed the connection
	CloseBadData Reason = "rejected" // input that is no valid request, or not complete in time
)

// Closes counts closed client connections by reason. It is safe for concurrent use.
type Closes struct {
	mu     sync.Mutex
	counts map[Reason]int
}

// Add counts one connection closed for the given reason.
func (c *Closes) Add(r Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[Reason]int{}
	}
	c.counts[r]++
}

// Counts returns the closed connections by reason since the process started.
func (c *Closes) Counts() map[Reason]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.counts)
}

// Trace is called with each step of a request: its id, the step, and a detail. A nil Trace records
// nothing. It must not block.
type Trace func(id, step, detail string)

// Step records one step if tracing is on.
func (t Trace) Step(id, step, detail string) {
	if t != nil {
		t(id, step, detail)
	}
}
