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

// Target is a host as the discovery service describes it.
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

// List is a list of hosts: all of them, or those that have changed.
type List struct {
	Rev     int64    `json:"rev"`
	All     bool     `json:"all"`
	Targets []Target `json:"targets"`
}

const (
	// watchTimeout is the longest time without data on a watch. The agent sends an empty line
	// every 2 s as a heartbeat (PROTOCOL); half of that is added for one that is late.
	watchTimeout = 3 * time.Second
	// firstListTimeout is how long a new process waits for the agent's first list before it uses
	// the known one. The agent answers at once unless it is unresponsive.
	firstListTimeout = time.Second
)

// maxListBytes bounds the size of one list of a watch.
const maxListBytes = 2 << 20

// Watch is a directory.Source that watches the agent's list of hosts.
type Watch struct {
	Client        *Client
	Known         List           // list known at the start, from an earlier run or the configuration
	OnDestination func(dest int) // called for each destination that a list names; may be nil
	OnList        func(List)     // called with the whole list each time it has changed; may be nil

	list       map[string]Target
	rev        int64
	fallbackAt time.Time // time at which the known list is reported if none has been received
	reported   bool      // whether a list has been reported
}

// Settings returns the settings of the source: its lists are authoritative and take effect at once.
func (w *Watch) Settings() member.SourceSettings {
	return member.SourceSettings{Name: "discovery", Authoritative: true}
}

// Origin returns the name of the origin, which does not depend on the agent's address.
func (w *Watch) Origin() string { return "platform" }

// Follow reports the lists of the watch, applied to the known list, until ctx ends. The known list is
// reported by itself only if the agent does not answer at once, so that the first report already
// holds the agent's current state. A watch that ends or times out is reopened from its last revision.
func (w *Watch) Follow(ctx context.Context, to directory.Receiver) {
	w.list, w.fallbackAt = map[string]Target{}, time.Now().Add(firstListTimeout)
	if w.rev = w.Known.Rev; len(w.Known.Targets) > 0 {
		w.apply(w.Known.Targets)
	}
	for fails := 0; ctx.Err() == nil; {
		addr, addrChanged := w.Client.address()
		heard, err := w.followConn(ctx, addr, addrChanged, to)
		if heard {
			fails = 0
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errAddrChanged) {
			continue
		}
		if !errors.Is(err, errConnClosed) || !heard {
			to.ReportError(err)
		}
		w.reportKnown(to)
		timer := time.NewTimer(backOff(fails))
		fails++
		select {
		case <-ctx.Done():
		case <-addrChanged:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// reportKnown reports the known list if no list has been reported yet.
func (w *Watch) reportKnown(to directory.Receiver) {
	if !w.reported && len(w.list) > 0 {
		w.report(to)
	}
}

// followConn follows the watch over one connection; heard says whether it received anything valid.
func (w *Watch) followConn(ctx context.Context, addr string, addrChanged <-chan struct{},
	to directory.Receiver) (heard bool, err error) {
	within := watchTimeout
	if !w.reported {
		within = max(time.Until(w.fallbackAt), time.Millisecond)
	}
	l, err := w.Client.dial(ctx, addr, within, addrChanged)
	if err != nil {
		return false, err
	}
	defer l.close()
	request := "GET /discovery/hosts?watch=1&after=" + strconv.FormatInt(w.rev, 10) + " HTTP/1.1\r\nHost: " + addr + "\r\n\r\n"
	if err := l.send([]byte(request)); err != nil {
		return false, err
	}
	a := &response{}
	a.Prefix = "HTTP/"
	a.Reset(http1.Limits{Header: 16 << 10, Body: math.MaxInt})
	var parts objectSplitter
	a.content = func(b []byte) error {
		if a.status != 200 {
			return nil
		}
		return parts.feed(b, func(object []byte) error { return w.applyList(object, to) }, to.ReportAlive)
	}
	for last := time.Now(); ; {
		left := watchTimeout - time.Since(last)
		if !w.reported {
			left = min(left, time.Until(w.fallbackAt))
		}
		b, err := l.read(ctx, left, addrChanged)
		if errors.Is(err, errTimeout) && !w.reported && time.Since(last) < watchTimeout {
			w.fallbackAt = last.Add(watchTimeout)
			w.reportKnown(to)
			continue
		}
		if err != nil {
			return heard, err
		}
		last = time.Now()
		if l.attribute(false) != lifecycle.Certain {
			return heard, errUnsolicited
		}
		if _, err := a.Feed(b, a); err != nil {
			return heard, err
		}
		if a.status != 0 && a.status != 200 {
			return heard, fmt.Errorf("agent: the watch was answered with status %d", a.status)
		}
		heard = true
		if a.Done() {
			return heard, errConnClosed
		}
	}
}

// objectSplitter splits the content of a watch into JSON objects and the empty lines between them.
// An object may span several lines.
type objectSplitter struct {
	buf     []byte
	depth   int
	quoted  bool // inside a string
	escaped bool // after a backslash inside a string
}

// feed processes a piece of the content. It calls object for each complete object and alive for each
// empty line.
func (o *objectSplitter) feed(b []byte, object func([]byte) error, alive func()) error {
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
			return fmt.Errorf("agent: unexpected %q between two lists of the watch", x)
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
	if o.buf = append(o.buf, b[from:]...); len(o.buf) > maxListBytes {
		return fmt.Errorf("agent: a list of the watch is larger than %d bytes", maxListBytes)
	}
	return nil
}

// applyList applies one list of the watch and reports the result. A list with an older revision is
// ignored: revisions only increase, and it would bring back hosts that have left.
func (w *Watch) applyList(text []byte, to directory.Receiver) error {
	var l List
	if err := json.Unmarshal(text, &l); err != nil {
		return fmt.Errorf("agent: invalid list of the watch: %w", err)
	}
	if l.Rev < w.rev {
		to.ReportAlive()
		w.reportKnown(to)
		return nil
	}
	if l.All {
		clear(w.list)
	}
	w.rev = l.Rev
	w.apply(l.Targets)
	w.report(to)
	if w.OnList != nil && (l.All || len(l.Targets) > 0) {
		all := List{Rev: w.rev, All: true, Targets: make([]Target, 0, len(w.list))}
		for _, uid := range slices.Sorted(maps.Keys(w.list)) {
			all.Targets = append(all.Targets, w.list[uid])
		}
		w.OnList(all)
	}
	return nil
}

// apply adds, replaces or removes targets of the list.
func (w *Watch) apply(targets []Target) {
	for _, t := range targets {
		if t.State == "removed" || t.UID == "" {
			delete(w.list, t.UID)
		} else {
			w.list[t.UID] = t
		}
	}
}

// report reports the whole list.
func (w *Watch) report(to directory.Receiver) {
	w.reported = true
	r := member.Report{Fresh: true, Entries: make([]member.Entry, 0, len(w.list))}
	for _, t := range w.list {
		if w.OnDestination != nil {
			w.OnDestination(t.Dest)
		}
		r.Entries = append(r.Entries, member.Entry{ID: t.UID, Addr: t.UID, Addrs: []string{t.Endpoint}, Partner: strconv.Itoa(t.Dest),
			Kind: t.Kind, Zone: t.Zone, Rate: t.Rate, Draining: t.State != "up"})
	}
	to.Report(r)
}
