// Package config reads the configuration and the endpoint list of a relay. Both are CUE files, validated
// against schema.cue, which is embedded in the program and holds the defaults. Validation errors name the
// file, the line and the path of the wrong value, and what the schema expects there.
//
// The package doesn't open what a configuration refers to: certificates, keys and endpoint lists are read by
// the packages that use them.
package config

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"cuelang.org/go/cue"
	"cuelang.org/go/cue/cuecontext"
	cueerrors "cuelang.org/go/cue/errors"
	"cuelang.org/go/cue/format"

	"basaltcross.example/basaltcross/choice"
)

//go:embed schema.cue
var schemaText string

// Duration is a time.Duration that is written in Go syntax, such as "250ms".
type Duration time.Duration

// UnmarshalText parses a duration in Go syntax, such as "250ms".
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	*d = Duration(v)
	return err
}

// D returns the duration as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// The parts of a configuration and of an endpoint list. Their fields are documented in schema.cue under
// the same names.
type (
	// Class configures a class of messages.
	Class struct {
		Name      string
		Aim       Duration
		Deadline  Duration
		Worth     float64
		LateShare float64
		Effect    string
		Window    Duration
		SameZone  bool
		Ordered   bool
		Overdraft float64
		Crossing  float64
	}
	// Kind configures a kind of partner.
	Kind struct {
		Name            string
		Apart           bool
		RefusalNeverRan bool
		PerCall         int
	}
	// Partner configures a partner and the calls to it.
	Partner struct {
		Name string
		Kind string
		Path string
		Host string
		TLS  *PartnerTLS
	}
	// PartnerTLS configures TLS for outgoing connections, to partners and catalogues.
	PartnerTLS struct{ CA, Cert, Key, Name string }
	// TLS configures TLS for incoming connections.
	TLS struct {
		Cert, Key, ClientCA string
		RequireClient       bool
	}
	// Zone is a zone with the fee for traffic to it.
	Zone struct {
		Name string
		Fee  float64
	}
	// User is an MQTT user with the bcrypt hash of the password.
	User struct {
		Name   string
		Bcrypt string
	}
	// Endpoint is an entry of an endpoint list.
	Endpoint struct {
		Addr    string   `json:"addr"`
		Addrs   []string `json:"addrs"`
		Partner string   `json:"partner"`
		Zone    string   `json:"zone"`
		Rate    float64  `json:"rate"`
		State   string   `json:"state"`
	}
)

// Consul configures a Consul catalogue as a source of endpoints.
type Consul struct {
	Name, Address, Token, TokenFile, Datacenter, Namespace, Partition, Consistency string
	MaxStale, Wait                                                                 Duration
	TLS                                                                            *PartnerTLS
	Services                                                                       []struct {
		Service, Partner, Filter, Zone, Health string
		Tags, Tagged                           []string
	}
}

// MQTT configures the MQTT front.
type MQTT struct {
	Listen         []string
	TLSListen      []string
	TLS            *TLS
	Connections    int
	Sessions       int
	ReceiveMaximum int
	TopicAliases   int
	Pending        int
	SessionExpiry  Duration
	KeepAlive      Duration
	Handshake      Duration
	WriteBuffer    int
	PartialBytes   int
	Users          []User
}

// WebPush configures the Web Push front.
type WebPush struct {
	Listen    []string
	TLSListen []string
	TLS       *TLS
	Audience  []string
	Keys      []struct {
		Key       string
		Resources []string
	}
	Connections  int
	PartialBytes int
	Streams      int
	Messages     int
	Receipts     int
	Pending      int
	Polls        int
	Poll         Duration
	Idle         Duration
	Handshake    Duration
	HeaderBytes  int
	WriteBuffer  int
}

