// Package obs provides the observability of a relay: structured logs with a limited rate, and
// metrics, reports and profiles on a loopback listener.
package obs

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/pprof"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"

	"basaltcross.example/basaltcross/choice"
	"basaltcross.example/basaltcross/internal/ledger"
	"basaltcross.example/basaltcross/internal/zone"
)

// Logger returns a logger that writes structured lines to w: JSON, or human-readable text if format is
// "console".
func Logger(w io.Writer, level, format string) (zerolog.Logger, error) {
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), fmt.Errorf("obs: %w", err)
	}
	if format == "console" {
		w = zerolog.ConsoleWriter{Out: w, TimeFormat: time.RFC3339Nano}
	}
	return zerolog.New(w).Level(l).With().Timestamp().Logger(), nil
}

// outcomeNames are the values of the label outcome, indexed by choice.Outcome.
var outcomeNames = [...]string{"served", "error", "refused", "timeout", "no_connection", "reset", "cancelled",
	"not_sent"}

// Relay collects the metrics of a relay and writes its log. It is safe for concurrent use.
type Relay struct {
	log      zerolog.Logger
	registry *prometheus.Registry
	classes  []string

	taken         []prometheus.Counter
	answers       [][5]prometheus.Observer
	attempts      [][len(outcomeNames)]prometheus.Observer
	notTaken      *prometheus.CounterVec
	closed        *prometheus.CounterVec
	listReadings  *prometheus.CounterVec
	unsolicited   prometheus.Counter
	handshakes    *prometheus.CounterVec
	expiry        *prometheus.GaugeVec
	expiryWarning time.Duration
	reports       map[string]func() any // reports served as JSON, by path
	dialed        *prometheus.CounterVec
	unresolved    prometheus.Counter
	gauges        map[string]prometheus.Gauge

	mu       sync.Mutex
	limiters map[string]*logLimiter
}

// logLimiter is a token bucket for the log lines of one cause: lineBurst lines at once, then one a second.
type logLimiter struct {
	tokens  float64
	at      time.Time
	dropped int
}

// Limits of the log: lineBurst lines of one cause at once, and maxCauses causes remembered.
const (
	lineBurst = 20
	maxCauses = 1024
)

// NewRelay returns a Relay and registers its metrics, for the given names of classes.
func NewRelay(log zerolog.Logger, classes []string) *Relay {
	r := &Relay{log: log, registry: prometheus.NewRegistry(), classes: classes, limiters: map[string]*logLimiter{},
		gauges: map[string]prometheus.Gauge{}}
	r.registry.MustRegister(collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	buckets := prometheus.ExponentialBucketsRange(0.0005, 60, 24)
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		v := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "basaltcross", Name: name, Help: help}, labels)
		r.registry.MustRegister(v)
		return v
	}
	histogram := func(name, help string, labels ...string) *prometheus.HistogramVec {
		v := prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: "basaltcross", Name: name, Help: help,
			Buckets: buckets}, labels)
		r.registry.MustRegister(v)
		return v
	}
	taken := counter("messages_taken_total", "Messages taken from clients.", "class")
	answers := histogram("answer_seconds", "From taking a message to its final answer.", "class", "answer")
	attempts := histogram("attempt_seconds", "From sending an attempt to its outcome.", "class", "outcome")
	for _, c := range classes {
		r.taken = append(r.taken, taken.WithLabelValues(c))
		var a [5]prometheus.Observer
		for v := ledger.Delivered; v <= ledger.Abandoned; v++ {
			a[v] = answers.WithLabelValues(c, v.String())
		}
		r.answers = append(r.answers, a)
		var o [len(outcomeNames)]prometheus.Observer
		for i, name := range outcomeNames {
			o[i] = attempts.WithLabelValues(c, name)
		}
		r.attempts = append(r.attempts, o)
	}
	r.notTaken = counter("messages_not_taken_total", "Messages turned away at the door.", "reason")
	r.closed = counter("mqtt_closed_total", "Connections ended by the relay.", "code")
	r.listReadings = counter("list_readings_total", "Readings of the endpoint list.", "result")
	r.dialed = counter("connections_total", "Connections begun to endpoints with several addresses.", "family", "result")
	r.handshakes = counter("tls_handshakes_total", "TLS handshakes by result.", "result")
	r.expiry = prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: "basaltcross", Name: "certificate_expiry_timestamp_seconds",
		Help: "When the certificate in force ends, Unix time."}, []string{"file"})
	r.registry.MustRegister(r.expiry)
	r.unsolicited = prometheus.NewCounter(prometheus.CounterOpts{Namespace: "basaltcross", Name: "unsolicited_bytes_total",
		Help: "Times that a partner sent bytes without a request."})
	r.unresolved = prometheus.NewCounter(prometheus.CounterOpts{Namespace: "basaltcross", Name: "names_failed_total",
		Help: "Names of endpoints that could not be looked up; what was known serves on."})
	r.registry.MustRegister(r.unsolicited, r.unresolved)
	for name, help := range map[string]string{
		"messages_held": "Messages taken and not yet answered.", "attempts_out": "Calls to partners that are out.",
		"identities": "Identities kept.", "batch_events": "Events of the core's last batch.",
		"mqtt_connections": "MQTT connections.", "mqtt_sessions": "MQTT sessions.",
		"webpush_connections": "Web Push connections.", "webpush_messages": "Push messages kept.",
		"webpush_receipt_subscriptions": "Receipt subscriptions kept.",
		"mqtt_partial_bytes":            "Bytes of half packets held.", "endpoints": "Endpoints of the list in force.",
		"fleet_relays": "Relays of the fleet, as believed.",
	} {
		g := prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "basaltcross", Name: name, Help: help})
		r.registry.MustRegister(g)
		r.gauges[name] = g
	}
	return r
}

