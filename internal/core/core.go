// Package core implements the relay's event loop. One goroutine owns the decision
// module (package choice), the ledger of identities and all attempts. Events from
// fronts, sockets, timers and the endpoint list reach it through one inbox; it
// passes them to the module in batches and executes the actions that come back.
//
// The package takes no delivery decisions and opens no connections: choice decides,
// lifecycle checks what is allowed, a Caller talks to partners and a Journal stores
// records.
package core

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"basaltcross.example/basaltcross/choice"
	"basaltcross.example/basaltcross/internal/journal"
	"basaltcross.example/basaltcross/internal/ledger"
	"basaltcross.example/basaltcross/internal/lifecycle"
	"basaltcross.example/basaltcross/internal/limit"
	"basaltcross.example/basaltcross/internal/stall"
)

// Message is a message as a front hands it in.
type Message struct {
	Source        string        // client, for fair sharing of the inbox
	Identity      string        // client and the client's name for the message, for deduplication; empty for none
	Class         int           // index in Settings.Classes
	Partner       int           // index in the relay's partners
	Key           string        // ordering key, empty for none
	Left          time.Duration // time left to deliver the message, counted from the hand-in
	RespondWithin time.Duration // deadline of the response to the hand-in, counted from the hand-in; 0 for none
	Immediate     bool          // sent in the step that takes the message, or not at all; no retry
	RejectKnown   bool          // a hand-in with a known identity is rejected with ErrDuplicate instead of joining it
	Front         string        // name of the front that handed the message in
	ReturnPath    []byte        // data with which the front routes the answer to the client after a restart
	Head          []byte        // additional header lines for the partner, each with its CRLF
	Body          []byte        // must not be modified after the hand-in
	Reply         Reply         // receiver of the acceptance and of the final answer
}

// bytes returns the memory that the message's texts take up.
func (m *Message) bytes() int {
	return len(m.Identity) + len(m.Key) + cap(m.ReturnPath) + cap(m.Head) + cap(m.Body)
}

// Reply receives the results of one hand-in. Its methods run on the core's
// goroutine: they must not block and must not call back into the core.
type Reply interface {
	// Taken is called once. With a nil error the message is accepted and a final
	// answer follows; the hand-in may have joined a message with the same identity
	// that is in progress or has ended.
	Taken(err error)
	// Answer is called once after Taken(nil), unless a later hand-in of the
	// same identity has replaced this Reply.
	Answer(a ledger.Answer)
}

// Decider is a Reply that is notified when the step that took its message is over.
// An Answer that the module decided within that step comes before the notification.
type Decider interface {
	Decided()
	// Undecided is called instead of Decided if the records of the message cannot be
	// written in time. With held the message is stored, also for the next process, and
	// its final answer follows. Otherwise the message is dropped and no answer follows.
	Undecided(held bool)
}

// Reasons for which a hand-in is rejected.
var (
	ErrBusy        = errors.New("core: inbox is full, or this client's share of it")
	ErrJournalFull = errors.New("core: the journal takes nothing more now")
	ErrStopping    = errors.New("core: relay is stopping")
	ErrDuplicate   = errors.New("core: this identity was handed in before")
	ErrNoIdentity  = errors.New("core: a class that must never take effect twice needs an identity")
)

// Item is one message of a call that carries several.
type Item struct {
	Identity string // identity of the message
	Key      string
	Head     []byte // as Message.Head
	Body     []byte
}

// Call is one request to a host: an attempt of one message, or one attempt each of
// several messages.
type Call struct {
	Identity       string // identity of the message
	Items          []Item // all messages of a call that carries several, with Body empty; nil for one message
	ID             string // relay's id of the message, the same for each attempt
	Host           string // address of the endpoint
	Class          int
	Partner        int
	Key            string
	Zone           int           // current zone of the endpoint
	BytesPassed    *atomic.Int64 // counter of the bytes of the attempt on the socket, in both directions
	Head           []byte
	IdempotencyKey string // idempotency key; empty for classes without one
	Body           []byte
	Timeout        time.Duration // time-out, counted from Send
	WriteWithin    time.Duration // latest time of the first write, counted from Send; 0 for none
	// NotRepeatable marks a call with a message that must not take effect twice, Ordered one with a
	// message for which others of its key wait.
	NotRepeatable, Ordered bool
	// End receives the outcome of the attempt, once, from any goroutine.
	End func(Ending)
	// Retract withdraws, from any goroutine, an outcome that was passed to End: the response
	// belonged to another call. nil if the caller of Send ignores that.
	Retract func()
}

