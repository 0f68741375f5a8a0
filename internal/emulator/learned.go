package emulator

import (
	"errors"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// readMargin is the time before the end of a call's time-out from which its relay may give it up while it reads the
// answer.
const readMargin = 20 * time.Millisecond

// peerEnd is how a relay ended its connection to a host.
type peerEnd struct {
	mu sync.Mutex
	at time.Time // zero while it is open
	// unread says that the relay closed the connection before it had read all that the host wrote: the system then
	// resets the connection.
	unread bool
}

// observe records the end of a connection from the error of a read.
func (p *peerEnd) observe(conn net.Conn, err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed) { // the host's own doing
		return
	}
	unread := errors.Is(err, syscall.ECONNRESET) || !closedInOrder(conn)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.at.IsZero() {
		p.at, p.unread = time.Now(), unread
	}
}

// beforeReading reports whether the relay closed the connection without having read what was written to it at a time.
func (p *peerEnd) beforeReading(written time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.at.IsZero() && (p.unread || p.at.Before(written))
}

// endedBefore reports whether the relay had ended the connection before a time, so that it had given up its call.
func (p *peerEnd) endedBefore(at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.at.IsZero() && p.at.Before(at)
}

// describe says how and when the relay ended the connection.
func (p *peerEnd) describe(since func(time.Time) string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.at.IsZero():
		return "not ended by the relay"
	case p.unread:
		return "reset at " + since(p.at)
	}
	return "closed by the relay at " + since(p.at)
}

// stateCloseWait is the state of a TCP connection whose peer has closed it in order.
const stateCloseWait = 8

// closedInOrder reports whether the peer of a TCP connection closed it in order, as opposed to a reset.
func closedInOrder(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	var info *unix.TCPInfo
	if raw.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }) != nil {
		return false
	}
	return err == nil && info.State == stateCloseWait
}

// isOpen reports whether the relay has not ended the connection.
func (p *peerEnd) isOpen() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.at.IsZero()
}

// leftBefore reports whether a call that was read after a time may have left the relay before it: it was on its way on
// a new connection, and the relay gave it up without having read an answer.
func (x *Call) leftBefore(at time.Time) bool {
	if x.conn == nil || x.turn != 1 || !x.conn.accepted.Before(at) || x.conn.ended.isOpen() {
		return false
	}
	return x.AnswerWritten.IsZero() || x.conn.ended.beforeReading(x.wroteAt)
}

// learned reports whether the relay learned from the answer to a call that the message had ended: the answer says so,
// and the relay certainly read it as the answer to this call.
func (a *audit) learned(c *History, x *Call) bool {
	ends := x.Status == http.StatusOK || x.Status == http.StatusGone || x.Status == http.StatusGatewayTimeout
	switch {
	case !ends || x.AnswerWritten.IsZero() || x.conn == nil:
		return false
	case x.wroteAt.After(x.At.Add(x.Timeout - readMargin - a.lag)):
		return false
	case x.conn.repeatedWithin(time.Time{}, x.AnswerWritten): // a copy may have ended the call before
		return false
	case a.processEnding(c.Node, x.At, x.AnswerWritten.Add(giveUpMargin)):
		return false
	case x.conn.calls.Load() > x.turn:
		return true
	}
	return !x.conn.hasBroken() && !x.conn.ended.beforeReading(x.wroteAt)
}

// checkLearned checks that no call follows an answer from which the relay learned that the message had ended. A call
// that the relay made, and gave up, before the answer may be read behind it. A later process may not know of it, if the state directory failed when the end had to be recorded.
func (a *audit) checkLearned(c *History) {
	f := a.finding("no call after an end is learnt")
	for i := range c.Calls {
		x := &c.Calls[i]
		if !a.learned(c, x) {
			continue
		}
		called := slices.ContainsFunc(c.Calls, func(y Call) bool {
			return y.At.After(x.AnswerWritten) && !y.leftBefore(x.AnswerWritten) && !(a.endedBetween(c.Node, x.AnswerWritten, y.At) &&
				overlaps(a.record.diskFaults, c.Node, x.At, y.At))
		})
		f.check(!called, c.String)
	}
}
