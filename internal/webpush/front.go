// Package webpush is the relay's Web Push server: the part of a push service that
// application servers use (RFC 8030), with VAPID (RFC 8292), over HTTP/1.1 and HTTP/2.
// A message POSTed to /push/<class>/<partner> is handed in to the core, and its final
// answer is given as a push receipt.
//
// It serves no user agents, and forwards encrypted content (RFC 8291) unchanged. Section
// numbers in comments without an RFC are those of RFC 8030.
package webpush

import (
	"bytes"
	"container/list"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/http2"

	"basaltcross.example/basaltcross/internal/engine"
	"basaltcross.example/basaltcross/internal/front"
	"basaltcross.example/basaltcross/internal/http1"
	"basaltcross.example/basaltcross/internal/secure"
)

// Observer receives the front's metrics and log lines.
type Observer interface {
	// Push reports, at each tick, the number of connections, of messages and of receipt
	// subscriptions.
	Push(connections, messages, subscriptions int)
	// NotTaken is called for each message that the core does not accept, with the reason.
	NotTaken(reason string)
	// Handshake is called after each TLS handshake, with its error or nil.
	Handshake(err error)
	Logf(format string, args ...any)
}

// Options configures a Front.
type Options struct {
	Listen                []string // addresses to listen on without TLS
	TLSListen             []string // addresses to listen on with TLS
	TLS                   *tls.Config
	HandshakeSlots        secure.HandshakeSlots
	Names                 front.Names
	RequireIdempotencyKey []bool              // by class: a POST must have an Idempotency-Key
	Audience              []string            // origins accepted as the audience of a VAPID token
	Keys                  map[string][]string // allowed resources by VAPID key, none for all; empty: any key
	AllowAnonymous        bool                // requests without a token are accepted; for loopback addresses only
	Body                  int                 // largest content of a request, in bytes
	Header                int                 // largest header of a request, in bytes
	PartialBytes          int64               // bytes of requests that have not arrived completely; 0 for no limit
	Connections           int                 // at this limit new ones are closed at once
	Streams               int                 // concurrent streams of an HTTP/2 connection
	Messages              int                 // messages kept, with those that have ended
	Subscriptions         int                 // receipt subscriptions kept
	Pending               int                 // messages without acknowledged receipt, per subscription
	Polls                 int                 // long polls waiting; at this limit polls are answered at once
	Retention             time.Duration       // how long ended messages and unused subscriptions are kept
	MaxPollWait           time.Duration       // longest wait of a long poll
	Handshake             time.Duration       // time limit of a TLS handshake, and of receiving a request
	Idle                  time.Duration       // connections without a request are closed after this time
	WriteBuffer           int                 // unsent bytes of one connection
	Door                  front.Submitter
	Observer              Observer
	Keeper                front.Journal // stores subscriptions and answers for a restart; nil for none
}

// Front is a Web Push server.
type Front struct {
	opt        Options
	listeners  []*front.Listeners
	addrs      []string
	tlsAddrs   []string
	vapid      *vapid
	h2         *http2.Server
	outbox     *front.Outbox[*push]
	stop       chan struct{}
	goroutines sync.WaitGroup
	partial    *front.PartialInput

	connMu sync.Mutex
	conns  map[*conn]struct{}

	mu            sync.Mutex
	pushes        map[string]*push // by id
	byIdentity    map[string]*push
	topics        map[string]*push // by topic: messages not ended that a newer one replaces
	unread        map[string]*push // by identity: the newest one without acknowledged receipt
	ended         *list.List       // of *push, in the order in which they ended
	subscriptions map[string]*subscription
	polls         int // long polls waiting
	lastSweep     time.Time
	deferred      []func() // responses to send after mu is unlocked
}

// New returns a front that does not listen yet, so that Restore and RestoreMessage can restore the
// state of an earlier run before Start.
func New(opt Options) *Front {
	return &Front{opt: opt, vapid: newVAPID(opt.Audience), outbox: front.NewOutbox[*push](),
		stop: make(chan struct{}), partial: front.NewPartialInput(opt.PartialBytes),
		conns: map[*conn]struct{}{}, pushes: map[string]*push{}, byIdentity: map[string]*push{},
		topics: map[string]*push{}, unread: map[string]*push{}, ended: list.New(),
		subscriptions: map[string]*subscription{},
		h2: &http2.Server{MaxConcurrentStreams: uint32(opt.Streams), MaxReadFrameSize: 16 << 10, IdleTimeout: opt.Idle,
			MaxUploadBufferPerConnection: 1 << 20, MaxUploadBufferPerStream: 256 << 10,
			MaxDecoderHeaderTableSize: 4096, MaxEncoderHeaderTableSize: 4096}}
}

