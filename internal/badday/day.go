package badday

import (
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"basaltcross.example/basaltcross/internal/keys"
	"basaltcross.example/basaltcross/internal/standin"

	"basaltcross.example/basaltcross/internal/pause"
)

// Options of a run.
type Options struct {
	Binary string   // the program to start relays with
	Env    []string // added to their environment
	Plant  string   // a fault for all relays
	Out    io.Writer
	Keep   string // folder for configurations and logs; empty for one that is removed
	// AcknowledgeEvery is the time between the MQTT clients' batches of acknowledgements; 0
	// for clients that acknowledge each answer at once.
	AcknowledgeEvery time.Duration
}

// Figures of the day's deployment; all of it is on loopback.
const (
	aim         = time.Second
	deadline    = 4 * time.Second
	window      = 6 * time.Second
	drainGrace  = time.Second
	fall        = time.Second
	cold        = 4 * time.Second
	coldFrom    = 0.25
	factor      = 2.0
	orderSettle = 50 * time.Millisecond
	service     = 20 * time.Millisecond
	roomy       = 1.5 // a partner's limit over its part of the traffic
	mostCalls   = 2_000_000
)

type day struct {
	opt      Options
	script   Script
	dir      string
	until    time.Time // nothing is handed in after it
	rand     *rand.Rand
	rec      *standin.Recorder
	partners []*standin.Partner
	relays   []*relayProc
	senders  []*sender
	trust    *tls.Config
	consul   *standin.Consul // nil where the list is a file

	mu     sync.Mutex
	ends   []*end
	broken bool    // the list file is broken now
	rate   float64 // factor
	hot    float64 // share of messages of one key at the first partner
	caller float64 // share of messages from the first client
}

// end is one endpoint with its place on the list.
type end struct {
	*standin.Endpoint
	state  string
	told   time.Time         // the list said draining or gone from then on
	second *standin.Endpoint // a second address of the same endpoint, nil for none
}

// relayProc is one relay process.
type relayProc struct {
	day    *day
	index  int
	config string
	listen string
	origin string // of its Web Push front
	mu     sync.Mutex
	cmd    *exec.Cmd
	done   chan struct{}
	kills  []time.Time
	stops  []time.Time
	stalls [][2]time.Time
	isDown bool
}

func (r *relayProc) addr() string { return r.listen }

func (r *relayProc) name() string { return fmt.Sprintf("relay-%d", r.index) }

func (r *relayProc) down() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isDown
}

func (r *relayProc) killedAfter(t time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.kills) > 0 && r.kills[len(r.kills)-1].After(t)
}

// start runs the process and waits until it listens.
func (r *relayProc) start() error {
	d := r.day
	ready := r.config + ".ready"
	_ = os.Remove(ready)
	args := []string{"relay", "--config", r.config, "--ready-file", ready}
	if d.opt.Plant != "" {
		args = append(args, "--plant", d.opt.Plant)
	}
	cmd := exec.Command(d.opt.Binary, args...)
	cmd.Env = append(os.Environ(), d.opt.Env...)
	logFile, err := os.OpenFile(r.config+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logFile.Close()
	cmd.Stdout, cmd.Stderr = logFile, logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("badday: %w", err)
	}
	done := make(chan struct{})
	go func() { _ = cmd.Wait(); close(done) }()
	for range 400 {
		if text, err := os.ReadFile(ready); err == nil {
			r.mu.Lock()
			r.cmd, r.done, r.isDown = cmd, done, false
			r.listen = strings.Fields(string(text))[0]
			r.mu.Unlock()
			return nil
		}
		select {
		case <-done:
			text, _ := os.ReadFile(r.config + ".log")
			return fmt.Errorf("badday: %s did not start:\n%s", r.name(), text)
		case <-time.After(25 * time.Millisecond):
		}
	}
	_ = cmd.Process.Kill()
	return fmt.Errorf("badday: %s was not up after 10 s", r.name())
}

