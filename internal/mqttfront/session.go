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
	id         string
	user       string
	createdAt  int64 // tells it from earlier sessions of the same client
	front      *Front
	nextExpiry atomic.Int64 // next time that something ends, by front.Now

	mu             sync.Mutex
	removed        bool
	version        byte
	conn           *conn // nil while the client is away
	expiry         time.Duration
	disconnectedAt time.Time // since
	will           *mqtt.Will
	willAt         time.Time
	subs           map[string]byte // granted QoS by topic
	serial         uint64          // of flows without Correlation Data
	epoch          uint64          // connections so far

	qos1Flows map[uint16]*flow // QoS 1, the last ReceiveMaximum taken or under way
	qos1Order []uint16         // their packet ids, oldest first
	qos2Flows map[uint16]*flow // QoS 2, until PUBREL
	// QoS 2 of an earlier run: a client that goes on with one says so by its DUP flag.
	restoredQoS2 map[uint16]*flow
	inFlight     int // QoS 1 and 2 not yet acknowledged on this connection

	newest     map[string]*pending // the newest hand-in of each identity, until its answer is handed over
	unfinished int                 // answers not yet handed over, of hand-ins that were replaced too
	queue      []*pending          // answered, not yet sent
	sent       map[uint16]*pending // sent, not yet acknowledged
	sendCount  uint64              // answers sent so far
	nextID     uint16
}

// flow is one QoS 1 or 2 hand-in as its packet id knows it.
type flow struct {
	id       uint16
	qos      byte
	identity string
	epoch    uint64
	accepted bool
}

// dismiss ends the connection of a client that is owed nothing while the relay
// stops; under mu.
func (s *session) disconnectIfDrained() {
	if s.conn != nil && s.unfinished == 0 && s.front.draining.Load() {
		s.conn.writeQueued()
		go s.conn.end(mqtt.ServerShuttingDown, "relay stops")
	}
}

const never = math.MaxInt64

// due sets the time of the janitor's next look; under mu.
func (s *session) scheduleExpiry() {
	if s.conn != nil || s.removed {
		s.nextExpiry.Store(never)
		return
	}
	at := front.Nanos(s.disconnectedAt.Add(s.expiry))
	if s.will != nil {
		at = min(at, front.Nanos(s.willAt))
	}
	s.nextExpiry.Store(at)
}

// taken tells the client that the core took a hand-in, or did not.
func (s *session) handleAccepted(p *pending, err error) {
	if s.newest[p.identity] != p {
		return
	}
	if err != nil {
		s.removeRejected(p)
		defer s.disconnectIfDrained()
		for _, fl := range p.waitingFlows {
			s.reject(fl, err)
		}
		return
	}
	p.accepted = true
	s.dropUnsent(p.earlier)
	p.earlier = nil
	for _, fl := range p.waitingFlows {
		s.sendAck(fl)
	}
	p.waitingFlows = nil
}

// ack sends PUBACK or PUBREC for a flow that is taken.
func (s *session) sendAck(fl *flow) {
	fl.accepted = true
	if fl.qos == 0 || fl.epoch != s.epoch || s.conn == nil {
		return // nothing to say, or the client asks again on its next connection
	}
	if fl.qos == 1 {
		s.inFlight--
		s.conn.enqueue(mqtt.AppendAck(nil, s.version, mqtt.PUBACK, fl.id, mqtt.Success, ""))
	} else {
		s.conn.enqueue(mqtt.AppendAck(nil, s.version, mqtt.PUBREC, fl.id, mqtt.Success, ""))
	}
}

// nack turns a flow away. Before 5.0 there is no code for it: the connection
// closes without acknowledgement, and the client hands in again.
func (s *session) reject(fl *flow, err error) {
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
	if fl.qos == 2 && s.qos2Flows[fl.id] == fl {
		delete(s.qos2Flows, fl.id)
	}
	if fl.qos == 1 && s.qos1Flows[fl.id] == fl {
		delete(s.qos1Flows, fl.id)
	}
	if fl.epoch != s.epoch || s.conn == nil {
		return
	}
	s.inFlight--
	switch {
	case s.version != mqtt.V5:
		go s.conn.end(code, reason)
	case fl.qos == 1:
		s.conn.enqueue(mqtt.AppendAck(nil, s.version, mqtt.PUBACK, fl.id, code, s.conn.reason(reason)))
	case fl.qos == 2:
		s.conn.enqueue(mqtt.AppendAck(nil, s.version, mqtt.PUBREC, fl.id, code, s.conn.reason(reason)))
	}
}

// remember keeps a QoS 1 flow for a client that asks again after its
// connection broke. A client has no more than Receive Maximum of them open, and
// acknowledgements arrive in order, so that older ones cannot be asked for.
func (s *session) rememberFlow(fl *flow) {
	if s.qos1Flows == nil {
		s.qos1Flows = map[uint16]*flow{}
	}
	if s.qos1Flows[fl.id] != nil {
		s.qos1Order = slices.DeleteFunc(s.qos1Order, func(id uint16) bool { return id == fl.id })
	}
	s.qos1Flows[fl.id] = fl
	if s.qos1Order = append(s.qos1Order, fl.id); len(s.qos1Order) > s.front.opt.ReceiveMaximum {
		delete(s.qos1Flows, s.qos1Order[0])
		s.qos1Order = s.qos1Order[1:]
	}
}
