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
	class        *Class
	dest         *destination
	deadline     time.Duration // time from which it is worth nothing
	startedAt    time.Duration // deadline less the class's Deadline; the age counts from it
	arrivedAt    time.Duration // arrival at this relay
	attempts     int           // attempts made, earlier runs included
	timeout      time.Duration // timeout of the last attempt
	call         *call         // call that carries the message, nil if it is not in flight
	mayHaveRun   bool          // an attempt may have run
	firstRunAt   time.Duration // send time of the first attempt that may have run
	firstRunZone int           // zone of that attempt
	lastHost     *host         // host of the last attempt
	unsureAt     time.Duration // time of the last result that left open whether the message ran; negative if none
	finished     bool          // finally answered or withdrawn
	restored     bool          // accepted by an earlier run
	excessWait   time.Duration // time by which the expected wait was too long, if refused at admission
	withdrawn    bool          // withdrawn by the client
	noRefusal    bool          // must not be refused: it ran, or an answer to an earlier run may have been lost
}

// call is one call in flight. Sends of one step to one host may share it.
type call struct {
	host           *host
	sentAt         time.Duration // send time
	members        []*message    // messages whose result is still due
	cancelled      bool          // a Cancel action was emitted for it
	failureCounted bool          // its error or reset has been counted as a failure
	idleFor        time.Duration // time for which the host's connection had been idle, if one was kept
	reused         int           // 1 if sent on a kept idle connection, otherwise 0; index in Chooser.lostShare
}

// host is the state of one host.
type host struct {
	Host
	dest          *destination
	unit          *unit
	inFlight      int           // calls in flight
	preference    float64       // random preference of this relay, so that a fleet spreads over the hosts
	failuresInRow int           // consecutive failures
	idleSince     time.Duration // end of the last call
	keptOpen      bool          // the connection was left open after the last call
	avoidUntil    time.Duration // end of the time for which the host is avoided after a failure
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
	name             string          // address of its first host, for the log
	listedRate       float64         // listed or reported limit in calls per second from all relays; 0 if unknown
	state            health          // health state
	stateSince       time.Duration   // start of the health state
	waitUntil        time.Duration   // end of the wait that the destination asked for (Retry-After)
	backoffUntil     time.Duration   // end of the relay's own back-off
	recentFailures   uint            // most recent outcomes, one bit each, set for a failure
	servedInRow      int             // consecutive served answers
	sawErrors        bool            // error answers were among the failures of this outage
	failedMayHaveRun bool            // a failed message of this outage may have run
	probeAt          time.Duration   // time of the next probe
	failedProbes     int             // consecutive failed probes
	unservedInRow    int             // failures and refusals since the last served call
	lastServedAt     time.Duration   // time of the last served call, or one second before the unit was first listed
	inFlight         []*call         // calls in flight, oldest first
	sendTimes        []time.Duration // send times of the calls within the last Rules.Cold or second
	latency          float64         // smoothed latency in seconds
	servedRate       float64         // smoothed rate of calls served to this relay, in calls per second
	rateBeforeOutage float64         // served rate when the outage began
}

// kindStats are statistics over all destinations of one kind.
type kindStats struct {
	retrySuccess    float64 // share served of the calls to destinations that refused the previous call
	backoffExponent float64 // exponent of that share in back-offs; lowered once a refusal asked for a wait
	noConnShare     float64 // share of the calls that got no connection
}

// destination is the state of one destination.
type destination struct {
	id            int
	kind          Kind
	hosts         []*host
	units         []*unit
	waiting       []*message    // messages that wait for an attempt
	inFlight      int           // calls in flight
	active        bool          // in Chooser.active: messages wait or are in flight
	lastSentAt    time.Duration // time of the last send
	latencies     latencyTable
	refusalsInRow int           // consecutive refusals
	stats         *kindStats    // statistics of its kind
	backoffUntil  time.Duration // end of the back-off of the whole destination
	timeoutsInRow int           // consecutive timeouts with nothing served since; each doubles the timeout
	queueRates    []queueRate   // service rates of the waiting messages, by class
	lastReadyAt   time.Duration // last time a host was Ready, as of a step in which the destination was active
}

// keyQueue is the queue of the messages that share an ordering key.
type keyQueue struct {
	key          string
	messages     []*message
	rate         queueRate     // service rate of the messages behind the first one
	blockedUntil time.Duration // time until which the key is blocked after an unknown outcome
}

// Chooser makes the decisions for one relay. It is not safe for concurrent use.
type Chooser struct {
	cfg            Settings
	now            time.Duration // time of the current step
	tableBound     time.Duration // upper bound of the latency tables: the longest Aim of all classes
	minAim         time.Duration // shortest Aim of all classes
	maxDeadline    time.Duration // longest Deadline of all classes
	arrivals       []*message    // messages that arrived in this step
	messages       map[string]*message
	destByID       map[int]*destination
	destList       []*destination // all destinations, in order of first appearance
	active         []*destination // destinations with messages waiting or in flight
	hosts          map[string]*host
	keyQueues      map[string]*keyQueue
	blockedQueues  []*keyQueue   // empty key queues that are kept until their key is no longer blocked
	inFlight       int           // calls in flight
	held           int           // messages without a final answer
	wakeAt         time.Duration // time of the next wake-up asked for
	rand           *rand.Rand
	stepInterval   time.Duration       // interval between steps without events
	statsByKind    []kindStats         // by kind
	lostShare      [2]float64          // share of the calls lost: on new connections, and on reused idle ones
	maxIdle        time.Duration       // longest idle time after which a connection is still reused
	allLatencies   latencyTable        // latencies of all destinations together, for destinations with few samples
	stopped        bool                // shutting down: all messages get their final answer
	suspended      bool                // shutting down with Stop.Keep: a later run resumes the held messages
	paused         bool                // no call can begin at present, see Pause
	unacknowledged map[string]*message // finally answered but unacknowledged messages, which block their key
	zoneBudget     *ZoneBudget         // budget for sends to other zones; nil if there is no limit
	subscribeAt    time.Duration       // time of the next Subscribe action; negative for none
	actions        []Action            // actions of this step
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
	for _, d := range c.destList {
		hosts, units = hosts+len(d.hosts), units+len(d.units)
	}
	return map[string]int{"module messages": len(c.messages), "module destinations": len(c.destByID),
		"module live":  len(c.active),
		"module hosts": max(hosts, len(c.hosts)), "module units": units, "module keys": len(c.keyQueues),
		"module resting keys": len(c.blockedQueues), "module owing": len(c.unacknowledged)}
}
