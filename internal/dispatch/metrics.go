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
	// Endings counts the answers of workers by how their end was marked and by what it proved.
	Endings *prometheus.CounterVec
	// Turns counts the turns asked for at workers with a limit, by their outcome.
	Turns *prometheus.CounterVec
	// Returns counts the callers that were refused as too late by what their Retry-After says,
	// and ReturnDelay are the times after which those with a place are asked to return.
	Returns     *prometheus.CounterVec
	ReturnDelay prometheus.Histogram
	// PrefixWaits counts the requests that waited for a prefix which was being prefilled for
	// another one, by what came of it.
	PrefixWaits *prometheus.CounterVec
	// MalformedLimits counts the answers whose limit cannot be parsed.
	MalformedLimits prometheus.Counter
	// FirstByteErrors observes by how many seconds the predicted time to the first byte of an
	// answer exceeded the measured one, by the mode of the plan. It is negative for answers that
	// came later than predicted.
	FirstByteErrors *prometheus.HistogramVec
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
	metrics.Endings = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "tinarch_worker_answers_total", Help: "Answers of workers by how they mark their end, and by whether they ended complete, broken off or unproved.",
	}, []string{"framing", "ending"})
	metrics.Turns = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "tinarch_worker_turns_total", Help: "Turns asked for at workers that take no more than so many requests a second.",
	}, []string{"verdict"})
	metrics.PrefixWaits = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "tinarch_prefix_waits_total", Help: "Requests that waited for a prefix that was being prefilled for another one, by what came of it.",
	}, []string{"outcome"})
	metrics.MalformedLimits = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "tinarch_worker_limits_malformed_total", Help: "Answers of workers that name a limit which can't be read.",
	})
	metrics.FirstByteErrors = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "tinarch_first_byte_error_seconds", Help: "Predicted time to the first byte of an answer less the measured one, by how the request is served.",
		Buckets: []float64{-2, -1, -0.4, -0.15, -0.05, 0, 0.05, 0.15, 0.4, 1, 2},
	}, []string{"mode"})
	registry.MustRegister(metrics.FirstByteErrors, metrics.Plans, metrics.Reaches, metrics.Failures, metrics.Late, metrics.Breaks, metrics.Endings, metrics.Turns, metrics.PrefixWaits, metrics.MalformedLimits)
	metrics.Returns = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "tinarch_returns_total", Help: "Callers refused as too late, by whether they were given a time to return at.",
	}, []string{"source"})
	metrics.ReturnDelay = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "tinarch_return_delay_seconds", Help: "Time after which refused callers are asked to return.",
		Buckets: []float64{0.1, 0.25, 0.5, 1, 1.5, 2, 3, 5, 10},
	})
	registry.MustRegister(metrics.Returns, metrics.ReturnDelay)
	metrics.waits = newWaitMetrics(registry)
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