// stop ends the process with a signal and waits for it.
func (r *relayProc) stop(sig syscall.Signal) {
	r.mu.Lock()
	cmd, done := r.cmd, r.done
	r.isDown = true
	if sig == syscall.SIGKILL {
		r.kills = append(r.kills, time.Now())
	} else {
		r.stops = append(r.stops, time.Now())
	}
	r.mu.Unlock()
	_ = cmd.Process.Signal(sig)
	select {
	case <-done:
	case <-time.After(15 * time.Second):
		_ = cmd.Process.Kill()
		<-done
	}
}

// stall stops the process for a while.
func (r *relayProc) stall(ctx context.Context, d time.Duration) {
	r.mu.Lock()
	cmd := r.cmd
	r.mu.Unlock()
	from := time.Now()
	_ = cmd.Process.Signal(syscall.SIGSTOP)
	pause.For(ctx, d)
	_ = cmd.Process.Signal(syscall.SIGCONT)
	r.mu.Lock()
	r.stalls = append(r.stalls, [2]time.Time{from, time.Now()})
	r.mu.Unlock()
}

// weight of a partner's part of the traffic: a few get much.
func weight(i int) float64 { return 1 / float64(i+1) }

func (d *day) share(i int) float64 {
	sum := 0.0
	for j := range d.script.Partners {
		sum += weight(j)
	}
	return weight(i) / sum
}

func (d *day) newEnd(p *standin.Partner) (*end, error) {
	e, err := standin.Start("127.0.0.1:0", p, d.rec)
	if err != nil {
		return nil, err
	}
	n := &end{Endpoint: e, state: "ready"}
	if d.twoAddresses() {
		if n.second, err = standin.Start("[::1]:0", p, d.rec); err != nil {
			return nil, err
		}
	}
	d.mu.Lock()
	d.ends = append(d.ends, n)
	d.mu.Unlock()
	return n, nil
}

// twoAddresses tells whether the script strikes addresses: then each endpoint has two.
func (d *day) twoAddresses() bool {
	return slices.ContainsFunc(d.script.Troubles, func(t Trouble) bool { return t.Name == "address_dead" })
}

// instance is an endpoint as the catalogue has it.
func (e *end) instance(draining bool) standin.Instance {
	host, port, _ := net.SplitHostPort(e.Addr)
	n, _ := strconv.Atoi(port)
	i := standin.Instance{ID: e.Addr, Service: e.Partner.Name, Address: host, Port: n, Check: "passing",
		Meta: map[string]string{"rate": fmt.Sprint(e.Partner.Model.Rate)}}
	if draining {
		i.Meta["state"] = "draining"
	}
	return i
}

// register puts the endpoints into the catalogue.
func (d *day) register() {
	d.mu.Lock()
	var has []standin.Instance
	var gone []string
	for _, e := range d.ends {
		if e.state == "gone" {
			gone = append(gone, e.Addr)
		} else {
			has = append(has, e.instance(e.state == "draining"))
		}
	}
	d.mu.Unlock()
	d.consul.Put(has...)
	d.consul.Delete(gone...)
}

