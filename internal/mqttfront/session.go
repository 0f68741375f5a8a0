package mqttfront

import (
	"cmp"
	"encoding/json"
	"maps"
	"math"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"basaltcross.example/basaltcross/internal/core"
	"basaltcross.example/basaltcross/internal/front"
	"basaltcross.example/basaltcross/internal/ledger"
	"basaltcross.example/basaltcross/internal/mqtt"
)

// session is what the relay keeps for one client id (MQTT 5.0, 4.1). Its
// mutex also guards the order of what is sent to the client.
type session struct {
	id    string
	user  string
	born  int64 // tells it from earlier sessions of the same client
	front *Front
	dueAt atomic.Int64 // next time that something ends, by front.Now

	mu      sync.Mutex
	dead    bool
	version byte
	conn    *conn // nil while the client is away
	expiry  time.Duration
	away    time.Time // since
	will    *mqtt.Will
	willAt  time.Time
	subs    map[string]byte // granted QoS by topic
	serial  uint64          // of flows without Correlation Data
	epoch   uint64          // connections so far

	flows map[uint16]*flow // QoS 1, the last ReceiveMaximum taken or under way
	ring  []uint16         // their packet ids, oldest first
	rel   map[uint16]*flow // QoS 2, until PUBREL
	// QoS 2 of an earlier run: a client that goes on with one says so by its DUP flag.
	before map[uint16]*flow
	open   int // QoS 1 and 2 not yet acknowledged on this connection

	pend   map[string]*pending // the newest hand-in of each identity, until its answer is handed over
	owed   int                 // answers not yet handed over, of hand-ins that were replaced too
	queue  []*pending          // answered, not yet sent
	sent   map[uint16]*pending // sent, not yet acknowledged
	turn   uint64              // answers sent so far
	nextID uint16
}

// flow is one QoS 1 or 2 hand-in as its packet id knows it.
type flow struct {
	id       uint16
	qos      byte
	identity string
	epoch    uint64
	taken    bool
}

// pending is one hand-in of this session, with those that joined it, until its answer is
// handed over.
type pending struct {
	s        *session
	identity string
	earlier  *pending // whose place this one takes once it is taken; nil from then on
	handed   bool     // nothing is owed for it any more
	topic    string   // of the answer
	corr     []byte
	packet   uint16
	taken    bool
	acks     []*flow // to acknowledge once taken
	answer   ledger.Answer
	// Of the answer on its way out.
	out  uint16
	turn uint64
	qos  byte
	rel  bool // PUBREC came, PUBREL is out
}

// dismiss ends the connection of a client that is owed nothing while the relay
// stops; under mu.
func (s *session) dismiss() {
	if s.conn != nil && s.owed == 0 && s.front.draining.Load() {
		s.conn.write()
		go s.conn.end(mqtt.ServerShuttingDown, "relay stops")
	}
}

const never = math.MaxInt64

// due sets the time of the janitor's next look; under mu.
func (s *session) due() {
	if s.conn != nil || s.dead {
		s.dueAt.Store(never)
		return
	}
	at := front.Nanos(s.away.Add(s.expiry))
	if s.will != nil {
		at = min(at, front.Nanos(s.willAt))
	}
	s.dueAt.Store(at)
}

// expect counts a hand-in as the newest of its identity.
func (s *session) expect(p *pending) {
	p.earlier = s.pend[p.identity]
	s.pend[p.identity] = p
	s.owed++
}

// turnAway forgets a hand-in that was not taken. The one before it is the newest again.
func (s *session) turnAway(p *pending) {
	s.owed--
	delete(s.pend, p.identity)
	switch before := p.earlier; {
	case before == nil:
	case before.handed:
		s.settled(p.identity)
	default:
		s.pend[p.identity] = before
	}
}

// replace drops an answer that was not sent yet, as a later hand-in of its identity is owed
// one. An answer that was sent stays until its acknowledgement (4.4).
func (s *session) replace(p *pending) {
	if p == nil || p.handed || p.out != 0 {
		return
	}
	s.queue = slices.DeleteFunc(s.queue, func(queued *pending) bool { return queued == p })
	s.owed--
	p.handed = true
}

// taken tells the client that the core took a hand-in, or did not.
func (s *session) taken(p *pending, err error) {
	if s.pend[p.identity] != p {
		return
	}
	if err != nil {
		s.turnAway(p)
		defer s.dismiss()
		for _, fl := range p.acks {
			s.nack(fl, err)
		}
		return
	}
	p.taken = true
	s.replace(p.earlier)
	p.earlier = nil
	for _, fl := range p.acks {
		s.ack(fl)
	}
	p.acks = nil
}

// ack sends PUBACK or PUBREC for a flow that is taken.
func (s *session) ack(fl *flow) {
	fl.taken = true
	if fl.qos == 0 || fl.epoch != s.epoch || s.conn == nil {
		return // nothing to say, or the client asks again on its next connection
	}
	if fl.qos == 1 {
		s.open--
		s.conn.later(mqtt.AppendAck(nil, s.version, mqtt.PUBACK, fl.id, mqtt.Success, ""))
	} else {
		s.conn.later(mqtt.AppendAck(nil, s.version, mqtt.PUBREC, fl.id, mqtt.Success, ""))
	}
}

