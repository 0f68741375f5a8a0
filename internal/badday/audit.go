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

// Rule is what the audit found of one rule.
type Rule struct {
	Name      string   `json:"name"`
	Occasions int      `json:"occasions"` // times that it could have been broken
	Broken    int      `json:"broken"`
	Examples  []string `json:"examples,omitempty"`
}

// Report is what came of a day.
type Report struct {
	Rules    []*Rule        `json:"rules"`
	Answers  map[string]int `json:"answers"`
	Calls    map[string]int `json:"calls"`
	Messages int            `json:"messages"`
	Served   float64        `json:"delivered_share"`
}

// Broken counts the rules that were broken.
func (r *Report) Broken() (n int) {
	for _, x := range r.Rules {
		if x.Broken > 0 {
			n++
		}
	}
	return n
}

// Print writes the report; its last line tells the rules broken.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "messages %d, delivered %.1f%%; answers %v; calls %v\n", r.Messages, 100*r.Served, r.Answers, r.Calls)
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

// Allowances of the audit: what loopback, goroutines and the records' own
// clocks may add. A planted fault goes far beyond them.
const (
	answerSlack = 300 * time.Millisecond // answers on their way to the client
	seenSlack   = 100 * time.Millisecond // between a socket's event and its record
	listSlack   = 500 * time.Millisecond // until a relay has read a new list
)

// call is a record with what its body tells.
type call struct {
	standin.Call
	id     string
	number int
	client string
}

// over is when a call was no longer out, as far as the stand-in can tell.
func (c *call) over() time.Time {
	if !c.CallerClosed.IsZero() && c.CallerClosed.Before(c.End) {
		return c.CallerClosed
	}
	return c.End
}

func (c *call) unsure() bool {
	return c.Outcome == standin.Lost || c.Outcome == standin.Failed || !c.CallerClosed.IsZero()
}

func (d *day) audit() *Report {
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
	var hands []*handIn
	for _, s := range d.senders {
		hands = append(hands, s.hands...)
	}
	r.Rules = []*Rule{d.auditAnswers(hands, byID, r), auditEffects(byID), d.auditDrains(calls), d.auditReturns(),
		d.auditOrder(calls), d.auditWaits(calls)}
	return r
}

// dueOf is until when the answer to a hand-in is owed. Where the one before it was lost on
// the way, the relay may have that, and the later one has joined it: with its time, which
// the client rounds down to whole seconds when it asks again.
func dueOf(h *handIn, hands []*handIn) time.Time {
	due := h.at.Add(h.left)
	for _, before := range hands {
		if before.unknown && before.id == h.id && before.relay == h.relay && before.at.Before(h.at) {
			if joined := before.at.Add(before.left); joined.After(due) {
				due = joined
			}
		}
	}
	return due
}

