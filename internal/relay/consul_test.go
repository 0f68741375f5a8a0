package relay_test

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"basaltcross.example/basaltcross/choice"
	"basaltcross.example/basaltcross/internal/client"
	"basaltcross.example/basaltcross/internal/config"
	"basaltcross.example/basaltcross/internal/directory"
	"basaltcross.example/basaltcross/internal/relay"
	"basaltcross.example/basaltcross/internal/standin"
	"basaltcross.example/basaltcross/internal/testutil"
)

// consulBed runs partners whose endpoints are listed in a simulated Consul catalogue.
type consulBed struct {
	*standin.Consul
	t           *testing.T
	rec         *standin.Recorder
	endpoints   []*standin.Endpoint
	partners    int // number of partners
	dir         string
	extraConfig string // appended to the configuration
}

func newConsulBed(t *testing.T, partners, each int, more string) *consulBed {
	t.Helper()
	c, err := standin.StartConsul()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	b := &consulBed{Consul: c, t: t, rec: standin.NewRecorder(1 << 20), partners: partners,
		dir: t.TempDir(), extraConfig: more}
	for i := range partners {
		p := standin.NewPartner(fmt.Sprint("p", i), standin.Model{Service: 2 * ms, DedupWindow: 10 * time.Second}, uint64(i))
		for range each {
			e, err := standin.Start("127.0.0.1:0", p, b.rec)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(e.Close)
			b.endpoints = append(b.endpoints, e)
		}
	}
	b.put("", b.endpoints...)
	return b
}

// put registers endpoints in the catalogue with the given state.
func (b *consulBed) put(state string, ends ...*standin.Endpoint) {
	var list []standin.Instance
	for _, e := range ends {
		host, port, _ := net.SplitHostPort(e.Addr)
		n, _ := strconv.Atoi(port)
		list = append(list, standin.Instance{ID: e.Addr, Service: e.Partner.Name, Address: host, Port: n, Check: "passing",
			Meta: map[string]string{"state": state}})
	}
	b.Put(list...)
}

// start starts a relay that takes its endpoints from the catalogue.
func (b *consulBed) start(name string, hooks relay.Hooks) *relay.Relay {
	b.t.Helper()
	var services []string
	for i := range b.partners {
		services = append(services, fmt.Sprintf("{service: \"p%d\", partner: \"p%d\"}", i, i))
	}
	text := testutil.ConfigText("", b.partners, fmt.Sprintf(`relay: {name: %q, workers: 64, held: 20000}
directory: {saved: %q, believe: "30s", gone: "300ms", consul: [{address: %q, wait: "2s", services: [%s]}]}
%s`, name, filepath.Join(b.dir, name+".list"), b.Addr, strings.Join(services, ", "), b.extraConfig))
	cfg, err := config.Parse("test.cue", []byte(text))
	if err != nil {
		b.t.Fatal(err)
	}
	r, err := relay.Start(cfg, zerolog.Nop(), hooks)
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(r.Stop)
	return r
}

// eventually waits up to 30 s until f returns true.
func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !f(); time.Sleep(2 * ms) {
		if time.Now().After(end) {
			t.Fatal("not reached within 30 s: ", what)
		}
	}
}

// load hands in status messages for all partners until stop is closed, waits until they
// are answered, and returns their number and the answers.
func (b *consulBed) load(r *relay.Relay, who string, pause time.Duration, stop <-chan struct{}) (
	n int, answers map[string]int) {
	in := newInbox()
	c, err := client.Dial(testutil.Context(b.t), r.Addrs()[0], client.Options{ID: who, Expiry: 600, OnAnswer: in.receive})
	if err != nil {
		b.t.Error(err)
		return
	}
	defer c.Close()
	for ; ; n++ {
		select {
		case <-stop:
			answers = map[string]int{}
			for _, a := range in.wait(b.t, n) {
				answers[a[0].Outcome]++
			}
			return n, answers
		case <-time.After(pause):
		}
		if err := c.Send(testutil.Context(b.t), client.Message{ID: fmt.Sprint(n), Class: "status",
			Partner: fmt.Sprint("p", n%b.partners)}); err != nil {
			b.t.Error(err)
			return
		}
	}
}

