// Package choice makes the scheduling decisions of an outbound gateway: which
// message a relay sends next, to which host, with which timeout, whether it
// retries, and when it refuses or fails a message.
//
// A relay embeds one Chooser. It passes Step the current time and all events
// since the previous call, carries out the returned actions, and reports their
// results as later events. The package opens no connections, starts no
// goroutines and reads no clock.
//
// Times are durations since an epoch that the relay chooses; they must never
// go backwards. The same seed and the same events yield the same actions.
package choice

import "time"

// Effect says whether a message may be executed more than once.
type Effect int

// The effects of a message.
const (
	Safe   Effect = iota // idempotent: may be repeated at any time
	Keyed                // the destination deduplicates repeats for Class.Window
	Unsafe               // at most once: must never be repeated if it may have run
)

// Class describes one class of messages.
type Class struct {
	Name      string
	Aim       time.Duration // latency target: a message delivered within it counts with its full worth
	Deadline  time.Duration // time after which a message is worth nothing
	Worth     float64       // value of a message delivered within Aim; weighs messages against each other
	LateShare float64       // share of Worth that is left at the deadline
	Effect    Effect
	// SameZone limits repeats of a Keyed message to hosts in the zone of the attempt that
	// may have run, since only they deduplicate it. If false, all hosts deduplicate it.
	SameZone bool
	Window   time.Duration // time for which a destination recognises repeats of a Keyed message
	Ordered  bool          // messages that share a key are sent one at a time, in order of arrival
}

// Kind describes one kind of destination.
type Kind struct {
	PerHostLimits bool // each host has limits and health of its own, instead of sharing its destination's
	PerCall       int  // maximum number of messages in one call
}

// Rules hold the parameters of the platform's operating rules.
type Rules struct {
	AnswerGrace time.Duration // time after the deadline within which a final answer still counts as in time
	DrainGrace  time.Duration // time for which a draining host may still be sent to
	// OverloadFactor is the multiple of its present capacity above which a warming-up destination
	// fails again, if the load stays that high for the time Fall.
	OverloadFactor float64
	Fall           time.Duration // window over which the load of a warming-up destination counts, see OverloadFactor
	ColdFrom       float64       // share of its capacity that a destination has when it returns from an outage
	Cold           time.Duration // warm-up time after an outage, until a destination has its full capacity
	OrderSettle    time.Duration // time for which a key is blocked after an attempt with an unknown outcome
}

// Settings configure a Chooser.
type Settings struct {
	Index       int           // number of this relay in the fleet, from 0
	Fleet       int           // number of relays in the fleet
	Workers     int           // maximum number of calls in flight
	MaxHeld     int           // maximum number of messages held, waiting or in flight; 0 for no limit
	MaxAttempts int           // maximum number of attempts for one message, including those that were never sent
	Tick        time.Duration // time resolution of the relay; final answers are given some ticks before the deadline
	// MaxRetryAfter is the longest Refuse.RetryAfter that clients respect; 0 if refusals may carry none.
	MaxRetryAfter      time.Duration
	ConnIdle           time.Duration // time after which idle connections close by themselves; 0 if unknown
	Classes            []Class
	Kinds              []Kind
	ZoneFee            []float64 // cost, as a share of Worth, of each message sent to a host with its own limits; by zone
	Halving            bool      // after Aim, the worth halves with each further Aim; otherwise it falls linearly
	ListedRates        bool      // Host.Rate is the rate that a destination accepts from all relays together
	Cancels            bool      // the relay supports Cancel
	Subscribe          bool      // updates of the host list arrive only after a Subscribe action
	RefuseOnlyNeverRan bool      // refuse only what certainly never ran; otherwise also what a client may repeat
	// HoldUntilAcknowledged keeps a refused or failed message at its place in the order of its key until an
	// Acknowledged event.
	HoldUntilAcknowledged bool
	// ShedPenalty is the penalty for refusing a message that has not run in a later step than the one that accepted
	// it: the share Cost of its worth, while less than the share Before of its time has passed. Zero for no penalty.
	ShedPenalty struct{ Cost, Before float64 }
	// ReportLimitIndex is the index in Result.Report of the host's limit in calls per second; negative if not
	// reported.
	ReportLimitIndex int
	Rules            Rules
}

// Outcome says how an attempt ended.
type Outcome int

// The outcomes of an attempt. After Refused, NoConnection and NotSent the message
// certainly did not run, after Served it certainly did; after the others it may have run.
const (
	Served Outcome = iota
	Error
	Refused
	Timeout
	NoConnection
	Reset
	Cancelled
	NotSent
	// Doubted means that the answer may belong to another attempt. The message may have run;
	// the answer says nothing about the host.
	Doubted
)

// Event is an input of Chooser.Step; the types below with an event method implement it.
type Event interface{ event() }

// Arrival reports a new message. The Chooser gives each message exactly one final answer.
type Arrival struct {
	ID       string
	Class    int           // index in Settings.Classes
	Dest     int           // number of its destination
	TimeLeft time.Duration // time left until its deadline
	Key      string        // ordering key; empty for none
}

// Restored reports a message that an earlier run of the relay held.
type Restored struct {
	Arrival
	Attempts   int           // attempts made by earlier runs
	Answered   bool          // the message was refused or failed, and an Acknowledged event is still due
	MayHaveRun bool          // an attempt may have run, and may have been answered: the message must not be refused
	Since      time.Duration // time since the first attempt that may have run
	Zone       int           // zone of that attempt; negative if unknown
}

