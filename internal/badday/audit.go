package badday

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"basaltcross.example/basaltcross/internal/client"
	"basaltcross.example/basaltcross/internal/standin"
)

// Rule holds the audit's findings on one rule.
type Rule struct {
	Name      string   `json:"name"`
	Occasions int      `json:"occasions"` // number of situations in which the rule could have been broken
	Broken    int      `json:"broken"`
	Examples  []string `json:"examples,omitempty"`
}

// Report is the result of a run and its audit.
type Report struct {
	Rules          []*Rule        `json:"rules"`
	Answers        map[string]int `json:"answers"`
	Calls          map[string]int `json:"calls"`
	Messages       int            `json:"messages"`
	DeliveredShare float64        `json:"delivered_share"`
}

// Broken returns the number of rules that were broken.
func (r *Report) Broken() (n int) {
	for _, x := range r.Rules {
		if x.Broken > 0 {
			n++
		}
	}
	return n
}

// Print writes the report; its last line gives the number of broken rules.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "messages %d, delivered %.1f%%; answers %v; calls %v\n",
		r.Messages, 100*r.DeliveredShare, r.Answers, r.Calls)
	for _, x := range r.Rules {
		fmt.Fprintf(w, "  %-34s %6d occasions  %4d broken\n", x.Name, x.Occasions, x.Broken)
		for _, e := range x.Examples {
			fmt.Fprintf(w, "      %s\n", e)
		}
	}
	fmt.Fprintf(w, "rules broken: %d\n", r.Broken())
}

func (x *Rule) fail(format string, args ...any) {
	if x.Broken++; len(x.Examples) < 5 {
		x.Examples = append(x.Examples, fmt.Sprintf(format, args...))
	}
}

// Tolerances of the audit for delays that loopback, goroutine scheduling and the time stamps
// of the records add. A planted fault exceeds them by far.
const (
	answerSlack = 300 * time.Millisecond // transfer of an answer to the client
	recordSlack = 100 * time.Millisecond // from an event on a socket to its record
	listSlack   = 500 * time.Millisecond // until a relay has loaded a new endpoint list
)

// call is a stand-in's record of a call, with the fields parsed from its body.
type call struct {
	standin.Call
	id     string
	number int
	client string
}

// endedAt returns when the call stopped being in flight, as far as the stand-in can tell.
func (c *call) endedAt() time.Time {
	if !c.CallerClosed.IsZero() && c.CallerClosed.Before(c.End) {
		return c.CallerClosed
	}
	return c.End
}

func (c *call) outcomeUnknown() bool {
	return c.Outcome == standin.Lost || c.Outcome == standin.Failed || !c.CallerClosed.IsZero()
}

func (d *deployment) audit() *Report {
	r := &Report{Answers: map[string]int{}, Calls: map[string]int{}}
	byID := map[string][]*call{}
	var calls []*call
	for _, c := range d.rec.Calls() {
		k := &call{Call: c}
		if _, err := fmt.Sscanf(c.Body, "%s %d %s", &k.id, &k.number, &k.client); err != nil {
			continue
		}
		calls = append(calls, k)
		byID[k.id] = append(byID[k.id], k)
		r.Calls[c.Outcome]++
	}
	byStart := func(a, b *call) int { return a.Start.Compare(b.Start) }
	slices.SortFunc(calls, byStart)
	for _, l := range byID {
		slices.SortFunc(l, byStart)
	}
	var handIns []*handIn
	for _, s := range d.senders {
		handIns = append(handIns, s.handIns...)
	}
	r.Rules = []*Rule{d.auditAnswers(handIns, byID, r), auditEffects(byID), d.auditDrains(calls), d.auditReturns(),
		d.auditOrder(calls), d.auditWaits(calls)}
	return r
}

