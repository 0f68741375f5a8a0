// Package directory reads endpoint lists from sources, which are files and service
// catalogues, and passes their changes on to the core. Package member decides how the
// lists of several sources are merged and which reports are plausible. If a source fails,
// its last good list stays in force and the failure is reported.
package directory

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"basaltcross.example/basaltcross/choice"
	"basaltcross.example/basaltcross/internal/addr"
	"basaltcross.example/basaltcross/internal/member"
)

// Sink receives changes of the endpoint list.
type Sink interface {
	List(choice.HostUpdate)
}

// Receiver receives what a source finds. Its methods may be called from any goroutine.
type Receiver interface {
	Report(member.Report)
	ReportAlive()          // the source answered and nothing has changed
	ReportError(err error) // the source failed; its last good list stays in force
}

// Source is an origin of endpoint lists.
type Source interface {
	Settings() member.SourceSettings
	// Origin identifies the installation that the list comes from. A saved list of
	// another installation is not used.
	Origin() string
	// Follow reports the list and its changes until ctx ends.
	Follow(ctx context.Context, to Receiver)
}

// Names translates the names in endpoint lists to the indexes that the core uses.
type Names struct {
	Partners map[string]int
	Kinds    []int // by partner
	Zones    map[string]int
	Secure   []bool // whether a partner is called over TLS, by partner
	// Host, if set, translates an entry instead of the tables above. It need not set
	// the state.
	Host func(*member.Entry) (choice.Host, error)
}

// host translates one entry and its addresses.
func (n *Names) host(e *member.Entry) (h choice.Host, endpoint addr.Endpoint, err error) {
	if n.Host != nil {
		if h, err = n.Host(e); err != nil {
			return h, endpoint, err
		}
		h.State = choice.Ready
		endpoint = addr.Endpoint{Host: e.Addr, Partner: h.Dest}
		endpoint.Addrs, err = entryAddresses(e)
		return h, endpoint, err
	}
	p, ok := n.Partners[e.Partner]
	if !ok {
		return h, endpoint, fmt.Errorf("partner: %q is not in the configuration", e.Partner)
	}
	z, ok := n.Zones[e.Zone]
	if !ok {
		return h, endpoint, fmt.Errorf("zone: %q is not in the configuration", e.Zone)
	}
	h = choice.Host{Addr: e.Addr, Dest: p, Kind: n.Kinds[p], Zone: z, Rate: e.Rate, State: choice.Ready}
	endpoint = addr.Endpoint{Host: e.Addr, Partner: p, Secure: p < len(n.Secure) && n.Secure[p]}
	endpoint.Addrs, err = entryAddresses(e)
	return h, endpoint, err
}

// entryAddresses parses the addresses of an entry.
func entryAddresses(e *member.Entry) (all []addr.Address, err error) {
	list := e.Addrs
	if len(list) == 0 {
		list = []string{e.Addr}
	}
	for j, s := range list {
		a, err := addr.Parse(s)
		if err != nil {
			return nil, fmt.Errorf("addrs[%d]: %w", j, err)
		}
		all = append(all, a)
	}
	return all, nil
}

// Sinks passes changes to several sinks, one after the other.
type Sinks []Sink

// List passes a listing to each sink.
func (s Sinks) List(l choice.HostUpdate) {
	for _, to := range s {
		to.List(l)
	}
}

// Options configures a Directory.
type Options struct {
	Names         Names
	Sources       []Source // in the order of their precedence
	Settings      member.Settings
	SavedPath     string // path of the file for the last good list; empty for none
	MaxSavedBytes int    // limit on the size of that file, in bytes
	Sink          Sink
	// OnAddresses receives the addresses of all endpoints before Sink receives a list with
	// these endpoints.
	OnAddresses func([]addr.Endpoint)
	// OnListed is called after each change with the number of endpoints in force.
	OnListed func(endpoints int)
	// OnError is called for sources that fail, for entries that can't be used, and for
	// failures of the saved list.
	OnError func(source string, err error)
}

// Directory merges the lists of its sources into one and passes changes of it to a sink.
// It saves the latest lists to disk, so that a restart can use them before its sources
// answer.
type Directory struct {
	opt   Options
	epoch time.Time
	wake  chan struct{}

	mu        sync.Mutex
	list      *member.List
	inForce   map[string]choice.Host   // endpoints in force, as passed to the sink; nil before the first list
	addresses map[string]addr.Endpoint // their addresses
	reports   []member.Report          // latest report of each source
	unsaved   bool                     // reports differ from the saved list
	count     int                      // number of endpoints in force
}

// New returns a directory that starts with the saved list if there is one. Authoritative
// sources, and sources whose origin differs from that in the saved list, start without.
func New(opt Options) *Directory {
	d := &Directory{opt: opt, epoch: time.Now(), wake: make(chan struct{}, 1),
		reports: make([]member.Report, len(opt.Sources))}
	var set []member.SourceSettings
	for _, s := range opt.Sources {
		set = append(set, s.Settings())
	}
	d.list = member.NewList(opt.Settings, set)
	if opt.SavedPath == "" {
		return d
	}
	old, err := readSaved(opt.SavedPath, opt.MaxSavedBytes)
	if err != nil {
		opt.OnError("saved list", err)
	}
	if old == nil {
		return d
	}
	for i, s := range opt.Sources {
		j := slices.IndexFunc(old.Sources, func(o savedSource) bool { return o.Name == set[i].Name })
		switch {
		case j < 0 || set[i].Authoritative:
		case old.Sources[j].Origin != s.Origin():
			opt.OnError(set[i].Name, errors.New("directory: saved list of another installation is not used"))
		default:
			d.reports[i] = member.Report{Entries: old.Sources[j].Entries, Fresh: true}
			d.list.Report(0, i, d.reports[i])
		}
	}
	return d
}

