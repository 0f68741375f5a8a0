package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"basaltcross.example/basaltcross/internal/directory"
	"basaltcross.example/basaltcross/internal/http1"
	"basaltcross.example/basaltcross/internal/lifecycle"
	"basaltcross.example/basaltcross/internal/member"
)

// Target is one host as discovery has it.
type Target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Kind     string  `json:"model"`
	Dest     int     `json:"pod_group"`
	State    string  `json:"state"`
	Rate     float64 `json:"capacity_hint"`
	BootMs   int64   `json:"boot_ms"`
}

// List is a list of hosts, or what changed in one.
type List struct {
	Rev     int64    `json:"rev"`
	All     bool     `json:"all"`
	Targets []Target `json:"targets"`
}

const (
	// silence is how long a watch may bring nothing: the agent sends an empty line
	// every 2 s (PROTOCOL), and half of that is left for one that is late.
	silence = 3 * time.Second
	// atOnce is how long the first list of a process is waited for before the one that
	// it knew from earlier counts: the agent answers at once, but while it is silent.
	atOnce = time.Second
)

// mostLine bounds one line of a watch, a whole list, in bytes.
const mostLine = 2 << 20

// Watch is the source of the list; directory.Source.
type Watch struct {
	Client *Client
	Known  List           // as the relay last held it
	Told   func(dest int) // of each destination that a list names; may be nil
	Keep   func(List)     // takes the whole list each time it has changed; may be nil

	list map[string]Target
	rev  int64
	by   time.Time // the known list counts then at the latest
	said bool      // a list was reported
}

// Settings of the source: what the platform says stands at once.
func (w *Watch) Settings() member.SourceSettings {
	return member.SourceSettings{Name: "discovery", Authoritative: true}
}

// Origin is the same wherever the agent listens.
func (w *Watch) Origin() string { return "platform" }

