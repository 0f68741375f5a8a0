// Package testutil starts a relay with stand-in partners inside the process of a test.
package testutil

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"basaltcross.example/basaltcross/internal/config"
	"basaltcross.example/basaltcross/internal/relay"
	"basaltcross.example/basaltcross/internal/standin"
)

// ConfigText returns a configuration with three classes, whose messages are safe to repeat
// ("status"), deduplicated by key ("order") and ordered at-most-once ("charge"), and with
// partners p0, p1, ... that never run a message that they refuse. list is the path of the
// list of endpoints, extra further CUE text.
func ConfigText(list string, partners int, extra string) string {
	var b bytes.Buffer
	fmt.Fprintf(&b, `
classes: [
	{name: "status", aim: "1s", deadline: "6s", worth: 1, lateShare: 0.3, effect: "safe"},
	{name: "order", aim: "1s", deadline: "6s", worth: 2, lateShare: 0.3, effect: "keyed", window: "10s"},
	{name: "charge", aim: "1s", deadline: "6s", worth: 5, lateShare: 0.3, effect: "unsafe", ordered: true},
]
kinds: [{name: "bank", refusalNeverRan: true}]
directory: file: %q
mqtt: listen: ["127.0.0.1:0"]
partners: [`, list)
	for i := range partners {
		fmt.Fprintf(&b, "{name: \"p%d\", kind: \"bank\"},", i)
	}
	fmt.Fprintf(&b, "]\n%s\n", extra)
	return b.String()
}

// Env is a test environment: a relay, its stand-in partners and their list of endpoints.
type Env struct {
	T         testing.TB
	Relay     *relay.Relay
	Recorder  *standin.Recorder
	ListPath  string // path of the list of endpoints
	Partners  []*standin.Partner
	Endpoints []*standin.Endpoint
	states    map[string]string // state in the list, by address; empty for ready
	zones     []string          // by index in Endpoints
}

// New starts the given number of partners with two endpoints each, and a relay that sends to them.
// All are stopped when the test ends.
func New(t testing.TB, partners int, model standin.Model, extra string, hooks relay.Hooks) *Env {
	t.Helper()
	return NewWithZones(t, partners, model, extra, hooks, func(int) (string, func(net.Conn) net.Conn) { return "", nil })
}

// NewWithZones is like New, but gets from of the zone of each endpoint and the function that
// wraps its connections, for example to count bytes. i is the index of the endpoint in Endpoints.
func NewWithZones(t testing.TB, partners int, model standin.Model, extra string, hooks relay.Hooks,
	of func(i int) (zone string, wrap func(net.Conn) net.Conn)) *Env {
	t.Helper()
	b := &Env{T: t, Recorder: standin.NewRecorder(1 << 20), ListPath: filepath.Join(t.TempDir(), "list.cue"),
		states: map[string]string{}}
	for i := range partners {
		p := standin.NewPartner(fmt.Sprintf("p%d", i), model, uint64(i+1))
		b.Partners = append(b.Partners, p)
		for range 2 {
			zone, wrap := of(len(b.Endpoints))
			b.zones = append(b.zones, zone)
			e, err := standin.StartWrapped("127.0.0.1:0", p, b.Recorder, wrap)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(e.Close)
			b.Endpoints = append(b.Endpoints, e)
		}
	}
	b.WriteList()
	cfg, err := config.Parse("test.cue", []byte(ConfigText(b.ListPath, partners, extra)))
	if err != nil {
		t.Fatal(err)
	}
	b.Relay, err = relay.Start(cfg, zerolog.Nop(), hooks)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Relay.Stop)
	return b
}

// SetState sets the state of an endpoint in the list; "gone" omits it. WriteList applies it.
func (b *Env) SetState(addr, state string) { b.states[addr] = state }

// WriteList replaces the list of endpoints atomically.
func (b *Env) WriteList() {
	var text bytes.Buffer
	text.WriteString("endpoints: [\n")
	for i, e := range b.Endpoints {
		if b.states[e.Addr] == "gone" {
			continue
		}
		zone := ""
		if b.zones[i] != "" {
			zone = fmt.Sprintf(", zone: %q", b.zones[i])
		}
		state := b.states[e.Addr]
		if state == "" {
			state = "ready"
		}
		fmt.Fprintf(&text, "{addr: %q, partner: %q, state: %q%s},\n", e.Addr, e.Partner.Name, state, zone)
	}
	text.WriteString("]\n")
	tmp := b.ListPath + ".new"
	if err := os.WriteFile(tmp, text.Bytes(), 0o600); err != nil {
		b.T.Fatal(err)
	}
	if err := os.Rename(tmp, b.ListPath); err != nil {
		b.T.Fatal(err)
	}
}

// Context returns a context that ends with the test, or after 2 minutes, longer than any test runs.
func Context(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	t.Cleanup(cancel)
	return ctx
}

// CorruptList replaces the list of endpoints by a file with a syntax error.
func (b *Env) CorruptList() {
	if err := os.WriteFile(b.ListPath, []byte("endpoints: [{addr: 7"), 0o600); err != nil {
		b.T.Fatal(err)
	}
}
