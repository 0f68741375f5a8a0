package partner

import (
	"bufio"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"basaltcross.example/basaltcross/choice"
	"basaltcross.example/basaltcross/internal/addr"
	"basaltcross.example/basaltcross/internal/core"
	"basaltcross.example/basaltcross/internal/http1"
	"basaltcross.example/basaltcross/internal/keys"
)

const ok = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

// serve accepts on a listener and runs the script for each connection.
func serve(t *testing.T, l net.Listener, script func(c net.Conn, r *bufio.Reader)) string {
	t.Helper()
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil { // out of descriptors, which one test brings about
				time.Sleep(time.Millisecond)
				continue
			}
			go func() { defer c.Close(); script(c, bufio.NewReader(c)) }()
		}
	}()
	return l.Addr().String()
}

func listen(t *testing.T, network, at string) net.Listener {
	t.Helper()
	l, err := net.Listen(network, at)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func answers(c net.Conn, r *bufio.Reader) {
	for request(r) == nil {
		fmt.Fprint(c, ok)
	}
}

// tlsPair are configurations of a server and of the caller that trusts it.
func tlsPair(t *testing.T) (server, client *tls.Config) {
	t.Helper()
	a, err := keys.NewAuthority("test", time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	cert, key, err := a.Issue(t.TempDir(), "server", time.Now().Add(-time.Minute), time.Now().Add(time.Hour), "bank.example")
	if err != nil {
		t.Fatal(err)
	}
	pair, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		t.Fatal(err)
	}
	return &tls.Config{Certificates: []tls.Certificate{pair}}, &tls.Config{RootCAs: a.Pool(), ServerName: "bank.example"}
}

func secureCaller(t *testing.T, client *tls.Config, keep addr.KeepSettings) *Caller {
	t.Helper()
	target := Target{Path: "/", Promises: true}
	if client != nil {
		target.TLS = func() *tls.Config { return client.Clone() }
	}
	c, err := New(Options{Name: "r", Targets: []Target{target}, Classes: []string{"status"},
		Limits: http1.Limits{Header: 1024, Body: 4096}, Keep: keep, Sessions: 100})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// until waits for something that happens on other goroutines.
func until(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !f(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never came: ", what)
		}
	}
}

// An address whose handshake fails is followed by another in the same attempt,
// for no byte of the request went out; so is one that never shakes hands.
func TestHandshakeFallsBack(t *testing.T) {
	server, client := tlsPair(t)
	good := serve(t, tls.NewListener(listen(t, "tcp", "127.0.0.1:0"), server), answers)
	alert := serve(t, listen(t, "tcp", "[::1]:0"), func(c net.Conn, r *bufio.Reader) {
		_, _ = r.Peek(5)
		_, _ = c.Write([]byte{21, 3, 3, 0, 2, 2, 40}) // fatal, handshake_failure (RFC 8446, 6)
	})
	silent := serve(t, listen(t, "tcp", "[::1]:0"), func(c net.Conn, r *bufio.Reader) { _, _ = r.ReadBytes(0) })
	c := secureCaller(t, client, addr.KeepSettings{Most: 4, Connecting: 4})
	c.Addresses(map[string][]addr.Address{"a": addresses(t, alert, good), "s": addresses(t, silent, good)})
	for _, host := range []string{"a", "s"} {
		if e := do(t, c, host, nil); e.Outcome != choice.Served {
			t.Errorf("%s: outcome %d", host, e.Outcome)
		}
		if k := c.Known()[host]; k[0].Fails != 1 {
			t.Errorf("%s: %+v", host, k)
		}
	}
}

// A connection that comes up after its attempt was ended carries nothing of it.
func TestTooLate(t *testing.T) {
	server, client := tlsPair(t)
	gate, shaking := make(chan struct{}), make(chan struct{}, 4)
	server.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		shaking <- struct{}{}
		<-gate
		return nil, nil
	}
	var requests atomic.Int64
	at := serve(t, tls.NewListener(listen(t, "tcp", "127.0.0.1:0"), server), func(c net.Conn, r *bufio.Reader) {
		for request(r) == nil {
			requests.Add(1)
			fmt.Fprint(c, ok)
		}
	})
	c := secureCaller(t, client, addr.KeepSettings{Most: 4, Connecting: 4})
	end := func(core.Ending) { t.Error("an ending after its end") }
	first := c.Send(core.Call{Host: at, Patient: time.Minute, End: end})
	second := c.Send(core.Call{Host: at, Patient: time.Minute, End: end})
	<-shaking
	<-shaking
	if started, was := first.Abort(); started || !was {
		t.Errorf("abort: %v, %v", started, was)
	}
	if !second.Recall() {
		t.Error("no recall")
	}
	close(gate)
	until(t, "the end of both", func() bool { return c.Connections(at) == 0 })
	if n := requests.Load(); n != 0 {
		t.Errorf("%d requests", n)
	}
}

