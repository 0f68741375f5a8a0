// Package soak runs a fleet of real node processes under faults that overlap in time, all drawn from one seed,
// and audits the traffic on the sockets against invariants. The faults of a seed that fails can be reduced to
// few that still fail.
//
// The platform around the nodes is that of package emulator; faults of system calls are those of package shim.
package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"basaltcross.example/basaltcross/internal/shim"
)

// Kind is a kind of fault: one of package shim's, or one of those below.
type Kind string

// The kinds of faults other than those of system calls.
const (
	Kill          Kind = "kill"            // SIGKILL, then a new process
	Term          Kind = "term"            // SIGTERM, SIGKILL after earliestKill, then a new process
	TermTwice     Kind = "term_twice"      // as Term, with a second SIGTERM and a SIGHUP during shutdown
	KillAgain     Kind = "kill_again"      // as Kill, and the new process gets one soon after it is ready
	Reload        Kind = "reload"          // the agent's address changes, then SIGHUP
	AgentSilent   Kind = "agent_silent"    // the agent's watches bring nothing
	NoticesMute   Kind = "notices_mute"    // the agent does not answer notices
	HostFails     Kind = "host_fails"      // hosts answer 500
	HostFull      Kind = "host_full"       // hosts answer 429 with a wait
	HostHangs     Kind = "host_hangs"      // hosts do not answer
	HostCuts      Kind = "host_cuts"       // hosts close connections during calls
	HostForgets   Kind = "host_forgets"    // hosts close connections after answers, unannounced
	HostDrains    Kind = "host_drains"     // the list marks the host as draining
	HostNetHold   Kind = "host_net_hold"   // bytes to and from hosts are delayed
	HostNetReset  Kind = "host_net_reset"  // connections to hosts are reset, in use or idle
	AgentNetHold  Kind = "agent_net_hold"  // bytes to and from agents are delayed
	AgentNetReset Kind = "agent_net_reset" // connections to agents are reset, in use or idle
	HostRepeats   Kind = "host_repeats"    // hosts' answers arrive a second time, up to 2 s later
	AgentRepeats  Kind = "agent_repeats"   // agents' acknowledgements, lists and watch lines arrive a second time
	HostSlow      Kind = "host_slow"       // hosts work up to 0.6 s on a call
	HostBlank     Kind = "host_blank"      // hosts answer with a status line without a status
	ClientsEnd    Kind = "clients_end"     // clients half-close connections after a request and await the response
	ClientsLeave  Kind = "clients_leave"   // clients close their connection within a request
	Crowd         Kind = "crowd"           // many idle connections are opened
	Withdrawals   Kind = "withdrawals"     // clients withdraw messages after they are accepted
	AttemptLimits Kind = "attempt_limits"  // messages may have only one or two attempts
)

// OptionalKinds are the kinds of faults that are drawn only where they are asked for.
var OptionalKinds = []Kind{HostSlow}

// Kinds returns all kinds of faults but the optional ones.
func Kinds() []Kind {
	all := []Kind{Kill, Term, TermTwice, Reload, AgentSilent, NoticesMute, HostFails, HostFull, HostHangs, HostCuts,
		HostForgets, HostDrains, HostNetHold, HostNetReset, AgentNetHold, AgentNetReset, HostRepeats, AgentRepeats,
		HostBlank, ClientsEnd, ClientsLeave, Crowd, KillAgain, Withdrawals, AttemptLimits}
	for _, k := range shim.Kinds {
		all = append(all, Kind(k))
	}
	return all
}

// ParseKinds parses names of kinds, separated by commas.
func ParseKinds(text string) (kinds []Kind, err error) {
	for name := range strings.SplitSeq(text, ",") {
		if !Kind(name).known() {
			return nil, fmt.Errorf("soak: unknown kind of fault %q; known are %v", name, append(Kinds(), OptionalKinds...))
		}
		kinds = append(kinds, Kind(name))
	}
	return kinds, nil
}

