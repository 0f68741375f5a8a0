// Package platform runs the relay as a node of the users' platform. It reads the environment and
// the configuration file, derives resource bounds from the machine's limits, and starts, reloads
// and drains the node. Scheduling and protocols are left to the packages that it connects.
package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"os"
	"strconv"

	"basaltcross.example/basaltcross/internal/agent"
	"basaltcross.example/basaltcross/internal/platform/settings"
)

// Limits are the resources that the machine grants the node.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"` // file descriptors
	DiskMB   float64 `json:"disk_mb"`
}

// Config is the configuration of a node, from its environment and its configuration file.
type Config struct {
	Name      string
	Listen    string
	Discovery string
	State     string // folder that survives restarts
	Seed      uint64
	Limits    Limits
	Known     agent.List
	Settings  settings.Settings
}

// configFile is the content of the configuration file.
type configFile struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"`
	Limits    Limits          `json:"limits"`
	Known     agent.List      `json:"known"`
	Settings  json.RawMessage `json:"settings"`
}

// maxConfigBytes bounds the size of a configuration file.
const maxConfigBytes = 16 << 20

// Load reads the environment (getenv is os.Getenv) and the configuration file that it names. Where
// both set a value the file takes precedence, since a reload can replace only the file.
func Load(getenv func(string) string) (*Config, error) {
	path := getenv("ROUTER_CONFIG")
	if path == "" {
		return nil, errors.New("platform: ROUTER_CONFIG is not set")
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("platform: %w", err)
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, maxConfigBytes+1))
	if err != nil {
		return nil, fmt.Errorf("platform: %w", err)
	}
	if len(data) > maxConfigBytes {
		return nil, fmt.Errorf("platform: %s: configuration file is larger than %d bytes", path, maxConfigBytes)
	}
	c, err := parse(data, getenv)
	if err != nil {
		return nil, fmt.Errorf("platform: %s: %w", path, err)
	}
	return c, nil
}

func parse(data []byte, getenv func(string) string) (*Config, error) {
	var f configFile
	if err := json.Unmarshal(data, &f); err != nil {
		return nil, err
	}
	or := func(v, name string) string {
		if v == "" {
			return getenv(name)
		}
		return v
	}
	c := &Config{Name: or(f.Name, "ROUTER_NAME"), Listen: or(f.Listen, "ROUTER_LISTEN"),
		Discovery: or(f.Discovery, "ROUTER_DISCOVERY"), State: getenv("ROUTER_STATE"), Limits: f.Limits, Known: f.Known}
	if c.State == "" {
		return nil, errors.New("ROUTER_STATE is not set")
	}
	for name, addr := range map[string]string{"listen": c.Listen, "discovery": c.Discovery} {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
	}
	if f.Seed != "" {
		seed, err := strconv.ParseUint(f.Seed, 16, 64)
		if err != nil {
			return nil, fmt.Errorf("seed: %.40q is not a hexadecimal number", f.Seed)
		}
		c.Seed = seed
	}
	l := &c.Limits
	switch {
	case !(l.Cores > 0) || math.IsInf(l.Cores, 0):
		return nil, fmt.Errorf("limits.cores: %v, must be above 0", l.Cores)
	case l.MemoryMB < 16:
		return nil, fmt.Errorf("limits.memory_mb: %d, must be 16 or more", l.MemoryMB)
	case l.Sockets < 64:
		return nil, fmt.Errorf("limits.sockets: %d, must be 64 or more", l.Sockets)
	case !(l.DiskMB >= 0.25) || l.DiskMB > 1<<20:
		return nil, fmt.Errorf("limits.disk_mb: %v, must be 0.25 or more", l.DiskMB)
	}
	if len(f.Settings) == 0 {
		return nil, errors.New("settings: missing")
	}
	var err error
	if c.Settings, err = settings.Parse(f.Settings); err != nil {
		return nil, err
	}
	return c, nil
}
