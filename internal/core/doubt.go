package core

import (
	"container/heap"
	"time"

	"basaltcross.example/basaltcross/choice"
	"basaltcross.example/basaltcross/internal/journal"
	"basaltcross.example/basaltcross/internal/ledger"
	"basaltcross.example/basaltcross/internal/lifecycle"
)

// mostDelivered is the number of messages remembered that were delivered by an unconfirmed
// response. Beyond it responses count as confirmed.
const mostDelivered = 4096

// doubts tracks outcomes that are not confirmed: the response may prove to belong to another call
// of the same connection. It holds the steps that wait until outcomes are confirmed, and the
// messages delivered by such outcomes.
type doubts struct {
	steps     confirmations
	number    uint64                   // number of the last step
	delivered map[string]delivered     // by id of the message
	oldest    []string                 // ids in delivered, the oldest first
	keys      map[orderKey]confirmedBy // keys whose next message is not sent until then
}

// confirmation is a step that is due once an outcome is confirmed.
type confirmation struct {
	at     time.Duration
	number uint64
	do     func()
}

// confirmedBy is the time from which an outcome is confirmed.
type confirmedBy = time.Duration

// orderKey is an ordering key at a partner.
type orderKey struct {
	partner int
	key     string
}

// delivered is a message that has ended by an unconfirmed outcome.
type delivered struct {
	until time.Duration // the outcome cannot be retracted later
	n     int           // number of the attempt
	end   journal.End   // to be recorded if the outcome is retracted
	kept  bool          // the message is in the journal
}

// attempted identifies an attempt without holding on to its message.
type attempted struct {
	id   string
	n    int
	sent time.Duration
}

// doubter returns the function that retracts the outcome of a call. The function holds no reference
// to the messages.
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

// unconfirmed processes an outcome that is not confirmed. Until it is, the message is not sent again,
// and not refused if it must not be repeated. The next message of its key is not sent either, unless
// this one was served: keys with frequent messages would otherwise wait after every response.
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

// ordered reports whether other messages of its key wait for a message.
func (c *Core) ordered(m *message) bool {
	return m.Key != "" && c.opt.Settings.Classes[m.Class].Ordered
}

// keepDelivered remembers a delivered message, to end it as failed if its outcome is retracted.
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

// confirm schedules a step for a time.
func (c *Core) confirm(at time.Duration, do func()) {
	c.doubts.number++
	heap.Push(&c.doubts.steps, confirmation{at, c.doubts.number, do})
}

// next returns the time of the next step or expiry; below 0 for none.
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

// confirmDue runs the steps that are due, in their order, and removes delivered messages whose outcome
// cannot be retracted any more.
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

// confirmations is a heap of steps, ordered by time; steps of the same time run in the order of scheduling.
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

// doubt retracts the outcome of an attempt, since the response belonged to another call. A message
// delivered by it is reported as failed: a notice for a message that has ended does no harm. A
// message refused by it may have run.
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

// undeliver ends a delivered message as failed, once that is recorded.
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
		c.opt.Journal.Ended(x.end)
	}
	c.durable(x.kept, tell, x.end.Seq) // otherwise a later process might send it after the report
	if !told {
		c.confirm(x.until, tell)
	}
}

// mayHaveRun marks a message as possibly run although its call, sent at a time, was refused. If a
// repeat would do harm, a further call that waits for the confirmation of the refusal is ended.
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

// refuse ends a message that the module refuses. If the message may have run and must not be repeated,
// it fails instead; if its last outcome is unconfirmed, the refusal waits. At shutdown it does not wait.
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

// confirmedBy returns the time from which all outcomes are confirmed that a call relies on.
func (c *Core) confirmedBy(a *attempt) (at time.Duration) {
	for _, b := range a.all() {
		at = max(at, b.m.life.ConfirmedBy())
		if c.ordered(b.m) {
			at = max(at, c.doubts.keys[orderKey{b.m.Partner, b.m.Key}])
		}
	}
	return at
}

// delay sends a call at a later time. Until then it can be aborted like a call that waits for its
// records.
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

// Waits reports a wait that an endpoint asked for in a response without a request. It may be the response
// to a call that ended before, so the wait counts like any other.
func (c *Core) Waits(host string, partner int, wait time.Duration) {
	_ = c.put(event{call: func() {
		c.batch = append(c.batch, choice.Waited{Host: host, Left: wait})
		hosts := map[string]bool{host: true}
		if !c.kind(host).Apart {
			for a := range c.outs {
				hosts[a.host] = hosts[a.host] || a.partner == partner
			}
		}
		c.recall(hosts)
	}})
}
