package partner

import (
	"context"
	"errors"
	"net"
	"slices"
	"syscall"
	"time"

	"basaltcross.example/basaltcross/internal/addr"
	"basaltcross.example/basaltcross/internal/pause"
)

func (c *Caller) now() time.Duration { return time.Since(c.epoch) }

// SetAddresses replaces the addresses of all endpoints. An endpoint that is not in the map is its own
// address. Idle connections to addresses that were removed are closed; calls in progress are not
// affected, but their connections carry no later call.
func (c *Caller) SetAddresses(all map[string][]addr.Address) {
	c.mu.Lock()
	for host, selector := range c.selectors {
		if all[host] == nil {
			delete(c.selectors, host)
			selector.Set(nil) // for the connections and attempts that still have it
		}
	}
	c.mu.Unlock()
	c.UpdateAddresses(all)
}

// UpdateAddresses replaces the addresses of some endpoints.
func (c *Caller) UpdateAddresses(some map[string][]addr.Address) {
	c.mu.Lock()
	var old []*conn
	for host, list := range some {
		if b := c.selectors[host]; b != nil {
			b.Set(list)
		} else {
			c.selectors[host] = addr.NewSelector(host, &c.families, list)
		}
		if p := c.pools[host]; p != nil {
			old = append(old, p.removeIdle(func(cn *conn) bool { return !slices.Contains(list, cn.addr) })...)
		}
	}
	close(c.addressesChanged)
	c.addressesChanged = make(chan struct{})
	c.mu.Unlock()
	closeAllWhenSettled(old)
}

// selector returns the Selector of an endpoint, nil for an endpoint that is its own address.
func (c *Caller) selector(host string) *addr.Selector {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.selectors[host]
}

// AddressStatus returns the status of the addresses of every endpoint that has a Selector.
func (c *Caller) AddressStatus() map[string][]addr.AddressStatus {
	c.mu.Lock()
	selectors := make(map[string]*addr.Selector, len(c.selectors))
	for host, b := range c.selectors {
		selectors[host] = b
	}
	c.mu.Unlock()
	out := make(map[string][]addr.AddressStatus, len(selectors))
	for host, b := range selectors {
		out[host] = b.Status(c.now())
	}
	return out
}

// markHung records that the connection's address accepted a call and did not answer it, and closes
// its idle connections, so that the next attempt does not use it again.
func (cn *conn) markHung(c *Caller) {
	if cn.selector == nil {
		return
	}
	cn.selector.Hung(c.now(), cn.addr)
	closeAllWhenSettled(cn.pool.removeIdle(func(o *conn) bool { return o.addr == cn.addr }))
}

type dialResult struct {
	step addr.Step
	conn net.Conn
	err  error
	took time.Duration
}

var (
	errNoAddress = errors.New("partner: the endpoint has no address")
	// errOutOfResources means that no connection was tried, for want of file descriptors, ports or memory of
	// this host. It says nothing about the address.
	errOutOfResources = errors.New("partner: out of file descriptors, ports or memory for a connection")
)

