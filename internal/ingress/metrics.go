package ingress

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/tinarch/tinarch/internal/dispatch"
)

// Metrics counts requests and measures their duration.
type Metrics struct {
	requests  *prometheus.CounterVec
	firstByte *prometheus.HistogramVec
	total     *prometheus.HistogramVec
}

// NewMetrics returns metrics registered with a registry.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	buckets := []float64{.005, .01, .025, .05, .1, .2, .3, .4, .5, .6, .8, 1, 1.5, 2, 4, 8}
	metrics := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tinarch_requests_total", Help: "Requests by result code.",
		}, []string{"code"}),
		firstByte: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "tinarch_first_byte_seconds", Help: "Time to the first byte of an answer.", Buckets: buckets,
		}, []string{"kind"}),
		total: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "tinarch_request_seconds", Help: "Time to the end of a request.", Buckets: buckets,
		}, []string{"kind"}),
	}
	registry.MustRegister(metrics.requests, metrics.firstByte, metrics.total)
	return metrics
}

func (m *Metrics) observe(call *dispatch.Call, outcome dispatch.Outcome, took time.Duration) {
	kind := "none"
	if call.Route != nil {
		kind = string(call.Route.Kind)
	}
	m.requests.WithLabelValues(strconv.Itoa(int(outcome.Code))).Inc()
	if outcome.HeadGiven {
		m.firstByte.WithLabelValues(kind).Observe(outcome.First.Seconds())
	}
	m.total.WithLabelValues(kind).Observe(took.Seconds())
}
