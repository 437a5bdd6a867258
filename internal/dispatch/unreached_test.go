package dispatch

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/result"
	"github.com/tinarch/tinarch/internal/routing"
	"github.com/tinarch/tinarch/internal/scheduling"
	"github.com/tinarch/tinarch/internal/topology"
	"github.com/tinarch/tinarch/internal/worker"
	"github.com/tinarch/tinarch/internal/workerconn"
)

// afterFailure calls do when the first try has failed, before the next plan.
type afterFailure struct{ do func() }

func (afterFailure) Levels() []logrus.Level { return logrus.AllLevels }

func (h *afterFailure) Fire(entry *logrus.Entry) error {
	if do := h.do; entry.Message == "try failed" && do != nil {
		h.do = nil
		do()
	}
	return nil
}

// TestWorkerThatCouldNotBeReachedIsTriedOnceMore guards against a call that is refused at once,
// since the only worker left couldn't be reached the first time: nothing was sent to it. A worker
// that can't be reached at all gets two tries.
func TestWorkerThatCouldNotBeReachedIsTriedOnceMore(t *testing.T) {
	for name, back := range map[string]bool{"reached then": true, "not reached at all": false} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			address := listener.Addr().String()
			_ = listener.Close()
			registry := worker.NewRegistry(topology.New("a", nil))
			registry.Replace([]worker.Worker{
				{ID: "pausing", Service: "s", Zone: "a", Slots: 8, Address: "127.0.0.1:1"}, {ID: "w", Service: "s", Zone: "a", Slots: 8, Address: address},
			})
			registry.ObserveNotice("pausing", worker.Notice{Backoff: time.Minute}, time.Now())
			failures := &afterFailure{do: func() {
				if !back {
					return
				}
				server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
				_ = server.Listener.Close()
				if server.Listener, err = net.Listen("tcp4", address); err != nil {
					t.Error(err)
					return
				}
				server.Start()
				t.Cleanup(server.Close)
			}}
			log := logrus.New()
			log.SetOutput(io.Discard)
			log.AddHook(failures)
			dispatcher := New(Options{
				Registry: registry, Scheduler: scheduling.New(scheduling.DefaultCosts()), Pool: workerconn.NewPool(), Wire: pausingWire{},
				Log: log, Metrics: NewMetrics(prometheus.NewRegistry()), Nodes: func() int { return 1 },
			})
			now := time.Now()
			outcome := dispatcher.Run(context.Background(), &Call{
				ID: "1", Method: http.MethodPost, Target: "/", Host: "host", Header: http.Header{}, Service: &routing.Service{Name: "s"},
				Route:   &routing.Route{Name: "r", Kind: routing.Idempotent, MaxAttempts: 2, Objective: time.Second},
				Arrived: now, Deadline: now.Add(10 * time.Second),
			}, &sink{})
			if served := outcome.Code == result.OK; served != back {
				t.Errorf("outcome %v: %s", outcome.Code, outcome.Detail)
			}
		})
	}
}
