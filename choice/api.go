// Package choice makes the decisions of an outbound gateway: which message a
// relay sends next, to which endpoint, how long it waits, whether it tries
// again, and when it gives a message back.
//
// A relay embeds one Chooser. It hands Step the time and everything that has
// happened since the last call, carries out the actions that come back, and
// reports what became of them as later events. The package opens no
// connection, starts no goroutine and reads no clock.
//
// Times are durations since an epoch of the relay's choosing; they must never
// run backwards. The same seed and the same events yield the same actions.
package choice

import "time"

// Effect says what a second execution of a message would do.
type Effect int

// The kinds of effect.
const (
	Safe   Effect = iota // a repeat does no harm
	Keyed                // the destination drops repeats for a while
	Unsafe               // a repeat must never happen
)

// Class describes one class of message.
type Class struct {
	Name      string
	Aim       time.Duration // delivered within this, it earns all its worth
	Deadline  time.Duration // after this it is worth nothing
	Worth     float64
	LateShare float64 // share of the worth that is left at the deadline
	Effect    Effect
	// SameZone limits repeats of a keyed message to endpoints in the zone of
	// the attempt that may have run; otherwise every endpoint drops them.
	SameZone bool
	Window   time.Duration // how long a keyed message is remembered
	Ordered  bool          // messages that share a key go one at a time, in order
}

// Kind describes one kind of destination.
type Kind struct {
	Apart   bool // endpoints are routes apart, each with limits and health of its own
	PerCall int  // messages that one call carries at most
}

// Rules are the figures of the operating rules.
type Rules struct {
	AnswerGrace    time.Duration // how long past its deadline a final answer still counts
	DrainGrace     time.Duration // how long a draining endpoint may still be sent to
	OverloadFactor float64       // a cold destination falls over above this multiple ...
	Fall           time.Duration // ... of its present capacity, kept up for this long
	ColdFrom       float64       // share of its capacity with which a destination returns
	Cold           time.Duration // time until it has all of its capacity again
	OrderSettle    time.Duration // rest of a key after an attempt whose end is unsure
}

// Settings configure a Chooser.
type Settings struct {
	Index       int // this relay's number, from 0
	Fleet       int // relays in all
	Workers     int // calls that may be out at once
	MaxHeld     int // messages held at most, sent or not
	MaxAttempts int // attempts for one message, those never sent included
	Tick        time.Duration
	// MaxRetryAfter is the longest Refuse.After that clients heed; 0 where none may be told.
	MaxRetryAfter time.Duration
	ConnIdle      time.Duration // idle connections close by themselves after this; 0 if unknown
	Classes       []Class
	Kinds         []Kind
	ZoneFee       []float64 // points for each message a route apart takes on, by zone
	Halving       bool      // after the aim worth falls by half with each further aim; else evenly
	Listed        bool      // Host.Rate is the rate that a destination takes from all relays
	Cancels       bool      // Cancel is allowed
	Subscribe     bool      // list changes come only after Subscribe
	Certain       bool      // refuse only what certainly never ran; else also what may safely come again
	// Acknowledged: a message that was refused or failed keeps its place in the order of its key until Settled.
	Acknowledged bool
	// TakenBack is what it costs to give up a message that has surely not run once the step that took it is over:
	// a share of its worth, before a share of its time has gone. 0 where that costs nothing.
	TakenBack struct{ Cost, Before float64 }
	// ReportLimit is the place in Result.Report of the limit in calls a second;
	// below 0 where it is not reported.
	ReportLimit int
	Rules       Rules
}

// Outcome is how an attempt ended.
type Outcome int

// The outcomes. Refused, NoConnection and NotSent prove that the message never
// ran; Served proves that it did; the others prove nothing.
const (
	Served Outcome = iota
	Error
	Refused
	Timeout
	NoConnection
	Reset
	Cancelled
	NotSent
	// Doubted: answered, but perhaps not this attempt. It may have run; nothing is learned of the endpoint.
	Doubted
)

// An Event tells a Chooser what happened. The types below are the events.
type Event interface{ event() }

// Arrival is a new message; the Chooser owes it one final answer.
type Arrival struct {
	ID    string
	Class int
	Dest  int
	Left  time.Duration // how long it may still be delivered
	Key   string        // key of the order; empty for none
}

// Restored is an Arrival of a message that an earlier run of the relay held.
type Restored struct {
	Arrival
	Attempts int
	Answered bool          // refused or failed then, and not Settled yet
	Ran      bool          // one of them may have run, and its answer have come: it is not refused any more
	Since    time.Duration // ago the first of those was sent
	Zone     int           // to which zone; below 0 if it is not known any more
}

