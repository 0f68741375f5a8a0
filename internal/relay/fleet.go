package relay

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"basaltcross.example/basaltcross/internal/catalog"
	"basaltcross.example/basaltcross/internal/config"
	"basaltcross.example/basaltcross/internal/directory"
	"basaltcross.example/basaltcross/internal/keys"
	"basaltcross.example/basaltcross/internal/member"
	"basaltcross.example/basaltcross/internal/obs"
)

// sources are those of the configuration, the file first.
func sources(cfg *config.Config, ring *keys.CertStore, names directory.Names) (out []directory.Source,
	clients []*catalog.Client, err error) {
	if cfg.Directory.File != "" {
		out = append(out, &directory.File{Path: cfg.Directory.File, Names: names, MaxBytes: cfg.Limits.ListBytes})
	}
	for _, k := range cfg.Directory.Consul {
		o := catalog.Options{Address: k.Address, Token: k.Token, TokenFile: k.TokenFile, Datacenter: k.Datacenter,
			Namespace: k.Namespace, Partition: k.Partition, Consistency: k.Consistency, MaxStale: k.MaxStale.D(),
			Wait: k.Wait.D(), MaxBytes: int64(cfg.Limits.ListBytes)}
		if k.TLS != nil {
			of, err := clientTLS(ring, k.TLS)
			if err != nil {
				return nil, nil, fmt.Errorf("consul %s: %w", k.Name, err)
			}
			o.TLS = of()
			o.TLS.NextProtos = nil
			o.TLS.MinVersion = tls.VersionTLS12
		}
		c, err := catalog.New(o)
		if err != nil {
			return nil, nil, fmt.Errorf("consul %s: %w", k.Name, err)
		}
		clients = append(clients, c)
		for _, s := range k.Services {
			out = append(out, &directory.Consul{Name: k.Name + "/" + s.Service, Client: c,
				CatalogID: strings.Join([]string{k.Address, k.Datacenter, k.Namespace, k.Partition}, " "),
				Mapping: catalog.Mapping{Service: s.Service, Tags: s.Tags, Filter: s.Filter, Partner: s.Partner, Zone: s.Zone,
					Tagged: s.Tagged, UseHealth: s.Health == "use", CatalogOnly: s.Health == "barred"}})
		}
	}
	return out, clients, nil
}

// follower keeps the relay registered, and tells the core of the fleet.
type follower struct {
	client *catalog.Client
	reg    catalog.Registration
	tell   func(index, size int)
	obs    *obs.Relay
	epoch  time.Time

	mu    sync.Mutex
	fleet *member.Fleet
	index int
	size  int
	wake  chan struct{}
}

func newFollower(cfg *config.Config, c *catalog.Client, tell func(index, size int), o *obs.Relay) *follower {
	var boot [4]byte
	_, _ = rand.Read(boot[:])
	self := member.Peer{Name: cfg.Relay.Name, RunID: hex.EncodeToString(boot[:]),
		StartedMS: time.Now().UnixMilli(), Healthy: true}
	return &follower{client: c, tell: tell, obs: o, epoch: time.Now(), wake: make(chan struct{}, 1),
		reg: catalog.Registration{Service: cfg.Fleet.Service, Self: self, TTL: cfg.Fleet.TTL.D()},
		fleet: member.NewFleet(member.FleetSettings{Self: self, Size: cfg.Relay.Fleet, LossDelay: cfg.Fleet.Late.D(),
			MassLossDelay: cfg.Fleet.Hold.D()}),
		index: cfg.Relay.Index, size: cfg.Relay.Fleet}
}

// run follows the fleet until ctx ends.
func (f *follower) run(ctx context.Context, listen []string) {
	var wait sync.WaitGroup
	defer wait.Wait()
	if len(listen) > 0 {
		host, port, _ := net.SplitHostPort(listen[0])
		f.reg.Address = host
		f.reg.Port, _ = strconv.Atoi(port)
	}
	failed := func(err error) { f.obs.ListError("fleet", err) }
	wait.Go(func() { f.client.KeepRegistered(ctx, f.reg, failed) })
	wait.Go(func() {
		f.client.WatchPeers(ctx, f.reg.Service, func(peers []member.Peer, fresh bool) {
			f.mu.Lock()
			f.fleet.Report(time.Since(f.epoch), peers, fresh)
			f.mu.Unlock()
			f.nudge()
		}, failed)
	})
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.wake:
		case <-timer.C:
		}
		next := f.look()
		sleep := time.Hour
		if next >= 0 {
			sleep = max(next-time.Since(f.epoch), time.Millisecond)
		}
		timer.Reset(sleep)
	}
}

func (f *follower) nudge() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// look tells the core what changed.
func (f *follower) look() (next time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	index, size, next, twice := f.fleet.View(time.Since(f.epoch))
	if index != f.index || size != f.size {
		f.index, f.size = index, size
		f.tell(index, size)
		f.obs.Fleet(size)
		f.obs.Logf("the fleet has %d relays, this is number %d", size, index)
	}
	for _, name := range twice {
		f.obs.ListError("fleet", fmt.Errorf("two running relays bear the name %s", name))
	}
	return next
}

// Directory is the report on endpoints' sources and the fleet.
type Directory struct {
	Endpoints int                  `json:"endpoints"`
	Sources   []member.SourceState `json:"sources"`
	Fleet     int                  `json:"fleet"`
	Index     int                  `json:"index"`
}

// Directory tells how the sources stand.
func (r *Relay) Directory() Directory {
	d := Directory{r.list.Endpoints(), r.list.Sources(), r.cfg.Relay.Fleet, r.cfg.Relay.Index}
	if f := r.fleet; f != nil {
		f.mu.Lock()
		defer f.mu.Unlock()
		d.Fleet, d.Index = f.size, f.index
	}
	return d
}