// RestoredHost restores what an earlier run knew about a host that is on the list.
type RestoredHost struct {
	Host       string
	RetryAfter time.Duration // rest of the wait that the host asked for (Retry-After)
	Failing    bool          // its last calls failed
}

// outcomeNames holds the names of the outcomes in logs and metrics.
var outcomeNames = [...]string{Served: "served", Error: "error", Refused: "refused", Timeout: "timeout",
	NoConnection: "no_connection", Reset: "reset", Cancelled: "cancelled", NotSent: "not_sent",
	Doubted: "doubted"}

// String returns the name of the outcome in logs and metrics.
func (o Outcome) String() string {
	if o < 0 || int(o) >= len(outcomeNames) {
		return "unknown"
	}
	return outcomeNames[o]
}

// Result reports the end of one attempt.
type Result struct {
	ID         string
	Host       string
	Attempt    int // number of the attempt, from 0
	Outcome    Outcome
	Took       time.Duration // time since the attempt was sent
	RetryAfter time.Duration // time for which the host asks for no further calls (Retry-After); 0 if it does not
	// Done says that the message needs no final answer any more.
	// Served without Done means that the answer came too late for the client.
	Done           bool
	NoMoreAttempts bool      // with NotSent: the message may not be attempted again
	Over           bool      // the message has ended elsewhere, or may have: it fails now and is not sent again
	Unproven       bool      // the answer may belong to another attempt: the message may have run whatever Outcome says
	Report         []float64 // load report of the host, if any
}

// Withdrawn reports that the client no longer wants a message: no further attempt is made. If AnswerOwed is set the
// message still gets its final answer: in this step, or with its result if it is in flight.
type Withdrawn struct {
	ID         string
	AnswerOwed bool
}

// State is the state of a host on the host list.
type State int

// The states of a host. They are those of the list and say nothing about its health.
const (
	Gone State = iota
	Ready
	Draining
)

// Host is one entry of the host list.
type Host struct {
	Addr  string
	Dest  int     // number of its destination
	Kind  int     // index in Settings.Kinds
	Zone  int     // number of its zone
	Rate  float64 // listed rate in calls per second, see Settings.ListedRates
	State State
}

// HostUpdate is an update of the host list.
type HostUpdate struct {
	Full   bool // Hosts replaces the whole list; otherwise it holds only the changed entries
	Failed bool // the list could not be read; the previous one stays in force
	Hosts  []Host
}

// ZoneBudget is the budget for sends to other zones, until the next ZoneBudget event. A message may be sent to a zone
// other than Home if its cost leaves the shared rest, Remaining, at its class's floor or above. Each such send deducts
// its cost.
type ZoneBudget struct {
	Home      int           // zone of this relay
	Remaining float64       // rest of the budget that all classes share
	Classes   []ClassBudget // by class
}

// ClassBudget is the part of the budget for sends to other zones that concerns one class.
type ClassBudget struct {
	Cost, Floor float64       // cost of one send, and the shared rest below which the class may not go
	Urgent      float64       // floor for a message with less than a quarter of its time left
	Own         float64       // rest of the class's own budget
	Again       time.Duration // while the budget does not suffice: earliest time, on the clock of Step, when it may
}

// FleetChange reports a change of the fleet: the number of this relay, from 0, and the number of relays.
type FleetChange struct{ Index, Size int }

// Woken is the wake-up that a Wake action asked for.
type Woken struct{}

// Acknowledged reports that the client has acknowledged the final answer of a message; see
// Settings.HoldUntilAcknowledged.
type Acknowledged struct{ ID string }

// Stop reports that the relay shuts down. Without Keep, waiting messages get their final answer in this step and
// those in flight with their result. With Keep, nothing more is sent and a later run resumes what is unfinished.
type Stop struct{ Keep bool }

func (Arrival) event()      {}
func (Result) event()       {}
func (Withdrawn) event()    {}
func (HostUpdate) event()   {}
func (Woken) event()        {}
func (Stop) event()         {}
func (Acknowledged) event() {}
func (ZoneBudget) event()   {}
func (FleetChange) event()  {}
func (Restored) event()     {}
func (RestoredHost) event() {}

// Action is an output of Chooser.Step that the relay must carry out; the types below implement it.
type Action interface{ action() }

// Send sends a message to a host. The attempt ends with outcome Timeout after the
// given time. Sends of one Step to one host share a call, up to Kind.PerCall
// messages.
type Send struct {
	ID      string
	Host    string
	Timeout time.Duration
	// StartWithin is the time after which the message must not be written to the host any more, for example
	// because the connection took long to open; 0 for no limit.
	StartWithin time.Duration
}

// Refuse is the final answer of a message that did not run, or that the client may safely repeat.
type Refuse struct {
	ID         string
	RetryAfter time.Duration // time that the client should wait before it retries (Retry-After); 0 for none
}

// Fail is the final answer of a message that may have run.
type Fail struct{ ID string }

// Cancel cancels an attempt. The attempt still gets its Result.
type Cancel struct {
	ID      string
	Attempt int
}

// CloseIdle closes this relay's idle connections to a host. A later Send to the host opens a new one.
type CloseIdle struct{ Host string }

// Wake asks for a Step with a Woken event after the given time.
type Wake struct{ After time.Duration }

// Subscribe asks for updates of the host list.
type Subscribe struct{}

// Log is a line for the relay's log.
type Log struct{ Text string }

func (Send) action()      {}
func (Refuse) action()    {}
func (Fail) action()      {}
func (Cancel) action()    {}
func (CloseIdle) action() {}
func (Wake) action()      {}
func (Subscribe) action() {}
func (Log) action()       {}
