package core

import (
	"container/heap"
	"time"

	"basaltcross.example/basaltcross/choice"
	"basaltcross.example/basaltcross/internal/lifecycle"
)

// maxRecordWait is the longest time that a call waits for its records with a Backlog. By then the
// decision to send it, with its time-out and its slot in the rate of its endpoint, is that old.
// The value is the tolerance that the platform allows for every time limit on sockets.
const maxRecordWait = 50 * time.Millisecond

// delayedCall delays a call until its records are on disk.
type delayedCall struct {
	handle    Attempt // the call, once it was sent; nil before
	cancelled bool    // ended before it was sent
}

// Abort implements Attempt. A call that was not sent ends without a byte sent.
func (g *delayedCall) Abort() (started, ok bool) {
	if g.handle != nil {
		return g.handle.Abort()
	}
	ok = !g.cancelled
	g.cancelled = true
	return false, ok
}

// Recall implements Attempt.
func (g *delayedCall) Recall() bool {
	if g.handle != nil {
		return g.handle.Recall()
	}
	ok := !g.cancelled
	g.cancelled = true
	return ok
}

// AnswerPending implements Attempt.
func (g *delayedCall) AnswerPending() bool { return g.handle != nil && g.handle.AnswerPending() }

// dispatched reports whether the call was passed to the Caller. Until then nothing that happens to
// it says anything about its endpoint.
func (a *attempt) dispatched() bool { return a.gate == nil || a.gate.handle != nil }

// send sends the call of an attempt, as soon as its records are on disk. The time-out of a call that
// waits for its records starts with the first byte, since it measures the endpoint and not the disk.
func (c *Core) send(a *attempt) {
	if a == nil {
		return
	}
	call, seqs := c.buildCall(a)
	timeout := a.timeoutAt - a.sentAt
	if len(seqs) == 0 {
		heap.Push(&c.timeouts, a)
		c.dispatch(a, call, timeout)
		return
	}
	a.gate = &delayedCall{}
	a.handle = a.gate
	waited := false
	c.whenDurable(true, func() {
		switch {
		case a.gate.cancelled:
		case !c.mayDispatch(a) || waited && 2*c.timeLeft(a) < timeout:
			a.gate.cancelled = true
			c.enqueueOwn(event{ended: a, ending: Ending{Outcome: choice.NotSent, Took: c.now - a.sentAt}})
		default:
			a.sentAt = c.Now()
			if waited {
				timeout = min(timeout, c.timeLeft(a))
			}
			a.timeoutAt = a.sentAt + timeout
			c.dispatch(a, call, timeout)
			c.scheduleTimeout(a)
		}
	}, seqs...)
	waited = true
	if !a.dispatched() && !a.gate.cancelled {
		a.timeoutAt = c.recordDeadline(a)
		c.scheduleTimeout(a)
	}
}

// buildCall builds the Call of an attempt and records its attempts where required. seqs are the
// messages whose records must be on disk before the first byte.
func (c *Core) buildCall(a *attempt) (call Call, seqs []uint64) {
	m := a.msg
	call = Call{ID: m.id, Identity: m.Identity, Zone: a.zone, BytesPassed: &a.bytesPassed, Host: a.host,
		Class: m.Class, Partner: m.Partner, Key: m.Key, Head: m.Head, Body: m.Body,
		End: func(e Ending) { c.enqueueOwn(event{ended: a, ending: e}) }}
	if c.opt.Settings.Classes[m.Class].Effect == choice.Keyed {
		call.IdempotencyKey = m.idempotencyKey()
	}
	for _, b := range a.members() {
		call.NotRepeatable = call.NotRepeatable || b.msg.state.Repeat == lifecycle.NotRepeatable
		call.Ordered = call.Ordered || c.ordered(b.msg)
		if len(a.followers) > 0 {
			call.Items = append(call.Items, Item{Identity: b.msg.Identity, Key: b.msg.Key, Head: b.msg.Head,
				Body: b.msg.Body})
			call.Body = nil
		}
		if c.recordsAttempts(b.msg) {
			c.recordAttempt(b, false)
			seqs = append(seqs, b.msg.seq)
		}
	}
	return call, seqs
}

