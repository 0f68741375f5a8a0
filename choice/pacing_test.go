package choice

import (
	"fmt"
	"testing"
	"time"
)

// serveSteadily hands in a message every interval for the given span and reports each call with the outcome that the
// function returns for its number. It returns the number of calls.
func serveSteadily(r *harness, span, interval time.Duration, outcome func(sent int) Outcome) (sent int) {
	next := r.now
	var events []Event
	for n, end := 0, r.now+span; r.now < end; r.now += 5 * ms {
		if r.now >= next {
			next += interval
			n++
			events = append(events, arrival(fmt.Sprint("s", r.now, n), 0))
		}
		actions := r.step(append(events, Woken{})...)
		events = nil
		for _, send := range sends(actions) {
			sent++
			events = append(events, r.result(send.ID, send.Host, outcome(sent)))
		}
	}
	return sent
}

// TestFirstRefusalLeavesNoTokenDebt guards against a destination that gets no calls for seconds after its first
// refusal: calls sent while there was no limit must not leave a debt of tokens.
func TestFirstRefusalLeavesNoTokenDebt(t *testing.T) {
	s := testSettings()
	s.ListedRates, s.Fleet = false, 1
	r := newHarness(t, s, Host{Addr: "a", Dest: 1, State: Ready})
	const refused = 200
	serveSteadily(r, 11*time.Second, 50*ms, func(sent int) Outcome {
		if sent == refused {
			return Refused
		}
		return Served
	})
	sent := serveSteadily(r, 2*time.Second, 50*ms, func(int) Outcome { return Served })
	if sent < 30 {
		t.Errorf("%d calls in the 2s after the refusal, want at least 30 of 40", sent)
	}
}

// TestFullDestinationIsNotOverloaded guards against overloading a destination at its capacity that reports neither a
// rate nor waits: the limit must fall until few calls are refused.
func TestFullDestinationIsNotOverloaded(t *testing.T) {
	s := testSettings()
	s.ListedRates, s.Fleet, s.Workers = false, 1, 20
	r := newHarness(t, s, Host{Addr: "a", Dest: 1, State: Ready})
	const capacity = 10 // calls in each second
	second, taken, refused := time.Duration(0), 0, 0
	full := func(int) Outcome {
		if now := r.now.Truncate(time.Second); now != second {
			second, taken = now, 0
		}
		if taken++; taken > capacity {
			refused++
			return Refused
		}
		return Served
	}
	serveSteadily(r, 10*time.Second, 25*ms, full)
	refused = 0
	sent := serveSteadily(r, 10*time.Second, 25*ms, full)
	t.Logf("%d of %d calls refused", refused, sent)
	if served := sent - refused; served < 7*capacity {
		t.Errorf("%d calls served in 10s, want at least 0.7 of %d", served, 10*capacity)
	}
	if float64(refused) > maxRandomShare*float64(sent) {
		t.Errorf("%d of %d calls refused, want a share of at most %v", refused, sent, maxRandomShare)
	}
}

// TestRetryAfterCutsLimit guards against taking the refusals of a destination that asks for waits (Retry-After) for
// random: they are due to its rate limit, however few they are.
func TestRetryAfterCutsLimit(t *testing.T) {
	s := testSettings()
	s.ListedRates, s.Fleet = false, 1
	r := newHarness(t, s, Host{Addr: "a", Dest: 1, State: Ready})
	serveSteadily(r, 3*time.Second, 50*ms, func(int) Outcome { return Served })
	u := r.c.destList[0].units[0]
	for _, send := range sends(r.step(arrival("told", 0))) {
		r.step(r.result(send.ID, send.Host, Refused, func(e *Result) { e.RetryAfter = 100 * ms }))
	}
	if found := u.rateBeforeCut; found == 0 || u.limit > (1-maxCut)*found+0.1 {
		t.Errorf("limit %v after a refusal with a wait at a rate of %v, want a cut by a fifth", u.limit, found)
	}
}

// TestLimitStaysFinite guards against a destination that gets no calls after hours without a cut, because its limit
// has grown to infinity and the tokens are NaN.
func TestLimitStaysFinite(t *testing.T) {
	s := testSettings()
	s.ListedRates, s.Fleet = false, 1
	r := newHarness(t, s, Host{Addr: "a", Dest: 1, State: Ready})
	u := r.c.destList[0].units[0]
	u.limit = 1
	const hours = 3
	for range hours * 3600 {
		r.c.now += time.Second
		r.c.refill(u)
	}
	r.c.refill(u) // a second time without time passing
	if !u.hasToken() {
		t.Errorf("limit %v, tokens %v: no call is allowed", u.limit, u.tokens)
	}
}

// TestLimitBeforeFirstServedCallIsLifted guards against a limit that stays although it was set before the destination
// had served anything: the first served call removes it, whatever the number of refusals.
func TestLimitBeforeFirstServedCallIsLifted(t *testing.T) {
	s := testSettings()
	s.ListedRates, s.Fleet, s.MaxAttempts = false, 1, 20
	r := newHarness(t, s, Host{Addr: "a", Dest: 1, State: Ready})
	serveSteadily(r, 4*time.Second, 500*ms, func(int) Outcome { return Refused })
	u := r.c.destList[0].units[0]
	if u.limit == 0 || u.unservedInRow < 4 {
		t.Fatalf("limit %v after %d refusals, want a limit after at least 4", u.limit, u.unservedInRow)
	}
	serveSteadily(r, 10*time.Second, 500*ms, func(int) Outcome { return Served })
	if u.limit != 0 {
		t.Errorf("limit %v after served calls, want none", u.limit)
	}
}
