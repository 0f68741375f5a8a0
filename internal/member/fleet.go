package member

import (
	"cmp"
	"slices"
	"time"
)

// Peer is one run of a relay as the catalogue has it. A relay that is restarted is
// another peer with the same name.
type Peer struct {
	Name      string
	RunID     string // random ID of the run
	StartedMS int64  // start of the run by its own clock, Unix ms
	Healthy   bool   // its health check passes
}

// id returns a key that distinguishes the runs of all relays.
func (p Peer) id() string { return p.Name + "/" + p.RunID }

// FleetSettings configures a Fleet.
type FleetSettings struct {
	Self          Peer
	Size          int           // minimum size until LossDelay after the first fresh report
	LossDelay     time.Duration // how long a peer that is lost, that is unhealthy or gone, still counts
	MassLossDelay time.Duration // the same, for peers that were lost together with much of the fleet
}

// fleetLossShare is the share of the fleet that may be lost within FleetSettings.LossDelay. A
// greater loss more likely means a network partition or a wrong catalogue than failed
// relays.
const fleetLossShare = 1.0 / 3

// Fleet determines how many relays the fleet has, and the index of this one. Each relay
// gets its share of the fleet's limits by the size of the fleet, so Fleet errs on the
// large side: a relay that joins counts at once, one that is lost counts until a delay has
// passed, and if a third of the fleet or more seems to be lost at once, as in a network
// partition, those relays count for much longer. A relay that is cut off from its peers
// thus sends too little rather than too much. Fleet is not safe for concurrent use.
type Fleet struct {
	settings    FleetSettings
	peers       map[string]*peer // by id
	firstReport time.Duration    // time of the first fresh report; below 0 for none
}

// peer is the state of one Peer.
type peer struct {
	Peer
	lostSince time.Duration // since when it is unhealthy or gone; below 0 while it is neither
	massLoss  bool          // lost together with much of the fleet: counts for FleetSettings.MassLossDelay
	gone      bool          // missing in the latest fresh report
}

// NewFleet returns a fleet of which only this relay is known.
func NewFleet(set FleetSettings) *Fleet {
	f := &Fleet{settings: set, peers: map[string]*peer{}, firstReport: -1}
	f.peers[set.Self.id()] = &peer{Peer: set.Self, lostSince: -1}
	return f
}

// Report processes the peers that the catalogue has. fresh says that the catalogue's server
// is up to date; otherwise peers that it doesn't list are not taken for gone.
func (f *Fleet) Report(now time.Duration, peers []Peer, fresh bool) {
	if f.firstReport < 0 && fresh {
		f.firstReport = now
	}
	has := map[string]bool{f.settings.Self.id(): true}
	for _, p := range peers {
		k := f.peers[p.id()]
		if k == nil {
			k = &peer{lostSince: -1}
			if !p.Healthy {
				k.lostSince = now
			}
			f.peers[p.id()] = k
		}
		if p.id() == f.settings.Self.id() {
			continue // the relay knows its own state better than the catalogue
		}
		k.Peer, k.gone = p, false
		switch {
		case p.Healthy:
			k.lostSince, k.massLoss = -1, false
		case k.lostSince < 0:
			k.lostSince = now
		}
		has[p.id()] = true
	}
	if fresh {
		for id, k := range f.peers {
			if !has[id] && !k.gone {
				if k.gone = true; k.lostSince < 0 {
					k.lostSince = now
				}
			}
		}
	}
	// Peers lost within LossDelay of each other count as lost at once.
	lost := 0
	for _, k := range f.peers {
		if k.lostSince >= 0 && now-k.lostSince < f.settings.LossDelay && !f.replaced(k) {
			lost++
		}
	}
	if n := f.size(now); lost >= 2 && float64(lost) >= fleetLossShare*float64(n) {
		for _, k := range f.peers {
			if k.lostSince >= 0 && now-k.lostSince < f.settings.LossDelay {
				k.massLoss = true
			}
		}
	}
}

// replaced reports whether the relay of a lost peer has been restarted: a later run of the
// same name is healthy.
func (f *Fleet) replaced(k *peer) bool {
	for _, o := range f.peers {
		if o != k && o.Name == k.Name && o.lostSince < 0 && o.StartedMS >= k.StartedMS {
			return true
		}
	}
	return false
}

// counts reports whether a peer counts towards the size of the fleet, and for a lost one
// until when; below 0 for a peer that isn't lost.
func (f *Fleet) counts(now time.Duration, k *peer) (bool, time.Duration) {
	if k.lostSince < 0 {
		return true, -1
	}
	until := k.lostSince + f.settings.LossDelay
	if k.massLoss {
		until = k.lostSince + f.settings.MassLossDelay
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
func (f *Fleet) View(now time.Duration) (index, size int, next time.Duration, duplicates []string) {
	next = -1
	var ids []string
	names := map[string]int{}
	for id, k := range f.peers {
		ok, until := f.counts(now, k)
		switch {
		case ok:
			ids = append(ids, id)
			if k.lostSince < 0 {
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
	index = slices.Index(ids, f.settings.Self.id())
	if early := f.firstReport + f.settings.LossDelay; f.firstReport < 0 || now < early {
		if size < f.settings.Size {
			size = f.settings.Size
		}
		if f.firstReport >= 0 && (next < 0 || early < next) {
			next = early
		}
	}
	for name, n := range names {
		if n > 1 {
			duplicates = append(duplicates, name)
		}
	}
	slices.SortFunc(duplicates, cmp.Compare)
	return index, size, next, duplicates
}
