// Package recover computes the state to restore from the records of a journal after a
// crash: the time left of each message, whether an attempt of it may have run and when;
// which answers the client has not received and which identities are still remembered;
// which waits are still in force.
//
// What is then done with a message is up to package choice. This package does no I/O and
// reads no clock; the times come with the records.
package recover

import (
	"cmp"
	"math"
	"slices"
	"time"

	"basaltcross.example/basaltcross/internal/journal"
	"basaltcross.example/basaltcross/internal/ledger"
)

// Clock computes the age of records. Within one boot of the machine it uses the monotonic
// clock, which is exact however the wall clock was set. Across boots only the wall clock is
// available, and an age below 0 counts as unknown.
type Clock struct {
	Runs map[uint32]journal.Run // clocks at the start of each run of the process, by its number
	Now  journal.Run            // clocks at present
}

// UnknownAge is the age of a record whose age cannot be computed. It is longer than any other.
const UnknownAge = time.Duration(math.MaxInt64)

// Age returns the time since a stamp was taken.
func (c *Clock) Age(s journal.Stamp) time.Duration {
	run, ok := c.Runs[s.Run]
	if !ok {
		return UnknownAge
	}
	if run.Boot == c.Now.Boot && run.Boot != "" {
		if age := c.Now.Clock - s.Clock; age >= 0 {
			return time.Duration(age)
		}
		return UnknownAge
	}
	if age := c.Now.Wall - (run.Wall + s.Clock - run.Clock); age >= 0 {
		return time.Duration(age)
	}
	return UnknownAge
}

// Class holds the settings of a message class that recovery needs.
type Class struct {
	Deadline       time.Duration // longest time from hand-in to delivery
	RecordAttempts bool          // attempts are recorded, since a repeat would do harm
}

// Message is a message without a final answer.
type Message struct {
	journal.Message
	Left       time.Duration // time to its deadline; 0 if that has passed or is unknown
	Attempts   int           // number of attempts made
	MayHaveRun bool          // an attempt may have run
	SentAgo    time.Duration // time since the first of those was sent, or UnknownAge
	Zone       string        // zone that it was sent to
	Host       string        // host that it was sent to
	// Verdict, if not 0, is the final answer: the message cannot be delivered, since the
	// configuration does not have its class or partner any more.
	Verdict ledger.Verdict
}

// Wait is the state of an endpoint that is still in force.
type Wait struct {
	Host    string
	Left    time.Duration // rest of the wait that the endpoint asked for
	Failing bool          // its last call failed
}

// End is a final answer that is still remembered.
type End struct {
	journal.End
	Age time.Duration // time since the answer
}

// Plan is the state to restore.
type Plan struct {
	Messages []Message // in the order of their hand-in
	Ends     []End     // the oldest first
	Waits    []Wait
	// BudgetLevels are the levels of the zone budget, nil for none.
	BudgetLevels      []float64
	LevelsAge         time.Duration // age of BudgetLevels; 0 if it is unknown
	ExpiredHosts      []string      // endpoints with a record of which nothing is in force any more
	ExpiredIdentities []string      // identities that are not remembered any more
}

// NewPlan computes the plan. keep is the retention of ended identities; cold is how long an
// endpoint counts as failing after its last call.
func NewPlan(k *journal.Contents, classes map[string]Class, partners map[string]bool, keep, cold time.Duration) Plan {
	clock := Clock{k.Runs, k.ThisRun}
	var p Plan
	if k.Budget != nil {
		p.BudgetLevels = k.Budget.Levels
		if p.LevelsAge = clock.Age(k.Budget.At); p.LevelsAge == UnknownAge {
			p.LevelsAge = 0
		}
	}
	ended := map[uint64]bool{}
	for _, e := range k.Ends {
		ended[e.Seq] = true
		age := clock.Age(e.At)
		if age >= keep && e.Handed || age == UnknownAge && e.Handed && !classes[e.Class].RecordAttempts {
			p.ExpiredIdentities = append(p.ExpiredIdentities, e.Identity)
			continue
		}
		if age == UnknownAge { // written in the future by the present clock: treated as new
			age = 0
		}
		p.Ends = append(p.Ends, End{e, age})
	}
	slices.SortStableFunc(p.Ends, func(x, y End) int {
		return cmp.Or(cmp.Compare(y.Age, x.Age),
			cmp.Compare(x.Seq, y.Seq))
	})
	for _, m := range k.Messages {
		if ended[m.Seq] {
			continue // its final answer is on disk
		}
		c, known := classes[m.Class]
		restored := Message{Message: m}
		if age := clock.Age(m.At); age < UnknownAge {
			restored.Left = max(0, min(time.Duration(m.Remaining), c.Deadline)-age)
		}
		for _, a := range k.Attempts[m.Seq] {
			restored.Attempts = max(restored.Attempts, a.N+1)
			if a.NeverRan || restored.MayHaveRun {
				continue
			}
			restored.MayHaveRun, restored.SentAgo, restored.Zone, restored.Host = true, clock.Age(a.At), a.Zone, a.Host
		}
		switch {
		case known && partners[m.Partner]:
		case restored.MayHaveRun:
			restored.Verdict = ledger.Failed
		default:
			restored.Verdict = ledger.Refused
		}
		p.Messages = append(p.Messages, restored)
	}
	slices.SortFunc(p.Messages, func(x, y Message) int { return cmp.Compare(x.Seq, y.Seq) })
	for _, w := range k.Waits {
		age := clock.Age(w.At)
		wait := Wait{Host: w.Host, Failing: w.Failing && age < cold}
		switch {
		case age == UnknownAge:
			wait.Left = time.Duration(w.Remaining)
		default:
			wait.Left = max(0, time.Duration(w.Remaining)-age)
		}
		if wait.Left > 0 || wait.Failing {
			p.Waits = append(p.Waits, wait)
		} else {
			p.ExpiredHosts = append(p.ExpiredHosts, w.Host)
		}
	}
	return p
}
