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

// subscription is a receipt subscription (4 and 5.1).
type subscription struct {
	id          string
	owner       string
	lastUsed    time.Time
	outstanding int    // messages whose receipt is still to come
	lastSeq     uint64 // sequence number of the last receipt
	baseSeq     uint64 // sequence number before the first receipt of this run
	receipts    []receipt
	longPolls   map[*longPoll]bool
}

// receipt is the JSON form of a push receipt: the outcome of a message.
type receipt struct {
	Seq     uint64 `json:"seq"`
	Message string `json:"message"`
	// Status is 204 for a message that was delivered, 410 for one that was not, and 202
	// for one that has not ended.
	Status       int    `json:"status"`
	Answer       string `json:"answer"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	push         *push
}

// receiptOf returns the receipt of a message that has ended, without sequence number.
func receiptOf(p *push) receipt {
	r := receipt{push: p, Message: "/message/" + p.id, Status: http.StatusGone, Answer: p.answer.Verdict.String(),
		RetryAfterMS: int64(math.Ceil(float64(p.answer.RetryAfter) / float64(time.Millisecond)))}
	if p.answer.Verdict == ledger.Delivered {
		r.Status = http.StatusNoContent
	}
	return r
}

// subscriptionFor returns the receipt subscription that the Push-Receipt field of a POST
// names, or a new one if the field is empty; under mu.
func (f *Front) subscriptionFor(link, owner string, now time.Time) (*subscription, error) {
	if link != "" {
		id := link[strings.LastIndexByte(link, '/')+1:]
		b := f.subscriptions[id]
		if b == nil || b.owner != owner {
			return nil, errors.New("no such receipt subscription of yours")
		}
		b.lastUsed = now
		return b, nil
	}
	if len(f.subscriptions) >= f.opt.Subscriptions {
		return nil, errors.New("as many receipt subscriptions as are kept; use one for many messages")
	}
	b := &subscription{id: rand.Text(), owner: owner, lastUsed: now}
	f.subscriptions[b.id] = b
	f.persist(b)
	return b, nil
}

// addReceipt appends the receipt of p to those that can be fetched.
func (b *subscription) addReceipt(p *push) {
	b.lastSeq++
	r := receiptOf(p)
	r.Seq = b.lastSeq
	b.receipts = append(b.receipts, r)
}

// forgetUnread removes a push from the unread ones: its receipt was acknowledged, or nobody
// can fetch it any more.
func (f *Front) forgetUnread(p *push) {
	if f.unread[p.identity] == p {
		delete(f.unread, p.identity)
	}
}

// acknowledge handles the acknowledgement of a receipt; under mu. The stored record of an
// identity belongs to its newest push, so that it is only marked as finished with that.
func (f *Front) acknowledge(p *push) {
	newest := f.unread[p.identity]
	f.forgetUnread(p)
	if k := f.opt.Keeper; k != nil && (newest == nil || newest == p) {
		k.Handed(p.identity)
	}
}

// maxReceipts is the largest number of receipts in one response.
const maxReceipts = 1000

// getReceipts returns the receipts of a subscription. The query after=SEQ acknowledges and
// removes those up to SEQ first. While there are no receipts it waits as long as the
// request asks.
func (f *Front) getReceipts(q *request, sender Sender, id string, respond func(response)) {
	f.mu.Lock()
	defer f.unlock()
	respond = f.afterUnlock(respond)
	id, query, _ := strings.Cut(id, "?")
	b := f.subscriptions[id]
	if b == nil || b.owner != sender.Key {
		respond(textResponse(http.StatusNotFound, "no such receipt subscription of yours"))
		return
	}
	if v, ok := strings.CutPrefix(query, "after="); ok {
		seq, err := strconv.ParseUint(v, 10, 64)
		if err != nil {
			respond(textResponse(http.StatusBadRequest, "after: %.40q is no number", v))
			return
		}
		for len(b.receipts) > 0 && b.receipts[0].Seq <= seq {
			f.acknowledge(b.receipts[0].push)
			b.receipts = b.receipts[1:]
		}
	}
	b.lastUsed = time.Now()
	answer := func() {
		b.lastUsed = time.Now()
		n := min(len(b.receipts), maxReceipts)
		respond(jsonResponse(http.StatusOK, struct {
			Receipts []receipt `json:"receipts"`
			Owed     int       `json:"owed"`
		}{append([]receipt{}, b.receipts[:n]...), b.outstanding}))
	}
	if wait := f.pollWait(q); wait > 0 && len(b.receipts) == 0 {
		f.startPoll(&b.longPolls, wait, answer)
		return
	}
	answer()
}
