package badday

import (
	"context"
	"math"
	"sync"
	"syscall"
	"time"

	"basaltcross.example/basaltcross/internal/standin"

	"basaltcross.example/basaltcross/internal/pause"
)

// some picks a part of n things, one at least, by chance.
func (d *day) some(n int, part float64) []int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rand.Perm(n)[:max(1, int(math.Round(part*float64(n))))]
}

// trouble plays one trouble from begin to end.
func (d *day) trouble(ctx context.Context, t Trouble) {
	lasts := t.For.D()
	during := func(on, off func()) {
		d.mu.Lock()
		on()
		d.mu.Unlock()
		pause.For(ctx, lasts)
		d.mu.Lock()
		off()
		d.mu.Unlock()
	}
	switch t.Name {
	case "burst":
		during(func() { d.rate = t.Size }, func() { d.rate = 1 })
	case "hot_caller":
		during(func() { d.caller = t.Size }, func() { d.caller = 0 })
	case "hot_key":
		during(func() { d.hot = t.Size }, func() { d.hot = 0 })
	case "hang":
		d.strike(ctx, t, true, standin.Faults{Hang: true})
	case "vanish":
		d.strikeOne(ctx, t, standin.Faults{Hang: true})
	case "crash":
		d.crash(ctx, t)
	case "fast_errors":
		d.strike(ctx, t, true, standin.Faults{Errors: t.Size})
	case "slow":
		d.strike(ctx, t, false, standin.Faults{ServiceFactor: t.Size})
	case "shared_slow":
		d.strike(ctx, t, false, standin.Faults{ServiceFactor: t.Size})
	case "heavy_tail":
		d.strike(ctx, t, false, standin.Faults{TailShare: 0.02, TailFactor: t.Size})
	case "pauses":
		d.strike(ctx, t, false, standin.Faults{PauseEvery: 1500 * time.Millisecond,
			Pause: time.Duration(t.Size * float64(time.Second))})
	case "throttle":
		d.strike(ctx, t, false, standin.Faults{RateShare: t.Size})
	case "answer_lost":
		d.strike(ctx, t, false, standin.Faults{LostResponses: t.Size})
	case "class_fail":
		d.strikeOne(ctx, t, standin.Faults{Errors: t.Size, ErrorClass: "status"})
	case "idle_reap":
		d.strike(ctx, t, false, standin.Faults{IdleReset: time.Duration(t.Size * float64(time.Second))})
	case "handshake_slow":
		d.strike(ctx, t, false, standin.Faults{FirstCallDelay: time.Duration(t.Size * float64(time.Second))})
	case "give_up":
		for range 3 { // clients go without a word and come back for their answers
			for _, i := range d.some(len(d.senders), t.Part) {
				s := d.senders[i]
				s.mu.Lock()
				cl := s.cl
				s.mu.Unlock()
				if cl != nil {
					cl.Cut()
				}
			}
			pause.For(ctx, lasts/3)
		}
	case "address_dead":
		d.deadAddresses(ctx, t)
	case "deploy":
		d.deploy(ctx, t, 800*time.Millisecond)
	case "preempt":
		d.deploy(ctx, t, 0)
	case "catalogue_down":
		d.astray(ctx, lasts, standin.CatalogFaults{Down: true})
	case "catalogue_half":
		d.astray(ctx, lasts, standin.CatalogFaults{OmitHalf: true})
	case "catalogue_back": // restored from nothing: its index begins anew, and it fills up again
		d.consul.Reset()
		d.astray(ctx, lasts, standin.CatalogFaults{Empty: true})
		d.consul.Reset()
	case "flap":
		d.flap(ctx, t)
	case "discovery_down":
		during(func() { d.broken = true }, func() {})
		d.mu.Lock()
		d.broken = false
		d.mu.Unlock()
		_ = d.list()
	case "balancer_crash":
		for _, i := range d.some(len(d.relays), t.Part) {
			d.relays[i].stop(syscall.SIGKILL)
			pause.For(ctx, lasts)
			d.restart(ctx, i)
		}
	case "balancer_roll":
		for i := range d.relays {
			d.relays[i].stop(syscall.SIGTERM)
			d.restart(ctx, i)
			pause.For(ctx, lasts/time.Duration(2*len(d.relays)))
		}
	case "balancer_stall":
		var all sync.WaitGroup
		for _, i := range d.some(len(d.relays), t.Part) {
			all.Go(func() { d.relays[i].stall(ctx, min(lasts, 2500*time.Millisecond)) })
		}
		all.Wait()
	}
}

func (d *day) restart(ctx context.Context, i int) {
	if ctx.Err() != nil {
		return
	}
	if err := d.relays[i].start(); err != nil {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.opt.Out.Write([]byte(err.Error() + "\n"))
	}
}

