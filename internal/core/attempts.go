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
// by leader and followers.
type attempt struct {
	msg         *message
	attemptNo   int // from 0
	host        string
	zone        int // zone of the host at the time of the send
	partner     int
	sentAt      time.Duration
	timeoutAt   time.Duration // time of the time-out
	writeBy     time.Duration // latest time of the first write; 0 for none
	handle      Attempt       // of the call, nil in attempts that have a leader
	bytesPassed atomic.Int64
	settleBytes func(now time.Duration, passed int64, whole bool) // see ZoneBudget.Reserve; nil for none
	heapIndex   int                                               // index in Core.timeouts, -1 if not in it
	leader      *attempt                                          // first attempt of the call; nil in that one
	followers   []*attempt                                        // in the first attempt: the others of the call
	cancelled   bool                                              // cancelled by the module
	postponed   bool                                              // its time-out was postponed for an answer that has arrived
	// set while the call is delayed, and afterwards if it waited for its records
	gate *delayedCall
	// the outcome was retracted: the response belonged to another call
	retracted bool
}

// members returns the attempts of a's call, of which a is the first.
func (a *attempt) members() []*attempt { return append([]*attempt{a}, a.followers...) }

// recordsAttempts reports whether each attempt of a message is recorded before its first byte: if a
// repeat would do harm, or if all attempts are recorded.
func (c *Core) recordsAttempts(m *message) bool {
	return m.journaled && (c.opt.RecordAllAttempts || c.opt.Settings.Classes[m.Class].Effect != choice.Safe)
}

// recordAttempt records an attempt; clear marks one that certainly had no effect.
func (c *Core) recordAttempt(a *attempt, clear bool) {
	zone := ""
	if a.zone < len(c.opt.Names.Zones) {
		zone = c.opt.Names.Zones[a.zone]
	}
	c.opt.Journal.RecordAttempt(journal.Attempt{Seq: a.msg.seq, N: a.attemptNo, Host: a.host, Zone: zone,
		At: c.opt.Journal.Stamp(), NeverRan: clear})
}

// endCall processes the end of a call: it ends the attempt of each of its messages.
func (c *Core) endCall(a *attempt, e Ending) {
	for i, b := range a.members() {
		one := e
		if one.Each = nil; i < len(e.Each) {
			one = e.Each[i]
			one.Took = e.Took
		}
		c.endAttempt(b, one)
	}
}

// endAttempt processes the outcome of an attempt.
func (c *Core) endAttempt(a *attempt, e Ending) {
	m := a.msg
	if m.current != a {
		return
	}
	m.current = nil
	delete(c.inFlight, a)
	if a.retracted {
		e.Attribute(lifecycle.Doubtful)
	}
	if a.settleBytes != nil {
		whole := e.Outcome == choice.Served || e.Outcome == choice.Error || e.Outcome == choice.Refused
		a.settleBytes(c.now, a.bytesPassed.Load(), whole)
	}
	if a.heapIndex >= 0 {
		heap.Remove(&c.timeouts, a.heapIndex)
	}
	c.opt.Observer.Attempted(m.Class, e.Outcome, e.Took)
	c.recordHost(a.host, e)
	next := c.consequence(m, &e)
	c.traceResult(m, &e, next)
	if next == lifecycle.EndsDeliveredOwed && !m.answered {
		c.rememberDelivered(m, a.attemptNo)
	}
	noEffect := e.Attribution == lifecycle.Certain &&
		(e.Outcome == choice.Refused || e.Outcome == choice.NoConnection || e.Outcome == choice.NotSent)
	m.state.CallEnded(noEffect, next)
	if next == lifecycle.EndsUntold {
		c.answer(m, ledger.Answer{Verdict: ledger.Abandoned})
	}
	if noEffect && c.recordsAttempts(m) && !m.answered {
		c.recordAttempt(a, true)
	}
	delivered := next == lifecycle.EndsDelivered || next == lifecycle.EndsDeliveredOwed
	c.batch = append(c.batch, choice.Result{ID: m.id, Host: a.host, Attempt: a.attemptNo, Outcome: e.Outcome,
		Took: e.Took, RetryAfter: e.Wait, Done: delivered || m.answered, NoMoreAttempts: next == lifecycle.EndsSpent,
		Over: next == lifecycle.EndsFailed, Unproven: e.Attribution != lifecycle.Certain, Report: e.LoadReport})
	if delivered {
		c.answer(m, ledger.Answer{Verdict: ledger.Delivered})
	}
	c.removeFinished(m)
}

// consequence returns what follows from the end of a call for its message. Close to its deadline, the time of the
// message may be up by the clock of whoever handed it in: a delivery may be too late, and a message that is over may
// be out of time rather than withdrawn, so that it is told as failed.
func (c *Core) consequence(m *message, e *Ending) lifecycle.Consequence {
	says := e.statement()
	late := c.opt.LateMargin > 0 && c.now > m.deadline-c.opt.LateMargin
	if late && (says == lifecycle.SaysDelivered || says == lifecycle.SaysOver) {
		return lifecycle.EndsFailed
	}
	return lifecycle.ConsequenceOf(says, e.Attribution, c.ordered(m))
}

