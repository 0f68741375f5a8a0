package badday

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"basaltcross.example/basaltcross/internal/client"
)

// handIn is one time that a client handed a message in, and what came of it.
type handIn struct {
	id, class, partner, key, client string
	relay                           int
	number                          int // of the client's hand-ins, in order
	try                             int
	first                           time.Time // when the message was first handed in
	at                              time.Time
	left                            time.Duration // asked for: what is left of its time
	taken                           bool          // the relay said so
	sure                            time.Time     // when it had
	unknown                         bool          // the connection was lost before the relay said anything
	orphan                          bool          // its relay was killed while it was owed an answer
	answers                         []client.Answer
}

// sender is one client program. It hands messages in one after the other, so
// that those of a key have an order, and comes again as clients do.
type sender struct {
	day   *day
	name  string
	relay int
	queue chan *handIn

	mu     sync.Mutex
	hands  []*handIn
	last   map[string]*handIn // newest hand-in by message
	cl     carrier
	push   []*client.PushSession // by relay, of those that push
	stray  int                   // answers to nothing
	number int
	gaps   [][2]time.Time         // not connected
	keys   map[string]string      // by message, for the audit
	acks   map[string][]time.Time // when answers were acknowledged, by message
}

// carrier is a connection to a relay by either front.
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

// newSender makes the i-th client; each third one pushes.
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
	if a.Outcome == "refused" && len(h.answers) == 1 && h.try < mostTries {
		s.again(h, max(a.RetryAfter, 100*time.Millisecond))
	}
}

// acknowledged notes that the acknowledgement of an answer was written.
func (s *sender) acknowledged(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acks[id] = append(s.acks[id], time.Now())
}

// again hands a message in once more after a while; under mu.
func (s *sender) again(h *handIn, after time.Duration) {
	n := &handIn{id: h.id, class: h.class, partner: h.partner, key: h.key, client: h.client, try: h.try + 1,
		first: h.first}
	time.AfterFunc(after, func() {
		if time.Now().Before(s.day.until) {
			s.queue <- n
		}
	})
}

// connect finds a relay that lets it in.
func (s *sender) connect(ctx context.Context) carrier {
	for ctx.Err() == nil {
		var cl carrier
		var err error
		dial, cancel := context.WithTimeout(ctx, sendTime)
		if r := s.day.relays[s.relay]; s.push != nil {
			cl, err = client.DialPush(r.origin, s.day.trust, s.push[s.relay], s.answer)
		} else {
			cl, err = client.Dial(dial, r.addr(), client.Options{ID: s.name, Expiry: 120, OnAnswer: s.answer,
				OnAcknowledged: s.acknowledged, AckInterval: s.day.opt.AcknowledgeEvery})
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
				continue // nobody waits for it any more
			}
			s.number++
			h.number = s.number
			s.hands = append(s.hands, h)
			s.last[h.id] = h
			s.mu.Unlock()
			next = nil
			send, cancel := context.WithTimeout(ctx, sendTime)
			go func() { // a lost connection does not end a publish by itself
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
			} else if connected { // turned away at the door: that was no try
				h.try--
				s.again(h, 200*time.Millisecond)
			} else { // nobody knows: safe or keyed comes again
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

// lost deals with the end of a connection: what a dead relay held comes again
// at another, unless it may have taken effect and may not be repeated.
func (s *sender) lost(relay int) {
	time.Sleep(20 * time.Millisecond) // the day notes a kill before it kills; a roll's last answers come in
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

// course tells all that is known of a message's hand-ins; times count from the first.
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
			step += fmt.Sprintf(", %s %v to come again after %v", a.Outcome, since(h, a.At), a.RetryAfter)
		}
		steps = append(steps, step)
	}
	for _, at := range s.acks[id] {
		steps = append(steps, fmt.Sprintf("acknowledged %v", at.Sub(s.last[id].first).Round(time.Millisecond)))
	}
	return strings.Join(steps, "; ")
}

func since(h *handIn, at time.Time) time.Duration { return at.Sub(h.first).Round(time.Millisecond) }
