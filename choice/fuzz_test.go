package choice

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

// messageState is the state of one message, as far as the rules depend on it.
type messageState struct {
	class        int
	due          time.Duration
	key          string
	seq          int
	attempts     int
	inFlightTo   string
	mayHaveRun   bool
	firstRunAt   time.Duration
	firstRunZone int
	finished     bool
	unsureAt     time.Duration
	over         bool // an answer said that it is over
}

// checkRules turns the bytes into valid events, checks each action against the rules and returns all actions. It does
// not model a server: the bytes choose the outcomes.
func checkRules(t *testing.T, data []byte) [][]Action {
	s := testSettings()
	s.Kinds[0].PerCall = 2
	c, err := New(s, 7)
	if err != nil {
		t.Fatal(err)
	}
	hosts := []Host{readyHost("a", 1, 0, 0), readyHost("b", 1, 0, 1), readyHost("c", 2, 2, 0), readyHost("d", 2, 2, 1)}
	hostByAddr := map[string]*Host{}
	for i := range hosts {
		hostByAddr[hosts[i].Addr] = &hosts[i]
	}
	now := time.Hour
	states, waitUntil, blockedUntil := map[string]*messageState{}, map[string]time.Duration{}, map[string]time.Duration{}
	var ids []string
	var all [][]Action
	step := func(events ...Event) {
		acts := c.Step(now, events)
		all = append(all, acts)
		for _, a := range acts {
			switch a := a.(type) {
			case Send:
				l, h := states[a.ID], hostByAddr[a.Host]
				unit := fmt.Sprint(h.Dest)
				if h.Dest == 2 {
					unit = a.Host
				}
				class := s.Classes[l.class]
				switch {
				case l.finished:
					t.Fatalf("sent %s after its final answer", a.ID)
				case l.over:
					t.Fatalf("sent %s although an answer said that it is over", a.ID)
				case l.inFlightTo != "":
					t.Fatalf("two attempts of %s in flight at once", a.ID)
				case l.attempts >= s.MaxAttempts:
					t.Fatalf("attempt %d of %s exceeds MaxAttempts", l.attempts+1, a.ID)
				case h.State != Ready:
					t.Fatalf("sent to host %s in state %d, want Ready", a.Host, h.State)
				case now < waitUntil[unit]:
					t.Fatalf("sent to %s within the wait it asked for", a.Host)
				case l.mayHaveRun && class.Effect == Unsafe:
					t.Fatalf("repeated unsafe %s", a.ID)
				case l.mayHaveRun && class.Effect == Keyed && (now > l.firstRunAt+class.Window || h.Zone != l.firstRunZone):
					t.Fatalf("repeated keyed %s outside its window or zone", a.ID)
				case a.Timeout <= 0 || now+a.Timeout > l.due:
					t.Fatalf("timeout %v of %s with %v left until its deadline", a.Timeout, a.ID, l.due-now)
				}
				if class.Ordered && l.key != "" {
					if now < blockedUntil[l.key] {
						t.Fatalf("sent a message of key %s while it is blocked after an unknown outcome", l.key)
					}
					for _, id := range ids {
						if o := states[id]; o.key == l.key && o.seq < l.seq && (!o.finished || o.inFlightTo != "") {
							t.Fatalf("%s overtook %s", a.ID, id)
						}
					}
				}
				l.attempts++
				l.inFlightTo = a.Host
				if !l.mayHaveRun {
					l.firstRunAt, l.firstRunZone = now, h.Zone
				}
			case Refuse:
				l := states[a.ID]
				if l.finished || l.over || l.inFlightTo != "" || l.mayHaveRun && s.Classes[l.class].Effect != Safe || now > l.due {
					t.Fatalf("refused %s after its end or its deadline, in flight, or although it may have run", a.ID)
				}
				l.finished = true
			case Fail:
				l := states[a.ID]
				if l.finished || now > l.due+s.Rules.AnswerGrace {
					t.Fatalf("failed %s after its final answer or too late", a.ID)
				}
				l.finished = true
			}
		}
		for _, id := range ids {
			if l := states[id]; !l.finished && now > l.due+s.Rules.AnswerGrace {
				t.Fatalf("%s has no final answer after its deadline", id)
			}
		}
		if out := c.inFlight; out > s.Workers {
			t.Fatalf("%d calls in flight with %d slots", out, s.Workers)
		}
	}
	finish := func(id string, o Outcome, told time.Duration, unproven bool) Event {
		l := states[id]
		h := hostByAddr[l.inFlightTo]
		e := Result{ID: id, Host: l.inFlightTo, Attempt: l.attempts - 1, Outcome: o, Took: 30 * ms, Done: o == Served || l.finished,
			Unproven: unproven, Over: unproven && o == NotSent}
		l.over = l.over || e.Over
		if unproven && (o == Refused || o == NoConnection || o == NotSent) {
			l.mayHaveRun = true
			if l.key != "" {
				l.unsureAt = now
			}
		}
		switch o {
		case Served:
			l.finished = true
		case Refused:
			e.RetryAfter = told
			unit := fmt.Sprint(h.Dest)
			if h.Dest == 2 {
				unit = l.inFlightTo
			}
			waitUntil[unit] = max(waitUntil[unit], now+told)
		case Timeout, Reset, Cancelled, Error:
			l.mayHaveRun = true
			if o != Error && l.key != "" {
				l.unsureAt = now
			}
		}
		l.inFlightTo = ""
		return e
	}
	step(HostUpdate{Full: true, Hosts: hosts})
	for i := 0; i+1 < len(data); i += 2 {
		op, arg := data[i], int(data[i+1])
		switch op % 5 {
		case 0:
			id := fmt.Sprint("m", len(ids))
			l := &messageState{class: arg % 4, due: now + time.Duration(1+arg/32)*time.Second, seq: len(ids)}
			if l.class == 3 {
				l.key = fmt.Sprint("k", arg/16%3)
			}
			states[id] = l
			ids = append(ids, id)
			step(Arrival{ID: id, Class: l.class, Dest: 1 + arg/8%2, TimeLeft: l.due - now, Key: l.key})
		case 1:
			for _, id := range ids {
				if states[id].inFlightTo != "" {
					o := Outcome(arg % int(NotSent+1))
					unproven := arg >= 128
					step(finish(id, o, time.Duration(arg/8)*50*ms, unproven))
					if l := states[id]; l.finished || unproven || o == Timeout || o == Reset || o == Cancelled {
						if l.key != "" && l.finished && l.unsureAt > 0 {
							blockedUntil[l.key] = max(blockedUntil[l.key], l.unsureAt+s.Rules.OrderSettle)
						}
					}
					break
				}
			}
		case 2:
			h := &hosts[arg%4]
			h.State = State(arg / 4 % 3)
			step(HostUpdate{Hosts: []Host{*h}})
			if h.State == Gone {
				h.State = Draining // calls in flight still name it; new ones must not go there
			}
		default:
			for range 1 + arg/8 {
				now += 5 * ms
				var due []Event
				for _, id := range ids {
					if l := states[id]; l.inFlightTo != "" && now >= l.due {
						due = append(due, finish(id, Timeout, 0, false))
					}
				}
				step(append(due, Woken{})...)
			}
		}
	}
	return all
}

func fuzzSeeds() [][]byte {
	var out [][]byte
	for k := range 12 {
		x := uint32(k*2654435761 + 12345)
		data := make([]byte, 1200)
		for i := range data {
			x = x*1664525 + 1013904223
			data[i] = byte(x >> 24)
		}
		out = append(out, data)
	}
	return out
}

// FuzzRules checks the rules on arbitrary sequences of events.
func FuzzRules(f *testing.F) {
	for _, s := range fuzzSeeds() {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(data) > 4000 {
			t.Skip("longer inputs only take more time")
		}
		checkRules(t, data)
	})
}

// TestSameEventsSameActions guards against decisions that depend on the order of map iteration or on other hidden
// state.
func TestSameEventsSameActions(t *testing.T) {
	for i, s := range fuzzSeeds() {
		if a, b := checkRules(t, s), checkRules(t, s); !reflect.DeepEqual(a, b) {
			t.Errorf("seed %d: two runs with the same events gave different actions", i)
		}
	}
}
