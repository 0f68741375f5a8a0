// Package ledger deduplicates messages by identity. It knows which identities are in
// progress and remembers the final answers of those that have ended, within a limit of
// count and of time.
//
// It does no I/O and reads no clock. It is not safe for concurrent use.
package ledger

import (
	"container/list"
	"errors"
	"time"
)

// Verdict is the kind of a final answer.
type Verdict uint8

// The verdicts. Refused states that the message did not take effect and may be handed in
// again. After Failed it is unknown whether the message took effect.
const (
	Delivered Verdict = iota + 1
	Refused
	Failed
	Abandoned // no answer is due any more
)

// String returns the name of the verdict, and none for 0.
func (v Verdict) String() string {
	return [...]string{"none", "delivered", "refused", "failed", "abandoned"}[v]
}

// Answer is the one final answer of a message.
type Answer struct {
	Verdict Verdict
	// RetryAfter is the time after which a refused message should be handed in again; 0 for none.
	RetryAfter time.Duration
}

// Entry is the state of one identity.
type Entry struct {
	Identity  string
	ID        string        // relay's id of the message
	Evictable bool          // may be evicted early: a repeat does no harm
	Answer    Answer        // Verdict 0 while in progress
	Ended     time.Duration // time of the answer
	element   *list.Element // in the list of ended entries
}

// ErrFull is returned if a new identity could only be stored by evicting one that is in
// progress or whose repeat would do harm.
var ErrFull = errors.New("ledger: all kept identities are under way or must be remembered")

// Ledger stores a limited number of identities, and ended ones for a limited time.
type Ledger struct {
	capacity  int
	retention time.Duration
	entries   map[string]*Entry
	evictable *list.List // ended, may be evicted early; oldest first
	retained  *list.List // ended, stored for the whole retention; oldest first
	// Dropped, if set, is called for identities that were removed.
	Dropped func(identity string)
}

// New returns a ledger for at most capacity identities. Ended ones are removed after the time
// retention, and an identity that was removed counts as new. If the ledger is full, Open evicts
// the oldest ended identity that may be evicted early; if there is none, it fails with
// ErrFull.
func New(capacity int, retention time.Duration) *Ledger {
	return &Ledger{capacity: capacity, retention: retention, entries: map[string]*Entry{}, evictable: list.New(),
		retained: list.New()}
}

// Len returns the number of identities.
func (l *Ledger) Len() int { return len(l.entries) }

// Find returns the entry of an identity, nil if there is none in force. A refusal is in
// force for the time Answer.RetryAfter: a later hand-in is the repeat that was asked for, and
// is a new message. The entry of the refusal remains until Open replaces it.
func (l *Ledger) Find(now time.Duration, identity string) *Entry {
	l.expire(now)
	e := l.entries[identity]
	if e != nil && e.Answer.Verdict == Refused && now >= e.Ended+e.Answer.RetryAfter {
		return nil
	}
	return e
}

// Open adds an identity for which Find returns nil. It replaces a refusal that is not in
// force any more.
func (l *Ledger) Open(now time.Duration, identity, id string, forget bool) (*Entry, error) {
	l.expire(now)
	if refused := l.entries[identity]; refused != nil {
		l.drop(l.evictable, refused.element)
	}
	if len(l.entries) >= l.capacity {
		oldest := l.evictable.Front()
		if oldest == nil {
			return nil, ErrFull
		}
		l.drop(l.evictable, oldest)
	}
	e := &Entry{Identity: identity, ID: id, Evictable: forget}
	l.entries[identity] = e
	return e, nil
}

// End stores the final answer of an identity. If there is one already, End returns false
// and changes nothing.
func (l *Ledger) End(now time.Duration, e *Entry, a Answer) bool {
	if e.Answer.Verdict != 0 {
		return false
	}
	e.Answer, e.Ended = a, now
	ended := l.retained
	if e.Evictable || a.Verdict == Refused {
		ended = l.evictable
	}
	e.element = ended.PushBack(e)
	return true
}

// Reopen adds an identity that was in progress in an earlier run. Reopen and Restore ignore
// the capacity, since these identities have been accepted; Open then fails until
// enough of them have ended or were removed.
func (l *Ledger) Reopen(identity, id string, forget bool) *Entry {
	e := &Entry{Identity: identity, ID: id, Evictable: forget}
	l.entries[identity] = e
	return e
}

// Restore adds an identity that ended in an earlier run. Identities must be restored in the
// order in which they ended.
func (l *Ledger) Restore(ended time.Duration, identity, id string, a Answer, forget bool) {
	l.End(ended, l.Reopen(identity, id, forget), a)
}

// expire removes ended identities whose retention is over.
func (l *Ledger) expire(now time.Duration) {
	for _, ended := range [...]*list.List{l.evictable, l.retained} {
		for e := ended.Front(); e != nil && now-e.Value.(*Entry).Ended >= l.retention; e = ended.Front() {
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
