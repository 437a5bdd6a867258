package serving

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/routing"
	"github.com/tinarch/tinarch/internal/worker"
	"github.com/tinarch/tinarch/internal/workerconn"
)

// workerCalls makes calls to workers that aren't requests of callers, such as orders and state
// requests. A rate-limited worker counts these too, and its answers may state its limit.
type workerCalls struct{ node *Node }

func (n *Node) calls() workerCalls { return workerCalls{node: n} }

// Do calls workerconn.Pool.Do, counts the call as a turn and records a limit stated in the
// answer.
func (c workerCalls) Do(ctx context.Context, key, address string, limit int, request *workerconn.Request) (*workerconn.Answer, error) {
	c.node.exchange.CountTurn(key)
	sent := time.Now()
	answer, err := c.node.pool.Do(ctx, key, address, limit, request)
	if err != nil {
		return nil, err
	}
	// An answer without a limit means nothing here: workers state it in answers to requests.
	reply := c.node.platform.Reply(answer.Status, answer.Header)
	if reply.HostSlowdown > 0 {
		c.node.registry.ObserveHostSlowdown(key, reply.HostSlowdown, time.Now())
	}
	if named := reply.Limit; named.Named {
		c.node.registry.ObserveLimit(key, request.Target, worker.LimitStatement{
			Named: true, Rate: named.PerSecond, Sent: sent, Heard: time.Now(),
		})
	}
	return answer, nil
}

// Intervals and limits for probing workers that have stated a limit and get no requests any
// more.
const (
	// probeEvery is how often to look for such workers.
	probeEvery = 500 * time.Millisecond
	// probeAfter is how long a worker must have stated nothing before it is probed. It doubles,
	// up to maxProbeAfter, each time a request shows that the limit still holds.
	probeAfter    = 2 * time.Second
	maxProbeAfter = 16 * time.Second
	// probeTimeout bounds one probe.
	probeTimeout = 500 * time.Millisecond
	// minProbedRate is the minimum rate, in requests per second, for a worker that stated no
	// limit when probed. Its answers to these requests tell whether it accepts more.
	minProbedRate = 1
	// probesInRow is how many probes without a request in between must find no limit until the
	// limit counts as ended.
	probesInRow = 3
)

// limitProbe is the state of the probes of one worker.
type limitProbe struct {
	// heard is when the worker answered the last probe, and inRow counts the probes since the
	// last request.
	heard time.Time
	inRow int
	after time.Duration
}

// probeLimits asks workers that have stated a limit and get no requests any more whether it
// still applies. Otherwise the limit of a worker that gets no requests would count forever.
func (n *Node) probeLimits(ctx context.Context) {
	probes := make(map[string]*limitProbe)
	ticker := time.NewTicker(probeEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		limited := make(map[string]bool)
		for _, id := range n.registry.LimitedWorkers() {
			limited[id] = true
			if n.exchange.IsFirstTurnKeeper(id) {
				n.probeLimit(ctx, id, probes)
			}
		}
		for id := range probes {
			if !limited[id] {
				delete(probes, id)
			}
		}
	}
}

// probeLimit probes a worker that has stated nothing for long enough. If the answer states no
// limit, it logs that the worker "names no limit".
func (n *Node) probeLimit(ctx context.Context, id string, probes map[string]*limitProbe) {
	stated, _, _ := n.registry.Limit(id)
	probe := probes[id]
	if probe == nil {
		probe = &limitProbe{after: probeAfter}
		probes[id] = probe
	}
	if time.Since(stated.Heard) < probe.after {
		return
	}
	if !stated.Heard.Equal(probe.heard) {
		if probe.inRow > 0 { // a request has stated the limit again
			probe.after = min(2*probe.after, maxProbeAfter)
		}
		probe.inRow = 0
	}
	sent := time.Now()
	named, answered := n.probeState(ctx, id)
	if !answered || named {
		return
	}
	probe.inRow++
	probe.heard = time.Now()
	found := worker.LimitStatement{Named: true, Rate: max(stated.Rate, minProbedRate), Sent: sent, Heard: probe.heard}
	if probe.inRow >= probesInRow {
		found = worker.LimitStatement{Sent: sent, Heard: probe.heard}
	}
	n.log.WithFields(logrus.Fields{"worker": id, "in_row": probe.inRow, "per_second": stated.Rate, "ended": !found.Named}).
		Info("a silent worker names no limit when it is asked")
	n.registry.ObserveLimit(id, "state", found)
}

// probeState asks a worker for its state. It reports whether the answer stated a limit, and
// whether there was an answer.
func (n *Node) probeState(ctx context.Context, id string) (named, answered bool) {
	target, listed := n.registry.Get(id)
	if !listed {
		return false, false
	}
	healthPath := ""
	if service := n.serviceOf(target); service != nil {
		healthPath = service.HealthPath
	}
	request := n.platform.StateRequest(target, healthPath)
	if request == nil {
		return false, false
	}
	callCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	answer, err := n.calls().Do(callCtx, id, target.Address, noConnectionLimit, request)
	if err != nil {
		n.log.WithFields(logrus.Fields{"worker": id, "cause": err.Error()}).Warn("a worker with a limit did not tell its state")
		return false, false
	}
	_ = workerconn.Discard(answer, maxCacheList)
	return n.platform.Reply(answer.Status, answer.Header).Limit.Named, true
}

// serviceOf returns the service of a worker, nil if the configuration has none of that name.
func (n *Node) serviceOf(of worker.Worker) *routing.Service {
	table := n.front.Table()
	if table == nil {
		return nil
	}
	return table.Services()[of.Service]
}
