package dispatch

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// waitOutcome is how a call's wait for an engine ended, as a label of the metrics.
type waitOutcome string

// Values of waitOutcome. Calls that left were ended by their caller or by their deadline.
const (
	waitServed  waitOutcome = "served"
	waitRefused waitOutcome = "refused"
	waitLeft    waitOutcome = "left"
)

// waitMetrics counts the calls that wait for engines.
type waitMetrics struct {
	waiting *prometheus.GaugeVec
	waited  *prometheus.HistogramVec
}

func newWaitMetrics(registry prometheus.Registerer) *waitMetrics {
	m := &waitMetrics{
		waiting: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "tinarch_waiting_requests", Help: "Requests that wait for an engine in the order over all nodes.",
		}, []string{"service"}),
		waited: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "tinarch_waited_seconds", Help: "Time for which requests waited for an engine, by how their wait ended.",
			Buckets: []float64{0.005, 0.025, 0.1, 0.25, 0.5, 1, 2, 4, 8},
		}, []string{"outcome"}),
	}
	registry.MustRegister(m.waiting, m.waited)
	return m
}

func (m *waitMetrics) began(service string) { m.waiting.WithLabelValues(service).Inc() }

func (m *waitMetrics) ended(service string, outcome waitOutcome, waited time.Duration) {
	m.waiting.WithLabelValues(service).Dec()
	m.waited.WithLabelValues(string(outcome)).Observe(waited.Seconds())
}
