package lifecycle

import (
	"maps"
	"sync"
)

// CloseReason states why the relay ended its side of a client's connection.
type CloseReason string

// The reasons. Their values appear as names in the line of counts and in the trace.
const (
	CloseIdle    CloseReason = "idle"     // idle for too long
	CloseDrain   CloseReason = "drain"    // the relay is shutting down
	CloseEvicted CloseReason = "evicted"  // closed to make room for another connection
	CloseAnswer  CloseReason = "answer"   // the response asked for the close
	CloseFlood   CloseReason = "flood"    // too many bytes after the relay ended its side
	CloseLinger  CloseReason = "linger"   // the client didn't close its side in time
	CloseError   CloseReason = "error"    // a write failed
	CloseClient  CloseReason = "client"   // the client closed the connection
	CloseBadData CloseReason = "rejected" // input that is no valid request, or not complete in time
)

// CloseCounts counts closed client connections by reason. It is safe for concurrent use.
type CloseCounts struct {
	mu     sync.Mutex
	counts map[CloseReason]int
}

// Add counts one connection closed for the given reason.
func (c *CloseCounts) Add(r CloseReason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[CloseReason]int{}
	}
	c.counts[r]++
}

// Counts returns the closed connections by reason since the process started.
func (c *CloseCounts) Counts() map[CloseReason]int {
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
