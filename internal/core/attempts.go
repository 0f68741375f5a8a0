package core

import (
	"container/heap"
	"encoding/base64"
	"slices"
	"sync/atomic"
	"time"

	"basaltcross.example/basaltcross/choice"
	"basaltcross.example/basaltcross/internal/journal"
	"basaltcross.example/basaltcross/internal/ledger"
	"basaltcross.example/basaltcross/internal/lifecycle"
)

// attempt is one attempt of a message. The attempts of a call with several messages are linked
// by lead and with.
type attempt struct {
	m       *message
	n       int // number of the attempt, from 0
	host    string
	zone    int // zone of the host at the time of the send
	partner int
	sent    time.Duration
	end     time.Duration // time of the time-out
	by      time.Duration // latest time of the first write; 0 for none
	sock    Attempt       // of the call, nil in attempts that have a lead
	passed  atomic.Int64
	settle  func(now time.Duration, passed int64, whole bool) // see Toll.Sent; nil for none
	place   int                                               // index in the heap of time-outs, -1 if not in it
	lead    *attempt                                          // first attempt of the call; nil in that one
	with    []*attempt                                        // in the first attempt: the others of the call
	off     bool                                              // cancelled by the module
	gate    *gated                                            // set if the call is or was delayed until its records are on disk
	doubted bool                                              // the outcome was retracted: the response belonged to another call
}

// all returns the attempts of a's call, of which a is the first.
func (a *attempt) all() []*attempt { return append([]*attempt{a}, a.with...) }

// harmful reports whether each attempt of a message is recorded before its first byte: if a
// repeat would do harm, or if all attempts are recorded.
func (c *Core) harmful(m *message) bool {
	return m.kept && (c.opt.Every || c.opt.Settings.Classes[m.Class].Effect != choice.Safe)
}

// tried records an attempt; clear marks one that certainly had no effect.
func (c *Core) tried(a *attempt, clear bool) {
	zone := ""
	if a.zone < len(c.opt.Names.Zones) {
		zone = c.opt.Names.Zones[a.zone]
	}
	c.opt.Journal.Tried(journal.Attempt{Seq: a.m.seq, N: a.n, Host: a.host, Zone: zone, At: c.opt.Journal.Stamp(), Clear: clear})
}

// clear records that an attempt had no effect, once its outcome is confirmed.
func (c *Core) clear(a *attempt) {
	if a.m.life.ConfirmedBy() <= c.now || a.m.life.Repeat != lifecycle.Never {
		c.tried(a, true)
		return
	}
	c.confirm(a.m.life.ConfirmedBy(), func() {
		if !a.m.answered && !a.m.life.MayHaveRun() {
			c.tried(a, true)
		}
	})
}

// over processes the end of a call: it ends the attempt of each of its messages.
func (c *Core) over(a *attempt, e Ending) {
	for i, b := range a.all() {
		one := e
		if one.Each = nil; i < len(e.Each) {
			one = e.Each[i]
			one.Took, one.Unconfirmed, one.Unsettled = e.Took, e.Unconfirmed, e.Unsettled
		}
		c.end(b, one)
	}
}

// end processes the outcome of an attempt.
func (c *Core) end(a *attempt, e Ending) {
	m := a.m
	if m.out != a {
		return
	}
	m.out = nil
	delete(c.outs, a)
	if a.doubted {
		e = Ending{Outcome: choice.Doubted, Took: e.Took, Wait: e.Wait}
	}
	if a.settle != nil {
		whole := e.Outcome == choice.Served || e.Outcome == choice.Error || e.Outcome == choice.Refused
		a.settle(c.now, a.passed.Load(), whole)
	}
	if a.place >= 0 {
		heap.Remove(&c.waits, a.place)
	}
	c.opt.Observer.Attempted(m.Class, e.Outcome, e.Took)
	c.note(a.host, e)
	served := e.Outcome == choice.Served && (c.opt.Late == 0 || c.now <= m.due-c.opt.Late)
	if e.Unsettled > 0 && !m.answered {
		c.unconfirmed(a, e, served)
	}
	if e.Over && !m.answered { // the platform has abandoned the message: no answer is due
		c.answer(m, ledger.Answer{Verdict: ledger.Abandoned})
	}
	sure := e.Outcome == choice.Refused || e.Outcome == choice.NoConnection || e.Outcome == choice.NotSent
	m.life.Back(sure)
	c.opt.Trace.Step(m.Identity, "result", e.Outcome.String())
	if sure && c.harmful(m) && !m.answered {
		c.clear(a)
	}
	c.batch = append(c.batch, choice.Result{ID: m.id, Host: a.host, Attempt: a.n, Outcome: e.Outcome,
		Took: e.Took, Wait: e.Wait, Done: served || m.answered, Spent: e.Spent, Report: e.Report})
	if served {
		c.answer(m, ledger.Answer{Verdict: ledger.Delivered})
	}
	c.forget(m)
}

