package fleetsize

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/tinarch/tinarch/internal/routing"
)

// Metrics are the wanted and the standing workers, as seen by the node that orders them. Wanted
// is the plan if all kinds are available, which may differ from what is ordered. Standing
// workers, "that stand" in the help texts, are listed and not draining.
type Metrics struct {
	workers *prometheus.GaugeVec
	price   *prometheus.GaugeVec
}

// NewMetrics creates and registers the metrics.
func NewMetrics(registry *prometheus.Registry) *Metrics {
	m := &Metrics{
		workers: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "tinarch_workers", Help: "Workers of a service that stand and that are wanted.",
		}, []string{"service", "zone", "spot", "state"}),
		price: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "tinarch_workers_price", Help: "Price of a second of all workers of a service that stand.",
		}, []string{"service"}),
	}
	registry.MustRegister(m.workers, m.price)
	return m
}

// observe records the standing and the wanted workers of a service.
func (m *Metrics) observe(service Service, standing, wanted Counts) {
	if m == nil {
		return
	}
	for _, kind := range kindsOf(service.Terms) {
		spot := strconv.FormatBool(kind.Spot)
		m.workers.WithLabelValues(service.Name, kind.Zone, spot, "standing").Set(float64(standing[kind]))
		m.workers.WithLabelValues(service.Name, kind.Zone, spot, "wanted").Set(float64(wanted[kind]))
	}
	m.price.WithLabelValues(service.Name).Set(priceOfAll(service.Terms, standing))
}

// priceOfAll returns the price of all workers per second.
func priceOfAll(terms *routing.Scaling, counts Counts) float64 {
	sum := 0.0
	for kind, count := range counts {
		sum += float64(count) * priceOf(terms, kind)
	}
	return sum
}
