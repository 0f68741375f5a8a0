package partner

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/semaphore"

	"basaltcross.example/basaltcross/internal/addr"
)

// socketLimit bounds the sockets of a Caller. A socket counts from before the system opens it until the system has
// closed it, whatever it is used for: a call, a connection attempt, an idle connection or one that is being closed.
// It is safe for concurrent use.
type socketLimit struct {
	slots   *semaphore.Weighted // nil for no limit
	open    atomic.Int64
	waiting atomic.Int64
	waits   atomic.Uint64 // sockets that had to wait for a slot, since the start
}

func newSocketLimit(limit int) *socketLimit {
	if limit <= 0 {
		return &socketLimit{}
	}
	return &socketLimit{slots: semaphore.NewWeighted(int64(limit))}
}

// acquire takes a slot for a socket. If none is free it calls makeRoom, which closes a socket that isn't needed, and
// waits until ctx ends. The error is errOutOfResources.
func (s *socketLimit) acquire(ctx context.Context, makeRoom func()) error {
	if s.slots != nil && !s.slots.TryAcquire(1) {
		if err := s.wait(ctx, makeRoom); err != nil {
			return err
		}
	}
	s.open.Add(1)
	if s.contended() { // the slot may be the one that was made free for another socket
		makeRoom()
	}
	return nil
}

// wait makes room for a socket and waits for a slot.
func (s *socketLimit) wait(ctx context.Context, makeRoom func()) error {
	s.waits.Add(1)
	s.waiting.Add(1)
	defer s.waiting.Add(-1)
	makeRoom()
	if s.slots.Acquire(ctx, 1) != nil {
		return errOutOfResources
	}
	return nil
}

// release returns the slot of a socket that the system has closed.
func (s *socketLimit) release() {
	s.open.Add(-1)
	if s.slots != nil {
		s.slots.Release(1)
	}
}

// contended reports whether a socket waits for a slot, so that idle connections should make room.
func (s *socketLimit) contended() bool { return s.waiting.Load() > 0 }

// SocketCounts are counts of a Caller's sockets.
type SocketCounts struct {
	Open  int64  `json:"open"`
	Waits uint64 `json:"waits"` // sockets that had to wait at the limit, since the start
}

// SocketCounts returns the counts of the sockets to all endpoints.
func (c *Caller) SocketCounts() SocketCounts {
	return SocketCounts{Open: c.sockets.open.Load(), Waits: c.sockets.waits.Load()}
}

// limitedSocket is a socket that returns its slot when it has been closed.
type limitedSocket struct {
	net.Conn
	release func()
}

// Close closes the socket. Package net returns when the descriptor is closed.
func (s *limitedSocket) Close() error {
	err := s.Conn.Close()
	s.release()
	return err
}

// SyscallConn returns the socket's raw connection.
func (s *limitedSocket) SyscallConn() (syscall.RawConn, error) {
	socket, ok := s.Conn.(syscall.Conn)
	if !ok {
		return nil, fmt.Errorf("partner: %T is not a socket", s.Conn)
	}
	return socket.SyscallConn()
}

// dialSocket connects a socket. It waits for a slot during the part of the attempt's time in which one may be tried
// again for want of local resources. began and within are the start and the length of that time.
func (c *Caller) dialSocket(ctx context.Context, network, address string, began time.Time, within time.Duration) (net.Conn, error) {
	slotCtx, cancel := context.WithDeadline(ctx, began.Add(addr.LocalRetryTime(within)))
	err := c.sockets.acquire(slotCtx, c.closeLongestIdle)
	cancel()
	if err != nil {
		return nil, err
	}
	raw, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		c.sockets.release()
		return nil, err
	}
	return &limitedSocket{Conn: raw, release: sync.OnceFunc(c.sockets.release)}, nil
}

// closeLongestIdle closes the connection that has been idle longest, over all endpoints, if there is an idle one.
func (c *Caller) closeLongestIdle() {
	for {
		p := c.longestIdlePool()
		if p == nil {
			return
		}
		p.mu.Lock()
		old := p.takeOldestIdle(func(*conn) bool { return true })
		p.mu.Unlock()
		if len(old) > 0 { // no other goroutine took it meanwhile
			closeAllWhenSettled(old)
			return
		}
	}
}

// longestIdlePool returns the pool of the connection that has been idle longest, nil if no connection is idle.
func (c *Caller) longestIdlePool() (longest *pool) {
	var since time.Duration
	for _, p := range c.allPools() {
		p.mu.Lock()
		if len(p.idle) > 0 && (longest == nil || p.idle[0].idleSince < since) {
			longest, since = p, p.idle[0].idleSince
		}
		p.mu.Unlock()
	}
	return longest
}
