package webpush

import (
	"bytes"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"basaltcross.example/basaltcross/internal/core"
	"basaltcross.example/basaltcross/internal/front"
	"basaltcross.example/basaltcross/internal/http1"
	"basaltcross.example/basaltcross/internal/ledger"
)

// request is an HTTP request, of HTTP/1.1 or HTTP/2.
type request struct {
	method, path string
	header       func(name string) string
	body         []byte
}

// response is the response to a request.
type response struct {
	status int
	header [][2]string
	body   []byte
}

// with returns r with one more header field.
func (r response) with(name, value string) response {
	r.header = append(r.header, [2]string{name, value})
	return r
}

// textResponse returns a response with one line of plain text.
func textResponse(status int, format string, args ...any) response {
	return response{status: status, header: [][2]string{{"Content-Type", "text/plain; charset=utf-8"}},
		body: fmt.Appendf(nil, format+"\n", args...)}
}

// jsonResponse returns a response with v as JSON.
func jsonResponse(status int, v any) response {
	b, err := json.Marshal(v)
	if err != nil {
		return textResponse(http.StatusInternalServerError, "%v", err)
	}
	return response{status: status, header: [][2]string{{"Content-Type", "application/json"}}, body: append(b, '\n')}
}

// push is a message handed in by POST. It is kept until Options.Retention after it ended, or
// until its place is needed for another.
type push struct {
	id           string // random id of its resource, which cannot be guessed
	identity     string
	owner        string        // VAPID key of the sender
	subscription *subscription // receipt subscription that gets its receipt, nil for none
	topic        string
	grantedTTL   time.Duration // time to live, as limited by the message's class
	accepted     bool
	answer       ledger.Answer
	endedAt      time.Time
	waitingPosts []func(error)      // respond to POSTs that wait until the core accepts or rejects it
	longPolls    map[*longPoll]bool // long polls that wait for its end
}

// longPoll is a GET that waits for an answer or a receipt.
type longPoll struct {
	done  func()
	timer *time.Timer
}

// serve handles a request. respond is called once, before or after serve returns, in the
// latter case from another goroutine.
func (f *Front) serve(q *request, respond func(response)) {
	section, rest, _ := strings.Cut(strings.TrimPrefix(q.path, "/"), "/")
	if q.path == "/" || section != "push" && section != "message" && section != "receipts" || rest == "" {
		respond(textResponse(http.StatusNotFound, "no such resource"))
		return
	}
	sender, err := f.vapid.check(q.header("Authorization"), time.Now())
	if err != nil && !(f.opt.AllowAnonymous && errors.Is(err, errNoToken)) {
		respond(textResponse(http.StatusUnauthorized, "%v", err).with("WWW-Authenticate", "vapid"))
		return
	}
	switch {
	case section == "push" && q.method == http.MethodPost:
		f.post(q, sender, rest, respond)
	case section == "push":
		respond(textResponse(http.StatusMethodNotAllowed, "POST a message here").with("Allow", "POST"))
	case section == "message" && q.method == http.MethodDelete:
		respond(f.remove(sender, rest))
	case section == "message" && q.method == http.MethodGet:
		f.getMessage(q, sender, rest, respond)
	case section == "message":
		respond(textResponse(http.StatusMethodNotAllowed, "GET or DELETE").with("Allow", "GET, DELETE"))
	case section == "receipts" && q.method == http.MethodGet:
		f.getReceipts(q, sender, rest, respond)
	default:
		respond(textResponse(http.StatusMethodNotAllowed, "GET").with("Allow", "GET"))
	}
}

// mayPush reports whether the sender's key may push to a resource <class>/<partner>. An
// allowed resource may be "*", "<class>/*" or "*/<partner>" too.
func (f *Front) mayPush(sender Sender, path string) bool {
	if len(f.opt.Keys) == 0 {
		return true
	}
	allowed, ok := f.opt.Keys[sender.Key]
	for _, a := range allowed {
		if a == "*" || a == path || strings.HasSuffix(a, "/*") && strings.HasPrefix(path, a[:len(a)-1]) ||
			strings.HasPrefix(a, "*/") && strings.HasSuffix(path, a[1:]) {
			return true
		}
	}
	return ok && len(allowed) == 0
}

// forwardedFields are the header fields that are forwarded to the partner unchanged,
// with Encryption and Crypto-Key of older drafts of RFC 8291.
var forwardedFields = []string{"Content-Type", "Content-Encoding", "Encryption", "Crypto-Key", "Urgency", "Topic"}