// Two addresses that connect together: one carries the request, the other is
// closed without a byte.
func TestBothConnect(t *testing.T) {
	var unused, used atomic.Int64
	script := func(c net.Conn, r *bufio.Reader) {
		if request(r) != nil {
			unused.Add(1)
			return
		}
		used.Add(1)
		fmt.Fprint(c, ok)
	}
	six, four := serve(t, listen(t, "tcp", "[::1]:0"), script), serve(t, listen(t, "tcp", "127.0.0.1:0"), script)
	c := secureCaller(t, nil, addr.KeepSettings{Most: 4, Connecting: 4})
	for i := range 20 {
		host := fmt.Sprint("e", i)
		c.Addresses(map[string][]addr.Address{host: addresses(t, six, four)})
		c.book(host).Failed(-time.Minute, addresses(t, six)[0]) // due for a trial: begun beside the other
		if e := do(t, c, host, nil); e.Outcome != choice.Served {
			t.Fatalf("outcome %d", e.Outcome)
		}
	}
	until(t, "twenty uses", func() bool { return used.Load() == 20 })
	until(t, "losers that closed", func() bool { return unused.Load() > 0 })
	if used.Load() != 20 {
		t.Errorf("%d requests", used.Load())
	}
}

// An address that answers only each third connection: what was written there is
// never written again by the caller.
func TestEachThird(t *testing.T) {
	var n, requests atomic.Int64
	odd := serve(t, listen(t, "tcp", "127.0.0.1:0"), func(c net.Conn, r *bufio.Reader) {
		third := n.Add(1)%3 == 0
		if request(r) == nil {
			if requests.Add(1); third {
				fmt.Fprint(c, ok)
			}
		}
	})
	c := secureCaller(t, nil, addr.KeepSettings{Most: 0, Connecting: 4})
	c.Addresses(map[string][]addr.Address{"e": addresses(t, odd, "127.0.0.1:1")})
	outcomes := map[choice.Outcome]int{}
	for range 30 {
		outcomes[do(t, c, "e", nil).Outcome]++
	}
	if requests.Load() != 30 || outcomes[choice.Served] != 10 || outcomes[choice.Reset] != 20 {
		t.Errorf("%d requests, outcomes %v", requests.Load(), outcomes)
	}
}

// While descriptors are out, nothing is held against addresses; an attempt goes
// on as soon as there is one, and else ends as not sent.
func TestOutOfDescriptors(t *testing.T) {
	good := serve(t, listen(t, "tcp", "127.0.0.1:0"), answers)
	c := secureCaller(t, nil, addr.KeepSettings{Most: 0, Connecting: 4})
	c.Addresses(map[string][]addr.Address{"e": addresses(t, good, "127.0.0.1:1")})
	var was syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &was); err != nil {
		t.Fatal(err)
	}
	back := func() { _ = syscall.Setrlimit(syscall.RLIMIT_NOFILE, &was) }
	defer back()
	// No new descriptor, whichever number is free: connections of earlier tests may still close.
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: 1, Max: was.Max}); err != nil {
		t.Skip("no limit can be set: ", err)
	}
	ended := make(chan core.Ending, 2)
	send := func(within time.Duration) {
		c.Send(core.Call{Host: "e", Patient: within, End: func(e core.Ending) { ended <- e }})
	}
	ending := func() core.Ending {
		until(t, "an ending", func() bool { return len(ended) > 0 })
		return <-ended
	}
	send(100 * time.Millisecond)
	if e := ending(); e.Outcome != choice.NotSent {
		t.Errorf("without any: outcome %d", e.Outcome)
	}
	send(time.Minute)
	back()
	if e := ending(); e.Outcome != choice.Served {
		t.Errorf("with some again: outcome %d", e.Outcome)
	}
	for _, k := range c.Known()["e"] {
		if k.Fails > 0 && k.Address == good {
			t.Errorf("held against %+v", k)
		}
	}
}