// Attempt is a call in progress.
type Attempt interface {
	// Abort ends the attempt on its socket. started reports whether any byte was
	// handed to the kernel. ok is false if the attempt had ended already; its
	// Ending is then delivered or about to be.
	Abort() (started, ok bool)
	// Recall aborts an attempt of which no byte was handed to the kernel. It
	// returns false, and does nothing, for any other.
	Recall() bool
	// AnswerPending reports whether bytes have arrived on the attempt's connection that are not processed yet:
	// they may be its answer.
	AnswerPending() bool
}

// Caller sends calls to partners.
type Caller interface {
	Send(Call) Attempt
	CloseIdle(host string)
}

// Observer receives events for metrics and logs.
type Observer interface {
	Taken(class int)
	Answered(class int, a ledger.Answer, took time.Duration)
	Attempted(class int, o choice.Outcome, took time.Duration)
	Log(text string)
	Gauge(held, calls, identities, inbox int)
}

// ZoneBudget is the budget for traffic between zones: it says which zones are open to a class
// and accounts for the bytes that cross.
type ZoneBudget interface {
	// Allowances returns what each class may send now, and false if that has not changed.
	Allowances(now time.Duration) (choice.ZoneBudget, bool)
	// Reserve reserves the cost of a call and returns the function that replaces the reservation
	// by the bytes that passed; nil if nothing is accounted. whole is true if the response
	// was received.
	Reserve(now time.Duration, class, partner, zone int) func(now time.Duration, passed int64, whole bool)
}

// Journal makes records durable. journal.Journal and journal.Log implement it. Its methods do not block.
type Journal interface {
	Stamp() journal.Stamp
	HasRoom(bytes int) bool // whether a message of that size can be stored
	RecordMessage(journal.Message)
	RecordAttempt(journal.Attempt)
	RecordEnd(journal.End)
	RecordWait(journal.Wait)
	Forget(identity string)
	// WhenWritten returns true if all earlier records are on disk. Otherwise it returns false and
	// calls done, from any goroutine, once they are.
	WhenWritten(done func()) bool
}

// Names translates indices to the names that are stored in records.
type Names struct {
	Partner func(int) string
	Zones   []string
}

// SharedZoneBudget is a ZoneBudget that the relays of the fleet share.
type SharedZoneBudget interface {
	Fleet(now time.Duration, relays int)
}

// Options configure a Core.
type Options struct {
	ZoneBudget ZoneBudget // nil if all zones are open
	Settings   choice.Settings
	Seed       uint64
	// Clock returns the monotonic time; nil for the machine's clock. With a simulated clock
	// the core is driven by Step instead of Run.
	Clock      func() time.Duration
	InboxSize  int            // capacity of the inbox in hand-ins, shared fairly among clients; ErrBusy beyond
	InboxBytes int            // capacity of the inbox in bytes of hand-ins, shared likewise, and of the batch in process; 0 for no limit
	Stalls     *stall.Monitor // tells when the process stood still; nil for one of the core's own
	Identities int            // capacity of the ledger in identities
	Retention  time.Duration  // retention of ended identities
	Caller     Caller
	Observer   Observer
	Journal    Journal // nil if nothing is stored
	Names      Names   // required with a Journal
	// RecordAllAttempts records each attempt, not only those of messages whose repeat does harm, so that
	// the count of attempts survives a restart.
	RecordAllAttempts bool
	// LateMargin is the margin before a message's deadline in which a successful response does not count as
	// delivery: the deadline of whoever handed it in began with the sending, so by that clock the
	// response may be too late. 0 if every response counts.
	LateMargin time.Duration
	// MaxCallBytes limits the size of a call with several messages, in bytes; 0 for no limit.
	// Messages that do not fit are sent in a further call.
	MaxCallBytes int
	Trace        lifecycle.Trace
	// DeliveryRetracted is called for a message that was answered as delivered because of a response that
	// belonged to another call. It must not block. nil if nobody can be notified.
	DeliveryRetracted func(identity string)
	// DeliveryUnproven is called for a message that was answered as delivered, when its time is over and
	// nothing has proved that the response belonged to its call. It must not block. It is set together
	// with DeliveryRetracted.
	DeliveryUnproven func(identity string)
	// Guard counts violations of the lifecycle; nil to count none.
	Guard *lifecycle.Guard
	// SkipHostRecords turns off records of the waits and failures of endpoints, which then end with the process.
	SkipHostRecords bool
}

