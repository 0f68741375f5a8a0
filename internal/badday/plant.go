// Package badday runs scripted fault-injection tests on real sockets. It starts relays as
// separate processes, with stand-ins for the partners' hosts and with clients, and injects the
// faults of the script.
//
// Afterwards it audits six rules by what stand-ins and clients observed. It never uses the
// relays' own records.
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

// PlantableFaults lists the faults that can be planted in a relay to check that the audit finds them.
var PlantableFaults = []string{"double-send", "send-to-drained", "early-after-wait", "out-of-order", "no-answer",
	"late-answer", "flood-cold"}

// Plant returns hooks that make a relay break one rule, in part of the cases.
func Plant(name string, cfg *config.Config) (relay.Hooks, error) {
	var h relay.Hooks
	switch name {
	case "":
	case "double-send", "early-after-wait", "flood-cold":
		h.Caller = func(c core.Caller) core.Caller { return &faultyCaller{Caller: c, name: name, cfg: cfg} }
	case "send-to-drained":
		h.Sink = func(s directory.Sink) directory.Sink { return &staleSink{Sink: s} }
	case "out-of-order", "no-answer", "late-answer":
		h.Door = func(d front.Submitter) front.Submitter { return &faultySubmitter{Submitter: d, name: name, cfg: cfg} }
	case "answer-before-sync":
		h.Journal = func(j core.Journal) core.Journal { return &earlySyncJournal{j} }
	default:
		return h, fmt.Errorf("badday: unknown fault %q; known faults: %s", name, strings.Join(PlantableFaults, ", "))
	}
	return h, nil
}

// faultyCaller sends calls twice, or hides waits and failures from the core.
type faultyCaller struct {
	core.Caller
	name string
	cfg  *config.Config
	n    atomic.Int64
}

func (b *faultyCaller) Send(c core.Call) core.Attempt {
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

// staleSink hides drains and removals of endpoints from the relay.
type staleSink struct {
	directory.Sink
	mu   sync.Mutex
	last []choice.Host
}

func (d *staleSink) List(l choice.HostUpdate) {
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

// faultySubmitter removes the keys of messages, or suppresses or delays answers.
type faultySubmitter struct {
	front.Submitter
	name string
	cfg  *config.Config
	n    atomic.Int64
}

func (b *faultySubmitter) Submit(m *core.Message) error {
	if b.name == "out-of-order" {
		m.Key = ""
	} else if b.n.Add(1)%20 == 0 {
		m.Reply = &faultyReply{Reply: m.Reply, late: b.name == "late-answer", after: b.cfg.Classes[m.Class].Deadline.D()}
	}
	return b.Submitter.Submit(m)
}

type faultyReply struct {
	core.Reply
	late  bool
	after time.Duration
}

func (b *faultyReply) Answer(a ledger.Answer) {
	if b.late {
		time.AfterFunc(b.after+time.Second, func() { b.Reply.Answer(a) })
	}
}

// earlySyncJournal reports records as synced to disk before they are even queued for writing.
type earlySyncJournal struct{ core.Journal }

func (h *earlySyncJournal) RecordMessage(m journal.Message) {
	time.AfterFunc(80*time.Millisecond, func() { h.Journal.RecordMessage(m) })
}
func (h *earlySyncJournal) RecordAttempt(a journal.Attempt) {
	time.AfterFunc(80*time.Millisecond, func() { h.Journal.RecordAttempt(a) })
}
func (h *earlySyncJournal) RecordEnd(e journal.End) {
	time.AfterFunc(80*time.Millisecond, func() { h.Journal.RecordEnd(e) })
}
func (h *earlySyncJournal) WhenWritten(done func()) bool {
	go done()
	return false
}
