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

// serve accepts connections on a listener and runs the script for each of them.
func serve(t *testing.T, l net.Listener, script func(c net.Conn, r *bufio.Reader)) string {
	t.Helper()
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil { // out of file descriptors, which TestOutOfDescriptors causes
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

// tlsPair returns the TLS configurations of a server and of a client that trusts it.
func tlsPair(t *testing.T) (server, client *tls.Config) {
	t.Helper()
	a, err := keys.NewAuthority("test", time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	cert, key, err := a.Issue(t.TempDir(), "server", time.Now().Add(-time.Minute), time.Now().Add(time.Hour),
		"bank.example")
	if err != nil {
		t.Fatal(err)
	}
	pair, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		t.Fatal(err)
	}
	return &tls.Config{Certificates: []tls.Certificate{pair}},
		&tls.Config{RootCAs: a.CertPool(), ServerName: "bank.example"}
}

func secureCaller(t *testing.T, client *tls.Config, keep addr.PoolSettings) *Caller {
	t.Helper()
	target := Target{Path: "/", RefusalNeverRan: true}
	if client != nil {
		target.TLS = func() *tls.Config { return client.Clone() }
	}
	c, err := New(Options{Name: "r", Targets: []Target{target}, Classes: []string{"status"},
		Limits: http1.Limits{Header: 1024, Body: 4096}, Pool: keep, TLSSessions: 100})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// until waits for a condition that other goroutines bring about.
func waitFor(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !f(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("did not happen within 20 s: ", what)
		}
	}
}

// Guards against a call that fails because the TLS handshake fails, or never ends, at one address
// although another works. No byte of the request has been sent, so the same attempt may use the
// other one.
func TestHandshakeFallsBack(t *testing.T) {
	server, client := tlsPair(t)
	good := serve(t, tls.NewListener(listen(t, "tcp", "127.0.0.1:0"), server), answers)
	alert := serve(t, listen(t, "tcp", "[::1]:0"), func(c net.Conn, r *bufio.Reader) {
		_, _ = r.Peek(5)
		_, _ = c.Write([]byte{21, 3, 3, 0, 2, 2, 40}) // fatal alert, handshake_failure (RFC 8446, 6)
	})
	silent := serve(t, listen(t, "tcp", "[::1]:0"), func(c net.Conn, r *bufio.Reader) { _, _ = r.ReadBytes(0) })
	c := secureCaller(t, client, addr.PoolSettings{MaxIdle: 4, MaxConnecting: 4})
	c.SetAddresses(map[string][]addr.Address{"a": addresses(t, alert, good), "s": addresses(t, silent, good)})
	for _, host := range []string{"a", "s"} {
		if e := do(t, c, host, nil); e.Outcome != choice.Served {
			t.Errorf("%s: outcome %d", host, e.Outcome)
		}
		if k := c.AddressStatus()[host]; k[0].Failures != 1 {
			t.Errorf("%s: %+v", host, k)
		}
	}
}

// Guards against a request that is written to a connection established after the call was aborted
// or recalled.
func TestConnectionAfterAbortCarriesNothing(t *testing.T) {
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
	c := secureCaller(t, client, addr.PoolSettings{MaxIdle: 4, MaxConnecting: 4})
	end := func(core.Ending) { t.Error("End was called after Abort or Recall") }
	first := c.Send(core.Call{Host: at, Timeout: time.Minute, End: end})
	second := c.Send(core.Call{Host: at, Timeout: time.Minute, End: end})
	<-shaking
	<-shaking
	if started, was := first.Abort(); started || !was {
		t.Errorf("abort: %v, %v", started, was)
	}
	if !second.Recall() {
		t.Error("Recall failed")
	}
	close(gate)
	waitFor(t, "both connections are closed", func() bool { return c.Connections(at) == 0 })
	if n := requests.Load(); n != 0 {
		t.Errorf("%d requests", n)
	}
}

// Guards against a request that is sent twice when two addresses connect at the same time: the
// connection that loses is closed without a byte.
func TestLosingConnectionCarriesNothing(t *testing.T) {
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
	c := secureCaller(t, nil, addr.PoolSettings{MaxIdle: 4, MaxConnecting: 4})
	for i := range 20 {
		host := fmt.Sprint("e", i)
		c.SetAddresses(map[string][]addr.Address{host: addresses(t, six, four)})
		// Due for a trial: started together with the other address.
		c.selector(host).Failed(-time.Minute, addresses(t, six)[0])
		if e := do(t, c, host, nil); e.Outcome != choice.Served {
			t.Fatalf("outcome %d", e.Outcome)
		}
	}
	waitFor(t, "20 requests", func() bool { return used.Load() == 20 })
	waitFor(t, "a connection closed unused", func() bool { return unused.Load() > 0 })
	if used.Load() != 20 {
		t.Errorf("%d requests", used.Load())
	}
}

// Guards against a request that is written a second time after it was written to a connection that
// closed without an answer. The address answers every third connection only.
func TestUnansweredRequestIsNotWrittenAgain(t *testing.T) {
	var n, requests atomic.Int64
	odd := serve(t, listen(t, "tcp", "127.0.0.1:0"), func(c net.Conn, r *bufio.Reader) {
		third := n.Add(1)%3 == 0
		if request(r) == nil {
			if requests.Add(1); third {
				fmt.Fprint(c, ok)
			}
		}
	})
	c := secureCaller(t, nil, addr.PoolSettings{MaxIdle: 0, MaxConnecting: 4})
	c.SetAddresses(map[string][]addr.Address{"e": addresses(t, odd, "127.0.0.1:1")})
	outcomes := map[choice.Outcome]int{}
	for range 30 {
		outcomes[do(t, c, "e", nil).Outcome]++
	}
	if requests.Load() != 30 || outcomes[choice.Served] != 10 || outcomes[choice.Reset] != 20 {
		t.Errorf("%d requests, want 30; outcomes %v", requests.Load(), outcomes)
	}
}

// Guards against addresses that are penalised while this process is out of file descriptors. A call
// proceeds as soon as there is a descriptor, and ends as not sent otherwise.
func TestOutOfDescriptors(t *testing.T) {
	good := serve(t, listen(t, "tcp", "127.0.0.1:0"), answers)
	c := secureCaller(t, nil, addr.PoolSettings{MaxIdle: 0, MaxConnecting: 4})
	c.SetAddresses(map[string][]addr.Address{"e": addresses(t, good, "127.0.0.1:1")})
	var was syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &was); err != nil {
		t.Fatal(err)
	}
	back := func() { _ = syscall.Setrlimit(syscall.RLIMIT_NOFILE, &was) }
	defer back()
	// No new descriptor, whatever its number: connections of earlier tests may still close.
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: 1, Max: was.Max}); err != nil {
		t.Skip("the limit on descriptors cannot be set: ", err)
	}
	ended := make(chan core.Ending, 2)
	send := func(within time.Duration) {
		c.Send(core.Call{Host: "e", Timeout: within, End: func(e core.Ending) { ended <- e }})
	}
	ending := func() core.Ending {
		waitFor(t, "the end of the call", func() bool { return len(ended) > 0 })
		return <-ended
	}
	send(100 * time.Millisecond)
	if e := ending(); e.Outcome != choice.NotSent {
		t.Errorf("without descriptors: outcome %d", e.Outcome)
	}
	send(time.Minute)
	back()
	if e := ending(); e.Outcome != choice.Served {
		t.Errorf("with descriptors again: outcome %d", e.Outcome)
	}
	for _, k := range c.AddressStatus()["e"] {
		if k.Failures > 0 && k.Address == good {
			t.Errorf("a failure was recorded: %+v", k)
		}
	}
}