// known reports whether there is such a kind.
func (k Kind) known() bool { return slices.Contains(Kinds(), k) || slices.Contains(OptionalKinds, k) }

// Fault is one fault in a run.
type Fault struct {
	Kind   Kind          `json:"kind"`
	Target int           `json:"where"` // number of the node or host
	At     time.Duration `json:"at"`    // start, from the start of the load
	Length time.Duration `json:"for"`   // duration
}

// String returns the fault in the format that ParseFaults reads.
func (f Fault) String() string { return fmt.Sprintf("%s@%d+%s~%s", f.Kind, f.Target, f.At, f.Length) }

// NoFaults is the text that stands for a run without faults.
const NoFaults = "none"

// ParseFaults parses faults in the format of Fault.String, separated by commas, or NoFaults.
func ParseFaults(text string) ([]Fault, error) {
	if text == NoFaults {
		return []Fault{}, nil
	}
	var all []Fault
	for part := range strings.SplitSeq(text, ",") {
		f, err := parseFault(part)
		if err != nil {
			return nil, fmt.Errorf("soak: invalid fault %q: %w", part, err)
		}
		all = append(all, f)
	}
	return all, nil
}

// parseFault parses one fault.
func parseFault(text string) (f Fault, err error) {
	kind, rest, _ := strings.Cut(text, "@")
	where, rest, _ := strings.Cut(rest, "+")
	at, length, _ := strings.Cut(rest, "~")
	if f.Kind = Kind(kind); !f.Kind.known() {
		return f, fmt.Errorf("unknown kind %q", kind)
	}
	if f.Target, err = strconv.Atoi(where); err != nil {
		return f, err
	}
	if f.At, err = time.ParseDuration(at); err != nil {
		return f, err
	}
	f.Length, err = time.ParseDuration(length)
	return f, err
}

const (
	// fewKindsCount is the number of kinds of short faults drawn for every other seed.
	fewKindsCount = 5
	maxRestart    = 6 * time.Second // upper bound of the duration of a planned restart
	// wallStep is the offset that the wall clock is set to.
	wallStep = time.Hour
)

// Draw draws the faults of a run: restarts of each node 6 to 12 s apart, and overlapping short faults of all
// kinds, or of a few kinds for every other seed. Kinds and durations that were added later are drawn from random
// streams of their own, so that a seed keeps its other faults.
func Draw(seed uint64, nodes, hosts int, length time.Duration, kinds []Kind) []Fault {
	first, further, ofPeers, ends, ofSpeed := splitBySeries(kinds)
	all := drawFirst(rand.New(rand.NewPCG(seed, firstSeries)), nodes, hosts, length, first, seed%2 == 0)
	all = append(all, drawFurther(rand.New(rand.NewPCG(seed, furtherSeries)), nodes, length, kinds, further)...)
	all = append(all, drawPeers(rand.New(rand.NewPCG(seed, peerSeries)), nodes, hosts, length, ofPeers)...)
	all = append(all, drawEnds(rand.New(rand.NewPCG(seed, endSeries)), nodes, length, ends)...)
	all = append(all, drawSpeeds(rand.New(rand.NewPCG(seed, speedSeries)), hosts, length, ofSpeed)...)
	slices.SortStableFunc(all, func(x, y Fault) int { return int(x.At - y.At) })
	return all
}

// Streams of the random numbers of a seed.
const (
	firstSeries   = 0xfa
	furtherSeries = 0xfb
	peerSeries    = 0xfc
	endSeries     = 0xfd
	speedSeries   = 0xfe
)

// peerKinds are the kinds drawn from peerSeries, for every seed: repeated or malformed answers and half-closed
// connections.
var peerKinds = []Kind{HostRepeats, AgentRepeats, HostBlank, ClientsEnd}

