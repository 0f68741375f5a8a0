package core

import (
	"container/heap"
	"time"

	"basaltcross.example/basaltcross/choice"
	"basaltcross.example/basaltcross/internal/journal"
	"basaltcross.example/basaltcross/internal/ledger"
	"basaltcross.example/basaltcross/internal/lifecycle"
)

// mostDelivered messages that were delivered by an answer which may yet turn out to be another
// call's are remembered; those that come when there are so many are believed.
const mostDelivered = 4096

// doubts are what is done, or undone, when answers that were not their call's own turn out to be.
type doubts struct {
	steps     confirmations
	number    uint64                   // of the last step
	delivered map[string]delivered     // by message
	oldest    []string                 // of them, in their order
	keys      map[orderKey]confirmedBy // the last message of a key: the next goes out then
}

// confirmation is a step for the moment in which an answer counts as its call's own.
type confirmation struct {
	at     time.Duration
	number uint64
	do     func()
}

type confirmedBy = time.Duration

// orderKey is one key at one partner.
type orderKey struct {
	partner int
	key     string
}

// delivered is a message that is over, by an answer that is not confirmed.
type delivered struct {
	until time.Duration // nothing is undone later
	n     int           // by this attempt
	end   journal.End
	kept  bool
}

// attempted names one attempt of a message.
type attempted struct {
	id   string
	n    int
	sent time.Duration
}

// doubter is called where the outcome of a call turns out to be another's. It keeps no message.
func (c *Core) doubter(a *attempt) func() {
	var all []attempted
	for _, b := range a.all() {
		all = append(all, attempted{b.m.id, b.n, a.sent})
	}
	return func() {
		_ = c.put(event{call: func() {
			for _, b := range all {
				c.doubt(b)
			}
		}})
	}
}

// unconfirmed takes in the end of an attempt by an answer that is not confirmed: the message is not
// sent again, nor refused where it may not be repeated, before it is. Nor does the next of its key go
// out, unless it was served: keys whose messages come quickly would wait for nothing but silence.
func (c *Core) unconfirmed(a *attempt, e Ending, served bool) {
	m := a.m
	until := c.now + e.Unconfirmed
	c.opt.Trace.Step(m.Identity, "unconfirmed", e.Unconfirmed.String())
	if nextWaits := m.life.Unconfirmed(until, served); nextWaits && c.ordered(m) {
		key := orderKey{m.Partner, m.Key}
		if c.doubts.keys == nil {
			c.doubts.keys = map[orderKey]confirmedBy{}
		}
		c.doubts.keys[key] = max(c.doubts.keys[key], until)
		c.confirm(until, func() {
			if c.doubts.keys[key] <= c.now {
				delete(c.doubts.keys, key)
			}
		})
	}
	if served || e.Over {
		c.keepDelivered(m, a.n)
	}
}

// ordered tells whether messages of the same key go after a message.
func (c *Core) ordered(m *message) bool {
	return m.Key != "" && c.opt.Settings.Classes[m.Class].Ordered
}

// keepDelivered keeps what is needed to end a message anew that was delivered.
func (c *Core) keepDelivered(m *message, n int) {
	d := &c.doubts
	if len(d.oldest) >= mostDelivered {
		return
	}
	if d.delivered == nil {
		d.delivered = map[string]delivered{}
	}
	d.oldest = append(d.oldest, m.id)
	d.delivered[m.id] = delivered{until: min(m.due, c.now+lifecycle.LongestDoubt), n: n, kept: m.kept, end: journal.End{Seq: m.seq, Identity: m.Identity,
		Class: c.opt.Settings.Classes[m.Class].Name, Verdict: uint8(ledger.Failed), Front: m.Front, Way: m.Way}}
}

// confirm has something done at a moment.
func (c *Core) confirm(at time.Duration, do func()) {
	c.doubts.number++
	heap.Push(&c.doubts.steps, confirmation{at, c.doubts.number, do})
}

// next is when something is to be done or forgotten; below 0 for never.
func (d *doubts) next() time.Duration {
	at := time.Duration(-1)
	if len(d.steps) > 0 {
		at = d.steps[0].at
	}
	if len(d.oldest) > 0 {
		if until := d.delivered[d.oldest[0]].until; at < 0 || until < at {
			at = until
		}
	}
	return at
}

// confirmDue does the steps whose moment has come, in their order, and forgets what can't be undone
// any more.
func (c *Core) confirmDue() {
	d := &c.doubts
	for len(d.steps) > 0 && d.steps[0].at <= c.now {
		heap.Pop(&d.steps).(confirmation).do()
	}
	for len(d.oldest) > 0 && d.delivered[d.oldest[0]].until <= c.now {
		delete(d.delivered, d.oldest[0])
		d.oldest = d.oldest[1:]
	}
}

// confirmations is a heap by moment, those of one moment in the order in which they came.
type confirmations []confirmation

