package webpush

import (
	"crypto/rand"
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"basaltcross.example/basaltcross/internal/ledger"
)

// box is a receipt subscription (RFC 8030, 4 and 5.1).
type box struct {
	id      string
	owner   string
	used    time.Time
	owed    int    // receipts to come
	next    uint64 // sequence number of the last receipt
	base    uint64 // where this run began to count
	ready   []receipt
	waiting map[*waiter]bool
}

// receipt tells what became of a message.
type receipt struct {
	Seq     uint64 `json:"seq"`
	Message string `json:"message"`
	// Status is 204 for a message that was delivered, 410 for one that was not.
	Status       int    `json:"status"`
	Answer       string `json:"answer"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	push         *push
}

func receiptOf(p *push) receipt {
	r := receipt{push: p, Message: "/message/" + p.id, Status: http.StatusGone, Answer: p.answer.Verdict.String(),
		RetryAfterMS: int64(math.Ceil(float64(p.answer.RetryAfter) / float64(time.Millisecond)))}
	if p.answer.Verdict == ledger.Delivered {
		r.Status = http.StatusNoContent
	}
	return r
}

// boxFor finds the receipt subscription that a POST names, or makes one.
func (f *Front) boxFor(link, owner string, now time.Time) (*box, error) {
	if link != "" {
		id := link[strings.LastIndexByte(link, '/')+1:]
		b := f.boxes[id]
		if b == nil || b.owner != owner {
			return nil, errors.New("no such receipt subscription of yours")
		}
		b.used = now
		return b, nil
	}
	if len(f.boxes) >= f.opt.Boxes {
		return nil, errors.New("as many receipt subscriptions as are kept; use one for many messages")
	}
	b := &box{id: rand.Text(), owner: owner, used: now}
	f.boxes[b.id] = b
	f.keep(b)
	return b, nil
}

// receipt is ready to be fetched.
func (b *box) receipt(p *push) {
	b.next++
	r := receiptOf(p)
	r.Seq = b.next
	b.ready = append(b.ready, r)
}

// read says that nobody will read the receipt of a push any more, or that it was read.
func (f *Front) read(p *push) {
	if f.unread[p.identity] == p {
		delete(f.unread, p.identity)
	}
}

// acknowledged lets a receipt go. The record of its identity is that of the newest push,
// whose receipt may still be to be read; under mu.
func (f *Front) acknowledged(p *push) {
	newest := f.unread[p.identity]
	f.read(p)
	if k := f.opt.Keeper; k != nil && (newest == nil || newest == p) {
		k.Handed(p.identity)
	}
}

// mostReceipts in one answer.
const mostReceipts = 1000

// getReceipts hands out the receipts of a subscription. Those up to ?after=SEQ
// are acknowledged by it and let go; without receipts it waits as asked.
func (f *Front) getReceipts(q *request, who Sender, id string, respond func(response)) {
	f.mu.Lock()
	defer f.unlock()
	respond = f.afterwards(respond)
	id, query, _ := strings.Cut(id, "?")
	b := f.boxes[id]
	if b == nil || b.owner != who.Key {
		respond(say(http.StatusNotFound, "no such receipt subscription of yours"))
		return
	}
	if v, ok := strings.CutPrefix(query, "after="); ok {
		seq, err := strconv.ParseUint(v, 10, 64)
		if err != nil {
			respond(say(http.StatusBadRequest, "after: %.40q is no number", v))
			return
		}
		for len(b.ready) > 0 && b.ready[0].Seq <= seq {
			f.acknowledged(b.ready[0].push)
			b.ready = b.ready[1:]
		}
	}
	b.used = time.Now()
	answer := func() {
		b.used = time.Now()
		n := min(len(b.ready), mostReceipts)
		respond(asJSON(http.StatusOK, struct {
			Receipts []receipt `json:"receipts"`
			Owed     int       `json:"owed"`
		}{append([]receipt{}, b.ready[:n]...), b.owed}))
	}
	if wait := f.patience(q); wait > 0 && len(b.ready) == 0 {
		f.hold(&b.waiting, wait, answer)
		return
	}
	answer()
}
