package load

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"basaltcross.example/basaltcross/internal/keys"
)

// Options configures a measurement.
type Options struct {
	Binary      string        // path of the program to measure
	Rate        float64       // messages/s of the open-loop runs
	Duration    time.Duration // duration of each run
	Window      int           // messages in flight at saturation
	Connections int           // number of client connections
	Idle        int           // number of idle MQTT connections; 0 skips their measurement
	Burst       int           // number of concurrent TLS handshakes; 0 skips their measurement
	Partners    int
	Service     time.Duration // service time of the stand-in
	Log         io.Writer     // receives the standard error of the child processes
}

// Report holds the figures of a measurement.
type Report struct {
	Results       []Result      `json:"results"`
	AddedP99      time.Duration `json:"added_p99_ns"`       // p99 of the relay (MQTT) minus that of direct calls, at Rate
	OverProxy     float64       `json:"over_proxy"`         // saturation throughput, relay / reverse proxy
	IdleBytes     int64         `json:"bytes_per_idle"`     // resident memory per idle connection
	IdleTLSBytes  int64         `json:"bytes_per_idle_tls"` // resident memory per idle TLS connection
	IdleMeasured  int           `json:"idle_connections"`   // number of idle connections measured
	Burst         int           `json:"burst"`              // number of concurrent handshakes started
	BurstOK       int           `json:"burst_ok"`           // number of them that completed
	BurstTook     time.Duration `json:"burst_ns"`           // time until the last of them completed
	Handshakes    float64       `json:"handshakes_per_s"`
	HandshakeCPU  time.Duration `json:"cpu_per_handshake_ns"` // CPU time of the relay per handshake
	RelayCapacity float64       `json:"relay_per_s"`          // delivered messages/s of the relay (MQTT) at saturation
}

// proc is a child process that is measured.
type proc struct {
	cmd      *exec.Cmd
	addrs    []string          // listen addresses without a label
	labelled map[string]string // last listen address of each label
}

// start starts a child process and waits up to 5 s for its ready file, which lists its listen addresses.
func (o *Options) start(ctx context.Context, dir, name string, args ...string) (*proc, error) {
	ready := filepath.Join(dir, name+".ready")
	cmd := exec.CommandContext(ctx, o.Binary, append(args, "--ready-file", ready)...)
	cmd.Stderr = o.Log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("load: %w", err)
	}
	for range 200 {
		if text, err := os.ReadFile(ready); err == nil {
			p := &proc{cmd: cmd, labelled: map[string]string{}}
			for line := range strings.Lines(string(text)) {
				if label, addr, ok := strings.Cut(strings.TrimSpace(line), " "); ok {
					p.labelled[label] = addr
				} else {
					p.addrs = append(p.addrs, label)
				}
			}
			return p, nil
		}
		time.Sleep(25 * time.Millisecond)
	}
	_ = cmd.Process.Kill()
	_ = cmd.Wait()
	return nil, fmt.Errorf("load: %s did not write its ready file within 5 s", name)
}

func (p *proc) stop() {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	_ = p.cmd.Wait()
}

// cpu returns the CPU time that the process has used, from /proc/PID/stat (see proc(5)), or 0 if
// it cannot be read.
func (p *proc) cpu() time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	f := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	u, _ := strconv.ParseInt(f[11], 10, 64)
	s, _ := strconv.ParseInt(f[12], 10, 64)
	return time.Duration(u+s) * time.Second / 100 // USER_HZ is 100 on Linux
}

// rss returns the resident memory of the process in bytes.
func (p *proc) rss() int64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			n, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return n << 10
		}
	}
	return 0
}

// measure runs f and adds the CPU time and memory of the process to its result.
func (p *proc) measure(f func() Result) Result {
	before := p.cpu()
	r := f()
	if r.OK > 0 {
		r.CPU = (p.cpu() - before) / time.Duration(r.OK)
	}
	r.RSS = p.rss()
	return r
}

