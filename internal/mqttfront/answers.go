package mqttfront

import (
	"cmp"
	"encoding/json"
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"basaltcross.example/basaltcross/internal/ledger"
	"basaltcross.example/basaltcross/internal/mqtt"
)

// pending is a hand-in of a session whose answer the client has not acknowledged yet. A
// hand-in of the same identity that arrives before the answer joins it.
type pending struct {
	session      *session
	identity     string
	earlier      *pending // previous hand-in of the identity, replaced when this one is accepted; nil from then on
	finished     bool     // answer acknowledged by the client, or replaced by a later one
	topic        string   // of the answer
	correlation  []byte
	packetID     uint16  // of the hand-in's PUBLISH
	accepted     bool    // by the core
	waitingFlows []*flow // to acknowledge when the core accepts the hand-in
	answer       ledger.Answer
	// The PUBLISH of the answer.
	sentID     uint16
	sendOrder  uint64
	qos        byte
	pubrelSent bool // PUBREC received and PUBREL sent
}

// addPending makes p the newest hand-in of its identity.
func (s *session) addPending(p *pending) {
	p.earlier = s.newest[p.identity]
	s.newest[p.identity] = p
	s.unfinished++
}

// removeRejected removes a hand-in that the core did not accept. The previous hand-in of
// its identity becomes the newest again.
func (s *session) removeRejected(p *pending) {
	s.unfinished--
	delete(s.newest, p.identity)
	switch before := p.earlier; {
	case before == nil:
	case before.finished:
		s.recordFinished(p.identity)
	default:
		s.newest[p.identity] = before
	}
}

// dropUnsent drops an answer that is not sent yet, because a later hand-in of its identity
// gets an answer of its own. An answer that was sent stays until it is acknowledged (4.4).
func (s *session) dropUnsent(p *pending) {
	if p == nil || p.finished || p.sentID != 0 {
		return
	}
	s.queue = slices.DeleteFunc(s.queue, func(queued *pending) bool { return queued == p })
	s.unfinished--
	p.finished = true
}

// queueAnswer stores the final answer of p and sends it if the client is connected.
func (s *session) queueAnswer(p *pending, a ledger.Answer) {
	if s.newest[p.identity] != p || p.answer.Verdict != 0 || s.removed {
		return
	}
	p.answer = a
	s.queue = append(s.queue, p)
	s.sendAnswers()
}

// sendAnswers sends queued answers as far as the client's Receive Maximum and its
// subscriptions allow.
func (s *session) sendAnswers() {
	if s.conn == nil || len(s.queue) == 0 {
		return
	}
	kept := s.queue[:0]
	for i, p := range s.queue {
		qos, subscribed := s.subs[p.topic]
		if qos > 0 && len(s.sent) >= s.conn.receiveMax {
			kept = append(kept, s.queue[i:]...)
			break
		}
		if !subscribed {
			kept = append(kept, p)
			continue
		}
		if qos == 0 {
			s.conn.enqueue(s.encode(p, 0, false))
			s.finish(p)
			continue
		}
		for s.nextID++; s.nextID == 0 || s.sent[s.nextID] != nil; s.nextID++ {
		}
		s.sendCount++
		p.sentID, p.qos, p.sendOrder = s.nextID, qos, s.sendCount
		if s.sent == nil {
			s.sent = map[uint16]*pending{}
		}
		s.sent[p.sentID] = p
		s.conn.enqueue(s.encode(p, qos, false))
	}
	clear(s.queue[len(kept):])
	if s.queue = kept; len(kept) == 0 {
		s.queue = nil
	}
}

// AnswerPayload is the JSON payload of an answer.
type AnswerPayload struct {
	Answer       string `json:"answer"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	PacketID     uint16 `json:"packet_id,omitempty"`
}

// encode returns the PUBLISH packet of the answer of p.
func (s *session) encode(p *pending, qos byte, dup bool) []byte {
	n := AnswerPayload{Answer: p.answer.Verdict.String(), PacketID: p.packetID,
		RetryAfterMS: int64(math.Ceil(float64(p.answer.RetryAfter) / float64(time.Millisecond)))}
	payload, _ := json.Marshal(n) // cannot fail for these field types
	out := mqtt.Publish{Topic: p.topic, QoS: qos, ID: p.sentID, Dup: dup, Payload: payload}
	if s.version == mqtt.V5 {
		out.Props = mqtt.Props{PayloadFormat: 1, ContentType: "application/json", Correlation: p.correlation,
			User: []mqtt.UserProperty{{Name: "answer", Value: n.Answer}}}
		if n.RetryAfterMS > 0 {
			out.Props.User = append(out.Props.User,
				mqtt.UserProperty{Name: "retry-after-ms", Value: strconv.FormatInt(n.RetryAfterMS, 10)})
		}
	}
	return mqtt.AppendPublish(nil, s.version, &out)
}

// resendUnacked sends again, in the order of the first sending, what the client did not
// acknowledge on its last connection (4.4), and then queued answers.
func (s *session) resendUnacked() {
	for _, p := range slices.SortedFunc(maps.Values(s.sent),
		func(a, b *pending) int { return cmp.Compare(a.sendOrder, b.sendOrder) }) {
		if p.pubrelSent {
			s.conn.enqueue(mqtt.AppendAck(nil, s.version, mqtt.PUBREL, p.sentID, mqtt.Success, ""))
		} else {
			s.conn.enqueue(s.encode(p, p.qos, true))
		}
	}
	s.sendAnswers()
}

// handleAck handles the client's PUBACK, PUBREC or PUBCOMP of an answer.
func (s *session) handleAck(a mqtt.Ack) {
	p := s.sent[a.ID]
	if p == nil {
		if a.Kind == mqtt.PUBREC {
			s.conn.enqueue(mqtt.AppendAck(nil, s.version, mqtt.PUBREL, a.ID, mqtt.PacketIDNotFound, ""))
		}
		return
	}
	switch {
	case a.Kind == mqtt.PUBREC && p.qos == 2 && a.Code < 0x80:
		p.pubrelSent = true
		s.conn.enqueue(mqtt.AppendAck(nil, s.version, mqtt.PUBREL, a.ID, mqtt.Success, ""))
		return
	case a.Kind == mqtt.PUBACK && p.qos == 1, a.Kind == mqtt.PUBCOMP && p.qos == 2 && p.pubrelSent,
		a.Kind == mqtt.PUBREC && p.qos == 2:
		delete(s.sent, a.ID)
		s.finish(p)
		s.sendAnswers()
		s.disconnectIfDrained()
	}
}

// finish removes a hand-in whose answer the client has; under mu. The stored record of an
// identity belongs to its newest hand-in, so that it is only marked as finished with that.
func (s *session) finish(p *pending) {
	p.finished = true
	s.unfinished--
	if s.newest[p.identity] != p {
		return
	}
	delete(s.newest, p.identity)
	s.recordFinished(p.identity)
}

// recordFinished stores that the client has the answer of an identity; under mu.
func (s *session) recordFinished(identity string) {
	if k := s.front.opt.Keeper; k != nil {
		k.Handed(identity)
	}
}
