package dispatch

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/tinarch/tinarch/internal/quota"
	"github.com/tinarch/tinarch/internal/scheduling"
)

// Metrics counts the decisions of the dispatcher and what becomes of them.
type Metrics struct {
	Plans *prometheus.CounterVec
	// Reaches counts the plans by region and by why that region was chosen.
	Reaches  *prometheus.CounterVec
	Failures *prometheus.CounterVec
	// Late counts the plans for late requests. A request that is held is counted each time that
	// it is planned again.
	Late prometheus.Counter
	// Breaks counts the looks at workers whose answers broke off, by the state found. All
	// requests that run at a worker share one look, so it counts neither answers nor crashes.
	Breaks *prometheus.CounterVec
	// Turns counts the turns asked for at workers with a limit, by their outcome.
	Turns *prometheus.CounterVec
	// MalformedLimits counts the answers whose limit cannot be parsed.
	MalformedLimits prometheus.Counter
	waits           *waitMetrics
}

// NewMetrics returns metrics registered with a registry.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	metrics := &Metrics{
		Plans: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tinarch_plans_total", Help: "Decisions on how a request is served.",
		}, []string{"mode"}),
		Reaches: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tinarch_plan_reaches_total", Help: "Decisions by why a request is served in its region, and by the region.",
		}, []string{"reach", "region"}),
		Failures: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tinarch_try_failures_total", Help: "Tries that did not pass an answer on.",
		}, []string{"verdict"}),
		Late: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "tinarch_plans_late_total", Help: "Requests that can't be in time and are served behind all others.",
		}),
	}
	metrics.Breaks = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "tinarch_worker_breaks_total", Help: "Looks at workers whose answers broke off, by the worker's state.",
	}, []string{"state"})
	metrics.Turns = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "tinarch_worker_turns_total", Help: "Turns asked for at workers that take no more than so many requests a second.",
	}, []string{"verdict"})
	metrics.MalformedLimits = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "tinarch_worker_limits_malformed_total", Help: "Answers of workers that name a limit which can't be read.",
	})
	metrics.waits = newWaitMetrics(registry)
	registry.MustRegister(metrics.Plans, metrics.Reaches, metrics.Failures, metrics.Late, metrics.Breaks, metrics.Turns, metrics.MalformedLimits)
	return metrics
}

func (m *Metrics) turn(verdict quota.Outcome) {
	label := "refused"
	switch {
	case verdict.Granted && verdict.Delay > 0:
		label = "granted_later"
	case verdict.Granted:
		label = "granted"
	}
	m.Turns.WithLabelValues(label).Inc()
}

func (m *Metrics) plan(plan scheduling.Plan, reach scheduling.Reach) {
	m.Plans.WithLabelValues(string(plan.Mode)).Inc()
	if plan.Late {
		m.Late.Inc()
	}
	if plan.Mode != scheduling.Refused {
		m.Reaches.WithLabelValues(string(reach), plan.Runner.Region).Inc()
	}
}