// writeConfig writes the configuration of a relay and its list of endpoints to dir.
func (o *Options) writeConfig(dir, name string, accounting bool, ends []string) error {
	var b, list strings.Builder
	// The limits are high enough not to bind under the load, so that the figures show the capacity of
	// the machine rather than of a configuration.
	fmt.Fprintf(&b, `relay: {workers: %d, accounting: %v, held: 100000, attempts: 4}
classes: [{name: "status", aim: "2s", deadline: "10s", effect: "safe"}]
kinds: [{name: "fast", refusalNeverRan: true}]
limits: {arrivals: 100000, identities: {count: 1000000, keep: "5s"}}
mqtt: {listen: ["127.0.0.1:0"], tlsListen: ["127.0.0.1:0"], tls: {cert: "server.pem", key: "server.key"}, handshake: "60s", receiveMaximum: 65535, pending: 65535, connections: 30000, sessions: 30000}
webpush: {listen: ["127.0.0.1:0"], tlsListen: ["127.0.0.1:0"], tls: {cert: "server.pem", key: "server.key"},
	pending: 100000, messages: 400000}
partnerCalls: idlePerHost: 1024
directory: file: "list.cue"
log: level: "error"
partners: [
`, max(64, o.Window), accounting)
	list.WriteString("endpoints: [\n")
	for i, e := range ends {
		fmt.Fprintf(&b, "\t{name: \"p%d\", kind: \"fast\"},\n", i)
		fmt.Fprintf(&list, "\t{addr: %q, partner: \"p%d\"},\n", e, i)
	}
	b.WriteString("]\n")
	list.WriteString("]\n")
	if err := os.WriteFile(filepath.Join(dir, "list.cue"), []byte(list.String()), 0o600); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, name), []byte(b.String()), 0o600)
}

