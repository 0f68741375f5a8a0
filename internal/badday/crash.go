package badday

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"basaltcross.example/basaltcross/internal/client"
	"basaltcross.example/basaltcross/internal/keys"
	"basaltcross.example/basaltcross/internal/standin"

	"basaltcross.example/basaltcross/internal/pause"
)

// CrashOptions of a run in which one relay with a journal is killed again and again.
type CrashOptions struct {
	Binary  string
	Plant   string
	Kills   int
	Seed    uint64
	Clients int
	Out     io.Writer
	Keep    string // folder for configuration, journal and log; empty for one that is removed
}

// CrashReport is what came of it; all but the first five must be 0.
type CrashReport struct {
	Kills    int            `json:"kills"`
	Early    int            `json:"kills_during_start"`
	Taken    int            `json:"taken"`
	Answers  map[string]int `json:"answers"`
	Calls    int            `json:"calls"`
	Twice    int            `json:"charges_with_two_effects"`
	Again    int            `json:"charges_sent_again"`
	Lost     int            `json:"taken_and_never_answered"`
	Changed  int            `json:"answers_that_changed"`
	Disorder int            `json:"order_broken"`
	Untrue   int            `json:"delivered_without_effect"`
	Examples []string       `json:"examples,omitempty"`
}

// Broken counts the promises that were broken.
func (r *CrashReport) Broken() int {
	return r.Twice + r.Again + r.Lost + r.Changed + r.Disorder + r.Untrue
}

func (r *CrashReport) fail(n *int, format string, args ...any) {
	if *n++; len(r.Examples) < 10 {
		r.Examples = append(r.Examples, fmt.Sprintf(format, args...))
	}
}

const (
	crashDeadline = 6 * time.Second
	crashWindow   = 20 * time.Second
)

// crashClient hands messages in one after the other; one that was not taken for
// certain comes again, on the next connection, under its own name.
type crashClient struct {
	name string
	push *client.PushSession // nil for MQTT
	mu   sync.Mutex
	got  map[string][]string // answers by message
	sent []string            // taken, in order
}

func (c *crashClient) on(a client.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.got[a.ID] = append(c.got[a.ID], a.Outcome)
}

func (c *crashClient) waits() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(c.sent, func(id string) bool { return len(c.got[id]) == 0 })
}

// run until stop is closed and all that was taken is answered, or ctx ends.
func (c *crashClient) run(ctx context.Context, addr, origin string, trust *tls.Config, seed uint64, stop <-chan struct{}) {
	chance := rand.New(rand.NewPCG(seed, 1))
	n := 0
	stopping := func() bool {
		select {
		case <-stop:
			return true
		default:
			return false
		}
	}
	next := func() client.Message {
		n++
		m := client.Message{ID: fmt.Sprintf("%s-%d", c.name, n), Class: []string{"status", "order", "charge", "charge"}[chance.IntN(4)],
			Partner: fmt.Sprint("p", chance.IntN(4)), QoS: byte(1 + chance.IntN(2))}
		if m.Class == "charge" {
			m.Key = fmt.Sprintf("%s/%d", c.name, chance.IntN(2))
			m.Partner = "p" + m.Key[len(m.Key)-1:]
		}
		m.Body = fmt.Appendf(nil, "%s %d %s", m.ID, n, m.Key)
		return m
	}
	m := next()
	for ctx.Err() == nil && (!stopping() || c.waits()) {
		dial, cancel := context.WithTimeout(ctx, 3*time.Second)
		var cl carrier
		var err error
		if c.push != nil {
			cl, err = client.DialPush(origin, trust, c.push, c.on)
		} else {
			cl, err = client.Dial(dial, addr, client.Options{ID: c.name, Expiry: 600, OnAnswer: c.on})
		}
		cancel()
		if err != nil {
			pause.For(ctx, 10*time.Millisecond)
			continue
		}
		lost := false
		for !lost && ctx.Err() == nil && (!stopping() || c.waits()) {
			if stopping() {
				select {
				case <-cl.Lost():
					lost = true
				case <-time.After(20 * time.Millisecond):
				}
				continue
			}
			send, cancel := context.WithTimeout(ctx, 5*time.Second)
			go func() {
				select {
				case <-cl.Lost():
					cancel()
				case <-send.Done():
				}
			}()
			err := cl.Send(send, m)
			cancel()
			if err == nil {
				c.mu.Lock()
				c.sent = append(c.sent, m.ID)
				c.mu.Unlock()
				m = next()
				pause.For(ctx, time.Duration(chance.ExpFloat64()*float64(3*time.Millisecond)))
			} else {
				lost = true
			}
		}
		cl.Cut()
		if lost && c.push != nil { // the client itself looks again only when it sends
			pause.For(ctx, 5*time.Millisecond)
		}
	}
}