// Start opens the listeners and starts the front.
func (f *Front) Start() error {
	opt := &f.opt
	for i, addrs := range [][]string{opt.Listen, opt.TLSListen} {
		if len(addrs) == 0 {
			continue
		}
		l, err := front.Listen(front.ListenOptions{Name: "webpush", Addrs: addrs, ReadBuffer: 32 << 10,
			WriteBuffer: opt.WriteBuffer,
			NewHandler:  func(nb *engine.Conn, _ front.QueueWait) front.ConnHandler { return f.open(nb, i == 1) },
			OnError:     func(err error) { opt.Observer.Logf("webpush: accept: %v", err) }})
		if err != nil {
			f.closeListeners()
			return err
		}
		if f.listeners = append(f.listeners, l); i == 1 {
			f.tlsAddrs = l.Addrs
		} else {
			f.addrs = l.Addrs
		}
	}
	f.goroutines.Add(2)
	go func() {
		defer f.goroutines.Done()
		f.outbox.Run(f.stop, func(list []front.Report[*push]) {
			f.mu.Lock()
			defer f.unlock()
			for _, s := range list {
				f.handleReply(s)
			}
		})
	}()
	go f.expiryLoop()
	return nil
}

// Addrs returns the addresses that the front listens on without TLS.
func (f *Front) Addrs() []string { return f.addrs }

// TLSAddrs returns the addresses that the front listens on with TLS.
func (f *Front) TLSAddrs() []string { return f.tlsAddrs }

func (f *Front) closeListeners() {
	for _, l := range f.listeners {
		l.Close()
	}
}

// Close passes on the replies received from the core, answers all long polls, and closes
// listeners and connections.
func (f *Front) Close() {
	close(f.stop)
	f.goroutines.Wait()
	f.mu.Lock()
	for _, p := range f.pushes {
		endPolls(&p.longPolls)
	}
	for _, b := range f.subscriptions {
		endPolls(&b.longPolls)
	}
	f.unlock()
	f.closeListeners()
}

// expiryLoop removes expired messages and subscriptions, closes connections over their
// time limit and reports to the observer, every 200 ms, until the front stops.
func (f *Front) expiryLoop() {
	defer f.goroutines.Done()
	tick := time.NewTicker(200 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-f.stop:
			return
		case now := <-tick.C:
			f.mu.Lock()
			f.sweep(now)
			messages, subscriptions := len(f.pushes), len(f.subscriptions)
			f.mu.Unlock()
			f.connMu.Lock()
			n := len(f.conns)
			var late []*conn
			for c := range f.conns {
				if c.overdue(now) {
					late = append(late, c)
				}
			}
			f.connMu.Unlock()
			for _, c := range late {
				c.nb.CloseLingering(front.LingerTime)
			}
			f.opt.Observer.Push(n, messages, subscriptions)
		}
	}
}

// conn is a client's connection.
type conn struct {
	front      *Front
	nb         *engine.Conn
	sec        *secure.Conn // nil without TLS
	out        io.Writer    // nb, or sec with TLS
	stateSince atomic.Int64 // when the request or the idle time began, as of front.Now
	state      atomic.Int32 // 0 idle, 1 receiving a request, 2 waiting for its response, 3 HTTP/2
	partial    *front.PartialHolder

	mu        sync.Mutex
	req       http1.Request
	pipelined []byte // received while a request waits for its response
	closed    bool
}

// open accepts a connection, or returns nil at the limit of connections.
func (f *Front) open(nb *engine.Conn, secured bool) front.ConnHandler {
	c := &conn{front: f, nb: nb, out: nb}
	c.stateSince.Store(front.Now())
	c.req.Reset(http1.Limits{Header: f.opt.Header, Body: f.opt.Body})
	f.connMu.Lock()
	full := len(f.conns) >= f.opt.Connections
	if !full {
		f.conns[c] = struct{}{}
	}
	f.connMu.Unlock()
	if full {
		return nil
	}
	c.partial = f.partial.Join(c.giveUpPartial)
	if secured {
		c.sec = secure.Server(nb, f.opt.TLS, f.opt.HandshakeSlots, f.opt.Handshake, c.handshakeDone)
		c.out = c.sec
	}
	return c
}

