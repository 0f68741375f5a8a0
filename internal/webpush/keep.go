package webpush

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"basaltcross.example/basaltcross/internal/core"
	"basaltcross.example/basaltcross/internal/front"
)

// Name of the front in records.
const Name = "webpush"

// keptBox is what outlives the process of a receipt subscription. Receipts of each
// run are numbered from a base of its own, above all earlier ones: an
// acknowledgement of an earlier run's must not let go one of this.
type subscriptionRecord struct {
	Owner string `cbor:"1,keyasint"`
	Base  uint64 `cbor:"2,keyasint"`
}

// perRun is how far apart the bases of two runs are.
const seqPerRun = 1 << 32

// way back to a push, as a message's record has it.
type returnPath struct {
	ID    string        `cbor:"1,keyasint"`
	Owner string        `cbor:"2,keyasint"`
	Box   string        `cbor:"3,keyasint"` // empty for none
	Topic string        `cbor:"4,keyasint"`
	Life  time.Duration `cbor:"5,keyasint"`
}

func (p *push) returnPath() []byte {
	w := returnPath{ID: p.id, Owner: p.owner, Topic: p.topic, Life: p.ttl}
	if p.subscription != nil {
		w.Box = p.subscription.id
	}
	b, _ := cbor.Marshal(w) // plain fields: cannot fail
	return b
}

// keep records a receipt subscription; under mu.
func (f *Front) persist(b *subscription) {
	if k := f.opt.Keeper; k != nil {
		v, _ := cbor.Marshal(subscriptionRecord{b.owner, b.baseSeq})
		k.Session(Name, b.id, v)
	}
}

// Restore takes in receipt subscriptions of an earlier run, before Start.
func (f *Front) Restore(boxes map[string][]byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, value := range boxes {
		var k subscriptionRecord
		if err := cbor.Unmarshal(value, &k); err != nil || len(f.subscriptions) >= f.opt.Boxes {
			f.opt.Observer.Logf("webpush: receipt subscription %q of an earlier run is not restored: %v", id, err)
			if f.opt.Keeper != nil {
				f.opt.Keeper.Session(Name, id, nil)
			}
			continue
		}
		b := &subscription{id: id, owner: k.Owner, used: time.Now(), baseSeq: k.Base + seqPerRun, lastSeq: k.Base + seqPerRun}
		f.subscriptions[id] = b
		f.persist(b)
	}
}

// Owe takes in a message of an earlier run, or its answer, before Start, and
// returns where the answer goes if it is still to come.
func (f *Front) Owe(o front.Owed) core.Reply {
	var w returnPath
	if err := cbor.Unmarshal(o.Way, &w); err != nil {
		f.opt.Observer.Logf("webpush: way of %q: %v", o.Identity, err)
		return front.Nobody{}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	p := &push{id: w.ID, identity: o.Identity, owner: w.Owner, subscription: f.subscriptions[w.Box], topic: w.Topic, ttl: w.Life, accepted: true,
		answer: o.Answer}
	if len(f.pushes) >= f.opt.Messages {
		f.evictOldest() // one that ended; what is owed is held past the bound
	}
	f.pushes[p.id], f.byIdentity[p.identity] = p, p
	if p.subscription != nil && !o.Handed {
		f.unread[p.identity] = p
	}
	if o.Answer.Verdict != 0 {
		p.ended = time.Now()
		f.ended.PushBack(p)
		if p.subscription != nil && !o.Handed {
			p.subscription.addReceipt(p)
		}
		return front.Nobody{}
	}
	if p.topic != "" {
		f.topics[p.topic] = p
	}
	if p.subscription != nil {
		p.subscription.owed++
	}
	return front.Reply[*push]{Box: f.outbox, To: p}
}
