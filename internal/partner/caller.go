// Package partner calls partners' endpoints by HTTP/1.1 over non-blocking sockets. It keeps a pool
// of connections per endpoint, races the addresses of an endpoint when it connects, and maps what
// happened on a socket to an outcome for the decision module. It does not decide what is called
// when, and it never repeats a request.
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

// Target is the form of the calls to one partner.
type Target struct {
	Path            string
	Host            string // value of the Host field; empty for the endpoint's address
	RefusalNeverRan bool   // a message whose call was refused has not run
	// TLS returns the configuration for one connection; nil for plain TCP.
	TLS func() *tls.Config
}

// Options are the options of a Caller.
type Options struct {
	Name        string   // name of the relay in the Via field (RFC 9110, 7.6.3)
	Targets     []Target // indexed by partner
	Hook        *Hook    // the platform's call format, used instead of Targets; nil for the usual one
	Classes     []string // indexed by class
	Limits      http1.Limits
	Pool        addr.PoolSettings // limits on the pool of each endpoint
	TLSSessions int               // limit on cached TLS sessions, over all addresses
	DialTimeout time.Duration     // time-out for setting up a connection; 0 for none
	// MaxSockets is the limit on the sockets to all endpoints together, those included that are idle, being set up
	// or being closed; 0 for no limit. At the limit the connection that has been idle longest is closed for a new
	// one. A call that gets no socket within half of its time-out ends as not sent.
	MaxSockets int
	// Traffic counts bytes by class, partner and zone; may be nil.
	Traffic *zone.Table
	// Dialed counts connection attempts by family and result: won, lost (established after another
	// and closed unused), failed, left (cancelled), ours (out of local resources); may be nil.
	Dialed func(family, result string)
	// HandshakeFailed is called for each TLS handshake that failed; may be nil.
	HandshakeFailed func(host string, err error)
	// PeerRefused is called for each protocol breach of a peer, and for each connection that was
	// refused because of one. It must not block; may be nil.
	PeerRefused func(lifecycle.PeerRefusal)
	// UnsolicitedWait is called with the wait announced by an unsolicited response. It must not block; may be
	// nil.
	UnsolicitedWait func(host string, partner int, wait time.Duration)
	// Trace records each call's connection, its turn on it, and how long the connection had been
	// idle.
	Trace lifecycle.Trace
	// TrustPeers accepts every answer and reuses every connection, for tests that must fail.
	TrustPeers bool
}

// Caller calls hosts and owns the connections to all endpoints.
type Caller struct {
	opt              Options
	engine           *engine.Engine
	mu               sync.Mutex
	pools            map[string]*pool
	selectors        map[string]*addr.Selector // of endpoints whose addresses were set
	addressesChanged chan struct{}             // closed and replaced when addresses change
	excluded         map[string]bool           // endpoints that take no new calls and get no spare connections
	families         addr.FamilyHealth
	sessions         *sessions
	epoch            time.Time
	sockets          *socketLimit
	openedTotal      atomic.Uint64 // connections opened since the start
	conduct          lifecycle.PeerTrust
	stop             chan struct{}
	ctx              context.Context // cancelled by Close
	cancel           context.CancelFunc
	done             sync.WaitGroup
}

// account names who is charged for a connection's bytes.
type account struct {
	class, partner, zone int
	passed               *atomic.Int64
}

// count adds bytes of a connection to the account of the call that it carries, or else to its
// default account.
func (c *Caller) count(cn *conn, n int, out bool) {
	b := cn.account.Load()
	if b == nil {
		b = &cn.defaultAccount
	} else if b.passed != nil {
		b.passed.Add(int64(n))
	}
	if t := c.opt.Traffic; t != nil && out {
		t.Out(b.class, b.partner, b.zone, n)
	} else if t != nil {
		t.In(b.class, b.partner, b.zone, n)
	}
}

// countedConn counts the bytes of a TLS handshake.
type countedConn struct {
	net.Conn
	caller *Caller
	conn   *conn
}

func (k countedConn) Unwrap() net.Conn { return k.Conn }

func (k countedConn) Read(b []byte) (int, error) {
	n, err := k.Conn.Read(b)
	k.caller.count(k.conn, n, false)
	return n, err
}

func (k countedConn) Write(b []byte) (int, error) {
	n, err := k.Conn.Write(b)
	k.caller.count(k.conn, n, true)
	return n, err
}

// New returns a Caller whose connections are served by an engine of its own.
func New(opt Options) (*Caller, error) {
	c := &Caller{opt: opt, pools: map[string]*pool{}, selectors: map[string]*addr.Selector{},
		addressesChanged: make(chan struct{}), excluded: map[string]bool{}, epoch: time.Now(),
		stop: make(chan struct{}), sessions: newSessions(opt.TLSSessions), sockets: newSocketLimit(opt.MaxSockets)}
	c.conduct.OnRefusal, c.conduct.TrustAll = opt.PeerRefused, opt.TrustPeers
	c.ctx, c.cancel = context.WithCancel(context.Background())
	var err error
	c.engine, err = engine.Start(engine.Options{Name: "partner", ReadBuffer: 16 << 10,
		OnSent: func(h engine.Handler, n int) {
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

// Refusals returns the number of refusals by kind of breach.
func (c *Caller) Refusals() map[lifecycle.PeerRefusalReason]int { return c.conduct.Counts() }

// Close closes all connections and stops the engine.
func (c *Caller) Close() {
	close(c.stop)
	c.cancel()
	c.done.Wait()
	c.engine.Stop()
}
