package core

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"basaltcross.example/basaltcross/choice"
	"basaltcross.example/basaltcross/internal/ledger"
	"basaltcross.example/basaltcross/internal/lifecycle"
)

// Backlog is a Journal that reports which records are not on disk yet. journal.Log implements it.
type Backlog interface {
	// Waiting reports whether any record about a message is not on disk yet.
	Waiting(seq uint64) bool
	// Cancel removes a message whose message record is not on disk yet. It returns false if it is.
	Cancel(seq uint64) bool
	// Backlogged reports whether any record is not on disk yet.
	Backlogged() bool
	// Progress registers a function that is called, from any goroutine, whenever delayed
	// records have been written.
	Progress(func())
}

// pendingSteps holds the steps that wait for records to be on disk.
type pendingSteps struct {
	// With a Backlog: steps in their order; each waits for the records of its own messages only.
	steps  []step
	queued map[uint64]int // number of steps that wait for the records of a message
	// With another Journal: each waits for all records before it.
	fifo      []func()
	completed uint64 // number of steps of fifo that were done
}

// step is a function that waits for the records of messages.
type step struct {
	seqs []uint64
	do   func()
}

// empty reports whether no step waits.
func (r *pendingSteps) empty() bool { return len(r.steps)+len(r.fifo) == 0 }

// next returns the time at which a response or answer is due even if its records are not
// written; below 0 for none.
func (r *pendingSteps) next(c *Core) time.Duration {
	at := time.Duration(-1)
	sooner := func(t time.Duration) {
		if at < 0 || t < at {
			at = t
		}
	}
	for m := range c.pendingAnswers {
		if !c.undecided[m] {
			sooner(m.deadline)
		}
	}
	for m := range c.undecided {
		if m.state.RespondBy > 0 {
			sooner(m.state.RespondBy)
		}
	}
	return at
}

// watchBacklog wakes the core whenever delayed records have been written.
func (c *Core) watchBacklog() {
	c.pendingSteps.queued = map[uint64]int{}
	b, ok := c.opt.Journal.(Backlog)
	if !ok {
		return
	}
	c.backlog = b
	b.Progress(func() { _ = c.enqueue(event{call: func() {}}) })
}

// seqOf returns the sequence number of a message from the relay's id of it.
func seqOf(id string) uint64 {
	n, _ := strconv.ParseUint(id, 36, 64) // ids are formatted by the core
	return n
}

// whenDurable runs do once all records of the messages are on disk: at once if nothing is stored, or
// all of it is written. do runs on the core's goroutine; steps for the same message keep their order.
func (c *Core) whenDurable(journaled bool, do func(), seqs ...uint64) {
	switch {
	case c.backlog == nil && journaled && c.opt.Journal != nil:
		c.afterAllRecords(do)
	case c.backlog == nil || !c.blocked(seqs):
		do()
	default:
		c.pendingSteps.steps = append(c.pendingSteps.steps, step{seqs, do})
		for _, seq := range seqs {
			c.pendingSteps.queued[seq]++
		}
	}
}

// blocked reports whether a record of one of the messages, or an earlier step for one, waits.
func (c *Core) blocked(seqs []uint64) bool {
	return slices.ContainsFunc(seqs, func(seq uint64) bool {
		return c.pendingSteps.queued[seq] > 0 || c.backlog.Waiting(seq)
	})
}

// runWritten runs the steps whose records are on disk.
func (c *Core) runWritten() {
	r := &c.pendingSteps
	if len(r.steps) == 0 {
		return
	}
	list := r.steps
	r.steps = nil
	blocked := map[uint64]bool{}
	var remaining []step
	for _, s := range list {
		if slices.ContainsFunc(s.seqs, func(seq uint64) bool { return blocked[seq] || c.backlog.Waiting(seq) }) {
			for _, seq := range s.seqs {
				blocked[seq] = true
			}
			remaining = append(remaining, s)
			continue
		}
		for _, seq := range s.seqs {
			if r.queued[seq]--; r.queued[seq] == 0 {
				delete(r.queued, seq)
			}
		}
		s.do()
	}
	r.steps = append(remaining, r.steps...)
}