func (s confirmations) Len() int      { return len(s) }
func (s confirmations) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s confirmations) Less(i, j int) bool {
	return s[i].at < s[j].at || s[i].at == s[j].at && s[i].number < s[j].number
}
func (s *confirmations) Push(x any) { *s = append(*s, x.(confirmation)) }
func (s *confirmations) Pop() any {
	old := *s
	x := old[len(old)-1]
	old[len(old)-1] = confirmation{}
	*s = old[:len(old)-1]
	return x
}

// doubt takes in that the outcome of an attempt was another's. What was delivered by it is told as
// failed: a notice for a message that is over does no harm. What was refused by it may have run.
func (c *Core) doubt(b attempted) {
	m := c.msgs[b.id]
	switch {
	case m == nil || m.answered:
		c.undeliver(b)
	case m.out != nil && m.out.n == b.n:
		m.out.doubted = true
	default:
		c.mayHaveRun(m, b.sent)
	}
}

// undeliver ends a message anew that was delivered by an answer which was not its own.
func (c *Core) undeliver(b attempted) {
	x, known := c.doubts.delivered[b.id]
	if !known || x.n != b.n || c.now > x.until || c.opt.Undelivered == nil {
		return
	}
	delete(c.doubts.delivered, b.id)
	c.opt.Trace.Step(x.end.Identity, "ended", ledger.Failed.String())
	told := false
	tell := func() {
		if !told {
			told = true
			c.opt.Undelivered(x.end.Identity)
		}
	}
	if x.kept {
		x.end.At = c.opt.Journal.Stamp()
		c.opt.Journal.RecordEnd(x.end)
	}
	c.durable(x.kept, tell, x.end.Seq) // else the next process might send it after that
	if !told {
		c.confirm(x.until, tell)
	}
}

// mayHaveRun takes in that a message whose call was refused may have run all the same. A further call
// that waits for the refusal to be confirmed is not made where that would do harm.
func (c *Core) mayHaveRun(m *message, sent time.Duration) {
	m.life.Doubt(sent)
	if a := m.out; a != nil && m.life.Repeat == lifecycle.Never {
		lead := a
		if a.lead != nil {
			lead = a.lead
		}
		if !lead.begun() && lead.sock.Recall() {
			c.over(lead, Ending{Outcome: choice.NotSent, Took: c.now - lead.sent})
		}
	}
	c.batch = append(c.batch, choice.Retracted{ID: m.id, Since: c.now - sent})
}

// refuse ends a message that the module refuses as far as that may be promised. A run that ends waits
// for no answer to be confirmed.
func (c *Core) refuse(m *message, after time.Duration) {
	now := c.now
	if c.draining {
		now = max(now, m.life.ConfirmedBy())
	}
	switch m.life.Refusal(now) {
	case lifecycle.RefuseLater:
		c.confirm(m.life.ConfirmedBy(), func() { c.refuse(m, after) })
	case lifecycle.FailInstead:
		c.answer(m, ledger.Answer{Verdict: ledger.Failed})
	case lifecycle.RefuseNow:
		c.answer(m, ledger.Answer{Verdict: ledger.Refused, After: after})
	}
}

// confirmedBy is when all answers are confirmed that the sending of a call rests on.
func (c *Core) confirmedBy(a *attempt) (at time.Duration) {
	for _, b := range a.all() {
		at = max(at, b.m.life.ConfirmedBy())
		if c.ordered(b.m) {
			at = max(at, c.doubts.keys[orderKey{b.m.Partner, b.m.Key}])
		}
	}
	return at
}

// delay sends a call later. Until then it may be called off like one that waits for its records.
func (c *Core) delay(a *attempt, until time.Duration) {
	timeout := a.end - a.sent
	gate := &gated{}
	a.gate, a.sock = gate, gate
	a.end = c.now + c.left(a)
	heap.Push(&c.waits, a)
	c.confirm(until, func() {
		if gate.off {
			return
		}
		if a.place >= 0 {
			heap.Remove(&c.waits, a.place)
		}
		a.gate, a.sock = nil, nil
		if by := a.latest(); c.parked || c.left(a) <= 0 || by > 0 && c.now >= by {
			gate.off = true
			a.sock, a.gate = gate, gate
			c.later(event{ended: a, ending: Ending{Outcome: choice.NotSent, Took: c.now - a.sent}})
			return
		}
		a.sent, a.end = c.now, c.now+timeout
		c.sendNow(a)
	})
}

// Waits takes in a wait that an endpoint told in an answer which no call had asked for: it may be the own
// answer of a call that ended before. It is heeded like any other.
func (c *Core) Waits(host string, partner int, wait time.Duration) {
	_ = c.put(event{call: func() {
		c.batch = append(c.batch, choice.RestoredHost{Host: host, RetryAfter: wait})
		hosts := map[string]bool{host: true}
		if !c.kind(host).PerHostLimits {
			for a := range c.outs {
				hosts[a.host] = hosts[a.host] || a.partner == partner
			}
		}
		c.recall(hosts)
	}})
}
