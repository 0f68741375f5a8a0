package wire

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"basaltcross.example/basaltcross/choice"
	"basaltcross.example/basaltcross/internal/platform"
)

// settingsObject is a settings object with a distinct value in each setting that is read.
const settingsObject = `{"bounds":{"cancel":true,"conn-idle":7.5,"dial-timeout":1.25,"max-attempts":3,"max-retry-after":2.5,"most-held":9,"retry-after":true},
"classes":[{"aim":1,"effect":"at_most_once","give-up":5,"group":"all","keep-order":true,"late-share":0.25,"name":"charge","window":2,"worth":3},
{"aim":0.5,"effect":"deduplicated","give-up":4,"group":"zone","late-share":0.75,"name":"order","window":1,"worth":2},
{"aim":2,"effect":"idempotent","give-up":8,"group":"all","late-share":0.5,"name":"status","window":1,"worth":1}],
"family-info":{"late":"halving","own-limits":[false,true],"per-call":[2,1],"workers":5,"zone-fee":[0,0.5]},"fleet-size":4,"index":2,
"load-report":{"columns":["x0","x1"],"how":"inline"},"registry-mode":"automatic","rules":{"cold":6,"cold-from":0.2,"drain-grace":0.5,
"fall":2,"grace-to-answer":0.01,"order-settle":0.1,"overload-factor":3},"skus":["big","small"],"tick":0.01,"weights":"nominal","zones":["a","b"]}`

// TestAdapterAndNodeDecideAlike guards against differences between the two readers of the settings object: a Chooser
// configured by the simulator's CONFIGURE message and one configured by a node's file give the same actions.
func TestAdapterAndNodeDecideAlike(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "config.json")
	text := `{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"7","limits":{"cores":1,"memory_mb":64,"sockets":256,"disk_mb":1},"settings":` + settingsObject + `}`
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	cfg, err := platform.Load(func(name string) string {
		return map[string]string{"ROUTER_CONFIG": file, "ROUTER_STATE": dir}[name]
	})
	if err != nil {
		t.Fatal(err)
	}
	node, err := choice.New(cfg.Settings.Settings, cfg.Seed)
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	s := &server{out: bufio.NewWriter(&out), fields: map[string]string{}, sheets: map[int][]choice.Host{}, instances: map[string]*instance{}}
	l, err := parse(1, "CONFIGURE\trelay-id=r\tentropy=7\tconfig="+strings.ReplaceAll(settingsObject, "\n", " "), map[string]string{})
	if err != nil {
		t.Fatal(err)
	}
	if err := s.configure(l, "r"); err != nil {
		t.Fatal(err)
	}
	adapter := s.instances["r"].chooser
	hosts := []choice.Host{{Addr: "a", Dest: 1, Kind: 0, Zone: 0, Rate: 20, State: choice.Ready}, {Addr: "b", Dest: 2, Kind: 1, Zone: 1, Rate: 3, State: choice.Ready}}
	step, compared := 0, 0
	both := func(events ...choice.Event) []choice.Action {
		step++
		at := time.Duration(step) * 50 * time.Millisecond
		x, y := adapter.Step(at, events), node.Step(at, events)
		if fmt.Sprintf("%#v", x) != fmt.Sprintf("%#v", y) {
			t.Fatalf("step %d: actions of the simulator's chooser\n%#v\nand of the node's\n%#v", step, x, y)
		}
		compared += len(x)
		return x
	}
	both(choice.HostUpdate{Full: true, Hosts: hosts})
	var inFlight []choice.Send
	for i := range 60 {
		var events []choice.Event
		for j, c := range inFlight {
			events = append(events, choice.Result{ID: c.ID, Host: c.Host, Attempt: -1, Outcome: choice.Outcome((i + j) % 6), Took: cfg.Settings.Tick * 3,
				Done: (i+j)%6 == 0, Report: []float64{0.5, 10}})
		}
		for k := range 3 {
			events = append(events, choice.Arrival{ID: fmt.Sprint(i, "-", k), Class: k, Dest: 1 + i%2, TimeLeft: cfg.Settings.Classes[k].Deadline, Key: fmt.Sprint(i % 4)})
		}
		inFlight = nil
		for _, a := range both(events...) {
			if x, ok := a.(choice.Send); ok {
				inFlight = append(inFlight, x)
			}
		}
	}
	if compared < 100 {
		t.Errorf("only %d actions were compared, want at least 100", compared)
	}
}
