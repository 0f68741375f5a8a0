package platform

import (
	"math"
	"time"

	"basaltcross.example/basaltcross/internal/addr"
)

// Figures of the platform's protocol.
const (
	bodyBytes   = 64 << 10 // longest body
	headerBytes = 16 << 10
	// A client waits so long for its answer (PROTOCOL); a request that is not whole
	// within twice that has lost its client.
	clientWaits = 400 * time.Millisecond
	// A request has its response within this whatever its records wait for: half of what its
	// client waits, for the relay may be held up for 0.15 s before it writes (STANDING).
	respondWithin = clientWaits / 2
	// A message that was taken and has surely not run costs this share of its worth where
	// it is given up before that share of its time (STANDING).
	takenBack, takenBackBefore = 0.3, 0.7
	// A connection that says nothing is owed its close 3 s after it came up, and one
	// without an open request may be closed after 2 s (DAYS).
	silent = 2*time.Second + 100*time.Millisecond
	// Nor may a request that does not end take longer than 3 s since its connection came up.
	whole = 2500 * time.Millisecond
	// A client that reads the end closes at once; one that does not is not waited for.
	linger = time.Second
)

// Bounds are what a node allows itself, each from the limits and settings.
type Bounds struct {
	Procs       int   // GOMAXPROCS
	Memory      int64 // bytes at which the runtime collects harder
	Files       int   // highest descriptor
	Clients     int   // connections of clients
	Lingering   int   // further ones that the relay has shut and the client has not
	Kept        int   // of them between two requests
	Hosts       int   // connections to hosts, idle ones included
	Held        int   // messages held
	Identities  int   // of messages held and ended
	Notices     int   // owed to the platform
	Disk        int64 // bytes of the journal
	List        int64 // bytes of the list of hosts in the same folder
	WriteBuffer int   // bytes waiting for one client
	Keep        addr.PoolSettings
}

// reserved descriptors: standard streams, the runtime's poller with its event descriptor, the
// journal's segments, the agent's connections, the runtime.
const reserved = 40

// BoundsOf derives them. Descriptors: what is not reserved goes half to clients, who
// may use a third of all for requests, and half to hosts: a slot each, and as many
// idle connections as are left. Memory: the runtime's soft limit leaves a quarter to
// what it does not count and to the files of the folder.
func BoundsOf(c *Config) Bounds {
	l, s := c.Limits, &c.Settings
	free := l.Sockets - reserved
	b := Bounds{Procs: max(1, int(math.Ceil(l.Cores))), Files: l.Sockets, Disk: int64(l.DiskMB * (1 << 20)),
		Memory: int64(l.MemoryMB)<<20*3/4 - int64(l.DiskMB*(1<<20)), WriteBuffer: 64 << 10}
	b.List = b.Disk / 16 // twice that while a new one takes the old one's place
	b.Disk -= 2 * b.List
	b.Memory = max(b.Memory, int64(l.MemoryMB)<<20/2)
	b.Clients = free * 4 / 9
	b.Lingering = free / 9
	b.Kept = l.Sockets / 4 // of the third that clients may use, so that some of it is always free
	b.Hosts = free - b.Clients - b.Lingering
	b.Held = s.MaxHeld
	b.Identities = max(1024, 48*l.MemoryMB)
	b.Notices = max(1024, 16*l.MemoryMB)
	idle := s.ConnIdle - s.ConnIdle/8 // the margin before the host's own end
	b.Keep = addr.PoolSettings{IdleTimeout: idle, MaxIdle: max(1, s.Workers), MaxConnecting: max(1, s.Workers)}
	return b
}
