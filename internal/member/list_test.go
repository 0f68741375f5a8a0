package member

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const s = time.Second

var set = Settings{Gone: 10 * s, Believe: 60 * s, Trust: time.Hour}

func entries(n int, but ...int) (out []Entry) {
next:
	for i := range n {
		for _, b := range but {
			if i == b {
				continue next
			}
		}
		out = append(out, Entry{ID: fmt.Sprint("id", i), Addr: fmt.Sprintf("10.0.0.%d:80", i), Partner: fmt.Sprint("p", i/4), Zone: "z"})
	}
	return out
}

// bench feeds a List and keeps what it told last.
type bench struct {
	*List
	list map[string]Told
	next time.Duration
}

func newBench(sources ...SourceSettings) *bench { return &bench{List: NewList(set, sources)} }

func (b *bench) step(now time.Duration) *bench {
	told, gone, next := b.Step(now)
	if b.next = next; b.list == nil {
		b.list = map[string]Told{}
	}
	for _, e := range told {
		b.list[e.Addr] = e
	}
	for _, addr := range gone {
		delete(b.list, addr)
	}
	return b
}

// count tells how many endpoints are ready and how many drain.
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

// One endpoint that vanishes takes no new work at once and is gone after a
// while; half a list, all of a list, all of a partner, and whatever a server that
// is behind lacks, stay until told for long enough.
func TestVanishing(t *testing.T) {
	for _, c := range []struct {
		name        string
		left        []Entry
		fresh       bool
		ready, soon int // right away, and draining then
	}{
		{"one", entries(12, 5), true, 11, 1},
		{"half", entries(6), true, 12, 0},
		{"all", nil, true, 12, 0},
		{"one partner's", entries(8), true, 12, 0},
		{"behind", entries(12, 5), false, 12, 0},
	} {
		b := newBench(SourceSettings{Name: "c"})
		b.Report(0, 0, Report{entries(12), true})
		b.step(0).want(t, c.name+" at first", 12, 0)
		b.Report(s, 0, Report{c.left, c.fresh})
		b.step(s).want(t, c.name+" vanished", c.ready, c.soon)
		b.step(12 * s)
		if c.soon > 0 {
			b.want(t, c.name+" a while after", 11, 0)
			continue
		}
		b.want(t, c.name+" a while after", 12, 0)
		if b.next < 0 {
			t.Fatalf("%s: no wake-up asked for", c.name)
		}
		b.step(62*s).want(t, c.name+" told for long", len(c.left), 12-len(c.left))
		b.step(80*s).want(t, c.name+" in the end", len(c.left), 0)
	}
}

// A drain is told in the same step, in doubt too; a file's word that something is
// gone is believed; an id that moves takes its old address out without doubt; an
// address under another id is the same endpoint.
func TestTold(t *testing.T) {
	b := newBench(SourceSettings{Name: "c"}, SourceSettings{Name: "file", Sure: true})
	b.Report(0, 0, Report{entries(8), true})
	b.step(0)
	half := entries(4)
	half[0].Draining = true
	b.Report(s, 0, Report{half, true})
	b.step(s).want(t, "half gone, one drained", 7, 1)
	b = newBench(SourceSettings{Name: "file", Sure: true})
	b.Report(0, 0, Report{entries(8), true})
	b.step(0)
	b.Report(s, 0, Report{nil, true})
	b.step(s).want(t, "a file is sure", 0, 0)
	b = newBench(SourceSettings{Name: "c"})
	b.Report(0, 0, Report{entries(2), true})
	b.step(0)
	moved := entries(2)
	moved[0].Addr, moved[1].Addr = "10.1.0.0:80", "10.1.0.1:80"
	b.Report(s, 0, Report{moved, true})
	b.step(s).want(t, "moved", 2, 2)
	renamed := entries(2)
	renamed[0].ID = "another"
	b = newBench(SourceSettings{Name: "c"})
	b.Report(0, 0, Report{entries(2), true})
	b.step(0)
	b.Report(s, 0, Report{renamed, true})
	if told, gone, _ := b.Step(s); len(told)+len(gone) > 0 {
		t.Error("another id at the same address was news")
	}
}

// An endpoint that flaps ten times in a second drains at once each time, and
// comes back ever later; left alone it is ready again in the end.
func TestFlapping(t *testing.T) {
	b := newBench(SourceSettings{Name: "c"})
	now, ready := time.Duration(0), 0
	for i := range 20 {
		e := entries(1)
		e[0].Draining = i%2 == 1
		b.Report(now, 0, Report{e, true})
		b.step(now)
		if _, d := b.count(); e[0].Draining && d != 1 {
			t.Fatalf("%v: a drain was not told", now)
		}
		if r, _ := b.count(); r == 1 {
			ready++
		}
		now += 50 * time.Millisecond
	}
	if ready > 3 {
		t.Errorf("ready %d times in a second", ready)
	}
	b.Report(now, 0, Report{entries(1), true})
	for b.step(now); b.next >= 0 && now < 5*time.Minute; b.step(now) {
		now = b.next
	}
	b.want(t, "in the end", 1, 0)
}

// Health: critical takes no new work and is not gone; where more than half of a
// partner is critical it is not heard; where it is barred nothing depends on it.
func TestHealth(t *testing.T) {
	sick := func(n int) (out []Entry) {
		out = entries(4)
		for i := range n {
			out[i].Health = Critical
		}
		return out
	}
	b := newBench(SourceSettings{Name: "c", Health: true})
	b.Report(0, 0, Report{sick(1), true})
	b.step(0).want(t, "one critical", 3, 1)
	b.step(time.Hour).want(t, "an hour later", 3, 1)
	b.Report(time.Hour, 0, Report{sick(3), true})
	b.step(time.Hour).want(t, "three of four", 4, 0)
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

// Whatever sources say: what one of them drains is never ready; what all of them
// have, none draining, is on the list; the next step asked for comes in time.
func TestListAnything(t *testing.T) {
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
					t.Fatalf("%s is ready though it drains", addr)
				}
			}
			for addr := range last[0] {
				if _, both := last[1][addr]; both && b.list[addr].Addr == "" {
					t.Fatalf("%s is missing", addr)
				}
			}
			for addr, k := range b.known {
				if k.told && k.drain && k.since >= 0 && b.next < 0 {
					t.Fatalf("%s waits to be ready and nothing wakes it", addr)
				}
			}
		}
	})
}
