package ingress

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/tinarch/tinarch/internal/dispatch"
)

// Metrics counts requests and measures their duration.
type Metrics struct {
	requests *prometheus.CounterVec
	// takenUp counts the requests that continue a stream.
	takenUp   *prometheus.CounterVec
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
		takenUp: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tinarch_streams_taken_up_total", Help: "Requests that continue a stream, by how it was found where that began, and by result code.",
		}, []string{"origin", "code"}),
		firstByte: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "tinarch_first_byte_seconds", Help: "Time to the first byte of an answer.", Buckets: buckets,
		}, []string{"kind"}),
		total: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "tinarch_request_seconds", Help: "Time to the end of a request.", Buckets: buckets,
		}, []string{"kind"}),
	}
	registry.MustRegister(metrics.requests, metrics.takenUp, metrics.firstByte, metrics.total)
	return metrics
}

func (m *Metrics) observe(call *dispatch.Call, outcome dispatch.Outcome, took time.Duration) {
	kind := "none"
	if call.Route != nil {
		kind = string(call.Route.Kind)
	}
	m.requests.WithLabelValues(strconv.Itoa(int(outcome.Code))).Inc()
	if call.OriginSource != "" {
		m.takenUp.WithLabelValues(string(call.OriginSource), strconv.Itoa(int(outcome.Code))).Inc()
	}
	if outcome.HeadGiven {
		m.firstByte.WithLabelValues(kind).Observe(outcome.First.Seconds())
	}
	m.total.WithLabelValues(kind).Observe(took.Seconds())
}