// Config is a validated configuration. Its fields are documented in schema.cue under the same names.
type Config struct {
	Relay struct {
		Name          string
		Zone          string
		Index         int
		Fleet         int
		Seed          uint64
		Workers       int
		Held          int
		Attempts      int
		Tick          Duration
		Cancels       bool
		Accounting    bool
		ListedRates   bool
		MaxRetryAfter Duration
		ConnIdle      Duration
		Halving       bool
		Shutdown      Duration
	}
	Zones    []Zone
	Classes  []Class
	Kinds    []Kind
	Partners []Partner
	Rules    struct {
		AnswerGrace    Duration
		DrainGrace     Duration
		OverloadFactor float64
		Fall           Duration
		ColdFrom       float64
		Cold           Duration
		OrderSettle    Duration
	}
	Limits struct {
		Body         int
		Arrivals     int
		ArrivalBytes int
		ListBytes    int
		Identities   struct {
			Count int
			Keep  Duration
		}
	}
	ZoneRecords string
	Budget      *struct {
		Bytes  float64
		Window Duration
		Burst  float64
		Held   float64
		First  float64
	}
	MQTT    MQTT
	WebPush WebPush
	TLS     struct {
		Handshakes int
		Warn       Duration
	}
	PartnerCalls struct {
		HeaderBytes int
		BodyBytes   int
		IdlePerHost int
		Spares      int
		Connecting  int
		ConnAge     Duration
		Sessions    int
	}
	Resolver struct {
		Servers   []string
		Timeout   Duration
		TTL       Duration
		Stale     Duration
		Addresses int
	}
	Directory struct {
		File    string
		Consul  []Consul
		Saved   string
		Gone    Duration
		Believe Duration
		Trust   Duration
	}
	Journal *struct {
		Dir   string
		Bytes int64
		Queue int
		Sync  bool
	}
	Fleet *struct {
		Service string
		TTL     Duration
		Late    Duration
		Hold    Duration
	}
	Metrics struct{ Listen string }
	Log     struct{ Level, Format string }
}

// Error holds all errors found in one file.
type Error struct {
	File  string
	Lines []string // one for each error, with file, line and path
}

func (e *Error) Error() string { return strings.Join(e.Lines, "\n") }

// evalMutex serialises CUE evaluation, since a context is not safe for concurrent use. Each read creates
// a new context, because a context keeps everything that it has compiled.
var evalMutex sync.Mutex

// read validates text against the schema definition def and decodes the result into the value that into points
// to. It returns the CUE value of the text, without defaults, which has the source positions.
func read(name string, text []byte, def string, into any) (cue.Value, error) {
	evalMutex.Lock()
	defer evalMutex.Unlock()
	ctx := cuecontext.New()
	schema := ctx.CompileString(schemaText, cue.Filename("schema.cue"))
	if err := schema.Err(); err != nil {
		return cue.Value{}, fmt.Errorf("config: schema: %w", err)
	}
	record := schema.LookupPath(cue.ParsePath(def))
	user := ctx.CompileBytes(text, cue.Filename(name))
	if err := user.Err(); err != nil {
		return cue.Value{}, explain(name, err, cue.Value{})
	}
	v := record.Unify(user)
	if err := v.Validate(cue.Concrete(true), cue.Final()); err != nil {
		return cue.Value{}, explain(name, err, record)
	}
	b, err := v.MarshalJSON()
	if err != nil {
		return cue.Value{}, explain(name, err, record)
	}
	if err := json.Unmarshal(b, into); err != nil {
		return cue.Value{}, &Error{name, []string{name + ": " + err.Error()}}
	}
	return user, nil
}

// explain converts CUE errors into an Error with one line for each path: "file:line: path: error; want ...",
// where the last part is the constraint in the schema with its comment.
func explain(name string, err error, def cue.Value) error {
	e := &Error{File: name}
	seen := map[string]int{}
	for _, c := range cueerrors.Errors(err) {
		format, args := c.Msg()
		what := fmt.Sprintf(format, args...)
		if strings.Contains(what, "errors in empty disjunction") {
			continue // only a heading: the errors of the alternatives follow
		}
		at := ""
		for _, p := range cueerrors.Positions(c) {
			if p.Filename() == name {
				at = fmt.Sprintf(":%d", p.Line())
				break
			}
		}
		path := c.Path()
		if len(path) > 0 && strings.HasPrefix(path[0], "#") {
			path = path[1:]
		}
		where := strings.Join(path, ".")
		if i, again := seen[where]; again && where != "" {
			if at != "" && !strings.HasPrefix(e.Lines[i], name+":"+at[1:]) && strings.HasPrefix(e.Lines[i], name+": ") {
				e.Lines[i] = name + at + strings.TrimPrefix(e.Lines[i], name)
			}
			continue
		}
		seen[where] = len(e.Lines)
		line := fmt.Sprintf("%s%s: %s: %s", name, at, where, what)
		if want := constraintAt(def, path); want != "" && !strings.Contains(what, "not allowed") {
			line += "; want " + want
		}
		e.Lines = append(e.Lines, line)
	}
	if len(e.Lines) == 0 {
		e.Lines = []string{name + ": " + err.Error()}
	}
	return e
}

