// Package recover decides what follows from a journal's records after a crash:
// for each message how much of its time is left, what may have run and when, and
// in which order they go on; which answers are still owed and which identities
// still count; which waits are still in force. What is then done with a message
// decides the module. It does no I/O and reads no clock but the given ones.
package recover

import (
	"cmp"
	"math"
	"slices"
	"time"

	"basaltcross.example/basaltcross/internal/journal"
	"basaltcross.example/basaltcross/internal/ledger"
)

// Clock tells how long ago a record was written. Within one run of the machine
// its own clock tells exactly, however the wall clock was set; across them
// the wall clock is all there is, and an age below 0 is unknown.
type Clock struct {
	Runs map[uint32]journal.Run
	Now  journal.Run
}

// Unknown is the age of a record that nothing is known about: for ever.
const Unknown = time.Duration(math.MaxInt64)

// Age of a moment.
func (c *Clock) Age(s journal.Stamp) time.Duration {
	run, ok := c.Runs[s.Run]
	if !ok {
		return Unknown
	}
	if run.Boot == c.Now.Boot && run.Boot != "" {
		if age := c.Now.Clock - s.Clock; age >= 0 {
			return time.Duration(age)
		}
		return Unknown
	}
	if age := c.Now.Wall - (run.Wall + s.Clock - run.Clock); age >= 0 {
		return time.Duration(age)
	}
	return Unknown
}

// Class is what recovery needs of a class of messages.
type Class struct {
	Deadline time.Duration
	Keep     bool // its attempts are recorded, for a second effect would do harm
}

// Message goes on.
type Message struct {
	journal.Message
	Left     time.Duration // 0 where its time has passed or is unknown
	Attempts int           // certainly made
	Ran      bool          // one of them may have run
	Since    time.Duration // ago the first of those was sent; Unknown counts as for ever
	Zone     string        // where
	Host     string
	// Verdict, if there is one, ends it at once: the configuration has no such class
	// or partner any more, so that nobody can deliver it.
	Verdict ledger.Verdict
}

// Wait is in force.
type Wait struct {
	Host    string
	Left    time.Duration
	Failing bool
}

// End still counts.
type End struct {
	journal.End
	Age time.Duration
}

// Plan is what to go on with.
type Plan struct {
	Messages []Message // in the order in which they were taken
	Ends     []End     // the oldest first
	Waits    []Wait
	// Levels of the zone budget, nil for none, and how long ago; an unknown time
	// counts as none.
	Levels []float64
	Ago    time.Duration
	Over   []string // endpoints of which nothing is in force any more
	Drop   []string // identities that count no more
}

// Decide makes the plan. keep is how long ended identities count, cold how long a
// failing endpoint is remembered as one.
func Decide(k *journal.Contents, classes map[string]Class, partners map[string]bool, keep, cold time.Duration) Plan {
	clock := Clock{k.Runs, k.ThisRun}
	var p Plan
	if k.Budget != nil {
		p.Levels = k.Budget.Levels
		if p.Ago = clock.Age(k.Budget.At); p.Ago == Unknown {
			p.Ago = 0
		}
	}
	ended := map[uint64]bool{}
	for _, e := range k.Ends {
		ended[e.Seq] = true
		age := clock.Age(e.At)
		if age >= keep && e.Handed || age == Unknown && e.Handed && !classes[e.Class].Keep {
			p.Drop = append(p.Drop, e.Identity)
			continue
		}
		if age == Unknown { // written in what is now the future: as if now
			age = 0
		}
		p.Ends = append(p.Ends, End{e, age})
	}
	slices.SortStableFunc(p.Ends, func(x, y End) int { return cmp.Or(cmp.Compare(y.Age, x.Age), cmp.Compare(x.Seq, y.Seq)) })
	for _, m := range k.Messages {
		if ended[m.Seq] {
			continue // its answer was recorded
		}
		c, known := classes[m.Class]
		x := Message{Message: m}
		if age := clock.Age(m.At); age < Unknown {
			x.Left = max(0, min(time.Duration(m.Remaining), c.Deadline)-age)
		}
		for _, a := range k.Attempts[m.Seq] {
			x.Attempts = max(x.Attempts, a.N+1)
			if a.NeverRan || x.Ran {
				continue
			}
			x.Ran, x.Since, x.Zone, x.Host = true, clock.Age(a.At), a.Zone, a.Host
		}
		switch {
		case known && partners[m.Partner]:
		case x.Ran:
			x.Verdict = ledger.Failed
		default:
			x.Verdict = ledger.Refused
		}
		p.Messages = append(p.Messages, x)
	}
	slices.SortFunc(p.Messages, func(x, y Message) int { return cmp.Compare(x.Seq, y.Seq) })
	for _, w := range k.Waits {
		age := clock.Age(w.At)
		x := Wait{Host: w.Host, Failing: w.Failing && age < cold}
		switch {
		case age == Unknown:
			x.Left = time.Duration(w.Remaining)
		default:
			x.Left = max(0, time.Duration(w.Remaining)-age)
		}
		if x.Left > 0 || x.Failing {
			p.Waits = append(p.Waits, x)
		} else {
			p.Over = append(p.Over, w.Host)
		}
	}
	return p
}
