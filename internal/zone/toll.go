package zone

import (
	"sync"
	"time"

	"basaltcross.example/basaltcross/choice"
	"basaltcross.example/basaltcross/internal/budget"
)

// Toll stands between the core and the budget: it tells the module what
// the book allows, and books sends that cross. Its methods are safe
// for concurrent use, so that a report may look while the core runs.
type Toll struct {
	own int
	// Keep, if set before use, takes the levels of the book after each send that
	// crosses; it must not block.
	Keep func(levels []float64)

	mu    sync.Mutex
	book  *budget.Book
	dirty bool          // something was booked since
	at    time.Duration // last told
}

// refresh is how often the tolls are told anew while nothing is booked.
const refresh = 20 * time.Millisecond

// NewToll makes one for a relay in zone own; below 0 all zones cost.
func NewToll(book *budget.Book, own int) *Toll {
	return &Toll{own: own, book: book, dirty: true}
}

// Tolls are what the module is to know now; ok is false if it knows.
func (t *Toll) Tolls(now time.Duration) (out choice.ZoneBudget, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.dirty && now-t.at < refresh {
		return out, false
	}
	t.dirty, t.at = false, now
	left, classes := t.book.Tolls(now)
	out = choice.ZoneBudget{Home: t.own, Remaining: left, Classes: make([]choice.ClassBudget, 0, len(classes))}
	for _, k := range classes {
		out.Classes = append(out.Classes, choice.ClassBudget(k))
	}
	return out, true
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
	if t.dirty = true; t.Keep != nil {
		t.Keep(t.book.Levels())
	}
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

// Resume goes on from the levels of an earlier run.
func (t *Toll) Resume(levels []float64, ago time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.book.Resume(levels, ago)
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
