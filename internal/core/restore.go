package core

import (
	"math"
	"strconv"
	"time"

	"basaltcross.example/basaltcross/choice"
	"basaltcross.example/basaltcross/internal/journal"
	"basaltcross.example/basaltcross/internal/ledger"
	"basaltcross.example/basaltcross/internal/lifecycle"
)

// hostState is the recorded state of an endpoint.
type hostState struct {
	waitUntil time.Duration // end of the wait that it asked for
	failing   bool          // its last call failed
}

// recordHost records whether an endpoint fails and the wait that it asked for. A wait in force stays
// in the record whatever the outcome of other calls.
func (c *Core) recordHost(host string, e Ending) {
	if c.opt.Journal == nil || c.opt.SkipHostRecords {
		return
	}
	was := c.recordedHosts[host]
	n := hostState{was.waitUntil, e.Outcome != choice.Served && e.Outcome != choice.Refused &&
		e.Outcome != choice.NotSent}
	if e.Wait > 0 {
		n.waitUntil = max(n.waitUntil, c.now+e.Wait)
	}
	if n != was {
		c.recordedHosts[host] = n
		c.opt.Journal.RecordWait(journal.Wait{Host: host, At: c.opt.Journal.Stamp(),
			Remaining: int64(max(0, n.waitUntil-c.now)), Failing: n.failing})
	}
}

// restoreHosts passes the state of newly listed endpoints from an earlier run to the module, and
// drops the records of endpoints that were removed.
func (c *Core) restoreHosts(l *choice.HostUpdate) {
	for _, h := range l.Hosts {
		if w, ok := c.restoredHosts[h.Addr]; ok && h.State != choice.Gone {
			c.batch = append(c.batch, choice.RestoredHost{Host: h.Addr, RetryAfter: max(0, w.waitUntil-c.now),
				Failing: w.failing})
			delete(c.restoredHosts, h.Addr)
		}
	}
	for host, n := range c.recordedHosts {
		if _, listed := c.zones[host]; !listed && n.waitUntil <= c.now && c.opt.Journal != nil {
			if _, later := c.restoredHosts[host]; !later {
				delete(c.recordedHosts, host)
				c.opt.Journal.RecordWait(journal.Wait{Host: host})
			}
		}
	}
}

// Restored is a message of an earlier run that is not answered.
type Restored struct {
	Message
	Seq        uint64
	Attempts   int           // attempts made
	MayHaveRun bool          // one of them may have run
	Since      time.Duration // time since the first of those was sent
	Zone       int           // zone that it was sent to; below 0 if it is not known any more
}

// Ended is an identity of an earlier run with its final answer.
type Ended struct {
	// Owed marks an answer that the client has not received. Until Settled the message keeps
	// its place in the order of its key.
	Owed      bool
	Seq       uint64
	Class     int
	Key       string
	Identity  string
	Answer    ledger.Answer
	Age       time.Duration // time since the answer
	Evictable bool          // may be evicted early: a repeat does no harm
}

// Restore loads the state of an earlier run, before Run. Ended identities are known at once;
// the module receives the messages in its first step, in their order. last is the last
// sequence number that was used.
func (c *Core) Restore(messages []Restored, ended []Ended, waits []choice.RestoredHost, last uint64) {
	c.now = c.Now()
	c.lastSeq = last
	var owed []choice.Event
	for _, e := range ended {
		id := ""
		if e.Owed {
			id = strconv.FormatUint(e.Seq, 36)
			c.unsettledIDs[e.Identity] = id
			owed = append(owed, choice.Restored{Arrival: choice.Arrival{ID: id, Class: e.Class, Key: e.Key},
				Answered: true})
		}
		c.identityLedger.Restore(c.now-e.Age, e.Identity, id, e.Answer, e.Evictable)
	}
	for _, w := range waits {
		n := hostState{c.now + w.RetryAfter, w.Failing}
		c.restoredHosts[w.Host], c.recordedHosts[w.Host] = n, n
	}
	var restored []*choice.Restored
	for i := range messages {
		r := &messages[i]
		k := &c.opt.Settings.Classes[r.Class]
		m := &message{Message: r.Message, takenAt: c.now, deadline: c.now + r.Message.Left, seq: r.Seq,
			journaled: true, attempts: r.Attempts,
			id: strconv.FormatUint(r.Seq, 36)}
		m.state = lifecycle.Message{ID: m.Identity, Repeat: repeatPolicies[k.Effect], Window: k.Window,
			Deadline: m.deadline, Durable: true}
		m.state.Restore(r.MayHaveRun, c.now-min(r.Since, math.MaxInt64/4))
		m.entry = c.identityLedger.Reopen(m.Identity, m.id, k.Effect == choice.Safe)
		c.byEntry[m.entry] = m
		c.byID[m.id] = m
		c.unanswered++
		restored = append(restored, &choice.Restored{Arrival: choice.Arrival{ID: m.id, Class: r.Class,
			Dest: r.Partner, TimeLeft: r.Message.Left,
			Key: r.Key}, Attempts: r.Attempts, MayHaveRun: r.MayHaveRun, Since: r.Since, Zone: r.Zone})
	}
	restoredAt := c.now
	_ = c.enqueue(event{call: func() {
		c.batch = append(c.batch, owed...)
		for _, r := range restored { // the time that the start took counts
			if m := c.byID[r.ID]; m != nil {
				r.TimeLeft = m.deadline - c.now
				r.Since += min(c.now-restoredAt, math.MaxInt64-r.Since)
				c.batch = append(c.batch, *r)
			}
		}
	}})
}
