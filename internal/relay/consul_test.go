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

// consulBed is partners with endpoints, all in a stand-in catalogue.
type consulBed struct {
	*standin.Consul
	t    *testing.T
	rec  *standin.Recorder
	ends []*standin.Endpoint
	n    int // partners
	dir  string
	more string // configuration besides
}

func newConsulBed(t *testing.T, partners, each int, more string) *consulBed {
	t.Helper()
	c, err := standin.StartConsul()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	b := &consulBed{Consul: c, t: t, rec: standin.NewRecorder(1 << 20), n: partners, dir: t.TempDir(), more: more}
	for i := range partners {
		p := standin.NewPartner(fmt.Sprint("p", i), standin.Model{Service: 2 * ms, DedupWindow: 10 * time.Second}, uint64(i))
		for range each {
			e, err := standin.Start("127.0.0.1:0", p, b.rec)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(e.Close)
			b.ends = append(b.ends, e)
		}
	}
	b.put("", b.ends...)
	return b
}

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

// start brings a relay up that follows the catalogue.
func (b *consulBed) start(name string, hooks relay.Hooks) *relay.Relay {
	b.t.Helper()
	var services []string
	for i := range b.n {
		services = append(services, fmt.Sprintf("{service: \"p%d\", partner: \"p%d\"}", i, i))
	}
	text := testutil.ConfigText("", b.n, fmt.Sprintf(`relay: {name: %q, workers: 64, held: 20000}
directory: {saved: %q, believe: "30s", gone: "300ms", consul: [{address: %q, wait: "2s", services: [%s]}]}
%s`, name, filepath.Join(b.dir, name+".list"), b.Addr, strings.Join(services, ", "), b.more))
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

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !f(); time.Sleep(2 * ms) {
		if time.Now().After(end) {
			t.Fatal("never came: ", what)
		}
	}
}

// load hands in status messages to all partners until stop is closed; it returns
// how many, once they are answered, and the answers.
func (b *consulBed) load(r *relay.Relay, who string, pause time.Duration, stop <-chan struct{}) (n int, answers map[string]int) {
	in := newInbox()
	c, err := client.Dial(testutil.Context(b.t), r.Addrs()[0], client.Options{ID: who, Expiry: 600, OnAnswer: in.on})
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
		if err := c.Send(testutil.Context(b.t), client.Message{ID: fmt.Sprint(n), Class: "status", Partner: fmt.Sprint("p", n%b.n)}); err != nil {
			b.t.Error(err)
			return
		}
	}
}

// Whatever the catalogue does, the last good list stands: every message is
// delivered; it is not asked in a spin; and when it is well again a change arrives.
func TestCatalogueTroubles(t *testing.T) {
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
	extra, err := standin.Start("127.0.0.1:0", b.ends[0].Partner, b.rec)
	if err != nil {
		t.Fatal(err)
	}
	defer extra.Close()
	for name, trouble := range map[string]standin.CatalogFaults{"down": {Down: true}, "500": {Status: 500},
		"429": {Status: 429}, "403": {Status: 403}, "hang": {Hang: true}, "cut": {Truncate: true}, "slow": {Slow: 100 * ms},
		"empty": {Empty: true}, "half": {OmitHalf: true}, "instant": {NonBlocking: true}, "no leader": {NoLeader: true, Empty: true},
		"stale": {LastContact: time.Hour, Empty: true}, "index back": {Index: 1, OmitHalf: true}, "index none": {Index: 0, NonBlocking: true, OmitHalf: true}} {
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
		// Well again: what changes now comes through.
		b.put("", extra)
		eventually(t, name+": an endpoint more", func() bool { return r.Directory().Endpoints == 13 })
		b.Delete(extra.Addr)
		eventually(t, name+": and one less", func() bool { return r.Directory().Endpoints == 12 })
	}
	close(stop)
	done.Wait()
}

// heard notes when the relay heard of each drain.
type heard struct {
	directory.Sink
	mu sync.Mutex
	at map[string]time.Time
}

func (h *heard) List(l choice.HostUpdate) {
	h.mu.Lock()
	for _, e := range l.Hosts {
		if e.State != choice.Ready {
			h.at[e.Addr] = time.Now()
		}
	}
	h.mu.Unlock()
	h.Sink.List(l)
}

