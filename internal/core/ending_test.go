package core

import (
	"slices"
	"testing"
	"time"

	"basaltcross.example/basaltcross/choice"
	"basaltcross.example/basaltcross/internal/journal"
	"basaltcross.example/basaltcross/internal/ledger"
	"basaltcross.example/basaltcross/internal/lifecycle"
)

// slowJournal keeps what waits for its records until the test writes them.
type slowJournal struct {
	nothing
	wait []func()
	slow bool
}

type nothing struct{}

func (nothing) Stamp() journal.Stamp          { return journal.Stamp{} }
func (nothing) HasRoom(int) bool              { return true }
func (nothing) RecordMessage(journal.Message) {}
func (nothing) RecordAttempt(journal.Attempt) {}
func (nothing) RecordEnd(journal.End)         {}
func (nothing) RecordWait(journal.Wait)       {}
func (nothing) Forget(string)                 {}

func (j *slowJournal) WhenWritten(done func()) bool {
	if j.slow {
		j.wait = append(j.wait, done)
	}
	return !j.slow
}

func (j *slowJournal) write() {
	for _, done := range j.wait {
		done()
	}
	j.wait = nil
}

// decider is a reply that is told when its step is over.
type decider struct {
	reply
	decided int
	held    []bool
}

func (d *decider) Decided()            { d.decided++ }
func (d *decider) Undecided(held bool) { d.held = append(d.held, held) }

func kept(t *testing.T, j Journal) *rig {
	t.Helper()
	r := &rig{}
	class := choice.Class{Aim: time.Second, Deadline: 6 * time.Second, Worth: 1, Effect: choice.Keyed, Window: 2 * time.Second}
	c, err := New(Options{Seed: 1, Arrivals: 20, Identities: 200, Keep: time.Minute, Caller: r, Observer: r, Journal: j, Every: true,
		Guard: &lifecycle.Guard{Strict: true},
		Names: Names{Partner: func(int) string { return "p" }},
		Settings: choice.Settings{Fleet: 1, Workers: 8, MaxHeld: 100, MaxAttempts: 4, Tick: 5 * ms, Cancels: true, RefuseOnlyNeverRan: true,
			ReportLimitIndex: -1, Classes: []choice.Class{class}, Kinds: []choice.Kind{{PerCall: 1}},
			Rules: choice.Rules{OverloadFactor: 2, Fall: time.Second, ColdFrom: 0.2, Cold: 5 * time.Second}}})
	if err != nil {
		t.Fatal(err)
	}
	c.clock = func() time.Duration { return c.now }
	r.Core = c
	r.at(0)
	r.List(choice.HostUpdate{Full: true, Hosts: []choice.Host{{Addr: "a", State: choice.Ready}}})
	r.at(ms)
	return r
}

// A client hears that its message was taken only once the record of that is down: a kill
// in between would lose what it was promised.
func TestDecidedWaitsForTheRecord(t *testing.T) {
	j := &slowJournal{slow: true}
	r := kept(t, j)
	d := &decider{}
	if err := r.Submit(&Message{Identity: "m", Left: 5 * time.Second, Reply: d}); err != nil {
		t.Fatal(err)
	}
	r.at(2 * ms)
	if len(d.taken) != 0 || d.decided != 0 || len(r.calls) != 0 {
		t.Fatalf("taken %d, decided %d, %d calls before the record is down", len(d.taken), d.decided, len(r.calls))
	}
	j.slow = false
	j.write()
	r.at(3 * ms)
	if len(d.taken) != 1 || d.decided != 1 || len(r.calls) != 1 {
		t.Errorf("taken %d, decided %d, %d calls after it", len(d.taken), d.decided, len(r.calls))
	}
}

// backlog is a slow journal that knows which messages it could not write.
type backlog struct {
	slowJournal
	unwritten map[uint64]bool
}

func (b *backlog) Waiting(seq uint64) bool { return b.slow }

func (b *backlog) Cancel(seq uint64) bool { return b.unwritten[seq] }

func (b *backlog) Progress(func()) {}

func (b *backlog) Backlogged() bool { return b.slow }

// Guards against requests that are closed without an answer because a record cannot be
// written until the process ends: the next run has the message, or nobody will.
func TestResolveAnswersWhatWaitsForRecords(t *testing.T) {
	j := &backlog{slowJournal: slowJournal{slow: true}, unwritten: map[uint64]bool{2: true}}
	r := kept(t, j)
	written, unwritten := &decider{}, &decider{}
	for id, d := range map[string]*decider{"written": written, "unwritten": unwritten} {
		if err := r.Submit(&Message{Identity: id, Left: 5 * time.Second, Reply: d}); err != nil {
			t.Fatal(err)
		}
		r.at(r.now + ms)
	}
	j.unwritten = map[uint64]bool{}
	for seq := uint64(1); seq <= 2; seq++ { // by the order in which they were handed in
		for _, m := range r.msgs {
			j.unwritten[m.seq] = m.Identity == "unwritten"
		}
	}
	told := false
	r.Resolve(func() { told = true })
	r.at(r.now + ms)
	if !told || !slices.Equal(written.held, []bool{true}) || !slices.Equal(unwritten.held, []bool{false}) {
		t.Errorf("told %v, written %v, unwritten %v", told, written.held, unwritten.held)
	}
	j.slow = false
	j.write() // too late: nothing is told twice
	r.at(r.now + ms)
	if written.decided+unwritten.decided > 0 || len(written.held)+len(unwritten.held) != 2 {
		t.Errorf("told again: %+v, %+v", written, unwritten)
	}
}

