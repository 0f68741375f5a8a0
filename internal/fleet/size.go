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

// SizeTest configures a test of what relays assume of the fleet's size. The number of relays changes
// halfway through the run. Partners have rate limits that all relays share. A fifth of the
// partners are down in the middle third of the run and return with reduced capacity.
type SizeTest struct {
	Name          string
	From          int     // relays in the first half; Settings.Relays is the larger of From and To
	To            int     // relays in the second half
	Follow        bool    // relays learn of the change: at once if the fleet grew, after the detection delay if it shrank
	EstimateRatio float64 // ratio of the assumed fleet size to the true one
	LimitRatio    float64 // a partner's rate limit as a multiple of its mean traffic
	Listed        bool    // the endpoint list states the limits; otherwise relays discover them
}

// assumedSize returns the size that relays assume for a fleet of n.
func (z *SizeTest) assumedSize(n int) int { return max(1, int(math.Round(float64(n)*z.EstimateRatio))) }

// initialAssumedSize returns the fleet size that relays start with.
func (z *SizeTest) initialAssumedSize(int) int { return z.assumedSize(z.From) }

// rateLimit is a partner's rate limit, a token bucket, and the state of its return from an outage.
type rateLimit struct {
	rate        float64
	tokens      float64
	refilledAt  time.Duration
	returnedAt  time.Duration // time of its return; negative if there was none
	recentCalls []time.Duration
	overloaded  bool
}

// Settings of a returning partner, equal to those of the relays' rules.
const (
	coldFrom       = 0.2
	cold           = 10 * time.Second
	overloadFactor = 2.0
	fall           = 2 * time.Second
)

// meanRate returns a partner's mean traffic in messages per second. It follows from how arrivals
// picks partners: by the square of a uniform random number.
func (w *simulation) meanRate(p int) float64 {
	n := float64(w.settings.Partners)
	return w.settings.Rate * (math.Sqrt(float64(p+1)/n) - math.Sqrt(float64(p)/n))
}

// limit returns a partner's rate limit, which it creates on first use; nil without Settings.SizeTest.
func (w *simulation) limit(p int) *rateLimit {
	if w.settings.SizeTest == nil {
		return nil
	}
	for len(w.limits) <= p {
		w.limits = append(w.limits,
			&rateLimit{rate: max(2, w.meanRate(len(w.limits))*w.settings.SizeTest.LimitRatio), returnedAt: -1})
	}
	return w.limits[p]
}

// listedRate returns the rate that the endpoint list states for a partner; 0 for none.
func (w *simulation) listedRate(p int) float64 {
	if w.settings.SizeTest == nil || !w.settings.SizeTest.Listed {
		return 0
	}
	return w.limits[p].rate
}

// admit reports whether the rate limit admits a call. While the partner warms up after an outage it
// also detects an overload.
func (l *rateLimit) admit(w *simulation) bool {
	share := 1.0
	if l.returnedAt >= 0 {
		share = min(1, coldFrom+(1-coldFrom)*float64(w.now-l.returnedAt)/float64(cold))
		if share < 1 {
			l.recentCalls = append(l.recentCalls, w.now)
			for w.now-l.recentCalls[0] > fall {
				l.recentCalls = l.recentCalls[1:]
			}
			if !l.overloaded && w.now-l.returnedAt >= fall &&
				float64(len(l.recentCalls)) > overloadFactor*share*l.rate*fall.Seconds() {
				l.overloaded = true
				w.result.Overloaded++
			}
		}
	}
	rate := l.rate * share
	l.tokens = min(max(1, rate/4), l.tokens+rate*(w.now-l.refilledAt).Seconds())
	if l.refilledAt = w.now; l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// scheduleSizeTest schedules the arrivals, the change of the fleet's size and the outage.
func (w *simulation) scheduleSizeTest() {
	z, s := w.settings.SizeTest, w.settings
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
				r.core.Fleet(i, z.assumedSize(z.To))
				r.step()
			}
		}
	}
	w.after(s.Duration/2, func() {
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
			w.after(s.DetectionDelay, tell)
		}
	})
	setOutage := func(gone bool) {
		for p := 0; p < s.Partners; p += 5 {
			for i := range 2 {
				w.hosts[fmt.Sprintf("p%d-%d", p, i)].down = gone
			}
			if !gone {
				l := w.limits[p]
				l.returnedAt, l.recentCalls, l.refilledAt, l.tokens = w.now, nil, w.now, 0
			}
		}
	}
	w.after(s.Duration/3, func() { setOutage(true) })
	w.after(2*s.Duration/3, func() { setOutage(false) })
}

// SizeSummary summarises the runs of one variant of SizeTest.
type SizeSummary struct {
	Name                string
	Worth, RefusedCalls Mean // share of the worth delivered, and calls refused by rate limits per message
	Overloaded, Runs    int
	Returns             int
	worth, closed       []float64
}

// Sizes runs each variant with each seed.
func Sizes(base Settings, variants []SizeTest, seeds int) ([]SizeSummary, error) {
	out := make([]SizeSummary, len(variants))
	var mu sync.Mutex
	var wait sync.WaitGroup
	var failed error
	slot := make(chan struct{}, runtime.GOMAXPROCS(0))
	results := make([][]Result, len(variants))
	for i := range variants {
		results[i] = make([]Result, seeds)
		for seed := range seeds {
			wait.Go(func() {
				slot <- struct{}{}
				defer func() { <-slot }()
				s := base
				s.Seed, s.Policy, s.SizeTest = base.Seed+uint64(seed)*1000, NoBudget, &variants[i]
				s.Relays = max(variants[i].From, variants[i].To)
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
	for i, w := range variants {
		l := SizeSummary{Name: w.Name, Runs: seeds, Returns: seeds * ((base.Partners + 4) / 5)}
		for _, r := range results[i] {
			l.worth = append(l.worth, r.Delivered/r.Asked)
			l.closed = append(l.closed, float64(r.RefusedCalls)/math.Max(1, base.Rate*base.Duration.Seconds()))
			l.Overloaded += int(r.Overloaded)
		}
		l.Worth, l.RefusedCalls = mean(l.worth), mean(l.closed)
		out[i] = l
	}
	return out, failed
}

// PrintSizes writes the summaries as a table.
func PrintSizes(w io.Writer, lines []SizeSummary) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "size assumed\tworth delivered\trefused calls per message\toverloaded\t")
	for _, l := range lines {
		fmt.Fprintf(t, "%s\t%.1f%% ±%.1f\t%.3f ±%.3f\t%d of %d\t\n",
			l.Name, 100*l.Worth.Value, 100*l.Worth.HalfWidth, l.RefusedCalls.Value,
			l.RefusedCalls.HalfWidth, l.Overloaded, l.Returns)
	}
	_ = t.Flush()
}
