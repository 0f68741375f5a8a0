package zone

import (
	"sync"
	"time"

	"basaltcross.example/basaltcross/choice"
	"basaltcross.example/basaltcross/internal/budget"
)

// Budget connects the core to the budget for traffic between zones: it returns what the account allows
// each class to send, and reserves bytes for calls to other zones. Its methods are safe for concurrent
// use, so that a report can be created while the core runs.
type Budget struct {
	own int
	// OnReserve, if set before use, is called with the levels of the account after each reservation; it must
	// not block.
	OnReserve func(levels []float64)

	mu      sync.Mutex
	account *budget.Account
	dirty   bool          // the account has changed since the last call of Allowances
	at      time.Duration // time of the last call of Allowances that returned true
}

// refreshInterval is the interval between updates of the allowances while the account does not change.
const refreshInterval = 20 * time.Millisecond

// NewBudget returns a Budget for a relay in zone own. If own is below 0, traffic to every zone is charged.
func NewBudget(account *budget.Account, own int) *Budget {
	return &Budget{own: own, account: account, dirty: true}
}

// Allowances returns the current allowances; ok is false if they have not changed since the last call.
func (t *Budget) Allowances(now time.Duration) (out choice.ZoneBudget, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.dirty && now-t.at < refreshInterval {
		return out, false
	}
	t.dirty, t.at = false, now
	left, classes := t.account.Allowances(now)
	out = choice.ZoneBudget{Home: t.own, Remaining: left, Classes: make([]choice.ClassBudget, 0, len(classes))}
	for _, k := range classes {
		out.Classes = append(out.Classes, choice.ClassBudget(k))
	}
	return out, true
}

// Reserve reserves bytes for a call to a zone. It returns a function that settles the reservation with the
// bytes that were transferred, or nil if the call stays in the relay's own zone.
func (t *Budget) Reserve(now time.Duration, class, partner, to int) func(now time.Duration, passed int64, whole bool) {
	if to == t.own {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.account.Reserve(now, class, partner)
	if t.dirty = true; t.OnReserve != nil {
		t.OnReserve(t.account.Levels())
	}
	return func(now time.Duration, passed int64, whole bool) {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.account.Settle(now, g, passed, whole)
		t.dirty = true
	}
}

// Fleet sets the number of relays that share the budget.
func (t *Budget) Fleet(now time.Duration, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.account.Fleet(now, n)
	t.dirty = true
}

// Resume restores the levels of an earlier run, saved the time ago before now.
func (t *Budget) Resume(levels []float64, ago time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.account.Resume(levels, ago)
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
func (t *Budget) State(now time.Duration) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	return State{t.account.Level(now), t.account.Reserved, t.account.Spent, t.account.Overdrawn, t.account.Beyond}
}