// Crash kills a relay again and again under load and audits what it promised.
func Crash(ctx context.Context, opt CrashOptions) (*CrashReport, error) {
	dir := opt.Keep
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "basaltcross-crash-"); err != nil {
			return nil, err
		}
		defer os.RemoveAll(dir)
	}
	chance := rand.New(rand.NewPCG(opt.Seed, 2))
	rec := standin.NewRecorder(mostCalls)
	var list strings.Builder
	for i := range 4 {
		p := standin.NewPartner(fmt.Sprint("p", i), standin.Model{Service: 4 * time.Millisecond, ServiceJitter: 0.9, DedupWindow: crashWindow}, opt.Seed)
		for range 2 {
			e, err := standin.Start("127.0.0.1:0", p, rec)
			if err != nil {
				return nil, err
			}
			defer e.Close()
			e.Set(standin.Faults{LostResponses: 0.01, Errors: 0.03, TailShare: 0.05, TailFactor: 20})
			fmt.Fprintf(&list, "{addr: %q, partner: %q},\n", e.Addr, p.Name)
		}
	}
	port, err := freePort()
	if err != nil {
		return nil, err
	}
	pushPort, err := freePort()
	if err != nil {
		return nil, err
	}
	authority, err := keys.NewAuthority("crash", time.Hour)
	if err != nil {
		return nil, err
	}
	if _, _, err := authority.Issue(dir, "server", time.Now().Add(-time.Minute), time.Now().Add(time.Hour), "127.0.0.1"); err != nil {
		return nil, err
	}
	trust := &tls.Config{RootCAs: authority.CertPool()}
	addr, origin := fmt.Sprintf("127.0.0.1:%d", port), fmt.Sprintf("https://127.0.0.1:%d", pushPort)
	config := filepath.Join(dir, "relay.cue")
	text := fmt.Sprintf(`relay: {name: "crash", workers: 64, held: 2000, shutdown: "1s", maxRetryAfter: "2s"}
classes: [
	{name: "status", aim: "1s", deadline: %q, effect: "safe"},
	{name: "order", aim: "1s", deadline: %q, worth: 2, effect: "keyed", window: %q},
	{name: "charge", aim: "1s", deadline: %q, worth: 5, effect: "unsafe", ordered: true},
]
kinds: [{name: "bank", refusalNeverRan: true}]
partners: [for i in [0, 1, 2, 3] {name: "p\(i)", kind: "bank"}]
rules: {fall: "1s", cold: "3s", orderSettle: "10ms"}
journal: dir: "journal"
directory: file: "list.cue"
mqtt: listen: [%q]
webpush: {tlsListen: [%q], tls: {cert: "server.pem", key: "server.key"}, audience: [%q]}
`, crashDeadline, crashDeadline, crashWindow, crashDeadline, addr, strings.TrimPrefix(origin, "https://"), origin)
	if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
		return nil, err
	}
	if err := os.WriteFile(filepath.Join(dir, "list.cue"), []byte("endpoints: [\n"+list.String()+"]\n"), 0o600); err != nil {
		return nil, err
	}
	run, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := make(chan struct{})
	var clients []*crashClient
	var done sync.WaitGroup
	for i := range opt.Clients {
		c := &crashClient{name: fmt.Sprint("c", i), got: map[string][]string{}}
		if i%3 == 2 {
			if c.push, err = client.NewPushSession(); err != nil {
				return nil, err
			}
		}
		clients = append(clients, c)
		done.Go(func() { c.run(run, addr, origin, trust, opt.Seed+uint64(i), stop) })
	}
	r := &CrashReport{Answers: map[string]int{}}
	log, err := os.Create(filepath.Join(dir, "relay.log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	start := func() (*exec.Cmd, error) {
		args := []string{"relay", "--config", config, "--ready-file", filepath.Join(dir, "ready")}
		if opt.Plant != "" {
			args = append(args, "--plant", opt.Plant)
		}
		_ = os.Remove(filepath.Join(dir, "ready"))
		cmd := exec.Command(opt.Binary, args...)
		cmd.Stdout, cmd.Stderr = log, log
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		return cmd, cmd.Start()
	}
	up := func() bool {
		for range 1000 {
			if _, err := os.Stat(filepath.Join(dir, "ready")); err == nil {
				return true
			}
			pause.For(ctx, 5*time.Millisecond)
		}
		return false
	}
	for r.Kills < opt.Kills && ctx.Err() == nil {
		cmd, err := start()
		if err != nil {
			return nil, err
		}
		if early := chance.IntN(10) == 0; early { // while it starts and recovers
			r.Early++
			pause.For(ctx, time.Duration(chance.Float64()*float64(60*time.Millisecond)))
		} else {
			if !up() {
				_ = cmd.Process.Kill()
				_ = cmd.Wait()
				out, _ := os.ReadFile(log.Name())
				return nil, fmt.Errorf("badday: the relay did not come up:\n%s", out[max(0, len(out)-2000):])
			}
			pause.For(ctx, time.Duration(chance.ExpFloat64()*float64(150*time.Millisecond)))
		}
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		if r.Kills++; r.Kills%50 == 0 {
			fmt.Fprintf(opt.Out, "killed %d times, %d calls so far\n", r.Kills, len(rec.Calls()))
		}
	}
	cmd, err := start()
	if err != nil {
		return nil, err
	}
	if !up() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		return nil, errors.New("badday: the relay did not come up after the last kill")
	}
	close(stop)
	time.AfterFunc(3*crashDeadline, cancel) // what is owed comes by then
	done.Wait()
	_ = cmd.Process.Signal(syscall.SIGTERM)
	_ = cmd.Wait()
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	r.audit(clients, rec.Calls())
	return r, nil
}

