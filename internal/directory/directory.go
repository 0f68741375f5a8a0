// Package directory is where endpoint lists come from: files and catalogues are
// sources, package member decides what is believed of them, and a Directory
// carries that to the core as news. A source that fails keeps its last good list
// in force and says so.
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

// Sink takes news of the endpoint list.
type Sink interface {
	List(choice.HostUpdate)
}

// News is where a source reports to; its methods may be called from any goroutine.
type News interface {
	Report(member.Report)
	Heard()           // an answer that brought nothing new
	Failed(err error) // the last good list stands
}

// Source follows endpoints until ctx ends.
type Source interface {
	Settings() member.SourceSettings
	// Origin tells installations apart; lists of another one are not taken from disk.
	Origin() string
	Follow(ctx context.Context, to News)
}

// Names turn the names of a list into the module's numbers.
type Names struct {
	Partners map[string]int
	Kinds    []int // by partner
	Zones    map[string]int
	Secure   []bool // by partner: called over TLS
	// Host, if set, translates an entry in place of the tables, its state apart.
	Host func(*member.Entry) (choice.Host, error)
}

// host translates one entry, and its addresses.
func (n *Names) host(e *member.Entry) (h choice.Host, at addr.Endpoint, err error) {
	if n.Host != nil {
		if h, err = n.Host(e); err != nil {
			return h, at, err
		}
		h.State = choice.Ready
		at = addr.Endpoint{Host: e.Addr, Partner: h.Dest}
		at.Addrs, err = ways(e)
		return h, at, err
	}
	p, ok := n.Partners[e.Partner]
	if !ok {
		return h, at, fmt.Errorf("partner: %q is no partner of the configuration", e.Partner)
	}
	z, ok := n.Zones[e.Zone]
	if !ok {
		return h, at, fmt.Errorf("zone: %q is no zone of the configuration", e.Zone)
	}
	h = choice.Host{Addr: e.Addr, Dest: p, Kind: n.Kinds[p], Zone: z, Rate: e.Rate, State: choice.Ready}
	at = addr.Endpoint{Host: e.Addr, Partner: p, Secure: p < len(n.Secure) && n.Secure[p]}
	at.Addrs, err = ways(e)
	return h, at, err
}