// Guards against losing endpoints or querying in a busy loop while the catalogue fails or
// returns errors, partial, stale or empty lists. The last good list stays in force, every
// message is delivered, and once the catalogue has recovered, changes arrive again.
func TestCatalogueFaultsKeepTheLastList(t *testing.T) {
	b := newConsulBed(t, 3, 4, "")
	r := b.start("r", relay.Hooks{})
	eventually(t, "the list", func() bool { return r.Directory().Endpoints == 12 })
	stop := make(chan struct{})
	var done sync.WaitGroup
	done.Go(func() {
		if n, answers := b.load(r, "c", ms, stop); answers["delivered"] != n {
			t.Errorf("%d messages, answers %v", n, answers)
		}
	})
	extra, err := standin.Start("127.0.0.1:0", b.endpoints[0].Partner, b.rec)
	if err != nil {
		t.Fatal(err)
	}
	defer extra.Close()
	for name, trouble := range map[string]standin.CatalogFaults{"down": {Down: true}, "500": {Status: 500},
		"429": {Status: 429}, "403": {Status: 403}, "hang": {Hang: true}, "cut": {Truncate: true}, "slow": {Slow: 100 * ms},
		"empty": {Empty: true}, "half": {OmitHalf: true}, "instant": {NonBlocking: true},
		"no leader": {NoLeader: true, Empty: true},
		"stale":     {LastContact: time.Hour, Empty: true}, "index back": {Index: 1, OmitHalf: true},
		"index none": {Index: 0, NonBlocking: true, OmitHalf: true}} {
		asked := b.QueryCount()
		b.Set(trouble)
		time.Sleep(250 * ms)
		if d := r.Directory(); d.Endpoints < 12 {
			t.Errorf("%s: %d endpoints", name, d.Endpoints)
		}
		if n := b.QueryCount() - asked; n > 3*40 {
			t.Errorf("%s: %d queries in a quarter of a second", name, n)
		}
		b.Set(standin.CatalogFaults{})
		// The catalogue has recovered: changes must arrive.
		b.put("", extra)
		eventually(t, name+": endpoint added", func() bool { return r.Directory().Endpoints == 13 })
		b.Delete(extra.Addr)
		eventually(t, name+": endpoint removed", func() bool { return r.Directory().Endpoints == 12 })
	}
	close(stop)
	done.Wait()
}

// drainRecorder records when the relay received each drain.
type drainRecorder struct {
	directory.Sink
	mu         sync.Mutex
	receivedAt map[string]time.Time
}

func (h *drainRecorder) List(l choice.HostUpdate) {
	h.mu.Lock()
	for _, e := range l.Hosts {
		if e.State != choice.Ready {
			h.receivedAt[e.Addr] = time.Now()
		}
	}
	h.mu.Unlock()
	h.Sink.List(l)
}

// Guards against requests to draining endpoints. With many endpoints drained under load,
// no request may start at an endpoint more than a second after the relay received the
// list in which it drains.
func TestNoRequestAfterDrain(t *testing.T) {
	const partners, each, rounds = 10, 100, 4 // two drains per endpoint: more count as flapping and are held back
	b := newConsulBed(t, partners, each, "")
	recorder := &drainRecorder{receivedAt: map[string]time.Time{}}
	r := b.start("r", relay.Hooks{Sink: func(s directory.Sink) directory.Sink { recorder.Sink = s; return recorder }})
	eventually(t, "the list", func() bool { return r.Directory().Endpoints == partners*each })
	stop := make(chan struct{})
	var done sync.WaitGroup
	for i := range 8 {
		done.Go(func() { b.load(r, fmt.Sprint("c", i), 100*time.Microsecond, stop) })
	}
	var maxRequestDelay, maxListDelay time.Duration
	drains := 0
	for round := range rounds {
		var drained []*standin.Endpoint
		for i, e := range b.endpoints {
			if i%2 == round%2 {
				drained = append(drained, e)
			}
		}
		recorder.mu.Lock()
		clear(recorder.receivedAt)
		recorder.mu.Unlock()
		updatedAt := time.Now()
		b.put("draining", drained...)
		eventually(t, "all drains received", func() bool {
			recorder.mu.Lock()
			defer recorder.mu.Unlock()
			n := 0
			for _, e := range drained {
				if !recorder.receivedAt[e.Addr].IsZero() {
					n++
				}
			}
			return n == len(drained)
		})
		time.Sleep(200 * ms)
		drainEnd := time.Now()
		b.put("", drained...)
		recorder.mu.Lock()
		last := map[string]time.Time{}
		for _, k := range b.rec.Calls() {
			if k.Start.After(last[k.Endpoint]) && k.Start.Before(drainEnd) {
				last[k.Endpoint] = k.Start
			}
		}
		for _, e := range drained {
			drains++
			maxListDelay = max(maxListDelay, recorder.receivedAt[e.Addr].Sub(updatedAt))
			maxRequestDelay = max(maxRequestDelay, last[e.Addr].Sub(recorder.receivedAt[e.Addr]))
		}
		recorder.mu.Unlock()
	}
	close(stop)
	done.Wait()
	t.Logf("%d drains under %d calls: received within %v, last request %v after that",
		drains, len(b.rec.Calls()), maxListDelay, maxRequestDelay)
	if maxRequestDelay > time.Second {
		t.Errorf("a request started %v after its drain was received", maxRequestDelay)
	}
}