// afterAllRecords runs do, in order, once all records so far are on disk.
func (c *Core) afterAllRecords(do func()) {
	number := c.pendingSteps.completed + uint64(len(c.pendingSteps.fifo)) + 1
	written := c.opt.Journal.WhenWritten(func() { c.runUpTo(number) })
	if written && len(c.pendingSteps.fifo) == 0 {
		do()
		return
	}
	c.pendingSteps.fifo = append(c.pendingSteps.fifo, do)
	if written { // after earlier steps whose events are in the inbox already
		c.runUpTo(number)
	}
}

// runUpTo runs the steps up to a number, in their order, in the next batch.
func (c *Core) runUpTo(number uint64) {
	r := &c.pendingSteps
	_ = c.enqueue(event{call: func() {
		for r.completed < number && len(r.fifo) > 0 {
			do := r.fifo[0]
			r.fifo[0] = nil
			r.fifo = r.fifo[1:]
			r.completed++
			do()
		}
	}})
}

// recorded reports whether all records of a message are on disk.
func (c *Core) recorded(m *message) bool {
	return c.backlog == nil || !c.backlog.Waiting(m.seq)
}

// takeBack removes a message from the journal whose message record is not on disk yet. No later run
// will know the message, and nothing about it waits for the disk any more. It returns false, and
// does nothing, for any other message.
func (c *Core) takeBack(m *message) bool {
	if c.backlog == nil || !m.journaled || !c.backlog.Cancel(m.seq) {
		return false
	}
	m.journaled = false
	m.state.RecordWithdrawn()
	c.opt.Trace.Step(m.Identity, "taken_back", m.id)
	return true
}

// respondOverdue responds to hand-ins whose response is due although their records are not on
// disk.
func (c *Core) respondOverdue() {
	for _, m := range c.undecidedInOrder() {
		if m.state.RespondBy > 0 && c.now >= m.state.RespondBy {
			c.respond(m, c.now)
		}
	}
}

// undecidedInOrder returns the messages whose Decider was not notified yet, in the order of arrival.
func (c *Core) undecidedInOrder() []*message {
	if len(c.undecided) == 0 {
		return nil
	}
	return slices.SortedFunc(maps.Keys(c.undecided), func(x, y *message) int { return cmp.Compare(x.seq, y.seq) })
}

// respond notifies the Decider of a hand-in, as far as its records allow at the time by.
func (c *Core) respond(m *message, by time.Duration) {
	switch m.state.MayRespond(by, c.recorded(m), func() bool { return c.takeBack(m) }) {
	case lifecycle.RespondAccepted:
		delete(c.undecided, m)
		c.opt.Trace.Step(m.Identity, "overdue", "taken on")
		m.Reply.(Decider).Undecided(true)
	case lifecycle.RespondNotAccepted:
		delete(c.undecided, m)
		c.opt.Trace.Step(m.Identity, "overdue", "taken back")
		m.Reply.(Decider).Undecided(false)
		c.dropTakenBack(m)
	case lifecycle.RespondLater, lifecycle.RespondDecision: // notified once the records are on disk
	}
}

// dropTakenBack ends a message that was taken back. Its final answer, if one was decided, is not
// reported.
func (c *Core) dropTakenBack(m *message) {
	if !m.answered {
		c.batch = append(c.batch, choice.Withdrawn{ID: m.id})
		c.answer(m, ledger.Answer{Verdict: ledger.Abandoned})
		return
	}
	m.answerSent = true
	delete(c.pendingAnswers, m)
	c.clearUnsettled(m.Identity)
}

// ResolveUndecided notifies all Deciders that wait for records which cannot be written, before the
// process ends: a message that the next run will hold counts as taken, the others are dropped.
// done is called after the notifications.
func (c *Core) ResolveUndecided(done func()) {
	_ = c.enqueue(event{call: func() {
		c.runWritten()
		for _, m := range c.undecidedInOrder() {
			if m.state.RespondBy == 0 {
				m.state.RespondBy = c.now
			}
			c.respond(m, max(c.now, m.state.RespondBy))
		}
		done()
	}})
}

// reportOverdue reports final answers whose records are not written by the deadline of their
// messages. Later the answers would be useless, and no later run sends these messages.
func (c *Core) reportOverdue() {
	if len(c.pendingAnswers) == 0 {
		return
	}
	late := slices.DeleteFunc(slices.Collect(maps.Keys(c.pendingAnswers)),
		func(m *message) bool { return c.now < m.deadline || c.undecided[m] })
	slices.SortFunc(late, func(x, y *message) int { return cmp.Compare(x.seq, y.seq) })
	for _, m := range late {
		c.pendingAnswers[m]()
	}
}
