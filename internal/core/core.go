// Package core is the relay's centre: one goroutine owns the decision module,
// the ledger of identities and all attempts. Whatever happens reaches it as
// events in batches; it hands them to the module and carries out what comes
// back. It decides nothing about delivery.
package core

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"basaltcross.example/basaltcross/choice"
	"basaltcross.example/basaltcross/internal/journal"
	"basaltcross.example/basaltcross/internal/ledger"
	"basaltcross.example/basaltcross/internal/lifecycle"
	"basaltcross.example/basaltcross/internal/limit"
)

// Message is what a front hands in.
type Message struct {
	Source   string // the client, for its share of the inbox
	Identity string // who handed it in and what they call it; empty if nothing tells it apart
	Class    int    // index in Config.Classes
	Partner  int    // index in the relay's partners
	Key      string // key of the order
	Left     time.Duration
	Respond  time.Duration // whoever hands it in must hear of it within this; 0 for no such time
	Now      bool          // sent at once or not at all, and not again
	Once     bool          // a further hand-in of an identity that is known is turned away with ErrKnown
	Front    string        // which front, and
	Way      []byte        // what it needs to find the way back after a restart
	Head     []byte        // further header lines for the partner, each with its CRLF
	Body     []byte        // not changed after the hand-in
	Reply    Reply         // where "taken" and the final answer go
}

// Reply receives what becomes of one hand-in. Its methods run on the core's
// goroutine: they must not block and must not call back into the core.
type Reply interface {
	// Taken is called once. With a nil error the message is owed an answer; it
	// may have joined one under way, or an ended one whose answer follows.
	Taken(err error)
	// Answer is called once after Taken(nil), unless a later hand-in of the
	// same identity has taken its place.
	Answer(a ledger.Answer)
}

// Decider is a Reply that is told when the step that took its message is over: an
// Answer that the module gave at once has come by then.
type Decider interface {
	Decided()
	// Undecided ends the wait for records that cannot be written in time, if Decided has not
	// come: the message is held, by the next run too, and its final answer follows; or nobody
	// knows it, and none does.
	Undecided(held bool)
}

// Why a hand-in was not taken.
var (
	ErrBusy       = errors.New("core: inbox is full, or this client's share of it")
	ErrJournal    = errors.New("core: the journal takes nothing more now")
	ErrStopping   = errors.New("core: relay is stopping")
	ErrKnown      = errors.New("core: this identity was handed in before")
	ErrNoIdentity = errors.New("core: a class that must never take effect twice needs an identity")
)

// Item is one message of a call that carries several.
type Item struct {
	ID   string // as its client named it
	Key  string
	Head []byte // as that of a call with one message
	Body []byte
}

// Call is one attempt as the caller of partners sees it, or one each of several
// messages that travel together.
type Call struct {
	Name    string // of the message as its client gave it
	Several []Item // nil for one message; else all of them, and Body is empty
	ID      string // message, the same for each attempt
	Host    string // endpoint address
	Class   int
	Partner int
	Key     string
	Zone    int           // of the endpoint, as the list has it now
	Passed  *atomic.Int64 // counts the attempt's bytes on the socket, both ways
	Head    []byte
	Idem    string // idempotency key; empty where the class keeps none
	Body    []byte
	Patient time.Duration // time-out, from the moment of sending
	Within  time.Duration // nothing is written later than this after it; 0 for no such time
	// Once: a second effect does harm, or messages of the same key go after it.
	Once bool
	// End takes the attempt's outcome, once, from any goroutine.
	End func(Ending)
	// Doubted says, from any goroutine, that the outcome was another call's; nil for nobody to
	// be told.
	Doubted func()
}

// Ending is how an attempt ended on its socket.
type Ending struct {
	Outcome choice.Outcome
	Took    time.Duration
	Wait    time.Duration // told with a refusal
	Over    bool          // with NotSent: the message is over, nothing more is owed
	Spent   bool          // with NotSent: it has had all its attempts
	Report  []float64     // load report, nil for none
	// Unconfirmed is how long what rests on the answer waits, Unsettled how long it may turn out to be
	// another call's; 0 for never.
	Unconfirmed, Unsettled time.Duration
	// Each tells of the messages of a call apart, in their order; nil where all fared the same.
	Each []Ending
}

// Attempt is a call that is out.
type Attempt interface {
	// Abort ends the attempt on its socket and reports how: started if
	// anything was handed to the kernel. ok is false if it had ended already,
	// and its Ending is delivered or on its way.
	Abort() (started, ok bool)
	// Recall is Abort for an attempt of which not a byte was handed over; it
	// reports false, and does nothing, for any other.
	Recall() bool
}

