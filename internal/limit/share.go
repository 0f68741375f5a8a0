// Package limit divides a queue of limited capacity fairly among its sources. It does no
// I/O and reads no clock.
package limit

// Share divides a capacity among sources by dynamic thresholds (Choudhury and Hahne,
// IEEE/ACM Transactions on Networking 6(2), 1998, with factor 1): a source may hold as
// many slots as are free. A single source that floods gets half of the capacity, two get a
// third each, and some slots always remain for others. Unlike with fixed quotas, no
// capacity is reserved for sources that do not use it. It is not safe for concurrent use.
type Share struct {
	most  int            // capacity
	total int            // slots in use
	by    map[string]int // slots in use, by source
}

// NewShare returns a Share with a capacity of most slots.
func NewShare(most int) *Share { return &Share{most: most, by: map[string]int{}} }

// Enter acquires a slot for a source. It returns false if the source has reached its
// threshold or no slot is free. A source without slots gets one if any is free.
func (s *Share) Enter(source string) bool {
	if free := s.most - s.total; free <= 0 || s.by[source] >= max(1, free) {
		return false
	}
	s.total++
	s.by[source]++
	return true
}

// Leave releases a slot of a source.
func (s *Share) Leave(source string) {
	switch n := s.by[source]; {
	case n == 0:
		return
	case n == 1:
		delete(s.by, source)
	default:
		s.by[source] = n - 1
	}
	s.total--
}

// Clear releases all slots.
func (s *Share) Clear() {
	s.total = 0
	clear(s.by)
}

// Len returns the number of slots in use.
func (s *Share) Len() int { return s.total }
