// Package routing holds the operators' routes: which service answers a request,
// by host and path, and how long, how often and how urgently it may be tried.
// A Table is immutable; a new configuration makes a new one.
package routing

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/tinarch/tinarch/internal/tenant"
)

// Kind tells how often a request of a route may run.
type Kind string

// The kinds of routes.
const (
	// Idempotent requests may run any number of times.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = "non_idempotent"
	// Streaming answers are a series of events. They run at most once unless the
	// route is resumable.
	Streaming Kind = "streaming"
)

// Target is a service that takes a share of a route's requests.
type Target struct {
	Service string
	// Weight is the share, relative to the other targets of the route.
	Weight int
}

// Route sends the requests of a host and path prefix to services.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash. The longest prefix wins.
	PathPrefix string
	Kind       Kind
	// Timeout is the longest that a request may be held.
	Timeout time.Duration
	// Objective is the time within which an answer, or the first event of a
	// stream, is worth most.
	Objective time.Duration
	// GapObjective is the longest pause between events of a stream.
	GapObjective time.Duration
	// Patience is how long callers wait for the beginning of an answer, zero where they
	// wait until their deadline.
	Patience time.Duration
	// MaxAttempts bounds the workers that one request is sent to.
	MaxAttempts int
	// Priority is the rank of the requests, zero being the most urgent.
	Priority int
	// Resumable streams may be continued at another worker.
	Resumable bool
	// Public routes may be used without an API key.
	Public  bool
	Targets []Target
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Streams reports whether answers of the route are event streams.
func (r *Route) Streams() bool { return r.Kind == Streaming }

// EngineSpec describes the model engines of a service.
type EngineSpec struct {
	// Slots bounds the requests that one engine runs at once.
	Slots int
	// MemoryTokens is the KV cache of one engine, in tokens.
	MemoryTokens int
	// TokenBytes is the size of one token's KV cache.
	TokenBytes int
	// LinkBytesPerSecond is the pace at which KV cache moves between engines.
	LinkBytesPerSecond float64
	// HandleLife is how long an engine keeps a prompt that it has read apart.
	HandleLife time.Duration
	// RoleSwitch is how long an engine is away when its role changes.
	RoleSwitch time.Duration
}

// MoveTime is what the link between two engines takes for the KV cache of tokens.
func (e *EngineSpec) MoveTime(tokens int) time.Duration {
	if e.LinkBytesPerSecond <= 0 {
		return 0
	}
	seconds := float64(tokens) * float64(e.TokenBytes) / e.LinkBytesPerSecond
	return time.Duration(seconds * float64(time.Second))
}

// Service is a group of workers that answer the same requests.
type Service struct {
	Name string
	// MaxConnections bounds the connections to one worker, over all nodes.
	MaxConnections int
	// HealthPath is where a worker tells whether it is well, empty where it doesn't.
	HealthPath string
	// Engine is nil where the workers aren't model engines.
	Engine *EngineSpec
	// Scaling is nil where the number of workers is fixed.
	Scaling *Scaling
}

// Scaling are the terms on which workers of a service may be ordered.
type Scaling struct {
	// Min and Max bound the workers of a zone, of all prices together.
	Min, Max int
	// Boot is the time from an order to a worker that serves.
	Boot time.Duration
	// SpotPrice is the price of workers that may be taken away, as a share of that of the
	// others; zero where there are none.
	SpotPrice float64
	// PriceByZone are the prices of a second of a worker, by zone.
	PriceByZone map[string]float64
}

// Limits bound what callers may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
}

// Table is one version of the routes.
type Table struct {
	Version uint64
	Limits  Limits
	// Tenants finds callers by their API keys; nil where callers need none.
	Tenants  *tenant.Keyring[tenant.Tenant]
	byHost   map[string][]*Route
	services map[string]*Service
}

// NewTable checks and indexes a configuration. The error names every mistake.
func NewTable(version uint64, routes []*Route, services []*Service, limits Limits) (*Table, error) {
	table := &Table{
		Version:  version,
		Limits:   limits,
		byHost:   make(map[string][]*Route),
		services: make(map[string]*Service, len(services)),
	}
	for _, service := range services {
		table.services[service.Name] = service
	}
	var mistakes []string
	for _, route := range routes {
		mistakes = append(mistakes, table.mistakesOf(route)...)
		host := strings.ToLower(route.Host)
		table.byHost[host] = append(table.byHost[host], route)
	}
	if len(mistakes) > 0 {
		return nil, fmt.Errorf("routes of version %d: %s", version, strings.Join(mistakes, "; "))
	}
	for _, routes := range table.byHost {
		slices.SortStableFunc(routes, func(left, right *Route) int {
			return len(right.PathPrefix) - len(left.PathPrefix)
		})
	}
	return table, nil
}

func (t *Table) mistakesOf(route *Route) []string {
	var mistakes []string
	add := func(format string, arguments ...any) {
		mistakes = append(mistakes, fmt.Sprintf("route %q: ", route.Name)+fmt.Sprintf(format, arguments...))
	}
	if !strings.HasPrefix(route.PathPrefix, "/") || !strings.HasSuffix(route.PathPrefix, "/") {
		add("path prefix %q must begin and end with a slash", route.PathPrefix)
	}
	switch route.Kind {
	case Idempotent, NonIdempotent, Streaming:
	default:
		add("kind %q is not known; use %s, %s or %s", route.Kind, Idempotent, NonIdempotent, Streaming)
	}
	if route.Timeout <= 0 {
		add("the timeout must be above zero")
	}
	if route.MaxAttempts < 1 {
		add("at least one attempt must be allowed")
	}
	if len(route.Targets) == 0 {
		add("it names no service")
	}
	for _, target := range route.Targets {
		if t.services[target.Service] == nil {
			add("service %q is not configured", target.Service)
		}
		if target.Weight < 0 {
			add("the weight of service %q is below zero", target.Service)
		}
	}
	return mistakes
}

// Match returns the route of a request, nil where there is none. The host may
// carry a port; the path carries no query.
func (t *Table) Match(host, path string) *Route {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 {
		host = host[:colon]
	}
	for _, route := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// Service returns a service by name, nil where there is none.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Services returns all services, in no order.
func (t *Table) Services() map[string]*Service { return t.services }

// RoutesTo returns the routes that send requests to a service, in no order.
func (t *Table) RoutesTo(service string) []*Route {
	var found []*Route
	for _, routes := range t.byHost {
		for _, route := range routes {
			if slices.ContainsFunc(route.Targets, func(target Target) bool { return target.Service == service }) {
				found = append(found, route)
			}
		}
	}
	return found
}

// RouteCount returns the number of routes.
func (t *Table) RouteCount() int {
	count := 0
	for _, routes := range t.byHost {
		count += len(routes)
	}
	return count
}
