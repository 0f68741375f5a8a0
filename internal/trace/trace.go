// Package trace writes and reads the steps of requests: one JSON object a line, in the log of each process and
// in one file of the emulated platform, all on the machine's monotonic clock, which nobody sets.
package trace

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// Step is one step of a request, or of the connection that carried it.
type Step struct {
	Cause  string `json:"cause"`   // Cause
	ID     string `json:"id"`      // of the request, or of the connection
	Name   string `json:"step"`    // what was done
	At     int64  `json:"mono_us"` // microseconds on the monotonic clock
	PID    int    `json:"pid"`     // of the process; one log may hold several
	Values map[string]any
	Source string // the file without its extension
}

// Cause marks the lines of a log that are steps.
const Cause = "trace"

// fields name the value of a step.
var fields = map[string]string{"read": "connection", "taken": "number", "send": "host", "begun": "timeout", "call": "connection", "unconfirmed": "until", "result": "outcome", "ended": "verdict",
	"told": "verdict", "taken_back": "number", "overdue": "said", "response": "status", "close": "reason", "error": "error"}

// Field is the name of the value that a step has.
func Field(step string) string { return cmp.Or(fields[step], "value") }

// Now is the monotonic clock in microseconds; all processes of a machine read the same.
func Now() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		return 0
	}
	return t.Nano() / int64(time.Microsecond)
}

// File is that of the emulated platform's steps in a folder of logs.
const File = "platform.log"

// Read collects the steps of one request from a folder of logs, in their order: its own, and those of the
// connection that it was read from, in the process that read it. Lines that are no steps are passed over.
func Read(dir, id string) ([]Step, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		return nil, fmt.Errorf("trace: %w", err)
	}
	if len(files) == 0 {
		return nil, fmt.Errorf("trace: %s holds no logs", dir)
	}
	var all []Step
	for _, path := range files {
		steps, err := readFile(path)
		if err != nil {
			return nil, err
		}
		all = append(all, of(steps, id)...)
	}
	slices.SortStableFunc(all, func(x, y Step) int { return cmp.Compare(x.At, y.At) })
	return all, nil
}

// of picks the steps of a request and of its connections.
func of(steps []Step, id string) (some []Step) {
	type connection struct {
		pid  int
		name string
	}
	carried := map[connection]bool{}
	for _, s := range steps {
		if s.ID == id && s.Name == "read" {
			carried[connection{s.PID, fmt.Sprint(s.Values[Field("read")])}] = true
		}
	}
	for _, s := range steps {
		if s.ID == id || carried[connection{s.PID, s.ID}] {
			some = append(some, s)
		}
	}
	return some
}

func readFile(path string) (steps []Step, err error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("trace: %w", err)
	}
	defer f.Close()
	source := strings.TrimSuffix(filepath.Base(path), ".log")
	lines := bufio.NewReader(f)
	for {
		line, err := lines.ReadBytes('\n')
		if s, ok := parse(line); ok {
			s.Source = source
			steps = append(steps, s)
		}
		if errors.Is(err, io.EOF) {
			return steps, nil
		}
		if err != nil {
			return nil, fmt.Errorf("trace: %w", err)
		}
	}
}

// Time is the moment of a step, by this process's clock.
func Time(monoMicroseconds int64) time.Time {
	return time.Now().Add(time.Duration(monoMicroseconds-Now()) * time.Microsecond)
}

// marker is in each line that is a step, as the program writes it.
var marker = []byte(`"cause":"` + Cause + `"`)

// Parse reads a line of a program's log; false for one that is no step.
func Parse(line []byte) (s Step, ok bool) {
	if !bytes.Contains(line, marker) {
		return s, false
	}
	return parse(line)
}

// parse reads a line; false for one that is no step.
func parse(line []byte) (s Step, ok bool) {
	if json.Unmarshal(line, &s) != nil || s.Cause != Cause {
		return s, false
	}
	if json.Unmarshal(line, &s.Values) != nil {
		return s, false
	}
	for _, known := range []string{"cause", "id", "step", "mono_us", "pid", "time", "level"} {
		delete(s.Values, known)
	}
	return s, true
}

// Print writes steps with their times since the first.
func Print(w io.Writer, steps []Step) {
	for _, s := range steps {
		fmt.Fprintf(w, "%+12.3f ms  %-9s %-12s %-10s", float64(s.At-steps[0].At)/1e3, s.Source, s.ID, s.Name)
		for _, name := range slices.Sorted(maps.Keys(s.Values)) {
			fmt.Fprintf(w, " %s=%v", name, s.Values[name])
		}
		fmt.Fprintln(w)
	}
}
