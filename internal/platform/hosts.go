package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"sync"
	"time"

	"basaltcross.example/basaltcross/internal/agent"
)

// hosts is the list as this relay last heard it, in the folder that lasts. What a relay
// was told counts for its next run as well, also where the agent does not answer then and
// the configuration's list is older.
type hosts struct {
	path   string
	most   int64 // bytes; a longer list is not kept
	failed func(error)

	mu     sync.Mutex
	latest *agent.List // that could not be written yet
	retry  *time.Timer
	closed bool
}

func hostsIn(dir string, most int64, failed func(error)) *hosts {
	return &hosts{path: filepath.Join(dir, "hosts.json"), most: most, failed: failed}
}

// hostsRetry is the pause before a list that could not be written is tried again.
const hostsRetry = 100 * time.Millisecond

// keep writes a list, later where that fails now.
func (h *hosts) keep(l agent.List) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.latest = &l
	if err := h.write(); err != nil {
		h.failed(err)
	}
}

// write writes the latest list; under mu.
func (h *hosts) write() error {
	if h.latest == nil || h.closed {
		return nil
	}
	err := h.put(*h.latest)
	if err == nil || errors.Is(err, errLong) {
		h.latest = nil
		return err
	}
	if h.retry == nil {
		h.retry = time.AfterFunc(hostsRetry, h.again)
	}
	return err
}

func (h *hosts) again() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.retry = nil
	_ = h.write() // it was said when it failed first
}

// close ends the tries.
func (h *hosts) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := h.write(); err != nil {
		h.failed(err)
	}
	h.closed = true
	if h.retry != nil {
		h.retry.Stop()
	}
}

// errLong says that a list is over the bound of what is kept.
var errLong = errors.New("the list of hosts is too long to be kept")

// newer is the kept list if it has a later revision than the known one, else that one.
// An error that is none of the system's says that what is kept is no list.
func (h *hosts) newer(known agent.List) (agent.List, error) {
	text, err := os.ReadFile(h.path)
	if errors.Is(err, fs.ErrNotExist) {
		return known, nil
	}
	if err != nil {
		return known, fmt.Errorf("platform: %w", err)
	}
	var kept agent.List
	if err := json.Unmarshal(text, &kept); err != nil {
		return known, fmt.Errorf("platform: %s: %w", h.path, err)
	}
	if kept.Rev > known.Rev && len(kept.Targets) > 0 {
		return kept, nil
	}
	return known, nil
}

// put writes a list so that a kill leaves the old or the new one. One that is too long
// leaves none: an old one would be worse than the configuration's.
func (h *hosts) put(l agent.List) error {
	text, err := json.Marshal(l)
	if err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	if int64(len(text)) > h.most {
		if err := os.Remove(h.path); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return fmt.Errorf("platform: %w", err)
		}
		return fmt.Errorf("platform: %w: the list of hosts has %d bytes, at most %d are kept", errLong, len(text), h.most)
	}
	tmp := h.path + ".new"
	if err := os.WriteFile(tmp, text, 0o600); err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	if err := os.Rename(tmp, h.path); err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	return nil
}
