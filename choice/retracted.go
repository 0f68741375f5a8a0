package choice

import "time"

// Retracted says that the result of an attempt was another's: a message that was believed to have surely not run
// may have run, sent so long ago.
type Retracted struct {
	ID    string
	Since time.Duration
}

func (Retracted) event() {}

// retract takes in that a message may have run. Where it may not be repeated its final answer comes in this step,
// or with its result if it is out again.
func (c *Chooser) retract(e Retracted) {
	m := c.msgs[e.ID]
	if m == nil || m.ran {
		return
	}
	m.ran, m.ranAt, m.unsure = true, c.now-e.Since, c.now
	if m.last != nil {
		m.ranZone = m.last.Zone
	}
}
