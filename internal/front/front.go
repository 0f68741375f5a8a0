// Package front is what the relay's fronts share: the names that a message may
// carry, who it is, and the way back of what the core says. It decides nothing
// about delivery, and the core knows of no front.
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

// Door is where messages are handed in; core.Core is one.
type Door interface {
	Submit(*core.Message) error
	Withdraw(identity string)
}

// Keeper keeps what a front needs after a restart; journal.Journal is one.
type Keeper interface {
	// Session keeps something for one client; nothing drops it.
	Session(front, id string, value []byte)
	// Handed says that the client has the answer of an identity.
	Handed(identity string)
}

// Owed is a message of an earlier run, or its answer, that a client waits for.
type Owed struct {
	Identity string
	Way      []byte
	Answer   ledger.Answer // no verdict: it follows
	Handed   bool          // the client has it; only its flow may be asked for again
}

// Why a message is turned away before the core sees it.
var (
	ErrPending = errors.New("owed too many answers already")
	ErrNames   = errors.New("names no class and partner of this relay")
)

// Names are the classes and partners of the configuration.
type Names struct {
	Classes  map[string]int
	Partners map[string]int
	Lives    []time.Duration // deadline by class
}

// Route finds class and partner of a path "<class>/<partner>".
func (n *Names) Route(path string) (class, partner int, err error) {
	name, to, ok := strings.Cut(path, "/")
	class, known := n.Classes[name]
	partner, there := n.Partners[to]
	if !ok || !known || !there {
		return 0, 0, ErrNames
	}
	return class, partner, nil
}

// Identity joins who handed a message in and what they call it. The kind tells
// fronts apart: the same names at two fronts are two identities. Parts cannot
// run into each other.
func Identity(kind byte, parts ...string) string {
	b := []byte{kind}
	for _, p := range parts {
		b = strconv.AppendInt(b, int64(len(p)), 10)
		b = append(b, ':')
		b = append(b, p...)
	}
	return string(b)
}

// Said is one thing that the core says of a hand-in T.
type Said[T any] struct {
	To     T
	Answer ledger.Answer // no verdict: whether it was taken
	Err    error         // why it was not
}

// Outbox carries what the core says to one goroutine of a front, so that the
// core waits for no socket. It holds at most one entry for each hand-in that
// waits to be taken and one for each answer owed.
type Outbox[T any] struct {
	mu   sync.Mutex
	list []Said[T]
	wake chan struct{}
}

// NewOutbox makes an empty one.
func NewOutbox[T any]() *Outbox[T] { return &Outbox[T]{wake: make(chan struct{}, 1)} }

// Put never blocks.
func (o *Outbox[T]) Put(s Said[T]) {
	o.mu.Lock()
	o.list = append(o.list, s)
	first := len(o.list) == 1
	o.mu.Unlock()
	if first {
		select {
		case o.wake <- struct{}{}:
		default:
		}
	}
}

// Run hands batches to f until stop is closed, and what is left then.
func (o *Outbox[T]) Run(stop <-chan struct{}, f func([]Said[T])) {
	var spare []Said[T]
	for {
		stopping := false
		select {
		case <-o.wake:
		case <-stop:
			stopping = true
		}
		o.mu.Lock()
		list := o.list
		o.list = spare[:0]
		o.mu.Unlock()
		f(list)
		clear(list)
		spare = list
		if stopping {
			return
		}
	}
}

// Reply is a core.Reply that puts what it hears into an outbox.
type Reply[T any] struct {
	Box *Outbox[T]
	To  T
}

func (r Reply[T]) Taken(err error)        { r.Box.Put(Said[T]{To: r.To, Err: err}) }
func (r Reply[T]) Answer(a ledger.Answer) { r.Box.Put(Said[T]{To: r.To, Answer: a}) }

// Nobody is a reply where nobody waits any more.
type Nobody struct{}

// Taken and Answer do nothing.
func (Nobody) Taken(error)          {}
func (Nobody) Answer(ledger.Answer) {}
