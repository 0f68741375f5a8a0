// Package emulator emulates the users' platform on loopback: agents that serve the list of hosts and take
// notices, hosts with limits and failures, clients that keep their connections open. It records the history
// of each request over all of them, and audits the record against invariants.
//
// It injects faults of peers and networks. Faults of system calls are injected by package shim.
package emulator

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"basaltcross.example/basaltcross/internal/agent"
)

// Effect says whether a message may take effect twice, in the terms of the settings.
type Effect string

// The effects that the settings know.
const (
	Idempotent   Effect = "idempotent"
	Deduplicated Effect = "deduplicated"
	AtMostOnce   Effect = "at_most_once"
)

// Class is a class of messages.
type Class struct {
	Name    string
	Effect  Effect
	Ordered bool
	Window  time.Duration // time in which hosts deduplicate repeats
}

// Reply is the response that a client read.
type Reply struct {
	At       time.Time
	Status   int    // 0 for none
	Complete bool   // read to its last byte
	Text     string // bytes read
	// End is how the connection ended, empty if it stays open: "eof", "reset", "timeout", "close", "more" (bytes
	// beyond the response), "left" (by the client) or "error: ...".
	End   string
	Fresh bool // whether the request was the first on its connection
}

// Call is one message's part in a call that a host read to its last byte.
type Call struct {
	At            time.Time
	Host          string
	Status        int           // status that the host answered, 0 for none
	Ran           bool          // whether the message took effect
	AnswerBegun   time.Time     // start of the answer, zero for none
	AnswerWritten time.Time     // end of the write of the answer, zero for none
	Finished      time.Time     // end of the call: by its answer or the end of its connection
	RetryAfter    time.Duration // wait that the host asked for, 0 for none
	Timeout       time.Duration // time that the relay said it waits for the answer, 0 if it said none

	conn    *faultyConn // connection that carried the call
	turn    int64       // number of the call on it, from 1
	wroteAt time.Time   // start of the write of the answer, zero for none
}

// Notice is a notice that the agent received.
type Notice struct {
	At     time.Time
	Result string
}

// History is the history of one request over all processes.
type History struct {
	ID        string
	Node      int
	Class     Class
	Key       string
	Number    int // sequence number among the messages of its key
	Sent      time.Time
	Read      time.Time // time the relay logged that it had read the whole request, zero for never
	Responded time.Time // time the relay logged that it had written its response to the socket, zero for never
	Deadline  time.Time // deadline of the message
	Withdrawn time.Time // time it was withdrawn, zero for never
	MaxCalls  int       // number of calls that it may have, 0 for any number
	Reply     Reply
	Calls     []Call
	Notices   []Notice

	began time.Time // start of the load
}

// readAfterClientLeft reports whether the client had waited in vain for its response when the relay read the request.
func (c *History) readAfterClientLeft() bool {
	return c.Reply.End == "timeout" && c.Reply.Status == 0 && c.Read.After(c.Reply.At)
}

// String returns the history, with times since the request was sent.
func (c *History) String() string {
	since := func(t time.Time) string { return t.Sub(c.Sent).Round(time.Millisecond).String() }
	s := fmt.Sprintf(
		"%s node %d class %s key %q number %d, sent %s after the load began, due %s; reply %d complete %v end %q at %s",
		c.ID, c.Node, c.Class.Name, c.Key, c.Number, c.Sent.Sub(c.began).Round(time.Millisecond), since(c.Deadline),
		c.Reply.Status, c.Reply.Complete, c.Reply.End, since(c.Reply.At))
	if !c.Read.IsZero() {
		s += "; read at " + since(c.Read)
	}
	if !c.Reply.Complete && c.Reply.Text != "" {
		s += fmt.Sprintf(" %q", c.Reply.Text)
	}
	if !c.Withdrawn.IsZero() {
		s += "; withdrawn at " + since(c.Withdrawn)
	}
	for _, x := range c.Calls {
		s += fmt.Sprintf("; call at %s to %s: status %d, took effect: %v", since(x.At), x.Host, x.Status, x.Ran)
		if x.Timeout > 0 {
			s += fmt.Sprintf(", the relay waits for %s", x.Timeout)
		}
		if !x.wroteAt.IsZero() {
			s += ", answer begun at " + since(x.wroteAt)
		}
		if !x.AnswerWritten.IsZero() {
			s += ", written at " + since(x.AnswerWritten)
		}
		if x.conn != nil {
			s += fmt.Sprintf(", call %d of %d on its connection, %s", x.turn, x.conn.calls.Load(), x.conn.ended.describe(since))
		}
	}
	for _, x := range c.Notices {
		s += fmt.Sprintf("; notice %s at %s", x.Result, since(x.At))
	}
	return s
}

