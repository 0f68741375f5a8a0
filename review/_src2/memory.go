package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["memory"] = memory }

// memory plays a relay with 32 MB and 1,024 descriptors. Bad clients send hand-ins with the id of a message that was
// taken on already, hundreds at once and again as soon as they are turned away. The rule: the relay stays within its
// memory.
func memory(s *scene) ([]string, error) {
	const (
		dest       = 7
		memoryMB   = 32
		badClients = 330 // with the usual ones under a third of the descriptors, 341
		usual      = 10
		length     = 30 * time.Second
	)
	first := list{Rev: 41, All: true}
	for i := range 4 {
		h, err := startHost(s.rec, fmt.Sprint("s-", i), func(call) answer { return answer{after: 200 * time.Millisecond, status: 200} })
		if err != nil {
			return nil, err
		}
		first.Targets = append(first.Targets, target{UID: h.uid, Endpoint: h.addr, Zone: "akl-dc1", Kind: "small", Dest: dest, State: "up", Rate: 150})
	}
	a, err := startAgent(s.rec, first)
	if err != nil {
		return nil, err
	}
	p, err := newRelay(s.rec, s.root, s.dir, a.addr, first, limits(memoryMB, 1024), settings(40, 400, []map[string]any{
		class("trip-status", "idempotent", 4, 12, 2, false, 5, "all")}, []kind{{"small", false, 1}}, nil))
	if err != nil {
		return nil, err
	}
	track(p)
	if err := p.start(); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var taken, turnedAway, unanswered atomic.Int64
	var known atomic.Pointer[string] // id of the message taken on last
	for k := range usual {           // about 100 messages a second in all
		clients.Go(func() {
			c := &client{relay: p}
			defer c.close()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				id := fmt.Sprintf("m%dn%05d", k, n)
				if status, _ := c.hand(message{id: id, lane: "trip-status", dest: dest, left: 12 * time.Second,
					body: make([]byte, 500)}); status == http.StatusAccepted {
					taken.Add(1)
					known.Store(&id)
				}
			}
		})
	}
	body := make([]byte, 64<<10)
	for i := range body {
		body[i] = 'x'
	}
	pad := strings.Repeat("x", 15000) // a header holds at most 16 KiB here; the pages name none
	bad := func() {
		conn, err := net.Dial("tcp", p.listen)
		if err != nil {
			return
		}
		defer conn.Close()
		in := bufio.NewReader(conn)
		for {
			select {
			case <-stop:
				return
			default:
			}
			_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
			id := *known.Load()
			fmt.Fprintf(conn, "POST /api HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: %s\r\nX-Lane: trip-status\r\nX-Remaining-Ms: 4000\r\n"+
				"Content-Length: %d\r\nX-Addressing: dest=%d\r\nX-Note: %s\r\n\r\n", id, len(body), dest, pad)
			if _, err := conn.Write(body); err != nil {
				return
			}
			r, err := http.ReadResponse(in, nil)
			if err != nil {
				unanswered.Add(1)
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			turnedAway.Add(1)
			s.rec.log("bad hand-in id=%s answered=%d", id, r.StatusCode)
			if r.Close {
				return
			}
		}
	}
	time.Sleep(2 * time.Second)
	if known.Load() == nil {
		return nil, fmt.Errorf("the relay took nothing on before the disruption")
	}
	if s.trouble {
		s.rec.log("%d bad clients come", badClients)
		for range badClients {
			clients.Go(func() {
				for {
					select {
					case <-stop:
						return
					default:
						bad()
					}
				}
			})
		}
	}
	most, breaks := 0.0, []string(nil)
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if !p.alive() {
			breaks = append(breaks, "the relay ended by itself")
			break
		}
		if now := p.rss(); now > most {
			most = now
			s.rec.log("anonymous memory %.1f MB", now)
		}
		if most > memoryMB {
			breaks = append(breaks, fmt.Sprintf("%.1f MB of %d MB: the platform kills the relay", most, memoryMB))
			p.kill()
			break
		}
	}
	close(stop)
	if p.alive() {
		p.kill()
	}
	clients.Wait()
	s.rec.log("usual messages taken on %d; bad hand-ins answered %d, not answered %d; most anonymous memory %.1f MB", taken.Load(),
		turnedAway.Load(), unanswered.Load(), most)
	return breaks, nil
}
