package core

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"basaltcross.example/basaltcross/choice"
	"basaltcross.example/basaltcross/internal/journal"
	"basaltcross.example/basaltcross/internal/ledger"
	"basaltcross.example/basaltcross/internal/recover"
)

// disk is a simple journal, the reference for the records that a crash leaves: the test decides
// when records reach the disk.
type disk struct {
	now      func() time.Duration
	pending  []func(*disk) // records and the functions that wait for them, in order
	messages map[uint64]journal.Message
	attempts map[uint64]map[int]journal.Attempt
	ends     map[string]journal.End
	waits    map[string]journal.Wait
	crashed  bool
}

func (d *disk) Stamp() journal.Stamp            { return journal.Stamp{Run: 1, Clock: int64(d.now())} }
func (d *disk) HasRoom(int) bool                { return true }
func (d *disk) put(f func(*disk))               { d.pending = append(d.pending, f) }
func (d *disk) RecordMessage(m journal.Message) { d.put(func(d *disk) { d.messages[m.Seq] = m }) }
func (d *disk) RecordWait(w journal.Wait)       { d.put(func(d *disk) { d.waits[w.Host] = w }) }
func (d *disk) Forget(identity string)          { d.put(func(d *disk) { delete(d.ends, identity) }) }
func (d *disk) RecordEnd(e journal.End) {
	d.put(func(d *disk) {
		delete(d.messages, e.Seq)
		delete(d.attempts, e.Seq)
		d.ends[e.Identity] = e
	})
}

func (d *disk) RecordAttempt(a journal.Attempt) {
	d.put(func(d *disk) {
		if d.attempts[a.Seq] == nil {
			d.attempts[a.Seq] = map[int]journal.Attempt{}
		}
		d.attempts[a.Seq][a.N] = a
	})
}

func (d *disk) WhenWritten(done func()) bool {
	d.put(func(d *disk) {
		if !d.crashed { // a crashed process receives no calls
			done()
		}
	})
	return false
}

// sync applies the first n pending entries.
func (d *disk) sync(n int) {
	for range n {
		f := d.pending[0]
		d.pending = d.pending[1:]
		f(d)
	}
}

func (d *disk) kept() *journal.Contents {
	now := journal.Run{Number: 1, Boot: "x", Clock: int64(d.now())}
	k := &journal.Contents{Runs: map[uint32]journal.Run{1: {Number: 1, Boot: "x"}}, ThisRun: now,
		Attempts: map[uint64][]journal.Attempt{}}
	for seq, m := range d.messages {
		k.Messages = append(k.Messages, m)
		k.LastSeq = max(k.LastSeq, seq)
	}
	for seq, l := range d.attempts {
		for n := range 50 {
			if a, ok := l[n]; ok {
				k.Attempts[seq] = append(k.Attempts[seq], a)
			}
		}
	}
	for _, e := range d.ends {
		k.Ends = append(k.Ends, e)
		k.LastSeq = max(k.LastSeq, e.Seq)
	}
	for _, w := range d.waits {
		k.Waits = append(k.Waits, w)
	}
	return k
}

// item is a message as its client and its partner see it.
type item struct {
	id      string
	class   int
	taken   bool
	answers []ledger.Verdict
	ran     int // number of times that it took effect
	resent  int // number of calls after it may have run
	served  bool
	run     int // run of the last hand-in
}

func (i *item) Taken(err error) {
	if err == nil {
		i.taken = true
	}
}
func (i *item) Answer(a ledger.Answer) { i.answers = append(i.answers, a.Verdict) }

var crashClasses = []choice.Class{{Name: "status", Aim: time.Second, Deadline: 6 * time.Second, Worth: 1},
	{Name: "order", Aim: time.Second, Deadline: 6 * time.Second, Worth: 1, Effect: choice.Keyed,
		Window: 10 * time.Second},
	{Name: "charge", Aim: time.Second, Deadline: 6 * time.Second, Worth: 1, Effect: choice.Unsafe, Ordered: true}}

