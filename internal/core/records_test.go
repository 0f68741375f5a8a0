package core

import (
	"fmt"
	"testing"
	"time"

	"basaltcross.example/basaltcross/choice"
	"basaltcross.example/basaltcross/internal/journal"
	"basaltcross.example/basaltcross/internal/ledger"
)

// failingDisk is a Backlog whose writes fail while the test says so.
type failingDisk struct {
	nullJournal
	failing   bool
	waiting   map[uint64]bool // messages with a record that is not written
	unwritten map[uint64]bool // messages whose message record is not written
	ended     []journal.End
	cleared   int
	progress  func()
}

func newFailingDisk() *failingDisk {
	return &failingDisk{waiting: map[uint64]bool{}, unwritten: map[uint64]bool{}}
}

func (d *failingDisk) record(seq uint64) {
	if d.failing {
		d.waiting[seq] = true
	}
}

func (d *failingDisk) RecordMessage(m journal.Message) {
	d.record(m.Seq)
	d.unwritten[m.Seq] = d.failing
}

func (d *failingDisk) RecordAttempt(a journal.Attempt) {
	d.record(a.Seq)
	if a.NeverRan {
		d.cleared++
	}
}

func (d *failingDisk) RecordEnd(e journal.End) {
	d.record(e.Seq)
	d.ended = append(d.ended, e)
}

func (d *failingDisk) WhenWritten(func()) bool { return len(d.waiting) == 0 }
func (d *failingDisk) Waiting(seq uint64) bool { return d.waiting[seq] }
func (d *failingDisk) Progress(f func())       { d.progress = f }

func (d *failingDisk) Backlogged() bool { return len(d.waiting) > 0 }

func (d *failingDisk) Cancel(seq uint64) bool {
	if !d.unwritten[seq] {
		return false
	}
	delete(d.unwritten, seq)
	delete(d.waiting, seq)
	return true
}

// heal makes writes work again and writes all records that wait.
func (d *failingDisk) heal() {
	d.failing = false
	clear(d.waiting)
	clear(d.unwritten)
	d.progress()
}

const respond = 200 * ms

func (r *rig) submit(t *testing.T, id string, d *decider) {
	t.Helper()
	if err := r.Submit(&Message{Identity: id, Left: 5 * time.Second, RespondWithin: respond, Reply: d}); err != nil {
		t.Fatal(err)
	}
	r.at(r.now + ms)
}

// Guards against a request that gets no response in time because the message record of its message cannot be written:
// it is refused in time, and neither this run nor the next one sends the message.
func TestUnrecordedHandInIsTakenBackInTime(t *testing.T) {
	j := newFailingDisk()
	r := newJournalRig(t, j)
	j.failing = true
	d := &decider{}
	by := r.now + respond
	r.submit(t, "m", d)
	if r.at(by - ms); len(d.held)+d.decided > 0 {
		t.Fatal("responded before the record is written or the response is due")
	}
	if next := r.nextTime(); next < 0 || next > by {
		t.Fatalf("the next step is at %v, want %v at the latest", next, by)
	}
	if r.at(by); len(d.held) != 1 || d.held[0] {
		t.Fatalf("held %v, want [false]", d.held)
	}
	if len(j.waiting) > 0 {
		t.Errorf("records of messages %v still wait", j.waiting)
	}
	j.heal()
	if r.at(r.now + ms); len(r.calls) > 0 || d.decided > 0 || len(d.answers) > 0 &&
		d.answers[0].Verdict != ledger.Abandoned {
		t.Errorf("%d calls, decided %d, answers %v for a message that was dropped", len(r.calls), d.decided, d.answers)
	}
}

// Guards against a request that gets no response in time because a later record about its message cannot be written:
// the message is accepted, and its final answer follows.
func TestRecordedHandInIsAcceptedInTime(t *testing.T) {
	j := newFailingDisk()
	r := newJournalRig(t, j)
	d := &decider{}
	if err := r.Submit(&Message{Identity: "m", Left: 5 * time.Second, RespondWithin: respond, Reply: d}); err != nil {
		t.Fatal(err)
	}
	r.opt.Journal = failsAfterTaken{j}
	r.at(r.now + ms) // the message record is written, that of the attempt is not
	if d.decided > 0 || !j.failing {
		t.Fatalf("decided %d, failing %v", d.decided, j.failing)
	}
	if r.at(r.now + respond); len(d.held) != 1 || !d.held[0] {
		t.Fatalf("held %v, want [true]", d.held)
	}
	j.heal()
	for range 3 {
		r.at(r.now + ms)
	}
	if len(r.calls) != 1 {
		t.Fatalf("%d calls once the disk works again, want one", len(r.calls))
	}
	r.calls[0].finish(choice.Served, 0)
	if r.at(r.now + ms); len(d.answers) != 1 || d.answers[0].Verdict != ledger.Delivered || d.decided > 0 ||
		len(d.held) != 1 {
		t.Errorf("answers %v, decided %d, held %v", d.answers, d.decided, d.held)
	}
}

