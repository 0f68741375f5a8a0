package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"basaltcross.example/basaltcross/internal/agent"
)

// hosts is the list as this relay last heard it, in the folder that lasts. What a relay
// was told counts for its next run as well, also where the agent does not answer then and
// the configuration's list is older.
type hosts struct {
	path string
	most int64 // bytes; a longer list is not kept
}

func hostsIn(dir string, most int64) hosts { return hosts{filepath.Join(dir, "hosts.json"), most} }

// newer is the kept list if it has a later revision than the known one, else that one.
func (h hosts) newer(known agent.List) (agent.List, error) {
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

// keep writes a list so that a kill leaves the old or the new one. One that is too long
// leaves none: an old one would be worse than the configuration's.
func (h hosts) keep(l agent.List) error {
	text, err := json.Marshal(l)
	if err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	if int64(len(text)) > h.most {
		if err := os.Remove(h.path); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return fmt.Errorf("platform: %w", err)
		}
		return fmt.Errorf("platform: the list of hosts has %d bytes, at most %d are kept", len(text), h.most)
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
