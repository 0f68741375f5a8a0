package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"basaltcross.example/basaltcross/internal/badday"
	"basaltcross.example/basaltcross/internal/client"
	"basaltcross.example/basaltcross/internal/config"
	"basaltcross.example/basaltcross/internal/obs"
	"basaltcross.example/basaltcross/internal/relay"
	"basaltcross.example/basaltcross/internal/standin"
)

func relayCommand() *cobra.Command {
	var file, plant, ready string
	c := &cobra.Command{Use: "relay", Short: "Run a relay until interrupted", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			cfg, err := config.Load(file)
			if err != nil {
				return err
			}
			log, err := obs.Logger(os.Stderr, cfg.Log.Level, cfg.Log.Format)
			if err != nil {
				return err
			}
			hooks, err := badday.Plant(plant, cfg)
			if err != nil {
				return err
			}
			// Exit, so that the restart recovers from what is certainly on disk.
			hooks.Broken = func(error) { os.Exit(3) }
			r, err := relay.Start(cfg, log, hooks)
			if err != nil {
				return err
			}
			if err := writeReady(ready, r); err != nil {
				r.Stop()
				return err
			}
			<-c.Context().Done()
			log.Info().Msg("stopping: no new messages are accepted")
			r.Stop()
			log.Info().Msg("stopped")
			return nil
		}}
	c.Flags().StringVarP(&file, "config", "c", "relay.cue", "configuration file")
	c.Flags().StringVar(&ready, "ready-file", "", "file to write the listening addresses to when started")
	c.Flags().StringVar(&plant, "plant", "", "plant a fault that an audit must detect")
	_ = c.Flags().MarkHidden("plant")
	return c
}

// writeReady writes the listening addresses to the file path, one on each line: MQTT addresses as they are,
// those of the other listeners with their protocol before them.
func writeReady(path string, r *relay.Relay) error {
	lines := r.Addrs()
	for _, a := range r.TLSAddrs() {
		lines = append(lines, "mqtts "+a)
	}
	plain, secured := r.PushAddrs()
	for _, a := range plain {
		lines = append(lines, "webpush "+a)
	}
	for _, a := range secured {
		lines = append(lines, "webpushs "+a)
	}
	if r.MetricsAddr != nil {
		lines = append(lines, "metrics "+r.MetricsAddr.String())
	}
	return writeLines(path, lines...)
}

// writeLines writes the file through a rename, so that a process that waits for it never reads part of it.
// It does nothing if path is empty.
func writeLines(path string, lines ...string) error {
	if path == "" {
		return nil
	}
	text := strings.Join(lines, "\n") + "\n"
	tmp := path + ".new"
	if err := os.WriteFile(tmp, []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(tmp, path)
}

func checkCommand() *cobra.Command {
	return &cobra.Command{Use: "check FILE", Short: "Check a configuration and its endpoint list",
		Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
			cfg, err := config.Load(args[0])
			if err != nil {
				return err
			}
			n, err := relay.CheckList(cfg)
			if err != nil {
				return fmt.Errorf("the configuration is valid, but its endpoint list is not: %w", err)
			}
			if err := relay.CheckKeys(cfg); err != nil {
				return fmt.Errorf("the configuration is valid, but its keys are not: %w", err)
			}
			fmt.Fprintf(c.OutOrStdout(), "%s is valid: %d classes, %d partners; %s lists %d endpoints\n",
				args[0], len(cfg.Classes), len(cfg.Partners), cfg.Directory.File, n)
			return nil
		}}
}

func standinCommand() *cobra.Command {
	var listen []string
	var name string
	m := standin.Model{}
	var ready string
	var hang, shut, quick bool
	var errs float64
	c := &cobra.Command{Use: "standin", Short: "Run a stand-in for a partner on loopback", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			rec := standin.NewRecorder(100000)
			var addrs []string
			p := standin.NewPartner(name, m, 1)
			for _, l := range listen {
				if !strings.HasPrefix(l, "127.") && !strings.HasPrefix(l, "localhost:") && !strings.HasPrefix(l, "[::1]:") {
					return fmt.Errorf("--listen %s: stand-ins listen on loopback only", l)
				}
				if quick {
					addr, stop, err := standin.StartMinimal(l, m.Service)
					if err != nil {
						return err
					}
					defer stop()
					addrs = append(addrs, addr)
					continue
				}
				e, err := standin.Start(l, p, rec)
				if err != nil {
					return err
				}
				defer e.Close()
				addrs = append(addrs, e.Addr)
				e.Set(standin.Faults{Hang: hang, RefuseAll: shut, Errors: errs})
				fmt.Fprintf(c.OutOrStdout(), "%s listens on %s\n", name, e.Addr)
			}
			if err := writeLines(ready, addrs...); err != nil {
				return err
			}
			<-c.Context().Done()
			count := map[string]int{}
			for _, k := range rec.Calls() {
				count[k.Outcome]++
			}
			fmt.Fprintf(c.OutOrStdout(), "calls: %v\n", count)
			return nil
		}}
	f := c.Flags()
	f.StringSliceVar(&listen, "listen", []string{"127.0.0.1:9001"}, "addresses to listen on, one for each endpoint")
	f.StringVar(&name, "name", "bank", "name of the partner")
	f.DurationVar(&m.Service, "service", 50*time.Millisecond, "mean service time of a call")
	f.Float64Var(&m.ServiceJitter, "spread", 0.3, "share by which the service time varies")
	f.Float64Var(&m.Rate, "rate", 0, "rate limit in calls per second; 0 for no limit")
	f.DurationVar(&m.RateWindow, "span", 0,
		"count the rate limit over fixed windows of this length; 0 for a continuous rate")
	f.BoolVar(&m.SendsRetryAfter, "tells", true, "refusals carry Retry-After")
	f.IntVar(&m.Concurrency, "concurrency", 0, "calls served concurrently; 0 for no limit")
	f.IntVar(&m.Queue, "queue", 100, "length of the queue of calls that wait for service")
	f.DurationVar(&m.DedupWindow, "window", time.Minute, "time for which idempotency keys are remembered")
	f.StringVar(&ready, "ready-file", "", "file to write the addresses to when listening")
	f.BoolVar(&quick, "quick", false, "answer at once and record nothing, for measurements")
	f.BoolVar(&hang, "hang", false, "accept calls and never answer")
	f.BoolVar(&shut, "shut", false, "refuse all calls")
	f.Float64Var(&errs, "errors", 0, "share of calls answered with status 500")
	return c
}

