package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics are a gateway's metrics. Tenants are not a label, since there are thousands of them.
type Metrics struct {
	Requests        *prometheus.CounterVec
	InDeadline      *prometheus.CounterVec
	FirstToken      *prometheus.HistogramVec
	OutputTokens    *prometheus.CounterVec
	Resumes         prometheus.Counter
	Retries         prometheus.Counter
	DroppedForeign  prometheus.Counter
	DroppedRepeated prometheus.Counter
	Active          prometheus.Gauge
}

// NewMetrics registers a gateway's metrics.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	dropped := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "tinarch_gateway_dropped_events_total", Help: "Stream events dropped because they belong to another attempt or came twice.",
	}, []string{"reason"})
	m := &Metrics{
		Requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tinarch_gateway_requests_total", Help: "Requests ended, by kind, class and result code.",
		}, []string{"kind", "class", "code"}),
		InDeadline: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tinarch_gateway_in_deadline_total", Help: "Whole answers given within their deadline.",
		}, []string{"kind", "class"}),
		FirstToken: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "tinarch_gateway_first_token_seconds", Help: "Time from the request to the first token.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 14),
		}, []string{"kind"}),
		OutputTokens: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tinarch_gateway_output_tokens_total", Help: "Tokens of whole answers.",
		}, []string{"kind"}),
		Resumes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "tinarch_gateway_resumes_total", Help: "Tries to resume a broken stream.",
		}),
		Retries: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "tinarch_gateway_retries_total", Help: "Attempts placed again after one that did not run or may be repeated.",
		}),
		DroppedForeign:  dropped.WithLabelValues("foreign"),
		DroppedRepeated: dropped.WithLabelValues("repeated"),
		Active: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "tinarch_gateway_active_requests", Help: "Requests in progress.",
		}),
	}
	registry.MustRegister(m.Requests, m.InDeadline, m.FirstToken, m.OutputTokens, m.Resumes, m.Retries, dropped, m.Active)
	return m
}

func (m *Metrics) ended(x *exchange, code string, outputTokens int) {
	m.Requests.WithLabelValues(x.kind.Name, x.class, code).Inc()
	m.OutputTokens.WithLabelValues(x.kind.Name).Add(float64(outputTokens))
	if code == "ok" && time.Now().Before(x.deadline) {
		m.InDeadline.WithLabelValues(x.kind.Name, x.class).Inc()
	}
}
