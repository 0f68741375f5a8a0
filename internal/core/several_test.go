package core

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"basaltcross.example/basaltcross/choice"
	"basaltcross.example/basaltcross/internal/journal"
	"basaltcross.example/basaltcross/internal/ledger"
)

// several is a rig over a host that takes three messages a call, with some handed in
// before it is listed, so that one step sends them all.
func several(t *testing.T, classes ...int) (*rig, []*reply) {
	t.Helper()
	r := &rig{}
	class := choice.Class{Aim: time.Second, Deadline: 6 * time.Second, Worth: 1}
	unsafe := class
	unsafe.Effect = choice.Unsafe
	c, err := New(Options{Seed: 1, Arrivals: 20, Identities: 20, Keep: time.Minute, Caller: r, Observer: r,
		Settings: choice.Settings{Fleet: 1, Workers: 8, MaxHeld: 100, MaxAttempts: 2, Tick: 5 * ms, Cancels: true,
			RefuseOnlyNeverRan: true, ReportLimitIndex: -1, Classes: []choice.Class{class, unsafe}, Kinds: []choice.Kind{{PerCall: 3}},
			Rules: choice.Rules{OverloadFactor: 2, Fall: time.Second, ColdFrom: 0.2, Cold: 5 * time.Second}}})
	if err != nil {
		t.Fatal(err)
	}
	c.clock = func() time.Duration { return c.now }
	r.Core = c
	r.at(0)
	var all []*reply
	for i, k := range classes {
		re := &reply{}
		all = append(all, re)
		if err := r.Submit(&Message{Identity: fmt.Sprint("m", i), Class: k, Left: 6 * time.Second, Reply: re, Body: []byte{byte(i)}}); err != nil {
			t.Fatal(err)
		}
	}
	r.at(ms)
	r.List(choice.HostUpdate{Full: true, Hosts: []choice.Host{{Addr: "a", State: choice.Ready}}})
	r.at(2 * ms)
	return r, all
}

func verdicts(all []*reply) (out string) {
	for _, re := range all {
		v := ledger.Verdict(0)
		if len(re.answers) > 0 {
			v = re.answers[0].Verdict
		}
		if len(re.answers) > 1 {
			out += "twice "
		}
		out += v.String() + " "
	}
	return out
}

// The sends of one step to one host travel as one call, up to the kind's number, and
// each message in it has its own end.
func TestSeveralInOneCall(t *testing.T) {
	r, all := several(t, 1, 1, 1, 1)
	if len(r.calls) != 2 || len(r.calls[0].Call.Several) != 3 || r.calls[1].Call.Several != nil || len(r.waits) != 2 {
		t.Fatalf("%d calls, %d timers", len(r.calls), len(r.waits))
	}
	for i, m := range r.calls[0].Call.Several {
		if m.ID != fmt.Sprint("m", i) || len(m.Body) != 1 || m.Body[0] != byte(i) {
			t.Errorf("%+v", m)
		}
	}
	a := r.calls[0]
	a.ended = true
	a.Call.End(Ending{Outcome: choice.Served, Took: ms, Each: []Ending{{Outcome: choice.Served}, {Outcome: choice.Error},
		{Outcome: choice.NotSent, Over: true}}})
	r.calls[1].finish(choice.Served, 0)
	r.at(3 * ms)
	if got := verdicts(all); got != "delivered failed abandoned delivered " {
		t.Errorf("ends: %s", got)
	}
	if len(r.outs) != 0 || len(r.waits) != 0 || len(r.msgs) != 0 {
		t.Errorf("%d out, %d timers, %d messages left", len(r.outs), len(r.waits), len(r.msgs))
	}
}

// One time-out counts for all in a call, and so does a reset.
func TestOneEndForAll(t *testing.T) {
	for _, timeOut := range []bool{true, false} {
		r, all := several(t, 1, 1, 1)
		if timeOut {
			r.at(10 * time.Second)
		} else {
			r.calls[0].finish(choice.Reset, 0)
			r.at(3 * ms)
		}
		if got := verdicts(all); got != "failed failed failed " || r.calls[0].aborted != timeOut {
			t.Errorf("time-out %v: ends %s, aborted %v", timeOut, got, r.calls[0].aborted)
		}
	}
}

// A Cancel of some messages in a call leaves it to the others; that of the last ends it.
func TestCancelOfOneLeavesTheOthers(t *testing.T) {
	r, all := several(t, 1, 1, 1)
	id := func(i int) string { return r.led.Find(r.now, fmt.Sprint("m", i)).ID }
	r.carryOut([]choice.Action{choice.Cancel{ID: id(1)}})
	r.at(3 * ms)
	if r.calls[0].aborted || verdicts(all) != "none none none " {
		t.Fatalf("aborted %v, ends %s", r.calls[0].aborted, verdicts(all))
	}
	r.carryOut([]choice.Action{choice.Cancel{ID: id(0)}, choice.Cancel{ID: id(2)}})
	r.at(4 * ms)
	if !r.calls[0].aborted || verdicts(all) != "failed failed failed " {
		t.Errorf("aborted %v, ends %s", r.calls[0].aborted, verdicts(all))
	}
}

