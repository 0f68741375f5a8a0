package main

import (
	"fmt"
	"time"
)

// drainRestart plays a fleet with 3,200 hosts. The relay is told that one of the two hosts of a destination drains, and
// that it is gone. Then discovery is down, and the relay is killed and started again with its folder. The rule: nothing
// new goes to that host later than the grace after the relay was told.
func drainRestart(s *scene) ([]string, error) {
	const (
		hosts = 3200
		dest  = 7
		grace = time.Second + 50*time.Millisecond // rules.drain-grace, and the 50 ms of every limit on sockets
	)
	serve := func(call) answer { return answer{after: 20 * time.Millisecond, status: 200} }
	stays, err := startHost(s.rec, "s-stays", serve)
	if err != nil {
		return nil, err
	}
	leaves, err := startHost(s.rec, "s-leaves", serve)
	if err != nil {
		return nil, err
	}
	entry := func(h *host, state string) target {
		return target{UID: h.uid, Endpoint: h.addr, Zone: "akl-dc1", Kind: "small", Dest: dest, State: state, Rate: 40}
	}
	first := list{Rev: 41, All: true, Targets: []target{entry(stays, "up"), entry(leaves, "up")}}
	for i := 2; i < hosts; i++ { // hosts of destinations that no message goes to
		first.Targets = append(first.Targets, target{UID: fmt.Sprintf("s-%08x", 0x5be20000+i),
			Endpoint: fmt.Sprintf("127.%d.%d.%d:7070", 1+i/40000, i/200%200+1, i%200+1), Zone: "akl-dc1", Kind: "small",
			Dest: 100 + i/2, State: "up", Rate: 12})
	}
	a, err := startAgent(s.rec, first)
	if err != nil {
		return nil, err
	}
	p, err := newRelay(s.rec, s.root, s.dir, a.addr, first, limits(192, 1024), settings(8, 125, []map[string]any{
		class("trip-status", "idempotent", 4, 16, 2, false, 5, "all")}, []kind{{"small", false, 1}}, nil))
	if err != nil {
		return nil, err
	}
	track(p)
	if err := p.start(); err != nil {
		return nil, err
	}
	number := 0
	c := &client{relay: p}
	send := func(n int) (taken int) {
		for range n {
			number++
			if status, _ := c.hand(message{id: fmt.Sprintf("m%06d", number), lane: "trip-status", dest: dest, left: 12 * time.Second,
				body: []byte("hello")}); status == 202 || status == 200 {
				taken++
			}
			time.Sleep(100 * time.Millisecond)
		}
		return taken
	}
	if send(20) < 20 || len(leaves.all()) == 0 {
		return nil, fmt.Errorf("the relay did not call both hosts before the disruption")
	}
	a.change(entry(leaves, "draining"))
	told := s.rec.now()
	time.Sleep(3 * time.Second)
	called := len(leaves.all())
	if send(20); len(leaves.all()) > called {
		return nil, fmt.Errorf("the relay called the host before the restart already: it did not learn of the drain")
	}
	s.rec.log("the relay has acted on the list: 20 messages, none of them to %s", leaves.uid)
	a.change(entry(leaves, "removed"))
	time.Sleep(2 * time.Second)
	a.setDown(s.trouble)
	time.Sleep(500 * time.Millisecond)
	p.kill()
	c.close()
	time.Sleep(600 * time.Millisecond)
	if err := p.start(); err != nil {
		return nil, err
	}
	called = len(stays.all())
	if taken := send(40); taken == 0 {
		return nil, fmt.Errorf("the relay took nothing on after the restart")
	}
	a.setDown(false)
	time.Sleep(2 * time.Second)
	s.rec.log("after the restart: %d calls to %s", len(stays.all())-called, stays.uid)
	var breaks []string
	for _, x := range leaves.all() {
		if x.At > told+grace {
			breaks = append(breaks, fmt.Sprintf("call id=%s to %s, %.1f s after the relay was told that it drains", x.ID, x.Host, (x.At-told).Seconds()))
		}
	}
	return breaks, nil
}
