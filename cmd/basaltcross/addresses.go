package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"basaltcross.example/basaltcross/internal/relay"
)

func addressesCommand() *cobra.Command {
	var from string
	c := &cobra.Command{Use: "addresses",
		Short: "Report what a running relay knows about the addresses of its endpoints", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if !strings.Contains(from, "://") {
				from = "http://" + from
			}
			resp, err := (&http.Client{Timeout: 10 * time.Second}).Get(from + "/addresses")
			if err != nil {
				return fmt.Errorf("addresses: %w", err)
			}
			defer resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				return fmt.Errorf("addresses: %s answers %s", from, resp.Status)
			}
			var report relay.Addresses
			if err := json.NewDecoder(resp.Body).Decode(&report); err != nil {
				return fmt.Errorf("addresses: %w", err)
			}
			known := report.Endpoints
			t := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(t, "endpoint\taddress\tfamily\tconnect\tfailed\thung\tback-off left")
			for _, host := range slices.Sorted(maps.Keys(known)) {
				for _, k := range known[host] {
					fmt.Fprintf(t, "%s\t%s\t%s\t%v\t%d\t%d\t%v\n", host, k.Address, k.Family,
						k.Connect.Round(time.Microsecond), k.Failures, k.Hung, k.BackoffLeft.Round(time.Millisecond))
				}
			}
			for i, k := range report.Names {
				if i == 0 {
					fmt.Fprintln(t, "\nname\taddresses\tTTL left\tfailed")
				}
				fmt.Fprintf(t, "%s\t%v\t%v\t%d\n", k.Name, k.Addrs, k.TTLLeft.Round(time.Second), k.Failures)
			}
			for _, x := range report.LeftOut {
				fmt.Fprintf(t, "left out: %s of %s, which is an address of another partner\n", x.Address, x.Host)
			}
			return t.Flush()
		}}
	c.Flags().StringVar(&from, "from", "127.0.0.1:9300", "address of the relay's metrics listener")
	return c
}
