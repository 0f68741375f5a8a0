package fleet

import (
	"fmt"
	"io"
	"math"
	"runtime"
	"sync"
	"text/tabwriter"
	"time"
)

// Size is what a run tests of the fleet's size: the fleet goes from one number of
// relays to another at half time, partners have limits that all relays share, and a
// fifth of the partners are away in the middle third and return cold.
type Size struct {
	Name   string
	From   int     // relays at first; Settings.Relays is the larger number
	To     int     // relays after half time
	Follow bool    // relays learn of the change: a join at once, deaths Late after
	Think  float64 // by how much what they believe is off
	Limit  float64 // of a partner, over its mean traffic
	Listed bool    // the list tells the limits; else relays find them
}

func (z *Size) believe(n int) int { return max(1, int(math.Round(float64(n)*z.Think))) }

// configured is the size that relays start with.
func (z *Size) configured(int) int { return z.believe(z.From) }

// limited is a partner's limit, and its return from an outage.
type limited struct {
	rate   float64
	tokens float64
	at     time.Duration
	back   time.Duration // returned then; below 0 for never
	load   []time.Duration
	pushed bool
}

// Figures of a returning partner, those of the relays' rules.
const (
	coldFrom = 0.2
	cold     = 10 * time.Second
	overload = 2.0
	fall     = 2 * time.Second
)

// meanRate is a partner's part of the traffic: arrivals square a uniform draw.
func (w *World) meanRate(p int) float64 {
	n := float64(w.set.Partners)
	return w.set.Rate * (math.Sqrt(float64(p+1)/n) - math.Sqrt(float64(p)/n))
}

func (w *World) limit(p int) *limited {
	if w.set.Size == nil {
		return nil
	}
	for len(w.limits) <= p {
		w.limits = append(w.limits, &limited{rate: max(2, w.meanRate(len(w.limits))*w.set.Size.Limit), back: -1})
	}
	return w.limits[p]
}

func (w *World) rateOf(p int) float64 {
	if w.set.Size == nil || !w.set.Size.Listed {
		return 0
	}
	return w.limits[p].rate
}

// take lets a call in, or refuses it.
func (l *limited) take(w *World) bool {
	share := 1.0
	if l.back >= 0 {
		share = min(1, coldFrom+(1-coldFrom)*float64(w.now-l.back)/float64(cold))
		if share < 1 {
			l.load = append(l.load, w.now)
			for w.now-l.load[0] > fall {
				l.load = l.load[1:]
			}
			if !l.pushed && w.now-l.back >= fall && float64(len(l.load)) > overload*share*l.rate*fall.Seconds() {
				l.pushed = true
				w.result.Pushed++
			}
		}
	}
	rate := l.rate * share
	l.tokens = min(max(1, rate/4), l.tokens+rate*(w.now-l.at).Seconds())
	if l.at = w.now; l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

func (w *World) planSize() {
	z, s := w.set.Size, w.set
	running := z.From
	for i, r := range w.relays {
		if i < z.From {
			w.arrivals(r, func() float64 { return s.Rate / float64(running) })
		}
	}
	tell := func() {
		if !z.Follow {
			return
		}
		for i, r := range w.relays {
			if !r.dead {
				r.core.Fleet(i, z.believe(z.To))
				r.step()
			}
		}
	}
	w.after(s.Lasts/2, func() {
		running = z.To
		for i, r := range w.relays {
			switch {
			case i >= z.To:
				r.dead = true
			case r.dead:
				r.dead = false
				r.step()
				w.arrivals(r, func() float64 { return s.Rate / float64(running) })
			}
		}
		if z.To > z.From {
			tell()
		} else {
			w.after(s.Late, tell)
		}
	})
	away := func(gone bool) {
		for p := 0; p < s.Partners; p += 5 {
			for i := range 2 {
				w.hosts[fmt.Sprintf("p%d-%d", p, i)].gone = gone
			}
			if !gone {
				l := w.limits[p]
				l.back, l.load, l.at, l.tokens = w.now, nil, w.now, 0
			}
		}
	}
	w.after(s.Lasts/3, func() { away(true) })
	w.after(2*s.Lasts/3, func() { away(false) })
}

// SizeLine sums up the runs of one way.
type SizeLine struct {
	Name          string
	Worth, Shut   Mean // shares of what was asked, and of a partner's calls for each message
	Pushed, Runs  int
	Returns       int
	worth, closed []float64
}

// Sizes runs each way with each seed.
func Sizes(base Settings, ways []Size, seeds int) ([]SizeLine, error) {
	out := make([]SizeLine, len(ways))
	var mu sync.Mutex
	var wait sync.WaitGroup
	var failed error
	slot := make(chan struct{}, runtime.GOMAXPROCS(0))
	results := make([][]Result, len(ways))
	for i := range ways {
		results[i] = make([]Result, seeds)
		for seed := range seeds {
			wait.Go(func() {
				slot <- struct{}{}
				defer func() { <-slot }()
				s := base
				s.Seed, s.How, s.Size = base.Seed+uint64(seed)*1000, None, &ways[i]
				s.Relays = max(ways[i].From, ways[i].To)
				r, err := Run(s)
				mu.Lock()
				defer mu.Unlock()
				if results[i][seed] = r; err != nil {
					failed = err
				}
			})
		}
	}
	wait.Wait()
	for i, w := range ways {
		l := SizeLine{Name: w.Name, Runs: seeds, Returns: seeds * ((base.Partners + 4) / 5)}
		for _, r := range results[i] {
			l.worth = append(l.worth, r.Delivered/r.Asked)
			l.closed = append(l.closed, float64(r.Shut)/math.Max(1, base.Rate*base.Lasts.Seconds()))
			l.Pushed += int(r.Pushed)
		}
		l.Worth, l.Shut = mean(l.worth), mean(l.closed)
		out[i] = l
	}
	return out, failed
}

// PrintSizes writes the lines as a table.
func PrintSizes(w io.Writer, lines []SizeLine) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "size believed\tworth delivered\trefused calls a message\tpushed over\t")
	for _, l := range lines {
		fmt.Fprintf(t, "%s\t%.1f%% ±%.1f\t%.3f ±%.3f\t%d of %d\t\n", l.Name, 100*l.Worth.Value, 100*l.Worth.Half, l.Shut.Value,
			l.Shut.Half, l.Pushed, l.Returns)
	}
	_ = t.Flush()
}
