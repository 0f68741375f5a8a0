package core

import (
	"time"

	"basaltcross.example/basaltcross/choice"
	"basaltcross.example/basaltcross/internal/lifecycle"
)

// Ending is the result of an attempt on its socket.
type Ending struct {
	Outcome     choice.Outcome
	Took        time.Duration
	Wait        time.Duration         // wait that the host asked for, as by Retry-After; 0 for none
	Over        bool                  // the response says that the message is over, and that nothing is owed
	Spent       bool                  // the response says that the message has had all its attempts
	LoadReport  []float64             // load report, nil for none
	Attribution lifecycle.Attribution // how certainly the response is the call's own; see Attribute
	// Each holds the results of the messages of a call, in their order; nil if they are all the same.
	Each []Ending
}

// Attribute records how certainly the response is the call's own. A doubtful one says nothing of the host, and
// of the message only that it may have run, or may be over.
func (e *Ending) Attribute(attribution lifecycle.Attribution) {
	for i := range e.Each {
		e.Each[i].Attribute(attribution)
	}
	if attribution > lifecycle.Likely {
		over := e.Over || e.Spent || e.Outcome == choice.Served
		*e = Ending{Outcome: choice.Doubted, Over: over, Took: e.Took, Wait: e.Wait, Each: e.Each}
	}
	e.Attribution = max(e.Attribution, attribution)
}

// LongestWait returns the longest wait that the host asked for, over all messages of the call; 0 for none.
func (e *Ending) LongestWait() time.Duration {
	longest := e.Wait
	for i := range e.Each {
		longest = max(longest, e.Each[i].LongestWait())
	}
	return longest
}

// MarkOver records that all messages of the call may be over.
func (e *Ending) MarkOver() {
	e.Over = true
	for i := range e.Each {
		e.Each[i].MarkOver()
	}
}

// statement returns what the response says of its message.
func (e *Ending) statement() lifecycle.Statement {
	switch {
	case e.Over:
		return lifecycle.SaysOver
	case e.Spent:
		return lifecycle.SaysSpent
	}
	switch e.Outcome {
	case choice.Served:
		return lifecycle.SaysDelivered
	case choice.Refused, choice.NoConnection, choice.NotSent:
		return lifecycle.SaysNeverRan
	}
	return lifecycle.SaysNothing
}
