package ledger

import (
	"errors"
	"fmt"
	"testing"
	"time"
)

// Guards against a full ledger that evicts an identity in progress, or one whose repeat would
// do harm: then a message could take effect twice.
func TestBound(t *testing.T) {
	l := New(3, time.Minute)
	open := func(now time.Duration, name string, loose bool) (*Entry, error) {
		return l.Open(now, name, name, loose)
	}
	safe, _ := open(0, "safe", true)
	firm, _ := open(0, "firm", false)
	_, _ = open(0, "under way", true)
	l.End(1, safe, Answer{Verdict: Delivered})
	l.End(1, firm, Answer{Verdict: Failed})
	if l.End(2, firm, Answer{Verdict: Delivered}) || firm.Answer.Verdict != Failed {
		t.Error("a second final answer was stored")
	}
	if _, err := open(2, "new", false); err != nil || l.Find(2, "safe") != nil {
		t.Fatalf("the safe identity was not evicted: %v", err)
	}
	if _, err := open(3, "one more", false); !errors.Is(err, ErrFull) {
		t.Fatalf("Open of a full ledger: %v, want ErrFull", err)
	}
	if l.Find(59*time.Second, "firm") == nil || l.Find(time.Minute+1, "firm") != nil {
		t.Error("an ended identity is not removed exactly after its retention")
	}
	if l.Len() != 2 {
		t.Errorf("%d identities, want 2", l.Len())
	}
}

// Guards against ended identities that are removed too early or too late, in a large number of
// both kinds.
func TestExpiry(t *testing.T) {
	l := New(1000, time.Second)
	for i := range 5000 {
		now := time.Duration(i) * 10 * time.Millisecond
		e, err := l.Open(now, fmt.Sprint(i), "", i%2 == 0)
		if err != nil {
			t.Fatal(err)
		}
		l.End(now, e, Answer{Verdict: Delivered})
		if want := min(i+1, 100); l.Len() != want {
			t.Fatalf("%d identities at %v, want %d", l.Len(), now, want)
		}
	}
}

// Guards against a refusal that is removed when its time is over. A client whose next hand-in is
// rejected must still get it after a restart, so it stays until the identity is opened again.
func TestRefusalIsKeptUntilOpenedAgain(t *testing.T) {
	l := New(1, time.Minute)
	var dropped []string
	l.Dropped = func(identity string) { dropped = append(dropped, identity) }
	e, err := l.Open(0, "a", "1", false)
	if err != nil {
		t.Fatal(err)
	}
	l.End(1, e, Answer{Verdict: Refused, RetryAfter: time.Second})
	if l.Find(time.Second, "a") != e {
		t.Error("a refusal is not in force before its time is over")
	}
	if l.Find(2*time.Second, "a") != nil || len(dropped) != 0 {
		t.Errorf("a refusal past its time is in force or was removed: %q", dropped)
	}
	again, err := l.Open(2*time.Second, "a", "2", false)
	if err != nil || len(dropped) != 1 || l.Len() != 1 || l.Find(2*time.Second, "a") != again {
		t.Errorf("opened again: %v, dropped %q, %d identities", err, dropped, l.Len())
	}
}
