// Case 2: a second copy of an answer makes the relay take later messages for delivered, and they end
// neither with a delivery in time nor with a notice.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"basaltcross.example/review/kit"
)

const (
	relays  = 8
	latency = 10 * time.Millisecond   // one way; the site's page has 8 to 30 ms
	work    = 450 * time.Millisecond  // mean of a message at the host, exponential
	left    = 1200 * time.Millisecond // X-Remaining-Ms
	every   = 70 * time.Millisecond   // between two messages of a relay: 130% of what its slots carry
	copied  = 0.05                    // share of the answers that the host writes twice
	behind  = 2 * time.Millisecond    // from an answer to its second copy
	grace   = 550 * time.Millisecond  // after its time, from which a message is lost
	length  = 20 * time.Second
)

// message is what clients, the host and the platform saw of one message.
type message struct {
	handedIn  time.Duration
	taken     bool
	delivered time.Duration // first line with 200 written to the relay, 0 for never
	notice    time.Duration // 0 for none
}

type platform struct {
	rec      *kit.Recorder
	trouble  bool
	mu       sync.Mutex
	messages map[string]*message
	copies   int
}

// serve is the host.
func (p *platform) serve(c *kit.Call) bool {
	id := c.IDs[0]
	p.rec.Line("host runs %s (call %d on %s)", id, c.Turn, c.Conn.RemoteAddr())
	time.Sleep(time.Duration(float64(work) * rand.ExpFloat64()))
	if _, err := c.Conn.Write(kit.Response(200, "", "")); err != nil {
		p.rec.Line("host can't answer %s: the connection has ended", id)
		return false
	}
	p.rec.Line("host answered %s: 200", id)
	p.mu.Lock()
	if m := p.messages[id]; m != nil && m.delivered == 0 {
		m.delivered = p.rec.Now()
	}
	p.mu.Unlock()
	if !p.trouble || rand.Float64() >= copied {
		return true
	}
	time.Sleep(behind)
	if kit.Unread(c.Conn) { // something else waits on the connection
		return true
	}
	kit.Respond(c.Conn, 200, "", "")
	p.rec.Line("host wrote a second copy of its answer for %s", id)
	p.mu.Lock()
	p.copies++
	p.mu.Unlock()
	return true
}

func run(root, folder string) (int, error) {
	rec, err := kit.NewRecorder(filepath.Join(folder, "record.txt"))
	if err != nil {
		return 2, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return 2, err
	}
	defer os.RemoveAll(dir)
	p := &platform{rec: rec, trouble: os.Getenv("TROUBLE") != "0", messages: map[string]*message{}}
	host, err := kit.NewHost(rec, p.serve)
	if err != nil {
		return 2, err
	}
	settings := kit.Settings([]kit.Class{
		{Name: "ride-charge", Aim: 1, GiveUp: 4, Effect: "at_most_once", Group: "all", Late: 0.5, Window: 5, Worth: 1},
	}, func(m map[string]any) { m["fleet-size"] = relays })
	var all []*kit.Relay
	defer func() {
		for _, r := range all {
			r.Kill()
		}
	}()
	for i := range relays {
		network, err := kit.NewNetwork(host.Addr(), latency)
		if err != nil {
			return 2, err
		}
		agent, err := kit.NewAgent(rec, []kit.Target{{UID: "s-1", Endpoint: network.Addr(), Zone: "akl-dc1", Kind: "small", Dest: 1,
			State: "up", Rate: 120}})
		if err != nil {
			return 2, err
		}
		r, err := kit.NewRelay(rec, fmt.Sprint("n", i), root, filepath.Join(dir, fmt.Sprint("n", i)),
			kit.Limits{Cores: 1, MemoryMB: 128, Sockets: 512, DiskMB: 3}, settings, agent)
		if err != nil {
			return 2, err
		}
		all = append(all, r)
		if err := r.Start(); err != nil {
			return 2, err
		}
	}
	var clients sync.WaitGroup
	end := rec.Now() + length
	for i, r := range all {
		clients.Go(func() {
			c := kit.NewClient(r.Listen)
			defer c.Close()
			for n := 0; rec.Now() < end; n++ {
				id := fmt.Sprintf("charge-%d-%d", i, n)
				m := &message{handedIn: rec.Now()}
				p.mu.Lock()
				p.messages[id] = m
				p.mu.Unlock()
				status := c.HandIn(kit.Message{ID: id, Lane: "ride-charge", Dest: 1, Remaining: left, Body: []byte("charge")})
				rec.Line("client hands in %s: %d", id, status)
				p.mu.Lock()
				m.taken = status == 202 || status == 200
				p.mu.Unlock()
				time.Sleep(every)
			}
		})
	}
	clients.Wait()
	time.Sleep(left + 5*time.Second)
	for _, r := range all {
		if r.Ended() {
			return 2, fmt.Errorf("a relay ended by itself")
		}
		for _, n := range r.Agent.Notices() {
			p.mu.Lock()
			if m := p.messages[n.Ref]; m != nil && m.notice == 0 {
				m.notice = n.At
			}
			p.mu.Unlock()
		}
		for _, line := range r.LogLines(`"cause":"host"`, `"cause":"violation"`) {
			rec.Line("log: %s", line)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	taken, lost := 0, 0
	for id, m := range p.messages {
		if !m.taken {
			continue
		}
		taken++
		due := m.handedIn + left + grace
		if m.delivered > 0 && m.delivered <= due || m.notice > 0 && m.notice <= due {
			continue
		}
		lost++
		text := "never delivered"
		if m.delivered > 0 {
			text = fmt.Sprintf("delivered %.2f s after its time", (m.delivered - m.handedIn - left).Seconds())
		}
		if m.notice > 0 {
			text += fmt.Sprintf(", notice %.2f s after its time", (m.notice - m.handedIn - left).Seconds())
		} else {
			text += ", no notice"
		}
		rec.Line("lost: %s: taken on, %s", id, text)
		fmt.Printf("lost: %s: taken on, %s\n", id, text)
	}
	rec.Line("%d messages taken on, %d second copies, %d messages lost", taken, p.copies, lost)
	fmt.Printf("%d messages taken on, %d second copies, %d messages lost\n", taken, p.copies, lost)
	if lost > 0 {
		return 1, nil
	}
	return 0, nil
}

func main() { kit.Main(run) }