// check reads the header fields of a POST; the error names the one that is invalid.
func (f *Front) check(q *request, class int) (m core.Message, topic string, async bool, err error) {
	ttl := q.header("TTL")
	seconds, e := strconv.ParseUint(ttl, 10, 31)
	if e != nil {
		return m, "", false, fmt.Errorf("TTL: %.40q is not a number of seconds; the field is required", ttl)
	}
	m.Left = min(time.Duration(seconds)*time.Second, f.opt.Names.Deadlines[class])
	if seconds == 0 { // deliver at once or not at all (5.2)
		m.Immediate, m.Left = true, f.opt.Names.Deadlines[class]
	}
	switch u := q.header("Urgency"); u {
	case "", "very-low", "low", "normal", "high":
	default:
		return m, "", false, fmt.Errorf("Urgency: %.40q is none of very-low, low, normal, high", u)
	}
	topic = q.header("Topic")
	if len(topic) > 32 ||
		strings.Trim(topic, "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_") != "" {
		return m, "", false, fmt.Errorf("Topic: %.40q is not at most 32 characters of base64url", topic)
	}
	for part := range strings.SplitSeq(q.header("Prefer"), ",") {
		async = async || strings.EqualFold(strings.TrimSpace(part), "respond-async")
	}
	if m.Key = q.header("Order-Key"); len(m.Key) > 256 {
		return m, "", false, errors.New("Order-Key: over 256 bytes")
	}
	for _, name := range forwardedFields {
		v := q.header(name)
		if strings.ContainsAny(v, "\r\n\x00") || len(v) > 1024 {
			return m, "", false, fmt.Errorf("%s: over 1024 bytes, or a control character", name)
		}
		if v != "" {
			m.Head = fmt.Appendf(m.Head, "%s: %s\r\n", name, v)
		}
	}
	m.Head = fmt.Appendf(m.Head, "TTL: %d\r\n", seconds)
	return m, topic, async, nil
}

// post handles a POST of a message (5).
func (f *Front) post(q *request, sender Sender, path string, respond func(response)) {
	class, partner, err := f.opt.Names.Route(path)
	if err != nil {
		respond(textResponse(http.StatusNotFound, "/push/%.100s %v", path, err))
		return
	}
	if !f.mayPush(sender, path) {
		respond(textResponse(http.StatusForbidden, "this key may not push to /push/%s", path))
		return
	}
	m, topic, async, err := f.check(q, class)
	if err != nil {
		respond(textResponse(http.StatusBadRequest, "%v", err))
		return
	}
	idempotencyKey := strings.Trim(q.header("Idempotency-Key"), `"`)
	if len(idempotencyKey) > 256 {
		respond(textResponse(http.StatusBadRequest, "Idempotency-Key: over 256 bytes"))
		return
	}
	m.Class, m.Partner, m.Source, m.Body = class, partner, sender.Key, bytes.Clone(q.body)
	f.mu.Lock()
	defer f.unlock()
	respond = f.afterUnlock(respond)
	now := time.Now()
	f.sweep(now)
	// A message without Idempotency-Key gets a random identity that no other POST can repeat,
	// so that it can be withdrawn.
	p := &push{id: rand.Text(), owner: sender.Key, grantedTTL: m.Left}
	if m.Immediate {
		p.grantedTTL = 0
	}
	if idempotencyKey != "" {
		p.identity = front.Identity('w', sender.Key, sender.Subject, idempotencyKey)
		if old := f.byIdentity[p.identity]; old != nil && (old.answer.Verdict != ledger.Refused ||
			now.Before(old.endedAt.Add(old.answer.RetryAfter))) {
			f.answerRepeat(old, async, respond)
			return
		}
	} else if f.opt.RequireIdempotencyKey[class] {
		respond(textResponse(http.StatusBadRequest,
			"Idempotency-Key: messages of this class must never take effect twice; "+
				"name each by this field"))
		return
	} else {
		p.identity = front.Identity('x', p.id)
	}
	if len(f.pushes) >= f.opt.Messages && !f.evictOldest() {
		respond(textResponse(http.StatusTooManyRequests, "as many messages as are kept"))
		return
	}
	if async || q.header("Push-Receipt") != "" {
		if p.subscription, err = f.subscriptionFor(q.header("Push-Receipt"), sender.Key, now); err != nil {
			respond(textResponse(http.StatusBadRequest, "Push-Receipt: %v", err))
			return
		}
		if p.subscription.outstanding+len(p.subscription.receipts) >= f.opt.Pending {
			respond(textResponse(http.StatusTooManyRequests,
				"this receipt subscription is owed %d receipts; fetch them", f.opt.Pending))
			return
		}
	}
	if topic != "" {
		p.topic = front.Identity('t', sender.Key, path, topic)
	}
	m.Identity, m.Reply = p.identity, front.Reply[*push]{Box: f.outbox, To: p}
	if f.opt.Keeper != nil {
		m.Front, m.ReturnPath = Name, p.returnPath()
	}
	p.waitingPosts = append(p.waitingPosts, func(err error) { respond(f.postResponse(p, async, err)) })
	if err := f.opt.Door.Submit(&m); err != nil {
		respond(f.postResponse(p, async, err))
		return
	}
	if p.subscription != nil {
		p.subscription.outstanding++
		f.unread[p.identity] = p
	}
	f.pushes[p.id], f.byIdentity[p.identity] = p, p
	if topic != "" {
		if old := f.topics[p.topic]; old != nil { // replaced by this one (5.4)
			f.opt.Door.Withdraw(old.identity)
		}
		f.topics[p.topic] = p
	}
}

