// Package front takes callers' HTTP requests for routes: it reads them whole, finds
// their route, has them served, and answers what was refused.
package ingress

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/dispatch"
	"github.com/tinarch/tinarch/internal/result"
	"github.com/tinarch/tinarch/internal/routing"
)

// Parser reads what a caller's request says in the platform's names.
type Parser interface {
	// Parse fills the fields of a call that headers tell. The error is the
	// caller's mistake.
	Parse(call *dispatch.Call) error
	// APIKeys returns the API keys that a request's header holds.
	APIKeys(header http.Header) []string
}

// Runner serves calls.
type Runner interface {
	Run(ctx context.Context, call *dispatch.Call, caller dispatch.Caller) dispatch.Outcome
}

// Handler takes callers' requests. It implements http.Handler.
type Handler struct {
	parser   Parser
	runner   Runner
	splitter *routing.Splitter
	log      *logrus.Logger
	metrics  *Metrics
	// quotas is nil where no tenant has a limit.
	quotas Quotas
	// configurationAge is the time since the configuration in force was confirmed.
	configurationAge func() time.Duration
	// configurationBehind is the time since this node heard of a newer configuration that it
	// doesn't hold, zero where it lacks none.
	configurationBehind func() time.Duration

	table    atomic.Pointer[routing.Table]
	stopping atomic.Bool
	active   atomic.Int64
}

// Options are what a front works with.
type Options struct {
	Parser  Parser
	Runner  Runner
	Log     *logrus.Logger
	Metrics *Metrics
	// Quotas charges tenants that have a limit. It may be nil where none has.
	Quotas Quotas
	// ConfigurationAge is the time since the configuration in force was confirmed. It may
	// be nil where that is never long ago.
	ConfigurationAge func() time.Duration
	// ConfigurationBehind is the time since this node heard of a newer configuration that it
	// doesn't hold, zero where it lacks none. It may be nil where it never lacks one.
	ConfigurationBehind func() time.Duration
}

// New returns a front without routes.
func New(options Options) *Handler {
	f := &Handler{
		configurationAge: options.ConfigurationAge, configurationBehind: options.ConfigurationBehind,
		parser: options.Parser, runner: options.Runner, log: options.Log, metrics: options.Metrics,
		quotas:   options.Quotas,
		splitter: routing.NewSplitter(rand.IntN),
	}
	if f.configurationAge == nil {
		f.configurationAge = zeroAge
	}
	if f.configurationBehind == nil {
		f.configurationBehind = zeroAge
	}
	return f
}

func zeroAge() time.Duration { return 0 }

// Stop asks callers to use other connections from now on.
func (f *Handler) Stop() { f.stopping.Store(true) }

// Stopping reports whether Stop was called.
func (f *Handler) Stopping() bool { return f.stopping.Load() }

// Active returns the number of requests under way.
func (f *Handler) Active() int64 { return f.active.Load() }

// HasRoute reports whether a request has a route.
func (f *Handler) HasRoute(request *http.Request) bool {
	table := f.table.Load()
	return table != nil && table.Match(request.Host, pathOf(request)) != nil
}

// pathOf returns the path as it was sent, without the query.
func pathOf(request *http.Request) string {
	path, _, _ := strings.Cut(request.RequestURI, "?")
	return path
}

// notConfiguredRetryAfter is when a caller should come back to a node that has no
// configuration yet.
const notConfiguredRetryAfter = 300 * time.Millisecond

// SetTable puts a version of the routes in force.
func (f *Handler) SetTable(table *routing.Table) { f.table.Store(table) }

// Table returns the routes in force, nil before any are known.
func (f *Handler) Table() *routing.Table { return f.table.Load() }

// ServeHTTP implements http.Handler.
func (f *Handler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	f.active.Add(1)
	defer f.active.Add(-1)
	arrived := time.Now()
	answer := newHTTPCaller(writer, f.stopping.Load())
	call, failure := f.accept(writer, request, arrived)
	if failure != nil {
		f.refund(call)
		f.refuse(answer, request, call, failure, arrived)
		return
	}
	outcome := f.runner.Run(request.Context(), call, answer)
	if outcome.NotRun() {
		f.refund(call)
	}
	f.finish(answer, request, call, outcome)
}

