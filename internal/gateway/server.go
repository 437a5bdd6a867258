package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/catalog"
	"github.com/tinarch/tinarch/internal/engine"
	"github.com/tinarch/tinarch/internal/httpguard"
	"github.com/tinarch/tinarch/internal/ledger"
	"github.com/tinarch/tinarch/internal/openai"
	"github.com/tinarch/tinarch/internal/peer"
	"github.com/tinarch/tinarch/internal/quarantine"
	"github.com/tinarch/tinarch/internal/result"

	tinarchv1 "github.com/tinarch/tinarch/api/tinarch/v1"
)

// HTTP headers of requests and answers.
const (
	HeaderKind    = "Tinarch-Kind"
	HeaderKey     = "Idempotency-Key"
	HeaderAttempt = "Tinarch-Attempt"
)

// Settings are a gateway's limits.
type Settings struct {
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64
	// ReadTimeout is how long a request may take to arrive.
	ReadTimeout time.Duration
	// WriteTimeout is how long a caller may take to read what has been sent.
	WriteTimeout time.Duration
	// MaxActive is the maximum number of requests in progress.
	MaxActive int64
	// ClientMemory bounds the memory that all callers together make the gateway hold, in bytes, and
	// ClientConnections their connections.
	ClientMemory      int64
	ClientConnections int
	// StopGrace is how long a stopping gateway still answers on open connections before it
	// begins to close them.
	StopGrace time.Duration
}

// DefaultSettings returns the limits used where the settings name none.
func DefaultSettings() Settings {
	return Settings{
		MaxBodyBytes: 8 << 20,
		ReadTimeout:  30 * time.Second,
		WriteTimeout: 30 * time.Second,
		MaxActive:    20_000,
		ClientMemory: 1 << 30, ClientConnections: httpguard.CallerConnections(0),
		StopGrace: time.Second,
	}
}

// Catalog provides a gateway's configuration.
type Catalog interface {
	Current() *catalog.Snapshot
}

// Server is the HTTP server for the callers of a node.
type Server struct {
	settings Settings
	catalog  Catalog
	runner   *runner
	keyed    *keyedRunner
	reporter *reporter
	metrics  *Metrics
	log      logrus.FieldLogger
	ready    func() error
	http     *http.Server
	guard    *httpguard.Guard
	address  string

	active   atomic.Int64
	stopping atomic.Bool
	// closesAt is when what is still running is cut off, nil as long as connections aren't being closed.
	closesAt atomic.Pointer[time.Time]
	stopRun  context.CancelFunc
	ended    chan struct{}
}

// Dependencies are the parts of a node that its gateway uses.
type Dependencies struct {
	Catalog Catalog
	Placer  *Placer
	Engines *engine.Client
	Peers   *peer.Client
	Ledger  *ledger.Client
	Answers AnswerStore
	Metrics *Metrics
	// Quarantine holds back requests that make engines crash.
	Quarantine *quarantine.Manager
	// WrapHandler, if not nil, wraps the gateway's HTTP handler.
	WrapHandler func(http.Handler) http.Handler
	// MetricsPage serves /metrics.
	MetricsPage http.Handler
	// Ready returns why the node can't take requests, or nil if it can.
	Ready func() error
	Log   logrus.FieldLogger
}

// NewServer returns a gateway, which Serve starts.
func NewServer(settings Settings, with Dependencies) *Server {
	reports := newReporter(with.Peers)
	executor := newRunner(with.Placer, with.Engines, reports, with.Metrics, with.Quarantine)
	s := &Server{
		settings: settings,
		catalog:  with.Catalog,
		runner:   executor,
		keyed:    newKeyedRunner(executor, with.Ledger, with.Answers, with.Metrics),
		reporter: reports,
		metrics:  with.Metrics,
		log:      with.Log,
		ready:    with.Ready,
		ended:    make(chan struct{}),
	}
	s.http = &http.Server{Handler: wrapHandler(with.WrapHandler, s.routes(with.MetricsPage)), MaxHeaderBytes: maxHead, ReadTimeout: settings.ReadTimeout}
	s.guard = httpguard.New(httpguard.Options{
		Port: "callers", Memory: settings.ClientMemory, Connections: settings.ClientConnections, Limits: s.clientLimits,
		Grace: evictionGrace, Log: with.Log,
	})
	return s
}

// Limits of single callers.
const (
	maxHead     = 64 << 10
	headTimeout = 5 * time.Second
	idleTimeout = 2 * time.Minute
	leastRate   = 4096
	// evictionGrace is how long a caller may go without progress before its connection can be closed to
	// make room.
	evictionGrace = 100 * time.Millisecond
)

func (s *Server) clientLimits() httpguard.Limits {
	return httpguard.Limits{HeadBytes: maxHead, HeadTimeout: headTimeout, IdleTimeout: idleTimeout, StallTimeout: s.settings.ReadTimeout, AnswerTimeout: s.settings.WriteTimeout, LeastRate: leastRate}
}

// Guard returns what bounds the callers of the gateway.
func (s *Server) Guard() *httpguard.Guard { return s.guard }

func wrapHandler(wrap func(http.Handler) http.Handler, handler http.Handler) http.Handler {
	if wrap == nil {
		return handler
	}
	return wrap(handler)
}

