package lifecycle

import "time"

// Repeatability states what a second effect of a message does at the host.
type Repeatability int

// The kinds of messages, by the harm of a repeat.
const (
	Repeatable         Repeatability = iota // a repeat does no harm
	RepeatableInWindow                      // the host recognizes a repeat within a window
	NotRepeatable                           // a repeat does harm
)

// Stage is the state of a message.
type Stage int

// The stages of a message.
const (
	Waiting Stage = iota // waits for its first call or for a retry
	Calling              // a call is in progress
	Ended                // the final answer is decided and nothing is sent any more
)

// Message is the state of one message. It belongs to one goroutine. All times are readings of one
// monotonic clock.
type Message struct {
	ID       string
	Repeat   Repeatability
	Window   time.Duration // with RepeatableInWindow: how long after the first call the host recognizes a repeat
	Deadline time.Duration // deadline; nothing is sent after it
	// Durable marks a message that is in the journal and survives a restart: actions on it wait for
	// its records.
	Durable bool
	// RespondBy is the deadline for the answer to the client's hand-in, 0 for none.
	RespondBy time.Duration

	stage      Stage
	mayHaveRun bool          // an earlier call may have taken effect
	firstRun   time.Duration // start of the first call that may have taken effect
	sentAt     time.Duration // start of the latest call
	answered   bool          // the final answer has been given
	endLearned bool          // the end of a call said that the message has ended
}

// Restore sets the state known from before a restart: whether a call may have taken effect, and
// when the first such call was sent.
func (m *Message) Restore(mayHaveRun bool, firstRun time.Duration) {
	m.mayHaveRun, m.firstRun = mayHaveRun, firstRun
}

// Stage returns the current stage of the message.
func (m *Message) Stage() Stage { return m.stage }

// MaySend reports whether a call of the message may be made now. shuttingDown states that
// the relay is shutting down. The call counts as in progress from then on.
func (m *Message) MaySend(g *Guard, now time.Duration, shuttingDown bool) bool {
	switch {
	case m.stage == Ended:
		return g.forbid(SendAfterEnd, m.ID, "ended")
	case now > m.Deadline:
		return g.forbid(SendAfterEnd, m.ID, "its deadline has passed")
	case m.endLearned:
		return g.forbid(SendAfterEnd, m.ID, "an answer said that it has ended")
	case m.stage == Calling:
		return g.forbid(SendWhileOut, m.ID, "a call is in progress")
	case shuttingDown:
		return g.forbid(SendAfterPark, m.ID, "the relay is shutting down")
	case m.mayHaveRun && m.Repeat == NotRepeatable:
		return g.forbid(RepeatUnsafe, m.ID, "a call may have taken effect")
	case m.mayHaveRun && m.Repeat == RepeatableInWindow && now-m.firstRun > m.Window:
		return g.forbid(RepeatAfterWindow, m.ID, "the window for repeats has passed")
	}
	m.stage, m.sentAt = Calling, now
	return true
}

// MayBegin reports whether the first byte of the call in progress may be sent now. recorded states
// that all records on which the call depends are on disk.
func (m *Message) MayBegin(g *Guard, now time.Duration, recorded bool) bool {
	switch {
	case m.stage != Calling:
		return g.forbid(SendAfterEnd, m.ID, "no call is in progress")
	case now > m.Deadline:
		return g.forbid(SendAfterEnd, m.ID, "its deadline has passed")
	case m.Durable && !recorded:
		return g.forbid(SendBeforeRecord, m.ID, "a record is not yet on disk")
	}
	m.sentAt = now
	return true
}

// CallEnded records the end of a call, and what follows from it. noEffect states that the call certainly had no
// effect.
func (m *Message) CallEnded(noEffect bool, next Consequence) {
	m.endLearned = m.endLearned || next != MayCallAgain
	if m.stage == Calling {
		m.stage = Waiting
	}
	if !noEffect && !m.mayHaveRun {
		m.mayHaveRun, m.firstRun = true, m.sentAt
	}
}

// MayHaveRun reports whether a call of the message may have taken effect.
func (m *Message) MayHaveRun() bool { return m.mayHaveRun }

// FailsInsteadOfRefusal reports whether a message that should be refused fails instead. A refusal
// promises the client that nothing took effect, or that a repeat does no harm.
func (m *Message) FailsInsteadOfRefusal() bool { return m.mayHaveRun && m.Repeat == NotRepeatable }

// Response is the answer that the hand-in of a message may get now.
type Response int

// The responses to a hand-in.
const (
	RespondLater       Response = iota // none yet: records are being written, and there is time left
	RespondDecision                    // the decision: all records about the message are on disk
	RespondAccepted                    // accepted: the message's record is on disk and survives a restart
	RespondNotAccepted                 // not accepted: the message's record was withdrawn
)

// MayRespond returns which response the hand-in may get now. recorded states that all records about
// the message are on disk. Past RespondBy, MayRespond calls withdraw to take the message's own
// record back; withdraw returns false if that record is on disk already. So no client is told that its
// message was not accepted while a later process sends it, and none the other way round.
func (m *Message) MayRespond(now time.Duration, recorded bool, withdraw func() bool) Response {
	switch {
	case !m.Durable || recorded:
		return RespondDecision
	case m.RespondBy == 0 || now < m.RespondBy:
		return RespondLater
	case !withdraw():
		return RespondAccepted
	}
	m.RecordWithdrawn()
	return RespondNotAccepted
}

// RecordWithdrawn marks the message as unknown to later processes, because its own record was
// withdrawn.
func (m *Message) RecordWithdrawn() { m.Durable = false }

// MayEnd reports whether the message may get its final answer now, and ends it if so. A refusal
// promises that nothing took effect, or that a repeat does no harm.
func (m *Message) MayEnd(g *Guard, refusal bool) bool {
	switch {
	case m.stage == Ended:
		return g.forbid(AnswerTwice, m.ID, "ended")
	case refusal && m.mayHaveRun && m.Repeat == NotRepeatable:
		return g.forbid(RefuseAfterSend, m.ID, "a call may have taken effect")
	}
	m.stage = Ended
	return true
}

// MayAnswer reports whether the final answer may leave the relay. recorded states that the record
// of the answer is on disk. Past the message's deadline it need not be, because a later process
// doesn't send the message either.
func (m *Message) MayAnswer(g *Guard, now time.Duration, recorded bool) bool {
	switch {
	case m.answered:
		return g.forbid(AnswerTwice, m.ID, "told")
	case m.Durable && !recorded && now < m.Deadline:
		return g.forbid(AnswerBeforeRecord, m.ID, "its record is not yet on disk")
	}
	m.answered = true
	return true
}