// Process is one process of a node.
type Process struct {
	Node     int
	Started  time.Time
	Ready    time.Time // first successful readiness check, zero for never
	StopSent time.Time // SIGTERM sent, or killed; zero for never
	KillSent time.Time // SIGKILL sent, zero for never
	Ended    time.Time // end of the process observed, zero while it runs
}

// Record records requests, calls, notices and processes. It is safe for concurrent use.
type Record struct {
	mu           sync.Mutex
	began        time.Time // time of the first request
	histories    map[string]*History
	effectOrder  map[string][]string // request IDs by node, class and key, in the order of their effects
	processes    []*Process
	hostStates   []hostState
	closePeriods []nodePeriod // when new connections may be closed unread
	diskFaults   []nodePeriod // when writes to the state directory may fail
	writeFaults  []nodePeriod // when no write to a socket succeeds
	stalls       []nodePeriod // when the process stood still
	unknown      []string     // calls and notices of messages that no client sent
}

// nodePeriod is a period of time on one node.
type nodePeriod struct {
	node     int
	from, to time.Time
}

// NewConnsMayClose records that, from now on for length, a relay may close new connections unread, because it or the
// system is out of resources for them.
func (r *Record) NewConnsMayClose(node int, length time.Duration) {
	r.addPeriod(&r.closePeriods, node, length)
}

// DiskFails records that, from now on for length, writes to the state directory of a relay may fail.
func (r *Record) DiskFails(node int, length time.Duration) {
	r.addPeriod(&r.diskFaults, node, length)
}

// SocketWritesFail records that, from now on for length, a relay cannot write to any socket.
func (r *Record) SocketWritesFail(node int, length time.Duration) {
	r.addPeriod(&r.writeFaults, node, length)
}

// Stalled records that a relay's process stood still between two times, by no fault of its own.
func (r *Record) Stalled(node int, from, to time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stalls = append(r.stalls, nodePeriod{node, from, to})
}

// addPeriod adds a period of a node from now on to periods.
func (r *Record) addPeriod(periods *[]nodePeriod, node int, length time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	*periods = append(*periods, nodePeriod{node, now, now.Add(length)})
}

// covers reports whether the periods of a node together cover all of a time range. The periods must be in the
// order of their starts.
func covers(periods []nodePeriod, node int, from, to time.Time) bool {
	for _, s := range periods {
		if s.node == node && s.from.Before(from) && s.to.After(from) {
			from = s.to
		}
	}
	return from.After(to)
}

// totalWithin returns how much of a time range the periods of a node take. They must not overlap.
func totalWithin(periods []nodePeriod, node int, from, to time.Time) (total time.Duration) {
	for _, s := range periods {
		if s.node != node || s.from.After(to) || s.to.Before(from) {
			continue
		}
		begin, end := s.from, s.to
		if begin.Before(from) {
			begin = from
		}
		if end.After(to) {
			end = to
		}
		total += end.Sub(begin)
	}
	return total
}

// overlaps reports whether a period of a node overlaps a time range.
func overlaps(periods []nodePeriod, node int, from, to time.Time) bool {
	return slices.ContainsFunc(periods, func(s nodePeriod) bool {
		return s.node == node && s.from.Before(to) && s.to.After(from)
	})
}

// hostState is the state of a host as it was written to one relay.
type hostState struct {
	node        int
	host        string
	at          time.Time // time it was written to the relay
	acceptsWork bool      // whether the host accepts new work
}

// Listed records the hosts of a list written to a relay: those that accept new work if wants is set, those that
// accept none otherwise.
func (r *Record) Listed(node int, at time.Time, targets []agent.Target, wants bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range targets {
		if (t.State == "up") == wants {
			r.hostStates = append(r.hostStates, hostState{node, t.UID, at, wants})
		}
	}
}

// NewRecord returns an empty record.
func NewRecord() *Record {
	return &Record{histories: map[string]*History{}, effectOrder: map[string][]string{}}
}

// Sent records a request. It is called before the first byte is sent.
func (r *Record) Sent(c *History) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.began.IsZero() {
		r.began = c.Sent
	}
	c.began = r.began
	r.histories[c.ID] = c
}

// Read records when a relay logged that it had read a whole request. An unknown request is ignored.
func (r *Record) Read(id string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if x := r.histories[id]; x != nil {
		x.Read = at
	}
}

// Responded records when a relay logged that it had written its response to the socket. An unknown request is
// ignored.
func (r *Record) Responded(id string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if x := r.histories[id]; x != nil {
		x.Responded = at
	}
}