// audit goes by what clients and stand-ins saw.
func (r *CrashReport) audit(clients []*crashClient, calls []standin.Call) {
	r.Calls = len(calls)
	byID := map[string][]standin.Call{}
	type last struct {
		n  int
		id string
	}
	newest := map[string]last{}
	slices.SortFunc(calls, func(a, b standin.Call) int { return a.Start.Compare(b.Start) })
	for _, c := range calls {
		var id, key string
		var n int
		if k, _ := fmt.Sscanf(c.Body, "%s %d %s", &id, &n, &key); k < 2 {
			continue
		}
		byID[id] = append(byID[id], c)
		if key != "" {
			if was := newest[key]; n < was.n {
				r.fail(&r.Disorder, "%s: %s went out after %s", key, id, was.id)
			} else {
				newest[key] = last{n, id}
			}
		}
	}
	for id, l := range byID {
		effects, ran := 0, false
		for _, c := range l {
			if ran && c.Class == "charge" {
				r.fail(&r.Again, "%s went out again though it may have run", id)
			}
			ran = ran || c.Outcome != standin.Refused
			if c.Effect {
				effects++
			}
		}
		if effects > 1 && l[0].Class == "charge" {
			r.fail(&r.Twice, "%s took effect %d times", id, effects)
		}
	}
	for _, c := range clients {
		for _, id := range c.sent {
			r.Taken++
			l := c.got[id]
			if len(l) == 0 {
				r.fail(&r.Lost, "%s was taken and never answered", id)
				continue
			}
			r.Answers[l[0]]++
			for _, a := range l[1:] {
				if a != l[0] {
					r.fail(&r.Changed, "%s: %s, then %s", id, l[0], a)
				}
			}
			if l[0] == "delivered" && !slices.ContainsFunc(byID[id], func(k standin.Call) bool { return k.Outcome == standin.Served || k.Outcome == standin.Repeat }) {
				r.fail(&r.Untrue, "%s: delivered, but no partner served it", id)
			}
		}
	}
}

// Print writes the report.
func (r *CrashReport) Print(w io.Writer) {
	fmt.Fprintf(w, "killed %d times, %d of them during the start; %d messages taken, answers %v, %d calls\n", r.Kills, r.Early,
		r.Taken, r.Answers, r.Calls)
	for _, l := range []struct {
		name string
		n    int
	}{{"charges with two effects", r.Twice}, {"charges sent again", r.Again}, {"taken and never answered", r.Lost},
		{"answers that changed", r.Changed}, {"order broken", r.Disorder}, {"delivered without effect", r.Untrue}} {
		fmt.Fprintf(w, "  %-28s %d\n", l.name, l.n)
	}
	for _, e := range r.Examples {
		fmt.Fprintf(w, "    %s\n", e)
	}
	fmt.Fprintf(w, "promises broken: %d\n", r.Broken())
}
