package usage

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/tinarch/tinarch/internal/duty"
)

// Metrics counts the reports that this node has sent, and the windows that it has left out.
type Metrics struct {
	reports *prometheus.CounterVec
	leftOut prometheus.Counter
}

// NewMetrics registers the metrics.
func NewMetrics(registry *prometheus.Registry) *Metrics {
	m := &Metrics{reports: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "tinarch_usage_reports_total", Help: "Reports of usage windows that this node sent, by the platform's verdict.",
	}, []string{"verdict"}), leftOut: prometheus.NewCounter(prometheus.CounterOpts{
		Name: "tinarch_usage_windows_left_out_total", Help: "Usage windows that were not reported since they may have been reported before the store was restored.",
	})}
	registry.MustRegister(m.reports, m.leftOut)
	return m
}

func (m *Metrics) observe(verdict duty.Verdict) {
	if m != nil {
		m.reports.WithLabelValues(string(verdict)).Inc()
	}
}

func (m *Metrics) observeLeftOut() {
	if m != nil {
		m.leftOut.Inc()
	}
}