// Run starts a stand-in, a reverse proxy and two relays, one of them without accounting, as child
// processes and measures them one after the other.
func Run(ctx context.Context, o Options) (*Report, error) {
	dir, err := os.MkdirTemp("", "basaltcross-load-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	args := []string{"standin", "--quick", "--service", o.Service.String()}
	for range o.Partners {
		args = append(args, "--listen", "127.0.0.1:0")
	}
	host, err := o.start(ctx, dir, "standin", args...)
	if err != nil {
		return nil, err
	}
	defer host.stop()
	proxy, err := o.start(ctx, dir, "proxy", append([]string{"proxy"}, host.addrs...)...)
	if err != nil {
		return nil, err
	}
	defer proxy.stop()
	authority, err := keys.NewAuthority("load", time.Hour)
	if err != nil {
		return nil, err
	}
	if _, _, err := authority.Issue(dir, "server", time.Now().Add(-time.Minute),
		time.Now().Add(time.Hour), "127.0.0.1"); err != nil {
		return nil, err
	}
	tlsConfig := &tls.Config{RootCAs: authority.CertPool()}
	if err := o.writeConfig(dir, "relay.cue", true, host.addrs); err != nil {
		return nil, err
	}
	if err := o.writeConfig(dir, "uncounted.cue", false, host.addrs); err != nil {
		return nil, err
	}
	unaccounted, err := o.start(ctx, dir, "uncounted", "relay", "--config", filepath.Join(dir, "uncounted.cue"))
	if err != nil {
		return nil, err
	}
	defer unaccounted.stop()
	relay, err := o.start(ctx, dir, "relay", "relay", "--config", filepath.Join(dir, "relay.cue"))
	if err != nil {
		return nil, err
	}
	defer relay.stop()
	var topics, resources []string
	for i := range o.Partners {
		topics = append(topics, fmt.Sprintf("send/status/p%d", i))
		resources = append(resources, fmt.Sprintf("/push/status/p%d", i))
	}
	overMQTT := func(label string, tlsConfig *tls.Config) func(int) (sender, error) {
		addr := relay.addrs[0]
		if label != "" {
			addr = relay.labelled[label]
		}
		return func(n int) (sender, error) { return dialMQTT(addr, tlsConfig, min(n, o.Connections), "load", topics) }
	}
	overPush := func(label string, tlsConfig *tls.Config) func(int) (sender, error) {
		return func(n int) (sender, error) { return dialHTTP([]string{relay.labelled[label]}, tlsConfig, n, resources) }
	}
	type target struct {
		name string
		proc *proc
		dial func(int) (sender, error)
	}
	targets := []target{
		{"straight to the stand-in", host, func(n int) (sender, error) { return dialHTTP(host.addrs, nil, n, nil) }},
		{"net/http/httputil reverse proxy", proxy,
			func(n int) (sender, error) { return dialHTTP(proxy.addrs[:1], nil, n, nil) }},
		{"relay, MQTT", relay, overMQTT("", nil)},
		{"relay, MQTT, accounting off", unaccounted, func(n int) (sender, error) {
			return dialMQTT(unaccounted.addrs[0], nil, min(n, o.Connections), "load", topics)
		}},
		{"relay, MQTT over TLS", relay, overMQTT("mqtts", tlsConfig)},
		{"relay, Web Push", relay, overPush("webpush", nil)},
		{"relay, Web Push over TLS", relay, overPush("webpushs", tlsConfig)},
	}
	rep := &Report{}
	for _, t := range targets { // latency at the requested rate
		s, err := t.dial(max(o.Connections, 64))
		if err != nil {
			return nil, err
		}
		openLoop(ctx, "warm", s, o.Rate, min(time.Second, o.Duration))
		rep.Results = append(rep.Results,
			t.proc.measure(func() Result { return openLoop(ctx, t.name, s, o.Rate, o.Duration) }))
		s.close()
	}
	for _, t := range targets { // saturation
		s, err := t.dial(o.Window)
		if err != nil {
			return nil, err
		}
		saturate(ctx, "warm", s, o.Window, min(time.Second, o.Duration))
		rep.Results = append(rep.Results,
			t.proc.measure(func() Result { return saturate(ctx, t.name, s, o.Window, o.Duration) }))
		s.close()
	}
	rep.AddedP99 = rep.Results[2].P99 - rep.Results[0].P99
	saturated := rep.Results[len(targets):]
	rep.RelayCapacity = saturated[2].PerSec
	if p := saturated[1].PerSec; p > 0 {
		rep.OverProxy = rep.RelayCapacity / p
	}
	before := relay.cpu()
	if n := handshakes(ctx, relay.labelled["mqtts"], tlsConfig, 32, o.Duration); n > 0 {
		rep.Handshakes = float64(n) / o.Duration.Seconds()
		rep.HandshakeCPU = (relay.cpu() - before) / time.Duration(n)
	}
	if o.Burst > 0 {
		n, took := handshakeBurst(relay.labelled["mqtts"], tlsConfig, o.Burst, 60*time.Second)
		rep.Burst, rep.BurstOK, rep.BurstTook = o.Burst, int(n), took
	}
	if o.Idle > 0 {
		if rep.IdleMeasured, rep.IdleBytes, err = o.measureIdle(ctx, dir, nil); err != nil {
			return nil, err
		}
		if _, rep.IdleTLSBytes, err = o.measureIdle(ctx, dir, tlsConfig); err != nil {
			return nil, err
		}
	}
	return rep, ctx.Err()
}

// measureIdle opens idle connections to a separate relay without load. It returns their number and
// the resident memory for each in bytes.
func (o *Options) measureIdle(ctx context.Context, dir string, tlsConfig *tls.Config) (int, int64, error) {
	name := "idle"
	if tlsConfig != nil {
		name = "idle-tls"
	}
	relay, err := o.start(ctx, dir, name, "relay", "--config", filepath.Join(dir, "relay.cue"))
	if err != nil {
		return 0, 0, err
	}
	defer relay.stop()
	addr := relay.addrs[0]
	if tlsConfig != nil {
		addr = relay.labelled["mqtts"]
	}
	before := relay.rss()
	var conns []*mqttConn
	defer func() {
		for _, c := range conns {
			_ = c.conn.Close()
		}
	}()
	for i := range o.Idle {
		c, err := newMQTT(addr, tlsConfig, fmt.Sprintf("idle-%d", i))
		if err != nil {
			return 0, 0, err
		}
		conns = append(conns, c)
	}
	time.Sleep(time.Second) // lets the relay release its connection buffers
	return len(conns), (relay.rss() - before) / int64(len(conns)), nil
}

// Print writes the report as a table.
func (r *Report) Print(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "path\trequested/s\tdelivered/s\tp50\tp99\tp99.9\tCPU/message\tmemory\tmissing\t")
	for _, x := range r.Results {
		asked := "all"
		if x.RequestedRate > 0 {
			asked = fmt.Sprintf("%.0f", x.RequestedRate)
		}
		fmt.Fprintf(t, "%s\t%s\t%.0f\t%v\t%v\t%v\t%v\t%.0f MB\t%d\t\n", x.Name, asked, x.PerSec,
			x.P50.Round(10*time.Microsecond),
			x.P99.Round(10*time.Microsecond), x.P999.Round(10*time.Microsecond), x.CPU.Round(100*time.Nanosecond),
			float64(x.RSS)/1e6, x.Missing)
	}
	_ = t.Flush()
	fmt.Fprintf(w, "the relay adds %v at p99; at saturation it carries %.2f times what the reverse proxy does\n",
		r.AddedP99.Round(10*time.Microsecond), r.OverProxy)
	fmt.Fprintf(w, "%.0f full TLS handshakes a second, %v of the relay's CPU each\n", r.Handshakes,
		r.HandshakeCPU.Round(time.Microsecond))
	if r.Burst > 0 {
		fmt.Fprintf(w, "%d handshakes at once: %d done, the last after %v\n", r.Burst, r.BurstOK,
			r.BurstTook.Round(time.Millisecond))
	}
	if r.IdleMeasured > 0 {
		fmt.Fprintf(w, "%d idle MQTT connections take %.1f kB each, over TLS %.1f kB\n", r.IdleMeasured,
			float64(r.IdleBytes)/1000, float64(r.IdleTLSBytes)/1000)
	}
}
