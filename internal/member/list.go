// Package member derives membership from the reports of sources such as a list file or a
// catalogue: which endpoints take new work, when one that is no longer reported is
// removed, when a report is too implausible to act on at once, and how many relays the
// fleet has. It does no I/O, reads no clock and uses no randomness.
package member

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Health is the health of an endpoint as a catalogue reports it.
type Health int

// The states of health.
const (
	Unknown Health = iota // the endpoint has no checks
	Passing
	Warning
	Critical
)

// Entry is one endpoint as a source reports it.
type Entry struct {
	ID       string   `json:"id,omitempty"`    // ID within the source; empty if the address is the ID
	Addr     string   `json:"addr"`            // name or only address, by which endpoints are distinguished
	Addrs    []string `json:"addrs,omitempty"` // addresses to connect to; empty for Addr alone
	Partner  string   `json:"partner"`
	Kind     string   `json:"kind,omitempty"` // empty for the partner's kind
	Zone     string   `json:"zone"`
	Rate     float64  `json:"rate,omitempty"`     // calls a second; 0 if the source gives none
	Draining bool     `json:"draining,omitempty"` // an operator asked for it; independent of health
	Health   Health   `json:"health,omitempty"`
}

// same reports whether two entries agree in all that is passed on to the core, apart from
// draining.
func (e *Entry) same(o *Entry) bool {
	return e.Addr == o.Addr && e.Partner == o.Partner && e.Zone == o.Zone && e.Kind == o.Kind && e.Rate == o.Rate &&
		slices.Equal(e.Addrs, o.Addrs)
}

// Report is the whole list of a source.
type Report struct {
	Entries []Entry
	// Fresh says that the report comes from a server that is up to date. The absence of
	// an entry from any other report does not prove that the endpoint is gone.
	Fresh bool
}

// SourceSettings says how far the reports of a source are trusted.
type SourceSettings struct {
	Name          string
	Authoritative bool // an endpoint that it no longer reports is removed at once, as with a file that people wrote
	UseHealth     bool // critical endpoints get no new work; otherwise no decision depends on health
}

// Settings configures a List.
type Settings struct {
	RemoveAfter  time.Duration // from the disappearance of an endpoint, which ends new work there, to its removal
	ConfirmAfter time.Duration // how long a disappearance must last that is implausible, or not in a Fresh report
	SilenceLimit time.Duration // silence after which a source yields to others that have the partner; 0 for no limit
}

const (
	// It is implausible that half of a list, and three endpoints at least, disappear at
	// once, or all endpoints of a partner, if these are two at least.
	massLossShare, massLossMin = 0.5, 3
	// panicShare is the share of a partner's endpoints above which critical health is
	// ignored: then the checks are more likely broken than the endpoints.
	panicShare = 0.5
	// Flap damping, as RFC 2439 has it for routes. An endpoint that repeatedly returns
	// from draining must stay ready for flapDelay before it takes new work, which
	// doubles with each return, up to maxFlapDelay. The count of drains halves every
	// flapHalfLife.
	// The change to draining is never delayed.
	flapDelay    = time.Second
	maxFlapDelay = time.Minute
	flapHalfLife = 30 * time.Second
)

// lostEntry is an entry that its source no longer reports.
type lostEntry struct {
	Entry
	since       time.Duration
	unconfirmed bool // implausible, or not in a fresh report: not acted on until Settings.ConfirmAfter after since
	moved       bool // the source reports its ID at another address now
}

// source is the state of one source.
type source struct {
	SourceSettings
	entries   map[string]Entry      // latest report, by address
	lost      map[string]*lostEntry // by address
	lastHeard time.Duration         // time of the latest sign of life
	reported  bool                  // whether it has reported at all
	// number of endpoints in the latest report by partner, and of critical ones among them
	endpoints, critical map[string]int
}

