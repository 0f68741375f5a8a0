package addr

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A spare replaces a connection that went while calls come; none while the last
// call failed, none long after the last, and ever fewer if nobody uses them.
func TestSpares(t *testing.T) {
	k := NewKeep(KeepSettings{Most: 8, Spare: 2, Connecting: 4}, 1)
	k.Called(0, 3)
	if n := k.Spares(0, 0, 0, 0); n != 0 {
		t.Errorf("%d before any answer", n)
	}
	k.Ended(0, true)
	if n := k.Spares(0, 0, 0, 0); n != 2 {
		t.Errorf("%d after a peak of three", n)
	}
	if n := k.Spares(0, 2, 1, 0); n != 0 {
		t.Errorf("%d with three open", n)
	}
	k.Ended(0, false)
	if n := k.Spares(0, 0, 0, 0); n != 0 {
		t.Errorf("%d after a failure", n)
	}
	k.Ended(0, true)
	for range 4 {
		k.Spent(false)
	}
	if n := k.Spares(time.Second, 0, 0, 0); n != 0 {
		t.Errorf("%d after four that nobody used", n)
	}
	k.Spent(true)
	if n := k.Spares(time.Second, 0, 0, 0); n == 0 {
		t.Error("none once they are used again")
	}
	k.Dismissed(time.Second)
	if n := k.Spares(time.Second, 0, 0, 0); n != 0 {
		t.Errorf("%d after the module had them closed", n)
	}
	k.barred = 0
	if n := k.Spares(11*time.Second, 0, 0, 0); n != 0 {
		t.Errorf("%d long after the last answer", n)
	}
}

// No bound is ever passed, and ages differ.
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
			t.Fatalf("life %v", a)
		}
	})
}
