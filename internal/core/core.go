// Package core is the relay's centre: one goroutine owns the decision module,
// the ledger of identities and all attempts. Whatever happens reaches it as
// events in batches; it hands them to the module and carries out what comes
// back. It decides nothing about delivery.
package core

import (
	"container/heap"
	"context"
	"encoding/base64"
	"errors"
	"fmt"
	"math"
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
	// End takes the attempt's outcome, once, from any goroutine.
	End func(Ending)
}

// Ending is how an attempt ended on its socket.
type Ending struct {
	Outcome choice.Outcome
	Took    time.Duration
	Wait    time.Duration // told with a refusal
	Over    bool          // with NotSent: the message is over, nothing more is owed
	Spent   bool          // with NotSent: it has had all its attempts
	Report  []float64     // load report, nil for none
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
	Tolls(now time.Duration) (choice.Tolls, bool)
	// Sent returns what settles a send by the bytes that passed, nil for none.
	Sent(now time.Duration, class, partner, zone int) func(now time.Duration, passed int64, whole bool)
}

// Journal makes records durable; journal.Journal and journal.Log are. None of its methods blocks.
type Journal interface {
	Stamp() journal.Stamp
	Room(bytes int) bool // for a message of that size
	Taken(journal.Message)
	Tried(journal.Attempt)
	Ended(journal.End)
	Waits(journal.Wait)
	Forget(identity string)
	// Then calls done from any goroutine once all that was handed in is on disk; where
	// it is there already, Then returns true instead.
	Then(done func()) bool
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

type attempt struct {
	m       *message
	n       int
	host    string
	zone    int // of the host as it was sent to
	partner int
	sent    time.Duration
	end     time.Duration // time-out
	by      time.Duration // nothing is written after it; 0 for no such time
	sock    Attempt
	passed  atomic.Int64
	settle  func(now time.Duration, passed int64, whole bool)
	place   int        // in the heap, -1 if not there
	lead    *attempt   // with which it travels; nil for one that goes alone or leads
	with    []*attempt // those that travel with it
	off     bool       // called off by the module
	gate    *gated     // it waits for its record, or did; nil for one that had not to
}

// all are the attempts of one call.
func (a *attempt) all() []*attempt { return append([]*attempt{a}, a.with...) }

// event is one entry of the inbox.
type event struct {
	arrival *Message
	at      time.Duration
	ended   *attempt
	ending  Ending
	listing *choice.Listing
	fleet   *choice.Fleet
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
func (c *Core) List(l choice.Listing) { _ = c.put(event{listing: &l}) }

// Fleet says how many relays there are, and which of them this is, from 0.
func (c *Core) Fleet(index, size int) {
	_ = c.put(event{fleet: &choice.Fleet{Index: index, Size: size}})
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
		c.batch = append(c.batch, choice.Settled{ID: id})
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
		all["owing"] = len(c.owing)
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
				c.batch = append(c.batch, choice.Withdrawn{ID: id, Owed: true})
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
	if c.opt.Journal != nil && in.Identity != "" && !c.opt.Journal.Room(len(in.Head)+len(in.Body)) {
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
		c.opt.Journal.Taken(journal.Message{Seq: m.seq, Identity: m.Identity, Source: m.Source, Class: k.Name,
			Partner: c.opt.Names.Partner(m.Partner), Key: m.Key, At: c.opt.Journal.Stamp(), Left: int64(m.due - c.now),
			Head: m.Head, Body: m.Body, Front: m.Front, Way: m.Way})
	}
	c.durable(m.kept, func() { in.Reply.Taken(nil) }, m.seq)
	c.opt.Trace.Step(m.Identity, "taken", m.id)
	c.opt.Observer.Taken(in.Class)
	c.batch = append(c.batch, choice.Arrival{ID: m.id, Class: in.Class, Dest: in.Partner,
		Left: m.due - c.now, Key: in.Key})
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
	if c.opt.Settings.Acknowledged && (a.Verdict == ledger.Refused || a.Verdict == ledger.Failed) {
		c.owing[m.Identity] = m.id
	}
	if m.kept && !c.takeBack(m) {
		c.opt.Journal.Ended(journal.End{Seq: m.seq, Identity: m.Identity, Class: c.opt.Settings.Classes[m.Class].Name,
			Verdict: uint8(a.Verdict), After: int64(a.After), At: c.opt.Journal.Stamp(), Front: m.Front, Way: m.Way})
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
	if c.opt.Settings.Acknowledged {
		c.untold[m] = tell
	}
	c.durable(m.kept, tell, m.seq)
	c.opt.Observer.Answered(m.Class, a, c.now-m.taken)
	c.forget(m)
}

// repeats translates effects.
var repeats = [...]lifecycle.Repeat{choice.Safe: lifecycle.Freely, choice.Keyed: lifecycle.InWindow, choice.Unsafe: lifecycle.Never}

// harmful tells whether a second effect of a message would do harm: then each
// attempt is recorded before its first byte.
func (c *Core) harmful(m *message) bool {
	return m.kept && (c.opt.Every || c.opt.Settings.Classes[m.Class].Effect != choice.Safe)
}

// tried records an attempt of a message.
func (c *Core) tried(a *attempt, clear bool) {
	zone := ""
	if a.zone < len(c.opt.Names.Zones) {
		zone = c.opt.Names.Zones[a.zone]
	}
	c.opt.Journal.Tried(journal.Attempt{Seq: a.m.seq, N: a.n, Host: a.host, Zone: zone, At: c.opt.Journal.Stamp(), Clear: clear})
}

// noted is what is recorded of an endpoint.
type noted struct {
	until   time.Duration // of a told wait
	failing bool
}

// note records waits that an endpoint told, and whether it fails. A wait that is in
// force stays in the record whatever else happens there.
func (c *Core) note(host string, e Ending) {
	if c.opt.Journal == nil || c.opt.Forgetful {
		return
	}
	was := c.noted[host]
	n := noted{was.until, e.Outcome != choice.Served && e.Outcome != choice.Refused && e.Outcome != choice.NotSent}
	if e.Wait > 0 {
		n.until = max(n.until, c.now+e.Wait)
	}
	if n != was {
		c.noted[host] = n
		c.opt.Journal.Waits(journal.Wait{Host: host, At: c.opt.Journal.Stamp(), Left: int64(max(0, n.until-c.now)), Failing: n.failing})
	}
}

// remember tells the module what an earlier run knew of endpoints that are listed
// now, and drops the records of those that went.
func (c *Core) remember(l *choice.Listing) {
	for _, h := range l.Hosts {
		if w, ok := c.waited[h.Addr]; ok && h.State != choice.Gone {
			c.batch = append(c.batch, choice.Waited{Host: h.Addr, Left: max(0, w.until-c.now), Failing: w.failing})
			delete(c.waited, h.Addr)
		}
	}
	for host, n := range c.noted {
		if _, listed := c.zones[host]; !listed && n.until <= c.now && c.opt.Journal != nil {
			if _, later := c.waited[host]; !later {
				delete(c.noted, host)
				c.opt.Journal.Waits(journal.Wait{Host: host})
			}
		}
	}
}

// Restored is a message of an earlier run.
type Restored struct {
	Message
	Seq      uint64
	Attempts int
	Ran      bool
	Since    time.Duration
	Zone     int // below 0 if it is not known any more
}

// Ended is an identity of an earlier run that got its final answer.
type Ended struct {
	// Owed: the answer has not reached who is owed it. Until Settled its message
	// holds its place in the order of its key.
	Owed     bool
	Seq      uint64
	Class    int
	Key      string
	Identity string
	Answer   ledger.Answer
	Age      time.Duration
	Forget   bool
}

// Restore takes in what an earlier run left, before Run. Answers that were given
// then count from the first moment on; the module is told of the messages in its
// first step, in their order.
func (c *Core) Restore(messages []Restored, ended []Ended, waits []choice.Waited, last uint64) {
	c.now = c.Now()
	c.next = last
	var owed []choice.Event
	for _, e := range ended {
		id := ""
		if e.Owed {
			id = strconv.FormatUint(e.Seq, 36)
			c.owing[e.Identity] = id
			owed = append(owed, choice.Restored{Arrival: choice.Arrival{ID: id, Class: e.Class, Key: e.Key}, Answered: true})
		}
		c.led.Restore(c.now-e.Age, e.Identity, id, e.Answer, e.Forget)
	}
	for _, w := range waits {
		n := noted{c.now + w.Left, w.Failing}
		c.waited[w.Host], c.noted[w.Host] = n, n
	}
	var first []*choice.Restored
	for i := range messages {
		r := &messages[i]
		k := &c.opt.Settings.Classes[r.Class]
		m := &message{Message: r.Message, taken: c.now, due: c.now + r.Message.Left, seq: r.Seq, kept: true, tries: r.Attempts,
			id: strconv.FormatUint(r.Seq, 36)}
		m.life = lifecycle.Message{ID: m.Identity, Repeat: repeats[k.Effect], Window: k.Window, Due: m.due, Kept: true}
		m.life.Restore(r.Ran, c.now-min(r.Since, math.MaxInt64/4))
		m.entry = c.led.Reopen(m.Identity, m.id, k.Effect == choice.Safe)
		c.byEntry[m.entry] = m
		c.msgs[m.id] = m
		c.owed++
		first = append(first, &choice.Restored{Arrival: choice.Arrival{ID: m.id, Class: r.Class, Dest: r.Partner, Left: r.Message.Left,
			Key: r.Key}, Attempts: r.Attempts, Ran: r.Ran, Since: r.Since, Zone: r.Zone})
	}
	began := c.now
	_ = c.put(event{call: func() {
		c.batch = append(c.batch, owed...)
		for _, r := range first { // the time that the start took is gone
			if m := c.msgs[r.ID]; m != nil {
				r.Left = m.due - c.now
				r.Since += min(c.now-began, math.MaxInt64-r.Since)
				c.batch = append(c.batch, *r)
			}
		}
	}})
}

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
	c.batch = append(c.batch, choice.Withdrawn{ID: m.id, Owed: by == nil})
	if by != nil {
		c.answer(m, ledger.Answer{Verdict: ledger.Abandoned})
	}
}

// over takes in how a call ended: each of its messages has its own end.
func (c *Core) over(a *attempt, e Ending) {
	for i, b := range a.all() {
		one := e
		if one.Each = nil; i < len(e.Each) {
			one = e.Each[i]
			one.Took = e.Took
		}
		c.end(b, one)
	}
}

// end takes in an attempt's outcome from its socket.
func (c *Core) end(a *attempt, e Ending) {
	m := a.m
	if m.out != a {
		return
	}
	m.out = nil
	delete(c.outs, a)
	if a.settle != nil {
		whole := e.Outcome == choice.Served || e.Outcome == choice.Error || e.Outcome == choice.Refused
		a.settle(c.now, a.passed.Load(), whole)
	}
	if a.place >= 0 {
		heap.Remove(&c.waits, a.place)
	}
	c.opt.Observer.Attempted(m.Class, e.Outcome, e.Took)
	c.note(a.host, e)
	if e.Over && !m.answered { // the platform says so: nobody is owed anything
		c.answer(m, ledger.Answer{Verdict: ledger.Abandoned})
	}
	sure := e.Outcome == choice.Refused || e.Outcome == choice.NoConnection || e.Outcome == choice.NotSent
	m.life.Back(sure)
	c.opt.Trace.Step(m.Identity, "result", e.Outcome.String())
	if sure && c.harmful(m) && !m.answered {
		c.tried(a, true)
	}
	served := e.Outcome == choice.Served && (c.opt.Late == 0 || c.now <= m.due-c.opt.Late)
	c.batch = append(c.batch, choice.Result{ID: m.id, Host: a.host, Attempt: a.n, Outcome: e.Outcome,
		Took: e.Took, Wait: e.Wait, Done: served || m.answered, Spent: e.Spent, Report: e.Report})
	if served {
		c.answer(m, ledger.Answer{Verdict: ledger.Delivered})
	}
	c.forget(m)
}

// abort ends an attempt for a time-out or a cancel. If its outcome was first,
// that stands and comes by the inbox.
func (c *Core) abort(a *attempt, why choice.Outcome) {
	started, ok := a.sock.Abort()
	if !ok {
		if a.place >= 0 {
			heap.Remove(&c.waits, a.place)
		}
		return
	}
	if !started { // not one byte was handed over: it cannot have run
		if why = choice.NotSent; c.now >= a.end && a.begun() {
			why = choice.NoConnection
		}
	}
	c.over(a, Ending{Outcome: why, Took: c.now - a.sent})
}

// listed notes endpoints that no longer take new work.
func (c *Core) listed(l *choice.Listing, recall map[string]bool) {
	if l.Failed {
		return
	}
	ready := map[string]bool{}
	if l.Whole {
		clear(c.zones)
		clear(c.kinds)
	}
	for _, h := range l.Hosts {
		c.zones[h.Addr], c.kinds[h.Addr] = h.Zone, h.Kind
		switch h.State {
		case choice.Ready:
			ready[h.Addr] = true
		case choice.Gone:
			delete(c.zones, h.Addr)
			delete(c.kinds, h.Addr)
			fallthrough
		default:
			recall[h.Addr] = true
		}
	}
	if l.Whole {
		for a := range c.outs {
			if !ready[a.host] {
				recall[a.host] = true
			}
		}
	}
}

// hold notes endpoints that a told wait covers.
func (c *Core) hold(a *attempt, recall map[string]bool) {
	recall[a.host] = true
	if c.kind(a.host).Apart {
		return
	}
	for b := range c.outs {
		if b.partner == a.partner {
			recall[b.host] = true
		}
	}
}

// kind of an endpoint; that of one which has none carries one message a call.
func (c *Core) kind(host string) choice.Kind {
	if k := c.kinds[host]; k >= 0 && k < len(c.opt.Settings.Kinds) {
		return c.opt.Settings.Kinds[k]
	}
	return choice.Kind{PerCall: 1}
}

// recall takes back attempts whose connection is not up yet, where the news
// of this batch may have changed what the module would say: bytes must not go
// out long after the decision that sent them.
func (c *Core) recall(hosts map[string]bool) {
	for a := range c.outs {
		if hosts[a.host] && a.lead == nil && a.sock.Recall() {
			c.over(a, Ending{Outcome: choice.NotSent, Took: c.now - a.sent})
		}
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
				c.answer(m, ledger.Answer{Verdict: ledger.Refused, After: act.After})
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

// sentLater tells whether an action sends to a host.
func sentLater(actions []choice.Action, host string) bool {
	return slices.ContainsFunc(actions, func(a choice.Action) bool {
		s, ok := a.(choice.Send)
		return ok && s.Host == host
	})
}

// attempt makes that of a send, nil for a message that is no more.
func (c *Core) attempt(s choice.Send) *attempt {
	m := c.msgs[s.ID]
	if m == nil {
		return nil
	}
	if !m.life.MaySend(c.opt.Guard, c.now, c.parked) {
		c.later(event{call: func() {
			c.batch = append(c.batch, choice.Result{ID: m.id, Host: s.Host, Attempt: m.tries, Outcome: choice.NotSent})
			m.tries++
		}})
		return nil
	}
	a := &attempt{m: m, n: m.tries, host: s.Host, partner: m.Partner, sent: c.now,
		end: c.now + s.Timeout, zone: c.zones[s.Host], place: -1}
	if s.Within > 0 {
		a.by = c.now + s.Within
	}
	m.tries++
	m.out = a
	c.opt.Trace.Step(m.Identity, "send", s.Host)
	c.outs[a] = struct{}{}
	if c.opt.Toll != nil {
		a.settle = c.opt.Toll.Sent(c.now, m.Class, m.Partner, a.zone)
	}
	return a
}

// fits tells whether one more attempt may travel with others in one call.
func (c *Core) fits(group []*attempt, a *attempt) bool {
	if c.opt.Together == 0 || len(group) == 0 {
		return true
	}
	size := 0
	for _, b := range append([]*attempt{a}, group...) {
		size += perItem + len(b.m.Identity) + max(len(b.m.Key), len(b.m.Head)) + base64.StdEncoding.EncodedLen(len(b.m.Body))
	}
	return size <= c.opt.Together
}

// perItem bytes a message takes in a call that carries several, apart from what is its own.
const perItem = 40

// sendGroup begins one call with several attempts.
func (c *Core) sendGroup(group []*attempt) {
	if len(group) == 0 {
		return
	}
	group[0].with = group[1:]
	for _, b := range group[1:] {
		b.lead = group[0]
	}
	c.send(group[0])
}

// idem is the idempotency key: the identity where there is one, so that a
// hand-in at another relay carries the same.
func (m *message) idem() string {
	if m.Identity != "" {
		return m.Identity
	}
	return m.id
}
