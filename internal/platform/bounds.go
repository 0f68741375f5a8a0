package platform

import (
	"math"
	"time"

	"basaltcross.example/basaltcross/internal/addr"
)

// Limits and times that follow from the platform's protocol.
const (
	maxBodyBytes   = 64 << 10 // bytes of the longest request or response body
	maxHeaderBytes = 16 << 10
	// How long a client waits for its answer (PROTOCOL). The client of a request that is not
	// complete within twice that time has given up.
	clientTimeout = 400 * time.Millisecond
	// Longest time to the response of a request, even if its journal records are not written
	// yet: half of what its client waits, since the relay may be stalled for 0.15 s before it
	// writes the response (STANDING).
	responseTimeout = clientTimeout / 2
	// A message that was accepted and has certainly not run costs the share shedPenaltyCost of
	// its worth if it is given up before the share shedPenaltyBefore of its time (STANDING).
	shedPenaltyCost, shedPenaltyBefore = 0.3, 0.7
	// Idle time after which a connection is closed: one that sends nothing must be closed
	// within 3 s of its start, and one without an open request may be closed after 2 s (DAYS).
	idleTimeout = 2*time.Second + 100*time.Millisecond
	// Longest time for reading a request: one that never completes must be closed within 3 s of
	// the start of its connection.
	requestReadTimeout = 2500 * time.Millisecond
	// Longest wait for the client's close on a half-closed connection. A client that reads the
	// end of the stream closes at once; one that does not is not worth waiting for.
	lingerTimeout = time.Second
)

// Bounds are the resource limits of a node, derived from the machine's limits and the settings.
type Bounds struct {
	Procs       int   // GOMAXPROCS
	Memory      int64 // the runtime's soft limit, bytes
	Files       int   // file descriptors
	Clients     int   // open connections of clients
	Lingering   int   // further connections that the relay has half-closed and the client has not closed
	Kept        int   // client connections kept open between two requests
	Hosts       int   // sockets to hosts, including idle ones and those that are being opened or closed
	Calls       int   // calls in flight: one for each slot, as far as the sockets to hosts allow
	Held        int   // messages held at once
	Identities  int   // identities remembered, of messages held and ended
	Notices     int   // notices not yet delivered to the platform
	Disk        int64 // size of the journal, bytes
	List        int64 // size of each of the two files of the saved host list in the same folder, bytes
	WriteBuffer int   // unsent bytes per client
	Partial     int64 // bytes of requests that have not arrived completely
	Arrivals    int   // bytes of complete hand-ins that wait for the core, and of those that it processes
	Keep        addr.PoolSettings
}

// reservedDescriptors is the number of file descriptors kept for the standard streams, the
// runtime's poller with its event descriptor, the journal's segments, the connections to the
// agent, and the runtime.
const reservedDescriptors = 40

// Parts of the memory that clients' requests may hold, as divisors.
const (
	partialShare = 4 // those that have not arrived completely: at least 64 of the longest ones with 32 MB
	arrivalShare = 8 // those that wait for the core, and again those that it processes: 32 of the longest ones each
)

// BoundsOf derives the bounds of a node from its configuration. Of the descriptors that are not
// reserved, a ninth goes to connections of clients that the relay has half-closed; hostSockets
// divides the others between clients and hosts. The runtime's soft memory limit leaves a quarter of the memory for what the runtime does not count and for the files of the
// state folder.
func BoundsOf(c *Config) Bounds {
	l, s := c.Limits, &c.Settings
	free := l.Sockets - reservedDescriptors
	b := Bounds{Procs: max(1, int(math.Ceil(l.Cores))), Files: l.Sockets, Disk: int64(l.DiskMB * (1 << 20)),
		Memory: int64(l.MemoryMB)<<20*3/4 - int64(l.DiskMB*(1<<20)), WriteBuffer: 64 << 10}
	b.List = b.Disk / 16
	b.Disk -= 2 * b.List
	b.Memory = max(b.Memory, int64(l.MemoryMB)<<20/2)
	b.Partial = b.Memory / partialShare
	b.Arrivals = int(b.Memory / arrivalShare)
	b.Lingering = free / 9
	b.Hosts = hostSockets(l.Sockets, free, b.Lingering, s.Workers)
	b.Clients = free - b.Lingering - b.Hosts
	b.Calls = min(s.Workers, b.Hosts)
	b.Kept = l.Sockets / 4 // less than the third that clients may use, so that some of it stays free
	b.Held = s.MaxHeld
	b.Identities = max(1024, 48*l.MemoryMB)
	b.Notices = max(1024, 16*l.MemoryMB)
	idle := s.ConnIdle - s.ConnIdle/8 // margin before the host closes the connection itself
	b.Keep = addr.PoolSettings{IdleTimeout: idle, MaxIdle: max(1, s.Workers), MaxConnecting: max(1, s.Workers)}
	return b
}

// hostSockets returns how many of the free descriptors go to hosts: half of what lingering connections leave, or one
// for each slot if that is more, as long as clients keep the third of all descriptors that they may use for requests
// (DAYS).
func hostSockets(all, free, lingering, slots int) int {
	half := free - lingering - free*4/9
	most := free - lingering - (all+2)/3
	return max(half, min(slots, most))
}
