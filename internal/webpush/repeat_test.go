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

// fakeCore keeps the hand-ins that it receives; the test replies to them.
type fakeCore struct{ received []*core.Message }

func (d *fakeCore) Submit(m *core.Message) error {
	d.received = append(d.received, m)
	return nil
}

func (d *fakeCore) Withdraw(string) {}

// keeper keeps the identities whose answers were recorded as acknowledged.
type keeper struct{ handed []string }

func (k *keeper) Session(string, string, []byte) {}
func (k *keeper) Handed(identity string)         { k.handed = append(k.handed, identity) }

// nopObserver ignores all reports.
type nopObserver struct{}

func (nopObserver) Push(int, int, int)  {}
func (nopObserver) NotTaken(string)     {}
func (nopObserver) Handshake(error)     {}
func (nopObserver) Logf(string, ...any) {}

// fixture is a front without sockets, with a fake core and keeper.
type fixture struct {
	t          *testing.T
	f          *Front
	backend    *fakeCore
	handedOver *keeper
}

// newFixture returns a front with small limits that accepts requests without a token.
func newFixture(t *testing.T) *fixture {
	b := &fixture{t: t, backend: &fakeCore{}, handedOver: &keeper{}}
	b.f = New(Options{Names: front.Names{Classes: map[string]int{"status": 0}, Partners: map[string]int{"p": 0},
		Deadlines: []time.Duration{time.Minute}},
		RequireIdempotencyKey: []bool{false}, AllowAnonymous: true, Body: 4096, Messages: 100,
		Subscriptions: 10, Pending: 10, Polls: 10, Retention: time.Minute, MaxPollWait: time.Second,
		Door: b.backend, Keeper: b.handedOver, Observer: nopObserver{}})
	return b
}

// do makes a request and returns its response, or nil if there is none at once.
func (b *fixture) do(method, path string, fields map[string]string) *response {
	var got *response
	b.f.serve(&request{method: method, path: path, header: func(name string) string { return fields[name] },
		body: []byte("x")},
		func(r response) { got = &r })
	return got
}

// post POSTs a message with Idempotency-Key a and the given Push-Receipt. The core accepts
// it if it receives it.
func (b *fixture) post(receipts string) response {
	b.t.Helper()
	before := len(b.backend.received)
	var got *response
	fields := map[string]string{"TTL": "60", "Idempotency-Key": "a", "Prefer": "respond-async",
		"Push-Receipt": receipts}
	b.f.serve(&request{method: http.MethodPost, path: "/push/status/p",
		header: func(name string) string { return fields[name] }},
		func(r response) { got = &r })
	if len(b.backend.received) > before {
		b.reply(front.Report[*push]{})
	}
	if got == nil || got.status != http.StatusAccepted {
		b.t.Fatalf("POST: response %+v, want 202", got)
	}
	return *got
}

// reply passes a reply of the core about the newest hand-in to the front.
func (b *fixture) reply(s front.Report[*push]) {
	s.To = b.backend.received[len(b.backend.received)-1].Reply.(front.Reply[*push]).To
	b.f.mu.Lock()
	b.f.handleReply(s)
	b.f.unlock()
}

// answer gives the final answer of the newest hand-in.
func (b *fixture) answer(v ledger.Verdict, after time.Duration) {
	b.reply(front.Report[*push]{Answer: ledger.Answer{Verdict: v, RetryAfter: after}})
}

// receipts fetches the receipts of a subscription and returns their answers. The query
// after, empty or ?after=SEQ, acknowledges those up to SEQ.
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

// field returns the value of a header field, or "".
func (r response) field(name string) string {
	for _, h := range r.header {
		if h[0] == name {
			return h[1]
		}
	}
	return ""
}

// subscriptionPath returns the path of the receipt subscription in a response's Link field.
func subscriptionPath(t *testing.T, r response) string {
	t.Helper()
	link := r.field("Link")
	if len(link) < 2 || !slices.Contains([]byte(link), '>') {
		t.Fatalf("Link %q", link)
	}
	return link[1:slices.Index([]byte(link), '>')]
}

// A refused message that is POSTed again after the wait of its refusal must be tried again
// and get a receipt of its own, whether or not the first receipt was acknowledged. The
// identity may be recorded as finished only when the second receipt is acknowledged;
// otherwise a restart would lose that receipt.
func TestRetryBeforeReceiptIsAcknowledged(t *testing.T) {
	b := newFixture(t)
	first := b.post("")
	path := subscriptionPath(t, first)
	b.answer(ledger.Refused, 0)
	if got := b.receipts(path, ""); !slices.Equal(got, []string{"refused"}) {
		t.Fatalf("receipts %v, want refused", got)
	}
	second := b.post(path)
	if len(b.backend.received) != 2 || second.field("Location") == first.field("Location") {
		t.Fatalf("the core received %d hand-ins, want 2; second response %+v", len(b.backend.received), second)
	}
	b.answer(ledger.Delivered, 0)
	if got := b.receipts(path, "?after=1"); !slices.Equal(got, []string{"delivered"}) {
		t.Fatalf("receipts after the first %v, want delivered", got)
	}
	if len(b.handedOver.handed) != 0 {
		t.Fatal("the identity is recorded as finished before its second receipt is acknowledged")
	}
	b.receipts(path, "?after=2")
	if len(b.handedOver.handed) != 1 {
		t.Errorf("identities recorded as finished %q, want 1", b.handedOver.handed)
	}
}

// The identity must also not be recorded as finished too early when the two receipts belong
// to different subscriptions and the pushes were evicted.
func TestReceiptsOfOneIdentityInTwoSubscriptions(t *testing.T) {
	b := newFixture(t)
	one := subscriptionPath(t, b.post(""))
	b.answer(ledger.Refused, 0)
	b.f.evictOldest()
	two := subscriptionPath(t, b.post(""))
	b.answer(ledger.Delivered, 0)
	b.f.evictOldest()
	b.receipts(one, "?after=1")
	if len(b.handedOver.handed) != 0 {
		t.Fatal("the identity is recorded as finished before its second receipt is acknowledged")
	}
	b.receipts(two, "?after=1")
	if len(b.handedOver.handed) != 1 {
		t.Errorf("identities recorded as finished %q, want 1", b.handedOver.handed)
	}
}

// A refused message that is POSTed again before the wait of its refusal is over must not be
// tried again: the response names the first push.
func TestRetryBeforeRetryAfterReturnsTheSameReceipt(t *testing.T) {
	b := newFixture(t)
	first := b.post("")
	b.answer(ledger.Refused, time.Minute)
	if again := b.post(""); len(b.backend.received) != 1 || again.field("Location") != first.field("Location") {
		t.Errorf("the core received %d hand-ins, want 1; second response %+v", len(b.backend.received), again)
	}
}
