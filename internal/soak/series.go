package soak

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"basaltcross.example/basaltcross/internal/emulator"
)

// Report is the result of a series of seeds.
type Report struct {
	Nodes         int                 `json:"nodes"`
	Duration      time.Duration       `json:"duration_ns"`
	Seeds         int                 `json:"seeds"`
	Requests      int                 `json:"requests"`
	Findings      []*emulator.Finding `json:"invariants"`
	Hits          map[Kind]int        `json:"faults"`
	NeverInjected []Kind              `json:"never_injected,omitempty"`
	Failed        []*Result           `json:"failed,omitempty"`
	Commands      []string            `json:"commands,omitempty"` // commands that replay the failures
}

// Broken returns the number of seeds that failed plus that of kinds that were never injected.
func (r *Report) Broken() int { return len(r.Failed) + len(r.NeverInjected) }

// Series runs seeds one after the other and writes their results and a table to w. The faults of a seed that
// fails are reduced in at most shrinks runs.
func Series(ctx context.Context, opt Options, seeds, shrinks int, w io.Writer) (*Report, error) {
	rep := &Report{Nodes: opt.Nodes, Duration: opt.Duration, Hits: map[Kind]int{}}
	first := opt.Seed
	for i := range seeds {
		opt.Seed = first + uint64(i)
		res, err := Run(ctx, opt)
		if err != nil {
			return nil, fmt.Errorf("soak: seed %d: %w", opt.Seed, err)
		}
		rep.add(res)
		fmt.Fprintf(w, "seed %d: %d requests, %v, of %d accepted %d delivered (%d of them with a notice) and %d ended without a call, %d failures, timers up to %s late, a node used up to %.0f%% of a core, %d descriptors and %.1f MB, %.1f connections to hosts per 1,000 messages in calls, mean delivery time %s\n",
			res.Seed, res.Requests, res.Replies, res.DeliveryCounts.Taken,
			res.DeliveryCounts.Delivered, res.DeliveryCounts.Both, res.DeliveryCounts.Untried, res.Broken(),
			res.Lag.Round(time.Millisecond), 100*res.MaxCPUShare, res.MaxDescriptors, float64(res.MaxMemoryKB)/1024,
			1000*float64(res.Connections)/float64(max(1, res.DeliveryCounts.Calls)),
			res.DeliveryCounts.MeanTime.Round(100*time.Microsecond))
		res.printKnown(w)
		if res.Broken() > 0 {
			res.print(w)
			faults := shrink(ctx, opt, res.Faults, shrinks)
			command := replay(opt, faults, len(faults) == len(res.Faults))
			rep.Commands = append(rep.Commands, command)
			fmt.Fprintf(w, "  again: %s\n", command)
		}
	}
	for _, k := range opt.expected() {
		if rep.Hits[k] == 0 {
			rep.NeverInjected = append(rep.NeverInjected, k)
		}
	}
	rep.print(w)
	return rep, nil
}

// expected returns the kinds that a series must inject at least once.
func (o *Options) expected() []Kind {
	switch {
	case o.Faults != nil:
		return nil
	case len(o.Kinds) > 0:
		return o.Kinds
	}
	return Kinds()
}

// add adds the result of one seed.
func (r *Report) add(res *Result) {
	r.Seeds++
	r.Requests += res.Requests
	for k, n := range res.Hits {
		r.Hits[k] += n
	}
	for _, f := range res.Findings {
		i := slices.IndexFunc(r.Findings, func(g *emulator.Finding) bool { return g.Invariant == f.Invariant })
		if i < 0 {
			r.Findings = append(r.Findings, &emulator.Finding{Invariant: f.Invariant})
			i = len(r.Findings) - 1
		}
		r.Findings[i].Checked += f.Checked
		r.Findings[i].Broken += f.Broken
	}
	if res.Broken() > 0 {
		r.Failed = append(r.Failed, res)
	}
}

// printKnown prints the broken invariants that are known to fail.
func (r *Result) printKnown(w io.Writer) {
	for _, f := range r.Findings {
		if f.Broken > 0 && slices.Contains(r.KnownBroken, f.Invariant) {
			fmt.Fprintf(w, "  known to fail, passed over: %s: %v\n", f.Invariant, f.Examples)
		}
	}
}

// print writes the broken invariants with examples, and the violations that processes reported.
func (r *Result) print(w io.Writer) {
	for _, f := range r.Findings {
		if f.Broken > 0 {
			fmt.Fprintf(w, "  %s: %d of %d\n", f.Invariant, f.Broken, f.Checked)
			for _, e := range f.Examples {
				fmt.Fprintf(w, "    %s\n", e)
			}
		}
	}
	for _, v := range r.Violations {
		fmt.Fprintf(w, "  told: %s\n", v)
	}
}

// print writes the table of invariants and the injected faults of the series.
func (r *Report) print(w io.Writer) {
	fmt.Fprintf(w, "\n%-58s %10s %8s\n", "invariant", "checked", "broken")
	for _, f := range r.Findings {
		fmt.Fprintf(w, "%-58s %10d %8d\n", f.Invariant, f.Checked, f.Broken)
	}
	fmt.Fprintf(w, "\nfaults injected:")
	for _, k := range slices.Sorted(maps.Keys(r.Hits)) {
		fmt.Fprintf(w, " %s %d", k, r.Hits[k])
	}
	fmt.Fprintln(w)
	if len(r.NeverInjected) > 0 {
		fmt.Fprintf(w, "never injected: %v\n", r.NeverInjected)
	}
	fmt.Fprintf(w, "seeds %d, failed %d\n", r.Seeds, len(r.Failed))
}

// replay returns the command that replays faults.
func replay(opt Options, faults []Fault, all bool) string {
	s := fmt.Sprintf("basaltcross soak --seed %d --nodes %d --hosts %d --clients %d --duration %s",
		opt.Seed, opt.Nodes, opt.Hosts, opt.Clients, opt.Duration)
	if all {
		return s
	}
	var text []string
	for _, f := range faults {
		text = append(text, f.String())
	}
	return s + " --faults " + strings.Join(text, ",")
}

// shrink removes faults, in halves, then quarters and so on, as long as the rest still fails. It spends at most
// plays runs.
func shrink(ctx context.Context, opt Options, faults []Fault, plays int) []Fault {
	fails := func(some []Fault) bool {
		plays--
		opt.Faults = some
		res, err := Run(ctx, opt)
		return err == nil && res.Broken() > 0
	}
	for size := len(faults) / 2; size > 0 && plays > 0; size /= 2 {
		for from := 0; from < len(faults) && plays > 0; {
			some := slices.Delete(slices.Clone(faults), from, min(from+size, len(faults)))
			if len(some) > 0 && fails(some) {
				faults = some
			} else {
				from += size
			}
		}
	}
	return faults
}
