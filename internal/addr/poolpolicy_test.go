package addr

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a missing spare connection while calls arrive, and against needless ones: after a
// failed call, long after the last call, or while spares close unused.
func TestSpares(t *testing.T) {
	k := NewKeep(KeepSettings{Most: 8, Spare: 2, Connecting: 4}, 1)
	k.Called(0, 3)
	if n := k.Spares(0, 0, 0, 0); n != 0 {
		t.Errorf("%d spares before any answer", n)
	}
	k.Ended(0, true)
	if n := k.Spares(0, 0, 0, 0); n != 2 {
		t.Errorf("%d spares after a peak of three calls, want 2", n)
	}
	if n := k.Spares(0, 2, 1, 0); n != 0 {
		t.Errorf("%d spares with three open connections", n)
	}
	k.Ended(0, false)
	if n := k.Spares(0, 0, 0, 0); n != 0 {
		t.Errorf("%d spares after a failed call", n)
	}
	k.Ended(0, true)
	for range 4 {
		k.Spent(false)
	}
	if n := k.Spares(time.Second, 0, 0, 0); n != 0 {
		t.Errorf("%d spares after four that closed unused", n)
	}
	k.Spent(true)
	if n := k.Spares(time.Second, 0, 0, 0); n == 0 {
		t.Error("no spares after one was used")
	}
	k.Dismissed(time.Second)
	if n := k.Spares(time.Second, 0, 0, 0); n != 0 {
		t.Errorf("%d spares after the idle connections were closed on request", n)
	}
	k.noSparesUntil = 0
	if n := k.Spares(11*time.Second, 0, 0, 0); n != 0 {
		t.Errorf("%d spares 11 s after the last answer", n)
	}
}

// Guards against connections beyond the limits, and against equal ages of connections.
func TestKeepBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := KeepSettings{Idle: time.Second, Age: time.Minute, Most: rapid.IntRange(0, 5).Draw(t, "most"),
			Spare: rapid.IntRange(0, 5).Draw(t, "spare"), Connecting: rapid.IntRange(1, 5).Draw(t, "connecting")}
		k := NewKeep(set, 1)
		now, out, idle, connecting := time.Duration(0), 0, 0, 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * ms
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				if idle > 0 {
					idle, out = idle-1, out+1
				} else if k.Dials(connecting) {
					connecting++
				}
				k.Called(now, out+connecting)
			case 1:
				if out > 0 {
					out--
					if k.Ended(now, rapid.Bool().Draw(t, "well")); k.Kept(idle) {
						idle++
					}
				}
			case 2:
				if connecting > 0 {
					connecting, out = connecting-1, out+1
				}
			case 3:
				n := k.Spares(now, out, idle, connecting)
				if n < 0 || n > 0 && idle+connecting+n > set.Spare {
					t.Fatalf("%d spares beside %d idle and %d connecting", n, idle, connecting)
				}
				connecting += n
			}
			if connecting > set.Connecting || idle > set.Most {
				t.Fatalf("%d connecting, %d idle of %+v", connecting, idle, set)
			}
		}
		if a := k.Life(); a < 54*time.Second || a > 66*time.Second || a == k.Life() {
			t.Fatalf("age limit %v", a)
		}
	})
}
