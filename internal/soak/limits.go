package soak

import (
	"bytes"
	"fmt"
	"os"
	"sync"
	"time"

	"basaltcross.example/basaltcross/internal/emulator"
)

// Limits of a node's machine, as its configuration tells them.
const (
	nodeSockets  = 512
	nodeMemoryMB = 128
)

// holdingsEvery is the interval at which the descriptors and the memory of the nodes are looked at.
const holdingsEvery = 50 * time.Millisecond

// holdings is what a process holds.
type holdings struct {
	descriptors int
	memoryKB    int // anonymous memory: neither the program's text nor files
}

// holdingsOf looks at a process. It returns false once the process has ended.
func holdingsOf(pid int) (holdings, bool) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil || len(entries) == 0 {
		return holdings{}, false
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return holdings{}, false
	}
	h := holdings{descriptors: len(entries)}
	_, memory, found := bytes.Cut(status, []byte("RssAnon:"))
	if !found {
		return holdings{}, false
	}
	_, err = fmt.Sscan(string(memory), &h.memoryKB)
	return h, err == nil
}

// limitWatch checks what the nodes hold against the limits of their machines.
type limitWatch struct {
	mu         sync.Mutex
	finding    emulator.Finding
	most       holdings
	planted    bool
	exceededBy map[int]bool // processes that were found over a limit, by id: each counts once
}

// limitInvariant is what a limitWatch checks.
const limitInvariant = "a node stays within its descriptors and memory"

func newLimitWatch() *limitWatch {
	return &limitWatch{finding: emulator.Finding{Invariant: limitInvariant}, exceededBy: map[int]bool{}}
}

// plant makes the next look at a process find a descriptor too many.
func (w *limitWatch) plant() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.planted = true
}

// check records one look at a process of a node.
func (w *limitWatch) check(node, pid int, held holdings) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.planted {
		held.descriptors, w.planted = nodeSockets+1, false
	}
	w.most.descriptors = max(w.most.descriptors, held.descriptors)
	w.most.memoryKB = max(w.most.memoryKB, held.memoryKB)
	w.finding.Checked++
	if held.descriptors <= nodeSockets && held.memoryKB <= nodeMemoryMB<<10 || w.exceededBy[pid] {
		return
	}
	w.exceededBy[pid] = true
	w.finding.Broken++
	w.finding.Examples = append(w.finding.Examples, fmt.Sprintf("node %d, process %d: %d descriptors of %d, %d KB of %d MB",
		node, pid, held.descriptors, nodeSockets, held.memoryKB, nodeMemoryMB))
}

// result returns the finding and the most that any process held.
func (w *limitWatch) result() (*emulator.Finding, holdings) {
	w.mu.Lock()
	defer w.mu.Unlock()
	finding := w.finding
	return &finding, w.most
}

// watchLimits looks at all nodes until stop is called.
func (r *run) watchLimits() (stop func()) {
	done := make(chan struct{})
	var over sync.WaitGroup
	over.Go(func() {
		tick := time.NewTicker(holdingsEvery)
		defer tick.Stop()
		for {
			select {
			case <-done:
				return
			case <-tick.C:
			}
			for _, n := range r.nodes {
				n.checkLimits()
			}
		}
	})
	return func() {
		close(done)
		over.Wait()
	}
}

// checkLimits looks at the node's current process, if it has one.
func (n *node) checkLimits() {
	n.mu.Lock()
	p := n.process
	n.mu.Unlock()
	if p == nil {
		return
	}
	if held, ok := holdingsOf(p.Pid); ok {
		n.run.limits.check(n.number, p.Pid, held)
	}
}
