// Package notices records what workers announce in the headers of their answers about whether
// they accept further requests (notices), and keeps requests from workers that accept none.
package notices

import (
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/worker"
	"github.com/tinarch/tinarch/internal/workerconn"
)

// logEvery is the minimum time between two log lines about notices of one worker. An overloaded
// worker may ask for a new pause in each of its answers.
const logEvery = time.Second

// These are the values of the metric label notice.
const (
	labelDraining = "draining"
	labelBackoff  = "backoff"
)

// Options configures a Monitor.
type Options struct {
	Registry *worker.Registry
	// Read returns the notice in the status and header of an answer.
	Read func(status int, header http.Header) worker.Notice
	// ListAge returns the age of this node's copy of the worker list, which is logged.
	ListAge func() time.Duration
	Log     *logrus.Logger
	Metrics prometheus.Registerer
}

// Monitor implements workerconn.Monitor. It is safe for concurrent use.
type Monitor struct {
	options Options
	changes *prometheus.CounterVec
	// malformed counts the notices that cannot be parsed, and sentDespiteNotice the requests
	// that were sent to a worker that was draining or backing off.
	malformed         prometheus.Counter
	sentDespiteNotice *prometheus.CounterVec
	// withheld counts the requests that were assigned to a worker and not sent, because the
	// worker is draining, backing off or no longer listed.
	withheld prometheus.Counter

	mu sync.Mutex
	// logged is when the last line about a worker was logged.
	logged map[string]time.Time
}

// New returns a monitor.
func New(options Options) *Monitor {
	m := &Monitor{
		options: options, logged: make(map[string]time.Time),
		changes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tinarch_worker_notices_total", Help: "Notices by which workers changed whether they take further requests.",
		}, []string{"notice"}),
		malformed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "tinarch_worker_notices_malformed_total", Help: "Notices of workers that can't be read.",
		}),
		sentDespiteNotice: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tinarch_worker_requests_despite_notice_total", Help: "Requests of any kind sent to a worker that had said it takes none.",
		}, []string{"notice"}),
	}
	m.withheld = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "tinarch_worker_requests_withheld_total", Help: "Requests of any kind kept from a worker that takes none, after they were meant for it.",
	})
	options.Metrics.MustRegister(m.changes, m.malformed, m.sentDespiteNotice, m.withheld,
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "tinarch_workers_announced_draining", Help: "Workers that have said in answers that they are about to end.",
		}, func() float64 {
			draining, _ := options.Registry.CountNoticeStates(time.Now())
			return float64(draining)
		}),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "tinarch_workers_backing_off", Help: "Workers that want nothing from this node now.",
		}, func() float64 {
			_, backingOff := options.Registry.CountNoticeStates(time.Now())
			return float64(backingOff)
		}))
	return m
}

// Admit implements workerconn.Monitor. A request that is kept from a worker was assigned to it
// before the worker's notice came or its entry disappeared.
func (m *Monitor) Admit(key string, request *workerconn.Request) error {
	now := time.Now()
	var err error
	if request.ID == "" {
		err = m.options.Registry.Admit(key, now)
	} else {
		err = m.options.Registry.AdmitCall(key, request.Continues, now)
	}
	if err == nil {
		return nil
	}
	m.withheld.Inc()
	m.logRequest(key, request, now).WithField("cause", err.Error()).Info("kept from a worker that takes no requests")
	return err
}

// Sending implements workerconn.Monitor.
func (m *Monitor) Sending(key string, request *workerconn.Request) {
	now := time.Now()
	state := m.options.Registry.NoticeState(key)
	if state.Expired(now) {
		return
	}
	if state.Draining(now) {
		m.sentDespiteNotice.WithLabelValues(labelDraining).Inc()
	}
	if state.BackingOff(now) {
		m.sentDespiteNotice.WithLabelValues(labelBackoff).Inc()
	}
	m.logRequest(key, request, now).Warn("sent to a worker that had said it takes no requests")
}

// logRequest returns a log entry with the fields of a request and the notice state of its
// worker.
func (m *Monitor) logRequest(key string, request *workerconn.Request, now time.Time) *logrus.Entry {
	state := m.options.Registry.NoticeState(key)
	return m.options.Log.WithFields(logrus.Fields{
		"id": request.ID, "method": request.Method, "worker": key,
		"draining_for_ms": sinceMillis(state.DrainingSince, now), "backoff_ms": state.BackoffRemaining(now).Milliseconds(),
	})
}

// sinceMillis returns the milliseconds since a moment, zero if the moment is zero.
func sinceMillis(moment, now time.Time) int64 {
	if moment.IsZero() {
		return 0
	}
	return now.Sub(moment).Milliseconds()
}

// Answered implements workerconn.Monitor. A notice that cannot be parsed is ignored: what the
// worker has announced before stays in effect.
func (m *Monitor) Answered(key string, request *workerconn.Request, status int, header http.Header) {
	notice := m.options.Read(status, header)
	now := time.Now()
	if notice.Malformed != "" {
		m.malformed.Inc()
		if m.shouldLog(key, now) {
			m.options.Log.WithFields(logrus.Fields{"id": request.ID, "worker": key, "status": status, "notice": notice.Malformed}).
				Warn("a notice of a worker can't be read; what it said before holds")
		}
	}
	if notice == (worker.Notice{Malformed: notice.Malformed}) {
		return
	}
	if change, changed := m.options.Registry.ObserveNotice(key, notice, now); changed {
		m.recordChange(change, request, status, now)
	}
}

// recordChange counts and logs a change. An announcement that the worker drains is always
// logged; changes of its pause are limited to one line per logEvery.
func (m *Monitor) recordChange(change worker.NoticeChange, request *workerconn.Request, status int, now time.Time) {
	draining := change.After.DrainingSince != change.Before.DrainingSince
	if draining {
		m.changes.WithLabelValues(labelDraining).Inc()
	}
	if change.After.BackoffUntil != change.Before.BackoffUntil {
		m.changes.WithLabelValues(labelBackoff).Inc()
	}
	if !m.shouldLog(change.Worker.ID, now) && !draining {
		return
	}
	m.options.Log.WithFields(logrus.Fields{
		"id": request.ID, "worker": change.Worker.ID, "service": change.Worker.Service, "status": status,
		"draining": change.After.Draining(now), "backoff_ms": change.After.BackoffRemaining(now).Milliseconds(),
		"listed": change.Listed, "entry_draining": change.EntryDraining,
		"workers_age_ms": m.options.ListAge().Milliseconds(),
	}).Info("worker notice")
}

// shouldLog reports whether a line about a worker may be logged now.
func (m *Monitor) shouldLog(id string, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for other, at := range m.logged {
		if now.Sub(at) >= logEvery {
			delete(m.logged, other)
		}
	}
	if _, recent := m.logged[id]; recent {
		return false
	}
	m.logged[id] = now
	return true
}
