package serving

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/tinarch/tinarch/internal/dispatch"
	"github.com/tinarch/tinarch/internal/tunnel"
)

// Intervals and limits of the checks of lost links.
const (
	linkCheckInterval = 250 * time.Millisecond
	// maxLinkChecks bounds the links that are checked at once, so that a node which has lost its
	// links to thousands of workers doesn't try them all at the same time.
	maxLinkChecks = 8
	// linkPruneInterval is the time between two removals of links to workers that are gone.
	linkPruneInterval = time.Minute
)

// setUpLinks makes this node track its links to the workers, use tunnels through other nodes where
// they are lost, and open such tunnels for the others.
func (n *Node) setUpLinks(metrics *prometheus.Registry) {
	n.pool.SetLinks(n.links)
	if outbound := n.settings.Listen.Outbound; outbound != "" {
		n.pool.SetSource(net.ParseIP(outbound))
	}
	n.tunnels = tunnel.NewServer(tunnelWorkers{n}, n.exchange.IsNode, n.log)
	n.pool.SetTunnels(tunnel.NewClient(n.incarnation, n.exchange, n.pool.Dial, n.log))
	n.exchange.SetConnects(n.connectsForOthers, n.links.Isolated)
	n.registerLinkMetrics(metrics)
}

// connectsForOthers reports whether other nodes may open tunnels through this one. A node that has lost
// most of its links may still reach a worker that others don't.
func (n *Node) connectsForOthers() bool {
	return !n.front.Stopping() && n.workersKnown.Load() && !n.links.ReachesNone()
}

// exchangeHandler serves the other nodes.
func (n *Node) exchangeHandler() http.Handler {
	router := chi.NewRouter()
	n.tables.Register(router)
	n.tunnels.Register(router)
	return router
}

// tunnelWorkers is the workers as the tunnels of other nodes reach them.
type tunnelWorkers struct{ node *Node }

// Address implements tunnel.Workers.
func (w tunnelWorkers) Address(id string) (string, bool) {
	return w.node.registry.Address(id)
}

// LinkLost implements tunnel.Workers.
func (w tunnelWorkers) LinkLost(id string) bool { return w.node.links.IsLost(id) }

// Dial implements tunnel.Workers.
func (w tunnelWorkers) Dial(ctx context.Context, address string) (net.Conn, error) {
	return w.node.pool.Dial(ctx, address)
}

// Lend implements tunnel.Workers.
func (w tunnelWorkers) Lend(ctx context.Context, id, address string) (net.Conn, error) {
	return w.node.pool.Lend(ctx, id, address, w.node.connectionShare(id))
}

// connectionShare is this node's share of the connections to a worker, zero for no limit.
func (n *Node) connectionShare(id string) int {
	known, listed := n.registry.Get(id)
	table := n.front.Table()
	if !listed || table == nil || table.Services()[known.Service] == nil {
		return 0
	}
	return dispatch.ConnectionShare(table.Services()[known.Service].MaxConnections, n.exchange.Nodes())
}

// checkLinks checks lost links until ctx ends.
func (n *Node) checkLinks(ctx context.Context) {
	checks, prunes := time.NewTicker(linkCheckInterval), time.NewTicker(linkPruneInterval)
	defer checks.Stop()
	defer prunes.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-prunes.C:
			n.links.Prune(func(id string) bool { _, known := n.registry.Address(id); return known })
		case <-checks.C:
			for _, id := range n.links.Due(time.Now(), maxLinkChecks) {
				if address, known := n.registry.Address(id); known {
					go n.pool.CheckLink(id, address)
				} else {
					n.links.Forget(id)
				}
			}
		}
	}
}

// linkMetrics collects, by service, how many workers this node doesn't reach by connections of its
// own, and how many of these links are lost because another node reaches the worker.
type linkMetrics struct {
	node            *Node
	unreached, lost *prometheus.Desc
}

func (n *Node) registerLinkMetrics(metrics prometheus.Registerer) {
	labels := []string{"service"}
	metrics.MustRegister(&linkMetrics{
		node:      n,
		unreached: prometheus.NewDesc("tinarch_workers_unreached", "Workers to which this node's last attempts to connect failed, by service.", labels, nil),
		lost:      prometheus.NewDesc("tinarch_worker_links_lost", "Workers that other nodes reach and this one doesn't, by service.", labels, nil),
	})
	metrics.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "tinarch_tunnels", Help: "Connections to workers that this node holds open for other nodes.",
	}, func() float64 { return float64(n.tunnels.Open()) }))
	metrics.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "tinarch_tunnels_opened_total", Help: "Connections to workers that this node has opened for other nodes.",
	}, func() float64 { return float64(n.tunnels.Opened()) }))
}

// Describe implements prometheus.Collector.
func (m *linkMetrics) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- m.unreached
	descriptions <- m.lost
}

// Collect implements prometheus.Collector.
func (m *linkMetrics) Collect(metrics chan<- prometheus.Metric) {
	m.collect(metrics, m.unreached, m.node.links.Unreached())
	m.collect(metrics, m.lost, m.node.links.Lost())
}

// collect counts workers by service. All services in force have a figure.
func (m *linkMetrics) collect(metrics chan<- prometheus.Metric, description *prometheus.Desc, workers []string) {
	counts := make(map[string]int)
	for _, service := range m.node.servicesByName() {
		counts[service.Name] = 0
	}
	for _, id := range workers {
		if known, listed := m.node.registry.Get(id); listed {
			counts[known.Service]++
		}
	}
	for service, count := range counts {
		metrics <- prometheus.MustNewConstMetric(description, prometheus.GaugeValue, float64(count), service)
	}
}
