package dispatch

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/prefixcache"
	"github.com/tinarch/tinarch/internal/quota"
	"github.com/tinarch/tinarch/internal/retry"
	"github.com/tinarch/tinarch/internal/routing"
	"github.com/tinarch/tinarch/internal/scheduling"
	"github.com/tinarch/tinarch/internal/topology"
	"github.com/tinarch/tinarch/internal/worker"
	"github.com/tinarch/tinarch/internal/workerconn"
)

// pausingWire is a protocol in which headers tell the test engines whether to prefill or to
// run.
type pausingWire struct{ sendingWire }

func (pausingWire) ForwardHeader(_ *Call, forward Forward) http.Header {
	header := http.Header{}
	if forward.ReadApart {
		header.Set("Read", "1")
	}
	if forward.Source != nil {
		header.Set("Source", forward.Source.ID)
	}
	return header
}

func (pausingWire) Reply(status int, _ http.Header) Reply {
	return Reply{NotExecuted: status == http.StatusServiceUnavailable}
}

func (pausingWire) Release(handle Handle) *workerconn.Request {
	return &workerconn.Request{Method: http.MethodDelete, Target: "/", Host: handle.Address}
}

// pausingMonitor records that an engine which rejects a request asks for a pause.
type pausingMonitor struct {
	registry *worker.Registry
	pause    time.Duration
}

func (m pausingMonitor) Admit(key string, _ *workerconn.Request) error {
	return m.registry.Admit(key, time.Now())
}

func (pausingMonitor) Sending(string, *workerconn.Request) {}

func (m pausingMonitor) Answered(key string, _ *workerconn.Request, status int, _ http.Header) {
	if status == http.StatusServiceUnavailable {
		m.registry.ObserveNotice(key, worker.Notice{Backoff: m.pause}, time.Now())
	}
}

// engines is one prefill engine and some decode engines, with counts of what they did.
type engines struct {
	read, ran, tookOver, rejected, freed atomic.Int64
	registry                             *worker.Registry
	dispatcher                           *Dispatcher
}

// startEngines starts engines. The decode engine that is chosen first rejects so many requests
// and asks for a pause each time.
func startEngines(t *testing.T, writers int, rejects int64, pause time.Duration) *engines {
	e := &engines{registry: worker.NewRegistry(topology.New("a", nil))}
	address := func(rejects int64) string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			switch {
			case r.Method == http.MethodDelete:
				e.freed.Add(1)
			case r.Header.Get("Read") != "":
				e.read.Add(1)
			case e.rejected.Load() < rejects:
				e.rejected.Add(1)
				w.WriteHeader(http.StatusServiceUnavailable)
			default:
				e.ran.Add(1)
				if r.Header.Get("Source") != "" {
					e.tookOver.Add(1)
				}
				_, _ = io.WriteString(w, "id: 1\n\n")
			}
		}))
		t.Cleanup(server.Close)
		return server.Listener.Addr().String()
	}
	e.registry.SetCacheCapacity("llm", 1_000_000)
	list := []worker.Worker{{ID: "read", Service: "llm", Address: address(0), Zone: "a", Slots: 8, Stage: worker.Prefill}}
	for number := range writers {
		if number > 0 {
			rejects = 0
		}
		list = append(list, worker.Worker{ID: fmt.Sprint("write-", number), Service: "llm", Address: address(rejects), Zone: "a", Slots: 8, Stage: worker.Decode})
	}
	e.registry.Replace(list)
	for number := range writers { // so that the first is chosen and does not prefill
		e.registry.Begin(fmt.Sprint("write-", number), worker.Load{Requests: number, Unread: worker.UnreadTokensOf(0, 400_000)})
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	pool := workerconn.NewPool()
	pool.SetMonitor(pausingMonitor{e.registry, pause})
	e.dispatcher = New(Options{
		Registry: e.registry, Scheduler: scheduling.New(scheduling.DefaultCosts()), Pool: pool, Wire: pausingWire{},
		Log: log, Metrics: NewMetrics(prometheus.NewRegistry()), Nodes: func() int { return 1 },
		Retries: retry.Limits{Ratio: 1, Slack: 100, Window: time.Second},
	})
	return e
}

