package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"

	"basaltcross.example/basaltcross/internal/journal"
)

// JournalResult holds the figures of a relay with one journal setting and one message class.
type JournalResult struct {
	Journal       string  `json:"journal"` // off, unsynced or synced
	Class         string  `json:"class"`
	Saturated     Result  `json:"full"`            // at saturation
	OpenLoop      Result  `json:"open"`            // open-loop run at Options.Rate
	RelativeToOff float64 `json:"of_off"`          // saturation throughput as a share of that without a journal
	Bytes         float64 `json:"bytes_a_message"` // bytes of journal records per delivered message
	PerGroup      float64 `json:"records_a_group"` // journal records per group commit
}

// Journal measures a relay without a journal, with an unsynced and with a synced one, one
// after the other. Each is measured with a class whose attempts are not recorded ("status")
// and one whose attempts are ("charge").
func Journal(ctx context.Context, o Options) ([]JournalResult, error) {
	dir, err := os.MkdirTemp("", "basaltcross-load-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	args := []string{"standin", "--quick", "--service", o.Service.String()}
	for range o.Partners {
		args = append(args, "--listen", "127.0.0.1:0")
	}
	host, err := o.start(ctx, dir, "standin", args...)
	if err != nil {
		return nil, err
	}
	defer host.stop()
	var out []JournalResult
	off := map[string]float64{}
	for _, kind := range []string{"off", "unsynced", "synced"} {
		for _, class := range []string{"status", "charge"} {
			name := kind + "-" + class
			if err := o.writeJournalConfig(dir, name, kind, host.addrs); err != nil {
				return nil, err
			}
			relay, err := o.start(ctx, dir, name, "relay", "--config", filepath.Join(dir, name+".cue"))
			if err != nil {
				return nil, err
			}
			var topics []string
			for i := range o.Partners {
				topics = append(topics, fmt.Sprintf("send/%s/p%d", class, i))
			}
			r := JournalResult{Journal: kind, Class: class}
			for _, saturated := range []bool{false, true} {
				s, err := dialMQTT(relay.addrs[0], nil, o.Connections, name, topics)
				if err != nil {
					relay.stop()
					return nil, err
				}
				if saturated {
					r.Saturated = relay.measure(func() Result { return saturate(ctx, name, s, o.Window, o.Duration) })
				} else {
					r.OpenLoop = relay.measure(func() Result { return openLoop(ctx, name, s, o.Rate, o.Duration) })
				}
				s.close()
			}
			if kind != "off" {
				stats, err := journalStats(relay.labelled["metrics"])
				if err != nil {
					relay.stop()
					return nil, fmt.Errorf("load: %w", err)
				}
				r.Bytes = float64(stats.Bytes) / float64(max(1, r.Saturated.OK+r.OpenLoop.OK))
				r.PerGroup = float64(stats.Records) / float64(max(1, stats.Groups))
			}
			relay.stop()
			if kind == "off" {
				off[class] = r.Saturated.PerSec
			}
			r.RelativeToOff = r.Saturated.PerSec / off[class]
			out = append(out, r)
		}
	}
	return out, nil
}

// journalStats fetches the journal's counters from the metrics listener of a relay.
func journalStats(addr string) (s journal.Stats, err error) {
	r, err := (&http.Client{Timeout: 10 * time.Second}).Get("http://" + addr + "/journal")
	if err != nil {
		return s, err
	}
	defer r.Body.Close()
	return s, json.NewDecoder(r.Body).Decode(&s)
}

// writeJournalConfig writes NAME.cue, the configuration of a relay with the given kind of journal, and
// NAME.list, its list of endpoints, to dir.
func (o *Options) writeJournalConfig(dir, name, kind string, ends []string) error {
	var b, list strings.Builder
	fmt.Fprintf(&b, `relay: {workers: %d, held: 100000, attempts: 4}
classes: [
	{name: "status", aim: "2s", deadline: "10s", effect: "safe"},
	{name: "charge", aim: "2s", deadline: "10s", effect: "unsafe"},
]
kinds: [{name: "fast", refusalNeverRan: true}]
limits: {arrivals: 100000, identities: {count: 4000000, keep: "5s"}}
mqtt: {listen: ["127.0.0.1:0"], receiveMaximum: 65535, pending: 65535}
partnerCalls: idlePerHost: 1024
directory: file: "%s.list"
metrics: listen: "127.0.0.1:0"
log: level: "error"
`, max(64, o.Window), name)
	if kind != "off" {
		fmt.Fprintf(&b, "journal: {dir: %q, sync: %v}\n", name, kind == "synced")
	}
	b.WriteString("partners: [\n")
	list.WriteString("endpoints: [\n")
	for i, e := range ends {
		fmt.Fprintf(&b, "\t{name: \"p%d\", kind: \"fast\"},\n", i)
		fmt.Fprintf(&list, "\t{addr: %q, partner: \"p%d\"},\n", e, i)
	}
	b.WriteString("]\n")
	list.WriteString("]\n")
	if err := os.WriteFile(filepath.Join(dir, name+".list"), []byte(list.String()), 0o600); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, name+".cue"), []byte(b.String()), 0o600)
}

// PrintJournal writes results as a table.
func PrintJournal(w io.Writer, results []JournalResult) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t,
		"journal\tclass\tsaturated\tof off\tCPU a message\tp50 at rate\tp99 at rate\tbytes a message\trecords a group\t")
	for _, r := range results {
		fmt.Fprintf(t, "%s\t%s\t%.0f/s\t%.2f\t%v\t%v\t%v\t%.0f\t%.1f\t\n", r.Journal, r.Class, r.Saturated.PerSec,
			r.RelativeToOff,
			r.Saturated.CPU.Round(time.Microsecond), r.OpenLoop.P50.Round(10*time.Microsecond),
			r.OpenLoop.P99.Round(10*time.Microsecond), r.Bytes, r.PerGroup)
	}
	_ = t.Flush()
}
