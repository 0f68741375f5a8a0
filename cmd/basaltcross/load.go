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
	c := &cobra.Command{Use: "load", Short: "Measure a relay beside straight calls and a reverse proxy, on loopback",
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
	f.Float64Var(&o.Rate, "rate", 1200, "messages a second of the open-loop runs")
	f.DurationVar(&o.Duration, "for", 8*time.Second, "length of each run")
	f.IntVar(&o.Window, "window", 256, "messages under way at saturation")
	f.IntVar(&o.Connections, "connections", 16, "connections of light clients")
	f.IntVar(&o.Idle, "idle", 10000, "idle MQTT connections to measure; 0 leaves them out")
	f.IntVar(&o.Burst, "burst", 10000, "TLS handshakes to begin at once; 0 leaves them out")
	f.IntVar(&o.Partners, "partners", 8, "partners")
	f.DurationVar(&o.Service, "service", 0, "service time of the stand-in")
	f.BoolVar(&withJournal, "journal", false, "compare a relay without a journal, with one, and with one that is synced")
	f.BoolVar(&asJSON, "json", false, "print the report as JSON")
	return c
}

// proxyCommand is the standard library's reverse proxy, to measure against.
func proxyCommand() *cobra.Command {
	var ready string
	c := &cobra.Command{Use: "proxy ADDR...", Hidden: true, Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			var n atomic.Uint64
			var to []*url.URL
			for _, a := range args {
				to = append(to, &url.URL{Scheme: "http", Host: a})
			}
			p := &httputil.ReverseProxy{
				Rewrite:   func(r *httputil.ProxyRequest) { r.SetURL(to[n.Add(1)%uint64(len(to))]) },
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
	c.Flags().StringVar(&ready, "ready-file", "", "write the address here once up")
	return c
}
