package node

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/tinarch/tinarch/internal/membership"
)

// registerMetrics registers the metrics of groups, membership and peer traffic. Their values
// are computed at each scrape. The catalog of tinarch_catalog_revision is the configuration
// that operators apply (package catalog). A claim of tinarch_ledger_claims is the ledger's
// record of the attempt that runs the request with an idempotency key (ledger.Claim); the order
// by which a new leader takes over an engine, which is called a claim too, isn't counted.
func (n *Node) registerMetrics() {
	n.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	n.gauge("tinarch_catalog_revision", "Configuration revision in force.", func() float64 { return float64(n.manager.Revision()) })
	n.gauge("tinarch_nodes_alive", "Nodes believed alive, this one included.", n.aliveNodes)
	n.gauge("tinarch_groups_led", "Replica groups led with a valid lease.", func() float64 { return float64(len(n.LedGroups())) })
	n.gauge("tinarch_ledger_claims", "Claims held by this node's members of ledger groups.", n.claims)
	n.counter("tinarch_peer_sent_bytes_total", "Bytes sent to other nodes.", func() float64 { return float64(n.counters.BytesSent.Load()) })
	n.counter("tinarch_peer_received_bytes_total", "Bytes received from other nodes.", func() float64 { return float64(n.counters.BytesReceived.Load()) })
	n.counter("tinarch_peer_malformed_total", "Peer connections closed after a malformed line.", func() float64 { return float64(n.counters.Malformed.Load()) })
	n.registry.MustRegister(&cellCollector{node: n})
}

func (n *Node) gauge(name, help string, read func() float64) {
	n.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
}

func (n *Node) counter(name, help string, read func() float64) {
	n.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, read))
}

func (n *Node) aliveNodes() float64 {
	alive := 0
	for _, view := range n.members.Nodes() {
		if view.State == membership.Alive {
			alive++
		}
	}
	return float64(alive)
}

func (n *Node) claims() float64 {
	total := 0
	for _, m := range n.localLedgers() {
		total += m.Len()
	}
	return float64(total)
}

var (
	waitingDescription  = prometheus.NewDesc("tinarch_cell_waiting", "Requests that wait for an engine, in cells led here.", []string{"cell", "class"}, nil)
	inFlightDescription = prometheus.NewDesc("tinarch_cell_in_flight", "Attempts placed and not ended, in cells led here.", []string{"cell"}, nil)
	enginesDescription  = prometheus.NewDesc("tinarch_cell_engines", "Engines by state, in cells led here.", []string{"cell", "state"}, nil)
)

// cellCollector collects the metrics of the cells that this node leads.
type cellCollector struct{ node *Node }

// Describe implements prometheus.Collector.
func (c *cellCollector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- waitingDescription
	descriptions <- inFlightDescription
	descriptions <- enginesDescription
}

// Collect implements prometheus.Collector.
func (c *cellCollector) Collect(metrics chan<- prometheus.Metric) {
	for name, service := range c.node.cellServices() {
		waiting, inFlight, leading := service.Load()
		if !leading {
			continue
		}
		for class, count := range waiting {
			metrics <- prometheus.MustNewConstMetric(waitingDescription, prometheus.GaugeValue, float64(count), name, class)
		}
		metrics <- prometheus.MustNewConstMetric(inFlightDescription, prometheus.GaugeValue, float64(inFlight), name)
		states := map[string]int{}
		for _, status := range service.EngineStatus() {
			states[status.GetState()]++
		}
		for state, count := range states {
			metrics <- prometheus.MustNewConstMetric(enginesDescription, prometheus.GaugeValue, float64(count), name, state)
		}
	}
}