// Waited is what an earlier run knew of an endpoint that is on the list.
type Waited struct {
	Host    string
	Left    time.Duration // of a told wait
	Failing bool          // its last calls failed
}

var outcomeNames = [...]string{Served: "served", Error: "error", Refused: "refused", Timeout: "timeout", NoConnection: "no_connection",
	Reset: "reset", Cancelled: "cancelled", NotSent: "not_sent",
	Doubted: "doubted"}

// String is the outcome's name in logs and metrics.
func (o Outcome) String() string {
	if o < 0 || int(o) >= len(outcomeNames) {
		return "unknown"
	}
	return outcomeNames[o]
}

// Result ends one attempt.
type Result struct {
	ID      string
	Host    string
	Attempt int
	Outcome Outcome
	Took    time.Duration // since the attempt went out
	Wait    time.Duration // told: send nothing there for so long; 0 if none was told
	Done    bool          // the message is finished; no answer is owed any more. Served without it came too late
	Spent   bool          // with NotSent: the message has had all its attempts
	Report  []float64     // load report, if any
}

// Withdrawn says that nobody wants a message any more: it is sent no further. Where it is still owed its final
// answer, that comes in this step, or with the result if the message is out.
type Withdrawn struct {
	ID   string
	Owed bool
}

// State is an endpoint's state on the list.
type State int

// The states; none tells of health.
const (
	Gone State = iota
	Ready
	Draining
)

// Host is one endpoint as the list has it.
type Host struct {
	Addr  string
	Dest  int
	Kind  int
	Zone  int
	Rate  float64 // see Settings.Listed
	State State
}

// Listing is news of the endpoint list.
type Listing struct {
	Whole  bool // replaces the old list; else only changed entries
	Failed bool // asking for the list failed; the old one stands
	Hosts  []Host
}

// Tolls say what crossing to other zones costs from now on; the next ones replace them. A message may go to a
// zone other than Home while what is Left would stay at its class's floor or above; each send takes its cost.
type Tolls struct {
	Home  int
	Left  float64
	Class []Toll
}

// Toll is what crossing costs one class.
type Toll struct {
	Cost, Floor float64
	Urgent      float64       // the floor for a message with less than a quarter of its time left
	Own         float64       // left of the class's own allowance
	Again       time.Duration // where it is closed: until then at least, on the clock of Step
}

// Fleet says that the fleet has changed: this relay's number in it, from 0, and its size.
type Fleet struct{ Index, Size int }

// Woken is the wake-up that a Wake action asked for.
type Woken struct{}

// Settled says that the final answer of a message has reached who is owed it; see Settings.Acknowledged.
type Settled struct{ ID string }

// Stop says that the relay shuts down: nothing further may be sent. Messages that wait get their final answer
// in this step, those that are out with their result; with Keep a later run goes on with all that is not over.
type Stop struct{ Keep bool }

func (Arrival) event()   {}
func (Result) event()    {}
func (Withdrawn) event() {}
func (Listing) event()   {}
func (Woken) event()     {}
func (Stop) event()      {}
func (Settled) event()   {}
func (Tolls) event()     {}
func (Fleet) event()     {}
func (Restored) event()  {}
func (Waited) event()    {}

// An Action is something the relay must do. The types below are the actions.
type Action interface{ action() }

// Send calls an endpoint with a message. The attempt ends as Timeout after the
// given time. Sends of one Step to one host share a call as far as
// Kind.PerCall allows.
type Send struct {
	ID      string
	Host    string
	Timeout time.Duration
	Within  time.Duration // not sent any more once this is over, as where no connection was up; 0 for no such time
}

// Refuse ends a message: it did not run, and the client may safely come again.
type Refuse struct {
	ID    string
	After time.Duration // advice to the client: not before then; 0 for none
}

// Fail ends a message; whether it ran is not known.
type Fail struct{ ID string }

// Cancel calls an attempt off; it still gets its Result.
type Cancel struct {
	ID      string
	Attempt int
}

// CloseIdle shuts this relay's idle connections to an endpoint. A Send to it that follows opens a new one.
type CloseIdle struct{ Host string }

// Wake asks for a Step with a Woken event after a while.
type Wake struct{ After time.Duration }

// Subscribe asks for changes of the endpoint list.
type Subscribe struct{}

// Log is a line for the operators.
type Log struct{ Text string }

func (Send) action()      {}
func (Refuse) action()    {}
func (Fail) action()      {}
func (Cancel) action()    {}
func (CloseIdle) action() {}
func (Wake) action()      {}
func (Subscribe) action() {}
func (Log) action()       {}