// message is the state of a message from its hand-in to its final answer and last outcome.
type message struct {
	Message
	id         string
	entry      *ledger.Entry // nil without identity
	takenAt    time.Duration
	answered   bool          // the final answer is decided
	deadline   time.Duration // no call is sent later
	attempts   int           // attempts so far; number of the next one
	current    *attempt      // attempt in progress, nil for none
	seq        uint64
	journaled  bool // stored in the journal
	state      lifecycle.Message
	answerSent bool // the final answer was passed to Reply
	unproven   bool // the response that it was delivered by may belong to another call
}

// event is one entry of the inbox. Exactly one of arrival, ended, listing, fleet, withdrawn and call is set.
type event struct {
	arrival   *Message
	at        time.Duration // time of the hand-in
	ended     *attempt
	ending    Ending
	listing   *choice.HostUpdate
	fleet     *choice.FleetChange
	withdrawn string // identity of a message that is withdrawn
	by        Reply  // with withdrawn: no answer is due, if the message has this Reply; nil if an answer is still due
	call      func() // run on the core's goroutine
}

// Core is the event loop of one relay.
type Core struct {
	opt            Options
	chooser        *choice.Chooser
	identityLedger *ledger.Ledger
	clock          func() time.Duration // monotonic, from 0

	mu           sync.Mutex
	inbox        []event
	arrivals     *limit.Share // hand-ins in the inbox, by client
	arrivalBytes *limit.Share // their bytes, by client
	stopping     bool         // hand-ins are rejected
	wake         chan struct{}

	// The fields below belong to the goroutine of Run.
	now             time.Duration
	byID            map[string]*message
	byEntry         map[*ledger.Entry]*message // messages in progress
	timeouts        timeoutHeap                // first attempts of the calls in progress
	inFlight        map[*attempt]struct{}      // attempts in progress
	zones           map[string]int             // by endpoint
	kinds           map[string]int             // by endpoint
	wakeAt          time.Duration              // wake-up that the module asked for, below 0 for none
	lastSeq         uint64                     // last sequence number in use
	unanswered      int                        // messages without a final answer
	draining        bool                       // shutting down: hand-ins are rejected
	graceEnd        time.Duration              // end of the grace period at shutdown, below 0 for none
	batch           []choice.Event
	backlog         Backlog              // the journal, if it implements Backlog
	pendingSteps    pendingSteps         // steps that wait for records
	paused          bool                 // the module sends nothing, since records are not on disk
	recordedHosts   map[string]hostState // by endpoint, as recorded
	restoredHosts   map[string]hostState // state of endpoints from an earlier run that are not listed yet
	journalDeadline time.Duration        // at shutdown: end of the wait for the journal
	immediate       []string             // ids of messages with Immediate that arrived in this step
	newlyTaken      []*message           // messages with a Decider that arrived in this step
	undecided       map[*message]bool    // messages whose Decider was not notified yet
	pendingAnswers  map[*message]func()  // final answers that wait for their records
	unsettledIDs    map[string]string    // ids of refused or failed messages without Settled, by identity
	onIdle          func()               // called once no attempt is in progress
	parked          bool                 // the messages held are left to a later run
	unproven        unprovenDeliveries
	spareInbox      []event // inbox of the previous step, for reuse
}

