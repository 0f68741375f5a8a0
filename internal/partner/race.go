package partner

import (
	"context"
	"errors"
	"net"
	"slices"
	"time"

	"basaltcross.example/basaltcross/internal/addr"
)

func (c *Caller) now() time.Duration { return time.Since(c.epoch) }

// Addresses sets the addresses of endpoints; one that is not there has the
// address that is its name. Idle connections to addresses that went are closed,
// calls that are out go on.
func (c *Caller) Addresses(all map[string][]addr.Address) {
	c.mu.Lock()
	var old []*conn
	for host := range c.books {
		if all[host] == nil {
			delete(c.books, host)
		}
	}
	for host, list := range all {
		if b := c.books[host]; b != nil {
			b.Set(list)
		} else {
			c.books[host] = addr.NewBook(host, &c.fams, list)
		}
		if p := c.pools[host]; p != nil {
			old = append(old, p.take(func(cn *conn) bool { return !slices.Contains(list, cn.addr) })...)
		}
	}
	c.mu.Unlock()
	closeAll(old)
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

// take removes idle connections that a test picks.
func (p *pool) take(pick func(*conn) bool) (out []*conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = slices.DeleteFunc(p.idle, func(cn *conn) bool {
		if !pick(cn) {
			return false
		}
		out = append(out, cn)
		return true
	})
	return out
}

// hung books a call that an address took and did not answer, and lets its idle
// connections go, so that a further try does not meet it again.
func (cn *conn) hung(c *Caller) {
	if cn.book == nil {
		return
	}
	cn.book.Hung(c.now(), cn.addr)
	closeAll(cn.pool.take(func(o *conn) bool { return o.addr == cn.addr }))
}

// rests writes what a Unix socket did not take at once: the engine queues only
// for TCP and drops it here.
func (cn *conn) rests(k *call, b []byte) {
	for len(b) > 0 {
		time.Sleep(time.Millisecond)
		cn.mu.Lock()
		mine := cn.call == k
		cn.mu.Unlock()
		if !mine {
			return
		}
		before := cn.sent.Load()
		if _, err := cn.out.Write(b); err != nil {
			return // closed: its end is booked there
		}
		b = b[cn.sent.Load()-before:]
	}
}

type dialed struct {
	step addr.Step
	conn net.Conn
	err  error
	took time.Duration
}

var errNoAddress = errors.New("partner: no address")

// race connects by the book's plan; the first connection that is up wins, the
// others are called off or closed unused. Requests are never raced.
func (c *Caller) race(ctx context.Context, k *call, book *addr.Book) (net.Conn, addr.Address, error) {
	if book == nil {
		at := addr.Address{Network: "tcp", Addr: k.Host}
		conn, err := new(net.Dialer).DialContext(ctx, "tcp", k.Host)
		return conn, at, err
	}
	plan := book.Plan(c.now(), k.Patient, addr.Address{})
	race, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan dialed, len(plan))
	begun, running := 0, 0
	began := time.Now()
	begin := func() {
		s := plan[begun]
		begun++
		running++
		at := time.Now()
		go func() {
			conn, err := new(net.Dialer).DialContext(race, s.Network, s.Addr)
			results <- dialed{s, conn, err, time.Since(at)}
		}()
	}
	count := func(f addr.Family, result string) {
		if c.opt.Dialed != nil {
			c.opt.Dialed(f.String(), result)
		}
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
		case d := <-results:
			running--
			if d.err == nil {
				book.Connected(d.step.Address, d.took)
				count(d.step.Family, "won")
				go c.losers(book, results, running, count)
				return d.conn, d.step.Address, nil
			}
			if err = d.err; ctx.Err() == nil {
				book.Failed(c.now(), d.step.Address)
				count(d.step.Family, "failed")
			} else {
				book.Left(c.now(), d.step.Address, d.took)
				count(d.step.Family, "left")
			}
		}
		if ctx.Err() != nil {
			begun = len(plan) // the attempt is over: nothing further is begun
		}
	}
	return nil, addr.Address{}, err
}

// losers closes what came up too late and books what did not.
func (c *Caller) losers(book *addr.Book, results <-chan dialed, running int, count func(addr.Family, string)) {
	for range running {
		d := <-results
		switch {
		case d.err == nil:
			_ = d.conn.Close()
			book.Connected(d.step.Address, d.took)
			count(d.step.Family, "lost")
		case errors.Is(d.err, context.Canceled) || errors.Is(d.err, net.ErrClosed) || isCanceled(d.err):
			book.Left(c.now(), d.step.Address, d.took)
			count(d.step.Family, "left")
		default:
			book.Failed(c.now(), d.step.Address)
			count(d.step.Family, "failed")
		}
	}
}

// isCanceled tells a dial that was called off: net says so by a text only.
func isCanceled(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Err != nil && op.Err.Error() == "operation was canceled"
}
