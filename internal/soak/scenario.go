// Package soak runs a fleet of real node processes under faults that overlap in time, all
// drawn from one seed, and holds what crossed the sockets against the rules. A seed that
// fails is shrunk to the fewest faults that still fail.
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

// Kind of a fault: one of package shim's, or one of those below.
type Kind string

// Kinds of faults beside those of system calls.
const (
	Kill          Kind = "kill"           // SIGKILL, then a start
	Term          Kind = "term"           // SIGTERM, SIGKILL at the page's earliest, then a start
	TermTwice     Kind = "term_twice"     // a second SIGTERM and a SIGHUP within the drain
	Reload        Kind = "reload"         // discovery moves, SIGHUP
	AgentSilent   Kind = "agent_silent"   // lists do not come
	NoticesMute   Kind = "notices_mute"   // notices are not answered
	HostFails     Kind = "host_fails"     // 500
	HostFull      Kind = "host_full"      // 429 with a wait
	HostHangs     Kind = "host_hangs"     // no answer
	HostCuts      Kind = "host_cuts"      // connections end under requests
	HostForgets   Kind = "host_forgets"   // connections end behind answers
	HostDrains    Kind = "host_drains"    // the list says so
	HostNetHold   Kind = "host_net_hold"  // bytes come late
	HostNetReset  Kind = "host_net_reset" // connections are reset under whatever they carry
	AgentNetHold  Kind = "agent_net_hold"
	AgentNetReset Kind = "agent_net_reset"
	HostRepeats   Kind = "host_repeats"  // answers come a second time, up to 2 s later
	AgentRepeats  Kind = "agent_repeats" // acknowledgements, lists and lines of a watch do
	HostBlank     Kind = "host_blank"    // headers of answers have no status
	ClientsEnd    Kind = "clients_end"   // they end their sending behind a request, and wait
	ClientsLeave  Kind = "clients_leave" // within a request
	Crowd         Kind = "crowd"         // idle connections
)

// Kinds are all of them.
func Kinds() []Kind {
	all := []Kind{Kill, Term, TermTwice, Reload, AgentSilent, NoticesMute, HostFails, HostFull, HostHangs, HostCuts, HostForgets, HostDrains,
		HostNetHold, HostNetReset, AgentNetHold, AgentNetReset, HostRepeats, AgentRepeats,
		HostBlank, ClientsEnd, ClientsLeave, Crowd}
	for _, k := range shim.Kinds {
		all = append(all, Kind(k))
	}
	return all
}

// Fault is one fault of a run.
type Fault struct {
	Kind  Kind          `json:"kind"`
	Where int           `json:"where"` // node, or host
	At    time.Duration `json:"at"`    // since the load began
	For   time.Duration `json:"for"`
}

func (f Fault) String() string { return fmt.Sprintf("%s@%d+%s~%s", f.Kind, f.Where, f.At, f.For) }

// NoFaults stands for a run without any.
const NoFaults = "none"

// ParseFaults reads what Fault.String wrote, separated by commas, or NoFaults.
func ParseFaults(text string) ([]Fault, error) {
	if text == NoFaults {
		return []Fault{}, nil
	}
	var all []Fault
	for part := range strings.SplitSeq(text, ",") {
		f, err := parseFault(part)
		if err != nil {
			return nil, fmt.Errorf("soak: %q is no fault: %w", part, err)
		}
		all = append(all, f)
	}
	return all, nil
}

func parseFault(text string) (f Fault, err error) {
	kind, rest, _ := strings.Cut(text, "@")
	where, rest, _ := strings.Cut(rest, "+")
	at, length, _ := strings.Cut(rest, "~")
	if f.Kind = Kind(kind); !slices.Contains(Kinds(), f.Kind) {
		return f, fmt.Errorf("unknown kind %q", kind)
	}
	if f.Where, err = strconv.Atoi(where); err != nil {
		return f, err
	}
	if f.At, err = time.ParseDuration(at); err != nil {
		return f, err
	}
	f.For, err = time.ParseDuration(length)
	return f, err
}

const (
	// few kinds of moments are drawn for every other seed.
	fewKindsCount = 5
	maxRestart    = 6 * time.Second // a planned one takes no longer
	// wallStep is how far the wall clock is set.
	wallStep = time.Hour
)

// Draw makes the faults of a run: two to four signals for each node, and moments of all
// kinds that lie over them; of every other seed, of a few kinds. Further faults, of kinds and
// lengths that came later, are drawn apart: the others of a seed stay what they were.
func Draw(seed uint64, nodes, hosts int, length time.Duration, kinds []Kind) []Fault {
	first, further, ofPeers := splitBySeries(kinds)
	all := drawFirst(rand.New(rand.NewPCG(seed, firstSeries)), nodes, hosts, length, first, seed%2 == 0)
	all = append(all, drawFurther(rand.New(rand.NewPCG(seed, furtherSeries)), nodes, length, kinds, further)...)
	all = append(all, drawPeers(rand.New(rand.NewPCG(seed, peerSeries)), nodes, hosts, length, ofPeers)...)
	slices.SortStableFunc(all, func(x, y Fault) int { return int(x.At - y.At) })
	return all
}

// Streams of a seed's random numbers.
const (
	firstSeries   = 0xfa
	furtherSeries = 0xfb
	peerSeries    = 0xfc
)

// peerKinds are drawn apart too, in every series: what the other side does with answers and ends.
var peerKinds = []Kind{HostRepeats, AgentRepeats, HostBlank, ClientsEnd}

