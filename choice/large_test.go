package choice

import (
	"testing"
	"time"
)

// Tests of faults found in deployments with large fleets and hosts of low capacity.

// closedHosts returns the hosts of the CloseIdle actions.
func closedHosts(acts []Action) (out []string) {
	for _, a := range acts {
		if c, ok := a.(CloseIdle); ok {
			out = append(out, c.Host)
		}
	}
	return out
}

// deliver hands in one message, reports it served, and returns the actions of both steps.
func (r *harness) deliver(m Arrival) []Action {
	r.t.Helper()
	acts := r.step(m)
	s := sends(acts)
	if len(s) != 1 {
		r.t.Fatalf("%d sends for %s, want 1", len(s), m.ID)
	}
	r.now += 50 * ms
	return append(acts, r.step(r.result(m.ID, s[0].Host, Served))...)
}

// TestLostIdleConnectionsAreClosed guards against losing calls on idle connections that the network has dropped:
// after three losses a connection that was idle as long is closed instead.
func TestLostIdleConnectionsAreClosed(t *testing.T) {
	s := testSettings()
	s.ConnIdle = 5 * time.Second
	r := newHarness(t, s, readyHost("a", 1, 0, 0))
	if n := closedHosts(r.deliver(arrival("first", 0))); len(n) != 0 {
		t.Errorf("closed %v although every call got a connection", n)
	}
	var acts []Action
	for i, id := range []string{"one", "two", "three", "late"} {
		r.now += 4 * time.Second
		acts = r.step(arrival(id, 2))
		if n := closedHosts(acts); i < 3 && len(n) != 0 {
			t.Errorf("closed %v after %d lost calls on idle connections, want none: that may be random", n, i)
		} else if i == 3 {
			break
		}
		r.now += time.Second
		r.step(r.result(id, "a", Reset, func(e *Result) { e.Took = time.Second }))
		r.advance(5 * time.Second) // until the next probe is due
		r.deliver(arrival("well after "+id, 0))
	}
	if n := closedHosts(acts); len(n) != 1 || len(sends(acts)) != 1 {
		t.Errorf("closed %v before a call, want the connection closed that was idle as long as the lost ones", n)
	}
}

// TestFullConnectionTableClosesIdleConnections guards against idle connections that keep other calls from getting a
// connection.
func TestFullConnectionTableClosesIdleConnections(t *testing.T) {
	s := testSettings()
	s.ConnIdle = 5 * time.Second
	other := arrival("other", 0)
	other.Dest = 2
	r := newHarness(t, s, readyHost("a", 1, 0, 0), readyHost("b", 2, 0, 0))
	r.deliver(other)
	acts := r.step(arrival("none", 0))
	acts = r.step(r.result("none", sends(acts)[0].Host, NoConnection))
	if n := closedHosts(acts); len(n) != 2 || r.c.hosts["b"].keptOpen {
		t.Errorf("closed %v after a call to this kind got no connection, want the idle ones of both hosts closed", n)
	}
}

