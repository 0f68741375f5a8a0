package core

import (
	"fmt"
	"testing"
	"time"

	"basaltcross.example/basaltcross/choice"
	"basaltcross.example/basaltcross/internal/lifecycle"
)

// finishUnproven ends a call with a response that may belong to another call.
func (f *fakeCall) finishUnproven(o choice.Outcome) {
	f.endAttributed(Ending{Outcome: o}, lifecycle.Likely)
}

// endAttributed ends a call with a response that is the call's own with the given certainty.
func (f *fakeCall) endAttributed(e Ending, attribution lifecycle.Attribution) {
	f.ended = true
	e.Took = 20 * ms
	e.Attribute(attribution)
	f.End(e)
}

// sentMessage returns a rig with a message that was handed in and sent.
func sentMessage(t *testing.T, class int) (*rig, *reply) {
	t.Helper()
	r, re := newRig(t), &reply{}
	if err := r.handIn("m", class, re, 6*time.Second); err != nil {
		t.Fatal(err)
	}
	r.at(ms)
	if len(r.calls) != 1 {
		t.Fatalf("%d calls", len(r.calls))
	}
	return r, re
}

const unsafeClass = 1

// sentUnordered is sentMessage for a message that no other one of its key waits for.
func sentUnordered(t *testing.T, class int) (*rig, *reply) {
	t.Helper()
	r, re := sentMessage(t, class)
	r.opt.Settings.Classes[class].Ordered = false
	return r, re
}

// Guards against a second effect, and against a refusal of a message that has run, on the strength of a
// refusal that may belong to another call. A message that must not be repeated fails at once; any other is
// sent again.
func TestUnprovenRefusalCountsAsMayHaveRun(t *testing.T) {
	for class, want := range []string{"none ", "failed "} {
		r, re := sentMessage(t, class)
		r.calls[0].finishUnproven(choice.Refused)
		r.at(2 * ms)
		if got := verdicts([]*reply{re}); got != want {
			t.Errorf("class %d: %s, want %s", class, got, want)
		}
		r.calls[0].Retract()
		for at := 3 * ms; at < 5*time.Second && len(r.calls) == 1; at += ms {
			r.at(at)
		}
		if again := len(r.calls) - 1; again != 1-class {
			t.Errorf("class %d: sent again %d times, want %d", class, again, 1-class)
		}
	}
}

// Guards against a message that is not sent again although its refusal is proved to be its own, and against state that
// outlives it.
func TestMessageWithAProvedRefusalIsSentAgain(t *testing.T) {
	r, re := sentMessage(t, unsafeClass)
	r.calls[0].finish(choice.Refused, 0)
	for at := 2 * ms; len(r.calls) == 1 && at < 5*time.Second; at += ms {
		if r.at(at); len(re.answers) > 0 {
			t.Fatalf("at %s: answers %v", at, re.answers)
		}
	}
	if len(r.calls) != 2 {
		t.Fatal("not sent again after a proved refusal")
	}
	if r.calls[1].finish(choice.Served, 0); len(r.timeouts) != 1 {
		t.Errorf("%d time-outs", len(r.timeouts))
	}
	r.at(5 * time.Second)
	if verdicts([]*reply{re}) != "delivered " || len(r.byID)+len(r.timeouts)+len(r.unproven.steps) != 0 {
		t.Errorf("answers %v, %d messages, %d time-outs, %d steps left", re.answers, len(r.byID), len(r.timeouts),
			len(r.unproven.steps))
	}
}

// Guards against a second effect if the response proves to belong to another call before its outcome is
// processed.
func TestOutcomeRetractedBeforeItIsProcessed(t *testing.T) {
	r, re := sentMessage(t, unsafeClass)
	r.calls[0].Retract()
	r.calls[0].finish(choice.Refused, 0)
	for now := 2 * ms; now < 7*time.Second; now += 5 * ms {
		r.at(now)
	}
	if len(r.calls) != 1 || verdicts([]*reply{re}) != "failed " {
		t.Errorf("%d calls, answers %v", len(r.calls), re.answers)
	}
}

