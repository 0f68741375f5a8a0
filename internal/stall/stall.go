// Package stall tells when this process stood still: it was stopped, or got no processor.
package stall

import (
	"sync"
	"time"
)

const (
	// beatInterval is the interval of the heartbeat.
	beatInterval = 20 * time.Millisecond
	// threshold is the time without a heartbeat from which the process counts as stalled.
	threshold = 100 * time.Millisecond
	// maxPeriods bounds the periods that a Monitor remembers.
	maxPeriods = 16
)

// period is a time in which the process stood still.
type period struct{ begin, end time.Time }

// Monitor records a heartbeat on a goroutine of its own. It is safe for concurrent use.
type Monitor struct {
	stop    chan struct{}
	stopped chan struct{}

	mu      sync.Mutex
	beat    time.Time // last heartbeat
	periods []period  // latest stalls, oldest first
}

// Start starts a Monitor.
func Start() *Monitor {
	m := &Monitor{stop: make(chan struct{}), stopped: make(chan struct{}), beat: time.Now()}
	go m.run()
	return m
}

// Stop ends the Monitor's goroutine.
func (m *Monitor) Stop() {
	close(m.stop)
	<-m.stopped
}

func (m *Monitor) run() {
	defer close(m.stopped)
	tick := time.NewTicker(beatInterval)
	defer tick.Stop()
	for {
		select {
		case <-m.stop:
			return
		case <-tick.C:
			m.record(time.Now())
		}
	}
}

// record records a heartbeat.
func (m *Monitor) record(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.late(now) {
		m.periods = append(m.periods, period{m.beat, now})
		m.periods = m.periods[max(0, len(m.periods)-maxPeriods):]
	}
	m.beat = now
}

// late reports whether the heartbeat is overdue. The caller holds mu.
func (m *Monitor) late(now time.Time) bool { return now.Sub(m.beat) > threshold }

// Ending reports whether the process has stood still until now: no heartbeat has followed yet.
func (m *Monitor) Ending(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.late(now)
}

// Since returns the beginning of the first stall that ended after a time; stalled is false if there was none.
func (m *Monitor) Since(from, now time.Time) (begin time.Time, stalled bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.periods {
		if p.end.After(from) {
			return p.begin, true
		}
	}
	return m.beat, m.late(now)
}
