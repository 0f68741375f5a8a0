package main

import (
	"encoding/json"
	"fmt"
	"os"
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
	c := &cobra.Command{Use: "soak",
		Short: "Run nodes under overlapping faults and audit the invariants", Args: cobra.NoArgs,
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
			if kinds != "" {
				if opt.Kinds, err = soak.ParseKinds(kinds); err != nil {
					return err
				}
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
	f.IntVar(&seeds, "seeds", 1, "number of seeds, run one after the other")
	f.IntVar(&opt.Nodes, "nodes", 10, "number of node processes")
	f.IntVar(&opt.Hosts, "hosts", 6, "number of hosts, each a destination of its own")
	f.IntVar(&opt.Clients, "clients", 4, "number of clients of each node")
	f.DurationVar(&opt.Duration, "duration", 20*time.Second, "duration of the load of each seed")
	f.StringVar(&opt.Program, "program", "", "executable to run the nodes from; this one if empty")
	f.StringVar(&faults, "faults", "",
		"inject exactly these faults, as printed by a failing seed; 'none' for no faults")
	f.StringVar(&kinds, "kinds", "", "inject only these kinds of faults, separated by commas")
	f.StringVar(&plant, "plant", "", "plant a violation that the audit must detect: "+
		fmt.Sprint(append(soak.Plants, soak.PlantTrust)))
	f.StringArrayVar(&opt.KnownBroken, "known", nil,
		"invariant that is known to be broken: violations are printed, but don't fail the run")
	f.IntVar(&shrinks, "shrink", 0, "limit on the runs for reducing a failing seed to fewer faults")
	f.StringVar(&opt.Evidence, "evidence", "", "if a seed fails, write the nodes' last log lines and goroutines to this directory")
	f.StringVar(&opt.Trace, "trace", "", "write the nodes' logs, with each step of each request, to this directory")
	f.StringVar(&out, "json", "", "write the report to this file as JSON")
	c.AddCommand(explainCommand())
	return c
}

// explainCommand prints the steps of one request across all processes of a traced run.
func explainCommand() *cobra.Command {
	return &cobra.Command{Use: "explain DIR ID",
		Short: "Print the steps of one request from the logs written with --trace", Args: cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			steps, err := trace.Read(args[0], args[1])
			if err != nil {
				return err
			}
			if len(steps) == 0 {
				return fmt.Errorf("soak: %s has no steps of request %s", args[0], args[1])
			}
			trace.Print(c.OutOrStdout(), steps)
			return nil
		}}
}

// shimCommand replaces this process by a program whose system calls a tracer can make fail.
func shimCommand() *cobra.Command {
	return &cobra.Command{Use: "shim-exec PROGRAM [ARGS]", Hidden: true, Args: cobra.MinimumNArgs(1), DisableFlagParsing: true,
		RunE: func(_ *cobra.Command, args []string) error { return shim.Exec(args) }}
}