// abort ends a call because of a time-out or at shutdown. If it has ended already, its
// outcome counts and arrives through the inbox.
func (c *Core) abort(a *attempt, why choice.Outcome) {
	started, ok := a.sock.Abort()
	if !ok {
		if a.place >= 0 {
			heap.Remove(&c.waits, a.place)
		}
		return
	}
	if !started { // no byte was sent: it cannot have run
		if why = choice.NotSent; c.now >= a.end && a.begun() {
			why = choice.NoConnection
		}
	}
	c.over(a, Ending{Outcome: why, Took: c.now - a.sent})
}

// listed updates the tables of endpoints, and adds to recall the endpoints that no longer
// accept new calls.
func (c *Core) listed(l *choice.Listing, recall map[string]bool) {
	if l.Failed {
		return
	}
	ready := map[string]bool{}
	if l.Whole {
		clear(c.zones)
		clear(c.kinds)
	}
	for _, h := range l.Hosts {
		c.zones[h.Addr], c.kinds[h.Addr] = h.Zone, h.Kind
		switch h.State {
		case choice.Ready:
			ready[h.Addr] = true
		case choice.Gone:
			delete(c.zones, h.Addr)
			delete(c.kinds, h.Addr)
			fallthrough
		default:
			recall[h.Addr] = true
		}
	}
	if l.Whole {
		for a := range c.outs {
			if !ready[a.host] {
				recall[a.host] = true
			}
		}
	}
}

// hold adds to recall the endpoints to which the wait that ended a applies: all of the
// partner, unless its endpoints have limits of their own.
func (c *Core) hold(a *attempt, recall map[string]bool) {
	recall[a.host] = true
	if c.kind(a.host).Apart {
		return
	}
	for b := range c.outs {
		if b.partner == a.partner {
			recall[b.host] = true
		}
	}
}

// kind returns the kind of an endpoint; one message a call if its kind is unknown.
func (c *Core) kind(host string) choice.Kind {
	if k := c.kinds[host]; k >= 0 && k < len(c.opt.Settings.Kinds) {
		return c.opt.Settings.Kinds[k]
	}
	return choice.Kind{PerCall: 1}
}

// recall ends calls to hosts whose connection is not established yet. The events of this
// batch may have changed the module's decision, and no byte should be sent long after
// the decision to send it. The module then decides again.
func (c *Core) recall(hosts map[string]bool) {
	for a := range c.outs {
		if hosts[a.host] && a.lead == nil && a.sock.Recall() {
			c.over(a, Ending{Outcome: choice.NotSent, Took: c.now - a.sent})
		}
	}
}

// sentLater reports whether any of actions sends to a host.
func sentLater(actions []choice.Action, host string) bool {
	return slices.ContainsFunc(actions, func(a choice.Action) bool {
		s, ok := a.(choice.Send)
		return ok && s.Host == host
	})
}

// attempt creates the attempt for a send. It returns nil if the message is gone or must not be
// sent; the module then gets NotSent in the next batch.
func (c *Core) attempt(s choice.Send) *attempt {
	m := c.msgs[s.ID]
	if m == nil {
		return nil
	}
	if !m.life.MaySend(c.opt.Guard, c.now, c.parked) {
		c.later(event{call: func() {
			c.batch = append(c.batch, choice.Result{ID: m.id, Host: s.Host, Attempt: m.tries, Outcome: choice.NotSent})
			m.tries++
		}})
		return nil
	}
	a := &attempt{m: m, n: m.tries, host: s.Host, partner: m.Partner, sent: c.now,
		end: c.now + s.Timeout, zone: c.zones[s.Host], place: -1}
	if s.Within > 0 {
		a.by = c.now + s.Within
	}
	m.tries++
	m.out = a
	c.opt.Trace.Step(m.Identity, "send", s.Host)
	c.outs[a] = struct{}{}
	if c.opt.Toll != nil {
		a.settle = c.opt.Toll.Sent(c.now, m.Class, m.Partner, a.zone)
	}
	return a
}

// fits reports whether the message of a fits into a call with those of group.
func (c *Core) fits(group []*attempt, a *attempt) bool {
	if c.opt.Together == 0 || len(group) == 0 {
		return true
	}
	size := 0
	for _, b := range append([]*attempt{a}, group...) {
		size += perItem + len(b.m.Identity) + max(len(b.m.Key), len(b.m.Head)) + base64.StdEncoding.EncodedLen(len(b.m.Body))
	}
	return size <= c.opt.Together
}

// perItem is the overhead of a message in a call with several, in bytes, besides its own fields.
const perItem = 40

// sendGroup sends several attempts as one call.
func (c *Core) sendGroup(group []*attempt) {
	if len(group) == 0 {
		return
	}
	group[0].with = group[1:]
	for _, b := range group[1:] {
		b.lead = group[0]
	}
	c.send(group[0])
}
