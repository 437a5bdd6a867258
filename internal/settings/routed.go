package settings

import (
	"bytes"
	"os"
	"slices"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/parser"

	"github.com/tinarch/tinarch/internal/result"
)

// Routed are the settings of a node that serves routes before workers which a
// platform's store lists.
type Routed struct {
	Node RoutedNode `yaml:"node"`
	// Zones holds the region of each zone; zones without one lie together.
	Zones  map[string]string `yaml:"zones"`
	Listen RoutedListen      `yaml:"listen"`
	Store  RoutedStore       `yaml:"store"`
	API    RoutedAPI         `yaml:"api"`
	Usage  RoutedUsage       `yaml:"usage"`
	Quota  RoutedQuota       `yaml:"quota"`
	Limits RoutedLimits      `yaml:"limits"`
	Bounds RoutedBounds      `yaml:"bounds"`
	Late   RoutedLate        `yaml:"late"`
	Log    Log               `yaml:"log"`
}

// RoutedLate says how requests are served that can't be in time.
type RoutedLate struct {
	// Hold lets them wait at their node for a free engine; otherwise they are refused where
	// none is.
	Hold bool `yaml:"hold"`
}

// RoutedNode says which node this is.
type RoutedNode struct {
	Name string `yaml:"name"`
	Zone string `yaml:"zone"`
	// FirstStart tells that the whole system starts for the first time.
	FirstStart bool `yaml:"first_start"`
}

// RoutedListen holds the addresses of a node's ports, as IP:PORT.
type RoutedListen struct {
	Callers   string `yaml:"callers"`
	Readiness string `yaml:"readiness"`
	// Exchange is the UDP address where other nodes' digests arrive.
	Exchange string `yaml:"exchange"`
	Metrics  string `yaml:"metrics"`
}

// RoutedStore says where the platform's store is.
type RoutedStore struct {
	Address string `yaml:"address"`
}

// RoutedAPI says where the platform's API is, to which one node at a time speaks for all.
type RoutedAPI struct {
	// Address is empty where there is none.
	Address string `yaml:"address"`
	// Duties are what the platform expects to be done there: usage_report, autoscale. Others
	// are passed over.
	Duties []string `yaml:"duties"`
}

// Duties of the platform's API.
const (
	DutyUsage = "usage_report"
	DutyScale = "autoscale"
)

// Has reports whether the platform expects a duty to be done.
func (a RoutedAPI) Has(duty string) bool { return a.Address != "" && slices.Contains(a.Duties, duty) }

// RoutedUsage says how tenants' usage is reported.
type RoutedUsage struct {
	// WindowSeconds is the length of a window of wall-clock time, and LateSeconds how long
	// after its end a window may be reported.
	WindowSeconds float64 `yaml:"window_s"`
	LateSeconds   float64 `yaml:"late_s"`
}

// RoutedQuota says by how much all nodes together may exceed what a tenant may use: in any
// window, by a share of what its limit allows there and by a count.
type RoutedQuota struct {
	WindowSeconds float64 `yaml:"window_s"`
	Overshoot     float64 `yaml:"overshoot"`
	// Slack is in the unit of the tenants' limits.
	Slack float64 `yaml:"slack"`
}

// RoutedLimits bound what the process uses.
type RoutedLimits struct {
	MemoryMegabytes int `yaml:"memory_mb"`
}

// RoutedBounds are the promises that hold over all nodes.
type RoutedBounds struct {
	// StopMillis is how long a planned stop may take.
	StopMillis int `yaml:"stop_ms"`
	// RetryRatio, RetrySlack and RetryWindowMillis bound the requests that are sent
	// again: in any window, the ratio of the requests plus the slack.
	RetryRatio        float64 `yaml:"retry_ratio"`
	RetrySlack        float64 `yaml:"retry_slack"`
	RetryWindowMillis int     `yaml:"retry_window_ms"`
	// LeaseMillis is how long the authority to give orders lasts unrenewed.
	LeaseMillis int `yaml:"lease_ms"`
	// Fencing says whether engines and the platform's API refuse calls under a fence lower
	// than one that they have seen. Where they don't, a late call of an earlier holder may
	// be carried out behind a newer one.
	Fencing bool `yaml:"fencing"`
	// HeartbeatMillis is the time in which each worker writes its entry in the store.
	HeartbeatMillis int `yaml:"heartbeat_ms"`
}