// Thousands of drains under load: no first byte of a request at an endpoint
// later than a second after the relay heard of its drain.
func TestDrainsHeeded(t *testing.T) {
	const partners, each, rounds = 10, 100, 4 // each endpoint twice: one that flaps more is held back
	b := newConsulBed(t, partners, each, "")
	h := &heard{at: map[string]time.Time{}}
	r := b.start("r", relay.Hooks{Sink: func(s directory.Sink) directory.Sink { h.Sink = s; return h }})
	eventually(t, "the list", func() bool { return r.Directory().Endpoints == partners*each })
	stop := make(chan struct{})
	var done sync.WaitGroup
	for i := range 8 {
		done.Go(func() { b.load(r, fmt.Sprint("c", i), 100*time.Microsecond, stop) })
	}
	var latest, hearing time.Duration
	drains := 0
	for round := range rounds {
		var some []*standin.Endpoint
		for i, e := range b.ends {
			if i%2 == round%2 {
				some = append(some, e)
			}
		}
		h.mu.Lock()
		clear(h.at)
		h.mu.Unlock()
		told := time.Now()
		b.put("draining", some...)
		eventually(t, "all heard", func() bool {
			h.mu.Lock()
			defer h.mu.Unlock()
			n := 0
			for _, e := range some {
				if !h.at[e.Addr].IsZero() {
					n++
				}
			}
			return n == len(some)
		})
		time.Sleep(200 * ms)
		over := time.Now()
		b.put("", some...)
		h.mu.Lock()
		last := map[string]time.Time{}
		for _, k := range b.rec.Calls() {
			if k.Start.After(last[k.Endpoint]) && k.Start.Before(over) {
				last[k.Endpoint] = k.Start
			}
		}
		for _, e := range some {
			drains++
			hearing = max(hearing, h.at[e.Addr].Sub(told))
			latest = max(latest, last[e.Addr].Sub(h.at[e.Addr]))
		}
		h.mu.Unlock()
	}
	close(stop)
	done.Wait()
	t.Logf("%d drains under %d calls: heard within %v, last first byte %v after that", drains, len(b.rec.Calls()), hearing, latest)
	if latest > time.Second {
		t.Errorf("a request %v after its drain was heard", latest)
	}
}

// A relay starts with the list it had while the catalogue is away; not with a
// damaged one, nor with one of another installation, and says so.
func TestStartsWhileAway(t *testing.T) {
	b := newConsulBed(t, 2, 3, "")
	r := b.start("r", relay.Hooks{})
	eventually(t, "the list", func() bool { return r.Directory().Endpoints == 6 })
	r.Stop()
	b.Set(standin.CatalogFaults{Down: true})
	r = b.start("r", relay.Hooks{})
	eventually(t, "the old list", func() bool { return r.Directory().Endpoints == 6 })
	stop := make(chan struct{})
	time.AfterFunc(300*ms, func() { close(stop) })
	if n, answers := b.load(r, "c", ms, stop); n == 0 || answers["delivered"] != n {
		t.Errorf("%d messages, answers %v", n, answers)
	}
	b.Set(standin.CatalogFaults{})
	b.Delete(b.ends[0].Addr)
	eventually(t, "news again", func() bool { return r.Directory().Endpoints == 5 })
	r.Stop()
	file := filepath.Join(b.dir, "r.list")
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	b.Set(standin.CatalogFaults{Down: true})
	for name, broken := range map[string]string{"cut": string(text[:len(text)-9]), "flipped": strings.Replace(string(text), "p1", "p0", 1),
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

// Relays find each other: one that joins counts at once, one that stops or is
// cut off counts a while longer, and each has a number of its own.
func TestFleetFollowed(t *testing.T) {
	b := newConsulBed(t, 1, 1, `fleet: {ttl: "300ms", late: "700ms", hold: "1m"}`)
	var all []*relay.Relay
	for i := range 4 {
		all = append(all, b.start(fmt.Sprint("r", i), relay.Hooks{}))
	}
	see := func(n int) func() bool {
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
	eventually(t, "four", see(4))
	stopped := time.Now()
	all[0].Stop()
	all = all[1:]
	eventually(t, "three", see(3))
	if late := time.Since(stopped); late < 700*ms {
		t.Errorf("told after %v", late)
	}
	all = append(all, b.start("r9", relay.Hooks{}))
	eventually(t, "four again", see(4))
}