// run sends a request with a prompt and returns a summary of what happened.
func (e *engines) run() string {
	now := time.Now()
	outcome := e.dispatcher.Run(context.Background(), &Call{
		ID: "1", Method: http.MethodPost, Target: "/", Header: http.Header{}, Service: &routing.Service{Name: "llm"},
		Route:  &routing.Route{Name: "check", Kind: routing.Streaming, MaxAttempts: 2, Objective: time.Minute, Patience: time.Hour},
		Prompt: []prefixcache.Part{{ID: 1, Tokens: 2000}}, PromptTokens: 2000, ExpectedOutput: 1, Arrived: now, Deadline: now.Add(time.Hour),
	}, &sink{})
	return fmt.Sprintf("status %d, %d rejected, %d read, %d ran, %d took the prompt over, %d freed",
		outcome.Status, e.rejected.Load(), e.read.Load(), e.ran.Load(), e.tookOver.Load(), e.freed.Load())
}

// TestPromptIsNotPrefilledTwiceForAPause checks that a prefilled prompt is kept when the engine
// that was to run it asks for a pause.
func TestPromptIsNotPrefilledTwiceForAPause(t *testing.T) {
	e := startEngines(t, 2, 1, time.Hour)
	if got, want := e.run(), "status 200, 1 rejected, 1 read, 1 ran, 1 took the prompt over, 0 freed"; got != want {
		t.Errorf("%s, want %s", got, want)
	}
	for _, candidate := range e.registry.Candidates("llm", nil, 0, time.Now()) {
		if candidate.HandleFailure {
			t.Errorf("%s has a handle failure although it only asked for a pause", candidate.ID)
		}
	}
}

func TestPromptIsKeptUntilTheOnlyEngineEndsItsPause(t *testing.T) {
	e := startEngines(t, 1, 1, 200*time.Millisecond)
	if got, want := e.run(), "status 200, 1 rejected, 1 read, 1 ran, 1 took the prompt over, 0 freed"; got != want {
		t.Errorf("%s, want %s", got, want)
	}
}

func TestHandleIsReleasedAfterThePauseOfItsEngine(t *testing.T) {
	freed := make(chan time.Time, 1)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { freed <- time.Now() }))
	defer server.Close()
	registry := worker.NewRegistry(topology.New("a", nil))
	pool := workerconn.NewPool()
	pool.SetMonitor(pausingMonitor{registry, time.Hour})
	s := &session{
		Dispatcher: New(Options{Registry: registry, Pool: pool, Wire: pausingWire{}, Nodes: func() int { return 1 }}),
		call:       &Call{Service: &routing.Service{Name: "llm"}},
	}
	const pause = 200 * time.Millisecond
	asked := time.Now()
	registry.ObserveNotice("read", worker.Notice{Backoff: pause}, asked)
	s.release(Handle{Address: server.Listener.Addr().String(), ID: "h"}, scheduling.Candidate{ID: "read"})
	if at := <-freed; at.Sub(asked) < pause {
		t.Errorf("the handle was released %v after the engine had asked for a pause of %v", at.Sub(asked), pause)
	}
}

