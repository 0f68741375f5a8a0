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
	// Cancel removes a message whose Taken record is not on disk yet. It returns false if it is.
	Cancel(seq uint64) bool
	// Backlogged reports whether any record is not on disk yet.
	Backlogged() bool
	// Progress registers a function that is called, from any goroutine, whenever delayed
	// records have been written.
	Progress(func())
}

// records holds the steps that wait for records to be on disk.
type records struct {
	// With a Backlog: steps in their order; each waits for the records of its own messages only.
	steps  []step
	queued map[uint64]int // number of steps that wait for the records of a message
	// With another Journal: each waits for all records before it.
	all  []func()
	done uint64 // number of steps of all that were done
}

// step is a function that waits for the records of messages.
type step struct {
	of []uint64
	do func()
}

// none reports whether no step waits.
func (r *records) none() bool { return len(r.steps)+len(r.all) == 0 }

// next returns the time at which a response or answer is due even if its records are not
// written; below 0 for none.
func (r *records) next(c *Core) time.Duration {
	at := time.Duration(-1)
	sooner := func(t time.Duration) {
		if at < 0 || t < at {
			at = t
		}
	}
	for m := range c.untold {
		if !c.open[m] {
			sooner(m.due)
		}
	}
	for m := range c.open {
		if m.life.RespondBy > 0 {
			sooner(m.life.RespondBy)
		}
	}
	return at
}

// watchBacklog wakes the core whenever delayed records have been written.
func (c *Core) watchBacklog() {
	c.records.queued = map[uint64]int{}
	b, ok := c.opt.Journal.(Backlog)
	if !ok {
		return
	}
	c.backlog = b
	b.Progress(func() { _ = c.put(event{call: func() {}}) })
}

// numberOf returns the sequence number of a message from the relay's id of it.
func numberOf(id string) uint64 {
	n, _ := strconv.ParseUint(id, 36, 64) // ids are formatted by the core
	return n
}

// durable runs do once all records of the messages are on disk: at once if nothing is stored, or
// all of it is written. do runs on the core's goroutine; steps for the same message keep their order.
func (c *Core) durable(kept bool, do func(), of ...uint64) {
	switch {
	case c.backlog == nil && kept && c.opt.Journal != nil:
		c.afterAll(do)
	case c.backlog == nil || !c.blocked(of):
		do()
	default:
		c.records.steps = append(c.records.steps, step{of, do})
		for _, seq := range of {
			c.records.queued[seq]++
		}
	}
}

// blocked reports whether a record of one of the messages, or an earlier step for one, waits.
func (c *Core) blocked(of []uint64) bool {
	return slices.ContainsFunc(of, func(seq uint64) bool { return c.records.queued[seq] > 0 || c.backlog.Waiting(seq) })
}

// releaseWritten runs the steps whose records are on disk.
func (c *Core) releaseWritten() {
	r := &c.records
	if len(r.steps) == 0 {
		return
	}
	list := r.steps
	r.steps = nil
	blocked := map[uint64]bool{}
	var stay []step
	for _, s := range list {
		if slices.ContainsFunc(s.of, func(seq uint64) bool { return blocked[seq] || c.backlog.Waiting(seq) }) {
			for _, seq := range s.of {
				blocked[seq] = true
			}
			stay = append(stay, s)
			continue
		}
		for _, seq := range s.of {
			if r.queued[seq]--; r.queued[seq] == 0 {
				delete(r.queued, seq)
			}
		}
		s.do()
	}
	r.steps = append(stay, r.steps...)
}

// afterAll runs do, in order, once all records so far are on disk.
func (c *Core) afterAll(do func()) {
	number := c.records.done + uint64(len(c.records.all)) + 1
	down := c.opt.Journal.Then(func() { c.release(number) })
	if down && len(c.records.all) == 0 {
		do()
		return
	}
	c.records.all = append(c.records.all, do)
	if down { // after earlier steps whose events are in the inbox already
		c.release(number)
	}
}

