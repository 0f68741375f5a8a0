package badday

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"basaltcross.example/basaltcross/internal/client"
)

// handIn is one hand-in of a message by a client, and its result.
type handIn struct {
	id, class, partner, key, client string
	relay                           int
	number                          int // sequence number among the client's hand-ins
	try                             int
	first                           time.Time // time of the message's first hand-in
	at                              time.Time
	timeLeft                        time.Duration // remaining time requested for the message
	taken                           bool          // the relay confirmed the hand-in
	confirmedAt                     time.Time     // time of that confirmation
	unknown                         bool          // the connection was lost before the relay confirmed or refused it
	orphan                          bool          // the relay was killed before it answered
	answers                         []client.Answer
}

// sender is one client. It hands in messages one after the other, so that the messages of a key
// have a defined order, and retries refused and lost hand-ins.
type sender struct {
	deployment *deployment
	name       string
	relay      int
	queue      chan *handIn

	mu           sync.Mutex
	handIns      []*handIn
	latest       map[string]*handIn // newest hand-in by message ID
	conn         connection
	pushSessions []*client.PushSession // by relay; nil for MQTT clients
	unmatched    int                   // answers to unknown messages
	number       int
	disconnects  [][2]time.Time         // periods without a connection
	keys         map[string]string      // keys by message ID, filled by the audit
	acks         map[string][]time.Time // times of acknowledgements by message ID
}

// connection is a connection to a relay, over MQTT or Web Push.
type connection interface {
	Send(context.Context, client.Message) error
	Lost() <-chan struct{}
	Close()
	Cut()
}

const (
	maxTries    = 3
	sendTimeout = 8 * time.Second
)

// newSender returns the i-th client; every third client uses Web Push, the others MQTT.
func newSender(d *deployment, i int) (*sender, error) {
	s := &sender{deployment: d, name: fmt.Sprintf("client-%d", i), relay: i % d.script.Relays,
		queue: make(chan *handIn, 100000), latest: map[string]*handIn{}, acks: map[string][]time.Time{}}
	for range d.script.Relays {
		if i%3 != 2 {
			break
		}
		p, err := client.NewPushSession()
		if err != nil {
			return nil, err
		}
		s.pushSessions = append(s.pushSessions, p)
	}
	return s, nil
}

func (s *sender) onAnswer(a client.Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.latest[a.ID]
	if h == nil {
		s.unmatched++
		return
	}
	h.answers = append(h.answers, a)
	if a.Outcome == "refused" && len(h.answers) == 1 && h.try < maxTries {
		s.scheduleRetry(h, max(a.RetryAfter, 100*time.Millisecond))
	}
}

// onAcknowledged records the time at which the acknowledgement of an answer was written.
func (s *sender) onAcknowledged(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acks[id] = append(s.acks[id], time.Now())
}

// scheduleRetry schedules another hand-in of a message. The caller holds mu.
func (s *sender) scheduleRetry(h *handIn, after time.Duration) {
	n := &handIn{id: h.id, class: h.class, partner: h.partner, key: h.key, client: h.client, try: h.try + 1,
		first: h.first}
	time.AfterFunc(after, func() {
		if time.Now().Before(s.deployment.trafficEnd) {
			s.queue <- n
		}
	})
}

// connect tries the relays in turn until one accepts a connection; nil if ctx ends first.
func (s *sender) connect(ctx context.Context) connection {
	for ctx.Err() == nil {
		var cl connection
		var err error
		dial, cancel := context.WithTimeout(ctx, sendTimeout)
		if r := s.deployment.relays[s.relay]; s.pushSessions != nil {
			cl, err = client.DialPush(r.origin, s.deployment.trust, s.pushSessions[s.relay], s.onAnswer)
		} else {
			cl, err = client.Dial(dial, r.addr(), client.Options{ID: s.name, Expiry: 120, OnAnswer: s.onAnswer,
				OnAcknowledged: s.onAcknowledged, AckInterval: s.deployment.opt.AcknowledgeEvery})
		}
		cancel()
		if err == nil {
			return cl
		}
		s.mu.Lock()
		s.relay = (s.relay + 1) % s.deployment.script.Relays
		s.mu.Unlock()
		time.Sleep(30 * time.Millisecond)
	}
	return nil
}

