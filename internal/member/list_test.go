package member

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const s = time.Second

var set = Settings{RemoveAfter: 10 * s, ConfirmAfter: 60 * s, SilenceLimit: time.Hour}

func entries(n int, but ...int) (out []Entry) {
next:
	for i := range n {
		for _, b := range but {
			if i == b {
				continue next
			}
		}
		out = append(out, Entry{ID: fmt.Sprint("id", i), Addr: fmt.Sprintf("10.0.0.%d:80", i),
			Partner: fmt.Sprint("p", i/4), Zone: "z"})
	}
	return out
}

// bench drives a List and applies the changes that Step returns.
type bench struct {
	*List
	list map[string]EndpointState
	next time.Duration
}

func newBench(sources ...SourceSettings) *bench { return &bench{List: NewList(set, sources)} }

func (b *bench) step(now time.Duration) *bench {
	told, gone, next := b.Step(now)
	if b.next = next; b.list == nil {
		b.list = map[string]EndpointState{}
	}
	for _, e := range told {
		b.list[e.Addr] = e
	}
	for _, addr := range gone {
		delete(b.list, addr)
	}
	return b
}

// count returns the number of endpoints that are ready and that are draining.
func (b *bench) count() (ready, draining int) {
	for _, e := range b.list {
		if e.Draining {
			draining++
		} else {
			ready++
		}
	}
	return
}

func (b *bench) want(t *testing.T, when string, ready, draining int) {
	t.Helper()
	if r, d := b.count(); r != ready || d != draining {
		t.Errorf("%s: %d ready and %d draining, want %d and %d", when, r, d, ready, draining)
	}
}

// Guards against endpoints that stay on the list after they disappeared, and against an
// implausible report that empties it. A single endpoint that disappears drains at once and
// is removed after a while. If half of the list, all of it or all of a partner disappears,
// or the server is behind, the endpoints stay until the absence has lasted long enough.
func TestDisappearance(t *testing.T) {
	for _, c := range []struct {
		name        string
		left        []Entry
		fresh       bool
		ready, soon int // ready and draining endpoints just after the second report
	}{
		{"one disappears", entries(12, 5), true, 11, 1},
		{"half disappear", entries(6), true, 12, 0},
		{"all disappear", nil, true, 12, 0},
		{"all of a partner disappear", entries(8), true, 12, 0},
		{"server is behind", entries(12, 5), false, 12, 0},
	} {
		b := newBench(SourceSettings{Name: "c"})
		b.Report(0, 0, Report{entries(12), true})
		b.step(0).want(t, c.name+", before", 12, 0)
		b.Report(s, 0, Report{c.left, c.fresh})
		b.step(s).want(t, c.name+", just after", c.ready, c.soon)
		b.step(12 * s)
		if c.soon > 0 {
			b.want(t, c.name+", after the time to removal", 11, 0)
			continue
		}
		b.want(t, c.name+", after the time to removal", 12, 0)
		if b.next < 0 {
			t.Fatalf("%s: no next step was requested", c.name)
		}
		b.step(62*s).want(t, c.name+", after the time to confirm", len(c.left), 12-len(c.left))
		b.step(80*s).want(t, c.name+", in the end", len(c.left), 0)
	}
}

// Guards against drains and moves that are held back as implausible, and against changes
// without effect that are returned as such. A drain takes effect in the same step even if
// much of the list disappeared with it. What a list file no longer has is removed at once.
// If an ID moves to another address, the old address drains at once. A new ID at the same
// address changes nothing.
func TestDrainsAndMovesTakeEffectAtOnce(t *testing.T) {
	b := newBench(SourceSettings{Name: "c"}, SourceSettings{Name: "file", Authoritative: true})
	b.Report(0, 0, Report{entries(8), true})
	b.step(0)
	half := entries(4)
	half[0].Draining = true
	b.Report(s, 0, Report{half, true})
	b.step(s).want(t, "half disappear and one drains", 7, 1)
	b = newBench(SourceSettings{Name: "file", Authoritative: true})
	b.Report(0, 0, Report{entries(8), true})
	b.step(0)
	b.Report(s, 0, Report{nil, true})
	b.step(s).want(t, "removed from a list file", 0, 0)
	b = newBench(SourceSettings{Name: "c"})
	b.Report(0, 0, Report{entries(2), true})
	b.step(0)
	moved := entries(2)
	moved[0].Addr, moved[1].Addr = "10.1.0.0:80", "10.1.0.1:80"
	b.Report(s, 0, Report{moved, true})
	b.step(s).want(t, "IDs moved to other addresses", 2, 2)
	renamed := entries(2)
	renamed[0].ID = "another"
	b = newBench(SourceSettings{Name: "c"})
	b.Report(0, 0, Report{entries(2), true})
	b.step(0)
	b.Report(s, 0, Report{renamed, true})
	if told, gone, _ := b.Step(s); len(told)+len(gone) > 0 {
		t.Error("another ID at the same address was returned as a change")
	}
}