// Follow reports what the watch brings until ctx ends, on top of the known list. That
// counts by itself only where the agent does not answer at once: what it has counts as
// told from the first moment on. A watch that ends or falls silent is opened again
// where it stood.
func (w *Watch) Follow(ctx context.Context, to directory.Receiver) {
	w.list, w.by = map[string]Target{}, time.Now().Add(atOnce)
	if w.rev = w.Known.Rev; len(w.Known.Targets) > 0 {
		w.change(w.Known.Targets)
	}
	for fails := 0; ctx.Err() == nil; {
		addr, moved := w.Client.at()
		heard, err := w.watch(ctx, addr, moved, to)
		if heard {
			fails = 0
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errMoved) {
			continue
		}
		if !errors.Is(err, errEnded) || !heard {
			to.ReportError(err)
		}
		w.known(to)
		timer := time.NewTimer(backOff(fails))
		fails++
		select {
		case <-ctx.Done():
		case <-moved:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// known has the list from earlier count, if none was reported yet.
func (w *Watch) known(to directory.Receiver) {
	if !w.said && len(w.list) > 0 {
		w.report(to)
	}
}

// watch follows one connection; heard tells whether it brought anything.
func (w *Watch) watch(ctx context.Context, addr string, moved <-chan struct{},
	to directory.Receiver) (heard bool, err error) {
	within := silence
	if !w.said {
		within = max(time.Until(w.by), time.Millisecond)
	}
	l, err := w.Client.dial(ctx, addr, within, moved)
	if err != nil {
		return false, err
	}
	defer l.close()
	request := "GET /discovery/hosts?watch=1&after=" + strconv.FormatInt(w.rev, 10) + " HTTP/1.1\r\nHost: " + addr + "\r\n\r\n"
	if err := l.ask([]byte(request)); err != nil {
		return false, err
	}
	a := &answer{}
	a.Prefix = "HTTP/"
	a.Reset(http1.Limits{Header: 16 << 10, Body: math.MaxInt})
	var parts objects
	a.content = func(b []byte) error {
		if a.status != 200 {
			return nil
		}
		return parts.feed(b, func(object []byte) error { return w.object(object, to) }, to.ReportAlive)
	}
	for last := time.Now(); ; {
		left := silence - time.Since(last)
		if !w.said {
			left = min(left, time.Until(w.by))
		}
		b, err := l.read(ctx, left, moved)
		if errors.Is(err, errSilent) && !w.said && time.Since(last) < silence {
			w.by = last.Add(silence)
			w.known(to)
			continue
		}
		if err != nil {
			return heard, err
		}
		last = time.Now()
		if l.believe(false) != lifecycle.Certain {
			return heard, errNobodys
		}
		if _, err := a.Feed(b, a); err != nil {
			return heard, err
		}
		if a.status != 0 && a.status != 200 {
			return heard, fmt.Errorf("agent: the watch was answered with %d", a.status)
		}
		heard = true
		if a.Done() {
			return heard, errEnded
		}
	}
}

// objects cuts the content of a watch into JSON objects, however they are laid out over
// lines, and the empty lines between them.
type objects struct {
	buf     []byte
	depth   int
	quoted  bool // within a string
	escaped bool // after a backslash in one
}

// feed takes in a piece; object gets each whole object, alive is told of empty lines.
func (o *objects) feed(b []byte, object func([]byte) error, alive func()) error {
	from := 0
	for i, x := range b {
		switch {
		case o.escaped:
			o.escaped = false
		case o.quoted:
			o.escaped, o.quoted = x == '\\', x != '"'
		case x == '{' || x == '[':
			o.depth++
		case o.depth == 0 && x == '\n':
			alive()
			from = i + 1
		case o.depth == 0 && (x == ' ' || x == '\t' || x == '\r'):
			from = i + 1
		case o.depth == 0:
			return fmt.Errorf("agent: %q between the lists of a watch", x)
		case x == '"':
			o.quoted = true
		case x == '}' || x == ']':
			if o.depth--; o.depth == 0 {
				o.buf = append(o.buf, b[from:i+1]...)
				from = i + 1
				if err := object(o.buf); err != nil {
					return err
				}
				o.buf = o.buf[:0]
			}
		}
	}
	if o.buf = append(o.buf, b[from:]...); len(o.buf) > mostLine {
		return fmt.Errorf("agent: a list of over %d bytes", mostLine)
	}
	return nil
}

// object takes in one list of the watch. One that is older than what is held says
// nothing: revisions only grow, and it would bring back hosts that have left.
func (w *Watch) object(text []byte, to directory.Receiver) error {
	var l List
	if err := json.Unmarshal(text, &l); err != nil {
		return fmt.Errorf("agent: a list of the watch: %w", err)
	}
	if l.Rev < w.rev {
		to.ReportAlive()
		w.known(to)
		return nil
	}
	if l.All {
		clear(w.list)
	}
	w.rev = l.Rev
	w.change(l.Targets)
	w.report(to)
	if w.Keep != nil && (l.All || len(l.Targets) > 0) {
		all := List{Rev: w.rev, All: true, Targets: make([]Target, 0, len(w.list))}
		for _, uid := range slices.Sorted(maps.Keys(w.list)) {
			all.Targets = append(all.Targets, w.list[uid])
		}
		w.Keep(all)
	}
	return nil
}

// change brings the list up to date.
func (w *Watch) change(targets []Target) {
	for _, t := range targets {
		if t.State == "removed" || t.UID == "" {
			delete(w.list, t.UID)
		} else {
			w.list[t.UID] = t
		}
	}
}

// report tells the whole list.
func (w *Watch) report(to directory.Receiver) {
	w.said = true
	r := member.Report{Fresh: true, Entries: make([]member.Entry, 0, len(w.list))}
	for _, t := range w.list {
		if w.Told != nil {
			w.Told(t.Dest)
		}
		r.Entries = append(r.Entries, member.Entry{ID: t.UID, Addr: t.UID, Addrs: []string{t.Endpoint}, Partner: strconv.Itoa(t.Dest),
			Kind: t.Kind, Zone: t.Zone, Rate: t.Rate, Draining: t.State != "up"})
	}
	to.Report(r)
}
