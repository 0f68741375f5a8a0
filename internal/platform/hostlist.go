package platform

import (
	"errors"
	"sync"
	"time"

	"basaltcross.example/basaltcross/internal/agent"
)

// hostListWriter saves the latest host list of this relay in the state folder, on a goroutine of its own: whoever
// hears a list doesn't wait for the disk. The next run uses the list where the agent does not answer and the list
// in the configuration is older.
type hostListWriter struct {
	file    *savedList
	onError func(error)
	changed chan struct{} // there is a pending list; holds one element at most
	stop    chan struct{}
	stopped chan struct{}

	mu      sync.Mutex
	pending *agent.List // latest list, until it has been written
}

// hostListRetryDelay is the delay before a failed write is retried.
const hostListRetryDelay = 100 * time.Millisecond

// newHostListWriter starts a writer. onError is called from its goroutine when writes begin to fail, and for each
// list that is too long.
func newHostListWriter(file *savedList, onError func(error)) *hostListWriter {
	h := &hostListWriter{file: file, onError: onError, changed: make(chan struct{}, 1),
		stop: make(chan struct{}), stopped: make(chan struct{})}
	go h.run()
	return h
}

// save makes a list the next one to be written. It does not wait.
func (h *hostListWriter) save(l agent.List) {
	h.mu.Lock()
	h.pending = &l
	h.mu.Unlock()
	select {
	case h.changed <- struct{}{}:
	default: // the writer has not taken up the change before
	}
}

// close tries to write the pending list once more and ends the writer.
func (h *hostListWriter) close() {
	close(h.stop)
	<-h.stopped
}

// run writes pending lists until the writer is closed. A write that fails is retried.
func (h *hostListWriter) run() {
	defer close(h.stopped)
	var retry <-chan time.Time // nil unless the last write failed
	for {
		closing := false
		select {
		case <-h.changed:
		case <-retry:
		case <-h.stop:
			closing = true
		}
		err := h.writePending()
		tooLong := errors.Is(err, errListTooLong)
		if err != nil && (retry == nil || tooLong || closing) {
			h.onError(err)
		}
		retry = nil
		if err != nil && !tooLong {
			retry = time.After(hostListRetryDelay)
		}
		if closing {
			return
		}
	}
}

// writePending writes the pending list, if there is one. It stays pending after an error, unless it is too long.
func (h *hostListWriter) writePending() error {
	h.mu.Lock()
	l := h.pending
	h.mu.Unlock()
	if l == nil {
		return nil
	}
	err := h.file.write(*l)
	if err != nil && !errors.Is(err, errListTooLong) {
		return err
	}
	h.mu.Lock()
	if h.pending == l { // no newer one has come meanwhile
		h.pending = nil
	}
	h.mu.Unlock()
	return err
}
