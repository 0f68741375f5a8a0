package relay_test

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"basaltcross.example/basaltcross/internal/client"
	"basaltcross.example/basaltcross/internal/relay"
	"basaltcross.example/basaltcross/internal/standin"
	"basaltcross.example/basaltcross/internal/testutil"
)

// meter counts a stand-in's bytes at its sockets.
type meter struct{ in, out atomic.Int64 }

type meteredConn struct {
	net.Conn
	m *meter
}

func (c meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.m.in.Add(int64(n))
	return n, err
}

func (c meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.m.out.Add(int64(n))
	return n, err
}

const zoned = `zones: [{name: "near"}, {name: "far"}]
relay: {zone: "near", workers: 32, seed: 3}
`

// zoneBed has partners p0 and p1 with endpoints near and far, metered.
func zoneBed(t *testing.T, extra string) (*testutil.Env, [2]*meter) {
	t.Helper()
	meters := [2]*meter{{}, {}}
	b := testutil.NewWithZones(t, 2, standin.Model{Service: 2 * ms, DedupWindow: 10 * time.Second}, zoned+extra, relay.Hooks{},
		func(i int) (string, func(net.Conn) net.Conn) {
			m := meters[i%2]
			return []string{"near", "far"}[i%2], func(c net.Conn) net.Conn { return meteredConn{c, m} }
		})
	return b, meters
}

// The bytes reported by zone are those that the stand-ins counted at their
// sockets, to the byte, through errors, hangs that time out, connections cut
// under the request, and restarts.
func TestZoneBytesMatch(t *testing.T) {
	b, meters := zoneBed(t, "")
	in := newInbox()
	c := dial(t, b, client.Options{ID: "c", Expiry: 600, OnAnswer: in.on})
	defer c.Close()
	ctx := testutil.Context(t)
	const n = 600
	for i := range n {
		switch i {
		case 100:
			b.Endpoints[1].Set(standin.Faults{Hang: true})
			b.Endpoints[2].Set(standin.Faults{Errors: 0.5})
		case 250:
			b.Endpoints[1].Set(standin.Faults{IdleReset: ms})
			b.Endpoints[0].Set(standin.Faults{IdleReset: ms})
		case 400:
			for _, e := range b.Endpoints {
				e.Set(standin.Faults{})
			}
		}
		if err := c.Send(ctx, client.Message{ID: fmt.Sprint(i), Class: []string{"status", "order", "charge"}[i%3],
			Partner: fmt.Sprintf("p%d", i/3%2), Body: make([]byte, i%700)}); err != nil {
			t.Fatal(err)
		}
		if i%20 == 0 {
			time.Sleep(3 * ms)
		}
	}
	in.wait(t, n)
	b.Relay.Stop()
	time.Sleep(200 * ms) // the stand-ins read what is left up to the close
	var zones, none [2][2]int64
	for _, r := range b.Relay.Zones().Totals {
		z := 0
		if r.Zone == "far" {
			z = 1
		}
		zones[z][0] += r.Out
		zones[z][1] += r.In
		if r.Class == "none" {
			none[z][0] += r.Out
			none[z][1] += r.In
		}
	}
	for z, m := range meters {
		if zones[z][0] != m.in.Load() || zones[z][1] != m.out.Load() || m.in.Load() == 0 {
			t.Errorf("zone %d: reported %d out and %d in, the stand-ins counted %d and %d", z, zones[z][0], zones[z][1],
				m.in.Load(), m.out.Load())
		}
	}
	t.Logf("bytes out and in: near %v, far %v; charged to no class: %v", zones[0], zones[1], none)
}

// The only endpoint of a partner lies across a budget that is spent: charges
// are answered in time all the same and booked as overdraft; the cheap class
// pays for it: refused, with advice.
func TestSpentBudget(t *testing.T) {
	b, meters := zoneBed(t, `budget: {bytes: 40000, window: "10s", burst: 0.5, held: 0.3, first: 600}
classes: [{overdraft: 0}, {overdraft: 0}, {overdraft: 100000}]
`)
	b.SetState(b.Endpoints[0].Addr, "gone") // near
	b.SetState(b.Endpoints[2].Addr, "gone")
	b.WriteList()
	time.Sleep(300 * ms)
	in := newInbox()
	c := dial(t, b, client.Options{ID: "c", Expiry: 600, OnAnswer: in.on})
	defer c.Close()
	ctx := testutil.Context(t)
	begin := time.Now()
	const n = 240
	for i := range n {
		class := "status"
		if i%4 == 3 {
			class = "charge"
		}
		if err := c.Send(ctx, client.Message{ID: class + fmt.Sprint(i), Class: class, Partner: fmt.Sprintf("p%d", i%2),
			Body: make([]byte, 400)}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * ms)
	}
	count := map[string]int{}
	for id, a := range in.wait(t, n) {
		class := id[:6]
		count[class+" "+a[0].Outcome]++
		if class == "charge" && (a[0].Outcome != "delivered" || a[0].At.Sub(begin) > 8*time.Second) {
			t.Errorf("%s: %s", id, a[0].Outcome)
		}
	}
	if count["status refused"] == 0 || count["status delivered"] == 0 {
		t.Errorf("the budget does not show: %v", count)
	}
	crossed := meters[1].in.Load() + meters[1].out.Load()
	s := b.Relay.Zones().Budget
	took := time.Since(begin).Seconds()
	bound := 20000 + 2000*took + s.Overdrawn + s.Beyond // the burst, and a refill of 2,000 a second
	if float64(crossed) > bound || s.Overdrawn == 0 {
		t.Errorf("%d bytes crossed in %.1f s, bound %.0f; %+v", crossed, took, bound, s)
	}
	t.Logf("%v; %d bytes crossed in %.1f s, overdrawn %.0f", count, crossed, took, s.Overdrawn)
}
