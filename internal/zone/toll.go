package zone

import (
	"sync"
	"time"

	"basaltcross.example/basaltcross/choice"
	"basaltcross.example/basaltcross/internal/budget"
)

// Toll connects the core to the budget for traffic between zones: it returns what the account allows
// each class to send, and reserves bytes for calls to other zones. Its methods are safe for concurrent
// use, so that a report can be created while the core runs.
type Toll struct {
	own int
	// Keep, if set before use, is called with the levels of the account after each reservation; it must
	// not block.
	Keep func(levels []float64)

	mu    sync.Mutex
	book  *budget.Book
	dirty bool          // the account has changed since the last call of Tolls
	at    time.Duration // time of the last call of Tolls that returned allowances
}

// refreshInterval is the interval between updates of the allowances while the account does not change.
const refreshInterval = 20 * time.Millisecond

// NewToll returns one for a relay in zone own. If own is below 0, traffic to every zone is charged.
func NewToll(book *budget.Book, own int) *Toll {
	return &Toll{own: own, book: book, dirty: true}
}

// Tolls returns the current allowances; ok is false if they have not changed since the last call.
func (t *Toll) Tolls(now time.Duration) (out choice.ZoneBudget, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.dirty && now-t.at < refreshInterval {
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

// Sent reserves bytes for a call to a zone. It returns a function that settles the reservation with the
// bytes that were transferred, or nil if the call stays in the relay's own zone.
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

// Fleet sets the number of relays that share the budget.
func (t *Toll) Fleet(now time.Duration, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.book.Fleet(now, n)
	t.dirty = true
}

// Resume restores the levels of an earlier run, saved the time ago before now.
func (t *Toll) Resume(levels []float64, ago time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.book.Resume(levels, ago)
	t.dirty = true
}

// State is the state of the relay's share of the budget, in bytes.
type State struct {
	Have      float64 `json:"have"` // current level; below 0 while overdrawn
	Reserved  float64 `json:"reserved"`
	Spent     float64 `json:"spent"`
	Overdrawn float64 `json:"overdrawn"`
	Beyond    float64 `json:"beyond_reserved"`
}

// State returns the current state of the account.
func (t *Toll) State(now time.Duration) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	return State{t.book.Have(now), t.book.Reserved, t.book.Spent, t.book.Overdrawn, t.book.Beyond}
}
