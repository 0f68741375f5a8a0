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

// Guards against overspending: over any window, wherever it begins, the bytes transferred and reserved
// must grow by at most the budget, the overdraft, and the excess of exchanges over their reservations,
// for any sequence of sends, sizes, ends and clock steps.
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
			used float64 // bytes transferred and reserved since the start
		}
		var marks []mark
		var out []Reservation
		now := time.Duration(0)
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(-50, 900).Draw(t, "ms")) * time.Millisecond
			left, tolls := b.Allowances(now)
			for range rapid.IntRange(0, 40).Draw(t, "sends") { // as package choice does: any class, urgent or not
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
			t.Fatalf("Beyond is %v, want 0", b.Beyond)
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

// Guards against stopping classes in the wrong order when the budget runs out: the class of the lowest
// worth must stop first. The class with an overdraft draws on it, and later traffic pays that back.
func TestOrderInWhichClassesStop(t *testing.T) {
	b, _ := New(settings(), 1)
	open := func(now time.Duration, class int, urgent bool) bool {
		left, tolls := b.Allowances(now)
		k := tolls[class]
		if urgent {
			return left-k.Cost >= k.Urgent
		}
		return left-k.Cost >= k.Floor && k.Own >= k.Cost
	}
	var stopped [3]float64
	for range 60 { // sends of 1000 bytes by the class of the highest worth, far into its overdraft
		for class := range 3 {
			if !open(0, class, false) && stopped[class] == 0 {
				stopped[class] = b.Level(0)
			}
		}
		if open(0, 2, false) {
			b.Settle(0, b.Reserve(0, 2, 0), 1000, true)
		}
	}
	if !(stopped[0] > stopped[1] && stopped[1] > stopped[2] && stopped[2] < -6000 && stopped[2] >= -8000) {
		t.Fatalf("stopped at %v", stopped)
	}
	_, tolls := b.Allowances(0)
	again := tolls[0].Again
	if open(0, 0, true) || again < 4*time.Second {
		t.Errorf("the class of the lowest worth may send again at %v", again)
	}
	if open(again-10*time.Millisecond, 0, false) || !open(again, 0, false) {
		t.Error("the class may not send again exactly at the reported time")
	}
	if b.Overdrawn < 6000 || b.Overdrawn > 8000 {
		t.Errorf("overdrawn by %v", b.Overdrawn)
	}
}

// Guards against an estimate that does not follow growing exchanges, and against bytes gained when the
// budget is lowered below what is spent, when it is raised again, and when the fleet changes.
func TestEstimateAndBudgetChanges(t *testing.T) {
	b, _ := New(settings(), 2)
	for range 30 {
		b.Settle(time.Hour, b.Reserve(time.Hour, 0, 7), 5000, true)
	}
	if e := b.Estimate(0, 7); e < 5000 || e > 8000 {
		t.Errorf("estimate is %v after 30 exchanges of 5000 bytes", e)
	}
	e := b.Estimate(0, 7)
	b.Settle(time.Hour, b.Reserve(time.Hour, 0, 7), 10, false)
	if b.Estimate(0, 7) != e {
		t.Error("an exchange that was cut off changed the estimate")
	}
	at := 2 * time.Hour
	full := b.Level(at)
	b.SetBytes(at, 6000)
	if have := b.Level(at); have > 1500 || full != 15000 {
		t.Errorf("level is %v before and %v after the budget was lowered", full, have)
	}
	b.SetBytes(at, 60000)
	if b.Fleet(at, 10); b.Level(at) > 1500 {
		t.Errorf("level is %v right after the budget was raised again", b.Level(at))
	}
	if b.Level(at-time.Hour) > b.Level(at) {
		t.Error("a clock that runs backwards fills the bucket")
	}
}

// Guards against a relay that exceeds the budget over some window by crashing and restarting repeatedly.
func TestResume(t *testing.T) {
	set := Settings{Bytes: 10_000, Window: 10 * time.Second, Burst: 0.25, Held: 0, First: 100, Classes: []Class{{Worth: 1}}}
	var spent []time.Duration
	b, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	start := time.Duration(0)
	for now := time.Duration(0); now < time.Minute; now += 10 * time.Millisecond {
		if left, k := b.Allowances(now - start); left-k[0].Cost >= k[0].Floor {
			b.Settle(now-start, b.Reserve(now-start, 0, 0), 100, true)
			spent = append(spent, now)
		}
		if now%(700*time.Millisecond) == 0 { // a crash, and a restart half a second later
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
			t.Fatalf("%d bytes in the window from %v", n*100, from)
		}
	}
	if len(spent) < 300 {
		t.Errorf("%d exchanges, want 300 or more", len(spent))
	}
}