// Guards against a message that is called again, or gets no final answer, behind a response which says that it is
// over and may be the call's own or another's; and against a refusal of such a message, which may have run.
func TestMessageThatMayBeOverFailsAtOnce(t *testing.T) {
	for name, e := range map[string]Ending{"over": {Outcome: choice.NotSent, Over: true},
		"spent": {Outcome: choice.NotSent, Spent: true}, "delivered": {Outcome: choice.Served}} {
		for _, attribution := range []lifecycle.Attribution{lifecycle.Likely, lifecycle.Doubtful, lifecycle.Unmatched} {
			for _, class := range []int{0, unsafeClass} {
				if name == "delivered" && attribution == lifecycle.Likely && class == 0 {
					continue // TestUnprovenDeliveryFailsWhenItsTimeIsOver
				}
				r, re := sentMessage(t, class)
				r.calls[0].endAttributed(e, attribution)
				r.at(2 * ms)
				if got := verdicts([]*reply{re}); got != "failed " {
					t.Errorf("%s, attribution %d, class %d: %s, want failed", name, attribution, class, got)
				}
				for at := 3 * ms; at < 7*time.Second; at += ms {
					r.at(at)
				}
				if len(r.calls) != 1 {
					t.Errorf("%s, attribution %d, class %d: %d calls, want one", name, attribution, class, len(r.calls))
				}
			}
		}
	}
}

// Guards against a further call behind a proved end: one that is over ends untold, one without attempts left at once.
func TestProvedEndIsNotFailed(t *testing.T) {
	for want, e := range map[string]Ending{"abandoned ": {Outcome: choice.NotSent, Over: true},
		"refused ": {Outcome: choice.NotSent, Spent: true}} {
		r, re := sentMessage(t, unsafeClass)
		r.calls[0].endAttributed(e, lifecycle.Certain)
		for at := 2 * ms; at < 7*time.Second; at += ms {
			r.at(at)
		}
		if got := verdicts([]*reply{re}); got != want || len(r.calls) != 1 {
			t.Errorf("%s after %d calls, want %s after one", got, len(r.calls), want)
		}
	}
}

// Guards against a message that is called again although it was delivered: its response is retracted before it is
// processed.
func TestDeliveryRetractedBeforeItIsProcessedIsNotCalledAgain(t *testing.T) {
	r, re := sentMessage(t, 0)
	r.calls[0].Retract()
	r.calls[0].finishUnproven(choice.Served)
	for at := 2 * ms; at < 7*time.Second; at += ms {
		r.at(at)
	}
	if got := verdicts([]*reply{re}); got != "failed " || len(r.calls) != 1 {
		t.Errorf("%s after %d calls, want failed after one", got, len(r.calls))
	}
}

// Guards against a message that is called again although the answer which ended it had arrived: the time-out of the
// call was processed first.
func TestAnswerThatHasArrivedBeatsItsTimeOut(t *testing.T) {
	for _, cancelled := range []bool{false, true} {
		r, re := sentMessage(t, 0)
		r.timeouts[0].timeoutAt = 100 * ms
		r.calls[0].pending = true
		if cancelled {
			r.carryOut([]choice.Action{choice.Cancel{ID: r.calls[0].ID}})
		} else {
			r.at(100 * ms)
		}
		if r.calls[0].aborted {
			t.Fatalf("cancelled %v: given up although its answer has arrived", cancelled)
		}
		r.calls[0].endAttributed(Ending{Outcome: choice.NotSent, Over: true}, lifecycle.Certain)
		for at := 101 * ms; at < 7*time.Second; at += ms {
			r.at(at)
		}
		if got := verdicts([]*reply{re}); got != "abandoned " || len(r.calls) != 1 {
			t.Errorf("cancelled %v: %s after %d calls, want abandoned after one", cancelled, got, len(r.calls))
		}
	}
}

// Guards against the same at the end of a shutdown, whether the messages are answered or left to a later run.
func TestShutdownHeedsAnAnswerThatHasArrived(t *testing.T) {
	for _, parked := range []bool{false, true} {
		r, re := newRig(t), &reply{}
		for id, to := range map[string]*reply{"answered": re, "open": {}} {
			if err := r.handIn(id, 0, to, 6*time.Second); err != nil {
				t.Fatal(err)
			}
		}
		r.at(ms)
		if len(r.calls) != 2 {
			t.Fatalf("%d calls", len(r.calls))
		}
		answered, open := r.calls[0], r.calls[1]
		if answered.Identity != "answered" {
			answered, open = open, answered
		}
		answered.pending = true
		if parked {
			r.Park(func() {})
			r.CloseCalls()
		} else {
			r.graceEnd = 2 * ms
		}
		if r.at(2 * ms); answered.aborted || !open.aborted {
			t.Errorf("parked %v: given up: the call with an answer %v, the other one %v", parked, answered.aborted, open.aborted)
		}
		answered.endAttributed(Ending{Outcome: choice.NotSent, Over: true}, lifecycle.Certain)
		r.at(3 * ms)
		if got := verdicts([]*reply{re}); got != "abandoned " {
			t.Errorf("parked %v: %s, want that its end counts", parked, got)
		}
	}
}

