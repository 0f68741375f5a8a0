package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"basaltcross.example/basaltcross/internal/badday"
)

func dayCommand() *cobra.Command {
	var script, trouble, plant, keep string
	var all, asJSON bool
	var acknowledge time.Duration
	c := &cobra.Command{Use: "day", Short: "Run a scenario of faults on loopback and audit the six delivery rules",
		Long: "Starts relay processes, stand-ins for partners and MQTT clients, injects the faults of a script and\n" +
			"audits the six rules from what the stand-ins and clients recorded. Ends with 'rules broken: N';\n" +
			"the exit code is 1 if N is above 0.",
		Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
			out := c.OutOrStdout()
			self, err := os.Executable()
			if err != nil {
				return err
			}
			opt := badday.Options{Binary: self, Plant: plant, Out: out, Keep: keep, AcknowledgeEvery: acknowledge}
			names, texts := []string{"the mixed day"}, []string{badday.Mixed}
			switch {
			case script != "":
				b, err := os.ReadFile(script)
				if err != nil {
					return err
				}
				names, texts = []string{script}, []string{string(b)}
			case plant != "" && trouble == "":
				names, texts = []string{"break " + plant}, []string{badday.ForBreak(plant)}
			case trouble != "":
				text, err := badday.One(trouble)
				if err != nil {
					return err
				}
				names, texts = []string{trouble}, []string{text}
			case all:
				names, texts = nil, nil
				for _, k := range badday.Kinds {
					text, _ := badday.One(k.Name)
					names, texts = append(names, k.Name), append(texts, text)
				}
				opt.Out = io.Discard
			}
			broken := 0
			for i, text := range texts {
				s, err := badday.Parse(names[i], text)
				if err != nil {
					return err
				}
				r, err := badday.Run(c.Context(), s, opt)
				if err != nil {
					return err
				}
				switch {
				case asJSON:
					if err := json.NewEncoder(out).Encode(r); err != nil {
						return err
					}
				case all && r.Broken() == 0:
					fmt.Fprintf(out, "%-16s %s\n", names[i], r.Summary())
				default:
					fmt.Fprintf(out, "%s:\n", names[i])
					r.Print(out)
				}
				broken += r.Broken()
			}
			if len(texts) > 1 {
				fmt.Fprintf(out, "rules broken: %d\n", broken)
			}
			if broken > 0 {
				return errSilent
			}
			return nil
		}}
	f := c.Flags()
	f.StringVar(&script, "script", "", "run this script (CUE)")
	f.StringVar(&trouble, "trouble", "", "inject one kind of fault only")
	f.BoolVar(&all, "all", false, "run one scenario for each kind of fault")
	f.StringVar(&plant, "break", "", "plant a fault that the audit must detect: "+strings.Join(badday.Breaks, ", "))
	f.StringVar(&keep, "keep", "", "keep configurations and logs in this directory")
	f.DurationVar(&acknowledge, "acknowledge-every", 0,
		"interval at which MQTT clients acknowledge answers in batches; 0 for at once")
	f.BoolVar(&asJSON, "json", false, "print the reports as JSON")
	return c
}