// Guards against a call on a half-closed idle connection whose close the engine has not handled
// yet. The End of the first call blocks the connection's goroutine to bring that about.
func TestHalfClosedConnectionIsNotUsed(t *testing.T) {
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
	c := secureCaller(t, nil, addr.PoolSettings{MaxIdle: 4, MaxConnecting: 4})
	first, held, release := make(chan core.Ending, 1), make(chan struct{}), make(chan struct{})
	c.Send(core.Call{Host: at, Timeout: time.Minute, End: func(e core.Ending) { first <- e; close(held); <-release }})
	<-held
	if e := <-first; e.Outcome != choice.Served {
		t.Fatalf("outcome %d", e.Outcome)
	}
	close(closing)
	<-closed
	time.Sleep(10 * time.Millisecond) // for the FIN to arrive over loopback
	ended := make(chan core.Ending, 1)
	c.Send(core.Call{Host: at, Timeout: time.Minute, End: func(e core.Ending) { ended <- e }})
	if e := <-ended; e.Outcome != choice.Served {
		t.Errorf("outcome %d", e.Outcome)
	}
	close(release)
}

// Guards against more concurrent handshakes than configured: further calls wait for any connection
// that is established or becomes idle. Guards against a TLS session that is resumed at another
// address than the one that issued it.
func TestHandshakesBoundedAndResumed(t *testing.T) {
	server, client := tlsPair(t)
	server.SetSessionTicketKeys([][32]byte{{1}}) // each address could decrypt the other's tickets
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
		if c.(*tls.Conn).ConnectionState().DidResume { // counted before the answer can be received
			resumed.Add(1)
		} else {
			fresh.Add(1)
		}
		fmt.Fprint(c, ok)
		answers(c, r)
	}
	one := serve(t, tls.NewListener(listen(t, "tcp", "127.0.0.1:0"), server), script)
	two := serve(t, tls.NewListener(listen(t, "tcp", "127.0.0.1:0"), server), script)
	c := secureCaller(t, client, addr.PoolSettings{MaxIdle: 64, MaxConnecting: 2})
	c.SetAddresses(map[string][]addr.Address{"e": addresses(t, one, "127.0.0.1:1")})
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
		t.Errorf("%d concurrent handshakes, the limit is 2", most.Load())
	}
	setUp := func() bool { // the calls may all end while the second connection is still being set up
		c.mu.Lock()
		p := c.pools["e"]
		c.mu.Unlock()
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.connecting == 0 && len(p.idle) == p.open
	}
	for end := time.Now().Add(20 * time.Second); !setUp(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("connections are still being set up after 20 s")
		}
	}
	c.CloseIdle("e")
	before := resumed.Load()
	if do(t, c, "e", nil); resumed.Load() != before+1 {
		t.Errorf("%d sessions resumed, %d not", resumed.Load(), fresh.Load())
	}
	c.SetAddresses(map[string][]addr.Address{"e": addresses(t, two, "127.0.0.1:1")})
	before = fresh.Load()
	if do(t, c, "e", nil); fresh.Load() != before+1 {
		t.Error("the session of another address was resumed")
	}
}

