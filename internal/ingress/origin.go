package ingress

import (
	"context"
	"slices"
	"time"

	"github.com/tinarch/tinarch/internal/dispatch"
	"github.com/tinarch/tinarch/internal/result"
	"github.com/tinarch/tinarch/internal/resumption"
	"github.com/tinarch/tinarch/internal/routing"
)

// Origins finds the origins of streams. It is a resumption.Resolver.
type Origins interface {
	Resolve(ctx context.Context, request resumption.Request) (resumption.Origin, resumption.Source, *result.Error)
}

const (
	// A stream may have lasted, over all tries of its caller, for maxAgeTimeouts of its route's
	// timeouts, or for leastMaxAge if that is longer.
	maxAgeTimeouts = 2
	leastMaxAge    = 10 * time.Second
)

// findOrigin finds where the stream began that a call continues, if it continues one.
func (h *Handler) findOrigin(ctx context.Context, call *dispatch.Call) *result.Error {
	if h.origins == nil || !call.ContinuesStream() {
		return nil
	}
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	request := resumption.Request{Route: call.Route.Name, Arrived: call.Arrived, MaxAge: max(leastMaxAge, maxAgeTimeouts*call.Route.Timeout)}
	if call.Resumes != "" {
		request.Key = call.StreamKey()
	}
	found, source, failure := h.origins.Resolve(ctx, request)
	call.OriginSource = source
	if failure == nil {
		call.Origin = &found
	}
	return failure
}

// chooseService chooses the service of a call: that of the stream that it continues, or else one by
// the weights of its route.
func (h *Handler) chooseService(table *routing.Table, call *dispatch.Call) *result.Error {
	if call.Origin != nil {
		return h.originalService(table, call)
	}
	call.Service = table.Service(h.splitter.Choose(call.Route))
	if call.Service == nil {
		return result.New(result.NoEngine, "route %s has no service with a weight", call.Route.Name).WithRetryAfter(notConfiguredRetryAfter)
	}
	return nil
}

func (h *Handler) originalService(table *routing.Table, call *dispatch.Call) *result.Error {
	name := call.Origin.Service
	leads := slices.ContainsFunc(call.Route.Targets, func(t routing.Target) bool { return t.Service == name && t.Weight > 0 })
	call.Service = table.Service(name)
	if !leads || call.Service == nil {
		return result.New(result.StreamVersionGone, "route %s of version %d no longer leads to service %s, which began the stream; begin anew without Last-Event-Id", call.Route.Name, table.Version, name)
	}
	return nil
}
