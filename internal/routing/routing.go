// Package routing holds the configured routes: which service answers a request, by host and
// path, and within which time, number of attempts and priority. A Table is immutable; a new
// configuration makes a new one.
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

// Values of Kind.
const (
	// Idempotent requests may run any number of times.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = "non_idempotent"
	// Streaming answers are series of events. Such requests run at most once unless the route
	// is resumable.
	Streaming Kind = "streaming"
)

// Target is a service that takes a share of a route's requests.
type Target struct {
	Service string
	// Weight is the target's share of the requests relative to the route's other targets.
	Weight int
}

// Route sends the requests of a host and path prefix to services.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash. The longest prefix wins.
	PathPrefix string
	Kind       Kind
	// Timeout bounds the time from a request's arrival to the end of its answer.
	Timeout time.Duration
	// Objective is the target time for an answer or, of a stream, for its first event.
	Objective time.Duration
	// GapObjective is the longest pause wanted between two events of a stream.
	GapObjective time.Duration
	// Patience is how long callers wait for an answer to begin or to go on. It is zero where
	// they wait until their deadline.
	Patience time.Duration
	// MaxAttempts bounds the workers to which one request is sent.
	MaxAttempts int
	// Priority is the rank of the requests. Zero is the most urgent.
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

// EngineSpec describes a service's model engines, which are all alike.
type EngineSpec struct {
	// Slots is the number of requests that one engine runs at once.
	Slots int
	// MemoryTokens is the size of one engine's KV cache in tokens.
	MemoryTokens int
	// TokenBytes is the size of one token in the KV cache.
	TokenBytes int
	// LinkBytesPerSecond is the rate at which KV cache is transferred between engines.
	LinkBytesPerSecond float64
	// HandleLife is how long an engine keeps a prompt that it prefilled for another engine.
	HandleLife time.Duration
	// RoleSwitch is how long an engine is unavailable while it changes its stage.
	RoleSwitch time.Duration
}

// MoveTime is the time to transfer the KV cache of so many tokens between two engines.
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
	// MaxConnections bounds the connections to one worker from all nodes together.
	MaxConnections int
	// HealthPath is the path of a worker's health check, empty if it has none.
	HealthPath string
	// Engine is nil if the workers are not model engines.
	Engine *EngineSpec
	// Scaling is nil if the number of workers is fixed.
	Scaling *Scaling
}

// Scaling bounds the number of a service's workers and describes what ordering one costs.
type Scaling struct {
	// Min and Max bound the workers in a zone, spot and on-demand together.
	Min, Max int
	// Boot is the time from ordering a worker until it serves requests.
	Boot time.Duration
	// SpotPrice is the price of spot workers, which the platform may take away, as a fraction
	// of the on-demand price; zero if there are none.
	SpotPrice float64
	// PriceByZone is the price of a worker per second, by zone.
	PriceByZone map[string]float64
}

// Limits bound what callers may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout is how long the head of a request may take, and IdleTimeout how long a connection
	// may stay open without a request. Zero means that the configuration doesn't say.
	HeaderTimeout, IdleTimeout time.Duration
}

// Table is one version of the routes.
type Table struct {
	Version uint64
	Limits  Limits
	// Tenants finds callers by their API keys. It is nil if callers need none.
	Tenants  *tenant.Keyring[tenant.Tenant]
	byHost   map[string][]*Route
	services map[string]*Service
}

// NewTable validates and indexes a configuration. The error lists every mistake.
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

// Match returns the route of a request, nil if there is none. The host may include a port; the
// path must not include a query.
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

// Service returns a service by name, nil if there is none.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Services returns all services by name.
func (t *Table) Services() map[string]*Service { return t.services }

// RoutesTo returns the routes that send requests to a service, in no particular order.
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

// Routes returns all routes, in no order.
func (t *Table) Routes() []*Route {
	routes := make([]*Route, 0, t.RouteCount())
	for _, routesOfHost := range t.byHost {
		routes = append(routes, routesOfHost...)
	}
	return routes
}

// RouteCount returns the number of routes.
func (t *Table) RouteCount() int {
	count := 0
	for _, routes := range t.byHost {
		count += len(routes)
	}
	return count
}
