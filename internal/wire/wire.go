// Package wire implements the simulator's line protocol. It translates the
// simulator's messages to events of package choice, and the resulting actions
// back to messages; all decisions are made by package choice.
//
// A line holds the name of a message and fields of the form name=value,
// separated by tabs. The simulator sends batches, each from BATCH to YOUR_TURN;
// after each batch it reads messages until DONE.
package wire

import (
	"bufio"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"time"

	"basaltcross.example/basaltcross/choice"
	"basaltcross.example/basaltcross/internal/platform/settings"
)

// outcomes maps the values of the field "how" to outcomes.
var outcomes = map[string]choice.Outcome{
	"served": choice.Served, "server_error": choice.Error, "turned_away": choice.Refused,
	"no_answer": choice.Timeout, "no_connection": choice.NoConnection, "connection_lost": choice.Reset,
	"called_off": choice.Cancelled, "not_sent": choice.NotSent,
}

// line is a parsed line. Its methods convert fields; the first conversion error is kept in err.
type line struct {
	number int    // line number in the input, from 1
	name   string // name of the message
	fields map[string]string
	err    error
}

// parse parses a line. It clears the given map and uses it for the fields.
func parse(number int, text string, fields map[string]string) (*line, error) {
	clear(fields)
	l := &line{number: number, fields: fields}
	var rest string
	l.name, rest, _ = strings.Cut(text, "\t")
	for rest != "" {
		name, value, ok := strings.Cut(rest, "=")
		if !ok || name == "" || strings.Contains(name, "\t") {
			return nil, fmt.Errorf("line %d: %s: part %q is not name=value", number, l.name, rest)
		}
		rest = ""
		if name != "config" && name != "note-text" { // these fields extend to the end of the line
			value, rest, _ = strings.Cut(value, "\t")
		}
		if _, twice := l.fields[name]; twice {
			return nil, fmt.Errorf("line %d: %s: duplicate field %s", number, l.name, name)
		}
		l.fields[name] = value
	}
	return l, nil
}

// setError records an error of a field, unless the line has one already.
func (l *line) setError(field, what string) {
	if l.err == nil {
		l.err = fmt.Errorf("line %d: %s: field %s: %s", l.number, l.name, field, what)
	}
}

// text returns a field that must not be empty.
func (l *line) text(field string) string {
	v := l.fields[field]
	if v == "" {
		l.setError(field, "missing")
	}
	return v
}

// float returns a finite number. A field that is absent and not required is 0.
func (l *line) float(field string, required bool) float64 {
	v, ok := l.fields[field]
	if !ok || v == "" {
		if required || ok {
			l.setError(field, "missing")
		}
		return 0
	}
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		l.setError(field, fmt.Sprintf("%q is not a number", v))
		return 0
	}
	return f
}

// seconds returns a time span given in seconds.
func (l *line) seconds(field string, required bool) time.Duration {
	f := l.float(field, required)
	if math.Abs(f) > 1e9 {
		l.setError(field, fmt.Sprintf("%g seconds is out of range", f))
		return 0
	}
	return seconds(f)
}

// integer returns an integer. A field that is absent and not required is 0.
func (l *line) integer(field string, required bool) int {
	v, ok := l.fields[field]
	if !ok && !required {
		return 0
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil {
		if v == "" {
			l.setError(field, "missing")
		} else {
			l.setError(field, fmt.Sprintf("%q is not an integer", v))
		}
	}
	return int(n)
}

// outcome returns the outcome of an attempt.
func (l *line) outcome(field string) choice.Outcome {
	o, ok := outcomes[l.text(field)]
	if !ok {
		l.setError(field, fmt.Sprintf("%q is not an outcome", l.fields[field]))
	}
	return o
}

// floats returns a list of numbers separated by commas. An absent or empty field and "-" are an empty list.
func (l *line) floats(field string) []float64 {
	v := l.fields[field]
	if v == "" || v == "-" {
		return nil
	}
	var row []float64
	for part := range strings.SplitSeq(v, ",") {
		f, err := strconv.ParseFloat(part, 64)
		if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
			l.setError(field, fmt.Sprintf("%q is not a list of numbers separated by commas", v))
			return nil
		}
		row = append(row, f)
	}
	return row
}

// seconds converts seconds to a duration, rounded to microseconds.
func seconds(f float64) time.Duration { return time.Duration(math.Round(f*1e6)) * time.Microsecond }

// instance is the Chooser of one simulated relay, with its events of the current batch.
type instance struct {
	name    string
	chooser *choice.Chooser
	events  []choice.Event
	queued  bool // in server.pending: the batch has an event for it
}

