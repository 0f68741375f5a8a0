package addr

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"
)

// many returns endpoints with four addresses each: a name, one of each family, a Unix socket.
func many(b *testing.B, n int) (list []Endpoint) {
	for i := range n {
		list = append(list, Endpoint{Host: fmt.Sprintf("e%d:443", i), Partner: i % 500, Addrs: parse(b,
			fmt.Sprintf("n%d.example:443", i), fmt.Sprintf("[fd00::%x]:443", i+1),
			fmt.Sprintf("10.%d.%d.%d:443", 1+i>>16, i>>8&255, i&255), fmt.Sprintf("unix:/run/%d", i))})
	}
	return list
}

// Measures the memory per endpoint and the time to set a list of ten thousand endpoints with four
// addresses each, resolve all names, create a Selector for each, and plan a race at each.
func BenchmarkTenThousand(b *testing.B) {
	list := many(b, 10000)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var selectors []*Selector
	for b.Loop() {
		set := DefaultNameCacheSettings
		set.MaxQueries = 1 << 20
		n := NewNameCache(set, 1)
		all := n.Set(0, list)
		due, _ := n.Due(0)
		for i, name := range due {
			for host, l := range n.Answered(0, name, Answer{TTL: time.Minute,
				Addrs: []netip.Addr{netip.AddrFrom4([4]byte{11, byte(i >> 16), byte(i >> 8), byte(i)})}}) {
				all[host] = l
			}
		}
		f := &FamilyHealth{}
		selectors = selectors[:0]
		for _, e := range list {
			k := NewSelector(e.Host, f, all[e.Host])
			if selectors = append(selectors, k); len(k.Plan(0, time.Minute)) != 4 {
				b.Fatal("not four")
			}
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(len(selectors)), "B/endpoint")
	runtime.KeepAlive(selectors)
}
