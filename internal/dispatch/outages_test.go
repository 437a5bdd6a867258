package dispatch

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/routing"
	"github.com/tinarch/tinarch/internal/scheduling"
	"github.com/tinarch/tinarch/internal/topology"
	"github.com/tinarch/tinarch/internal/worker"
	"github.com/tinarch/tinarch/internal/workerconn"
)

func TestRetryAfterGrowsWhileServiceIsUnavailable(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	dispatcher := New(Options{
		Registry: worker.NewRegistry(topology.New("a", nil)), Scheduler: scheduling.New(scheduling.DefaultCosts()),
		Pool: workerconn.NewPool(), Wire: pausingWire{}, Log: log, Metrics: NewMetrics(prometheus.NewRegistry()),
		Nodes: func() int { return 1 },
	})
	refused := func() time.Duration {
		now := time.Now()
		return dispatcher.Run(context.Background(), &Call{
			Method: http.MethodPost, Target: "/", Header: http.Header{}, Service: &routing.Service{Name: "s"},
			Route: &routing.Route{MaxAttempts: 1, Objective: time.Second}, Arrived: now, Deadline: now.Add(time.Minute),
		}, &sink{}).RetryAfter
	}
	const shortest = 100 * time.Millisecond
	if after := refused(); after != shortest {
		t.Errorf("the first caller is told to retry after %v, want %v", after, shortest)
	}
	time.Sleep(6 * shortest)
	if after := refused(); after < 3*shortest {
		t.Errorf("after 0.6 s a caller is told to retry after %v, want at least half of that", after)
	}
}