func (s *sender) run(ctx context.Context) {
	var next *handIn
	for ctx.Err() == nil {
		disconnectedAt := time.Now()
		cl := s.connect(ctx)
		if cl == nil {
			return
		}
		s.mu.Lock()
		s.disconnects = append(s.disconnects, [2]time.Time{disconnectedAt, time.Now()})
		s.conn = cl
		relay := s.relay
		s.mu.Unlock()
		for connected := true; connected; {
			if next == nil {
				select {
				case next = <-s.queue:
				case <-cl.Lost():
					connected = false
					continue
				case <-ctx.Done():
					cl.Cut()
					return
				}
			}
			h := next
			s.mu.Lock()
			h.relay, h.at, h.timeLeft = relay, time.Now(), deadline
			if h.first.IsZero() {
				h.first = h.at
			} else if h.timeLeft = (deadline - h.at.Sub(h.first)).Truncate(time.Second); h.timeLeft < time.Second {
				s.mu.Unlock()
				next = nil
				continue // less than a second is left; the client gives up
			}
			s.number++
			h.number = s.number
			s.handIns = append(s.handIns, h)
			s.latest[h.id] = h
			s.mu.Unlock()
			next = nil
			send, cancel := context.WithTimeout(ctx, sendTimeout)
			go func() { // Send does not return by itself when the connection is lost
				select {
				case <-cl.Lost():
					cancel()
				case <-send.Done():
				}
			}()
			err := cl.Send(send, client.Message{ID: h.id, Class: h.class, Partner: h.partner, Key: h.key,
				Expiry: uint32(h.timeLeft / time.Second), Body: fmt.Appendf(nil, "%s %d %s", h.id, h.number, s.name)})
			cancel()
			select {
			case <-cl.Lost():
				connected = false
			default:
			}
			s.mu.Lock()
			if err == nil {
				h.taken, h.confirmedAt = true, time.Now()
			} else if connected { // refused on hand-in, with the connection up; does not count as a try
				h.try--
				s.scheduleRetry(h, 200*time.Millisecond)
			} else { // outcome unknown; retry unless the message is unsafe to repeat
				h.unknown = true
				if h.class != "charge" && h.try < maxTries {
					s.scheduleRetry(h, 100*time.Millisecond)
				}
			}
			s.mu.Unlock()
		}
		s.onConnectionLost(relay)
	}
}

// onConnectionLost handles the end of a connection. Messages that a killed relay had accepted are handed in
// again, except those that may have taken effect and must not be repeated.
func (s *sender) onConnectionLost(relay int) {
	// Lets the last answers of a relay that shuts down arrive. A kill is recorded before it is sent.
	time.Sleep(20 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.handIns {
		if h.relay == relay && h.taken && !h.orphan && len(h.answers) == 0 && s.deployment.relays[relay].killedAfter(h.at) {
			h.orphan = true
			if h.class != "charge" && s.latest[h.id] == h && h.try < maxTries {
				s.scheduleRetry(h, 300*time.Millisecond)
			}
		}
	}
	if s.deployment.relays[relay].down() {
		s.relay = (relay + 1) % s.deployment.script.Relays
	}
}

// history describes all hand-ins of a message; times are relative to the first one.
func (s *sender) history(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var steps []string
	for _, h := range s.handIns {
		if h.id != id {
			continue
		}
		step := fmt.Sprintf("hand-in %d (try %d) at relay %d at %v", h.number, h.try, h.relay, since(h, h.at))
		if h.taken {
			step += fmt.Sprintf(", taken %v", since(h, h.confirmedAt))
		}
		if h.unknown {
			step += ", connection lost"
		}
		for _, a := range h.answers {
			step += fmt.Sprintf(", %s %v to come again after %v", a.Outcome, since(h, a.At), a.RetryAfter)
		}
		steps = append(steps, step)
	}
	for _, at := range s.acks[id] {
		steps = append(steps, fmt.Sprintf("acknowledged %v", at.Sub(s.latest[id].first).Round(time.Millisecond)))
	}
	return strings.Join(steps, "; ")
}

func since(h *handIn, at time.Time) time.Duration { return at.Sub(h.first).Round(time.Millisecond) }
