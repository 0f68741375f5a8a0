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

// expect counts a hand-in as the newest of its identity.
func (s *session) expect(p *pending) {
	p.earlier = s.newest[p.identity]
	s.newest[p.identity] = p
	s.owed++
}

// turnAway forgets a hand-in that was not taken. The one before it is the newest again.
func (s *session) turnAway(p *pending) {
	s.owed--
	delete(s.newest, p.identity)
	switch before := p.earlier; {
	case before == nil:
	case before.handed:
		s.settled(p.identity)
	default:
		s.newest[p.identity] = before
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

// answered takes in a final answer and sends it if the client is there.
func (s *session) answered(p *pending, a ledger.Answer) {
	if s.newest[p.identity] != p || p.answer.Verdict != 0 || s.dead {
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
		RetryAfterMS: int64(math.Ceil(float64(p.answer.RetryAfter) / float64(time.Millisecond)))}
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

// handed frees a hand-in whose answer the client has; under mu. The record of its identity
// is that of the newest hand-in, whose answer may still be owed.
func (s *session) handed(p *pending) {
	p.handed = true
	s.owed--
	if s.newest[p.identity] != p {
		return
	}
	delete(s.newest, p.identity)
	s.settled(p.identity)
}

// settled records that nothing is owed for an identity; under mu.
func (s *session) settled(identity string) {
	if k := s.front.opt.Keeper; k != nil {
		k.Handed(identity)
	}
}
