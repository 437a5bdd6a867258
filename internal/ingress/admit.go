package ingress

import (
	"net/http"
	"time"

	"github.com/tinarch/tinarch/internal/result"
	"github.com/tinarch/tinarch/internal/routing"
	"github.com/tinarch/tinarch/internal/tenant"
)

// staleAfter is the age of the configuration's last confirmation from which a route or
// key that it doesn't hold may be one of a newer version: a quarter more than the age
// that a node's configuration has at most while it reaches the store or another node
// (tablerelay.Freshness and one call).
const staleAfter = 2 * time.Second

// outdatedAfter is how long a node goes on by a configuration of which it knows that there is
// a newer one: a node that reaches another one has it in less.
const outdatedAfter = time.Second

// staleRetryAfter is when a caller should come back who was turned away by a node whose
// configuration may be old. Another node is likely to take the next try.
const staleRetryAfter = 300 * time.Millisecond

// admission is what a version of the configuration says of a request.
type admission struct {
	route  *routing.Route
	tenant tenant.Tenant
}

// admit finds the route of a request, and the tenant whose API key it carries.
func (f *Handler) admit(table *routing.Table, request *http.Request) (admission, *result.Error) {
	path := pathOf(request)
	route := table.Match(request.Host, path)
	if route == nil {
		return admission{}, f.refuseUnknown(result.New(result.NotFound, "no route of version %d for host %q and path %q", table.Version, request.Host, path))
	}
	owner, failure := f.authenticate(table, route, request.Header)
	return admission{route: route, tenant: owner}, failure
}

// authenticate returns the tenant of the request's API key. A route that is public needs
// none, but a key that is given must be known there too.
func (f *Handler) authenticate(table *routing.Table, route *routing.Route, header http.Header) (tenant.Tenant, *result.Error) {
	if table.Tenants == nil {
		return tenant.Tenant{}, nil
	}
	keys := f.parser.APIKeys(header)
	switch {
	case len(keys) == 0 && route.Public:
		return tenant.Tenant{}, nil
	case len(keys) == 0:
		return tenant.Tenant{}, result.New(result.Unauthenticated, "the request has no API key, and route %s needs one", route.Name)
	case len(keys) > 1:
		return tenant.Tenant{}, result.New(result.Unauthenticated, "the request has %d API keys; send one", len(keys))
	}
	owner, known := table.Tenants.Owner(keys[0])
	if !known {
		return tenant.Tenant{}, f.refuseUnknown(result.New(result.Unauthenticated, "no tenant of version %d has the request's API key", table.Version))
	}
	return owner, nil
}

// refuseOutdated refuses requests where this node has known for a while of a newer
// configuration and can't get it: routes may have gone to other services.
func (f *Handler) refuseOutdated(table *routing.Table) *result.Error {
	if !f.Outdated() {
		return nil
	}
	behind := f.configurationBehind()
	return result.New(result.ConfigurationStale, "this node has version %d, and heard %d ms ago of a newer configuration that it can't get", table.Version, behind.Milliseconds()).
		WithRetryAfter(staleRetryAfter)
}

// Outdated reports whether requests are refused since the configuration is known to be old.
func (f *Handler) Outdated() bool { return f.configurationBehind() > outdatedAfter }

// refuseUnknown turns a refusal of what the configuration doesn't hold into one that lets the
// caller come back, where a newer version that holds it may be in force elsewhere.
func (f *Handler) refuseUnknown(failure *result.Error) *result.Error {
	age, behind := f.configurationAge(), f.configurationBehind()
	switch {
	case behind > 0:
		return result.New(result.ConfigurationStale, "%s; there has been a newer configuration for %d ms", failure.Message, behind.Milliseconds()).
			WithRetryAfter(staleRetryAfter)
	case age > staleAfter:
		return result.New(result.ConfigurationStale, "%s; it was confirmed %d ms ago and may be old", failure.Message, age.Milliseconds()).
			WithRetryAfter(staleRetryAfter)
	}
	return failure
}
