// Package mqttfront is the relay's MQTT front: connections, sessions, and the
// way of a PUBLISH into the core and of its final answer back. It is a delivery
// service's door and no broker: what is published under send/<class>/<partner>
// is handed in, and the only messages that come out are final answers, each to
// the session that handed its message in.
package mqttfront

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/crypto/bcrypt"

	"basaltcross.example/basaltcross/internal/engine"
	"basaltcross.example/basaltcross/internal/front"
	"basaltcross.example/basaltcross/internal/mqtt"
	"basaltcross.example/basaltcross/internal/secure"
)

// Observer is told what passes.
type Observer interface {
	// Connections and sessions now, half packets held, answers owed to sessions.
	Front(connections, sessions int, partial int64)
	// Closed counts connections that the front ended, by reason code.
	Closed(code byte)
	// NotTaken counts messages turned away at the door, by reason.
	NotTaken(reason string)
	// Handshake counts TLS handshakes by their result.
	Handshake(err error)
	Logf(format string, args ...any)
}

// Options of a Front. Every bound is per relay unless it says otherwise.
type Options struct {
	Listen         []string // without TLS
	TLSListen      []string
	TLS            *tls.Config
	Slots          secure.Slots
	Names          front.Names
	Body           int // bytes of a payload at most
	Connections    int // at the bound new ones are closed at once
	Sessions       int // at the bound new ones are refused with 0x97
	ReceiveMaximum int // of each connection
	TopicAliases   int
	Pending        int // answers owed to one session; at the bound nothing is taken from it
	Partial        int64
	SessionExpiry  time.Duration
	KeepAlive      time.Duration
	Handshake      time.Duration // for a CONNECT, and for the rest of a begun packet
	WriteBuffer    int           // bytes that wait for one connection; over it, it is closed
	Users          map[string]string
	Door           front.Door
	Observer       Observer
	Keeper         front.Keeper // nil: sessions end with the process
	// Before is called once before the front listens, to restore what an earlier run kept.
	Before func(*Front)
}

// Front serves MQTT.
type Front struct {
	opt       Options
	tlsAddrs  []string
	max       int // bytes of a packet
	addrs     []string
	listeners []*front.Listeners
	startedAt int64 // tells serial numbers of this run from those of earlier ones

	mu       sync.Mutex
	sessions map[string]*session
	conns    map[*conn]struct{}
	stopping bool
	draining atomic.Bool

	partialTotal atomic.Int64 // bytes of half packets held
	stop         chan struct{}
	goroutines   sync.WaitGroup
	outbox       *front.Outbox[*pending]
	auth         authenticator
}

// most subscriptions and most bytes before CONNECT of one client.
const (
	maxSubscriptions = 64
	maxBeforeConnack = 64 << 10
	packetOverhead   = 8 << 10 // of a packet beside its payload
	maxAuthWaiting   = 256
)

// New opens the listeners.
func New(opt Options) (*Front, error) {
	f := &Front{opt: opt, max: opt.Body + packetOverhead, startedAt: time.Now().UnixNano(), sessions: map[string]*session{}, conns: map[*conn]struct{}{},
		stop: make(chan struct{})}
	f.outbox = front.NewOutbox[*pending]()
	f.auth = authenticator{users: opt.Users, slots: make(chan struct{}, 2), verified: map[string][32]byte{}}
	if _, err := rand.Read(f.auth.salt[:]); err != nil {
		return nil, fmt.Errorf("mqtt: %w", err)
	}
	if opt.Before != nil {
		opt.Before(f)
	}
	for i, addrs := range [][]string{opt.Listen, opt.TLSListen} {
		if len(addrs) == 0 {
			continue
		}
		l, err := front.Listen(front.Sockets{Name: "mqtt", Addrs: addrs, ReadBuffer: 64 << 10,
			WriteBuffer: opt.WriteBuffer, Open: func(nb *engine.Conn, _ time.Duration) front.Conn { return f.open(nb, i == 1) },
			Failed: func(err error) {
				if !f.draining.Load() {
					opt.Observer.Logf("mqtt: accept: %v", err)
				}
			}})
		if err != nil {
			for _, l := range f.listeners {
				l.Close()
			}
			return nil, err
		}
		if f.listeners = append(f.listeners, l); i == 1 {
			f.tlsAddrs = l.Addrs
		} else {
			f.addrs = l.Addrs
		}
	}
	f.goroutines.Add(2)
	go f.writeLoop()
	go f.expiryLoop()
	return f, nil
}

// Addrs and TLSAddrs are the addresses listened on.
func (f *Front) Addrs() []string    { return f.addrs }
func (f *Front) TLSAddrs() []string { return f.tlsAddrs }

// Drain closes the listeners and says goodbye, with reason 0x8B, to each client
// once it is owed nothing, so that it goes to another relay.
func (f *Front) Drain() {
	f.mu.Lock()
	f.stopping = true
	f.draining.Store(true)
	sessions := slices.Collect(maps.Values(f.sessions))
	listeners := f.listeners
	f.mu.Unlock()
	for _, l := range listeners {
		l.Refuse()
	}
	for _, s := range sessions {
		s.mu.Lock()
		s.disconnectIfDrained()
		s.mu.Unlock()
	}
}

// Close says goodbye with reason 0x8B and ends all connections. Answers that
// reached the front before are written first.
func (f *Front) Close() {
	f.Drain()
	f.mu.Lock()
	conns := make([]*conn, 0, len(f.conns))
	for c := range f.conns {
		conns = append(conns, c)
	}
	f.mu.Unlock()
	close(f.stop)
	f.goroutines.Wait()
	for _, c := range conns {
		c.end(mqtt.ServerShuttingDown, "relay stops")
	}
	for _, l := range f.listeners {
		l.Close()
	}
}