// answerRepeat responds to a POST of a known identity; under mu.
func (f *Front) answerRepeat(p *push, async bool, respond func(response)) {
	if !p.accepted && p.answer.Verdict == 0 {
		p.waitingPosts = append(p.waitingPosts, func(err error) { respond(f.postResponse(p, async, err)) })
		return
	}
	respond(f.postResponse(p, async, nil))
}

// postResponse returns the response to a POST whose message the core accepted, or rejected
// with err.
func (f *Front) postResponse(p *push, async bool, err error) response {
	switch {
	case errors.Is(err, core.ErrStopping):
		return textResponse(http.StatusServiceUnavailable, "relay stops")
	case errors.Is(err, core.ErrBusy), errors.Is(err, ledger.ErrFull):
		f.opt.Observer.NotTaken(err.Error())
		return textResponse(http.StatusTooManyRequests, "%v", err)
	case err != nil:
		f.opt.Observer.NotTaken(err.Error())
		return textResponse(http.StatusInternalServerError, "%v", err)
	}
	status := http.StatusCreated
	if async && p.subscription != nil {
		status = http.StatusAccepted
	}
	r := response{status: status, header: [][2]string{{"Location", "/message/" + p.id},
		{"TTL", strconv.Itoa(int(p.grantedTTL / time.Second))}}}
	if p.subscription != nil {
		r = r.with("Link", fmt.Sprintf(`</receipts/%s>; rel="urn:ietf:params:push:receipt"`, p.subscription.id))
	}
	return r
}

// handleReply handles the core's reply about a push: that it is accepted or rejected, or
// its final answer; under mu.
func (f *Front) handleReply(s front.Report[*push]) {
	p := s.To
	if s.Answer.Verdict == 0 {
		posts := p.waitingPosts
		p.waitingPosts, p.accepted = nil, s.Err == nil
		if s.Err != nil {
			f.drop(p)
			if p.subscription != nil {
				p.subscription.outstanding--
				f.forgetUnread(p)
			}
		}
		for _, post := range posts {
			post(s.Err)
		}
		return
	}
	if p.answer.Verdict != 0 || f.pushes[p.id] != p {
		return
	}
	p.answer, p.endedAt = s.Answer, time.Now()
	f.ended.PushBack(p)
	if f.topics[p.topic] == p {
		delete(f.topics, p.topic)
	}
	if b := p.subscription; b != nil {
		b.outstanding--
		b.addReceipt(p)
		endPolls(&b.longPolls)
	}
	endPolls(&p.longPolls)
}

// drop removes a push from the maps; under mu.
func (f *Front) drop(p *push) {
	delete(f.pushes, p.id)
	if f.byIdentity[p.identity] == p {
		delete(f.byIdentity, p.identity)
	}
	if f.topics[p.topic] == p {
		delete(f.topics, p.topic)
	}
}

// sweep removes ended messages and unused receipt subscriptions after Options.Retention; under
// mu.
func (f *Front) sweep(now time.Time) {
	for e := f.ended.Front(); e != nil; e = f.ended.Front() {
		p := e.Value.(*push)
		if now.Sub(p.endedAt) < f.opt.Retention {
			break
		}
		f.ended.Remove(e)
		f.drop(p)
	}
	if now.Sub(f.lastSweep) < time.Second {
		return
	}
	f.lastSweep = now
	for id, b := range f.subscriptions {
		if b.outstanding == 0 && len(b.longPolls) == 0 && now.Sub(b.lastUsed) >= f.opt.Retention {
			delete(f.subscriptions, id)
			for _, r := range b.receipts {
				f.forgetUnread(r.push)
			}
			if k := f.opt.Keeper; k != nil {
				k.Session(Name, id, nil)
			}
		}
	}
}

