// Package load measures the performance of a relay on loopback: latency under open-loop
// load, throughput at saturation, TLS handshakes and the memory of idle connections.
// Open-loop latency counts from the intended send time, so that a stall counts against
// every message that should have been sent meanwhile (no coordinated omission).
//
// As baselines, the same run measures the same calls directly to the stand-in and through
// the reverse proxy of the standard library.
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

// sender sends messages to a target. send does not block for long. It calls done once for
// each message that got its outcome, with true if the message was delivered.
type sender interface {
	send(index uint64, done func(ok bool))
	close()
}

// Result holds the figures of one measured run.
type Result struct {
	Name          string        `json:"name"`
	RequestedRate float64       `json:"asked_per_s"` // messages/s of an open-loop run; 0 for a run at saturation
	Sent          int           `json:"sent"`
	OK            int           `json:"answered_ok"`
	PerSec        float64       `json:"per_s"`
	P50           time.Duration `json:"p50_ns"`
	P99           time.Duration `json:"p99_ns"`
	P999          time.Duration `json:"p999_ns"`
	CPU           time.Duration `json:"cpu_per_message_ns"` // CPU time of the measured process per delivered message
	RSS           int64         `json:"rss_bytes"`          // resident memory of the measured process at the end
	Missing       int           `json:"missing"`            // messages without an outcome at the end
}

// openLoop sends at a fixed rate for the given duration. Latency counts from the intended send time.
func openLoop(ctx context.Context, name string, s sender, rate float64, lasts time.Duration) Result {
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
	awaitOutstanding(ctx, &missing)
	return result(name, rate, int(n), &ok, &missing, time.Since(begin), hist, &mu)
}

// saturate keeps window messages in flight for the given duration.
func saturate(ctx context.Context, name string, s sender, window int, lasts time.Duration) Result {
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
	awaitOutstanding(context.Background(), &missing)
	var counted atomic.Int64
	counted.Store(done)
	return result(name, 0, int(n.Load()), &counted, &missing, took, hist, &mu)
}

// awaitOutstanding waits until no message is in flight, for 7 s at most.
func awaitOutstanding(ctx context.Context, missing *atomic.Int64) {
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
	return Result{Name: name, RequestedRate: rate, Sent: sent, OK: int(ok.Load()),
		PerSec: float64(ok.Load()) / took.Seconds(),
		P50:    q(50), P99: q(99), P999: q(99.9), Missing: int(missing.Load())}
}

// mqttSender distributes messages over minimal MQTT connections. Each has one goroutine that
// reads and one that writes the packets buffered so far.
type mqttSender struct {
	conns  []*mqttConn
	next   atomic.Uint64
	topics []string // published to in turn
}

type mqttConn struct {
	conn     net.Conn
	mu       sync.Mutex
	outgoing []byte
	wake     chan struct{}
	waiting  map[uint64]func(bool)
	nextID   uint16
}

