package client

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/golang-jwt/jwt/v5"
)

// PushSession is what an application server keeps from one connection to the
// next: its key, its receipt subscription and the messages that it awaits.
type PushSession struct {
	key    *ecdsa.PrivateKey
	public string

	mu    sync.Mutex
	box   string            // path of the receipt subscription
	after uint64            // receipts seen
	ids   map[string]string // own id by message resource
	early map[string]Answer // receipts that came before the POST's own answer
}

// NewPushSession makes a VAPID key.
func NewPushSession() (*PushSession, error) {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	d, err := k.ECDH()
	if err != nil {
		return nil, err
	}
	return &PushSession{key: k, public: base64.RawURLEncoding.EncodeToString(d.PublicKey().Bytes()),
		ids: map[string]string{}, early: map[string]Answer{}}, nil
}

// Public is the VAPID public key.
func (s *PushSession) Public() string { return s.public }

func (s *PushSession) token(origin string) (string, error) {
	t, err := jwt.NewWithClaims(jwt.SigningMethodES256, jwt.MapClaims{"aud": origin,
		"exp": time.Now().Add(12 * time.Hour).Unix(), "sub": "mailto:sender@example.org"}).SignedString(s.key)
	return fmt.Sprintf("vapid t=%s, k=%s", t, s.public), err
}

// Push hands messages in over Web Push and polls for the receipts.
type Push struct {
	origin string
	auth   string
	http   *http.Client
	on     func(Answer)
	s      *PushSession
	stop   context.CancelFunc
	ctx    context.Context
	once   sync.Once
	lost   chan struct{}
	poll   sync.Once
}

// DialPush begins at an origin such as "https://127.0.0.1:8443".
func DialPush(origin string, cfg *tls.Config, s *PushSession, on func(Answer)) (*Push, error) {
	auth, err := s.token(origin)
	if err != nil {
		return nil, fmt.Errorf("client: %w", err)
	}
	p := &Push{origin: origin, auth: auth, on: on, s: s, lost: make(chan struct{}),
		http: &http.Client{Transport: &http.Transport{TLSClientConfig: cfg, ForceAttemptHTTP2: true}}}
	p.ctx, p.stop = context.WithCancel(context.Background())
	r, err := p.do(p.ctx, http.MethodGet, "/push/-/-", nil) // is anybody there?
	if err != nil {
		p.gone()
		return nil, err
	}
	_ = r.Body.Close()
	s.mu.Lock()
	known := s.box != ""
	s.mu.Unlock()
	if known {
		p.poll.Do(func() { go p.receive() })
	}
	return p, nil
}

func (p *Push) do(ctx context.Context, method, path string, body []byte, fields ...string) (*http.Response, error) {
	q, err := http.NewRequestWithContext(ctx, method, p.origin+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("client: %w", err)
	}
	q.Header.Set("Authorization", p.auth)
	for i := 0; i < len(fields); i += 2 {
		q.Header.Set(fields[i], fields[i+1])
	}
	r, err := p.http.Do(q)
	if err != nil {
		return nil, fmt.Errorf("client: %w", err)
	}
	return r, nil
}

func (p *Push) gone() {
	p.once.Do(func() {
		close(p.lost)
		p.stop()
		p.http.CloseIdleConnections()
	})
}

// Lost is closed once the relay does not answer any more.
func (p *Push) Lost() <-chan struct{} { return p.lost }

// Close and Cut end the connection; receipts wait at the relay.
func (p *Push) Close() { p.gone() }
func (p *Push) Cut()   { p.gone() }

// Send hands a message in. An error means that it was not taken, or that
// nobody knows.
func (p *Push) Send(ctx context.Context, m Message) error {
	ttl := "86400"
	if m.Expiry > 0 {
		ttl = strconv.Itoa(int(m.Expiry))
	}
	for range 2 {
		p.s.mu.Lock()
		box := p.s.box
		p.s.mu.Unlock()
		fields := []string{"TTL", ttl, "Idempotency-Key", m.ID, "Prefer", "respond-async"}
		if m.Key != "" {
			fields = append(fields, "Order-Key", m.Key)
		}
		if box != "" {
			fields = append(fields, "Push-Receipt", p.origin+box)
		}
		r, err := p.do(ctx, http.MethodPost, "/push/"+m.Class+"/"+m.Partner, m.Body, fields...)
		if err != nil {
			p.gone()
			return err
		}
		text, _ := io.ReadAll(io.LimitReader(r.Body, 1000))
		_ = r.Body.Close()
		if r.StatusCode == http.StatusBadRequest && box != "" && strings.Contains(string(text), "Push-Receipt") {
			p.s.mu.Lock() // the relay was started anew: so is the subscription
			p.s.box, p.s.after = "", 0
			p.s.mu.Unlock()
			continue
		}
		if r.StatusCode != http.StatusAccepted && r.StatusCode != http.StatusCreated {
			return fmt.Errorf("client: %s: %s", r.Status, text)
		}
		p.took(m.ID, r)
		return nil
	}
	return fmt.Errorf("client: no receipt subscription to be had")
}

func (p *Push) took(id string, r *http.Response) {
	message := r.Header.Get("Location")
	p.s.mu.Lock()
	if link := r.Header.Get("Link"); p.s.box == "" && strings.HasPrefix(link, "<") {
		p.s.box, _, _ = strings.Cut(link[1:], ">")
	}
	p.s.ids[message] = id
	a, early := p.s.early[message]
	delete(p.s.early, message)
	box := p.s.box
	p.s.mu.Unlock()
	if early {
		a.ID = id
		p.on(a)
	}
	if box != "" {
		p.poll.Do(func() { go p.receive() })
	}
}

// receive polls until the connection ends.
func (p *Push) receive() {
	defer p.gone()
	for p.ctx.Err() == nil {
		p.s.mu.Lock()
		box := p.s.box
		path := fmt.Sprintf("%s?after=%d", box, p.s.after)
		p.s.mu.Unlock()
		ctx, cancel := context.WithTimeout(p.ctx, 15*time.Second)
		r, err := p.do(ctx, http.MethodGet, path, nil, "Prefer", "wait=5")
		if err != nil {
			cancel()
			return
		}
		var got struct {
			Receipts []struct {
				Seq          uint64
				Message      string
				Answer       string
				RetryAfterMS int64 `json:"retry_after_ms"`
			}
		}
		err = json.NewDecoder(r.Body).Decode(&got)
		_ = r.Body.Close()
		cancel()
		if err != nil || r.StatusCode != http.StatusOK {
			return
		}
		for _, x := range got.Receipts {
			a := Answer{Answer: x.Answer, After: time.Duration(x.RetryAfterMS) * time.Millisecond, At: time.Now()}
			p.s.mu.Lock()
			if p.s.box == box { // else its numbers are another subscription's
				p.s.after = max(p.s.after, x.Seq)
			}
			id, known := p.s.ids[x.Message]
			if !known {
				p.s.early[x.Message] = a
			}
			p.s.mu.Unlock()
			if known {
				a.ID = id
				p.on(a)
			}
		}
	}
}
