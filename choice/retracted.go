package choice

import "time"

// Retracted reports that the reported result of an attempt belonged to another attempt: a message that was believed
// not to have run may have run.
type Retracted struct {
	ID    string
	Since time.Duration // time since that attempt was sent
}

func (Retracted) event() {}

// retract records that a message may have run. If it may not be repeated, its final answer follows in this step,
// or with its result if it is in flight again.
func (c *Chooser) retract(e Retracted) {
	m := c.messages[e.ID]
	if m == nil || m.mayHaveRun {
		return
	}
	m.mayHaveRun, m.firstRunAt, m.unsureAt = true, c.now-e.Since, c.now
	if m.lastHost != nil {
		m.firstRunZone = m.lastHost.Zone
	}
}