// Who withdraws a message nobody is owed anything, unless somebody else handed it in.
func TestAbandon(t *testing.T) {
	r := newRig(t)
	one, other := &reply{}, &reply{}
	if err := r.hand("m", 0, one, 6*time.Second); err != nil {
		t.Fatal(err)
	}
	r.at(ms)
	r.Abandon("m", other)
	r.at(2 * ms)
	if len(one.answers) != 0 {
		t.Fatalf("%v: somebody else's message was withdrawn", one.answers)
	}
	r.Abandon("m", one)
	r.at(3 * ms)
	if verdicts([]*reply{one}) != "abandoned " {
		t.Errorf("%v", one.answers)
	}
	r.calls[0].finish(choice.Error, 0)
	r.at(4 * ms)
	if len(r.calls) != 1 || len(r.msgs) != 0 {
		t.Errorf("%d calls, %d messages left", len(r.calls), len(r.msgs))
	}
}

// A refusal that was heard gives up its place in the order of its key, whatever became
// of its identity meanwhile.
func TestSettledRefusals(t *testing.T) {
	r := newRig(t)
	set := r.opt.Settings
	set.HoldUntilAcknowledged, set.Classes = true, slices.Clone(set.Classes)
	set.Classes[1].Ordered = true
	c, err := New(Options{Seed: 1, Arrivals: 8, Identities: 8, Keep: time.Minute, Caller: r, Observer: r, Settings: set})
	if err != nil {
		t.Fatal(err)
	}
	c.clock = func() time.Duration { return c.now }
	r.Core = c
	one, two := &reply{}, &reply{}
	_ = r.hand("one", 1, one, 100*ms)
	_ = r.hand("two", 1, two, 6*time.Second)
	for at := ms; at < 200*ms; at += ms { // no host is listed: the first one's time passes
		r.at(at)
	}
	if verdicts([]*reply{one, two}) != "refused none " {
		t.Fatal(verdicts([]*reply{one, two}))
	}
	r.List(choice.HostUpdate{Full: true, Hosts: []choice.Host{{Addr: "a", State: choice.Ready}}})
	r.at(300 * ms)
	if len(r.calls) != 0 {
		t.Fatal("sent before the one ahead was settled")
	}
	r.Settled("one")
	r.at(400 * ms)
	if len(r.calls) != 1 || len(r.owing) != 0 {
		t.Errorf("%d calls once the one ahead was settled, %d owing", len(r.calls), len(r.owing))
	}
}

// An answer at the very end of a message's time may be late by the clock of who handed
// it in: then its end is told, and its key goes on once that was heard.
func TestAnswersAtTheVeryEnd(t *testing.T) {
	for at, want := range map[time.Duration]string{500 * ms: "delivered ", 950 * ms: "failed "} {
		r := newRig(t)
		r.opt.Late = 100 * ms
		re := &reply{}
		_ = r.hand("m", 1, re, time.Second)
		r.at(ms)
		r.calls[0].finish(choice.Served, 0)
		r.at(at)
		if verdicts([]*reply{re}) != want || len(r.msgs) != 0 {
			t.Errorf("served after %v of a second: %s", at, verdicts([]*reply{re}))
		}
	}
}

// instant is a journal that has everything on disk at once, and keeps nothing.
type instant struct{}

func (instant) Stamp() journal.Stamp          { return journal.Stamp{} }
func (instant) HasRoom(int) bool              { return true }
func (instant) RecordMessage(journal.Message) {}
func (instant) RecordAttempt(journal.Attempt) {}
func (instant) RecordEnd(journal.End)         {}
func (instant) RecordWait(journal.Wait)       {}
func (instant) Forget(string)                 {}
func (instant) WhenWritten(func()) bool       { return true }

// The time that a start takes is off the time of what it restores.
func TestRestoredTimesCountFromTheRestore(t *testing.T) {
	r := newRig(t)
	r.opt.Journal = instant{}
	re := &reply{}
	r.Restore([]Restored{{Message: Message{Identity: "m", Class: 0, Partner: 5, Left: time.Second, Reply: re}, Seq: 7}}, nil, nil, 7)
	r.at(900 * ms)
	for at := 901 * ms; at <= 1000*ms; at += ms {
		r.at(at)
	}
	if verdicts([]*reply{re}) != "refused " {
		t.Errorf("%s: nothing was said within its time", verdicts([]*reply{re}))
	}
}
