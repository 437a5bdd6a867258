package serving

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/tinarch/tinarch/internal/rowstore"
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