// server is the state of one session of the protocol.
type server struct {
	in        *bufio.Reader
	out       *bufio.Writer
	number    int                   // number of the last line read
	fields    map[string]string     // fields of the last line read
	sheets    map[int][]choice.Host // host lists by sheet number
	instances map[string]*instance  // instances by relay name
	pending   []*instance           // instances with events in the current batch, in order of their first event
}

// Serve reads batches from r and writes the resulting actions to w until the input ends.
func Serve(r io.Reader, w io.Writer) error {
	s := &server{in: bufio.NewReaderSize(r, 1<<16), out: bufio.NewWriterSize(w, 1<<16),
		fields: map[string]string{}, sheets: map[int][]choice.Host{}, instances: map[string]*instance{}}
	for {
		l, err := s.read()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err == nil {
			err = s.batch(l)
		}
		if errors.Is(err, io.EOF) {
			return fmt.Errorf("line %d: input ends within a batch, before YOUR_TURN", s.number)
		}
		if err != nil {
			return err
		}
	}
}

// read returns the next non-empty line.
func (s *server) read() (*line, error) {
	for {
		text, err := s.in.ReadString('\n')
		if err != nil && (text == "" || !errors.Is(err, io.EOF)) {
			return nil, err
		}
		s.number++
		if text = strings.TrimRight(text, "\r\n"); text != "" {
			return parse(s.number, text, s.fields)
		}
	}
}

// batch reads the rest of a batch and steps each instance that has events in it.
func (s *server) batch(l *line) error {
	if l.name != "BATCH" {
		return fmt.Errorf("line %d: got %s, want BATCH", l.number, l.name)
	}
	clock := l.seconds("clock", true)
	if l.err != nil {
		return l.err
	}
	s.pending = s.pending[:0]
	for {
		l, err := s.read()
		if err != nil {
			return err
		}
		if l.name == "YOUR_TURN" {
			break
		}
		if l.name == "CATALOG" {
			err = s.catalog(l)
		} else {
			err = s.event(l)
		}
		if err != nil {
			return err
		}
	}
	for _, in := range s.pending {
		if s.instances[in.name] == in {
			s.step(clock, in)
		}
	}
	s.out.WriteString("DONE\n")
	return s.out.Flush()
}

// step steps one Chooser and writes its actions. A panic is reported to the simulator as a BUG message.
func (s *server) step(clock time.Duration, in *instance) {
	defer func() {
		if p := recover(); p != nil {
			text := strings.NewReplacer("\n", " ", "\t", " ").Replace(fmt.Sprint(p))
			fmt.Fprintf(s.out, "BUG\trelay-id=%s\tnote-text=%s\n", in.name, text)
		}
	}()
	events := in.events
	in.events, in.queued = nil, false
	for _, a := range in.chooser.Step(clock, events) {
		s.print(in.name, a)
	}
}

// catalog reads the HOST lines of a CATALOG message and stores them under its sheet number.
func (s *server) catalog(l *line) error {
	sheet, n := l.integer("sheet", true), l.integer("records", true)
	if l.err != nil {
		return l.err
	}
	hosts := []choice.Host{}
	for range n {
		e, err := s.read()
		if err != nil {
			return err
		}
		if e.name != "HOST" {
			return fmt.Errorf("line %d: got %s, want HOST", e.number, e.name)
		}
		h := choice.Host{Addr: e.text("host"), Dest: e.integer("cell", true), Kind: e.integer("kind", false),
			Zone: e.integer("rack-zone", false), Rate: e.float("size", false)}
		switch state := e.integer("condition", false); state {
		case 0:
			h.State = choice.Gone
		case 1:
			h.State = choice.Ready
		case 2:
			h.State = choice.Draining
		default:
			e.setError("condition", fmt.Sprintf("%d is not a host state", state))
		}
		if e.err != nil {
			return e.err
		}
		hosts = append(hosts, h)
	}
	s.sheets[sheet] = hosts
	return nil
}

// event handles a message for one instance. Events are collected until the end of the batch.
func (s *server) event(l *line) error {
	name := l.text("relay-id")
	if l.err != nil {
		return l.err
	}
	in := s.instances[name]
	switch l.name {
	case "CONFIGURE":
		return s.configure(l, name)
	case "DETACH":
		delete(s.instances, name)
		return nil
	}
	e, err := s.translate(l)
	if err == nil {
		err = l.err
	}
	if err == nil && in == nil {
		err = fmt.Errorf("line %d: %s: field relay-id: relay %s is not configured", l.number, l.name, name)
	}
	if err != nil {
		return err
	}
	if !in.queued {
		in.queued = true
		s.pending = append(s.pending, in)
	}
	if e != nil {
		in.events = append(in.events, e)
	}
	return nil
}

