// Package member decides what is believed of reports on endpoints and relays:
// which endpoint takes new work, when one that vanished is gone, when a catalogue
// is lying, and how many relays the fleet has. It does no I/O, reads no clock and
// draws nothing by chance.
package member

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Health of an endpoint as a catalogue reports it.
type Health int

// The states of health.
const (
	Unknown Health = iota // no checks
	Passing
	Warning
	Critical
)

// Entry is one endpoint as a source reports it.
type Entry struct {
	ID       string   `json:"id,omitempty"` // in its source; empty for the address
	Addr     string   `json:"addr"`         // its name, or only address; endpoints are told apart by it
	Addrs    []string `json:"addrs,omitempty"`
	Partner  string   `json:"partner"`
	Kind     string   `json:"kind,omitempty"` // where a source tells it; else the partner's
	Zone     string   `json:"zone"`
	Rate     float64  `json:"rate,omitempty"`
	Draining bool     `json:"draining,omitempty"` // asked for by somebody, not a matter of health
	Health   Health   `json:"health,omitempty"`
}

// same tells whether an entry needs no new telling.
func (e *Entry) same(o *Entry) bool {
	return e.Addr == o.Addr && e.Partner == o.Partner && e.Zone == o.Zone && e.Kind == o.Kind && e.Rate == o.Rate &&
		slices.Equal(e.Addrs, o.Addrs)
}

// Report is a source's whole list.
type Report struct {
	Entries []Entry
	// Fresh reports come from a server that is up to date; what another one lacks
	// is not taken as gone.
	Fresh bool
}

// SourceSettings say what a source's word is worth.
type SourceSettings struct {
	Name   string
	Sure   bool // what it lacks is gone at once: a file that people wrote
	Health bool // its word on health is heard; else no decision depends on it
}

// Settings of a List.
type Settings struct {
	Gone    time.Duration // an endpoint that vanished takes no new work, and is forgotten after this
	Believe time.Duration // how long a catalogue must tell of much vanishing before it is believed
	Trust   time.Duration // a source without news for longer yields to others that know the partner
}

const (
	// much of a list that vanishes is doubted: half of it, three at least; all of
	// a partner's, two at least.
	muchShare, muchLeast = 0.5, 3
	// panicShare: where more of a partner's endpoints are critical, the checks are
	// broken rather than the endpoints, and health is not heard there.
	panicShare = 0.5
	// An endpoint that comes back from a drain again and again must stay so for
	// settle, doubling with each time, up to mostSettle; a time is half forgotten
	// after halfLife (as RFC 2439 damps routes). Going into a drain never waits.
	settle     = time.Second
	mostSettle = time.Minute
	halfLife   = 30 * time.Second
)

// lost is an entry that its source no longer has.
type lost struct {
	Entry
	since   time.Duration
	doubted bool // not believed until since and Settings.Believe
	moved   bool // its id is at another address now
}

type source struct {
	SourceSettings
	told  map[string]Entry // by address
	lost  map[string]*lost
	heard time.Duration
	ever  bool
	// by partner, of told: endpoints, and critical ones
	all, critical map[string]int
}

// known is what was told of an endpoint.
type known struct {
	Entry
	told    bool // on the list; else only remembered as one that flaps
	drain   bool
	flaps   float64 // faded count of drains
	fadedAt time.Duration
	since   time.Duration // wanted ready since; below 0 if it is not
}

// List merges the reports of sources into one list. It is not safe for
// concurrent use.
type List struct {
	set     Settings
	sources []*source
	known   map[string]*known
	touched map[string]bool // addresses to decide anew
	every   bool            // all of them
	next    time.Duration   // when time alone may change something; below 0 for never
}

// NewList makes one; the order of sources is their precedence.
func NewList(set Settings, sources []SourceSettings) *List {
	l := &List{set: set, known: map[string]*known{}, touched: map[string]bool{}, next: -1}
	for _, s := range sources {
		l.sources = append(l.sources, &source{SourceSettings: s, told: map[string]Entry{}, lost: map[string]*lost{}})
	}
	return l
}

// Heard takes in that a source answered, if only that nothing changed.
func (l *List) Heard(now time.Duration, from int) {
	s := l.sources[from]
	if l.set.Trust > 0 && s.ever && now-s.heard > l.set.Trust {
		l.every = true // it was passed over
	}
	s.heard = now
}