// ways are the addresses of an entry.
func ways(e *member.Entry) (all []addr.Address, err error) {
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

// Sinks hands news to several sinks, one after the other.
type Sinks []Sink

// List hands a listing to each.
func (s Sinks) List(l choice.HostUpdate) {
	for _, to := range s {
		to.List(l)
	}
}

// Options of a Directory.
type Options struct {
	Names    Names
	Sources  []Source // in the order of their precedence
	Settings member.Settings
	Saved    string // file for the last good list; empty for none
	Most     int    // bytes of it that are read at most
	To       Sink
	// Addresses takes the addresses of all endpoints before the list that has them.
	Addresses func([]addr.Endpoint)
	// Listed is told of lists in force; Failed of sources that fail, and of entries
	// that cannot be used.
	Listed func(endpoints int)
	Failed func(source string, err error)
}

// Directory merges sources into one list.
type Directory struct {
	opt   Options
	epoch time.Time
	wake  chan struct{}

	mu      sync.Mutex
	list    *member.List
	last    map[string]choice.Host // as told
	at      map[string]addr.Endpoint
	reports []member.Report // the last of each source
	unsaved bool
	count   int
}

// New makes a directory, with the last good list if there is one.
func New(opt Options) *Directory {
	d := &Directory{opt: opt, epoch: time.Now(), wake: make(chan struct{}, 1), reports: make([]member.Report, len(opt.Sources))}
	var set []member.SourceSettings
	for _, s := range opt.Sources {
		set = append(set, s.Settings())
	}
	d.list = member.NewList(opt.Settings, set)
	if opt.Saved == "" {
		return d
	}
	old, err := readSaved(opt.Saved, opt.Most)
	if err != nil {
		opt.Failed("saved list", err)
	}
	if old == nil {
		return d
	}
	for i, s := range opt.Sources {
		j := slices.IndexFunc(old.Sources, func(o savedSource) bool { return o.Name == set[i].Name })
		switch {
		case j < 0 || set[i].Sure:
		case old.Sources[j].Origin != s.Origin():
			opt.Failed(set[i].Name, errors.New("directory: the saved list is another installation's; it is not used"))
		default:
			d.reports[i] = member.Report{Entries: old.Sources[j].Entries, Fresh: true}
			d.list.Report(0, i, d.reports[i])
		}
	}
	return d
}

func (d *Directory) now() time.Duration { return time.Since(d.epoch) }

// news is one source's way in.
type news struct {
	d    *Directory
	from int
}

func (n news) Report(r member.Report) {
	d := n.d
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reports[n.from], d.unsaved = r, true
	d.list.Report(d.now(), n.from, r)
	d.step()
	d.nudge()
}

// nudge has Run look when the next step is due.
func (d *Directory) nudge() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

func (n news) Heard() {
	n.d.mu.Lock()
	defer n.d.mu.Unlock()
	n.d.list.Heard(n.d.now(), n.from)
	n.d.nudge()
}

func (n news) Failed(err error) {
	n.d.opt.Failed(n.d.opt.Sources[n.from].Settings().Name, err)
	if n.d.opt.Sources[n.from].Settings().Sure {
		n.d.opt.To.List(choice.HostUpdate{Failed: true})
	}
}

// saveEvery bounds how often the list is written while it changes.
const saveEvery = time.Second

// Run follows all sources until ctx ends.
func (d *Directory) Run(ctx context.Context) {
	var wait sync.WaitGroup
	defer wait.Wait()
	d.mu.Lock()
	d.step()
	d.mu.Unlock()
	for i, s := range d.opt.Sources {
		wait.Go(func() { s.Follow(ctx, news{d, i}) })
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	save := time.NewTicker(saveEvery)
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
		next := d.step()
		now := d.now()
		d.mu.Unlock()
		sleep := time.Hour
		if next >= 0 {
			sleep = max(next-now, time.Millisecond)
		}
		timer.Reset(sleep)
	}
}

func (d *Directory) save() {
	d.mu.Lock()
	s := &saved{At: time.Now().Unix()}
	for i, r := range d.reports {
		if set := d.opt.Sources[i].Settings(); !set.Sure {
			s.Sources = append(s.Sources, savedSource{set.Name, d.opt.Sources[i].Origin(), r.Entries})
		}
	}
	due := d.unsaved && d.opt.Saved != "" && len(s.Sources) > 0
	d.unsaved = false
	d.mu.Unlock()
	if due {
		if err := s.write(d.opt.Saved); err != nil {
			d.opt.Failed("saved list", err)
		}
	}
}

// step tells what changed; under mu, so that news go out in their order.
func (d *Directory) step() (next time.Duration) {
	told, gone, next := d.list.Step(d.now())
	if len(told)+len(gone) == 0 && d.last != nil {
		return next
	}
	news := choice.HostUpdate{Full: d.last == nil}
	if d.last == nil {
		d.last, d.at = map[string]choice.Host{}, map[string]addr.Endpoint{}
	}
	moved := false
	for i := range told {
		h, a, err := d.opt.Names.host(&told[i].Entry)
		if err != nil {
			d.opt.Failed(told[i].Addr, fmt.Errorf("directory: %w", err))
			gone = append(gone, told[i].Addr)
			continue
		}
		if told[i].Draining {
			h.State = choice.Draining
		}
		if old := d.at[a.Host]; old.Partner != a.Partner || !slices.Equal(old.Addrs, a.Addrs) {
			d.at[a.Host], moved = a, true
		}
		d.last[a.Host] = h
		news.Hosts = append(news.Hosts, h)
	}
	for _, host := range gone {
		if h, was := d.last[host]; was {
			h.State = choice.Gone
			news.Hosts = append(news.Hosts, h)
			delete(d.last, host)
			delete(d.at, host)
			moved = true
		}
	}
	if moved && d.opt.Addresses != nil {
		at := make([]addr.Endpoint, 0, len(d.at))
		for _, host := range slices.Sorted(maps.Keys(d.at)) {
			at = append(at, d.at[host])
		}
		d.opt.Addresses(at)
	}
	if d.count = len(d.last); len(news.Hosts) > 0 || news.Full {
		d.opt.To.List(news)
	}
	d.opt.Listed(d.count)
	return next
}

// Endpoints is the number of endpoints in force.
func (d *Directory) Endpoints() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.count
}

// Sources tells how the sources stand.
func (d *Directory) Sources() []member.SourceState {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list.Sources(d.now())
}
