package emulator

import (
	"bytes"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// LongestHold is how long a network holds bytes up at most: what is sent on an open connection
// is read at full speed (DAYS), and time limits on sockets are 50 ms longer (PROTOCOL).
const LongestHold = 40 * time.Millisecond

// Network is the way to one server, with faults of its own. It sees bytes, not messages.
type Network struct {
	mu        sync.Mutex
	delays    bool // bytes come up to LongestHold later
	resets    bool // connections are reset: under a request, an answer, or at rest
	repeating bool // some of what the server writes comes a second time
	r         *rand.Rand

	accepted int             // connections
	repeated []repeatedWrite // in the order of their times
}

// copied is a second copy that was written.
type repeatedWrite struct {
	at   time.Time
	conn *faultyConn
	node int // of the relay at the other end
}

// Hold has bytes come late, Reset has connections reset, Repeat has what the server writes
// come a second time.
func (n *Network) Hold(on bool)   { n.setFlag(&n.delays, on) }
func (n *Network) Reset(on bool)  { n.setFlag(&n.resets, on) }
func (n *Network) Repeat(on bool) { n.setFlag(&n.repeating, on) }

func (n *Network) setFlag(what *bool, on bool) {
	n.mu.Lock()
	*what = on
	n.mu.Unlock()
}

// draw is what becomes of some bytes.
func (n *Network) drawFault() (hold time.Duration, reset bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.delays {
		hold = time.Duration(n.r.Int64N(int64(LongestHold)))
	}
	return hold, n.resets && n.r.IntN(3) == 0
}

const (
	// repeatShare is the share of a server's writes that come twice while Repeat is on.
	repeatShare = 0.08
	// LongestRepeat is how much later a second copy comes at most.
	LongestRepeat = 2 * time.Second
	// repeatTogether is the grid to which some copies wait, so that several come at once.
	repeatGrid = 250 * time.Millisecond
)

// repeatWithin are the spans within which a copy follows, each as likely as the others.
var repeatDelays = [...]time.Duration{15 * time.Millisecond, 300 * time.Millisecond, LongestRepeat}

// drawRepeat decides whether a second copy of a write follows, and after which time.
func (n *Network) drawRepeat(now time.Time) (after time.Duration, repeats bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.repeating || n.r.Float64() >= repeatShare {
		return 0, false
	}
	after = time.Duration(n.r.Int64N(int64(repeatDelays[n.r.IntN(len(repeatDelays))])))
	if n.r.IntN(4) == 0 {
		after = now.Add(after).Truncate(repeatGrid).Add(repeatGrid).Sub(now)
	}
	return min(after, LongestRepeat), true
}

// noteCopy notes a second copy.
func (n *Network) recordRepeat(f *faultyConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.repeated = append(n.repeated, repeatedWrite{time.Now(), f, int(f.node.Load())})
}

// copiedTo tells whether a second copy was written to a relay between two moments.
func (n *Network) repeatedTo(node int, from, to time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.ContainsFunc(n.repeated, func(x repeatedWrite) bool { return x.node == node && x.at.After(from) && x.at.Before(to) })
}

// copiedOn tells whether one was written on a connection between two moments.
func (f *faultyConn) repeatedWithin(from, to time.Time) bool {
	f.network.mu.Lock()
	defer f.network.mu.Unlock()
	return slices.ContainsFunc(f.network.repeated, func(x repeatedWrite) bool { return x.conn == f && x.at.After(from) && x.at.Before(to) })
}

// Accepted counts connections.
func (n *Network) Accepted() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.accepted
}

// listener serves connections over a network.
type listener struct {
	net.Listener
	network *Network
}

func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.network.mu.Lock()
	l.network.accepted++
	l.network.mu.Unlock()
	return &faultyConn{Conn: c, network: l.network}, nil
}

// faulty is one connection.
type faultyConn struct {
	net.Conn
	network *Network
	node    atomic.Int64 // of the relay at the other end, once a call of it has come
	broken  atomic.Int64 // when the server's side ended it, Unix time in nanoseconds; 0 for not
}

// breaks notes that the server's side ends the connection.
func (f *faultyConn) markBroken() { f.broken.CompareAndSwap(0, time.Now().UnixNano()) }

// brokeBefore tells whether the server's side ended the connection behind a moment and before a notice.
func (f *faultyConn) brokeBetween(behind, notice time.Time) bool {
	at := f.broken.Load()
	return at != 0 && at > behind.UnixNano() && at < notice.Add(LongestHold).UnixNano()
}

func (f *faultyConn) Read(b []byte) (int, error) {
	n, err := f.Conn.Read(b)
	if err == nil {
		err = f.injectFaults()
	}
	if err != nil {
		n = 0
	}
	return n, err
}

func (f *faultyConn) Write(b []byte) (int, error) {
	if err := f.injectFaults(); err != nil {
		return 0, err
	}
	n, err := f.Conn.Write(b)
	if after, repeats := f.network.drawRepeat(time.Now()); repeats && err == nil {
		again := bytes.Clone(b)
		time.AfterFunc(after, func() {
			f.network.recordRepeat(f)
			_, _ = f.Conn.Write(again)
		})
	}
	return n, err
}

// pass holds bytes up, or resets the connection.
func (f *faultyConn) injectFaults() error {
	hold, reset := f.network.drawFault()
	time.Sleep(hold)
	if !reset {
		return nil
	}
	f.markBroken()
	if tcp, ok := f.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = f.Conn.Close()
	return net.ErrClosed
}