// New returns a core. Run starts it.
func New(opt Options) (*Core, error) {
	ch, err := choice.New(opt.Settings, opt.Seed)
	if err != nil {
		return nil, fmt.Errorf("core: %w", err)
	}
	clock := opt.Clock
	if clock == nil {
		epoch := time.Now()
		clock = func() time.Duration { return time.Since(epoch) }
	}
	led := ledger.New(opt.Identities, opt.Retention)
	if opt.Journal != nil {
		led.Dropped = opt.Journal.Forget
	}
	c := &Core{opt: opt, chooser: ch, arrivals: limit.NewShare(opt.InboxSize),
		arrivalBytes: limit.NewShare(cmp.Or(opt.InboxBytes, math.MaxInt)), identityLedger: led,
		clock: clock,
		wake:  make(chan struct{}, 1), byID: map[string]*message{}, byEntry: map[*ledger.Entry]*message{},
		undecided: map[*message]bool{}, pendingAnswers: map[*message]func(){},
		inFlight: map[*attempt]struct{}{}, zones: map[string]int{}, kinds: map[string]int{},
		wakeAt: -1, graceEnd: -1, unsettledIDs: map[string]string{},
		recordedHosts: map[string]hostState{}, restoredHosts: map[string]hostState{}, journalDeadline: -1}
	c.watchBacklog()
	return c, nil
}

// Now returns the time of the core's monotonic clock.
func (c *Core) Now() time.Duration { return c.clock() }

// enqueue adds an event to the inbox and wakes the core. It returns an error only for hand-ins.
func (c *Core) enqueue(e event) error {
	c.mu.Lock()
	if e.arrival != nil {
		if err := c.admit(e.arrival); err != nil {
			c.mu.Unlock()
			return err
		}
	}
	c.inbox = append(c.inbox, e)
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return nil
}

// admit takes room in the inbox for a hand-in. The caller holds c.mu.
func (c *Core) admit(m *Message) error {
	switch {
	case c.stopping:
		return ErrStopping
	case !c.arrivals.Acquire(m.Source, 1):
		return ErrBusy
	case !c.arrivalBytes.Acquire(m.Source, m.bytes()):
		c.arrivals.Release(m.Source, 1)
		return ErrBusy
	}
	return nil
}

// Submit hands in a message. An error means that the message was rejected and that Reply
// will not be called. Only hand-ins are rejected: the number of other events is
// limited by the calls in progress and by their sources.
func (c *Core) Submit(m *Message) error { return c.enqueue(event{arrival: m, at: c.Now()}) }

// List passes on a change of the endpoint list.
func (c *Core) List(l choice.HostUpdate) { _ = c.enqueue(event{listing: &l}) }

// Fleet sets the number of relays and the index of this one, from 0.
func (c *Core) Fleet(index, size int) {
	_ = c.enqueue(event{fleet: &choice.FleetChange{Index: index, Size: size}})
}

// Withdraw cancels the message of an identity. It is not sent again; its final answer
// is still due.
func (c *Core) Withdraw(identity string) { _ = c.enqueue(event{withdrawn: identity}) }

// Abandon cancels the message of an identity without a final answer. It does nothing
// unless the current Reply of the message is by.
func (c *Core) Abandon(identity string, by Reply) { _ = c.enqueue(event{withdrawn: identity, by: by}) }

// Settled reports that the client has received a refusal or failure, see
// choice.Settings.HoldUntilAcknowledged.
func (c *Core) Settled(identity string) {
	_ = c.enqueue(event{call: func() { c.clearUnsettled(identity) }})
}

// clearUnsettled tells the module that the refusal or failure of an identity was received.
func (c *Core) clearUnsettled(identity string) {
	if id, ok := c.unsettledIDs[identity]; ok {
		delete(c.unsettledIDs, identity)
		c.batch = append(c.batch, choice.Acknowledged{ID: id})
	}
}

// Park stops sending and keeps the messages held for a later run of the process.
// idle is called once, when no attempt is in progress any more.
func (c *Core) Park(idle func()) {
	_ = c.enqueue(event{call: func() {
		c.batch = append(c.batch, choice.Stop{Keep: true})
		c.onIdle, c.parked = idle, true
	}})
}

// CloseCalls gives up the calls in progress behind Park, but for those whose answer has arrived: a later run must know
// what an answer that was read says. The messages of the others stay as they are for that run.
func (c *Core) CloseCalls() {
	_ = c.enqueue(event{call: func() {
		for a := range c.inFlight {
			if a.leader == nil && !a.handle.AnswerPending() {
				a.handle.Abort()
			}
		}
	}})
}

