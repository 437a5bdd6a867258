package dispatch

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/quarantine"
	"github.com/tinarch/tinarch/internal/scheduling"
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

// serves reports whether a look tells of a worker at a time: one that has ended does not
// come back under the same id.
func (l *look) serves(now time.Time) bool {
	select {
	case <-l.done:
		return l.liveness == workerconn.Dead || now.Sub(l.begun) < lookLife
	default:
		return true
	}
}

// endings knows what this node runs at each worker, and finds out which of those whose
// answers broke off have ended. It is safe for concurrent use.
type endings struct {
	probe   func(ctx context.Context, address string) workerconn.Liveness
	log     *logrus.Logger
	metrics *Metrics

	mu sync.Mutex
	// running counts the requests at each worker by fingerprint.
	running map[string]map[quarantine.Fingerprint]int
	looks   map[string]*look
}

func newEndings(log *logrus.Logger, metrics *Metrics) *endings {
	return &endings{
		probe: workerconn.Probe, log: log, metrics: metrics,
		running: make(map[string]map[quarantine.Fingerprint]int), looks: make(map[string]*look),
	}
}

// begin records that a worker is given a request, and end that it isn't any more.
func (e *endings) begin(worker string, request quarantine.Fingerprint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running[worker] == nil {
		e.running[worker] = make(map[quarantine.Fingerprint]int)
	}
	e.running[worker][request]++
}

func (e *endings) end(worker string, request quarantine.Fingerprint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	running := e.running[worker]
	running[request]--
	if running[request] <= 0 {
		delete(running, request)
	}
	if len(running) == 0 {
		delete(e.running, worker)
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
func (e *endings) carryOut(begun *look, worker scheduling.Candidate, ran []quarantine.Fingerprint) {
	begun.liveness = e.probe(context.Background(), worker.Address)
	close(begun.done)
	e.metrics.Breaks.WithLabelValues(string(begun.liveness)).Inc()
	e.log.WithFields(logrus.Fields{
		"worker": worker.ID, "address": worker.Address, "worker_state": begun.liveness,
		"look_us": time.Since(begun.begun).Microseconds(), "running": len(ran), "fingerprints": rendered(ran),
	}).Warn("worker looked at: answers broke off")
}

// maxLogged bounds the fingerprints in one line of the log.
const maxLogged = 32

func rendered(requests []quarantine.Fingerprint) []string {
	texts := make([]string, 0, min(len(requests), maxLogged))
	for _, request := range requests[:min(len(requests), maxLogged)] {
		texts = append(texts, request.String())
	}
	return texts
}
