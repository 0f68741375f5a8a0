// Package emulator is the users' platform on loopback: agents that push lists and take
// notices, hosts with limits and failures, clients that keep their connections. It keeps the
// course of each request over all of them, which an audit holds against the rules. Its
// faults are those of peers and networks; those of system calls are package shim's.
package emulator

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"basaltcross.example/basaltcross/internal/agent"
)

// Effect is what a second effect of a message does, as the settings name it.
type Effect string

// The effects of the settings.
const (
	Idempotent   Effect = "idempotent"
	Deduplicated Effect = "deduplicated"
	AtMostOnce   Effect = "at_most_once"
)

// Lane is a class of messages.
type Lane struct {
	Name    string
	Effect  Effect
	Ordered bool
	Window  time.Duration
}

// Reply is what a client read in answer to a request.
type Reply struct {
	At       time.Time
	Status   int    // 0 for none
	Complete bool   // to its last byte
	Text     string // what was read, where it was not complete
	End      string // how the connection ended before that: "", "eof", "reset", "timeout"
	Fresh    bool   // the first request on its connection
}

// Call is one call of a message that a host read to its last byte.
type Call struct {
	At     time.Time
	Host   string
	Status int       // what the host answered; 0 for nothing
	Ran    bool      // it took effect
	Begun  time.Time // when the answer was begun, zero for never
	Told   time.Time // when it had been written, zero for never
	Over   time.Time // when it was answered or its connection had ended
	Wait   time.Duration
	Waited time.Duration // how long the relay said that it waits for the answer; 0 for nothing said

	conn *faultyConn // that carried it
}

// Notice is one notice of a message.
type Notice struct {
	At     time.Time
	Result string
}

// Course is that of one request, over all processes.
type Course struct {
	ID      string
	Node    int
	Lane    Lane
	Key     string
	Number  int // of its key
	Sent    time.Time
	Read    time.Time // the relay said that it had read the request whole; zero for never
	Handed  time.Time // the relay said that it had handed its response to the socket; zero for never
	Due     time.Time
	Reply   Reply
	Calls   []Call
	Notices []Notice

	began time.Time // of the record
}

// String tells the course, with times since its sending.
func (c *Course) String() string {
	since := func(t time.Time) string { return t.Sub(c.Sent).Round(time.Millisecond).String() }
	s := fmt.Sprintf("%s node %d lane %s key %q number %d, sent %s after the load began, due %s; reply %d complete %v end %q at %s", c.ID,
		c.Node, c.Lane.Name, c.Key, c.Number, c.Sent.Sub(c.began).Round(time.Millisecond), since(c.Due), c.Reply.Status, c.Reply.Complete, c.Reply.End, since(c.Reply.At))
	if !c.Read.IsZero() {
		s += "; read at " + since(c.Read)
	}
	if !c.Reply.Complete && c.Reply.Text != "" {
		s += fmt.Sprintf(" %q", c.Reply.Text)
	}
	for _, x := range c.Calls {
		s += fmt.Sprintf("; call at %s of %s: %d ran %v", since(x.At), x.Host, x.Status, x.Ran)
	}
	for _, x := range c.Notices {
		s += fmt.Sprintf("; notice %s at %s", x.Result, since(x.At))
	}
	return s
}

// Life is one run of a node's process.
type Life struct {
	Node    int
	Started time.Time
	Ready   time.Time // zero for never
	Told    time.Time // it was told to end, or killed; zero for never
	Killed  time.Time // zero for never
	Ended   time.Time // seen to have ended
}

// Record keeps what passed. It is safe for concurrent use.
type Record struct {
	mu           sync.Mutex
	began        time.Time // the first request
	histories    map[string]*Course
	effectOrder  map[string][]string // ids by node, lane and key, in the order of their effects
	processes    []*Life
	hostStates   []hostState
	closePeriods []nodePeriod
	diskFaults   []nodePeriod
	writeFaults  []nodePeriod
	unknown      []string // calls and notices of messages that nobody sent
}

// span is a time of one relay.
type nodePeriod struct {
	node     int
	from, to time.Time
}

// MayShut notes a time, from now on, in which a relay may shut new connections unread: it has no
// room for them, or the system gives it none.
func (r *Record) MayShut(node int, length time.Duration) { r.addPeriod(&r.closePeriods, node, length) }

