package soak

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"
)

// maxDumpLines bounds the lines of a log that are kept once the process prints its goroutines.
const maxDumpLines = 100_000

// dumpTimeout is how long a process may take to print its goroutines.
const dumpTimeout = 5 * time.Second

// keepEvidence writes what a failed run leaves behind to a directory: for each node the address of its agent, that in
// its configuration, the last lines of its log and the stacks of its goroutines. It ends the processes.
func (r *run) keepEvidence(dir string) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	var errs []error
	for _, n := range r.nodes {
		n.dumpGoroutines()
		path := filepath.Join(dir, fmt.Sprintf("seed-%d-node-%d.txt", r.opt.Seed, n.number))
		errs = append(errs, os.WriteFile(path, []byte(n.evidence()), 0o600))
	}
	return errors.Join(errs...)
}

// dumpGoroutines makes the node's process print the stacks of its goroutines and end.
func (n *node) dumpGoroutines() {
	n.mu.Lock()
	p := n.process
	n.mu.Unlock()
	if p == nil {
		return
	}
	select {
	case <-p.Done(): // exited on its own
		return
	default:
	}
	n.mu.Lock()
	n.dumped = true
	n.mu.Unlock()
	n.log.keep(maxDumpLines)
	p.Signal(syscall.SIGQUIT)
	select {
	case <-p.Done():
	case <-time.After(dumpTimeout):
		p.Signal(syscall.SIGKILL)
		<-p.Done()
	}
}

// evidence returns the node's addresses and the lines of its log.
func (n *node) evidence() string {
	n.mu.Lock()
	configured := n.discovery
	n.mu.Unlock()
	lines := []string{"agent " + n.agent.Addr(), "configured " + configured, ""}
	return strings.Join(append(lines, n.log.kept()...), "\n") + "\n"
}

// keep raises the number of lines that are kept.
func (t *logTail) keep(most int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.most = most
}

// kept returns the lines that are kept.
func (t *logTail) kept() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.lines)
}
