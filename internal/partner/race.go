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

// Addresses sets the addresses of endpoints; one that is not there has the
// address that is its name. Idle connections to addresses that went are closed,
// calls that are out go on.
func (c *Caller) Addresses(all map[string][]addr.Address) {
	c.mu.Lock()
	for host := range c.books {
		if all[host] == nil {
			delete(c.books, host)
		}
	}
	c.mu.Unlock()
	c.Changed(all)
}

// Changed sets the addresses of some endpoints.
func (c *Caller) Changed(some map[string][]addr.Address) {
	c.mu.Lock()
	var old []*conn
	for host, list := range some {
		if b := c.books[host]; b != nil {
			b.Set(list)
		} else {
			c.books[host] = addr.NewBook(host, &c.fams, list)
		}
		if p := c.pools[host]; p != nil {
			old = append(old, p.drain(func(cn *conn) bool { return !slices.Contains(list, cn.addr) })...)
		}
	}
	close(c.news)
	c.news = make(chan struct{})
	c.mu.Unlock()
	retireAll(old)
}

// Book is what is known of an endpoint's addresses, nil if it has one only.
func (c *Caller) book(host string) *addr.Book {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.books[host]
}

// Known reports the addresses of every endpoint that has several.
func (c *Caller) Known() map[string][]addr.Known {
	c.mu.Lock()
	books := make(map[string]*addr.Book, len(c.books))
	for host, b := range c.books {
		books[host] = b
	}
	c.mu.Unlock()
	out := make(map[string][]addr.Known, len(books))
	for host, b := range books {
		out[host] = b.Known(c.now())
	}
	return out
}

// hung books a call that an address took and did not answer, and lets its idle
// connections go, so that a further try does not meet it again.
func (cn *conn) hung(c *Caller) {
	if cn.book == nil {
		return
	}
	cn.book.Hung(c.now(), cn.addr)
	retireAll(cn.pool.drain(func(o *conn) bool { return o.addr == cn.addr }))
}

type dialed struct {
	step addr.Step
	conn net.Conn
	err  error
	took time.Duration
}

var (
	errNoAddress = errors.New("partner: no address")
	// errOurs says that no connection could be tried, for want of descriptors,
	// ports or memory here: nothing is learned of the address by it.
	errOurs = errors.New("partner: nothing left to open a connection with")
)

func ours(err error) bool {
	for _, e := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// race connects by the book's plan; the first connection that is up wins, the
// others are called off or closed unused. Requests are never raced. An endpoint
// whose names are being looked up has none yet: then the race waits for them.
func (c *Caller) race(ctx context.Context, host string, within time.Duration, book *addr.Book) (net.Conn, addr.Address, error) {
	began := time.Now()
	if book == nil && c.opt.Hook != nil { // the platform's names are no addresses
		return nil, addr.Address{}, errNoAddress
	}
	if book == nil {
		at := addr.Address{Network: "tcp", Addr: host}
		for {
			conn, err := new(net.Dialer).DialContext(ctx, "tcp", host)
			if err == nil || !ours(err) {
				return conn, at, err
			}
			if !addr.TryAgain(time.Since(began), within) || !pause.For(ctx, addr.Pause) {
				return nil, at, errOurs
			}
		}
	}
	plan := book.Plan(c.now(), within)
	for len(plan) == 0 {
		c.mu.Lock()
		news := c.news
		c.mu.Unlock()
		if plan = book.Plan(c.now(), within); len(plan) > 0 {
			break
		}
		select {
		case <-ctx.Done():
			return nil, addr.Address{}, errNoAddress
		case <-news:
		}
	}
	race, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan dialed, len(plan))
	begun, running := 0, 0
	under := map[addr.Address]time.Time{} // way since then, trials apart
	begin := func() {
		s := plan[begun]
		begun++
		running++
		at := time.Now()
		if !s.Trial {
			under[s.Address] = at
		}
		with, done := race, context.CancelFunc(func() {})
		if s.Trial {
			with, done = context.WithTimeout(c.ctx, addr.TrialTime)
		}
		go func() {
			defer done()
			conn, err := new(net.Dialer).DialContext(with, s.Network, s.Addr)
			results <- dialed{s, conn, err, time.Since(at)}
		}()
	}
	count := func(f addr.Family, result string) {
		if c.opt.Dialed != nil {
			c.opt.Dialed(f.String(), result)
		}
	}
	// leave books what is called off at once, so that the next call knows.
	leave := func() {
		for a, at := range under {
			book.Left(c.now(), a, time.Since(at))
		}
		go c.losers(book, results, running, count)
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
		case <-ctx.Done(): // the attempt is over; what is under way tells what it tells
			leave()
			return nil, addr.Address{}, ctx.Err()
		case d := <-results:
			running--
			delete(under, d.step.Address)
			if d.err == nil {
				book.Connected(d.step.Address, d.took)
				count(d.step.Family, "won")
				leave()
				return d.conn, d.step.Address, nil
			}
			if err = d.err; ours(err) {
				book.Left(c.now(), d.step.Address, 0)
				count(d.step.Family, "ours")
				if !addr.TryAgain(time.Since(began), within) || !pause.For(ctx, addr.Pause) {
					err = errOurs
					continue
				}
				plan = append(plan[:begun:begun], append([]addr.Step{d.step}, plan[begun:]...)...)
			} else {
				c.lost(book, d, count)
			}
		}
	}
	return nil, addr.Address{}, err
}

// losers closes what came up too late and books what did not.
func (c *Caller) losers(book *addr.Book, results <-chan dialed, running int, count func(addr.Family, string)) {
	for range running {
		d := <-results
		if d.err == nil {
			_ = d.conn.Close()
			book.Connected(d.step.Address, d.took)
			count(d.step.Family, "lost")
		} else {
			c.lost(book, d, count)
		}
	}
}

// lost books a connection that did not come up.
func (c *Caller) lost(book *addr.Book, d dialed, count func(addr.Family, string)) {
	switch {
	case ours(d.err):
		book.Left(c.now(), d.step.Address, 0)
		count(d.step.Family, "ours")
	case !d.step.Trial && errors.Is(d.err, context.DeadlineExceeded) || errors.Is(d.err, context.Canceled) || errors.Is(d.err, net.ErrClosed) || isCanceled(d.err): // booked when it was called off
		count(d.step.Family, "left")
	default:
		book.Failed(c.now(), d.step.Address)
		count(d.step.Family, "failed")
	}
}

// isCanceled tells a dial that was called off: net says so by a text only.
func isCanceled(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Err != nil && op.Err.Error() == "operation was canceled"
}