// nack turns a flow away. Before 5.0 there is no code for it: the connection
// closes without acknowledgement, and the client hands in again.
func (s *session) nack(fl *flow, err error) {
	code, reason := byte(mqtt.ImplementationError), err.Error()
	switch err {
	case core.ErrBusy, ledger.ErrFull, front.ErrPending:
		code = mqtt.QuotaExceeded
	case front.ErrNames:
		code = mqtt.TopicNameInvalid
	}
	s.front.opt.Observer.NotTaken(reason)
	if fl.qos == 0 {
		return
	}
	if fl.qos == 2 && s.rel[fl.id] == fl {
		delete(s.rel, fl.id)
	}
	if fl.qos == 1 && s.flows[fl.id] == fl {
		delete(s.flows, fl.id)
	}
	if fl.epoch != s.epoch || s.conn == nil {
		return
	}
	s.open--
	switch {
	case s.version != mqtt.V5:
		go s.conn.end(code, reason)
	case fl.qos == 1:
		s.conn.later(mqtt.AppendAck(nil, s.version, mqtt.PUBACK, fl.id, code, s.conn.reason(reason)))
	case fl.qos == 2:
		s.conn.later(mqtt.AppendAck(nil, s.version, mqtt.PUBREC, fl.id, code, s.conn.reason(reason)))
	}
}

// remember keeps a QoS 1 flow for a client that asks again after its
// connection broke. A client has no more than Receive Maximum of them open, and
// acknowledgements arrive in order, so that older ones cannot be asked for.
func (s *session) remember(fl *flow) {
	if s.flows == nil {
		s.flows = map[uint16]*flow{}
	}
	if s.flows[fl.id] != nil {
		s.ring = slices.DeleteFunc(s.ring, func(id uint16) bool { return id == fl.id })
	}
	s.flows[fl.id] = fl
	if s.ring = append(s.ring, fl.id); len(s.ring) > s.front.opt.ReceiveMaximum {
		delete(s.flows, s.ring[0])
		s.ring = s.ring[1:]
	}
}

// answered takes in a final answer and sends it if the client is there.
func (s *session) answered(p *pending, a ledger.Answer) {
	if s.pend[p.identity] != p || p.answer.Verdict != 0 || s.dead {
		return
	}
	p.answer = a
	s.queue = append(s.queue, p)
	s.pump()
}

// pump sends answers as far as the client's Receive Maximum and its
// subscriptions allow.
func (s *session) pump() {
	if s.conn == nil || len(s.queue) == 0 {
		return
	}
	kept := s.queue[:0]
	for i, p := range s.queue {
		qos, subscribed := s.subs[p.topic]
		if qos > 0 && len(s.sent) >= s.conn.window {
			kept = append(kept, s.queue[i:]...)
			break
		}
		if !subscribed {
			kept = append(kept, p)
			continue
		}
		if qos == 0 {
			s.conn.later(s.encode(p, 0, false))
			s.handed(p)
			continue
		}
		for s.nextID++; s.nextID == 0 || s.sent[s.nextID] != nil; s.nextID++ {
		}
		s.turn++
		p.out, p.qos, p.turn = s.nextID, qos, s.turn
		if s.sent == nil {
			s.sent = map[uint16]*pending{}
		}
		s.sent[p.out] = p
		s.conn.later(s.encode(p, qos, false))
	}
	clear(s.queue[len(kept):])
	if s.queue = kept; len(kept) == 0 {
		s.queue = nil
	}
}

// Note is the payload of an answer.
type Note struct {
	Answer       string `json:"answer"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	PacketID     uint16 `json:"packet_id,omitempty"`
}

func (s *session) encode(p *pending, qos byte, dup bool) []byte {
	n := Note{Answer: p.answer.Verdict.String(), PacketID: p.packet,
		RetryAfterMS: int64(math.Ceil(float64(p.answer.After) / float64(time.Millisecond)))}
	payload, _ := json.Marshal(n) // of plain fields: cannot fail
	out := mqtt.Publish{Topic: p.topic, QoS: qos, ID: p.out, Dup: dup, Payload: payload}
	if s.version == mqtt.V5 {
		out.Props = mqtt.Props{PayloadFormat: 1, ContentType: "application/json", Correlation: p.corr,
			User: []mqtt.Pair{{Name: "answer", Value: n.Answer}}}
		if n.RetryAfterMS > 0 {
			out.Props.User = append(out.Props.User,
				mqtt.Pair{Name: "retry-after-ms", Value: strconv.FormatInt(n.RetryAfterMS, 10)})
		}
	}
	return mqtt.AppendPublish(nil, s.version, &out)
}

// resume sends again what the client did not acknowledge (4.4).
func (s *session) resume() {
	for _, p := range slices.SortedFunc(maps.Values(s.sent),
		func(a, b *pending) int { return cmp.Compare(a.turn, b.turn) }) {
		if p.rel {
			s.conn.later(mqtt.AppendAck(nil, s.version, mqtt.PUBREL, p.out, mqtt.Success, ""))
		} else {
			s.conn.later(s.encode(p, p.qos, true))
		}
	}
	s.pump()
}

// acked takes in the client's acknowledgement of an answer.
func (s *session) acked(a mqtt.Ack) {
	p := s.sent[a.ID]
	if p == nil {
		if a.Kind == mqtt.PUBREC {
			s.conn.later(mqtt.AppendAck(nil, s.version, mqtt.PUBREL, a.ID, mqtt.PacketIDNotFound, ""))
		}
		return
	}
	switch {
	case a.Kind == mqtt.PUBREC && p.qos == 2 && a.Code < 0x80:
		p.rel = true
		s.conn.later(mqtt.AppendAck(nil, s.version, mqtt.PUBREL, a.ID, mqtt.Success, ""))
		return
	case a.Kind == mqtt.PUBACK && p.qos == 1, a.Kind == mqtt.PUBCOMP && p.qos == 2 && p.rel,
		a.Kind == mqtt.PUBREC && p.qos == 2:
		delete(s.sent, a.ID)
		s.handed(p)
		s.pump()
		s.dismiss()
	}
}