// Taken, Answered, Attempted, Gauge and Log implement the core's observer.

func (r *Relay) Taken(class int) { r.taken[class].Inc() }

func (r *Relay) Answered(class int, a ledger.Answer, took time.Duration) {
	r.answers[class][a.Verdict].Observe(took.Seconds())
}

func (r *Relay) Attempted(class int, o choice.Outcome, took time.Duration) {
	r.attempts[class][o].Observe(took.Seconds())
}

func (r *Relay) Gauge(held, out, identities, batch int) {
	r.gauges["messages_held"].Set(float64(held))
	r.gauges["attempts_out"].Set(float64(out))
	r.gauges["identities"].Set(float64(identities))
	r.gauges["batch_events"].Set(float64(batch))
}

// Log writes a log line of package choice.
func (r *Relay) Log(text string) { r.logLimited(zerolog.InfoLevel, "module", text) }

// Front, Closed, NotTaken and Logf implement the MQTT front's observer.

func (r *Relay) Front(connections, sessions int, partial int64) {
	r.gauges["mqtt_connections"].Set(float64(connections))
	r.gauges["mqtt_sessions"].Set(float64(sessions))
	r.gauges["mqtt_partial_bytes"].Set(float64(partial))
}

func (r *Relay) Closed(code byte) { r.closed.WithLabelValues(fmt.Sprintf("0x%02x", code)).Inc() }

func (r *Relay) NotTaken(reason string) {
	r.notTaken.WithLabelValues(reason).Inc()
	r.logLimited(zerolog.WarnLevel, "not taken", reason)
}

// Info writes a line of level info without a limit on its rate.
func (r *Relay) Info(text string) { r.log.Info().Msg(text) }

func (r *Relay) Logf(format string, args ...any) {
	r.logLimited(zerolog.WarnLevel, format, fmt.Sprintf(format, args...))
}

// Push implements the Web Push front's observer: it sets that front's gauges.
func (r *Relay) Push(connections, messages, boxes int) {
	r.gauges["webpush_connections"].Set(float64(connections))
	r.gauges["webpush_messages"].Set(float64(messages))
	r.gauges["webpush_receipt_subscriptions"].Set(float64(boxes))
}

// Handshake counts a TLS handshake with a client; err is nil if it succeeded.
func (r *Relay) Handshake(err error) {
	if err == nil {
		r.handshakes.WithLabelValues("ok").Inc()
		return
	}
	r.handshakes.WithLabelValues("failed").Inc()
	r.logLimited(zerolog.DebugLevel, "handshake", err.Error())
}

// HandshakeOut counts a failed TLS handshake with a partner's host.
func (r *Relay) HandshakeOut(host string, err error) {
	r.handshakes.WithLabelValues("failed_with_partner").Inc()
	r.logLimited(zerolog.WarnLevel, "partner handshake", host+": "+err.Error())
}

// SetExpiryWarning sets how long before the expiry of a certificate a warning is logged.
func (r *Relay) SetExpiryWarning(ahead time.Duration) { r.expiryWarning = ahead }

// Certificate reports that a certificate has been loaded, or why it could not be.
func (r *Relay) Certificate(file string, expires time.Time, err error) {
	if !expires.IsZero() {
		r.expiry.WithLabelValues(file).Set(float64(expires.Unix()))
	}
	switch {
	case err != nil:
		r.logLimited(zerolog.ErrorLevel, "certificate", "could not be loaded, the previous one stays in force: "+err.Error())
	case !expires.IsZero() && time.Until(expires) < r.expiryWarning:
		r.logLimited(zerolog.WarnLevel, "certificate", fmt.Sprintf("%s expires at %v", file, expires.UTC()))
	default:
		r.logLimited(zerolog.InfoLevel, "certificate", file+" is in force")
	}
}

// Unsolicited counts a case of bytes that a partner's host sent without a request.
func (r *Relay) Unsolicited(host string) {
	r.unsolicited.Inc()
	r.logLimited(zerolog.WarnLevel, "unsolicited", "bytes without a request from "+host)
}

