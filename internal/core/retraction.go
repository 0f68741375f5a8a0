package core

import (
	"container/heap"
	"time"

	"basaltcross.example/basaltcross/choice"
	"basaltcross.example/basaltcross/internal/journal"
	"basaltcross.example/basaltcross/internal/ledger"
	"basaltcross.example/basaltcross/internal/lifecycle"
)

// maxDelivered is the number of messages remembered that were delivered by an unconfirmed
// response. Beyond it responses count as confirmed.
const maxDelivered = 4096

// retractions tracks outcomes that are not confirmed: the response may prove to belong to another call
// of the same connection. It holds the steps that wait until outcomes are confirmed, and the
// messages delivered by such outcomes.
type retractions struct {
	steps          delayedSteps
	lastNumber     uint64                        // number of the step scheduled last
	delivered      map[string]delivered          // by id of the message
	deliveredOrder []string                      // ids in delivered, the oldest first
	heldKeys       map[orderKey]confirmationTime // keys whose next message is not sent until then
}

// delayedStep is a step that is due once an outcome is confirmed.
type delayedStep struct {
	at     time.Duration
	number uint64
	do     func()
}

// confirmationTime is the time from which an outcome is confirmed.
type confirmationTime = time.Duration

// orderKey is an ordering key at a partner.
type orderKey struct {
	partner int
	key     string
}

// delivered is a message that has ended by an unconfirmed outcome.
type delivered struct {
	retractableUntil time.Duration // the outcome cannot be retracted later
	attemptNo        int
	end              journal.End // to be recorded if the outcome is retracted
	journaled        bool        // the message is in the journal
}

// attemptRef identifies an attempt without holding on to its message.
type attemptRef struct {
	id        string
	attemptNo int
	sentAt    time.Duration
}

// retractor returns the function that retracts the outcome of a call. The function holds no reference
// to the messages.
func (c *Core) retractor(a *attempt) func() {
	var all []attemptRef
	for _, b := range a.members() {
		all = append(all, attemptRef{b.msg.id, b.attemptNo, a.sentAt})
	}
	return func() {
		_ = c.enqueue(event{call: func() {
			for _, b := range all {
				c.retract(b)
			}
		}})
	}
}

// handleUnconfirmed processes an outcome that is not confirmed. Until it is, the message is not sent again,
// and not refused if it must not be repeated. The next message of its key is not sent either, unless
// this one was served: keys with frequent messages would otherwise wait after every response.
func (c *Core) handleUnconfirmed(a *attempt, e Ending, served bool) {
	m := a.msg
	until := c.now + e.ConfirmAfter
	c.opt.Trace.Step(m.Identity, "unconfirmed", e.ConfirmAfter.String())
	if nextWaits := m.state.AwaitConfirmation(until, served); nextWaits && c.ordered(m) {
		key := orderKey{m.Partner, m.Key}
		if c.retractions.heldKeys == nil {
			c.retractions.heldKeys = map[orderKey]confirmationTime{}
		}
		c.retractions.heldKeys[key] = max(c.retractions.heldKeys[key], until)
		c.schedule(until, func() {
			if c.retractions.heldKeys[key] <= c.now {
				delete(c.retractions.heldKeys, key)
			}
		})
	}
	if served || e.Abandon {
		c.rememberDelivered(m, a.attemptNo)
	}
}

// ordered reports whether other messages of its key wait for a message.
func (c *Core) ordered(m *message) bool {
	return m.Key != "" && c.opt.Settings.Classes[m.Class].Ordered
}

// rememberDelivered remembers a delivered message, to end it as failed if its outcome is retracted.
func (c *Core) rememberDelivered(m *message, n int) {
	d := &c.retractions
	if len(d.deliveredOrder) >= maxDelivered {
		return
	}
	if d.delivered == nil {
		d.delivered = map[string]delivered{}
	}
	d.deliveredOrder = append(d.deliveredOrder, m.id)
	d.delivered[m.id] = delivered{retractableUntil: min(m.deadline, c.now+lifecycle.RetractionWindow), attemptNo: n,
		journaled: m.journaled, end: journal.End{Seq: m.seq, Identity: m.Identity,
			Class: c.opt.Settings.Classes[m.Class].Name, Verdict: uint8(ledger.Failed),
			Front: m.Front, Way: m.ReturnPath}}
}

// schedule adds a step that runDue runs at a time.
func (c *Core) schedule(at time.Duration, do func()) {
	c.retractions.lastNumber++
	heap.Push(&c.retractions.steps, delayedStep{at, c.retractions.lastNumber, do})
}

