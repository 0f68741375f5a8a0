// Package lifecycle decides whether something may be done now: a message sent, repeated or
// answered, an exchange with a client answered or closed, a call begun. Core, fronts and
// partner calls ask it before they act, and do not act where it says no. What it forbids is
// a fault of the relay's own: each is counted, told with the id that it concerns, and in
// tests a panic. It does no I/O and reads no clock.
package lifecycle

import (
	"fmt"
	"maps"
	"sync"
)

// Rule is what a violation breaks.
type Rule string

// The rules. Their names are those of the metric and of the log.
const (
	SendAfterEnd       Rule = "send_after_end"       // a call of a message that has ended, was withdrawn or is past its time
	SendWhileOut       Rule = "send_while_out"       // a call of a message that has one out
	SendBeforeRecord   Rule = "send_before_record"   // a call whose records are not on disk
	SendAfterPark      Rule = "send_after_park"      // a call after the relay began to leave
	RepeatUnsafe       Rule = "repeat_unsafe"        // a second effect of a message that may not be repeated
	RepeatAfterWindow  Rule = "repeat_after_window"  // one after its repeats are forgotten
	AnswerTwice        Rule = "answer_twice"         // a second final answer, or a second response
	AnswerUnasked      Rule = "answer_unasked"       // a response without a request
	AnswerBeforeRecord Rule = "answer_before_record" // something told whose record is not on disk
	RefuseAfterSend    Rule = "refuse_after_send"    // a refusal of what may have run and may not be repeated
	CloseUnanswered    Rule = "close_unanswered"     // a connection closed over a request that was read
	AnswerLate         Rule = "answer_late"          // a response that leaves when its client waits no more
)

// Violation is one act that was forbidden.
type Violation struct {
	Rule Rule
	ID   string // of the message or request
	What string // the state that forbade it
}

func (v Violation) Error() string {
	return fmt.Sprintf("lifecycle: %s: %s: %s", v.Rule, v.ID, v.What)
}

// Guard keeps count of violations; nil is one that keeps none. It is safe for concurrent use.
type Guard struct {
	// Told takes each violation; it must not block. May be nil.
	Told func(Violation)
	// Strict has a violation panic, for tests.
	Strict bool

	mu     sync.Mutex
	counts map[Rule]int
}

// Counts of violations by rule.
func (g *Guard) Counts() map[Rule]int {
	if g == nil {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return maps.Clone(g.counts)
}

// forbid counts a violation, and is false for the caller to return.
func (g *Guard) forbid(rule Rule, id, what string) bool {
	if g == nil {
		return false
	}
	g.count(rule, id, what)
	if g.Strict {
		panic(Violation{rule, id, what})
	}
	return false
}

// count counts and tells what can't be forbidden any more.
func (g *Guard) count(rule Rule, id, what string) {
	if g == nil {
		return
	}
	g.mu.Lock()
	if g.counts == nil {
		g.counts = map[Rule]int{}
	}
	g.counts[rule]++
	g.mu.Unlock()
	if g.Told != nil {
		g.Told(Violation{rule, id, what})
	}
}
