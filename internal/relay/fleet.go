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

// directorySources returns the endpoint sources that the configuration names: the
// list file first, then the services of each Consul catalogue. It also returns the
// Consul clients.
func directorySources(cfg *config.Config, certStore *keys.CertStore, names directory.Names) (
	out []directory.Source, clients []*catalog.Client, err error) {
	if cfg.Directory.File != "" {
		out = append(out, &directory.File{Path: cfg.Directory.File, Names: names, MaxBytes: cfg.Limits.ListBytes})
	}
	for _, k := range cfg.Directory.Consul {
		o := catalog.Options{Address: k.Address, Token: k.Token, TokenFile: k.TokenFile, Datacenter: k.Datacenter,
			Namespace: k.Namespace, Partition: k.Partition, Consistency: k.Consistency, MaxStale: k.MaxStale.D(),
			Wait: k.Wait.D(), MaxBytes: int64(cfg.Limits.ListBytes)}
		if k.TLS != nil {
			newTLSConfig, err := clientTLS(certStore, k.TLS)
			if err != nil {
				return nil, nil, fmt.Errorf("consul %s: %w", k.Name, err)
			}
			o.TLS = newTLSConfig()
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

// fleetMembership keeps the relay registered in the catalogue, watches the other
// relays of the fleet and reports changes of the fleet's size and of this relay's
// index in it.
type fleetMembership struct {
	client   *catalog.Client
	reg      catalog.Registration
	onChange func(index, size int)
	obs      *obs.Relay
	epoch    time.Time // origin of the times given to fleet

	mu    sync.Mutex // guards fleet, index and size
	fleet *member.Fleet
	index int
	size  int
	wake  chan struct{} // signals run that fleet has a new report
}

func newFleetMembership(cfg *config.Config, c *catalog.Client, onChange func(index, size int),
	o *obs.Relay) *fleetMembership {
	var runID [4]byte
	_, _ = rand.Read(runID[:])
	self := member.Peer{Name: cfg.Relay.Name, RunID: hex.EncodeToString(runID[:]),
		StartedMS: time.Now().UnixMilli(), Healthy: true}
	return &fleetMembership{client: c, onChange: onChange, obs: o, epoch: time.Now(), wake: make(chan struct{}, 1),
		reg: catalog.Registration{Service: cfg.Fleet.Service, Self: self, TTL: cfg.Fleet.TTL.D()},
		fleet: member.NewFleet(member.FleetSettings{Self: self, Size: cfg.Relay.Fleet, LossDelay: cfg.Fleet.Late.D(),
			MassLossDelay: cfg.Fleet.Hold.D()}),
		index: cfg.Relay.Index, size: cfg.Relay.Fleet}
}

// run registers the relay under its first listen address and watches the fleet
// until ctx ends.
func (f *fleetMembership) run(ctx context.Context, listen []string) {
	var wait sync.WaitGroup
	defer wait.Wait()
	if len(listen) > 0 {
		host, port, _ := net.SplitHostPort(listen[0])
		f.reg.Address = host
		f.reg.Port, _ = strconv.Atoi(port)
	}
	onError := func(err error) { f.obs.ListError("fleet", err) }
	wait.Go(func() { f.client.KeepRegistered(ctx, f.reg, onError) })
	wait.Go(func() {
		f.client.WatchPeers(ctx, f.reg.Service, func(peers []member.Peer, fresh bool) {
			f.mu.Lock()
			f.fleet.Report(time.Since(f.epoch), peers, fresh)
			f.mu.Unlock()
			f.wakeUp()
		}, onError)
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
		next := f.reportChanges()
		sleep := time.Hour
		if next >= 0 {
			sleep = max(next-time.Since(f.epoch), time.Millisecond)
		}
		timer.Reset(sleep)
	}
}

// wakeUp makes run check for changes without waiting for its timer.
func (f *fleetMembership) wakeUp() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// reportChanges calls onChange if the fleet's size or the relay's index changed, and
// logs relays that share a name. It returns when it is due again, as time since the
// epoch; below 0 nothing is due.
func (f *fleetMembership) reportChanges() (next time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	index, size, next, duplicates := f.fleet.View(time.Since(f.epoch))
	if index != f.index || size != f.size {
		f.index, f.size = index, size
		f.onChange(index, size)
		f.obs.Fleet(size)
		f.obs.Logf("the fleet has %d relays, this is number %d", size, index)
	}
	for _, name := range duplicates {
		f.obs.ListError("fleet", fmt.Errorf("two running relays are both named %s", name))
	}
	return next
}

// Directory is the status report on endpoint sources and fleet membership.
type Directory struct {
	Endpoints int                  `json:"endpoints"`
	Sources   []member.SourceState `json:"sources"`
	Fleet     int                  `json:"fleet"`
	Index     int                  `json:"index"`
}

// Directory returns the current state of the endpoint sources and of the fleet.
func (r *Relay) Directory() Directory {
	d := Directory{r.directory.Endpoints(), r.directory.Sources(), r.cfg.Relay.Fleet, r.cfg.Relay.Index}
	if f := r.fleet; f != nil {
		f.mu.Lock()
		defer f.mu.Unlock()
		d.Fleet, d.Index = f.size, f.index
	}
	return d
}