// evictOldest removes the push that ended first, to make room for another, and reports
// whether there was one; under mu. The core still keeps its identity for as long as it is
// configured to.
func (f *Front) evictOldest() bool {
	e := f.ended.Front()
	if e == nil {
		return false
	}
	f.ended.Remove(e)
	f.drop(e.Value.(*push))
	return true
}

// remove handles a DELETE, which withdraws a message (status codes as in 6.2).
func (f *Front) remove(sender Sender, id string) response {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.pushes[id]
	switch {
	case p == nil || p.owner != sender.Key:
		return textResponse(http.StatusNotFound, "no such message of yours")
	case p.answer.Verdict != 0:
		return textResponse(http.StatusGone, "it ended before: %v", p.answer.Verdict)
	}
	f.opt.Door.Withdraw(p.identity)
	return response{status: http.StatusNoContent}
}

// pollWait returns the wait that a long poll asks for by Prefer (RFC 7240, 4.3), limited
// to Options.MaxPollWait.
func (f *Front) pollWait(q *request) time.Duration {
	for part := range strings.SplitSeq(q.header("Prefer"), ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(strings.ToLower(part)), "wait="); ok {
			if n, err := strconv.ParseUint(v, 10, 31); err == nil {
				return min(time.Duration(n)*time.Second, f.opt.MaxPollWait)
			}
		}
	}
	return 0
}

// getMessage returns the outcome of a message. While there is none it waits as long as the
// request asks.
func (f *Front) getMessage(q *request, sender Sender, id string, respond func(response)) {
	f.mu.Lock()
	defer f.unlock()
	respond = f.afterUnlock(respond)
	p := f.pushes[id]
	if p == nil || p.owner != sender.Key {
		respond(textResponse(http.StatusNotFound, "no such message of yours"))
		return
	}
	answer := func() {
		if p.answer.Verdict == 0 {
			respond(jsonResponse(http.StatusAccepted,
				receipt{Message: "/message/" + p.id, Status: http.StatusAccepted, Answer: "none"}))
			return
		}
		respond(withRetryAfter(jsonResponse(http.StatusOK, receiptOf(p)), p.answer.RetryAfter))
	}
	if wait := f.pollWait(q); wait > 0 && p.answer.Verdict == 0 {
		f.startPoll(&p.longPolls, wait, answer)
		return
	}
	answer()
}

// withRetryAfter returns r with a Retry-After field, in seconds rounded up, if after is not 0.
func withRetryAfter(r response, after time.Duration) response {
	if after > 0 {
		r = r.with("Retry-After", strconv.Itoa(int(math.Ceil(after.Seconds()))))
	}
	return r
}

// afterUnlock returns a respond that may be called under mu. The response is sent by
// unlock, as connections have mutexes of their own.
func (f *Front) afterUnlock(respond func(response)) func(response) {
	return func(r response) { f.deferred = append(f.deferred, func() { respond(r) }) }
}

// unlock unlocks mu and sends the responses that were deferred until then.
func (f *Front) unlock() {
	calls := f.deferred
	f.deferred = nil
	f.mu.Unlock()
	for _, call := range calls {
		call()
	}
}

// startPoll adds a long poll to set. answer is called once, under mu: by endPolls, or after
// the wait. The caller holds mu.
func (f *Front) startPoll(set *map[*longPoll]bool, wait time.Duration, answer func()) {
	if f.polls >= f.opt.Polls { // answered at once at the limit
		answer()
		return
	}
	f.polls++
	w := &longPoll{done: func() { f.polls--; answer() }}
	if *set == nil {
		*set = map[*longPoll]bool{}
	}
	(*set)[w] = true
	w.timer = time.AfterFunc(wait, func() {
		f.mu.Lock()
		defer f.unlock()
		if (*set)[w] {
			delete(*set, w)
			w.done()
		}
	})
}

// endPolls answers all long polls of set; under mu.
func endPolls(set *map[*longPoll]bool) {
	for w := range *set {
		w.timer.Stop()
		delete(*set, w)
		w.done()
	}
}

var _ http1.Handler = (*http1.Request)(nil)
