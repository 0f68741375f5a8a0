// Package partner calls partners' endpoints: HTTP/1.1 over non-blocking
// sockets, a pool of kept connections per endpoint, and one table from what
// happened on a socket to what the decision module is told.
package partner

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"basaltcross.example/basaltcross/internal/addr"
	"basaltcross.example/basaltcross/internal/engine"
	"basaltcross.example/basaltcross/internal/http1"
	"basaltcross.example/basaltcross/internal/lifecycle"
	"basaltcross.example/basaltcross/internal/zone"
)

// Target says how calls for one partner look.
type Target struct {
	Path     string
	Host     string // Host field; empty for the endpoint's address
	Promises bool   // a refusal never ran
	// TLS makes the configuration of one connection; nil for none.
	TLS func() *tls.Config
}

// Options of a Caller.
type Options struct {
	Name     string   // of the relay, as Via tells it (RFC 9110, 7.6.3)
	Targets  []Target // by partner
	Hook     *Hook    // calls take the platform's form, and Targets are not used; nil for the usual one
	Classes  []string // names by class
	Limits   http1.Limits
	Keep     addr.KeepSettings // connections of each endpoint
	Sessions int               // TLS sessions kept to resume, over all addresses
	Dial     time.Duration     // a connection that is not up by then is none; 0 for no such time
	// Descriptors bounds the connections kept to all endpoints together, with those in
	// use: past it one is closed when its call ends; 0 for no bound.
	Descriptors int
	// Traffic counts bytes by class, partner and zone; may be nil.
	Traffic *zone.Table
	// Dialed counts connections by family and what became of them: won, lost
	// (closed unused), failed, left; may be nil.
	Dialed func(family, result string)
	// Failed is told of TLS handshakes that failed; may be nil.
	Failed func(host string, err error)
	// Refused is told what was refused of a peer, or of a connection to one; it must not block.
	// May be nil.
	Refused func(lifecycle.PeerRefusal)
	// Waits is told of waits in answers that no call asked for; it must not block. May be nil.
	Waits func(host string, partner int, wait time.Duration)
	// Trace takes each call's connection, turn on it and rest before it.
	Trace lifecycle.Trace
	// TrustPeers believes every answer and uses every connection again, for tests that must fail.
	TrustPeers bool
}

// Caller holds the connections to all endpoints.
type Caller struct {
	opt     Options
	engine  *engine.Engine
	mu      sync.Mutex
	pools   map[string]*pool
	books   map[string]*addr.Book // of endpoints with addresses of their own
	news    chan struct{}         // closed when addresses change
	barred  map[string]bool       // endpoints that are not to be called: no spares there
	fams    addr.Families
	tls     *sessions
	epoch   time.Time
	open    atomic.Int64  // connections of all pools
	opened  atomic.Uint64 // since the start
	conduct lifecycle.Conduct
	stop    chan struct{}
	ctx     context.Context // ends with Close
	cancel  context.CancelFunc
	done    sync.WaitGroup
}

// bill says who is charged with a connection's bytes.
type bill struct {
	class, partner, zone int
	passed               *atomic.Int64
}

// count books bytes of a connection: to the call that it carries, else to none.
func (c *Caller) count(cn *conn, n int, out bool) {
	b := cn.bill.Load()
	if b == nil {
		b = &cn.home
	} else if b.passed != nil {
		b.passed.Add(int64(n))
	}
	if t := c.opt.Traffic; t != nil && out {
		t.Out(b.class, b.partner, b.zone, n)
	} else if t != nil {
		t.In(b.class, b.partner, b.zone, n)
	}
}

// counted counts the bytes of a TLS handshake.
type counted struct {
	net.Conn
	c  *Caller
	cn *conn
}

func (k counted) Unwrap() net.Conn { return k.Conn }

func (k counted) Read(b []byte) (int, error) {
	n, err := k.Conn.Read(b)
	k.c.count(k.cn, n, false)
	return n, err
}

func (k counted) Write(b []byte) (int, error) {
	n, err := k.Conn.Write(b)
	k.c.count(k.cn, n, true)
	return n, err
}

// New starts the engine of the connections.
func New(opt Options) (*Caller, error) {
	c := &Caller{opt: opt, pools: map[string]*pool{}, books: map[string]*addr.Book{}, news: make(chan struct{}),
		barred: map[string]bool{}, epoch: time.Now(), stop: make(chan struct{}), tls: newSessions(opt.Sessions)}
	c.conduct.Refused, c.conduct.Off = opt.Refused, opt.TrustPeers
	c.ctx, c.cancel = context.WithCancel(context.Background())
	var err error
	c.engine, err = engine.Start(engine.Options{Name: "partner", ReadBuffer: 16 << 10,
		Sent: func(h engine.Handler, n int) {
			cn := h.(*conn)
			cn.sent.Add(int64(n))
			c.count(cn, n, true)
		}})
	if err != nil {
		return nil, err
	}
	c.done.Add(1)
	go c.sweep()
	return c, nil
}

// Refusals counts what was refused of peers, by breach.
func (c *Caller) Refusals() map[lifecycle.PeerBreach]int { return c.conduct.Counts() }

// Close ends all connections.
func (c *Caller) Close() {
	close(c.stop)
	c.cancel()
	c.done.Wait()
	c.engine.Stop()
}
