// Package mqttfront is the relay's MQTT server. It keeps connections and sessions,
// hands each PUBLISH to send/<class>/<partner> in to the core, and publishes the
// message's final answer to the session that handed it in.
//
// It is not a broker: clients cannot publish to each other, and the only messages
// that it publishes are final answers. Section numbers in comments are those of
// MQTT 5.0.
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

// Observer receives the front's metrics and log lines.
type Observer interface {
	// Front reports, at each tick, the number of connections and of sessions, and the
	// bytes of partially received packets.
	Front(connections, sessions int, partial int64)
	// Closed is called for each connection that the front closes, with the reason code.
	Closed(code byte)
	// NotTaken is called for each message that is not accepted, with the reason.
	NotTaken(reason string)
	// Handshake is called after each TLS handshake, with its error or nil.
	Handshake(err error)
	Logf(format string, args ...any)
}

// Options configures a Front. Limits apply to the whole front unless stated otherwise.
type Options struct {
	Listen         []string // addresses to listen on without TLS
	TLSListen      []string // addresses to listen on with TLS
	TLS            *tls.Config
	HandshakeSlots secure.HandshakeSlots
	Names          front.Names
	Body           int               // largest payload, in bytes
	Connections    int               // at this limit new ones are closed at once
	Sessions       int               // at this limit new ones are refused with 0x97 (Quota exceeded)
	ReceiveMaximum int               // per connection, as announced to the client
	TopicAliases   int               // Topic Alias Maximum, per connection
	Pending        int               // unacknowledged answers of a session; at this limit hand-ins are rejected
	PartialBytes   int64             // bytes of partially received packets
	SessionExpiry  time.Duration     // longest Session Expiry Interval granted
	KeepAlive      time.Duration     // longest keep-alive interval granted; MQTT 5.0 only
	Handshake      time.Duration     // time limit until CONNECT is accepted, and to complete a packet
	WriteBuffer    int               // unsent bytes of one connection; over this limit it is closed
	Users          map[string]string // bcrypt hash by user name; if empty, any client may connect
	Door           front.Submitter
	Observer       Observer
	Keeper         front.Journal // stores sessions and answers for a restart; nil for none
	// BeforeListen, if set, is called once before the front listens, to restore the sessions
	// and messages of an earlier run.
	BeforeListen func(*Front)
}

// Front is an MQTT server.
type Front struct {
	opt       Options
	tlsAddrs  []string
	max       int // largest packet, in bytes
	addrs     []string
	listeners []*front.Listeners
	startedAt int64 // Unix time in ns; makes the serial numbers of this run unique among runs

	mu       sync.Mutex
	sessions map[string]*session
	conns    map[*conn]struct{}
	stopping bool
	draining atomic.Bool

	partial    *front.PartialInput // partially received packets
	stop       chan struct{}
	goroutines sync.WaitGroup
	outbox     *front.Outbox[*pending]
	auth       authenticator
}

// Limits that are not configurable.
const (
	maxSubscriptions = 64       // of one session
	maxBeforeConnack = 64 << 10 // bytes received from a client before its CONNACK
	packetOverhead   = 8 << 10  // bytes of a packet other than its payload
	maxAuthWaiting   = 256      // connections that wait for their password check
)

