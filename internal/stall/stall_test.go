package stall

import (
	"testing"
	"time"
)

// Guards against a stall that is not seen, before or after the heartbeat that ends it, and against one that counts
// although it had ended.
func TestStallIsSeenUntilItHasEnded(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	m := &Monitor{beat: at(0)}
	m.record(at(20))
	m.record(at(90)) // late, but no stall
	if begin, stalled := m.Since(at(0), at(110)); stalled || m.Ending(at(110)) {
		t.Errorf("stalled since %v although the heartbeat was in time", begin.Sub(start))
	}
	for _, recorded := range []bool{false, true} {
		if recorded {
			m.record(at(700))
		}
		if begin, stalled := m.Since(at(600), at(700)); !stalled || begin != at(90) {
			t.Errorf("recorded %v: stalled %v since %v, want since 90ms", recorded, stalled, begin.Sub(start))
		}
	}
	if begin, stalled := m.Since(at(710), at(720)); stalled {
		t.Errorf("stalled since %v, which had ended", begin.Sub(start))
	}
	for i := range 3 * maxPeriods {
		m.record(at(1000 + 200*i))
	}
	if len(m.periods) != maxPeriods {
		t.Errorf("%d stalls are remembered, want %d", len(m.periods), maxPeriods)
	}
}
