package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"basaltcross.example/basaltcross/internal/keys"
)

func keysCommand() *cobra.Command {
	c := &cobra.Command{Use: "keys", Short: "Generate VAPID key pairs and a test certificate authority"}
	vapid := &cobra.Command{Use: "vapid", Short: "Generate and print a VAPID key pair (RFC 8292)", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			public, private, err := keys.NewVAPIDKeys()
			if err == nil {
				_, err = fmt.Fprintf(c.OutOrStdout(), "public  %s\nprivate %s\n", public, private)
			}
			return err
		}}
	var dir string
	var hosts, clients []string
	var validity time.Duration
	authority := &cobra.Command{Use: "authority", Args: cobra.NoArgs,
		Short: "Generate a test certificate authority, a server certificate and client certificates",
		RunE: func(c *cobra.Command, _ []string) error {
			if _, err := os.Stat(filepath.Join(dir, "ca.pem")); err == nil {
				return fmt.Errorf("%s already contains an authority (ca.pem)", dir)
			}
			if err := os.MkdirAll(dir, 0o700); err != nil {
				return err
			}
			a, err := keys.NewAuthority("basaltcross test authority", validity)
			if err != nil {
				return err
			}
			if err := a.Save(dir); err != nil {
				return err
			}
			from, to := time.Now().Add(-time.Minute), time.Now().Add(validity)
			if _, _, err := a.Issue(dir, "server", from, to, hosts...); err != nil {
				return err
			}
			for _, name := range clients {
				if _, _, err := a.Issue(dir, name, from, to); err != nil {
					return err
				}
			}
			fmt.Fprintf(c.OutOrStdout(), "%s: ca.pem, server.pem and server.key for %v, clients %v; valid until %v\n", dir,
				hosts, clients, to.UTC().Format(time.RFC3339))
			return nil
		}}
	f := authority.Flags()
	f.StringVar(&dir, "dir", "keys", "directory to write to")
	f.StringSliceVar(&hosts, "host", []string{"localhost", "127.0.0.1", "::1"},
		"host names and addresses of the server certificate")
	f.StringSliceVar(&clients, "client", []string{"client"}, "common names of the client certificates")
	f.DurationVar(&validity, "for", 30*24*time.Hour, "validity of the certificates")
	c.AddCommand(vapid, authority)
	return c
}
