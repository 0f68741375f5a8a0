package standin

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"basaltcross.example/basaltcross/internal/pause"
)

// Instance is a service instance in the stand-in catalogue.
type Instance struct {
	ID, Service string
	Address     string
	Port        int
	Tags        []string
	Meta        map[string]string
	Tagged      map[string]string // tagged addresses by name
	Check       string            // status of the health check; empty for no check
	Maintenance bool              // adds a critical maintenance check
	Node        string
	NodeMeta    map[string]string

	ttl       time.Duration // TTL of the check; 0 if it does not expire
	refreshed time.Time
}

// CatalogFaults is the set of faults injected into the stand-in catalogue. The zero value injects none.
type CatalogFaults struct {
	Status      int           // HTTP status of every response; 0 for no fault
	Down        bool          // closes connections without a response
	Hang        bool          // sends the response headers and no content
	Truncate    bool          // truncates the JSON to half its length
	Slow        time.Duration // delay between the two halves of the content
	NonBlocking bool          // blocking queries return immediately
	Empty       bool          // lists no instances
	OmitHalf    bool          // omits every second instance
	NoLeader    bool          // sends X-Consul-KnownLeader: false
	LastContact time.Duration // age in X-Consul-LastContact
	Index       uint64        // replaces the value of X-Consul-Index; 0 for no fault
}

// Consul is a stand-in for the parts of Consul's HTTP API that relays use, written from its
// public documentation: blocking queries of the catalogue and health endpoints, and service
// registration with TTL checks at an agent.
type Consul struct {
	Addr string
	srv  *http.Server

	mu           sync.Mutex
	index        uint64
	serviceIndex map[string]uint64 // index of the last change of each service
	globalIndex  uint64            // index of the last change of all services
	instances    map[string]*Instance
	changed      map[string]chan struct{} // by service; closed at its next change
	faults       CatalogFaults
	Queries      int
	stop         chan struct{}
}

// StartConsul starts a stand-in on a free port of 127.0.0.1.
func StartConsul() (*Consul, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("standin: %w", err)
	}
	c := &Consul{Addr: l.Addr().String(), index: 10, serviceIndex: map[string]uint64{}, globalIndex: 10,
		instances: map[string]*Instance{}, changed: map[string]chan struct{}{}, stop: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/health/service/{name}", c.query)
	mux.HandleFunc("GET /v1/catalog/service/{name}", c.query)
	mux.HandleFunc("PUT /v1/agent/service/register", c.register)
	mux.HandleFunc("PUT /v1/agent/service/deregister/{id}", c.deregister)
	mux.HandleFunc("PUT /v1/agent/check/update/{id}", c.updateCheck)
	c.srv = &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = c.srv.Serve(l) }()
	go c.expireChecks()
	return c, nil
}

// Close stops the server and closes its connections.
func (c *Consul) Close() {
	close(c.stop)
	_ = c.srv.Close()
}

// Set replaces the injected faults and answers all blocking queries that wait.
func (c *Consul) Set(t CatalogFaults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = t
	c.bumpIndex()
}

// bumpIndex increments the index and assigns it to the named services, or to all if none is named.
// The caller holds mu.
func (c *Consul) bumpIndex(services ...string) {
	c.index++
	if len(services) == 0 {
		c.globalIndex = c.index
		clear(c.serviceIndex)
		for name := range c.changed {
			services = append(services, name)
		}
	}
	for _, name := range services {
		if ch := c.changed[name]; ch != nil {
			close(ch)
			delete(c.changed, name)
		}
		c.serviceIndex[name] = c.index
	}
}

// indexOf returns the index of a service and a channel that is closed at its next change.
// The caller holds mu.
func (c *Consul) indexOf(service string) (uint64, chan struct{}) {
	if c.changed[service] == nil {
		c.changed[service] = make(chan struct{})
	}
	return max(c.serviceIndex[service], c.globalIndex), c.changed[service]
}

// Reset restarts the index from a low value, as a server restored from a snapshot does.
func (c *Consul) Reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.index = 1
	c.bumpIndex() // all services
}

// Put adds or replaces instances, as one change of the index.
func (c *Consul) Put(list ...Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var services []string
	for _, i := range list {
		c.instances[i.ID] = &i
		services = append(services, i.Service)
	}
	if len(services) > 0 {
		c.bumpIndex(services...)
	}
}

// Delete removes instances. Each removal is a change of the index.
func (c *Consul) Delete(ids ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range ids {
		if i := c.instances[id]; i != nil {
			delete(c.instances, id)
			c.bumpIndex(i.Service)
		}
	}
}

// QueryCount returns the number of queries so far.
func (c *Consul) QueryCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Queries
}

// expireChecks sets checks to critical that were not refreshed within their TTL.
func (c *Consul) expireChecks() {
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-c.stop:
			return
		case now := <-tick.C:
			c.mu.Lock()
			for _, i := range c.instances {
				if i.ttl > 0 && i.Check == "passing" && now.Sub(i.refreshed) > i.ttl {
					i.Check = "critical"
					c.bumpIndex(i.Service)
				}
			}
			c.mu.Unlock()
		}
	}
}

// injectFault applies the faults that replace a response. It reports whether it handled the request.
func (c *Consul) injectFault(w http.ResponseWriter, t CatalogFaults) bool {
	switch {
	case t.Down:
		if h, ok := w.(http.Hijacker); ok {
			if conn, _, err := h.Hijack(); err == nil {
				_ = conn.Close()
			}
		}
	case t.Status > 0:
		http.Error(w, "trouble", t.Status)
	default:
		return false
	}
	return true
}

