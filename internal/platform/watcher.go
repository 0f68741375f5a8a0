package platform

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"basaltcross.example/basaltcross/choice"
	"basaltcross.example/basaltcross/internal/ledger"
)

// watcher is the core's observer: it counts, says now and then what the relay
// believes, and passes the module's words on.
type watcher struct {
	node *Node

	mu       sync.Mutex
	taken    int
	answered [5]int                  // by verdict
	attempts [choice.Doubted + 1]int // by outcome
	held     int                     // now
	out      int
	mostHeld int // since the last saying
	mostOut  int
	peak     int // of out, in this run
}

// sayEvery is how often a line says what the relay holds and counted since the last.
const sayEvery = 5 * time.Second

func (w *watcher) Taken(int) {
	w.mu.Lock()
	w.taken++
	w.mu.Unlock()
}

func (w *watcher) Answered(_ int, a ledger.Answer, _ time.Duration) {
	w.mu.Lock()
	w.answered[a.Verdict]++
	w.mu.Unlock()
}

func (w *watcher) Attempted(_ int, o choice.Outcome, _ time.Duration) {
	w.mu.Lock()
	w.attempts[o]++
	w.mu.Unlock()
}

func (w *watcher) Gauge(held, out, _, _ int) {
	w.mu.Lock()
	w.held, w.out = held, out
	w.mostHeld, w.mostOut, w.peak = max(w.mostHeld, held), max(w.mostOut, out), max(w.peak, out)
	w.mu.Unlock()
}

func (w *watcher) Log(text string) { w.node.log.Info().Str("cause", "choice").Msg(text) }

// run says what was counted until ctx ends, and then once more.
func (w *watcher) run(ctx context.Context) {
	tick := time.NewTicker(sayEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			w.say()
			return
		case <-tick.C:
			w.say()
		}
	}
}

func (w *watcher) say() {
	n := w.node
	f := n.front.Counts()
	w.mu.Lock()
	defer w.mu.Unlock()
	var ends, tries []string
	for v := ledger.Delivered; v <= ledger.Abandoned; v++ {
		if w.answered[v] > 0 {
			ends = append(ends, fmt.Sprintf("%s %d", v, w.answered[v]))
		}
	}
	for o, k := range w.attempts {
		if k > 0 {
			tries = append(tries, fmt.Sprintf("%s %d", choice.Outcome(o), k))
		}
	}
	n.log.Info().Str("cause", "count").Int("taken", w.taken).Str("ended", strings.Join(ends, ", ")).
		Str("attempts", strings.Join(tries, ", ")).Int("held", w.held).Int("held_most", w.mostHeld).Int("out", w.out).
		Int("out_most", w.mostOut).Int("clients", n.front.Connections()).Int64("at_once", f.Refused.Load()+f.Failed.Load()).
		Int64("rejected", f.Rejected.Load()).Int64("turned_away", f.NotAccepted.Load()).Int64("evicted", f.Evicted.Load()).
		Interface("closes", f.Closes.Counts()).Interface("violations", n.guard.Counts()).Interface("peers", n.caller.Refusals()).Int("notices", n.said.Len()).Uint64("disk", n.keep.Stats().Disk).Msg("since the last such line")
	w.taken, w.answered, w.attempts, w.mostHeld, w.mostOut = 0, [5]int{}, [choice.Doubted + 1]int{}, w.held, w.out
}
