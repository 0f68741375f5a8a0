package core

import (
	"container/heap"
	"time"

	"basaltcross.example/basaltcross/choice"
)

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

// send begins a call: an attempt, and those that travel with it.
func (c *Core) send(a *attempt) {
	if a == nil {
		return
	}
	m := a.m
	call := Call{ID: m.id, Name: m.Identity, Zone: a.zone, Passed: &a.passed, Host: a.host, Class: m.Class, Partner: m.Partner, Key: m.Key,
		Head: m.Head, Body: m.Body, Patient: a.end - a.sent, End: func(e Ending) { c.later(event{ended: a, ending: e}) }}
	if c.opt.Settings.Classes[m.Class].Effect == choice.Keyed {
		call.Idem = m.idem()
	}
	first := false // records come before the first byte
	var seqs []uint64
	by := time.Duration(0)
	for _, b := range a.all() {
		if b.by > 0 && (by == 0 || b.by < by) {
			by = b.by
		}
		if len(a.with) > 0 {
			call.Several = append(call.Several, Item{ID: b.m.Identity, Key: b.m.Key, Head: b.m.Head, Body: b.m.Body})
			call.Body = nil
		}
		if c.harmful(b.m) {
			first = true
			c.tried(b, false)
			seqs = append(seqs, b.m.seq)
		}
	}
	heap.Push(&c.waits, a)
	if by > 0 {
		call.Within = max(by-c.Now(), 1)
	}
	if !first {
		a.sock = c.opt.Caller.Send(call)
		return
	}
	g := &gated{}
	a.sock = g
	c.durable(true, func() {
		if g.off {
			return
		}
		if !c.begins(a, by) {
			g.off = true
			c.later(event{ended: a, ending: Ending{Outcome: choice.NotSent, Took: c.now - a.sent}})
			return
		}
		call.Patient = max(a.end-c.now, time.Millisecond)
		if by > 0 {
			call.Within = max(by-c.Now(), 1)
		}
		g.sock = c.opt.Caller.Send(call)
	}, seqs...)
}

// begins decides whether a call that waited for its records may still leave: nothing does
// once the relay leaves, and nothing behind the time of one of its messages.
func (c *Core) begins(a *attempt, by time.Duration) bool {
	now := c.Now()
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
