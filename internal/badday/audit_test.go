package badday

import (
	"testing"
	"time"
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
