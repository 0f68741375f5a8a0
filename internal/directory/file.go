package directory

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/fsnotify/fsnotify"

	"basaltcross.example/basaltcross/internal/config"
	"basaltcross.example/basaltcross/internal/member"
)

// File follows a list file. It is to be replaced by renaming a new one over
// it; a write in place works too once it is whole. A file that cannot be used
// leaves the last good list in force, whole.
type File struct {
	Path  string
	Names Names
	Most  int // bytes read at most; a larger file counts as broken
}

// quiet is how long a file must stay unchanged before it is read, so that one
// written in pieces is not read half; poll finds what the watcher missed.
const (
	quiet = 20 * time.Millisecond
	poll  = time.Second
)

// Settings of the source: what people wrote is sure.
func (f *File) Settings() member.SourceSettings {
	return member.SourceSettings{Name: "file", Sure: true}
}

// Origin is the path.
func (f *File) Origin() string { return f.Path }

// Load reads the file once. A name that the configuration lacks, and an address
// that stands twice, are errors.
func (f *File) Load() ([]member.Entry, error) {
	list, err := f.load()
	if err != nil {
		return nil, err
	}
	seen := make(map[string]bool, len(list))
	out := make([]member.Entry, 0, len(list))
	for i, e := range list {
		x := member.Entry{Addr: e.Addr, Addrs: e.Addrs, Partner: e.Partner, Zone: e.Zone, Rate: e.Rate,
			Draining: e.State == "draining"}
		if _, _, err := f.Names.host(&x); err != nil {
			return nil, fmt.Errorf("directory: %s: endpoints[%d].%w", f.Path, i, err)
		}
		if seen[e.Addr] {
			return nil, fmt.Errorf("directory: %s: endpoints[%d].addr: %s stands twice", f.Path, i, e.Addr)
		}
		if seen[e.Addr] = true; e.State != "gone" {
			out = append(out, x)
		}
	}
	return out, nil
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

// Follow reads the file, reports its list, and does so again at each change.
// Where its folder cannot be watched it looks once a second.
func (f *File) Follow(ctx context.Context, to News) {
	var events chan fsnotify.Event
	var errs chan error
	w, err := fsnotify.NewWatcher()
	if err == nil {
		defer w.Close()
		// The folder, not the file: a rename over the file ends a watch of it.
		err = w.Add(filepath.Dir(f.Path))
		events, errs = w.Events, w.Errors
	}
	if err != nil {
		to.Failed(fmt.Errorf("directory: watch: %w", err))
	}
	var stamp os.FileInfo
	read := func() {
		if st, err := os.Stat(f.Path); err == nil {
			stamp = st
		}
		if list, err := f.Load(); err != nil {
			to.Failed(err)
		} else {
			to.Report(member.Report{Entries: list, Fresh: true})
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
			return
		case e, ok := <-events:
			if ok && filepath.Clean(e.Name) == name && !e.Has(fsnotify.Chmod) {
				settle.Reset(quiet)
			}
		case err, ok := <-errs:
			if ok {
				to.Failed(fmt.Errorf("directory: watch: %w", err))
			}
		case <-tick.C:
			st, err := os.Stat(f.Path)
			if err == nil && (stamp == nil || !os.SameFile(st, stamp) || st.ModTime() != stamp.ModTime() ||
				st.Size() != stamp.Size()) {
				settle.Reset(quiet)
			}
			to.Heard()
		case <-settle.C:
			read()
		}
	}
}
