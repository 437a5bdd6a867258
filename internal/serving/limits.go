package serving

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/quota"
	"github.com/tinarch/tinarch/internal/worker"
)

// limitLogEvery is the least time between two lines on one worker's limit: a worker may name
// another one in each of its answers.
const limitLogEvery = time.Second

// limitLogLife is how long changes without a line are remembered of a worker that names no other.
const limitLogLife = time.Minute

// turnTolerance is what a worker that names a limit bears beyond it: half as much again in four
// seconds, and five requests. Nodes aim at the limit itself; this pays for what they send while
// they can't hear each other. Nobody waits for a turn for longer than Ahead.
var turnTolerance = quota.Tolerance{Window: 4 * time.Second, Overshoot: 0.5, Slack: 5, Ahead: 4 * time.Second}

// limitLog logs and counts what workers say of the requests that they take.
type limitLog struct {
	log     *logrus.Logger
	changes *prometheus.CounterVec

	mu     sync.Mutex
	logged map[string]limitLogEntry
}

// limitLogEntry is when a line was written on a worker, and how many changes had none since.
type limitLogEntry struct {
	at         time.Time
	passedOver int
}

// The labels of changes.
const (
	limitNamed   = "named"
	limitChanged = "changed"
	limitEnded   = "ended"
)

// watchLimits has the changes of workers' limits logged and counted.
func (n *Node) watchLimits(registry prometheus.Registerer) {
	l := &limitLog{
		log: n.log, logged: make(map[string]limitLogEntry),
		changes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tinarch_worker_limit_changes_total", Help: "Changes of what workers take in a second, as this node learned them.",
		}, []string{"change"}),
	}
	registry.MustRegister(l.changes, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "tinarch_limited_workers", Help: "Workers that take no more than so many requests a second now.",
	}, func() float64 { return float64(n.registry.CountLimited()) }))
	n.registry.OnLimitChange(l.changed)
	n.exchange.SetTurns(turnTolerance)
}

// changed records one change.
func (l *limitLog) changed(change worker.LimitChange) {
	label := limitChanged
	switch {
	case !change.Before.Named:
		label = limitNamed
	case !change.After.Named:
		label = limitEnded
	}
	l.changes.WithLabelValues(label).Inc()
	now := time.Now()
	before, due := l.due(change.Worker, now)
	if !due {
		return
	}
	l.log.WithFields(logrus.Fields{
		"worker": change.Worker, "service": change.Service, "change": label, "source": change.Source,
		"per_second": change.After.Rate, "per_second_before": change.Before.Rate,
		"said_ms_ago": now.Sub(change.After.Heard).Milliseconds(), "passed_over": before,
	}).Info("worker limit")
}

// due reports whether a line on a worker may be written, and how many changes had none since
// the last.
func (l *limitLog) due(id string, now time.Time) (passedOver int, due bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.logged[id]
	if now.Sub(before.at) < limitLogEvery {
		before.passedOver++
		l.logged[id] = before
		return 0, false
	}
	l.prune(now)
	l.logged[id] = limitLogEntry{at: now}
	return before.passedOver, true
}

// prune drops the workers on which there is nothing more to say, and those that have named
// nothing for long: they may have ended.
func (l *limitLog) prune(now time.Time) {
	for id, last := range l.logged {
		age := now.Sub(last.at)
		if age >= limitLogEvery && last.passedOver == 0 || age >= limitLogLife {
			delete(l.logged, id)
		}
	}
}
