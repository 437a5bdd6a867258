package serving

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/quota"
	"github.com/tinarch/tinarch/internal/worker"
)

// limitLogEvery is the minimum time between two log lines about the limit of one worker, since
// a worker may state a different limit in each answer.
const limitLogEvery = time.Second

// limitLogLife is how long unlogged changes of a worker are remembered if its limit doesn't
// change again.
const limitLogLife = time.Minute

// turnTolerance is how much a worker that states a limit tolerates beyond it: half as much
// again within four seconds, plus five requests. Nodes aim for the limit itself; the tolerance
// covers what they send while they can't reach each other. No request waits for a turn for
// longer than Ahead.
var turnTolerance = quota.Tolerance{Window: 4 * time.Second, Overshoot: 0.5, Slack: 5, Ahead: 4 * time.Second}

// limitLog logs and counts changes of the limits that workers state. A stated limit is a number
// of requests per second; names and texts call it named. In the log, said_ms_ago is the time
// since this node received the statement, and passed_over is the number of changes that were
// not logged since the last line.
type limitLog struct {
	log     *logrus.Logger
	changes *prometheus.CounterVec

	mu     sync.Mutex
	logged map[string]limitLogEntry
}

// limitLogEntry is when a worker's limit was last logged, and how many changes were not logged
// since.
type limitLogEntry struct {
	at         time.Time
	passedOver int
}

// The values of the label "change".
const (
	limitNamed   = "named"
	limitChanged = "changed"
	limitEnded   = "ended"
)

// watchLimits sets up the logging and counting of changes of workers' limits. The metrics count
// the changes that this node learned of and the workers that state a limit now.
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

// due reports whether a change of a worker's limit may be logged, and how many changes were not
// logged since the last line.
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

// prune removes workers that have no unlogged changes, and workers whose limit has not changed
// for long, which may have ended.
func (l *limitLog) prune(now time.Time) {
	for id, last := range l.logged {
		age := now.Sub(last.at)
		if age >= limitLogEvery && last.passedOver == 0 || age >= limitLogLife {
			delete(l.logged, id)
		}
	}
}
