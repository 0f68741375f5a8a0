// Package limit divides a queue of limited capacity fairly among its sources. It does no
// I/O and reads no clock.
package limit

// Share divides a capacity among sources by dynamic thresholds (Choudhury and Hahne,
// IEEE/ACM Transactions on Networking 6(2), 1998, with factor 1): a source may hold as
// many slots as are free. A single source that floods gets half of the capacity, two get a
// third each, and some slots always remain for others. Unlike with fixed quotas, no
// capacity is reserved for sources that do not use it. It is not safe for concurrent use.
type Share struct {
	capacity int            // capacity
	used     int            // slots in use
	bySource map[string]int // slots in use, by source
}

// NewShare returns a Share with a capacity in slots.
func NewShare(capacity int) *Share { return &Share{capacity: capacity, bySource: map[string]int{}} }

// Acquire acquires a slot for a source. It returns false if the source has reached its
// threshold or no slot is free. A source without slots gets one if any is free.
func (s *Share) Acquire(source string) bool {
	if free := s.capacity - s.used; free <= 0 || s.bySource[source] >= max(1, free) {
		return false
	}
	s.used++
	s.bySource[source]++
	return true
}

// Release releases a slot of a source.
func (s *Share) Release(source string) {
	switch n := s.bySource[source]; {
	case n == 0:
		return
	case n == 1:
		delete(s.bySource, source)
	default:
		s.bySource[source] = n - 1
	}
	s.used--
}

// ReleaseAll releases all slots.
func (s *Share) ReleaseAll() {
	s.used = 0
	clear(s.bySource)
}

// Len returns the number of slots in use.
func (s *Share) Len() int { return s.used }
