package serving

import (
	"context"
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/routing"
	"github.com/tinarch/tinarch/internal/worker"
	"github.com/tinarch/tinarch/internal/workerconn"
)

// workerCalls are the calls to workers that aren't requests of callers: orders and questions.
// A worker that takes no more than so many requests counts them too, and their answers may name
// its limit.
type workerCalls struct{ node *Node }

func (n *Node) calls() workerCalls { return workerCalls{node: n} }

// Do is workerconn.Pool.Do.
func (c workerCalls) Do(ctx context.Context, key, address string, limit int, request *workerconn.Request) (*workerconn.Answer, error) {
	c.node.exchange.CountTurn(key)
	sent := time.Now()
	answer, err := c.node.pool.Do(ctx, key, address, limit, request)
	if err != nil {
		return nil, err
	}
	// One that names no limit says nothing: workers name it in answers to requests.
	if named := c.node.platform.Reply(answer.Status, answer.Header).Limit; named.Named {
		c.node.registry.ObserveLimit(key, request.Target, worker.LimitStatement{
			Named: true, Rate: named.PerSecond, Sent: sent, Heard: time.Now(),
		})
	}
	return answer, nil
}

// The figures of questions to workers that have named a limit and say nothing more.
const (
	// probeEvery is the time between two looks for such workers.
	probeEvery = 500 * time.Millisecond
	// probeAfter is how long a worker has been silent that is asked; it doubles each time that
	// the worker turned out to be in need still, up to maxProbeAfter.
	probeAfter    = 2 * time.Second
	maxProbeAfter = 16 * time.Second
	// probeTimeout bounds one question.
	probeTimeout = 500 * time.Millisecond
	// minProbedRate are the requests a second that a worker gets at least which named no limit when
	// it was asked: their answers tell whether it takes more.
	minProbedRate = 1
	// probesInRow is how many questions in a row name no limit, with no request in between,
	// until it counts as ended.
	probesInRow = 3
)

// limitProbe is what is remembered of the questions to a worker.
type limitProbe struct {
	// heard is when the worker answered the last one, and inRow counts those without a request
	// in between.
	heard time.Time
	inRow int
	after time.Duration
}

// probeLimits asks workers that have named a limit and get no request any more whether it still
// holds: what nobody wants would else count for ever.
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

// probeLimit asks a worker, if it was silent for long enough.
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
		if probe.inRow > 0 { // a request named the limit again
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

// probeState asks a worker how it is, and reports whether it named a limit, and whether it
// answered at all.
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
	_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, maxCacheList)) // so that the connection is kept
	_ = answer.Body.Close()
	return n.platform.Reply(answer.Status, answer.Header).Limit.Named, true
}

// serviceOf is the service of a worker, nil where the configuration has none of that name.
func (n *Node) serviceOf(of worker.Worker) *routing.Service {
	table := n.front.Table()
	if table == nil {
		return nil
	}
	return table.Services()[of.Service]
}
