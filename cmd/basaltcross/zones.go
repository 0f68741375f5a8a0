package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"basaltcross.example/basaltcross/internal/zone"
)

func zonesCommand() *cobra.Command {
	var from string
	var minutes, asJSON bool
	c := &cobra.Command{Use: "zones", Short: "Report traffic between zones by class, zone and minute", Args: cobra.NoArgs,
		Long: "Asks a running relay's metrics listener, or reads a report that --json wrote before, or the relay's\n" +
			"file of minutes (zoneRecords).",
		RunE: func(c *cobra.Command, _ []string) error {
			var r zone.Report
			if err := fetchReport(from, &r); err != nil {
				return err
			}
			if asJSON {
				return json.NewEncoder(c.OutOrStdout()).Encode(r)
			}
			r.Print(c.OutOrStdout(), minutes)
			return nil
		}}
	c.Flags().StringVar(&from, "from", "127.0.0.1:9300", "address of the relay's metrics listener, or a file")
	c.Flags().BoolVar(&minutes, "minutes", false, "each minute of the last day too")
	c.Flags().BoolVar(&asJSON, "json", false, "print the report as JSON")
	return c
}

func fetchReport(from string, r *zone.Report) error {
	if text, err := os.ReadFile(from); err == nil {
		if json.Unmarshal(text, r) == nil && r.Relay != "" {
			return nil
		}
		rows, broken, err := zone.Read(bytes.NewReader(text))
		if err != nil {
			return fmt.Errorf("zones: %s: %w", from, err)
		}
		*r = zone.Report{Relay: from, At: time.Now(), Totals: rows, Minutes: rows}
		if broken > 0 {
			fmt.Fprintf(os.Stderr, "%s: %d lines are not whole and left out\n", from, broken)
		}
		return nil
	}
	if !strings.Contains(from, "://") {
		from = "http://" + from
	}
	resp, err := (&http.Client{Timeout: 10 * time.Second}).Get(from + "/zones")
	if err != nil {
		return fmt.Errorf("zones: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("zones: %s answers %s", from, resp.Status)
	}
	return json.NewDecoder(resp.Body).Decode(r)
}