// accept reads a request whole and finds its route.
func (f *Handler) accept(writer http.ResponseWriter, request *http.Request, arrived time.Time) (*dispatch.Call, *result.Error) {
	table := f.table.Load()
	if table == nil {
		return nil, result.New(result.NotConfigured, "this node has read no configuration yet").WithRetryAfter(notConfiguredRetryAfter)
	}
	if failure := f.refuseOutdated(table); failure != nil {
		return nil, failure
	}
	if size := headerBytes(request); table.Limits.MaxHeaderBytes > 0 && size > table.Limits.MaxHeaderBytes {
		return nil, result.New(result.HeaderTooLarge, "the header has %d bytes; the limit is %d", size, table.Limits.MaxHeaderBytes)
	}
	admitted, failure := f.admit(table, request)
	if failure != nil {
		return nil, failure
	}
	call := &dispatch.Call{
		Method: request.Method, Target: request.RequestURI, Host: request.Host,
		Header: request.Header, Route: admitted.route, Tenant: admitted.tenant, Arrived: arrived,
		Deadline: arrived.Add(admitted.route.Timeout), RoutesVersion: table.Version,
	}
	parseErr := f.parser.Parse(call)
	if parseErr == nil {
		if failure := f.charge(request.Context(), call); failure != nil {
			return call, failure
		}
	}
	call.Body, failure = readBody(writer, request, table.Limits.MaxBodyBytes)
	if failure != nil {
		return call, failure
	}
	if parseErr != nil {
		return call, result.New(result.InvalidRequest, "%v", parseErr)
	}
	// The configuration may have changed while the body came.
	if newest := f.table.Load(); newest != table {
		table = newest
		if admitted, failure = f.admit(table, request); failure != nil {
			return call, failure
		}
		call.Route, call.Tenant = admitted.route, admitted.tenant
	}
	call.RoutesVersion = table.Version
	service := f.splitter.Choose(call.Route)
	call.Service = table.Service(service)
	if call.Service == nil {
		return call, result.New(result.NoEngine, "route %s has no service with a weight", call.Route.Name).WithRetryAfter(notConfiguredRetryAfter)
	}
	return call, nil
}

// headerBytes is the size of a request's header as it was sent, about.
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

func readBody(writer http.ResponseWriter, request *http.Request, limit int64) ([]byte, *result.Error) {
	if request.ContentLength == 0 {
		return nil, nil
	}
	if limit > 0 && request.ContentLength > limit {
		return nil, result.New(result.BodyTooLarge, "the body has %d bytes; the limit is %d", request.ContentLength, limit)
	}
	reader := request.Body
	if limit > 0 {
		reader = http.MaxBytesReader(writer, reader, limit)
	}
	var body []byte
	var err error
	if request.ContentLength > 0 {
		body = make([]byte, request.ContentLength)
		_, err = io.ReadFull(reader, body)
	} else {
		body, err = io.ReadAll(reader)
	}
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &tooLarge):
		return nil, result.New(result.BodyTooLarge, "the body is longer than the limit of %d bytes", limit)
	}
	return nil, result.New(result.CallerGone, "the body could not be read: %v", err)
}

// refuse answers a request that goes to no worker.
func (f *Handler) refuse(answer *httpCaller, request *http.Request, call *dispatch.Call, failure *result.Error, arrived time.Time) {
	if call == nil {
		call = &dispatch.Call{Method: request.Method, Target: request.RequestURI, Header: request.Header, Arrived: arrived}
		_ = f.parser.Parse(call)
	}
	outcome := dispatch.Outcome{
		Code: failure.Code, Detail: failure.Message,
		RetryAfter: time.Duration(failure.RetryAfterMillis) * time.Millisecond,
	}
	f.logOutcome(call, outcome)
	if failure.Code == result.TenantQuota {
		if err := answer.answerEarly(); err != nil {
			f.log.WithField("id", call.ID).WithError(err).Debug("a refusal waits for the request's body")
		}
	}
	writeError(answer, failure)
}

// finish answers a call that the dispatcher has given back.
func (f *Handler) finish(answer *httpCaller, request *http.Request, call *dispatch.Call, outcome dispatch.Outcome) {
	f.logOutcome(call, outcome)
	switch {
	case outcome.Code == result.OK:
		return
	case outcome.HeadGiven:
		// A cut answer must not look whole.
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

// writeError writes a numbered error.
func writeError(answer *httpCaller, failure *result.Error) {
	body := []byte(failure.Error() + "\n")
	header := http.Header{"Content-Type": {"text/plain; charset=utf-8"}}
	if failure.RetryAfterMillis > 0 {
		seconds := float64(failure.RetryAfterMillis) / float64(time.Second/time.Millisecond)
		header.Set("Retry-After", strconv.FormatFloat(seconds, 'f', -1, 64))
	}
	answer.Head(failure.Code.Entry().HTTPStatus, header, int64(len(body)))
	_ = answer.Write(body)
}

func (f *Handler) logOutcome(call *dispatch.Call, outcome dispatch.Outcome) {
	took := time.Since(call.Arrived)
	route := ""
	if call.Route != nil {
		route = call.Route.Name
	}
	f.metrics.observe(call, outcome, took)
	entry := f.log.WithFields(logrus.Fields{
		"id": call.ID, "route": route, "tenant": call.Tenant.Name(), "code": int(outcome.Code), "status": outcome.Status,
		"routes_version": call.RoutesVersion, "routes_age_ms": f.configurationAge().Milliseconds(),
		"attempts": outcome.Attempts, "first_ms": outcome.First.Milliseconds(),
		"last_ms": outcome.Last.Milliseconds(), "gap_ms": outcome.Gap.Milliseconds(), "pieces": outcome.Pieces,
		"took_ms": took.Milliseconds(), "retry_after_ms": outcome.RetryAfter.Milliseconds(),
		"detail": outcome.Detail,
	})
	if outcome.Code == result.OK {
		entry.Info("answered")
		return
	}
	entry.Warn("not answered")
}
