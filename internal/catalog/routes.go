package catalog

import (
	"strings"

	tinarchv1 "github.com/tinarch/tinarch/api/tinarch/v1"
	"github.com/tinarch/tinarch/internal/routing"
)

const (
	maxRouteAttempts = 16
	maxPriority      = 9
	defaultSlots     = 16
)

var routeKinds = map[tinarchv1.RouteKind]routing.Kind{
	tinarchv1.RouteKind_ROUTE_KIND_IDEMPOTENT:     routing.Idempotent,
	tinarchv1.RouteKind_ROUTE_KIND_NON_IDEMPOTENT: routing.NonIdempotent,
	tinarchv1.RouteKind_ROUTE_KIND_STREAMING:      routing.Streaming,
}

func (v *validator) checkServices() {
	seen := map[string]bool{}
	for _, service := range v.catalog.GetServices() {
		v.checkName("service "+service.GetName(), service.GetName(), seen[service.GetName()])
		seen[service.GetName()] = true
	}
}

func (v *validator) checkRoutes() {
	services := index(v.catalog.GetServices(), nameKey)
	names, routeByPattern := map[string]bool{}, map[string]string{}
	for _, route := range v.catalog.GetRoutes() {
		object := "route " + route.GetName()
		v.checkName(object, route.GetName(), names[route.GetName()])
		names[route.GetName()] = true
		pattern := strings.ToLower(route.GetHost()) + route.GetPathPrefix()
		if other, taken := routeByPattern[pattern]; taken {
			v.addViolation(object, "path_prefix", "route %q has the same host and path prefix; change one of the two", other)
		}
		routeByPattern[pattern] = route.GetName()
		v.checkRouteMatch(object, route)
		v.checkRouteLimits(object, route)
		v.checkTargets(object, route, services)
	}
}

func (v *validator) checkRouteMatch(object string, route *tinarchv1.Route) {
	if route.GetHost() == "" || strings.ContainsAny(route.GetHost(), "/: ") {
		v.addViolation(object, "host", "%q is not a host; use a name without a port", route.GetHost())
	}
	prefix := route.GetPathPrefix()
	if !strings.HasPrefix(prefix, "/") || !strings.HasSuffix(prefix, "/") {
		v.addViolation(object, "path_prefix", "%q must begin and end with a slash", prefix)
	}
}

func (v *validator) checkRouteLimits(object string, route *tinarchv1.Route) {
	kind, known := routeKinds[route.GetKind()]
	if !known {
		v.addViolation(object, "kind", "it is missing; use ROUTE_KIND_IDEMPOTENT, ROUTE_KIND_NON_IDEMPOTENT or ROUTE_KIND_STREAMING")
	}
	if route.GetResumable() && kind != routing.Streaming {
		v.addViolation(object, "resumable", "only streaming routes can be resumable; change the kind or leave it out")
	}
	if route.GetTimeoutMs() < 1 || route.GetTimeoutMs() > maxDeadlineMs {
		v.addViolation(object, "timeout_ms", "%d is out of range; use 1 to %d", route.GetTimeoutMs(), maxDeadlineMs)
	}
	if route.GetObjectiveMs() > route.GetTimeoutMs() {
		v.addViolation(object, "objective_ms", "%d is later than the timeout of %d ms; lower it", route.GetObjectiveMs(), route.GetTimeoutMs())
	}
	if route.GetMaxAttempts() > maxRouteAttempts {
		v.addViolation(object, "max_attempts", "%d is out of range; use 0 to %d", route.GetMaxAttempts(), maxRouteAttempts)
	}
	if route.GetPriority() > maxPriority {
		v.addViolation(object, "priority", "%d is out of range; use 0 to %d", route.GetPriority(), maxPriority)
	}
}

func (v *validator) checkTargets(object string, route *tinarchv1.Route, services map[string]*tinarchv1.Service) {
	total := uint32(0)
	for _, target := range route.GetTargets() {
		if services[target.GetService()] == nil {
			v.addViolation(object, "targets", "service %q does not exist; add it or name another", target.GetService())
		}
		if target.GetWeight() > maxWeight {
			v.addViolation(object, "targets", "the weight %d of service %q is out of range; use 0 to %d", target.GetWeight(), target.GetService(), maxWeight)
		}
		total += target.GetWeight()
	}
	if total == 0 {
		v.addViolation(object, "targets", "no service has a weight above zero; give one")
	}
}

// Routes returns the routes of this revision, compiled for lookups.
func (s *Snapshot) Routes(limits routing.Limits) (*routing.Table, error) {
	var services []*routing.Service
	for _, service := range s.Catalog.GetServices() {
		services = append(services, &routing.Service{Name: service.GetName(), MaxConnections: int(service.GetMaxConnections())})
	}
	var routes []*routing.Route
	for _, route := range s.Catalog.GetRoutes() {
		routes = append(routes, compileRoute(route))
	}
	return routing.NewTable(s.Revision, routes, services, limits)
}

func compileRoute(route *tinarchv1.Route) *routing.Route {
	compiled := &routing.Route{
		Name:        route.GetName(),
		Host:        route.GetHost(),
		PathPrefix:  route.GetPathPrefix(),
		Kind:        routeKinds[route.GetKind()],
		Timeout:     milliseconds(route.GetTimeoutMs()),
		Objective:   milliseconds(route.GetObjectiveMs()),
		MaxAttempts: orDefault(int(route.GetMaxAttempts()), 1),
		Priority:    int(route.GetPriority()),
		Resumable:   route.GetResumable(),
	}
	if compiled.Objective == 0 {
		compiled.Objective = compiled.Timeout
	}
	for _, target := range route.GetTargets() {
		compiled.Targets = append(compiled.Targets, routing.Target{Service: target.GetService(), Weight: int(target.GetWeight())})
	}
	return compiled
}

// SlotsOf returns how many requests a worker of the service runs at once.
func (s *Snapshot) SlotsOf(service string) int {
	for _, configured := range s.Catalog.GetServices() {
		if configured.GetName() == service {
			return orDefault(int(configured.GetSlots()), defaultSlots)
		}
	}
	return defaultSlots
}
