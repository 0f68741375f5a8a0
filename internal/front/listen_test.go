package front

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"basaltcross.example/basaltcross/internal/engine"
)

// Guards against time limits that are counted too late: a request's time already runs while its
// connection waits in the listener's queue because accepting fails.
func TestQueueDelayAfterFailedAccepts(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(0, 0).Add(time.Duration(ms) * time.Millisecond) }
	delay := newQueueDelay(at(0))
	if delay.accepted(at(0), false, at(0)); delay.wait(at(1)).Delayed != 0 {
		t.Error("waited although accepting did not fail")
	}
	delay.delayed(at(10))
	delay.delayed(at(30))                   // the first report counts
	for _, now := range []int{50, 52, 54} { // several connections were queued
		if delay.accepted(at(now), false, at(now)); delay.wait(at(now)).Delayed != at(now).Sub(at(10)) {
			t.Errorf("at %d ms: waited %v", now, delay.wait(at(now)).Delayed)
		}
	}
	if delay.accepted(at(60), true, at(80)); delay.wait(at(80)).Delayed != 0 { // the queue was empty
		t.Errorf("waited %v after the queue was empty", delay.wait(at(80)).Delayed)
	}
}

// Guards against a wait in a listener's queue that is not seen: behind many connections that are each accepted at once,
// or while the process stood still.
func TestTimeSinceTheQueueWasEmpty(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(0, 0).Add(time.Duration(ms) * time.Millisecond) }
	delay := newQueueDelay(at(0))
	expect := func(now, want int) {
		t.Helper()
		if got := delay.wait(at(now)); got.AtMost != at(want).Sub(at(0)) || !got.AcceptedAt.Equal(at(now)) {
			t.Errorf("at %d ms: %+v, want at most %d ms", now, got, want)
		}
	}
	delay.accepted(at(0), true, at(100)) // the first of many that come at once
	expect(100, 0)
	for now := 101; now < 900; now += 3 {
		delay.accepted(at(now), false, at(now+2))
		expect(now, now-100)
	}
	delay.accepted(at(900), true, at(950))
	expect(950, 0)
	delay.accepted(at(960), true, at(1800))
	delay.stalled(at(1000)) // a connection may have come from then on
	expect(1800, 800)
	delay.accepted(at(1801), false, at(1801))
	expect(1801, 801)
	delay.accepted(at(1802), true, at(1900))
	expect(1900, 0)
}

// echo is a handler that sends back what it receives.
type echo struct{ nb *engine.Conn }

func (e echo) Data(b []byte) { _, _ = e.nb.Write(b) }
func (echo) Closed()         {}

// Guards against resets of established connections when the relay shuts down: connections in the
// listener's queue must be served before the listener closes, also if accepting fails or is
// delayed.
func TestQueuedConnectionsAreServedBeforeTheListenerCloses(t *testing.T) {
	const clients = 30
	held := make(chan struct{})
	var opened atomic.Int32
	l, err := Listen(ListenOptions{Name: "test", Addrs: []string{"127.0.0.1:0"}, OnError: func(error) {},
		NewHandler: func(nb *engine.Conn, _ QueueWait) ConnHandler {
			if opened.Add(1) == 1 {
				<-held
			}
			return echo{nb}
		}})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var all []net.Conn
	for range clients {
		c, err := net.Dial("tcp", l.Addrs[0])
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_, _ = c.Write([]byte("x"))
		all = append(all, c)
	}
	refused := make(chan struct{})
	go func() {
		l.StopAccepting()
		close(refused)
	}()
	time.AfterFunc(20*time.Millisecond, func() { close(held) })
	<-refused
	answered := 0
	for _, c := range all {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		if n, err := c.Read(make([]byte, 1)); n == 1 && err == nil {
			answered++
		}
	}
	if answered != clients {
		t.Errorf("%d of %d established connections were served", answered, clients)
	}
	if c, err := net.Dial("tcp", l.Addrs[0]); err == nil {
		c.Close()
		t.Error("a connection was established after the listener was closed")
	}
}
