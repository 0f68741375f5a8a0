package relay_test

import (
	"bytes"
	"context"
	"crypto/aes"
	"crypto/cipher"
	"crypto/ecdh"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	webpushgo "github.com/SherClockHolmes/webpush-go"
	"github.com/golang-jwt/jwt/v5"
	"golang.org/x/net/http2"

	"basaltcross.example/basaltcross/internal/client"
	"basaltcross.example/basaltcross/internal/keys"
	"basaltcross.example/basaltcross/internal/relay"
	"basaltcross.example/basaltcross/internal/standin"
	"basaltcross.example/basaltcross/internal/testutil"
)

// pushBed is a relay that serves MQTT and Web Push over TLS, with the VAPID key pair of a
// sender that may push to all resources.
type pushBed struct {
	*testutil.Env
	dir             string
	ca              *keys.Authority
	origin          string
	http            *http.Client
	public, private string // VAPID key pair
}

func newPushBed(t *testing.T, partners int, model standin.Model, extra string) *pushBed {
	t.Helper()
	b := &pushBed{dir: t.TempDir()}
	var err error
	if b.ca, err = keys.NewAuthority("test", time.Hour); err != nil {
		t.Fatal(err)
	}
	if err := b.ca.Save(b.dir); err != nil {
		t.Fatal(err)
	}
	b.issue(t, "server", time.Hour)
	b.issue(t, "client", time.Hour)
	if b.public, b.private, err = keys.NewVAPIDKeys(); err != nil {
		t.Fatal(err)
	}
	port := freePort(t)
	b.origin = fmt.Sprintf("https://127.0.0.1:%d", port)
	cfg := fmt.Sprintf(`
mqtt: {tlsListen: ["127.0.0.1:0"], tls: {cert: "%[1]s/server.pem", key: "%[1]s/server.key", clientCA: "%[1]s/ca.pem"}}
webpush: {tlsListen: ["127.0.0.1:%[2]d"], tls: {cert: "%[1]s/server.pem", key: "%[1]s/server.key"},
	audience: [%[3]q], keys: [{key: %[4]q}, {key: %[5]q, resources: ["status/p0"]}]}
%[6]s`, b.dir, port, b.origin, b.public, otherPublic, extra)
	b.Env = testutil.New(t, partners, model, cfg, relay.Hooks{})
	b.http = &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{ForceAttemptHTTP2: true,
		TLSClientConfig: &tls.Config{RootCAs: b.ca.CertPool()}}}
	t.Cleanup(b.http.CloseIdleConnections)
	return b
}

// otherPublic and otherPrivate are a VAPID key pair that may push to status/p0 only.
var otherPublic, otherPrivate, _ = keys.NewVAPIDKeys()

