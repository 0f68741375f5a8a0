// Package hookfront is the relay's front in the platform's form: POST /api hands in
// one message, GET /up tells whether the relay may be used. What the module decides
// in the step that takes a message is the answer; what it decides later is a notice.
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
)

// Name is that of the front in records.
const Name = "hook"

// Door is where messages are handed in; core.Core is one.
type Door interface {
	Submit(*core.Message) error
	Abandon(identity string, by core.Reply)
	Settled(identity string)
}

// Keeper is told of answers that have reached their client.
type Keeper interface{ Handed(identity string) }

// Notices takes the final answers of messages that were taken on.
type Notices interface {
	// Room tells whether a message may be taken, which may come to need one.
	Room() bool
	Add(identity string, a ledger.Answer)
}

// Options of a Front.
type Options struct {
	Listen  string
	Lanes   map[string]int   // classes by name
	Ordered []bool           // by class: keys count
	Dest    func(n int) bool // whether a destination is known
	Ready   func() bool

	Header      int           // bytes of a request's header
	Body        int           // bytes of its content
	Connections int           // open at once
	Lingering   int           // further ones, shut by the relay and not yet by the client
	Kept        int           // of them between two requests
	Request     time.Duration // a begun request may pause so long
	Whole       time.Duration // and must be whole by then; the first one since the connection came up
	Respond     time.Duration // a request has its response within this, whatever the disk does; 0 for no such time
	Wait        time.Duration // clients wait so long for it; 0 for an unknown time
	Linger      time.Duration // a connection that the relay has shut is closed after it, whatever the client does
	Idle        time.Duration // a connection without a request closes after it
	WriteBuffer int
	Door        Door
	Keeper      Keeper
	Notices     Notices
	Trace       lifecycle.Trace
	Guard       *lifecycle.Guard // decides what may be answered and closed; nil for one that keeps no count
	Logf        func(format string, args ...any)
}

// Front serves clients.
type Front struct {
	opt      Options
	sockets  *front.Listeners
	stop     chan struct{}
	done     sync.WaitGroup
	draining atomic.Bool
	left     atomic.Bool
	finished atomic.Bool
	numbers  atomic.Uint64

	mu    sync.Mutex
	conns map[*conn]struct{}

	counts Counts
}

// Counts of a run.
type Counts struct {
	Taken, Refused, Failed, Rejected, Closed, Evicted atomic.Int64
	Closes                                            lifecycle.Closes
}

// New opens the listener and serves.
func New(opt Options) (*Front, error) {
	f := &Front{opt: opt, stop: make(chan struct{}), conns: map[*conn]struct{}{}}
	var err error
	f.sockets, err = front.Listen(front.Sockets{Name: Name, Addrs: []string{opt.Listen}, ReadBuffer: 16 << 10,
		WriteBuffer: opt.WriteBuffer, Open: f.open,
		Failed: func(err error) { opt.Logf("accept: %v", err) }})
	if err != nil {
		return nil, err
	}
	f.done.Add(1)
	go f.janitor()
	return f, nil
}

// Addr is the address listened on.
func (f *Front) Addr() string { return f.sockets.Addrs[0] }

// Counts of this run so far.
func (f *Front) Counts() *Counts { return &f.counts }

// Connections open now.
func (f *Front) Connections() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns)
}

// Drain has every connection close after the answer that comes next.
func (f *Front) Drain() { f.draining.Store(true) }

// Leave closes the listener, and connections that rest between two requests. One that is
// new gets the time in which a client sends a request, lest it hears no answer.
func (f *Front) Leave() {
	f.Drain()
	f.sockets.Refuse()
	f.left.Store(true)
	f.shutIdle(lifecycle.CloseDrain, func(c *conn) bool { return c.overdue(time.Now()) })
}

// Finish takes nothing further: a request that is not whole yet is answered with 503.
// Those that were handed in still get their answers.
func (f *Front) Finish() {
	f.finished.Store(true)
	f.shutIdle(lifecycle.CloseDrain, func(c *conn) bool { return c.life.Phase() != lifecycle.Closing })
}