// dialMQTT opens count connections that publish to the topics in turn.
func dialMQTT(addr string, tlsConfig *tls.Config, count int, name string, topics []string) (*mqttSender, error) {
	s := &mqttSender{topics: topics}
	for i := range count {
		c, err := newMQTT(addr, tlsConfig, fmt.Sprintf("%s-%d", name, i))
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

// dial connects over TCP, with TLS if a configuration is given.
func dial(addr string, tlsConfig *tls.Config) (net.Conn, error) {
	if tlsConfig != nil {
		c, err := tls.Dial("tcp", addr, tlsConfig)
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

// newMQTT connects and subscribes to the notices of the client ID.
func newMQTT(addr string, tlsConfig *tls.Config, id string) (*mqttConn, error) {
	conn, err := dial(addr, tlsConfig)
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
					return nil, fmt.Errorf("load: connection refused with CONNACK reason code 0x%02x", a.Code)
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
	c.outgoing = mqtt.AppendPublish(c.outgoing, mqtt.V5, &mqtt.Publish{QoS: 1, ID: c.nextID,
		Topic: s.topics[index%uint64(len(s.topics))], Payload: body,
		Props: mqtt.Props{Correlation: binary.BigEndian.AppendUint64(nil, index)}})
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// body is the content of every message.
var body = []byte(strings.Repeat("x", 200))

func (c *mqttConn) write() {
	var spare []byte
	for range c.wake {
		c.mu.Lock()
		b := c.outgoing
		c.outgoing = spare[:0]
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
			case mqtt.PUBACK: // a rejected message gets no notice
				if a, err := mqtt.ParseAck(mqtt.V5, first, body); err == nil && a.Code >= 0x80 {
					c.failAny()
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

// failAny reports an arbitrary waiting message as failed. Which one does not matter, since only
// the number of failures is reported.
func (c *mqttConn) failAny() {
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

// httpSender sends over minimal HTTP/1.1 connections with one call at a time on each. Calls
// queue for a free connection.
type httpSender struct {
	jobs  chan httpJob
	conns []net.Conn
	// The other fields serve Web Push: the receipt subscription and the messages that wait for receipts.
	mu            sync.Mutex
	receiptsPath  string // path of the receipt subscription; empty before the first message is accepted
	subscribed    chan struct{}
	waiting       map[string]func(bool)
	earlyReceipts map[string]bool // receipts that arrived before the response to the POST; true for delivered
}

type httpJob struct {
	index uint64
	done  func(bool)
}

// dialHTTP opens count connections, spread over the addresses. With push resources it sends push
// messages and uses the first connection to poll for receipts.
func dialHTTP(addrs []string, tlsConfig *tls.Config, count int, push []string) (*httpSender, error) {
	s := &httpSender{jobs: make(chan httpJob, 1<<20), subscribed: make(chan struct{}), waiting: map[string]func(bool){},
		earlyReceipts: map[string]bool{}}
	for i := range count {
		addr := addrs[i%len(addrs)]
		conn, err := dial(addr, tlsConfig)
		if err != nil {
			s.close()
			return nil, err
		}
		s.conns = append(s.conns, conn)
		if push != nil && i == 0 {
			go s.pollReceipts(conn, addr)
			continue
		}
		go s.runJobs(conn, addr, push)
	}
	return s, nil
}

// runJobs makes calls until the jobs end. With push resources the calls are push messages,
// whose outcome arrives as a receipt.
func (s *httpSender) runJobs(conn net.Conn, addr string, push []string) {
	r := bufio.NewReader(conn)
	for j := range s.jobs {
		path, fields := "/", ""
		if push != nil {
			path = push[j.index%uint64(len(push))]
			s.mu.Lock()
			fields = "TTL: 10\r\nPrefer: respond-async\r\n"
			if s.receiptsPath != "" {
				fields += "Push-Receipt: " + s.receiptsPath + "\r\n"
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
		if s.receiptsPath == "" { // the first message creates the subscription that all messages use
			s.receiptsPath, _, _ = strings.Cut(strings.TrimPrefix(resp.Header.Get("Link"), "<"), ">")
			close(s.subscribed)
		}
		ok, early := s.earlyReceipts[message]
		if early {
			delete(s.earlyReceipts, message)
		} else {
			s.waiting[message] = j.done
		}
		s.mu.Unlock()
		if early {
			j.done(ok)
		}
	}
}

// pollReceipts polls for receipts, once there is a subscription, until the connection fails.
func (s *httpSender) pollReceipts(conn net.Conn, addr string) {
	<-s.subscribed
	r := bufio.NewReaderSize(conn, 64<<10)
	after := uint64(0)
	for {
		if _, err := fmt.Fprintf(conn, "GET %s?after=%d HTTP/1.1\r\nHost: %s\r\nPrefer: wait=5\r\n\r\n",
			s.receiptsPath, after, addr); err != nil {
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
				s.earlyReceipts[x.Message] = x.Answer == "delivered"
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

// handshakes opens and closes TLS connections with full handshakes for the given duration and
// returns their number.
func handshakes(ctx context.Context, addr string, tlsConfig *tls.Config, workers int, lasts time.Duration) (n int64) {
	ctx, cancel := context.WithTimeout(ctx, lasts)
	defer cancel()
	var count atomic.Int64
	var all sync.WaitGroup
	for range workers {
		all.Go(func() {
			for ctx.Err() == nil {
				c, err := tls.Dial("tcp", addr, tlsConfig)
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

// handshakeBurst starts n TLS handshakes at once. It returns how many completed within the
// time limit and when the last of them did.
func handshakeBurst(addr string, tlsConfig *tls.Config, n int, within time.Duration) (ok int64, took time.Duration) {
	var count, last atomic.Int64
	var all sync.WaitGroup
	begin := time.Now()
	for range n {
		all.Go(func() {
			c, err := tls.DialWithDialer(&net.Dialer{Timeout: within}, "tcp", addr, tlsConfig)
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