// failsAfterTaken is a disk that fails once the message record of a message is written.
type failsAfterTaken struct{ *failingDisk }

func (f failsAfterTaken) RecordMessage(m journal.Message) {
	f.failingDisk.RecordMessage(m)
	f.failing = true
}

// Guards against a refusal that waits for the disk, or that the next run decides again: if the message record is not
// written, the refusal is reported at once, and no record is left.
func TestRefusalOfAnUnrecordedHandInIsReportedAtOnce(t *testing.T) {
	j := newFailingDisk()
	r := newJournalRig(t, j)
	r.List(choice.HostUpdate{Full: true}) // no endpoint
	r.at(r.now + ms)
	j.failing = true
	d := &decider{}
	if err := r.Submit(&Message{Identity: "m", Left: 5 * time.Second, RespondWithin: respond, Immediate: true,
		Reply: d}); err != nil {
		t.Fatal(err)
	}
	r.at(r.now + ms)
	if d.decided != 1 || len(d.answers) != 1 || d.answers[0].Verdict != ledger.Refused || len(d.taken) != 1 {
		t.Errorf("decided %d, answers %v, taken %v", d.decided, d.answers, d.taken)
	}
	if len(j.ended)+len(j.waiting) > 0 {
		t.Errorf("recorded ends %v, records of %v wait, want none", j.ended, j.waiting)
	}
}

// Guards against a request that waits for the records of other messages.
func TestHandInWaitsForItsOwnRecordsAlone(t *testing.T) {
	j := newFailingDisk()
	r := newJournalRig(t, j)
	first, second := &decider{}, &decider{}
	j.failing = true
	r.submit(t, "first", first)
	j.failing = false
	r.submit(t, "second", second)
	if first.decided != 0 || second.decided != 1 {
		t.Errorf("decided %d and %d, want only the second", first.decided, second.decided)
	}
	j.heal()
	if r.at(r.now + ms); first.decided != 1 || second.decided != 1 {
		t.Errorf("decided %d and %d once the disk works again, want both", first.decided, second.decided)
	}
}

// sentAfter hands in a message whose attempt record is delayed by wait, and returns the rig with its calls.
func sentAfter(t *testing.T, wait time.Duration) (r *rig, j *failingDisk) {
	t.Helper()
	j = newFailingDisk()
	r = newJournalRig(t, j)
	for i := range 100 { // to fill the latency statistics
		r.submit(t, fmt.Sprint("before", i), &decider{})
		r.calls[i].finish(choice.Served, 0)
		r.at(r.now + ms)
	}
	r.calls = nil
	r.opt.Journal = failsAfterTaken{j}
	r.submit(t, "m", &decider{})
	if wait > 0 && len(r.calls) > 0 {
		t.Fatal("a call was sent before its record is on disk")
	}
	for end := r.now + wait; r.now < end; {
		r.at(r.now + ms)
	}
	j.heal()
	r.opt.Journal = j
	for range 10 {
		r.at(r.now + ms)
	}
	return r, j
}

// Guards against calls that have only the rest of their time-out because the disk delayed them, and time out before
// the endpoint can respond: the time-out starts with the first byte.
func TestCallThatWaitedHasItsWholeTimeout(t *testing.T) {
	prompt, _ := sentAfter(t, 0)
	late, _ := sentAfter(t, maxRecordWait-10*ms)
	if len(prompt.calls) != 1 || len(late.calls) != 1 {
		t.Fatalf("%d and %d calls, want one each", len(prompt.calls), len(late.calls))
	}
	if got, want := late.calls[0].Timeout, prompt.calls[0].Timeout; got != want {
		t.Errorf("a time-out of %v, want %v", got, want)
	}
	if late.at(late.now + late.calls[0].Timeout - 20*ms); late.calls[0].aborted {
		t.Error("aborted before the time-out, counted from the first byte, was over")
	}
}

// Guards against calls that are sent long after their decision, in a burst once the disk works again, and against
// endpoints that are blamed for the delay: the module decides again.
func TestCallThatWaitedTooLongIsDecidedAgain(t *testing.T) {
	r, j := sentAfter(t, 3*time.Second)
	if len(r.calls) != 1 {
		t.Fatalf("%d calls, want one", len(r.calls))
	}
	if j.cleared != 1 {
		t.Errorf("%d attempts were recorded as without effect, want one for the whole wait", j.cleared)
	}
	if len(r.log) > 0 {
		t.Errorf("the module logged %q", r.log)
	}
	if left := 5*time.Second - r.now; r.calls[0].Timeout > left+20*ms {
		t.Errorf("a time-out of %v with %v left", r.calls[0].Timeout, left)
	}
}