// answerDue returns the time by which a hand-in must be answered. If the connection was lost during
// an earlier hand-in of the same message, the relay may have received that one and joined the
// later hand-in to it. The deadline of the earlier one then holds: the client rounds the
// remaining time down to whole seconds when it retries.
func answerDue(h *handIn, handIns []*handIn) time.Time {
	due := h.at.Add(h.timeLeft)
	for _, before := range handIns {
		if before.unknown && before.id == h.id && before.relay == h.relay && before.at.Before(h.at) {
			if joined := before.at.Add(before.timeLeft); joined.After(due) {
				due = joined
			}
		}
	}
	return due
}

// answersTo returns the answers to a hand-in. If the client handed the message in again at the
// same relay before an answer came, the relay joins the two hand-ins and answers both at once;
// the client records that answer on the newest hand-in.
func answersTo(h *handIn, handIns []*handIn) []client.Answer {
	if len(h.answers) > 0 {
		return h.answers
	}
	var joined *handIn
	for _, later := range handIns {
		if later.id == h.id && later.relay == h.relay && later.number > h.number && len(later.answers) > 0 &&
			(joined == nil || later.number < joined.number) {
			joined = later
		}
	}
	if joined == nil {
		return nil
	}
	return joined.answers
}

// auditAnswers checks that each message accepted by a relay that was not killed afterwards gets
// exactly one final answer, in time, and that no call of it starts after the answer.
func (d *deployment) auditAnswers(handIns []*handIn, byID map[string][]*call, r *Report) *Rule {
	x := &Rule{Name: "one answer, in time, and the last"}
	deliveredIDs, allIDs := map[string]bool{}, map[string]bool{}
	for _, h := range handIns {
		allIDs[h.id] = true
		for _, a := range h.answers {
			if a.Outcome == "delivered" {
				deliveredIDs[h.id] = true
			}
		}
		if !h.taken || h.orphan || d.relays[h.relay].killedAfter(h.at) && len(h.answers) == 0 {
			continue
		}
		x.Occasions++
		name := fmt.Sprintf("%s (%s to %s, hand-in %d at relay %d)", h.id, h.class, h.partner, h.number, h.relay)
		answers := answersTo(h, handIns)
		if len(answers) == 0 {
			x.fail("%s: no answer; %s", name, d.history(h))
			continue
		}
		first := answers[0]
		r.Answers[first.Outcome]++
		for _, a := range answers[1:] {
			if a.Outcome != first.Outcome {
				x.fail("%s: %s, then %s; %s", name, first.Outcome, a.Outcome, d.history(h))
			}
		}
		due := answerDue(h, handIns)
		for _, s := range d.relays[h.relay].stalls {
			// waited in the socket buffer while the relay was stopped; accepted only afterwards
			if h.at.After(s[0].Add(-answerSlack)) && h.at.Before(s[1]) {
				due = s[1].Add(h.timeLeft)
			}
		}
		for _, s := range d.relays[h.relay].stalls {
			if !due.Before(s[0].Add(-answerSlack)) && due.Before(s[1]) { // the relay was stopped when the deadline passed
				due = s[1]
			}
		}
		if first.At.After(due.Add(answerSlack)) && !d.clientDisconnected(h, due) {
			x.fail("%s: %s %v late; %s", name, first.Outcome, first.At.Sub(due), d.history(h))
		}
		for _, c := range byID[h.id] {
			if first.Outcome == "refused" && c.number == h.number && c.Outcome != standin.Refused {
				x.fail("%s: refused, but it may have run (%s)", name, c.Outcome)
			}
			if c.number == h.number && c.Relay == d.relays[h.relay].name() && c.CallerClosed.IsZero() &&
				c.Start.After(first.At.Add(recordSlack)) {
				x.fail("%s: a call went out %v after its answer", name, c.Start.Sub(first.At))
			}
		}
	}
	r.Messages = len(allIDs)
	if len(allIDs) > 0 {
		r.DeliveredShare = float64(len(deliveredIDs)) / float64(len(allIDs))
	}
	return x
}