// handshakeDone is called after the TLS handshake. It serves HTTP/2 until the end of the
// connection and returns nil, or returns the receiver of the plaintext of HTTP/1.1.
func (c *conn) handshakeDone(s *secure.Conn, err error) func([]byte) {
	c.front.opt.Observer.Handshake(err)
	if err != nil {
		return nil
	}
	c.stateSince.Store(front.Now())
	if s.ConnectionState().NegotiatedProtocol == "h2" {
		c.state.Store(3)
		c.front.h2.ServeConn(s.Conn, &http2.ServeConnOpts{Handler: http.HandlerFunc(c.front.serveHTTP),
			BaseConfig: &http.Server{MaxHeaderBytes: c.front.opt.Header}})
		return nil
	}
	return c.handlePlaintext
}

// Data accepts bytes received on the socket.
func (c *conn) Data(b []byte) {
	if c.sec != nil {
		c.sec.Data(b)
		return
	}
	c.handlePlaintext(b)
}

// Closed is called when the connection has ended.
func (c *conn) Closed() {
	if c.sec != nil {
		c.sec.End()
	}
	c.partial.Leave()
	c.front.connMu.Lock()
	delete(c.front.conns, c)
	c.front.connMu.Unlock()
}

// overdue reports whether a connection exceeded its idle time or the time limit of
// receiving a request.
func (c *conn) overdue(now time.Time) bool {
	age := front.SinceStart(now) - c.stateSince.Load()
	switch c.state.Load() {
	case 0:
		return age > int64(c.front.opt.Idle)
	case 1:
		return age > int64(c.front.opt.Handshake)
	}
	return false
}

// handlePlaintext accepts received bytes of HTTP/1.1.
func (c *conn) handlePlaintext(b []byte) {
	c.receive(b)
	c.front.partial.Shed()
}

// receive does the work of handlePlaintext for this connection.
func (c *conn) receive(b []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.recordPartial()
	if c.state.Load() == 2 { // pipelined requests wait for this response, up to a limit
		if !c.req.KeepAlive { // this response is the last one
			return
		}
		if c.pipelined = append(c.pipelined, b...); len(c.pipelined) > c.front.opt.Header+c.front.opt.Body {
			_ = c.nb.Close()
			c.pipelined = nil
		}
		return
	}
	c.parse(b)
}

// recordPartial records what a request that has not arrived completely holds, or those behind one that waits for its
// response; under mu.
func (c *conn) recordPartial() {
	held := cap(c.pipelined)
	if c.state.Load() == 1 && !c.closed {
		held = c.req.HeldBytes()
	}
	c.partial.Set(held)
}

// giveUpPartial refuses a request that has not arrived completely, since such requests hold too much memory. Of a
// connection that waits for a response it drops the requests behind it, which the client may send again on another
// connection (RFC 9112, 9.3.2). It reports false if there is nothing to give up by now.
func (c *conn) giveUpPartial() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state.Load() == 2 && !c.closed && cap(c.pipelined) > 0 {
		c.pipelined, c.req.KeepAlive = nil, false
		return true
	}
	if c.state.Load() != 1 || c.closed {
		return false
	}
	c.req = http1.Request{}
	c.write(textResponse(http.StatusServiceUnavailable, "%v", errPartialInput))
	return true
}

// errPartialInput reports that incomplete requests hold more memory than they may.
var errPartialInput = errors.New("incomplete requests hold too much memory")

