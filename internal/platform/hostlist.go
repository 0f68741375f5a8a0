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

// hostListFile saves the latest host list of this relay in the state folder. The next run uses it
// where the agent does not answer and the list in the configuration is older.
type hostListFile struct {
	path     string
	maxBytes int64 // bytes; a longer list is not saved
	onError  func(error)

	mu      sync.Mutex
	pending *agent.List // latest list, until it has been written
	retry   *time.Timer
	closed  bool
}

func newHostListFile(dir string, maxBytes int64, onError func(error)) *hostListFile {
	return &hostListFile{path: filepath.Join(dir, "hosts.json"), maxBytes: maxBytes, onError: onError}
}

// hostListRetryDelay is the delay before a failed write is retried.
const hostListRetryDelay = 100 * time.Millisecond

// save writes a list, and retries later if the write fails.
func (h *hostListFile) save(l agent.List) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pending = &l
	if err := h.writePending(); err != nil {
		h.onError(err)
	}
}

// writePending writes the pending list, if there is one. The caller holds mu.
func (h *hostListFile) writePending() error {
	if h.pending == nil || h.closed {
		return nil
	}
	err := h.replaceFile(*h.pending)
	if err == nil || errors.Is(err, errListTooLong) {
		h.pending = nil
		return err
	}
	if h.retry == nil {
		h.retry = time.AfterFunc(hostListRetryDelay, h.retryWrite)
	}
	return err
}

func (h *hostListFile) retryWrite() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.retry = nil
	_ = h.writePending() // the first failure was reported
}

// close tries to write the pending list once more and stops the retries.
func (h *hostListFile) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := h.writePending(); err != nil {
		h.onError(err)
	}
	h.closed = true
	if h.retry != nil {
		h.retry.Stop()
	}
}

// errListTooLong is returned for a list larger than maxBytes.
var errListTooLong = errors.New("the list of hosts is too long to be saved")

// newest returns the saved list if its revision is later than that of known, else known. An error
// that is not a system error means that the file does not hold a valid list.
func (h *hostListFile) newest(known agent.List) (agent.List, error) {
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

// replaceFile writes a list atomically: a crash leaves the old or the new file. A list that is too
// long removes the file, since an outdated list would be worse than the one in the configuration.
func (h *hostListFile) replaceFile(l agent.List) error {
	text, err := json.Marshal(l)
	if err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	if int64(len(text)) > h.maxBytes {
		if err := os.Remove(h.path); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return fmt.Errorf("platform: %w", err)
		}
		return fmt.Errorf("platform: %w: the list of hosts has %d bytes, at most %d are saved", errListTooLong, len(text), h.maxBytes)
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
