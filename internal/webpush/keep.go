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
type keptBox struct {
	Owner string `cbor:"1,keyasint"`
	Base  uint64 `cbor:"2,keyasint"`
}

// perRun is how far apart the bases of two runs are.
const perRun = 1 << 32

// way back to a push, as a message's record has it.
type way struct {
	ID    string        `cbor:"1,keyasint"`
	Owner string        `cbor:"2,keyasint"`
	Box   string        `cbor:"3,keyasint"` // empty for none
	Topic string        `cbor:"4,keyasint"`
	Life  time.Duration `cbor:"5,keyasint"`
}

func (p *push) way() []byte {
	w := way{ID: p.id, Owner: p.owner, Topic: p.topic, Life: p.life}
	if p.box != nil {
		w.Box = p.box.id
	}
	b, _ := cbor.Marshal(w) // plain fields: cannot fail
	return b
}

// keep records a receipt subscription; under mu.
func (f *Front) keep(b *box) {
	if k := f.opt.Keeper; k != nil {
		v, _ := cbor.Marshal(keptBox{b.owner, b.base})
		k.Session(Name, b.id, v)
	}
}

// Restore takes in receipt subscriptions of an earlier run, before Start.
func (f *Front) Restore(boxes map[string][]byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, value := range boxes {
		var k keptBox
		if err := cbor.Unmarshal(value, &k); err != nil || len(f.boxes) >= f.opt.Boxes {
			f.opt.Observer.Logf("webpush: receipt subscription %q of an earlier run is not restored: %v", id, err)
			if f.opt.Keeper != nil {
				f.opt.Keeper.Session(Name, id, nil)
			}
			continue
		}
		b := &box{id: id, owner: k.Owner, used: time.Now(), base: k.Base + perRun, next: k.Base + perRun}
		f.boxes[id] = b
		f.keep(b)
	}
}

// Owe takes in a message of an earlier run, or its answer, before Start, and
// returns where the answer goes if it is still to come.
func (f *Front) Owe(o front.Owed) core.Reply {
	var w way
	if err := cbor.Unmarshal(o.Way, &w); err != nil {
		f.opt.Observer.Logf("webpush: way of %q: %v", o.Identity, err)
		return front.Nobody{}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	p := &push{id: w.ID, identity: o.Identity, owner: w.Owner, box: f.boxes[w.Box], topic: w.Topic, life: w.Life, taken: true,
		answer: o.Answer}
	if len(f.pushes) >= f.opt.Messages {
		f.forget() // one that ended; what is owed is held past the bound
	}
	f.pushes[p.id], f.byIdentity[p.identity] = p, p
	if p.box != nil && !o.Handed {
		f.unread[p.identity] = p
	}
	if o.Answer.Verdict != 0 {
		p.ended = time.Now()
		f.ended.PushBack(p)
		if p.box != nil && !o.Handed {
			p.box.receipt(p)
		}
		return front.Nobody{}
	}
	if p.topic != "" {
		f.topics[p.topic] = p
	}
	if p.box != nil {
		p.box.owed++
	}
	return front.Reply[*push]{Box: f.out, To: p}
}