func isResourceError(err error) bool {
	for _, e := range []error{errOutOfResources, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// race runs the connection attempts that the Selector plans. The first connection to be established
// wins; the other attempts are cancelled, or their connections closed unused. Requests are never
// raced. If the endpoint has no address because its names are being resolved, race waits for one.
func (c *Caller) race(ctx context.Context, host string, within time.Duration, selector *addr.Selector) (
	net.Conn, addr.Address, error) {
	began := time.Now()
	if selector == nil && c.opt.Hook != nil { // in the platform's format an endpoint's name is no address
		return nil, addr.Address{}, errNoAddress
	}
	if selector == nil {
		at := addr.Address{Network: "tcp", Addr: host}
		for {
			conn, err := c.dialSocket(ctx, "tcp", host, began, within)
			if err == nil || !isResourceError(err) {
				return conn, at, err
			}
			if !addr.LocalRetryAllowed(time.Since(began), within) || !pause.For(ctx, addr.LocalRetryDelay) {
				return nil, at, errOutOfResources
			}
		}
	}
	plan := selector.Plan(c.now(), within)
	for len(plan) == 0 {
		c.mu.Lock()
		changed := c.addressesChanged
		c.mu.Unlock()
		if plan = selector.Plan(c.now(), within); len(plan) > 0 {
			break
		}
		select {
		case <-ctx.Done():
			return nil, addr.Address{}, errNoAddress
		case <-changed:
		}
	}
	race, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan dialResult, len(plan))
	begun, running := 0, 0
	inProgress := map[addr.Address]time.Time{} // start times of the attempts in progress, without trials
	begin := func() {
		s := plan[begun]
		begun++
		running++
		at := time.Now()
		if !s.Trial {
			inProgress[s.Address] = at
		}
		with, done := race, context.CancelFunc(func() {})
		if s.Trial {
			with, done = context.WithTimeout(c.ctx, addr.TrialTimeout)
		}
		go func() {
			defer done()
			conn, err := c.dialSocket(with, s.Network, s.Addr, began, within)
			results <- dialResult{s, conn, err, time.Since(at)}
		}()
	}
	count := func(f addr.Family, result string) {
		if c.opt.Dialed != nil {
			c.opt.Dialed(f.String(), result)
		}
	}
	// abandon records the attempts that are cancelled at once, so that the next race knows them.
	abandon := func() {
		for a, at := range inProgress {
			selector.Cancelled(c.now(), a, time.Since(at))
		}
		go c.closeLosers(selector, results, running, count)
	}
	err := error(errNoAddress)
	for begun < len(plan) || running > 0 {
		for begun < len(plan) && (running == 0 || time.Since(began) >= plan[begun].After) {
			begin()
		}
		var next <-chan time.Time
		if begun < len(plan) {
			next = time.After(plan[begun].After - time.Since(began))
		}
		select {
		case <-next:
		case <-ctx.Done(): // the call is over; record the attempts in progress
			abandon()
			return nil, addr.Address{}, ctx.Err()
		case d := <-results:
			running--
			delete(inProgress, d.step.Address)
			if d.err == nil {
				selector.Connected(d.step.Address, d.took)
				count(d.step.Family, "won")
				abandon()
				return d.conn, d.step.Address, nil
			}
			if err = d.err; isResourceError(err) {
				selector.Cancelled(c.now(), d.step.Address, 0)
				count(d.step.Family, "ours")
				if !addr.LocalRetryAllowed(time.Since(began), within) || !pause.For(ctx, addr.LocalRetryDelay) {
					err = errOutOfResources
					continue
				}
				plan = append(plan[:begun:begun], append([]addr.Step{d.step}, plan[begun:]...)...)
			} else {
				c.recordFailure(selector, d, count)
			}
		}
	}
	return nil, addr.Address{}, err
}

// closeLosers waits for the attempts that did not win, closes their connections and records their
// results.
func (c *Caller) closeLosers(selector *addr.Selector, results <-chan dialResult, running int,
	count func(addr.Family, string)) {
	for range running {
		d := <-results
		if d.err == nil {
			_ = d.conn.Close()
			selector.Connected(d.step.Address, d.took)
			count(d.step.Family, "lost")
		} else {
			c.recordFailure(selector, d, count)
		}
	}
}

// recordFailure records a connection attempt that failed or was cancelled.
func (c *Caller) recordFailure(selector *addr.Selector, d dialResult, count func(addr.Family, string)) {
	switch {
	case isResourceError(d.err):
		selector.Cancelled(c.now(), d.step.Address, 0)
		count(d.step.Family, "ours")
	case !d.step.Trial && errors.Is(d.err, context.DeadlineExceeded) || errors.Is(d.err, context.Canceled) ||
		errors.Is(d.err, net.ErrClosed) || isCanceled(d.err): // recorded when it was cancelled
		count(d.step.Family, "left")
	default:
		selector.Failed(c.now(), d.step.Address)
		count(d.step.Family, "failed")
	}
}

// isCanceled reports whether a dial was cancelled; package net says so by a text only.
func isCanceled(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Err != nil && op.Err.Error() == "operation was canceled"
}
