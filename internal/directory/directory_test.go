package directory

import (
	"context"
	"fmt"
	"runtime"
	"strconv"
	"testing"
	"time"

	"basaltcross.example/basaltcross/choice"
	"basaltcross.example/basaltcross/internal/catalog"
	"basaltcross.example/basaltcross/internal/member"
	"basaltcross.example/basaltcross/internal/standin"
)

type listings chan choice.HostUpdate

func (l listings) List(x choice.HostUpdate) { l <- x }

// BenchmarkChange measures the time from a change in a stand-in catalogue, with 940
// endpoints of 47 services, until the sink receives it. It includes the work of the
// stand-in.
func BenchmarkChange(b *testing.B) {
	const services, each = 47, 20
	c, err := standin.StartConsul()
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	cl, err := catalog.New(catalog.Options{Address: c.Addr, Wait: time.Minute, MaxStale: time.Minute,
		MaxBytes: 1 << 24})
	if err != nil {
		b.Fatal(err)
	}
	names := Names{Partners: map[string]int{}, Zones: map[string]int{"default": 0}}
	var sources []Source
	instance := func(i int, state string) standin.Instance {
		return standin.Instance{ID: strconv.Itoa(i), Service: fmt.Sprint("p", i%services),
			Address: "127.0.0.1", Port: 1000 + i, Check: "passing", Meta: map[string]string{"state": state}}
	}
	var all []standin.Instance
	for i := range services * each {
		all = append(all, instance(i, ""))
	}
	c.Put(all...)
	for i := range services {
		name := fmt.Sprint("p", i)
		names.Partners[name], names.Kinds = i, append(names.Kinds, 0)
		sources = append(sources, &Consul{Name: name, Client: cl,
			Mapping: catalog.Mapping{Service: name, Partner: name, Zone: "default"}})
	}
	to := make(listings, 10000)
	d := New(Options{Names: names, Sources: sources,
		Settings: member.Settings{RemoveAfter: time.Second, ConfirmAfter: time.Minute}, Sink: to,
		OnListed: func(int) {}, OnError: func(string, error) {}})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { d.Run(ctx); close(done) }()
	for d.Endpoints() < services*each {
		time.Sleep(time.Millisecond)
	}
	for len(to) > 0 {
		<-to
	}
	asked, n := c.QueryCount(), 0
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for b.Loop() {
		// Drains each endpoint in turn, since flap damping never delays a drain.
		i := n % (services * each)
		c.Put(instance(i, []string{"draining", ""}[n/(services*each)%2]))
		if n/(services*each)%2 == 0 {
			<-to
		}
		n++
	}
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(c.QueryCount()-asked)/float64(n), "queries/change")
	b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/float64(n), "B/change")
	cancel()
	<-done
}
