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

// publish hands a message in, or finds the one that it repeats.
func (s *session) publish(c *conn, p *mqtt.Publish) *mqtt.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != c {
		return nil // taken over meanwhile
	}
	fl := &flow{id: p.ID, qos: p.QoS, epoch: s.epoch}
	switch p.QoS {
	case 1:
		if old := s.flows[p.ID]; s.repeats(p, old) {
			fl = old
			if old.epoch == s.epoch && !old.taken {
				return nil // its acknowledgement is on the way
			}
		}
	case 2:
		if old := s.before[p.ID]; s.repeats(p, old) { // of an earlier run
			old.epoch = s.epoch
			s.rel, s.open = orNew(s.rel), s.open+1
			s.rel[p.ID] = old
		}
		delete(s.before, p.ID)
		if old := s.rel[p.ID]; old != nil {
			if old.epoch = s.epoch; old.taken {
				c.later(mqtt.AppendAck(nil, s.version, mqtt.PUBREC, p.ID, mqtt.Success, ""))
			}
			return nil
		}
	}
	if p.QoS > 0 {
		fl.epoch = s.epoch
		if s.open++; s.open > s.front.opt.ReceiveMaximum {
			return &mqtt.Error{Code: mqtt.ReceiveMaxExceeded, Text: "more publishes than the Receive Maximum"}
		}
		if p.QoS == 1 {
			s.remember(fl)
		} else {
			if s.rel == nil {
				s.rel = map[uint16]*flow{}
			}
			s.rel[p.ID] = fl
		}
	}
	s.handIn(p, fl)
	return nil
}

func orNew(m map[uint16]*flow) map[uint16]*flow {
	if m == nil {
		return map[uint16]*flow{}
	}
	return m
}

// repeats tells whether a PUBLISH asks for a flow again. Its packet id may have been used
// by an earlier flow, and the one that it repeats may not have arrived.
func (s *session) repeats(p *mqtt.Publish, old *flow) bool {
	if old == nil || !p.Dup {
		return false
	}
	return !p.Props.HasCorrelation() || old.identity == s.named(p)
}

// named is the identity of a PUBLISH with Correlation Data.
func (s *session) named(p *mqtt.Publish) string {
	return front.Identity('c', s.user, s.id, string(p.Props.Correlation))
}

// handIn submits a message under its identity; under mu.
func (s *session) handIn(p *mqtt.Publish, fl *flow) {
	f := s.front
	class, partner, err := f.route(p.Topic)
	if err != nil {
		s.nack(fl, err)
		return
	}
	known := fl.identity != ""
	kept := s.expiry > 0 && fl.qos > 0
	if !known {
		if p.Props.HasCorrelation() {
			fl.identity = s.named(p)
		} else {
			s.serial++
			fl.identity = front.Identity('f', s.user, s.id, fmt.Sprint(f.born), fmt.Sprint(s.serial))
		}
	}
	// A hand-in joins one that is under way; a flow that is asked for again stands for the
	// hand-in that it was. Any other comes after an answer and is owed one of its own: the
	// same again or, after a refusal's time, that of a new try.
	if old := s.newest[fl.identity]; old != nil && (old.answer.Verdict == 0 || known) {
		if old.taken {
			s.ack(fl)
		} else if !slices.Contains(old.acks, fl) {
			old.acks = append(old.acks, fl)
		}
		return
	}
	if s.owed >= f.opt.Pending {
		s.nack(fl, front.ErrPending)
		return
	}
	opened := &pending{s: s, identity: fl.identity, topic: p.Props.ResponseTopic, packet: p.ID}
	if opened.topic == "" {
		opened.topic = answersTopic(s.id)
	}
	if p.Props.HasCorrelation() {
		opened.corr = bytes.Clone(p.Props.Correlation)
		if opened.corr == nil {
			opened.corr = []byte{}
		}
	}
	if fl.qos > 0 {
		opened.acks = []*flow{fl}
	}
	m := &core.Message{Source: s.id, Class: class, Partner: partner, Key: p.Props.Get("key"), Left: f.opt.Names.Lives[class],
		Body: bytes.Clone(p.Payload), Reply: front.Reply[*pending]{Box: f.out, To: opened}}
	if p.Props.HasMessageExpiry() {
		m.Left = min(m.Left, time.Duration(p.Props.MessageExpiry)*time.Second)
	}
	if p.Props.HasCorrelation() || kept {
		m.Identity = fl.identity
	}
	if f.opt.Keeper != nil {
		m.Front, m.ReturnPath = Name, opened.way(fl.qos)
	}
	s.expect(opened)
	if err := f.opt.Door.Submit(m); err != nil {
		s.turnAway(opened)
		s.nack(fl, err)
	}
}

// publishWill hands a will in as its client would have.
func (f *Front) publishWill(s *session, w *mqtt.Will) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := &mqtt.Publish{Topic: w.Topic, Payload: w.Payload, Props: w.Props}
	s.handIn(p, &flow{epoch: s.epoch})
}

// release handles PUBREL.
func (c *conn) release(first byte, body []byte) *mqtt.Error {
	a, err := mqtt.ParseAck(c.version, first, body)
	if err != nil {
		return err
	}
	s := c.s
	s.mu.Lock()
	defer s.mu.Unlock()
	code := byte(mqtt.PacketIDNotFound)
	if fl := s.rel[a.ID]; fl != nil {
		code = mqtt.Success
		delete(s.rel, a.ID)
		s.open--
	}
	c.later(mqtt.AppendAck(nil, s.version, mqtt.PUBCOMP, a.ID, code, ""))
	return nil
}

// route finds class and partner of a topic send/<class>/<partner>.
func (f *Front) route(topic string) (class, partner int, err error) {
	path, ok := strings.CutPrefix(topic, "send/")
	if !ok {
		return 0, 0, front.ErrNames
	}
	return f.opt.Names.Route(path)
}
