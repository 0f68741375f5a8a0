package zone

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"sync"
	"text/tabwriter"
	"time"
)

// Row is the traffic of one class with one zone, in total or within one minute.
type Row struct {
	Minute  *time.Time `json:"minute,omitempty"`
	Class   string     `json:"class"` // "none" for traffic that belongs to no class
	Partner string     `json:"partner,omitempty"`
	Zone    string     `json:"zone"`
	Crosses bool       `json:"crosses"`
	Traffic
}

// Report describes a relay's traffic between zones.
type Report struct {
	Relay   string    `json:"relay"`
	Zone    string    `json:"zone"`
	At      time.Time `json:"at"`
	Totals  []Row     `json:"totals"`  // since the relay's start, by class, partner and zone
	Minutes []Row     `json:"minutes"` // by class and zone, the oldest first
	Budget  *State    `json:"budget,omitempty"`
}

// Reporter creates reports and records the traffic of each minute.
type Reporter struct {
	Relay                    string
	Classes, Partners, Zones []string
	Own                      int
	Table                    *Table
	Budget                   *Budget // nil if there is no budget
	Now                      func() time.Duration
	// File is the path of the file to which each minute's rows are appended as JSON lines; "" for
	// none. A file that would exceed MostFile bytes is renamed to File.1 and replaces the previous one.
	File   string
	Failed func(error) // called when the file can't be written; may be nil

	mu      sync.Mutex
	history *History
}

// MostFile bounds the size of a file of minutes, in bytes; there are at most two such files.
const MostFile = 16 << 20

// historyMinutes is the number of minutes that the history keeps: one day.
const historyMinutes = 24 * 60

// Run records each minute's traffic until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	r.mu.Lock()
	r.history = NewHistory(r.Table, historyMinutes)
	r.mu.Unlock()
	from := time.Now()
	for {
		next := from.Truncate(time.Minute).Add(time.Minute)
		t := time.NewTimer(time.Until(next))
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
			r.mu.Lock()
			r.history.Mark(from)
			rows := r.history.Last()
			r.mu.Unlock()
			if err := r.appendToFile(rows); err != nil && r.Failed != nil {
				r.Failed(err)
			}
			from = next
		}
	}
}

// appendToFile appends the rows of a minute to the file, in one write.
func (r *Reporter) appendToFile(rows []Minute) error {
	if r.File == "" || len(rows) == 0 {
		return nil
	}
	var b bytes.Buffer
	enc := json.NewEncoder(&b)
	for _, m := range rows {
		if err := enc.Encode(r.row(m)); err != nil {
			return fmt.Errorf("zone: %w", err)
		}
	}
	if st, err := os.Stat(r.File); err == nil && st.Size()+int64(b.Len()) > MostFile {
		if err := os.Rename(r.File, r.File+".1"); err != nil {
			return fmt.Errorf("zone: %w", err)
		}
	}
	f, err := os.OpenFile(r.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o640)
	if err != nil {
		return fmt.Errorf("zone: %w", err)
	}
	_, err = f.Write(b.Bytes())
	return errors.Join(err, f.Close())
}

func (r *Reporter) row(m Minute) Row {
	return Row{Minute: &m.From, Class: r.class(m.Class), Zone: r.Zones[m.Zone], Crosses: m.Zone != r.Own, Traffic: m.Traffic}
}

// Read reads a file of minutes. Invalid lines, such as one that a crash has truncated, are counted and
// skipped.
func Read(in io.Reader) (rows []Row, broken int, err error) {
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var x Row
		if json.Unmarshal(lines.Bytes(), &x) != nil || x.Minute == nil {
			broken++
			continue
		}
		rows = append(rows, x)
	}
	return rows, broken, lines.Err()
}

func (r *Reporter) class(i int) string {
	if i < 0 {
		return "none"
	}
	return r.Classes[i]
}

// Report returns a report of the current state.
func (r *Reporter) Report() Report {
	out := Report{Relay: r.Relay, Zone: r.Zones[r.Own], At: time.Now(), Totals: []Row{}, Minutes: []Row{}}
	r.Table.Each(func(class, partner, zone int, x Traffic) {
		out.Totals = append(out.Totals, Row{Class: r.class(class), Partner: r.Partners[partner], Zone: r.Zones[zone],
			Crosses: zone != r.Own, Traffic: x})
	})
	r.mu.Lock()
	if r.history != nil {
		for _, m := range r.history.Rows() {
			out.Minutes = append(out.Minutes, r.row(m))
		}
	}
	r.mu.Unlock()
	if r.Budget != nil {
		s := r.Budget.State(r.Now())
		out.Budget = &s
	}
	return out
}

// Print writes the report as a table by class and zone, followed by the rows of each minute if minutes is
// set, and the state of the budget.
func (r *Report) Print(w io.Writer, minutes bool) {
	fmt.Fprintf(w, "%s in zone %s at %s\n", r.Relay, r.Zone, r.At.Format(time.RFC3339))
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	line := func(x Row, first string) {
		mark := ""
		if x.Crosses {
			mark = "crosses"
		}
		fmt.Fprintf(t, "%s%s\t%s\t%d\t%d\t%d\t%s\t\n", first, x.Class, x.Zone, x.Calls, x.Out, x.In, mark)
	}
	fmt.Fprintln(t, "class\tzone\tcalls\tbytes out\tbytes in\t\t")
	sum := map[[2]string]Row{}
	for _, x := range r.Totals {
		k := [2]string{x.Class, x.Zone}
		s := sum[k]
		s.Class, s.Zone, s.Crosses = x.Class, x.Zone, x.Crosses
		s.Traffic = Traffic{s.Out + x.Out, s.In + x.In, s.Calls + x.Calls}
		sum[k] = s
	}
	var rows []Row
	for _, x := range sum {
		rows = append(rows, x)
	}
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.Zone, b.Zone)) })
	for _, x := range rows {
		line(x, "")
	}
	if minutes {
		for _, x := range r.Minutes {
			line(x, x.Minute.Format("15:04")+" ")
		}
	}
	_ = t.Flush()
	if b := r.Budget; b != nil {
		fmt.Fprintf(w, "budget: %.0f bytes left, %.0f reserved, %.0f spent, %.0f overdrawn, %.0f beyond reservations\n",
			b.Have, b.Reserved, b.Spent, b.Overdrawn, b.Beyond)
	}
}
