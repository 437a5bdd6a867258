package serving

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/rowstore"
	"github.com/tinarch/tinarch/internal/tablefeed"
)

// countCalls counts the calls to the platform's store and their bytes by kind and table. Each
// call is paid for, and the calls that all nodes make for themselves grow with the fleet. The
// label answered is "yes" for calls that succeeded, and "no" for all others, answered or not.
// The era (tinarch_store_era) is the number of the store's history, which increases when the
// store is restored from a backup.
func countCalls(platform Platform, registry prometheus.Registerer, log *logrus.Logger) {
	labels := []string{"call", "table"}
	calls := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "tinarch_store_calls_total", Help: "Calls to the platform's store, by kind, table and whether they were answered.",
	}, append(labels, "answered"))
	bytes := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "tinarch_store_bytes_total", Help: "Bytes sent to and received from the platform's store, by kind and table.",
	}, labels)
	era := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "tinarch_store_era", Help: "Newest history of the platform's store that an answer was of: it rises when the store comes back from a copy.",
	}, func() float64 { return float64(platform.Era()) })
	registry.MustRegister(calls, bytes, era)
	var known atomic.Uint64
	platform.ObserveCalls(func(call rowstore.Call) {
		logRestored(platform.Era(), &known, log)
		calls.WithLabelValues(string(call.Kind), call.Table, answeredLabel(call.Succeeded)).Inc()
		bytes.WithLabelValues(string(call.Kind), call.Table).Add(float64(call.Sent + call.Received))
	})
}

// logRestored logs once when the store answers from a later era than known before, that is,
// after it was restored from a backup.
func logRestored(era uint64, known *atomic.Uint64, log *logrus.Logger) {
	before := known.Load()
	if era > before && known.CompareAndSwap(before, era) {
		log.WithFields(logrus.Fields{"era": era, "before": before}).Warn("the store answers from another history")
	}
}

func answeredLabel(yes bool) string {
	if yes {
		return "yes"
	}
	return "no"
}

// registerTableMetrics registers metrics for the version of the configuration in force and the
// age of this node's copy of each table.
func (n *Node) registerTableMetrics(registry prometheus.Registerer) {
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

// tableAge returns the age of a table in seconds, infinite before the first confirmation.
func tableAge(feed *tablefeed.Feed, now time.Time) float64 {
	word, _ := feed.Confirmation()
	if word.At.IsZero() {
		return math.Inf(1)
	}
	return now.Sub(word.At).Seconds()
}

// tableBehind returns the time since this node heard of a change of a table that it doesn't
// hold yet, zero if it lacks none.
func (n *Node) tableBehind(table string, now time.Time) time.Duration {
	lag, behind := n.coordinator.Lag(table)
	if !behind {
		return 0
	}
	return now.Sub(lag.Since)
}
