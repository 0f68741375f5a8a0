package main

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"basaltcross.example/basaltcross/internal/shim"
	"basaltcross.example/basaltcross/internal/soak"
	"basaltcross.example/basaltcross/internal/trace"
)

func soakCommand() *cobra.Command {
	opt := soak.Options{}
	var seeds, shrinks int
	var faults, kinds, plant, out string
	c := &cobra.Command{Use: "soak", Short: "Run nodes under overlapping faults and hold them against the rules", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) (err error) {
			if opt.Shim, err = os.Executable(); err != nil {
				return err
			}
			if opt.Program == "" {
				opt.Program = opt.Shim
			}
			if faults != "" {
				if opt.Faults, err = soak.ParseFaults(faults); err != nil {
					return err
				}
			}
			for _, k := range strings.FieldsFunc(kinds, func(r rune) bool { return r == ',' }) {
				if !slices.Contains(soak.Kinds(), soak.Kind(k)) {
					return fmt.Errorf("soak: %q is no kind of fault; there are %v", k, soak.Kinds())
				}
				opt.Kinds = append(opt.Kinds, soak.Kind(k))
			}
			opt.Plant = soak.Plant(plant)
			report, err := soak.Series(c.Context(), opt, seeds, shrinks, c.OutOrStdout())
			if err != nil {
				return err
			}
			if out != "" {
				text, err := json.MarshalIndent(report, "", "  ")
				if err != nil {
					return err
				}
				if err := os.WriteFile(out, text, 0o644); err != nil {
					return err
				}
			}
			if report.Broken() > 0 {
				return errSilent
			}
			return nil
		}}
	f := c.Flags()
	f.Uint64Var(&opt.Seed, "seed", 1, "first seed")
	f.IntVar(&seeds, "seeds", 1, "number of seeds, one after the other")
	f.IntVar(&opt.Nodes, "nodes", 10, "node processes")
	f.IntVar(&opt.Hosts, "hosts", 6, "hosts, each a destination of its own")
	f.IntVar(&opt.Clients, "clients", 4, "clients of each node")
	f.DurationVar(&opt.Duration, "duration", 20*time.Second, "length of a seed's load")
	f.StringVar(&opt.Program, "program", "", "the build whose nodes are played; this one if empty")
	f.StringVar(&faults, "faults", "", "play exactly these faults, as a failing seed prints them; none for none")
	f.StringVar(&kinds, "kinds", "", "draw only these kinds of faults, separated by commas")
	f.StringVar(&plant, "plant", "", "put a violation there that the audit must find: "+fmt.Sprint(append(soak.Plants, soak.PlantTrust)))
	f.StringArrayVar(&opt.KnownBroken, "known", nil, "an invariant that is known to be broken: printed and passed over")
	f.IntVar(&shrinks, "shrink", 0, "plays that may be spent on shrinking a seed that fails")
	f.StringVar(&opt.Trace, "trace", "", "write the nodes' logs, with each step of each request, into this folder")
	f.StringVar(&out, "json", "", "write the report to this file as JSON")
	c.AddCommand(explainCommand())
	return c
}

// explainCommand prints the course of one request over all processes of a run that was traced.
func explainCommand() *cobra.Command {
	return &cobra.Command{Use: "explain DIR ID", Short: "Print one request's course from the logs that --trace has written", Args: cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			steps, err := trace.Read(args[0], args[1])
			if err != nil {
				return err
			}
			if len(steps) == 0 {
				return fmt.Errorf("soak: %s has no step of %s", args[0], args[1])
			}
			trace.Print(c.OutOrStdout(), steps)
			return nil
		}}
}

// shimCommand becomes a program whose system calls a tracer may have fail.
func shimCommand() *cobra.Command {
	return &cobra.Command{Use: "shim-exec PROGRAM [ARGS]", Hidden: true, Args: cobra.MinimumNArgs(1), DisableFlagParsing: true,
		RunE: func(_ *cobra.Command, args []string) error { return shim.Exec(args) }}
}
