package choice

// State without decisions: what a Chooser remembers, and checks of its settings.

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// message is one message until its final answer and its last outcome.
type message struct {
	Arrival
	class    *Class
	dest     *dest
	due      time.Duration // deadline
	born     time.Duration // due less the class's deadline: first handed in
	taken    time.Duration // here
	attempts int
	timeout  time.Duration // of the last try
	call     *call         // out now
	ran      bool          // an attempt may have run
	ranAt    time.Duration // the first such attempt went out
	ranZone  int
	last     *host
	unsure   time.Duration // time of the last unsure outcome; its key rests after it
	over     bool          // answered or withdrawn
	restored bool          // an earlier run took it
	excess   time.Duration // refused since it would wait so much too long
	unwanted bool          // withdrawn
	noRefuse bool          // it ran, or an earlier run may have had its answer: no refusal is lawful
}

// call is one call out; sends of one turn to one host may share it.
type call struct {
	host    *host
	sent    time.Duration
	members []*message    // outcomes still due
	off     bool          // called off
	bad     bool          // an error or reset of it was counted
	idle    time.Duration // how long its connection had idled, or would have
	reused  int           // 1 if it went out on a connection that was kept
}

// host is one endpoint.
type host struct {
	Host
	dest    *dest
	unit    *unit
	out     int
	liking  float64       // this relay's own liking, by chance
	fails   int           // in a row
	idleAt  time.Duration // the last call ended
	kept    bool          // its connection was left open then
	retryAt time.Duration // after failures
}

// health of a unit.
type health int

const (
	healthy    health = iota
	suspect           // single trials only
	recovering        // within the budget for a cold destination
)

// unit is what health, limits and waits hang on: a destination, or a route where routes are apart.
type unit struct {
	pacer
	name       string
	listed     float64 // calls a second from all relays, 0 if unknown
	state      health
	since      time.Duration // of the state
	waitUntil  time.Duration // told
	pauseUntil time.Duration // own
	recent     uint          // recent outcomes, a bit set for each failure
	streak     int           // answers served in a row
	errors     bool          // errors answered were among them
	risky      bool          // failures that may have run were seen in this outage
	trialAt    time.Duration // next trial
	trials     int           // trials failed in a row
	bad        int           // failures and refusals since then
	lastServed time.Duration // or first listed
	outs       []*call
	sends      []time.Duration // in the last Fall or second
	latency    float64         // smoothed, seconds
	served     float64         // smoothed rate served to this relay, messages a second
	base       float64         // served when the outage began
}

// habits are what this relay has met at the destinations of a kind.
type habits struct {
	luck   float64 // share served of the calls to destinations that refused the last one
	power  float64 // of the luck in pauses: lower once a refusal told a wait
	unconn float64 // share of the calls that got no connection
}

// dest is one destination.
type dest struct {
	id         int
	kind       Kind
	hosts      []*host
	units      []*unit
	waiting    []*message
	out        int
	live       bool // on the list of those with messages waiting or out
	lastTurn   time.Duration
	table      table
	refused    int     // refusals in a row
	habits     *habits // of its kind
	pauseUntil time.Duration
	backoff    int           // time-outs in a row with nothing served since
	rates      []queueRate   // of what waits, by class
	readyAt    time.Duration // when one of its hosts last wanted work, as of a step in which it was live
}

// line is the order of one key.
type line struct {
	key   string
	queue []*message
	rate  queueRate // of those behind the first
	rest  time.Duration
}

// Chooser decides for one relay. It is not safe for concurrent use.
type Chooser struct {
	set     Settings
	now     time.Duration
	bound   time.Duration // maximal timeout of the oracle
	minAim  time.Duration
	longest time.Duration // deadline of a class
	arrived []*message    // in this step
	msgs    map[string]*message
	dests   map[int]*dest
	order   []*dest // as first heard of
	live    []*dest // with messages waiting or out
	hosts   map[string]*host
	lines   map[string]*line
	resting []*line
	busy    int
	held    int
	wakeAt  time.Duration // the next wake-up asked for
	rand    *rand.Rand
	nap     time.Duration // between looks
	habits  []habits      // by kind
	lost    [2]float64    // share of the calls lost, on new connections and on those that had idled
	keep    time.Duration // longest that an idle connection is trusted
	pool    table         // of all destinations together, for those that have few samples yet
	stopped bool
	parked  bool                // stopped, and a later run goes on with what is held
	paused  bool                // no call can begin now
	owing   map[string]*message // refused or failed, not settled yet: they hold their place in the order
	tolls   *Tolls              // nil: all zones are open
	askAt   time.Duration       // ask for list changes then; below 0 for never
	acts    []Action
}

// remove deletes one element.
func remove[T comparable](all []T, one T) []T {
	return slices.DeleteFunc(all, func(o T) bool { return o == one })
}

// check tells which setting is out of its range.
func (s *Settings) check() error {
	switch {
	case s.Workers < 1:
		return fmt.Errorf("Workers is %d, must be at least 1", s.Workers)
	case s.Fleet < 1:
		return fmt.Errorf("Fleet is %d, must be at least 1", s.Fleet)
	case s.MaxAttempts < 1:
		return fmt.Errorf("MaxAttempts is %d, must be at least 1", s.MaxAttempts)
	case s.MaxHeld < 0:
		return fmt.Errorf("MaxHeld is %d, must be at least 0 (0 for no limit)", s.MaxHeld)
	case s.Tick <= 0:
		return fmt.Errorf("Tick is %v, must be above 0", s.Tick)
	case s.Rules.Cold <= 0 || s.Rules.Fall <= 0:
		return fmt.Errorf("Rules.Cold is %v and Rules.Fall %v, both must be above 0", s.Rules.Cold, s.Rules.Fall)
	case len(s.Classes) == 0:
		return fmt.Errorf("Classes is empty, must hold at least one")
	}
	for i, k := range s.Classes {
		if k.Aim <= 0 || k.Deadline < k.Aim {
			return fmt.Errorf("Classes[%d]: Aim is %v, must be above 0 and at most Deadline %v", i, k.Aim, k.Deadline)
		}
		if k.Worth < 0 || k.LateShare < 0 || k.LateShare > 1 {
			return fmt.Errorf("Classes[%d]: Worth is %v and LateShare %v, must be at least 0 and within 0 to 1",
				i, k.Worth, k.LateShare)
		}
	}
	return nil
}

// Sizes are those of the tables that messages, hosts and keys are in.
func (c *Chooser) Sizes() map[string]int {
	hosts, units := 0, 0
	for _, d := range c.order {
		hosts, units = hosts+len(d.hosts), units+len(d.units)
	}
	return map[string]int{"module messages": len(c.msgs), "module destinations": len(c.dests), "module live": len(c.live),
		"module hosts": max(hosts, len(c.hosts)), "module units": units, "module keys": len(c.lines),
		"module resting keys": len(c.resting), "module owing": len(c.owing)}
}