// Guards against the same close to the message's deadline, up to which the time-out may wait.
func TestTimeOutNearTheDeadlineWaitsForAnArrivedAnswer(t *testing.T) {
	const left = 6 * time.Second
	r, _ := sentMessage(t, 0)
	due := left - arrivedAnswerGrace/2
	r.timeouts[0].timeoutAt = due
	r.calls[0].pending = true
	if r.at(due); r.calls[0].aborted {
		t.Error("given up although its answer has arrived")
	}
	if r.at(left); !r.calls[0].aborted {
		t.Error("not given up at the deadline")
	}
}

// Guards against a call that is never given up because bytes of an answer keep arriving.
func TestTimeOutWaitsOnceForAnArrivedAnswer(t *testing.T) {
	for _, cancelled := range []bool{false, true} {
		r, _ := sentMessage(t, 0)
		r.calls[0].pending = true
		r.now = 100 * ms
		if cancelled {
			r.carryOut([]choice.Action{choice.Cancel{ID: r.calls[0].ID}})
		} else {
			r.timeouts[0].timeoutAt = 100 * ms
			r.at(100 * ms)
		}
		if r.at(100*ms + arrivedAnswerGrace); !r.calls[0].aborted {
			t.Errorf("cancelled %v: not given up after the grace", cancelled)
		}
	}
}

// tellTimes records when the core tells that message m failed behind its delivery. It tells of no other.
func (r *rig) tellTimes(t *testing.T) (retracted, unproven *[]time.Duration) {
	t.Helper()
	retracted, unproven = new([]time.Duration), new([]time.Duration)
	tell := func(times *[]time.Duration) func(string) {
		return func(identity string) {
			if *times = append(*times, r.now); identity != "m" {
				t.Errorf("told of %q, want m", identity)
			}
		}
	}
	r.opt.DeliveryRetracted, r.opt.DeliveryUnproven = tell(retracted), tell(unproven)
	return retracted, unproven
}

// Guards against a message that is answered as delivered but was not: the response of status 200 belonged to another
// call.
func TestRetractedDeliveryIsReportedAsFailed(t *testing.T) {
	for _, class := range []int{0, unsafeClass} {
		r, re := sentUnordered(t, class)
		retracted, unproven := r.tellTimes(t)
		r.calls[0].finishUnproven(choice.Served)
		r.at(2 * ms)
		r.calls[0].Retract()
		r.calls[0].Retract()
		r.at(300 * ms)
		if verdicts([]*reply{re}) != "delivered " || len(*retracted) != 1 {
			t.Errorf("answers %v, reported %v, want m once", re.answers, *retracted)
		}
		if r.at(10 * time.Second); len(r.unproven.delivered)+len(r.unproven.steps)+len(*unproven) != 0 {
			t.Errorf("state left after the end: %+v, told %v", r.unproven, *unproven)
		}
	}
}

// Guards against a message that gets no final answer: it is taken as delivered because of a copy of another
// call's response, and its host doesn't finish it within its time.
func TestUnprovenDeliveryFailsWhenItsTimeIsOver(t *testing.T) {
	const left = 6 * time.Second
	r, re := sentUnordered(t, unsafeClass)
	retracted, unproven := r.tellTimes(t)
	r.calls[0].finishUnproven(choice.Served)
	for at := 2 * ms; at < 8*time.Second; at += ms {
		r.at(at)
	}
	if verdicts([]*reply{re}) != "delivered " || len(*retracted) != 0 || len(*unproven) != 1 ||
		(*unproven)[0] > left || (*unproven)[0] < left-failureInterval {
		t.Errorf("answers %v, retracted %v, told %v, want once at %s", re.answers, *retracted, *unproven, left)
	}
	if len(r.unproven.delivered)+len(r.unproven.steps) != 0 {
		t.Errorf("state left after the end: %+v", r.unproven)
	}
}