// list writes the endpoint list, whole, by renaming.
func (d *day) list() error {
	if d.consul != nil {
		d.register()
		return nil
	}
	d.mu.Lock()
	var b bytes.Buffer
	b.WriteString("endpoints: [\n")
	for _, e := range d.ends {
		if e.state != "gone" {
			addrs := ""
			if e.second != nil {
				addrs = fmt.Sprintf(", addrs: [%q, %q]", e.second.Addr, e.Addr)
			}
			fmt.Fprintf(&b, "\t{addr: %q, partner: %q, rate: %.1f, state: %q%s},\n", e.Addr, e.Partner.Name,
				e.Partner.Model.Rate, e.state, addrs)
		}
	}
	b.WriteString("]\n")
	if d.broken {
		b.Reset()
		b.WriteString("endpoints: [{addr: ")
	}
	d.mu.Unlock()
	path := filepath.Join(d.dir, "list.cue")
	if err := os.WriteFile(path+".new", b.Bytes(), 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// set changes an endpoint's state on the list; list makes it known.
func (d *day) set(e *end, state string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e.state == "ready" && state != "ready" {
		e.told = time.Now()
	}
	e.state = state
}

func (d *day) endsOf(p *standin.Partner) (out []*end) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.ends {
		if e.Partner == p && e.state == "ready" {
			out = append(out, e)
		}
	}
	return
}

// Run plays a script and audits it.
func Run(ctx context.Context, s Script, opt Options) (*Report, error) {
	d := &day{opt: opt, script: s, dir: opt.Keep, rand: rand.New(rand.NewPCG(s.Seed, 2)),
		rec: standin.NewRecorder(mostCalls), rate: 1}
	if d.dir == "" {
		dir, err := os.MkdirTemp("", "basaltcross-day-")
		if err != nil {
			return nil, err
		}
		defer os.RemoveAll(dir)
		d.dir = dir
	}
	if s.Catalogue {
		var err error
		if d.consul, err = standin.StartConsul(); err != nil {
			return nil, err
		}
		defer d.consul.Close()
	}
	if err := d.makeKeys(); err != nil {
		return nil, err
	}
	for i := range s.Partners {
		limit := max(4, s.Rate*d.share(i)*roomy)
		p := standin.NewPartner(fmt.Sprintf("p%d", i), standin.Model{Service: service, ServiceJitter: 0.5, Rate: limit,
			SendsRetryAfter: i%2 == 0, DedupWindow: window, RampUpFrom: coldFrom, RampUp: cold, OverloadFactor: factor, OverloadTime: fall,
			Capacity: limit}, s.Seed+uint64(i))
		d.partners = append(d.partners, p)
		for range 2 {
			if _, err := d.newEnd(p); err != nil {
				return nil, err
			}
		}
	}
	defer func() {
		for _, e := range d.ends {
			if e.Close(); e.second != nil {
				e.second.Close()
			}
		}
	}()
	if err := d.list(); err != nil {
		return nil, err
	}
	for i := range s.Relays {
		r := &relayProc{day: d, index: i, config: filepath.Join(d.dir, fmt.Sprintf("relay-%d.cue", i))}
		d.relays = append(d.relays, r)
		// A fixed port, so that a relay returns where its clients look for it.
		port, err := freePort()
		if err != nil {
			return nil, err
		}
		r.listen = fmt.Sprintf("127.0.0.1:%d", port)
		if port, err = freePort(); err != nil {
			return nil, err
		}
		r.origin = fmt.Sprintf("https://127.0.0.1:%d", port)
		if err := os.WriteFile(r.config, []byte(d.config(r)), 0o600); err != nil {
			return nil, err
		}
		if err := r.start(); err != nil {
			return nil, err
		}
		defer func() {
			if !r.down() {
				r.stop(syscall.SIGTERM)
			}
		}()
	}
	day, cancel := context.WithCancel(ctx)
	defer cancel()
	begin := time.Now()
	d.until = begin.Add(s.Lasts.D())
	var clients, troubles sync.WaitGroup
	for i := range s.Clients {
		c, err := newSender(d, i)
		if err != nil {
			return nil, err
		}
		d.senders = append(d.senders, c)
		clients.Go(func() { c.run(day) })
	}
	for _, t := range s.Troubles {
		troubles.Go(func() {
			pause.For(day, time.Until(begin.Add(t.At.D())))
			fmt.Fprintf(opt.Out, "%6.1f s  %s for %v\n", time.Since(begin).Seconds(), t.Name, t.For.D())
			d.trouble(day, t)
		})
	}
	d.traffic(day)
	troubles.Wait()
	pause.For(day, deadline+time.Second) // what is owed comes by then
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	cancel()
	clients.Wait()
	return d.audit(), nil
}

// makeKeys makes an authority and the relays' certificate.
func (d *day) makeKeys() error {
	a, err := keys.NewAuthority("bad day", time.Hour)
	if err != nil {
		return err
	}
	d.trust = &tls.Config{RootCAs: a.CertPool()}
	_, _, err = a.Issue(d.dir, "server", time.Now().Add(-time.Minute), time.Now().Add(time.Hour), "127.0.0.1")
	return err
}

func freePort() (int, error) {
	p := standin.NewPartner("port", standin.Model{}, 0)
	e, err := standin.Start("127.0.0.1:0", p, standin.NewRecorder(0))
	if err != nil {
		return 0, err
	}
	e.Close()
	var port int
	_, err = fmt.Sscanf(e.Addr[strings.LastIndex(e.Addr, ":")+1:], "%d", &port)
	return port, err
}

// traffic hands messages to the clients, by chance and at the script's rate.
func (d *day) traffic(ctx context.Context) {
	at := time.Now()
	for n := 0; ctx.Err() == nil; n++ {
		d.mu.Lock()
		rate, hot, caller := d.rate, d.hot, d.caller
		d.mu.Unlock()
		at = at.Add(time.Duration(d.rand.ExpFloat64() / (d.script.Rate * rate) * float64(time.Second)))
		if at.After(d.until) {
			return
		}
		pause.For(ctx, time.Until(at))
		s := d.senders[d.rand.IntN(len(d.senders))]
		if d.rand.Float64() < caller {
			s = d.senders[0]
		}
		h := &handIn{id: fmt.Sprintf("%s-%d", s.name, n), client: s.name, try: 1}
		p, left := 0, d.rand.Float64()
		for p < d.script.Partners-1 && left > d.share(p) {
			left -= d.share(p)
			p++
		}
		switch c := d.rand.Float64(); {
		case c < 0.5:
			h.class = "status"
		case c < 0.7:
			h.class = "order"
		default:
			h.class = "charge"
			h.key = fmt.Sprintf("%s/%d", s.name, d.rand.IntN(3))
		}
		if d.rand.Float64() < hot {
			p, h.class, h.key = 0, "charge", s.name+"/hot"
		}
		h.partner = fmt.Sprintf("p%d", p)
		s.queue <- h
	}
}

// directory is where a relay has its list from.
func (d *day) directory(r *relayProc) string {
	if d.consul == nil {
		return `directory: file: "list.cue"`
	}
	var services []string
	for i := range d.script.Partners {
		services = append(services, fmt.Sprintf("{service: \"p%d\", partner: \"p%d\"}", i, i))
	}
	return fmt.Sprintf(`directory: {saved: "saved-%d.list", believe: "20s", consul: [{address: %q, wait: "2s", services: [%s]}]}
fleet: {ttl: "1s", late: "3s"}`, r.index, d.consul.Addr, strings.Join(services, ", "))
}

func (d *day) config(r *relayProc) string {
	var b bytes.Buffer
	fmt.Fprintf(&b, `relay: {name: %q, index: %d, fleet: %d, workers: 32, held: 600, attempts: 6, listedRates: true,
	maxRetryAfter: "2s", connIdle: "5s", shutdown: "3s"}
classes: [
	{name: "status", aim: %q, deadline: %q, worth: 1, lateShare: 0.3, effect: "safe"},
	{name: "order", aim: %q, deadline: %q, worth: 2, lateShare: 0.3, effect: "keyed", window: %q},
	{name: "charge", aim: %q, deadline: %q, worth: 5, lateShare: 0.3, effect: "unsafe", ordered: true},
]
kinds: [{name: "bank", refusalNeverRan: true}]
rules: {drainGrace: %q, fall: %q, cold: %q, coldFrom: %g, overloadFactor: %g, orderSettle: %q}
%s
mqtt: {listen: [%q], sessionExpiry: "2m"}
webpush: {tlsListen: [%q], tls: {cert: "server.pem", key: "server.key"}, audience: [%q]}
partners: [
`, r.name(), r.index, d.script.Relays, aim, deadline, aim, deadline, window, aim, deadline, drainGrace, fall, cold,
		coldFrom, factor, orderSettle, d.directory(r), r.listen, strings.TrimPrefix(r.origin, "https://"), r.origin)
	for i := range d.script.Partners {
		fmt.Fprintf(&b, "\t{name: \"p%d\", kind: \"bank\"},\n", i)
	}
	b.WriteString("]\n")
	return b.String()
}
