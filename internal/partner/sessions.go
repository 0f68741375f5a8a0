package partner

import (
	"crypto/tls"
	"fmt"
	"sync"
)

// sessions are TLS sessions to resume, by endpoint and address: two addresses of
// one name may be two machines with keys of their own. With new authorities, or
// another partner's, none is resumed.
type sessions struct {
	tls.ClientSessionCache
	mu    sync.Mutex
	roots map[int]any // by partner: the authorities last seen
	turn  map[int]int // how often they changed
}

func newSessions(most int) *sessions {
	return &sessions{ClientSessionCache: tls.NewLRUClientSessionCache(max(1, most)), roots: map[int]any{}, turn: map[int]int{}}
}

type scoped struct {
	all    tls.ClientSessionCache
	prefix string
}

func (s *sessions) of(partner int, roots any, where string) tls.ClientSessionCache {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.roots[partner] != roots {
		s.roots[partner] = roots
		s.turn[partner]++
	}
	return scoped{s.ClientSessionCache, fmt.Sprintf("%d %d %s ", partner, s.turn[partner], where)}
}

func (s scoped) Get(key string) (*tls.ClientSessionState, bool) { return s.all.Get(s.prefix + key) }
func (s scoped) Put(key string, cs *tls.ClientSessionState)     { s.all.Put(s.prefix+key, cs) }