// strike puts a trouble on all endpoints of a part of the partners.
func (d *day) strike(ctx context.Context, t Trouble, outage bool, what standin.Faults) {
	var struck []*standin.Partner
	for _, i := range d.some(len(d.partners), t.Part) {
		struck = append(struck, d.partners[i])
	}
	for _, p := range struck {
		if outage {
			p.Outage(true)
		}
		for _, e := range d.endsOf(p) {
			e.Set(what)
		}
	}
	pause.For(ctx, t.For.D())
	for _, p := range struck {
		for _, e := range d.endsOf(p) {
			e.Set(standin.Faults{})
		}
		if outage {
			p.Outage(false)
		}
	}
}

// strikeOne puts a trouble on one endpoint of a part of the partners.
func (d *day) strikeOne(ctx context.Context, t Trouble, what standin.Faults) {
	var struck []*end
	for _, i := range d.some(len(d.partners), t.Part) {
		struck = append(struck, d.endsOf(d.partners[i])[0])
	}
	for _, e := range struck {
		e.Set(what)
	}
	pause.For(ctx, t.For.D())
	for _, e := range struck {
		e.Set(standin.Faults{})
	}
}

// crash closes all endpoints of a part of the partners; they come back cold.
// No call arrives meanwhile: all relays count as having met a failure.
func (d *day) crash(ctx context.Context, t Trouble) {
	var names []string
	for _, r := range d.relays {
		names = append(names, r.name())
	}
	var struck []*end
	var partners []*standin.Partner
	for _, i := range d.some(len(d.partners), t.Part) {
		p := d.partners[i]
		partners = append(partners, p)
		p.Outage(true, names...)
		for _, e := range d.endsOf(p) {
			for _, a := range e.addresses() {
				a.Close()
			}
			struck = append(struck, e)
		}
	}
	pause.For(ctx, t.For.D())
	for _, p := range partners {
		p.Outage(false)
	}
	for _, e := range struck {
		for _, a := range e.addresses() {
			if err := a.Reopen(); err != nil {
				d.opt.Out.Write([]byte(err.Error() + "\n"))
			}
		}
	}
}

// addresses are all that an endpoint listens on.
func (e *end) addresses() []*standin.Endpoint {
	if e.second == nil {
		return []*standin.Endpoint{e.Endpoint}
	}
	return []*standin.Endpoint{e.Endpoint, e.second}
}

// deploy drains endpoints and replaces them, one after the other. Without
// drain time the old one goes away soon after it is listed as draining.
func (d *day) deploy(ctx context.Context, t Trouble, drain time.Duration) {
	var parts []*end
	for _, p := range d.partners {
		parts = append(parts, d.endsOf(p)...)
	}
	chosen := d.some(len(parts), t.Part)
	each := t.For.D() / time.Duration(len(chosen))
	for _, i := range chosen {
		old := parts[i]
		if drain > 0 {
			if _, err := d.newEnd(old.Partner); err != nil {
				return
			}
		}
		d.set(old, "draining")
		_ = d.list()
		go func() {
			pause.For(ctx, drainGrace+max(drain, 200*time.Millisecond))
			d.set(old, "gone")
			_ = d.list()
			if drain > 0 {
				pause.For(ctx, deadline)
			} else {
				_, _ = d.newEnd(old.Partner)
				_ = d.list()
			}
			// It stays open for the audit: what still comes is seen.
		}()
		pause.For(ctx, each)
	}
}

// deadAddresses breaks one of the two addresses of a part of the endpoints: one
// in three takes calls and hangs, the others refuse connections.
func (d *day) deadAddresses(ctx context.Context, t Trouble) {
	var all []*end
	for _, p := range d.partners {
		all = append(all, d.endsOf(p)...)
	}
	struck := d.some(len(all), t.Part)
	for _, i := range struck {
		if e := all[i].second; i%3 == 0 {
			e.Set(standin.Faults{Hang: true})
		} else {
			e.Close()
		}
	}
	pause.For(ctx, t.For.D())
	for _, i := range struck {
		if e := all[i].second; i%3 == 0 {
			e.Set(standin.Faults{})
		} else if err := e.Reopen(); err != nil {
			d.opt.Out.Write([]byte(err.Error() + "\n"))
		}
	}
}

// astray makes trouble at the catalogue for a while.
func (d *day) astray(ctx context.Context, lasts time.Duration, t standin.CatalogFaults) {
	d.consul.Set(t)
	pause.For(ctx, lasts)
	d.consul.Set(standin.CatalogFaults{})
}

// flap takes endpoints in and out of service ten times a second; they end drained.
func (d *day) flap(ctx context.Context, t Trouble) {
	var ends []*end
	for _, i := range d.some(len(d.partners), t.Part) {
		ends = append(ends, d.endsOf(d.partners[i])[:1]...)
	}
	for end := time.Now().Add(t.For.D()); time.Now().Before(end) && ctx.Err() == nil; {
		for _, draining := range []bool{true, false} {
			for _, e := range ends {
				d.consul.Put(e.instance(draining))
			}
			pause.For(ctx, 50*time.Millisecond)
		}
	}
	for _, e := range ends {
		d.set(e, "draining")
	}
	_ = d.list()
}
