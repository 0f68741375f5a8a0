// Package limit divides a queue of limited capacity fairly among its sources. It does no
// I/O and reads no clock.
package limit

// Share divides a capacity among sources by dynamic thresholds (Choudhury and Hahne,
// IEEE/ACM Transactions on Networking 6(2), 1998, with factor 1): a source may hold as
// many slots as are free. A slot is a place in the queue or a byte. A single source that floods gets half of the capacity, two get a
// third each, and some slots always remain for others. Unlike with fixed quotas, no
// capacity is reserved for sources that do not use it. It is not safe for concurrent use.
type Share struct {
	capacity int            // capacity
	used     int            // slots in use
	bySource map[string]int // slots in use, by source
}

// NewShare returns a Share with a capacity in slots.
func NewShare(capacity int) *Share { return &Share{capacity: capacity, bySource: map[string]int{}} }

// Acquire acquires n slots for a source, all or none. It returns false if that would take the source
// past its threshold or if fewer are free. A source without slots gets them if they are free.
func (s *Share) Acquire(source string, n int) bool {
	held := s.bySource[source]
	if free := s.capacity - s.used; n > free || held > 0 && held+n > free {
		return false
	}
	s.used += n
	s.bySource[source] += n
	return true
}

// Release releases n slots of a source, or all that it has if those are fewer.
func (s *Share) Release(source string, n int) {
	held := s.bySource[source]
	n = min(n, held)
	if s.bySource[source] = held - n; held == n {
		delete(s.bySource, source)
	}
	s.used -= n
}

// ReleaseAll releases all slots.
func (s *Share) ReleaseAll() {
	s.used = 0
	clear(s.bySource)
}

// Len returns the number of slots in use.
func (s *Share) Len() int { return s.used }
