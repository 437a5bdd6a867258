// Package ingress is the HTTP entry point for callers. It reads each request completely, finds
// its route and tenant, passes it to the dispatcher and answers requests that are refused.
package ingress

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/dispatch"
	"github.com/tinarch/tinarch/internal/httpguard"
	"github.com/tinarch/tinarch/internal/result"
	"github.com/tinarch/tinarch/internal/routing"
)

// Parser reads request headers in the names of one platform.
type Parser interface {
	// Parse sets the fields of a call that come from headers. An error means that the caller
	// sent an invalid header.
	Parse(call *dispatch.Call) error
	// APIKeys returns the API keys in a request's header.
	APIKeys(header http.Header) []string
}

// Runner sends calls to workers.
type Runner interface {
	Run(ctx context.Context, call *dispatch.Call, caller dispatch.Caller) dispatch.Outcome
}

// Handler serves callers' requests. It implements http.Handler.
type Handler struct {
	// bodies bounds the memory of the bodies of requests.
	bodies   bodyMemory
	parser   Parser
	runner   Runner
	splitter *routing.Splitter
	log      *logrus.Logger
	metrics  *Metrics
	// quotas is nil if no tenant has a limit.
	quotas Quotas
	// origins is nil if streams may be continued anywhere.
	origins Origins
	// configurationAge returns the time since the configuration was last confirmed to be
	// current.
	configurationAge func() time.Duration
	// configurationBehind returns the time since this node heard of a newer configuration that
	// it doesn't have, zero if there is none.
	configurationBehind func() time.Duration

	table    atomic.Pointer[routing.Table]
	stopping atomic.Bool
	active   atomic.Int64
}

// Options configures a Handler.
type Options struct {
	Parser  Parser
	Runner  Runner
	Log     *logrus.Logger
	Metrics *Metrics
	// Quotas charges tenants that have a limit. It may be nil if none has.
	Quotas Quotas
	// Origins finds where streams began that callers take up again. It may be nil where it doesn't
	// matter.
	Origins Origins
	// ConfigurationAge returns the time since the configuration was last confirmed to be
	// current. If it is nil, the configuration counts as always current.
	ConfigurationAge func() time.Duration
	// ConfigurationBehind returns the time since this node heard of a newer configuration that
	// it doesn't have, zero if there is none. If it is nil, there never is one.
	ConfigurationBehind func() time.Duration
	// BodyBytes bounds the memory of the bodies of all requests at this node, zero for
	// defaultBodyBytes.
	BodyBytes int64
}

// defaultBodyBytes is half of what bytes from outside may take at a node.
const defaultBodyBytes = 32 << 20

// New returns a handler without routes.
func New(options Options) *Handler {
	h := &Handler{
		configurationAge: options.ConfigurationAge, configurationBehind: options.ConfigurationBehind,
		parser: options.Parser, runner: options.Runner, log: options.Log, metrics: options.Metrics,
		quotas: options.Quotas, origins: options.Origins,
		splitter: routing.NewSplitter(rand.IntN),
	}
	h.bodies.limit = cmp.Or(options.BodyBytes, defaultBodyBytes)
	if h.configurationAge == nil {
		h.configurationAge = zeroAge
	}
	if h.configurationBehind == nil {
		h.configurationBehind = zeroAge
	}
	return h
}

func zeroAge() time.Duration { return 0 }

// Stop makes every further answer close its connection, so that callers connect to other nodes.
func (h *Handler) Stop() { h.stopping.Store(true) }

// Stopping reports whether Stop was called.
func (h *Handler) Stopping() bool { return h.stopping.Load() }

// Active returns the number of requests in progress.
func (h *Handler) Active() int64 { return h.active.Load() }

// HasRoute reports whether a request has a route.
func (h *Handler) HasRoute(request *http.Request) bool {
	table := h.table.Load()
	return table != nil && table.Match(request.Host, pathOf(request)) != nil
}

