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
	mu     sync.Mutex
	hold   bool // bytes come up to LongestHold later
	resets bool // connections are reset: under a request, an answer, or at rest
	copies bool // some of what the server writes comes a second time
	r      *rand.Rand

	accepted int      // connections
	copied   []copied // in the order of their times
}

// copied is a second copy that was written.
type copied struct {
	at   time.Time
	conn *faulty
	node int // of the relay at the other end
}

// Hold has bytes come late, Reset has connections reset, Repeat has what the server writes
// come a second time.
func (n *Network) Hold(on bool)   { n.set(&n.hold, on) }
func (n *Network) Reset(on bool)  { n.set(&n.resets, on) }
func (n *Network) Repeat(on bool) { n.set(&n.copies, on) }

func (n *Network) set(what *bool, on bool) {
	n.mu.Lock()
	*what = on
	n.mu.Unlock()
}

// draw is what becomes of some bytes.
func (n *Network) draw() (hold time.Duration, reset bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.hold {
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
	repeatTogether = 250 * time.Millisecond
)

// repeatWithin are the spans within which a copy follows, each as likely as the others.
var repeatWithin = [...]time.Duration{15 * time.Millisecond, 300 * time.Millisecond, LongestRepeat}

// drawRepeat decides whether a second copy of a write follows, and after which time.
func (n *Network) drawRepeat(now time.Time) (after time.Duration, repeats bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.copies || n.r.Float64() >= repeatShare {
		return 0, false
	}
	after = time.Duration(n.r.Int64N(int64(repeatWithin[n.r.IntN(len(repeatWithin))])))
	if n.r.IntN(4) == 0 {
		after = now.Add(after).Truncate(repeatTogether).Add(repeatTogether).Sub(now)
	}
	return min(after, LongestRepeat), true
}

// noteCopy notes a second copy.
func (n *Network) noteCopy(f *faulty) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.copied = append(n.copied, copied{time.Now(), f, int(f.node.Load())})
}

// copiedFor tells whether a second copy was written, before a notice, that a relay may have taken for
// the answer to a call, or for the one behind it: to that relay since the call began, or on its
// connection at most so long before. The notice came at most so long after the answer.
func (n *Network) copiedFor(c *Call, node int, notice time.Time, within time.Duration) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return notice.Before(c.Told.Add(within)) && slices.ContainsFunc(n.copied, func(x copied) bool {
		since := c.At.Add(-LongestHold)
		if x.conn == c.conn {
			since = c.At.Add(-within)
		}
		return (x.conn == c.conn || x.node == node) && x.at.After(since) && x.at.Before(notice.Add(LongestHold))
	})
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
	return &faulty{Conn: c, network: l.network}, nil
}

// faulty is one connection.
type faulty struct {
	net.Conn
	network *Network
	node    atomic.Int64 // of the relay at the other end, once a call of it has come
}

func (f *faulty) Read(b []byte) (int, error) {
	n, err := f.Conn.Read(b)
	if err == nil {
		err = f.pass()
	}
	if err != nil {
		n = 0
	}
	return n, err
}

func (f *faulty) Write(b []byte) (int, error) {
	if err := f.pass(); err != nil {
		return 0, err
	}
	n, err := f.Conn.Write(b)
	if after, repeats := f.network.drawRepeat(time.Now()); repeats && err == nil {
		again := bytes.Clone(b)
		time.AfterFunc(after, func() {
			f.network.noteCopy(f)
			_, _ = f.Conn.Write(again)
		})
	}
	return n, err
}

// pass holds bytes up, or resets the connection.
func (f *faulty) pass() error {
	hold, reset := f.network.draw()
	time.Sleep(hold)
	if !reset {
		return nil
	}
	if tcp, ok := f.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = f.Conn.Close()
	return net.ErrClosed
}
