package fleet

import (
	"cmp"
	"fmt"
	"image/color"
	"io"
	"math"
	"runtime"
	"slices"
	"sync"
	"text/tabwriter"

	"github.com/parquet-go/parquet-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Sweep runs every combination of budget and policy with each seed, GOMAXPROCS runs at a time. The
// order of the results does not depend on the scheduling.
func Sweep(base Settings, budgets []float64, policies []Policy, seeds int) ([]Result, error) {
	var all []Settings
	for seed := range seeds {
		for _, policy := range policies {
			for i, b := range budgets {
				if policy == NoBudget && i > 0 {
					continue // the policy does not depend on the budget
				}
				s := base
				s.Seed, s.Policy, s.Bytes = base.Seed+uint64(seed)*1000, policy, b
				all = append(all, s)
			}
		}
	}
	results, errs := make([]Result, len(all)), make([]error, len(all))
	slot := make(chan struct{}, runtime.GOMAXPROCS(0))
	var wait sync.WaitGroup
	for i, s := range all {
		wait.Go(func() {
			slot <- struct{}{}
			defer func() { <-slot }()
			results[i], errs[i] = Run(s)
		})
	}
	wait.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return results, nil
}

// Mean is an average and half the width of its 95% confidence interval.
type Mean struct{ Value, HalfWidth float64 }

// studentT holds the two-sided 95% quantiles of Student's t distribution, from one degree of freedom.
var studentT = []float64{12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23, 2.20, 2.18, 2.16, 2.14, 2.13}

func mean(xs []float64) (m Mean) {
	n := float64(len(xs))
	for _, x := range xs {
		m.Value += x / n
	}
	if len(xs) < 2 {
		return m
	}
	v := 0.0
	for _, x := range xs {
		v += (x - m.Value) * (x - m.Value) / (n - 1)
	}
	m.HalfWidth = studentT[min(len(xs)-2, len(studentT)-1)] * math.Sqrt(v/n)
	return m
}

// Summary summarises the runs of one policy and budget.
type Summary struct {
	Policy                            Policy
	Bytes                             float64
	Worth, Charge, Crossed, Overdrawn Mean
	WorstWindowRatio                  float64 // bytes in the worst window of all seeds, as a multiple of the budget
}

// Summarize summarises the results by policy and budget, sorted by both.
func Summarize(results []Result) (out []Summary) {
	type key struct {
		how   string
		bytes float64
	}
	groups := map[key][]Result{}
	var order []key
	for _, r := range results {
		k := key{r.Policy, r.Bytes}
		if groups[k] == nil {
			order = append(order, k)
		}
		groups[k] = append(groups[k], r)
	}
	slices.SortStableFunc(order, func(a, b key) int {
		return cmp.Or(cmp.Compare(a.how, b.how), cmp.Compare(a.bytes, b.bytes))
	})
	for _, k := range order {
		var worth, charge, crossed, over []float64
		worst := 0.0
		for _, r := range groups[k] {
			worth = append(worth, r.Delivered/r.Asked)
			charge = append(charge, r.Charge/math.Max(1, r.ChargeAsked))
			crossed = append(crossed, r.Crossed)
			over = append(over, r.Overdrawn)
			worst = math.Max(worst, r.WorstWindow/k.bytes)
		}
		out = append(out, Summary{Policy(k.how), k.bytes, mean(worth), mean(charge), mean(crossed), mean(over), worst})
	}
	return out
}

// PrintSummaries writes the summaries as a table.
func PrintSummaries(w io.Writer, lines []Summary) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "policy\tbudget/window\tworth delivered\tcharges\tMB crossed\tworst window/budget\toverdrawn MB\t")
	for _, l := range lines {
		b, worst := fmt.Sprintf("%.0f kB", l.Bytes/1000), fmt.Sprintf("%.2f", l.WorstWindowRatio)
		if l.Policy == NoBudget {
			b, worst = "none", "-"
		}
		fmt.Fprintf(t, "%s\t%s\t%.1f%% ±%.1f\t%.1f%% ±%.1f\t%.2f ±%.2f\t%s\t%.2f\t\n", l.Policy, b, 100*l.Worth.Value,
			100*l.Worth.HalfWidth, 100*l.Charge.Value, 100*l.Charge.HalfWidth, l.Crossed.Value/1e6, l.Crossed.HalfWidth/1e6,
			worst, l.Overdrawn.Value/1e6)
	}
	_ = t.Flush()
}

// WriteParquet writes the results to a Parquet file.
func WriteParquet(file string, results []Result) error {
	if err := parquet.WriteFile(file, results); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	return nil
}

// bars are points with vertical error bars.
type bars struct {
	plotter.XYs
	plotter.YErrors
}

// Plot draws the worth delivered against the cross-zone bytes, with a curve for each policy.
func Plot(file string, lines []Summary, title string) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "MB crossed", "worth delivered, % of asked"
	p.Legend.Top, p.Legend.Left = false, false
	colors := []color.Color{color.RGBA{0x1f, 0x77, 0xb4, 255}, color.RGBA{0xff, 0x7f, 0x0e, 255},
		color.RGBA{0x2c, 0xa0, 0x2c, 255}, color.RGBA{0xd6, 0x27, 0x28, 255}}
	for i, policy := range []Policy{Budget, Ideal, NoBudget, ZoneBlindCap} {
		var b bars
		for _, l := range lines {
			if l.Policy == policy {
				b.XYs = append(b.XYs, plotter.XY{X: l.Crossed.Value / 1e6, Y: 100 * l.Worth.Value})
				b.YErrors = append(b.YErrors, struct{ Low, High float64 }{100 * l.Worth.HalfWidth, 100 * l.Worth.HalfWidth})
			}
		}
		if len(b.XYs) == 0 {
			continue
		}
		line, points, err := plotter.NewLinePoints(b.XYs)
		if err != nil {
			return fmt.Errorf("fleet: %w", err)
		}
		errs, err := plotter.NewYErrorBars(b)
		if err != nil {
			return fmt.Errorf("fleet: %w", err)
		}
		line.Color, points.Color, errs.Color = colors[i], colors[i], colors[i]
		p.Add(line, points, errs)
		p.Legend.Add(string(policy), line, points)
	}
	if err := p.Save(16*vg.Centimeter, 10*vg.Centimeter, file); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	return nil
}
