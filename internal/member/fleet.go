package member

import (
	"cmp"
	"slices"
	"time"
)

// Peer is one run of a relay as the catalogue has it. A relay that is restarted is
// another peer with the same name.
type Peer struct {
	Name  string
	Boot  string // random ID of the run
	Since int64  // start of the run by its own clock, Unix ms
	Well  bool   // its health check passes
}

// id returns a key that distinguishes the runs of all relays.
func (p Peer) id() string { return p.Name + "/" + p.Boot }

// FleetSettings configures a Fleet.
type FleetSettings struct {
	Self Peer
	Size int           // minimum size until Late after the first fresh report
	Late time.Duration // how long a peer that is lost, that is unhealthy or gone, still counts
	Hold time.Duration // the same, for peers that were lost together with much of the fleet
}

// goneShare is the share of the fleet that may be lost within FleetSettings.Late. A greater
// loss more likely means a network partition or a wrong catalogue than failed relays.
const goneShare = 1.0 / 3

// Fleet determines how many relays the fleet has, and the index of this one. Each relay
// gets its share of the fleet's limits by the size of the fleet, so Fleet errs on the
// large side: a relay that joins counts at once, one that is lost counts until a delay has
// passed, and if a third of the fleet or more seems to be lost at once, as in a network
// partition, those relays count for much longer. A relay that is cut off from its peers
// thus sends too little rather than too much. Fleet is not safe for concurrent use.
type Fleet struct {
	set   FleetSettings
	peers map[string]*peer // by id
	heard time.Duration    // time of the first fresh report; below 0 for none
}

// peer is the state of one Peer.
type peer struct {
	Peer
	lost time.Duration // since when it is unhealthy or gone; below 0 while it is neither
	hold bool          // lost together with much of the fleet: counts for FleetSettings.Hold
	gone bool          // missing in the latest fresh report
}

// NewFleet returns a fleet of which only this relay is known.
func NewFleet(set FleetSettings) *Fleet {
	f := &Fleet{set: set, peers: map[string]*peer{}, heard: -1}
	f.peers[set.Self.id()] = &peer{Peer: set.Self, lost: -1}
	return f
}

// Report processes the peers that the catalogue has. fresh says that the catalogue's server
// is up to date; otherwise peers that it doesn't list are not taken for gone.
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
			continue // the relay knows its own state better than the catalogue
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
	// Peers lost within Late of each other count as lost at once.
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

// replaced reports whether the relay of a lost peer has been restarted: a later run of the
// same name is healthy.
func (f *Fleet) replaced(k *peer) bool {
	for _, o := range f.peers {
		if o != k && o.Name == k.Name && o.lost < 0 && o.Since >= k.Since {
			return true
		}
	}
	return false
}

// counts reports whether a peer counts towards the size of the fleet, and for a lost one
// until when; below 0 for a peer that isn't lost.
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

// size returns the number of peers that count.
func (f *Fleet) size(now time.Duration) (n int) {
	for _, k := range f.peers {
		if ok, _ := f.counts(now, k); ok {
			n++
		}
	}
	return n
}

// View returns the index of this relay, from 0 in the order of names, the size of the
// fleet, when these may change without a report (below 0 for never), and the names that
// several running relays have in common.
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
