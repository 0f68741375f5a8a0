package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"sync/atomic"
	"time"

	"net"

	"github.com/spf13/cobra"

	"basaltcross.example/basaltcross/internal/load"
)

func loadCommand() *cobra.Command {
	o := load.Options{}
	var asJSON, withJournal bool
	c := &cobra.Command{Use: "load", Short: "Compare a relay with direct calls and a reverse proxy, on loopback",
		Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
			self, err := os.Executable()
			if err != nil {
				return err
			}
			o.Binary, o.Log = self, c.ErrOrStderr()
			if withJournal {
				results, err := load.Journal(c.Context(), o)
				if err != nil {
					return err
				}
				if asJSON {
					return json.NewEncoder(c.OutOrStdout()).Encode(results)
				}
				load.PrintJournal(c.OutOrStdout(), results)
				return nil
			}
			r, err := load.Run(c.Context(), o)
			if err != nil {
				return err
			}
			if asJSON {
				return json.NewEncoder(c.OutOrStdout()).Encode(r)
			}
			r.Print(c.OutOrStdout())
			return nil
		}}
	f := c.Flags()
	f.Float64Var(&o.Rate, "rate", 1200, "messages per second in the open-loop runs")
	f.DurationVar(&o.Duration, "for", 8*time.Second, "length of each run")
	f.IntVar(&o.Window, "window", 256, "messages in flight in the saturation run")
	f.IntVar(&o.Connections, "connections", 16, "connections of the lightweight clients")
	f.IntVar(&o.Idle, "idle", 10000, "idle MQTT connections to measure; 0 to skip")
	f.IntVar(&o.Burst, "burst", 10000, "TLS handshakes to start at once; 0 to skip")
	f.IntVar(&o.Partners, "partners", 8, "number of partners")
	f.DurationVar(&o.Service, "service", 0, "service time of the stand-ins")
	f.BoolVar(&withJournal, "journal", false,
		"compare relays without a journal, with a journal and with a synced journal")
	f.BoolVar(&asJSON, "json", false, "print the report as JSON")
	return c
}

// proxyCommand runs the standard library's reverse proxy, with which the load command compares a relay.
func proxyCommand() *cobra.Command {
	var ready string
	c := &cobra.Command{Use: "proxy ADDR...", Hidden: true, Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			var n atomic.Uint64
			var targets []*url.URL
			for _, a := range args {
				targets = append(targets, &url.URL{Scheme: "http", Host: a})
			}
			p := &httputil.ReverseProxy{
				Rewrite:   func(r *httputil.ProxyRequest) { r.SetURL(targets[n.Add(1)%uint64(len(targets))]) },
				Transport: &http.Transport{MaxIdleConnsPerHost: 1024, MaxIdleConns: 0},
			}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return err
			}
			if err := writeLines(ready, l.Addr().String()); err != nil {
				return err
			}
			s := &http.Server{Handler: p, ReadHeaderTimeout: 10 * time.Second}
			go func() { <-c.Context().Done(); _ = s.Close() }()
			if err := s.Serve(l); err != http.ErrServerClosed {
				return fmt.Errorf("proxy: %w", err)
			}
			return nil
		}}
	c.Flags().StringVar(&ready, "ready-file", "", "file to write the address to when listening")
	return c
}