// Caller calls partners.
type Caller interface {
	Send(Call) Attempt
	CloseIdle(host string)
}

// Observer is told what passes, for metrics and logs; nil methods are not allowed.
type Observer interface {
	Taken(class int)
	Answered(class int, a ledger.Answer, took time.Duration)
	Attempted(class int, o choice.Outcome, took time.Duration)
	Log(text string)
	Gauge(held, calls, identities, inbox int)
}

// Toll tells which zones are open to a class, and books what crosses.
type Toll interface {
	// Tolls are news for the module; false if there is none.
	Tolls(now time.Duration) (choice.ZoneBudget, bool)
	// Sent returns what settles a send by the bytes that passed, nil for none.
	Sent(now time.Duration, class, partner, zone int) func(now time.Duration, passed int64, whole bool)
}

// Journal makes records durable; journal.Journal and journal.Log are. None of its methods blocks.
type Journal interface {
	Stamp() journal.Stamp
	HasRoom(bytes int) bool // for a message of that size
	RecordMessage(journal.Message)
	RecordAttempt(journal.Attempt)
	RecordEnd(journal.End)
	RecordWait(journal.Wait)
	Forget(identity string)
	// WhenWritten calls done from any goroutine once all that was handed in is on disk; where
	// it is there already, WhenWritten returns true instead.
	WhenWritten(done func()) bool
}

// Names are those that records have.
type Names struct {
	Partner func(int) string
	Zones   []string
}

// Sharer is a Toll that is shared by the fleet.
type Sharer interface {
	Fleet(now time.Duration, relays int)
}

// Options of a Core.
type Options struct {
	Toll     Toll // nil: all zones are open
	Settings choice.Settings
	Seed     uint64
	// Clock is the monotonic time; nil for the machine's. With a clock of its own
	// a core is driven by Step instead of Run.
	Clock      func() time.Duration
	Arrivals   int // hand-ins that wait for the core; past a client's share they are turned away with ErrBusy
	Identities int
	Keep       time.Duration
	Caller     Caller
	Observer   Observer
	Journal    Journal // nil: nothing survives a crash
	Names      Names   // needed with a Journal
	// Every attempt is recorded, not only those whose repeat would do harm: then
	// those spent count in the next run too.
	Every bool
	// Late: an answer that comes within this before a message's time is up may be too
	// late by the clock of who handed it in, which began with the sending: the message
	// counts as delivered only if its partner says so earlier. 0: every answer counts.
	Late time.Duration
	// Together bounds the content of a call that carries several messages, in bytes; 0 for
	// no bound. Those that do not fit travel in a call of their own.
	Together int
	Trace    lifecycle.Trace
	// Undelivered is told of messages that were delivered by an answer which was another call's; it
	// must not block. nil: nobody can be told.
	Undelivered func(identity string)
	// Guard decides whether a message may be sent and ended; nil for one that keeps no count.
	Guard *lifecycle.Guard
	// Forgetful: waits and failures that endpoints told end with the process.
	Forgetful bool
}

// message is one message from hand-in to final answer and last outcome.
type message struct {
	Message
	id       string
	entry    *ledger.Entry // nil without identity
	taken    time.Duration
	answered bool
	due      time.Duration
	tries    int
	out      *attempt
	seq      uint64
	kept     bool // in the journal
	life     lifecycle.Message
	told     bool // its final answer has left
}

// event is one entry of the inbox.
type event struct {
	arrival *Message
	at      time.Duration
	ended   *attempt
	ending  Ending
	listing *choice.HostUpdate
	fleet   *choice.FleetChange
	drop    string // identity withdrawn
	by      Reply  // nobody is owed its answer, if it came with this; nil: it is still wanted
	call    func()
}

