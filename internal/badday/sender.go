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
	left                            time.Duration // remaining time requested for the message
	taken                           bool          // the relay confirmed the hand-in
	sure                            time.Time     // time of that confirmation
	unknown                         bool          // the connection was lost before the relay confirmed or refused it
	orphan                          bool          // the relay was killed before it answered
	answers                         []client.Answer
}

// sender is one client. It hands in messages one after the other, so that the messages of a key
// have a defined order, and retries refused and lost hand-ins.
type sender struct {
	day   *day
	name  string
	relay int
	queue chan *handIn

	mu     sync.Mutex
	hands  []*handIn
	last   map[string]*handIn // newest hand-in by message ID
	cl     carrier
	push   []*client.PushSession // by relay; nil for MQTT clients
	stray  int                   // answers to unknown messages
	number int
	gaps   [][2]time.Time         // periods without a connection
	keys   map[string]string      // keys by message ID, filled by the audit
	acks   map[string][]time.Time // times of acknowledgements by message ID
}

// carrier is a connection to a relay, over MQTT or Web Push.
type carrier interface {
	Send(context.Context, client.Message) error
	Lost() <-chan struct{}
	Close()
	Cut()
}

const (
	mostTries = 3
	sendTime  = 8 * time.Second
)

// newSender returns the i-th client; every third client uses Web Push, the others MQTT.
func newSender(d *day, i int) (*sender, error) {
	s := &sender{day: d, name: fmt.Sprintf("client-%d", i), relay: i % d.script.Relays,
		queue: make(chan *handIn, 100000), last: map[string]*handIn{}, acks: map[string][]time.Time{}}
	for range d.script.Relays {
		if i%3 != 2 {
			break
		}
		p, err := client.NewPushSession()
		if err != nil {
			return nil, err
		}
		s.push = append(s.push, p)
	}
	return s, nil
}

func (s *sender) answer(a client.Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.last[a.ID]
	if h == nil {
		s.stray++
		return
	}
	h.answers = append(h.answers, a)
	if a.Answer == "refused" && len(h.answers) == 1 && h.try < mostTries {
		s.again(h, max(a.After, 100*time.Millisecond))
	}
}

// acknowledged records the time at which the acknowledgement of an answer was written.
func (s *sender) acknowledged(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acks[id] = append(s.acks[id], time.Now())
}

// again schedules another hand-in of a message. The caller holds mu.
func (s *sender) again(h *handIn, after time.Duration) {
	n := &handIn{id: h.id, class: h.class, partner: h.partner, key: h.key, client: h.client, try: h.try + 1,
		first: h.first}
	time.AfterFunc(after, func() {
		if time.Now().Before(s.day.until) {
			s.queue <- n
		}
	})
}

// connect tries the relays in turn until one accepts a connection; nil if ctx ends first.
func (s *sender) connect(ctx context.Context) carrier {
	for ctx.Err() == nil {
		var cl carrier
		var err error
		dial, cancel := context.WithTimeout(ctx, sendTime)
		if r := s.day.relays[s.relay]; s.push != nil {
			cl, err = client.DialPush(r.origin, s.day.trust, s.push[s.relay], s.answer)
		} else {
			cl, err = client.Dial(dial, r.addr(), client.Options{ID: s.name, Expiry: 120, On: s.answer,
				Acknowledged: s.acknowledged, AcknowledgeEvery: s.day.opt.AcknowledgeEvery})
		}
		cancel()
		if err == nil {
			return cl
		}
		s.mu.Lock()
		s.relay = (s.relay + 1) % s.day.script.Relays
		s.mu.Unlock()
		time.Sleep(30 * time.Millisecond)
	}
	return nil
}

func (s *sender) run(ctx context.Context) {
	var next *handIn
	for ctx.Err() == nil {
		away := time.Now()
		cl := s.connect(ctx)
		if cl == nil {
			return
		}
		s.mu.Lock()
		s.gaps = append(s.gaps, [2]time.Time{away, time.Now()})
		s.cl = cl
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
			h.relay, h.at, h.left = relay, time.Now(), deadline
			if h.first.IsZero() {
				h.first = h.at
			} else if h.left = (deadline - h.at.Sub(h.first)).Truncate(time.Second); h.left < time.Second {
				s.mu.Unlock()
				next = nil
				continue // less than a second is left; the client gives up
			}
			s.number++
			h.number = s.number
			s.hands = append(s.hands, h)
			s.last[h.id] = h
			s.mu.Unlock()
			next = nil
			send, cancel := context.WithTimeout(ctx, sendTime)
			go func() { // Send does not return by itself when the connection is lost
				select {
				case <-cl.Lost():
					cancel()
				case <-send.Done():
				}
			}()
			err := cl.Send(send, client.Message{ID: h.id, Class: h.class, Partner: h.partner, Key: h.key,
				Expiry: uint32(h.left / time.Second), Body: fmt.Appendf(nil, "%s %d %s", h.id, h.number, s.name)})
			cancel()
			select {
			case <-cl.Lost():
				connected = false
			default:
			}
			s.mu.Lock()
			if err == nil {
				h.taken, h.sure = true, time.Now()
			} else if connected { // refused on hand-in, with the connection up; does not count as a try
				h.try--
				s.again(h, 200*time.Millisecond)
			} else { // outcome unknown; retry unless the message is unsafe to repeat
				h.unknown = true
				if h.class != "charge" && h.try < mostTries {
					s.again(h, 100*time.Millisecond)
				}
			}
			s.mu.Unlock()
		}
		s.lost(relay)
	}
}

// lost handles the end of a connection. Messages that a killed relay had accepted are handed in
// again, except those that may have taken effect and must not be repeated.
func (s *sender) lost(relay int) {
	// Lets the last answers of a relay that shuts down arrive. A kill is recorded before it is sent.
	time.Sleep(20 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.hands {
		if h.relay == relay && h.taken && !h.orphan && len(h.answers) == 0 && s.day.relays[relay].killedAfter(h.at) {
			h.orphan = true
			if h.class != "charge" && s.last[h.id] == h && h.try < mostTries {
				s.again(h, 300*time.Millisecond)
			}
		}
	}
	if s.day.relays[relay].down() {
		s.relay = (relay + 1) % s.day.script.Relays
	}
}

// course describes all hand-ins of a message; times are relative to the first one.
func (s *sender) course(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var steps []string
	for _, h := range s.hands {
		if h.id != id {
			continue
		}
		step := fmt.Sprintf("hand-in %d (try %d) at relay %d at %v", h.number, h.try, h.relay, since(h, h.at))
		if h.taken {
			step += fmt.Sprintf(", taken %v", since(h, h.sure))
		}
		if h.unknown {
			step += ", connection lost"
		}
		for _, a := range h.answers {
			step += fmt.Sprintf(", %s %v to come again after %v", a.Answer, since(h, a.At), a.After)
		}
		steps = append(steps, step)
	}
	for _, at := range s.acks[id] {
		steps = append(steps, fmt.Sprintf("acknowledged %v", at.Sub(s.last[id].first).Round(time.Millisecond)))
	}
	return strings.Join(steps, "; ")
}

func since(h *handIn, at time.Time) time.Duration { return at.Sub(h.first).Round(time.Millisecond) }
