// Package settings converts the platform's settings object to the settings of package choice. The
// simulator sends the object at its start, and a relay reads it from its configuration file; both
// use this package, so that both make the same decisions.
package settings

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"time"

	"basaltcross.example/basaltcross/choice"
)

// Settings are the settings of package choice, and those that only a relay on sockets needs.
type Settings struct {
	choice.Settings
	DialTimeout time.Duration // time-out for opening a connection; 0 if not set
	// Columns are the names of the columns of the load report in answers; nil if they hold none.
	Columns []string
	Kinds   map[string]int // index of each kind of destination, by name
	Zones   map[string]int // index of each zone, by name
	Lanes   map[string]int // index of each class, by name
}

func seconds(f float64) time.Duration { return time.Duration(math.Round(f*1e6)) * time.Microsecond }

// config is the part of the settings object that this package reads.
type config struct {
	Bounds struct {
		Cancel        bool    `json:"cancel"`
		ConnIdle      float64 `json:"conn-idle"`
		DialTimeout   float64 `json:"dial-timeout"`
		MaxAttempts   int     `json:"max-attempts"`
		MostHeld      int     `json:"most-held"`
		RetryAfter    bool    `json:"retry-after"`
		MaxRetryAfter float64 `json:"max-retry-after"`
	} `json:"bounds"`
	Classes []struct {
		Name      string  `json:"name"`
		Aim       float64 `json:"aim"`
		GiveUp    float64 `json:"give-up"`
		Effect    string  `json:"effect"`
		Group     string  `json:"group"`
		KeepOrder bool    `json:"keep-order"`
		LateShare float64 `json:"late-share"`
		Window    float64 `json:"window"`
		Worth     float64 `json:"worth"`
	} `json:"classes"`
	Family struct {
		Late      string    `json:"late"`
		OwnLimits []bool    `json:"own-limits"`
		PerCall   []int     `json:"per-call"`
		Workers   int       `json:"workers"`
		ZoneFee   []float64 `json:"zone-fee"`
	} `json:"family-info"`
	FleetSize  int `json:"fleet-size"`
	Index      int `json:"index"`
	LoadReport struct {
		Columns []string `json:"columns"`
		How     string   `json:"how"`
	} `json:"load-report"`
	RegistryMode string `json:"registry-mode"`
	Rules        struct {
		Cold           float64 `json:"cold"`
		ColdFrom       float64 `json:"cold-from"`
		DrainGrace     float64 `json:"drain-grace"`
		Fall           float64 `json:"fall"`
		GraceToAnswer  float64 `json:"grace-to-answer"`
		OrderSettle    float64 `json:"order-settle"`
		OverloadFactor float64 `json:"overload-factor"`
	} `json:"rules"`
	Skus    []string `json:"skus"`
	Tick    float64  `json:"tick"`
	Weights string   `json:"weights"`
	Zones   []string `json:"zones"`
}

// Parse converts a settings object. Unknown keys are ignored.
func Parse(object []byte) (Settings, error) {
	var c config
	if err := json.Unmarshal(object, &c); err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	all := Settings{DialTimeout: seconds(c.Bounds.DialTimeout), Kinds: indexByName(c.Skus), Zones: indexByName(c.Zones), Lanes: map[string]int{}}
	s := &all.Settings
	*s = choice.Settings{
		Index: c.Index, Fleet: c.FleetSize, Workers: c.Family.Workers, MaxHeld: c.Bounds.MostHeld,
		MaxAttempts: c.Bounds.MaxAttempts, Tick: seconds(c.Tick),
		ConnIdle: seconds(c.Bounds.ConnIdle), ZoneFee: c.Family.ZoneFee,
		Halving: c.Family.Late == "halving", ListedRates: c.Weights == "nominal" || c.Weights == "rough",
		Cancels: c.Bounds.Cancel, Subscribe: c.RegistryMode == "subscribe",
		ReportLimitIndex: -1,
		Rules: choice.Rules{
			AnswerGrace: seconds(c.Rules.GraceToAnswer), DrainGrace: seconds(c.Rules.DrainGrace),
			OverloadFactor: c.Rules.OverloadFactor, Fall: seconds(c.Rules.Fall),
			ColdFrom: c.Rules.ColdFrom, Cold: seconds(c.Rules.Cold), OrderSettle: seconds(c.Rules.OrderSettle),
		},
	}
	if c.Bounds.RetryAfter {
		s.MaxRetryAfter = seconds(c.Bounds.MaxRetryAfter)
	}
	if c.LoadReport.How == "inline" {
		all.Columns = c.LoadReport.Columns
		s.ReportLimitIndex = slices.Index(c.LoadReport.Columns, "x1")
	}
	for _, k := range c.Classes {
		effect, ok := map[string]choice.Effect{
			"idempotent": choice.Safe, "deduplicated": choice.Keyed, "at_most_once": choice.Unsafe}[k.Effect]
		if !ok {
			return all, fmt.Errorf("settings: classes: %q is not an effect", k.Effect)
		}
		all.Lanes[k.Name] = len(s.Classes)
		s.Classes = append(s.Classes, choice.Class{
			Name: k.Name, Aim: seconds(k.Aim), Deadline: seconds(k.GiveUp), Worth: k.Worth,
			LateShare: k.LateShare, Effect: effect, SameZone: k.Group != "all",
			Window: seconds(k.Window), Ordered: k.KeepOrder,
		})
	}
	for i := range c.Skus {
		k := choice.Kind{PerCall: 1}
		if i < len(c.Family.OwnLimits) {
			k.PerHostLimits = c.Family.OwnLimits[i]
		}
		if i < len(c.Family.PerCall) {
			k.PerCall = max(1, c.Family.PerCall[i])
		}
		s.Kinds = append(s.Kinds, k)
	}
	return all, nil
}

func indexByName(list []string) map[string]int {
	m := make(map[string]int, len(list))
	for i, n := range list {
		m[n] = i
	}
	return m
}
