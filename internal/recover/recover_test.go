package recover

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"basaltcross.example/basaltcross/internal/journal"
	"basaltcross.example/basaltcross/internal/ledger"
)

const s = time.Second

var partners = map[string]bool{"": true}

var classes = map[string]Class{"charge": {Deadline: 6 * s, RecordAttempts: true}, "status": {Deadline: 6 * s}}

// recordsOf returns the records of a message that was taken 2 s and sent 1 s before the crash, and the
// clocks after it: outage is the time until the restart, jump the change of the wall clock.
func recordsOf(sameBoot bool, outage, jump time.Duration) *journal.Contents {
	run := journal.Run{Number: 1, Boot: "x", Clock: int64(100 * s), Wall: int64(1_000_000 * s)}
	now := journal.Run{Number: 2, Boot: "x", Clock: int64(110*s + outage), Wall: int64(1_000_010*s + outage + jump)}
	if !sameBoot {
		now.Boot, now.Clock = "y", int64(5*s)
	}
	at := func(before time.Duration) journal.Stamp { return journal.Stamp{Run: 1, Clock: int64(110*s - before)} }
	return &journal.Contents{Runs: map[uint32]journal.Run{1: run, 2: now}, ThisRun: now,
		Messages: []journal.Message{{Seq: 1, Identity: "i", Class: "charge", At: at(2 * s), Remaining: int64(5 * s)}},
		Attempts: map[uint64][]journal.Attempt{1: {{Seq: 1, N: 0, At: at(2 * s), NeverRan: true},
			{Seq: 1, N: 1, Zone: "z", At: at(s)}}},
		Ends:  []journal.End{{Seq: 9, Identity: "e", Class: "charge", At: at(s), Handed: true}},
		Waits: []journal.Wait{{Host: "h", At: at(s), Remaining: int64(4 * s)}}}
}

// Guards against times that follow a wall clock which was set. Within one boot of the machine
// its jumps change nothing. Across boots an unknown age means that a message's time and the
// deduplication window are over, and that a wait is still in force.
func TestClocks(t *testing.T) {
	for _, c := range []struct {
		name       string
		same       bool
		away, jump time.Duration
		left       time.Duration
		since      time.Duration
		wait       time.Duration
	}{
		{"short outage", true, s / 2, 0, 2500 * time.Millisecond, 1500 * time.Millisecond, 2500 * time.Millisecond},
		{"wall clock an hour back", true, s / 2, -time.Hour, 2500 * time.Millisecond, 1500 * time.Millisecond,
			2500 * time.Millisecond},
		{"wall clock an hour ahead", true, s / 2, time.Hour, 2500 * time.Millisecond, 1500 * time.Millisecond,
			2500 * time.Millisecond},
		{"new boot", false, s, 0, 2 * s, 2 * s, 2 * s},
		{"new boot, wall clock back", false, s, -time.Hour, 0, UnknownAge, 4 * s},
		{"new boot, wall clock ahead", false, s, time.Hour, 0, time.Hour + 2*s, 0},
		{"restart after a day", true, 24 * time.Hour, 0, 0, 24*time.Hour + s, 0},
	} {
		p := NewPlan(recordsOf(c.same, c.away, c.jump), classes, partners, time.Hour, 10*s)
		m := p.Messages[0]
		if m.Left != c.left || !m.MayHaveRun || m.SentAgo != c.since || m.Zone != "z" || m.Attempts != 2 {
			t.Errorf("%s: left %v, may have run %v since %v in zone %q, %d attempts", c.name, m.Left, m.MayHaveRun,
				m.SentAgo,
				m.Zone, m.Attempts)
		}
		wait := time.Duration(0)
		if len(p.Waits) > 0 {
			wait = p.Waits[0].Left
		}
		if wait != c.wait {
			t.Errorf("%s: %v left of the wait", c.name, wait)
		}
		if len(p.Ends)+len(p.ExpiredIdentities) != 1 {
			t.Errorf("%s: ends %v, dropped %v, want one in all", c.name, p.Ends, p.ExpiredIdentities)
		}
	}
}

