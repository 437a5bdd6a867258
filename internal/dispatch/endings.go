package dispatch

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/quarantine"
	"github.com/tinarch/tinarch/internal/scheduling"
	"github.com/tinarch/tinarch/internal/worker"
	"github.com/tinarch/tinarch/internal/workerconn"
)

// The figures of looks at workers whose answers broke off.
const (
	// lookPatience is for how long a request waits to learn whether its worker has ended
	// before it goes on elsewhere: the way to another region and back is 24 ms, and the
	// shortest objective of a first byte 300 ms.
	lookPatience = 30 * time.Millisecond
	// lookLife is how long a look at a worker that hasn't ended serves others whose answers
	// broke off there: all that a worker ran break off within some milliseconds.
	lookLife = 100 * time.Millisecond
	// maxLooks bounds the looks that are remembered.
	maxLooks = 1000
)

// look is one look at a worker.
type look struct {
	begun time.Time
	// done is closed once liveness is known.
	done     chan struct{}
	liveness workerconn.Liveness
}

// isDone reports whether it is known what the look showed, and isDead whether that is an
// end.
func (l *look) isDone() bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}

func (l *look) isDead() bool { return l.isDone() && l.liveness == workerconn.Dead }

// serves reports whether a look tells of a worker at a time: one that has ended does not
// come back under the same id.
func (l *look) serves(now time.Time) bool {
	return !l.isDone() || l.isDead() || now.Sub(l.begun) < lookLife
}

// run is a request that a worker was given.
type run struct {
	request quarantine.Fingerprint
	// suspected tells that workers had ended under it before.
	suspected bool
	// answering tells that the worker has begun to answer.
	answering atomic.Bool
}

// endings knows what this node runs at each worker, and finds out which of those whose
// answers broke off have ended. It is safe for concurrent use.
type endings struct {
	probe func(ctx context.Context, address string) workerconn.Liveness
	// drains reports whether a worker is known to end as planned.
	drains     func(worker string) bool
	quarantine Quarantine
	log        *logrus.Logger
	metrics    *Metrics

	mu      sync.Mutex
	running map[string]map[*run]struct{}
	looks   map[string]*look
}

func newEndings(drains func(worker string) bool, quarantined Quarantine, log *logrus.Logger, metrics *Metrics) *endings {
	return &endings{
		probe: workerconn.Probe, drains: drains, quarantine: quarantined, log: log, metrics: metrics,
		running: make(map[string]map[*run]struct{}), looks: make(map[string]*look),
	}
}

// begin records that a worker is given a request, and end that it isn't any more.
func (e *endings) begin(worker string, request quarantine.Fingerprint, suspected bool) *run {
	begun := &run{request: request, suspected: suspected}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running[worker] == nil {
		e.running[worker] = make(map[*run]struct{})
	}
	e.running[worker][begun] = struct{}{}
	return begun
}

func (e *endings) end(worker string, ended *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.running[worker], ended)
	if len(e.running[worker]) == 0 {
		delete(e.running, worker)
	}
}

// suspects counts the suspected requests that a worker runs for this node.
func (e *endings) suspects(worker string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	count := 0
	for running := range e.running[worker] {
		if running.suspected {
			count++
		}
	}
	return count
}

// answered records that a worker has run a request to an end that it was given at a time. One
// that was taken for ended lives: its address may refuse a connection for other reasons. A
// worker that may start again under its name says nothing of before by a request that it was
// given after that.
func (e *endings) answered(id string, given, now time.Time) {
	e.mu.Lock()
	known, exists := e.looks[id]
	mistaken := exists && known.isDead() && (worker.BornOf(id) == 0 || given.Before(known.begun))
	if mistaken {
		delete(e.looks, id)
	}
	e.mu.Unlock()
	if mistaken {
		e.quarantine.Lives(id, now)
	}
}

// inspect tells whether a worker has ended whose answer broke off, as far as that is known
// within lookPatience. The worker is looked at once for all that it ran.
func (e *endings) inspect(worker scheduling.Candidate) workerconn.Liveness {
	seen := e.look(worker)
	timer := time.NewTimer(lookPatience)
	defer timer.Stop()
	select {
	case <-seen.done:
		return seen.liveness
	case <-timer.C:
		return workerconn.Unheard
	}
}

// look returns the look that serves, or begins one.
func (e *endings) look(worker scheduling.Candidate) *look {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if known, exists := e.looks[worker.ID]; exists && known.serves(now) {
		return known
	}
	e.forget()
	begun := &look{begun: now, done: make(chan struct{})}
	e.looks[worker.ID] = begun
	ran := slices.Collect(maps.Keys(e.running[worker.ID]))
	go e.carryOut(begun, worker, ran)
	return begun
}

// forget makes room for a look: the oldest one goes.
func (e *endings) forget() {
	if len(e.looks) < maxLooks {
		return
	}
	oldest := ""
	for worker, known := range e.looks {
		if oldest == "" || known.begun.Before(e.looks[oldest].begun) {
			oldest = worker
		}
	}
	delete(e.looks, oldest)
}

// carryOut looks at a worker, and tells of its end and of what it ran.
func (e *endings) carryOut(begun *look, worker scheduling.Candidate, ran []*run) {
	drains := e.drains(worker.ID)
	begun.liveness = e.probe(context.Background(), worker.Address)
	crashes := crashesOf(worker, ran)
	if begun.liveness == workerconn.Dead && !drains {
		e.quarantine.Crashed(crashes, time.Now())
	}
	close(begun.done)
	e.metrics.Breaks.WithLabelValues(string(begun.liveness)).Inc()
	e.log.WithFields(logrus.Fields{
		"worker": worker.ID, "address": worker.Address, "worker_state": begun.liveness, "drains": drains,
		"look_us": time.Since(begun.begun).Microseconds(), "running": len(ran), "fingerprints": rendered(crashes),
	}).Warn("worker looked at: answers broke off")
}

// crashesOf tells of a worker's end for each request that it ran. It was answering one that
// it ran several times if it answered each.
func crashesOf(worker scheduling.Candidate, ran []*run) map[quarantine.Fingerprint]quarantine.Crash {
	crashes := make(map[quarantine.Fingerprint]quarantine.Crash, len(ran))
	for _, running := range ran {
		before, exists := crashes[running.request]
		answering := running.answering.Load() && (before.Answering || !exists)
		crashes[running.request] = quarantine.Crash{Worker: worker.ID, Address: worker.Address, Answering: answering}
	}
	return crashes
}

// maxLogged bounds the fingerprints in one line of the log.
const maxLogged = 32

func rendered(crashes map[quarantine.Fingerprint]quarantine.Crash) []string {
	texts := make([]string, 0, min(len(crashes), maxLogged))
	for request := range crashes {
		if len(texts) == maxLogged {
			break
		}
		texts = append(texts, request.String())
	}
	return texts
}
