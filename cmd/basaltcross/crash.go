package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"basaltcross.example/basaltcross/internal/badday"
)

func crashCommand() *cobra.Command {
	var o badday.CrashOptions
	c := &cobra.Command{Use: "crash",
		Short: "Kill a relay with a journal repeatedly under load, and audit its delivery guarantees",
		Args:  cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) (err error) {
			if o.Binary, err = os.Executable(); err != nil {
				return err
			}
			o.Out = c.ErrOrStderr()
			fmt.Fprintf(c.OutOrStdout(), "seed %d\n", o.Seed)
			r, err := badday.Crash(c.Context(), o)
			if err != nil {
				return err
			}
			r.Print(c.OutOrStdout())
			if r.Broken() > 0 {
				return fmt.Errorf("crash: %d promises broken", r.Broken())
			}
			return nil
		}}
	f := c.Flags()
	f.IntVar(&o.Kills, "kills", 50, "number of kills")
	f.IntVar(&o.Clients, "clients", 8, "MQTT clients")
	f.Uint64Var(&o.Seed, "seed", 1, "seed of the kills and the messages")
	f.StringVar(&o.Plant, "break", "", "plant a fault that the audit must detect: answer-before-sync")
	f.StringVar(&o.Keep, "keep", "", "keep configuration, journal and log in this directory")
	return c
}
