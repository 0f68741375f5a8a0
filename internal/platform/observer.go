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

// observer is the core's observer: it counts messages and attempts, logs the counts at regular
// intervals, and writes the log lines of package choice.
type observer struct {
	node *Node

	mu          sync.Mutex
	taken       int
	answered    [5]int                  // by verdict
	attempts    [choice.Doubted + 1]int // by outcome
	held        int                     // messages held now
	out         int                     // calls in flight now
	maxHeld     int                     // highest value of held since the last log line
	maxOut      int                     // highest value of out since the last log line
	maxOutInRun int                     // highest value of out in this run
}

// countsInterval is the interval between two log lines with the counts.
const countsInterval = 5 * time.Second

func (w *observer) Taken(int) {
	w.mu.Lock()
	w.taken++
	w.mu.Unlock()
}

func (w *observer) Answered(_ int, a ledger.Answer, _ time.Duration) {
	w.mu.Lock()
	w.answered[a.Verdict]++
	w.mu.Unlock()
}

func (w *observer) Attempted(_ int, o choice.Outcome, _ time.Duration) {
	w.mu.Lock()
	w.attempts[o]++
	w.mu.Unlock()
}

func (w *observer) Gauge(held, out, _, _ int) {
	w.mu.Lock()
	w.held, w.out = held, out
	w.maxHeld, w.maxOut, w.maxOutInRun = max(w.maxHeld, held), max(w.maxOut, out), max(w.maxOutInRun, out)
	w.mu.Unlock()
}

func (w *observer) Log(text string) { w.node.log.Info().Str("cause", "choice").Msg(text) }

// run logs the counts at regular intervals until ctx ends, and then once more.
func (w *observer) run(ctx context.Context) {
	tick := time.NewTicker(countsInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			w.logCounts()
			return
		case <-tick.C:
			w.logCounts()
		}
	}
}

func (w *observer) logCounts() {
	n := w.node
	f := n.front.Counts()
	w.mu.Lock()
	defer w.mu.Unlock()
	var verdicts, outcomes []string
	for v := ledger.Delivered; v <= ledger.Abandoned; v++ {
		if w.answered[v] > 0 {
			verdicts = append(verdicts, fmt.Sprintf("%s %d", v, w.answered[v]))
		}
	}
	for o, k := range w.attempts {
		if k > 0 {
			outcomes = append(outcomes, fmt.Sprintf("%s %d", choice.Outcome(o), k))
		}
	}
	n.log.Info().Str("cause", "count").Int("taken", w.taken).Str("ended", strings.Join(verdicts, ", ")).
		Str("attempts", strings.Join(outcomes, ", ")).Int("held", w.held).Int("held_most", w.maxHeld).Int("out", w.out).
		Int("out_most", w.maxOut).Interface("sockets", n.caller.SocketCounts()).Int("clients", n.front.Connections()).Int64("at_once", f.Refused.Load()+f.Failed.Load()).
		Int64("rejected", f.Rejected.Load()).Int64("turned_away", f.NotAccepted.Load()).Int64("evicted", f.Evicted.Load()).
		Interface("closes", f.Closes.Counts()).Interface("violations", n.guard.Counts()).Interface("peers", n.caller.Refusals()).Int("notices", n.notices.Len()).Uint64("disk", n.journalLog.Stats().Disk).Msg("counts since the last such line")
	w.taken, w.answered, w.attempts, w.maxHeld, w.maxOut = 0, [5]int{}, [choice.Doubted + 1]int{}, w.held, w.out
}