// Guards against a table of unproven deliveries that grows with the traffic, and against messages without a
// final answer beyond its limit.
func TestUnprovenDeliveriesBeyondTheLimitFailAtOnce(t *testing.T) {
	r, _ := sentUnordered(t, unsafeClass)
	_, unproven := r.tellTimes(t)
	r.unproven.delivered = map[string]delivered{}
	for i := range maxDelivered {
		r.unproven.delivered[fmt.Sprint("other", i)] = delivered{}
	}
	r.calls[0].finishUnproven(choice.Served)
	if r.at(2 * ms); len(*unproven) != 1 || len(r.unproven.delivered) != maxDelivered {
		t.Errorf("told at %v, %d remembered", *unproven, len(r.unproven.delivered))
	}
}

// Guards against messages of a key out of order: the next one is sent at once while the one before may still
// run, since a response that may belong to another call has ended it.
func TestNextMessageOfAKeyWaitsBehindAnUnprovenOutcome(t *testing.T) {
	for _, outcome := range []choice.Outcome{choice.Error, choice.Refused, choice.Served} {
		r, re := newRig(t), &reply{}
		r.opt.Settings.Classes[unsafeClass].Ordered = true
		for _, id := range []string{"m", "n"} {
			if err := r.handIn(id, unsafeClass, re, 6*time.Second); err != nil {
				t.Fatal(err)
			}
		}
		r.at(ms)
		r.calls[0].finishUnproven(outcome)
		settled := 2*ms + r.opt.Settings.Rules.OrderSettle
		for at := 2 * ms; at < settled; at += ms {
			if r.at(at); len(r.calls) > 1 {
				t.Fatalf("%s: the next message of the key is sent at %s", outcome, at)
			}
		}
		for at := settled; at < 5*time.Second && len(r.calls) < 2; at += ms {
			r.at(at)
		}
		if len(r.calls) != 2 {
			t.Errorf("%s: the next message of the key is not sent", outcome)
		}
	}
}

// Guards against a doubted outcome that counts as a refusal or a delivery. The message may have run: it fails if
// it must not be repeated.
func TestDoubtedOutcomeFailsUnrepeatableMessages(t *testing.T) {
	for class, want := range []string{"none ", "failed "} {
		r, re := sentMessage(t, class)
		r.calls[0].finish(choice.Doubted, 0)
		r.at(2 * ms)
		if got := verdicts([]*reply{re}); got != want {
			t.Errorf("class %d: %s, want %s", class, got, want)
		}
	}
}

// Guards against calls within a wait that a response asked for which belongs to no call, because a copy of another
// response came before it.
func TestWaitOfAnUnsolicitedResponseIsKept(t *testing.T) {
	r, re := newRig(t), &reply{}
	r.ReportWait("a", 0, 300*ms)
	r.at(ms)
	if err := r.handIn("m", 0, re, 6*time.Second); err != nil {
		t.Fatal(err)
	}
	for at := 2 * ms; at < 300*ms; at += ms {
		if r.at(at); len(r.calls) > 0 {
			t.Fatalf("called at %s, within the wait", at)
		}
	}
	for at := 300 * ms; len(r.calls) == 0 && at < 5*time.Second; at += ms {
		r.at(at)
	}
	if len(r.calls) == 0 {
		t.Error("not called after the wait")
	}
}

// Guards against a message that a later process sends although it was reported as failed, because the record of its
// end was not on disk.
func TestRetractedDeliveryIsReportedOnceRecorded(t *testing.T) {
	for _, heals := range []bool{true, false} {
		j := newFailingDisk()
		r := newJournalRig(t, j)
		told := 0
		r.opt.DeliveryRetracted = func(string) { told++ }
		r.opt.DeliveryUnproven = func(string) { t.Error("told as unproven although it is retracted") }
		d := &decider{}
		r.submit(t, "m", d)
		if len(r.calls) != 1 {
			t.Fatalf("%d calls", len(r.calls))
		}
		r.calls[0].finishUnproven(choice.Served)
		r.at(r.now + ms)
		j.failing = true
		r.calls[0].Retract()
		if r.at(r.now + ms); told != 0 {
			t.Error("reported before its record is written")
		}
		if heals {
			j.heal()
		}
		if r.at(r.now + 6*time.Second); told != 1 { // at the message's deadline at the latest
			t.Errorf("disk works again %v: reported %d times, want once", heals, told)
		}
	}
}