// history describes the hand-ins of a message as its client saw them.
func (d *deployment) history(h *handIn) string {
	for _, s := range d.senders {
		if s.name == h.client {
			return s.history(h.id)
		}
	}
	return ""
}

// clientDisconnected reports whether the client was disconnected when its answer fell due; the answer is
// delivered when it reconnects.
func (d *deployment) clientDisconnected(h *handIn, due time.Time) bool {
	for _, s := range d.senders {
		if s.name == h.client {
			for _, g := range s.disconnects {
				if !g[1].Before(due) && !g[0].After(due.Add(answerSlack)) {
					return true
				}
			}
		}
	}
	return false
}

// auditEffects checks that a message that may have taken effect is resent only as its class
// allows, and that a relay never has two attempts of one message in flight at once.
func auditEffects(byID map[string][]*call) *Rule {
	x := &Rule{Name: "no effect twice"}
	for id, l := range byID {
		effects := 0
		var maybeRan *call // first call that may have taken effect
		for i, c := range l {
			if c.Effect {
				effects++
			}
			if i > 0 {
				x.Occasions++
				if before := l[i-1]; before.Relay == c.Relay && c.Start.Add(recordSlack).Before(before.endedAt()) {
					x.fail("%s: a second attempt while the first was out for %v more", id, before.endedAt().Sub(c.Start))
				}
			}
			if maybeRan != nil {
				switch {
				case c.Class == "charge":
					x.fail("%s: charge sent again %v after an attempt that may have run (%s)", id,
						c.Start.Sub(maybeRan.Start), maybeRan.Outcome)
				case c.Class == "order" && c.Start.Sub(maybeRan.Start) > window+recordSlack:
					x.fail("%s: keyed message sent again %v after an attempt that may have run", id, c.Start.Sub(maybeRan.Start))
				}
			}
			if maybeRan == nil && c.Outcome != standin.Refused {
				maybeRan = c
			}
		}
		if l[0].Class == "charge" {
			x.Occasions++
		}
		if effects > 1 && l[0].Class != "status" {
			x.fail("%s: %s took effect %d times", id, l[0].Class, effects)
		}
	}
	return x
}

// auditDrains checks that no call to an endpoint starts later than the drain grace period after
// the list marked the endpoint as draining or left it out.
func (d *deployment) auditDrains(calls []*call) *Rule {
	x := &Rule{Name: "drains kept"}
	withdrawnAt := map[string]time.Time{}
	for _, e := range d.endpoints {
		if !e.withdrawnAt.IsZero() {
			withdrawnAt[e.Addr] = e.withdrawnAt
			x.Occasions += len(d.relays)
		}
	}
	for _, c := range calls {
		t, ok := withdrawnAt[c.Endpoint]
		if !ok {
			continue
		}
		t = t.Add(drainGrace + listSlack)
		for _, r := range d.relays {
			for _, s := range r.stalls {
				if r.name() == c.Relay && !t.Before(s[0]) && t.Before(s[1].Add(listSlack)) {
					t = s[1].Add(listSlack + drainGrace)
				}
			}
		}
		if c.Start.After(t) {
			x.fail("%s: a call of %s %v after it was listed as draining", c.Endpoint, c.Relay,
				c.Start.Sub(withdrawnAt[c.Endpoint]))
		}
	}
	return x
}

// auditReturns checks that a partner returning from an outage is not overloaded by relays that
// had seen it fail. An overload breaks the rule if at least two thirds of its calls came from
// such relays.
func (d *deployment) auditReturns() *Rule {
	x := &Rule{Name: "no returning partner pushed over"}
	for _, p := range d.partners {
		x.Occasions += p.OutagesEnded()
		for _, f := range p.Collapses() {
			total, afterFailure := 0, 0
			for relay, n := range f.Calls {
				total += n
				if f.SawFailure[relay] {
					afterFailure += n
				}
			}
			if 3*afterFailure >= 2*total {
				x.fail("%s fell over: %d of %d calls from relays that had met a failure there", p.Name, afterFailure, total)
			}
		}
	}
	return x
}

