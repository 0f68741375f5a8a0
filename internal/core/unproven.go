package core

import (
	"container/heap"
	"time"

	"basaltcross.example/basaltcross/choice"
	"basaltcross.example/basaltcross/internal/journal"
	"basaltcross.example/basaltcross/internal/ledger"
)

const (
	// maxDelivered is the number of unproven deliveries remembered. Beyond it a message is told as
	// failed at once.
	maxDelivered = 4096
	// failureInterval is the interval at which unproven deliveries whose time is over are told as
	// failed, so that those of one interval share a notice.
	failureInterval = 100 * time.Millisecond
)

// unprovenDeliveries holds the messages that were delivered by a response that may belong to another
// call of its connection, until their time is over, and the steps that are due at a time.
type unprovenDeliveries struct {
	steps      delayedSteps
	lastNumber uint64               // number of the step scheduled last
	delivered  map[string]delivered // by id of the message
}

// delayedStep is a step that is due at a time.
type delayedStep struct {
	at     time.Duration
	number uint64
	do     func()
}

// delivered is a message that has ended by an unproven response.
type delivered struct {
	deadline  time.Duration
	attemptNo int
	seq       uint64
	end       journal.End // to be recorded if the outcome is retracted
	journaled bool        // the message is in the journal
}

// attemptRef identifies an attempt without holding on to its message.
type attemptRef struct {
	id        string
	attemptNo int
}

// retractor returns the function that retracts the outcome of a call. The function holds no reference
// to the messages.
func (c *Core) retractor(a *attempt) func() {
	var all []attemptRef
	for _, b := range a.members() {
		all = append(all, attemptRef{b.msg.id, b.attemptNo})
	}
	return func() {
		_ = c.enqueue(event{call: func() {
			for _, b := range all {
				c.retract(b)
			}
		}})
	}
}

// ordered reports whether other messages of its key wait for a message.
func (c *Core) ordered(m *message) bool {
	return m.Key != "" && c.opt.Settings.Classes[m.Class].Ordered
}

// rememberDelivered remembers a message that is delivered by an unproven response. If nobody can be told
// of a failure behind a delivery, the response counts as proved.
//
// Such a message is told as failed when its time is over, or earlier if its response proves to belong to
// another call: its host may still be processing it and never finish, and a notice for a message that
// has ended does no harm.
func (c *Core) rememberDelivered(m *message, n int) {
	if c.opt.DeliveryRetracted == nil {
		return
	}
	m.unproven = true
	u, id := &c.unproven, m.id
	if u.delivered == nil {
		u.delivered = map[string]delivered{}
	}
	u.delivered[id] = delivered{deadline: m.deadline, attemptNo: n, seq: m.seq,
		journaled: m.journaled, end: journal.End{Seq: m.seq, Identity: m.Identity,
			Class: c.opt.Settings.Classes[m.Class].Name, Verdict: uint8(ledger.Failed),
			Front: m.Front, Way: m.ReturnPath}}
	due := m.deadline.Truncate(failureInterval)
	if len(u.delivered) > maxDelivered {
		due = c.now
	}
	c.schedule(due, func() { c.failUnproven(id) })
}

// failUnproven tells a message as failed whose delivery nothing has proved until its time was over. Its
// record of the delivery says that this is owed.
func (c *Core) failUnproven(id string) {
	x, known := c.unproven.delivered[id]
	if !known {
		return
	}
	delete(c.unproven.delivered, id)
	tell := func() {
		c.opt.Trace.Step(x.end.Identity, "unproven", ledger.Failed.String())
		c.opt.DeliveryUnproven(x.end.Identity)
	}
	if c.now < x.deadline.Truncate(failureInterval) { // a later process might send it after the notice
		c.whenDurable(x.journaled, tell, x.seq)
		return
	}
	tell()
}

// schedule adds a step that runDue runs at a time.
func (c *Core) schedule(at time.Duration, do func()) {
	c.unproven.lastNumber++
	heap.Push(&c.unproven.steps, delayedStep{at, c.unproven.lastNumber, do})
}

// next returns the time of the next step; below 0 for none.
func (u *unprovenDeliveries) next() time.Duration {
	if len(u.steps) == 0 {
		return -1
	}
	return u.steps[0].at
}

// runDue runs the steps that are due, in their order.
func (c *Core) runDue() {
	u := &c.unproven
	for len(u.steps) > 0 && u.steps[0].at <= c.now {
		heap.Pop(&u.steps).(delayedStep).do()
	}
}

// delayedSteps is a heap of steps, ordered by time; steps of the same time run in the order of scheduling.
type delayedSteps []delayedStep

func (s delayedSteps) Len() int      { return len(s) }
func (s delayedSteps) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s delayedSteps) Less(i, j int) bool {
	return s[i].at < s[j].at || s[i].at == s[j].at && s[i].number < s[j].number
}
func (s *delayedSteps) Push(x any) { *s = append(*s, x.(delayedStep)) }
func (s *delayedSteps) Pop() any {
	old := *s
	x := old[len(old)-1]
	old[len(old)-1] = delayedStep{}
	*s = old[:len(old)-1]
	return x
}

// retract retracts the outcome of an attempt, since the response belonged to another call. A message
// delivered by it is told as failed. If the outcome was another one, it counts already as one of a
// message that may have run, since the response was unproven.
func (c *Core) retract(b attemptRef) {
	m := c.byID[b.id]
	switch {
	case m == nil || m.answered:
		c.retractDelivered(b)
	case m.current != nil && m.current.attemptNo == b.attemptNo:
		m.current.retracted = true
	}
}

// retractDelivered ends a delivered message as failed, once that is recorded.
func (c *Core) retractDelivered(b attemptRef) {
	x, known := c.unproven.delivered[b.id]
	if !known || x.attemptNo != b.attemptNo {
		return
	}
	delete(c.unproven.delivered, b.id)
	c.opt.Trace.Step(x.end.Identity, "ended", ledger.Failed.String())
	reported := false
	report := func() {
		if !reported {
			reported = true
			c.opt.DeliveryRetracted(x.end.Identity)
		}
	}
	if x.journaled {
		x.end.At = c.opt.Journal.Stamp()
		c.opt.Journal.RecordEnd(x.end)
	}
	c.whenDurable(x.journaled, report, x.seq) // otherwise a later process might send it after the report
	if !reported {
		c.schedule(x.deadline, report)
	}
}

// refuse ends a message that the module refuses. It fails instead if it may have run and must not be
// repeated.
func (c *Core) refuse(m *message, after time.Duration) {
	if m.state.FailsInsteadOfRefusal() {
		c.answer(m, ledger.Answer{Verdict: ledger.Failed})
		return
	}
	c.answer(m, ledger.Answer{Verdict: ledger.Refused, RetryAfter: after})
}

// ReportWait reports a wait that an endpoint asked for in a response without a request. It may be the response
// to a call that ended before, so the wait counts like any other.
func (c *Core) ReportWait(host string, partner int, wait time.Duration) {
	_ = c.enqueue(event{call: func() {
		c.batch = append(c.batch, choice.RestoredHost{Host: host, RetryAfter: wait})
		hosts := map[string]bool{host: true}
		if !c.kind(host).PerHostLimits {
			for a := range c.inFlight {
				hosts[a.host] = hosts[a.host] || a.partner == partner
			}
		}
		c.recall(hosts)
	}})
}
