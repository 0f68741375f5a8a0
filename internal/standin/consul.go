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

// Instance is one instance of a service in a stand-in catalogue.
type Instance struct {
	ID, Service string
	Address     string
	Port        int
	Tags        []string
	Meta        map[string]string
	Tagged      map[string]string // name to address
	Check       string            // status of its check; empty for none
	Maintenance bool
	Node        string
	NodeMeta    map[string]string

	ttl  time.Duration // of its check
	seen time.Time
}

// CatalogTrouble is what is wrong with a stand-in catalogue.
type CatalogTrouble struct {
	Status   int           // answers this, with no content
	Down     bool          // cuts connections
	Hang     bool          // sends headers and nothing more
	Cut      bool          // sends half of the JSON
	Slow     time.Duration // between halves of the content
	Instant  bool          // never blocks
	Empty    bool          // has nothing
	Half     bool          // lacks every second instance
	NoLeader bool
	Contact  time.Duration // staleness
	Index    uint64        // told instead of its own
}

// Consul is a stand-in for the parts of Consul's API that relays use, after its
// public documentation: blocking queries on catalogue and health, and an
// agent's registration with TTL checks.
type Consul struct {
	Addr string
	srv  *http.Server

	mu        sync.Mutex
	index     uint64
	at        map[string]uint64 // index of each service's last change
	all       uint64            // and of the last change to all
	instances map[string]*Instance
	changed   map[string]chan struct{} // by service, closed at its next change
	trouble   CatalogTrouble
	Queries   int
	stop      chan struct{}
}

// StartConsul listens on a free port of 127.0.0.1.
func StartConsul() (*Consul, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("standin: %w", err)
	}
	c := &Consul{Addr: l.Addr().String(), index: 10, at: map[string]uint64{}, all: 10,
		instances: map[string]*Instance{}, changed: map[string]chan struct{}{}, stop: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/health/service/{name}", c.query)
	mux.HandleFunc("GET /v1/catalog/service/{name}", c.query)
	mux.HandleFunc("PUT /v1/agent/service/register", c.register)
	mux.HandleFunc("PUT /v1/agent/service/deregister/{id}", c.deregister)
	mux.HandleFunc("PUT /v1/agent/check/update/{id}", c.update)
	c.srv = &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = c.srv.Serve(l) }()
	go c.expire()
	return c, nil
}

// Close stops it.
func (c *Consul) Close() {
	close(c.stop)
	_ = c.srv.Close()
}

// Set makes trouble, or ends it; who waits is answered.
func (c *Consul) Set(t CatalogTrouble) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.trouble = t
	c.move()
}

// move raises the index of services, of all if none is named; under mu.
func (c *Consul) move(services ...string) {
	c.index++
	if len(services) == 0 {
		c.all = c.index
		clear(c.at)
		for name := range c.changed {
			services = append(services, name)
		}
	}
	for _, name := range services {
		if ch := c.changed[name]; ch != nil {
			close(ch)
			delete(c.changed, name)
		}
		c.at[name] = c.index
	}
}

// indexOf a service, and a channel that closes at its next change; under mu.
func (c *Consul) indexOf(service string) (uint64, chan struct{}) {
	if c.changed[service] == nil {
		c.changed[service] = make(chan struct{})
	}
	return max(c.at[service], c.all), c.changed[service]
}

// Reset lets the index begin anew, as a restored server does.
func (c *Consul) Reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.index = 1
	c.move() // all of them
}

// Put adds or replaces instances in one change.
func (c *Consul) Put(list ...Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var services []string
	for _, i := range list {
		c.instances[i.ID] = &i
		services = append(services, i.Service)
	}
	if len(services) > 0 {
		c.move(services...)
	}
}

// Delete takes instances out in one change.
func (c *Consul) Delete(ids ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range ids {
		if i := c.instances[id]; i != nil {
			delete(c.instances, id)
			c.move(i.Service)
		}
	}
}

// Asked counts queries so far.
func (c *Consul) Asked() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Queries
}

