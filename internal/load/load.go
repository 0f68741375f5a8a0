// Package load measures a relay on loopback: open-loop load with intended send
// times (so that a stall counts against everything that should have gone out
// meanwhile), saturation, and the memory of idle connections; and beside it, in
// the same run, the same calls straight to the stand-in and through the
// standard library's reverse proxy.
package load

import (
	"bufio"
	"context"
	"crypto/tls"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"basaltcross.example/basaltcross/internal/mqtt"
)

// sender carries messages to a target. send never blocks for long; done is
// called once for each message that got its answer.
type sender interface {
	send(index uint64, done func(ok bool))
	close()
}

// Result is one measured run.
type Result struct {
	Name    string        `json:"name"`
	Asked   float64       `json:"asked_per_s"` // 0: as many as it takes
	Sent    int           `json:"sent"`
	OK      int           `json:"answered_ok"`
	PerSec  float64       `json:"per_s"`
	P50     time.Duration `json:"p50_ns"`
	P99     time.Duration `json:"p99_ns"`
	P999    time.Duration `json:"p999_ns"`
	CPU     time.Duration `json:"cpu_per_message_ns"` // of the process measured
	RSS     int64         `json:"rss_bytes"`          // of it, at the end
	Missing int           `json:"missing"`            // without an answer at the end
}

// open sends at a fixed rate for a time. Latency counts from the intended time.
func open(ctx context.Context, name string, s sender, rate float64, lasts time.Duration) Result {
	hist := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var mu sync.Mutex
	var ok, missing atomic.Int64
	begin := time.Now()
	n := uint64(0)
	for ; ctx.Err() == nil; n++ {
		at := begin.Add(time.Duration(float64(n) / rate * float64(time.Second)))
		if at.Sub(begin) > lasts {
			break
		}
		if d := time.Until(at); d > 0 {
			time.Sleep(d)
		}
		missing.Add(1)
		s.send(n, func(good bool) {
			missing.Add(-1)
			if good {
				ok.Add(1)
			}
			mu.Lock()
			_ = hist.RecordValue(max(1, time.Since(at).Microseconds()))
			mu.Unlock()
		})
	}
	drain(ctx, &missing)
	return result(name, rate, int(n), &ok, &missing, time.Since(begin), hist, &mu)
}

// full keeps so many messages under way for a time.
func full(ctx context.Context, name string, s sender, window int, lasts time.Duration) Result {
	hist := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var mu sync.Mutex
	var ok, missing, n atomic.Int64
	begin := time.Now()
	ctx, cancel := context.WithTimeout(ctx, lasts)
	defer cancel()
	var next func()
	next = func() {
		if ctx.Err() != nil {
			return
		}
		at := time.Now()
		missing.Add(1)
		s.send(uint64(n.Add(1)), func(good bool) {
			missing.Add(-1)
			if good {
				ok.Add(1)
			}
			mu.Lock()
			_ = hist.RecordValue(max(1, time.Since(at).Microseconds()))
			mu.Unlock()
			next()
		})
	}
	for range window {
		next()
	}
	<-ctx.Done()
	took := time.Since(begin)
	done := ok.Load()
	drain(context.Background(), &missing)
	var counted atomic.Int64
	counted.Store(done)
	return result(name, 0, int(n.Load()), &counted, &missing, took, hist, &mu)
}

