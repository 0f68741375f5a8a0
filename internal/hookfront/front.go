// Package hookfront is the relay's HTTP/1.1 front for the platform's clients: POST /api hands in
// one message, and GET /up reports whether the relay is ready. A decision that the module makes in
// the step that accepts a message is the response; a later one is sent as a notice. The package
// decides nothing about delivery.
package hookfront

import (
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"basaltcross.example/basaltcross/internal/core"
	"basaltcross.example/basaltcross/internal/engine"
	"basaltcross.example/basaltcross/internal/front"
	"basaltcross.example/basaltcross/internal/http1"
	"basaltcross.example/basaltcross/internal/ledger"
	"basaltcross.example/basaltcross/internal/lifecycle"
	"basaltcross.example/basaltcross/internal/stall"
)

// Name is the name of this front in records.
const Name = "hook"

// Core accepts messages; core.Core implements it.
type Core interface {
	Submit(*core.Message) error
	Abandon(identity string, by core.Reply)
	Settled(identity string)
}

// Journal records the answers that have been given to their client.
type Journal interface{ Handed(identity string) }

// Notices receives the final answers of messages whose hand-in was answered before.
type Notices interface {
	// Room reports whether there is room for the notice that a further message may need.
	Room() bool
	Add(identity string, a ledger.Answer)
}

// Options configure a Front.
type Options struct {
	Listen           string
	Classes          map[string]int   // class by the name in X-Lane
	Ordered          []bool           // by class: messages with the same key stay in order
	KnownDestination func(n int) bool // reports whether destination n is known
	Ready            func() bool

	HeaderBytes          int           // limit on the bytes of a request's header
	BodyBytes            int           // limit on the bytes of a request's content
	Connections          int           // limit on open connections, without those that the relay is closing
	LingeringConnections int           // limit on those on which only the relay has ended its side
	IdleConnections      int           // limit on connections between two requests
	RequestPause         time.Duration // longest pause between two reads of a request
	RequestTimeout       time.Duration // longest time for a request; the first one counts from the connection
	RespondWithin        time.Duration // time for the response, also while the disk blocks; 0 for no limit
	ClientTimeout        time.Duration // how long clients wait for a response; 0 if unknown
	LingerTimeout        time.Duration // longest time for the client to close after the relay has ended its side
	IdleTimeout          time.Duration // time after which a connection without a request is closed
	WriteBuffer          int
	PartialBytes         int64 // bytes of requests that have not arrived completely; 0 for no limit
	Core                 Core
	Journal              Journal
	Notices              Notices
	Trace                lifecycle.Trace
	Stalls               *stall.Monitor   // tells when the process stood still; nil if that isn't known
	Guard                *lifecycle.Guard // checks responses and closes; nil for one that doesn't count
	Logf                 func(format string, args ...any)
}

// Front serves the clients of the platform.
type Front struct {
	opt            Options
	sockets        *front.Listeners
	stop           chan struct{}
	goroutines     sync.WaitGroup
	draining       atomic.Bool
	listenerClosed atomic.Bool
	finished       atomic.Bool
	lastNumber     atomic.Uint64

	partial *front.PartialInput

	mu    sync.Mutex
	conns map[*conn]struct{}

	counts Counts
}

// Counts are the counters of one Front.
type Counts struct {
	Taken, Refused, Failed, Rejected, NotAccepted, Evicted atomic.Int64
	Closes                                                 lifecycle.CloseCounts
}

// New opens the listener and starts to serve.
func New(opt Options) (*Front, error) {
	f := &Front{opt: opt, stop: make(chan struct{}), conns: map[*conn]struct{}{},
		partial: front.NewPartialInput(opt.PartialBytes)}
	var err error
	f.sockets, err = front.Listen(front.ListenOptions{Name: Name, Addrs: []string{opt.Listen}, ReadBuffer: 16 << 10,
		WriteBuffer: opt.WriteBuffer, NewHandler: f.open, Stalls: opt.Stalls,
		OnError: func(err error) { opt.Logf("accept: %v", err) }})
	if err != nil {
		return nil, err
	}
	f.goroutines.Add(1)
	go f.sweep()
	return f, nil
}

// Addr returns the address of the listener.
func (f *Front) Addr() string { return f.sockets.Addrs[0] }

// Counts returns the counters.
func (f *Front) Counts() *Counts { return &f.counts }

// Connections returns the number of open connections.
func (f *Front) Connections() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns)
}

// Drain makes every connection close after its next response.
func (f *Front) Drain() { f.draining.Store(true) }

// CloseListener closes the listener and the idle connections. A connection that has not sent a
// request yet gets the time in which a client sends one, so that its request is answered.
func (f *Front) CloseListener() {
	f.Drain()
	f.sockets.StopAccepting()
	f.listenerClosed.Store(true)
	f.endMatching(lifecycle.CloseDrain, func(c *conn) bool { return c.timedOut(time.Now()) })
}

