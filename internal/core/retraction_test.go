package core

import (
	"fmt"
	"testing"
	"time"

	"basaltcross.example/basaltcross/choice"
)

// finishUnconfirmed ends a call with a response that is unconfirmed for 100 ms.
func (f *fakeCall) finishUnconfirmed(o choice.Outcome) {
	f.ended = true
	f.End(Ending{Outcome: o, Took: 20 * ms, ConfirmAfter: 100 * ms, RetractableFor: 100 * ms})
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

// Guards against a second effect: a message is sent again at once because of a refusal that belongs to another
// call.
func TestRefusedMessageIsSentAgainOnceItsOutcomeIsConfirmed(t *testing.T) {
	r, re := sentMessage(t, unsafeClass)
	r.calls[0].finishUnconfirmed(choice.Refused)
	for at := 2 * ms; at < 100*ms; at += ms {
		if r.at(at); len(r.calls) > 1 || len(re.answers) > 0 {
			t.Fatalf("at %s: %d calls, answers %v", at, len(r.calls), re.answers)
		}
	}
	for at := 100 * ms; len(r.calls) == 1 && at < 5*time.Second; at += ms {
		r.at(at)
	}
	if len(r.calls) != 2 {
		t.Fatal("not sent again after the refusal is confirmed")
	}
	if r.calls[1].finish(choice.Served, 0); len(r.timeouts) != 1 {
		t.Errorf("%d time-outs", len(r.timeouts))
	}
	r.at(5 * time.Second)
	if verdicts([]*reply{re}) != "delivered " || len(r.byID)+len(r.timeouts)+len(r.retractions.steps) != 0 {
		t.Errorf("answers %v, %d messages, %d time-outs, %d steps left", re.answers, len(r.byID), len(r.timeouts),
			len(r.retractions.steps))
	}
}

// Guards against a second effect, and against a refusal of a message that has run, if the refusal proves to belong
// to another call.
func TestMessageWithARetractedRefusalIsNotSentAgain(t *testing.T) {
	for _, at := range []time.Duration{2 * ms, 50 * ms} { // together with the response, and while the next call waits
		r, re := sentMessage(t, unsafeClass)
		r.calls[0].finishUnconfirmed(choice.Refused)
		if at > 2*ms {
			r.at(2 * ms)
		}
		r.calls[0].Retract()
		for now := at; now < 7*time.Second; now += 5 * ms {
			r.at(now)
		}
		if len(r.calls) != 1 || verdicts([]*reply{re}) != "failed " {
			t.Errorf("retracted at %s: %d calls, answers %v", at, len(r.calls), re.answers)
		}
	}
}

// Guards against a message that is answered as delivered but was not: the response of status 200 belonged to another
// call.
func TestRetractedDeliveryIsReportedAsFailed(t *testing.T) {
	for _, class := range []int{0, unsafeClass} {
		r, re := sentMessage(t, class)
		var told []string
		r.opt.DeliveryRetracted = func(identity string) { told = append(told, identity) }
		r.calls[0].finishUnconfirmed(choice.Served)
		r.at(2 * ms)
		r.calls[0].Retract()
		r.calls[0].Retract()
		r.at(300 * ms)
		if verdicts([]*reply{re}) != "delivered " || fmt.Sprint(told) != "[m]" {
			t.Errorf("answers %v, reported %v, want m once", re.answers, told)
		}
		if r.at(10 * time.Second); len(r.retractions.delivered)+len(r.retractions.deliveredOrder)+
			len(r.retractions.heldKeys)+len(r.retractions.steps) != 0 {
			t.Errorf("state left after the end: %+v", r.retractions)
		}
	}
}

// Guards against messages of a key out of order: the next one is sent while the one before, which a response to
// another call has ended as failed, may still run.
func TestNextMessageOfAKeyWaitsUntilTheOutcomeIsConfirmed(t *testing.T) {
	r, re := newRig(t), &reply{}
	r.opt.Settings.Classes[unsafeClass].Ordered = true
	for _, id := range []string{"m", "n"} {
		if err := r.handIn(id, unsafeClass, re, 6*time.Second); err != nil {
			t.Fatal(err)
		}
	}
	r.at(ms)
	r.calls[0].finishUnconfirmed(choice.Error)
	for at := 2 * ms; at < 100*ms; at += ms {
		if r.at(at); len(r.calls) > 1 {
			t.Fatalf("the next message of the key is sent at %s", at)
		}
	}
	if r.at(102 * ms); len(r.calls) != 2 {
		t.Error("the next message of the key is not sent after the outcome is confirmed")
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
		d := &decider{}
		r.submit(t, "m", d)
		if len(r.calls) != 1 {
			t.Fatalf("%d calls", len(r.calls))
		}
		r.calls[0].finishUnconfirmed(choice.Served)
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
