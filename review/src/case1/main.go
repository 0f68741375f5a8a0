// Case 1: a second copy of a refusal makes the relay send a message again that may not be repeated.
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
	relays   = 10
	partners = 8                      // partners 1 to 8 take charges, partner 9 takes the rest
	latency  = 10 * time.Millisecond  // one way; the site's page has 8 to 30 ms
	work     = 600 * time.Millisecond // of a charge
	room     = 0.7                    // share of the calls for which the other relays leave room in a partner's limit
	behind   = 2 * time.Millisecond   // from a refusal to its second copy
	steady   = 8                      // clients of partner 9 at each relay
	length   = 12 * time.Second
)

// partner takes a plain rate from all relays together, of which other relays leave a part at random.
type partner struct {
	rec     *kit.Recorder
	trouble bool
	mu      sync.Mutex
	ran     map[string]int
	twice   []string
	copies  int
}

func (p *partner) serve(c *kit.Call) bool {
	id := c.IDs[0]
	p.mu.Lock()
	takes := rand.Float64() < room
	if takes {
		if p.ran[id]++; p.ran[id] == 2 {
			p.twice = append(p.twice, id)
		}
		p.rec.Line("host runs %s, time %d (call %d on %s)", id, p.ran[id], c.Turn, c.Conn.RemoteAddr())
	} else {
		p.rec.Line("host refuses %s: 503 (call %d on %s)", id, c.Turn, c.Conn.RemoteAddr())
	}
	p.mu.Unlock()
	if takes {
		time.Sleep(work)
		kit.Respond(c.Conn, 200, "", "")
		p.rec.Line("host answered %s: 200", id)
		return true
	}
	kit.Respond(c.Conn, 503, "", "")
	if !p.trouble {
		return true
	}
	time.Sleep(behind)
	if kit.Unread(c.Conn) { // something else waits on the connection
		return true
	}
	kit.Respond(c.Conn, 503, "", "")
	p.mu.Lock()
	p.copies++
	p.mu.Unlock()
	p.rec.Line("host wrote a second copy of its answer for %s", id)
	return true
}

// list makes the networks between one relay and all hosts, and the list of hosts.
func (p *partner) list(hosts []*kit.Host) (all []kit.Target, networks []*kit.Network, err error) {
	for i, h := range hosts {
		n, err := kit.NewNetwork(h.Addr(), latency)
		if err != nil {
			return nil, nil, err
		}
		if p.trouble && i < partners {
			if err := n.LateConnections(); err != nil {
				return nil, nil, err
			}
		}
		networks = append(networks, n)
		all = append(all, kit.Target{UID: fmt.Sprint("s-", i+1), Endpoint: n.Addr(), Zone: "akl-dc1", Kind: "small",
			Dest: i + 1, State: "up", Rate: 40})
	}
	all[partners].Rate = 400
	return all, networks, nil
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
	p := &partner{rec: rec, trouble: os.Getenv("TROUBLE") != "0", ran: map[string]int{}}
	var hosts []*kit.Host
	for range partners {
		h, err := kit.NewHost(rec, p.serve)
		if err != nil {
			return 2, err
		}
		hosts = append(hosts, h)
	}
	other, err := kit.NewHost(rec, func(c *kit.Call) bool {
		time.Sleep(30 * time.Millisecond)
		kit.RespondAll(c, "delivered")
		rec.Line("host ran and answered %v: 200", c.IDs)
		return true
	})
	if err != nil {
		return 2, err
	}
	hosts = append(hosts, other)
	settings := kit.Settings([]kit.Class{
		{Name: "ride-charge", Aim: 4, GiveUp: 12, Effect: "at_most_once", Group: "all", Late: 0.5, Window: 5, Worth: 1},
		{Name: "trip-status", Aim: 4, GiveUp: 12, Effect: "idempotent", Group: "all", Late: 0.5, Window: 5, Worth: 2},
	}, func(m map[string]any) {
		m["fleet-size"] = relays
		m["family-info"].(map[string]any)["workers"] = 16
	})
	var all []*kit.Relay
	var networks []*kit.Network
	defer func() {
		for _, r := range all {
			r.Kill()
		}
	}()
	for i := range relays {
		list, between, err := p.list(hosts)
		if err != nil {
			return 2, err
		}
		networks = append(networks, between...)
		agent, err := kit.NewAgent(rec, list)
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
		for k := range steady {
			clients.Go(func() {
				c := kit.NewClient(r.Listen)
				defer c.Close()
				for n := 0; rec.Now() < end; n++ {
					id := fmt.Sprintf("status-%d-%d-%d", i, k, n)
					rec.Line("client hands in %s: %d", id, c.HandIn(kit.Message{ID: id, Lane: "trip-status", Dest: partners + 1,
						Remaining: 4 * time.Second, Body: []byte("status")}))
					time.Sleep(200 * time.Millisecond)
				}
			})
		}
		clients.Go(func() {
			time.Sleep(time.Second + time.Duration(rand.IntN(400))*time.Millisecond)
			for to := range partners { // two charges at a time
				var pair sync.WaitGroup
				for k := range 2 {
					pair.Go(func() {
						id := fmt.Sprintf("charge-%d-%d-%d", i, to+1, k)
						c := kit.NewClient(r.Listen)
						defer c.Close()
						rec.Line("client hands in %s: %d", id, c.HandIn(kit.Message{ID: id, Lane: "ride-charge", Dest: to + 1,
							Remaining: 6 * time.Second, Body: []byte("charge")}))
					})
				}
				pair.Wait()
				time.Sleep(600 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	for _, r := range all {
		if r.Ended() {
			return 2, fmt.Errorf("a relay ended by itself")
		}
		for _, line := range r.LogLines(`"cause":"host"`, `"cause":"violation"`) {
			rec.Line("log: %s", line)
		}
	}
	connections := 0
	for _, n := range networks {
		connections += n.Connections()
	}
	late := 0
	if p.trouble {
		late = relays * partners
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	rec.Line("%d connections, at most %d of them late; %d second copies; run twice: %v", connections, late, p.copies, p.twice)
	fmt.Printf("%d connections to hosts, at most %d of them late by 1 s; %d second copies of refusals\n"+
		"messages that may not be repeated and ran twice: %v\n", connections, late, p.copies, p.twice)
	switch {
	case 3*late > connections:
		return 2, fmt.Errorf("over a third of the connections may have been late: the case did not stay inside the pages")
	case len(p.twice) > 0:
		return 1, nil
	}
	return 0, nil
}

func main() { kit.Main(run) }
