package soak

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"basaltcross.example/basaltcross/internal/emulator"
)

// Faults are drawn the same from the same seed, lie within the run, and are read back from
// what a failing seed prints.
func TestFaultsAreDrawnFromTheSeed(t *testing.T) {
	first := Draw(7, 10, 6, 20*time.Second, Kinds())
	if !reflect.DeepEqual(first, Draw(7, 10, 6, 20*time.Second, Kinds())) {
		t.Error("two draws of one seed differ")
	}
	var text []string
	overlap := false
	for i, f := range first {
		text = append(text, f.String())
		overlap = overlap || i > 0 && f.At < first[i-1].At+first[i-1].For
	}
	if !overlap {
		t.Error("no faults overlap")
	}
	again, err := ParseFaults(strings.Join(text, ","))
	if err != nil || !reflect.DeepEqual(first, again) {
		t.Errorf("not read back: %v", err)
	}
	for _, bad := range []string{"", "nothing@1+1s~1s", "kill@x+1s~1s", "kill@1+1~1s", "kill@1"} {
		if _, err := ParseFaults(bad); err == nil {
			t.Errorf("%q was read", bad)
		}
	}
}

// plants are the invariants that planted violations break.
var plantedInvariants = map[Plant]string{
	PlantCut:     "a response is complete",
	PlantForward: "a refused request is not forwarded",
	PlantForget:  "what was taken is delivered or ends in time",
	PlantTwice:   "a message that may not be repeated is not sent again",
	PlantSilent:  "a request that was read is answered in time",
	PlantServed:  "what its host has served is not told as refused",
	PlantReset:   "a new connection is answered while the relay leaves",
}

// An oracle that cannot fail is none: each violation that is put into a record is found.
func TestPlantedViolationsAreFound(t *testing.T) {
	program := build(t)
	for _, plant := range Plants {
		t.Run(string(plant), func(t *testing.T) {
			t.Parallel()
			res, err := Run(t.Context(), Options{Shim: program, Program: program, Seed: 3, Nodes: 1, Hosts: 3, Clients: 12, Duration: 8 * time.Second,
				Kinds: []Kind{HostFull, Kill}, Plant: plant, Faults: plantFaults(plant)})
			if err != nil {
				t.Fatal(err)
			}
			var out bytes.Buffer
			res.print(&out)
			found := slices.ContainsFunc(res.Findings, func(f *emulator.Finding) bool { return f.Invariant == plantedInvariants[plant] && f.Broken == 1 })
			if !found || len(res.Violations) > 0 {
				t.Errorf("%q is not found\n%s", plantedInvariants[plant], out.String())
			}
		})
	}
}

// plantFaults are those of a play in which a violation is planted; nil for drawn ones. Two of its
// clients have no connection when the relay is told to leave.
func plantFaults(plant Plant) []Fault {
	if plant != PlantReset {
		return nil
	}
	return []Fault{{ClientsLeave, 0, 2700 * time.Millisecond, 310 * time.Millisecond}, {Term, 0, 3 * time.Second, 0}}
}

// build makes the program, once: a tracer that runs meanwhile would wait for the compiler too.
func build(t *testing.T) string {
	t.Helper()
	program, err := buildOnce()
	if err != nil {
		t.Fatal(err)
	}
	return program
}

// folder holds what tests share.
var sharedDir string

var buildOnce = sync.OnceValues(func() (string, error) {
	program := filepath.Join(sharedDir, "basaltcross")
	cmd := exec.Command("go", "build", "-o", program, "basaltcross.example/basaltcross/cmd/basaltcross")
	cmd.Stderr = os.Stderr
	return program, cmd.Run()
})

func TestMain(m *testing.M) {
	var err error
	if sharedDir, err = os.MkdirTemp("", "soak-test"); err != nil {
		panic(err)
	}
	status := m.Run()
	_ = os.RemoveAll(sharedDir)
	os.Exit(status)
}

