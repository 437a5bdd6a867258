package dispatch

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/tinarch/tinarch/internal/latency"
	"github.com/tinarch/tinarch/internal/routing"
	"github.com/tinarch/tinarch/internal/scheduling"
	"github.com/tinarch/tinarch/internal/topology"
	"github.com/tinarch/tinarch/internal/worker"
)

// newUnevenSession returns a session whose service has one plain worker, with four slots.
func newUnevenSession() *session {
	registry := worker.NewRegistry(topology.New("a", nil))
	registry.Replace([]worker.Worker{{ID: "w", Service: "app", Zone: "a", Slots: 4}})
	return &session{
		Dispatcher: &Dispatcher{registry: registry, metrics: NewMetrics(prometheus.NewRegistry())},
		call:       &Call{Route: &routing.Route{}, Service: &routing.Service{Name: "app"}},
		attempts:   1,
	}
}

// If work were divided by a factor that held for a part of the time only, a model would learn
// that engines are faster than they are.
func TestWorkIsComparedWithTheLowerFactor(t *testing.T) {
	for _, step := range []struct{ planned, stated, want float64 }{
		{0, 0, 0}, {0.7, 0, 0.7}, {0, 1.75, 1.75}, {0.7, 1.75, 0.7}, {1.75, 0.7, 0.7},
	} {
		s := newUnevenSession()
		if step.stated > 0 {
			s.registry.ObserveHostSlowdown("w", step.stated, time.Now())
		}
		planned := scheduling.Candidate{ID: "w", Host: latency.Factor{Present: step.planned, Mean: step.planned}}
		if got := s.slowdownSince(planned); got != step.want {
			t.Errorf("planned with %v, stated %v: %v; want %v", step.planned, step.stated, got, step.want)
		}
	}
}

// The time of plain work is learned from answers that nothing delayed.
func TestOnlyUndelayedAnswersTellTheWorkTime(t *testing.T) {
	const measured = 60 * time.Millisecond
	for _, example := range []struct {
		name   string
		change func(s *session, runner *scheduling.Candidate)
		want   float64
	}{
		{"free slots", func(*session, *scheduling.Candidate) {}, 30},
		{"all slots taken", func(_ *session, c *scheduling.Candidate) { c.Requests = 4 }, 0},
		{"a second try", func(s *session, _ *scheduling.Candidate) { s.attempts = 2 }, 0},
		{"a stream", func(s *session, _ *scheduling.Candidate) { s.call.Route.Kind = routing.Streaming }, 0},
		{"a service that states nothing", func(s *session, c *scheduling.Candidate) {
			s.registry = worker.NewRegistry(topology.New("a", nil))
			c.Host = latency.Factor{}
		}, 0},
	} {
		s := newUnevenSession()
		s.registry.ObserveHostSlowdown("w", 2, time.Now())
		runner := scheduling.Candidate{ID: "w", Slots: 4, Host: latency.Factor{Present: 2, Mean: 2}}
		example.change(s, &runner)
		(&work{session: s, runner: runner}).observeWork(measured)
		if got := s.registry.LearnedTimings("app").Work; got < example.want-0.1 || got > example.want+0.1 {
			t.Errorf("%s: a work time of %.1f ms; want %.1f", example.name, got, example.want)
		}
	}
}

func TestPredictionIsComparedOnceWithTheFirstByte(t *testing.T) {
	s, registry := newUnevenSession(), prometheus.NewRegistry()
	s.metrics = NewMetrics(registry)
	planned := time.Now()
	s.predicted = prediction{mode: scheduling.Whole, first: 100 * time.Millisecond, at: planned}
	s.observeFirstByte(planned.Add(300 * time.Millisecond))
	s.observeFirstByte(planned.Add(time.Second))
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, family := range families {
		if family.GetName() != "tinarch_first_byte_error_seconds" {
			continue
		}
		histogram := family.GetMetric()[0].GetHistogram()
		if histogram.GetSampleCount() != 1 || histogram.GetSampleSum() > -0.19 || histogram.GetSampleSum() < -0.21 {
			t.Errorf("%d samples with sum %v; want one of -0.2 s", histogram.GetSampleCount(), histogram.GetSampleSum())
		}
		return
	}
	t.Error("no error was counted")
}

func TestHostIsDescribedForTheLog(t *testing.T) {
	factor := latency.Factor{Present: 1.75, Usual: 0.7, Mean: 0.9, Age: 120 * time.Millisecond}
	if got := describeHost(factor) + "," + describeHost(latency.Factor{}); got != "175/70/120," {
		t.Errorf("the log says %q", got)
	}
}
