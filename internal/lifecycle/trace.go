package lifecycle

import (
	"maps"
	"sync"
)

// Reason is why the relay ended its side of a client's connection.
type Reason string

// The reasons. Their names are those of the count line and of the trace.
const (
	CloseIdle    Reason = "idle"     // silent for too long
	CloseDrain   Reason = "drain"    // the relay leaves
	CloseEvicted Reason = "evicted"  // to make room
	CloseAnswer  Reason = "answer"   // the answer said so
	CloseFlood   Reason = "flood"    // bytes without end behind the relay's end
	CloseLinger  Reason = "linger"   // the client did not close in time
	CloseError   Reason = "error"    // writing failed
	CloseClient  Reason = "client"   // the client's end
	CloseBadData Reason = "rejected" // no request, or not in time
)

// Closes counts connections by the reason for their end. It is safe for concurrent use.
type Closes struct {
	mu     sync.Mutex
	counts map[Reason]int
}

// Add counts one.
func (c *Closes) Add(r Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[Reason]int{}
	}
	c.counts[r]++
}

// Counts since the process began.
func (c *Closes) Counts() map[Reason]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.counts)
}

// Trace takes each step of a request: its id, what happened, and with what. nil takes none.
// It must not block.
type Trace func(id, step, with string)

// Step tells one, if anybody listens.
func (t Trace) Step(id, step, with string) {
	if t != nil {
		t(id, step, with)
	}
}