// Replied records the response that the client read.
func (r *Record) Replied(id string, reply Reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.histories[id].Reply = reply
}

// Called records a call that was read to its last byte. It returns the call's index in the message's history, -1
// if the message is unknown.
func (r *Record) Called(id string, c Call) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.histories[id]
	if x == nil {
		r.unknown = append(r.unknown, "call of "+id)
		return -1
	}
	c.conn.node.Store(int64(x.Node))
	x.Calls = append(x.Calls, c)
	return len(x.Calls) - 1
}

// Ran records that a message took effect in a call.
func (r *Record) Ran(id string, callIndex int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.histories[id]
	if x == nil || callIndex < 0 {
		return
	}
	x.Calls[callIndex].Ran = true
	if x.Class.Ordered {
		key := fmt.Sprintf("%d %s %s", x.Node, x.Class.Name, x.Key)
		r.effectOrder[key] = append(r.effectOrder[key], id)
	}
}

// AnswerStarted records the answer that a host is about to write: from then on the relay may know it, whatever
// happens to the connection.
func (r *Record) AnswerStarted(id string, callIndex, status int, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if x := r.histories[id]; x != nil && callIndex >= 0 {
		x.Calls[callIndex].Status, x.Calls[callIndex].RetryAfter, x.Calls[callIndex].AnswerBegun = status, wait, time.Now()
	}
}

// AnswerCompleted records that the answer was written.
func (r *Record) AnswerCompleted(id string, callIndex int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if x := r.histories[id]; x != nil && callIndex >= 0 {
		call := &x.Calls[callIndex]
		call.AnswerWritten = time.Now()
		if call.conn != nil {
			call.wroteAt = time.Unix(0, call.conn.wrote.Load())
		}
	}
}

// CallEnded records that a call has ended.
func (r *Record) CallEnded(id string, callIndex int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if x := r.histories[id]; x != nil && callIndex >= 0 {
		x.Calls[callIndex].Finished = time.Now()
	}
}

// Noticed records a notice that the agent received.
func (r *Record) Noticed(id string, result string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.histories[id]
	if x == nil {
		r.unknown = append(r.unknown, "notice of "+id)
		return
	}
	x.Notices = append(x.Notices, Notice{time.Now(), result})
}

// ProcessStarted records a new process of a node.
func (r *Record) ProcessStarted(node int) *Process {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := &Process{Node: node, Started: time.Now()}
	r.processes = append(r.processes, l)
	return l
}