// Report takes in a source's list. Entries whose address stands twice count once.
func (l *List) Report(now time.Duration, from int, r Report) {
	s := l.sources[from]
	l.Heard(now, from)
	next := make(map[string]Entry, len(r.Entries))
	ids := make(map[string]bool, len(r.Entries))
	for _, e := range r.Entries {
		if _, twice := next[e.Addr]; !twice {
			next[e.Addr] = e
		}
		ids[cmp.Or(e.ID, e.Addr)] = true
	}
	var fresh []*lost
	for addr, e := range s.told {
		if _, still := next[addr]; still || s.Sure {
			continue
		}
		gone := &lost{Entry: e, since: now, moved: ids[cmp.Or(e.ID, e.Addr)]}
		s.lost[addr] = gone
		l.touched[addr] = true
		if !gone.moved {
			fresh = append(fresh, gone)
		}
	}
	shaken := map[string]bool{} // partners whose share of critical ones moved
	for addr, e := range next {
		delete(s.lost, addr)
		old, was := s.told[addr]
		if !was || !old.same(&e) || old.Draining != e.Draining || s.Health && old.Health != e.Health {
			l.touched[addr] = true
		}
		if s.Health && (!was || old.Health != e.Health) {
			shaken[e.Partner] = true
		}
	}
	for addr, e := range s.told {
		if _, still := next[addr]; !still {
			l.touched[addr], shaken[e.Partner] = true, true
		}
	}
	s.told, s.ever = next, true
	s.all, s.critical = map[string]int{}, map[string]int{}
	for addr, e := range next {
		if s.all[e.Partner]++; e.Health == Critical {
			s.critical[e.Partner]++
		}
		if s.Health && shaken[e.Partner] {
			l.touched[addr] = true
		}
	}
	if doubted := !r.Fresh || s.much(now, l.set.Believe); doubted {
		for _, x := range fresh {
			x.doubted = true
		}
	} else {
		// Only partners that would be left with nothing are doubted.
		left, had := map[string]int{}, map[string]int{}
		for _, e := range s.told {
			left[e.Partner]++
		}
		for _, x := range s.lost {
			had[x.Partner]++
		}
		for _, x := range fresh {
			x.doubted = left[x.Partner] == 0 && had[x.Partner] >= 2
		}
	}
}

// much tells whether too much of a list vanished lately to be believed at once.
func (s *source) much(now, within time.Duration) bool {
	n := 0
	for _, x := range s.lost {
		if !x.moved && now-x.since < within {
			n++
		}
	}
	return n > 0 && (len(s.told) == 0 || n >= muchLeast && float64(n) >= muchShare*float64(n+len(s.told)))
}

// wish is what the sources together want of an endpoint.
type wish struct {
	Entry
	drain bool
	only  bool // nothing but a vanished entry stands for it
}

// wish merges what the sources have of one address; nil if none has it.
func (l *List) wish(now time.Duration, addr string) (w *wish) {
	for i, s := range l.sources {
		e, has := s.told[addr]
		x, lost := s.lost[addr]
		if has && l.yields(now, i, e.Partner) || lost && l.yields(now, i, x.Partner) {
			continue
		}
		if has {
			sick := s.Health && e.Health == Critical &&
				float64(s.critical[e.Partner]) <= panicShare*float64(s.all[e.Partner])
			switch {
			case w == nil:
				w = &wish{Entry: e, drain: e.Draining || sick}
			case w.only:
				w.Entry, w.only, w.drain = e, false, e.Draining || sick
			default:
				w.drain = w.drain || e.Draining || sick
			}
		}
		if !lost {
			continue
		}
		age := now - x.since
		if x.doubted && !x.moved {
			age -= l.set.Believe
		}
		if age >= l.set.Gone {
			delete(s.lost, addr)
			continue
		}
		if age < 0 {
			l.at(now - age)
		}
		l.at(now - age + l.set.Gone)
		if w == nil {
			w = &wish{Entry: x.Entry, drain: age >= 0 || x.Draining, only: true}
		}
	}
	return w
}

func (l *List) silent(now time.Duration, s *source) bool {
	return l.set.Trust > 0 && s.ever && now-s.heard > l.set.Trust
}

// yields tells whether a source that has been silent for too long leaves a partner
// to another one that knows it.
func (l *List) yields(now time.Duration, from int, partner string) bool {
	if !l.silent(now, l.sources[from]) {
		return false
	}
	for i, o := range l.sources {
		if i != from && !l.silent(now, o) && o.all[partner] > 0 {
			return true
		}
	}
	return false
}