// A kept connection that the peer closed is not used, even where the engine had
// no time to notice: its goroutine is held up here by the end of its first call.
func TestHalfClosedNoticed(t *testing.T) {
	closing, closed := make(chan struct{}), make(chan struct{})
	var n atomic.Int64
	at := serve(t, listen(t, "tcp", "127.0.0.1:0"), func(c net.Conn, r *bufio.Reader) {
		if n.Add(1) > 1 {
			answers(c, r)
			return
		}
		_ = request(r)
		fmt.Fprint(c, ok)
		<-closing
		_ = c.Close()
		close(closed)
	})
	c := secureCaller(t, nil, addr.KeepSettings{Most: 4, Connecting: 4})
	first, held, release := make(chan core.Ending, 1), make(chan struct{}), make(chan struct{})
	c.Send(core.Call{Host: at, Patient: time.Minute, End: func(e core.Ending) { first <- e; close(held); <-release }})
	<-held
	if e := <-first; e.Outcome != choice.Served {
		t.Fatalf("outcome %d", e.Outcome)
	}
	close(closing)
	<-closed
	time.Sleep(10 * time.Millisecond) // the FIN's way over loopback
	ended := make(chan core.Ending, 1)
	c.Send(core.Call{Host: at, Patient: time.Minute, End: func(e core.Ending) { ended <- e }})
	if e := <-ended; e.Outcome != choice.Served {
		t.Errorf("outcome %d", e.Outcome)
	}
	close(release)
}

// Handshakes in flight are bounded: calls past the bound wait, and take what comes
// up or free first. Sessions are resumed at the address that gave them, and at no other.
func TestHandshakesBoundedAndResumed(t *testing.T) {
	server, client := tlsPair(t)
	server.SetSessionTicketKeys([][32]byte{{1}}) // both addresses could resume each other's
	var now, most, resumed, fresh atomic.Int64
	server.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		most.Store(max(most.Load(), now.Add(1)))
		time.Sleep(5 * time.Millisecond)
		now.Add(-1)
		return nil, nil
	}
	script := func(c net.Conn, r *bufio.Reader) {
		if request(r) != nil {
			return
		}
		if c.(*tls.Conn).ConnectionState().DidResume { // counted before the answer is heard
			resumed.Add(1)
		} else {
			fresh.Add(1)
		}
		fmt.Fprint(c, ok)
		answers(c, r)
	}
	one := serve(t, tls.NewListener(listen(t, "tcp", "127.0.0.1:0"), server), script)
	two := serve(t, tls.NewListener(listen(t, "tcp", "127.0.0.1:0"), server), script)
	c := secureCaller(t, client, addr.KeepSettings{Most: 64, Connecting: 2})
	c.Addresses(map[string][]addr.Address{"e": addresses(t, one, "127.0.0.1:1")})
	var wait sync.WaitGroup
	for range 30 {
		wait.Go(func() {
			if e := do(t, c, "e", nil); e.Outcome != choice.Served {
				t.Errorf("outcome %d", e.Outcome)
			}
		})
	}
	wait.Wait()
	if most.Load() > 2 {
		t.Errorf("%d handshakes at once", most.Load())
	}
	setUp := func() bool { // calls may all have been served while the second connection was on its way
		c.mu.Lock()
		p := c.pools["e"]
		c.mu.Unlock()
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.connecting == 0 && len(p.idle) == p.open
	}
	for end := time.Now().Add(20 * time.Second); !setUp(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("connections that never come up")
		}
	}
	c.CloseIdle("e")
	before := resumed.Load()
	if do(t, c, "e", nil); resumed.Load() != before+1 {
		t.Errorf("%d resumed, %d not", resumed.Load(), fresh.Load())
	}
	c.Addresses(map[string][]addr.Address{"e": addresses(t, two, "127.0.0.1:1")})
	before = fresh.Load()
	if do(t, c, "e", nil); fresh.Load() != before+1 {
		t.Error("the other address's session was resumed")
	}
}

