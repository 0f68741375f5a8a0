package main

import "sync"

// class is one class in the settings.
func class(name, effect string, aim, giveUp, worth float64, ordered bool, window float64, group string) map[string]any {
	c := map[string]any{"name": name, "effect": effect, "aim": aim, "give-up": giveUp, "group": group, "late-share": 0.5,
		"stream": false, "window": window, "worth": worth}
	if ordered {
		c["keep-order"] = true
	}
	return c
}

// kind is one kind of destination.
type kind struct {
	name      string
	ownLimits bool
	perCall   int
}

// settings returns settings in the form of WIRE, with the figures of its example where none is given.
func settings(workers, mostHeld int, classes []map[string]any, kinds []kind, rules map[string]any) map[string]any {
	var skus []string
	var own []bool
	var per []int
	for _, k := range kinds {
		skus, own, per = append(skus, k.name), append(own, k.ownLimits), append(per, k.perCall)
	}
	all := map[string]any{"ask-within": 10.0, "cold": 9.6, "cold-from": 0.13, "drain-grace": 1.0, "fall": 3.0,
		"grace-to-answer": 0.02, "order-settle": 0.1, "overload-factor": 2.5}
	for name, x := range rules {
		all[name] = x
	}
	return map[string]any{
		"bounds": map[string]any{"cancel": true, "conn-idle": 15.0, "cpu-us-per-request": 0.0, "cpu-us-per-s": 589285,
			"dial-timeout": 1.5, "max-attempts": 6, "max-retry-after": 3.0, "most-held": mostHeld, "peers": false,
			"probes": false, "retry-after": false, "second-copies": false, "streams-per-conn": 1},
		"classes": classes, "client-habits": map[string]any{"marks-retry": false}, "domain-type": "deliver",
		"family-info": map[string]any{"late": "halving", "own-limits": own, "per-call": per, "refused-price": 0.05,
			"workers": workers, "zone-fee": []float64{0}},
		"fleet-size": 2, "index": 0, "goal": map[string]any{"whole": 0.55, "worst-class": 0.2, "worst-window": 0.25},
		"load-report": map[string]any{"columns": []string{}, "how": "off"}, "over-share-worth": 0.1,
		"registry-mode": "automatic", "rules": all, "skus": skus, "tenants": []any{}, "tick": 0.005, "tier": 0,
		"tiers": []string{"partners"}, "weights": "nominal", "worth-by": "request", "zone": 0, "zones": []string{"akl-dc1"},
	}
}

// limits returns the limits of a relay's machine.
func limits(memoryMB, sockets int) map[string]any {
	return map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": sockets, "disk_mb": 3}
}

var (
	runningMu sync.Mutex
	running   []*relay
)

// track has a relay ended with the case.
func track(p *relay) {
	runningMu.Lock()
	running = append(running, p)
	runningMu.Unlock()
}

// endAll ends all processes that the case started.
func endAll() {
	runningMu.Lock()
	defer runningMu.Unlock()
	for _, p := range running {
		if p.cmd != nil && p.alive() {
			p.kill()
		}
	}
}