func TestFewCallsWaitForAPauseThatEndsTooLate(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
	defer server.Close()
	registry := worker.NewRegistry(topology.New("a", nil))
	registry.Replace([]worker.Worker{{ID: "w", Service: "s", Address: server.Listener.Addr().String(), Zone: "a", Slots: 8}})
	log := logrus.New()
	log.SetOutput(io.Discard)
	dispatcher := New(Options{
		Registry: registry, Scheduler: scheduling.New(scheduling.DefaultCosts()), Pool: workerconn.NewPool(), Wire: pausingWire{},
		Log: log, Metrics: NewMetrics(prometheus.NewRegistry()), Nodes: func() int { return 1 },
	})
	const pause = 300 * time.Millisecond
	registry.ObserveNotice("w", worker.Notice{Backoff: pause}, time.Now())
	outcomes := make(chan Outcome)
	const calls = maxLateWaiters + 3
	for range calls {
		go func() {
			now := time.Now()
			outcomes <- dispatcher.Run(context.Background(), &Call{
				Method: http.MethodPost, Target: "/", Header: http.Header{}, Service: &routing.Service{Name: "s"},
				Route:   &routing.Route{Name: "r", Kind: routing.Idempotent, MaxAttempts: 1, Objective: pause / 10},
				Arrived: now, Deadline: now.Add(time.Minute),
			}, &sink{})
		}()
	}
	served := 0
	for range calls {
		outcome := <-outcomes
		if outcome.Status == http.StatusOK {
			served++
		} else if served > 0 || outcome.RetryAfter <= 0 {
			t.Errorf("refused after waiting or without RetryAfter: %+v", outcome)
		}
	}
	if served != maxLateWaiters {
		t.Errorf("%d calls were served after the pause, want %d", served, maxLateWaiters)
	}
}

// TestCallThatWaitedForAPauseIsPlannedAgain where the worker had no room for the plan and has
// some right after it. A call that has not waited, or whose worker is gone, is refused.
func TestCallThatWaitedForAPauseIsPlannedAgain(t *testing.T) {
	registry := worker.NewRegistry(topology.New("a", nil))
	registry.Replace([]worker.Worker{{ID: "w", Service: "s", Zone: "a", Slots: 8}})
	registry.ObserveNotice("w", worker.Notice{Backoff: time.Millisecond}, time.Now().Add(-time.Second))
	for name, test := range map[string]struct {
		waited, excluded bool
		want             scheduling.Mode
	}{
		"waited":                  {true, false, scheduling.Held},
		"not waited":              {false, false, scheduling.Refused},
		"waited, worker excluded": {true, true, scheduling.Refused},
	} {
		now := time.Now()
		s := &session{
			Dispatcher:   New(Options{Registry: registry, Nodes: func() int { return 1 }}),
			call:         &Call{Service: &routing.Service{Name: "s"}, Route: &routing.Route{Objective: time.Minute}, Arrived: now, Deadline: now.Add(time.Hour)},
			excluded:     map[string]bool{"w": test.excluded},
			pauseAwaited: test.waited,
		}
		if plan := s.holdUntilPauseEnds(scheduling.Plan{Mode: scheduling.Refused, Reason: scheduling.NoWorker}); plan.Mode != test.want {
			t.Errorf("%s: %s, want %s", name, plan.Mode, test.want)
		}
	}
}

func TestCallChargedToAQuotaDoesNotRunLongAfterItsCharge(t *testing.T) {
	registry := worker.NewRegistry(topology.New("a", nil))
	registry.Replace([]worker.Worker{{ID: "w", Service: "s", Zone: "a", Slots: 8}})
	registry.ObserveNotice("w", worker.Notice{Backoff: time.Second}, time.Now())
	log := logrus.New()
	log.SetOutput(io.Discard)
	dispatcher := New(Options{
		Registry: registry, Scheduler: scheduling.New(scheduling.DefaultCosts()), Pool: workerconn.NewPool(), Wire: pausingWire{},
		Log: log, Metrics: NewMetrics(prometheus.NewRegistry()), Nodes: func() int { return 1 },
	})
	now := time.Now()
	dispatcher.Run(context.Background(), &Call{
		Method: http.MethodPost, Target: "/", Header: http.Header{}, Service: &routing.Service{Name: "s"},
		Route:   &routing.Route{Name: "r", Kind: routing.Idempotent, MaxAttempts: 1, Objective: 100 * time.Millisecond},
		Arrived: now, Deadline: now.Add(time.Minute), Charge: quota.Charge{Account: "requests a", Cost: 1},
	}, &sink{})
	if held := time.Since(now); held > 500*time.Millisecond {
		t.Errorf("the call was held for %v after it was charged, so its usage would count in the wrong window", held)
	}
}
