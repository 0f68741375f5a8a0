package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"basaltcross.example/basaltcross/internal/obs"
	"basaltcross.example/basaltcross/internal/platform"
)

func nodeCommand() *cobra.Command {
	return &cobra.Command{Use: "node", Short: "Run a relay on the users' platform, as its environment says", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			again := make(chan os.Signal, 1)
			signal.Notify(again, syscall.SIGHUP)
			cfg, err := platform.Load(os.Getenv)
			if err != nil {
				return err
			}
			log, err := obs.Logger(os.Stderr, zerolog.LevelInfoValue, "json")
			if err != nil {
				return err
			}
			platform.Tune(platform.BoundsOf(cfg), log)
			n, err := platform.Start(cfg, log)
			if err != nil {
				return err
			}
			for {
				select {
				case <-again:
					n.ReadAgain(os.Getenv)
				case <-c.Context().Done():
					log.Info().Msg("stopping")
					n.Drain()
					log.Info().Msg("stopped")
					return nil
				}
			}
		}}
}