// dispatch passes a call to the Caller.
func (c *Core) dispatch(a *attempt, call Call, timeout time.Duration) {
	call.Timeout = timeout
	if by := a.writeDeadline(); by > 0 {
		call.WriteWithin = max(by-c.Now(), 1)
	}
	call.Retract = c.retractor(a)
	sock := c.opt.Caller.Send(call)
	if a.gate == nil {
		a.handle = sock
		return
	}
	a.gate.handle = sock
	c.opt.Trace.Step(a.msg.Identity, "begun", timeout.String())
}

// writeDeadline returns the latest time of the first write, over all messages of a call; 0 for none.
func (a *attempt) writeDeadline() time.Duration {
	by := time.Duration(0)
	for _, b := range a.members() {
		if b.writeBy > 0 && (by == 0 || b.writeBy < by) {
			by = b.writeBy
		}
	}
	return by
}

// scheduleTimeout adds an attempt to the heap of time-outs, or moves it after its time-out has changed.
func (c *Core) scheduleTimeout(a *attempt) {
	switch {
	case a.msg.current != a: // the attempt has ended
	case a.heapIndex >= 0:
		heap.Fix(&c.timeouts, a.heapIndex)
	default:
		heap.Push(&c.timeouts, a)
	}
}

// recordDeadline returns the time until which an attempt waits for its records.
func (c *Core) recordDeadline(a *attempt) time.Duration {
	if c.backlog != nil {
		return a.sentAt + maxRecordWait
	}
	return c.Now() + c.timeLeft(a)
}

// mayDispatch reports whether a call that waited may still be sent. It may not if the relay shuts
// down, if the deadline or the latest write of one of its messages has passed, or if one of
// them was answered or has another attempt.
func (c *Core) mayDispatch(a *attempt) bool {
	now, by := c.Now(), a.writeDeadline()
	for _, b := range a.members() {
		if c.parked || now > b.msg.deadline || by > 0 && now >= by || b.msg.current != b || b.msg.answered {
			return false
		}
	}
	for _, b := range a.members() {
		if !b.msg.state.MayBegin(c.opt.Guard, now, c.recorded(b.msg)) {
			return false
		}
	}
	return true
}

// timeLeft returns the time until the first deadline of a call's messages. If that is less than half
// of the planned time-out, a call that waited is not sent, and the module decides again.
func (c *Core) timeLeft(a *attempt) time.Duration {
	by := a.msg.deadline
	for _, b := range a.followers {
		by = min(by, b.msg.deadline)
	}
	return by - c.Now()
}

// longestTimeLeft returns the time until the last deadline of a call's messages.
func (c *Core) longestTimeLeft(a *attempt) time.Duration {
	by := a.msg.deadline
	for _, b := range a.followers {
		by = max(by, b.msg.deadline)
	}
	return by - c.Now()
}

// pauseSends pauses the sends of the module while records wait for the disk, if all attempts are
// recorded: no call could be sent, and the module would blame endpoints for delays of the disk.
func (c *Core) pauseSends() {
	if c.backlog == nil || !c.opt.RecordAllAttempts {
		return
	}
	if waits := c.backlog.Backlogged(); waits != c.paused {
		c.paused = waits
		c.batch = append(c.batch, choice.Pause{On: waits})
	}
}

// timeoutHeap is a heap of attempts, ordered by time-out.
type timeoutHeap []*attempt

func (t timeoutHeap) Len() int           { return len(t) }
func (t timeoutHeap) Less(i, j int) bool { return t[i].timeoutAt < t[j].timeoutAt }
func (t timeoutHeap) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].heapIndex, t[j].heapIndex = i, j
}
func (t *timeoutHeap) Push(x any) {
	a := x.(*attempt)
	a.heapIndex = len(*t)
	*t = append(*t, a)
}
func (t *timeoutHeap) Pop() any {
	old := *t
	a := old[len(old)-1]
	old[len(old)-1] = nil
	*t = old[:len(old)-1]
	a.heapIndex = -1
	return a
}