// constraintAt describes the constraint that def has at path, with the comment of the field. It returns "" where
// there is none that fits on one line of 200 bytes.
func constraintAt(def cue.Value, path []string) string {
	if !def.Exists() || len(path) == 0 {
		return ""
	}
	var sel []cue.Selector
	for _, p := range path {
		if _, err := strconv.Atoi(p); err == nil {
			sel = append(sel, cue.AnyIndex)
		} else {
			sel = append(sel, cue.Str(p).Optional())
		}
	}
	v := def.LookupPath(cue.MakePath(sel...))
	if !v.Exists() {
		return ""
	}
	text, err := format.Node(v.Syntax(cue.Raw()), format.Simplify())
	if err != nil || len(text) > 200 || strings.ContainsRune(string(text), '\n') {
		return ""
	}
	want := strings.NewReplacer("#Dur", `a duration such as "250ms"`, "#Name", "a name of a-z, 0-9, '.', '_' and '-'",
		"#Addr", "host:port").Replace(string(text))
	for _, d := range v.Doc() {
		want += " (" + strings.Join(strings.Fields(d.Text()), " ") + ")"
		break
	}
	return want
}

// Load reads and validates a configuration file. Relative file names in it are resolved against the
// directory of the file.
func Load(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	c, err := Parse(path, text)
	if err != nil {
		return nil, err
	}
	files := []*string{&c.Directory.File, &c.Directory.Saved, &c.ZoneRecords}
	if c.Journal != nil {
		files = append(files, &c.Journal.Dir)
	}
	for i := range c.Directory.Consul {
		k := &c.Directory.Consul[i]
		files = append(files, &k.TokenFile)
		if k.TLS != nil {
			files = append(files, &k.TLS.CA, &k.TLS.Cert, &k.TLS.Key)
		}
	}
	for _, t := range []*TLS{c.MQTT.TLS, c.WebPush.TLS} {
		if t != nil {
			files = append(files, &t.Cert, &t.Key, &t.ClientCA)
		}
	}
	for _, p := range c.Partners {
		if t := p.TLS; t != nil {
			files = append(files, &t.CA, &t.Cert, &t.Key)
		}
	}
	for _, f := range files {
		if *f != "" && !filepath.IsAbs(*f) {
			*f = filepath.Join(filepath.Dir(path), *f)
		}
	}
	return c, nil
}

// Parse validates the text of a configuration. The name of its file appears in errors. Unlike Load, Parse
// leaves relative file names as they are.
func Parse(name string, text []byte) (*Config, error) {
	c := &Config{}
	v, err := read(name, text, "#Config", c)
	if err != nil {
		return nil, err
	}
	found := &Error{File: name}
	fail := func(path, format string, args ...any) {
		at := name
		if p := v.LookupPath(cue.ParsePath(path)).Pos(); p.IsValid() {
			at = fmt.Sprintf("%s:%d", name, p.Line())
		}
		found.Lines = append(found.Lines, fmt.Sprintf("%s: %s: %s", at, path, fmt.Sprintf(format, args...)))
	}
	checkUnique := func(list string, n int, name func(int) string) map[string]bool {
		seen := map[string]bool{}
		for i := range n {
			if seen[name(i)] {
				fail(fmt.Sprintf("%s[%d].name", list, i), "%q is a duplicate; names must be unique", name(i))
			}
			seen[name(i)] = true
		}
		return seen
	}
	zones := checkUnique("zones", len(c.Zones), func(i int) string { return c.Zones[i].Name })
	checkUnique("classes", len(c.Classes), func(i int) string { return c.Classes[i].Name })
	kinds := checkUnique("kinds", len(c.Kinds), func(i int) string { return c.Kinds[i].Name })
	partners := checkUnique("partners", len(c.Partners), func(i int) string { return c.Partners[i].Name })
	for i, k := range c.Classes {
		if k.Aim <= 0 || k.Deadline < k.Aim {
			fail(fmt.Sprintf("classes[%d].deadline", i), "%v must be at least the aim %v, and both must be above 0",
				k.Deadline.D(), k.Aim.D())
		}
	}
	for i, p := range c.Partners {
		if !kinds[p.Kind] {
			fail(fmt.Sprintf("partners[%d].kind", i), "%q is not defined under kinds", p.Kind)
		}
	}
	if c.Relay.Zone != "" && !zones[c.Relay.Zone] {
		fail("relay.zone", "%q is not defined under zones", c.Relay.Zone)
	}
	requireLoopback := func(list string, addrs []string, without string) {
		for i, l := range addrs {
			host, _, _ := net.SplitHostPort(l)
			if ip := net.ParseIP(host); host != "localhost" && (ip == nil || !ip.IsLoopback()) {
				fail(fmt.Sprintf("%s[%d]", list, i), "%q is not a loopback address; without %s it must be", l, without)
			}
		}
	}
	if len(c.MQTT.Users) == 0 {
		requireLoopback("mqtt.listen", c.MQTT.Listen, "mqtt.users")
		if c.MQTT.TLS == nil || !c.MQTT.TLS.RequireClient {
			requireLoopback("mqtt.tlsListen", c.MQTT.TLSListen, "mqtt.users or mqtt.tls.requireClient")
		}
	}
	w := &c.WebPush
	requireLoopback("webpush.listen", w.Listen, "TLS")
	if len(w.Keys) == 0 {
		requireLoopback("webpush.tlsListen", w.TLSListen, "webpush.keys")
	} else if len(w.Audience) == 0 {
		fail("webpush.audience", "is empty; webpush.keys needs the origins for which tokens are issued")
	}
	for _, f := range []struct {
		name  string
		addrs []string
		t     *TLS
	}{{"mqtt", c.MQTT.TLSListen, c.MQTT.TLS}, {"webpush", w.TLSListen, w.TLS}} {
		if len(f.addrs) > 0 && f.t == nil {
			fail(f.name+".tlsListen", "needs %s.tls with cert and key", f.name)
		}
		if f.t != nil && f.t.RequireClient && f.t.ClientCA == "" {
			fail(f.name+".tls.requireClient", "needs %s.tls.clientCA", f.name)
		}
	}
	for i, p := range c.Partners {
		if p.TLS != nil && (p.TLS.Cert == "") != (p.TLS.Key == "") {
			fail(fmt.Sprintf("partners[%d].tls", i), "cert and key must be set together")
		}
	}
	if c.Directory.File == "" && len(c.Directory.Consul) == 0 {
		fail("directory", "needs a file or consul")
	}
	if c.Fleet != nil && len(c.Directory.Consul) == 0 {
		fail("fleet", "needs directory.consul, where the relays register")
	}
	for i, k := range c.Directory.Consul {
		for j, m := range k.Services {
			at := fmt.Sprintf("directory.consul[%d].services[%d]", i, j)
			if !partners[m.Partner] {
				fail(at+".partner", "%q is not defined under partners", m.Partner)
			}
			if !zones[m.Zone] {
				fail(at+".zone", "%q is not defined under zones", m.Zone)
			}
		}
	}
	if c.Relay.Index >= c.Relay.Fleet {
		fail("relay.index", "%d must be below relay.fleet %d", c.Relay.Index, c.Relay.Fleet)
	}
	if len(found.Lines) > 0 {
		return nil, found
	}
	if _, err := choice.New(c.Settings(), 0); err != nil {
		return nil, &Error{name, []string{name + ": " + err.Error()}}
	}
	return c, nil
}

