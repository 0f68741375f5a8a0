package addr

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

func parse(t interface{ Fatal(...any) }, list ...string) (out []Address) {
	for _, s := range list {
		a, err := Parse(s)
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, a)
	}
	return out
}

func TestParse(t *testing.T) {
	for s, want := range map[string]string{"[::1]:80": "[::1]:80 ipv6", "[::ffff:127.0.0.1]:80": "127.0.0.1:80 ipv4",
		"unix:/run/x": "unix:/run/x unix", "bank.example:80": "bank.example:80 name",
		"unix:x": "", "1.2.3.4": "", "a b:1": ""} {
		a, err := Parse(s)
		if got := fmt.Sprintf("%v %v", a, a.Family); (err != nil) != (want == "") || err == nil && got != want {
			t.Errorf("%s: %s, %v", s, got, err)
		}
	}
}

// Guards against a dead first address that delays every connection, and against one that is never
// used again after it has recovered: it is tried beside the other address after its back-off.
func TestDeadFirst(t *testing.T) {
	a := parse(t, "127.0.0.1:1", "[::1]:1", "127.0.0.1:1")
	b := NewSelector("e", &FamilyHealth{}, a)
	p := b.Plan(0, time.Second)
	if len(p) != 2 || p[0].Family != IPv6 || p[1].After != defaultDelay {
		t.Fatalf("at first: %+v", p)
	}
	v6, v4 := p[0].Address, p[1].Address
	b.Failed(0, v6)
	b.Connected(v4, 2*ms)
	if p = b.Plan(500*ms, time.Second); p[0].Address != v4 || p[1].After != minDelay {
		t.Errorf("after a failure: %+v", p)
	}
	if p = b.Plan(2*time.Second, time.Second); p[0].Address != v4 || p[1].Address != v6 || p[1].After != 0 {
		t.Errorf("due for a trial: %+v", p)
	}
	if p = b.Plan(2*time.Second, time.Second); p[1].After == 0 {
		t.Error("a second trial was started")
	}
	b.Connected(v6, ms)
	if p = b.Plan(3*time.Second, time.Second); p[0].Address != v6 {
		t.Errorf("after a trial that connected: %+v", p)
	}
	b.Hung(4*time.Second, v6)
	if p = b.Plan(4*time.Second, time.Second); p[0].Address != v4 {
		t.Errorf("after an unanswered call: %+v", p)
	}
	if p = b.Plan(6*time.Second, time.Second); p[0].Address != v4 {
		t.Errorf("2 s after an unanswered call: %+v", p)
	}
	if p = b.Plan(13*time.Second, time.Second); p[0].Address != v6 {
		t.Errorf("not tried again by one call: %+v", p)
	}
	if p = b.Plan(13*time.Second, time.Second); p[0].Address != v4 {
		t.Errorf("tried again by a second call: %+v", p)
	}
	b.Answered(v6)
	if p = b.Plan(13*time.Second, time.Second); p[0].Address != v6 {
		t.Errorf("after an answered call: %+v", p)
	}
}

// Guards against a dead family that is detected at every endpoint separately instead of at three.
func TestDeadFamily(t *testing.T) {
	f := &FamilyHealth{}
	for i := range 30 {
		b := NewSelector(fmt.Sprint(i), f, parse(t, "[::1]:1", "127.0.0.1:1"))
		p := b.Plan(0, time.Second)
		if i >= 25 && p[0].Family != IPv4 {
			t.Fatalf("endpoint %d: %+v", i, p)
		}
		for _, s := range p {
			if s.Family == IPv6 {
				b.Failed(0, s.Address)
			}
		}
	}
	// A single trial at any endpoint tests the family for all.
	trials := 0
	for i := range 30 {
		b := NewSelector(fmt.Sprint(i), f, parse(t, "[::1]:1", "127.0.0.1:1"))
		if p := b.Plan(time.Minute, time.Second); p[1].Trial {
			trials++
		}
	}
	if trials != 1 {
		t.Errorf("%d trials, want 1", trials)
	}
	one := NewSelector("x", f, parse(t, "[::1]:1"))
	one.Connected(parse(t, "[::1]:1")[0], ms)
	if f.Broken(IPv6) {
		t.Error("the family is broken after a successful connection")
	}
}

// Guards against a delay for new addresses that ignores the connect times of their family: it
// follows them, but not below its lower bound.
func TestDelayOfNewAddresses(t *testing.T) {
	f := &FamilyHealth{}
	other := NewSelector("other", f, parse(t, "[::9]:1"))
	plan := func() time.Duration {
		return NewSelector("e", f, parse(t, "[::1]:1", "127.0.0.1:1")).Plan(0, 10*time.Second)[1].After
	}
	if d := plan(); d != defaultDelay {
		t.Errorf("delay without connect times: %v", d)
	}
	for range 40 {
		other.Connected(parse(t, "[::9]:1")[0], 2*ms)
	}
	if d := plan(); d != minUnknownDelay {
		t.Errorf("delay with a fast family: %v", d)
	}
	for range 40 {
		other.Connected(parse(t, "[::9]:1")[0], 400*ms)
	}
	if d := plan(); d < 400*ms {
		t.Errorf("delay with a slow family: %v", d)
	}
}

// Guards against invalid plans, by random sequences of results: a plan contains each address at
// most once, starts one at once, has non-decreasing start times except for a trial, and starts none
// after half of the time.
func TestPlanInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := parse(t, "127.0.0.1:1", "127.0.0.2:1", "[::1]:1", "[::2]:1", "unix:/a", "name:1")
		b := NewSelector("e", &FamilyHealth{}, all)
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * ms
			a := rapid.SampledFrom(all).Draw(t, "address")
			took := time.Duration(rapid.IntRange(0, 4000).Draw(t, "took")) * ms
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				b.Connected(a, took)
			case 1:
				b.Failed(now, a)
			case 2:
				b.Hung(now, a)
			case 3:
				b.Cancelled(now, a, took)
			case 4:
				b.Answered(a)
			case 5:
				b.Set(all[rapid.IntRange(0, 4).Draw(t, "from"):])
			}
			within := time.Duration(rapid.IntRange(1, 5000).Draw(t, "within")) * ms
			p := b.Plan(now, within)
			if len(p) == 0 || p[0].After != 0 {
				t.Fatalf("no attempt starts at once: %+v", p)
			}
			seen, last, trials := map[Address]bool{}, time.Duration(0), 0
			for i, s := range p {
				if seen[s.Address] || s.After > within/2 {
					t.Fatalf("duplicate or late attempt: %+v within %v", p, within)
				}
				seen[s.Address] = true
				if i > 0 && s.After == 0 {
					trials++
				} else if s.After < last {
					t.Fatalf("start times decrease: %+v", p)
				} else {
					last = s.After
				}
			}
			if trials > 1 {
				t.Fatalf("%d trials in one plan: %+v", trials, p)
			}
		}
	})
}
