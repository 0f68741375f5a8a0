package member

import (
	"cmp"
	"slices"
	"time"
)

// Peer is one running relay as the catalogue has it. A relay that is started
// again is another one under the same name.
type Peer struct {
	Name  string
	Boot  string // drawn at its start
	Since int64  // its start by its own clock, Unix milliseconds
	Well  bool   // its check passes
}

func (p Peer) id() string { return p.Name + "/" + p.Boot }

// FleetSettings of a Fleet.
type FleetSettings struct {
	Self Peer
	Size int           // believed before the catalogue was heard, and Late after
	Late time.Duration // a relay that is not well, or gone, still counts for so long
	Hold time.Duration // and for so long where much of the fleet went at once
}

// goneShare of a fleet that goes within Late is more likely a split, or a catalogue
// that lies, than so many deaths.
const goneShare = 1.0 / 3

// Fleet decides how many relays there are, and which of them this one is. Every
// share of a limit rests on it, so it errs on the large side: a relay that joins
// counts at once, one that dies is told late, and of a fleet that seems to
// lose a third at once, or to split, all count for long. A relay that blinds
// itself to its peers then sends too little, never too much. It is not safe for
// concurrent use.
type Fleet struct {
	set   FleetSettings
	peers map[string]*peer
	heard time.Duration // first; below 0 for never
}

type peer struct {
	Peer
	lost time.Duration // since when it is not well or gone; below 0 while it is well
	hold bool
	gone bool
}

// NewFleet begins with the configured size.
func NewFleet(set FleetSettings) *Fleet {
	f := &Fleet{set: set, peers: map[string]*peer{}, heard: -1}
	f.peers[set.Self.id()] = &peer{Peer: set.Self, lost: -1}
	return f
}

// Report takes in the peers that the catalogue has. What a server lacks that is
// not up to date counts as still there.
func (f *Fleet) Report(now time.Duration, peers []Peer, fresh bool) {
	if f.heard < 0 && fresh {
		f.heard = now
	}
	has := map[string]bool{f.set.Self.id(): true}
	for _, p := range peers {
		k := f.peers[p.id()]
		if k == nil {
			k = &peer{lost: -1}
			if !p.Well {
				k.lost = now
			}
			f.peers[p.id()] = k
		}
		if p.id() == f.set.Self.id() {
			continue // of itself a relay knows better
		}
		k.Peer, k.gone = p, false
		switch {
		case p.Well:
			k.lost, k.hold = -1, false
		case k.lost < 0:
			k.lost = now
		}
		has[p.id()] = true
	}
	if fresh {
		for id, k := range f.peers {
			if !has[id] && !k.gone {
				if k.gone = true; k.lost < 0 {
					k.lost = now
				}
			}
		}
	}
	// Much at once: of all that counted, those lost within the time that a death
	// takes to tell.
	lost := 0
	for _, k := range f.peers {
		if k.lost >= 0 && now-k.lost < f.set.Late && !f.replaced(k) {
			lost++
		}
	}
	if n := f.size(now); lost >= 2 && float64(lost) >= goneShare*float64(n) {
		for _, k := range f.peers {
			if k.lost >= 0 && now-k.lost < f.set.Late {
				k.hold = true
			}
		}
	}
}

// replaced tells whether a relay that is lost was started again since.
func (f *Fleet) replaced(k *peer) bool {
	for _, o := range f.peers {
		if o != k && o.Name == k.Name && o.lost < 0 && o.Since >= k.Since {
			return true
		}
	}
	return false
}

// counts tells whether a relay counts, and until when if it is lost.
func (f *Fleet) counts(now time.Duration, k *peer) (bool, time.Duration) {
	if k.lost < 0 {
		return true, -1
	}
	until := k.lost + f.set.Late
	if k.hold {
		until = k.lost + f.set.Hold
	}
	return now < until && !f.replaced(k), until
}

func (f *Fleet) size(now time.Duration) (n int) {
	for _, k := range f.peers {
		if ok, _ := f.counts(now, k); ok {
			n++
		}
	}
	return n
}

// View is this relay's number, from 0 in the order of names, the size of the
// fleet, when that may change without news (below 0 for never), and the names
// that several running relays bear.
func (f *Fleet) View(now time.Duration) (index, size int, next time.Duration, twice []string) {
	next = -1
	var ids []string
	names := map[string]int{}
	for id, k := range f.peers {
		ok, until := f.counts(now, k)
		switch {
		case ok:
			ids = append(ids, id)
			if k.lost < 0 {
				names[k.Name]++
			} else if next < 0 || until < next {
				next = until
			}
		case k.gone:
			delete(f.peers, id)
		}
	}
	slices.Sort(ids)
	size = len(ids)
	index = slices.Index(ids, f.set.Self.id())
	if early := f.heard + f.set.Late; f.heard < 0 || now < early {
		if size < f.set.Size {
			size = f.set.Size
		}
		if f.heard >= 0 && (next < 0 || early < next) {
			next = early
		}
	}
	for name, n := range names {
		if n > 1 {
			twice = append(twice, name)
		}
	}
	slices.SortFunc(twice, cmp.Compare)
	return index, size, next, twice
}
