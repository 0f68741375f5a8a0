// Package trace defines and reads traces of requests. Each step of a request is one JSON object on a line
// of its own, in the log of each process and in one file of the emulated platform. The times are those of
// the machine's monotonic clock, which is never set and is the same for all processes.
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

// Step is one step of a request, or of the connection on which the request came.
type Step struct {
	Cause  string `json:"cause"`   // always Cause
	ID     string `json:"id"`      // identity of the request or of the connection
	Name   string `json:"step"`    // name of the step
	At     int64  `json:"mono_us"` // microseconds on the monotonic clock
	PID    int    `json:"pid"`     // process ID; a log may hold the steps of several processes
	Values map[string]any
	Source string // name of the log file without its extension
}

// Cause is the value of the field cause in log lines that are steps.
const Cause = "trace"

// valueNames are the names of the fields that hold a step's value, by name of the step.
var valueNames = map[string]string{"read": "connection", "taken": "number", "send": "host", "begun": "timeout", "call": "connection", "unproven": "consequence", "result": "outcome", "ended": "verdict",
	"told": "verdict", "taken_back": "number", "overdue": "said", "response": "status", "close": "reason", "error": "error"}

// Field returns the name of the field that holds the value of a step.
func Field(step string) string { return cmp.Or(valueNames[step], "value") }

// Now returns the time of the monotonic clock in microseconds; it is the same for all processes of a machine.
func Now() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		return 0
	}
	return t.Nano() / int64(time.Microsecond)
}

// File is the name of the file with the emulated platform's steps in a folder of logs.
const File = "platform.log"

// Read collects the steps of a request from a folder of logs, ordered by time: those of the request itself, and
// those of the connection from which a process read it, in that process. Lines that are not steps are skipped.
func Read(dir, id string) ([]Step, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		return nil, fmt.Errorf("trace: %w", err)
	}
	if len(files) == 0 {
		return nil, fmt.Errorf("trace: %s contains no files named *.log", dir)
	}
	var all []Step
	for _, path := range files {
		steps, err := readFile(path)
		if err != nil {
			return nil, err
		}
		all = append(all, stepsOf(steps, id)...)
	}
	slices.SortStableFunc(all, func(x, y Step) int { return cmp.Compare(x.At, y.At) })
	return all, nil
}

// stepsOf selects the steps of a request and of its connections.
func stepsOf(steps []Step, id string) (some []Step) {
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

// Time converts a time of the monotonic clock to a time.Time of this process.
func Time(monoMicroseconds int64) time.Time {
	return time.Now().Add(time.Duration(monoMicroseconds-Now()) * time.Microsecond)
}

// marker occurs in each log line that is a step, in the form in which the program writes it.
var marker = []byte(`"cause":"` + Cause + `"`)

// Parse parses a line of the program's log; ok is false if the line is not a step.
func Parse(line []byte) (s Step, ok bool) {
	if !bytes.Contains(line, marker) {
		return s, false
	}
	return parse(line)
}

// parse parses a line without the check for marker; ok is false if the line is not a step.
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

// Print writes steps as text, with their times relative to the first.
func Print(w io.Writer, steps []Step) {
	for _, s := range steps {
		fmt.Fprintf(w, "%+12.3f ms  %-9s %-12s %-10s", float64(s.At-steps[0].At)/1e3, s.Source, s.ID, s.Name)
		for _, name := range slices.Sorted(maps.Keys(s.Values)) {
			fmt.Fprintf(w, " %s=%v", name, s.Values[name])
		}
		fmt.Fprintln(w)
	}
}
