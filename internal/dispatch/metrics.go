package dispatch

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/tinarch/tinarch/internal/scheduling"
)

// Metrics count what the dispatcher decides.
type Metrics struct {
	Plans    *prometheus.CounterVec
	Failures *prometheus.CounterVec
	Late     prometheus.Counter
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
		Late: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "tinarch_plans_late_total", Help: "Requests that can't be in time and are served behind all others.",
		}),
	}
	registry.MustRegister(metrics.Plans, metrics.Failures, metrics.Late)
	return metrics
}

func (m *Metrics) plan(plan scheduling.Plan) {
	m.Plans.WithLabelValues(string(plan.Mode)).Inc()
	if plan.Late {
		m.Late.Inc()
	}
}
