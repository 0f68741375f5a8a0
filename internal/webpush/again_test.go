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
type door struct{ taken []*core.Message }

func (d *door) Submit(m *core.Message) error {
	d.taken = append(d.taken, m)
	return nil
}

func (d *door) Withdraw(string) {}

// keeper notes whose answers were recorded as handed over.
type keeper struct{ handed []string }

func (k *keeper) Session(string, string, []byte) {}
func (k *keeper) Handed(identity string)         { k.handed = append(k.handed, identity) }

type deaf struct{}

func (deaf) Push(int, int, int)  {}
func (deaf) NotTaken(string)     {}
func (deaf) Handshake(error)     {}
func (deaf) Logf(string, ...any) {}

// bed is a front without sockets.
type bed struct {
	t    *testing.T
	f    *Front
	door *door
	keep *keeper
}

func newBed(t *testing.T) *bed {
	b := &bed{t: t, door: &door{}, keep: &keeper{}}
	b.f = New(Options{Names: front.Names{Classes: map[string]int{"status": 0}, Partners: map[string]int{"p": 0},
		Lives: []time.Duration{time.Minute}}, Unsafe: []bool{false}, Anyone: true, Body: 4096, Messages: 100, Boxes: 10, Pending: 10,
		Polls: 10, Keep: time.Minute, Poll: time.Second, Door: b.door, Keeper: b.keep, Observer: deaf{}})
	return b
}

// do makes a request and returns what it got at once.
func (b *bed) do(method, path string, fields map[string]string) *response {
	var got *response
	b.f.serve(&request{method: method, path: path, header: func(name string) string { return fields[name] }, body: []byte("x")},
		func(r response) { got = &r })
	return got
}

// post hands in the message that the client calls a. If it reaches the core, that takes it.
func (b *bed) post(receipts string) response {
	b.t.Helper()
	before := len(b.door.taken)
	var got *response
	fields := map[string]string{"TTL": "60", "Idempotency-Key": "a", "Prefer": "respond-async", "Push-Receipt": receipts}
	b.f.serve(&request{method: http.MethodPost, path: "/push/status/p", header: func(name string) string { return fields[name] }},
		func(r response) { got = &r })
	if len(b.door.taken) > before {
		b.say(front.Said[*push]{})
	}
	if got == nil || got.status != http.StatusAccepted {
		b.t.Fatalf("POST: %+v", got)
	}
	return *got
}

// say passes on what the core says of the newest hand-in.
func (b *bed) say(s front.Said[*push]) {
	s.To = b.door.taken[len(b.door.taken)-1].Reply.(front.Reply[*push]).To
	b.f.mu.Lock()
	b.f.said(s)
	b.f.unlock()
}

func (b *bed) answer(v ledger.Verdict, after time.Duration) {
	b.say(front.Said[*push]{Answer: ledger.Answer{Verdict: v, RetryAfter: after}})
}

// receipts fetches those after one, which it acknowledges.
func (b *bed) receipts(path, after string) (answers []string) {
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
func subscription(t *testing.T, r response) string {
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
func TestPostedAgainBeforeItsReceiptIsAcknowledged(t *testing.T) {
	b := newBed(t)
	first := b.post("")
	path := subscription(t, first)
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
	b := newBed(t)
	one := subscription(t, b.post(""))
	b.answer(ledger.Refused, 0)
	b.f.forget()
	two := subscription(t, b.post(""))
	b.answer(ledger.Delivered, 0)
	b.f.forget()
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
func TestPostedAgainBeforeItsTime(t *testing.T) {
	b := newBed(t)
	first := b.post("")
	b.answer(ledger.Refused, time.Minute)
	if again := b.post(""); len(b.door.taken) != 1 || again.field("Location") != first.field("Location") {
		t.Errorf("the core heard of %d hand-ins, want 1; %+v", len(b.door.taken), again)
	}
}
