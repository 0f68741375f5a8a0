package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
	"time"

	"basaltcross.example/basaltcross/internal/directory"
	"basaltcross.example/basaltcross/internal/http1"
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

// silence is how long a watch may bring nothing: the agent sends an empty line
// every 2 s (PROTOCOL), and half of that is left for one that is late.
const silence = 3 * time.Second

// mostLine bounds one line of a watch, a whole list, in bytes.
const mostLine = 2 << 20

// Watch is the source of the list; directory.Source.
type Watch struct {
	Client *Client
	Known  List           // as the relay last held it
	Told   func(dest int) // of each destination that a list names; may be nil

	list map[string]Target
	rev  int64
}

// Settings of the source: what the platform says stands at once.
func (w *Watch) Settings() member.SourceSettings {
	return member.SourceSettings{Name: "discovery", Sure: true}
}

// Origin is the same wherever the agent listens.
func (w *Watch) Origin() string { return "platform" }

// Follow reports the known list, then what the watch brings, until ctx ends. A watch
// that ends or falls silent is opened again where it stood.
func (w *Watch) Follow(ctx context.Context, to directory.News) {
	w.list = map[string]Target{}
	if len(w.Known.Targets) > 0 {
		w.Known.All = true
		w.take(w.Known, to)
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
			to.Failed(err)
		}
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

// watch follows one connection; heard tells whether it brought anything.
func (w *Watch) watch(ctx context.Context, addr string, moved <-chan struct{}, to directory.News) (heard bool, err error) {
	l, err := w.Client.dial(ctx, addr, silence)
	if err != nil {
		return false, err
	}
	defer l.close()
	request := "GET /discovery/hosts?watch=1&after=" + strconv.FormatInt(w.rev, 10) + " HTTP/1.1\r\nHost: " + addr + "\r\n\r\n"
	if _, err := l.nb.Write([]byte(request)); err != nil {
		return false, fmt.Errorf("agent: %w", err)
	}
	a := &answer{}
	a.Prefix = "HTTP/"
	a.Reset(http1.Limits{Header: 16 << 10, Body: math.MaxInt})
	var line []byte
	a.content = func(b []byte) error {
		if a.status != 200 {
			return nil
		}
		for len(b) > 0 {
			i := bytes.IndexByte(b, '\n')
			if i < 0 {
				line = append(line, b...)
				break
			}
			line = append(line, b[:i]...)
			b = b[i+1:]
			if err := w.line(line, to); err != nil {
				return err
			}
			line = line[:0]
		}
		if len(line) > mostLine {
			return fmt.Errorf("agent: a line of over %d bytes", mostLine)
		}
		return nil
	}
	for {
		b, err := l.read(ctx, silence, moved)
		if err != nil {
			return heard, err
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

// line takes in one line of the watch; an empty one keeps it alive.
func (w *Watch) line(line []byte, to directory.News) error {
	line = bytes.TrimSpace(line)
	if len(line) == 0 {
		to.Heard()
		return nil
	}
	var l List
	if err := json.Unmarshal(line, &l); err != nil {
		return fmt.Errorf("agent: a line of the watch: %w", err)
	}
	w.take(l, to)
	return nil
}

// take brings the list up to date and reports it.
func (w *Watch) take(l List, to directory.News) {
	if l.All {
		clear(w.list)
	}
	w.rev = max(w.rev, l.Rev)
	for _, t := range l.Targets {
		if t.State == "removed" || t.UID == "" {
			delete(w.list, t.UID)
		} else {
			w.list[t.UID] = t
		}
	}
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