// Quiet tells whether nothing is owed to a client: no response, and no byte of one.
func (f *Front) Quiet() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		if c.life.Phase() == lifecycle.Answering || c.nb.Unsent() > 0 {
			return false
		}
	}
	return true
}

// Close ends everything.
func (f *Front) Close() {
	f.mu.Lock()
	for c := range f.conns {
		_ = c.life.MayClose(f.opt.Guard) // counted
	}
	f.mu.Unlock()
	close(f.stop)
	f.done.Wait()
	f.sockets.Close()
}

func (f *Front) shutIdle(why lifecycle.Reason, pick func(*conn) bool) {
	for _, c := range f.pick(pick) {
		c.end(why)
	}
}

// pick are the connections that a test picks.
func (f *Front) pick(test func(*conn) bool) (out []*conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		if test(c) {
			out = append(out, c)
		}
	}
	return out
}

// gone takes a connection off the table.
func (f *Front) gone(c *conn) {
	f.mu.Lock()
	delete(f.conns, c)
	f.mu.Unlock()
}

// look is how often connections are looked over.
const look = 100 * time.Millisecond

func (f *Front) janitor() {
	defer f.done.Done()
	tick := time.NewTicker(look)
	defer tick.Stop()
	for {
		select {
		case <-f.stop:
			return
		case now := <-tick.C:
			f.shutIdle(lifecycle.CloseIdle, func(c *conn) bool { return c.overdue(now) })
			for _, c := range f.pick((*conn).forsaken) {
				c.forsake()
			}
		}
	}
}

// open makes room for a connection: at the bound one without an open request goes, and
// where too many are between two requests the longest silent of those. Clients have a
// bound of their own, and hold what they asked on until the relay closes it.
func (f *Front) open(nb *engine.Conn, waited time.Duration) front.Conn {
	c := &conn{front: f, nb: nb, waited: waited, name: strconv.FormatUint(f.numbers.Add(1), 36)}
	c.since.Store(front.Now())
	c.begun.Store(c.since.Load())
	c.req.Reset(http1.Limits{Header: f.opt.Header, Body: f.opt.Body})
	f.mu.Lock()
	var out, rests, lingers *conn
	resting, going, owed, now := 0, 0, 0, time.Now()
	for o := range f.conns {
		phase := o.life.Phase()
		if phase == lifecycle.Closing || o.leaving.Load() {
			going++
			switch {
			case phase != lifecycle.Closing:
			case o.nb.Unsent() > 0: // its response is not written yet
				owed++
			case lingers == nil || o.since.Load() < lingers.since.Load():
				lingers = o
			}
			continue
		}
		if phase == lifecycle.Idle && o.asked.Load() {
			if resting++; rests == nil || o.since.Load() < rests.since.Load() {
				rests = o
			}
		}
		if phase != lifecycle.Answering && (out == nil || o.before(out, now)) {
			out = o
		}
	}
	switch {
	case owed > f.opt.Lingering:
		f.mu.Unlock()
		f.counts.Closed.Add(1)
		return nil
	case len(f.conns)-going < f.opt.Connections && resting > f.opt.Kept:
		out = rests
	case len(f.conns)-going < f.opt.Connections:
		out = nil
	case out == nil:
		f.mu.Unlock()
		f.counts.Closed.Add(1)
		return nil
	}
	if out != nil {
		out.leaving.Store(true)
	}
	f.conns[c] = struct{}{}
	if going < f.opt.Lingering {
		lingers = nil
	}
	f.mu.Unlock()
	if lingers != nil {
		lingers.end(lifecycle.CloseEvicted)
	}
	if out != nil {
		f.counts.Evicted.Add(1)
		if !out.end(lifecycle.CloseEvicted) {
			out.leaving.Store(false)
		}
	}
	return c
}