// pathOf returns the path as it was sent, that is, still escaped.
func pathOf(request *http.Request) string {
	path, _, _ := strings.Cut(request.RequestURI, "?")
	return path
}

// notConfiguredRetryAfter is the Retry-After of answers while the node has no configuration, or
// no service for a route.
const notConfiguredRetryAfter = 300 * time.Millisecond

// SetTable replaces the routes.
func (h *Handler) SetTable(table *routing.Table) { h.table.Store(table) }

// Table returns the current routes, nil before the first SetTable.
func (h *Handler) Table() *routing.Table { return h.table.Load() }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	h.active.Add(1)
	defer h.active.Add(-1)
	arrived := time.Now()
	answer := newHTTPCaller(writer, request, h.stopping.Load())
	body := h.hold(request)
	defer body.release()
	call, failure := h.accept(writer, request, arrived, body)
	if failure != nil {
		h.refund(call)
		h.refuse(answer, request, call, failure, arrived)
		return
	}
	outcome := h.runner.Run(request.Context(), call, answer)
	if outcome.NotRun() {
		h.refund(call)
	}
	h.finish(answer, request, call, outcome)
}

// hold returns the memory for the body of a request: that of its connection if the server is guarded.
func (h *Handler) hold(request *http.Request) *held {
	if holding, guarded := httpguard.HoldingOf(request.Context()); guarded {
		return &held{memory: holding}
	}
	return &held{memory: &h.bodies}
}

// accept finds the route and tenant of a request, charges the tenant and reads the body.
func (h *Handler) accept(writer http.ResponseWriter, request *http.Request, arrived time.Time, body *held) (*dispatch.Call, *result.Error) {
	if httpguard.Crowded(request.Context()) {
		return nil, result.New(result.QueueFull, "%v", httpguard.ErrNoRoom).WithRetryAfter(noRoomRetryAfter)
	}
	table := h.table.Load()
	if table == nil {
		return nil, result.New(result.NotConfigured, "this node has read no configuration yet").WithRetryAfter(notConfiguredRetryAfter)
	}
	if failure := h.refuseOutdated(table); failure != nil {
		return nil, failure
	}
	if size := headerBytes(request); table.Limits.MaxHeaderBytes > 0 && size > table.Limits.MaxHeaderBytes {
		return nil, result.New(result.HeaderTooLarge, "the header has %d bytes; the limit is %d", size, table.Limits.MaxHeaderBytes)
	}
	admitted, failure := h.admit(table, request)
	if failure != nil {
		return nil, failure
	}
	call := &dispatch.Call{
		Method: request.Method, Target: request.RequestURI, Host: request.Host,
		Header: request.Header, Route: admitted.route, Tenant: admitted.tenant, Arrived: arrived,
		Deadline: arrived.Add(admitted.route.Timeout), RoutesVersion: table.Version,
	}
	parseErr := h.parser.Parse(call)
	if parseErr == nil {
		if failure := h.charge(request.Context(), call); failure != nil {
			return call, failure
		}
	}
	call.Body, failure = readBody(writer, request, table.Limits.MaxBodyBytes, call.Deadline, body)
	if failure != nil {
		return call, failure
	}
	if parseErr != nil {
		return call, result.New(result.InvalidRequest, "%v", parseErr)
	}
	if failure := h.findOrigin(request.Context(), call); failure != nil {
		return call, failure
	}
	// The configuration may have changed meanwhile.
	if newest := h.table.Load(); newest != table {
		table = newest
		if admitted, failure = h.admit(table, request); failure != nil {
			return call, failure
		}
		call.Route, call.Tenant = admitted.route, admitted.tenant
	}
	call.RoutesVersion = table.Version
	return call, h.chooseService(table, call)
}

