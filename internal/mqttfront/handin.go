package mqttfront

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"time"

	"basaltcross.example/basaltcross/internal/core"
	"basaltcross.example/basaltcross/internal/front"
	"basaltcross.example/basaltcross/internal/mqtt"
)

// publish hands in the message of a PUBLISH, unless it is a retransmission of one that
// was handed in.
func (s *session) publish(c *conn, p *mqtt.Publish) *mqtt.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != c {
		return nil // another connection took the session over
	}
	fl := &flow{id: p.ID, qos: p.QoS, epoch: s.epoch}
	switch p.QoS {
	case 1:
		if old := s.qos1Flows[p.ID]; s.isRetransmission(p, old) {
			fl = old
			if old.epoch == s.epoch && !old.accepted {
				return nil // acknowledged when the core accepts it
			}
		}
	case 2:
		if old := s.restoredQoS2[p.ID]; s.isRetransmission(p, old) { // QoS 2 flow of an earlier run
			old.epoch = s.epoch
			s.qos2Flows, s.inFlight = orNewMap(s.qos2Flows), s.inFlight+1
			s.qos2Flows[p.ID] = old
		}
		delete(s.restoredQoS2, p.ID)
		if old := s.qos2Flows[p.ID]; old != nil {
			if old.epoch = s.epoch; old.accepted {
				c.enqueue(mqtt.AppendAck(nil, s.version, mqtt.PUBREC, p.ID, mqtt.Success, ""))
			}
			return nil
		}
	}
	if p.QoS > 0 {
		fl.epoch = s.epoch
		if s.inFlight++; s.inFlight > s.front.opt.ReceiveMaximum {
			return &mqtt.Error{Code: mqtt.ReceiveMaxExceeded, Text: "more publishes than the Receive Maximum"}
		}
		if p.QoS == 1 {
			s.rememberFlow(fl)
		} else {
			if s.qos2Flows == nil {
				s.qos2Flows = map[uint16]*flow{}
			}
			s.qos2Flows[p.ID] = fl
		}
	}
	s.handIn(p, fl)
	return nil
}

// orNewMap returns m, or an empty map if m is nil.
func orNewMap(m map[uint16]*flow) map[uint16]*flow {
	if m == nil {
		return map[uint16]*flow{}
	}
	return m
}

// isRetransmission reports whether a PUBLISH is a retransmission of the flow old. It is not
// if its Correlation Data differs: then the packet id was reused, and the first
// transmission of this PUBLISH was lost.
func (s *session) isRetransmission(p *mqtt.Publish, old *flow) bool {
	if old == nil || !p.Dup {
		return false
	}
	return !p.Props.HasCorrelation() || old.identity == s.correlationIdentity(p)
}

// correlationIdentity returns the identity of a PUBLISH with Correlation Data.
func (s *session) correlationIdentity(p *mqtt.Publish) string {
	return front.Identity('c', s.user, s.id, string(p.Props.Correlation))
}

// handIn submits a message to the core under its identity; under mu.
func (s *session) handIn(p *mqtt.Publish, fl *flow) {
	f := s.front
	class, partner, err := f.route(p.Topic)
	if err != nil {
		s.reject(fl, err)
		return
	}
	retransmitted := fl.identity != ""
	persistent := s.expiry > 0 && fl.qos > 0
	if !retransmitted {
		if p.Props.HasCorrelation() {
			fl.identity = s.correlationIdentity(p)
		} else {
			s.serial++
			fl.identity = front.Identity('f', s.user, s.id, fmt.Sprint(f.startedAt), fmt.Sprint(s.serial))
		}
	}
	// A hand-in joins an earlier one that is not answered yet, and a retransmitted flow
	// always belongs to its earlier hand-in. Any other comes after an answer and gets an
	// answer of its own: the same one or, after the wait of a refusal, that of a new try.
	if old := s.newest[fl.identity]; old != nil && (old.answer.Verdict == 0 || retransmitted) {
		if old.accepted {
			s.sendAck(fl)
		} else if !slices.Contains(old.waitingFlows, fl) {
			old.waitingFlows = append(old.waitingFlows, fl)
		}
		return
	}
	if s.unfinished >= f.opt.Pending {
		s.reject(fl, front.ErrPending)
		return
	}
	added := &pending{session: s, identity: fl.identity, topic: p.Props.ResponseTopic, packetID: p.ID}
	if added.topic == "" {
		added.topic = answersTopic(s.id)
	}
	if p.Props.HasCorrelation() {
		added.correlation = bytes.Clone(p.Props.Correlation)
		if added.correlation == nil {
			added.correlation = []byte{}
		}
	}
	if fl.qos > 0 {
		added.waitingFlows = []*flow{fl}
	}
	m := &core.Message{Source: s.id, Class: class, Partner: partner, Key: p.Props.UserValue("key"),
		Left: f.opt.Names.Deadlines[class],
		Body: bytes.Clone(p.Payload), Reply: front.Reply[*pending]{Box: f.outbox, To: added}}
	if p.Props.HasMessageExpiry() {
		m.Left = min(m.Left, time.Duration(p.Props.MessageExpiry)*time.Second)
	}
	if p.Props.HasCorrelation() || persistent {
		m.Identity = fl.identity
	}
	if f.opt.Keeper != nil {
		m.Front, m.ReturnPath = Name, added.returnPath(fl.qos)
	}
	s.addPending(added)
	if err := f.opt.Door.Submit(m); err != nil {
		s.removeRejected(added)
		s.reject(fl, err)
	}
}

// publishWill hands in a will as if its client had published it with QoS 0.
func (f *Front) publishWill(s *session, w *mqtt.Will) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := &mqtt.Publish{Topic: w.Topic, Payload: w.Payload, Props: w.Props}
	s.handIn(p, &flow{epoch: s.epoch})
}

// handlePubrel handles a PUBREL, the third packet of a QoS 2 flow from the client.
func (c *conn) handlePubrel(first byte, body []byte) *mqtt.Error {
	a, err := mqtt.ParseAck(c.version, first, body)
	if err != nil {
		return err
	}
	s := c.session
	s.mu.Lock()
	defer s.mu.Unlock()
	code := byte(mqtt.PacketIDNotFound)
	if fl := s.qos2Flows[a.ID]; fl != nil {
		code = mqtt.Success
		delete(s.qos2Flows, a.ID)
		s.inFlight--
	}
	c.enqueue(mqtt.AppendAck(nil, s.version, mqtt.PUBCOMP, a.ID, code, ""))
	return nil
}

// route returns the indexes of class and partner of a topic send/<class>/<partner>.
func (f *Front) route(topic string) (class, partner int, err error) {
	path, ok := strings.CutPrefix(topic, "send/")
	if !ok {
		return 0, 0, front.ErrUnknownRoute
	}
	return f.opt.Names.Route(path)
}