// next returns the time of the next step or expiry; below 0 for none.
func (d *retractions) next() time.Duration {
	at := time.Duration(-1)
	if len(d.steps) > 0 {
		at = d.steps[0].at
	}
	if len(d.deliveredOrder) > 0 {
		if until := d.delivered[d.deliveredOrder[0]].retractableUntil; at < 0 || until < at {
			at = until
		}
	}
	return at
}

// runDue runs the steps that are due, in their order, and removes delivered messages whose outcome
// cannot be retracted any more.
func (c *Core) runDue() {
	d := &c.retractions
	for len(d.steps) > 0 && d.steps[0].at <= c.now {
		heap.Pop(&d.steps).(delayedStep).do()
	}
	for len(d.deliveredOrder) > 0 && d.delivered[d.deliveredOrder[0]].retractableUntil <= c.now {
		delete(d.delivered, d.deliveredOrder[0])
		d.deliveredOrder = d.deliveredOrder[1:]
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
// delivered by it is reported as failed: a notice for a message that has ended does no harm. A
// message refused by it may have run.
func (c *Core) retract(b attemptRef) {
	m := c.byID[b.id]
	switch {
	case m == nil || m.answered:
		c.retractDelivered(b)
	case m.current != nil && m.current.attemptNo == b.attemptNo:
		m.current.retracted = true
	default:
		c.markMayHaveRun(m, b.sentAt)
	}
}

// retractDelivered ends a delivered message as failed, once that is recorded.
func (c *Core) retractDelivered(b attemptRef) {
	x, known := c.retractions.delivered[b.id]
	if !known || x.attemptNo != b.attemptNo || c.now > x.retractableUntil || c.opt.DeliveryRetracted == nil {
		return
	}
	delete(c.retractions.delivered, b.id)
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
	c.whenDurable(x.journaled, report, x.end.Seq) // otherwise a later process might send it after the report
	if !reported {
		c.schedule(x.retractableUntil, report)
	}
}

// markMayHaveRun marks a message as possibly run although its call, sent at a time, was refused. If a
// repeat would do harm, a further call that waits for the confirmation of the refusal is ended.
func (c *Core) markMayHaveRun(m *message, sent time.Duration) {
	m.state.SetMayHaveRun(sent)
	if a := m.current; a != nil && m.state.Repeat == lifecycle.NotRepeatable {
		lead := a
		if a.leader != nil {
			lead = a.leader
		}
		if !lead.dispatched() && lead.handle.Recall() {
			c.endCall(lead, Ending{Outcome: choice.NotSent, Took: c.now - lead.sentAt})
		}
	}
	c.batch = append(c.batch, choice.Retracted{ID: m.id, Since: c.now - sent})
}

// refuse ends a message that the module refuses. If the message may have run and must not be repeated,
// it fails instead; if its last outcome is unconfirmed, the refusal waits. At shutdown it does not wait.
func (c *Core) refuse(m *message, after time.Duration) {
	now := c.now
	if c.draining {
		now = max(now, m.state.ConfirmedBy())
	}
	switch m.state.Refusal(now) {
	case lifecycle.RefuseLater:
		c.schedule(m.state.ConfirmedBy(), func() { c.refuse(m, after) })
	case lifecycle.FailInstead:
		c.answer(m, ledger.Answer{Verdict: ledger.Failed})
	case lifecycle.RefuseNow:
		c.answer(m, ledger.Answer{Verdict: ledger.Refused, RetryAfter: after})
	}
}

// confirmedBy returns the time from which all outcomes are confirmed that a call relies on.
func (c *Core) confirmedBy(a *attempt) (at time.Duration) {
	for _, b := range a.members() {
		at = max(at, b.msg.state.ConfirmedBy())
		if c.ordered(b.msg) {
			at = max(at, c.retractions.heldKeys[orderKey{b.msg.Partner, b.msg.Key}])
		}
	}
	return at
}

// delayCall sends a call at a later time. Until then it can be aborted like a call that waits for its
// records.
func (c *Core) delayCall(a *attempt, until time.Duration) {
	timeout := a.timeoutAt - a.sentAt
	gate := &delayedCall{}
	a.gate, a.handle = gate, gate
	a.timeoutAt = c.now + c.timeLeft(a)
	heap.Push(&c.timeouts, a)
	c.schedule(until, func() {
		if gate.cancelled {
			return
		}
		if a.heapIndex >= 0 {
			heap.Remove(&c.timeouts, a.heapIndex)
		}
		a.gate, a.handle = nil, nil
		if by := a.writeDeadline(); c.parked || c.timeLeft(a) <= 0 || by > 0 && c.now >= by {
			gate.cancelled = true
			a.handle, a.gate = gate, gate
			c.enqueueOwn(event{ended: a, ending: Ending{Outcome: choice.NotSent, Took: c.now - a.sentAt}})
			return
		}
		a.sentAt, a.timeoutAt = c.now, c.now+timeout
		c.sendNow(a)
	})
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