// StopHandIns accepts no further messages: an incomplete request is answered with 503. Messages
// that have been handed in are still answered.
func (f *Front) StopHandIns() {
	f.finished.Store(true)
	f.endMatching(lifecycle.CloseDrain, func(c *conn) bool { return c.state.Phase() != lifecycle.Closing })
}

// AllAnswered reports whether no client is owed a response or a part of one.
func (f *Front) AllAnswered() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		if c.state.Phase() == lifecycle.Answering || c.socket.Unsent() > 0 {
			return false
		}
	}
	return true
}

// Close closes the listener and all connections.
func (f *Front) Close() {
	f.mu.Lock()
	for c := range f.conns {
		_ = c.state.MayClose(f.opt.Guard) // counts each connection that is closed without its response
	}
	f.mu.Unlock()
	close(f.stop)
	f.goroutines.Wait()
	f.sockets.Close()
}

func (f *Front) endMatching(why lifecycle.CloseReason, pick func(*conn) bool) {
	for _, c := range f.matching(pick) {
		c.tryEnd(why)
	}
}

// matching returns the connections for which test is true.
func (f *Front) matching(test func(*conn) bool) (out []*conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		if test(c) {
			out = append(out, c)
		}
	}
	return out
}

// remove drops a connection from the set of open ones.
func (f *Front) remove(c *conn) {
	c.partial.Leave()
	f.mu.Lock()
	delete(f.conns, c)
	f.mu.Unlock()
}

// sweepInterval is the interval at which connections are checked for time-outs.
const sweepInterval = 100 * time.Millisecond

func (f *Front) sweep() {
	defer f.goroutines.Done()
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-f.stop:
			return
		case now := <-tick.C:
			f.endMatching(lifecycle.CloseIdle, func(c *conn) bool { return c.timedOut(now) })
			for _, c := range f.matching((*conn).halfClosedWaiting) {
				c.closeGivenUp()
			}
		}
	}
}

// open returns the handler of a new connection and makes room for it. At the limit a connection
// without a pending request is closed; with too many connections between two requests, the one of
// them that has been idle longest. Clients have a limit on their connections as well, and keep
// those they have used open until the relay closes them.
func (f *Front) open(socket *engine.Conn, wait front.QueueWait) front.ConnHandler {
	c := &conn{front: f, socket: socket, queue: wait, name: strconv.FormatUint(f.lastNumber.Add(1), 36)}
	c.lastActive.Store(front.Now())
	c.requestBegun.Store(c.lastActive.Load())
	c.req.Reset(http1.Limits{Header: f.opt.HeaderBytes, Body: f.opt.BodyBytes})
	f.mu.Lock()
	var evict, longestIdle, longestLingering *conn
	idle, closing, unsent, now := 0, 0, 0, time.Now()
	for o := range f.conns {
		phase := o.state.Phase()
		if phase == lifecycle.Closing || o.evicting.Load() {
			closing++
			switch {
			case phase != lifecycle.Closing:
			case o.socket.Unsent() > 0: // its response is not completely written yet
				unsent++
			case longestLingering == nil || o.lastActive.Load() < longestLingering.lastActive.Load():
				longestLingering = o
			}
			continue
		}
		if phase == lifecycle.Idle && o.answeredOnce.Load() {
			if idle++; longestIdle == nil || o.lastActive.Load() < longestIdle.lastActive.Load() {
				longestIdle = o
			}
		}
		if phase != lifecycle.Answering && (evict == nil || o.evictBefore(evict, now)) {
			evict = o
		}
	}
	switch {
	case unsent > f.opt.LingeringConnections:
		f.mu.Unlock()
		f.counts.NotAccepted.Add(1)
		return nil
	case len(f.conns)-closing < f.opt.Connections && idle > f.opt.IdleConnections:
		evict = longestIdle
	case len(f.conns)-closing < f.opt.Connections:
		evict = nil
	case evict == nil:
		f.mu.Unlock()
		f.counts.NotAccepted.Add(1)
		return nil
	}
	if evict != nil {
		evict.evicting.Store(true)
	}
	c.partial = f.partial.Join(c.giveUpPartial)
	f.conns[c] = struct{}{}
	if closing < f.opt.LingeringConnections {
		longestLingering = nil
	}
	f.mu.Unlock()
	if longestLingering != nil {
		longestLingering.tryEnd(lifecycle.CloseEvicted)
	}
	if evict != nil {
		f.counts.Evicted.Add(1)
		if !evict.tryEnd(lifecycle.CloseEvicted) {
			evict.evicting.Store(false)
		}
	}
	return c
}
