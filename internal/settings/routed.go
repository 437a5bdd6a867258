package settings

import (
	"bytes"
	"os"
	"slices"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/parser"

	"github.com/tinarch/tinarch/internal/result"
)

// Routed are the settings of a routed node (tinarchd --routed), which serves routes in front of
// the workers that a platform's store lists. A worker is a process behind a route; an engine is
// a worker that runs a model. Only engines get orders from nodes.
type Routed struct {
	Node RoutedNode `yaml:"node"`
	// Zones maps each zone to its region; all zones without an entry share one region.
	Zones  map[string]string `yaml:"zones"`
	Listen RoutedListen      `yaml:"listen"`
	Store  RoutedStore       `yaml:"store"`
	API    RoutedAPI         `yaml:"api"`
	Usage  RoutedUsage       `yaml:"usage"`
	Quota  RoutedQuota       `yaml:"quota"`
	Limits RoutedLimits      `yaml:"limits"`
	// Clients bounds what single clients may do.
	Clients RoutedClients `yaml:"clients,omitempty"`
	Bounds  RoutedBounds  `yaml:"bounds"`
	Late    RoutedLate    `yaml:"late"`
	// Overload turns on what is decided for services that callers ask more of than they can
	// serve at times.
	Overload RoutedOverload `yaml:"overload,omitempty"`
	Log      Log            `yaml:"log"`
}

// RoutedOverload selects the services for which the decisions under overload are made. Each of
// its settings is one of the Scope values.
type RoutedOverload struct {
	// ColdStart divides the engines for prompts that have to be read whole while caches are
	// empty.
	ColdStart Scope `yaml:"cold_start"`
	// SingleRead makes requests wait for the prefill of the prefix that they share instead of
	// reading it several times.
	SingleRead Scope `yaml:"single_read"`
	// Waiting makes requests that can't be in time wait in one order over all nodes.
	Waiting Scope `yaml:"waiting"`
	// SpreadRetries spreads the times at which refused callers are asked to retry.
	SpreadRetries Scope `yaml:"spread_retries"`
}

// Scope selects services.
type Scope string

// Values of Scope.
const (
	// Never selects no service.
	Never Scope = "never"
	// Uneven selects the services whose workers state how much slower than usual their hosts
	// are.
	Uneven Scope = "uneven"
	// Always selects all services.
	Always Scope = "always"
)

// Selects reports whether a service is selected, given whether it is uneven.
func (s Scope) Selects(uneven bool) bool { return s == Always || s == Uneven && uneven }

// RoutedLate tells what happens to late requests, those to engines that can't be answered
// within the objective of their route (its target time for an answer or for the first event of
// a stream).
type RoutedLate struct {
	// Hold lets late requests wait at their node for an engine at which nothing else waits; if
	// it is false, they are rejected when there is no such engine.
	Hold bool `yaml:"hold"`
}

// RoutedNode identifies the node.
type RoutedNode struct {
	Name string `yaml:"name"`
	Zone string `yaml:"zone"`
	// FirstStart tells that the whole system starts for the first time. The node then writes
	// its row in the store before it reads those of the others, and doesn't ask workers what
	// their KV caches hold, since they are empty. At a later start the setting would make it miss what they hold.
	FirstStart bool `yaml:"first_start"`
}

// RoutedListen holds the addresses of a node's ports, as IP:PORT.
type RoutedListen struct {
	Callers   string `yaml:"callers"`
	Readiness string `yaml:"readiness"`
	// Exchange is the UDP address that receives the other nodes' load messages.
	Exchange string `yaml:"exchange"`
	Metrics  string `yaml:"metrics"`
	// Outbound is the IP address that connections to workers and other nodes are made from. If
	// it is empty, the system chooses. It must be the one of Exchange: nodes take connections
	// from each other by it.
	Outbound string `yaml:"outbound,omitempty"`
}

// RoutedStore holds the address of the platform's store.
type RoutedStore struct {
	Address string `yaml:"address"`
}

// RoutedAPI describes the platform's API, which one node at a time calls on behalf of all.
type RoutedAPI struct {
	// Address is empty where the platform has no API.
	Address string `yaml:"address"`
	// Duties are the calls that the platform expects there: usage_report, autoscale. Unknown
	// ones are ignored.
	Duties []string `yaml:"duties"`
}

// Duties at the platform's API.
const (
	DutyUsageReport = "usage_report"
	DutyAutoscale   = "autoscale"
)

// HasDuty reports whether the platform expects a duty to be done.
func (a RoutedAPI) HasDuty(duty string) bool {
	return a.Address != "" && slices.Contains(a.Duties, duty)
}

// RoutedUsage holds how the tenants' usage is reported.
type RoutedUsage struct {
	// WindowSeconds is the length of a window of wall-clock time. LateSeconds is how long after
	// the end of a window the platform is expected to accept its report; nodes send it for up
	// to twice that time. It has nothing to do with late requests (RoutedLate).
	WindowSeconds float64 `yaml:"window_s"`
	LateSeconds   float64 `yaml:"late_s"`
}

// RoutedQuota bounds by how much the usage of a tenant, over all nodes together, may exceed its
// quota in any window: by the share Overshoot of what the quota allows in the window, plus
// Slack.
type RoutedQuota struct {
	WindowSeconds float64 `yaml:"window_s"`
	Overshoot     float64 `yaml:"overshoot"`
	// Slack is in the unit of the tenants' limits.
	Slack float64 `yaml:"slack"`
}