// TestRetriesDoNotDominateAtFullQueue guards against a fleet whose retries overload a partner that returns from an
// outage.
func TestRetriesDoNotDominateAtFullQueue(t *testing.T) {
	// A hanging partner refuses with a full queue and asks for no wait. When it returns cold, at most two thirds of
	// its load may be retries of relays that were refused there. Here 100 relays accept 5 messages per second.
	s := testSettings()
	s.Fleet, s.ListedRates = 100, false
	s.Classes[0].Deadline = 20 * time.Second
	first, again := 0, 0
	relays := make([]*harness, s.Fleet)
	for i := range relays {
		c, err := New(s, uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		relays[i] = &harness{t: t, c: c, now: time.Hour, attempts: map[string]int{}}
		relays[i].step(HostUpdate{Full: true, Hosts: []Host{readyHost("a", 1, 0, 0)}})
	}
	for tick := range 4000 { // 20 s
		for i, r := range relays {
			r.now += 5 * ms
			events := []Event{Woken{}}
			if tick%40 == 0 && tick/40 == i {
				m := arrival("m", 0)
				m.TimeLeft = 20 * time.Second
				events = append(events, m)
			}
			for acts := r.step(events...); len(sends(acts)) > 0; acts = r.step(r.result("m", "a", Refused)) {
				if tick < 2000 {
					continue
				}
				if r.attempts["m"] == 1 {
					first++
				} else {
					again++
				}
			}
		}
	}
	if first != 50 || again > 2*first {
		t.Errorf("%d retries and %d first attempts, want 50 first attempts, at most 100 retries", again, first)
	}
}

// TestClosedPartnerIsNotCalledByAllAtOnce guards against a fleet that overloads a partner at the moment when all
// refused relays may call it again.
func TestClosedPartnerIsNotCalledByAllAtOnce(t *testing.T) {
	// Refusals told 60 relays when a partner opens. Cold, it accepts 5 calls/s * 0.2 * 2, which is 4 calls in
	// the 2 s of Rules.Fall.
	s := testSettings()
	s.Fleet = 200
	due := 0
	for i := range 60 {
		c, err := New(s, uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		r := &harness{t: t, c: c, now: time.Hour, attempts: map[string]int{}}
		h := readyHost("a", 1, 0, 0)
		h.Rate = 5
		r.step(HostUpdate{Full: true, Hosts: []Host{h}})
		opens := r.now + 9*time.Second
		r.now += time.Duration(i) * 100 * ms
		if len(sends(r.step(arrival("m", 0)))) != 1 {
			t.Fatal("no first attempt")
		}
		r.step(r.result("m", "a", Refused, func(e *Result) { e.RetryAfter = opens - r.now }))
		for r.now < opens+2*time.Second {
			r.now += 5 * ms
			if n := len(sends(r.step(Woken{}))); n > 0 {
				if due += n; r.now < opens {
					t.Fatal("a call was sent before the end of the wait")
				}
				break
			}
		}
	}
	if due > 9 {
		t.Errorf("%d of 60 relays call within 2s of the opening, want at most 9", due)
	}
}

// TestSingleErrorDoesNotStopSeldomCalledPartner guards against a long outage in the view of a relay that saw a single
// error.
func TestSingleErrorDoesNotStopSeldomCalledPartner(t *testing.T) {
	s := testSettings()
	s.Fleet, s.ListedRates = 100, false
	r := newHarness(t, s, readyHost("a", 1, 0, 0))
	r.advance(5 * time.Second)
	r.step(arrival("m", 0))
	r.step(r.result("m", "a", Error))
	for waited := time.Duration(0); len(sends(r.advance(5*ms))) == 0; waited += 5 * ms {
		if waited > time.Second {
			t.Fatal("no second attempt within a second of a single error")
		}
	}
	r.now += 50 * ms
	r.step(r.result("m", "a", Served))
	if u := r.c.hosts["a"].unit; u.state != healthy {
		t.Errorf("health %v after a single error and a served call, want healthy", u.state)
	}
}

// TestSeldomCalledUnitUsesAllLatencies guards against attempts without a timeout at destinations that a relay calls
// too seldom to fill their latency table.
func TestSeldomCalledUnitUsesAllLatencies(t *testing.T) {
	// A relay that seldom calls each partner fills no table of a destination, only the one of all destinations.
	s := testSettings()
	s.Fleet, s.ListedRates = 100, false
	r := newHarness(t, s)
	for i := range minSamples + 1 {
		h := readyHost(string(rune('A'+i)), i+2, 0, 0)
		r.step(HostUpdate{Hosts: []Host{h}})
		m := arrival(h.Addr, 0)
		m.Dest = h.Dest
		r.deliver(m)
	}
	r.step(HostUpdate{Hosts: []Host{readyHost("a", 1, 0, 0)}})
	r.advance(time.Second)
	if got := sends(r.step(arrival("m", 0))); len(got) != 1 || got[0].Timeout > 2*s.Classes[0].Aim {
		t.Errorf("sends %v, want one with a timeout that leaves time for a restart", got)
	}
	if got := sends(r.step(arrival("u", 2))); len(got) == 1 && got[0].Timeout < 9*time.Second {
		t.Errorf("an unsafe message was sent with a timeout of %v, want the time left", got[0].Timeout)
	}
}

// TestBackoffGrowsWithRefusedRetries guards against retries that keep a destination at its limit.
func TestBackoffGrowsWithRefusedRetries(t *testing.T) {
	// After nine refused retries the next back-off must be several times longer than at the start.
	pause := func(failed int, told bool) time.Duration {
		s := testSettings()
		s.Fleet, s.ListedRates = 100, false
		r := newHarness(t, s, readyHost("a", 1, 0, 0))
		d := r.c.destByID[1]
		u := d.units[0]
		sum := time.Duration(0)
		for range failed {
			wait := time.Duration(0)
			if told {
				wait = ms
			}
			u.unservedInRow = 0
			r.c.handleRefusal(u, d, wait)
		}
		for range 100 {
			sum += r.c.refusalBackoff(u, d, 0)
		}
		return sum / 100
	}
	if start, then := pause(0, false), pause(9, false); then < 8*start {
		t.Errorf("back-off %v after nine refused retries, %v before, want eight times as long", then, start)
	}
	if told, untold := pause(9, true), pause(9, false); told >= untold {
		t.Errorf("back-off %v if refusals carry waits, %v if not, want the first to be shorter", told, untold)
	}
}

// TestSecondFailedHostCountsAsProbe guards against further probes by each relay of a large fleet after two hosts of a
// destination failed.
func TestSecondFailedHostCountsAsProbe(t *testing.T) {
	s := testSettings()
	s.Fleet, s.ListedRates = 100, false
	r := newHarness(t, s, readyHost("a", 1, 0, 0), readyHost("b", 1, 0, 0))
	r.advance(5 * time.Second)
	first := sends(r.step(arrival("m", 0)))
	r.now += time.Second
	second := sends(r.step(r.result("m", first[0].Host, NoConnection, func(e *Result) { e.Took = time.Second })))
	if len(second) != 1 || second[0].Host == first[0].Host {
		t.Fatalf("sends %v after a failure of one host, want one to the other", second)
	}
	r.now += time.Second
	r.step(r.result("m", second[0].Host, NoConnection, func(e *Result) { e.Took = time.Second }))
	if n := len(sends(r.advance(3 * time.Second))); n > 0 {
		t.Errorf("%d calls within 3s of the failures of both hosts, want none", n)
	}
}

// TestFullConnectionTableIsNoOutage guards against suspecting a unit whose host only has no connection left.
func TestFullConnectionTableIsNoOutage(t *testing.T) {
	s := testSettings()
	s.Fleet, s.ListedRates = 100, false
	r := newHarness(t, s, readyHost("a", 1, 0, 0))
	r.c.statsByKind[0].noConnShare = 1.0 / outcomeHistory
	r.advance(5 * time.Second)
	r.step(arrival("m", 0))
	r.step(r.result("m", "a", NoConnection))
	if u := r.c.hosts["a"].unit; u.state != healthy || u.backoffUntil <= r.now {
		t.Errorf("health %v, back-off until %v at %v after a full connection table, want healthy and a back-off",
			u.state, u.backoffUntil, r.now)
	}
}

// TestProbesOfFleetStayWithinBudget guards against probes of a large fleet that overload a partner on its return.
func TestProbesOfFleetStayWithinBudget(t *testing.T) {
	// All 200 relays know that a large partner is down. On its return it accepts 50 calls/s * 0.2 and is
	// overloaded at twice that.
	s := testSettings()
	s.Fleet = 200
	rate := 0.0
	for i := range 200 {
		c, err := New(s, uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		c.now = time.Hour
		u := &unit{listedRate: 50, failedProbes: 1, state: suspect}
		rate += 1 / c.probeInterval(u).Seconds()
	}
	if rate > 50*0.2*2 {
		t.Errorf("%.1f probes per second by all relays, want at most 20", rate)
	}
}

// TestRefusalCarriesRetryAfter checks the Retry-After of a refusal: the wait of the destination, limited by
// MaxRetryAfter.
func TestRefusalCarriesRetryAfter(t *testing.T) {
	for longest, want := range map[time.Duration]time.Duration{0: 0, 2 * time.Second: 2 * time.Second, 9 * time.Second: 5 * time.Second} {
		s := testSettings()
		s.MaxRetryAfter, s.MaxAttempts = longest, 1
		r := newHarness(t, s, readyHost("a", 1, 0, 0))
		r.step(arrival("m", 0))
		acts := r.step(r.result("m", "a", Refused, func(e *Result) { e.RetryAfter = 5 * time.Second }))
		if finalAnswers(acts) != "refuse m;" {
			t.Errorf("final answers %q when the attempts are used up, want a refusal at once", finalAnswers(acts))
		}
		for _, a := range acts {
			if a, ok := a.(Refuse); ok && (a.RetryAfter < want || a.RetryAfter > longest) {
				t.Errorf("MaxRetryAfter %v: Refuse.RetryAfter %v after a wait of 5s, want %v", longest, a.RetryAfter, want)
			}
		}
	}
}

// TestUntriedHostIsPreferredToFailedOnes guards against sending again and again to preferred hosts that fail while
// another host was never tried.
func TestUntriedHostIsPreferredToFailedOnes(t *testing.T) {
	s := testSettings()
	s.Fleet, s.ListedRates = 100, false
	r := newHarness(t, s, readyHost("a", 1, 0, 0), readyHost("b", 1, 0, 0), readyHost("c", 1, 0, 0))
	for i, h := range []string{"a", "b", "c"} {
		r.c.hosts[h].preference = float64(i) / 2 // a and b are preferred by far to c
	}
	r.c.hosts["a"].failuresInRow, r.c.hosts["b"].failuresInRow = 2, 2
	if got := sends(r.step(arrival("m", 0))); len(got) != 1 || got[0].Host != "c" {
		t.Errorf("sends %v, want one to the host that never failed", got)
	}
}
