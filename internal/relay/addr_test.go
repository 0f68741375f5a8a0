package relay_test

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"basaltcross.example/basaltcross/choice"
	"basaltcross.example/basaltcross/internal/client"
	"basaltcross.example/basaltcross/internal/config"
	"basaltcross.example/basaltcross/internal/core"
	"basaltcross.example/basaltcross/internal/relay"
	"basaltcross.example/basaltcross/internal/standin"
	"basaltcross.example/basaltcross/internal/testutil"
	"basaltcross.example/basaltcross/internal/testutil/port"
)

// severalAddresses is a relay with one endpoint at the addresses given.
func severalAddresses(t *testing.T, addrs ...string) *relay.Relay {
	t.Helper()
	list := filepath.Join(t.TempDir(), "list.cue")
	text := fmt.Sprintf("endpoints: [{addr: \"bank:1\", partner: \"p0\", addrs: [\"%s\"]}]\n", strings.Join(addrs, `", "`))
	if err := os.WriteFile(list, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	cfg, err := config.Parse("test.cue", []byte(testutil.ConfigText(list, 1, `partnerCalls: idlePerHost: 4`)))
	if err != nil {
		t.Fatal(err)
	}
	r, err := relay.Start(cfg, zerolog.Nop(), relay.Hooks{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Stop)
	return r
}

// Addresses of each family, each broken in its way: no two attempts of one
// message ever overlap, no charge goes out twice, and what can be delivered by a
// good address is.
func TestAddressesBroken(t *testing.T) {
	rec := standin.NewRecorder(1 << 20)
	p := standin.NewPartner("p0", standin.Model{Service: 3 * ms, DedupWindow: 10 * time.Second}, 1)
	var ends []*standin.Endpoint
	sock := filepath.Join(t.TempDir(), "s")
	for _, at := range []string{"unix:" + sock, "[::1]:0", "127.0.0.1:0", "127.0.0.2:0"} {
		e, err := standin.Start(at, p, rec)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(e.Close)
		ends = append(ends, e)
	}
	r := severalAddresses(t, port.Refusing(t, "127.0.0.1"), ends[1].Addr, "unix:"+sock, ends[2].Addr, ends[3].Addr, ends[2].Addr)
	in := newInbox()
	c, err := client.Dial(testutil.Context(t), r.Addrs()[0], client.Options{ID: "c", Expiry: 600, OnAnswer: in.on})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	const n = 1500
	for i := range n {
		switch i {
		case 200: // accepts and hangs
			ends[0].Set(standin.Faults{Hang: true})
		case 400: // reads the request and resets
			ends[0].Set(standin.Faults{})
			ends[1].Set(standin.Faults{IdleReset: time.Nanosecond})
			ends[0].Close()
			_ = os.WriteFile(sock, nil, 0o600) // no socket any more
		case 700: // gone
			ends[1].Close()
		case 1000:
			ends[1].Set(standin.Faults{})
			if err := ends[1].Reopen(); err != nil {
				t.Fatal(err)
			}
			ends[2].Close()
		}
		size := 100
		if i%50 == 0 {
			size = 200_000 // more than a Unix socket takes at once
		}
		id := fmt.Sprintf("%d ", i)
		if err := c.Send(testutil.Context(t), client.Message{ID: fmt.Sprint(i), Class: []string{"status", "order", "charge"}[i%3],
			Partner: "p0", Body: append([]byte(id), make([]byte, size)...)}); err != nil {
			t.Fatal(err)
		}
	}
	count := map[string]int{}
	for id, a := range in.wait(t, n) {
		if count[a[0].Outcome]++; len(a) != 1 {
			t.Errorf("%s: %v", id, a)
		}
	}
	r.Stop()
	calls := map[string][]standin.Call{}
	families := map[string]int{}
	for _, k := range rec.Calls() {
		id, _, _ := strings.Cut(k.Body, " ")
		calls[id] = append(calls[id], k)
		families[k.Endpoint]++
	}
	for id, l := range calls {
		slices.SortFunc(l, func(a, b standin.Call) int { return a.Start.Compare(b.Start) })
		for i := 1; i < len(l); i++ {
			if l[0].Class == "charge" {
				t.Errorf("charge %s went out %d times", id, len(l))
			}
			end := l[i-1].End
			if !l[i-1].CallerClosed.IsZero() && l[i-1].CallerClosed.Before(end) {
				end = l[i-1].CallerClosed
			}
			if l[i].Start.Add(50 * ms).Before(end) {
				t.Errorf("%s: two attempts at once, %v", id, end.Sub(l[i].Start))
			}
		}
	}
	t.Logf("answers %v, calls by address %v", count, families)
	if count["delivered"] < n*9/10 {
		t.Errorf("answers %v", count)
	}
}

// A dead first address costs the connection-attempt delay at most, once; after
// that nothing that can be seen.
func TestDeadAddressCosts(t *testing.T) {
	rec := standin.NewRecorder(1 << 20)
	e, err := standin.Start("127.0.0.1:0", standin.NewPartner("p0", standin.Model{Service: ms}, 1), rec)
	if err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	r := severalAddresses(t, port.Refusing(t, "::1"), "unix:/nonexistent/socket", e.Addr)
	in := newInbox()
	c, err := client.Dial(testutil.Context(t), r.Addrs()[0], client.Options{ID: "c", Expiry: 600, OnAnswer: in.on})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	for i := range 20 {
		if err := c.Send(testutil.Context(t), client.Message{ID: fmt.Sprint(i), Class: "charge", Partner: "p0"}); err != nil {
			t.Fatal(err)
		}
	}
	for id, a := range in.wait(t, 20) {
		if a[0].Outcome != "delivered" {
			t.Errorf("%s: %s", id, a[0].Outcome)
		}
	}
}

// attemptLog counts, by the body of the message, the attempts that went out and those that timed out or were
// given up by the relay.
type attemptLog struct {
	core.Caller
	mu          sync.Mutex
	sent, ended map[string]int
}

func newAttemptLog() *attemptLog { return &attemptLog{sent: map[string]int{}, ended: map[string]int{}} }

// over is a hook that puts the log between core and caller.
func (l *attemptLog) over(c core.Caller) core.Caller {
	l.Caller = c
	return l
}

func (l *attemptLog) Send(c core.Call) core.Attempt {
	body := string(c.Body)
	l.add(l.sent, body)
	end := c.End
	c.End = func(e core.Ending) {
		if e.Outcome == choice.Timeout {
			l.add(l.ended, body)
		}
		end(e)
	}
	return loggedAttempt{l.Caller.Send(c), l, body}
}

// loggedAttempt is an attempt that the relay may give up.
type loggedAttempt struct {
	core.Attempt
	log  *attemptLog
	body string
}

func (a loggedAttempt) Abort() (started, ok bool) {
	started, ok = a.Attempt.Abort()
	if ok {
		a.log.add(a.log.ended, a.body)
	}
	return started, ok
}

func (l *attemptLog) add(to map[string]int, body string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	to[body]++
}

// repeatsExplained tells whether each of a message's calls but one follows an attempt that the relay gave up.
func (l *attemptLog) repeatsExplained(body string, calls int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return calls <= l.sent[body] && l.sent[body] == l.ended[body]+1
}

// A partner's name moves from one host to another, gives nothing, gives another
// partner's address, and its server goes mute, while messages come: nothing goes
// to a host after its time there is over, nothing to another's, no charge is sent twice,
// and a status, which a repeat does not harm, again only after the relay gave up its attempt.
func TestNameMoves(t *testing.T) {
	dns, err := standin.StartDNS()
	if err != nil {
		t.Fatal(err)
	}
	defer dns.Close()
	rec := standin.NewRecorder(1 << 20)
	p := standin.NewPartner("p0", standin.Model{Service: ms, DedupWindow: 10 * time.Second}, 1)
	one, err := standin.Start("127.0.0.1:0", p, rec)
	if err != nil {
		t.Fatal(err)
	}
	defer one.Close()
	_, port, _ := net.SplitHostPort(one.Addr)
	two, err := standin.Start("127.0.0.2:"+port, p, rec)
	if err != nil {
		t.Fatal(err)
	}
	defer two.Close()
	other, err := standin.Start("127.0.0.3:"+port, standin.NewPartner("p1", standin.Model{Service: ms}, 1), rec)
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	at := func(ips ...string) {
		z := standin.DNSAnswer{TTL: 1}
		for _, ip := range ips {
			z.Addrs = append(z.Addrs, netip.MustParseAddr(ip))
		}
		dns.Set("bank.example", z)
	}
	at("127.0.0.1")
	list := filepath.Join(t.TempDir(), "list.cue")
	text := fmt.Sprintf("endpoints: [{addr: \"bank.example:%s\", partner: \"p0\"}, {addr: %q, partner: \"p1\"}]\n", port, other.Addr)
	if err := os.WriteFile(list, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	cfg, err := config.Parse("test.cue", []byte(testutil.ConfigText(list, 2, fmt.Sprintf("resolver: {servers: [%q], timeout: \"200ms\"}", dns.Addr))))
	if err != nil {
		t.Fatal(err)
	}
	attempts := newAttemptLog()
	r, err := relay.Start(cfg, zerolog.Nop(), relay.Hooks{Caller: attempts.over})
	if err != nil {
		t.Fatal(err)
	}
	defer r.Stop()
	in := newInbox()
	c, err := client.Dial(testutil.Context(t), r.Addrs()[0], client.Options{ID: "c", Expiry: 600, OnAnswer: in.on})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	n := 0
	send := func(many int) {
		for range many {
			if err := c.Send(testutil.Context(t), client.Message{ID: fmt.Sprint(n), Class: []string{"status", "charge"}[n%2], Partner: "p0",
				Body: fmt.Appendf(nil, "%d", n)}); err != nil {
				t.Fatal(err)
			}
			n++
		}
		in.wait(t, n)
	}
	known := func(what string, want func(relay.Addresses) bool) {
		t.Helper()
		for end := time.Now().Add(20 * time.Second); !want(r.Addresses()); time.Sleep(5 * ms) {
			if time.Now().After(end) {
				t.Fatalf("%s: %+v", what, r.Addresses())
			}
		}
	}
	first := func(a relay.Addresses) string {
		if l := a.Endpoints["bank.example:"+port]; len(l) > 0 {
			return l[0].Address
		}
		return ""
	}
	send(100)
	at("127.0.0.2")
	known("moved", func(a relay.Addresses) bool { return first(a) == two.Addr })
	moved := time.Now()
	send(100)
	at("127.0.0.3") // the other partner's
	known("another's", func(a relay.Addresses) bool { return len(a.LeftOut) == 1 && first(a) == "" })
	at("127.0.0.1", "127.0.0.3")
	known("one of both", func(a relay.Addresses) bool { return first(a) == one.Addr })
	send(100)
	dns.Set("bank.example", standin.DNSAnswer{NoResponse: true})
	known("mute", func(a relay.Addresses) bool { return len(a.Names) == 1 && a.Names[0].Failures > 0 })
	send(100)
	seen := map[string]int{}
	for _, k := range rec.Calls() {
		seen[k.Body]++
		if k.Partner == "p1" {
			t.Errorf("%s went to another partner", k.Body)
		}
		if i, _ := strconv.Atoi(k.Body); i >= 100 && i < 200 && k.Endpoint == one.Addr {
			t.Errorf("%s went to the old address %v after the move", k.Body, k.Start.Sub(moved))
		}
	}
	for id, a := range in.wait(t, n) {
		i, _ := strconv.Atoi(id)
		once := i%2 == 1 // a charge
		if a[0].Outcome != "delivered" || seen[id] < 1 || once && seen[id] != 1 || !attempts.repeatsExplained(id, seen[id]) {
			t.Errorf("%s: %s after %d calls, %d attempts, %d given up", id, a[0].Outcome, seen[id], attempts.sent[id], attempts.ended[id])
		}
	}
}