// Core runs one relay.
type Core struct {
	opt   Options
	ch    *choice.Chooser
	led   *ledger.Ledger
	clock func() time.Duration // monotonic, from 0

	mu       sync.Mutex
	inbox    []event
	arrivals *limit.Share
	stopping bool
	wake     chan struct{}
	beat     atomic.Int64 // last heart beat, by Now

	// Owned by Run.
	now      time.Duration
	msgs     map[string]*message
	byEntry  map[*ledger.Entry]*message
	waits    timers
	outs     map[*attempt]struct{}
	zones    map[string]int // by endpoint
	kinds    map[string]int
	wakeAt   time.Duration
	next     uint64
	owed     int
	draining bool // shutting down: nothing further is taken
	stopAt   time.Duration
	batch    []choice.Event
	backlog  Backlog             // the journal, if it is one
	records  records             // what waits for them
	paused   bool                // nothing is sent: records wait
	noted    map[string]noted    // by endpoint, as recorded
	waited   map[string]noted    // from an earlier run, for endpoints not yet listed
	lastAt   time.Duration       // while shutting down: what waits for the journal is given up then
	nows     []string            // messages that go in this step or not at all
	fresh    []*message          // taken in this step, with a Decider
	open     map[*message]bool   // Deciders that were not told yet
	untold   map[*message]func() // final answers that wait for their records
	owing    map[string]string   // ids by identity: refused or failed, and not Settled
	idle     func()              // to be called once nothing is out
	parked   bool                // a later run goes on with what is held
	doubts   doubts
	spare    []event
}

// New returns a core; Run makes it work.
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
	led := ledger.New(opt.Identities, opt.Keep)
	if opt.Journal != nil {
		led.Dropped = opt.Journal.Forget
	}
	c := &Core{opt: opt, ch: ch, arrivals: limit.NewShare(opt.Arrivals), led: led,
		clock: clock,
		wake:  make(chan struct{}, 1), msgs: map[string]*message{}, byEntry: map[*ledger.Entry]*message{},
		open: map[*message]bool{}, untold: map[*message]func(){}, outs: map[*attempt]struct{}{}, zones: map[string]int{}, kinds: map[string]int{}, wakeAt: -1, stopAt: -1,
		owing: map[string]string{}, noted: map[string]noted{}, waited: map[string]noted{}, lastAt: -1}
	c.watchBacklog()
	return c, nil
}

// Now is the core's monotonic clock.
func (c *Core) Now() time.Duration { return c.clock() }

