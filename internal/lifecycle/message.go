package lifecycle

import "time"

// Repeat is what a second effect of a message does.
type Repeat int

// The kinds of messages.
const (
	Freely   Repeat = iota // no harm
	InWindow               // none while its repeats are remembered
	Never                  // harm
)

// Stage is how far a message has come.
type Stage int

// The stages of a message.
const (
	Held  Stage = iota // it waits for a call, or for a retry
	Out                // a call of it is out
	Ended              // its final answer is decided; nothing is sent any more
)

// Message is the state of one message. Its owner is one goroutine. Times are by one clock,
// which nobody sets.
type Message struct {
	ID     string
	Repeat Repeat
	Window time.Duration // with InWindow: repeats are remembered so long after the first call
	Due    time.Duration // nothing is sent later
	// Kept messages outlive the process: what is done with them waits for their records.
	Kept bool
	// RespondBy is when whoever handed the message in must have its answer; 0 for no such time.
	RespondBy time.Duration

	stage    Stage
	mayRun   bool
	firstRun time.Duration // of the calls that may have run
	sent     time.Duration // of the call that is out
	unsure   time.Duration // the answer to the last call may be another's until then
	told     bool
}

// Restore takes over what an earlier process knew: whether a call may have run, and when the
// first such one was sent.
func (m *Message) Restore(mayRun bool, firstRun time.Duration) {
	m.mayRun, m.firstRun = mayRun, firstRun
}

// Stage is how far the message has come.
func (m *Message) Stage() Stage { return m.stage }

// MaySend decides whether a call may be made now. parked tells that the relay leaves. A call
// that may be made is out from then on.
func (m *Message) MaySend(g *Guard, now time.Duration, parked bool) bool {
	switch {
	case m.stage == Ended:
		return g.forbid(SendAfterEnd, m.ID, "ended")
	case now > m.Due:
		return g.forbid(SendAfterEnd, m.ID, "its time is over")
	case m.stage == Out:
		return g.forbid(SendWhileOut, m.ID, "a call is out")
	case parked:
		return g.forbid(SendAfterPark, m.ID, "the relay leaves")
	case m.mayRun && m.Repeat == Never:
		return g.forbid(RepeatUnsafe, m.ID, "a call may have run")
	case m.mayRun && m.Repeat == InWindow && now-m.firstRun > m.Window:
		return g.forbid(RepeatAfterWindow, m.ID, "its repeats are forgotten")
	}
	m.stage, m.sent = Out, now
	return true
}

// MayBegin decides whether the first byte of the call that is out may leave now. recorded
// tells whether all records that it rests on are on disk.
func (m *Message) MayBegin(g *Guard, now time.Duration, recorded bool) bool {
	switch {
	case m.stage != Out:
		return g.forbid(SendAfterEnd, m.ID, "no call is out")
	case now > m.Due:
		return g.forbid(SendAfterEnd, m.ID, "its time is over")
	case m.Kept && !recorded:
		return g.forbid(SendBeforeRecord, m.ID, "a record waits")
	}
	m.sent = now
	return true
}

// Back takes in how a call ended: surely without an effect, or not.
func (m *Message) Back(noEffect bool) {
	if m.stage == Out {
		m.stage = Held
	}
	if !noEffect && !m.mayRun {
		m.mayRun, m.firstRun = true, m.sent
	}
}

// Doubt takes in that a call which had surely no effect, sent at a moment, may have run after all.
func (m *Message) Doubt(sent time.Duration) {
	if !m.mayRun {
		m.mayRun, m.firstRun = true, sent
	}
}

// MayHaveRun tells whether a call of the message may have run.
func (m *Message) MayHaveRun() bool { return m.mayRun }

// Unconfirmed takes in that the answer to the last call may turn out to be another's, and that what
// rests on it waits until a moment. It decides whether the next message of the same key waits too:
// behind one that was served it would wait for nothing but silence.
func (m *Message) Unconfirmed(until time.Duration, served bool) (nextWaits bool) {
	m.unsure = until
	return !served
}

// ConfirmedBy is when the answer to the last call counts as its own: nothing is sent again before.
func (m *Message) ConfirmedBy() time.Duration { return m.unsure }

// Refusal is how a message ends that is to be refused.
type Refusal int

// The ways.
const (
	RefuseNow   Refusal = iota
	RefuseLater         // once the answer to its last call is confirmed
	FailInstead         // a call may have run, and a repeat does harm
)

// Refusal decides how a message ends that is to be refused now: the refusal promises that nothing
// ran, or that a repeat does no harm.
func (m *Message) Refusal(now time.Duration) Refusal {
	switch {
	case m.Repeat != Never:
		return RefuseNow
	case m.mayRun:
		return FailInstead
	case now < m.unsure:
		return RefuseLater
	}
	return RefuseNow
}

// Response is what whoever handed a message in may be told now.
type Response int

// The responses.
const (
	Wait      Response = iota // records are on their way, and there is time
	Decision                  // what was decided: all records about the message are on disk
	TakenOn                   // that it was taken on: a later process knows it
	TakenBack                 // that it was not taken on: no later process will know it
)

// MayRespond decides what may be told of the hand-in. recorded tells whether all records about
// the message are on disk. Past RespondBy takeBack is asked to take the message's own record
// back; it reports false where that is on disk. Who was told one thing never hears the other.
func (m *Message) MayRespond(now time.Duration, recorded bool, takeBack func() bool) Response {
	switch {
	case !m.Kept || recorded:
		return Decision
	case m.RespondBy == 0 || now < m.RespondBy:
		return Wait
	case !takeBack():
		return TakenOn
	}
	m.TakeBack()
	return TakenBack
}

// TakeBack notes that no later process will know the message: its own record was taken back.
func (m *Message) TakeBack() { m.Kept = false }

// MayEnd decides whether a message may get its final answer, which counts from then on; a
// refusal promises that nothing ran, or that a repeat does no harm.
func (m *Message) MayEnd(g *Guard, refusal bool) bool {
	switch {
	case m.stage == Ended:
		return g.forbid(AnswerTwice, m.ID, "ended")
	case refusal && m.mayRun && m.Repeat == Never:
		return g.forbid(RefuseAfterSend, m.ID, "a call may have run")
	}
	m.stage = Ended
	return true
}

// MayTell decides whether the final answer may leave the relay. recorded tells whether its
// record is on disk; past the message's time it need not be, for no later process sends the
// message either.
func (m *Message) MayTell(g *Guard, now time.Duration, recorded bool) bool {
	switch {
	case m.told:
		return g.forbid(AnswerTwice, m.ID, "told")
	case m.Kept && !recorded && now < m.Due:
		return g.forbid(AnswerBeforeRecord, m.ID, "its record waits")
	}
	m.told = true
	return true
}