// Inspect runs f on the core's goroutine, with the numbers of messages held and of attempts
// in progress, and waits for it.
func (c *Core) Inspect(ctx context.Context, f func(held, out int)) error {
	done := make(chan struct{})
	_ = c.enqueue(event{call: func() { f(c.unanswered, len(c.inFlight)); close(done) }})
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Sizes returns the sizes of the core's and the module's tables, by name.
func (c *Core) Sizes(ctx context.Context) (all map[string]int, err error) {
	err = c.Inspect(ctx, func(int, int) {
		all = c.chooser.Sizes()
		all["messages"], all["identities"], all["outs"], all["noted"] =
			len(c.byID), c.identityLedger.Len(), len(c.inFlight), len(c.recordedHosts)
		all["owing"], all["doubts"], all["delivered"] =
			len(c.unsettledIDs), len(c.unproven.steps), len(c.unproven.delivered)
		all["endpoints"], all["timers"] = max(len(c.zones), len(c.kinds)), len(c.timeouts)
	})
	return all, err
}

// After a stall of the process the core waits until the events of that time have come in from the sockets: it checks
// the inbox every settleInterval, settleRounds times at most.
const (
	settleInterval = 10 * time.Millisecond
	settleRounds   = 20
)

// Run processes events until ctx ends. It then rejects hand-ins, gives attempts in progress
// the time grace to finish, lets the module answer the remaining messages, and returns.
func (c *Core) Run(ctx context.Context, grace time.Duration) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	stalls := c.opt.Stalls
	if stalls == nil {
		stalls = stall.Start()
		defer stalls.Stop()
	}
	done := ctx.Done()
	for {
		sleep := time.Hour
		if at := c.nextTime(); at >= 0 {
			sleep = max(0, at-c.Now())
		}
		timer.Reset(sleep)
		select {
		case <-c.wake:
		case <-timer.C:
		case <-done:
			if done = nil; c.parked {
				return
			}
			c.mu.Lock()
			c.stopping = true
			c.mu.Unlock()
			c.graceEnd, c.draining = c.Now()+grace, true
			c.journalDeadline = c.graceEnd + grace
		}
		if stalls.Ending(time.Now()) {
			c.awaitLateEvents()
		}
		c.now = c.Now()
		c.processInbox()
		// A journal that has failed never reports that a record is on disk.
		if c.draining && len(c.byID) == 0 && (c.pendingSteps.empty() || c.now >= c.journalDeadline) {
			return
		}
	}
}

// Step processes the inbox once, for a simulation with its own clock. It returns the time
// of the next Step at the latest, below 0 for none.
func (c *Core) Step() (next time.Duration) {
	c.now = c.Now()
	c.processInbox()
	return c.nextTime()
}

// awaitLateEvents waits, after the process has stood still, until no events have come in for a while.
// Responses in the kernel's buffers then reach the inbox before their time-outs are
// checked, and count as in time.
func (c *Core) awaitLateEvents() {
	seen := -1
	for range settleRounds {
		c.mu.Lock()
		n := len(c.inbox)
		c.mu.Unlock()
		if n == seen {
			return
		}
		seen = n
		time.Sleep(settleInterval)
	}
}

// nextTime returns the time at which the inbox has to be processed at the latest; below 0 for none.
func (c *Core) nextTime() time.Duration {
	at := c.wakeAt
	if len(c.timeouts) > 0 && (at < 0 || c.timeouts[0].timeoutAt < at) {
		at = c.timeouts[0].timeoutAt
	}
	if c.graceEnd >= 0 && (at < 0 || c.graceEnd < at) {
		at = c.graceEnd
	}
	if due := c.pendingSteps.next(c); due >= 0 && (at < 0 || due < at) {
		at = due
	}
	if due := c.unproven.next(); due >= 0 && (at < 0 || due < at) {
		at = due
	}
	if c.draining && (at < 0 || c.journalDeadline < at) {
		at = c.journalDeadline
	}
	return at
}

