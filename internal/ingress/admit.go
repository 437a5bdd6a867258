package ingress

import (
	"net/http"
	"time"

	"github.com/tinarch/tinarch/internal/result"
	"github.com/tinarch/tinarch/internal/routing"
	"github.com/tinarch/tinarch/internal/tenant"
)

// staleAfter is the age from which the configuration may be stale, so that a missing route or
// key may belong to a newer version. The age is the time since the configuration was last
// confirmed to be current. As long as the node reaches the store or another node it is at most
// tablerelay.Freshness plus the time of one call; staleAfter is a quarter more.
const staleAfter = 2 * time.Second

// outdatedAfter is how long a node serves with a configuration that is outdated: the node knows
// that there is a newer one. A node that reaches another one gets the newer configuration in
// less time.
const outdatedAfter = time.Second

// staleRetryAfter is the Retry-After of requests that are refused because the configuration may
// be stale or is outdated. The next try is likely to go to another node.
const staleRetryAfter = 300 * time.Millisecond

// admission is the route and tenant of a request by one version of the configuration.
type admission struct {
	route  *routing.Route
	tenant tenant.Tenant
}

// admit finds the route of a request, and the tenant whose API key it carries.
func (h *Handler) admit(table *routing.Table, request *http.Request) (admission, *result.Error) {
	path := pathOf(request)
	route := table.Match(request.Host, path)
	if route == nil {
		return admission{}, h.refuseUnknown(result.New(result.NotFound, "no route of version %d for host %q and path %q", table.Version, request.Host, path))
	}
	owner, failure := h.authenticate(table, route, request.Header)
	return admission{route: route, tenant: owner}, failure
}

// authenticate returns the tenant of the request's API key. A public route needs no key, but a
// key in a request to it must be known too.
func (h *Handler) authenticate(table *routing.Table, route *routing.Route, header http.Header) (tenant.Tenant, *result.Error) {
	if table.Tenants == nil {
		return tenant.Tenant{}, nil
	}
	keys := h.parser.APIKeys(header)
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
		return tenant.Tenant{}, h.refuseUnknown(result.New(result.Unauthenticated, "no tenant of version %d has the request's API key", table.Version))
	}
	return owner, nil
}

// refuseOutdated refuses all requests if this node has known of a newer configuration for
// longer than outdatedAfter and can't get it: routes may point to other services now.
func (h *Handler) refuseOutdated(table *routing.Table) *result.Error {
	if !h.Outdated() {
		return nil
	}
	behind := h.configurationBehind()
	return result.New(result.ConfigurationStale, "this node has version %d, and heard %d ms ago of a newer configuration that it can't get", table.Version, behind.Milliseconds()).
		WithRetryAfter(staleRetryAfter)
}

// Outdated reports whether requests are refused because this node lacks a newer configuration
// that it has known of for longer than outdatedAfter.
func (h *Handler) Outdated() bool { return h.configurationBehind() > outdatedAfter }

// refuseUnknown returns the error for a route or key that the configuration doesn't have. If a
// newer version may have it, the error asks the caller to retry. The version in the texts is
// that of the configuration, and "it was confirmed" is about the configuration too.
func (h *Handler) refuseUnknown(failure *result.Error) *result.Error {
	age, behind := h.configurationAge(), h.configurationBehind()
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
