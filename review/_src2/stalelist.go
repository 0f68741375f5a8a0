package main

import (
	"fmt"
	"time"
)

func init() { cases["stale-list"] = staleList }

// staleList plays a fleet with 3,200 hosts. One of the two hosts of destination 7 drains, is removed and ends; a new host
// of destination 8 starts at its address. The relay is told all of it while discovery is up, and acts on it. Then
// discovery is down, and the relay is killed and started again with its folder. The rules: a message goes to a host of its
// destination, and a host that was told to be gone gets nothing new.
func staleList(s *scene) ([]string, error) {
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
	entry := func(h *host, dest int, state string) target {
		return target{UID: h.uid, Endpoint: h.addr, Zone: "akl-dc1", Kind: "small", Dest: dest, State: state, Rate: 40}
	}
	first := list{Rev: 41, All: true, Targets: []target{entry(stays, dest, "up"), entry(leaves, dest, "up")}}
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
		class("ride-charge", "at_most_once", 4, 12, 1, false, 5, "all")}, []kind{{"small", false, 1}}, nil))
	if err != nil {
		return nil, err
	}
	track(p)
	if err := p.start(); err != nil {
		return nil, err
	}
	c := &client{relay: p}
	number, destOf := 0, map[string]int{}
	send := func(n, dest int) (taken int) {
		for range n {
			number++
			m := message{id: fmt.Sprintf("m%06d", number), lane: "ride-charge", dest: dest, left: 12 * time.Second, body: []byte("hello")}
			destOf[m.id] = dest
			if status, _ := c.hand(m); status == 202 || status == 200 {
				taken++
			}
			time.Sleep(100 * time.Millisecond)
		}
		return taken
	}
	if send(20, dest) < 20 || len(leaves.all()) == 0 {
		return nil, fmt.Errorf("the relay did not call both hosts before the disruption")
	}
	a.change(entry(leaves, dest, "draining"))
	time.Sleep(2 * time.Second)
	a.change(entry(leaves, dest, "removed"))
	told := s.rec.now()
	time.Sleep(2 * time.Second)
	leaves.end()
	other, err := startHostAt(s.rec, "s-other", leaves.addr, serve)
	if err != nil {
		return nil, err
	}
	a.change(entry(other, dest+1, "up"))
	time.Sleep(time.Second)
	send(20, dest)
	send(5, dest+1)
	time.Sleep(500 * time.Millisecond)
	if got := other.all(); len(got) != 5 || destOf[got[0].ID] != dest+1 {
		return nil, fmt.Errorf("the relay did not act on the list before the restart: %d calls to s-other", len(got))
	}
	s.rec.log("the relay has acted on the list: 20 messages to destination 7, 5 to destination 8, each to its own hosts")
	a.setDown(s.trouble)
	time.Sleep(500 * time.Millisecond)
	p.kill()
	c.close()
	time.Sleep(600 * time.Millisecond)
	if err := p.start(); err != nil {
		return nil, err
	}
	before := len(stays.all())
	taken := send(40, dest)
	a.setDown(false)
	time.Sleep(13 * time.Second)
	s.rec.log("after the restart: %d messages taken on, %d calls to s-stays", taken, len(stays.all())-before)
	if taken == 0 {
		return nil, fmt.Errorf("the relay took nothing on after the restart")
	}
	var breaks []string
	for _, x := range other.all() {
		if destOf[x.ID] != dest+1 && x.At > told+grace {
			notices := a.noticesOf(x.ID)
			breaks = append(breaks, fmt.Sprintf("message id=%s for destination %d sent to %s of destination %d, %.1f s after the relay was told; notices: %d",
				x.ID, destOf[x.ID], x.Host, dest+1, (x.At-told).Seconds(), len(notices)))
		}
	}
	return breaks, nil
}
