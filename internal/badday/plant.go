// Package badday plays a scripted bad day on real sockets: relays as processes
// of their own, stand-ins, clients, troubles; then audits the six rules from
// what stand-ins and clients saw, never from the relays' own records.
package badday

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"basaltcross.example/basaltcross/choice"
	"basaltcross.example/basaltcross/internal/config"
	"basaltcross.example/basaltcross/internal/core"
	"basaltcross.example/basaltcross/internal/directory"
	"basaltcross.example/basaltcross/internal/front"
	"basaltcross.example/basaltcross/internal/journal"
	"basaltcross.example/basaltcross/internal/ledger"
	"basaltcross.example/basaltcross/internal/relay"
)

// Breaks are the faults that can be planted in a relay.
var Breaks = []string{"double-send", "send-to-drained", "early-after-wait", "out-of-order", "no-answer",
	"late-answer", "flood-cold"}

// Plant returns hooks that break one rule now and then.
func Plant(name string, cfg *config.Config) (relay.Hooks, error) {
	var h relay.Hooks
	switch name {
	case "":
	case "double-send", "early-after-wait", "flood-cold":
		h.Caller = func(c core.Caller) core.Caller { return &badCaller{Caller: c, name: name, cfg: cfg} }
	case "send-to-drained":
		h.Sink = func(s directory.Sink) directory.Sink { return &deafSink{Sink: s} }
	case "out-of-order", "no-answer", "late-answer":
		h.Door = func(d front.Submitter) front.Submitter { return &badDoor{Submitter: d, name: name, cfg: cfg} }
	case "answer-before-sync":
		h.Journal = func(j core.Journal) core.Journal { return &hastyJournal{j} }
	default:
		return h, fmt.Errorf("badday: no fault %q; there are %s", name, strings.Join(Breaks, ", "))
	}
	return h, nil
}

// badCaller sends twice, or hides from the core what it should heed.
type badCaller struct {
	core.Caller
	name string
	cfg  *config.Config
	n    atomic.Int64
}

func (b *badCaller) Send(c core.Call) core.Attempt {
	end := c.End
	switch b.name {
	case "double-send":
		if b.cfg.Classes[c.Class].Effect == "unsafe" && b.n.Add(1)%5 == 0 {
			twin := c
			twin.End = func(core.Ending) {}
			b.Caller.Send(twin)
		}
	case "early-after-wait":
		c.End = func(e core.Ending) {
			if e.Wait > 0 {
				e = core.Ending{Outcome: choice.NotSent}
			}
			end(e)
		}
	case "flood-cold":
		c.End = func(e core.Ending) {
			if e.Outcome == choice.NoConnection || e.Outcome == choice.Refused && e.Wait == 0 {
				e = core.Ending{Outcome: choice.NotSent}
			}
			end(e)
		}
	}
	return b.Caller.Send(c)
}

// deafSink never hears of a drain.
type deafSink struct {
	directory.Sink
	mu   sync.Mutex
	last []choice.Host
}

func (d *deafSink) List(l choice.HostUpdate) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l.Hosts = slices.Clone(l.Hosts)
	for _, old := range d.last {
		i := slices.IndexFunc(l.Hosts, func(h choice.Host) bool { return h.Addr == old.Addr })
		if i < 0 {
			l.Hosts = append(l.Hosts, old)
		} else {
			l.Hosts[i].State = old.State
		}
	}
	d.last = l.Hosts
	d.Sink.List(l)
}

// badDoor loses the order, or answers.
type badDoor struct {
	front.Submitter
	name string
	cfg  *config.Config
	n    atomic.Int64
}

func (b *badDoor) Submit(m *core.Message) error {
	if b.name == "out-of-order" {
		m.Key = ""
	} else if b.n.Add(1)%20 == 0 {
		m.Reply = &badReply{Reply: m.Reply, late: b.name == "late-answer", after: b.cfg.Classes[m.Class].Deadline.D()}
	}
	return b.Submitter.Submit(m)
}

type badReply struct {
	core.Reply
	late  bool
	after time.Duration
}

func (b *badReply) Answer(a ledger.Answer) {
	if b.late {
		time.AfterFunc(b.after+time.Second, func() { b.Reply.Answer(a) })
	}
}

// hastyJournal says that all is on disk while it is not even on the way there.
type hastyJournal struct{ core.Journal }

func (h *hastyJournal) RecordMessage(m journal.Message) {
	time.AfterFunc(80*time.Millisecond, func() { h.Journal.RecordMessage(m) })
}
func (h *hastyJournal) RecordAttempt(a journal.Attempt) {
	time.AfterFunc(80*time.Millisecond, func() { h.Journal.RecordAttempt(a) })
}
func (h *hastyJournal) RecordEnd(e journal.End) {
	time.AfterFunc(80*time.Millisecond, func() { h.Journal.RecordEnd(e) })
}
func (h *hastyJournal) WhenWritten(done func()) bool {
	go done()
	return false
}
