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

// some returns a random selection of the indices below n: the fraction part of them, at least one.
func (d *day) some(n int, part float64) []int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rand.Perm(n)[:max(1, int(math.Round(part*float64(n))))]
}

// trouble injects one fault, keeps it up for its duration and removes it.
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
		d.strike(ctx, t, true, standin.Trouble{Hang: true})
	case "vanish":
		d.strikeOne(ctx, t, standin.Trouble{Hang: true})
	case "crash":
		d.crash(ctx, t)
	case "fast_errors":
		d.strike(ctx, t, true, standin.Trouble{Errors: t.Size})
	case "slow":
		d.strike(ctx, t, false, standin.Trouble{Factor: t.Size})
	case "shared_slow":
		d.strike(ctx, t, false, standin.Trouble{Factor: t.Size})
	case "heavy_tail":
		d.strike(ctx, t, false, standin.Trouble{TailShare: 0.02, TailFactor: t.Size})
	case "pauses":
		d.strike(ctx, t, false, standin.Trouble{PauseEvery: 1500 * time.Millisecond,
			Pause: time.Duration(t.Size * float64(time.Second))})
	case "throttle":
		d.strike(ctx, t, false, standin.Trouble{RateShare: t.Size})
	case "answer_lost":
		d.strike(ctx, t, false, standin.Trouble{Lost: t.Size})
	case "class_fail":
		d.strikeOne(ctx, t, standin.Trouble{Errors: t.Size, ErrorClass: "status"})
	case "idle_reap":
		d.strike(ctx, t, false, standin.Trouble{Reap: time.Duration(t.Size * float64(time.Second))})
	case "handshake_slow":
		d.strike(ctx, t, false, standin.Trouble{Handshake: time.Duration(t.Size * float64(time.Second))})
	case "give_up":
		for range 3 { // clients drop their connections without a close and reconnect for their answers
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
		d.astray(ctx, lasts, standin.CatalogTrouble{Down: true})
	case "catalogue_half":
		d.astray(ctx, lasts, standin.CatalogTrouble{Half: true})
	case "catalogue_back": // restored without data: its index restarts, and services register again
		d.consul.Reset()
		d.astray(ctx, lasts, standin.CatalogTrouble{Empty: true})
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

// strike injects a fault at all endpoints of a fraction of the partners.
func (d *day) strike(ctx context.Context, t Trouble, outage bool, what standin.Trouble) {
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
			e.Set(standin.Trouble{})
		}
		if outage {
			p.Outage(false)
		}
	}
}

// strikeOne injects a fault at one endpoint each of a fraction of the partners.
func (d *day) strikeOne(ctx context.Context, t Trouble, what standin.Trouble) {
	var struck []*end
	for _, i := range d.some(len(d.partners), t.Part) {
		struck = append(struck, d.endsOf(d.partners[i])[0])
	}
	for _, e := range struck {
		e.Set(what)
	}
	pause.For(ctx, t.For.D())
	for _, e := range struck {
		e.Set(standin.Trouble{})
	}
}

// crash closes all endpoints of a fraction of the partners; they return with reduced capacity.
// No call reaches them meanwhile, so that all relays count as having seen a failure.
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

// addresses returns the listeners of an endpoint, one for each address.
func (e *end) addresses() []*standin.Endpoint {
	if e.second == nil {
		return []*standin.Endpoint{e.Endpoint}
	}
	return []*standin.Endpoint{e.Endpoint, e.second}
}

// deploy drains endpoints and replaces them, one after the other. With a drain time of 0 the
// replacement starts only when the old endpoint is removed, soon after it is listed as draining.
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
			// The old endpoint stays open, so that the audit sees calls that still arrive.
		}()
		pause.For(ctx, each)
	}
}

// deadAddresses breaks one of the two addresses of a fraction of the endpoints. About a third of
// these addresses accept calls and do not answer, the others refuse connections.
func (d *day) deadAddresses(ctx context.Context, t Trouble) {
	var all []*end
	for _, p := range d.partners {
		all = append(all, d.endsOf(p)...)
	}
	struck := d.some(len(all), t.Part)
	for _, i := range struck {
		if e := all[i].second; i%3 == 0 {
			e.Set(standin.Trouble{Hang: true})
		} else {
			e.Close()
		}
	}
	pause.For(ctx, t.For.D())
	for _, i := range struck {
		if e := all[i].second; i%3 == 0 {
			e.Set(standin.Trouble{})
		} else if err := e.Reopen(); err != nil {
			d.opt.Out.Write([]byte(err.Error() + "\n"))
		}
	}
}

// astray injects a fault at the catalogue for a given duration.
func (d *day) astray(ctx context.Context, lasts time.Duration, t standin.CatalogTrouble) {
	d.consul.Set(t)
	pause.For(ctx, lasts)
	d.consul.Set(standin.CatalogTrouble{})
}

// flap marks endpoints as draining and as ready again ten times a second. In the end they stay
// drained.
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
