package emulator

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// Range of the ports of a platform's servers and nodes. It lies below the system's ephemeral ports, so that a node
// that restarts finds its port still free.
const firstPort, lastPort = 12_000, 32_000

// portAttempts bounds the attempts to find a port that no other program listens on.
const portAttempts = 100

// addresses hands out addresses with ports that were not used before: each server and node of a platform stands for a
// machine of its own, whose old address never becomes another one's.
type addresses struct {
	ip string // loopback address; other platforms on this machine use others

	mu   sync.Mutex
	used map[int]bool
}

// listen listens on an address that was not used before.
func (a *addresses) listen() (net.Listener, error) {
	var err error
	for range portAttempts {
		var l net.Listener
		if l, err = net.Listen("tcp", fmt.Sprintf("%s:%d", a.ip, a.unusedPort())); err == nil {
			return l, nil
		}
	}
	return nil, fmt.Errorf("emulator: no free port found in %d attempts: %w", portAttempts, err)
}

// unusedPort returns a port that it has not returned before, as long as there are any.
func (a *addresses) unusedPort() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	port := firstPort + rand.IntN(lastPort-firstPort)
	for len(a.used) < lastPort-firstPort && a.used[port] {
		port = firstPort + rand.IntN(lastPort-firstPort)
	}
	a.used[port] = true
	return port
}

// FreeAddr returns an address for a node that was not used before and is free at the moment.
func (p *Platform) FreeAddr() (string, error) {
	l, err := p.addresses.listen()
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}
