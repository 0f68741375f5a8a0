package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["descriptors"] = descriptors }

// descriptors plays a relay with 512 descriptors. Idle clients fill those of the clients, and a quarter of the hosts
// hangs. The rule: the relay holds no more descriptors than its limit.
func descriptors(s *scene) ([]string, error) {
	const (
		sockets    = 512
		hosts      = 16
		hanging    = 4 // of the hosts: 25% of the traffic
		rate       = 240.0
		mean       = 0.37 // seconds that a message takes at its host
		slots      = 230  // 2.6 times what the load keeps busy
		usual      = 160  // connections of usual clients at most, under a third of the descriptors
		idle       = 500
		hangs      = 10 * time.Second
		timeToLive = 12 * time.Second
	)
	var hung atomic.Bool
	first := list{Rev: 41, All: true}
	for d := range hosts {
		var mu sync.Mutex
		r := rand.New(rand.NewPCG(s.seed, uint64(100+d)))
		h, err := startHost(s.rec, fmt.Sprint("s-", d), func(call) answer {
			if d < hanging && hung.Load() {
				return answer{}
			}
			mu.Lock()
			defer mu.Unlock()
			return answer{after: time.Duration(mean * r.ExpFloat64() * float64(time.Second)), status: http.StatusOK}
		})
		if err != nil {
			return nil, err
		}
		first.Targets = append(first.Targets, target{UID: h.uid, Endpoint: h.addr, Zone: "akl-dc1", Kind: "small", Dest: d, State: "up", Rate: 30})
	}
	a, err := startAgent(s.rec, first)
	if err != nil {
		return nil, err
	}
	p, err := newRelay(s.rec, s.root, s.dir, a.addr, first, limits(192, sockets), settings(slots, 1000, []map[string]any{
		class("ride-charge", "at_most_once", 4, 12, 1, false, 5, "all"), class("trip-status", "idempotent", 4, 12, 2, false, 5, "all")},
		[]kind{{"small", false, 1}}, nil))
	if err != nil {
		return nil, err
	}
	track(p)
	if err := p.start(); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	work := make(chan message, 10000)
	var taken, other atomic.Int64
	for range usual {
		clients.Go(func() {
			c := &client{relay: p}
			defer c.close()
			for m := range work {
				if status, _ := c.hand(m); status == http.StatusAccepted || status == http.StatusOK {
					taken.Add(1)
				} else {
					other.Add(1)
				}
			}
		})
	}
	clients.Go(func() {
		defer close(work)
		r := rand.New(rand.NewPCG(s.seed, 3))
		at := time.Now()
		for n := 0; ; n++ {
			at = at.Add(time.Duration(r.ExpFloat64() / rate * float64(time.Second)))
			select {
			case <-stop:
				return
			case <-time.After(time.Until(at)):
			}
			work <- message{id: fmt.Sprintf("m%06d", n), lane: []string{"ride-charge", "trip-status"}[n%2], dest: r.IntN(hosts),
				left: timeToLive, body: make([]byte, 500)}
		}
	})
	if s.trouble {
		s.rec.log("%d idle clients come", idle)
		for range idle {
			clients.Go(func() {
				for {
					select {
					case <-stop:
						return
					default:
					}
					conn, err := net.DialTimeout("tcp", p.listen, time.Second)
					if err != nil {
						time.Sleep(50 * time.Millisecond)
						continue
					}
					_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
					_, _ = io.Copy(io.Discard, conn) // until the relay ends it
					_ = conn.Close()
				}
			})
		}
	}
	most := 0
	watch := func(length time.Duration) {
		for end := time.Now().Add(length); time.Now().Before(end) && p.alive(); time.Sleep(5 * time.Millisecond) {
			if n := p.descriptors(); n > most {
				most = n
				s.rec.log("the relay holds %d descriptors", n)
			}
		}
	}
	watch(8 * time.Second)
	if taken.Load() == 0 {
		return nil, fmt.Errorf("the relay took nothing on before the hosts hang")
	}
	if s.trouble {
		s.rec.log("%d of %d hosts hang", hanging, hosts)
		hung.Store(true)
	}
	watch(hangs)
	alive := p.alive()
	close(stop)
	if alive {
		p.kill()
	}
	clients.Wait()
	s.rec.log("taken on %d, not taken on %d; descriptors held at most %d of %d", taken.Load(), other.Load(), most, sockets)
	fmt.Printf("taken on %d, not taken on %d; descriptors held at most %d of %d\n", taken.Load(), other.Load(), most, sockets)
	switch {
	case !alive:
		return []string{"the relay ended by itself"}, nil
	case most > sockets:
		return []string{fmt.Sprintf("the relay held %d descriptors of %d", most, sockets)}, nil
	}
	return nil, nil
}
