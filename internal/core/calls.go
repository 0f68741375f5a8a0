package core

import (
	"container/heap"
	"time"

	"basaltcross.example/basaltcross/choice"
	"basaltcross.example/basaltcross/internal/lifecycle"
)

// recordWait is the longest time that a call waits for its records with a Backlog. By then the
// decision to send it, with its time-out and its slot in the rate of its endpoint, is that old.
// The value is the tolerance that the platform allows for every time limit on sockets.
const recordWait = 50 * time.Millisecond

// gated delays a call until its records are on disk or the answers it relies on are confirmed.
type gated struct {
	sock Attempt // the call, once it was sent; nil before
	off  bool    // ended before it was sent
}

// Abort implements Attempt. A call that was not sent ends without a byte sent.
func (g *gated) Abort() (started, ok bool) {
	if g.sock != nil {
		return g.sock.Abort()
	}
	ok = !g.off
	g.off = true
	return false, ok
}

// Recall implements Attempt.
func (g *gated) Recall() bool {
	if g.sock != nil {
		return g.sock.Recall()
	}
	ok := !g.off
	g.off = true
	return ok
}

// begun reports whether the call was passed to the Caller. Until then nothing that happens to
// it says anything about its endpoint.
func (a *attempt) begun() bool { return a.gate == nil || a.gate.sock != nil }

// send sends the call of an attempt, as soon as the outcomes that it relies on are confirmed.
func (c *Core) send(a *attempt) {
	if a == nil {
		return
	}
	if until := c.confirmedBy(a); until > c.now {
		c.delay(a, until)
		return
	}
	c.sendNow(a)
}

// sendNow sends a call, as soon as its records are on disk. The time-out of a call that waits for
// its records starts with the first byte, since it measures the endpoint and not the disk.
func (c *Core) sendNow(a *attempt) {
	call, seqs := c.call(a)
	timeout := a.end - a.sent
	if len(seqs) == 0 {
		heap.Push(&c.waits, a)
		c.begin(a, call, timeout)
		return
	}
	a.gate = &gated{}
	a.sock = a.gate
	waited := false
	c.durable(true, func() {
		switch {
		case a.gate.off:
		case !c.begins(a) || waited && 2*c.left(a) < timeout:
			a.gate.off = true
			c.later(event{ended: a, ending: Ending{Outcome: choice.NotSent, Took: c.now - a.sent}})
		default:
			a.sent = c.Now()
			if waited {
				timeout = min(timeout, c.left(a))
			}
			a.end = a.sent + timeout
			c.begin(a, call, timeout)
			c.expire(a)
		}
	}, seqs...)
	waited = true
	if !a.begun() && !a.gate.off {
		a.end = c.recordsBy(a)
		c.expire(a)
	}
}

// call builds the Call of an attempt and records its attempts where required. seqs are the
// messages whose records must be on disk before the first byte.
func (c *Core) call(a *attempt) (call Call, seqs []uint64) {
	m := a.m
	call = Call{ID: m.id, Name: m.Identity, Zone: a.zone, Passed: &a.passed, Host: a.host, Class: m.Class, Partner: m.Partner, Key: m.Key,
		Head: m.Head, Body: m.Body, End: func(e Ending) { c.later(event{ended: a, ending: e}) }}
	if c.opt.Settings.Classes[m.Class].Effect == choice.Keyed {
		call.Idem = m.idem()
	}
	for _, b := range a.all() {
		call.Once = call.Once || b.m.life.Repeat == lifecycle.Never || c.ordered(b.m)
		if len(a.with) > 0 {
			call.Several = append(call.Several, Item{ID: b.m.Identity, Key: b.m.Key, Head: b.m.Head, Body: b.m.Body})
			call.Body = nil
		}
		if c.harmful(b.m) {
			c.tried(b, false)
			seqs = append(seqs, b.m.seq)
		}
	}
	return call, seqs
}

// begin passes a call to the Caller.
func (c *Core) begin(a *attempt, call Call, timeout time.Duration) {
	call.Patient = timeout
	if by := a.latest(); by > 0 {
		call.Within = max(by-c.Now(), 1)
	}
	call.Doubted = c.doubter(a)
	sock := c.opt.Caller.Send(call)
	if a.gate == nil {
		a.sock = sock
		return
	}
	a.gate.sock = sock
	c.opt.Trace.Step(a.m.Identity, "begun", timeout.String())
}

// latest returns the latest time of the first write, over all messages of a call; 0 for none.
func (a *attempt) latest() time.Duration {
	by := time.Duration(0)
	for _, b := range a.all() {
		if b.by > 0 && (by == 0 || b.by < by) {
			by = b.by
		}
	}
	return by
}

// expire adds an attempt to the heap of time-outs, or moves it after a's time-out has changed.
func (c *Core) expire(a *attempt) {
	switch {
	case a.m.out != a: // the attempt has ended
	case a.place >= 0:
		heap.Fix(&c.waits, a.place)
	default:
		heap.Push(&c.waits, a)
	}
}

// recordsBy returns the time until which an attempt waits for its records.
func (c *Core) recordsBy(a *attempt) time.Duration {
	if c.backlog != nil {
		return a.sent + recordWait
	}
	return c.Now() + c.left(a)
}

// begins reports whether a call that waited may still be sent. It may not if the relay shuts
// down, if the deadline or the latest write of one of its messages has passed, or if one of
// them was answered or has another attempt.
func (c *Core) begins(a *attempt) bool {
	now, by := c.Now(), a.latest()
	for _, b := range a.all() {
		if c.parked || now > b.m.due || by > 0 && now >= by || b.m.out != b || b.m.answered {
			return false
		}
	}
	for _, b := range a.all() {
		if !b.m.life.MayBegin(c.opt.Guard, now, c.recorded(b.m)) {
			return false
		}
	}
	return true
}

// left returns the time until the first deadline of a call's messages. If that is less than half
// of the planned time-out, a call that waited is not sent, and the module decides again.
func (c *Core) left(a *attempt) time.Duration {
	by := a.m.due
	for _, b := range a.with {
		by = min(by, b.m.due)
	}
	return by - c.Now()
}

// pauseSends pauses the sends of the module while records wait for the disk, if all attempts are
// recorded: no call could be sent, and the module would blame endpoints for delays of the disk.
func (c *Core) pauseSends() {
	if c.backlog == nil || !c.opt.Every {
		return
	}
	if waits := c.backlog.Backlogged(); waits != c.paused {
		c.paused = waits
		c.batch = append(c.batch, choice.Pause{On: waits})
	}
}

// timers is a heap of attempts, ordered by time-out.
type timers []*attempt

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].end < t[j].end }
func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].place, t[j].place = i, j
}
func (t *timers) Push(x any) {
	a := x.(*attempt)
	a.place = len(*t)
	*t = append(*t, a)
}
func (t *timers) Pop() any {
	old := *t
	a := old[len(old)-1]
	old[len(old)-1] = nil
	*t = old[:len(old)-1]
	a.place = -1
	return a
}