// Guards against notices that come too late because the record of the end cannot be written:
// past its time no later run sends a message, and its end is told without the record.
func TestOverdueEndsAreToldWithoutTheirRecord(t *testing.T) {
	j := &slowJournal{}
	r := kept(t, j)
	r.opt.Settings.HoldUntilAcknowledged = true
	r.List(choice.HostUpdate{Full: true}) // nobody takes it
	r.at(r.now + ms)
	d := &decider{}
	if err := r.Submit(&Message{Identity: "m", Left: 5 * time.Second, Reply: d}); err != nil {
		t.Fatal(err)
	}
	r.at(r.now + ms)
	j.slow = true
	due := r.now + 5*time.Second
	r.Withdraw("m") // ended before its time
	r.at(r.now + ms)
	if len(d.answers) != 0 {
		t.Fatalf("told %v before the record", d.answers)
	}
	if next := r.nextTime(); next < 0 || next > due {
		t.Errorf("the next look is at %v, want %v at the latest", next, due)
	}
	if r.at(due); len(d.answers) != 1 {
		t.Errorf("told %v at the end of its time", d.answers)
	}
	j.slow = false
	j.write()
	if r.at(r.now + ms); len(d.answers) != 1 {
		t.Errorf("told %v, want one answer", d.answers)
	}
}

// Guards against calls that leave after the relay began to end, or after their message's
// time, because they had waited for their record.
func TestCallsThatWaitedAreDecidedAnew(t *testing.T) {
	for name, pass := range map[string]func(r *rig){
		"its time is over": func(r *rig) { r.at(r.now + 6*time.Second) },
		"the relay leaves": func(r *rig) { r.Park(func() {}); r.at(r.now + ms) },
	} {
		j := &slowJournal{slow: true}
		r := kept(t, j)
		if err := r.Submit(&Message{Identity: "m", Left: 5 * time.Second, Reply: &decider{}}); err != nil {
			t.Fatal(err)
		}
		r.at(r.now + ms)
		pass(r)
		j.slow = false
		j.write()
		r.at(r.now + ms)
		if len(r.calls) != 0 {
			t.Errorf("%s: %d calls", name, len(r.calls))
		}
	}
}

// The time in which a repeat is remembered is counted from the first send, over a restart
// and whatever it takes; what is left of it goes with the call.
func TestWindowOverRestart(t *testing.T) {
	r := kept(t, &slowJournal{})
	restore := func(id string, seq uint64, since time.Duration) *reply {
		re := &reply{}
		r.Restore([]Restored{{Message: Message{Identity: id, Left: 5 * time.Second, Reply: re}, Seq: seq, Attempts: 1, Ran: true,
			Since: since, Zone: 0}}, nil, nil, seq)
		return re
	}
	restore("left", 1, 1200*ms)
	over := restore("over", 2, 1800*ms)
	r.at(500 * ms) // the start took so long
	if len(r.calls) != 1 || r.calls[0].Name != "left" {
		t.Fatalf("%d calls, want one: the other's window is over", len(r.calls))
	}
	if w := r.calls[0].Within; w <= 0 || w > 300*ms+ms {
		t.Errorf("to be sent within %v, want what is left of 2 s: about 300 ms", w)
	}
	if len(over.answers) != 1 || over.answers[0].Verdict != ledger.Failed {
		t.Errorf("answers %+v, want failed", over.answers)
	}
}

// What would make one call's content too long for its host travels in a second one: a call
// that is refused for its length would be refused for ever.
func TestLongBodiesTravelApart(t *testing.T) {
	r, _ := several(t)
	r.opt.Together = 2000
	r.List(choice.HostUpdate{Full: true}) // nothing is sent before all are there
	r.at(3 * ms)
	for _, id := range []string{"a", "b", "c"} {
		if err := r.Submit(&Message{Identity: id, Left: 5 * time.Second, Reply: &reply{}, Body: make([]byte, 600)}); err != nil {
			t.Fatal(err)
		}
	}
	r.at(4 * ms)
	r.List(choice.HostUpdate{Full: true, Hosts: []choice.Host{{Addr: "a", State: choice.Ready}}})
	r.at(5 * ms)
	if len(r.calls) != 2 || len(r.calls[0].Call.Several) != 2 || r.calls[1].Call.Several != nil || r.calls[1].Name != "c" {
		t.Fatalf("%d calls, want one with two messages and one with the third", len(r.calls))
	}
}