// knownEndpoint is an endpoint as Step last returned it, with the state of its flap damping.
type knownEndpoint struct {
	Entry
	listed     bool // on the list; otherwise kept only for its flap damping
	draining   bool
	flaps      float64       // number of drains, decaying
	decayedAt  time.Duration // time up to which the decay of flaps is accounted for
	readySince time.Duration // since when all sources want it ready; below 0 if they don't
}

// List merges the reports of several sources into one list of endpoints. It is not safe
// for concurrent use.
type List struct {
	settings Settings
	sources  []*source
	known    map[string]*knownEndpoint // by address
	dirty    map[string]bool           // addresses to be decided on in the next Step
	allDirty bool                      // whether all addresses are to be decided on
	nextStep time.Duration             // when the list may change without a report; below 0 for never
}

// NewList returns an empty list. Sources take precedence in their order.
func NewList(set Settings, sources []SourceSettings) *List {
	l := &List{settings: set, known: map[string]*knownEndpoint{}, dirty: map[string]bool{}, nextStep: -1}
	for _, s := range sources {
		l.sources = append(l.sources, &source{SourceSettings: s, entries: map[string]Entry{},
			lost: map[string]*lostEntry{}})
	}
	return l
}

// ReportAlive records a sign of life of a source, such as an answer without changes.
func (l *List) ReportAlive(now time.Duration, from int) {
	s := l.sources[from]
	if l.settings.SilenceLimit > 0 && s.reported && now-s.lastHeard > l.settings.SilenceLimit {
		l.allDirty = true // the source was ignored until now
	}
	s.lastHeard = now
}

// Report processes the list of a source. Of several entries with one address the first
// counts.
func (l *List) Report(now time.Duration, from int, r Report) {
	s := l.sources[from]
	l.ReportAlive(now, from)
	next := make(map[string]Entry, len(r.Entries))
	ids := make(map[string]bool, len(r.Entries))
	for _, e := range r.Entries {
		if _, twice := next[e.Addr]; !twice {
			next[e.Addr] = e
		}
		ids[cmp.Or(e.ID, e.Addr)] = true
	}
	var newlyLost []*lostEntry
	for addr, e := range s.entries {
		if _, still := next[addr]; still || s.Authoritative {
			continue
		}
		gone := &lostEntry{Entry: e, since: now, moved: ids[cmp.Or(e.ID, e.Addr)]}
		s.lost[addr] = gone
		l.dirty[addr] = true
		if !gone.moved {
			newlyLost = append(newlyLost, gone)
		}
	}
	healthChanged := map[string]bool{} // partners whose share of critical endpoints may have changed
	for addr, e := range next {
		delete(s.lost, addr)
		old, was := s.entries[addr]
		if !was || !old.same(&e) || old.Draining != e.Draining || s.UseHealth && old.Health != e.Health {
			l.dirty[addr] = true
		}
		if s.UseHealth && (!was || old.Health != e.Health) {
			healthChanged[e.Partner] = true
		}
	}
	for addr, e := range s.entries {
		if _, still := next[addr]; !still {
			l.dirty[addr], healthChanged[e.Partner] = true, true
		}
	}
	s.entries, s.reported = next, true
	s.endpoints, s.critical = map[string]int{}, map[string]int{}
	for addr, e := range next {
		if s.endpoints[e.Partner]++; e.Health == Critical {
			s.critical[e.Partner]++
		}
		if s.UseHealth && healthChanged[e.Partner] {
			l.dirty[addr] = true
		}
	}
	if doubted := !r.Fresh || s.massLoss(now, l.settings.ConfirmAfter); doubted {
		for _, x := range newlyLost {
			x.unconfirmed = true
		}
	} else {
		// Implausible only for partners that would be left without endpoints.
		left, had := map[string]int{}, map[string]int{}
		for _, e := range s.entries {
			left[e.Partner]++
		}
		for _, x := range s.lost {
			had[x.Partner]++
		}
		for _, x := range newlyLost {
			x.unconfirmed = left[x.Partner] == 0 && had[x.Partner] >= 2
		}
	}
}