// at asks for a Step at a time.
func (l *List) at(t time.Duration) {
	if l.next < 0 || t < l.next {
		l.next = t
	}
}

// Told is an endpoint as it is told to the module.
type Told struct {
	Entry
	Draining bool
}

// Step decides anew. It returns what differs from what was told before: endpoints
// in the order of addresses, and addresses that are on the list no more; and when to
// Step again at the latest without news, below 0 for never.
func (l *List) Step(now time.Duration) (told []Told, gone []string, next time.Duration) {
	if l.next >= 0 && now >= l.next {
		l.every = true
	}
	if !l.every && len(l.touched) == 0 {
		return nil, nil, l.next
	}
	if l.every {
		l.every, l.next = false, -1
		for addr := range l.known {
			l.touched[addr] = true
		}
		for _, s := range l.sources {
			for addr := range s.told {
				l.touched[addr] = true
			}
			for addr := range s.lost {
				l.touched[addr] = true
			}
			if l.set.Trust > 0 && s.ever && !l.silent(now, s) {
				l.at(s.heard + l.set.Trust + 1)
			}
		}
	}
	for _, addr := range slices.Sorted(maps.Keys(l.touched)) {
		w := l.wish(now, addr)
		if w == nil {
			if l.forget(now, addr) {
				gone = append(gone, addr)
			}
			continue
		}
		if k := l.tell(now, addr, w); k != nil {
			told = append(told, Told{k.Entry, k.drain})
		}
	}
	clear(l.touched)
	return told, gone, l.next
}

// forget takes out what no source has; true if it was told.
func (l *List) forget(now time.Duration, addr string) (was bool) {
	k := l.known[addr]
	if k == nil {
		return false
	}
	if was = k.told; was {
		k.told = false
		k.drained(now, !k.drain)
	}
	if k.fade(now) < 0.5 { // nothing left to remember
		delete(l.known, addr)
	} else {
		l.at(now + 2*halfLife)
	}
	return was
}

// tell decides on one endpoint; nil if there is nothing new to tell.
func (l *List) tell(now time.Duration, addr string, w *wish) *known {
	k := l.known[addr]
	if k == nil {
		k = &known{since: -1}
		l.known[addr] = k
	}
	changed := !k.told || !k.same(&w.Entry)
	k.Entry = w.Entry
	switch {
	case w.drain:
		k.since = -1
		if !k.told || !k.drain {
			k.drained(now, k.told)
			changed = true
		}
		k.drain = true
	default:
		if k.since < 0 {
			k.since = now
		}
		// One that is new is ready at once, one that comes back for the first time too.
		ready := k.since
		if n := k.fade(now); n >= 1.5 {
			ready += min(settle<<min(int(n-0.5), 10), mostSettle)
		}
		if now < ready {
			l.at(ready)
			k.drain = k.drain || !k.told
		} else if k.drain {
			k.drain, changed = false, true
		}
	}
	k.told = true
	if !changed {
		return nil
	}
	return k
}

// drained counts one more time that an endpoint went out of service.
func (k *known) drained(now time.Duration, was bool) {
	k.fade(now)
	if was {
		k.flaps = min(k.flaps+1, 8)
	}
}

// fade lets what was counted be forgotten.
func (k *known) fade(now time.Duration) float64 {
	for now-k.fadedAt >= halfLife && k.flaps > 0 {
		k.flaps /= 2
		k.fadedAt += halfLife
	}
	if k.flaps < 0.1 || now-k.fadedAt >= halfLife {
		k.fadedAt = now
	}
	return k.flaps
}

// Sources tells of each source how many endpoints it has, how many of those that
// it lost are doubted, and how long ago it was heard; below 0 for never.
func (l *List) Sources(now time.Duration) (out []SourceState) {
	for _, s := range l.sources {
		k := SourceState{Name: s.Name, Endpoints: len(s.told), Lost: len(s.lost), Silent: -1}
		for _, x := range s.lost {
			if x.doubted && now-x.since < l.set.Believe {
				k.Doubted++
			}
		}
		if s.ever {
			k.Silent = now - s.heard
		}
		out = append(out, k)
	}
	return out
}

// SourceState is what a report shows of a source.
type SourceState struct {
	Name      string        `json:"name"`
	Endpoints int           `json:"endpoints"`
	Lost      int           `json:"lost"`
	Doubted   int           `json:"doubted"`
	Silent    time.Duration `json:"silent_ns"`
}