// FolderFails notes a time, from now on, in which writes to the folder of a relay may fail.
func (r *Record) FolderFails(node int, length time.Duration) {
	r.addPeriod(&r.diskFaults, node, length)
}

// WritesFail notes a time, from now on, in which a relay can write to no socket.
func (r *Record) WritesFail(node int, length time.Duration) {
	r.addPeriod(&r.writeFaults, node, length)
}

func (r *Record) addPeriod(spans *[]nodePeriod, node int, length time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	*spans = append(*spans, nodePeriod{node, now, now.Add(length)})
}

// covers tells whether spans of a node, in the order of their beginnings, lie over all of a time.
func covers(spans []nodePeriod, node int, from, to time.Time) bool {
	for _, s := range spans {
		if s.node == node && s.from.Before(from) && s.to.After(from) {
			from = s.to
		}
	}
	return from.After(to)
}

// within tells whether one of some spans of a node shares a moment with a time.
func overlaps(spans []nodePeriod, node int, from, to time.Time) bool {
	return slices.ContainsFunc(spans, func(s nodePeriod) bool { return s.node == node && s.from.Before(to) && s.to.After(from) })
}

// drain is what one relay was told of one host.
type hostState struct {
	node        int
	host        string
	at          time.Time // written to the relay
	acceptsWork bool      // the host wants new work
}

// Listed notes which hosts want new work, or want none, by a list that was written to a relay.
func (r *Record) Listed(node int, at time.Time, targets []agent.Target, wants bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range targets {
		if (t.State == "up") == wants {
			r.hostStates = append(r.hostStates, hostState{node, t.UID, at, wants})
		}
	}
}

// NewRecord makes an empty one.
func NewRecord() *Record {
	return &Record{histories: map[string]*Course{}, effectOrder: map[string][]string{}}
}

// Sent notes a request before its first byte.
func (r *Record) Sent(c *Course) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.began.IsZero() {
		r.began = c.Sent
	}
	c.began = r.began
	r.histories[c.ID] = c
}

// Read notes that a relay said that it had read a request whole; one that nobody sent is
// passed over.
func (r *Record) Read(id string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if x := r.histories[id]; x != nil {
		x.Read = at
	}
}

// Responded notes that a relay said that it had handed its response to the socket.
func (r *Record) Responded(id string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if x := r.histories[id]; x != nil {
		x.Handed = at
	}
}

// Replied notes what came of it.
func (r *Record) Replied(id string, reply Reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.histories[id].Reply = reply
}

// Called notes a call that was read to its last byte, and returns its number there.
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

// Ran notes that a call took effect.
func (r *Record) Ran(id string, number int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.histories[id]
	if x == nil || number < 0 {
		return
	}
	x.Calls[number].Ran = true
	if x.Lane.Ordered {
		key := fmt.Sprintf("%d %s %s", x.Node, x.Lane.Name, x.Key)
		r.effectOrder[key] = append(r.effectOrder[key], id)
	}
}

// Answers notes what a host is about to write in answer to a call: from then on the relay
// may know it, whatever becomes of the connection.
func (r *Record) Answers(id string, number, status int, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if x := r.histories[id]; x != nil && number >= 0 {
		x.Calls[number].Status, x.Calls[number].Wait, x.Calls[number].Begun = status, wait, time.Now()
	}
}

// Answered notes that the answer was written.
func (r *Record) Answered(id string, number int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if x := r.histories[id]; x != nil && number >= 0 {
		x.Calls[number].Told = time.Now()
	}
}

// Over notes that a call is not out any more.
func (r *Record) Over(id string, number int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if x := r.histories[id]; x != nil && number >= 0 {
		x.Calls[number].Over = time.Now()
	}
}

// Noticed notes a notice that was answered with 204.
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

// Begun notes a new process of a node.
func (r *Record) Begun(node int) *Life {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := &Life{Node: node, Started: time.Now()}
	r.processes = append(r.processes, l)
	return l
}