// furtherKinds are drawn apart from the others.
var furtherKinds = []Kind{Kind(shim.PollInterrupted), Kind(shim.ReadNoMemory), Kind(shim.WriteNoMemory), Kind(shim.SockoptFails),
	Kind(shim.FileReadFails), Kind(shim.DiskDown), Kind(shim.AcceptDown), Kind(shim.WriteDown)}

// bySeries tells kinds of the first series from further ones and from those of peers.
func splitBySeries(kinds []Kind) (first, further, ofPeers []Kind) {
	for _, k := range kinds {
		switch {
		case slices.Contains(furtherKinds, k):
			further = append(further, k)
		case slices.Contains(peerKinds, k):
			ofPeers = append(ofPeers, k)
		default:
			first = append(first, k)
		}
	}
	return first, further, ofPeers
}

// drawPeers makes the faults of peers, each for half of the time.
func drawPeers(r *rand.Rand, nodes, hosts int, length time.Duration, kinds []Kind) (all []Fault) {
	for _, k := range kinds {
		places := nodes
		if k.strikesHost() {
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

func drawFirst(r *rand.Rand, nodes, hosts int, length time.Duration, kinds []Kind, fewKinds bool) (all []Fault) {
	restarts, moments := splitRestarts(kinds)
	if fewKinds && len(moments) > fewKindsCount { // a few kinds, which meet each other often
		r.Shuffle(len(moments), func(i, j int) { moments[i], moments[j] = moments[j], moments[i] })
		moments = moments[:fewKindsCount]
	}
	ofHosts := slices.DeleteFunc(slices.Clone(moments), func(k Kind) bool { return !k.strikesHost() })
	ofNodes := slices.DeleteFunc(slices.Clone(moments), Kind.strikesHost)
	for node := range nodes {
		for at := between(r, time.Second, maxRestart); len(restarts) > 0 && at < length-maxRestart/2; at += between(r, maxRestart, 2*maxRestart) {
			all = append(all, Fault{restarts[r.IntN(len(restarts))], node, at, 0})
		}
		all = append(all, drawMoments(r, node, length, ofNodes)...)
	}
	for host := range hosts {
		all = append(all, drawMoments(r, host, length, ofHosts)...)
	}
	return all
}

// drawFurther makes moments of the further kinds, and failures of the folder that outlast
// what a client waits.
func drawFurther(r *rand.Rand, nodes int, length time.Duration, kinds, further []Kind) (all []Fault) {
	ofDisk := slices.DeleteFunc(slices.Clone(kinds), func(k Kind) bool { return !k.isDiskFault() })
	for node := range nodes {
		for at := between(r, 0, time.Second); len(further) > 0 && at < length; at += between(r, 200*time.Millisecond, 1500*time.Millisecond) {
			all = append(all, Fault{further[r.IntN(len(further))], node, at, between(r, 30*time.Millisecond, 280*time.Millisecond)})
		}
		for at := between(r, 0, 2*time.Second); len(ofDisk) > 0 && at < length; at += between(r, 2*time.Second, 5*time.Second) {
			f := Fault{ofDisk[r.IntN(len(ofDisk))], node, at, between(r, 500*time.Millisecond, 1500*time.Millisecond)}
			all = append(all, withTornRest(r, f, kinds)...)
		}
	}
	return all
}

// withTornRest adds, to half of the torn writes, that what is left of the record stays there.
func withTornRest(r *rand.Rand, f Fault, kinds []Kind) []Fault {
	all := []Fault{f}
	if f.Kind == Kind(shim.WriteTorn) && slices.Contains(kinds, Kind(shim.TruncFails)) && r.IntN(2) == 0 {
		f.Kind = Kind(shim.TruncFails)
		all = append(all, f)
	}
	return all
}

// drawMoments makes the moments of one place: 50 to 350 ms apart, 30 to 280 ms long.
func drawMoments(r *rand.Rand, where int, length time.Duration, kinds []Kind) (all []Fault) {
	for at := between(r, 0, time.Second); len(kinds) > 0 && at < length; at += between(r, 50*time.Millisecond, 350*time.Millisecond) {
		k := kinds[r.IntN(len(kinds))]
		f := Fault{k, where, at, between(r, 30*time.Millisecond, 280*time.Millisecond)}
		if lastsLonger(k) {
			f.For = between(r, 300*time.Millisecond, 1500*time.Millisecond)
		}
		all = append(all, withTornRest(r, f, kinds)...)
	}
	return all
}

// split tells faults that end a process from the others.
func splitRestarts(kinds []Kind) (restarts, moments []Kind) {
	for _, k := range kinds {
		if k == Kill || k == Term || k == TermTwice {
			restarts = append(restarts, k)
		} else {
			moments = append(moments, k)
		}
	}
	return restarts, moments
}

// atHost tells kinds that strike a host, for all nodes; the others strike one node.
func (k Kind) strikesHost() bool { return strings.HasPrefix(string(k), "host_") }

// ofDisk tells kinds that have the folder of a node fail.
func (k Kind) isDiskFault() bool { return strings.HasPrefix(string(k), "disk_") }

// longer tells kinds that last for longer than a moment.
func lastsLonger(k Kind) bool {
	switch k {
	case AgentSilent, NoticesMute, HostHangs, HostFull, HostDrains, Crowd, Kind(shim.WallClock):
		return true
	}
	return false
}

func between(r *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(r.Int64N(int64(most-least))).Round(time.Millisecond)
}