// A connection that the peer closes while calls come is replaced before a call
// asks; none is to an endpoint that drains.
func TestSpareOpened(t *testing.T) {
	var conns, requests atomic.Int64
	let := make(chan struct{}, 10)
	at := serve(t, listen(t, "tcp", "127.0.0.1:0"), func(c net.Conn, r *bufio.Reader) {
		conns.Add(1)
		if request(r) == nil {
			requests.Add(1)
			fmt.Fprint(c, ok)
			<-let
		}
	})
	c := secureCaller(t, nil, addr.KeepSettings{Most: 4, Spare: 1, Connecting: 4})
	do(t, c, at, nil)
	let <- struct{}{} // the peer closes its connection
	until(t, "a spare", func() bool { return conns.Load() == 2 })
	if requests.Load() != 1 {
		t.Errorf("%d requests", requests.Load())
	}
	c.List(choice.HostUpdate{Full: true, Hosts: []choice.Host{{Addr: at, State: choice.Draining}}})
	until(t, "the spare's end", func() bool { return c.Connections(at) == 0 })
	if conns.Load() != 2 {
		t.Errorf("%d connections", conns.Load())
	}
}

// A large request over TLS over a Unix socket whose reader is slow arrives whole;
// a socket file that is replaced serves on; an age ends connections.
func TestUnixSocket(t *testing.T) {
	server, client := tlsPair(t)
	path := filepath.Join(t.TempDir(), "s")
	var got, conns atomic.Int64
	script := func(c net.Conn, _ *bufio.Reader) {
		conns.Add(1)
		r := bufio.NewReaderSize(c, 4096)
		time.Sleep(20 * time.Millisecond) // the socket's buffer fills
		for request(r) == nil {
			got.Add(1)
			fmt.Fprint(c, ok)
		}
	}
	l := listen(t, "unix", path)
	serve(t, tls.NewListener(l, server), script)
	c := secureCaller(t, client, addr.KeepSettings{Most: 4, Connecting: 4, Age: time.Hour})
	c.Addresses(map[string][]addr.Address{"e": addresses(t, "unix:"+path)})
	body := make([]byte, 2<<20)
	if e := do(t, c, "e", body); e.Outcome != choice.Served || got.Load() != 1 {
		t.Fatalf("outcome %d, %d requests", e.Outcome, got.Load())
	}
	_ = l.Close() // its file goes; another comes
	serve(t, tls.NewListener(listen(t, "unix", path), server), script)
	c.CloseIdle("e")
	if e := do(t, c, "e", body); e.Outcome != choice.Served || got.Load() != 2 {
		t.Fatalf("outcome %d, %d requests", e.Outcome, got.Load())
	}
	_ = os.Remove(path)
	if err := os.Mkdir(path, 0o700); err != nil { // no socket
		t.Fatal(err)
	}
	c.CloseIdle("e")
	if e := do(t, c, "e", nil); e.Outcome != choice.NoConnection {
		t.Errorf("a folder: outcome %d", e.Outcome)
	}
}

// An endpoint whose names are being looked up has no address yet: its calls wait
// for one, within their time.
func TestWaitsForAddress(t *testing.T) {
	good := serve(t, listen(t, "tcp", "127.0.0.1:0"), answers)
	c := secureCaller(t, nil, addr.KeepSettings{Most: 4, Connecting: 4})
	c.Addresses(map[string][]addr.Address{"e": nil, "never": nil})
	c.mu.Lock()
	if c.books["e"] == nil {
		t.Error("no book")
	}
	c.mu.Unlock()
	ended := make(chan core.Ending, 2)
	c.Send(core.Call{Host: "e", Patient: time.Minute, End: func(e core.Ending) { ended <- e }})
	select {
	case e := <-ended:
		t.Fatalf("before any address: outcome %d", e.Outcome)
	case <-time.After(20 * time.Millisecond):
	}
	c.Changed(map[string][]addr.Address{"e": addresses(t, good)})
	if e := <-ended; e.Outcome != choice.Served {
		t.Errorf("outcome %d", e.Outcome)
	}
	c.Send(core.Call{Host: "never", Patient: 50 * time.Millisecond, End: func(e core.Ending) { ended <- e }})
	if e := <-ended; e.Outcome != choice.NoConnection {
		t.Errorf("never: outcome %d", e.Outcome)
	}
}