func (s *Server) routes(metricsPage http.Handler) http.Handler {
	router := chi.NewRouter()
	router.Use(s.closeWhenStopping)
	router.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	router.Get("/readyz", s.serveReady)
	router.Handle("/metrics", metricsPage)
	router.Get("/v1/models", s.serveModels)
	router.Get("/v1/models/{model}", s.serveModel)
	for _, endpoint := range []openai.Endpoint{openai.Completions, openai.ChatCompletions} {
		router.Post(string(endpoint), func(w http.ResponseWriter, r *http.Request) { s.serveCompletion(w, r, endpoint) })
	}
	router.NotFound(func(w http.ResponseWriter, r *http.Request) {
		writeError(w, result.New(result.NotFound, "%s is not served here; see docs/ERRORS.md and the README", r.URL.Path), "")
	})
	router.MethodNotAllowed(func(w http.ResponseWriter, r *http.Request) {
		writeError(w, result.New(result.NotFound, "%s is not served at %s", r.Method, r.URL.Path), "")
	})
	return router
}

// Serve starts to serve callers on the listener, until Stop or Close.
func (s *Server) Serve(listener net.Listener) {
	s.address = listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	s.stopRun = cancel
	go func() {
		defer close(s.ended)
		s.reporter.run(ctx)
	}()
	go func() {
		if err := s.guard.Serve(s.http, listener); !errors.Is(err, http.ErrServerClosed) {
			s.log.WithError(err).Error("the HTTP server for callers failed")
		}
	}()
}

// Stop shuts the gateway down gracefully: it asks callers to close their connections, stops
// listening after StopGrace, and waits until the requests in progress have ended or ctx ends. A
// request that is whole only after StopGrace and may run for longer than that is refused.
func (s *Server) Stop(ctx context.Context) error {
	s.stopping.Store(true)
	select {
	case <-ctx.Done():
	case <-time.After(s.settings.StopGrace):
	}
	if end, limited := ctx.Deadline(); limited {
		s.closesAt.Store(&end)
	}
	err := s.http.Shutdown(ctx)
	finished := make(chan struct{})
	go func() {
		s.keyed.running.Wait()
		close(finished)
	}()
	select {
	case <-finished:
	case <-ctx.Done():
	}
	s.stopRun()
	<-s.ended
	return err
}

// Close shuts the gateway down at once.
func (s *Server) Close() {
	_ = s.http.Close()
	s.stopRun()
	<-s.ended
}

// Active returns the number of requests in progress.
func (s *Server) Active() int64 { return s.active.Load() }

// closeWhenStopping tells callers of a stopping node to close their connections after the
// current answer, so that they connect to another node.
func (s *Server) closeWhenStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if s.stopping.Load() {
		writeError(w, result.New(result.Stopping, "the node is being stopped"), "")
		return
	}
	if err := s.ready(); err != nil {
		writeError(w, err, "")
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// authenticate returns the current configuration and the tenant of a request.
func (s *Server) authenticate(r *http.Request) (*catalog.Snapshot, *tinarchv1.Tenant, error) {
	if err := s.ready(); err != nil {
		return nil, nil, err
	}
	snapshot := s.catalog.Current()
	key, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found {
		return nil, nil, result.New(result.Unauthenticated, "the Authorization header is missing; send \"Authorization: Bearer KEY\"")
	}
	tenant, err := snapshot.TenantByKey(key)
	return snapshot, tenant, err
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// writeError answers with an error and its number, and with the time after which to retry if
// there is one.
func writeError(w http.ResponseWriter, err error, attempt string) {
	failure := result.From(err)
	if failure.RetryAfterMillis > 0 {
		seconds := math.Ceil(float64(failure.RetryAfterMillis) / 1000)
		w.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
		w.Header().Set("Retry-After-Ms", strconv.FormatInt(failure.RetryAfterMillis, 10))
	}
	if !failure.Code.Entry().Repeat {
		// OpenAI clients obey this header. A request with an unknown outcome must not be
		// retried blindly.
		w.Header().Set("X-Should-Retry", "false")
	}
	writeJSON(w, failure.Code.Entry().HTTPStatus, openai.NewErrorBody(failure, attempt))
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

func entryOf(model *tinarchv1.Model) modelEntry {
	return modelEntry{ID: model.GetName(), Object: "model", OwnedBy: "tinarch"}
}

func (s *Server) serveModels(w http.ResponseWriter, r *http.Request) {
	snapshot, _, err := s.authenticate(r)
	if err != nil {
		writeError(w, err, "")
		return
	}
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, model := range snapshot.Catalog.GetModels() {
		list.Data = append(list.Data, entryOf(model))
	}
	writeJSON(w, http.StatusOK, list)
}

func (s *Server) serveModel(w http.ResponseWriter, r *http.Request) {
	snapshot, _, err := s.authenticate(r)
	if err != nil {
		writeError(w, err, "")
		return
	}
	name := chi.URLParam(r, "model")
	for _, model := range snapshot.Catalog.GetModels() {
		if model.GetName() == name {
			writeJSON(w, http.StatusOK, entryOf(model))
			return
		}
	}
	writeError(w, result.New(result.UnknownModel, "model %q is not configured; see /v1/models", name), "")
}