// New restores earlier sessions by Options.BeforeListen, opens the listeners and starts the
// front.
func New(opt Options) (*Front, error) {
	f := &Front{opt: opt, max: opt.Body + packetOverhead, startedAt: time.Now().UnixNano(),
		sessions: map[string]*session{}, conns: map[*conn]struct{}{}, stop: make(chan struct{})}
	f.outbox = front.NewOutbox[*pending]()
	f.partial = front.NewPartialInput(opt.PartialBytes)
	f.auth = authenticator{users: opt.Users, slots: make(chan struct{}, 2), verified: map[string][32]byte{}}
	if _, err := rand.Read(f.auth.salt[:]); err != nil {
		return nil, fmt.Errorf("mqtt: %w", err)
	}
	if opt.BeforeListen != nil {
		opt.BeforeListen(f)
	}
	for i, addrs := range [][]string{opt.Listen, opt.TLSListen} {
		if len(addrs) == 0 {
			continue
		}
		l, err := front.Listen(front.ListenOptions{Name: "mqtt", Addrs: addrs, ReadBuffer: 64 << 10,
			WriteBuffer: opt.WriteBuffer,
			NewHandler:  func(nb *engine.Conn, _ front.QueueWait) front.ConnHandler { return f.open(nb, i == 1) },
			OnError: func(err error) {
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

// Addrs returns the addresses that the front listens on without TLS.
func (f *Front) Addrs() []string { return f.addrs }

// TLSAddrs returns the addresses that the front listens on with TLS.
func (f *Front) TLSAddrs() []string { return f.tlsAddrs }

// Drain closes the listeners and disconnects each client, with reason 0x8B (Server
// shutting down), as soon as all its answers are acknowledged, so that it connects to
// another relay.
func (f *Front) Drain() {
	f.mu.Lock()
	f.stopping = true
	f.draining.Store(true)
	sessions := slices.Collect(maps.Values(f.sessions))
	listeners := f.listeners
	f.mu.Unlock()
	for _, l := range listeners {
		l.StopAccepting()
	}
	for _, s := range sessions {
		s.mu.Lock()
		s.disconnectIfDrained()
		s.mu.Unlock()
	}
}

// Close drains the front, writes the answers that it has received from the core, and
// then closes all connections with reason 0x8B.
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

// open accepts a connection, or returns nil at the limit of connections and while the
// front drains.
func (f *Front) open(nb *engine.Conn, secured bool) front.ConnHandler {
	c := &conn{front: f, nb: nb, out: nb}
	now := time.Now()
	c.openedAt = now
	c.lastPacket.Store(front.SinceStart(now))
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
	c.partial = f.partial.Join(func() bool { return c.end(mqtt.QuotaExceeded, "half packets hold too much memory") })
	if secured {
		c.sec = secure.Server(nb, f.opt.TLS, f.opt.HandshakeSlots, f.opt.Handshake, c.handshakeDone)
		c.out = c.sec
	}
	return c
}

// expiryLoop closes connections and ends sessions whose time is over, every 100 ms,
// until the front stops.
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
			if s.nextExpiry.Load() <= front.SinceStart(now) {
				sessions = append(sessions, s)
			}
		}
		f.opt.Observer.Front(len(f.conns), len(f.sessions), f.partial.Bytes())
		f.mu.Unlock()
		for _, c := range conns {
			c.checkTimeouts(now)
		}
		for _, s := range sessions {
			f.expire(s, now)
		}
	}
}

// expire publishes the will of a disconnected session if its delay is over, and removes
// the session if it has expired.
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

// writeLoop passes the core's replies to the sessions, until the front stops. Each batch
// of replies is sent in one write per connection.
func (f *Front) writeLoop() {
	defer f.goroutines.Done()
	var dirty []*conn
	f.outbox.Run(f.stop, func(list []front.Report[*pending]) {
		for _, said := range list {
			s := said.To.session
			s.mu.Lock()
			if said.Answer.Verdict != 0 {
				s.queueAnswer(said.To, said.Answer)
			} else {
				s.handleSubmitResult(said.To, said.Err)
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

// authenticator checks passwords against bcrypt hashes, two at a time. The salted
// SHA-256 digest of a password that was right is cached, so that a reconnect needs no
// bcrypt.
type authenticator struct {
	users    map[string]string // bcrypt hash by user name
	slots    chan struct{}
	waiting  atomic.Int32
	salt     [32]byte
	mu       sync.Mutex
	verified map[string][32]byte // digest of the last right password, by user name
}

var errBusy = errors.New("mqtt: too many connections wait for their password check")

// checkCached compares a password with the cached digest of its user. sure is false if
// there is none, and ok then too.
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

// digest returns the salted SHA-256 of a user name and password.
func (a *authenticator) digest(user string, password []byte) [32]byte {
	h := sha256.New()
	h.Write(a.salt[:])
	fmt.Fprintf(h, "%d:%s", len(user), user)
	h.Write(password)
	return [32]byte(h.Sum(nil))
}

// check compares a password with its bcrypt hash; it blocks meanwhile, and before that
// until a slot is free. For an unknown user it compares with another user's hash and
// fails, so that its time does not tell which users exist.
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
