package lifecycle

// Statement is what the answer to a call says of a message.
type Statement int

// The statements of answers.
const (
	SaysNothing   Statement = iota // the message may have run: an error, a time-out, the end of the connection
	SaysNeverRan                   // refused or not sent
	SaysDelivered                  // delivered, so that it is over
	SaysOver                       // withdrawn or out of time: it is over, and nothing is owed
	SaysSpent                      // it has had all its attempts, and its end is owed
)

// Consequence is what follows for a message from the end of a call.
type Consequence int

// The consequences of an answer. Behind all but MayCallAgain no call of the message begins.
const (
	MayCallAgain      Consequence = iota // called again as far as its effect allows, or refused or failed
	EndsDelivered                        // ends as delivered
	EndsDeliveredOwed                    // ends as delivered, and is told as failed when its time is over
	EndsUntold                           // ends, and nobody is told
	EndsSpent                            // is refused, or fails, at once
	EndsFailed                           // fails at once
)

// ConsequenceOf decides what follows from the end of a call for its message, by what the answer says, how
// certainly it is the call's own, and whether other messages of its key wait for the message. It is the one
// place where that is decided.
//
//	says        certain             likely                           doubtful, unmatched or retracted
//	nothing     MayCallAgain        MayCallAgain                     MayCallAgain
//	never ran   MayCallAgain        MayCallAgain; it may have run    MayCallAgain; it may have run
//	delivered   EndsDelivered       EndsDeliveredOwed                EndsFailed
//	- ordered   EndsDelivered       EndsFailed                       EndsFailed
//	over        EndsUntold          EndsFailed                       EndsFailed
//	spent       EndsSpent           EndsFailed                       EndsFailed
//
// An answer that isn't certain may be the call's own or a copy of another call's, and each step behind it
// has to be harmless in both cases. If an end is the call's own, no further call may begin, and a notice for
// a message that is over does no harm. If it is a copy, the message may still run, so that it is never
// told as refused, and its notice keeps it from being lost. "Never ran" may be a copy, so that the message is
// called again only as far as its effect allows a second run. The next message of a key goes once the one before
// it is over, which a delivery that may be a copy doesn't show and an answered notice does.
func ConsequenceOf(says Statement, attribution Attribution, ordered bool) Consequence {
	switch {
	case says == SaysNothing || says == SaysNeverRan:
		return MayCallAgain
	case attribution == Certain:
		return certainEnds[says]
	case says == SaysDelivered && attribution == Likely && !ordered:
		return EndsDeliveredOwed
	}
	return EndsFailed
}

// certainEnds are the consequences of an end that is certainly the message's own.
var certainEnds = map[Statement]Consequence{SaysDelivered: EndsDelivered, SaysOver: EndsUntold, SaysSpent: EndsSpent}

var consequenceNames = [...]string{MayCallAgain: "may_call_again", EndsDelivered: "delivered",
	EndsDeliveredOwed: "delivered_owed", EndsUntold: "untold", EndsSpent: "spent", EndsFailed: "failed"}

// String returns the name of the consequence in traces.
func (c Consequence) String() string { return consequenceNames[c] }