// Update runs f under the record's lock, to modify a Process.
func (r *Record) Update(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

// CountOpen returns the number of messages that were accepted and have been neither delivered nor ended by a notice.
func (r *Record) CountOpen() (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.histories {
		if c.taken() && !c.delivered() && len(c.Notices) == 0 && c.Withdrawn.IsZero() {
			n++
		}
	}
	return n
}

// triedBy reports whether the message had been sent in a call, or had ended by a notice, before a time.
func (c *History) triedBy(by time.Time) bool {
	return len(c.Calls) > 0 && c.Calls[0].At.Before(by) || len(c.Notices) > 0 && c.Notices[0].At.Before(by)
}

// taken reports whether the client was told that the message was accepted.
func (c *History) taken() bool {
	return c.Reply.accepted()
}

// accepted reports whether a response says that the message was accepted.
func (r *Reply) accepted() bool { return r.Complete && (r.Status == 202 || r.Status == 200) }

// delivered reports whether a host answered 200 to a call.
func (c *History) delivered() bool {
	for _, x := range c.Calls {
		if x.Status == 200 && !x.AnswerWritten.IsZero() {
			return true
		}
	}
	return false
}

// deliveredAfter returns the time from the request to the first 200 of a host, 0 for none.
func (c *History) deliveredAfter() time.Duration {
	for _, x := range c.Calls {
		if x.Status == 200 && !x.AnswerWritten.IsZero() {
			return x.AnswerWritten.Sub(c.Sent)
		}
	}
	return 0
}

// mayHaveRun reports whether the message may have taken effect, as far as its relay can know: some call was not
// refused.
func (c *History) mayHaveRun() bool {
	return slices.ContainsFunc(c.Calls, func(x Call) bool {
		return x.Status != 429 && x.Status != 503 && x.Status != 504 && x.Status != 410
	})
}

// Replies counts requests: all, and by the status of the response or the end of the connection.
func (r *Record) Replies() (requests int, by map[string]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	by = map[string]int{}
	for _, c := range r.histories {
		what := c.Reply.End
		if c.Reply.Complete {
			what = fmt.Sprint(c.Reply.Status)
		}
		by[what]++
	}
	return len(r.histories), by
}

// DeliveryCounts counts the outcomes of the messages that clients handed in.
type DeliveryCounts struct {
	Taken     int `json:"taken"`     // messages accepted
	Delivered int `json:"delivered"` // accepted messages that a host answered 200
	Untried   int `json:"untried"`   // accepted messages ended by a notice without a call
	Calls     int `json:"calls"`     // messages sent in calls, repeats included
	Both      int `json:"both"`      // accepted messages that a host answered 200 and that have a notice
	// MeanTime is the mean time from the request to the host's answer, over delivered messages.
	MeanTime time.Duration `json:"after_ns"`
}

// DeliveryCounts counts the outcomes recorded so far.
func (r *Record) DeliveryCounts() (s DeliveryCounts) {
	r.mu.Lock()
	defer r.mu.Unlock()
	total := time.Duration(0)
	defer func() { s.MeanTime = total / time.Duration(max(1, s.Delivered)) }()
	for _, c := range r.histories {
		s.Calls += len(c.Calls)
		if !c.taken() {
			continue
		}
		s.Taken++
		if c.delivered() {
			s.Delivered++
			total += c.deliveredAfter()
			if len(c.Notices) > 0 {
				s.Both++
			}
		} else if len(c.Calls) == 0 && len(c.Notices) > 0 {
			s.Untried++
		}
	}
	return s
}

// newConnectionsFor is how long new connections keep arriving at a relay after SIGTERM.
const newConnectionsFor = 400 * time.Millisecond

// sentWhileLeaving reports whether a request was sent within newConnectionsFor of its relay's SIGTERM. The caller
// holds mu.
func (r *Record) sentWhileLeaving(c *History) bool {
	for _, l := range r.processes {
		if l.Node == c.Node && !l.StopSent.IsZero() && c.Sent.After(l.StopSent) &&
			c.Sent.Before(l.StopSent.Add(newConnectionsFor)) {
			return true
		}
	}
	return false
}

// processEndedNear reports whether a process of a node ended within a second of a time, which excuses what
// happened then. The caller holds mu.
func (r *Record) processEndedNear(node int, at time.Time) bool {
	return slices.ContainsFunc(r.processes, func(l *Process) bool {
		return l.Node == node && !l.Ended.IsZero() && l.Ended.After(at.Add(-time.Second)) &&
			l.KillSent.Before(at.Add(time.Second))
	})
}

// Plant puts one violation of the named kind into the record, as a faulty relay would have left it. It reports
// whether a request was found that the violation could be put into.
func (r *Record) Plant(what string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.histories {
		switch {
		case what == "answer-cut" && c.taken() && len(c.Calls) > 0:
			c.Reply = Reply{At: c.Reply.At, Text: "HTTP/1.1 2", End: "eof"}
		case what == "refused-and-forwarded" && c.Reply.Complete && c.Reply.Status == 429:
			c.Calls = append(c.Calls, Call{At: c.Reply.At.Add(2 * time.Second), Host: "planted", Status: 200, Ran: true})
		case what == "record-after-answer" && c.taken() && c.delivered():
			c.Calls, c.Notices = nil, nil
		case what == "unanswered" && c.taken() && !c.Read.IsZero() && len(c.Calls) > 0 &&
			!r.processEndedNear(c.Node, c.Sent):
			c.Reply = Reply{At: c.Sent.Add(clientTimeout), End: "timeout"}
		case what == "reset-while-leaving" && c.Reply.Complete && c.Reply.Fresh && r.sentWhileLeaving(c):
			c.Reply = Reply{At: c.Reply.At, End: "reset", Fresh: true}
		case what == "served-and-refused" && c.taken() && c.delivered() && len(c.Notices) == 0 &&
			c.Calls[len(c.Calls)-1].Timeout > time.Second/4 &&
			!r.processEndedNear(c.Node, c.Calls[len(c.Calls)-1].At):
			c.Notices = []Notice{{At: c.Calls[len(c.Calls)-1].AnswerWritten.Add(time.Second), Result: "bounced"}}
		case what == "called-after-its-end" && len(c.Calls) > 0 && c.Calls[len(c.Calls)-1].Status == 410 &&
			!c.Calls[len(c.Calls)-1].wroteAt.IsZero() && !r.processEndedNear(c.Node, c.Calls[len(c.Calls)-1].At):
			c.Calls = append(c.Calls, Call{At: time.Now(), Host: "planted", Status: 410})
		case what == "second-effect" && c.Class.Effect == AtMostOnce && c.delivered():
			c.Calls = append(c.Calls, c.Calls[0])
		default:
			continue
		}
		return true
	}
	return false
}
