package config

import (
	"strings"
	"testing"
)

const good = `classes: [{name: "status", aim: "1s", deadline: "6s", effect: "safe"}]
kinds: [{name: "bank"}]
partners: [{name: "p", kind: "bank"}]
directory: file: "list.cue"
`

// TestErrors guards against errors that don't name file, line and path, so that the wrong value has to be
// searched for in a long configuration.
func TestErrors(t *testing.T) {
	if _, err := Parse("r.cue", []byte(good)); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ name, old, new, want string }{
		{"type", `aim: "1s"`, `aim: 1`, "r.cue:1: classes.0.aim: "},
		{"value", `effect: "safe"`, `effect: "maybe"`, "r.cue:1: classes.0.effect: "},
		{"unknown field", `"bank"}]`, `"bank", colour: 1}]`, "r.cue:2: kinds.0.colour: "},
		{"perCall", `"bank"}]`, `"bank", perCall: 5}]`, "r.cue:2: kinds.0.perCall: "},
		{"missing", `directory: file: "list.cue"`, ``, "directory: needs a file"},
		{"window", `effect: "safe"`, `effect: "keyed"`, "classes.0.window"},
		{"unknown kind", `kind: "bank"`, `kind: "shop"`, `r.cue:3: partners[0].kind: "shop" is not defined under kinds`},
		{"duplicate name", `kinds: [{name: "bank"}]`, `kinds: [{name: "bank"}, {name: "bank"}]`,
			`r.cue:2: kinds[1].name: "bank" is a duplicate`},
		{"deadline", `deadline: "6s"`, `deadline: "500ms"`,
			"r.cue:1: classes[0].deadline: 500ms must be at least the aim 1s"},
		{"not loopback", `directory:`, `mqtt: listen: ["0.0.0.0:1883"]` + "\ndirectory:",
			`r.cue:4: mqtt.listen[0]: "0.0.0.0:1883" is not a loopback address`},
		{"syntax", `kinds: [`, `kinds: [[`, "r.cue:"},
	} {
		_, err := Parse("r.cue", []byte(strings.Replace(good, c.old, c.new, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %s", c.name, err, c.want)
		}
	}
	if _, err := ParseList("l.cue", []byte("endpoints: [\n{addr: \"a:1\", partner: \"p\"},\n{addr: \"a\", partner: \"p\"}]")); err == nil ||
		!strings.Contains(err.Error(), "l.cue:3: endpoints.1.addr: ") {
		t.Errorf("list: %v", err)
	}
}