func (f *Front) open(nb *engine.Conn, secured bool) front.Conn {
	c := &conn{front: f, nb: nb, out: nb}
	now := time.Now()
	c.opened = now
	c.last.Store(front.Nanos(now))
	f.mu.Lock()
	full := len(f.conns) >= f.opt.Connections || f.stopping
	if !full {
		f.conns[c] = struct{}{}
	}
	f.mu.Unlock()
	if full {
		f.opt.Observer.Closed(mqtt.ServerBusy)
		return nil
	}
	if secured {
		c.sec = secure.Server(nb, f.opt.TLS, f.opt.Slots, f.opt.Handshake, c.handshakeDone)
		c.out = c.sec
	}
	return c
}

// janitor looks after everything that ends by time.
func (f *Front) expiryLoop() {
	defer f.goroutines.Done()
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-f.stop:
			return
		case <-tick.C:
		}
		now := time.Now()
		f.mu.Lock()
		conns := make([]*conn, 0, len(f.conns))
		for c := range f.conns {
			conns = append(conns, c)
		}
		sessions := make([]*session, 0, 16)
		for _, s := range f.sessions {
			if s.nextExpiry.Load() <= front.Nanos(now) {
				sessions = append(sessions, s)
			}
		}
		f.opt.Observer.Front(len(f.conns), len(f.sessions), f.partialTotal.Load())
		f.mu.Unlock()
		for _, c := range conns {
			c.checkTimeouts(now)
		}
		for _, s := range sessions {
			f.expire(s, now)
		}
	}
}

// expire publishes a will that is due and drops a session whose time is over.
func (f *Front) expire(s *session, now time.Time) {
	f.mu.Lock()
	s.mu.Lock()
	if s.conn != nil {
		s.mu.Unlock()
		f.mu.Unlock()
		return
	}
	over := !now.Before(s.disconnectedAt.Add(s.expiry))
	will := s.will
	if will != nil && !over && now.Before(s.willAt) {
		will = nil
	}
	if will != nil {
		s.will = nil
	}
	if over && f.sessions[s.id] == s {
		delete(f.sessions, s.id)
		s.removed = true
		s.persist()
	}
	s.scheduleExpiry()
	s.mu.Unlock()
	f.mu.Unlock()
	if will != nil {
		f.publishWill(s, will)
	}
}

// reserve accounts for bytes of half packets. At the bound the connection that
// holds most of them is closed.
func (f *Front) reserve(c *conn, n int) {
	c.partialBytes.Add(int64(n))
	if f.partialTotal.Add(int64(n)) <= f.opt.Partial || n <= 0 {
		return
	}
	for {
		most := f.largestPartial()
		if most == nil {
			return
		}
		if most.end(mqtt.QuotaExceeded, "half packets hold too much memory") {
			f.partialTotal.Add(-most.partialBytes.Swap(0)) // not again for the next one
			return
		}
	}
}

// holdsMost is the connection that holds most of half packets, among those that have not ended.
func (f *Front) largestPartial() (most *conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for o := range f.conns {
		if !o.ended.Load() && (most == nil || o.partialBytes.Load() > most.partialBytes.Load()) {
			most = o
		}
	}
	return most
}

// write tells clients what the core said, each connection in one write.
func (f *Front) writeLoop() {
	defer f.goroutines.Done()
	var dirty []*conn
	f.outbox.Run(f.stop, func(list []front.Said[*pending]) {
		for _, said := range list {
			s := said.To.session
			s.mu.Lock()
			if said.Answer.Verdict != 0 {
				s.queueAnswer(said.To, said.Answer)
			} else {
				s.handleAccepted(said.To, said.Err)
			}
			if c := s.conn; c != nil && len(c.outQueue) > 0 && !c.dirty {
				c.dirty = true
				dirty = append(dirty, c)
			}
			s.mu.Unlock()
		}
		for i, c := range dirty {
			c.flush()
			dirty[i] = nil
		}
		dirty = dirty[:0]
	})
}

// authenticator checks passwords on goroutines of its own, two at a time; a password
// that was right is remembered by a salted hash, so that reconnects are cheap.
type authenticator struct {
	users    map[string]string // bcrypt by name; none: anyone
	slots    chan struct{}
	waiting  atomic.Int32
	salt     [32]byte
	mu       sync.Mutex
	verified map[string][32]byte // at most one for each user
}

var errBusy = errors.New("mqtt: too many connections wait for their password check")

func (a *authenticator) checkCached(user string, password []byte) (ok, sure bool) {
	hash, exists := a.users[user]
	if !exists || hash == "" {
		return false, false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	known, there := a.verified[user]
	sum := a.digest(user, password)
	return there && subtle.ConstantTimeCompare(known[:], sum[:]) == 1, there
}

func (a *authenticator) digest(user string, password []byte) [32]byte {
	h := sha256.New()
	h.Write(a.salt[:])
	fmt.Fprintf(h, "%d:%s", len(user), user)
	h.Write(password)
	return [32]byte(h.Sum(nil))
}

// check blocks for as long as bcrypt takes. An unknown user costs the same.
func (a *authenticator) check(user string, password []byte) (bool, error) {
	if a.waiting.Add(1) > maxAuthWaiting {
		a.waiting.Add(-1)
		return false, errBusy
	}
	a.slots <- struct{}{}
	defer func() { <-a.slots; a.waiting.Add(-1) }()
	hash, exists := a.users[user]
	if !exists {
		for _, h := range a.users {
			hash = h
			break
		}
	}
	if bcrypt.CompareHashAndPassword([]byte(hash), password) != nil || !exists {
		return false, nil
	}
	a.mu.Lock()
	a.verified[user] = a.digest(user, password)
	a.mu.Unlock()
	return true, nil
}