// release runs the steps up to a number, in their order, in the next batch.
func (c *Core) release(number uint64) {
	r := &c.records
	_ = c.put(event{call: func() {
		for r.done < number && len(r.all) > 0 {
			do := r.all[0]
			r.all[0] = nil
			r.all = r.all[1:]
			r.done++
			do()
		}
	}})
}

// recorded reports whether all records of a message are on disk.
func (c *Core) recorded(m *message) bool {
	return c.backlog == nil || !c.backlog.Waiting(m.seq)
}

// takeBack removes a message from the journal whose Taken record is not on disk yet. No later run
// will know the message, and nothing about it waits for the disk any more. It returns false, and
// does nothing, for any other message.
func (c *Core) takeBack(m *message) bool {
	if c.backlog == nil || !m.kept || !c.backlog.Cancel(m.seq) {
		return false
	}
	m.kept = false
	m.life.TakeBack()
	c.opt.Trace.Step(m.Identity, "taken_back", m.id)
	return true
}

// respondOverdue responds to hand-ins whose response is due although their records are not on
// disk.
func (c *Core) respondOverdue() {
	for _, m := range c.openInOrder() {
		if m.life.RespondBy > 0 && c.now >= m.life.RespondBy {
			c.respond(m, c.now)
		}
	}
}

// openInOrder returns the messages whose Decider was not notified yet, in the order of arrival.
func (c *Core) openInOrder() []*message {
	if len(c.open) == 0 {
		return nil
	}
	return slices.SortedFunc(maps.Keys(c.open), func(x, y *message) int { return cmp.Compare(x.seq, y.seq) })
}

// respond notifies the Decider of a hand-in, as far as its records allow at the time by.
func (c *Core) respond(m *message, by time.Duration) {
	switch m.life.MayRespond(by, c.recorded(m), func() bool { return c.takeBack(m) }) {
	case lifecycle.TakenOn:
		delete(c.open, m)
		c.opt.Trace.Step(m.Identity, "overdue", "taken on")
		m.Reply.(Decider).Undecided(true)
	case lifecycle.TakenBack:
		delete(c.open, m)
		c.opt.Trace.Step(m.Identity, "overdue", "taken back")
		m.Reply.(Decider).Undecided(false)
		c.unheard(m)
	case lifecycle.Wait, lifecycle.Decision: // notified once the records are on disk
	}
}

// unheard ends a message that was taken back. Its final answer, if one was decided, is not
// reported.
func (c *Core) unheard(m *message) {
	if !m.answered {
		c.batch = append(c.batch, choice.Withdrawn{ID: m.id})
		c.answer(m, ledger.Answer{Verdict: ledger.Abandoned})
		return
	}
	m.told = true
	delete(c.untold, m)
	c.settled(m.Identity)
}

// Resolve notifies all Deciders that wait for records which cannot be written, before the
// process ends: a message that the next run will hold counts as taken, the others are dropped.
// done is called after the notifications.
func (c *Core) Resolve(done func()) {
	_ = c.put(event{call: func() {
		c.releaseWritten()
		for _, m := range c.openInOrder() {
			if m.life.RespondBy == 0 {
				m.life.RespondBy = c.now
			}
			c.respond(m, max(c.now, m.life.RespondBy))
		}
		done()
	}})
}

// tellOverdue reports final answers whose records are not written by the deadline of their
// messages. Later the answers would be useless, and no later run sends these messages.
func (c *Core) tellOverdue() {
	if len(c.untold) == 0 {
		return
	}
	late := slices.DeleteFunc(slices.Collect(maps.Keys(c.untold)), func(m *message) bool { return c.now < m.due || c.open[m] })
	slices.SortFunc(late, func(x, y *message) int { return cmp.Compare(x.seq, y.seq) })
	for _, m := range late {
		c.untold[m]()
	}
}
