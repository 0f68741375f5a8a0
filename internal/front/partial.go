package front

import (
	"sync"
	"sync/atomic"
)

// PartialInput bounds the memory of requests and packets that have not arrived completely, over all connections
// of a front: clients may stop within them, and as many connections as a front has may each hold the longest one.
// It is safe for concurrent use.
type PartialInput struct {
	limit int64
	total atomic.Int64

	mu      sync.Mutex
	holders map[*PartialHolder]struct{}
}

// PartialHolder is the share of one connection in a PartialInput.
type PartialHolder struct {
	input *PartialInput
	bytes atomic.Int64
	end   func() bool
}

// NewPartialInput returns a PartialInput with a limit in bytes, 0 for none.
func NewPartialInput(limit int64) *PartialInput {
	return &PartialInput{limit: limit, holders: map[*PartialHolder]struct{}{}}
}

// Join adds a connection. end gives its partial input up, and reports whether it did: the input may have become
// complete meanwhile.
func (p *PartialInput) Join(end func() bool) *PartialHolder {
	h := &PartialHolder{input: p, end: end}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holders[h] = struct{}{}
	return h
}

// Bytes returns the bytes that all connections hold.
func (p *PartialInput) Bytes() int64 { return p.total.Load() }

// Set states how many bytes the connection holds.
func (h *PartialHolder) Set(bytes int) {
	if change := int64(bytes) - h.bytes.Swap(int64(bytes)); change != 0 {
		h.input.total.Add(change)
	}
}

// Leave removes the connection, which holds nothing any more.
func (h *PartialHolder) Leave() {
	h.input.mu.Lock()
	delete(h.input.holders, h)
	h.input.mu.Unlock()
	h.Set(0)
}

// Shed ends the connections that hold most, until the others are within the limit. The caller holds no lock that
// the ends of connections take.
func (p *PartialInput) Shed() {
	tried := map[*PartialHolder]bool{}
	for p.limit > 0 && p.total.Load() > p.limit {
		largest := p.largest(tried)
		if largest == nil {
			return
		}
		tried[largest] = true
		if largest.end() {
			largest.Set(0)
		}
	}
}

// largest returns the connection that holds most of those not tried yet, nil if none holds anything.
func (p *PartialInput) largest(tried map[*PartialHolder]bool) (largest *PartialHolder) {
	p.mu.Lock()
	defer p.mu.Unlock()
	most := int64(0)
	for h := range p.holders {
		if bytes := h.bytes.Load(); bytes > most && !tried[h] {
			largest, most = h, bytes
		}
	}
	return largest
}
