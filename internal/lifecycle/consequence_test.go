package lifecycle

import "testing"

// Guards against a consequence that breaks a rule if the answer is the call's own, or if it is another's: a message
// that may be over is never called again, and one that may not be over is never left untold, at once where others of
// its key wait for it.
func TestConsequencesAreHarmlessBothWays(t *testing.T) {
	for _, ordered := range []bool{false, true} {
		for says := SaysNothing; says <= SaysSpent; says++ {
			for attribution := Certain; attribution <= Unmatched; attribution++ {
				got := ConsequenceOf(says, attribution, ordered)
				ends := says == SaysDelivered || says == SaysOver || says == SaysSpent
				if (got == MayCallAgain) == ends {
					t.Errorf("statement %d, attribution %d, ordered %v: %s", says, attribution, ordered, got)
				}
				told := got == EndsFailed || got == EndsDeliveredOwed && !ordered
				if ends && attribution != Certain && !told {
					t.Errorf("statement %d, attribution %d, ordered %v: %s, though the message may not be over", says,
						attribution, ordered, got)
				}
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
