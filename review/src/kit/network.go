package kit

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

// Network is the network between a relay and a host: a proxy that forwards bytes with a latency.
type Network struct {
	Latency time.Duration // one way
	to      string
	l       *net.TCPListener
	pause   atomic.Int64
	count   atomic.Int64
}

// NewNetwork starts a network in front of a host.
func NewNetwork(to string, latency time.Duration) (*Network, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &Network{Latency: latency, to: to, l: l.(*net.TCPListener)}
	go n.accept()
	return n, nil
}

// Addr returns the address at which the relay reaches the host.
func (n *Network) Addr() string { return n.l.Addr().String() }

// Close closes the network's listener.
func (n *Network) Close() { _ = n.l.Close() }

// Connections returns the number of connections that came up so far.
func (n *Network) Connections() int { return int(n.count.Load()) }

// LateConnections makes connections that are opened together come up late, by 1 s: the listener's
// queue holds one connection, and the system drops the request of the next one, which is repeated
// after 1 s.
func (n *Network) LateConnections() error {
	raw, err := n.l.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	err = raw.Control(func(fd uintptr) { failed = syscall.Listen(int(fd), 0) })
	n.pause.Store(int64(10 * time.Millisecond))
	return errors.Join(err, failed)
}

func (n *Network) accept() {
	for {
		if pause := time.Duration(n.pause.Load()); pause > 0 {
			time.Sleep(pause)
			_ = n.l.SetDeadline(time.Now().Add(time.Millisecond))
		}
		c, err := n.l.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			continue
		} else if err != nil {
			return
		}
		n.count.Add(1)
		d, err := net.Dial("tcp", n.to)
		if err != nil {
			_ = c.Close()
			continue
		}
		go n.forward(c, d)
		go n.forward(d, c)
	}
}

type piece struct {
	at   time.Time
	data []byte
}

// forward forwards bytes in one direction, and then the end of the connection.
func (n *Network) forward(from, to net.Conn) {
	pieces := make(chan piece, 1024)
	go func() {
		for p := range pieces {
			time.Sleep(time.Until(p.at))
			if p.data == nil {
				_ = to.Close()
			} else if _, err := to.Write(p.data); err != nil {
				_ = from.Close()
			}
		}
	}()
	defer close(pieces)
	buf := make([]byte, 128<<10)
	for {
		k, err := from.Read(buf)
		if k > 0 {
			pieces <- piece{time.Now().Add(n.Latency), append([]byte(nil), buf[:k]...)}
		}
		if err != nil {
			pieces <- piece{time.Now().Add(n.Latency), nil}
			return
		}
	}
}

// Unread reports whether bytes wait to be read on a connection.
func Unread(c net.Conn) (waits bool) {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	_ = raw.Control(func(fd uintptr) {
		var b [1]byte
		k, _, _ := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		waits = k > 0
	})
	return waits
}