// Note changes a life under the record's lock.
func (r *Record) Note(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

// Open counts the messages that were taken and have neither been delivered nor ended.
func (r *Record) Open() (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.histories {
		if c.taken() && !c.delivered() && len(c.Notices) == 0 {
			n++
		}
	}
	return n
}

// over tells whether a message had been called, or had ended, by a moment.
func (c *Course) triedBy(by time.Time) bool {
	return len(c.Calls) > 0 && c.Calls[0].At.Before(by) || len(c.Notices) > 0 && c.Notices[0].At.Before(by)
}

// taken tells whether a client heard that the message was taken on.
func (c *Course) taken() bool {
	return c.Reply.Complete && (c.Reply.Status == 202 || c.Reply.Status == 200)
}

// delivered tells whether a host answered 200 to a call.
func (c *Course) delivered() bool {
	for _, x := range c.Calls {
		if x.Status == 200 && !x.Told.IsZero() {
			return true
		}
	}
	return false
}

// deliveredAfter is the time from the sending to the first 200 of a host.
func (c *Course) deliveredAfter() time.Duration {
	for _, x := range c.Calls {
		if x.Status == 200 && !x.Told.IsZero() {
			return x.Told.Sub(c.Sent)
		}
	}
	return 0
}

// mayHaveRun tells whether a call was not refused, as far as its relay can know.
func (c *Course) mayHaveRun() bool {
	return slices.ContainsFunc(c.Calls, func(x Call) bool {
		return x.Status != 429 && x.Status != 503 && x.Status != 504 && x.Status != 410
	})
}

// Replies counts what clients read, by status or end.
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

// Service counts what became of the messages that clients handed in.
type Service struct {
	Taken     int `json:"taken"`
	Delivered int `json:"delivered"` // of those taken
	Untried   int `json:"untried"`   // of those taken, ended by a notice with no call
	Calls     int `json:"calls"`     // messages in calls
	// After is the mean time from the sending of a message that was delivered to its host's answer.
	After time.Duration `json:"after_ns"`
}

// Service counts until now.
func (r *Record) Service() (s Service) {
	r.mu.Lock()
	defer r.mu.Unlock()
	total := time.Duration(0)
	defer func() { s.After = total / time.Duration(max(1, s.Delivered)) }()
	for _, c := range r.histories {
		s.Calls += len(c.Calls)
		if !c.taken() {
			continue
		}
		s.Taken++
		if c.delivered() {
			s.Delivered++
			total += c.deliveredAfter()
		} else if len(c.Calls) == 0 && len(c.Notices) > 0 {
			s.Untried++
		}
	}
	return s
}

// clientsCome is how long new connections keep coming after SIGTERM (PROTOCOL).
const newConnectionsFor = 400 * time.Millisecond

// leavesAt tells whether a request was sent while its relay leaves and clients still come; under mu.
func (r *Record) sentWhileLeaving(c *Course) bool {
	for _, l := range r.processes {
		if l.Node == c.Node && !l.Told.IsZero() && c.Sent.After(l.Told) && c.Sent.Before(l.Told.Add(newConnectionsFor)) {
			return true
		}
	}
	return false
}

// endsNear tells whether a process of a node ended within a second of a moment, which excuses
// what happened then; under mu.
func (r *Record) processEndedNear(node int, at time.Time) bool {
	return slices.ContainsFunc(r.processes, func(l *Life) bool {
		return l.Node == node && !l.Ended.IsZero() && l.Ended.After(at.Add(-time.Second)) && l.Killed.Before(at.Add(time.Second))
	})
}

// Plant puts one violation into the record, of the kind named, as a broken relay would
// have left it. It reports whether there was a request to do it with.
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
		case what == "unanswered" && c.taken() && !c.Read.IsZero() && len(c.Calls) > 0 && !r.processEndedNear(c.Node, c.Sent):
			c.Reply = Reply{At: c.Sent.Add(clientTimeout), End: "timeout"}
		case what == "reset-while-leaving" && c.Reply.Complete && c.Reply.Fresh && r.sentWhileLeaving(c):
			c.Reply = Reply{At: c.Reply.At, End: "reset", Fresh: true}
		case what == "served-and-refused" && c.taken() && c.delivered() && len(c.Notices) == 0 && c.Calls[len(c.Calls)-1].Waited > time.Second/4 &&
			!r.processEndedNear(c.Node, c.Calls[len(c.Calls)-1].At):
			c.Notices = []Notice{{At: c.Calls[len(c.Calls)-1].Told.Add(time.Second), Result: "bounced"}}
		case what == "second-effect" && c.Lane.Effect == AtMostOnce && c.delivered():
			c.Calls = append(c.Calls, c.Calls[0])
		default:
			continue
		}
		return true
	}
	return false
}
