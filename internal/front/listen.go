package front

import (
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"

	"basaltcross.example/basaltcross/internal/engine"
)

// Conn is what a front keeps of one connection.
type Conn interface {
	Data(b []byte) // on the connection's poller; b is not to be kept
	Closed()
}

// Sockets are the listeners of one sort, and how their connections are served.
type Sockets struct {
	Name        string
	Addrs       []string
	Pollers     int
	ReadBuffer  int
	WriteBuffer int // bytes that wait for one connection; over it, it is closed
	// Open makes the front's side of a connection, nil to close it at once.
	Open func(nb *nbio.Conn) Conn
	// Failed is told that an accept failed, out of descriptors mostly.
	Failed func(err error)
}

// Listeners are open sockets.
type Listeners struct {
	Addrs  []string
	engine *nbio.Engine
	all    []net.Listener
	// fence orders the making of a Conn before its use on a poller: the engine
	// hands it over through the kernel, which the race detector cannot see.
	fence atomic.Uint64
}

// acceptPause keeps failing accepts from a hot loop.
const acceptPause = 20 * time.Millisecond

// Listen opens the sockets and begins to serve them.
func Listen(s Sockets) (*Listeners, error) {
	l := &Listeners{}
	l.engine = nbio.NewEngine(nbio.Config{Name: s.Name, Network: "tcp", Addrs: s.Addrs, NPoller: max(1, s.Pollers),
		ReadBufferSize: s.ReadBuffer, MaxWriteBufferSize: s.WriteBuffer,
		Listen: func(network, addr string) (net.Listener, error) {
			one, err := net.Listen(network, addr)
			if err == nil {
				l.Addrs, l.all = append(l.Addrs, one.Addr().String()), append(l.all, one)
			}
			return one, err
		}})
	l.engine.OnOpen(func(nb *nbio.Conn) {
		c := s.Open(nb)
		if c == nil {
			go nb.Close() // not within the poller's opening
			return
		}
		nb.SetSession(c)
		l.fence.Add(1)
		_ = nb.SetNoDelay(true)
	})
	l.engine.OnData(func(nb *nbio.Conn, b []byte) {
		l.fence.Load()
		if c, ok := nb.Session().(Conn); ok {
			c.Data(b)
		}
	})
	l.engine.OnClose(func(nb *nbio.Conn, _ error) {
		l.fence.Load()
		if c, ok := nb.Session().(Conn); ok {
			c.Closed()
		}
	})
	l.engine.OnAcceptError(func(err error) {
		if !errors.Is(err, net.ErrClosed) { // else by Refuse
			s.Failed(err)
		}
		time.Sleep(acceptPause)
	})
	if err := l.engine.Start(); err != nil {
		return nil, fmt.Errorf("%s: %w", s.Name, err)
	}
	return l, nil
}

// Refuse closes the listeners; connections stand.
func (l *Listeners) Refuse() {
	for _, one := range l.all {
		_ = one.Close()
	}
}

// Close ends everything.
func (l *Listeners) Close() { engine.Stop(l.engine) }
