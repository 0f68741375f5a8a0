// Package limit holds the decisions on who may use how much of a bounded room.
// It does no I/O and reads no clock.
package limit

// Share divides a bounded room among sources by dynamic thresholds (Choudhury
// and Hahne, IEEE/ACM Transactions on Networking 6(2), 1998, with factor 1): a
// source may hold as much as is still free. One that floods gets half of the
// room, two get a third each, and some room is always left for others; none of
// it lies idle for want of a quota. It is not safe for concurrent use.
type Share struct {
	most  int
	total int
	by    map[string]int
}

// NewShare makes a room for most entries.
func NewShare(most int) *Share { return &Share{most: most, by: map[string]int{}} }

// Enter takes a place for a source; false if it holds its share, or all is
// taken. An empty room takes one entry of anybody.
func (s *Share) Enter(source string) bool {
	if free := s.most - s.total; free <= 0 || s.by[source] >= max(1, free) {
		return false
	}
	s.total++
	s.by[source]++
	return true
}

// Leave gives a place back.
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

// Clear gives all places back.
func (s *Share) Clear() {
	s.total = 0
	clear(s.by)
}

// Len is the number of places taken.
func (s *Share) Len() int { return s.total }
