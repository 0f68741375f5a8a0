package lifecycle

import "testing"

// Guards against a consequence that breaks a rule if the answer is the call's own, or if it is another's: a message
// that may be over is never called again, and one that may not be over is never left untold.
func TestConsequencesAreHarmlessBothWays(t *testing.T) {
	for says := SaysNothing; says <= SaysSpent; says++ {
		for attribution := Certain; attribution <= Unmatched; attribution++ {
			got := ConsequenceOf(says, attribution)
			ends := says == SaysDelivered || says == SaysOver || says == SaysSpent
			if (got == MayCallAgain) == ends {
				t.Errorf("statement %d, attribution %d: %s", says, attribution, got)
			}
			told := got == EndsDeliveredOwed || got == EndsFailed
			if ends && attribution != Certain && !told {
				t.Errorf("statement %d, attribution %d: %s, though the message may not be over", says, attribution, got)
			}
		}
	}
}

// Guards against a call of a message that an answer has ended.
func TestNoCallBehindALearntEnd(t *testing.T) {
	for next := MayCallAgain; next <= EndsFailed; next++ {
		m := &Message{ID: "m", Deadline: 10 * s}
		if !m.MaySend(nil, 0, false) {
			t.Fatal("the first call was refused")
		}
		m.CallEnded(true, next)
		if m.MaySend(nil, s, false) != (next == MayCallAgain) {
			t.Errorf("behind %s a further call is allowed or refused wrongly", next)
		}
	}
}
