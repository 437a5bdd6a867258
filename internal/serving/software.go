package serving

import (
	"github.com/prometheus/client_golang/prometheus"
)

// softwareMetrics collects how many workers of each software version stand ready, by service.
type softwareMetrics struct {
	node    *Node
	workers *prometheus.Desc
}

func (n *Node) registerSoftwareMetrics(metrics prometheus.Registerer) {
	metrics.MustRegister(&softwareMetrics{node: n, workers: prometheus.NewDesc(
		"tinarch_workers_by_software", "Workers that are listed and not about to end, by service and version of their software.",
		[]string{"service", "software"}, nil,
	)})
}

// Describe implements prometheus.Collector.
func (m *softwareMetrics) Describe(descriptions chan<- *prometheus.Desc) { descriptions <- m.workers }

// Collect implements prometheus.Collector.
func (m *softwareMetrics) Collect(metrics chan<- prometheus.Metric) {
	for _, service := range m.node.servicesByName() {
		for software, count := range m.node.registry.StandingBySoftware(service.Name) {
			metrics <- prometheus.MustNewConstMetric(m.workers, prometheus.GaugeValue, float64(count), service.Name, software)
		}
	}
}