// endKinds are the kinds drawn from endSeries, for every seed: messages that end at the platform before their relay
// ends them, and processes that end in quick succession.
var endKinds = []Kind{Withdrawals, AttemptLimits, KillAgain}

// furtherKinds are the kinds drawn from furtherSeries.
var furtherKinds = []Kind{Kind(shim.PollInterrupted), Kind(shim.ReadNoMemory), Kind(shim.WriteNoMemory),
	Kind(shim.SockoptFails), Kind(shim.FileReadFails), Kind(shim.DiskDown), Kind(shim.AcceptDown), Kind(shim.WriteDown)}

// splitBySeries splits kinds by the random stream they are drawn from.
func splitBySeries(kinds []Kind) (first, further, ofPeers, ends, ofSpeed []Kind) {
	for _, k := range kinds {
		switch {
		case slices.Contains(furtherKinds, k):
			further = append(further, k)
		case slices.Contains(peerKinds, k):
			ofPeers = append(ofPeers, k)
		case slices.Contains(endKinds, k):
			ends = append(ends, k)
		case k == HostSlow:
			ofSpeed = append(ofSpeed, k)
		default:
			first = append(first, k)
		}
	}
	return first, further, ofPeers, ends, ofSpeed
}

// drawSpeeds draws the faults from speedSeries: hosts are slow for about two thirds of the time.
func drawSpeeds(r *rand.Rand, hosts int, length time.Duration, kinds []Kind) (all []Fault) {
	for _, k := range kinds {
		for host := range hosts {
			for at := between(r, 0, time.Second); at < length; at += between(r, 2*time.Second, 4*time.Second) {
				all = append(all, Fault{k, host, at, between(r, time.Second, 3*time.Second)})
			}
		}
	}
	return all
}

// drawEnds draws the faults of endKinds: long periods, and one series of kills for one in three nodes.
func drawEnds(r *rand.Rand, nodes int, length time.Duration, kinds []Kind) (all []Fault) {
	for _, k := range kinds {
		for node := range nodes {
			if k == KillAgain {
				at := between(r, time.Second, max(2*time.Second, length-maxRestart))
				if r.IntN(3) == 0 {
					all = append(all, Fault{k, node, at, 0})
				}
				continue
			}
			for at := between(r, 0, time.Second); at < length; at += between(r, 2*time.Second, 5*time.Second) {
				all = append(all, Fault{k, node, at, between(r, time.Second, 3*time.Second)})
			}
		}
	}
	return all
}

// drawPeers draws the faults of peerKinds. Each is active for about 45 % of the time.
func drawPeers(r *rand.Rand, nodes, hosts int, length time.Duration, kinds []Kind) (all []Fault) {
	for _, k := range kinds {
		places := nodes
		if k.affectsHost() {
			places = hosts
		}
		for where := range places {
			for at := between(r, 0, time.Second); at < length; at += between(r, time.Second, 3*time.Second) {
				all = append(all, Fault{k, where, at, between(r, 300*time.Millisecond, 1500*time.Millisecond)})
			}
		}
	}
	return all
}

// drawFirst draws restarts and short faults from firstSeries.
func drawFirst(r *rand.Rand, nodes, hosts int, length time.Duration, kinds []Kind, fewKinds bool) (all []Fault) {
	restarts, shortKinds := splitRestarts(kinds)
	if fewKinds && len(shortKinds) > fewKindsCount { // with few kinds, the same kinds coincide more often
		r.Shuffle(len(shortKinds), func(i, j int) { shortKinds[i], shortKinds[j] = shortKinds[j], shortKinds[i] })
		shortKinds = shortKinds[:fewKindsCount]
	}
	ofHosts := slices.DeleteFunc(slices.Clone(shortKinds), func(k Kind) bool { return !k.affectsHost() })
	ofNodes := slices.DeleteFunc(slices.Clone(shortKinds), Kind.affectsHost)
	for node := range nodes {
		for at := between(r, time.Second, maxRestart); len(restarts) > 0 && at < length-maxRestart/2; at += between(r,
			maxRestart, 2*maxRestart) {
			all = append(all, Fault{restarts[r.IntN(len(restarts))], node, at, 0})
		}
		all = append(all, drawShortFaults(r, node, length, ofNodes)...)
	}
	for host := range hosts {
		all = append(all, drawShortFaults(r, host, length, ofHosts)...)
	}
	return all
}

