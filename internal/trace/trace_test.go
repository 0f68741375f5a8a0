package trace

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against a trace whose steps are out of order because the wall clocks of the processes differ, or
// that holds steps of connections other than the one from which the request was read.
func TestTraceAcrossProcesses(t *testing.T) {
	dir := t.TempDir()
	for name, text := range map[string]string{
		"n1.log": `{"cause":"count"}
{"cause":"trace","id":"m","step":"read","mono_us":2000,"connection":"c1","time":"2026-12-03T15:00:00Z"}
panic: no step
{"cause":"trace","id":"m","step":"response","mono_us":4000,"status":"202","time":"2026-12-03T14:00:00Z"}
{"cause":"trace","id":"c1","step":"close","mono_us":5000,"reason":"idle"}
{"cause":"trace","id":"c1","step":"close","mono_us":4500,"reason":"the next process of this node","pid":7}
{"cause":"trace","id":"c2","step":"close","mono_us":2500,"reason":"idle"}
{"cause":"trace","id":"other","step":"read","mono_us":2600,"connection":"c2"}
`,
		"n2.log": `{"cause":"trace","id":"c1","step":"close","mono_us":3000,"reason":"another process"}` + "\n",
		File:     `{"cause":"trace","id":"m","step":"sent","mono_us":1000,"node":1}` + "\n",
	} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	steps, err := Read(dir, "m")
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	Print(&out, steps)
	var names []string
	for _, s := range steps {
		names = append(names, s.Name)
	}
	if got := strings.Join(names, " "); got != "sent read response close" || !strings.Contains(out.String(), "reason=idle") ||
		!strings.Contains(out.String(), "+3.000 ms") {
		t.Errorf("%s\n%s", got, out.String())
	}
	if _, err := Read(t.TempDir(), "m"); err == nil {
		t.Error("a folder without logs gave no error")
	}
}