// freePort returns a TCP port that was free at the time of the call.
func freePort(t *testing.T) int {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

// issue writes a certificate that is valid from two hours ago and ends after lasts from now.
func (b *pushBed) issue(t *testing.T, name string, lasts time.Duration) {
	t.Helper()
	hosts := []string{"127.0.0.1"}
	if name != "server" {
		hosts = nil
	}
	if _, _, err := b.ca.Issue(b.dir, name, time.Now().Add(-2*time.Hour), time.Now().Add(lasts), hosts...); err != nil {
		t.Fatal(err)
	}
}

// parsePrivateKey decodes a VAPID private key.
func parsePrivateKey(t *testing.T, private string) *ecdsa.PrivateKey {
	t.Helper()
	d, err := base64.RawURLEncoding.DecodeString(private)
	if err != nil {
		t.Fatal(err)
	}
	k := &ecdsa.PrivateKey{D: new(big.Int).SetBytes(d)}
	k.Curve = elliptic.P256()
	k.X, k.Y = k.Curve.ScalarBaseMult(d)
	return k
}

// token returns an Authorization value with a VAPID token, its claims altered by change
// unless that is nil.
func (b *pushBed) token(t *testing.T, change func(jwt.MapClaims)) string {
	t.Helper()
	c := jwt.MapClaims{"aud": b.origin, "exp": time.Now().Add(time.Hour).Unix(), "sub": "mailto:a@example.org"}
	if change != nil {
		change(c)
	}
	s, err := jwt.NewWithClaims(jwt.SigningMethodES256, c).SignedString(parsePrivateKey(t, b.private))
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("vapid t=%s, k=%s", s, b.public)
}

// do sends a request with header fields given as pairs of name and value; an empty value
// removes a default field.
func (b *pushBed) do(t *testing.T, method, path, body string, fields ...string) (*http.Response, string) {
	t.Helper()
	q, err := http.NewRequest(method, b.origin+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	q.Header.Set("Authorization", b.token(t, nil))
	q.Header.Set("TTL", "60")
	for i := 0; i < len(fields); i += 2 {
		if q.Header.Del(fields[i]); fields[i+1] != "" {
			q.Header.Set(fields[i], fields[i+1])
		}
	}
	r, err := b.http.Do(q)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Body.Close()
	text, err := io.ReadAll(r.Body)
	if err != nil {
		t.Fatal(err)
	}
	return r, string(text)
}

// outcome polls a message's location until it is answered and returns the answer.
func (b *pushBed) outcome(t *testing.T, location string) string {
	t.Helper()
	for range 5 {
		r, text := b.do(t, "GET", location, "", "Prefer", "wait=10")
		var a struct{ Answer string }
		if err := json.Unmarshal([]byte(text), &a); err != nil || r.StatusCode >= 300 {
			t.Fatalf("GET %s: %d %s", location, r.StatusCode, text)
		}
		if a.Answer != "none" {
			return a.Answer
		}
	}
	t.Fatalf("%s is not answered after 5 polls", location)
	return ""
}

// userAgent is the receiver of encrypted messages (RFC 8291).
type userAgent struct {
	key  *ecdh.PrivateKey
	auth []byte
}

func newUserAgent(t *testing.T) *userAgent {
	t.Helper()
	k, err := ecdh.P256().GenerateKey(rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	u := &userAgent{key: k, auth: make([]byte, 16)}
	_, _ = rand.Read(u.auth)
	return u
}

func (u *userAgent) decrypt(b []byte) ([]byte, error) {
	if len(b) < 21+65+17 || b[20] != 65 {
		return nil, errors.New("no aes128gcm header")
	}
	salt, size, sender, text := b[:16], binary.BigEndian.Uint32(b[16:20]), b[21:86], b[86:]
	if uint32(len(text)) > size {
		return nil, errors.New("more than one record")
	}
	from, err := ecdh.P256().NewPublicKey(sender)
	if err != nil {
		return nil, err
	}
	shared, err := u.key.ECDH(from)
	if err != nil {
		return nil, err
	}
	info := "WebPush: info\x00" + string(u.key.PublicKey().Bytes()) + string(sender)
	ikm, err := hkdf.Key(sha256.New, shared, u.auth, info, 32)
	if err != nil {
		return nil, err
	}
	key, _ := hkdf.Key(sha256.New, ikm, salt, "Content-Encoding: aes128gcm\x00", 16)
	nonce, _ := hkdf.Key(sha256.New, ikm, salt, "Content-Encoding: nonce\x00", 12)
	block, _ := aes.NewCipher(key)
	gcm, _ := cipher.NewGCM(block)
	plain, err := gcm.Open(nil, nonce, text, nil)
	if err != nil {
		return nil, err
	}
	return plain[:bytes.LastIndexByte(plain, 2)], nil
}

// idempotentClient adds an Idempotency-Key to the requests that the push library sends.
type idempotentClient struct {
	*http.Client
	id string
}

func (n idempotentClient) Do(q *http.Request) (*http.Response, error) {
	q.Header.Set("Idempotency-Key", n.id)
	return n.Client.Do(q)
}

// Guards against altered bodies, repeated charges and wrong answers when a third-party Web
// Push library and MQTT clients send thousands of messages over TLS at the same time while
// partners fail. The encrypted messages must arrive so that they can be decrypted; charges
// take effect at most once.
func TestBothFrontsOverTLS(t *testing.T) {
	const pushers, each = 6, 350
	b := newPushBed(t, 4, standin.Model{Service: 3 * ms, ServiceJitter: 0.5, DedupWindow: 10 * time.Second},
		`relay: {workers: 48, held: 6000}`)
	b.Endpoints[0].Set(standin.Faults{LostResponses: 0.1})
	b.Endpoints[3].Set(standin.Faults{Errors: 0.2})
	u := newUserAgent(t)
	e := base64.RawURLEncoding
	var mu sync.Mutex
	locations := map[string]string{}
	classes := []string{"status", "order", "charge"}
	var all sync.WaitGroup
	for s := range pushers {
		all.Go(func() {
			for i := range each {
				id := fmt.Sprintf("w%d/%d", s, i)
				sub := &webpushgo.Subscription{Endpoint: fmt.Sprintf("%s/push/%s/p%d", b.origin, classes[i%3], i/3%4),
					Keys: webpushgo.Keys{P256dh: e.EncodeToString(u.key.PublicKey().Bytes()), Auth: e.EncodeToString(u.auth)}}
				r, err := webpushgo.SendNotification([]byte(id), sub, &webpushgo.Options{HTTPClient: idempotentClient{b.http, id},
					Subscriber: "ops@example.org", TTL: 60, Urgency: webpushgo.UrgencyHigh,
					VAPIDPublicKey: b.public, VAPIDPrivateKey: b.private})
				if err != nil {
					t.Error(err)
					return
				}
				_ = r.Body.Close()
				if r.StatusCode != http.StatusCreated || r.ProtoMajor != 2 {
					t.Errorf("%s: %s over %s", id, r.Status, r.Proto)
					return
				}
				mu.Lock()
				locations[id] = r.Header.Get("Location")
				mu.Unlock()
			}
		})
	}
	in := newInbox()
	for s := range 3 {
		c := b.dialTLS(t, fmt.Sprintf("m%d", s), in.receive)
		defer c.Close()
		all.Go(func() {
			for i := range each {
				id := fmt.Sprintf("m%d/%d", s, i)
				if err := c.Send(testutil.Context(t), client.Message{ID: id, Class: classes[i%3],
					Partner: fmt.Sprintf("p%d", i/3%4), Body: []byte(id)}); err != nil {
					t.Error(err)
					return
				}
			}
		})
	}
	all.Wait()
	if t.Failed() {
		return
	}
	mqtt := in.wait(t, 3*each)
	answers := map[string]string{}
	for id, a := range mqtt {
		if answers[id] = a[0].Outcome; len(a) != 1 {
			t.Errorf("%s: %v", id, a)
		}
	}
	for id, l := range locations {
		answers[id] = b.outcome(t, l)
	}
	effects := map[string]int{}
	for _, c := range b.Recorder.Calls() {
		id := c.Body
		if len(id) > 21+65 { // encrypted
			plain, err := u.decrypt([]byte(c.Body))
			if err != nil {
				t.Fatalf("message received by the partner can't be decrypted: %v", err)
			}
			id = string(plain)
		}
		if c.Effect {
			if effects[id]++; c.Class != "status" && effects[id] > 1 {
				t.Errorf("%s (%s) took effect %d times", id, c.Class, effects[id])
			}
		}
	}
	count := map[string]int{}
	for id, a := range answers {
		if count[a]++; a == "delivered" && effects[id] == 0 || a == "refused" && effects[id] > 0 {
			t.Errorf("%s is %s with %d effects", id, a, effects[id])
		}
	}
	t.Logf("%d pushes and %d publishes: %v", len(locations), len(mqtt), count)
	if count["delivered"] < len(answers)/2 || count["failed"] == 0 {
		t.Errorf("answers %v", count)
	}
}

func (b *pushBed) dialTLS(t *testing.T, id string, on func(client.Answer)) *client.Client {
	t.Helper()
	cert, err := tls.LoadX509KeyPair(b.dir+"/client.pem", b.dir+"/client.key")
	if err != nil {
		t.Fatal(err)
	}
	c, err := client.Dial(testutil.Context(t), b.Relay.TLSAddrs()[0], client.Options{ID: id, Expiry: 60, OnAnswer: on,
		TLS: &tls.Config{RootCAs: b.ca.CertPool(), ServerName: "127.0.0.1", Certificates: []tls.Certificate{cert}}})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Guards against wrong status codes for invalid push requests, and against error texts that
// don't name the field at fault.
func TestPushRequestErrors(t *testing.T) {
	b := newPushBed(t, 1, standin.Model{}, `limits: body: 4096`)
	other, _ := jwt.NewWithClaims(jwt.SigningMethodES256, jwt.MapClaims{"aud": b.origin,
		"exp": time.Now().Add(time.Hour).Unix()}).
		SignedString(parsePrivateKey(t, otherPrivate))
	none, _ := jwt.NewWithClaims(jwt.SigningMethodNone, jwt.MapClaims{"aud": b.origin,
		"exp": time.Now().Add(time.Hour).Unix()}).
		SignedString(jwt.UnsafeAllowNoneSignatureType)
	keyOffCurve := make([]byte, 65)
	keyOffCurve[0], keyOffCurve[5] = 4, 9
	signedToken := func(change func(jwt.MapClaims)) string { return b.token(t, change) }
	good := signedToken(nil)
	for _, c := range []struct {
		name, path, field, value string
		status                   int
		says                     string
	}{
		{"good", "/push/status/p0", "", "", 201, ""},
		{"unknown class", "/push/gossip/p0", "", "", 404, "names no class"},
		{"no TTL", "/push/status/p0", "TTL", "", 400, "TTL"},
		{"TTL", "/push/status/p0", "TTL", "-1", 400, "TTL"},
		{"Urgency", "/push/status/p0", "Urgency", "now", 400, "Urgency"},
		{"Topic", "/push/status/p0", "Topic", strings.Repeat("x", 33), 400, "Topic"},
		{"no id for a charge", "/push/charge/p0", "", "", 400, "Idempotency-Key"},
		{"receipt subscription", "/push/status/p0", "Push-Receipt", "/receipts/nobodys", 400, "Push-Receipt"},
		{"no token", "/push/status/p0", "Authorization", "", 401, "VAPID token"},
		{"audience", "/push/status/p0", "Authorization",
			signedToken(func(c jwt.MapClaims) { c["aud"] = "https://else.example" }), 401, "audience"},
		{"expired", "/push/status/p0", "Authorization",
			signedToken(func(c jwt.MapClaims) { c["exp"] = time.Now().Add(-time.Minute).Unix() }), 401, "expired"},
		{"never ends", "/push/status/p0", "Authorization",
			signedToken(func(c jwt.MapClaims) { c["exp"] = time.Now().Add(48 * time.Hour).Unix() }), 401, "24 h"},
		{"no end", "/push/status/p0", "Authorization", signedToken(func(c jwt.MapClaims) { delete(c, "exp") }), 401, "exp"},
		{"subject", "/push/status/p0", "Authorization",
			signedToken(func(c jwt.MapClaims) { c["sub"] = "gopher:x" }), 401, "sub"},
		{"alg none", "/push/status/p0", "Authorization", "vapid t=" + none + ", k=" + b.public, 401, "signing method"},
		{"another's signature", "/push/status/p0", "Authorization",
			"vapid t=" + other + ", k=" + b.public, 401, "signature"},
		{"key off the curve", "/push/status/p0", "Authorization",
			good[:strings.Index(good, ", k=")] + ", k=" + base64.RawURLEncoding.EncodeToString(keyOffCurve), 401, "P-256"},
		{"key's own resource", "/push/status/p0", "Authorization", "vapid t=" + other + ", k=" + otherPublic, 201, ""},
		{"not the key's resource", "/push/order/p0", "Authorization",
			"vapid t=" + other + ", k=" + otherPublic, 403, "may not"},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, text := b.do(t, "POST", c.path, "x", c.field, c.value)
			if r.StatusCode != c.status || !strings.Contains(text, c.says) {
				t.Errorf("%d %s, want %d with %q", r.StatusCode, text, c.status, c.says)
			}
		})
	}
	if r, text := b.do(t, "POST", "/push/status/p0", strings.Repeat("x", 5000)); r.StatusCode != 413 ||
		!strings.Contains(text, "4096") {
		t.Errorf("too long: %d %s", r.StatusCode, text)
	}
	// HTTP/1.1 is parsed by the project's own parser, unlike HTTP/2.
	raw, err := tls.Dial("tcp", b.origin[8:], &tls.Config{RootCAs: b.ca.CertPool(), NextProtos: []string{"http/1.1"}})
	if err != nil {
		t.Fatal(err)
	}
	defer raw.Close()
	post := "POST /push/status/p0 HTTP/1.1\r\nHost: x\r\nTTL: 5\r\nAuthorization: " + good + "\r\n"
	fmt.Fprint(raw, post+"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"+post+"Content-Length: 2\r\n\r\nok"+
		post+"Content-Length: 9000\r\n\r\n")
	text, _ := io.ReadAll(raw)
	if strings.Count(string(text), "HTTP/1.1 201 ") != 2 || strings.Count(string(text), "HTTP/1.1 413 ") != 1 {
		t.Errorf("pipelined: %s", text)
	}
}

// Guards the handling of receipts, repeated requests, cancellation, topics and TTLs.
func TestPushMessageLifecycle(t *testing.T) {
	b := newPushBed(t, 2, standin.Model{Service: 5 * ms}, "")
	hang := func(on bool) {
		for _, e := range b.Endpoints[2:] {
			e.Set(standin.Faults{Hang: on})
		}
	}
	t.Run("receipts", func(t *testing.T) {
		r, _ := b.do(t, "POST", "/push/charge/p0", "a", "Prefer", "respond-async", "Idempotency-Key", "a")
		link := r.Header.Get("Link")
		if r.StatusCode != 202 || !strings.Contains(link, `rel="urn:ietf:params:push:receipt"`) {
			t.Fatalf("%d, Link %s", r.StatusCode, link)
		}
		subscription := link[strings.Index(link, "<")+1 : strings.Index(link, ">")]
		first := r.Header.Get("Location")
		r, _ = b.do(t, "POST", "/push/charge/p0", "b", "Push-Receipt", b.origin+subscription,
			"Idempotency-Key", "b", "Prefer", "respond-async")
		want := map[string]bool{first: true, r.Header.Get("Location"): true}
		after := 0
		for len(want) > 0 {
			_, text := b.do(t, "GET", fmt.Sprintf("%s?after=%d", subscription, after), "", "Prefer", "wait=10")
			var got struct {
				Receipts []struct {
					Seq, Status     int
					Message, Answer string
				}
			}
			if err := json.Unmarshal([]byte(text), &got); err != nil || len(got.Receipts) == 0 {
				t.Fatalf("%s: %v", text, err)
			}
			for _, x := range got.Receipts {
				if !want[x.Message] || x.Status != 204 || x.Answer != "delivered" {
					t.Errorf("receipt %+v", x)
				}
				delete(want, x.Message)
				after = x.Seq
			}
		}
		// The sender lost its connection before the 201 and repeats the request.
		r, _ = b.do(t, "POST", "/push/charge/p0", "a", "Idempotency-Key", "a")
		if r.Header.Get("Location") != first {
			t.Errorf("again: %s, before %s", r.Header.Get("Location"), first)
		}
	})
	t.Run("TTL", func(t *testing.T) {
		r, _ := b.do(t, "POST", "/push/status/p0", "t", "TTL", "3600")
		if got := r.Header.Get("TTL"); got != "6" { // limited by the class's deadline of 6 s
			t.Errorf("granted TTL %s", got)
		}
		r, _ = b.do(t, "POST", "/push/status/p0", "now", "TTL", "0")
		if a := b.outcome(t, r.Header.Get("Location")); a != "delivered" {
			t.Errorf("TTL 0, partner available: %s", a)
		}
		for _, e := range b.Endpoints[:2] {
			b.SetState(e.Addr, "draining")
		}
		b.WriteList()
		time.Sleep(300 * ms)
		at := time.Now()
		r, _ = b.do(t, "POST", "/push/status/p0", "never", "TTL", "0")
		if a := b.outcome(t, r.Header.Get("Location")); a != "refused" || time.Since(at) > 2*time.Second {
			t.Errorf("TTL 0, partner not available: %s after %v", a, time.Since(at))
		}
		for _, e := range b.Endpoints[:2] {
			b.SetState(e.Addr, "ready")
		}
		b.WriteList()
	})
	t.Run("topic and DELETE", func(t *testing.T) {
		hang(true)
		post := func(body string) string {
			r, text := b.do(t, "POST", "/push/charge/p1", body, "Topic", "news", "Idempotency-Key", body, "Order-Key", "k")
			if r.StatusCode != 201 {
				t.Fatalf("%d %s", r.StatusCode, text)
			}
			return r.Header.Get("Location")
		}
		inFlight := post("flying") // its call hangs
		waitCalls(t, b.Env, "flying", 0)
		waiting := post("waiting") // queued behind it by the same order key
		newest := post("newest")
		if a := b.outcome(t, waiting); a != "refused" {
			t.Errorf("queued message replaced by its topic: %s", a)
		}
		if r, _ := b.do(t, "DELETE", newest, ""); r.StatusCode != 204 {
			t.Errorf("DELETE: %d", r.StatusCode)
		}
		if a := b.outcome(t, newest); a != "refused" {
			t.Errorf("cancelled message: %s", a)
		}
		if a := b.outcome(t, inFlight); a != "failed" {
			t.Errorf("message in flight: %s", a)
		}
		if r, _ := b.do(t, "DELETE", inFlight, ""); r.StatusCode != 410 {
			t.Errorf("DELETE of a message that has ended: %d", r.StatusCode)
		}
		hang(false)
		for _, c := range b.Recorder.Calls() {
			if c.Body == "waiting" || c.Body == "newest" {
				t.Errorf("%s was sent", c.Body)
			}
		}
	})
	t.Run("identities of the fronts are distinct", func(t *testing.T) {
		in := newInbox()
		c := dial(t, b.Env, client.Options{ID: b.public, Expiry: 60, OnAnswer: in.receive})
		defer c.Close()
		if err := c.Send(testutil.Context(t), client.Message{ID: "same", Class: "charge",
			Partner: "p0", Body: []byte("same")}); err != nil {
			t.Fatal(err)
		}
		in.wait(t, 1)
		r, _ := b.do(t, "POST", "/push/charge/p0", "same", "Idempotency-Key", "same")
		b.outcome(t, r.Header.Get("Location"))
		n := 0
		for _, c := range b.Recorder.Calls() {
			if c.Body == "same" {
				n++
			}
		}
		if n != 2 {
			t.Errorf("%d calls for two messages", n)
		}
	})
}

// Guards against differences between the fronts: the same sequence of messages must lead to
// the same answers and the same calls over MQTT and over Web Push.
func TestFrontsGiveSameAnswers(t *testing.T) {
	type step struct{ class, id, expiry string }
	script := []step{{"status", "1", "6"}, {"order", "2", "6"},
		{"charge", "3", "6"}, {"charge", "3", "6"}, {"charge", "4", "6"},
		{"status", "5", "6"}, {"charge", "6", "1"}, {"order", "7", "6"}, {"charge", "7", "6"}}
	run := func(send func(b *pushBed, s step) string) (log []string) {
		b := newPushBed(t, 1, standin.Model{Service: 2 * ms, DedupWindow: 10 * time.Second}, `relay: {seed: 7, attempts: 3}`)
		b.SetState(b.Endpoints[1].Addr, "draining") // a single endpoint, so that the choice is not random
		b.WriteList()
		time.Sleep(300 * ms)
		for i, s := range script {
			b.Endpoints[0].Set([]standin.Faults{{}, {}, {}, {}, {Errors: 1}, {}, {Hang: true}, {}, {}}[i])
			log = append(log, s.class+" "+s.id+" "+send(b, s))
		}
		for _, c := range b.Recorder.Calls() {
			log = append(log, c.Class+" "+c.Body+" "+c.Outcome)
		}
		return log
	}
	mqtt := run(func(b *pushBed, s step) string {
		in := newInbox()
		c := dial(t, b.Env, client.Options{ID: "c", Expiry: 60, OnAnswer: in.receive})
		defer c.Close()
		m := client.Message{ID: s.id + s.class, Class: s.class, Partner: "p0", Body: []byte(s.id),
			Expiry: uint32(s.expiry[0] - '0')}
		if err := c.Send(testutil.Context(t), m); err != nil {
			t.Fatal(err)
		}
		return in.waitFor(t, 1, m.ID)[m.ID][0].Outcome
	})
	push := run(func(b *pushBed, s step) string {
		r, _ := b.do(t, "POST", "/push/"+s.class+"/p0", s.id, "TTL", s.expiry, "Idempotency-Key", s.id+s.class)
		return b.outcome(t, r.Header.Get("Location"))
	})
	if !slices.Equal(mqtt, push) {
		t.Errorf("over MQTT:\n%s\nover Web Push:\n%s", strings.Join(mqtt, "\n"), strings.Join(push, "\n"))
	}
	t.Log(strings.Join(mqtt, "; "))
}

// Guards against a relay that ignores a renewed certificate or accepts an invalid one, and
// against connections lost by the replacement. The last valid certificate stays in force.
func TestCertificateReplaced(t *testing.T) {
	b := newPushBed(t, 1, standin.Model{}, "")
	serial := func() string {
		c, err := tls.Dial("tcp", b.origin[8:], &tls.Config{RootCAs: b.ca.CertPool(), ServerName: "127.0.0.1"})
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		return c.ConnectionState().PeerCertificates[0].SerialNumber.String()
	}
	established := b.dialTLS(t, "standing", nil)
	defer established.Close()
	old := serial()
	b.issue(t, "server", time.Hour)
	now := old
	for range 100 {
		if now = serial(); now != old {
			break
		}
		time.Sleep(50 * ms)
	}
	if now == old {
		t.Fatal("the new certificate is not in use after 100 handshakes 50 ms apart")
	}
	key, _ := os.ReadFile(b.dir + "/server.key")
	// A pair is made elsewhere and moved into place: at no moment is it valid where the relay reads it.
	prepare := func(keyMode os.FileMode) string {
		dir := t.TempDir()
		_, keyFile, err := b.ca.Issue(dir, "server", time.Now().Add(-2*time.Hour), time.Now().Add(time.Hour), "127.0.0.1")
		if err = errors.Join(err, os.Chmod(keyFile, keyMode)); err != nil {
			t.Fatal(err)
		}
		return dir
	}
	install := func(from string, files ...string) {
		for _, file := range files {
			if err := os.Rename(from+"/"+file, b.dir+"/"+file); err != nil {
				t.Fatal(err)
			}
		}
	}
	for name, corrupt := range map[string]func(){
		"half a file": func() { _ = os.WriteFile(b.dir+"/server.pem", []byte("-----BEGIN CERT"), 0o644) },
		"expired":     func() { b.issue(t, "server", -time.Hour) },
		"another's key": func() {
			_ = os.WriteFile(b.dir+"/server.key", key, 0o600)
			install(prepare(0o600), "server.pem")
		},
		"open to anybody": func() { install(prepare(0o644), "server.pem", "server.key") },
	} {
		corrupt()
		time.Sleep(2200 * ms)
		if got := serial(); got != now {
			t.Errorf("%s: the certificate in use changed", name)
		}
	}
	if err := established.Send(testutil.Context(t), client.Message{ID: "1", Class: "status", Partner: "p0"}); err != nil {
		t.Errorf("connection from before the replacement: %v", err)
	}
	for name, want := range map[string]string{"server.pem": "expired", "server.key": "chmod"} {
		if name == "server.pem" {
			b.issue(t, "bad", -time.Hour)
		} else {
			b.issue(t, "bad", time.Hour)
			_ = os.Chmod(b.dir+"/bad.key", 0o644)
		}
		if _, err := new(keys.CertStore).LoadPair(b.dir+"/bad.pem", b.dir+"/bad.key"); err == nil ||
			!strings.Contains(err.Error(), want) {
			t.Errorf("loaded at start: %v, want an error with %s", err, want)
		}
	}
}

// Guards against denial of service by stalled TLS handshakes, by many handshakes at once and
// by a client that opens HTTP/2 streams only to reset them: other clients are served
// meanwhile.
func TestHostileTLS(t *testing.T) {
	b := newPushBed(t, 1, standin.Model{}, `webpush: handshake: "2s"`)
	var stalled []net.Conn
	for range 200 {
		c, err := net.Dial("tcp", b.origin[8:])
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_, _ = c.Write([]byte{22, 3, 1, 2, 0, 1}) // the start of a ClientHello
		stalled = append(stalled, c)
	}
	checkServed := func(what string) {
		t.Helper()
		if r, text := b.do(t, "POST", "/push/status/p0", "x"); r.StatusCode != 201 {
			t.Errorf("%s: %d %s", what, r.StatusCode, text)
		}
	}
	checkServed("during stalled handshakes")
	var all sync.WaitGroup
	var mu sync.Mutex
	var bad []error
	for range 20 {
		all.Go(func() {
			for range 15 {
				d := tls.Dialer{Config: &tls.Config{RootCAs: b.ca.CertPool(), ServerName: "127.0.0.1"}}
				ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
				c, err := d.DialContext(ctx, "tcp", b.origin[8:])
				cancel()
				if err != nil {
					mu.Lock()
					bad = append(bad, err)
					mu.Unlock()
					continue
				}
				_ = c.Close()
			}
		})
	}
	checkServed("during many handshakes")
	all.Wait()
	if len(bad) > 0 {
		t.Errorf("%d of 300 handshakes failed: %v", len(bad), bad)
	}
	for _, c := range stalled {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		if _, err := io.Copy(io.Discard, c); errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatal("a stalled handshake was not closed after its timeout")
		}
	}
	// Rapid reset (CVE-2023-44487): streams are opened and reset at once.
	c, err := tls.Dial("tcp", b.origin[8:], &tls.Config{RootCAs: b.ca.CertPool(), NextProtos: []string{"h2"}})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, _ = io.WriteString(c, http2.ClientPreface)
	f := http2.NewFramer(c, c)
	_ = f.WriteSettings()
	go func() { _, _ = io.Copy(io.Discard, c) }()
	// :method GET, :scheme https, :path /, :authority "x", as static HPACK.
	head := []byte{0x82, 0x87, 0x84, 0x41, 1, 'x'}
	var werr error
	for id := uint32(1); id < 200001 && werr == nil; id += 2 {
		if werr = f.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: head,
			EndHeaders: true, EndStream: true}); werr == nil {
			werr = f.WriteRSTStream(id, http2.ErrCodeCancel)
		}
	}
	if werr == nil {
		t.Error("100,000 streams could be opened and reset on one connection")
	}
	checkServed("after rapid resets")
}
