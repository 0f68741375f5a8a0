// Package ledger keeps what a relay owes: which identities are under way, and
// which final answers ended ones got. It is state without I/O; its owner calls
// it from one goroutine and hands it the time.
package ledger

import (
	"container/list"
	"errors"
	"time"
)

// Verdict is a final answer's word.
type Verdict uint8

// The final answers. Refused says that the message did not take effect and may
// be handed in again; Failed promises nothing.
const (
	Delivered Verdict = iota + 1
	Refused
	Failed
	Abandoned // nobody is owed an answer any more
)

func (v Verdict) String() string {
	return [...]string{"none", "delivered", "refused", "failed", "abandoned"}[v]
}

// Answer is the one final answer of a message.
type Answer struct {
	Verdict Verdict
	// After is advice with Refused: come again not before then; 0 for none.
	After time.Duration
}

// Entry is one identity.
type Entry struct {
	Identity string
	ID       string // the message's name within the relay
	Forget   bool   // may be forgotten early: a second effect does no harm
	Answer   Answer // Verdict 0 while under way
	Ended    time.Duration
	place    *list.Element
}

// ErrFull says that no further identity can be kept without forgetting one
// whose second effect would do harm.
var ErrFull = errors.New("ledger: all kept identities are under way or must be remembered")

// Ledger is bounded by a count of identities, and keeps ended ones for a time.
type Ledger struct {
	count   int
	keep    time.Duration
	entries map[string]*Entry
	loose   *list.List // ended, may be forgotten early; oldest first
	firm    *list.List // ended, kept for the whole time; oldest first
	// Dropped, if set, is told of identities that are kept no more.
	Dropped func(identity string)
}

// New returns a ledger for at most count identities that keeps ended ones for
// the given time. Past the time an identity is new again. At the count the
// oldest ended identity that may be forgotten early goes first; where there is
// none, Open fails with ErrFull.
func New(count int, keep time.Duration) *Ledger {
	return &Ledger{count: count, keep: keep, entries: map[string]*Entry{}, loose: list.New(), firm: list.New()}
}

// Len is the number of identities kept.
func (l *Ledger) Len() int { return len(l.entries) }

// Find returns the entry of an identity, nil if there is none in force. One
// that was refused is in force until the advised time; who comes after it has
// come again, as told, and is tried anew. It is kept until Open replaces it.
func (l *Ledger) Find(now time.Duration, identity string) *Entry {
	l.expire(now)
	e := l.entries[identity]
	if e != nil && e.Answer.Verdict == Refused && now >= e.Ended+e.Answer.After {
		return nil
	}
	return e
}

// Open begins an identity that Find does not know, in place of a refusal that is
// not in force any more.
func (l *Ledger) Open(now time.Duration, identity, id string, forget bool) (*Entry, error) {
	l.expire(now)
	if refused := l.entries[identity]; refused != nil {
		l.drop(l.loose, refused.place)
	}
	if len(l.entries) >= l.count {
		oldest := l.loose.Front()
		if oldest == nil {
			return nil, ErrFull
		}
		l.drop(l.loose, oldest)
	}
	e := &Entry{Identity: identity, ID: id, Forget: forget}
	l.entries[identity] = e
	return e, nil
}

// End writes down the final answer of an identity, once: a second one is
// returned as false and changes nothing.
func (l *Ledger) End(now time.Duration, e *Entry, a Answer) bool {
	if e.Answer.Verdict != 0 {
		return false
	}
	e.Answer, e.Ended = a, now
	ended := l.firm
	if e.Forget || a.Verdict == Refused {
		ended = l.loose
	}
	e.place = ended.PushBack(e)
	return true
}

// Reopen takes in an identity that was under way in an earlier run, and Restore one
// that ended then; the oldest come first. Both hold what was promised, also past
// the count: then Open finds no room until they have ended or are forgotten.
func (l *Ledger) Reopen(identity, id string, forget bool) *Entry {
	e := &Entry{Identity: identity, ID: id, Forget: forget}
	l.entries[identity] = e
	return e
}

// Restore takes in an identity that ended at a time.
func (l *Ledger) Restore(ended time.Duration, identity, id string, a Answer, forget bool) {
	l.End(ended, l.Reopen(identity, id, forget), a)
}

func (l *Ledger) expire(now time.Duration) {
	for _, ended := range [...]*list.List{l.loose, l.firm} {
		for e := ended.Front(); e != nil && now-e.Value.(*Entry).Ended >= l.keep; e = ended.Front() {
			l.drop(ended, e)
		}
	}
}

func (l *Ledger) drop(ended *list.List, e *list.Element) {
	identity := e.Value.(*Entry).Identity
	delete(l.entries, identity)
	if ended.Remove(e); l.Dropped != nil {
		l.Dropped(identity)
	}
}
