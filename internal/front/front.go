// Package front holds what the relay's fronts share: sockets and their listeners, the lookup of a
// message's class and partner, message identities, and the path of the core's answers back to the
// front. It makes no decisions about delivery, and the core does not depend on any front.
package front

import (
	"errors"
	"strconv"
	"strings"
	"sync"
	"time"

	"basaltcross.example/basaltcross/internal/core"
	"basaltcross.example/basaltcross/internal/ledger"
)

// Submitter accepts handed-in messages; core.Core implements it.
type Submitter interface {
	Submit(*core.Message) error
	Withdraw(identity string)
}

// Journal stores what a front needs after a restart; journal.Journal implements it.
type Journal interface {
	// Session stores a value for one client, without expiry.
	Session(front, id string, value []byte)
	// Handed records that the client has received the answer for an identity.
	Handed(identity string)
}

// Owed is a message from before a restart whose client still waits for it, or its answer.
type Owed struct {
	Identity   string
	ReturnPath []byte        // what the front stored with the message to find its client again
	Answer     ledger.Answer // without a verdict if the answer is still to come
	Handed     bool          // the client has the answer; it may only ask to complete the protocol exchange
}

// Reasons to reject a message before it reaches the core.
var (
	ErrPending      = errors.New("owed too many answers already")
	ErrUnknownRoute = errors.New("names no class and partner of this relay")
)

// Names holds the classes and partners of the configuration by name.
type Names struct {
	Classes   map[string]int
	Partners  map[string]int
	Deadlines []time.Duration // deadline by class
}

// Route looks up the class and the partner of a path "<class>/<partner>".
func (n *Names) Route(path string) (class, partner int, err error) {
	name, to, ok := strings.Cut(path, "/")
	class, known := n.Classes[name]
	partner, there := n.Partners[to]
	if !ok || !known || !there {
		return 0, 0, ErrUnknownRoute
	}
	return class, partner, nil
}

// Identity joins the sender of a message and the sender's id for it to an identity. kind keeps the
// fronts apart, so that the same names at two fronts make two identities. The parts are
// length-prefixed, so that different parts never make the same identity.
func Identity(kind byte, parts ...string) string {
	b := []byte{kind}
	for _, p := range parts {
		b = strconv.AppendInt(b, int64(len(p)), 10)
		b = append(b, ':')
		b = append(b, p...)
	}
	return string(b)
}

// Report is one report of the core about a hand-in, which is a T.
type Report[T any] struct {
	To     T
	Answer ledger.Answer // without a verdict: the report says whether the message was taken
	Err    error         // why the message was not taken
}

// Outbox passes the core's reports to one goroutine of a front, so that the core never waits for a
// socket. It holds at most one entry for each hand-in that waits to be taken, and one for each
// answer that is still owed.
type Outbox[T any] struct {
	mu      sync.Mutex
	entries []Report[T]
	wake    chan struct{}
}

// NewOutbox returns an empty Outbox.
func NewOutbox[T any]() *Outbox[T] { return &Outbox[T]{wake: make(chan struct{}, 1)} }

// Put adds a report and never blocks.
func (o *Outbox[T]) Put(s Report[T]) {
	o.mu.Lock()
	o.entries = append(o.entries, s)
	first := len(o.entries) == 1
	o.mu.Unlock()
	if first {
		select {
		case o.wake <- struct{}{}:
		default:
		}
	}
}

// Run passes batches of reports to f until stop is closed, and then what is left.
func (o *Outbox[T]) Run(stop <-chan struct{}, f func([]Report[T])) {
	var spare []Report[T]
	for {
		stopping := false
		select {
		case <-o.wake:
		case <-stop:
			stopping = true
		}
		o.mu.Lock()
		list := o.entries
		o.entries = spare[:0]
		o.mu.Unlock()
		f(list)
		clear(list)
		spare = list
		if stopping {
			return
		}
	}
}

// Reply is a core.Reply that puts the reports into an Outbox.
type Reply[T any] struct {
	Box *Outbox[T]
	To  T
}

func (r Reply[T]) Taken(err error)        { r.Box.Put(Report[T]{To: r.To, Err: err}) }
func (r Reply[T]) Answer(a ledger.Answer) { r.Box.Put(Report[T]{To: r.To, Answer: a}) }

// NoReply is a core.Reply for a message whose client no longer waits.
type NoReply struct{}

// Taken and Answer do nothing.
func (NoReply) Taken(error)          {}
func (NoReply) Answer(ledger.Answer) {}
