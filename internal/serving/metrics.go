package serving

import (
	"math"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/tinarch/tinarch/internal/rowstore"
	"github.com/tinarch/tinarch/internal/tablefeed"
)

// countCalls counts the calls to the platform's store and their bytes, by kind and table:
// each is paid for, and what all nodes ask for themselves grows with the fleet.
func countCalls(platform Platform, registry prometheus.Registerer) {
	labels := []string{"call", "table"}
	calls := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "tinarch_store_calls_total", Help: "Calls to the platform's store, by kind, table and whether they were answered.",
	}, append(labels, "answered"))
	bytes := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "tinarch_store_bytes_total", Help: "Bytes sent to and received from the platform's store, by kind and table.",
	}, labels)
	registry.MustRegister(calls, bytes)
	platform.ObserveCalls(func(call rowstore.Call) {
		calls.WithLabelValues(string(call.Kind), call.Table, answered(call.Answered)).Inc()
		bytes.WithLabelValues(string(call.Kind), call.Table).Add(float64(call.Sent + call.Received))
	})
}

func answered(yes bool) string {
	if yes {
		return "yes"
	}
	return "no"
}

// watchTables serves the version of the configuration in force, and how old what this node
// knows of each table is.
func (n *Node) watchTables(registry prometheus.Registerer) {
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "tinarch_configuration_version", Help: "Version of the configuration in force, zero before the first.",
	}, func() float64 { return float64(n.RoutesVersion()) }))
	for table, feed := range map[string]*tablefeed.Feed{
		n.platform.ConfigurationTable(): n.configurationFeed, n.platform.WorkerTable(): n.workersFeed,
		nodesTable: n.nodesFeed, quarantineTable: n.quarantineFeed,
	} {
		labels := prometheus.Labels{"table": table}
		registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "tinarch_table_age_seconds", Help: "Time since the store confirmed, to any node, what this one holds of a table.", ConstLabels: labels,
		}, func() float64 { return tableAge(feed, time.Now()) }))
		registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "tinarch_table_behind_seconds", Help: "Time since this node heard of a change of a table that it doesn't hold, zero where it lacks none.", ConstLabels: labels,
		}, func() float64 { return n.tableBehind(table, time.Now()).Seconds() }))
	}
}

// tableAge is in seconds, infinite before the first confirmation.
func tableAge(feed *tablefeed.Feed, now time.Time) float64 {
	word, _ := feed.Word()
	if word.At.IsZero() {
		return math.Inf(1)
	}
	return now.Sub(word.At).Seconds()
}

// tableBehind is the time since this node heard of a change of a table that it doesn't hold.
func (n *Node) tableBehind(table string, now time.Time) time.Duration {
	lag, behind := n.board.Lag(table)
	if !behind {
		return 0
	}
	return now.Sub(lag.Since)
}