// massLoss reports whether so much of the list disappeared lately that it is implausible.
func (s *source) massLoss(now, within time.Duration) bool {
	n := 0
	for _, x := range s.lost {
		if !x.moved && now-x.since < within {
			n++
		}
	}
	return n > 0 && (len(s.entries) == 0 || n >= massLossMin && float64(n) >= massLossShare*float64(n+len(s.entries)))
}

// desired is the state of an endpoint that follows from all sources together, before flap
// damping.
type desired struct {
	Entry
	draining bool
	lostOnly bool // no source reports the endpoint any more
}

// merge combines what the sources have on an address. It returns nil if none has it.
func (l *List) merge(now time.Duration, addr string) (w *desired) {
	for i, s := range l.sources {
		e, has := s.entries[addr]
		x, lost := s.lost[addr]
		if has && l.yields(now, i, e.Partner) || lost && l.yields(now, i, x.Partner) {
			continue
		}
		if has {
			unhealthy := s.UseHealth && e.Health == Critical &&
				float64(s.critical[e.Partner]) <= panicShare*float64(s.endpoints[e.Partner])
			switch {
			case w == nil:
				w = &desired{Entry: e, draining: e.Draining || unhealthy}
			case w.lostOnly:
				w.Entry, w.lostOnly, w.draining = e, false, e.Draining || unhealthy
			default:
				w.draining = w.draining || e.Draining || unhealthy
			}
		}
		if !lost {
			continue
		}
		age := now - x.since
		if x.unconfirmed && !x.moved {
			age -= l.settings.ConfirmAfter
		}
		if age >= l.settings.RemoveAfter {
			delete(s.lost, addr)
			continue
		}
		if age < 0 {
			l.stepBy(now - age)
		}
		l.stepBy(now - age + l.settings.RemoveAfter)
		if w == nil {
			w = &desired{Entry: x.Entry, draining: age >= 0 || x.Draining, lostOnly: true}
		}
	}
	return w
}

// silent reports whether a source has given no sign of life for longer than allowed.
func (l *List) silent(now time.Duration, s *source) bool {
	return l.settings.SilenceLimit > 0 && s.reported && now-s.lastHeard > l.settings.SilenceLimit
}

// yields reports whether the entries of a source for a partner are ignored: it is silent
// while another source, which isn't, has endpoints of the partner.
func (l *List) yields(now time.Duration, from int, partner string) bool {
	if !l.silent(now, l.sources[from]) {
		return false
	}
	for i, o := range l.sources {
		if i != from && !l.silent(now, o) && o.endpoints[partner] > 0 {
			return true
		}
	}
	return false
}

// stepBy has the next Step called at a time at the latest.
func (l *List) stepBy(t time.Duration) {
	if l.nextStep < 0 || t < l.nextStep {
		l.nextStep = t
	}
}

// EndpointState is an endpoint with its state as Step returns it.
type EndpointState struct {
	Entry
	Draining bool
}

// Step updates the list and returns what changed since the last call: endpoints that are
// new or different and addresses of endpoints that are gone, both in the order of
// addresses. It also returns when Step must be called again at the latest, even without a
// report; below 0 for never.
func (l *List) Step(now time.Duration) (told []EndpointState, gone []string, next time.Duration) {
	if l.nextStep >= 0 && now >= l.nextStep {
		l.allDirty = true
	}
	if !l.allDirty && len(l.dirty) == 0 {
		return nil, nil, l.nextStep
	}
	if l.allDirty {
		l.allDirty, l.nextStep = false, -1
		for addr := range l.known {
			l.dirty[addr] = true
		}
		for _, s := range l.sources {
			for addr := range s.entries {
				l.dirty[addr] = true
			}
			for addr := range s.lost {
				l.dirty[addr] = true
			}
			if l.settings.SilenceLimit > 0 && s.reported && !l.silent(now, s) {
				l.stepBy(s.lastHeard + l.settings.SilenceLimit + 1)
			}
		}
	}
	for _, addr := range slices.Sorted(maps.Keys(l.dirty)) {
		w := l.merge(now, addr)
		if w == nil {
			if l.remove(now, addr) {
				gone = append(gone, addr)
			}
			continue
		}
		if k := l.update(now, addr, w); k != nil {
			told = append(told, EndpointState{k.Entry, k.draining})
		}
	}
	clear(l.dirty)
	return told, gone, l.nextStep
}

