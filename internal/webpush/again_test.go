package webpush

import (
	"encoding/json"
	"net/http"
	"slices"
	"testing"
	"time"

	"basaltcross.example/basaltcross/internal/core"
	"basaltcross.example/basaltcross/internal/front"
	"basaltcross.example/basaltcross/internal/ledger"
)

// door takes everything and answers when told to.
type fakeCore struct{ taken []*core.Message }

func (d *fakeCore) Submit(m *core.Message) error {
	d.taken = append(d.taken, m)
	return nil
}

func (d *fakeCore) Withdraw(string) {}

// keeper notes whose answers were recorded as handed over.
type keeper struct{ handed []string }

func (k *keeper) Session(string, string, []byte) {}
func (k *keeper) Handed(identity string)         { k.handed = append(k.handed, identity) }

type nopObserver struct{}

func (nopObserver) Push(int, int, int)  {}
func (nopObserver) NotTaken(string)     {}
func (nopObserver) Handshake(error)     {}
func (nopObserver) Logf(string, ...any) {}

// bed is a front without sockets.
type fixture struct {
	t    *testing.T
	f    *Front
	door *fakeCore
	keep *keeper
}

func newFixture(t *testing.T) *fixture {
	b := &fixture{t: t, door: &fakeCore{}, keep: &keeper{}}
	b.f = New(Options{Names: front.Names{Classes: map[string]int{"status": 0}, Partners: map[string]int{"p": 0},
		Lives: []time.Duration{time.Minute}}, Unsafe: []bool{false}, Anyone: true, Body: 4096, Messages: 100, Boxes: 10, Pending: 10,
		Polls: 10, Keep: time.Minute, Poll: time.Second, Door: b.door, Keeper: b.keep, Observer: nopObserver{}})
	return b
}

// do makes a request and returns what it got at once.
func (b *fixture) do(method, path string, fields map[string]string) *response {
	var got *response
	b.f.serve(&request{method: method, path: path, header: func(name string) string { return fields[name] }, body: []byte("x")},
		func(r response) { got = &r })
	return got
}

// post hands in the message that the client calls a. If it reaches the core, that takes it.
func (b *fixture) post(receipts string) response {
	b.t.Helper()
	before := len(b.door.taken)
	var got *response
	fields := map[string]string{"TTL": "60", "Idempotency-Key": "a", "Prefer": "respond-async", "Push-Receipt": receipts}
	b.f.serve(&request{method: http.MethodPost, path: "/push/status/p", header: func(name string) string { return fields[name] }},
		func(r response) { got = &r })
	if len(b.door.taken) > before {
		b.reply(front.Said[*push]{})
	}
	if got == nil || got.status != http.StatusAccepted {
		b.t.Fatalf("POST: %+v", got)
	}
	return *got
}

// say passes on what the core says of the newest hand-in.
func (b *fixture) reply(s front.Said[*push]) {
	s.To = b.door.taken[len(b.door.taken)-1].Reply.(front.Reply[*push]).To
	b.f.mu.Lock()
	b.f.handleReply(s)
	b.f.unlock()
}

func (b *fixture) answer(v ledger.Verdict, after time.Duration) {
	b.reply(front.Said[*push]{Answer: ledger.Answer{Verdict: v, After: after}})
}

// receipts fetches those after one, which it acknowledges.
func (b *fixture) receipts(path, after string) (answers []string) {
	b.t.Helper()
	var got struct{ Receipts []receipt }
	if err := json.Unmarshal(b.do(http.MethodGet, path+after, nil).body, &got); err != nil {
		b.t.Fatal(err)
	}
	for _, r := range got.Receipts {
		answers = append(answers, r.Answer)
	}
	return answers
}

func (r response) field(name string) string {
	for _, h := range r.header {
		if h[0] == name {
			return h[1]
		}
	}
	return ""
}

// subscription is the path of the receipt subscription that a response names.
func subscriptionPath(t *testing.T, r response) string {
	t.Helper()
	link := r.field("Link")
	if len(link) < 2 || !slices.Contains([]byte(link), '>') {
		t.Fatalf("Link %q", link)
	}
	return link[1:slices.Index([]byte(link), '>')]
}

// A refused message that is posted again after its time is tried anew, whether or not its
// receipt was acknowledged, and has a receipt of its own. Until that is acknowledged the
// identity does not count as handed over: a restart would forget the receipt.
func TestRetryBeforeReceiptIsAcknowledged(t *testing.T) {
	b := newFixture(t)
	first := b.post("")
	path := subscriptionPath(t, first)
	b.answer(ledger.Refused, 0)
	if got := b.receipts(path, ""); !slices.Equal(got, []string{"refused"}) {
		t.Fatalf("receipts %v", got)
	}
	second := b.post(path)
	if len(b.door.taken) != 2 || second.field("Location") == first.field("Location") {
		t.Fatalf("the core heard of %d hand-ins, want 2; %+v", len(b.door.taken), second)
	}
	b.answer(ledger.Delivered, 0)
	if got := b.receipts(path, "?after=1"); !slices.Equal(got, []string{"delivered"}) {
		t.Fatalf("receipts after the first %v", got)
	}
	if len(b.keep.handed) != 0 {
		t.Fatal("the identity counts as handed over while its second receipt is not acknowledged")
	}
	b.receipts(path, "?after=2")
	if len(b.keep.handed) != 1 {
		t.Errorf("handed over: %q", b.keep.handed)
	}
}

// The same holds for receipts of two subscriptions, acknowledged in either order, and for a
// first push that is not kept any more.
func TestReceiptsOfOneIdentityInTwoSubscriptions(t *testing.T) {
	b := newFixture(t)
	one := subscriptionPath(t, b.post(""))
	b.answer(ledger.Refused, 0)
	b.f.evictOldest()
	two := subscriptionPath(t, b.post(""))
	b.answer(ledger.Delivered, 0)
	b.f.evictOldest()
	b.receipts(one, "?after=1")
	if len(b.keep.handed) != 0 {
		t.Fatal("the identity counts as handed over while its second receipt is not acknowledged")
	}
	b.receipts(two, "?after=1")
	if len(b.keep.handed) != 1 {
		t.Errorf("handed over: %q", b.keep.handed)
	}
}

// Before its time a refused message that is posted again has the receipt that it had.
func TestRetryBeforeRetryAfterReturnsTheSameReceipt(t *testing.T) {
	b := newFixture(t)
	first := b.post("")
	b.answer(ledger.Refused, time.Minute)
	if again := b.post(""); len(b.door.taken) != 1 || again.field("Location") != first.field("Location") {
		t.Errorf("the core heard of %d hand-ins, want 1; %+v", len(b.door.taken), again)
	}
}
