// Case 3: clients that stop in the middle of a request take a relay over its limit on memory.
package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"basaltcross.example/review/kit"
)

const (
	memoryMB = 32                     // of "32 to 192 MB"
	sockets  = 1024                   // of "256 to 1,024 descriptors"
	bad      = 320                    // bad clients, a connection each: under a third of the descriptors
	good     = 4                      // usual clients
	bodySize = 64 << 10               // "A body holds at most 64 KiB"
	begin    = 3 * time.Second        // of the trouble
	length   = 15 * time.Second       // of the run
	sample   = 20 * time.Millisecond  // between two looks at the memory
	rest     = 200 * time.Millisecond // of a usual client between two requests
)

// stopWithin sends a hand-in but its last byte, waits for the relay's error or close, and comes again.
func stopWithin(rec *kit.Recorder, r *kit.Relay, n int, end time.Duration, ended *atomic.Int64) {
	for k := 0; rec.Now() < end && !r.Ended(); k++ {
		c, err := net.DialTimeout("tcp", r.Listen, time.Second)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		request := kit.Message{ID: fmt.Sprintf("bad-%d-%d", n, k), Lane: "trip-status", Dest: 1, Remaining: 4 * time.Second,
			Body: make([]byte, bodySize)}.Request()
		sent, _ := c.Write(request[:len(request)-1])
		_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
		answer := make([]byte, 4096)
		got := 0
		for {
			k, err := c.Read(answer[got:])
			if got += k; err != nil {
				break
			}
		}
		status, _, _ := strings.Cut(string(answer[:got]), "\r\n")
		rec.Line("bad client %d sent %d of %d bytes, got %q and the close", n, sent, len(request), status)
		_ = c.Close()
		ended.Add(1)
	}
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
	host, err := kit.NewHost(rec, func(c *kit.Call) bool {
		time.Sleep(100 * time.Millisecond)
		kit.RespondAll(c, "delivered")
		rec.Line("host ran and answered %v", c.IDs)
		return true
	})
	if err != nil {
		return 2, err
	}
	agent, err := kit.NewAgent(rec, []kit.Target{{UID: "s-1", Endpoint: host.Addr(), Zone: "akl-dc1", Kind: "small", Dest: 1,
		State: "up", Rate: 100}})
	if err != nil {
		return 2, err
	}
	settings := kit.Settings([]kit.Class{
		{Name: "trip-status", Aim: 4, GiveUp: 12, Effect: "idempotent", Group: "all", Late: 0.5, Window: 5, Worth: 2}}, nil)
	r, err := kit.NewRelay(rec, "n0", root, dir, kit.Limits{Cores: 0.5, MemoryMB: memoryMB, Sockets: sockets, DiskMB: 3}, settings, agent)
	if err != nil {
		return 2, err
	}
	defer r.Kill()
	if err := r.Start(); err != nil {
		return 2, err
	}
	end := rec.Now() + length
	var clients sync.WaitGroup
	for i := range good {
		clients.Go(func() {
			c := kit.NewClient(r.Listen)
			defer c.Close()
			for n := 0; rec.Now() < end && !r.Ended(); n++ {
				id := fmt.Sprintf("good-%d-%d", i, n)
				rec.Line("client hands in %s: %d", id, c.HandIn(kit.Message{ID: id, Lane: "trip-status", Dest: 1,
					Remaining: 4 * time.Second, Body: []byte("status")}))
				time.Sleep(rest)
			}
		})
	}
	var rounds atomic.Int64
	if os.Getenv("TROUBLE") != "0" {
		for i := range bad {
			clients.Go(func() {
				time.Sleep(begin)
				stopWithin(rec, r, i, end, &rounds)
			})
		}
	}
	peak, killed := 0, false
	for looks := 0; rec.Now() < end; looks++ {
		now := r.AnonymousKB()
		if peak = max(peak, now); looks%25 == 0 {
			rec.Line("the relay's anonymous memory: %d KiB", now)
		}
		if now > memoryMB<<10 { // the platform's part: "Over memory_mb the relay is killed"
			rec.Line("the relay's anonymous memory is %d KiB, its limit %d KiB: killed", now, memoryMB<<10)
			r.Signal(syscall.SIGKILL)
			killed = true
			break
		}
		if r.Ended() {
			break
		}
		time.Sleep(sample)
	}
	crashed := killed || r.Ended()
	clients.Wait()
	rec.Line("peak %d KiB, limit %d KiB; %d requests of bad clients ended; crashed: %v", peak, memoryMB<<10, rounds.Load(), crashed)
	fmt.Printf("peak of anonymous memory %d KiB, limit %d KiB; crashed: %v\n", peak, memoryMB<<10, crashed)
	if crashed {
		return 1, nil
	}
	return 0, nil
}

func main() { kit.Main(run) }