// auditOrder checks that a relay sends the messages of a key one at a time, in the order of their
// hand-ins, and waits for the settle time after an attempt whose outcome is unknown.
func (d *deployment) auditOrder(calls []*call) *Rule {
	x := &Rule{Name: "order kept"}
	last := map[string]*call{}
	newest := map[string]int{}
	for _, c := range calls {
		if c.Class != "charge" {
			continue
		}
		key := c.Relay + " " + d.keyOf(c)
		if before := last[key]; before != nil && before.id != c.id {
			x.Occasions++
			rest := time.Duration(0)
			if before.outcomeUnknown() {
				rest = orderSettle
			}
			switch {
			case c.number < newest[key]:
				x.fail("key %s: hand-in %d (%s) went out after %d", key, c.number, c.id, newest[key])
			case c.Start.Add(recordSlack).Before(before.endedAt().Add(rest)):
				x.fail("key %s: %s went out %v before %s was over", key, c.id, before.endedAt().Sub(c.Start), before.id)
			}
		}
		last[key] = c
		newest[key] = max(newest[key], c.number)
	}
	return x
}

// keyOf returns the key of a call as its client handed it in, independent of what the relay sent.
func (d *deployment) keyOf(c *call) string {
	for _, s := range d.senders {
		if s.name == c.client {
			if s.keys == nil {
				s.keys = map[string]string{}
				for _, h := range s.handIns {
					s.keys[h.id] = h.key
				}
			}
			return s.keys[c.id]
		}
	}
	return ""
}

// auditWaits checks that a relay sends nothing to a partner until the wait that the partner asked
// for has passed. Calls already in flight when the relay was told to wait do not count.
func (d *deployment) auditWaits(calls []*call) *Rule {
	x := &Rule{Name: "waits heeded"}
	until := map[string][2]time.Time{}
	for _, c := range calls {
		key := c.Relay + " " + c.Partner
		if w, ok := until[key]; ok && c.Start.After(w[0].Add(recordSlack)) && c.Start.Before(w[1].Add(-recordSlack/10)) &&
			!d.restarted(c.Relay, w[0], c.Start) {
			x.fail("%s sent to %s %v before its wait was over", c.Relay, c.Partner, w[1].Sub(c.Start))
		}
		if c.Wait > 0 && c.CallerClosed.IsZero() {
			x.Occasions++
			w := until[key]
			if end := c.End.Add(c.Wait); end.After(w[1]) {
				if c.Start.After(w[1]) || w[0].IsZero() {
					w[0] = c.End
				}
				w[1] = end
			}
			until[key] = w
		}
	}
	return x
}

// restarted reports whether a relay was killed, stopped or stalled between two times.
func (d *deployment) restarted(name string, from, to time.Time) bool {
	for _, r := range d.relays {
		if r.name() != name {
			continue
		}
		if slices.ContainsFunc(r.kills, func(k time.Time) bool { return k.After(from) && k.Before(to) }) ||
			slices.ContainsFunc(r.stops, func(k time.Time) bool { return k.After(from) && k.Before(to) }) {
			return true
		}
		for _, s := range r.stalls { // a response that waited in the socket buffer during the stall is read later
			if s[0].Before(to) && s[1].Add(recordSlack).After(from) {
				return true
			}
		}
	}
	return false
}

// Summary returns a one-line summary, for a list of several runs.
func (r *Report) Summary() string {
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(r.Answers)) {
		parts = append(parts, fmt.Sprintf("%s %d", k, r.Answers[k]))
	}
	return fmt.Sprintf("%5d messages, %5.1f%% delivered (%s), rules broken: %d", r.Messages, 100*r.DeliveredShare,
		strings.Join(parts, ", "), r.Broken())
}
