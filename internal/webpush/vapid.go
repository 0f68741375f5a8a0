package webpush

import (
	"crypto/ecdh"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"math/big"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/golang-jwt/jwt/v5"
)

// Sender is the application server that a VAPID token identifies (RFC 8292).
type Sender struct {
	Key     string    // public key, base64url of the uncompressed point
	Subject string    // contact, a mailto: or https: URI, or empty
	Until   time.Time // expiry of the token
}

// maxTokenLifetime is the longest time until a token's expiry (RFC 8292, 2).
const maxTokenLifetime = 24 * time.Hour

// maxTokens is the largest number of verified tokens that are cached.
const maxTokens = 4096

// vapid verifies tokens. A valid token is cached until it expires, as application servers
// use one for hours.
type vapid struct {
	audience []string // accepted audiences
	mu       sync.Mutex
	verified map[[32]byte]Sender
}

func newVAPID(audience []string) *vapid {
	return &vapid{audience: audience, verified: map[[32]byte]Sender{}}
}

var errNoToken = errors.New("Authorization: a VAPID token is needed: vapid t=TOKEN, k=KEY")

// check verifies the token of an Authorization field (RFC 8292, 3).
func (v *vapid) check(field string, now time.Time) (Sender, error) {
	scheme, rest, _ := strings.Cut(field, " ")
	if !strings.EqualFold(scheme, "vapid") {
		return Sender{}, errNoToken
	}
	var token, key string
	for part := range strings.SplitSeq(rest, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		value = strings.Trim(value, `"`)
		switch name {
		case "t":
			token = value
		case "k":
			key = value
		}
	}
	if token == "" || key == "" {
		return Sender{}, errNoToken
	}
	sum := sha256.Sum256([]byte(field))
	v.mu.Lock()
	s, cached := v.verified[sum]
	v.mu.Unlock()
	if cached {
		if !now.Before(s.Until) {
			return Sender{}, errors.New("Authorization: token is expired")
		}
		return s, nil
	}
	s, err := v.verify(token, key, now)
	if err != nil {
		return Sender{}, fmt.Errorf("Authorization: %w", err)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.verified) >= maxTokens {
		for old, g := range v.verified {
			if now.After(g.Until) {
				delete(v.verified, old)
			}
		}
		if len(v.verified) >= maxTokens {
			clear(v.verified)
		}
	}
	v.verified[sum] = s
	return s, nil
}

// verify checks the signature and claims of a token signed with key, a public key in
// base64url.
func (v *vapid) verify(token, key string, now time.Time) (Sender, error) {
	raw, err := base64.RawURLEncoding.DecodeString(strings.TrimRight(key, "="))
	if err != nil {
		return Sender{}, fmt.Errorf("k is no base64url: %w", err)
	}
	if _, err := ecdh.P256().NewPublicKey(raw); err != nil { // not a point of the curve, or infinity
		return Sender{}, fmt.Errorf("k is no P-256 public key: %w", err)
	}
	public := &ecdsa.PublicKey{Curve: elliptic.P256(), X: new(big.Int).SetBytes(raw[1:33]),
		Y: new(big.Int).SetBytes(raw[33:65])}
	var claims jwt.RegisteredClaims
	_, err = jwt.NewParser(jwt.WithValidMethods([]string{"ES256"}), jwt.WithExpirationRequired(),
		jwt.WithAudience(v.audience...), jwt.WithTimeFunc(func() time.Time { return now })).
		ParseWithClaims(token, &claims, func(*jwt.Token) (any, error) { return public, nil })
	if err != nil {
		return Sender{}, err
	}
	until := claims.ExpiresAt.Time
	if until.After(now.Add(maxTokenLifetime + time.Minute)) {
		return Sender{}, errors.New("exp is over 24 h away")
	}
	if claims.Subject != "" {
		if u, err := url.Parse(claims.Subject); err != nil || u.Scheme != "mailto" && u.Scheme != "https" {
			return Sender{}, fmt.Errorf("sub %.60q is neither mailto: nor https:", claims.Subject)
		}
	}
	return Sender{Key: base64.RawURLEncoding.EncodeToString(raw), Subject: claims.Subject, Until: until}, nil
}
