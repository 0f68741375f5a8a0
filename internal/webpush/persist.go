package webpush

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"basaltcross.example/basaltcross/internal/core"
	"basaltcross.example/basaltcross/internal/front"
)

// Name identifies this front in stored records.
const Name = "webpush"

// subscriptionRecord is the stored form of a receipt subscription, for a restart. Each
// run numbers its receipts from a base above all earlier ones, so that an
// acknowledgement of a receipt of an earlier run does not remove one of this run.
type subscriptionRecord struct {
	Owner   string `cbor:"1,keyasint"`
	BaseSeq uint64 `cbor:"2,keyasint"`
}

// seqPerRun is the difference between the bases of two successive runs.
const seqPerRun = 1 << 32

// returnPath is stored with a message and holds what is needed to restore its push.
type returnPath struct {
	ID           string        `cbor:"1,keyasint"`
	Owner        string        `cbor:"2,keyasint"`
	Subscription string        `cbor:"3,keyasint"` // id of the receipt subscription, empty for none
	Topic        string        `cbor:"4,keyasint"`
	TTL          time.Duration `cbor:"5,keyasint"`
}

// returnPath returns the encoded returnPath of p.
func (p *push) returnPath() []byte {
	w := returnPath{ID: p.id, Owner: p.owner, Topic: p.topic, TTL: p.grantedTTL}
	if p.subscription != nil {
		w.Subscription = p.subscription.id
	}
	b, _ := cbor.Marshal(w) // cannot fail for these field types
	return b
}

// persist stores a receipt subscription; under mu.
func (f *Front) persist(b *subscription) {
	if k := f.opt.Keeper; k != nil {
		v, _ := cbor.Marshal(subscriptionRecord{b.owner, b.baseSeq})
		k.Session(Name, b.id, v)
	}
}

// Restore adds the stored receipt subscriptions of an earlier run, before Start.
func (f *Front) Restore(boxes map[string][]byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, value := range boxes {
		var k subscriptionRecord
		if err := cbor.Unmarshal(value, &k); err != nil || len(f.subscriptions) >= f.opt.Subscriptions {
			f.opt.Observer.Logf("webpush: receipt subscription %q of an earlier run is not restored: %v", id, err)
			if f.opt.Keeper != nil {
				f.opt.Keeper.Session(Name, id, nil)
			}
			continue
		}
		b := &subscription{id: id, owner: k.Owner, lastUsed: time.Now(),
			baseSeq: k.BaseSeq + seqPerRun, lastSeq: k.BaseSeq + seqPerRun}
		f.subscriptions[id] = b
		f.persist(b)
	}
}

// RestoreMessage adds a message of an earlier run, with its answer if it has one, before Start. It
// returns the receiver of an answer that is still to come.
func (f *Front) RestoreMessage(o front.Owed) core.Reply {
	var w returnPath
	if err := cbor.Unmarshal(o.ReturnPath, &w); err != nil {
		f.opt.Observer.Logf("webpush: way of %q: %v", o.Identity, err)
		return front.NoReply{}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	p := &push{id: w.ID, identity: o.Identity, owner: w.Owner,
		subscription: f.subscriptions[w.Subscription], topic: w.Topic, grantedTTL: w.TTL, accepted: true,
		answer: o.Answer}
	if len(f.pushes) >= f.opt.Messages {
		f.evictOldest() // makes room if a message has ended; one that has not is kept over the limit
	}
	f.pushes[p.id], f.byIdentity[p.identity] = p, p
	if p.subscription != nil && !o.Handed {
		f.unread[p.identity] = p
	}
	if o.Answer.Verdict != 0 {
		p.endedAt = time.Now()
		f.ended.PushBack(p)
		if p.subscription != nil && !o.Handed {
			p.subscription.addReceipt(p)
		}
		return front.NoReply{}
	}
	if p.topic != "" {
		f.topics[p.topic] = p
	}
	if p.subscription != nil {
		p.subscription.outstanding++
	}
	return front.Reply[*push]{Box: f.outbox, To: p}
}