// remove takes out an endpoint that no source has. It reports whether it was on the list.
func (l *List) remove(now time.Duration, addr string) (was bool) {
	k := l.known[addr]
	if k == nil {
		return false
	}
	if was = k.listed; was {
		k.listed = false
		k.countDrain(now, !k.draining)
	}
	if k.decay(now) < 0.5 { // no drains left that flap damping would count
		delete(l.known, addr)
	} else {
		l.stepBy(now + 2*flapHalfLife)
	}
	return was
}

// update decides on one endpoint anew. It returns nil if nothing changed.
func (l *List) update(now time.Duration, addr string, w *desired) *knownEndpoint {
	k := l.known[addr]
	if k == nil {
		k = &knownEndpoint{readySince: -1}
		l.known[addr] = k
	}
	changed := !k.listed || !k.same(&w.Entry)
	k.Entry = w.Entry
	switch {
	case w.draining:
		k.readySince = -1
		if !k.listed || !k.draining {
			k.countDrain(now, k.listed)
			changed = true
		}
		k.draining = true
	default:
		if k.readySince < 0 {
			k.readySince = now
		}
		// A new endpoint is ready at once, and so is one that returns for the first time.
		ready := k.readySince
		if n := k.decay(now); n >= 1.5 {
			ready += min(flapDelay<<min(int(n-0.5), 10), maxFlapDelay)
		}
		if now < ready {
			l.stepBy(ready)
			k.draining = k.draining || !k.listed
		} else if k.draining {
			k.draining, changed = false, true
		}
	}
	k.listed = true
	if !changed {
		return nil
	}
	return k
}

// countDrain counts a drain or removal of an endpoint, if it was ready until then.
func (k *knownEndpoint) countDrain(now time.Duration, was bool) {
	k.decay(now)
	if was {
		k.flaps = min(k.flaps+1, 8)
	}
}

// decay accounts for the time since the last call and returns flaps.
func (k *knownEndpoint) decay(now time.Duration) float64 {
	for now-k.decayedAt >= flapHalfLife && k.flaps > 0 {
		k.flaps /= 2
		k.decayedAt += flapHalfLife
	}
	if k.flaps < 0.1 || now-k.decayedAt >= flapHalfLife {
		k.decayedAt = now
	}
	return k.flaps
}

// Sources returns the state of each source.
func (l *List) Sources(now time.Duration) (out []SourceState) {
	for _, s := range l.sources {
		k := SourceState{Name: s.Name, Endpoints: len(s.entries), Lost: len(s.lost), Silent: -1}
		for _, x := range s.lost {
			if x.unconfirmed && now-x.since < l.settings.ConfirmAfter {
				k.Unconfirmed++
			}
		}
		if s.reported {
			k.Silent = now - s.lastHeard
		}
		out = append(out, k)
	}
	return out
}

// SourceState is the state of a source as it is shown to operators.
type SourceState struct {
	Name        string        `json:"name"`
	Endpoints   int           `json:"endpoints"` // in its latest report
	Lost        int           `json:"lost"`      // no longer reported, and not removed yet
	Unconfirmed int           `json:"doubted"`   // of these, the ones whose disappearance isn't acted on yet
	Silent      time.Duration `json:"silent_ns"` // since the latest sign of life; below 0 if there was none
}