// Listed counts an endpoint list that was applied, and sets the number of its endpoints.
func (r *Relay) Listed(endpoints int) {
	r.listReadings.WithLabelValues("good").Inc()
	r.gauges["endpoints"].Set(float64(endpoints))
}

// ListError counts and logs a source that failed or an entry that cannot be used; the valid part of the
// list stays in force.
func (r *Relay) ListError(source string, err error) {
	r.listReadings.WithLabelValues("broken").Inc()
	r.logLimited(zerolog.ErrorLevel, "list "+source, err.Error())
}

// Fleet sets the estimated number of relays in the fleet.
func (r *Relay) Fleet(size int) { r.gauges["fleet_relays"].Set(float64(size)) }

// logLimited writes a log line unless its cause has exceeded its rate. The next line that is written
// holds the number of lines dropped before it.
func (r *Relay) logLimited(level zerolog.Level, cause, text string) {
	if level < r.log.GetLevel() {
		return
	}
	now := time.Now()
	r.mu.Lock()
	a := r.limiters[cause]
	if a == nil {
		if len(r.limiters) >= maxCauses {
			clear(r.limiters)
		}
		a = &logLimiter{tokens: lineBurst, at: now}
		r.limiters[cause] = a
	}
	a.tokens, a.at = min(lineBurst, a.tokens+now.Sub(a.at).Seconds()), now
	if a.tokens < 1 {
		a.dropped++
		r.mu.Unlock()
		return
	}
	a.tokens--
	dropped := a.dropped
	a.dropped = 0
	r.mu.Unlock()
	e := r.log.WithLevel(level)
	if dropped > 0 {
		e = e.Int("left_out", dropped)
	}
	e.Str("cause", cause).Msg(text)
}

// Serve serves /metrics, /healthz, the reports and the profiles on a loopback address until ctx ends. It
// returns the listener's address.
func (r *Relay) Serve(ctx context.Context, addr string) (net.Addr, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("obs: %w", err)
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(r.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("/", func(w http.ResponseWriter, q *http.Request) {
		r.mu.Lock()
		report := r.reports[q.URL.Path]
		r.mu.Unlock()
		if report == nil {
			http.NotFound(w, q)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(report()); err != nil {
			r.Logf("report: %v", err)
		}
	})
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	s := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	context.AfterFunc(ctx, func() { _ = s.Close() })
	go func() { _ = s.Serve(l) }()
	return l.Addr(), nil
}

// AddReport adds a path to the metrics listener that returns a report as JSON.
func (r *Relay) AddReport(path string, report func() any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reports == nil {
		r.reports = map[string]func() any{}
	}
	r.reports[path] = report
}

// Dialed counts a connection attempt to an endpoint with several addresses.
func (r *Relay) Dialed(family, result string) { r.dialed.WithLabelValues(family, result).Inc() }

// Unresolved counts and logs a name that could not be looked up.
func (r *Relay) Unresolved(name string, err error) {
	r.unresolved.Inc()
	r.logLimited(zerolog.WarnLevel, "resolver", err.Error())
}

// Zones registers the counters of traffic between zones and serves their report at /zones.
func (r *Relay) Zones(t *zone.Table, zones []string, report func() any) {
	r.AddReport("/zones", report)
	r.registry.MustRegister(&zoneCollector{t, r.classes, zones,
		prometheus.NewDesc("basaltcross_zone_bytes_total", "Bytes between this relay and endpoints, by their zone.",
			[]string{"class", "zone", "direction"}, nil),
		prometheus.NewDesc("basaltcross_zone_calls_total", "Attempts by zone of the endpoint.", []string{"class", "zone"}, nil)})
}

// zoneCollector is a prometheus.Collector for a table of traffic between zones.
type zoneCollector struct {
	table          *zone.Table
	classes, zones []string
	bytes, calls   *prometheus.Desc
}

func (z *zoneCollector) Describe(ch chan<- *prometheus.Desc) { ch <- z.bytes; ch <- z.calls }

func (z *zoneCollector) Collect(ch chan<- prometheus.Metric) {
	sum := map[[2]int]zone.Traffic{}
	z.table.Each(func(class, _, to int, x zone.Traffic) {
		s := sum[[2]int{class, to}]
		sum[[2]int{class, to}] = zone.Traffic{Out: s.Out + x.Out, In: s.In + x.In, Calls: s.Calls + x.Calls}
	})
	for k, x := range sum {
		class := "none"
		if k[0] >= 0 {
			class = z.classes[k[0]]
		}
		c := func(d *prometheus.Desc, v int64, labels ...string) {
			ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(v), labels...)
		}
		c(z.bytes, x.Out, class, z.zones[k[1]], "out")
		c(z.bytes, x.In, class, z.zones[k[1]], "in")
		if k[0] >= 0 {
			c(z.calls, x.Calls, class, z.zones[k[1]])
		}
	}
}