// Guards against a flapping endpoint that keeps returning to service. One that flaps ten
// times in a second must drain at once each time, return later and later, and be ready in
// the end when it no longer flaps.
func TestFlapping(t *testing.T) {
	b := newBench(SourceSettings{Name: "c"})
	now, ready := time.Duration(0), 0
	for i := range 20 {
		e := entries(1)
		e[0].Draining = i%2 == 1
		b.Report(now, 0, Report{e, true})
		b.step(now)
		if _, d := b.count(); e[0].Draining && d != 1 {
			t.Fatalf("%v: a drain did not take effect at once", now)
		}
		if r, _ := b.count(); r == 1 {
			ready++
		}
		now += 50 * time.Millisecond
	}
	if ready > 3 {
		t.Errorf("ready %d times in a second, want 3 at most", ready)
	}
	b.Report(now, 0, Report{entries(1), true})
	for b.step(now); b.next >= 0 && now < 5*time.Minute; b.step(now) {
		now = b.next
	}
	b.want(t, "in the end", 1, 0)
}

// Guards against wrong use of health checks. A critical endpoint drains and is not
// removed. If more than half of a partner's endpoints are critical, health is ignored. If a
// source's health is not used, no result depends on it.
func TestHealth(t *testing.T) {
	sick := func(n int) (out []Entry) {
		out = entries(4)
		for i := range n {
			out[i].Health = Critical
		}
		return out
	}
	b := newBench(SourceSettings{Name: "c", UseHealth: true})
	b.Report(0, 0, Report{sick(1), true})
	b.step(0).want(t, "one of four critical", 3, 1)
	b.step(time.Hour).want(t, "one of four critical for an hour", 3, 1)
	b.Report(time.Hour, 0, Report{sick(3), true})
	b.step(time.Hour).want(t, "three of four critical", 4, 0)
	rapid.Check(t, func(t *rapid.T) {
		x, y := newBench(SourceSettings{Name: "c"}), newBench(SourceSettings{Name: "c"})
		now := time.Duration(0)
		for range rapid.IntRange(1, 10).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 90).Draw(t, "s")) * s
			list := entries(rapid.IntRange(0, 12).Draw(t, "n"))
			other := append([]Entry(nil), list...)
			for i := range other {
				other[i].Health = Health(rapid.IntRange(0, 3).Draw(t, "health"))
			}
			x.Report(now, 0, Report{list, true})
			y.Report(now, 0, Report{other, true})
			x.step(now)
			y.step(now)
			for addr, e := range x.list {
				if y.list[addr].Draining != e.Draining || len(x.list) != len(y.list) {
					t.Fatalf("health made a difference at %s", addr)
				}
			}
		}
	})
}

// Guards against a wrong merge of two sources with random reports. An endpoint that one of
// them drains must not be ready. One that both report must be on the list. If one waits to
// become ready again, a next step must be requested.
func TestMergeOfRandomReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBench(SourceSettings{Name: "a"}, SourceSettings{Name: "b"})
		now := time.Duration(0)
		last := [2]map[string]Entry{{}, {}}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 40).Draw(t, "s")) * s / 4
			from := rapid.IntRange(0, 1).Draw(t, "from")
			var list []Entry
			last[from] = map[string]Entry{}
			for _, e := range entries(6) {
				if rapid.IntRange(0, 3).Draw(t, "has") > 0 {
					e.Draining = rapid.IntRange(0, 4).Draw(t, "drains") == 0
					list = append(list, e)
					last[from][e.Addr] = e
				}
			}
			b.Report(now, from, Report{list, rapid.Bool().Draw(t, "fresh")})
			b.step(now)
			for addr, e := range b.list {
				if !e.Draining && (last[0][addr].Draining || last[1][addr].Draining) {
					t.Fatalf("%s is ready although a source drains it", addr)
				}
			}
			for addr := range last[0] {
				if _, both := last[1][addr]; both && b.list[addr].Addr == "" {
					t.Fatalf("%s is not on the list although both sources have it", addr)
				}
			}
			for addr, k := range b.known {
				if k.listed && k.draining && k.readySince >= 0 && b.next < 0 {
					t.Fatalf("%s waits to become ready, but no next step was requested", addr)
				}
			}
		}
	})
}
