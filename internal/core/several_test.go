package core

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"basaltcross.example/basaltcross/choice"
	"basaltcross.example/basaltcross/internal/journal"
	"basaltcross.example/basaltcross/internal/ledger"
	"basaltcross.example/basaltcross/internal/lifecycle"
)

// newBatchRig returns a rig with a host that accepts three messages a call. A message of each of the classes is
// handed in before the host is listed, so that one step sends them all.
func newBatchRig(t *testing.T, classes ...int) (*rig, []*reply) {
	t.Helper()
	r := &rig{}
	class := choice.Class{Aim: time.Second, Deadline: 6 * time.Second, Worth: 1}
	unsafe := class
	unsafe.Effect = choice.Unsafe
	c, err := New(Options{Seed: 1, InboxSize: 20, Identities: 20, Retention: time.Minute, Caller: r, Observer: r,
		Settings: choice.Settings{Fleet: 1, Workers: 8, MaxHeld: 100, MaxAttempts: 2, Tick: 5 * ms, Cancels: true,
			RefuseOnlyNeverRan: true, ReportLimitIndex: -1, Classes: []choice.Class{class, unsafe},
			Kinds: []choice.Kind{{PerCall: 3}},
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
		if err := r.Submit(&Message{Identity: fmt.Sprint("m", i), Class: k, Left: 6 * time.Second, Reply: re,
			Body: []byte{byte(i)}}); err != nil {
			t.Fatal(err)
		}
	}
	r.at(ms)
	r.List(choice.HostUpdate{Full: true, Hosts: []choice.Host{{Addr: "a", State: choice.Ready}}})
	r.at(2 * ms)
	return r, all
}

// verdicts returns the verdicts of the replies, each followed by a space; "none" without an answer.
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

// Guards against messages that share a call and get the outcome of another one. The sends of one step to a host
// share calls up to the limit of the kind.
func TestSeveralInOneCall(t *testing.T) {
	r, all := newBatchRig(t, 1, 1, 1, 1)
	if len(r.calls) != 2 || len(r.calls[0].Call.Items) != 3 || r.calls[1].Call.Items != nil ||
		len(r.timeouts) != 2 {
		t.Fatalf("%d calls, %d timers", len(r.calls), len(r.timeouts))
	}
	for i, m := range r.calls[0].Call.Items {
		if m.Identity != fmt.Sprint("m", i) || len(m.Body) != 1 || m.Body[0] != byte(i) {
			t.Errorf("%+v", m)
		}
	}
	a := r.calls[0]
	a.ended = true
	a.Call.End(Ending{Outcome: choice.Served, Took: ms, Each: []Ending{{Outcome: choice.Served},
		{Outcome: choice.Error},
		{Outcome: choice.NotSent, Over: true}}})
	r.calls[1].finish(choice.Served, 0)
	r.at(3 * ms)
	if got := verdicts(all); got != "delivered failed abandoned delivered " {
		t.Errorf("verdicts: %s", got)
	}
	if len(r.inFlight) != 0 || len(r.timeouts) != 0 || len(r.byID) != 0 {
		t.Errorf("%d out, %d timers, %d messages left", len(r.inFlight), len(r.timeouts), len(r.byID))
	}
}

// Guards against messages that stay without an outcome when their shared call times out or is reset.
func TestTimeoutAndResetEndAllMessagesOfACall(t *testing.T) {
	for _, timeOut := range []bool{true, false} {
		r, all := newBatchRig(t, 1, 1, 1)
		if timeOut {
			r.at(10 * time.Second)
		} else {
			r.calls[0].finish(choice.Reset, 0)
			r.at(3 * ms)
		}
		if got := verdicts(all); got != "failed failed failed " || r.calls[0].aborted != timeOut {
			t.Errorf("time-out %v: verdicts %s, aborted %v", timeOut, got, r.calls[0].aborted)
		}
	}
}

// Guards against a Cancel of one message that aborts the call of the others: the call ends with the Cancel of its
// last message.
func TestCancelOfOneMessageDoesNotAbortTheCall(t *testing.T) {
	r, all := newBatchRig(t, 1, 1, 1)
	id := func(i int) string { return r.identityLedger.Find(r.now, fmt.Sprint("m", i)).ID }
	r.carryOut([]choice.Action{choice.Cancel{ID: id(1)}})
	r.at(3 * ms)
	if r.calls[0].aborted || verdicts(all) != "none none none " {
		t.Fatalf("one cancelled: aborted %v, verdicts %s", r.calls[0].aborted, verdicts(all))
	}
	r.carryOut([]choice.Action{choice.Cancel{ID: id(0)}, choice.Cancel{ID: id(2)}})
	r.at(4 * ms)
	if !r.calls[0].aborted || verdicts(all) != "failed failed failed " {
		t.Errorf("all cancelled: aborted %v, verdicts %s", r.calls[0].aborted, verdicts(all))
	}
}

// Guards against an Abandon that ends the message of another client: it counts only from the Reply with which the
// message came.
func TestAbandon(t *testing.T) {
	r := newRig(t)
	one, other := &reply{}, &reply{}
	if err := r.handIn("m", 0, one, 6*time.Second); err != nil {
		t.Fatal(err)
	}
	r.at(ms)
	r.Abandon("m", other)
	r.at(2 * ms)
	if len(one.answers) != 0 {
		t.Fatalf("answers %v: the message of another Reply was abandoned", one.answers)
	}
	r.Abandon("m", one)
	r.at(3 * ms)
	if verdicts([]*reply{one}) != "abandoned " {
		t.Errorf("answers %v, want abandoned", one.answers)
	}
	r.calls[0].finish(choice.Error, 0)
	r.at(4 * ms)
	if len(r.calls) != 1 || len(r.byID) != 0 {
		t.Errorf("%d calls, %d messages left", len(r.calls), len(r.byID))
	}
}

// Guards against a call that is written although the client of its message has left meanwhile: it waits for a
// connection.
func TestAbandonRecallsACallThatIsNotWritten(t *testing.T) {
	for _, written := range []bool{false, true} {
		r, re := newRig(t), &reply{}
		if err := r.handIn("m", 0, re, 6*time.Second); err != nil {
			t.Fatal(err)
		}
		r.at(ms)
		r.calls[0].started = written
		r.Abandon("m", re)
		r.at(2 * ms)
		if r.calls[0].ended == written || verdicts([]*reply{re}) != "abandoned " {
			t.Errorf("written %v: call ended %v, answers %v", written, r.calls[0].ended, re.answers)
		}
		if left := len(r.byID) + len(r.inFlight) + len(r.timeouts); !written && left != 0 {
			t.Errorf("%d entries left", left)
		}
	}
}

// Guards against a key that is blocked for ever, or released too early, by a refused message: the message keeps its
// place in the order of its key until Settled.
func TestSettledRefusals(t *testing.T) {
	r := newRig(t)
	set := r.opt.Settings
	set.HoldUntilAcknowledged, set.Classes = true, slices.Clone(set.Classes)
	set.Classes[1].Ordered = true
	c, err := New(Options{Seed: 1, InboxSize: 8, Identities: 8, Retention: time.Minute, Caller: r, Observer: r,
		Settings: set})
	if err != nil {
		t.Fatal(err)
	}
	c.clock = func() time.Duration { return c.now }
	r.Core = c
	one, two := &reply{}, &reply{}
	_ = r.handIn("one", 1, one, 100*ms)
	_ = r.handIn("two", 1, two, 6*time.Second)
	for at := ms; at < 200*ms; at += ms { // no host is listed: the deadline of the first message passes
		r.at(at)
	}
	if verdicts([]*reply{one, two}) != "refused none " {
		t.Fatal(verdicts([]*reply{one, two}))
	}
	r.List(choice.HostUpdate{Full: true, Hosts: []choice.Host{{Addr: "a", State: choice.Ready}}})
	r.at(300 * ms)
	if len(r.calls) != 0 {
		t.Fatal("sent before the message ahead was settled")
	}
	r.Settled("one")
	r.at(400 * ms)
	if len(r.calls) != 1 || len(r.unsettledIDs) != 0 {
		t.Errorf("%d calls once the message ahead was settled, %d messages not settled", len(r.calls),
			len(r.unsettledIDs))
	}
}

// Guards against a delivery that is too late for the client: a response just before the deadline may be after it by
// the client's clock, and the message then fails.
func TestResponseWithinTheLateMarginIsNoDelivery(t *testing.T) {
	for at, want := range map[time.Duration]string{500 * ms: "delivered ", 950 * ms: "failed "} {
		r := newRig(t)
		r.opt.LateMargin = 100 * ms
		re := &reply{}
		_ = r.handIn("m", 1, re, time.Second)
		r.at(ms)
		r.calls[0].finish(choice.Served, 0)
		r.at(at)
		if verdicts([]*reply{re}) != want || len(r.byID) != 0 {
			t.Errorf("served %v after the hand-in, with 1 s to deliver: %s", at, verdicts([]*reply{re}))
		}
	}
}

// Guards against a message that gets no final answer because a host says that it is over just before its deadline: by
// the client's clock its time is up, nobody has withdrawn it, and a notice is still due.
func TestEndWithinTheLateMarginIsTold(t *testing.T) {
	for at, want := range map[time.Duration]string{500 * ms: "abandoned ", 950 * ms: "failed "} {
		r, re := newRig(t), &reply{}
		r.opt.LateMargin = 100 * ms
		_ = r.handIn("m", 1, re, time.Second)
		r.at(ms)
		r.calls[0].endAttributed(Ending{Outcome: choice.NotSent, Over: true}, lifecycle.Certain)
		r.at(at)
		if verdicts([]*reply{re}) != want || len(r.byID) != 0 || len(r.calls) != 1 {
			t.Errorf("over %v after the hand-in, with 1 s to deliver: %s", at, verdicts([]*reply{re}))
		}
	}
}

// instantJournal is a journal that reports every record as on disk at once, and stores nothing.
type instantJournal struct{}

func (instantJournal) Stamp() journal.Stamp          { return journal.Stamp{} }
func (instantJournal) HasRoom(int) bool              { return true }
func (instantJournal) RecordMessage(journal.Message) {}
func (instantJournal) RecordAttempt(journal.Attempt) {}
func (instantJournal) RecordEnd(journal.End)         {}
func (instantJournal) RecordWait(journal.Wait)       {}
func (instantJournal) Forget(string)                 {}
func (instantJournal) WhenWritten(func()) bool       { return true }

// Guards against restored messages whose deadline moves by the time that the start takes.
func TestRestoredTimesCountFromTheRestore(t *testing.T) {
	r := newRig(t)
	r.opt.Journal = instantJournal{}
	re := &reply{}
	r.Restore([]Restored{{Message: Message{Identity: "m", Class: 0, Partner: 5, Left: time.Second, Reply: re},
		Seq: 7}}, nil, nil, 7)
	r.at(900 * ms)
	for at := 901 * ms; at <= 1000*ms; at += ms {
		r.at(at)
	}
	if verdicts([]*reply{re}) != "refused " {
		t.Errorf("verdicts %s, want a refusal within its time", verdicts([]*reply{re}))
	}
}

// Guards against messages of a call that are called again although its answer has arrived: the time-out is due since the
// time of one of them is over, and the others have time left.
func TestTimeOutForOneOfSeveralWaitsForAnArrivedAnswer(t *testing.T) {
	r, _ := newBatchRig(t, 0, 0, 0)
	if len(r.calls) != 1 {
		t.Fatalf("%d calls, want 1", len(r.calls))
	}
	const due = time.Second
	call := r.timeouts[0]
	call.msg.deadline, call.timeoutAt = due, due
	r.calls[0].pending = true
	if r.at(due); r.calls[0].aborted {
		t.Error("given up although its answer has arrived")
	}
	if r.at(due + arrivedAnswerGrace); !r.calls[0].aborted {
		t.Errorf("not given up %s later", arrivedAnswerGrace)
	}
}
