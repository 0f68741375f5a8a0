package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"basaltcross.example/basaltcross/internal/fleet"
)

func modelCommand() *cobra.Command {
	s := fleet.Settings{}
	var seeds int
	var budgetShares []float64
	var record, plot string
	var check bool
	c := &cobra.Command{Use: "model",
		Short: "Simulate a fleet with budgets for traffic between zones", Args: cobra.NoArgs,
		Long: "Runs relays with the real core, decision module and budgets against simulated partners, from one seed,\n" +
			"and compares budgets with no limit and with a limit that ignores zones.\nLimits of the simulation: " +
			fleet.Limits + ".",
		RunE: func(c *cobra.Command, _ []string) error {
			// Total traffic in bytes over a window, both ways, of which the budgets are shares.
			totalBytes := s.Rate * 1000 * s.Window.Seconds()
			var budgets []float64
			for _, e := range budgetShares {
				budgets = append(budgets, e*totalBytes)
			}
			if check {
				s.How, s.Bytes = fleet.Budget, budgets[len(budgets)/2]
				sockets, model, err := fleet.Calibrate(c.Context(), s)
				if err == nil {
					fleet.PrintCalibration(c.OutOrStdout(), sockets, model)
				}
				return err
			}
			begin := time.Now()
			results, err := fleet.Sweep(s, budgets,
				[]fleet.How{fleet.Budget, fleet.Ideal, fleet.None, fleet.Blind}, seeds)
			if err != nil {
				return err
			}
			lines := fleet.Lines(results)
			fmt.Fprintf(c.OutOrStdout(),
				"%d relays, %d endpoints, %d zones, %.0f messages per second for %v, %d seeds: %d runs in %v\n",
				s.Relays, 2*s.Partners, s.Zones, s.Rate, s.Lasts, seeds, len(results),
				time.Since(begin).Round(100*time.Millisecond))
			fleet.Print(c.OutOrStdout(), lines)
			if record != "" {
				if err := fleet.Write(record, results); err != nil {
					return err
				}
			}
			if plot != "" {
				return fleet.Plot(plot, lines,
					fmt.Sprintf("%d relays, %d endpoints, uneven %.1f", s.Relays, 2*s.Partners, s.Uneven))
			}
			return nil
		}}
	c.AddCommand(modelAddresses(), modelSize())
	f := c.Flags()
	f.Uint64Var(&s.Seed, "seed", 1, "first seed")
	f.IntVar(&seeds, "seeds", 5, "runs of each variant, for the error bars")
	f.IntVar(&s.Relays, "relays", 30, "number of relays")
	f.IntVar(&s.Partners, "partners", 50, "partners, each with two endpoints in two zones")
	f.IntVar(&s.Zones, "zones", 3, "number of zones")
	f.Float64Var(&s.Rate, "rate", 300, "messages per second over all relays")
	f.DurationVar(&s.Lasts, "for", 30*time.Second, "simulated time during which messages arrive")
	f.DurationVar(&s.Window, "window", 10*time.Second, "window of the budget")
	f.Float64SliceVar(&budgetShares, "budgets", []float64{0.02, 0.05, 0.1, 0.2, 0.4},
		"budgets, as shares of the total traffic")
	f.Float64Var(&s.Overdraft, "overdraft", 0.5, "overdraft of the at-most-once class, as a share of the budget")
	f.Float64Var(&s.Uneven, "uneven", 0.5,
		"skew of the load: 0 for even, 1 for twice the mean at one end and none at the other")
	f.Float64Var(&s.Outage, "outage", 0.3, "share of the partners whose first endpoint is gone in the middle third")
	f.BoolVar(&s.Silent, "silent", false, "the first zone accepts calls and never answers in the middle third")
	f.Float64Var(&s.Die, "die", 0, "share of the relays that crash at half time")
	f.DurationVar(&s.Late, "late", 2*time.Second, "delay until the other relays learn of the crash")
	f.BoolVar(&check, "check", false, "run the middle budget on sockets too, and report the error of the simulation")
	f.StringVar(&record, "record", "", "write the runs to this file (Parquet)")
	f.StringVar(&plot, "plot", "", "plot worth against bytes to this file (.svg, .png)")
	return c
}

