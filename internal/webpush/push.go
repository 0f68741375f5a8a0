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

// request is one request, however it came.
type request struct {
	method, path string
	header       func(name string) string
	body         []byte
}

// response is what goes back.
type response struct {
	status int
	header [][2]string
	body   []byte
}

func (r response) with(name, value string) response {
	r.header = append(r.header, [2]string{name, value})
	return r
}

// say is a response with a line of text.
func say(status int, format string, args ...any) response {
	return response{status: status, header: [][2]string{{"Content-Type", "text/plain; charset=utf-8"}},
		body: fmt.Appendf(nil, format+"\n", args...)}
}

func asJSON(status int, v any) response {
	b, err := json.Marshal(v)
	if err != nil {
		return say(http.StatusInternalServerError, "%v", err)
	}
	return response{status: status, header: [][2]string{{"Content-Type", "application/json"}}, body: append(b, '\n')}
}

// push is one message handed in by POST, until its answer was fetched or its
// time of keeping is over.
type push struct {
	id       string // of its resource, not to be guessed
	identity string
	owner    string // VAPID key
	box      *box   // where its receipt goes, nil for none
	topic    string
	life     time.Duration // granted
	taken    bool
	answer   ledger.Answer
	ended    time.Time
	posts    []func(error)    // that wait until it is taken
	waiting  map[*waiter]bool // long polls of it
}

// waiter is a long poll.
type waiter struct {
	done  func()
	timer *time.Timer
}

// serve handles a request; respond is called once, maybe later and from
// another goroutine.
func (f *Front) serve(q *request, respond func(response)) {
	section, rest, _ := strings.Cut(strings.TrimPrefix(q.path, "/"), "/")
	if q.path == "/" || section != "push" && section != "message" && section != "receipts" || rest == "" {
		respond(say(http.StatusNotFound, "no such resource"))
		return
	}
	who, err := f.vapid.check(q.header("Authorization"), time.Now())
	if err != nil && !(f.opt.Anyone && errors.Is(err, errNoToken)) {
		respond(say(http.StatusUnauthorized, "%v", err).with("WWW-Authenticate", "vapid"))
		return
	}
	switch {
	case section == "push" && q.method == http.MethodPost:
		f.post(q, who, rest, respond)
	case section == "push":
		respond(say(http.StatusMethodNotAllowed, "POST a message here").with("Allow", "POST"))
	case section == "message" && q.method == http.MethodDelete:
		respond(f.remove(who, rest))
	case section == "message" && q.method == http.MethodGet:
		f.getMessage(q, who, rest, respond)
	case section == "message":
		respond(say(http.StatusMethodNotAllowed, "GET or DELETE").with("Allow", "GET, DELETE"))
	case section == "receipts" && q.method == http.MethodGet:
		f.getReceipts(q, who, rest, respond)
	default:
		respond(say(http.StatusMethodNotAllowed, "GET").with("Allow", "GET"))
	}
}

// may tells whether a key may push to a resource.
func (f *Front) may(who Sender, path string) bool {
	if len(f.opt.Keys) == 0 {
		return true
	}
	allowed, ok := f.opt.Keys[who.Key]
	for _, a := range allowed {
		if a == "*" || a == path || strings.HasSuffix(a, "/*") && strings.HasPrefix(path, a[:len(a)-1]) ||
			strings.HasPrefix(a, "*/") && strings.HasSuffix(path, a[1:]) {
			return true
		}
	}
	return ok && len(allowed) == 0
}

// carried are the fields that go on to the partner as they came, with RFC
// 8291's own in its older form too.
var carried = []string{"Content-Type", "Content-Encoding", "Encryption", "Crypto-Key", "Urgency", "Topic"}