// demoConfig is the configuration of the demo's relay.
const demoConfig = `
classes: [
	{name: "status", aim: "1s", deadline: "6s", effect: "safe"},
	{name: "order", aim: "1s", deadline: "6s", effect: "keyed", window: "30s"},
	{name: "charge", aim: "1s", deadline: "6s", worth: 5, effect: "unsafe", ordered: true},
]
kinds: [{name: "bank", refusalNeverRan: true}]
partners: [{name: "acme", kind: "bank"}, {name: "globex", kind: "bank"}]
directory: file: "list.cue"
mqtt: listen: ["127.0.0.1:0"]
log: {level: "info", format: "console"}
`

func demoCommand() *cobra.Command {
	var count int
	c := &cobra.Command{Use: "demo",
		Short: "Run a relay, two partners and a client that sends messages and prints the answers",
		Args:  cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
			return demo(c.Context(), c, count)
		}}
	c.Flags().IntVar(&count, "messages", 12, "number of messages to send")
	return c
}

func demo(ctx context.Context, c *cobra.Command, count int) error {
	dir, err := os.MkdirTemp("", "basaltcross-demo-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	rec := standin.NewRecorder(10000)
	var list strings.Builder
	list.WriteString("endpoints: [\n")
	for i, name := range []string{"acme", "globex"} {
		p := standin.NewPartner(name, standin.Model{Service: 60 * time.Millisecond, ServiceJitter: 0.5}, uint64(i+1))
		for range 2 {
			e, err := standin.Start("127.0.0.1:0", p, rec)
			if err != nil {
				return err
			}
			defer e.Close()
			if name == "globex" {
				e.Set(standin.Faults{Errors: 0.2})
			}
			fmt.Fprintf(&list, "\t{addr: %q, partner: %q},\n", e.Addr, name)
		}
	}
	list.WriteString("]\n")
	if err := os.WriteFile(filepath.Join(dir, "list.cue"), []byte(list.String()), 0o600); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "relay.cue"), []byte(demoConfig), 0o600); err != nil {
		return err
	}
	cfg, err := config.Load(filepath.Join(dir, "relay.cue"))
	if err != nil {
		return err
	}
	log := zerolog.New(zerolog.ConsoleWriter{Out: c.ErrOrStderr()}).With().Timestamp().Logger()
	r, err := relay.Start(cfg, log, relay.Hooks{})
	if err != nil {
		return err
	}
	defer r.Stop()
	answers := make(chan client.Answer, count)
	cl, err := client.Dial(ctx, r.Addrs()[0], client.Options{ID: "demo", Expiry: 60,
		OnAnswer: func(a client.Answer) { answers <- a }})
	if err != nil {
		return err
	}
	defer cl.Close()
	out := c.OutOrStdout()
	fmt.Fprintln(out, "acme is healthy; globex answers a fifth of the calls with an error")
	classes := []string{"status", "order", "charge"}
	sent := map[string]time.Time{}
	for i := range count {
		m := client.Message{ID: fmt.Sprintf("m%d", i+1), Class: classes[i%3], Partner: []string{"acme", "globex"}[i/3%2],
			Key: fmt.Sprintf("account-%d", i%2), Body: fmt.Appendf(nil, "message %d", i+1)}
		sent[m.ID] = time.Now()
		if err := cl.Send(ctx, m); err != nil {
			return err
		}
		fmt.Fprintf(out, "  sent %-4s %-7s to %s\n", m.ID, m.Class, m.Partner)
	}
	for range count {
		select {
		case a := <-answers:
			fmt.Fprintf(out, "answer %-4s %-9s after %4d ms\n", a.ID, a.Outcome, a.At.Sub(sent[a.ID]).Milliseconds())
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(10 * time.Second):
			return errors.New("demo: no answer within the deadline")
		}
	}
	calls := map[string]int{}
	for _, k := range rec.Calls() {
		calls[k.Partner+" "+k.Outcome]++
	}
	fmt.Fprintf(out, "calls that the partners received: %v\n", calls)
	return nil
}
