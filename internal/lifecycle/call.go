package lifecycle

import "time"

// Call is the state of one call to a host: it waits for a connection, is written, has ended.
// It is used under its owner's lock.
type Call struct {
	written bool
	ended   bool
}

// MayWrite decides whether a call's first byte may leave now, so long after it was decided.
// within is how long it may wait for that, 0 for no such time; late tells that this is over.
// A call that may be written counts as written from then on.
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

// MayEnd decides whether an outcome counts: the first one does, and none after it.
func (c *Call) MayEnd() bool {
	if c.ended {
		return false
	}
	c.ended = true
	return true
}

// Written tells whether bytes may have left; Ended whether there is an outcome.
func (c *Call) Written() bool { return c.written }
func (c *Call) Ended() bool   { return c.ended }