// check reads the fields of a POST; the error names the one that is wrong.
func (f *Front) check(q *request, class int) (m core.Message, topic string, async bool, err error) {
	ttl := q.header("TTL")
	seconds, e := strconv.ParseUint(ttl, 10, 31)
	if e != nil {
		return m, "", false, fmt.Errorf("TTL: %.40q is not a number of seconds; the field is required", ttl)
	}
	m.Left = min(time.Duration(seconds)*time.Second, f.opt.Names.Lives[class])
	if seconds == 0 { // now or never (RFC 8030, 5.2)
		m.Immediate, m.Left = true, f.opt.Names.Lives[class]
	}
	switch u := q.header("Urgency"); u {
	case "", "very-low", "low", "normal", "high":
	default:
		return m, "", false, fmt.Errorf("Urgency: %.40q is none of very-low, low, normal, high", u)
	}
	topic = q.header("Topic")
	if len(topic) > 32 || strings.Trim(topic, "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_") != "" {
		return m, "", false, fmt.Errorf("Topic: %.40q is not at most 32 characters of base64url", topic)
	}
	for part := range strings.SplitSeq(q.header("Prefer"), ",") {
		async = async || strings.EqualFold(strings.TrimSpace(part), "respond-async")
	}
	if m.Key = q.header("Order-Key"); len(m.Key) > 256 {
		return m, "", false, errors.New("Order-Key: over 256 bytes")
	}
	for _, name := range carried {
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

// post takes a push message in (RFC 8030, 5).
func (f *Front) post(q *request, who Sender, path string, respond func(response)) {
	class, partner, err := f.opt.Names.Route(path)
	if err != nil {
		respond(say(http.StatusNotFound, "/push/%.100s %v", path, err))
		return
	}
	if !f.may(who, path) {
		respond(say(http.StatusForbidden, "this key may not push to /push/%s", path))
		return
	}
	m, topic, async, err := f.check(q, class)
	if err != nil {
		respond(say(http.StatusBadRequest, "%v", err))
		return
	}
	own := strings.Trim(q.header("Idempotency-Key"), `"`)
	if len(own) > 256 {
		respond(say(http.StatusBadRequest, "Idempotency-Key: over 256 bytes"))
		return
	}
	m.Class, m.Partner, m.Source, m.Body = class, partner, who.Key, bytes.Clone(q.body)
	f.mu.Lock()
	defer f.unlock()
	respond = f.afterwards(respond)
	now := time.Now()
	f.sweep(now)
	// What has no identity of its own gets one that nobody repeats, so that it
	// can be withdrawn; its class is told apart by own.
	p := &push{id: rand.Text(), owner: who.Key, life: m.Left}
	if m.Immediate {
		p.life = 0
	}
	if own != "" {
		p.identity = front.Identity('w', who.Key, who.Subject, own)
		if old := f.byIdentity[p.identity]; old != nil && (old.answer.Verdict != ledger.Refused ||
			now.Before(old.ended.Add(old.answer.RetryAfter))) {
			f.repeat(old, async, respond)
			return
		}
	} else if f.opt.Unsafe[class] {
		respond(say(http.StatusBadRequest, "Idempotency-Key: messages of this class must never take effect twice; "+
			"name each by this field"))
		return
	} else {
		p.identity = front.Identity('x', p.id)
	}
	if len(f.pushes) >= f.opt.Messages && !f.forget() {
		respond(say(http.StatusTooManyRequests, "as many messages as are kept"))
		return
	}
	if async || q.header("Push-Receipt") != "" {
		if p.box, err = f.boxFor(q.header("Push-Receipt"), who.Key, now); err != nil {
			respond(say(http.StatusBadRequest, "Push-Receipt: %v", err))
			return
		}
		if p.box.owed+len(p.box.ready) >= f.opt.Pending {
			respond(say(http.StatusTooManyRequests, "this receipt subscription is owed %d receipts; fetch them", f.opt.Pending))
			return
		}
	}
	if topic != "" {
		p.topic = front.Identity('t', who.Key, path, topic)
	}
	m.Identity, m.Reply = p.identity, front.Reply[*push]{Box: f.out, To: p}
	if f.opt.Keeper != nil {
		m.Front, m.ReturnPath = Name, p.way()
	}
	p.posts = append(p.posts, func(err error) { respond(f.created(p, async, err)) })
	if err := f.opt.Door.Submit(&m); err != nil {
		respond(f.created(p, async, err))
		return
	}
	if p.box != nil {
		p.box.owed++
		f.unread[p.identity] = p
	}
	f.pushes[p.id], f.byIdentity[p.identity] = p, p
	if topic != "" {
		if old := f.topics[p.topic]; old != nil { // a newer one replaces it (5.4)
			f.opt.Door.Withdraw(old.identity)
		}
		f.topics[p.topic] = p
	}
}

// repeat answers a POST of an identity that is known: under mu.
func (f *Front) repeat(p *push, async bool, respond func(response)) {
	if !p.taken && p.answer.Verdict == 0 {
		p.posts = append(p.posts, func(err error) { respond(f.created(p, async, err)) })
		return
	}
	respond(f.created(p, async, nil))
}

// created answers a POST once the core has taken the message or not.
func (f *Front) created(p *push, async bool, err error) response {
	switch {
	case errors.Is(err, core.ErrStopping):
		return say(http.StatusServiceUnavailable, "relay stops")
	case errors.Is(err, core.ErrBusy), errors.Is(err, ledger.ErrFull):
		f.opt.Observer.NotTaken(err.Error())
		return say(http.StatusTooManyRequests, "%v", err)
	case err != nil:
		f.opt.Observer.NotTaken(err.Error())
		return say(http.StatusInternalServerError, "%v", err)
	}
	status := http.StatusCreated
	if async && p.box != nil {
		status = http.StatusAccepted
	}
	r := response{status: status, header: [][2]string{{"Location", "/message/" + p.id},
		{"TTL", strconv.Itoa(int(p.life / time.Second))}}}
	if p.box != nil {
		r = r.with("Link", fmt.Sprintf(`</receipts/%s>; rel="urn:ietf:params:push:receipt"`, p.box.id))
	}
	return r
}

// said takes in what the core says of a push; under mu.
func (f *Front) said(s front.Said[*push]) {
	p := s.To
	if s.Answer.Verdict == 0 {
		posts := p.posts
		p.posts, p.taken = nil, s.Err == nil
		if s.Err != nil {
			f.drop(p)
			if p.box != nil {
				p.box.owed--
				f.read(p)
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
	p.answer, p.ended = s.Answer, time.Now()
	f.ended.PushBack(p)
	if f.topics[p.topic] == p {
		delete(f.topics, p.topic)
	}
	if b := p.box; b != nil {
		b.owed--
		b.receipt(p)
		release(&b.waiting)
	}
	release(&p.waiting)
}

// drop takes a push off the tables; under mu.
func (f *Front) drop(p *push) {
	delete(f.pushes, p.id)
	if f.byIdentity[p.identity] == p {
		delete(f.byIdentity, p.identity)
	}
	if f.topics[p.topic] == p {
		delete(f.topics, p.topic)
	}
}

// sweep forgets what was kept long enough; under mu.
func (f *Front) sweep(now time.Time) {
	for e := f.ended.Front(); e != nil; e = f.ended.Front() {
		p := e.Value.(*push)
		if now.Sub(p.ended) < f.opt.Keep {
			break
		}
		f.ended.Remove(e)
		f.drop(p)
	}
	if now.Sub(f.swept) < time.Second {
		return
	}
	f.swept = now
	for id, b := range f.boxes {
		if b.owed == 0 && len(b.waiting) == 0 && now.Sub(b.used) >= f.opt.Keep {
			delete(f.boxes, id)
			for _, r := range b.ready {
				f.read(r.push)
			}
			if k := f.opt.Keeper; k != nil {
				k.Session(Name, id, nil)
			}
		}
	}
}

// forget makes room at the bound: the push that ended first is forgotten, its
// identity not: the core keeps that for as long as it is configured to.
func (f *Front) forget() bool {
	e := f.ended.Front()
	if e == nil {
		return false
	}
	f.ended.Remove(e)
	f.drop(e.Value.(*push))
	return true
}

// remove withdraws a message (RFC 8030, 6.2 gives the codes for DELETE).
func (f *Front) remove(who Sender, id string) response {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.pushes[id]
	switch {
	case p == nil || p.owner != who.Key:
		return say(http.StatusNotFound, "no such message of yours")
	case p.answer.Verdict != 0:
		return say(http.StatusGone, "it ended before: %v", p.answer.Verdict)
	}
	f.opt.Door.Withdraw(p.identity)
	return response{status: http.StatusNoContent}
}

// patience is the wait that a long poll asks for (RFC 7240, 4.3), bounded.
func (f *Front) patience(q *request) time.Duration {
	for part := range strings.SplitSeq(q.header("Prefer"), ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(strings.ToLower(part)), "wait="); ok {
			if n, err := strconv.ParseUint(v, 10, 31); err == nil {
				return min(time.Duration(n)*time.Second, f.opt.Poll)
			}
		}
	}
	return 0
}

// getMessage tells what became of one message, waiting if asked to.
func (f *Front) getMessage(q *request, who Sender, id string, respond func(response)) {
	f.mu.Lock()
	defer f.unlock()
	respond = f.afterwards(respond)
	p := f.pushes[id]
	if p == nil || p.owner != who.Key {
		respond(say(http.StatusNotFound, "no such message of yours"))
		return
	}
	answer := func() {
		if p.answer.Verdict == 0 {
			respond(asJSON(http.StatusAccepted, receipt{Message: "/message/" + p.id, Status: http.StatusAccepted, Answer: "none"}))
			return
		}
		respond(withAfter(asJSON(http.StatusOK, receiptOf(p)), p.answer.RetryAfter))
	}
	if wait := f.patience(q); wait > 0 && p.answer.Verdict == 0 {
		f.hold(&p.waiting, wait, answer)
		return
	}
	answer()
}

func withAfter(r response, after time.Duration) response {
	if after > 0 {
		r = r.with("Retry-After", strconv.Itoa(int(math.Ceil(after.Seconds()))))
	}
	return r
}

// afterwards makes a respond that may be called under mu: it runs once mu is
// let go, as connections have locks of their own.
func (f *Front) afterwards(respond func(response)) func(response) {
	return func(r response) { f.calls = append(f.calls, func() { respond(r) }) }
}

// unlock lets mu go and runs what waits for that.
func (f *Front) unlock() {
	calls := f.calls
	f.calls = nil
	f.mu.Unlock()
	for _, call := range calls {
		call()
	}
}

// hold keeps a long poll until release or its time; under mu. answer runs
// under mu, once.
func (f *Front) hold(set *map[*waiter]bool, wait time.Duration, answer func()) {
	if f.polls >= f.opt.Polls { // at the bound polls do not wait
		answer()
		return
	}
	f.polls++
	w := &waiter{done: func() { f.polls--; answer() }}
	if *set == nil {
		*set = map[*waiter]bool{}
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

func release(set *map[*waiter]bool) {
	for w := range *set {
		w.timer.Stop()
		delete(*set, w)
		w.done()
	}
}

var _ http1.Handler = (*http1.Request)(nil)