// configure creates the instance of a CONFIGURE message, in place of an earlier one of the same name.
func (s *server) configure(l *line, name string) error {
	seed, err := strconv.ParseUint(l.text("entropy"), 10, 64)
	if err != nil {
		l.setError("entropy", "not an unsigned integer")
	}
	text := l.text("config")
	if l.err != nil {
		return l.err
	}
	set, err := settings.Parse([]byte(text))
	if err != nil {
		return fmt.Errorf("line %d: CONFIGURE: field config: %w", l.number, err)
	}
	c, err := choice.New(set.Settings, seed)
	if err != nil {
		return fmt.Errorf("line %d: CONFIGURE: field config: %w", l.number, err)
	}
	in := &instance{name: name, chooser: c, queued: true}
	s.instances[name] = in
	s.pending = append(s.pending, in)
	return nil
}

// translate translates a message to an event. It returns nil for messages that package choice does not use, whose
// fields are only checked.
func (s *server) translate(l *line) (choice.Event, error) {
	switch l.name {
	case "ACCEPT":
		return choice.Arrival{ID: l.text("op-id"), Class: l.integer("priority", false), Dest: l.integer("far-end", true),
			TimeLeft: l.seconds("left", true), Key: l.fields["subject"]}, nil
	case "ATTEMPT_END":
		return choice.Result{ID: l.text("op-id"), Host: l.text("host"), Attempt: l.integer("try", false),
			Outcome: l.outcome("how"), Took: l.seconds("cost-time", false), Done: l.integer("over", false) == 1,
			RetryAfter: time.Duration(l.integer("remark-ms", false)) * time.Millisecond, Report: l.floats("feedback")}, nil
	case "UPDATE":
		scope := l.integer("scope", false)
		if scope < 0 || scope > 3 {
			l.setError("scope", fmt.Sprintf("%d is not a scope from 0 to 3", scope))
		}
		if scope == 3 {
			return choice.HostUpdate{Failed: true}, nil
		}
		sheet := l.integer("sheet", false)
		hosts, ok := s.sheets[sheet]
		if !ok {
			l.setError("sheet", fmt.Sprintf("no CATALOG with sheet %d", sheet))
		}
		return choice.HostUpdate{Full: scope != 0, Hosts: hosts}, nil
	case "CLIENT_GONE":
		return choice.Withdrawn{ID: l.text("op-id")}, nil
	case "FIRED":
		l.integer("tag", false)
		return choice.Woken{}, nil
	case "PROBE_DONE":
		l.text("host")
		l.outcome("how")
		return nil, nil // package choice sends no probes of its own
	case "FROM_PEER":
		if b := l.fields["bytes"]; b != "" && b != "-" {
			if _, err := base64.StdEncoding.DecodeString(b); err != nil {
				l.setError("bytes", "not base64")
			}
		}
		return nil, nil
	case "FIRST_BYTE":
		l.text("op-id")
		return nil, nil
	}
	return nil, fmt.Errorf("line %d: unknown message %q", l.number, l.name)
}

// print writes an action as a message.
func (s *server) print(inst string, a choice.Action) {
	sec := func(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', -1, 64) }
	switch a := a.(type) {
	case choice.Send:
		fmt.Fprintf(s.out, "PLACE\trelay-id=%s\top-id=%s\thost=%s\tmax-wait=%s\n", inst, a.ID, a.Host, sec(a.Timeout))
	case choice.Refuse:
		fmt.Fprintf(s.out, "DENY\trelay-id=%s\top-id=%s\tnot-before-for=%s\n", inst, a.ID, sec(a.RetryAfter))
	case choice.Fail:
		fmt.Fprintf(s.out, "SURRENDER\trelay-id=%s\top-id=%s\n", inst, a.ID)
	case choice.Cancel:
		fmt.Fprintf(s.out, "REVOKE\trelay-id=%s\top-id=%s\ttry=%d\n", inst, a.ID, a.Attempt)
	case choice.CloseIdle:
		fmt.Fprintf(s.out, "DROP_CONNS\trelay-id=%s\thost=%s\n", inst, a.Host)
	case choice.Wake:
		fmt.Fprintf(s.out, "ARM\trelay-id=%s\twait=%s\ttag=0\n", inst, sec(a.After))
	case choice.Subscribe:
		fmt.Fprintf(s.out, "OBSERVE\trelay-id=%s\twant=1\n", inst)
	case choice.Log:
		fmt.Fprintf(s.out, "EMIT\trelay-id=%s\tnote-text=%s\n", inst, a.Text)
	}
}
