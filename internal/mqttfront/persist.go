package mqttfront

import (
	"maps"
	"time"

	"github.com/fxamacker/cbor/v2"

	"basaltcross.example/basaltcross/internal/core"
	"basaltcross.example/basaltcross/internal/front"
)

// Name identifies this front in stored records.
const Name = "mqtt"

// sessionRecord is the stored form of a session, for a restart.
type sessionRecord struct {
	User      string          `cbor:"1,keyasint"`
	Version   byte            `cbor:"2,keyasint"`
	Expiry    time.Duration   `cbor:"3,keyasint"`
	Subs      map[string]byte `cbor:"4,keyasint"`
	CreatedAt int64           `cbor:"5,keyasint"`
}

// returnPath is stored with a message and tells where its answer goes after a restart.
type returnPath struct {
	Session          string `cbor:"1,keyasint"`
	User             string `cbor:"2,keyasint"`
	Topic            string `cbor:"3,keyasint"`
	Correlation      []byte `cbor:"4,keyasint"` // nil if the PUBLISH had no Correlation Data
	PacketID         uint16 `cbor:"5,keyasint"`
	QoS              byte   `cbor:"6,keyasint"`
	SessionCreatedAt int64  `cbor:"7,keyasint"` // creation time of the session
}

// returnPath returns the encoded returnPath of a hand-in.
func (p *pending) returnPath(qos byte) []byte {
	// Cannot fail for these field types.
	b, _ := cbor.Marshal(returnPath{p.session.id, p.session.user, p.topic, p.correlation, p.packetID, qos,
		p.session.createdAt})
	return b
}

// persist stores the session as it is now, or removes the stored record of a session
// that is removed or ends with its connection; under mu.
func (s *session) persist() {
	k := s.front.opt.Keeper
	if k == nil {
		return
	}
	if s.expiry <= 0 || s.removed {
		k.Session(Name, s.id, nil)
		return
	}
	b, _ := cbor.Marshal(sessionRecord{s.user, s.version, s.expiry, maps.Clone(s.subs), s.createdAt})
	k.Session(Name, s.id, b)
}

// Restore adds the stored sessions of an earlier run, before the front serves. Their
// expiry counts from now.
func (f *Front) Restore(sessions map[string][]byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, value := range sessions {
		var k sessionRecord
		if err := cbor.Unmarshal(value, &k); err != nil || len(f.sessions) >= f.opt.Sessions {
			f.opt.Observer.Logf("mqtt: session %q of an earlier run is not restored: %v", id, err)
			if f.opt.Keeper != nil {
				f.opt.Keeper.Session(Name, id, nil)
			}
			continue
		}
		s := &session{id: id, user: k.User, createdAt: k.CreatedAt, front: f, version: k.Version, expiry: k.Expiry,
			disconnectedAt: time.Now(), subs: k.Subs, newest: map[string]*pending{}}
		if s.subs == nil {
			s.subs = map[string]byte{}
		}
		f.sessions[id] = s
		s.scheduleExpiry()
	}
}

// RestoreMessage adds a message of an earlier run, so that a retransmission of its flow is recognised
// and its answer is sent unless the client has it. It returns the receiver of an answer
// that is still to come.
func (f *Front) RestoreMessage(o front.Owed) core.Reply {
	var w returnPath
	if err := cbor.Unmarshal(o.ReturnPath, &w); err != nil {
		f.opt.Observer.Logf("mqtt: way of %q: %v", o.Identity, err)
		return discardReplies{}
	}
	f.mu.Lock()
	s := f.sessions[w.Session]
	f.mu.Unlock()
	if s == nil || s.user != w.User || s.createdAt != w.SessionCreatedAt {
		return discardReplies{} // the session has ended, so that nobody waits for the answer
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	fl := &flow{id: w.PacketID, qos: w.QoS, identity: o.Identity, accepted: true}
	switch w.QoS { // a client without its acknowledgement retransmits the flow
	case 1:
		s.rememberFlow(fl)
	case 2:
		s.restoredQoS2 = orNewMap(s.restoredQoS2)
		s.restoredQoS2[w.PacketID] = fl
	}
	if o.Handed {
		return discardReplies{}
	}
	p := &pending{session: s, identity: o.Identity, topic: w.Topic,
		correlation: w.Correlation, packetID: w.PacketID, accepted: true}
	s.addPending(p)
	if o.Answer.Verdict != 0 {
		p.answer = o.Answer
		s.queue = append(s.queue, p)
	}
	return front.Reply[*pending]{Box: f.outbox, To: p}
}

// discardReplies is the receiver of answers that nobody waits for.
type discardReplies = front.NoReply