// query handles a blocking query of the health or the catalogue endpoint. As Consul does, it adds a
// random share of up to 1/16 to the wait; without a valid wait parameter the wait is 5 minutes.
func (c *Consul) query(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	index, _ := strconv.ParseUint(q.Get("index"), 10, 64)
	wait, err := time.ParseDuration(q.Get("wait"))
	if err != nil {
		wait = 5 * time.Minute
	}
	wait += time.Duration(rand.Float64() * float64(wait) / 16)
	c.mu.Lock()
	c.Queries++
	name := r.PathValue("name")
	for end := time.Now().Add(wait); index > 0 && !c.faults.NonBlocking && time.Now().Before(end); {
		now, changed := c.indexOf(name)
		if now != index {
			break
		}
		c.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Until(end)):
		case <-r.Context().Done():
			return
		}
		c.mu.Lock()
	}
	t := c.faults
	now, _ := c.indexOf(name)
	health := strings.HasPrefix(r.URL.Path, "/v1/health/")
	var list []Instance
	for _, i := range c.instances {
		if i.Service == name && !slices.ContainsFunc(q["tag"], func(t string) bool { return !slices.Contains(i.Tags, t) }) {
			list = append(list, *i)
		}
	}
	c.mu.Unlock()
	if c.injectFault(w, t) {
		return
	}
	slices.SortFunc(list, func(a, b Instance) int { return strings.Compare(a.ID, b.ID) })
	if t.Empty {
		list = nil
	}
	out := []any{}
	for n, i := range list {
		if t.OmitHalf && n%2 == 1 {
			continue
		}
		if health {
			out = append(out, i.health())
		} else {
			out = append(out, i.catalog())
		}
	}
	body, _ := json.Marshal(out)
	if t.Index > 0 {
		now = t.Index
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("X-Consul-Index", strconv.FormatUint(now, 10))
	h.Set("X-Consul-KnownLeader", strconv.FormatBool(!t.NoLeader))
	h.Set("X-Consul-LastContact", strconv.FormatInt(t.LastContact.Milliseconds(), 10))
	half := len(body) / 2
	switch {
	case t.Hang:
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	case t.Truncate:
		_, _ = w.Write(body[:half])
	case t.Slow > 0:
		_, _ = w.Write(body[:half])
		_ = http.NewResponseController(w).Flush()
		pause.For(r.Context(), t.Slow)
		_, _ = w.Write(body[half:])
	default:
		_, _ = w.Write(body)
	}
}

func (i *Instance) tagged() map[string]any {
	out := map[string]any{}
	for name, at := range i.Tagged {
		out[name] = map[string]any{"Address": at, "Port": i.Port}
	}
	return out
}

// health returns the instance in the format of /v1/health/service.
func (i *Instance) health() any {
	checks := []any{}
	if i.Check != "" {
		checks = append(checks, map[string]any{"CheckID": "service:" + i.ID, "Status": i.Check, "ServiceID": i.ID})
	}
	if i.Maintenance {
		checks = append(checks, map[string]any{"CheckID": "_service_maintenance:" + i.ID,
			"Status": "critical", "ServiceID": i.ID})
	}
	return map[string]any{"Node": map[string]any{"Node": i.Node, "Address": i.Address, "Meta": i.NodeMeta},
		"Service": map[string]any{"ID": i.ID, "Service": i.Service, "Address": i.Address, "Port": i.Port, "Tags": i.Tags,
			"Meta": i.Meta, "TaggedAddresses": i.tagged(), "Weights": map[string]int{"Passing": 1, "Warning": 1}},
		"Checks": checks}
}

// catalog returns the instance in the format of /v1/catalog/service.
func (i *Instance) catalog() any {
	return map[string]any{"Node": i.Node, "Address": i.Address, "NodeMeta": i.NodeMeta, "ServiceID": i.ID,
		"ServiceName": i.Service, "ServiceAddress": i.Address, "ServicePort": i.Port, "ServiceTags": i.Tags,
		"ServiceMeta": i.Meta, "ServiceTaggedAddresses": i.tagged()}
}

// agent runs do, which returns the status of the response, under mu, unless a fault is injected.
func (c *Consul) agent(w http.ResponseWriter, do func() int) {
	c.mu.Lock()
	t := c.faults
	status := http.StatusOK
	if !t.Down && t.Status == 0 && !t.Hang {
		status = do()
	}
	c.mu.Unlock()
	if c.injectFault(w, t) {
		return
	}
	w.WriteHeader(status)
}

func (c *Consul) register(w http.ResponseWriter, r *http.Request) {
	var s struct {
		ID, Name, Address string
		Port              int
		Meta              map[string]string
		Check             struct{ TTL, Status string }
	}
	if json.NewDecoder(r.Body).Decode(&s) != nil || s.Name == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c.agent(w, func() int {
		ttl, _ := time.ParseDuration(s.Check.TTL)
		c.instances[s.ID] = &Instance{ID: s.ID, Service: s.Name, Address: s.Address, Port: s.Port, Meta: s.Meta,
			Check: s.Check.Status, ttl: ttl, refreshed: time.Now()}
		c.bumpIndex(s.Name)
		return http.StatusOK
	})
}

func (c *Consul) deregister(w http.ResponseWriter, r *http.Request) {
	c.agent(w, func() int {
		if i := c.instances[r.PathValue("id")]; i != nil {
			delete(c.instances, i.ID)
			c.bumpIndex(i.Service)
		}
		return http.StatusOK
	})
}

func (c *Consul) updateCheck(w http.ResponseWriter, r *http.Request) {
	c.agent(w, func() int {
		i := c.instances[strings.TrimPrefix(r.PathValue("id"), "service:")]
		if i == nil {
			return http.StatusNotFound
		}
		if i.refreshed = time.Now(); i.Check != "passing" {
			i.Check = "passing"
			c.bumpIndex(i.Service)
		}
		return http.StatusOK
	})
}
