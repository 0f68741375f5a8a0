package choice

// The state of a Chooser, and the validation of its settings. The decisions are in the other files.

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// message is the state of one message, until its final answer and its last result.
type message struct {
	Arrival
	class    *Class
	dest     *dest
	due      time.Duration // deadline
	born     time.Duration // deadline less the class's Deadline: start of the message's time, also across restarts
	taken    time.Duration // arrival at this relay
	attempts int           // attempts made, earlier runs included
	timeout  time.Duration // timeout of the last attempt
	call     *call         // call that carries the message, nil if it is not in flight
	ran      bool          // an attempt may have run
	ranAt    time.Duration // send time of the first attempt that may have run
	ranZone  int           // zone of that attempt
	last     *host         // host of the last attempt
	unsure   time.Duration // time of the last result that left open whether the message ran; negative if none
	over     bool          // finally answered or withdrawn
	restored bool          // accepted by an earlier run
	excess   time.Duration // time by which the expected wait exceeded what is allowed; set on refusal at admission
	unwanted bool          // withdrawn by the client
	noRefuse bool          // must not be refused: it ran, or an answer to an earlier run may have been lost
}

// call is one call in flight. Sends of one step to one host may share it.
type call struct {
	host    *host
	sent    time.Duration // send time
	members []*message    // messages whose result is still due
	off     bool          // cancelled
	bad     bool          // its error or reset has been counted as a failure
	idle    time.Duration // time for which the host's connection had been idle, if one was kept
	reused  int           // 1 if sent on a kept connection that had been idle, otherwise 0; index of Chooser.lost
}

// host is the state of one host.
type host struct {
	Host
	dest    *dest
	unit    *unit
	out     int           // calls in flight
	liking  float64       // random preference of this relay, so that a fleet spreads over the hosts
	fails   int           // consecutive failures
	idleAt  time.Duration // end of the last call
	kept    bool          // the connection was left open after the last call
	retryAt time.Duration // end of the time for which the host is avoided after a failure
}

// health is the health of a unit, as in a circuit breaker.
type health int

const (
	healthy    health = iota // no limit by health
	suspect                  // only single probes are sent
	recovering               // calls are limited to the budget of a warming-up destination
)

// unit is what health, limits and waits apply to: a whole destination, or a single host where each has its own.
type unit struct {
	pacer
	name       string          // address of its first host, for the log
	listed     float64         // listed or reported limit in calls per second from all relays; 0 if unknown
	state      health          // health state
	since      time.Duration   // start of the health state
	waitUntil  time.Duration   // end of the wait that the destination asked for (Retry-After)
	pauseUntil time.Duration   // end of the relay's own back-off
	recent     uint            // most recent outcomes, one bit each, set for a failure
	streak     int             // consecutive served answers
	errors     bool            // error answers were among the failures of this outage
	risky      bool            // a failed message of this outage may have run
	trialAt    time.Duration   // time of the next probe
	trials     int             // consecutive failed probes
	bad        int             // failures and refusals since the last served call
	lastServed time.Duration   // time of the last served call, or one second before the unit was first listed
	outs       []*call         // calls in flight, oldest first
	sends      []time.Duration // send times of the calls within the last Rules.Cold or second
	latency    float64         // smoothed latency in seconds
	served     float64         // smoothed rate of calls served to this relay, in calls per second
	base       float64         // served rate when the outage began
}

// habits are statistics over all destinations of one kind.
type habits struct {
	luck   float64 // share served of the calls to destinations that refused the previous call
	power  float64 // exponent of that share in the length of back-offs; lowered once a refusal asked for a wait
	unconn float64 // share of the calls that got no connection
}

// dest is the state of one destination.
type dest struct {
	id         int
	kind       Kind
	hosts      []*host
	units      []*unit
	waiting    []*message    // messages that wait for an attempt
	out        int           // calls in flight
	live       bool          // in Chooser.live: messages wait or are in flight
	lastTurn   time.Duration // time of the last send
	table      table         // latencies
	refused    int           // consecutive refusals
	habits     *habits       // statistics of its kind
	pauseUntil time.Duration // end of the back-off of the whole destination
	backoff    int           // consecutive timeouts with nothing served since; doubles the timeout each
	rates      []queueRate   // service rates of the waiting messages, by class
	readyAt    time.Duration // last time a host was Ready, as of a step in which the destination was active
}

// line is the queue of the messages that share an ordering key.
type line struct {
	key   string
	queue []*message
	rate  queueRate     // service rate of the messages behind the first one
	rest  time.Duration // time until which the key is blocked after an unknown outcome
}

// Chooser makes the decisions for one relay. It is not safe for concurrent use.
type Chooser struct {
	set     Settings
	now     time.Duration // time of the current step
	bound   time.Duration // upper bound of the latency tables: the longest Aim of all classes
	minAim  time.Duration // shortest Aim of all classes
	longest time.Duration // longest Deadline of all classes
	arrived []*message    // messages that arrived in this step
	msgs    map[string]*message
	dests   map[int]*dest
	order   []*dest // all destinations, in order of first appearance
	live    []*dest // destinations with messages waiting or in flight
	hosts   map[string]*host
	lines   map[string]*line
	resting []*line       // empty key queues that are kept until their key is no longer blocked
	busy    int           // calls in flight
	held    int           // messages without a final answer
	wakeAt  time.Duration // time of the next wake-up asked for
	rand    *rand.Rand
	nap     time.Duration       // interval between steps without events
	habits  []habits            // by kind
	lost    [2]float64          // share of the calls lost: on new connections, and on reused idle ones
	keep    time.Duration       // longest idle time after which a connection is still reused
	pool    table               // latencies of all destinations together, for destinations with few samples
	stopped bool                // shutting down: all messages get their final answer
	parked  bool                // shutting down, with a later run that resumes the held messages
	paused  bool                // no call can begin at present, see Pause
	owing   map[string]*message // finally answered but unacknowledged messages, which block their key
	tolls   *Tolls              // budget for sends to other zones; nil if there is no limit
	askAt   time.Duration       // time of the next Subscribe action; negative for none
	acts    []Action            // actions of this step
}

// remove returns the slice without the given element.
func remove[T comparable](all []T, one T) []T {
	return slices.DeleteFunc(all, func(o T) bool { return o == one })
}

// check returns an error for the first setting that is out of range.
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
		return fmt.Errorf("Classes is empty, must hold at least one class")
	}
	for i, k := range s.Classes {
		if k.Aim <= 0 || k.Deadline < k.Aim {
			return fmt.Errorf("Classes[%d]: Aim is %v, must be above 0 and at most Deadline %v", i, k.Aim, k.Deadline)
		}
		if k.Worth < 0 || k.LateShare < 0 || k.LateShare > 1 {
			return fmt.Errorf("Classes[%d]: Worth is %v, must be at least 0, and LateShare is %v, must be from 0 to 1",
				i, k.Worth, k.LateShare)
		}
	}
	return nil
}

// Sizes returns the number of entries in each table, by name, so that tests and operators can detect leaks.
func (c *Chooser) Sizes() map[string]int {
	hosts, units := 0, 0
	for _, d := range c.order {
		hosts, units = hosts+len(d.hosts), units+len(d.units)
	}
	return map[string]int{"module messages": len(c.msgs), "module destinations": len(c.dests), "module live": len(c.live),
		"module hosts": max(hosts, len(c.hosts)), "module units": units, "module keys": len(c.lines),
		"module resting keys": len(c.resting), "module owing": len(c.owing)}
}