// processInbox processes the inbox and all timers that are due, and has the module decide on them
// in one step.
func (c *Core) processInbox() {
	c.mu.Lock()
	events := c.inbox
	c.inbox = c.spareInbox[:0]
	c.arrivals.ReleaseAll()
	c.arrivalBytes.ReleaseAll()
	c.mu.Unlock()
	c.batch = c.batch[:0]
	recall := map[string]bool{}
	for i := range events {
		switch e := &events[i]; {
		case e.ended != nil:
			c.endCall(e.ended, e.ending)
			if e.ending.Wait > 0 {
				c.addWaitingHosts(e.ended, recall)
			}
		case e.arrival != nil:
			c.handleArrival(e.arrival, e.at)
		case e.listing != nil:
			c.batch = append(c.batch, *e.listing)
			c.applyListing(e.listing, recall)
			c.restoreHosts(e.listing)
		case e.fleet != nil:
			c.batch = append(c.batch, *e.fleet)
			if t, ok := c.opt.ZoneBudget.(SharedZoneBudget); ok {
				t.Fleet(c.now, e.fleet.Size)
			}
		case e.withdrawn != "":
			c.withdraw(e.withdrawn, e.by)
		case e.call != nil:
			e.call()
		}
		events[i] = event{}
	}
	c.spareInbox = events
	if len(recall) > 0 {
		c.recall(recall)
	}
	c.runDue()
	// Time-outs come after the events, so that a response in the same batch counts.
	for len(c.timeouts) > 0 && c.timeouts[0].timeoutAt <= c.now {
		if !c.awaitArrivedAnswer(c.timeouts[0]) {
			c.abortCall(c.timeouts[0], choice.Timeout)
		}
	}
	if c.graceEnd >= 0 && c.now >= c.graceEnd {
		c.graceEnd = -1
		c.batch = append(c.batch, choice.Stop{})
		for a := range c.inFlight {
			if a.leader == nil && !c.awaitArrivedAnswer(a) {
				c.abortCall(a, choice.Cancelled)
			}
		}
	}
	if c.wakeAt >= 0 && c.wakeAt <= c.now {
		c.wakeAt = -1
		c.batch = append(c.batch, choice.Woken{})
	}
	if c.opt.ZoneBudget != nil {
		if news, ok := c.opt.ZoneBudget.Allowances(c.now); ok {
			c.batch = append(c.batch, news)
		}
	}
	c.respondOverdue()
	c.pauseSends()
	for len(c.batch) > 0 {
		c.carryOut(c.chooser.Step(c.now, c.batch))
		c.batch = c.batch[:0]
		for _, id := range c.immediate { // not sent in this step: withdrawn
			if m := c.byID[id]; m != nil && !m.answered {
				c.batch = append(c.batch, choice.Withdrawn{ID: id, AnswerOwed: true})
			}
		}
		c.immediate = c.immediate[:0]
		c.pauseSends()
	}
	for _, m := range c.newlyTaken {
		c.undecided[m] = true
		c.whenDurable(true, func() { // not before the record of the message is on disk
			if c.undecided[m] {
				delete(c.undecided, m)
				m.Reply.(Decider).Decided()
			}
		}, m.seq)
	}
	clear(c.newlyTaken)
	c.newlyTaken = c.newlyTaken[:0]
	c.runWritten()
	c.reportOverdue()
	if c.onIdle != nil && len(c.inFlight) == 0 {
		c.onIdle()
		c.onIdle = nil
	}
	c.opt.Observer.Gauge(c.unanswered, len(c.timeouts), c.identityLedger.Len(), len(events))
}