// DefaultRouted returns the settings that hold where none are given.
func DefaultRouted() Routed {
	return Routed{
		Usage:  RoutedUsage{WindowSeconds: 5, LateSeconds: 10},
		Quota:  RoutedQuota{WindowSeconds: 8, Overshoot: 0.1},
		Limits: RoutedLimits{MemoryMegabytes: 256},
		Bounds: RoutedBounds{
			StopMillis: 8000, RetryRatio: 0.2, RetrySlack: 20,
			RetryWindowMillis: 10_000, LeaseMillis: 3000, Fencing: true, HeartbeatMillis: 1200,
		},
		Log: Log{Level: "info", Format: "json"},
	}
}

// LoadRouted reads and checks a file over the defaults.
func LoadRouted(path string) (Routed, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Routed{}, result.New(result.SettingsInvalid, "the settings file can't be read: %v", err)
	}
	return ParseRouted(path, content)
}

// ParseRouted reads and checks the content of a file.
func ParseRouted(path string, content []byte) (Routed, error) {
	settings := DefaultRouted()
	decoder := yaml.NewDecoder(bytes.NewReader(content), yaml.Strict())
	if err := decoder.Decode(&settings); err != nil {
		return Routed{}, result.New(result.SettingsInvalid, "%s: %s", path, describe(err))
	}
	source := &Source{path: path}
	if file, err := parser.ParseBytes(content, 0); err == nil {
		source.file = file
	}
	return settings, settings.check(source)
}

func (s Routed) check(source *Source) error {
	c := checker{source: source}
	c.match("node.name", s.Node.Name, namePattern, "use 1 to 63 of a-z, 0-9, '.' and '-'")
	c.match("node.zone", s.Node.Zone, namePattern, "use 1 to 63 of a-z, 0-9, '.' and '-'")
	c.address("listen.callers", s.Listen.Callers)
	c.address("listen.readiness", s.Listen.Readiness)
	c.address("listen.exchange", s.Listen.Exchange)
	c.address("listen.metrics", s.Listen.Metrics)
	c.address("store.address", s.Store.Address)
	if s.API.Address != "" {
		c.address("api.address", s.API.Address)
	}
	c.seconds("usage.window_s", s.Usage.WindowSeconds)
	c.seconds("usage.late_s", s.Usage.LateSeconds)
	for zone, region := range s.Zones {
		c.match("zones."+zone, zone, namePattern, "use 1 to 63 of a-z, 0-9, '.' and '-'")
		c.match("zones."+zone, region, namePattern, "use 1 to 63 of a-z, 0-9, '.' and '-'")
	}
	c.seconds("quota.window_s", s.Quota.WindowSeconds)
	c.nonNegative("quota.overshoot", s.Quota.Overshoot, 10)
	c.nonNegative("quota.slack", s.Quota.Slack, 1e12)
	c.between("limits.memory_mb", s.Limits.MemoryMegabytes, 32, 1<<20)
	c.between("bounds.stop_ms", s.Bounds.StopMillis, 1000, 24*3_600_000)
	c.nonNegative("bounds.retry_ratio", s.Bounds.RetryRatio, 10)
	c.nonNegative("bounds.retry_slack", s.Bounds.RetrySlack, 1e6)
	c.between("bounds.retry_window_ms", s.Bounds.RetryWindowMillis, 100, 3_600_000)
	c.between("bounds.lease_ms", s.Bounds.LeaseMillis, 100, 3_600_000)
	c.between("bounds.heartbeat_ms", s.Bounds.HeartbeatMillis, 10, 3_600_000)
	c.oneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	c.oneOf("log.format", s.Log.Format, "json", "text")
	return c.err()
}

// maxSeconds is the maxSeconds span that a setting may give, in seconds: a day.
const maxSeconds = 24 * 3600

func (c *checker) seconds(key string, value float64) {
	if value <= 0 || value > maxSeconds {
		c.add(key, "%v is out of range; use more than 0 and at most %v seconds", value, maxSeconds)
	}
}

func (c *checker) nonNegative(key string, value, highest float64) {
	if value < 0 || value > highest {
		c.add(key, "%v is out of range; use 0 to %v", value, highest)
	}
}