// now returns the time on the clock that the list uses.
func (d *Directory) now() time.Duration { return time.Since(d.epoch) }

// sourceReceiver receives what one source finds.
type sourceReceiver struct {
	d    *Directory
	from int
}

func (n sourceReceiver) Report(r member.Report) {
	d := n.d
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reports[n.from], d.unsaved = r, true
	d.list.Report(d.now(), n.from, r)
	d.publish()
	d.wakeRun()
}

// wakeRun has Run compute anew when publish must be called next.
func (d *Directory) wakeRun() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

func (n sourceReceiver) ReportAlive() {
	n.d.mu.Lock()
	defer n.d.mu.Unlock()
	n.d.list.ReportAlive(n.d.now(), n.from)
	n.d.wakeRun()
}

func (n sourceReceiver) ReportError(err error) {
	n.d.opt.OnError(n.d.opt.Sources[n.from].Settings().Name, err)
	if n.d.opt.Sources[n.from].Settings().Authoritative {
		n.d.opt.Sink.List(choice.HostUpdate{Failed: true})
	}
}

// saveInterval is the shortest interval between two writes of the saved list.
const saveInterval = time.Second

// Run follows all sources until ctx ends.
func (d *Directory) Run(ctx context.Context) {
	var wait sync.WaitGroup
	defer wait.Wait()
	d.mu.Lock()
	d.publish()
	d.mu.Unlock()
	for i, s := range d.opt.Sources {
		wait.Go(func() { s.Follow(ctx, sourceReceiver{d, i}) })
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	save := time.NewTicker(saveInterval)
	defer save.Stop()
	for {
		select {
		case <-ctx.Done():
			d.save()
			return
		case <-save.C:
			d.save()
		case <-d.wake:
		case <-timer.C:
		}
		d.mu.Lock()
		next := d.publish()
		now := d.now()
		d.mu.Unlock()
		sleep := time.Hour
		if next >= 0 {
			sleep = max(next-now, time.Millisecond)
		}
		timer.Reset(sleep)
	}
}

// save writes the latest reports to disk if they have changed. Authoritative sources are
// left out: they are read again after a restart.
func (d *Directory) save() {
	d.mu.Lock()
	s := &savedList{At: time.Now().Unix()}
	for i, r := range d.reports {
		if set := d.opt.Sources[i].Settings(); !set.Authoritative {
			s.Sources = append(s.Sources, savedSource{set.Name, d.opt.Sources[i].Origin(), r.Entries})
		}
	}
	due := d.unsaved && d.opt.SavedPath != "" && len(s.Sources) > 0
	d.unsaved = false
	d.mu.Unlock()
	if due {
		if err := s.write(d.opt.SavedPath); err != nil {
			d.opt.OnError("saved list", err)
		}
	}
}

// publish passes changes of the list to the sink, and returns when it must be called again
// at the latest. The caller holds mu, so that changes are passed on in their order.
func (d *Directory) publish() (next time.Duration) {
	told, gone, next := d.list.Step(d.now())
	if len(told)+len(gone) == 0 && d.inForce != nil {
		return next
	}
	listing := choice.HostUpdate{Full: d.inForce == nil}
	if d.inForce == nil {
		d.inForce, d.addresses = map[string]choice.Host{}, map[string]addr.Endpoint{}
	}
	moved := false
	for i := range told {
		h, a, err := d.opt.Names.host(&told[i].Entry)
		if err != nil {
			d.opt.OnError(told[i].Addr, fmt.Errorf("directory: %w", err))
			gone = append(gone, told[i].Addr)
			continue
		}
		if told[i].Draining {
			h.State = choice.Draining
		}
		if old := d.addresses[a.Host]; old.Partner != a.Partner || !slices.Equal(old.Addrs, a.Addrs) {
			d.addresses[a.Host], moved = a, true
		}
		d.inForce[a.Host] = h
		listing.Hosts = append(listing.Hosts, h)
	}
	for _, host := range gone {
		if h, was := d.inForce[host]; was {
			h.State = choice.Gone
			listing.Hosts = append(listing.Hosts, h)
			delete(d.inForce, host)
			delete(d.addresses, host)
			moved = true
		}
	}
	if moved && d.opt.OnAddresses != nil {
		at := make([]addr.Endpoint, 0, len(d.addresses))
		for _, host := range slices.Sorted(maps.Keys(d.addresses)) {
			at = append(at, d.addresses[host])
		}
		d.opt.OnAddresses(at)
	}
	if d.count = len(d.inForce); len(listing.Hosts) > 0 || listing.Full {
		d.opt.Sink.List(listing)
	}
	d.opt.OnListed(d.count)
	return next
}

// Endpoints returns the number of endpoints in force.
func (d *Directory) Endpoints() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.count
}

// Sources returns the state of each source.
func (d *Directory) Sources() []member.SourceState {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list.Sources(d.now())
}
