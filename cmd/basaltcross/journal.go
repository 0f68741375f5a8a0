package main

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/parquet-go/parquet-go"
	"github.com/spf13/cobra"

	"basaltcross.example/basaltcross/internal/journal"
)

// row is a record in the output of journal dump. Fields that a kind of record doesn't have are zero. The
// contents of messages and sessions are not dumped, only their size.
type row struct {
	Kind     string `json:"kind" parquet:"kind,dict"`
	Seq      uint64 `json:"seq,omitempty" parquet:"seq"`
	Identity string `json:"identity,omitempty" parquet:"identity"`
	Class    string `json:"class,omitempty" parquet:"class,dict"`
	Partner  string `json:"partner,omitempty" parquet:"partner,dict"`
	Key      string `json:"key,omitempty" parquet:"key"`
	Host     string `json:"host,omitempty" parquet:"host,dict"`
	Attempt  int    `json:"attempt,omitempty" parquet:"attempt"`
	Clear    bool   `json:"clear,omitempty" parquet:"clear"` // the attempt certainly never ran
	Verdict  int    `json:"verdict,omitempty" parquet:"verdict"`
	Handed   bool   `json:"handed,omitempty" parquet:"handed"` // the client has the final answer
	Failing  bool   `json:"failing,omitempty" parquet:"failing"`
	LeftNS   int64  `json:"left_ns,omitempty" parquet:"left_ns"`
	Run      uint32 `json:"run,omitempty" parquet:"run"`           // number of the run of the relay process
	ClockNS  int64  `json:"clock_ns,omitempty" parquet:"clock_ns"` // time since the machine booted
	Bytes    int    `json:"bytes,omitempty" parquet:"bytes"`       // of a message, body and head
}

// rows converts the contents of a journal into rows, with the attempts of a message after its row.
func rows(k *journal.Contents) (out []row) {
	for _, m := range k.Messages {
		out = append(out, row{Kind: "message", Seq: m.Seq, Identity: m.Identity, Class: m.Class, Partner: m.Partner,
			Key: m.Key, LeftNS: m.Remaining, Run: m.At.Run, ClockNS: m.At.Clock, Bytes: len(m.Body) + len(m.Head)})
		for _, a := range k.Attempts[m.Seq] {
			out = append(out, row{Kind: "attempt", Seq: a.Seq, Host: a.Host, Attempt: a.N, Clear: a.NeverRan,
				Run: a.At.Run, ClockNS: a.At.Clock})
		}
	}
	for _, e := range k.Ends {
		out = append(out, row{Kind: "end", Seq: e.Seq, Identity: e.Identity, Class: e.Class,
			Verdict: int(e.Verdict), Handed: e.Handed, LeftNS: e.After, Run: e.At.Run, ClockNS: e.At.Clock})
	}
	for _, w := range k.Waits {
		out = append(out, row{Kind: "wait", Host: w.Host, Failing: w.Failing, LeftNS: w.Remaining,
			Run: w.At.Run, ClockNS: w.At.Clock})
	}
	for _, s := range k.Sessions {
		out = append(out, row{Kind: "session", Identity: s.Front + "/" + s.ID, Bytes: len(s.Value),
			Run: s.At.Run, ClockNS: s.At.Clock})
	}
	return out
}

func journalCommand() *cobra.Command {
	c := &cobra.Command{Use: "journal", Short: "Inspect the journal of a relay that is not running"}
	var file string
	dump := &cobra.Command{Use: "dump DIR",
		Short: "Write the records as JSON lines or to a Parquet file", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			k, err := journal.Read(args[0])
			if err != nil {
				return err
			}
			if file != "" {
				return parquet.WriteFile(file, rows(k))
			}
			e := json.NewEncoder(c.OutOrStdout())
			for _, r := range rows(k) {
				if err := e.Encode(r); err != nil {
					return err
				}
			}
			return nil
		}}
	dump.Flags().StringVar(&file, "parquet", "", "write to this Parquet file instead of standard output")
	stats := func(w io.Writer, k *journal.Contents) {
		owed := 0
		for _, e := range k.Ends {
			if !e.Handed {
				owed++
			}
		}
		fmt.Fprintf(w,
			"%d runs, %d pending messages, %d ended identities (%d with answers to deliver), %d sessions, %d hosts with waits or failures\n",
			len(k.Runs), len(k.Messages), len(k.Ends), owed, len(k.Sessions), len(k.Waits))
	}
	c.AddCommand(dump,
		&cobra.Command{Use: "verify DIR",
			Short: "Read every record, and report whether any that was on disk is missing",
			Args:  cobra.ExactArgs(1),
			RunE: func(c *cobra.Command, args []string) error {
				k, err := journal.Read(args[0])
				if err != nil {
					return err
				}
				fmt.Fprint(c.OutOrStdout(), "good: ")
				stats(c.OutOrStdout(), k)
				return nil
			}},
		&cobra.Command{Use: "stats DIR", Short: "Count the records", Args: cobra.ExactArgs(1),
			RunE: func(c *cobra.Command, args []string) error {
				k, err := journal.Read(args[0])
				if err == nil {
					stats(c.OutOrStdout(), k)
				}
				return err
			}})
	return c
}
