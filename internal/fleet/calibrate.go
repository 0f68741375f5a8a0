package fleet

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/rs/zerolog"

	"basaltcross.example/basaltcross/internal/client"
	"basaltcross.example/basaltcross/internal/config"
	program "basaltcross.example/basaltcross/internal/relay"
	"basaltcross.example/basaltcross/internal/standin"
)

// fixed is what an exchange takes beside the content: the relay's header and
// the stand-in's answer, bytes.
const fixed = 225

// Calibrate plays one small fleet on sockets, with stand-ins, and in the model,
// and tells both. The arrivals are the same; service times are drawn anew.
func Calibrate(ctx context.Context, s Settings) (sockets, model Result, err error) {
	if model, err = Run(s); err != nil {
		return
	}
	sockets, err = onSockets(ctx, s)
	return
}

// onSockets runs the fleet of s in this process, over loopback and in real time.
func onSockets(ctx context.Context, s Settings) (out Result, err error) {
	dir, err := os.MkdirTemp("", "basaltcross-model-")
	if err != nil {
		return out, err
	}
	defer os.RemoveAll(dir)
	out = Result{How: string(s.How), Seed: int64(s.Seed), Relays: int64(s.Relays), Bytes: s.Bytes}
	rec := standin.NewRecorder(0)
	type end struct {
		e       *standin.Endpoint
		partner int
		zone    int
	}
	var ends []end
	for p := range s.Partners {
		sp := standin.NewPartner(fmt.Sprintf("p%d", p), standin.Model{Service: service, ServiceJitter: spread}, s.Seed+uint64(p))
		for i := range 2 {
			e, err := standin.Start("127.0.0.1:0", sp, rec)
			if err != nil {
				return out, err
			}
			defer e.Close()
			ends = append(ends, end{e, p, (p + i) % s.Zones})
		}
	}
	var list, zones, partners strings.Builder
	for _, e := range ends {
		fmt.Fprintf(&list, "{addr: %q, partner: \"p%d\", zone: \"z%d\"},\n", e.e.Addr, e.partner, e.zone)
	}
	if err := os.WriteFile(filepath.Join(dir, "list.cue"), []byte("endpoints: [\n"+list.String()+"]\n"), 0o600); err != nil {
		return out, err
	}
	for p := range s.Partners {
		fmt.Fprintf(&partners, "{name: \"p%d\", kind: \"k\"},\n", p)
	}
	var relays []*program.Relay
	for i := range s.Relays {
		zones.Reset()
		for z, f := range fees(s.Zones, i%s.Zones) {
			fmt.Fprintf(&zones, "{name: \"z%d\", fee: %g},", z, f)
		}
		text := fmt.Sprintf(`relay: {name: "r%d", index: %d, fleet: %d, zone: "z%d", workers: 64, held: 2000, attempts: 4, tick: "10ms", seed: %d}
zones: [%s]
classes: [
	{name: "status", aim: "1s", deadline: "6s", worth: 1, lateShare: 0.3, effect: "safe"},
	{name: "order", aim: "1s", deadline: "6s", worth: 2, lateShare: 0.3, effect: "keyed", window: "20s"},
	{name: "charge", aim: "1s", deadline: "6s", worth: 5, lateShare: 0.3, effect: "unsafe", overdraft: %g},
]
kinds: [{name: "k", apart: true, refusalNeverRan: true}]
partners: [%s]
budget: {bytes: %g, window: %q, burst: 0.25, held: 0.3, first: %d}
directory: file: %q
mqtt: listen: ["127.0.0.1:0"]
`, i, i, s.Relays, i%s.Zones, s.Seed+uint64(i)+1, zones.String(), s.Bytes*s.Overdraft, partners.String(), s.Bytes, s.Window,
			request+response, filepath.Join(dir, "list.cue"))
		if s.How == None {
			text = text[:strings.Index(text, "budget:")] + text[strings.Index(text, "directory:"):]
		}
		cfg, err := config.Parse("model.cue", []byte(text))
		if err != nil {
			return out, err
		}
		r, err := program.Start(cfg, zerolog.Nop(), program.Hooks{})
		if err != nil {
			return out, err
		}
		defer r.Stop()
		relays = append(relays, r)
	}
	var mu sync.Mutex
	sent := map[string]*reply{}
	begin := time.Now()
	on := func(a client.Answer) {
		mu.Lock()
		defer mu.Unlock()
		p := sent[a.ID]
		if p == nil {
			return
		}
		delete(sent, a.ID)
		k, age := classes[p.class], a.At.Sub(begin)-p.at
		switch a.Outcome {
		case "refused":
			out.Refused++
		case "failed":
			out.Failed++
		case "delivered":
			worth := k.Worth
			if age > k.Aim {
				worth *= math.Max(0, 1-(1-k.LateShare)*float64(age-k.Aim)/float64(k.Deadline-k.Aim))
			}
			out.Delivered += worth
			if p.class == 2 {
				out.Charge += worth
			}
		}
	}
	// Both ways a message takes about what the model's does: headers and the
	// stand-in's answer are subtracted from the request's size.
	body := make([]byte, request+response-fixed)
	var all sync.WaitGroup
	for i, r := range relays {
		c, err := client.Dial(ctx, r.Addrs()[0], client.Options{ID: fmt.Sprintf("c%d", i), Expiry: 60, OnAnswer: on})
		if err != nil {
			return out, err
		}
		defer c.Close()
		part := 1.0
		if n := float64(s.Relays - 1); n > 0 {
			part += s.Uneven * (1 - 2*float64(i)/n)
		}
		rate := s.Rate / float64(s.Relays) * part
		if rate <= 0 {
			continue
		}
		all.Go(func() {
			chance := rand.New(rand.NewPCG(s.Seed, uint64(100+i)))
			at := time.Duration(chance.ExpFloat64() / rate * 1e9)
			for n := 0; at < s.Lasts && ctx.Err() == nil; n++ {
				time.Sleep(time.Until(begin.Add(at)))
				class, x := 0, chance.Float64()
				for class < len(shares)-1 && x > shares[class] {
					x -= shares[class]
					class++
				}
				p := int(float64(s.Partners) * math.Pow(chance.Float64(), 2))
				id := fmt.Sprintf("%d-%d", i, n)
				mu.Lock()
				out.Asked += classes[class].Worth
				if class == 2 {
					out.ChargeAsked += classes[class].Worth
				}
				sent[id] = &reply{class: class, at: at}
				mu.Unlock()
				_ = c.Send(ctx, client.Message{ID: id, Class: classes[class].Name, Partner: fmt.Sprintf("p%d", p), Body: body})
				at += time.Duration(chance.ExpFloat64() / rate * 1e9)
			}
		})
	}
	outage := func(on bool) {
		for _, e := range ends[:2*int(s.Outage*float64(s.Partners))] {
			if e.e != ends[2*e.partner].e {
				continue
			}
			if on {
				e.e.Close()
			} else if err := e.e.Reopen(); err != nil {
				return
			}
		}
	}
	if s.Outage > 0 {
		time.Sleep(time.Until(begin.Add(s.Lasts / 3)))
		outage(true)
		time.Sleep(time.Until(begin.Add(2 * s.Lasts / 3)))
		outage(false)
	}
	all.Wait()
	time.Sleep(7 * time.Second)
	for _, r := range relays {
		z := r.Zones()
		for _, row := range z.Totals {
			if row.Crosses {
				out.Crossed += float64(row.Out + row.In)
			}
		}
		if z.Budget != nil {
			out.Over += z.Budget.Overdrawn
		}
	}
	mu.Lock()
	defer mu.Unlock()
	return out, ctx.Err()
}

// PrintCalibration writes both results side by side.
func PrintCalibration(w io.Writer, sockets, model Result) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "\tsockets\tmodel\tmodel/sockets\t")
	row := func(name string, a, b float64) {
		ratio := "-"
		if a > 0 {
			ratio = fmt.Sprintf("%.3f", b/a)
		}
		fmt.Fprintf(t, "%s\t%.3g\t%.3g\t%s\t\n", name, a, b, ratio)
	}
	row("worth asked", sockets.Asked, model.Asked)
	row("worth delivered of it", sockets.Delivered/sockets.Asked, model.Delivered/model.Asked)
	row("charges delivered", sockets.Charge/sockets.ChargeAsked, model.Charge/model.ChargeAsked)
	row("bytes crossed", sockets.Crossed, model.Crossed)
	row("overdrawn", sockets.Over, model.Over)
	row("refused", float64(sockets.Refused), float64(model.Refused))
	row("failed", float64(sockets.Failed), float64(model.Failed))
	_ = t.Flush()
}