// drain waits for what is under way, a few seconds at most.
func drain(ctx context.Context, missing *atomic.Int64) {
	for range 700 {
		if missing.Load() == 0 || ctx.Err() != nil {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func result(name string, rate float64, sent int, ok, missing *atomic.Int64, took time.Duration,
	hist *hdrhistogram.Histogram, mu *sync.Mutex) Result {
	mu.Lock()
	defer mu.Unlock()
	q := func(p float64) time.Duration { return time.Duration(hist.ValueAtQuantile(p)) * time.Microsecond }
	return Result{Name: name, Asked: rate, Sent: sent, OK: int(ok.Load()), PerSec: float64(ok.Load()) / took.Seconds(),
		P50: q(50), P99: q(99), P999: q(99.9), Missing: int(missing.Load())}
}

// mqttSender spreads messages over light MQTT connections: a goroutine that
// reads and one that writes what has gathered, each.
type mqttSender struct {
	conns []*mqttConn
	next  atomic.Uint64
	parts []string // topics
}

type mqttConn struct {
	conn    net.Conn
	mu      sync.Mutex
	out     []byte
	wake    chan struct{}
	waiting map[uint64]func(bool)
	nextID  uint16
}

// dialMQTT opens the connections; topics are published to in turn.
func dialMQTT(addr string, trust *tls.Config, count int, name string, topics []string) (*mqttSender, error) {
	s := &mqttSender{parts: topics}
	for i := range count {
		c, err := newMQTT(addr, trust, fmt.Sprintf("%s-%d", name, i))
		if err != nil {
			s.close()
			return nil, err
		}
		s.conns = append(s.conns, c)
		go c.read()
		go c.write()
	}
	return s, nil
}

// dial connects, over TLS if a configuration is given.
func dial(addr string, trust *tls.Config) (net.Conn, error) {
	if trust != nil {
		c, err := tls.Dial("tcp", addr, trust)
		if err != nil {
			return nil, fmt.Errorf("load: %w", err)
		}
		return c, nil
	}
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("load: %w", err)
	}
	return c, nil
}

// newMQTT connects and subscribes to the answers of its client id.
func newMQTT(addr string, trust *tls.Config, id string) (*mqttConn, error) {
	conn, err := dial(addr, trust)
	if err != nil {
		return nil, err
	}
	c := &mqttConn{conn: conn, wake: make(chan struct{}, 1), waiting: map[uint64]func(bool){}}
	b := mqtt.AppendConnect(nil, &mqtt.Connect{Version: mqtt.V5, CleanStart: true, ClientID: id,
		Props: mqtt.Props{SessionExpiry: 60}})
	b = mqtt.AppendSubscribe(b, mqtt.V5, 1, mqtt.Filter{Topic: "answers/" + id, QoS: 0})
	if _, err := conn.Write(b); err != nil {
		return nil, fmt.Errorf("load: %w", err)
	}
	buf := make([]byte, 0, 4096)
	for seen := 0; seen < 2; {
		n, err := conn.Read(buf[len(buf):cap(buf)])
		if err != nil {
			return nil, fmt.Errorf("load: %w", err)
		}
		buf = buf[:len(buf)+n]
		for {
			first, body, rest, ok, e := mqtt.Frame(buf, 1<<20)
			if e != nil {
				return nil, e
			}
			if !ok {
				break
			}
			if first>>4 == mqtt.CONNACK {
				if a, err := mqtt.ParseConnack(mqtt.V5, body); err != nil || a.Code != 0 {
					return nil, fmt.Errorf("load: CONNACK 0x%02x", a.Code)
				}
			}
			seen++
			buf = buf[:copy(buf[:cap(buf)], rest)]
		}
	}
	return c, nil
}

func (s *mqttSender) send(index uint64, done func(bool)) {
	c := s.conns[s.next.Add(1)%uint64(len(s.conns))]
	c.mu.Lock()
	c.waiting[index] = done
	if c.nextID++; c.nextID == 0 {
		c.nextID = 1
	}
	c.out = mqtt.AppendPublish(c.out, mqtt.V5, &mqtt.Publish{QoS: 1, ID: c.nextID, Topic: s.parts[index%uint64(len(s.parts))],
		Payload: body, Props: mqtt.Props{Correlation: binary.BigEndian.AppendUint64(nil, index)}})
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// body of each message.
var body = []byte(strings.Repeat("x", 200))

func (c *mqttConn) write() {
	var spare []byte
	for range c.wake {
		c.mu.Lock()
		b := c.out
		c.out = spare[:0]
		c.mu.Unlock()
		if _, err := c.conn.Write(b); err != nil {
			return
		}
		spare = b
	}
}

func (c *mqttConn) read() {
	buf := make([]byte, 0, 64<<10)
	for {
		n, err := c.conn.Read(buf[len(buf):cap(buf)])
		if err != nil {
			return
		}
		buf = buf[:len(buf)+n]
		b := buf
		for {
			first, body, rest, ok, e := mqtt.Frame(b, 1<<20)
			if e != nil || !ok {
				break
			}
			b = rest
			switch first >> 4 {
			case mqtt.PUBLISH:
				p, err := mqtt.ParsePublish(mqtt.V5, first, body)
				if err == nil && len(p.Props.Correlation) == 8 {
					c.answer(binary.BigEndian.Uint64(p.Props.Correlation), p.Props.UserValue("answer") == "delivered")
				}
			case mqtt.PUBACK: // taken, or turned away: then no answer follows
				if a, err := mqtt.ParseAck(mqtt.V5, first, body); err == nil && a.Code >= 0x80 {
					c.turnedAway()
				}
			}
		}
		buf = buf[:copy(buf[:cap(buf)], b)]
	}
}

func (c *mqttConn) answer(index uint64, ok bool) {
	c.mu.Lock()
	done := c.waiting[index]
	delete(c.waiting, index)
	c.mu.Unlock()
	if done != nil {
		done(ok)
	}
}

// turnedAway gives up one message that waits, whichever: only the count matters.
func (c *mqttConn) turnedAway() {
	c.mu.Lock()
	var done func(bool)
	for i, d := range c.waiting {
		done = d
		delete(c.waiting, i)
		break
	}
	c.mu.Unlock()
	if done != nil {
		done(false)
	}
}

func (s *mqttSender) close() {
	for _, c := range s.conns {
		_ = c.conn.Close()
	}
}

// httpSender sends over light HTTP/1.1 connections, one call at a time on each;
// calls wait for a free one.
type httpSender struct {
	jobs  chan httpJob
	conns []net.Conn
	// Of Web Push: the receipt subscription, and who waits for which message.
	mu      sync.Mutex
	box     string
	ready   chan struct{}
	waiting map[string]func(bool)
	early   map[string]bool
}

type httpJob struct {
	index uint64
	done  func(bool)
}

func dialHTTP(addrs []string, trust *tls.Config, count int, push []string) (*httpSender, error) {
	s := &httpSender{jobs: make(chan httpJob, 1<<20), ready: make(chan struct{}), waiting: map[string]func(bool){},
		early: map[string]bool{}}
	for i := range count {
		addr := addrs[i%len(addrs)]
		conn, err := dial(addr, trust)
		if err != nil {
			s.close()
			return nil, err
		}
		s.conns = append(s.conns, conn)
		if push != nil && i == 0 {
			go s.receipts(conn, addr)
			continue
		}
		go s.work(conn, addr, push)
	}
	return s, nil
}

// work makes calls; with push resources they are push messages, whose answer
// comes as a receipt.
func (s *httpSender) work(conn net.Conn, addr string, push []string) {
	r := bufio.NewReader(conn)
	for j := range s.jobs {
		path, fields := "/", ""
		if push != nil {
			path = push[j.index%uint64(len(push))]
			s.mu.Lock()
			fields = "TTL: 10\r\nPrefer: respond-async\r\n"
			if s.box != "" {
				fields += "Push-Receipt: " + s.box + "\r\n"
			}
			s.mu.Unlock()
		}
		_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\n%sContent-Length: %d\r\n\r\n%s", path, addr, fields,
			len(body), body)
		var resp *http.Response
		if err == nil {
			resp, err = http.ReadResponse(r, nil)
		}
		if err != nil {
			j.done(false)
			return
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if push == nil || resp.StatusCode != http.StatusAccepted {
			j.done(push == nil && resp.StatusCode == http.StatusOK)
			continue
		}
		message := resp.Header.Get("Location")
		s.mu.Lock()
		if s.box == "" { // the first makes the subscription that all use
			s.box, _, _ = strings.Cut(strings.TrimPrefix(resp.Header.Get("Link"), "<"), ">")
			close(s.ready)
		}
		ok, early := s.early[message]
		if early {
			delete(s.early, message)
		} else {
			s.waiting[message] = j.done
		}
		s.mu.Unlock()
		if early {
			j.done(ok)
		}
	}
}

// receipts polls.
func (s *httpSender) receipts(conn net.Conn, addr string) {
	<-s.ready
	r := bufio.NewReaderSize(conn, 64<<10)
	after := uint64(0)
	for {
		if _, err := fmt.Fprintf(conn, "GET %s?after=%d HTTP/1.1\r\nHost: %s\r\nPrefer: wait=5\r\n\r\n", s.box, after, addr); err != nil {
			return
		}
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return
		}
		var got struct {
			Receipts []struct {
				Seq             uint64
				Message, Answer string
			}
		}
		err = json.NewDecoder(resp.Body).Decode(&got)
		_ = resp.Body.Close()
		if err != nil {
			return
		}
		for _, x := range got.Receipts {
			after = x.Seq
			s.mu.Lock()
			done := s.waiting[x.Message]
			if delete(s.waiting, x.Message); done == nil {
				s.early[x.Message] = x.Answer == "delivered"
			}
			s.mu.Unlock()
			if done != nil {
				done(x.Answer == "delivered")
			}
		}
	}
}

func (s *httpSender) send(index uint64, done func(bool)) { s.jobs <- httpJob{index, done} }

func (s *httpSender) close() {
	close(s.jobs)
	for _, c := range s.conns {
		_ = c.Close()
	}
}

// handshakes opens and closes TLS connections for a time, each anew.
func handshakes(ctx context.Context, addr string, trust *tls.Config, workers int, lasts time.Duration) (n int64) {
	ctx, cancel := context.WithTimeout(ctx, lasts)
	defer cancel()
	var count atomic.Int64
	var all sync.WaitGroup
	for range workers {
		all.Go(func() {
			for ctx.Err() == nil {
				c, err := tls.Dial("tcp", addr, trust)
				if err != nil {
					continue
				}
				count.Add(1)
				_ = c.Close()
			}
		})
	}
	all.Wait()
	return count.Load()
}

// burst begins n handshakes at once and tells how many came to an end within
// the time, and how long the last of them took.
func burst(addr string, trust *tls.Config, n int, within time.Duration) (ok int64, took time.Duration) {
	var count, last atomic.Int64
	var all sync.WaitGroup
	begin := time.Now()
	for range n {
		all.Go(func() {
			c, err := tls.DialWithDialer(&net.Dialer{Timeout: within}, "tcp", addr, trust)
			if err != nil {
				return
			}
			count.Add(1)
			last.Store(int64(time.Since(begin)))
			_ = c.Close()
		})
	}
	all.Wait()
	return count.Load(), time.Duration(last.Load())
}
