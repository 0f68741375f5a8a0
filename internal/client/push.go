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

// PushSession is the state that an application server keeps across connections: its
// VAPID key, its receipt subscription and the messages that have no receipt yet.
type PushSession struct {
	key    *ecdsa.PrivateKey
	public string

	mu            sync.Mutex
	receiptsPath  string            // path of the receipt subscription; empty before the first message is accepted
	lastSeq       uint64            // highest sequence number of the receipts received
	idByResource  map[string]string // message ID by message resource
	earlyReceipts map[string]Answer // by message resource; receipts that arrived before the response to the POST
}

// NewPushSession returns a session with a new VAPID key.
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
		idByResource: map[string]string{}, earlyReceipts: map[string]Answer{}}, nil
}

// Public returns the VAPID public key, in unpadded base64url.
func (s *PushSession) Public() string { return s.public }

func (s *PushSession) token(origin string) (string, error) {
	t, err := jwt.NewWithClaims(jwt.SigningMethodES256, jwt.MapClaims{"aud": origin,
		"exp": time.Now().Add(12 * time.Hour).Unix(), "sub": "mailto:sender@example.org"}).SignedString(s.key)
	return fmt.Sprintf("vapid t=%s, k=%s", t, s.public), err
}

// Push is a client that hands messages in over Web Push and polls for the receipts.
type Push struct {
	origin        string
	authorization string
	http          *http.Client
	onAnswer      func(Answer)
	session       *PushSession
	stop          context.CancelFunc
	ctx           context.Context
	lostOnce      sync.Once
	lost          chan struct{}
	pollOnce      sync.Once
}

// DialPush connects to an origin such as "https://127.0.0.1:8443". It returns an error
// if no server responds there.
func DialPush(origin string, cfg *tls.Config, s *PushSession, on func(Answer)) (*Push, error) {
	auth, err := s.token(origin)
	if err != nil {
		return nil, fmt.Errorf("client: %w", err)
	}
	p := &Push{origin: origin, authorization: auth, onAnswer: on, session: s, lost: make(chan struct{}),
		http: &http.Client{Transport: &http.Transport{TLSClientConfig: cfg, ForceAttemptHTTP2: true}}}
	p.ctx, p.stop = context.WithCancel(context.Background())
	r, err := p.do(p.ctx, http.MethodGet, "/push/-/-", nil) // any response shows that the relay is reachable
	if err != nil {
		p.markLost()
		return nil, err
	}
	_ = r.Body.Close()
	s.mu.Lock()
	known := s.receiptsPath != ""
	s.mu.Unlock()
	if known {
		p.pollOnce.Do(func() { go p.pollReceipts() })
	}
	return p, nil
}

func (p *Push) do(ctx context.Context, method, path string, body []byte, fields ...string) (*http.Response, error) {
	q, err := http.NewRequestWithContext(ctx, method, p.origin+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("client: %w", err)
	}
	q.Header.Set("Authorization", p.authorization)
	for i := 0; i < len(fields); i += 2 {
		q.Header.Set(fields[i], fields[i+1])
	}
	r, err := p.http.Do(q)
	if err != nil {
		return nil, fmt.Errorf("client: %w", err)
	}
	return r, nil
}

func (p *Push) markLost() {
	p.lostOnce.Do(func() {
		close(p.lost)
		p.stop()
		p.http.CloseIdleConnections()
	})
}

// Lost returns a channel that is closed when a request to the relay has failed or the client was closed.
func (p *Push) Lost() <-chan struct{} { return p.lost }

// Close ends the connection. The relay keeps the receipts for the next one.
func (p *Push) Close() { p.markLost() }

// Cut is the same as Close: HTTP has no orderly end of a session.
func (p *Push) Cut() { p.markLost() }

// Send hands a message in. After an error the message was either not accepted or its
// state is unknown. If the relay no longer knows the receipt subscription, Send retries
// once without it, which creates a new one.
func (p *Push) Send(ctx context.Context, m Message) error {
	ttl := "86400"
	if m.Expiry > 0 {
		ttl = strconv.Itoa(int(m.Expiry))
	}
	for range 2 {
		p.session.mu.Lock()
		receiptsPath := p.session.receiptsPath
		p.session.mu.Unlock()
		fields := []string{"TTL", ttl, "Idempotency-Key", m.ID, "Prefer", "respond-async"}
		if m.Key != "" {
			fields = append(fields, "Order-Key", m.Key)
		}
		if receiptsPath != "" {
			fields = append(fields, "Push-Receipt", p.origin+receiptsPath)
		}
		r, err := p.do(ctx, http.MethodPost, "/push/"+m.Class+"/"+m.Partner, m.Body, fields...)
		if err != nil {
			p.markLost()
			return err
		}
		text, _ := io.ReadAll(io.LimitReader(r.Body, 1000))
		_ = r.Body.Close()
		if r.StatusCode == http.StatusBadRequest && receiptsPath != "" && strings.Contains(string(text), "Push-Receipt") {
			p.session.mu.Lock() // the relay has restarted and lost the subscription
			p.session.receiptsPath, p.session.lastSeq = "", 0
			p.session.mu.Unlock()
			continue
		}
		if r.StatusCode != http.StatusAccepted && r.StatusCode != http.StatusCreated {
			return fmt.Errorf("client: %s: %s", r.Status, text)
		}
		p.accepted(m.ID, r)
		return nil
	}
	return fmt.Errorf("client: relay rejected the receipt subscription twice")
}

// accepted records an accepted message, reports a receipt that arrived before the response,
// and starts polling with the first subscription.
func (p *Push) accepted(id string, r *http.Response) {
	message := r.Header.Get("Location")
	p.session.mu.Lock()
	if link := r.Header.Get("Link"); p.session.receiptsPath == "" && strings.HasPrefix(link, "<") {
		p.session.receiptsPath, _, _ = strings.Cut(link[1:], ">")
	}
	p.session.idByResource[message] = id
	a, early := p.session.earlyReceipts[message]
	delete(p.session.earlyReceipts, message)
	receiptsPath := p.session.receiptsPath
	p.session.mu.Unlock()
	if early {
		a.ID = id
		p.onAnswer(a)
	}
	if receiptsPath != "" {
		p.pollOnce.Do(func() { go p.pollReceipts() })
	}
}

// pollReceipts polls for receipts until the connection ends.
func (p *Push) pollReceipts() {
	defer p.markLost()
	for p.ctx.Err() == nil {
		p.session.mu.Lock()
		receiptsPath := p.session.receiptsPath
		path := fmt.Sprintf("%s?after=%d", receiptsPath, p.session.lastSeq)
		p.session.mu.Unlock()
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
			a := Answer{Outcome: x.Answer, RetryAfter: time.Duration(x.RetryAfterMS) * time.Millisecond, At: time.Now()}
			p.session.mu.Lock()
			if p.session.receiptsPath == receiptsPath { // sequence numbers are valid within one subscription only
				p.session.lastSeq = max(p.session.lastSeq, x.Seq)
			}
			id, known := p.session.idByResource[x.Message]
			if !known {
				p.session.earlyReceipts[x.Message] = a
			}
			p.session.mu.Unlock()
			if known {
				a.ID = id
				p.onAnswer(a)
			}
		}
	}
}
