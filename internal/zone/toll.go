package zone

import (
	"sync"
	"time"

	"basaltcross.example/basaltcross/choice"
	"basaltcross.example/basaltcross/internal/budget"
)

// Toll stands between the core and the budget: it turns what the book allows
// into the module's passages, and books sends that cross. Its methods are safe
// for concurrent use, so that a report may look while the core runs.
type Toll struct {
	own   int
	zones []int // the others

	mu    sync.Mutex
	book  *budget.Book
	told  map[[2]int]choice.Passage
	dirty bool          // something was booked since
	at    time.Duration // last told
}

// refresh is how often the passages are told anew while nothing is booked.
const refresh = 20 * time.Millisecond

// NewToll makes one for a relay in zone own out of so many zones.
func NewToll(book *budget.Book, own, zones int) *Toll {
	t := &Toll{own: own, book: book, told: map[[2]int]choice.Passage{}, dirty: true}
	for z := range zones {
		if z != own {
			t.zones = append(t.zones, z)
		}
	}
	return t
}

// Passages are those that changed since the last call.
func (t *Toll) Passages(now time.Duration) []choice.Passage {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.dirty && now-t.at < refresh {
		return nil
	}
	t.dirty, t.at = false, now
	var out []choice.Passage
	for _, p := range t.book.Passages(now, t.zones) {
		q := choice.Passage{Class: p.Class, Zone: p.Zone, Sends: p.Sends, Urgent: p.Urgent, Again: p.Again}
		k := [2]int{p.Class, p.Zone}
		if old, ok := t.told[k]; !ok || old != q {
			t.told[k] = q
			out = append(out, q)
		}
	}
	return out
}

// Sent books a send to a zone and returns what settles it by the bytes that
// passed; nil where nothing crosses.
func (t *Toll) Sent(now time.Duration, class, partner, to int) func(now time.Duration, passed int64, whole bool) {
	if to == t.own {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.book.Reserve(now, class, partner)
	// The module has counted this send off its passage: tell it anew.
	t.dirty = true
	delete(t.told, [2]int{class, to})
	return func(now time.Duration, passed int64, whole bool) {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.book.Settle(now, g, passed, whole)
		t.dirty = true
	}
}

// Fleet says how many relays share the budget.
func (t *Toll) Fleet(now time.Duration, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.book.Fleet(now, n)
	t.dirty = true
}

// State is what the relay's part of the budget is at, bytes.
type State struct {
	Have      float64 `json:"have"` // below 0 while overdrawn
	Reserved  float64 `json:"reserved"`
	Spent     float64 `json:"spent"`
	Overdrawn float64 `json:"overdrawn"`
	Beyond    float64 `json:"beyond_reserved"`
}

// State looks at the book.
func (t *Toll) State(now time.Duration) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	return State{t.book.Have(now), t.book.Reserved, t.book.Spent, t.book.Overdrawn, t.book.Beyond}
}
