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

type attempt struct {
	m       *message
	n       int
	host    string
	zone    int // of the host as it was sent to
	partner int
	sent    time.Duration
	end     time.Duration // time-out
	by      time.Duration // nothing is written after it; 0 for no such time
	sock    Attempt
	passed  atomic.Int64
	settle  func(now time.Duration, passed int64, whole bool)
	place   int        // in the heap, -1 if not there
	lead    *attempt   // with which it travels; nil for one that goes alone or leads
	with    []*attempt // those that travel with it
	off     bool       // called off by the module
	gate    *gated     // it waits for its record, or did; nil for one that had not to
	doubted bool       // its outcome was another's
}

// all are the attempts of one call.
func (a *attempt) all() []*attempt { return append([]*attempt{a}, a.with...) }

// harmful tells whether a second effect of a message would do harm: then each
// attempt is recorded before its first byte.
func (c *Core) harmful(m *message) bool {
	return m.kept && (c.opt.Every || c.opt.Settings.Classes[m.Class].Effect != choice.Safe)
}

// tried records an attempt of a message.
func (c *Core) tried(a *attempt, clear bool) {
	zone := ""
	if a.zone < len(c.opt.Names.Zones) {
		zone = c.opt.Names.Zones[a.zone]
	}
	c.opt.Journal.RecordAttempt(journal.Attempt{Seq: a.m.seq, N: a.n, Host: a.host, Zone: zone,
		At: c.opt.Journal.Stamp(), NeverRan: clear})
}

// clear records that an attempt had no effect, once that is confirmed.
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

// over takes in how a call ended: each of its messages has its own end.
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

// end takes in an attempt's outcome from its socket.
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
	if e.Over && !m.answered { // the platform says so: nobody is owed anything
		c.answer(m, ledger.Answer{Verdict: ledger.Abandoned})
	}
	sure := e.Outcome == choice.Refused || e.Outcome == choice.NoConnection || e.Outcome == choice.NotSent
	m.life.Back(sure)
	c.opt.Trace.Step(m.Identity, "result", e.Outcome.String())
	if sure && c.harmful(m) && !m.answered {
		c.clear(a)
	}
	c.batch = append(c.batch, choice.Result{ID: m.id, Host: a.host, Attempt: a.n, Outcome: e.Outcome,
		Took: e.Took, RetryAfter: e.Wait, Done: served || m.answered, NoMoreAttempts: e.Spent, Report: e.Report})
	if served {
		c.answer(m, ledger.Answer{Verdict: ledger.Delivered})
	}
	c.forget(m)
}

// abort ends an attempt for a time-out or a cancel. If its outcome was first,
// that stands and comes by the inbox.
func (c *Core) abort(a *attempt, why choice.Outcome) {
	started, ok := a.sock.Abort()
	if !ok {
		if a.place >= 0 {
			heap.Remove(&c.waits, a.place)
		}
		return
	}
	if !started { // not one byte was handed over: it cannot have run
		if why = choice.NotSent; c.now >= a.end && a.begun() {
			why = choice.NoConnection
		}
	}
	c.over(a, Ending{Outcome: why, Took: c.now - a.sent})
}

// listed notes endpoints that no longer take new work.
func (c *Core) listed(l *choice.HostUpdate, recall map[string]bool) {
	if l.Failed {
		return
	}
	ready := map[string]bool{}
	if l.Full {
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
	if l.Full {
		for a := range c.outs {
			if !ready[a.host] {
				recall[a.host] = true
			}
		}
	}
}

// hold notes endpoints that a told wait covers.
func (c *Core) hold(a *attempt, recall map[string]bool) {
	recall[a.host] = true
	if c.kind(a.host).PerHostLimits {
		return
	}
	for b := range c.outs {
		if b.partner == a.partner {
			recall[b.host] = true
		}
	}
}

// kind of an endpoint; that of one which has none carries one message a call.
func (c *Core) kind(host string) choice.Kind {
	if k := c.kinds[host]; k >= 0 && k < len(c.opt.Settings.Kinds) {
		return c.opt.Settings.Kinds[k]
	}
	return choice.Kind{PerCall: 1}
}

// recall takes back attempts whose connection is not up yet, where the news
// of this batch may have changed what the module would say: bytes must not go
// out long after the decision that sent them.
func (c *Core) recall(hosts map[string]bool) {
	for a := range c.outs {
		if hosts[a.host] && a.lead == nil && a.sock.Recall() {
			c.over(a, Ending{Outcome: choice.NotSent, Took: c.now - a.sent})
		}
	}
}

// sentLater tells whether an action sends to a host.
func sentLater(actions []choice.Action, host string) bool {
	return slices.ContainsFunc(actions, func(a choice.Action) bool {
		s, ok := a.(choice.Send)
		return ok && s.Host == host
	})
}

// attempt makes that of a send, nil for a message that is no more.
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
	if s.StartWithin > 0 {
		a.by = c.now + s.StartWithin
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

// fits tells whether one more attempt may travel with others in one call.
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

// perItem bytes a message takes in a call that carries several, apart from what is its own.
const perItem = 40

// sendGroup begins one call with several attempts.
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