func (c *Core) put(e event) error {
	c.mu.Lock()
	if e.arrival != nil {
		if c.stopping || !c.arrivals.Enter(e.arrival.Source) {
			stopping := c.stopping
			c.mu.Unlock()
			if stopping {
				return ErrStopping
			}
			return ErrBusy
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

// Submit hands a message in. An error means that it was not taken and Reply
// will not be called. Outcomes, list news and answers are never turned away:
// they are bounded by the calls out and by their sources.
func (c *Core) Submit(m *Message) error { return c.put(event{arrival: m, at: c.Now()}) }

// List hands in news of the endpoint list.
func (c *Core) List(l choice.HostUpdate) { _ = c.put(event{listing: &l}) }

// Fleet says how many relays there are, and which of them this is, from 0.
func (c *Core) Fleet(index, size int) {
	_ = c.put(event{fleet: &choice.FleetChange{Index: index, Size: size}})
}

// Withdraw says that nobody wants the message of an identity any more. It is
// sent no further; its final answer says what became of it.
func (c *Core) Withdraw(identity string) { _ = c.put(event{drop: identity}) }

// Abandon is Withdraw where nobody is owed an answer any more. It does nothing
// unless the message came with that Reply.
func (c *Core) Abandon(identity string, by Reply) { _ = c.put(event{drop: identity, by: by}) }

// Settled says that a refusal or failure has reached who was owed it.
func (c *Core) Settled(identity string) {
	_ = c.put(event{call: func() { c.settled(identity) }})
}

func (c *Core) settled(identity string) {
	if id, ok := c.owing[identity]; ok {
		delete(c.owing, identity)
		c.batch = append(c.batch, choice.Acknowledged{ID: id})
	}
}

// Park says that this run ends soon and a later one goes on with what is held:
// nothing further is sent. idle is called, once, when nothing is out any more.
func (c *Core) Park(idle func()) {
	_ = c.put(event{call: func() {
		c.batch = append(c.batch, choice.Stop{Keep: true})
		c.idle, c.parked = idle, true
	}})
}

// Inspect runs f on the core's goroutine and waits for it.
func (c *Core) Inspect(ctx context.Context, f func(held, out int)) error {
	done := make(chan struct{})
	_ = c.put(event{call: func() { f(c.owed, len(c.outs)); close(done) }})
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Sizes are those of the core's tables and of the module's.
func (c *Core) Sizes(ctx context.Context) (all map[string]int, err error) {
	err = c.Inspect(ctx, func(int, int) {
		all = c.ch.Sizes()
		all["messages"], all["identities"], all["outs"], all["noted"] = len(c.msgs), c.led.Len(), len(c.outs), len(c.noted)
		all["owing"], all["doubts"], all["delivered"] = len(c.owing), len(c.doubts.steps), len(c.doubts.delivered)
		all["endpoints"], all["timers"] = max(len(c.zones), len(c.kinds)), len(c.waits)
	})
	return all, err
}

// A heart beats every beat; one that is late by stall says that the whole
// process stood still. Then the core waits, in rounds of settle, until the
// sockets' news of that time has come in.
const (
	beat   = 20 * time.Millisecond
	stall  = 100 * time.Millisecond
	settle = 10 * time.Millisecond
	rounds = 20
)

// Run works until ctx ends, then stops taking, gives what is out the time
// grace to finish, has the rest answered by the module, and returns.
func (c *Core) Run(ctx context.Context, grace time.Duration) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	c.beat.Store(int64(c.Now()))
	over := make(chan struct{})
	defer close(over)
	go c.pulse(over)
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
			c.stopAt, c.draining = c.Now()+grace, true
			c.lastAt = c.stopAt + grace
		}
		if c.Now()-time.Duration(c.beat.Load()) > stall {
			c.settle()
		}
		c.now = c.Now()
		c.work()
		// A journal that failed never says that something is on disk.
		if c.draining && len(c.msgs) == 0 && (c.records.none() || c.now >= c.lastAt) {
			return
		}
	}
}

// Step does once what Run does over and over, for a model that keeps its own
// time, and tells when it is to be done again at the latest; below 0 for never.
func (c *Core) Step() (next time.Duration) {
	c.now = c.Now()
	c.work()
	return c.nextTime()
}

func (c *Core) pulse(over <-chan struct{}) {
	tick := time.NewTicker(beat)
	defer tick.Stop()
	for {
		select {
		case <-over:
			return
		case <-tick.C:
			c.beat.Store(int64(c.Now()))
		}
	}
}

// settle waits, after the process stood still, until no news has come for a
// moment: answers that lie in the kernel's buffers count as in time if they
// came before the time-out did.
func (c *Core) settle() {
	seen := -1
	for range rounds {
		c.mu.Lock()
		n := len(c.inbox)
		c.mu.Unlock()
		if n == seen {
			return
		}
		seen = n
		time.Sleep(settle)
	}
}

func (c *Core) nextTime() time.Duration {
	at := c.wakeAt
	if len(c.waits) > 0 && (at < 0 || c.waits[0].end < at) {
		at = c.waits[0].end
	}
	if c.stopAt >= 0 && (at < 0 || c.stopAt < at) {
		at = c.stopAt
	}
	if due := c.records.next(c); due >= 0 && (at < 0 || due < at) {
		at = due
	}
	if due := c.doubts.next(); due >= 0 && (at < 0 || due < at) {
		at = due
	}
	if c.draining && (at < 0 || c.lastAt < at) {
		at = c.lastAt
	}
	return at
}

// work takes in everything that happened and decides once.
func (c *Core) work() {
	c.mu.Lock()
	events := c.inbox
	c.inbox = c.spare[:0]
	c.arrivals.Clear()
	c.mu.Unlock()
	c.batch = c.batch[:0]
	recall := map[string]bool{}
	for i := range events {
		switch e := &events[i]; {
		case e.ended != nil:
			c.over(e.ended, e.ending)
			if e.ending.Wait > 0 {
				c.hold(e.ended, recall)
			}
		case e.arrival != nil:
			c.arrive(e.arrival, e.at)
		case e.listing != nil:
			c.batch = append(c.batch, *e.listing)
			c.listed(e.listing, recall)
			c.remember(e.listing)
		case e.fleet != nil:
			c.batch = append(c.batch, *e.fleet)
			if t, ok := c.opt.Toll.(Sharer); ok {
				t.Fleet(c.now, e.fleet.Size)
			}
		case e.drop != "":
			c.withdraw(e.drop, e.by)
		case e.call != nil:
			e.call()
		}
		events[i] = event{}
	}
	c.spare = events
	if len(recall) > 0 {
		c.recall(recall)
	}
	c.confirmDue()
	// Only now the time-outs: an answer in the same batch goes before its own.
	for len(c.waits) > 0 && c.waits[0].end <= c.now {
		c.abort(c.waits[0], choice.Timeout)
	}
	if c.stopAt >= 0 && c.now >= c.stopAt {
		c.stopAt = -1
		c.batch = append(c.batch, choice.Stop{})
		for a := range c.outs {
			if a.lead == nil {
				c.abort(a, choice.Cancelled)
			}
		}
	}
	if c.wakeAt >= 0 && c.wakeAt <= c.now {
		c.wakeAt = -1
		c.batch = append(c.batch, choice.Woken{})
	}
	if c.opt.Toll != nil {
		if news, ok := c.opt.Toll.Tolls(c.now); ok {
			c.batch = append(c.batch, news)
		}
	}
	c.respondOverdue()
	c.pauseSends()
	for len(c.batch) > 0 {
		c.carryOut(c.ch.Step(c.now, c.batch))
		c.batch = c.batch[:0]
		for _, id := range c.nows { // had their chance
			if m := c.msgs[id]; m != nil && !m.answered {
				c.batch = append(c.batch, choice.Withdrawn{ID: id, AnswerOwed: true})
			}
		}
		c.nows = c.nows[:0]
		c.pauseSends()
	}
	for _, m := range c.fresh {
		c.open[m] = true
		c.durable(true, func() { // not before the record of what was taken is down
			if c.open[m] {
				delete(c.open, m)
				m.Reply.(Decider).Decided()
			}
		}, m.seq)
	}
	clear(c.fresh)
	c.fresh = c.fresh[:0]
	c.releaseWritten()
	c.tellOverdue()
	if c.idle != nil && len(c.outs) == 0 {
		c.idle()
		c.idle = nil
	}
	c.opt.Observer.Gauge(c.owed, len(c.waits), c.led.Len(), len(events))
}

func (c *Core) arrive(in *Message, at time.Duration) {
	k := &c.opt.Settings.Classes[in.Class]
	if k.Effect == choice.Unsafe && in.Identity == "" {
		in.Reply.Taken(ErrNoIdentity)
		return
	}
	if c.draining {
		in.Reply.Taken(ErrStopping)
		return
	}
	m := &message{Message: *in, taken: c.now, due: at + min(in.Left, k.Deadline)}
	if in.Identity != "" {
		if e := c.led.Find(c.now, in.Identity); e != nil {
			if in.Once {
				in.Reply.Taken(ErrKnown)
				return
			}
			if e.Answer.Verdict == 0 && c.byEntry[e] != nil {
				c.byEntry[e].Reply = in.Reply
			}
			a := e.Answer // of an ended one; else it follows
			c.durable(true, func() {
				in.Reply.Taken(nil)
				if a.Verdict != 0 {
					in.Reply.Answer(a)
				}
			}, numberOf(e.ID))
			return
		}
	}
	if c.opt.Journal != nil && in.Identity != "" && !c.opt.Journal.HasRoom(len(in.Head)+len(in.Body)) {
		in.Reply.Taken(ErrJournal)
		return
	}
	c.next++
	m.seq, m.id = c.next, strconv.FormatUint(c.next, 36)
	m.kept = c.opt.Journal != nil && in.Identity != ""
	if in.Identity != "" {
		e, err := c.led.Open(c.now, in.Identity, m.id, k.Effect == choice.Safe)
		if err != nil {
			in.Reply.Taken(err)
			return
		}
		m.entry, c.byEntry[e] = e, m
	}
	m.life = lifecycle.Message{ID: m.Identity, Repeat: repeats[k.Effect], Window: k.Window, Due: m.due, Kept: m.kept}
	if in.Respond > 0 {
		m.life.RespondBy = at + in.Respond
	}
	c.msgs[m.id] = m
	c.owed++
	if m.kept {
		c.opt.Journal.RecordMessage(journal.Message{Seq: m.seq, Identity: m.Identity, Source: m.Source, Class: k.Name,
			Partner: c.opt.Names.Partner(m.Partner), Key: m.Key, At: c.opt.Journal.Stamp(),
			Remaining: int64(m.due - c.now), Head: m.Head, Body: m.Body, Front: m.Front, Way: m.Way})
	}
	c.durable(m.kept, func() { in.Reply.Taken(nil) }, m.seq)
	c.opt.Trace.Step(m.Identity, "taken", m.id)
	c.opt.Observer.Taken(in.Class)
	c.batch = append(c.batch, choice.Arrival{ID: m.id, Class: in.Class, Dest: in.Partner,
		TimeLeft: m.due - c.now, Key: in.Key})
	if _, ok := in.Reply.(Decider); ok {
		c.fresh = append(c.fresh, m)
	}
	if in.Now {
		c.nows = append(c.nows, m.id)
	}
}

// answer gives a message its one final answer.
func (c *Core) answer(m *message, a ledger.Answer) {
	if m.answered || !m.life.MayEnd(c.opt.Guard, a.Verdict == ledger.Refused) {
		return
	}
	m.answered = true
	c.owed--
	if m.entry != nil {
		c.led.End(c.now, m.entry, a)
		delete(c.byEntry, m.entry)
	}
	if c.opt.Settings.HoldUntilAcknowledged && (a.Verdict == ledger.Refused || a.Verdict == ledger.Failed) {
		c.owing[m.Identity] = m.id
	}
	if m.kept && !c.takeBack(m) {
		c.opt.Journal.RecordEnd(journal.End{Seq: m.seq, Identity: m.Identity,
			Class: c.opt.Settings.Classes[m.Class].Name, Verdict: uint8(a.Verdict), After: int64(a.After),
			At: c.opt.Journal.Stamp(), Front: m.Front, Way: m.Way})
	}
	tell := func() {
		if m.told {
			return
		}
		m.told = true
		delete(c.untold, m)
		if m.life.MayTell(c.opt.Guard, c.now, c.recorded(m)) {
			c.opt.Trace.Step(m.Identity, "told", a.Verdict.String())
			m.Reply.Answer(a)
		}
	}
	c.opt.Trace.Step(m.Identity, "ended", a.Verdict.String())
	if c.opt.Settings.HoldUntilAcknowledged {
		c.untold[m] = tell
	}
	c.durable(m.kept, tell, m.seq)
	c.opt.Observer.Answered(m.Class, a, c.now-m.taken)
	c.forget(m)
}

// repeats translates effects.
var repeats = [...]lifecycle.Repeat{choice.Safe: lifecycle.Freely, choice.Keyed: lifecycle.InWindow, choice.Unsafe: lifecycle.Never}

// forget frees a message that is answered and has nothing out.
func (c *Core) forget(m *message) {
	if m.answered && m.out == nil {
		delete(c.msgs, m.id)
	}
}

func (c *Core) withdraw(identity string, by Reply) {
	e := c.led.Find(c.now, identity)
	if e == nil || e.Answer.Verdict != 0 {
		return
	}
	m := c.byEntry[e]
	if by != nil && m.Reply != by {
		return
	}
	c.batch = append(c.batch, choice.Withdrawn{ID: m.id, AnswerOwed: by == nil})
	if by != nil {
		c.answer(m, ledger.Answer{Verdict: ledger.Abandoned})
	}
}

// carryOut does what the module said, in its order.
func (c *Core) carryOut(actions []choice.Action) {
	sends := map[string][]*attempt{} // to hosts that take several messages a call
	for i, act := range actions {
		switch act := act.(type) {
		case choice.Send:
			a := c.attempt(act)
			most := c.kind(act.Host).PerCall
			if most <= 1 {
				c.send(a)
				continue
			}
			group := sends[act.Host]
			if a != nil && !c.fits(group, a) {
				c.sendGroup(group)
				group = nil
			}
			if a != nil { // without it too the others go, where it would have been the last
				group = append(group, a)
			}
			if sends[act.Host] = group; len(group) >= most || !sentLater(actions[i+1:], act.Host) {
				delete(sends, act.Host)
				c.sendGroup(group)
			}
		case choice.Refuse:
			if m := c.msgs[act.ID]; m != nil {
				c.refuse(m, act.RetryAfter)
			}
		case choice.Fail:
			if m := c.msgs[act.ID]; m != nil {
				c.answer(m, ledger.Answer{Verdict: ledger.Failed})
			}
		case choice.Cancel:
			if m := c.msgs[act.ID]; m != nil && m.out != nil && m.out.n == act.Attempt {
				a := m.out
				if a.off = true; a.lead != nil {
					a = a.lead
				}
				if slices.ContainsFunc(a.all(), func(b *attempt) bool { return !b.off && b.m.out == b }) {
					continue // the others in this call are still wanted
				}
				started, ok := a.sock.Abort()
				if !ok {
					continue // the answer was first
				}
				e := Ending{Outcome: choice.Cancelled, Took: c.now - a.sent}
				if !started {
					e.Outcome = choice.NotSent
				}
				c.later(event{ended: a, ending: e})
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

// later puts an event of the core's own into its next batch.
func (c *Core) later(e event) { _ = c.put(e) }

// idem is the idempotency key: the identity where there is one, so that a
// hand-in at another relay carries the same.
func (m *message) idem() string {
	if m.Identity != "" {
		return m.Identity
	}
	return m.id
}