// expire turns TTL checks critical that were not refreshed.
func (c *Consul) expire() {
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-c.stop:
			return
		case now := <-tick.C:
			c.mu.Lock()
			for _, i := range c.instances {
				if i.ttl > 0 && i.Check == "passing" && now.Sub(i.seen) > i.ttl {
					i.Check = "critical"
					c.move(i.Service)
				}
			}
			c.mu.Unlock()
		}
	}
}

// struck does what the trouble says before a query; true if that was all.
func (c *Consul) struck(w http.ResponseWriter, t CatalogTrouble) bool {
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
	for end := time.Now().Add(wait); index > 0 && !c.trouble.Instant && time.Now().Before(end); {
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
	t := c.trouble
	now, _ := c.indexOf(name)
	health := strings.HasPrefix(r.URL.Path, "/v1/health/")
	var list []Instance
	for _, i := range c.instances {
		if i.Service == name && !slices.ContainsFunc(q["tag"], func(t string) bool { return !slices.Contains(i.Tags, t) }) {
			list = append(list, *i)
		}
	}
	c.mu.Unlock()
	if c.struck(w, t) {
		return
	}
	slices.SortFunc(list, func(a, b Instance) int { return strings.Compare(a.ID, b.ID) })
	if t.Empty {
		list = nil
	}
	out := []any{}
	for n, i := range list {
		if t.Half && n%2 == 1 {
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
	h.Set("X-Consul-LastContact", strconv.FormatInt(t.Contact.Milliseconds(), 10))
	half := len(body) / 2
	switch {
	case t.Hang:
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	case t.Cut:
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

// health is an instance as /v1/health/service has it.
func (i *Instance) health() any {
	checks := []any{}
	if i.Check != "" {
		checks = append(checks, map[string]any{"CheckID": "service:" + i.ID, "Status": i.Check, "ServiceID": i.ID})
	}
	if i.Maintenance {
		checks = append(checks, map[string]any{"CheckID": "_service_maintenance:" + i.ID, "Status": "critical", "ServiceID": i.ID})
	}
	return map[string]any{"Node": map[string]any{"Node": i.Node, "Address": i.Address, "Meta": i.NodeMeta},
		"Service": map[string]any{"ID": i.ID, "Service": i.Service, "Address": i.Address, "Port": i.Port, "Tags": i.Tags,
			"Meta": i.Meta, "TaggedAddresses": i.tagged(), "Weights": map[string]int{"Passing": 1, "Warning": 1}},
		"Checks": checks}
}

// catalog is an instance as /v1/catalog/service has it.
func (i *Instance) catalog() any {
	return map[string]any{"Node": i.Node, "Address": i.Address, "NodeMeta": i.NodeMeta, "ServiceID": i.ID,
		"ServiceName": i.Service, "ServiceAddress": i.Address, "ServicePort": i.Port, "ServiceTags": i.Tags, "ServiceMeta": i.Meta,
		"ServiceTaggedAddresses": i.tagged()}
}

func (c *Consul) agent(w http.ResponseWriter, do func() int) {
	c.mu.Lock()
	t := c.trouble
	status := http.StatusOK
	if !t.Down && t.Status == 0 && !t.Hang {
		status = do()
	}
	c.mu.Unlock()
	if c.struck(w, t) {
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
			Check: s.Check.Status, ttl: ttl, seen: time.Now()}
		c.move(s.Name)
		return http.StatusOK
	})
}

func (c *Consul) deregister(w http.ResponseWriter, r *http.Request) {
	c.agent(w, func() int {
		if i := c.instances[r.PathValue("id")]; i != nil {
			delete(c.instances, i.ID)
			c.move(i.Service)
		}
		return http.StatusOK
	})
}

func (c *Consul) update(w http.ResponseWriter, r *http.Request) {
	c.agent(w, func() int {
		i := c.instances[strings.TrimPrefix(r.PathValue("id"), "service:")]
		if i == nil {
			return http.StatusNotFound
		}
		if i.seen = time.Now(); i.Check != "passing" {
			i.Check = "passing"
			c.move(i.Service)
		}
		return http.StatusOK
	})
}
