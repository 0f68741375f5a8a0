package lifecycle

import "time"

// Call is the state of one call to a host: it waits for a connection, has been written, or has
// ended. Its owner's lock guards it.
type Call struct {
	written bool
	ended   bool
}

// MayWrite reports whether the first byte of the call may be written now. waited is the time since
// the decision to make the call; within bounds that time, 0 for no bound. late reports that the
// bound has passed. A call that may be written counts as written from then on.
func (c *Call) MayWrite(waited, within time.Duration) (may, late bool) {
	switch {
	case c.ended || c.written:
		return false, false
	case within > 0 && waited >= within:
		return false, true
	}
	c.written = true
	return true, false
}

// MayEnd reports whether an outcome of the call counts: only the first one does.
func (c *Call) MayEnd() bool {
	if c.ended {
		return false
	}
	c.ended = true
	return true
}

// Written reports whether bytes of the call may have been sent, Ended whether the call has an
// outcome.
func (c *Call) Written() bool { return c.written }
func (c *Call) Ended() bool   { return c.ended }