// Guards against a call that has to wait for a connection because the peer closes its idle ones: a
// spare is opened in advance. A draining endpoint gets none.
func TestSpareReplacesClosedConnection(t *testing.T) {
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
	c := secureCaller(t, nil, addr.PoolSettings{MaxIdle: 4, MaxSpare: 1, MaxConnecting: 4})
	do(t, c, at, nil)
	let <- struct{}{} // the server closes the connection
	waitFor(t, "a spare connection", func() bool { return conns.Load() == 2 })
	if requests.Load() != 1 {
		t.Errorf("%d requests", requests.Load())
	}
	c.List(choice.HostUpdate{Full: true, Hosts: []choice.Host{{Addr: at, State: choice.Draining}}})
	waitFor(t, "the spare connection is closed", func() bool { return c.Connections(at) == 0 })
	if conns.Load() != 2 {
		t.Errorf("%d connections", conns.Load())
	}
}

// Guards against a large request that is cut off by a slow reader, over TLS on a Unix socket, and
// against calls that fail after the socket file was replaced.
func TestUnixSocket(t *testing.T) {
	server, client := tlsPair(t)
	path := filepath.Join(t.TempDir(), "s")
	var got, conns atomic.Int64
	script := func(c net.Conn, _ *bufio.Reader) {
		conns.Add(1)
		r := bufio.NewReaderSize(c, 4096)
		time.Sleep(20 * time.Millisecond) // until the socket buffer is full
		for request(r) == nil {
			got.Add(1)
			fmt.Fprint(c, ok)
		}
	}
	l := listen(t, "unix", path)
	serve(t, tls.NewListener(l, server), script)
	c := secureCaller(t, client, addr.PoolSettings{MaxIdle: 4, MaxConnecting: 4, MaxAge: time.Hour})
	c.SetAddresses(map[string][]addr.Address{"e": addresses(t, "unix:"+path)})
	body := make([]byte, 2<<20)
	if e := do(t, c, "e", body); e.Outcome != choice.Served || got.Load() != 1 {
		t.Fatalf("outcome %d, %d requests", e.Outcome, got.Load())
	}
	_ = l.Close() // removes the socket file; a new one is created
	serve(t, tls.NewListener(listen(t, "unix", path), server), script)
	c.CloseIdle("e")
	if e := do(t, c, "e", body); e.Outcome != choice.Served || got.Load() != 2 {
		t.Fatalf("outcome %d, %d requests", e.Outcome, got.Load())
	}
	_ = os.Remove(path)
	if err := os.Mkdir(path, 0o700); err != nil { // a directory instead of a socket
		t.Fatal(err)
	}
	c.CloseIdle("e")
	if e := do(t, c, "e", nil); e.Outcome != choice.NoConnection {
		t.Errorf("a directory: outcome %d", e.Outcome)
	}
}

// Guards against calls that fail while the names of their endpoint are being resolved: they wait
// for an address, within their time-out.
func TestWaitsForAddress(t *testing.T) {
	good := serve(t, listen(t, "tcp", "127.0.0.1:0"), answers)
	c := secureCaller(t, nil, addr.PoolSettings{MaxIdle: 4, MaxConnecting: 4})
	c.SetAddresses(map[string][]addr.Address{"e": nil, "never": nil})
	c.mu.Lock()
	if c.selectors["e"] == nil {
		t.Error("no book")
	}
	c.mu.Unlock()
	ended := make(chan core.Ending, 2)
	c.Send(core.Call{Host: "e", Timeout: time.Minute, End: func(e core.Ending) { ended <- e }})
	select {
	case e := <-ended:
		t.Fatalf("before any address: outcome %d", e.Outcome)
	case <-time.After(20 * time.Millisecond):
	}
	c.UpdateAddresses(map[string][]addr.Address{"e": addresses(t, good)})
	if e := <-ended; e.Outcome != choice.Served {
		t.Errorf("outcome %d", e.Outcome)
	}
	c.Send(core.Call{Host: "never", Timeout: 50 * time.Millisecond, End: func(e core.Ending) { ended <- e }})
	if e := <-ended; e.Outcome != choice.NoConnection {
		t.Errorf("without an address: outcome %d", e.Outcome)
	}
}
