// Package directory is where endpoint lists come from. A Source hands whole
// lists to a Sink; the first source is a file. A source that fails keeps the
// last good list in force and says so.
package directory

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/fsnotify/fsnotify"

	"basaltcross.example/basaltcross/choice"
	"basaltcross.example/basaltcross/internal/addr"
	"basaltcross.example/basaltcross/internal/config"
)

// Sink takes news of the endpoint list.
type Sink interface {
	List(choice.Listing)
}

// Source follows an endpoint list until ctx ends.
type Source interface {
	Run(ctx context.Context, to Sink) error
}

// Names turn the names of a list into the module's numbers.
type Names struct {
	Partners map[string]int
	Kinds    []int // by partner
	Zones    map[string]int
	Secure   []bool // by partner: called over TLS
}

var states = map[string]choice.State{"ready": choice.Ready, "draining": choice.Draining, "gone": choice.Gone}

// Hosts translates a checked list. A name that the configuration lacks, and an
// address that stands twice, are errors.
func (n Names) Hosts(list []config.Endpoint) ([]choice.Host, error) {
	seen := make(map[string]bool, len(list))
	hosts := make([]choice.Host, 0, len(list))
	for i, e := range list {
		p, ok := n.Partners[e.Partner]
		if !ok {
			return nil, fmt.Errorf("endpoints[%d].partner: %q is no partner of the configuration", i, e.Partner)
		}
		z, ok := n.Zones[e.Zone]
		if !ok {
			return nil, fmt.Errorf("endpoints[%d].zone: %q is no zone of the configuration", i, e.Zone)
		}
		if seen[e.Addr] {
			return nil, fmt.Errorf("endpoints[%d].addr: %s stands twice", i, e.Addr)
		}
		seen[e.Addr] = true
		hosts = append(hosts, choice.Host{Addr: e.Addr, Dest: p, Kind: n.Kinds[p], Zone: z, Rate: e.Rate,
			State: states[e.State]})
	}
	return hosts, nil
}

// Sinks hands news to several sinks, one after the other.
type Sinks []Sink

// List hands a listing to each.
func (s Sinks) List(l choice.Listing) {
	for _, to := range s {
		to.List(l)
	}
}

// Addresses are the ways to each endpoint: those that it lists, else the address
// that is its name. Secure tells of each partner whether its calls use TLS.
func (n *Names) Addresses(list []config.Endpoint) ([]addr.Endpoint, error) {
	out := make([]addr.Endpoint, 0, len(list))
	for i, e := range list {
		p := n.Partners[e.Partner]
		at := addr.Endpoint{Host: e.Addr, Partner: p, Secure: p < len(n.Secure) && n.Secure[p]}
		ways := e.Addrs
		if len(ways) == 0 {
			ways = []string{e.Addr}
		}
		for j, s := range ways {
			a, err := addr.Parse(s)
			if err != nil {
				return nil, fmt.Errorf("endpoints[%d].addrs[%d]: %w", i, j, err)
			}
			at.Addrs = append(at.Addrs, a)
		}
		out = append(out, at)
	}
	return out, nil
}

// File follows a list file. It is to be replaced by renaming a new one over
// it; a write in place works too once it is whole.
type File struct {
	Path  string
	Names Names
	Most  int // bytes read at most; a larger file counts as broken
	// Report is told of each reading: the endpoints it gave, or what was wrong.
	Report func(endpoints int, err error)
	// Addresses takes those of each list before the list goes to the sink; may be nil.
	Addresses func([]addr.Endpoint)

	mu    sync.Mutex
	count int
}

// quiet is how long a file must stay unchanged before it is read, so that one
// written in pieces is not read half; poll finds what the watcher missed.
const (
	quiet = 20 * time.Millisecond
	poll  = time.Second
)

// Endpoints is the number of endpoints of the last good list.
func (f *File) Endpoints() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.count
}

// Load reads the file once.
func (f *File) Load() ([]choice.Host, []addr.Endpoint, error) {
	list, err := f.load()
	if err != nil {
		return nil, nil, err
	}
	hosts, err := f.Names.Hosts(list)
	if err != nil {
		return nil, nil, fmt.Errorf("directory: %s: %w", f.Path, err)
	}
	addrs, err := f.Names.Addresses(list)
	if err != nil {
		return nil, nil, fmt.Errorf("directory: %s: %w", f.Path, err)
	}
	return hosts, addrs, nil
}

func (f *File) load() ([]config.Endpoint, error) {
	st, err := os.Stat(f.Path)
	if err != nil {
		return nil, fmt.Errorf("directory: %w", err)
	}
	if st.Size() > int64(f.Most) {
		return nil, fmt.Errorf("directory: %s has %d bytes, at most %d are read", f.Path, st.Size(), f.Most)
	}
	text, err := os.ReadFile(f.Path)
	if err != nil {
		return nil, fmt.Errorf("directory: %w", err)
	}
	list, err := config.ParseList(f.Path, text)
	if err != nil {
		return nil, fmt.Errorf("directory: %w", err)
	}
	return list, nil
}

// Run reads the file, hands its list on, and does so again at each change. It
// fails only where the folder cannot be watched.
func (f *File) Run(ctx context.Context, to Sink) error {
	w, err := fsnotify.NewWatcher()
	if err != nil {
		return fmt.Errorf("directory: watch: %w", err)
	}
	defer w.Close()
	// The folder, not the file: a rename over the file ends a watch of it.
	if err := w.Add(filepath.Dir(f.Path)); err != nil {
		return fmt.Errorf("directory: watch: %w", err)
	}
	var last []choice.Host
	var stamp os.FileInfo
	read := func() {
		if st, err := os.Stat(f.Path); err == nil {
			stamp = st
		}
		hosts, addrs, err := f.Load()
		if err != nil {
			f.Report(0, err)
			to.List(choice.Listing{Failed: true})
			return
		}
		f.Report(len(hosts), nil)
		if f.Addresses != nil {
			f.Addresses(addrs)
		}
		if last == nil || !slices.Equal(hosts, last) {
			last = hosts
			f.mu.Lock()
			f.count = len(hosts)
			f.mu.Unlock()
			to.List(choice.Listing{Whole: true, Hosts: slices.Clone(hosts)})
		}
	}
	read()
	settle := time.NewTimer(time.Hour)
	settle.Stop()
	tick := time.NewTicker(poll)
	defer tick.Stop()
	name := filepath.Clean(f.Path)
	for {
		select {
		case <-ctx.Done():
			return nil
		case e, ok := <-w.Events:
			if ok && filepath.Clean(e.Name) == name && !e.Has(fsnotify.Chmod) {
				settle.Reset(quiet)
			}
		case err, ok := <-w.Errors:
			if ok {
				f.Report(0, fmt.Errorf("directory: watch: %w", err))
			}
		case <-tick.C:
			st, err := os.Stat(f.Path)
			if err == nil && (stamp == nil || !os.SameFile(st, stamp) || st.ModTime() != stamp.ModTime() ||
				st.Size() != stamp.Size()) {
				settle.Reset(quiet)
			}
		case <-settle.C:
			read()
		}
	}
}