// Guards against a relay without endpoints after a restart while the catalogue is down: it
// starts with its saved list. A saved list that is truncated, altered, of another format or
// from another catalogue must not be used.
func TestStartWithoutCatalogue(t *testing.T) {
	b := newConsulBed(t, 2, 3, "")
	r := b.start("r", relay.Hooks{})
	eventually(t, "the list", func() bool { return r.Directory().Endpoints == 6 })
	r.Stop()
	b.Set(standin.CatalogFaults{Down: true})
	r = b.start("r", relay.Hooks{})
	eventually(t, "the saved list", func() bool { return r.Directory().Endpoints == 6 })
	stop := make(chan struct{})
	time.AfterFunc(300*ms, func() { close(stop) })
	if n, answers := b.load(r, "c", ms, stop); n == 0 || answers["delivered"] != n {
		t.Errorf("%d messages, answers %v", n, answers)
	}
	b.Set(standin.CatalogFaults{})
	b.Delete(b.endpoints[0].Addr)
	eventually(t, "changes from the catalogue", func() bool { return r.Directory().Endpoints == 5 })
	r.Stop()
	file := filepath.Join(b.dir, "r.list")
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	b.Set(standin.CatalogFaults{Down: true})
	for name, broken := range map[string]string{"cut": string(text[:len(text)-9]),
		"flipped": strings.Replace(string(text), "p1", "p0", 1),
		"foreign": "{\"format\": \"x\"}\n", "other installation": ""} {
		if broken == "" {
			broken = string(text)
			b.Addr = strings.Replace(b.Addr, "127.0.0.1", "localhost", 1)
		}
		if err := os.WriteFile(file, []byte(broken), 0o600); err != nil {
			t.Fatal(err)
		}
		r := b.start("r", relay.Hooks{})
		time.Sleep(30 * ms)
		if n := r.Directory().Endpoints; n != 0 {
			t.Errorf("%s: %d endpoints", name, n)
		}
		r.Stop()
	}
}

// Guards against wrong fleet sizes and shared indexes. A relay that joins counts at once;
// one that stops or is cut off counts until the loss delay has passed; each relay has an
// index of its own.
func TestFleetMembershipChanges(t *testing.T) {
	b := newConsulBed(t, 1, 1, `fleet: {ttl: "300ms", late: "700ms", hold: "1m"}`)
	var all []*relay.Relay
	for i := range 4 {
		all = append(all, b.start(fmt.Sprint("r", i), relay.Hooks{}))
	}
	fleetSize := func(n int) func() bool {
		return func() bool {
			seen := map[int]bool{}
			for _, r := range all {
				d := r.Directory()
				if seen[d.Index] = true; d.Fleet != n {
					return false
				}
			}
			return len(seen) == len(all)
		}
	}
	eventually(t, "four", fleetSize(4))
	stopped := time.Now()
	all[0].Stop()
	all = all[1:]
	eventually(t, "three", fleetSize(3))
	if removedAfter := time.Since(stopped); removedAfter < 700*ms {
		t.Errorf("the stopped relay was removed after %v, before the loss delay of 700 ms", removedAfter)
	}
	all = append(all, b.start("r9", relay.Hooks{}))
	eventually(t, "four again", fleetSize(4))
}
