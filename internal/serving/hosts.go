package serving

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/worker"
	"github.com/tinarch/tinarch/internal/workerconn"
)

const (
	// hostProbeEvery is how often to look for engines whose hosts are to be asked.
	hostProbeEvery = 50 * time.Millisecond
	// hostProbeTimeout bounds one question. A later answer describes the past.
	hostProbeTimeout = 250 * time.Millisecond
)

// probeHosts asks engines of uneven services that state nothing in their answers how much
// slower than usual their hosts are. The first reachable home of an engine asks, and tells the
// other nodes.
func (n *Node) probeHosts(ctx context.Context) {
	ticker := time.NewTicker(hostProbeEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		var probes sync.WaitGroup
		slots := make(chan struct{}, slowdownCalls)
		for _, silent := range n.registry.SilentHosts(time.Now()) {
			if !n.exchange.IsFirstTurnKeeper(silent.ID) {
				continue
			}
			n.registry.RecordHostAsked(silent.ID, time.Now())
			slots <- struct{}{}
			probes.Go(func() {
				n.probeHost(ctx, silent)
				<-slots
			})
		}
		probes.Wait()
	}
}

// probeHost asks one engine. The answer is recorded as that of any other call.
func (n *Node) probeHost(ctx context.Context, target worker.Worker) {
	healthPath := ""
	if service := n.serviceOf(target); service != nil {
		healthPath = service.HealthPath
	}
	request := n.platform.HealthRequest(target, healthPath)
	if request == nil {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, hostProbeTimeout)
	defer cancel()
	answer, err := n.calls().Do(callCtx, target.ID, target.Address, noConnectionLimit, request)
	if err != nil {
		n.log.WithFields(logrus.Fields{"worker": target.ID, "cause": err.Error()}).Debug("an engine did not tell its host's slowdown")
		return
	}
	_ = workerconn.Discard(answer, maxCacheList)
}

// registerHostMetrics registers counters of what workers have stated about their hosts.
func (n *Node) registerHostMetrics(registry prometheus.Registerer) {
	for source, count := range map[string]func() uint64{
		"worker": func() uint64 { return n.registry.HostStatementCounts().Own },
		"node":   func() uint64 { return n.registry.HostStatementCounts().Told },
	} {
		registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "tinarch_host_statements_total", Help: "Statements of how much slower than usual a worker's host is, by who told them.",
			ConstLabels: prometheus.Labels{"source": source},
		}, func() float64 { return float64(count()) }))
	}
}