// drawFurther draws short faults of the further kinds, and failures of the state directory that last longer than
// a client waits.
func drawFurther(r *rand.Rand, nodes int, length time.Duration, kinds, further []Kind) (all []Fault) {
	ofDisk := slices.DeleteFunc(slices.Clone(kinds), func(k Kind) bool { return !k.isDiskFault() })
	for node := range nodes {
		for at := between(r, 0, time.Second); len(further) > 0 && at < length; at += between(r,
			200*time.Millisecond, 1500*time.Millisecond) {
			all = append(all, Fault{further[r.IntN(len(further))], node, at,
				between(r, 30*time.Millisecond, 280*time.Millisecond)})
		}
		for at := between(r, 0, 2*time.Second); len(ofDisk) > 0 && at < length; at += between(r,
			2*time.Second, 5*time.Second) {
			f := Fault{ofDisk[r.IntN(len(ofDisk))], node, at, between(r, 500*time.Millisecond, 1500*time.Millisecond)}
			all = append(all, withTornRest(r, f, kinds)...)
		}
	}
	return all
}

// withTornRest adds, to half of the torn writes, that truncating the file fails too, so that the torn record
// stays in it.
func withTornRest(r *rand.Rand, f Fault, kinds []Kind) []Fault {
	all := []Fault{f}
	if f.Kind == Kind(shim.WriteTorn) && slices.Contains(kinds, Kind(shim.TruncateFails)) && r.IntN(2) == 0 {
		f.Kind = Kind(shim.TruncateFails)
		all = append(all, f)
	}
	return all
}

// drawShortFaults draws the short faults of one node or host: 50 to 350 ms apart, 30 to 280 ms long,
// some kinds longer.
func drawShortFaults(r *rand.Rand, where int, length time.Duration, kinds []Kind) (all []Fault) {
	for at := between(r, 0, time.Second); len(kinds) > 0 && at < length; at += between(r,
		50*time.Millisecond, 350*time.Millisecond) {
		k := kinds[r.IntN(len(kinds))]
		f := Fault{k, where, at, between(r, 30*time.Millisecond, 280*time.Millisecond)}
		if lastsLonger(k) {
			f.Length = between(r, 300*time.Millisecond, 1500*time.Millisecond)
		}
		all = append(all, withTornRest(r, f, kinds)...)
	}
	return all
}

// splitRestarts separates the kinds that end a process from the others.
func splitRestarts(kinds []Kind) (restarts, others []Kind) {
	for _, k := range kinds {
		if k == Kill || k == Term || k == TermTwice {
			restarts = append(restarts, k)
		} else {
			others = append(others, k)
		}
	}
	return restarts, others
}

// affectsHost reports whether the kind affects a host, for all nodes. Other kinds affect one node.
func (k Kind) affectsHost() bool { return strings.HasPrefix(string(k), "host_") }

// isDiskFault reports whether the kind makes the state directory of a node fail.
func (k Kind) isDiskFault() bool { return strings.HasPrefix(string(k), "disk_") }

// lastsLonger reports whether faults of a kind last 300 to 1,500 ms instead of 30 to 280 ms.
func lastsLonger(k Kind) bool {
	switch k {
	case AgentSilent, NoticesMute, HostHangs, HostFull, HostDrains, Crowd, Kind(shim.WallClock):
		return true
	}
	return false
}

// between returns a random duration from least to most, apart in whole milliseconds.
func between(r *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(r.Int64N(int64(most-least))).Round(time.Millisecond)
}
