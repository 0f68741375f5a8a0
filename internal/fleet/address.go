package fleet

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"text/tabwriter"
	"time"

	"basaltcross.example/basaltcross/internal/addr"
)

// AddressMemory selects what is remembered about addresses from one connection to the next.
type AddressMemory string

// The policies compared: SelectorsAndFamilies uses the program's address selectors and the health
// of address families; SelectorsOnly leaves out the latter, so that a dead family is detected at
// each endpoint anew; NoMemory keeps no state, as a dialler that starts afresh for each connection and waits
// for the connection attempt delay of RFC 8305.
const (
	SelectorsAndFamilies AddressMemory = "books and families"
	SelectorsOnly        AddressMemory = "books alone"
	NoMemory             AddressMemory = "no memory"
)

// AddressSettings configures a simulation of connections alone: relays call endpoints that have
// an IPv6 and an IPv4 address each.
type AddressSettings struct {
	Seed        uint64
	Memory      AddressMemory
	Relays      int
	Endpoints   int
	Rate        float64       // calls per second of all relays together
	Duration    time.Duration // duration of the run; IPv6 is dead in its middle third
	DeadShare   float64       // fraction of the endpoints whose IPv6 is dead then
	IdleTimeout time.Duration // idle time after which a connection is closed
}

// AddressResult is the result of a run of Addresses.
type AddressResult struct {
	Memory        AddressMemory
	Calls         int
	Dials         int           // calls that needed a new connection
	Affected      int           // new connections to an endpoint whose IPv6 was dead at the time
	ExtraAttempts int           // connection attempts beyond one for each new connection
	Delayed       int           // affected calls delayed by 10 ms or more compared with trying a live address first
	Mean          time.Duration // mean delay added to an affected call
	P99           time.Duration // 99th percentile of that delay
	Returned      float64       // fraction of new connections over IPv6 in the last tenth, where it had been dead
}

// Addresses runs the simulation.
func Addresses(s AddressSettings) AddressResult {
	r := AddressResult{Memory: s.Memory}
	rng := rand.New(rand.NewPCG(s.Seed, 5))
	type place struct{ relay, endpoint int }
	selectors := map[place]*addr.Selector{}
	last := map[place]time.Duration{}
	families := make([]addr.FamilyHealth, s.Relays)
	lists := make([][]addr.Address, s.Endpoints)
	for e := range lists {
		lists[e] = []addr.Address{{Network: "tcp", Addr: fmt.Sprintf("[fd00::%x]:443", e+1), Family: addr.IPv6},
			{Network: "tcp", Addr: fmt.Sprintf("10.0.%d.%d:443", e>>8, e&255), Family: addr.IPv4}}
	}
	var added []time.Duration
	var back, late int
	for now := time.Duration(0); now < s.Duration; now += time.Duration(rng.ExpFloat64() / s.Rate * 1e9) {
		at := place{rng.IntN(s.Relays), int(float64(s.Endpoints) * math.Pow(rng.Float64(), 2))}
		wait := time.Duration((2 + 3*rng.Float64()) * float64(time.Millisecond)) // round-trip time to this endpoint
		r.Calls++
		if until, ok := last[at]; ok && now < until {
			last[at] = now + s.IdleTimeout
			continue
		}
		last[at] = now + s.IdleTimeout
		r.Dials++
		// Which endpoints are affected is independent of how often they are called.
		affected := float64(at.endpoint*7919%s.Endpoints) < s.DeadShare*float64(s.Endpoints)
		dead := affected && now > s.Duration/3 && now < 2*s.Duration/3
		selector := selectors[at]
		if selector == nil || s.Memory == NoMemory {
			f := &families[at.relay]
			if s.Memory != SelectorsAndFamilies {
				f = &addr.FamilyHealth{}
			}
			selector = addr.NewSelector("e", f, lists[at.endpoint])
			if s.Memory == SelectorsAndFamilies {
				selector = addr.NewSelector(fmt.Sprint(at.endpoint), f, lists[at.endpoint])
			}
			selectors[at] = selector
		}
		plan := selector.Plan(now, 5*time.Second)
		won, up := -1, time.Duration(math.MaxInt64)
		for i, step := range plan {
			if alive := step.Family == addr.IPv4 || !dead; alive && step.After+wait < up {
				won, up = i, step.After+wait
			}
		}
		for i, step := range plan {
			switch alive := step.Family == addr.IPv4 || !dead; {
			case i == won:
				selector.Connected(step.Address, wait)
			case step.Trial && alive:
				r.ExtraAttempts++
				selector.Connected(step.Address, wait)
			case step.Trial:
				r.ExtraAttempts++
				selector.Failed(now+addr.TrialTimeout, step.Address)
			case step.After < up: // attempt begun, then cancelled
				r.ExtraAttempts++
				selector.Cancelled(now+up, step.Address, up-step.After)
			}
		}
		if dead {
			r.Affected++
			if added = append(added, up-wait); up-wait >= 10*time.Millisecond {
				r.Delayed++
			}
		} else if affected && now > s.Duration*9/10 {
			if late++; plan[won].Family == addr.IPv6 {
				back++
			}
		}
	}
	slices.Sort(added)
	if n := len(added); n > 0 {
		sum := time.Duration(0)
		for _, a := range added {
			sum += a
		}
		r.Mean, r.P99 = sum/time.Duration(n), added[n*99/100]
	}
	r.Returned = float64(back) / float64(max(1, late))
	return r
}

// PrintAddresses writes the results as a table, in the order given.
func PrintAddresses(w io.Writer, results []AddressResult) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t,
		"address memory\tcalls\tconnections\taffected\tdelayed\tadded, mean\tadded, p99\textra connections\tIPv6 again\t")
	for _, r := range results {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%.1f%%\t%v\t%v\t%.1f%%\t%.0f%%\t\n", r.Memory, r.Calls, r.Dials, r.Affected,
			100*float64(r.Delayed)/float64(max(1, r.Affected)), r.Mean.Round(100*time.Microsecond),
			r.P99.Round(time.Millisecond), 100*float64(r.ExtraAttempts)/float64(cmp.Or(r.Dials, 1)), 100*r.Returned)
	}
	_ = t.Flush()
}
