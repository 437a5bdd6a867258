package usage

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/tinarch/tinarch/internal/duty"
)

// Metrics counts the reports that this node has sent.
type Metrics struct{ reports *prometheus.CounterVec }

// NewMetrics registers the metrics.
func NewMetrics(registry *prometheus.Registry) *Metrics {
	m := &Metrics{reports: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "tinarch_usage_reports_total", Help: "Reports of usage windows that this node sent, by the platform's verdict.",
	}, []string{"verdict"})}
	registry.MustRegister(m.reports)
	return m
}

func (m *Metrics) observe(verdict duty.Verdict) {
	if m != nil {
		m.reports.WithLabelValues(string(verdict)).Inc()
	}
}
