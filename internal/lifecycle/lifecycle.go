// Package lifecycle decides whether an action is allowed in the current state: sending, repeating
// or answering a message, answering or closing a client's connection, starting a call. The core,
// the fronts and the partner calls ask it before they act, and don't act if it refuses. A refused
// action is a bug of the relay: it is counted, reported with the id of the message or request, and
// panics in tests.
//
// The package does no I/O and reads no clock; callers pass the time.
package lifecycle

import (
	"fmt"
	"maps"
	"sync"
)

// Rule names the rule that a violation breaks.
type Rule string

// The rules. Their values appear as names in the metric and in the log.
const (
	SendAfterEnd       Rule = "send_after_end"       // call of a message that is ended, withdrawn or past its deadline
	SendWhileOut       Rule = "send_while_out"       // second call of a message while one is in progress
	SendBeforeRecord   Rule = "send_before_record"   // call whose records are not yet on disk
	SendAfterPark      Rule = "send_after_park"      // call after the relay began to shut down
	RepeatUnsafe       Rule = "repeat_unsafe"        // possible second effect of a message that must not be repeated
	RepeatAfterWindow  Rule = "repeat_after_window"  // repeat after the host has forgotten the first call
	AnswerTwice        Rule = "answer_twice"         // second final answer, or second response to a request
	AnswerUnasked      Rule = "answer_unasked"       // response without a request
	AnswerBeforeRecord Rule = "answer_before_record" // answer given before its record is on disk
	RefuseAfterSend    Rule = "refuse_after_send"    // refusal though a call may have taken effect and repeats do harm
	CloseUnanswered    Rule = "close_unanswered"     // connection closed while a request that was read has no response
	AnswerLate         Rule = "answer_late"          // response written after its client stopped waiting
)

// Violation describes one refused action.
type Violation struct {
	Rule  Rule
	ID    string // id of the message or request
	State string // state in which the action was refused
}

func (v Violation) Error() string {
	return fmt.Sprintf("lifecycle: %s: %s: %s", v.Rule, v.ID, v.State)
}

// Guard counts violations. A nil Guard still refuses, but counts and reports nothing. A Guard is
// safe for concurrent use.
type Guard struct {
	// OnViolation is called with each violation and must not block. It may be nil.
	OnViolation func(Violation)
	// Strict makes a violation panic, for tests.
	Strict bool

	mu     sync.Mutex
	counts map[Rule]int
}

// Counts returns the violations so far by rule.
func (g *Guard) Counts() map[Rule]int {
	if g == nil {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return maps.Clone(g.counts)
}

// forbid counts a violation and returns false, for the caller to return.
func (g *Guard) forbid(rule Rule, id, state string) bool {
	if g == nil {
		return false
	}
	g.count(rule, id, state)
	if g.Strict {
		panic(Violation{rule, id, state})
	}
	return false
}

// count counts and reports a violation that is not refused.
func (g *Guard) count(rule Rule, id, state string) {
	if g == nil {
		return
	}
	g.mu.Lock()
	if g.counts == nil {
		g.counts = map[Rule]int{}
	}
	g.counts[rule]++
	g.mu.Unlock()
	if g.OnViolation != nil {
		g.OnViolation(Violation{rule, id, state})
	}
}
