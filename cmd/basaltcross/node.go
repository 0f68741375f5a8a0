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
	return &cobra.Command{Use: "node",
		Short: "Run a relay as a node of the platform, configured by environment variables", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			reload := make(chan os.Signal, 1)
			signal.Notify(reload, syscall.SIGHUP)
			log, err := obs.Logger(os.Stderr, zerolog.LevelInfoValue, "json")
			if err != nil {
				return err
			}
			return platform.Run(c.Context(), reload, os.Getenv, log)
		}}
}
