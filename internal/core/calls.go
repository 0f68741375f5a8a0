package core

import (
	"container/heap"
	"time"

	"basaltcross.example/basaltcross/choice"
	"basaltcross.example/basaltcross/internal/lifecycle"
)

// recordWait is how long a call may wait for its records where the journal tells what waits:
// the decision to send it, with its time-out and its place in the pace of its endpoint, is as
// old then. It is what the platform allows every limit on sockets.
const recordWait = 50 * time.Millisecond

// gated is an attempt that waits for its record; not a byte is out before.
type gated struct {
	sock Attempt // once it has begun
	off  bool
}

// Abort ends it.
func (g *gated) Abort() (started, ok bool) {
	if g.sock != nil {
		return g.sock.Abort()
	}
	ok = !g.off
	g.off = true
	return false, ok
}

// Recall ends it if it has not begun, or not reached the kernel.
func (g *gated) Recall() bool {
	if g.sock != nil {
		return g.sock.Recall()
	}
	ok := !g.off
	g.off = true
	return ok
}

// begun tells whether a call was handed to the caller: before, nothing that happens to it
// tells of its endpoint.
func (a *attempt) begun() bool { return a.gate == nil || a.gate.sock != nil }

// send begins a call: an attempt, and those that travel with it, once the answers are confirmed
// that it rests on.
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

// sendNow begins a call. Where it has to wait for its records its time-out runs from its first
// byte, for it measures the endpoint and not the disk.
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

// call describes an attempt to the caller; seqs are the messages whose records must be on
// disk before its first byte.
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

// begin hands a call over.
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

// latest is when nothing of a call is written any more; 0 for no such time.
func (a *attempt) latest() time.Duration {
	by := time.Duration(0)
	for _, b := range a.all() {
		if b.by > 0 && (by == 0 || b.by < by) {
			by = b.by
		}
	}
	return by
}

// expire puts an attempt at its place among the time-outs.
func (c *Core) expire(a *attempt) {
	switch {
	case a.m.out != a: // ended meanwhile
	case a.place >= 0:
		heap.Fix(&c.waits, a.place)
	default:
		heap.Push(&c.waits, a)
	}
}

// recordsBy is how long an attempt waits for its records.
func (c *Core) recordsBy(a *attempt) time.Duration {
	if c.backlog != nil {
		return a.sent + recordWait
	}
	return c.Now() + c.left(a)
}

// begins decides whether a call may still leave: nothing does once the relay leaves, and
// nothing behind the time of one of its messages.
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

// left is what is left of the time of a call's messages: where that is less than half of the
// time-out that was meant, a call that waited is not begun, and the module decides anew.
func (c *Core) left(a *attempt) time.Duration {
	by := a.m.due
	for _, b := range a.with {
		by = min(by, b.m.due)
	}
	return by - c.Now()
}

// pauseSends has the module send nothing while records wait: no call could begin, and what
// it believes of endpoints would be the disk's doing.
func (c *Core) pauseSends() {
	if c.backlog == nil || !c.opt.Every {
		return
	}
	if waits := c.backlog.Backlogged(); waits != c.paused {
		c.paused = waits
		c.batch = append(c.batch, choice.Pause{On: waits})
	}
}

// timers is a heap of attempts by time-out.
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
