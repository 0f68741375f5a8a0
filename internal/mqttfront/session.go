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

// session is the state kept for one client identifier (4.1). Its mutex also guards the
// order of what is sent to the client.
type session struct {
	id         string
	user       string
	createdAt  int64 // Unix time in ns; tells sessions of the same client identifier apart
	front      *Front
	nextExpiry atomic.Int64 // when the will is due or the session expires, as of front.Now; never while connected

	mu             sync.Mutex
	removed        bool
	version        byte
	conn           *conn         // nil while the client is disconnected
	expiry         time.Duration // granted Session Expiry Interval
	disconnectedAt time.Time
	will           *mqtt.Will
	willAt         time.Time       // when the will is due; set on disconnect
	subs           map[string]byte // granted QoS by topic
	serial         uint64          // number of the last hand-in without Correlation Data
	epoch          uint64          // number of connections so far

	qos1Flows map[uint16]*flow // QoS 1 by packet id, at most the last Options.ReceiveMaximum
	qos1Order []uint16         // packet ids in qos1Flows, oldest first
	qos2Flows map[uint16]*flow // QoS 2 by packet id, until PUBREL
	// QoS 2 flows of an earlier run. A client that continues one retransmits its PUBLISH
	// with the DUP flag.
	restoredQoS2 map[uint16]*flow
	inFlight     int // flows of QoS 1 and 2 not yet acknowledged on this connection

	newest     map[string]*pending // newest hand-in of each identity, until its answer is acknowledged
	unfinished int                 // hand-ins with an unacknowledged answer, older ones of an identity too
	queue      []*pending          // answers not yet sent
	sent       map[uint16]*pending // answers sent and not yet acknowledged, by packet id
	sendCount  uint64              // number of answers of QoS 1 and 2 sent so far
	nextID     uint16              // last packet id used for an answer
}

// flow is the exchange of packets for one PUBLISH of the client. Flows of QoS 1 and 2 are
// kept by packet id, so that retransmissions are recognised.
type flow struct {
	id       uint16
	qos      byte
	identity string
	epoch    uint64 // the session's epoch when the client last sent it
	accepted bool   // by the core
}

// disconnectIfDrained closes the client's connection if the front drains and all answers
// are acknowledged; under mu.
func (s *session) disconnectIfDrained() {
	if s.conn != nil && s.unfinished == 0 && s.front.draining.Load() {
		s.conn.writeQueued()
		go s.conn.end(mqtt.ServerShuttingDown, "relay stops")
	}
}

// never is the value of nextExpiry while nothing can expire.
const never = math.MaxInt64

// scheduleExpiry sets the time at which expiryLoop handles the session next; under mu.
func (s *session) scheduleExpiry() {
	if s.conn != nil || s.removed {
		s.nextExpiry.Store(never)
		return
	}
	at := front.SinceStart(s.disconnectedAt.Add(s.expiry))
	if s.will != nil {
		at = min(at, front.SinceStart(s.willAt))
	}
	s.nextExpiry.Store(at)
}

// handleSubmitResult acknowledges the flows of a hand-in that the core accepted, or rejects
// them with err.
func (s *session) handleSubmitResult(p *pending, err error) {
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

// sendAck sends the PUBACK or PUBREC of a flow that the core accepted.
func (s *session) sendAck(fl *flow) {
	fl.accepted = true
	if fl.qos == 0 || fl.epoch != s.epoch || s.conn == nil {
		return // QoS 0, or the client retransmits on its next connection
	}
	if fl.qos == 1 {
		s.inFlight--
		s.conn.enqueue(mqtt.AppendAck(nil, s.version, mqtt.PUBACK, fl.id, mqtt.Success, ""))
	} else {
		s.conn.enqueue(mqtt.AppendAck(nil, s.version, mqtt.PUBREC, fl.id, mqtt.Success, ""))
	}
}

// reject rejects a flow by the reason code of its PUBACK or PUBREC. MQTT 3.1.1 has no such
// code: there the connection is closed without acknowledgement, and the client
// retransmits.
func (s *session) reject(fl *flow, err error) {
	code, reason := byte(mqtt.ImplementationError), err.Error()
	switch err {
	case core.ErrBusy, ledger.ErrFull, front.ErrPending:
		code = mqtt.QuotaExceeded
	case front.ErrUnknownRoute:
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

// rememberFlow keeps a QoS 1 flow for a client that retransmits it after its connection
// broke. A client has at most Receive Maximum of them open, and acknowledgements arrive in
// order, so that older ones cannot be retransmitted.
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