// Guards against second effects, lost messages and wrong answers after crashes, for arbitrary
// schedules of hand-ins, outcomes, syncs and crashes, where a crash keeps any prefix of the
// unsynced records: no charge takes effect twice or is sent again after it may have run, each
// message that was taken is answered, no answer changes, and delivered messages were served.
func TestCrashSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Duration(0)
		d := &disk{now: func() time.Duration { return now }, messages: map[uint64]journal.Message{},
			attempts: map[uint64]map[int]journal.Attempt{}, ends: map[string]journal.End{},
			waits: map[string]journal.Wait{}}
		items := map[string]*item{}
		var list []*item
		var r *rig
		seen := 0 // number of calls of this run that were counted
		boots := 0
		boot := func() {
			r = &rig{}
			boots++
			seen = 0
			c, err := New(Options{Seed: 1, InboxSize: 100, Identities: 100, Retention: time.Hour, Caller: r,
				Observer: r,
				Clock:    d.now, Journal: d, Names: Names{func(int) string { return "p" }, []string{"z"}},
				Settings: choice.Settings{Fleet: 1, Workers: 8, MaxHeld: 100, MaxAttempts: 4, Tick: 5 * ms,
					Cancels: true, RefuseOnlyNeverRan: true, ReportLimitIndex: -1, MaxRetryAfter: time.Second,
					Classes: crashClasses, Kinds: []choice.Kind{{PerCall: 1}},
					Rules: choice.Rules{Fall: time.Second, Cold: 2 * time.Second, ColdFrom: 0.2, OverloadFactor: 2}}})
			if err != nil {
				t.Fatal(err)
			}
			r.Core = c
			plan := recover.NewPlan(d.kept(), map[string]recover.Class{"status": {Deadline: 6 * time.Second},
				"order": {Deadline: 6 * time.Second, RecordAttempts: true}, "charge": {Deadline: 6 * time.Second,
					RecordAttempts: true}}, map[string]bool{"p": true}, time.Hour, 2*time.Second)
			var messages []Restored
			var ended []Ended
			var waits []choice.RestoredHost
			for _, m := range plan.Messages {
				class := map[string]int{"status": 0, "order": 1, "charge": 2}[m.Class]
				items[m.Identity].taken = true // a front tells a client that comes again itself
				messages = append(messages, Restored{Message: Message{Identity: m.Identity, Class: class, Key: m.Key,
					Left: m.Left, Body: m.Body,
					Reply: items[m.Identity]}, Seq: m.Seq, Attempts: m.Attempts,
					MayHaveRun: m.MayHaveRun, Since: m.SentAgo})
			}
			for _, e := range plan.Ends {
				a := ledger.Answer{Verdict: ledger.Verdict(e.Verdict), RetryAfter: time.Duration(e.After)}
				ended = append(ended, Ended{Identity: e.Identity, Answer: a, Age: e.Age})
				items[e.Identity].Answer(a) // as a front passes it on after a restart
			}
			for _, w := range plan.Waits {
				waits = append(waits, choice.RestoredHost{Host: w.Host, RetryAfter: w.Left, Failing: w.Failing})
			}
			r.Restore(messages, ended, waits, d.kept().LastSeq)
			r.List(choice.HostUpdate{Full: true, Hosts: []choice.Host{{Addr: "h1", State: choice.Ready},
				{Addr: "h2", State: choice.Ready}}})
			r.Step()
		}
		boot()
		count := func() { // what the partner receives
			for ; seen < len(r.calls); seen++ {
				c := r.calls[seen]
				i := list[int(c.Body[0])]
				if i.class == 2 && i.ran > 0 {
					i.resent++
				}
				c.started = true
				if rapid.IntRange(0, 3).Draw(t, "runs") > 0 {
					i.ran++
					c.Head = []byte{1}
				}
			}
		}
		finish := func(c *fakeCall) {
			if c.ended {
				return
			}
			ran := len(c.Head) > 0
			switch o := rapid.IntRange(0, 3).Draw(t, "outcome"); {
			case ran && o < 2:
				list[int(c.Body[0])].served = true
				c.finish(choice.Served, 0)
			case ran:
				c.finish([]choice.Outcome{choice.Error, choice.Reset}[o-2], 0)
			default:
				c.finish([]choice.Outcome{choice.Refused, choice.NoConnection, choice.Error, choice.Reset}[o],
					time.Duration(o)*500*ms)
			}
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0, 1:
				if len(list) < 12 {
					i := &item{id: fmt.Sprint("i", len(list)), class: rapid.IntRange(0, 2).Draw(t, "class"),
						run: boots}
					items[i.id], list = i, append(list, i)
					_ = r.Submit(&Message{Source: "c", Identity: i.id, Class: i.class, Key: "k", Left: 6 * time.Second,
						Body: []byte{byte(len(list) - 1)}, Reply: i})
				}
			case 2: // a client without an answer hands in again
				for n, i := range list {
					if !i.taken && len(i.answers) == 0 && i.run < boots { // its connection was lost in the crash
						i.run = boots
						_ = r.Submit(&Message{Source: "c", Identity: i.id, Class: i.class, Key: "k",
							Left: 6 * time.Second, Body: []byte{byte(n)}, Reply: i})
					}
				}
			case 3, 4:
				if len(r.calls) > 0 {
					finish(r.calls[rapid.IntRange(0, len(r.calls)-1).Draw(t, "call")])
				}
			case 5, 6:
				d.sync(rapid.IntRange(0, len(d.pending)).Draw(t, "synced"))
			case 7, 8:
				now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * ms
			case 9:
				d.crashed = true
				d.sync(rapid.IntRange(0, len(d.pending)).Draw(t, "left"))
				d.pending, d.crashed = nil, false
				now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "away")) * ms
				boot()
			}
			r.Step()
			count()
		}
		for range 160 { // until everything has ended
			now += 50 * ms
			d.sync(len(d.pending))
			r.Step()
			count()
			for _, c := range r.calls {
				if ran := len(c.Head) > 0; !c.ended && ran {
					list[int(c.Body[0])].served = true
					c.finish(choice.Served, 0)
				} else if !c.ended {
					c.finish(choice.Refused, 0)
				}
			}
		}
		for _, i := range list {
			if i.class == 2 && (i.ran > 1 || i.resent > 0) {
				t.Fatalf("%s: a charge ran %d times, and was sent %d times after it may have run", i.id, i.ran,
					i.resent)
			}
			if i.taken && len(i.answers) == 0 {
				t.Fatalf("%s was taken but not answered", i.id)
			}
			for _, a := range i.answers {
				if a != i.answers[0] {
					t.Fatalf("%s: answers %v", i.id, i.answers)
				}
			}
			if len(i.answers) > 0 && i.answers[0] == ledger.Delivered && !i.served {
				t.Fatalf("%s: answered as delivered, but not served", i.id)
			}
		}
	})
}