// Guards against a message that stays without an answer because its partner is not configured any
// more: it is refused, or fails if it may have run.
func TestConfigurationChanged(t *testing.T) {
	for ran, want := range map[bool]ledger.Verdict{true: ledger.Failed, false: ledger.Refused} {
		k := recordsOf(true, s/2, 0)
		k.Messages[0].Partner = "gone"
		k.Attempts[1][1].NeverRan = !ran
		if m := NewPlan(k, classes, partners, time.Hour, 10*s).Messages[0]; m.Verdict != want {
			t.Errorf("may have run %v: verdict %v", ran, m.Verdict)
		}
	}
}

// Checks, for arbitrary records and clocks: exactly the messages with an attempt that is not
// clear may have run; no message gets more time than it had; messages keep the order of their
// hand-in; ended messages are not restored; answers that the client has not received are kept.
func TestPlans(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := &journal.Contents{Runs: map[uint32]journal.Run{}, Attempts: map[uint64][]journal.Attempt{}}
		for n := range uint32(rapid.IntRange(1, 4).Draw(t, "runs")) {
			r := journal.Run{Number: n + 1, Boot: rapid.SampledFrom([]string{"a", "b", ""}).Draw(t, "boot"),
				Clock: int64(rapid.IntRange(0, 1000).Draw(t, "clock")) * int64(s), Wall: int64(rapid.IntRange(0,
					1000).Draw(t, "wall")) * int64(s)}
			k.Runs[r.Number], k.ThisRun = r, r
		}
		stamp := func() journal.Stamp {
			return journal.Stamp{Run: uint32(rapid.IntRange(0, 5).Draw(t, "run")),
				Clock: int64(rapid.IntRange(0, 1000).Draw(t, "at")) * int64(s)}
		}
		ran, ended := map[uint64]bool{}, map[uint64]bool{}
		owed := map[string]bool{}
		for seq := range uint64(rapid.IntRange(1, 8).Draw(t, "messages")) {
			m := journal.Message{Seq: seq, Class: rapid.SampledFrom([]string{"charge", "status"}).Draw(t, "class"),
				At:        stamp(),
				Remaining: int64(rapid.IntRange(0, 10).Draw(t, "left")) * int64(s)}
			for n := range rapid.IntRange(0, 3).Draw(t, "tries") {
				a := journal.Attempt{Seq: seq, N: n, At: stamp(), NeverRan: rapid.Bool().Draw(t, "clear")}
				ran[seq] = ran[seq] || !a.NeverRan
				k.Attempts[seq] = append(k.Attempts[seq], a)
			}
			if rapid.IntRange(0, 3).Draw(t, "ends") == 0 {
				e := journal.End{Seq: seq, Identity: string(rune('a' + seq)), Class: m.Class, At: stamp(),
					Handed: rapid.Bool().Draw(t, "handed")}
				k.Ends, ended[seq] = append(k.Ends, e), true
				owed[e.Identity] = !e.Handed
			}
			k.Messages = append([]journal.Message{m}, k.Messages...)
		}
		p := NewPlan(k, classes, partners, time.Minute, 10*s)
		last := int64(-1)
		for _, m := range p.Messages {
			if int64(m.Seq) <= last || ended[m.Seq] || m.MayHaveRun != ran[m.Seq] ||
				m.Attempts != len(k.Attempts[m.Seq]) {
				t.Fatalf("%+v", m)
			}
			if last = int64(m.Seq); m.Left < 0 || m.Left > min(time.Duration(m.Message.Remaining), 6*s) ||
				m.SentAgo < 0 {
				t.Fatalf("time left %v, since %v: %+v", m.Left, m.SentAgo, m)
			}
		}
		for _, id := range p.ExpiredIdentities {
			if owed[id] {
				t.Fatalf("the answer of %s is dropped, but the client has not received it", id)
			}
		}
		if len(p.Messages)+len(ended) != len(k.Messages) || len(p.Ends)+len(p.ExpiredIdentities) != len(k.Ends) {
			t.Fatal("a message or an ended identity is missing from the plan")
		}
	})
}
