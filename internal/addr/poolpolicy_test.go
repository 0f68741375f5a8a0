package addr

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a missing spare connection while calls arrive, and against needless ones: after a
// failed call, long after the last call, or while spares close unused.
func TestSpares(t *testing.T) {
	k := NewPoolPolicy(PoolSettings{MaxIdle: 8, MaxSpare: 2, MaxConnecting: 4}, 1)
	k.CallStarted(0, 3)
	if n := k.Spares(0, 0, 0, 0); n != 0 {
		t.Errorf("%d spares before any answer", n)
	}
	k.CallEnded(0, true)
	if n := k.Spares(0, 0, 0, 0); n != 2 {
		t.Errorf("%d spares after a peak of three calls, want 2", n)
	}
	if n := k.Spares(0, 2, 1, 0); n != 0 {
		t.Errorf("%d spares with three open connections", n)
	}
	k.CallEnded(0, false)
	if n := k.Spares(0, 0, 0, 0); n != 0 {
		t.Errorf("%d spares after a failed call", n)
	}
	k.CallEnded(0, true)
	for range 4 {
		k.ConnectionClosed(false)
	}
	if n := k.Spares(time.Second, 0, 0, 0); n != 0 {
		t.Errorf("%d spares after four that closed unused", n)
	}
	k.ConnectionClosed(true)
	if n := k.Spares(time.Second, 0, 0, 0); n == 0 {
		t.Error("no spares after one was used")
	}
	k.IdleClosed(time.Second)
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
		set := PoolSettings{IdleTimeout: time.Second, MaxAge: time.Minute,
			MaxIdle:  rapid.IntRange(0, 5).Draw(t, "most"),
			MaxSpare: rapid.IntRange(0, 5).Draw(t, "spare"), MaxConnecting: rapid.IntRange(1, 5).Draw(t, "connecting")}
		k := NewPoolPolicy(set, 1)
		now, out, idle, connecting := time.Duration(0), 0, 0, 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * ms
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				if idle > 0 {
					idle, out = idle-1, out+1
				} else if k.MayDial(connecting) {
					connecting++
				}
				k.CallStarted(now, out+connecting)
			case 1:
				if out > 0 {
					out--
					if k.CallEnded(now, rapid.Bool().Draw(t, "well")); k.MayKeepIdle(idle) {
						idle++
					}
				}
			case 2:
				if connecting > 0 {
					connecting, out = connecting-1, out+1
				}
			case 3:
				n := k.Spares(now, out, idle, connecting)
				if n < 0 || n > 0 && idle+connecting+n > set.MaxSpare {
					t.Fatalf("%d spares beside %d idle and %d connecting", n, idle, connecting)
				}
				connecting += n
			}
			if connecting > set.MaxConnecting || idle > set.MaxIdle {
				t.Fatalf("%d connecting, %d idle of %+v", connecting, idle, set)
			}
		}
		if a := k.DrawMaxAge(); a < 54*time.Second || a > 66*time.Second || a == k.DrawMaxAge() {
			t.Fatalf("age limit %v", a)
		}
	})
}
