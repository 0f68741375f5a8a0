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

// randomSubset returns a random selection of the indices below n: the fraction part of them, at least one.
func (d *deployment) randomSubset(n int, part float64) []int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rand.Perm(n)[:max(1, int(math.Round(part*float64(n))))]
}

// inject injects one fault, keeps it up for its duration and removes it.
func (d *deployment) inject(ctx context.Context, t Trouble) {
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
		during(func() { d.rateFactor = t.Size }, func() { d.rateFactor = 1 })
	case "hot_caller":
		during(func() { d.hotClientShare = t.Size }, func() { d.hotClientShare = 0 })
	case "hot_key":
		during(func() { d.hotKeyShare = t.Size }, func() { d.hotKeyShare = 0 })
	case "hang":
		d.injectAtPartners(ctx, t, true, standin.Faults{Hang: true})
	case "vanish":
		d.injectAtOneEndpoint(ctx, t, standin.Faults{Hang: true})
	case "crash":
		d.crash(ctx, t)
	case "fast_errors":
		d.injectAtPartners(ctx, t, true, standin.Faults{Errors: t.Size})
	case "slow":
		d.injectAtPartners(ctx, t, false, standin.Faults{ServiceFactor: t.Size})
	case "shared_slow":
		d.injectAtPartners(ctx, t, false, standin.Faults{ServiceFactor: t.Size})
	case "heavy_tail":
		d.injectAtPartners(ctx, t, false, standin.Faults{TailShare: 0.02, TailFactor: t.Size})
	case "pauses":
		d.injectAtPartners(ctx, t, false, standin.Faults{PauseEvery: 1500 * time.Millisecond,
			Pause: time.Duration(t.Size * float64(time.Second))})
	case "throttle":
		d.injectAtPartners(ctx, t, false, standin.Faults{RateShare: t.Size})
	case "answer_lost":
		d.injectAtPartners(ctx, t, false, standin.Faults{LostResponses: t.Size})
	case "class_fail":
		d.injectAtOneEndpoint(ctx, t, standin.Faults{Errors: t.Size, ErrorClass: "status"})
	case "idle_reap":
		d.injectAtPartners(ctx, t, false, standin.Faults{IdleReset: time.Duration(t.Size * float64(time.Second))})
	case "handshake_slow":
		d.injectAtPartners(ctx, t, false, standin.Faults{FirstCallDelay: time.Duration(t.Size * float64(time.Second))})
	case "give_up":
		for range 3 { // clients drop their connections without a close and reconnect for their answers
			for _, i := range d.randomSubset(len(d.senders), t.Part) {
				s := d.senders[i]
				s.mu.Lock()
				cl := s.conn
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
		d.injectAtCatalogue(ctx, lasts, standin.CatalogFaults{Down: true})
	case "catalogue_half":
		d.injectAtCatalogue(ctx, lasts, standin.CatalogFaults{OmitHalf: true})
	case "catalogue_back": // restored without data: its index restarts, and services register again
		d.consul.Reset()
		d.injectAtCatalogue(ctx, lasts, standin.CatalogFaults{Empty: true})
		d.consul.Reset()
	case "flap":
		d.flap(ctx, t)
	case "discovery_down":
		during(func() { d.listBroken = true }, func() {})
		d.mu.Lock()
		d.listBroken = false
		d.mu.Unlock()
		_ = d.publishEndpoints()
	case "balancer_crash":
		for _, i := range d.randomSubset(len(d.relays), t.Part) {
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
		for _, i := range d.randomSubset(len(d.relays), t.Part) {
			all.Go(func() { d.relays[i].stall(ctx, min(lasts, 2500*time.Millisecond)) })
		}
		all.Wait()
	}
}

func (d *deployment) restart(ctx context.Context, i int) {
	if ctx.Err() != nil {
		return
	}
	if err := d.relays[i].start(); err != nil {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.opt.Out.Write([]byte(err.Error() + "\n"))
	}
}

// injectAtPartners injects a fault at all endpoints of a fraction of the partners.
func (d *deployment) injectAtPartners(ctx context.Context, t Trouble, outage bool, what standin.Faults) {
	var affected []*standin.Partner
	for _, i := range d.randomSubset(len(d.partners), t.Part) {
		affected = append(affected, d.partners[i])
	}
	for _, p := range affected {
		if outage {
			p.Outage(true)
		}
		for _, e := range d.readyEndpoints(p) {
			e.Set(what)
		}
	}
	pause.For(ctx, t.For.D())
	for _, p := range affected {
		for _, e := range d.readyEndpoints(p) {
			e.Set(standin.Faults{})
		}
		if outage {
			p.Outage(false)
		}
	}
}

// injectAtOneEndpoint injects a fault at one endpoint each of a fraction of the partners.
func (d *deployment) injectAtOneEndpoint(ctx context.Context, t Trouble, what standin.Faults) {
	var affected []*listedEndpoint
	for _, i := range d.randomSubset(len(d.partners), t.Part) {
		affected = append(affected, d.readyEndpoints(d.partners[i])[0])
	}
	for _, e := range affected {
		e.Set(what)
	}
	pause.For(ctx, t.For.D())
	for _, e := range affected {
		e.Set(standin.Faults{})
	}
}

// crash closes all endpoints of a fraction of the partners; they return with reduced capacity.
// No call reaches them meanwhile, so that all relays count as having seen a failure.
func (d *deployment) crash(ctx context.Context, t Trouble) {
	var names []string
	for _, r := range d.relays {
		names = append(names, r.name())
	}
	var affected []*listedEndpoint
	var partners []*standin.Partner
	for _, i := range d.randomSubset(len(d.partners), t.Part) {
		p := d.partners[i]
		partners = append(partners, p)
		p.Outage(true, names...)
		for _, e := range d.readyEndpoints(p) {
			for _, a := range e.addresses() {
				a.Close()
			}
			affected = append(affected, e)
		}
	}
	pause.For(ctx, t.For.D())
	for _, p := range partners {
		p.Outage(false)
	}
	for _, e := range affected {
		for _, a := range e.addresses() {
			if err := a.Reopen(); err != nil {
				d.opt.Out.Write([]byte(err.Error() + "\n"))
			}
		}
	}
}

// addresses returns the listeners of an endpoint, one for each address.
func (e *listedEndpoint) addresses() []*standin.Endpoint {
	if e.second == nil {
		return []*standin.Endpoint{e.Endpoint}
	}
	return []*standin.Endpoint{e.Endpoint, e.second}
}

// deploy drains endpoints and replaces them, one after the other. With a drain time of 0 the
// replacement starts only when the old endpoint is removed, soon after it is listed as draining.
func (d *deployment) deploy(ctx context.Context, t Trouble, drain time.Duration) {
	var parts []*listedEndpoint
	for _, p := range d.partners {
		parts = append(parts, d.readyEndpoints(p)...)
	}
	chosen := d.randomSubset(len(parts), t.Part)
	each := t.For.D() / time.Duration(len(chosen))
	for _, i := range chosen {
		old := parts[i]
		if drain > 0 {
			if _, err := d.startEndpoint(old.Partner); err != nil {
				return
			}
		}
		d.setState(old, "draining")
		_ = d.publishEndpoints()
		go func() {
			pause.For(ctx, drainGrace+max(drain, 200*time.Millisecond))
			d.setState(old, "gone")
			_ = d.publishEndpoints()
			if drain > 0 {
				pause.For(ctx, deadline)
			} else {
				_, _ = d.startEndpoint(old.Partner)
				_ = d.publishEndpoints()
			}
			// The old endpoint stays open, so that the audit sees calls that still arrive.
		}()
		pause.For(ctx, each)
	}
}

// deadAddresses breaks one of the two addresses of a fraction of the endpoints. About a third of
// these addresses accept calls and do not answer, the others refuse connections.
func (d *deployment) deadAddresses(ctx context.Context, t Trouble) {
	var all []*listedEndpoint
	for _, p := range d.partners {
		all = append(all, d.readyEndpoints(p)...)
	}
	affected := d.randomSubset(len(all), t.Part)
	for _, i := range affected {
		if e := all[i].second; i%3 == 0 {
			e.Set(standin.Faults{Hang: true})
		} else {
			e.Close()
		}
	}
	pause.For(ctx, t.For.D())
	for _, i := range affected {
		if e := all[i].second; i%3 == 0 {
			e.Set(standin.Faults{})
		} else if err := e.Reopen(); err != nil {
			d.opt.Out.Write([]byte(err.Error() + "\n"))
		}
	}
}

// injectAtCatalogue injects a fault at the catalogue for a given duration.
func (d *deployment) injectAtCatalogue(ctx context.Context, lasts time.Duration, t standin.CatalogFaults) {
	d.consul.Set(t)
	pause.For(ctx, lasts)
	d.consul.Set(standin.CatalogFaults{})
}

// flap marks endpoints as draining and as ready again ten times a second. In the end they stay
// drained.
func (d *deployment) flap(ctx context.Context, t Trouble) {
	var ends []*listedEndpoint
	for _, i := range d.randomSubset(len(d.partners), t.Part) {
		ends = append(ends, d.readyEndpoints(d.partners[i])[:1]...)
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
		d.setState(e, "draining")
	}
	_ = d.publishEndpoints()
}