func modelAddresses() *cobra.Command {
	s := fleet.AddressSettings{}
	c := &cobra.Command{Use: "addresses",
		Short: "Simulate a fleet's connections while an address family is unreachable", Args: cobra.NoArgs,
		Long: "Relays connect to endpoints with an IPv6 and an IPv4 address each; IPv6 is unreachable at a share of them\n" +
			"in the middle third. Only connection set-up is simulated; unreachable addresses time out, none refuses.",
		RunE: func(c *cobra.Command, _ []string) error {
			var results []fleet.AddressResult
			for _, s.Learns = range []fleet.Learns{fleet.All, fleet.Books, fleet.NoMemory} {
				results = append(results, fleet.Addresses(s))
			}
			fmt.Fprintf(c.OutOrStdout(),
				"%d relays, %d endpoints, %.0f calls per second for %v, IPv6 unreachable at %.0f%% in the middle third\n",
				s.Relays, s.Endpoints, s.Rate, s.Lasts, 100*s.Dead)
			fleet.PrintAddresses(c.OutOrStdout(), results)
			return nil
		}}
	f := c.Flags()
	f.Uint64Var(&s.Seed, "seed", 1, "seed")
	f.IntVar(&s.Relays, "relays", 250, "number of relays")
	f.IntVar(&s.Endpoints, "endpoints", 940, "number of endpoints")
	f.Float64Var(&s.Rate, "rate", 3000, "calls per second over all relays")
	f.DurationVar(&s.Lasts, "for", 15*time.Minute, "simulated time")
	f.Float64Var(&s.Dead, "dead", 0.2, "share of the endpoints whose IPv6 address becomes unreachable")
	f.DurationVar(&s.Keep, "keep", 30*time.Second, "time after which an idle connection is closed")
	return c
}

func modelSize() *cobra.Command {
	s := fleet.Settings{}
	z := fleet.Size{}
	var seeds int
	c := &cobra.Command{Use: "size",
		Short: "Simulate a fleet whose relays assume different fleet sizes", Args: cobra.NoArgs,
		Long: "The number of relays changes at half time; partners have rate limits that all relays share; a fifth of\n" +
			"the partners is unavailable in the middle third and warms up afterwards.",
		RunE: func(c *cobra.Command, _ []string) error {
			variant := func(name string, follow bool, think float64) fleet.Size {
				w := z
				w.Name, w.Follow, w.Think = name, follow, think
				return w
			}
			variants := []fleet.Size{variant("followed", true, 1), variant("fixed at the first", false, 1),
				variant("fixed at the second", false, float64(z.To)/float64(z.From)),
				variant("followed, assumed half", true, 0.5), variant("followed, assumed double", true, 2)}
			lines, err := fleet.Sizes(s, variants, seeds)
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(),
				"%d relays, %d after half time, reported after %v; %d endpoints, limits of %.2f times the traffic (listed: %v), %.0f messages per second for %v, %d seeds\n",
				z.From, z.To, s.Late, 2*s.Partners, z.Limit, z.Listed, s.Rate, s.Lasts, seeds)
			fleet.PrintSizes(c.OutOrStdout(), lines)
			return nil
		}}
	f := c.Flags()
	f.Uint64Var(&s.Seed, "seed", 1, "first seed")
	f.IntVar(&seeds, "seeds", 4, "runs of each variant, for the error bars")
	f.IntVar(&z.From, "from", 50, "relays until half time")
	f.IntVar(&z.To, "to", 100, "relays after half time")
	f.IntVar(&s.Partners, "partners", 40, "partners, each with two endpoints")
	f.Float64Var(&s.Rate, "rate", 800, "messages per second over all relays")
	f.DurationVar(&s.Lasts, "for", 45*time.Second, "simulated time during which messages arrive")
	f.DurationVar(&s.Late, "late", 10*time.Second,
		"delay until losses of relays are reported; joins are reported at once")
	f.Float64Var(&z.Limit, "limit", 1.3, "rate limit of each partner, as a multiple of its mean traffic")
	f.BoolVar(&z.Listed, "listed", false, "the endpoint list contains the limits")
	s.Zones = 3
	return c
}
