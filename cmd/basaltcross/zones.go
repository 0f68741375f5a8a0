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
	c := &cobra.Command{Use: "zones",
		Short: "Report traffic between zones by class, zone and minute", Args: cobra.NoArgs,
		Long: "Queries the metrics listener of a running relay, or reads a file: a report written with --json,\n" +
			"or the relay's records per minute (zoneRecords).",
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
	c.Flags().BoolVar(&minutes, "minutes", false, "also print each minute of the last day")
	c.Flags().BoolVar(&asJSON, "json", false, "print the report as JSON")
	return c
}

// fetchReport reads the report from the file named from or, if there is none, from the metrics listener at that
// address. A file holds either a report or the records of zoneRecords.
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
			fmt.Fprintf(os.Stderr, "%s: skipped %d incomplete lines\n", from, broken)
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
