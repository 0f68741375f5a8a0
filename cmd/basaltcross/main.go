// Command basaltcross is a delivery service. It runs a relay, which carries messages of clients to partners,
// and has the tools around it: checks of configurations and journals, reports of running relays, stand-ins for
// partners, load and fault tests, and simulations.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := root().ExecuteContext(ctx); err != nil {
		if !errors.Is(err, errSilent) {
			fmt.Fprintln(os.Stderr, "basaltcross:", err)
		}
		os.Exit(1)
	}
}

// errSilent makes the program exit with code 1 without a message, after a command has printed its findings.
var errSilent = errors.New("failed")

func root() *cobra.Command {
	c := &cobra.Command{Use: "basaltcross", Short: "Deliver messages to partners in spite of failures",
		SilenceUsage: true, SilenceErrors: true}
	c.AddCommand(relayCommand(), nodeCommand(), checkCommand(), keysCommand(), zonesCommand(), addressesCommand(),
		standinCommand(), dayCommand(), loadCommand(), crashCommand(), journalCommand(), modelCommand(), soakCommand(),
		shimCommand(), demoCommand(), proxyCommand(), versionCommand())
	return c
}

func versionCommand() *cobra.Command {
	return &cobra.Command{Use: "version", Short: "Print version and build", Args: cobra.NoArgs,
		Run: func(c *cobra.Command, _ []string) {
			version, revision := "devel", ""
			if b, ok := debug.ReadBuildInfo(); ok {
				if b.Main.Version != "" {
					version = b.Main.Version
				}
				for _, s := range b.Settings {
					if s.Key == "vcs.revision" {
						revision = " " + s.Value
					}
				}
				version += revision + " " + b.GoVersion
			}
			fmt.Fprintln(c.OutOrStdout(), "basaltcross", version)
		}}
}
