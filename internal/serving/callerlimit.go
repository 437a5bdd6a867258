package serving

import (
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sys/unix"

	"github.com/tinarch/tinarch/internal/connlimit"
)

const (
	// defaultDescriptors is assumed where neither the settings nor the system tell a limit.
	defaultDescriptors = 1024
	// callerDescriptors is the part of the descriptors, in tenths, that callers may take. The others
	// are for workers, tunnels, other nodes and the store.
	callerDescriptors = 6
)

// setUpCallerLimit bounds the connections of callers by the descriptors of this process.
func (n *Node) setUpCallerLimit(metrics prometheus.Registerer) {
	descriptors := n.settings.Limits.Descriptors
	if descriptors == 0 {
		descriptors = systemDescriptors()
	}
	n.callerLimit = connlimit.New(max(descriptors*callerDescriptors/10, 1))
	metrics.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "tinarch_caller_connections", Help: "Open connections of callers.",
	}, func() float64 { return float64(n.callerLimit.Open()) }))
	metrics.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "tinarch_caller_connections_refused_total", Help: "Connections of callers that were reset unread, since this node has as many as it bears.",
	}, func() float64 { return float64(n.callerLimit.Refused()) }))
}

// systemDescriptors returns the system's limit of descriptors for this process.
func systemDescriptors() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur == 0 {
		return defaultDescriptors
	}
	return int(min(limit.Cur, 1<<20))
}
