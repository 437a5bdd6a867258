package serving

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/tinarch/tinarch/internal/settings"
	"github.com/tinarch/tinarch/internal/usage"
)

// setUpUsage creates the tally of this node's requests if the platform wants usage reports.
func (n *Node) setUpUsage() {
	if !n.settings.API.HasDuty(settings.DutyUsageReport) {
		return
	}
	n.tally = usage.NewTally(seconds(n.settings.Usage.WindowSeconds))
	n.collector = usage.NewCollector()
	n.exchange.SetUsage(n.tally, n.collector)
}

func seconds(count float64) time.Duration { return time.Duration(count * float64(time.Second)) }

// startUsageReporter starts the reporter, and the writing to the store of usage that no
// supervisor has acknowledged.
func (n *Node) startUsageReporter(ctx context.Context, metrics *prometheus.Registry) {
	if n.tally == nil {
		return
	}
	reporter := usage.NewReporter(usage.Options{
		Node: n.settings.Node.Name, Incarnation: n.incarnation, Late: seconds(n.settings.Usage.LateSeconds),
		Tally: n.tally, Collector: n.collector, Authority: n.authority,
		Store: n.platform, API: n.api, Fleet: n.exchange,
		Designated: n.Designated, Log: n.log, Metrics: usage.NewMetrics(metrics),
	})
	n.work.Go(func() { reporter.Run(ctx) })
	n.work.Go(func() { n.exchange.StoreUnacknowledgedUsage(ctx, n.settings.Node.Name, n.platform) })
}