// Guards against a wait that is lost from its record because another call to the endpoint fails,
// and against records of endpoints that were removed. Also checks that a journal which never
// confirms its records does not block the shutdown.
func TestRecordOfWaits(t *testing.T) {
	now := time.Duration(0)
	d := &disk{now: func() time.Duration { return now }, messages: map[uint64]journal.Message{},
		attempts: map[uint64]map[int]journal.Attempt{}, ends: map[string]journal.End{},
		waits: map[string]journal.Wait{}}
	r := &rig{}
	c, err := New(Options{Seed: 1, InboxSize: 100, Identities: 100, Retention: time.Hour, Caller: r, Observer: r,
		Clock: d.now, Journal: d, Names: Names{func(int) string { return "p" }, []string{"z"}},
		Settings: choice.Settings{Fleet: 1, Workers: 8, MaxHeld: 100, MaxAttempts: 4, Tick: 5 * ms,
			RefuseOnlyNeverRan: true, ReportLimitIndex: -1,
			Classes: crashClasses, Kinds: []choice.Kind{{PerCall: 1}},
			Rules: choice.Rules{Fall: time.Second, Cold: 2 * time.Second, ColdFrom: 0.2, OverloadFactor: 2}}})
	if err != nil {
		t.Fatal(err)
	}
	r.Core = c
	list := func(s choice.State) { r.List(choice.HostUpdate{Hosts: []choice.Host{{Addr: "h", State: s}}}); r.Step() }
	list(choice.Ready)
	for i := range 2 {
		_ = r.Submit(&Message{Source: "c", Identity: fmt.Sprint(i), Left: 6 * time.Second, Reply: &item{}})
	}
	r.Step()
	if len(r.calls) != 2 {
		t.Fatalf("%d calls", len(r.calls))
	}
	r.calls[0].finish(choice.Refused, 5*time.Second)
	r.Step()
	now += time.Second
	r.calls[1].finish(choice.Error, 0)
	r.Step()
	d.sync(len(d.pending))
	if w := d.waits["h"]; time.Duration(w.Remaining) != 4*time.Second || !w.Failing {
		t.Errorf("%+v", w)
	}
	list(choice.Gone)
	if len(c.recordedHosts) != 1 || len(c.zones) != 0 {
		t.Errorf("endpoint gone within its wait: noted %v, zones %v", c.recordedHosts, c.zones)
	}
	now += 10 * time.Second
	list(choice.Gone)
	d.sync(len(d.pending))
	if len(c.recordedHosts) != 0 || d.waits["h"].Remaining != 0 || d.waits["h"].Failing {
		t.Errorf("endpoint gone after its wait: noted %v, recorded %v", c.recordedHosts, d.waits)
	}
	end := make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	c.clock = func() time.Duration { return time.Since(clockEpoch) }
	_ = r.Submit(&Message{Source: "c", Identity: "late", Left: time.Second, Reply: &item{}})
	go func() { c.Run(ctx, 20*ms); close(end) }()
	cancel()
	select {
	case <-end:
	case <-time.After(20 * time.Second):
		t.Error("the shutdown waits for a journal that never confirms")
	}
}

// clockEpoch is the epoch of the clock while Run works.
var clockEpoch = time.Now().Add(-time.Hour)
