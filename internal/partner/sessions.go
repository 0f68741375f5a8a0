package partner

import (
	"crypto/tls"
	"fmt"
	"sync"
)

// sessions caches TLS sessions for resumption, by endpoint and address: two addresses of one name
// may be two machines with separate ticket keys. A session is not resumed after the partner's
// certificate authorities changed, nor with another partner.
type sessions struct {
	tls.ClientSessionCache
	mu         sync.Mutex
	roots      map[int]any // by partner: the certificate authorities last used
	generation map[int]int // by partner: how often they changed
}

func newSessions(most int) *sessions {
	return &sessions{ClientSessionCache: tls.NewLRUClientSessionCache(max(1, most)),
		roots: map[int]any{}, generation: map[int]int{}}
}

// scopedCache is the part of a session cache whose keys have a prefix.
type scopedCache struct {
	all    tls.ClientSessionCache
	prefix string
}

// of returns the session cache of one endpoint and address of a partner.
func (s *sessions) of(partner int, roots any, where string) tls.ClientSessionCache {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.roots[partner] != roots {
		s.roots[partner] = roots
		s.generation[partner]++
	}
	return scopedCache{s.ClientSessionCache, fmt.Sprintf("%d %d %s ", partner, s.generation[partner], where)}
}

func (s scopedCache) Get(key string) (*tls.ClientSessionState, bool) {
	return s.all.Get(s.prefix + key)
}
func (s scopedCache) Put(key string, cs *tls.ClientSessionState) { s.all.Put(s.prefix+key, cs) }
