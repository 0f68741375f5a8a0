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

// notice is one line of a request to the agent.
type notice struct {
	Ref    string `json:"ref"`
	Result string `json:"result"`
	WaitMs int64  `json:"wait_ms,omitempty"`
}

// Notices delivers final answers to the platform, in order and in batches. Each batch is sent until
// it is answered with 204.
type Notices struct {
	client      *Client
	limit       int
	onDelivered func(identity string)
	onError     func(error)

	mu    sync.Mutex
	queue []notice
	wake  chan struct{}
}

const (
	// maxBatchBytes bounds the notices in one request. All that are queued usually fit, so that
	// none waits behind others that are not answered. A body holds 64 KiB (PROTOCOL).
	maxBatchBytes = 60 << 10
	// responseTimeout is the time-out for the response to a batch. The agent answers at once, and
	// a notice is accepted until 300 ms after its message's deadline (PROTOCOL): a connection that
	// does not answer leaves time for another attempt.
	responseTimeout = 150 * time.Millisecond
	// maxRetryDelay is the longest delay between two attempts, for the same reason.
	maxRetryDelay = 25 * time.Millisecond
)

// NewNotices returns a queue for limit notices. Run calls onDelivered for each notice that was
// delivered, and onError for each failed attempt.
func NewNotices(client *Client, limit int, onDelivered func(identity string), onError func(error)) *Notices {
	return &Notices{client: client, limit: limit, onDelivered: onDelivered, onError: onError, wake: make(chan struct{}, 1)}
}

// Room reports whether a message that may need a notice may be accepted. Notices of messages that
// were accepted are never rejected.
func (n *Notices) Room() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.queue) < n.limit
}

// Len returns the number of notices that are not yet delivered.
func (n *Notices) Len() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.queue)
}

// Add appends a notice to the queue; it never blocks.
func (n *Notices) Add(identity string, a ledger.Answer) {
	one := notice{Ref: identity, Result: "dead"}
	if a.Verdict == ledger.Refused {
		one.Result = "bounced"
		one.WaitMs = int64((a.RetryAfter + time.Millisecond - 1) / time.Millisecond)
	}
	n.mu.Lock()
	n.queue = append(n.queue, one)
	n.mu.Unlock()
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// Run delivers notices until ctx ends.
func (n *Notices) Run(ctx context.Context) {
	for fails := 0; ; {
		batch, body := n.nextBatch()
		if len(batch) == 0 {
			select {
			case <-ctx.Done():
				return
			case <-n.wake:
			}
			continue
		}
		addr, addrChanged := n.client.address()
		err := n.post(ctx, addr, addrChanged, batch, body)
		if err == nil {
			fails = 0
			n.mu.Lock()
			n.queue = n.queue[len(batch):]
			if len(n.queue) == 0 {
				n.queue = nil
			}
			n.mu.Unlock()
			for _, one := range batch {
				n.onDelivered(one.Ref)
			}
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errAddrChanged) {
			continue
		}
		n.onError(err)
		if errors.Is(err, errTimeout) { // no delay: the time-out has passed, and notices may have been added meanwhile
			fails++
			continue
		}
		if errors.Is(err, errConnClosed) && fails == 0 {
			fails++ // a closed connection is replaced at once
			continue
		}
		timer := time.NewTimer(min(backOff(fails), maxRetryDelay))
		fails++
		select {
		case <-ctx.Done():
		case <-addrChanged:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// nextBatch returns the notices for the next request, oldest first, and the request's body.
func (n *Notices) nextBatch() (batch []notice, body []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, one := range n.queue {
		line, _ := json.Marshal(one) // cannot fail: validated strings and integers
		if len(body)+len(line) >= maxBatchBytes {
			break
		}
		body = append(append(body, line...), '\n')
		batch = append(batch, one)
	}
	return batch, body
}

// post sends one batch on a new connection, so that whatever is received there can only be the
// response to it.
func (n *Notices) post(ctx context.Context, addr string, addrChanged <-chan struct{}, batch []notice, body []byte) error {
	l, err := n.client.dial(ctx, addr, responseTimeout, addrChanged)
	if err != nil {
		return err
	}
	defer l.close()
	head := fmt.Sprintf("POST /v1/notices HTTP/1.1\r\nHost: %s\r\nContent-Type: application/x-ndjson\r\nContent-Length: %d\r\n\r\n",
		addr, len(body))
	if err := l.send(append([]byte(head), body...)); err != nil {
		return errConnClosed
	}
	a := &response{}
	a.Prefix = "HTTP/"
	a.Reset(http1.Limits{Header: 16 << 10, Body: 64 << 10})
	for !a.Done() {
		b, err := l.read(ctx, responseTimeout, addrChanged)
		if err != nil {
			return err
		}
		rest, err := a.Feed(b, a)
		if err != nil {
			return errors.Join(errConnClosed, err)
		}
		if a.Done() && l.attribute(len(rest) > 0) != lifecycle.Certain {
			return errUnsolicited
		}
	}
	if a.status != 204 {
		return fmt.Errorf("agent: %d notices were answered with status %d", len(batch), a.status)
	}
	return nil
}
