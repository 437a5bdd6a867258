package serving

import (
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/worker"
	"github.com/tinarch/tinarch/internal/workerconn"
)

// noticeLogEvery is the least time between two lines on notices of one worker: a worker that
// is full may ask for another pause in each of its answers.
const noticeLogEvery = time.Second

// The labels of notices.
const (
	noticeDraining = "draining"
	noticeBackoff  = "backoff"
)

// notices takes in what workers say of whether they take further requests, in answers to
// whatever they were sent. It is the connections' monitor.
type notices struct {
	node      *Node
	changes   *prometheus.CounterVec
	malformed prometheus.Counter
	despite   *prometheus.CounterVec
	withheld  prometheus.Counter

	mu sync.Mutex
	// logged is when a line was written on a worker.
	logged map[string]time.Time
}

// watchNotices has notices of workers taken in, logged and counted.
func (n *Node) watchNotices(registry prometheus.Registerer) {
	w := &notices{
		node: n, logged: make(map[string]time.Time),
		changes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tinarch_worker_notices_total", Help: "Notices by which workers changed whether they take further requests.",
		}, []string{"notice"}),
		malformed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "tinarch_worker_notices_malformed_total", Help: "Notices of workers that can't be read.",
		}),
		despite: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tinarch_worker_requests_despite_notice_total", Help: "Requests of any kind sent to a worker that had said it takes none.",
		}, []string{"notice"}),
	}
	w.withheld = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "tinarch_worker_requests_withheld_total", Help: "Requests of any kind kept from a worker that takes none, after they were meant for it.",
	})
	registry.MustRegister(w.changes, w.malformed, w.despite, w.withheld,
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "tinarch_workers_announced_draining", Help: "Workers that have said in answers that they are about to end.",
		}, func() float64 { draining, _ := n.registry.CountAdvised(time.Now()); return float64(draining) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "tinarch_workers_backing_off", Help: "Workers that want nothing from this node now.",
		}, func() float64 { _, backingOff := n.registry.CountAdvised(time.Now()); return float64(backingOff) }))
	n.pool.SetMonitor(w)
}

// Admit implements workerconn.Monitor.
func (w *notices) Admit(key string, request *workerconn.Request) error {
	now := time.Now()
	err := w.node.registry.Admits(key, now)
	if err == nil {
		return nil
	}
	w.withheld.Inc()
	w.logRequest(key, request, now).WithField("cause", err.Error()).Info("kept from a worker that takes no requests")
	return err
}

// Sending implements workerconn.Monitor.
func (w *notices) Sending(key string, request *workerconn.Request) {
	now := time.Now()
	advisory := w.node.registry.Advisory(key)
	if advisory.Over(now) {
		return
	}
	if advisory.Draining(now) {
		w.despite.WithLabelValues(noticeDraining).Inc()
	}
	if advisory.BacksOff(now) {
		w.despite.WithLabelValues(noticeBackoff).Inc()
	}
	w.logRequest(key, request, now).Warn("sent to a worker that had said it takes no requests")
}

// logRequest is the log with a request and the notices of its worker.
func (w *notices) logRequest(key string, request *workerconn.Request, now time.Time) *logrus.Entry {
	advisory := w.node.registry.Advisory(key)
	return w.node.log.WithFields(logrus.Fields{
		"id": request.ID, "method": request.Method, "worker": key,
		"draining_for_ms": sinceMillis(advisory.DrainingSince, now), "backoff_ms": advisory.BackoffLeft(now).Milliseconds(),
	})
}

// sinceMillis is the time since a moment in milliseconds, zero where it never was.
func sinceMillis(moment, now time.Time) int64 {
	if moment.IsZero() {
		return 0
	}
	return now.Sub(moment).Milliseconds()
}

// Answered implements workerconn.Monitor.
func (w *notices) Answered(key string, request *workerconn.Request, status int, header http.Header) {
	said := w.node.platform.Notice(status, header)
	now := time.Now()
	if said.Malformed != "" {
		w.malformed.Inc()
		if w.due(key, now) {
			w.node.log.WithFields(logrus.Fields{"id": request.ID, "worker": key, "status": status, "notice": said.Malformed}).
				Warn("a notice of a worker can't be read; what it said before holds")
		}
	}
	if said == (worker.Notice{Malformed: said.Malformed}) {
		return
	}
	if change, changed := w.node.registry.ObserveNotice(key, said, now); changed {
		w.changed(change, request, status, now)
	}
}

// changed counts and logs a change. A worker that asks for a longer pause while one holds is
// logged now and then.
func (w *notices) changed(change worker.NoticeChange, request *workerconn.Request, status int, now time.Time) {
	drains := change.After.DrainingSince != change.Before.DrainingSince
	if drains {
		w.changes.WithLabelValues(noticeDraining).Inc()
	}
	if change.After.BackoffUntil != change.Before.BackoffUntil {
		w.changes.WithLabelValues(noticeBackoff).Inc()
	}
	if !w.due(change.Worker.ID, now) && !drains {
		return
	}
	w.node.log.WithFields(logrus.Fields{
		"id": request.ID, "worker": change.Worker.ID, "service": change.Worker.Service, "status": status,
		"draining": change.After.Draining(now), "backoff_ms": change.After.BackoffLeft(now).Milliseconds(),
		"listed": change.Listed, "entry_draining": change.EntryDraining,
		"workers_age_ms": w.node.knowledge().WorkersAge.Milliseconds(),
	}).Info("worker notice")
}

// due reports whether a line on a worker may be written.
func (w *notices) due(id string, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for other, at := range w.logged {
		if now.Sub(at) >= noticeLogEvery {
			delete(w.logged, other)
		}
	}
	if _, recent := w.logged[id]; recent {
		return false
	}
	w.logged[id] = now
	return true
}
