package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"basaltcross.example/basaltcross/internal/http1"
	"basaltcross.example/basaltcross/internal/ledger"
	"basaltcross.example/basaltcross/internal/lifecycle"
)

// notice is one line to the platform.
type notice struct {
	Ref    string `json:"ref"`
	Result string `json:"result"`
	WaitMs int64  `json:"wait_ms,omitempty"`
}

// Notices hands final answers to the platform, in order and in batches, until each
// batch was answered with 204.
type Notices struct {
	client *Client
	most   int
	over   func(identity string)
	failed func(error)

	mu   sync.Mutex
	list []notice
	wake chan struct{}
}

const (
	// mostBatch bytes of notices go in one request: all that are owed, as a rule, so that
	// none waits behind others whose answer does not come. A body holds 64 KiB (PROTOCOL).
	mostBatch = 60 << 10
	// answerTime is how long the answer to one may take: it comes at once, and a notice
	// counts until 300 ms after its message's time (PROTOCOL), so that a connection that
	// fell silent leaves room for another try.
	answerTime = 150 * time.Millisecond
	// mostRest is the longest rest between two tries, for the same reason.
	mostRest = 25 * time.Millisecond
)

// NewNotices makes a queue for most notices; over is told, from Run, of each that
// was handed over.
func NewNotices(client *Client, most int, over func(identity string), failed func(error)) *Notices {
	return &Notices{client: client, most: most, over: over, failed: failed, wake: make(chan struct{}, 1)}
}

// Room tells whether a message may be taken that may come to need a notice.
// Notices of those that were taken are never turned away.
func (n *Notices) Room() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.list) < n.most
}

// Len is the number of notices that are owed.
func (n *Notices) Len() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.list)
}

// Add puts one at the end; it never blocks.
func (n *Notices) Add(identity string, a ledger.Answer) {
	one := notice{Ref: identity, Result: "dead"}
	if a.Verdict == ledger.Refused {
		one.Result = "bounced"
		one.WaitMs = int64((a.RetryAfter + time.Millisecond - 1) / time.Millisecond)
	}
	n.mu.Lock()
	n.list = append(n.list, one)
	n.mu.Unlock()
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// Run hands over until ctx ends.
func (n *Notices) Run(ctx context.Context) {
	for fails := 0; ; {
		batch, body := n.batch()
		if len(batch) == 0 {
			select {
			case <-ctx.Done():
				return
			case <-n.wake:
			}
			continue
		}
		addr, moved := n.client.at()
		err := n.post(ctx, addr, moved, batch, body)
		if err == nil {
			fails = 0
			n.mu.Lock()
			n.list = n.list[len(batch):]
			if len(n.list) == 0 {
				n.list = nil
			}
			n.mu.Unlock()
			for _, one := range batch {
				n.over(one.Ref)
			}
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errMoved) {
			continue
		}
		n.failed(err)
		if errors.Is(err, errSilent) { // that took its time; what came meanwhile waits no longer
			fails++
			continue
		}
		if errors.Is(err, errEnded) && fails == 0 {
			fails++ // the connection ended: at once on another one
			continue
		}
		timer := time.NewTimer(min(backOff(fails), mostRest))
		fails++
		select {
		case <-ctx.Done():
		case <-moved:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// batch is what goes in the next request: the oldest notices, and their lines.
func (n *Notices) batch() (batch []notice, body []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, one := range n.list {
		line, _ := json.Marshal(one) // of checked strings: it cannot fail
		if len(body)+len(line) >= mostBatch {
			break
		}
		body = append(append(body, line...), '\n')
		batch = append(batch, one)
	}
	return batch, body
}

// post sends one batch, on a connection of its own: what comes there was asked for by nothing else.
func (n *Notices) post(ctx context.Context, addr string, moved <-chan struct{}, batch []notice, body []byte) error {
	l, err := n.client.dial(ctx, addr, answerTime, moved)
	if err != nil {
		return err
	}
	defer l.close()
	head := fmt.Sprintf("POST /v1/notices HTTP/1.1\r\nHost: %s\r\nContent-Type: application/x-ndjson\r\nContent-Length: %d\r\n\r\n",
		addr, len(body))
	if err := l.ask(append([]byte(head), body...)); err != nil {
		return errEnded
	}
	a := &answer{}
	a.Prefix = "HTTP/"
	a.Reset(http1.Limits{Header: 16 << 10, Body: 64 << 10})
	for !a.Done() {
		b, err := l.read(ctx, answerTime, moved)
		if err != nil {
			return err
		}
		rest, err := a.Feed(b, a)
		if err != nil {
			return errors.Join(errEnded, err)
		}
		if a.Done() && l.believe(len(rest) > 0) != lifecycle.Certain {
			return errNobodys
		}
	}
	if a.status != 204 {
		return fmt.Errorf("agent: %d notices were answered with %d", len(batch), a.status)
	}
	return nil
}
