package dispatch

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/prefixcache"
	"github.com/tinarch/tinarch/internal/retry"
	"github.com/tinarch/tinarch/internal/routing"
	"github.com/tinarch/tinarch/internal/scheduling"
	"github.com/tinarch/tinarch/internal/topology"
	"github.com/tinarch/tinarch/internal/worker"
	"github.com/tinarch/tinarch/internal/workerconn"
)

// sendingWire is a protocol without headers that signals each request that is sent.
type sendingWire struct{ sent chan struct{} }

func (sendingWire) IDHeader() string                            { return "" }
func (sendingWire) AnswerHeader(header http.Header) http.Header { return header }
func (sendingWire) Reply(int, http.Header) Reply                { return Reply{} }
func (sendingWire) Release(Handle) *workerconn.Request {
	return &workerconn.Request{Method: http.MethodDelete}
}

func (sendingWire) Handle(address string, _ []byte) (Handle, error) {
	return Handle{Address: address, ID: "h"}, nil
}

func (w sendingWire) ForwardHeader(*Call, Forward) http.Header {
	w.sent <- struct{}{}
	return http.Header{}
}

// sink collects answers.
type sink struct{ strings.Builder }

func (s *sink) Head(int, http.Header, Length) {}

func (s *sink) Write(piece []byte) error {
	_, err := s.Builder.Write(piece)
	return err
}

// lateEvents signals each plan that is made and each request that is sent to a worker.
type lateEvents struct{ planned, sent chan struct{} }

// newLateFixture returns a dispatcher with a prefill and a decode engine, and a call that
// cannot be in time at either.
func newLateFixture(t *testing.T) (*Dispatcher, *worker.Registry, *Call, lateEvents) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "id: 1\n\n")
	}))
	t.Cleanup(server.Close)
	address := server.Listener.Addr().String()
	registry := worker.NewRegistry(topology.New("a", nil))
	registry.SetCacheCapacity("llm", 1_000_000)
	registry.Replace([]worker.Worker{
		{ID: "read", Service: "llm", Address: address, Zone: "a", Slots: 8, Stage: worker.Prefill},
		{ID: "write", Service: "llm", Address: address, Zone: "a", Slots: 8, Stage: worker.Decode},
	})
	events := lateEvents{planned: make(chan struct{}, 1000), sent: make(chan struct{}, 2)}
	log := logrus.New()
	log.SetOutput(io.Discard)
	costs := scheduling.DefaultCosts()
	costs.Hold = true
	dispatcher := New(Options{
		Registry: registry, Scheduler: scheduling.New(costs), Pool: workerconn.NewPool(), Wire: sendingWire{events.sent},
		Log: log, Metrics: NewMetrics(prometheus.NewRegistry()), Nodes: func() int { return 1 }, Retries: retry.Limits{},
		Freshness: func() Freshness {
			events.planned <- struct{}{}
			return Freshness{}
		},
	})
	route := &routing.Route{Name: "check", Kind: routing.Streaming, MaxAttempts: 1, Priority: 1, Objective: time.Millisecond, Patience: time.Hour}
	now := time.Now()
	call := &Call{
		ID: "1", Method: http.MethodPost, Target: "/", Header: http.Header{}, Route: route, Service: &routing.Service{Name: "llm"},
		Prompt: []prefixcache.Part{{ID: 1, Tokens: 2000}}, PromptTokens: 2000, ExpectedOutput: 1,
		Arrived: now, Deadline: now.Add(time.Hour),
	}
	return dispatcher, registry, call, events
}

// placeQueues sets what others have placed on both engines. The queue is shorter at the prefill
// engine, so that the prompt is read apart.
func placeQueues(registry *worker.Registry, change func(string, worker.Load)) {
	change("read", worker.Load{Requests: 1, Unread: worker.UnreadTokensOf(0, 20_000)})
	change("write", worker.Load{Requests: 1, Unread: worker.UnreadTokensOf(0, 400_000)})
}

// TestLateCallIsHeldUntilAnEngineIsFree checks that a late call waits for an engine and is not
// refused.
func TestLateCallIsHeldUntilAnEngineIsFree(t *testing.T) {
	dispatcher, registry, call, events := newLateFixture(t)
	placeQueues(registry, registry.Begin)
	ended := make(chan Outcome)
	go func() { ended <- dispatcher.Run(context.Background(), call, &sink{}) }()
	for range 2 { // a call that is planned again without having been sent was held
		select {
		case outcome := <-ended:
			t.Fatalf("not held: %+v", outcome)
		case <-events.sent:
			t.Fatal("sent to an engine where others wait")
		case <-events.planned:
		}
	}
	registry.End("read", worker.Load{Requests: 1, Unread: worker.UnreadTokensOf(0, 20_000)})
	if outcome := <-ended; outcome.Status != http.StatusOK {
		t.Errorf("not served once an engine is free: %+v", outcome)
	}
}

// TestHeldCallEndsWithItsCaller checks that a held call ends when its caller leaves and is not
// sent.
func TestHeldCallEndsWithItsCaller(t *testing.T) {
	dispatcher, registry, call, events := newLateFixture(t)
	placeQueues(registry, registry.Begin)
	ctx, leave := context.WithCancel(context.Background())
	ended := make(chan Outcome)
	go func() { ended <- dispatcher.Run(ctx, call, &sink{}) }()
	<-events.planned
	leave()
	if outcome := <-ended; outcome.Attempts != 0 || len(events.sent) != 0 {
		t.Errorf("sent or counted as an attempt: %+v", outcome)
	}
}

// TestLateCallsArePrefilledLast checks that late calls are prefilled after those of the least
// urgent route.
func TestLateCallsArePrefilledLast(t *testing.T) {
	for _, example := range []struct {
		priority int
		late     bool
		want     int
	}{{0, false, 0}, {2, false, 2}, {9, false, worker.LateRank - 1}, {0, true, worker.LateRank}} {
		s := &session{call: &Call{Route: &routing.Route{Priority: example.priority}}, late: example.late}
		if got := s.rank(); got != example.want {
			t.Errorf("priority %d, late %v: rank %d, want %d", example.priority, example.late, got, example.want)
		}
	}
}

// TestPatienceCountsFromTheLastPiece checks that patience restarts with each piece of the
// answer and ends with the deadline.
func TestPatienceCountsFromTheLastPiece(t *testing.T) {
	arrived := time.Unix(1000, 0)
	call := &Call{Route: &routing.Route{Patience: 2 * time.Second}, Arrived: arrived, Deadline: arrived.Add(5 * time.Second)}
	for _, example := range []struct{ age, lastPiece, want time.Duration }{
		{time.Second, 0, time.Second},
		{3 * time.Second, 2500 * time.Millisecond, 1500 * time.Millisecond},
		{4500 * time.Millisecond, 4 * time.Second, 500 * time.Millisecond},
	} {
		if got := call.patience(arrived.Add(example.age), example.lastPiece); got != example.want {
			t.Errorf("after %v, the last piece after %v: patience %v", example.age, example.lastPiece, got)
		}
	}
	call.Route = &routing.Route{}
	if got := call.patience(arrived.Add(time.Second), 0); got != 4*time.Second {
		t.Errorf("without a patience of the route: %v, want the time to the deadline", got)
	}
}