// parse handles requests until one must wait for its response; under mu.
func (c *conn) parse(b []byte) {
	for len(b) > 0 && !c.closed {
		if c.state.CompareAndSwap(0, 1) {
			c.stateSince.Store(front.Now())
		}
		rest, err := c.req.Feed(b, &c.req)
		if err != nil {
			status := http.StatusBadRequest
			if errors.Is(err, http1.ErrTooLong) {
				status = http.StatusRequestEntityTooLarge
			}
			c.req.KeepAlive = false
			c.write(textResponse(status, "%v", err))
			return
		}
		if !c.req.Done() {
			if c.req.ExpectContinue && c.req.InContent() {
				c.req.ExpectContinue = false
				_, _ = io.WriteString(c.out, "HTTP/1.1 100 Continue\r\n\r\n")
			}
			return
		}
		c.state.Store(2)
		c.pipelined = append(c.pipelined[:0], rest...)
		q := &request{method: c.req.Method, path: c.req.Path, header: c.req.Header, body: c.req.Body}
		var responseMu sync.Mutex
		var immediate *response // response that came before serve returned
		async := false
		c.front.serve(q, func(r response) {
			responseMu.Lock()
			if !async {
				immediate = &r
				responseMu.Unlock()
				return
			}
			responseMu.Unlock()
			c.mu.Lock()
			defer c.mu.Unlock()
			c.write(r)
			next := c.pipelined
			c.pipelined = nil
			c.parse(next)
			c.recordPartial()
		})
		responseMu.Lock()
		async = immediate == nil
		responseMu.Unlock()
		if async {
			c.req = http1.Request{KeepAlive: c.req.KeepAlive} // the message and the response don't need the rest
			return                                            // the callback writes the response and continues to parse
		}
		c.write(*immediate)
		b = c.pipelined
		c.pipelined = nil
	}
}

// write sends a response and prepares the connection for the next request; under mu.
func (c *conn) write(r response) {
	if c.closed {
		return
	}
	b := make([]byte, 0, 256+len(r.body))
	b = fmt.Appendf(b, "HTTP/1.1 %d %s\r\n", r.status, http.StatusText(r.status))
	for _, h := range r.header {
		b = fmt.Appendf(b, "%s: %s\r\n", h[0], h[1])
	}
	if r.status != http.StatusNoContent {
		b = append(strconv.AppendInt(append(b, "Content-Length: "...), int64(len(r.body)), 10), "\r\n"...)
	}
	if !c.req.KeepAlive {
		b = append(b, "Connection: close\r\n"...)
	}
	b = append(append(b, "\r\n"...), r.body...)
	_, err := c.out.Write(b)
	if !c.req.KeepAlive || err != nil {
		c.closed = true
		c.nb.CloseLingering(front.LingerTime)
		return
	}
	c.req.Reset(http1.Limits{Header: c.front.opt.Header, Body: c.front.opt.Body})
	c.req.Body = nil
	c.stateSince.Store(front.Now())
	c.state.Store(0)
}

// bodyPiece is the number of bytes of a body that are read at once.
const bodyPiece = 16 << 10

// readBody reads the content of a request of HTTP/2, one byte more than allowed if it is too long. It fails with
// errPartialInput if incomplete requests hold too much memory.
func (f *Front) readBody(r *http.Request) ([]byte, error) {
	var shed atomic.Bool
	partial := f.partial.Join(func() bool {
		shed.Store(true)
		_ = r.Body.Close() // ends the read
		return true
	})
	defer partial.Leave()
	var body bytes.Buffer
	content := io.LimitReader(r.Body, int64(f.opt.Body)+1)
	for {
		_, err := io.CopyN(&body, content, bodyPiece)
		switch {
		case err == io.EOF:
			return body.Bytes(), nil
		case shed.Load():
			return nil, errPartialInput
		case err != nil:
			return nil, err
		}
		partial.Set(body.Cap())
		f.partial.Shed()
	}
}

// serveHTTP handles a request of HTTP/2.
func (f *Front) serveHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := f.readBody(r)
	if errors.Is(err, errPartialInput) {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	if err != nil {
		return
	}
	if len(body) > f.opt.Body {
		http.Error(w, fmt.Sprintf("content is over its limit of %d bytes", f.opt.Body),
			http.StatusRequestEntityTooLarge)
		return
	}
	done := make(chan response, 1)
	f.serve(&request{method: r.Method, path: r.URL.RequestURI(), header: r.Header.Get, body: body},
		func(r response) { done <- r })
	select {
	case a := <-done:
		for _, h := range a.header {
			w.Header().Add(h[0], h[1])
		}
		w.WriteHeader(a.status)
		_, _ = w.Write(a.body)
	case <-r.Context().Done(): // stream reset or connection lost; a message that was handed in is still delivered
	}
}