// RoutedLimits bounds the resources of the process.
type RoutedLimits struct {
	MemoryMegabytes int `yaml:"memory_mb"`
	// Descriptors is the number of file descriptors that the process may use, zero for the limit
	// of the operating system.
	Descriptors int `yaml:"descriptors,omitempty"`
}

// RoutedClients bounds what the clients of a node's ports may do.
type RoutedClients struct {
	// MemoryShare is the part of the process's memory that all clients together may hold.
	MemoryShare float64 `yaml:"memory_share"`
	// HeaderMillis and IdleMillis are how long the head of a request may take, and how long a
	// connection may stay open without a request, where the configuration of the routes says neither.
	HeaderMillis int `yaml:"header_ms"`
	IdleMillis   int `yaml:"idle_ms"`
	// StallMillis is how far a client may fall behind LeastBytesPerSecond while it sends a body or
	// reads an answer.
	StallMillis         int `yaml:"stall_ms"`
	LeastBytesPerSecond int `yaml:"least_bytes_per_s"`
}

// RoutedBounds holds what the platform asks of a node's stop and of the retries, the terms of
// leases, and what nodes may assume of the workers and the platform's API.
type RoutedBounds struct {
	// StopMillis is the longest duration of a planned stop of this node.
	StopMillis int `yaml:"stop_ms"`
	// RetryRatio, RetrySlack and RetryWindowMillis bound the retries of all nodes together: in
	// any window there are at most RetryRatio times the requests, plus RetrySlack.
	RetryRatio        float64 `yaml:"retry_ratio"`
	RetrySlack        float64 `yaml:"retry_slack"`
	RetryWindowMillis int     `yaml:"retry_window_ms"`
	// LeaseMillis is how long a lease lasts without renewal. Only its holder may give orders to
	// engines and call the platform's API.
	LeaseMillis int `yaml:"lease_ms"`
	// Fencing tells whether engines and the platform's API reject calls with a lower fence than
	// one that they have seen. Where they don't, a late call of an earlier lease holder may be
	// carried out after a call of the current one.
	Fencing bool `yaml:"fencing"`
	// HeartbeatMillis is the interval at which each worker writes its row in the store.
	HeartbeatMillis int `yaml:"heartbeat_ms"`
}

// DefaultRouted returns the default settings of a routed node.
func DefaultRouted() Routed {
	return Routed{
		Usage:  RoutedUsage{WindowSeconds: 5, LateSeconds: 10},
		Quota:  RoutedQuota{WindowSeconds: 8, Overshoot: 0.1},
		Limits: RoutedLimits{MemoryMegabytes: 256},
		Clients: RoutedClients{
			MemoryShare: 0.25, HeaderMillis: 10_000, IdleMillis: 60_000, StallMillis: 10_000, LeastBytesPerSecond: 4096,
		},
		Bounds: RoutedBounds{
			StopMillis: 8000, RetryRatio: 0.2, RetrySlack: 20,
			RetryWindowMillis: 10_000, LeaseMillis: 3000, Fencing: true, HeartbeatMillis: 1200,
		},
		Overload: RoutedOverload{ColdStart: Never, SingleRead: Never, Waiting: Never, SpreadRetries: Never},
		Log:      Log{Level: "info", Format: "json"},
	}
}

// LoadRouted reads and checks a settings file; values that it leaves out keep their defaults.
func LoadRouted(path string) (Routed, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Routed{}, result.New(result.SettingsInvalid, "the settings file can't be read: %v", err)
	}
	return ParseRouted(path, content)
}

// ParseRouted parses and checks the content of a settings file; path is used in error messages
// only.
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
	if s.Listen.Outbound != "" {
		c.ip("listen.outbound", s.Listen.Outbound)
	}
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
	c.between("limits.memory_mb", s.Limits.MemoryMegabytes, leastMemoryMegabytes, 1<<20)
	c.between("limits.descriptors", s.Limits.Descriptors, 0, 1<<20)
	if share := s.Clients.MemoryShare; share < 0.05 || share > 0.4 {
		c.add("clients.memory_share", "%v is out of range; use 0.05 to 0.4", share)
	}
	c.between("clients.header_ms", s.Clients.HeaderMillis, 100, 3_600_000)
	c.between("clients.idle_ms", s.Clients.IdleMillis, 100, 24*3_600_000)
	c.between("clients.stall_ms", s.Clients.StallMillis, 100, 3_600_000)
	c.between("clients.least_bytes_per_s", s.Clients.LeastBytesPerSecond, 1, 1<<30)
	c.between("bounds.stop_ms", s.Bounds.StopMillis, 1000, 24*3_600_000)
	c.nonNegative("bounds.retry_ratio", s.Bounds.RetryRatio, 10)
	c.nonNegative("bounds.retry_slack", s.Bounds.RetrySlack, 1e6)
	c.between("bounds.retry_window_ms", s.Bounds.RetryWindowMillis, 100, 3_600_000)
	c.between("bounds.lease_ms", s.Bounds.LeaseMillis, 100, 3_600_000)
	c.between("bounds.heartbeat_ms", s.Bounds.HeartbeatMillis, 10, 3_600_000)
	for _, setting := range []struct {
		key   string
		scope Scope
	}{
		{"overload.cold_start", s.Overload.ColdStart},
		{"overload.single_read", s.Overload.SingleRead},
		{"overload.waiting", s.Overload.Waiting},
		{"overload.spread_retries", s.Overload.SpreadRetries},
	} {
		c.oneOf(setting.key, string(setting.scope), string(Never), string(Uneven), string(Always))
	}
	c.oneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	c.oneOf("log.format", s.Log.Format, "json", "text")
	return c.err()
}

// maxSeconds is the longest duration that a setting in seconds accepts: one day.
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
