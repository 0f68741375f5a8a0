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

// slowJournal delays all records until the test writes them.
type slowJournal struct {
	nullJournal
	wait []func()
	slow bool
}

// nullJournal implements the methods of a Journal that stores nothing, without WhenWritten.
type nullJournal struct{}

func (nullJournal) Stamp() journal.Stamp          { return journal.Stamp{} }
func (nullJournal) HasRoom(int) bool              { return true }
func (nullJournal) RecordMessage(journal.Message) {}
func (nullJournal) RecordAttempt(journal.Attempt) {}
func (nullJournal) RecordEnd(journal.End)         {}
func (nullJournal) RecordWait(journal.Wait)       {}
func (nullJournal) Forget(string)                 {}

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

// decider is a Decider that counts its notifications.
type decider struct {
	reply
	decided int
	held    []bool
}

func (d *decider) Decided()            { d.decided++ }
func (d *decider) Undecided(held bool) { d.held = append(d.held, held) }

// newJournalRig returns a rig with a journal, one endpoint, and a class whose repeats the destination drops for 2 s.
func newJournalRig(t *testing.T, j Journal) *rig {
	t.Helper()
	r := &rig{}
	class := choice.Class{Aim: time.Second, Deadline: 6 * time.Second, Worth: 1, Effect: choice.Keyed,
		Window: 2 * time.Second}
	c, err := New(Options{Seed: 1, InboxSize: 20, Identities: 200, Retention: time.Minute, Caller: r, Observer: r,
		Journal: j, RecordAllAttempts: true,
		Guard: &lifecycle.Guard{Strict: true},
		Names: Names{Partner: func(int) string { return "p" }},
		Settings: choice.Settings{Fleet: 1, Workers: 8, MaxHeld: 100, MaxAttempts: 4, Tick: 5 * ms, Cancels: true,
			RefuseOnlyNeverRan: true,
			ReportLimitIndex:   -1, Classes: []choice.Class{class}, Kinds: []choice.Kind{{PerCall: 1}},
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

// Guards against an accepted message that a kill of the process loses: the client is notified only once its
// record is on disk.
func TestDecidedWaitsForTheRecord(t *testing.T) {
	j := &slowJournal{slow: true}
	r := newJournalRig(t, j)
	d := &decider{}
	if err := r.Submit(&Message{Identity: "m", Left: 5 * time.Second, Reply: d}); err != nil {
		t.Fatal(err)
	}
	r.at(2 * ms)
	if len(d.taken) != 0 || d.decided != 0 || len(r.calls) != 0 {
		t.Fatalf("taken %d, decided %d, %d calls before the record is on disk", len(d.taken), d.decided, len(r.calls))
	}
	j.slow = false
	j.write()
	r.at(3 * ms)
	if len(d.taken) != 1 || d.decided != 1 || len(r.calls) != 1 {
		t.Errorf("taken %d, decided %d, %d calls after the record is on disk", len(d.taken), d.decided, len(r.calls))
	}
}

// backlog is a slow journal that reports which messages it could not write.
type backlog struct {
	slowJournal
	unwritten map[uint64]bool
}

func (b *backlog) Waiting(seq uint64) bool { return b.slow }

func (b *backlog) Cancel(seq uint64) bool { return b.unwritten[seq] }

func (b *backlog) Progress(func()) {}

func (b *backlog) Backlogged() bool { return b.slow }

// Guards against requests that are closed without a response because a record cannot be written
// before the process ends: the client hears whether the next run will have the message.
func TestResolveAnswersWhatWaitsForRecords(t *testing.T) {
	j := &backlog{slowJournal: slowJournal{slow: true}, unwritten: map[uint64]bool{2: true}}
	r := newJournalRig(t, j)
	written, unwritten := &decider{}, &decider{}
	for id, d := range map[string]*decider{"written": written, "unwritten": unwritten} {
		if err := r.Submit(&Message{Identity: id, Left: 5 * time.Second, Reply: d}); err != nil {
			t.Fatal(err)
		}
		r.at(r.now + ms)
	}
	j.unwritten = map[uint64]bool{}
	for seq := uint64(1); seq <= 2; seq++ { // in the order of their hand-in
		for _, m := range r.byID {
			j.unwritten[m.seq] = m.Identity == "unwritten"
		}
	}
	told := false
	r.ResolveUndecided(func() { told = true })
	r.at(r.now + ms)
	if !told || !slices.Equal(written.held, []bool{true}) || !slices.Equal(unwritten.held, []bool{false}) {
		t.Errorf("done %v, written %v, unwritten %v", told, written.held, unwritten.held)
	}
	j.slow = false
	j.write() // too late: no second notification
	r.at(r.now + ms)
	if written.decided+unwritten.decided > 0 || len(written.held)+len(unwritten.held) != 2 {
		t.Errorf("notified again: %+v, %+v", written, unwritten)
	}
}

// Guards against notices that come too late because the record of the final answer cannot be written.
// After its deadline no later run sends the message, and the answer does not wait for the record.
func TestOverdueAnswersAreReportedWithoutTheirRecord(t *testing.T) {
	j := &slowJournal{}
	r := newJournalRig(t, j)
	r.opt.Settings.HoldUntilAcknowledged = true
	r.List(choice.HostUpdate{Full: true}) // no endpoint
	r.at(r.now + ms)
	d := &decider{}
	if err := r.Submit(&Message{Identity: "m", Left: 5 * time.Second, Reply: d}); err != nil {
		t.Fatal(err)
	}
	r.at(r.now + ms)
	j.slow = true
	due := r.now + 5*time.Second
	r.Withdraw("m") // ends before its deadline
	r.at(r.now + ms)
	if len(d.answers) != 0 {
		t.Fatalf("answered %v before the record is written", d.answers)
	}
	if next := r.nextTime(); next < 0 || next > due {
		t.Errorf("the next step is at %v, want %v at the latest", next, due)
	}
	if r.at(due); len(d.answers) != 1 {
		t.Errorf("answered %v at the deadline, want one answer", d.answers)
	}
	j.slow = false
	j.write()
	if r.at(r.now + ms); len(d.answers) != 1 {
		t.Errorf("answered %v, want one answer", d.answers)
	}
}

// Guards against calls that are sent during the shutdown or after the deadline of their message,
// because they had waited for their record.
func TestCallsThatWaitedAreNotSentTooLate(t *testing.T) {
	for name, pass := range map[string]func(r *rig){
		"the deadline has passed": func(r *rig) { r.at(r.now + 6*time.Second) },
		"the relay shuts down":    func(r *rig) { r.Park(func() {}); r.at(r.now + ms) },
	} {
		j := &slowJournal{slow: true}
		r := newJournalRig(t, j)
		if err := r.Submit(&Message{Identity: "m", Left: 5 * time.Second, Reply: &decider{}}); err != nil {
			t.Fatal(err)
		}
		r.at(r.now + ms)
		pass(r)
		j.slow = false
		j.write()
		r.at(r.now + ms)
		if len(r.calls) != 0 {
			t.Errorf("%s: %d calls, want none", name, len(r.calls))
		}
	}
}

// Guards against a repeat after the window in which the destination drops repeats. The window counts from the
// first send, across restarts and including the time of the start; the call gets what is left of it.
func TestWindowOverRestart(t *testing.T) {
	r := newJournalRig(t, &slowJournal{})
	restore := func(id string, seq uint64, since time.Duration) *reply {
		re := &reply{}
		r.Restore([]Restored{{Message: Message{Identity: id, Left: 5 * time.Second, Reply: re}, Seq: seq, Attempts: 1,
			MayHaveRun: true,
			Since:      since, Zone: 0}}, nil, nil, seq)
		return re
	}
	restore("left", 1, 1200*ms)
	over := restore("over", 2, 1800*ms)
	r.at(500 * ms) // duration of the start
	if len(r.calls) != 1 || r.calls[0].Identity != "left" {
		t.Fatalf("%d calls, want one: the window of the other message is over", len(r.calls))
	}
	if w := r.calls[0].WriteWithin; w <= 0 || w > 300*ms+ms {
		t.Errorf("to be sent within %v, want the rest of 2 s: about 300 ms", w)
	}
	if len(over.answers) != 1 || over.answers[0].Verdict != ledger.Failed {
		t.Errorf("answers %+v, want failed", over.answers)
	}
}

// Guards against calls that are too large for their host, which would refuse them at each attempt: messages that do
// not fit are sent in a further call.
func TestLargeMessagesAreSentInSeparateCalls(t *testing.T) {
	r, _ := newBatchRig(t)
	r.opt.MaxCallBytes = 2000
	r.List(choice.HostUpdate{Full: true}) // no endpoint until all messages are handed in
	r.at(3 * ms)
	for _, id := range []string{"a", "b", "c"} {
		if err := r.Submit(&Message{Identity: id, Left: 5 * time.Second, Reply: &reply{},
			Body: make([]byte, 600)}); err != nil {
			t.Fatal(err)
		}
	}
	r.at(4 * ms)
	r.List(choice.HostUpdate{Full: true, Hosts: []choice.Host{{Addr: "a", State: choice.Ready}}})
	r.at(5 * ms)
	if len(r.calls) != 2 || len(r.calls[0].Call.Items) != 2 || r.calls[1].Call.Items != nil ||
		r.calls[1].Identity != "c" {
		t.Fatalf("%d calls, want one with two messages and one with the third", len(r.calls))
	}
}
