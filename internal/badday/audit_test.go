package badday

import (
	"testing"
	"time"

	"basaltcross.example/basaltcross/internal/client"
)

// Guards against an answer that counts as late although the hand-in had joined an earlier
// one, which the relay has though its client never heard so; and only then.
func TestDueOfAJoinedHandIn(t *testing.T) {
	at := time.Unix(100, 0)
	first := handIn{id: "m", relay: 1, at: at, left: deadline, unknown: true}
	again := handIn{id: "m", relay: 1, at: at.Add(123 * time.Millisecond), left: deadline - time.Second}
	own := again.at.Add(again.left)
	if due := dueOf(&again, []*handIn{&first, &again}); !due.Equal(at.Add(deadline)) {
		t.Errorf("joined: due %v after the first, want %v", due.Sub(at), deadline)
	}
	for name, change := range map[string]func(f *handIn){
		"another message": func(f *handIn) { f.id = "n" },
		"another relay":   func(f *handIn) { f.relay = 2 },
		"turned away":     func(f *handIn) { f.unknown = false },
		"a later one":     func(f *handIn) { f.at = again.at.Add(time.Second) },
	} {
		f := first
		change(&f)
		if due := dueOf(&again, []*handIn{&f, &again}); !due.Equal(own) {
			t.Errorf("%s: due %v after the first, want %v", name, due.Sub(at), own.Sub(at))
		}
	}
}

// The course of client-4-2971 on a mixed day: two hand-ins were open at once, since the client
// had two reasons to come again. They join, the one answer is to both, and it must be in time
// for the first. Any other hand-in without an answer breaks the rule.
func TestAnswerToJoinedHandIns(t *testing.T) {
	at := time.Unix(100, 0)
	for _, c := range []struct {
		name   string
		change func(open, again *handIn)
		broken int
	}{
		{"joined", func(_, _ *handIn) {}, 0},
		{"handed in once", func(_, again *handIn) { again.id = "n" }, 1},
		{"at another relay", func(_, again *handIn) { again.relay = 1 }, 1},
		{"handed in before", func(_, again *handIn) { again.number = 1 }, 1},
		{"no answer to either", func(_, again *handIn) { again.answers = nil }, 2},
		{"late for the first", func(_, again *handIn) { again.answers[0].At = at.Add(deadline + answerSlack + 1) }, 1},
	} {
		open := &handIn{id: "m", number: 2, at: at, left: deadline, taken: true}
		again := &handIn{id: "m", number: 3, at: at.Add(80 * time.Millisecond), left: deadline, taken: true,
			answers: []client.Answer{{Outcome: "delivered", At: at.Add(400 * time.Millisecond)}}}
		c.change(open, again)
		d := &day{relays: []*relayProc{{index: 0}, {index: 1}}}
		r := &Report{Answers: map[string]int{}}
		if x := d.auditAnswers([]*handIn{open, again}, nil, r); x.Broken != c.broken || x.Occasions != 2 {
			t.Errorf("%s: %d of %d broken, want %d: %v", c.name, x.Broken, x.Occasions, c.broken, x.Examples)
		}
	}
}
