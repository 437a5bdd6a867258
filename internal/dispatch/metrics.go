package dispatch

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/tinarch/tinarch/internal/scheduling"
)

// Metrics count what the dispatcher decides.
type Metrics struct {
	Plans    *prometheus.CounterVec
	Failures *prometheus.CounterVec
}

// NewMetrics returns metrics registered with a registry.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	metrics := &Metrics{
		Plans: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tinarch_plans_total", Help: "Decisions on how a request is served.",
		}, []string{"mode"}),
		Failures: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tinarch_try_failures_total", Help: "Tries that did not pass an answer on.",
		}, []string{"verdict"}),
	}
	registry.MustRegister(metrics.Plans, metrics.Failures)
	return metrics
}

func (m *Metrics) plan(mode scheduling.Mode) { m.Plans.WithLabelValues(string(mode)).Inc() }
