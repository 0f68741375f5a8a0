package mqttfront

import (
	"math"
	"slices"
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

	newest map[string]*pending // the newest hand-in of each identity, until its answer is handed over
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

// taken tells the client that the core took a hand-in, or did not.
func (s *session) taken(p *pending, err error) {
	if s.newest[p.identity] != p {
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