// What a program writes beside its log of lines is found: a violation, a panic.
func TestTail(t *testing.T) {
	var tail logTail
	for _, text := range []string{"{\"cause\":\"count\"}\n{\"cause\":", "\"violation\",\"id\":\"m\"}\npanic: x\n", "goroutine 1\n"} {
		_, _ = tail.Write([]byte(text))
	}
	if bad := tail.violations(); len(bad) != 2 || !strings.Contains(bad[0], `"id":"m"`) || !strings.Contains(bad[1], "goroutine 1") {
		t.Errorf("%q", bad)
	}
}

// Guards against starving hosts that are well and refuse a few calls by chance: the emulator's refuse 5 in 100 and
// answer 3 in 100 with an error, which ends what may not be repeated.
func TestRefusalsByChanceOnSockets(t *testing.T) {
	program := build(t)
	res, err := Run(t.Context(), Options{Shim: program, Program: program, Seed: 14, Nodes: 1, Hosts: 3, Clients: 8, Duration: 12 * time.Second,
		Faults: []Fault{}})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d of %d delivered, %d given up untried", res.Service.Delivered, res.Requests, res.Service.Untried)
	const served, failed = 0.97, 0.03
	if float64(res.Service.Delivered) < (served-failed)*float64(res.Requests) {
		t.Errorf("%d of %d delivered in time, want %v", res.Service.Delivered, res.Requests, served-failed)
	}
	if 50*res.Service.Untried >= res.Service.Taken {
		t.Errorf("%d of %d taken were given up untried, want under one in fifty", res.Service.Untried, res.Service.Taken)
	}
}

// Guards against requests that are read and hear nothing until their client leaves, because the record of their
// answer waits for a folder that fails for longer than the client waits.
func TestRequestsAreAnsweredWhileTheFolderFails(t *testing.T) {
	playWithoutFindings(t, "disk_enospc@0+1s~1s,disk_enospc@1+2s~700ms,disk_eio@0+4s~1.2s,disk_open@1+5s~1s,disk_torn@0+7s~900ms,"+
		"disk_ftruncate@0+7s~1.2s,term@1+7.5s~0s,disk_torn@1+8s~1s,disk_ftruncate@1+8s~1s,disk_eio@1+10s~600ms,disk_enospc@0+9.5s~500ms")
}

// Guards against calls that wait for a folder that fails with their time-out running, and are given up as they arrive
// at a host that serves them.
func TestCallsHaveTheirTimeoutAfterTheFolderFailed(t *testing.T) {
	playWithoutFindings(t, "disk_down@0+1s~1.3s,disk_down@1+1.5s~700ms,disk_down@0+3.5s~500ms,disk_down@1+4s~1.5s,disk_down@0+5s~300ms,"+
		"disk_down@0+6s~900ms,disk_down@1+6.3s~200ms,kill@1+7.5s~0s,disk_down@0+8s~1.2s,disk_down@1+9.5s~1s,disk_down@0+10s~600ms")
}

// Guards against requests that are read and closed without an answer, and calls that are lost, because one read of their
// sound connection fails for want of memory.
func TestReadsThatFailForAMomentEndNoConnection(t *testing.T) {
	playWithoutFindings(t, "read_enomem@0+1s~280ms,read_enomem@1+1.2s~200ms,read_enomem@0+2s~150ms,read_enomem@1+3s~280ms,"+
		"read_enomem@0+4s~280ms,write_enobufs@1+4.5s~250ms,write_enobufs@0+5s~250ms,read_enomem@1+6s~100ms,read_enomem@0+7s~280ms,"+
		"term@1+7s~0s,read_enomem@1+7.6s~280ms,read_enomem@1+8.5s~280ms,read_enomem@0+9s~200ms,read_enomem@0+10s~280ms")
}

// Guards against connections that are reset in the listener's queue when a relay that was told to end closes it, because
// accepting failed just then.
func TestAcceptedConnectionsAreAnsweredWhileARelayLeaves(t *testing.T) {
	playWithoutFindings(t, "term@0+1s~0s,accept_down@0+1.3s~350ms,term@1+2s~0s,accept_down@1+2.2s~500ms,term@0+7s~0s,accept_down@0+7.1s~270ms,"+
		"accept_down@0+7.39s~300ms,term_twice@1+8s~0s,accept_down@1+8.35s~350ms")
}