// headerBytes returns the approximate size of a request's header.
func headerBytes(request *http.Request) int {
	const separators = 4
	size := len(request.Method) + len(request.RequestURI) + len(request.Host)
	for name, values := range request.Header {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return size
}

// refuse answers a request that isn't sent to a worker.
func (h *Handler) refuse(answer *httpCaller, request *http.Request, call *dispatch.Call, failure *result.Error, arrived time.Time) {
	if call == nil {
		call = &dispatch.Call{Method: request.Method, Target: request.RequestURI, Header: request.Header, Arrived: arrived}
		_ = h.parser.Parse(call)
	}
	outcome := dispatch.Outcome{
		Code: failure.Code, Detail: failure.Message,
		RetryAfter: time.Duration(failure.RetryAfterMillis) * time.Millisecond,
	}
	h.logOutcome(call, outcome)
	if failure.Code == result.TenantQuota {
		if err := answer.answerEarly(); err != nil {
			h.log.WithField("id", call.ID).WithError(err).Debug("the error can't be sent before the request body has been read")
		}
	}
	writeError(answer, failure)
}

// finish answers a call that the dispatcher has processed, unless its answer has been sent
// already.
func (h *Handler) finish(answer *httpCaller, request *http.Request, call *dispatch.Call, outcome dispatch.Outcome) {
	h.logOutcome(call, outcome)
	switch {
	case outcome.Code == result.OK:
		answer.end()
		return
	case outcome.HeadGiven:
		// Closing the connection before the promised end keeps a truncated answer from looking
		// complete.
		panic(http.ErrAbortHandler)
	case request.Context().Err() != nil:
		panic(http.ErrAbortHandler)
	}
	failure := result.New(outcome.Code, "%s", outcome.Detail)
	if outcome.RetryAfter > 0 {
		failure = failure.WithRetryAfter(outcome.RetryAfter)
	}
	writeError(answer, failure)
}

// writeError sends an error with its code.
func writeError(answer *httpCaller, failure *result.Error) {
	body := []byte(failure.Error() + "\n")
	header := http.Header{"Content-Type": {"text/plain; charset=utf-8"}}
	if failure.RetryAfterMillis > 0 {
		seconds := float64(failure.RetryAfterMillis) / float64(time.Second/time.Millisecond)
		header.Set("Retry-After", strconv.FormatFloat(seconds, 'f', -1, 64))
	}
	answer.Head(failure.Code.Entry().HTTPStatus, header, dispatch.Length(len(body)))
	_ = answer.Write(body)
}

// logOutcome logs the end of a call: answered if a worker's answer was passed on completely,
// and not answered in all other cases, also if the caller got an error answer (writeError). The
// field status is that of the worker's answer, zero if none was passed on; code tells what the
// caller got.
func (h *Handler) logOutcome(call *dispatch.Call, outcome dispatch.Outcome) {
	took := time.Since(call.Arrived)
	route := ""
	if call.Route != nil {
		route = call.Route.Name
	}
	h.metrics.observe(call, outcome, took)
	entry := h.log.WithFields(logrus.Fields{
		"id": call.ID, "route": route, "tenant": call.Tenant.Name(), "code": int(outcome.Code), "status": outcome.Status,
		"routes_version": call.RoutesVersion, "routes_age_ms": h.configurationAge().Milliseconds(),
		"attempts": outcome.Attempts, "first_ms": outcome.First.Milliseconds(),
		"last_ms": outcome.Last.Milliseconds(), "gap_ms": outcome.Gap.Milliseconds(), "pieces": outcome.Pieces,
		"framing": outcome.Framing, "ending": outcome.Ending, "end_probe": outcome.EndProbe, "through": outcome.Through,
		"resumes": call.Resumes, "after": call.LastEventID, "origin": call.OriginSource, "software": outcome.Software,
		"took_ms": took.Milliseconds(), "retry_after_ms": outcome.RetryAfter.Milliseconds(),
		"detail": outcome.Detail,
	})
	if outcome.Code == result.OK {
		entry.Info("answered")
		return
	}
	entry.Warn("not answered")
}
