package badday

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"cuelang.org/go/cue"
	"cuelang.org/go/cue/cuecontext"
	cueerrors "cuelang.org/go/cue/errors"

	"basaltcross.example/basaltcross/internal/config"
)

//go:embed script.cue
var scriptSchema string

// Trouble is one injected fault of a script.
type Trouble struct {
	Name string
	At   config.Duration
	For  config.Duration
	Part float64
	Size float64
}

// Script describes a run: the deployment, its traffic and the faults to inject.
type Script struct {
	Seed      uint64
	Relays    int
	Clients   int
	Partners  int
	Rate      float64
	Lasts     config.Duration
	Catalogue bool
	Troubles  []Trouble
}

// TroubleKinds lists the kinds of injected faults, each with a part and a size that have a clear effect.
var TroubleKinds = []struct {
	Name string
	Part float64
	Size float64
}{
	{"burst", 1, 2.5}, {"hot_caller", 0.1, 0.5}, {"hot_key", 0.1, 0.3}, {"hang", 0.34, 0}, {"crash", 0.34, 0},
	{"fast_errors", 0.34, 0.9}, {"slow", 0.34, 10}, {"shared_slow", 1, 2.5}, {"heavy_tail", 1, 20},
	{"pauses", 0.5, 0.4}, {"vanish", 0.5, 0}, {"throttle", 0.5, 0.3}, {"give_up", 0.5, 0},
	{"answer_lost", 0.5, 0.25}, {"class_fail", 0.5, 0.9}, {"idle_reap", 1, 0.2}, {"handshake_slow", 0.7, 0.3},
	{"deploy", 0.6, 0}, {"preempt", 0.4, 0}, {"discovery_down", 1, 0}, {"balancer_crash", 0.34, 0},
	{"balancer_roll", 1, 0}, {"balancer_stall", 0.34, 0},
	{"address_dead", 0.7, 0}, {"catalogue_down", 1, 0}, {"catalogue_half", 1, 0}, {"catalogue_back", 1, 0},
	{"flap", 0.4, 0},
}

// MixedScript is the default script: faults of many kinds, in well under a minute.
const MixedScript = `
lasts: "22s"
troubles: [
	{name: "burst", at: "2s", for: "2s", size: 2},
	{name: "hang", at: "4s", for: "4s", part: 0.17},
	{name: "throttle", at: "3s", for: "4s", part: 0.4, size: 0.4},
	{name: "deploy", at: "6s", for: "6s", part: 0.5},
	{name: "answer_lost", at: "9s", for: "3s", part: 0.4, size: 0.2},
	{name: "balancer_stall", at: "10s", for: "1500ms"},
	{name: "crash", at: "13s", for: "3s", part: 0.17},
	{name: "balancer_crash", at: "15s", for: "2s"},
	{name: "give_up", at: "17s", for: "1s", part: 0.4},
]`

// SingleTrouble returns a script with a single kind of fault.
func SingleTrouble(kind string) (string, error) {
	for _, k := range TroubleKinds {
		if k.Name == kind {
			catalogue := strings.HasPrefix(kind, "catalogue_") || kind == "flap"
			return fmt.Sprintf(
				"lasts: \"14s\"\ncatalogue: %v\ntroubles: [{name: %q, at: \"2s\", for: \"5s\", part: %g, size: %g}]",
				catalogue, k.Name, k.Part, k.Size), nil
		}
	}
	return "", fmt.Errorf("badday: unknown kind of trouble %q", kind)
}

// Load reads and checks a script file.
func Load(path string) (Script, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Script{}, fmt.Errorf("badday: %w", err)
	}
	return Parse(path, string(text))
}

// Parse parses a script and checks it against the schema.
func Parse(name, text string) (s Script, err error) {
	ctx := cuecontext.New()
	schema := ctx.CompileString(scriptSchema).LookupPath(cue.ParsePath("#Script"))
	v := schema.Unify(ctx.CompileString(text, cue.Filename(name)))
	err = v.Validate(cue.Concrete(true), cue.Final())
	if err != nil {
		return s, fmt.Errorf("badday: %s", strings.TrimSpace(cueerrors.Details(err, nil)))
	}
	b, err := v.MarshalJSON()
	if err == nil {
		err = json.Unmarshal(b, &s)
	}
	if err != nil {
		return s, fmt.Errorf("badday: %s: %w", name, err)
	}
	return s, nil
}

// ScriptForFault returns a script under which a planted fault becomes visible.
func ScriptForFault(name string) string {
	trouble := map[string]string{
		"send-to-drained":  `{name: "deploy", at: "2s", for: "4s", part: 0.6}`,
		"early-after-wait": `{name: "throttle", at: "2s", for: "5s", part: 1, size: 0.2}`,
		"flood-cold": `{name: "crash", at: "2s", for: "4s", part: 1},
			{name: "burst", at: "5800ms", for: "4s", size: 2.5}`,
		"out-of-order": `{name: "slow", at: "2s", for: "6s", part: 1, size: 15}`,
	}[name]
	return fmt.Sprintf("lasts: \"11s\"\ntroubles: [%s]", trouble)
}