// ParseList validates the text of an endpoint list. The name of its file appears in errors.
func ParseList(name string, text []byte) ([]Endpoint, error) {
	var l struct{ Endpoints []Endpoint }
	if _, err := read(name, text, "#List", &l); err != nil {
		return nil, err
	}
	return l.Endpoints, nil
}

// effects maps the values of effect in the schema to those of the decision module.
var effects = map[string]choice.Effect{"safe": choice.Safe, "keyed": choice.Keyed, "unsafe": choice.Unsafe}

// Settings returns the settings of the decision module (package choice) for the configuration.
func (c *Config) Settings() choice.Settings {
	s := choice.Settings{
		Index: c.Relay.Index, Fleet: c.Relay.Fleet, Workers: c.Relay.Workers, MaxHeld: c.Relay.Held,
		MaxAttempts: c.Relay.Attempts, Tick: c.Relay.Tick.D(), MaxRetryAfter: c.Relay.MaxRetryAfter.D(),
		ConnIdle: c.Relay.ConnIdle.D(), Halving: c.Relay.Halving, ListedRates: c.Relay.ListedRates,
		Cancels: c.Relay.Cancels, ReportLimitIndex: -1, RefuseOnlyNeverRan: true,
		Rules: choice.Rules{AnswerGrace: c.Rules.AnswerGrace.D(), DrainGrace: c.Rules.DrainGrace.D(),
			OverloadFactor: c.Rules.OverloadFactor, Fall: c.Rules.Fall.D(), ColdFrom: c.Rules.ColdFrom,
			Cold: c.Rules.Cold.D(), OrderSettle: c.Rules.OrderSettle.D()},
	}
	for _, k := range c.Classes {
		s.Classes = append(s.Classes, choice.Class{Name: k.Name, Aim: k.Aim.D(), Deadline: k.Deadline.D(),
			Worth: k.Worth, LateShare: k.LateShare, Effect: effects[k.Effect], SameZone: k.SameZone,
			Window: k.Window.D(), Ordered: k.Ordered})
	}
	for _, k := range c.Kinds {
		s.Kinds = append(s.Kinds, choice.Kind{PerHostLimits: k.Apart, PerCall: k.PerCall})
	}
	for _, z := range c.Zones {
		s.ZoneFee = append(s.ZoneFee, z.Fee)
	}
	return s
}