// answer decides the final answer of a message. It is recorded and passed to Reply once the
// record is on disk.
func (c *Core) answer(m *message, a ledger.Answer) {
	if m.answered || !m.state.MayEnd(c.opt.Guard, a.Verdict == ledger.Refused) {
		return
	}
	m.answered = true
	c.unanswered--
	if m.entry != nil {
		c.identityLedger.End(c.now, m.entry, a)
		delete(c.byEntry, m.entry)
	}
	if c.opt.Settings.HoldUntilAcknowledged && (a.Verdict == ledger.Refused || a.Verdict == ledger.Failed) {
		c.unsettledIDs[m.Identity] = m.id
	}
	if m.journaled && !c.takeBack(m) {
		c.opt.Journal.RecordEnd(journal.End{Seq: m.seq, Identity: m.Identity,
			Class:   c.opt.Settings.Classes[m.Class].Name,
			Verdict: uint8(a.Verdict), After: int64(a.RetryAfter), At: c.opt.Journal.Stamp(),
			Front: m.Front, Way: m.ReturnPath, Unproven: m.unproven})
	}
	tell := func() {
		if m.answerSent {
			return
		}
		m.answerSent = true
		delete(c.pendingAnswers, m)
		if m.state.MayAnswer(c.opt.Guard, c.now, c.recorded(m)) {
			c.opt.Trace.Step(m.Identity, "told", a.Verdict.String())
			m.Reply.Answer(a)
		}
	}
	c.opt.Trace.Step(m.Identity, "ended", a.Verdict.String())
	if c.opt.Settings.HoldUntilAcknowledged {
		c.pendingAnswers[m] = tell
	}
	c.whenDurable(m.journaled, tell, m.seq)
	c.opt.Observer.Answered(m.Class, a, c.now-m.takenAt)
	c.removeFinished(m)
}

// repeatPolicies maps the module's effects to those of lifecycle.
var repeatPolicies = [...]lifecycle.Repeatability{choice.Safe: lifecycle.Repeatable,
	choice.Keyed:  lifecycle.RepeatableInWindow,
	choice.Unsafe: lifecycle.NotRepeatable}

// removeFinished removes a message that is answered and has no attempt in progress.
func (c *Core) removeFinished(m *message) {
	if m.answered && m.current == nil {
		delete(c.byID, m.id)
	}
}

// carryOut executes the actions of the module, in their order.
func (c *Core) carryOut(actions []choice.Action) {
	groups := map[string][]*attempt{} // for hosts that accept several messages a call
	for i, act := range actions {
		switch act := act.(type) {
		case choice.Send:
			a := c.newAttempt(act)
			perCall := c.kind(act.Host).PerCall
			if perCall <= 1 {
				c.send(a)
				continue
			}
			group := groups[act.Host]
			if a != nil && !c.fitsCall(group, a) {
				c.sendGroup(group)
				group = nil
			}
			if a != nil { // the rest of the group is sent even if its last message is gone
				group = append(group, a)
			}
			if groups[act.Host] = group; len(group) >= perCall || !anySendTo(actions[i+1:], act.Host) {
				delete(groups, act.Host)
				c.sendGroup(group)
			}
		case choice.Refuse:
			if m := c.byID[act.ID]; m != nil {
				c.refuse(m, act.RetryAfter)
			}
		case choice.Fail:
			if m := c.byID[act.ID]; m != nil {
				c.answer(m, ledger.Answer{Verdict: ledger.Failed})
			}
		case choice.Cancel:
			if m := c.byID[act.ID]; m != nil && m.current != nil && m.current.attemptNo == act.Attempt {
				a := m.current
				if a.cancelled = true; a.leader != nil {
					a = a.leader
				}
				if slices.ContainsFunc(a.members(), func(b *attempt) bool {
					return !b.cancelled &&
						b.msg.current == b
				}) {
					continue // other messages of this call are not cancelled
				}
				if c.awaitArrivedAnswer(a) {
					continue // the response ends the call, or else the time-out, which is now near
				}
				started, ok := a.handle.Abort()
				if !ok {
					continue // the response came first
				}
				e := Ending{Outcome: choice.Cancelled, Took: c.now - a.sentAt}
				if !started {
					e.Outcome = choice.NotSent
				}
				c.enqueueOwn(event{ended: a, ending: e})
			}
		case choice.CloseIdle:
			c.opt.Caller.CloseIdle(act.Host)
		case choice.Wake:
			if at := c.now + act.After; c.wakeAt < 0 || at < c.wakeAt {
				c.wakeAt = at
			}
		case choice.Log:
			c.opt.Observer.Log(act.Text)
		}
	}
}

// enqueueOwn adds an event that the core itself raises; it is processed in the next batch.
func (c *Core) enqueueOwn(e event) { _ = c.enqueue(e) }

// idempotencyKey returns the idempotency key: the identity if there is one, so that a hand-in
// at another relay carries the same key.
func (m *message) idempotencyKey() string {
	if m.Identity != "" {
		return m.Identity
	}
	return m.id
}
