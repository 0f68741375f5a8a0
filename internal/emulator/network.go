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

// MaxDelay bounds the delay that a network adds to bytes: relays may rely on bytes sent on an open connection
// being read at full speed, and are allowed 50 ms on sockets in excess of every time limit.
const MaxDelay = 40 * time.Millisecond

// Network injects faults into the connections of one server. It works on bytes, not messages.
type Network struct {
	mu        sync.Mutex
	delays    bool // bytes arrive up to MaxDelay later
	resets    bool // connections are reset: during a request, an answer, or while idle
	repeating bool // some of the server's writes arrive a second time
	r         *rand.Rand

	accepted int             // number of connections
	repeated []repeatedWrite // second copies, in the order they were written
}

// repeatedWrite is the second copy of a write.
type repeatedWrite struct {
	at   time.Time
	conn *faultyConn
	node int // node number of the relay at the other end
}

// SetDelay delays bytes.
func (n *Network) SetDelay(on bool) { n.setFlag(&n.delays, on) }

// SetReset resets connections.
func (n *Network) SetReset(on bool) { n.setFlag(&n.resets, on) }

// SetRepeat makes some of the server's writes arrive a second time.
func (n *Network) SetRepeat(on bool) { n.setFlag(&n.repeating, on) }

func (n *Network) setFlag(what *bool, on bool) {
	n.mu.Lock()
	*what = on
	n.mu.Unlock()
}

// drawFault draws the faults of one read or write: a delay, and whether the connection is reset.
func (n *Network) drawFault() (hold time.Duration, reset bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.delays {
		hold = time.Duration(n.r.Int64N(int64(MaxDelay)))
	}
	return hold, n.resets && n.r.IntN(3) == 0
}

const (
	// repeatShare is the share of a server's writes that arrive twice while SetRepeat is on.
	repeatShare = 0.08
	// MaxRepeatDelay bounds the time between a write and its second copy.
	MaxRepeatDelay = 2 * time.Second
	// repeatGrid is the grid of times that some copies are aligned to, so that several arrive at once.
	repeatGrid = 250 * time.Millisecond
)

// repeatDelays are the upper bounds that the delay of a copy is drawn from, with equal probability.
var repeatDelays = [...]time.Duration{15 * time.Millisecond, 300 * time.Millisecond, MaxRepeatDelay}

// drawRepeat draws whether a second copy of a write follows, and after which delay.
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
	return min(after, MaxRepeatDelay), true
}

// recordRepeat records that a second copy was written.
func (n *Network) recordRepeat(f *faultyConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.repeated = append(n.repeated, repeatedWrite{time.Now(), f, int(f.node.Load())})
}

// repeatedTo reports whether a second copy was written to a relay between two times.
func (n *Network) repeatedTo(node int, from, to time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.ContainsFunc(n.repeated, func(x repeatedWrite) bool {
		return x.node == node && x.at.After(from) && x.at.Before(to)
	})
}

// repeatedWithin reports whether a second copy was written on the connection between two times.
func (f *faultyConn) repeatedWithin(from, to time.Time) bool {
	f.network.mu.Lock()
	defer f.network.mu.Unlock()
	return slices.ContainsFunc(f.network.repeated, func(x repeatedWrite) bool {
		return x.conn == f && x.at.After(from) && x.at.Before(to)
	})
}

// Accepted returns the number of connections accepted.
func (n *Network) Accepted() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.accepted
}

// listener injects the faults of a network into the connections it accepts.
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
	return &faultyConn{Conn: c, network: l.network, accepted: time.Now()}, nil
}

// faultyConn is the server's side of a connection with the faults of a network.
type faultyConn struct {
	net.Conn
	network  *Network
	accepted time.Time
	node     atomic.Int64 // node number of the relay at the other end, set by its first call
	calls    atomic.Int64 // calls that arrived on it
	broken   atomic.Int64 // time the server's side closed the connection, Unix time in nanoseconds; 0 for never
	wrote    atomic.Int64 // time of the latest write, Unix time in nanoseconds
	ended    peerEnd
}

// markBroken records that the server's side closes the connection.
func (f *faultyConn) markBroken() { f.broken.CompareAndSwap(0, time.Now().UnixNano()) }

// hasBroken reports whether the server's side has closed the connection.
func (f *faultyConn) hasBroken() bool { return f.broken.Load() != 0 }

// brokeBetween reports whether the server's side closed the connection after a time and before a notice. The
// close may reach the relay up to MaxDelay late.
func (f *faultyConn) brokeBetween(behind, notice time.Time) bool {
	at := f.broken.Load()
	return at != 0 && at > behind.UnixNano() && at < notice.Add(MaxDelay).UnixNano()
}

func (f *faultyConn) Read(b []byte) (int, error) {
	n, err := f.Conn.Read(b)
	if err != nil {
		f.ended.observe(f.Conn, err)
	} else {
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
	f.wrote.Store(time.Now().UnixNano())
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

// injectFaults delays bytes or resets the connection.
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
