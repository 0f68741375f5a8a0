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

// Backlog is a Journal that tells what of it is not on disk yet; journal.Log is one.
type Backlog interface {
	// Waiting tells whether a record about a message waits to be written.
	Waiting(seq uint64) bool
	// Cancel takes back a message whose own record waits; false where that is on disk.
	Cancel(seq uint64) bool
	// Backlogged tells whether any record waits.
	Backlogged() bool
	// Progress has a function called, from any goroutine, each time that records which
	// waited have been written.
	Progress(func())
}

// records are the steps that wait for records to be on disk.
type records struct {
	// With a Backlog: in their order, each for the records of its own messages alone.
	steps  []step
	queued map[uint64]int // how many steps wait for a message
	// With another Journal: each for all that was recorded before it.
	all  []func()
	done uint64 // steps that were done
}

// step is one that waits for the records of messages.
type step struct {
	of []uint64
	do func()
}

// none tells whether nothing waits.
func (r *records) none() bool { return len(r.steps)+len(r.all) == 0 }

// next is when something is owed whether its records are written or not; below 0 for never.
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

// watchBacklog has the core look again whenever records have been written.
func (c *Core) watchBacklog() {
	c.records.queued = map[uint64]int{}
	b, ok := c.opt.Journal.(Backlog)
	if !ok {
		return
	}
	c.backlog = b
	b.Progress(func() { _ = c.put(event{call: func() {}}) })
}

// numberOf is the number of a message by its name within the relay.
func numberOf(id string) uint64 {
	n, _ := strconv.ParseUint(id, 36, 64) // as the core wrote it
	return n
}

// durable does something once what was recorded of messages is on disk; at once where nothing
// is kept, or all is there. It is done on the core's goroutine, for one message in order.
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

// blocked tells whether a record of one of some messages waits, or a step before this one.
func (c *Core) blocked(of []uint64) bool {
	return slices.ContainsFunc(of, func(seq uint64) bool { return c.records.queued[seq] > 0 || c.backlog.Waiting(seq) })
}

// releaseWritten does the steps whose records are on disk.
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

// afterAll does something once all that was recorded so far is on disk, in order.
func (c *Core) afterAll(do func()) {
	number := c.records.done + uint64(len(c.records.all)) + 1
	down := c.opt.Journal.WhenWritten(func() { c.release(number) })
	if down && len(c.records.all) == 0 {
		do()
		return
	}
	c.records.all = append(c.records.all, do)
	if down { // behind those whose turn is in the inbox already
		c.release(number)
	}
}

// release has the steps up to a number done, in their order.
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

// recorded tells whether all that was recorded of a message is on disk.
func (c *Core) recorded(m *message) bool {
	return c.backlog == nil || !c.backlog.Waiting(m.seq)
}

// takeBack takes a message back whose own record is not on disk yet: no later run will know
// it, and nothing about it waits for the disk any more. It reports false for any other.
func (c *Core) takeBack(m *message) bool {
	if c.backlog == nil || !m.kept || !c.backlog.Cancel(m.seq) {
		return false
	}
	m.kept = false
	m.life.TakeBack()
	c.opt.Trace.Step(m.Identity, "taken_back", m.id)
	return true
}

// respondOverdue answers hand-ins whose records are not on disk when they must have their
// answer.
func (c *Core) respondOverdue() {
	for _, m := range c.openInOrder() {
		if m.life.RespondBy > 0 && c.now >= m.life.RespondBy {
			c.respond(m, c.now)
		}
	}
}

// openInOrder are the hand-ins that wait for their answer, the first one first.
func (c *Core) openInOrder() []*message {
	if len(c.open) == 0 {
		return nil
	}
	return slices.SortedFunc(maps.Keys(c.open), func(x, y *message) int { return cmp.Compare(x.seq, y.seq) })
}

// respond answers a hand-in as far as its records allow by then.
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
	case lifecycle.Wait, lifecycle.Decision: // its step comes
	}
}

// unheard ends a message that was taken back: what was decided of it is told to nobody.
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

// Resolve ends the wait of clients for records that cannot be written, before the process
// ends: a message that the next run will hold counts as taken, of the others nobody knows.
// done is called when all have heard.
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

// tellOverdue tells final answers whose records cannot be written, once their messages'
// time is over: later they would be of no use, and no later run sends these messages.
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