// answersTo are the answers to a hand-in. Where its client handed the message in again at the
// relay before any came, the two have joined and the answer is to both; the client books it
// on the newest.
func answersTo(h *handIn, hands []*handIn) []client.Answer {
	if len(h.answers) > 0 {
		return h.answers
	}
	var joined *handIn
	for _, later := range hands {
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

// auditAnswers: exactly one final answer in time for each message taken by a
// relay that ran on, and nothing goes out after it.
func (d *day) auditAnswers(hands []*handIn, byID map[string][]*call, r *Report) *Rule {
	x := &Rule{Name: "one answer, in time, and the last"}
	got, all := map[string]bool{}, map[string]bool{}
	for _, h := range hands {
		all[h.id] = true
		for _, a := range h.answers {
			if a.Outcome == "delivered" {
				got[h.id] = true
			}
		}
		if !h.taken || h.orphan || d.relays[h.relay].killedAfter(h.at) && len(h.answers) == 0 {
			continue
		}
		x.Occasions++
		name := fmt.Sprintf("%s (%s to %s, hand-in %d at relay %d)", h.id, h.class, h.partner, h.number, h.relay)
		answers := answersTo(h, hands)
		if len(answers) == 0 {
			x.fail("%s: no answer; %s", name, d.course(h))
			continue
		}
		first := answers[0]
		r.Answers[first.Outcome]++
		for _, a := range answers[1:] {
			if a.Outcome != first.Outcome {
				x.fail("%s: %s, then %s; %s", name, first.Outcome, a.Outcome, d.course(h))
			}
		}
		due := dueOf(h, hands)
		for _, s := range d.relays[h.relay].stalls {
			if h.at.After(s[0].Add(-answerSlack)) && h.at.Before(s[1]) { // it lay in the kernel: taken only then
				due = s[1].Add(h.left)
			}
		}
		for _, s := range d.relays[h.relay].stalls {
			if !due.Before(s[0].Add(-answerSlack)) && due.Before(s[1]) { // it stood still when the time was up
				due = s[1]
			}
		}
		if first.At.After(due.Add(answerSlack)) && !d.away(h, due) {
			x.fail("%s: %s %v late; %s", name, first.Outcome, first.At.Sub(due), d.course(h))
		}
		for _, c := range byID[h.id] {
			if first.Outcome == "refused" && c.number == h.number && c.Outcome != standin.Refused {
				x.fail("%s: refused, but it may have run (%s)", name, c.Outcome)
			}
			if c.number == h.number && c.Relay == d.relays[h.relay].name() && c.CallerClosed.IsZero() &&
				c.Start.After(first.At.Add(seenSlack)) {
				x.fail("%s: a call went out %v after its answer", name, c.Start.Sub(first.At))
			}
		}
	}
	r.Messages = len(all)
	if len(all) > 0 {
		r.Served = float64(len(got)) / float64(len(all))
	}
	return x
}

// course of a message, as its client knows it.
func (d *day) course(h *handIn) string {
	for _, s := range d.senders {
		if s.name == h.client {
			return s.course(h.id)
		}
	}
	return ""
}

// away tells whether the client was not connected to that relay when its
// answer fell due: it gets it when it returns.
func (d *day) away(h *handIn, due time.Time) bool {
	for _, s := range d.senders {
		if s.name == h.client {
			for _, g := range s.gaps {
				if !g[1].Before(due) && !g[0].After(due.Add(answerSlack)) {
					return true
				}
			}
		}
	}
	return false
}

// auditEffects: what may have run is resent only as its class allows, and two
// attempts of a message are never out at once.
func auditEffects(byID map[string][]*call) *Rule {
	x := &Rule{Name: "no effect twice"}
	for id, l := range byID {
		effects := 0
		var ran *call // the first that may have run
		for i, c := range l {
			if c.Effect {
				effects++
			}
			if i > 0 {
				x.Occasions++
				if before := l[i-1]; before.Relay == c.Relay && c.Start.Add(seenSlack).Before(before.over()) {
					x.fail("%s: a second attempt while the first was out for %v more", id, before.over().Sub(c.Start))
				}
			}
			if ran != nil {
				switch {
				case c.Class == "charge":
					x.fail("%s: charge sent again %v after an attempt that may have run (%s)", id,
						c.Start.Sub(ran.Start), ran.Outcome)
				case c.Class == "order" && c.Start.Sub(ran.Start) > window+seenSlack:
					x.fail("%s: keyed message sent again %v after an attempt that may have run", id, c.Start.Sub(ran.Start))
				}
			}
			if ran == nil && c.Outcome != standin.Refused {
				ran = c
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

// auditDrains: nothing new to an endpoint past the grace after the list said so.
func (d *day) auditDrains(calls []*call) *Rule {
	x := &Rule{Name: "drains kept"}
	told := map[string]time.Time{}
	for _, e := range d.ends {
		if !e.told.IsZero() {
			told[e.Addr] = e.told
			x.Occasions += len(d.relays)
		}
	}
	for _, c := range calls {
		t, ok := told[c.Endpoint]
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
				c.Start.Sub(told[c.Endpoint]))
		}
	}
	return x
}

// auditReturns: no partner is pushed over when it returns by relays that had
// met a failure there.
func (d *day) auditReturns() *Rule {
	x := &Rule{Name: "no returning partner pushed over"}
	for _, p := range d.partners {
		x.Occasions += p.OutagesEnded()
		for _, f := range p.Collapses() {
			all, saw := 0, 0
			for relay, n := range f.Calls {
				all += n
				if f.SawFailure[relay] {
					saw += n
				}
			}
			if 3*saw >= 2*all {
				x.fail("%s fell over: %d of %d calls from relays that had met a failure there", p.Name, saw, all)
			}
		}
	}
	return x
}

// auditOrder: messages of a key go one at a time, in the order that the relay
// took them, with a rest after an attempt whose end is unsure.
func (d *day) auditOrder(calls []*call) *Rule {
	x := &Rule{Name: "order kept"}
	last := map[string]*call{}
	newest := map[string]int{}
	for _, c := range calls {
		if c.Class != "charge" {
			continue
		}
		key := c.Relay + " " + d.key(c)
		if before := last[key]; before != nil && before.id != c.id {
			x.Occasions++
			rest := time.Duration(0)
			if before.unsure() {
				rest = orderSettle
			}
			switch {
			case c.number < newest[key]:
				x.fail("key %s: hand-in %d (%s) went out after %d", key, c.number, c.id, newest[key])
			case c.Start.Add(seenSlack).Before(before.over().Add(rest)):
				x.fail("key %s: %s went out %v before %s was over", key, c.id, before.over().Sub(c.Start), before.id)
			}
		}
		last[key] = c
		newest[key] = max(newest[key], c.number)
	}
	return x
}

// key of a call by what its client handed in, not by what the relay made of it.
func (d *day) key(c *call) string {
	for _, s := range d.senders {
		if s.name == c.client {
			if s.keys == nil {
				s.keys = map[string]string{}
				for _, h := range s.hands {
					s.keys[h.id] = h.key
				}
			}
			return s.keys[c.id]
		}
	}
	return ""
}

// auditWaits: silence towards a partner until a told wait is over. Calls that
// were under way when it was told do not count.
func (d *day) auditWaits(calls []*call) *Rule {
	x := &Rule{Name: "waits heeded"}
	until := map[string][2]time.Time{}
	for _, c := range calls {
		key := c.Relay + " " + c.Partner
		if w, ok := until[key]; ok && c.Start.After(w[0].Add(seenSlack)) && c.Start.Before(w[1].Add(-seenSlack/10)) &&
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

// restarted tells whether a relay was killed, stopped or stood still in between.
func (d *day) restarted(name string, from, to time.Time) bool {
	for _, r := range d.relays {
		if r.name() != name {
			continue
		}
		if slices.ContainsFunc(r.kills, func(k time.Time) bool { return k.After(from) && k.Before(to) }) ||
			slices.ContainsFunc(r.stops, func(k time.Time) bool { return k.After(from) && k.Before(to) }) {
			return true
		}
		for _, s := range r.stalls { // an answer that lay in the kernel while it stood still is told later
			if s[0].Before(to) && s[1].Add(seenSlack).After(from) {
				return true
			}
		}
	}
	return false
}

// Summary is a line for a list of days.
func (r *Report) Summary() string {
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(r.Answers)) {
		parts = append(parts, fmt.Sprintf("%s %d", k, r.Answers[k]))
	}
	return fmt.Sprintf("%5d messages, %5.1f%% delivered (%s), rules broken: %d", r.Messages, 100*r.Served,
		strings.Join(parts, ", "), r.Broken())
}