// traceResult traces the result of a call, and what follows if that is not decided by the outcome alone.
func (c *Core) traceResult(m *message, e *Ending, next lifecycle.Consequence) {
	if e.Attribution != lifecycle.Certain || next == lifecycle.EndsSpent {
		c.opt.Trace.Step(m.Identity, "unproven", next.String())
	}
	c.opt.Trace.Step(m.Identity, "result", e.Outcome.String())
}

// arrivedAnswerGrace is how long a time-out waits for an answer whose bytes have arrived and are not processed yet.
// By the platform's pages a process may be held up for that long.
const arrivedAnswerGrace = 150 * time.Millisecond

// awaitArrivedAnswer sets the time-out of a call that is to be given up now to a short time later, once, if bytes have
// arrived for it: after a pause of the process the timer may run before them, and the answer may say that a message
// must not be called again. Past the deadline of its last message none is called again anyway.
func (c *Core) awaitArrivedAnswer(a *attempt) bool {
	grace := min(arrivedAnswerGrace, c.longestTimeLeft(a))
	if a.postponed || grace <= 0 || !a.handle.AnswerPending() {
		return false
	}
	a.postponed = true
	a.timeoutAt = c.now + grace
	c.scheduleTimeout(a)
	return true
}

// abortCall ends a call because of a time-out or at shutdown. If it has ended already, its
// outcome counts and arrives through the inbox.
func (c *Core) abortCall(a *attempt, why choice.Outcome) {
	started, ok := a.handle.Abort()
	if !ok {
		if a.heapIndex >= 0 {
			heap.Remove(&c.timeouts, a.heapIndex)
		}
		return
	}
	if !started { // no byte was sent: it cannot have run
		if why = choice.NotSent; c.now >= a.timeoutAt && a.dispatched() {
			why = choice.NoConnection
		}
	}
	c.endCall(a, Ending{Outcome: why, Took: c.now - a.sentAt})
}

// applyListing updates the tables of endpoints, and adds to recall the endpoints that no longer
// accept new calls.
func (c *Core) applyListing(l *choice.HostUpdate, recall map[string]bool) {
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
		for a := range c.inFlight {
			if !ready[a.host] {
				recall[a.host] = true
			}
		}
	}
}

// addWaitingHosts adds to recall the endpoints to which the wait that ended a applies: all of the
// partner, unless its endpoints have limits of their own.
func (c *Core) addWaitingHosts(a *attempt, recall map[string]bool) {
	recall[a.host] = true
	if c.kind(a.host).PerHostLimits {
		return
	}
	for b := range c.inFlight {
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
	for a := range c.inFlight {
		if hosts[a.host] && a.leader == nil && a.handle.Recall() {
			c.endCall(a, Ending{Outcome: choice.NotSent, Took: c.now - a.sentAt})
		}
	}
}

// anySendTo reports whether any of actions sends to a host.
func anySendTo(actions []choice.Action, host string) bool {
	return slices.ContainsFunc(actions, func(a choice.Action) bool {
		s, ok := a.(choice.Send)
		return ok && s.Host == host
	})
}

// newAttempt creates the attempt for a send. It returns nil if the message is gone or must not be
// sent; the module then gets NotSent in the next batch.
func (c *Core) newAttempt(s choice.Send) *attempt {
	m := c.byID[s.ID]
	if m == nil {
		return nil
	}
	if !m.state.MaySend(c.opt.Guard, c.now, c.parked) {
		c.enqueueOwn(event{call: func() {
			c.batch = append(c.batch, choice.Result{ID: m.id, Host: s.Host, Attempt: m.attempts,
				Outcome: choice.NotSent})
			m.attempts++
		}})
		return nil
	}
	a := &attempt{msg: m, attemptNo: m.attempts, host: s.Host, partner: m.Partner, sentAt: c.now,
		timeoutAt: c.now + s.Timeout, zone: c.zones[s.Host], heapIndex: -1}
	if s.StartWithin > 0 {
		a.writeBy = c.now + s.StartWithin
	}
	m.attempts++
	m.current = a
	c.opt.Trace.Step(m.Identity, "send", s.Host)
	c.inFlight[a] = struct{}{}
	if c.opt.ZoneBudget != nil {
		a.settleBytes = c.opt.ZoneBudget.Reserve(c.now, m.Class, m.Partner, a.zone)
	}
	return a
}

// fitsCall reports whether the message of a fits into a call with those of group.
func (c *Core) fitsCall(group []*attempt, a *attempt) bool {
	if c.opt.MaxCallBytes == 0 || len(group) == 0 {
		return true
	}
	size := 0
	for _, b := range append([]*attempt{a}, group...) {
		size += itemOverhead + len(b.msg.Identity) + max(len(b.msg.Key), len(b.msg.Head)) +
			base64.StdEncoding.EncodedLen(len(b.msg.Body))
	}
	return size <= c.opt.MaxCallBytes
}

// itemOverhead is the overhead of a message in a call with several, in bytes, besides its own fields.
const itemOverhead = 40

// sendGroup sends several attempts as one call.
func (c *Core) sendGroup(group []*attempt) {
	if len(group) == 0 {
		return
	}
	group[0].followers = group[1:]
	for _, b := range group[1:] {
		b.leader = group[0]
	}
	c.send(group[0])
}
