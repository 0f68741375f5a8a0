package member

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func peers(n int) (out []Peer) {
	for i := range n {
		out = append(out, Peer{Name: fmt.Sprintf("r%03d", i), RunID: "a", StartedMS: 1, Healthy: true})
	}
	return out
}

func fleet(size int) *Fleet {
	return NewFleet(FleetSettings{Self: peers(1)[0], Size: size, LossDelay: 10 * s, MassLossDelay: 10 * time.Minute})
}

func size(t *testing.T, f *Fleet, now time.Duration) int {
	t.Helper()
	_, n, _, _ := f.View(now)
	return n
}

// Guards against a fleet that is estimated too small or, for good, too large: a relay that
// joins counts at once, a lost one until a delay has passed, many that are lost together
// for longer, and a restarted one only once.
func TestFleet(t *testing.T) {
	f := fleet(8)
	if n := size(t, f, 0); n != 8 {
		t.Errorf("before the first report: %d, want 8", n)
	}
	f.Report(0, peers(4), true)
	if n := size(t, f, 9*s); n != 8 {
		t.Errorf("just after the first report: %d, want 8", n)
	}
	if n := size(t, f, 10*s); n != 4 {
		t.Errorf("10 s after the first report: %d, want 4", n)
	}
	f.Report(20*s, peers(12), true)
	if n := size(t, f, 20*s); n != 12 {
		t.Errorf("after relays joined: %d, want 12", n)
	}
	f.Report(30*s, peers(11), true)
	if n := size(t, f, 39*s); n != 12 {
		t.Errorf("just after one was lost: %d, want 12", n)
	}
	if n := size(t, f, 40*s); n != 11 {
		t.Errorf("10 s after one was lost: %d, want 11", n)
	}
	again := append(peers(11), Peer{Name: "r005", RunID: "b", StartedMS: 2, Healthy: true})
	again[5].Healthy = false
	f.Report(50*s, again, true)
	if n := size(t, f, 50*s); n != 11 {
		t.Errorf("after one was restarted: %d, want 11", n)
	}
	again[5].Healthy = true
	f.Report(55*s, again, true)
	if _, n, _, twice := f.View(55 * s); n != 12 || len(twice) != 1 {
		t.Errorf("two healthy relays of one name: size %d, duplicates %v; want 12 and one name", n, twice)
	}
	f.Report(60*s, peers(5), true)
	if n := size(t, f, 120*s); n < 11 {
		t.Errorf("after half the fleet was lost at once: %d, want 11 or more", n)
	}
	if n := size(t, f, 12*time.Minute); n != 5 {
		t.Errorf("long after half the fleet was lost: %d, want 5", n)
	}
	f.Report(13*time.Minute, peers(3), false)
	if n := size(t, f, 30*time.Minute); n != 5 {
		t.Errorf("after a report that is not fresh: %d, want 5", n)
	}
}

// Guards against relays that together exceed the fleet's limits. Relays stop at random, and
// each running one sees all others: their shares must not add up to more than 1, and their
// indexes must be within the size, and distinct once the size is exact.
func TestSharesNeverTooLarge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n = 9
		views := make([]*Fleet, n)
		up := make([]bool, n)
		start := func(i int) {
			views[i] = NewFleet(FleetSettings{Self: peers(n)[i], Size: n, LossDelay: 10 * s,
				MassLossDelay: 10 * time.Minute})
			up[i] = true
		}
		for i := range n {
			start(i)
		}
		now := time.Duration(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 30).Draw(t, "s")) * s
			if i := rapid.IntRange(0, n-1).Draw(t, "dies"); rapid.Bool().Draw(t, "strikes") {
				up[i] = false
			}
			var all []Peer
			for i, p := range peers(n) {
				if up[i] {
					all = append(all, p)
				}
			}
			sum, seen := 0.0, map[int]bool{}
			for i := range n {
				if !up[i] {
					continue
				}
				views[i].Report(now, all, true)
				index, size, _, _ := views[i].View(now)
				sum += 1 / float64(size)
				if index < 0 || index >= size || seen[index] && size == len(all) {
					t.Fatalf("relay %d has index %d in a fleet of %d", i, index, size)
				}
				seen[index] = true
			}
			if sum > 1.0000001 {
				t.Fatalf("the shares add up to %.3f", sum)
			}
		}
	})
}