// Guards against responses that are dropped: their socket took nothing for a moment, and their connection was closed
// meanwhile to make room for a crowd.
func TestResponsesThatWaitOutlastACrowd(t *testing.T) {
	playWithoutFindings(t, "write_down@0+1s~100ms,crowd@0+1s~500ms,write_down@1+2s~150ms,crowd@1+2.05s~500ms,write_down@0+3s~200ms,"+
		"crowd@0+3s~500ms,write_down@1+4s~100ms,crowd@1+4s~500ms,write_down@0+5s~150ms,crowd@0+5.05s~500ms,write_down@1+6s~200ms,"+
		"crowd@1+6s~500ms,write_down@0+7s~100ms,crowd@0+7s~300ms,write_down@1+8s~200ms,crowd@1+8s~300ms,write_down@0+9s~200ms,"+
		"crowd@0+9s~300ms,write_down@1+10s~200ms,crowd@1+10s~300ms,write_down@0+11s~200ms,crowd@0+11s~300ms")
}

// playWithoutFindings plays faults on two nodes, and fails where an invariant breaks.
func playWithoutFindings(t *testing.T, text string) {
	t.Helper()
	t.Parallel()
	program := build(t)
	faults, err := ParseFaults(text)
	if err != nil {
		t.Fatal(err)
	}
	res, err := Run(t.Context(), Options{Shim: program, Program: program, Seed: 9000, Nodes: 2, Hosts: 6, Clients: 8, Duration: 14 * time.Second,
		Faults: faults})
	if err != nil {
		t.Fatal(err)
	}
	read, answered := 0, "a request that was read is answered in time"
	for _, f := range res.Findings {
		if f.Invariant == answered {
			read = f.Checked
		}
	}
	if read < 1000 {
		t.Errorf("%d requests were read, too few to tell", read)
	}
	if res.Broken() > 0 {
		var out bytes.Buffer
		res.print(&out)
		t.Error(out.String())
	}
}

// Guards against answers of hosts that come a second time and are believed of the next call on their connection: lost
// messages, second effects, keys out of order.
func TestSecondCopiesOfHostsAnswersAreNobodys(t *testing.T) {
	playWithoutFindings(t, repeatingHosts()+",kill@0+5s~0s,term@1+6s~0s")
}

// repeatingHosts are the faults of six hosts that repeat their answers all the time.
func repeatingHosts() string {
	var faults []string
	for host := range 6 {
		faults = append(faults, fmt.Sprintf("host_repeats@%d+0s~13s", host))
	}
	return strings.Join(faults, ",")
}

// Guards against an oracle that passes over second copies: nodes that trust their hosts as they did break the rules.
func TestNodesThatTrustRepeatingHostsAreFound(t *testing.T) {
	t.Parallel()
	program := build(t)
	faults, err := ParseFaults(repeatingHosts())
	if err != nil {
		t.Fatal(err)
	}
	res, err := Run(t.Context(), Options{Shim: program, Program: program, Seed: 9000, Nodes: 2, Hosts: 6, Clients: 8, Duration: 14 * time.Second,
		Faults: faults, Plant: PlantTrust})
	if err != nil {
		t.Fatal(err)
	}
	lost := "what was taken is delivered or ends in time"
	if !slices.ContainsFunc(res.Findings, func(f *emulator.Finding) bool { return f.Invariant == lost && f.Broken > 0 }) {
		t.Errorf("%q is not broken by nodes that trust every host", lost)
	}
}

// Guards against the agent's acknowledgement that comes a second time and is believed of the next notices, which nobody took.
func TestSecondCopiesOfAcknowledgementsAreNobodys(t *testing.T) {
	faults := []string{"agent_repeats@0+0s~13s", "agent_repeats@1+0s~13s"}
	for second := range 12 {
		faults = append(faults, fmt.Sprintf("agent_net_reset@%d+%d.2s~400ms", second%2, second), fmt.Sprintf("host_fails@%d+%ds~800ms", second%6, second),
			fmt.Sprintf("host_hangs@%d+%ds~1.2s", (second+2)%6, second))
	}
	playWithoutFindings(t, strings.Join(faults, ","))
}
