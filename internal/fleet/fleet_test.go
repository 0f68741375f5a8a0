package fleet

import (
	"testing"
	"time"
)

func small(how Policy, bytes float64) Settings {
	return Settings{
		Seed: 5, Policy: how, Bytes: bytes, Window: 5 * time.Second, Relays: 6, Partners: 6, Zones: 3, Rate: 120,
		Duration: 12 * time.Second, Outage: 0.5, Skew: 0.5, Overdraft: 1}
}

// Guards against runs that differ for the same seed, a budget that is exceeded in some window of
// the installation, and a budget that costs charges instead of messages of less worth. A cap
// regardless of zones must deliver less worth for the same bytes.
func TestBudgetInAFleet(t *testing.T) {
	run := func(s Settings) Result {
		t.Helper()
		r, err := Run(s)
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	free := run(small(NoBudget, 1))
	if again := run(small(NoBudget, 1)); again != free {
		t.Fatalf("the same seed: %+v and %+v", free, again)
	}
	const bytes = 60000
	kept, blind := run(small(Budget, bytes)), run(small(ZoneBlindCap, bytes))
	if free.WorstWindow < 1.5*bytes {
		t.Fatalf("the budget of %v would not bind: %.0f crossed in the worst window", float64(bytes), free.WorstWindow)
	}
	if kept.WorstWindow > bytes+kept.Overdrawn+6*(requestBytes+responseBytes) {
		t.Errorf("%.0f crossed in the worst window, overdrawn %.0f", kept.WorstWindow, kept.Overdrawn)
	}
	if kept.Charge < 0.97*free.Charge {
		t.Errorf("charges: %.0f of %.0f, without a budget %.0f", kept.Charge, kept.ChargeAsked, free.Charge)
	}
	if kept.Delivered >= free.Delivered || kept.Delivered <= blind.Delivered {
		t.Errorf("worth delivered %.0f, without a budget %.0f, zone-blind %.0f",
			kept.Delivered, free.Delivered, blind.Delivered)
	}
	t.Logf("worth of %.0f: free %.0f, budget %.0f, blind %.0f; worst window %.0f, %.0f, %.0f", free.Asked, free.Delivered,
		kept.Delivered, blind.Delivered, free.WorstWindow, kept.WorstWindow, blind.WorstWindow)
}

// Guards against an exceeded budget and lost charges when a whole zone stops answering and returns
// with reduced capacity, so that all its traffic has to cross zones.
func TestZoneGoesSilent(t *testing.T) {
	const bytes = 60000
	s := small(Budget, bytes)
	s.Outage, s.Silent, s.Skew = 0, true, 0
	kept, err := Run(s)
	if err != nil {
		t.Fatal(err)
	}
	s.Policy = NoBudget
	free, err := Run(s)
	if err != nil {
		t.Fatal(err)
	}
	if free.WorstWindow < 1.5*bytes || kept.WorstWindow > bytes+kept.Overdrawn+6*(requestBytes+responseBytes) {
		t.Errorf("worst window %.0f, without a budget %.0f; overdrawn %.0f",
			kept.WorstWindow, free.WorstWindow, kept.Overdrawn)
	}
	if kept.Charge < 0.95*free.Charge || kept.Delivered < 0.6*free.Delivered {
		t.Errorf("charges %.0f and worth %.0f, without a budget %.0f and %.0f", kept.Charge, kept.Delivered, free.Charge,
			free.Delivered)
	}
	t.Logf("worth %.0f of %.0f, free %.0f; charges %.0f of %.0f, free %.0f; worst window %.0f, free %.0f", kept.Delivered,
		kept.Asked, free.Delivered, kept.Charge, kept.ChargeAsked, free.Charge, kept.WorstWindow, free.WorstWindow)
}

// Guards against delays while IPv6 is dead everywhere: the health of address families must avoid
// nearly all of those that per-endpoint state alone leaves. Once IPv6 works again it must be used.
func TestFamilyDies(t *testing.T) {
	run := func(l AddressMemory) AddressResult {
		return Addresses(AddressSettings{
			Seed: 1, Memory: l, Relays: 10, Endpoints: 100, Rate: 100, Duration: 10 * time.Minute,
			DeadShare: 1, IdleTimeout: 5 * time.Second})
	}
	all, books, none := run(SelectorsAndFamilies), run(SelectorsOnly), run(NoMemory)
	if all.Delayed*5 > books.Delayed || books.Delayed*2 > none.Delayed || all.Mean*5 > books.Mean {
		t.Errorf("%+v\n%+v\n%+v", all, books, none)
	}
	if all.Returned < 0.8 || books.Returned < 0.8 {
		t.Errorf("IPv6 again: %.2f and %.2f", all.Returned, books.Returned)
	}
}

// Guards against relays that ignore a change of the fleet's size: a fleet that doubles without
// adjusting must run into the partners' rate limits more often than one that adjusts.
func TestSizeFollowed(t *testing.T) {
	lines, err := Sizes(Settings{Seed: 1, Partners: 5, Zones: 2, Rate: 1000,
		Duration: 24 * time.Second, DetectionDelay: 5 * time.Second},
		[]SizeTest{{Name: "followed", From: 10, To: 20, Follow: true, EstimateRatio: 1, LimitRatio: 1.3, Listed: true},
			{Name: "fixed", From: 10, To: 20, EstimateRatio: 1, LimitRatio: 1.3, Listed: true}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	if followed, fixed := lines[0], lines[1]; followed.RefusedCalls.Value*1.5 >
		fixed.RefusedCalls.Value || followed.Worth.Value < 0.5 {
		t.Errorf("%+v\n%+v", followed, fixed)
	}
}
