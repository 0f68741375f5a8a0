package budget

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func settings() Settings {
	return Settings{Bytes: 60000, Window: 10 * time.Second, Burst: 0.5, Held: 0.4, First: 1000, Classes: []Class{
		{Worth: 1}, {Worth: 2, Limit: 20000}, {Worth: 5, Overdraft: 8000}}}
}

// Over any window, wherever it begins, what passed and what is reserved grow by
// at most the budget, the overdraft, and what exchanges were larger than
// reserved; whatever the schedule of sends, sizes, ends and clock steps.
func TestBudgetIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := settings()
		fleet := rapid.IntRange(1, 3).Draw(t, "fleet")
		b, err := New(s, fleet)
		if err != nil {
			t.Fatal(err)
		}
		larger := rapid.SampledFrom([]float64{1, 1, 3}).Draw(t, "larger")
		type mark struct {
			at   time.Duration
			used float64 // passed and reserved since the beginning
		}
		var marks []mark
		var out []Grant
		now := time.Duration(0)
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(-50, 900).Draw(t, "ms")) * time.Millisecond
			left, tolls := b.Tolls(now)
			for range rapid.IntRange(0, 40).Draw(t, "sends") { // as the module does: any class, urgent or not
				class := rapid.IntRange(0, 2).Draw(t, "class")
				k := &tolls[class]
				floor := k.Floor
				if rapid.Bool().Draw(t, "urgent") {
					floor = k.Urgent
				}
				if left-k.Cost >= floor && k.Own >= k.Cost {
					left, k.Own = left-k.Cost, k.Own-k.Cost
					out = append(out, b.Reserve(now, class, rapid.IntRange(0, 3).Draw(t, "partner")))
				}
			}
			marks = append(marks, mark{b.now, b.Spent + b.Reserved})
			for len(out) > 0 && rapid.Bool().Draw(t, "ends") {
				g := out[0]
				out = out[1:]
				b.Settle(now, g, int64(rapid.Float64Range(0, g.bytes*larger).Draw(t, "passed")), rapid.Bool().Draw(t, "whole"))
			}
			marks = append(marks, mark{b.now, b.Spent + b.Reserved})
		}
		if larger == 1 && b.Beyond > 0 {
			t.Fatalf("beyond %v", b.Beyond)
		}
		bound := (s.Bytes+8000)/float64(fleet) + b.Beyond + 1
		for i, from := range marks {
			for _, to := range marks[i:] {
				if to.at-from.at <= s.Window && to.used-from.used > bound {
					t.Fatalf("%.0f bytes from %v to %v, bound %.0f", to.used-from.used, from.at, to.at, bound)
				}
			}
		}
	})
}

// A spent budget stops the cheap class first, then the next; the one that must
// not be stopped goes on into its overdraft, which later traffic pays back.
func TestWhoIsStopped(t *testing.T) {
	b, _ := New(settings(), 1)
	open := func(now time.Duration, class int, urgent bool) bool {
		left, tolls := b.Tolls(now)
		k := tolls[class]
		if urgent {
			return left-k.Cost >= k.Urgent
		}
		return left-k.Cost >= k.Floor && k.Own >= k.Cost
	}
	var stopped [3]float64
	for range 60 { // thousand-byte sends of the worthiest class, far into its overdraft
		for class := range 3 {
			if !open(0, class, false) && stopped[class] == 0 {
				stopped[class] = b.Have(0)
			}
		}
		if open(0, 2, false) {
			b.Settle(0, b.Reserve(0, 2, 0), 1000, true)
		}
	}
	if !(stopped[0] > stopped[1] && stopped[1] > stopped[2] && stopped[2] < -6000 && stopped[2] >= -8000) {
		t.Fatalf("stopped at %v", stopped)
	}
	_, tolls := b.Tolls(0)
	again := tolls[0].Again
	if open(0, 0, true) || again < 4*time.Second {
		t.Errorf("the cheap class is open again at %v", again)
	}
	if open(again-10*time.Millisecond, 0, false) || !open(again, 0, false) {
		t.Error("it does not open at the time told")
	}
	if b.Overdrawn < 6000 || b.Overdrawn > 8000 {
		t.Errorf("overdrawn by %v", b.Overdrawn)
	}
}

// Answers grow: the estimate follows within some exchanges. A budget lowered
// below what is spent, and a fleet that changes, give nothing away.
func TestSizesAndChanges(t *testing.T) {
	b, _ := New(settings(), 2)
	for range 30 {
		b.Settle(time.Hour, b.Reserve(time.Hour, 0, 7), 5000, true)
	}
	if e := b.Estimate(0, 7); e < 5000 || e > 8000 {
		t.Errorf("estimate %v after thirty of 5000", e)
	}
	e := b.Estimate(0, 7)
	b.Settle(time.Hour, b.Reserve(time.Hour, 0, 7), 10, false)
	if b.Estimate(0, 7) != e {
		t.Error("an exchange that was cut off shrank the estimate")
	}
	at := 2 * time.Hour
	full := b.Have(at)
	b.Lower(at, 6000)
	if have := b.Have(at); have > 1500 || full != 15000 {
		t.Errorf("%v before, %v after it was lowered", full, have)
	}
	b.Lower(at, 60000)
	if b.Fleet(at, 10); b.Have(at) > 1500 {
		t.Errorf("raised anew it holds %v at once", b.Have(at))
	}
	if b.Have(at-time.Hour) > b.Have(at) {
		t.Error("a clock that runs backwards fills it")
	}
}

// A relay that crashes and comes back, again and again, spends no more than one
// that runs on: over any window no more than the budget.
func TestResume(t *testing.T) {
	set := Settings{Bytes: 10_000, Window: 10 * time.Second, Burst: 0.25, Held: 0, First: 100, Classes: []Class{{Worth: 1}}}
	var spent []time.Duration
	b, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	start := time.Duration(0)
	for now := time.Duration(0); now < time.Minute; now += 10 * time.Millisecond {
		if left, k := b.Tolls(now - start); left-k[0].Cost >= k[0].Floor {
			b.Settle(now-start, b.Reserve(now-start, 0, 0), 100, true)
			spent = append(spent, now)
		}
		if now%(700*time.Millisecond) == 0 { // a crash, half a second away
			levels := b.Levels()
			if b, err = New(set, 1); err != nil {
				t.Fatal(err)
			}
			now += 500 * time.Millisecond
			start = now
			b.Resume(levels, 500*time.Millisecond)
		}
	}
	for i, from := range spent {
		n := 0
		for _, at := range spent[i:] {
			if at-from < set.Window {
				n++
			}
		}
		if float64(n*100) > set.Bytes {
			t.Fatalf("%d bytes in a window from %v", n*100, from)
		}
	}
	if len(spent) < 300 {
		t.Errorf("%d exchanges only", len(spent))
	}
}
