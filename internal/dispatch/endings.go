package dispatch

import (
	"context"
	"iter"
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

// A look is a connection probe of a worker whose answer broke off, to learn whether the worker
// has ended. Its result is alive, dead or unheard (workerconn.Liveness). Log lines and metrics
// use the word too.
const (
	// lookPatience is how long a request waits to learn whether its worker has ended before it
	// is sent elsewhere. The round trip to another region is 24 ms, and the shortest objective
	// for a first byte is 300 ms.
	lookPatience = 30 * time.Millisecond
	// lookLife is how long the result of a look at a worker that has not ended is valid for
	// other requests whose answers broke off there. When a worker ends, all its answers break
	// off within some milliseconds.
	lookLife = 100 * time.Millisecond
	// maxLooks bounds the looks that are remembered.
	maxLooks = 1000
)

// look is one probe of a worker, under way or done.
type look struct {
	begun time.Time
	// done is closed once liveness is set.
	done     chan struct{}
	liveness workerconn.Liveness
}

// isDone reports whether the look has a result, and isDead whether the result is that the
// worker has ended.
func (l *look) isDone() bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}

func (l *look) isDead() bool { return l.isDone() && l.liveness == workerconn.Dead }

// isValid reports whether a look is still valid at a time. A worker that has ended does not
// come back under the same ID.
func (l *look) isValid(now time.Time) bool {
	return !l.isDone() || l.isDead() || now.Sub(l.begun) < lookLife
}

// runningRequest is a request that a worker is running.
type runningRequest struct {
	request quarantine.Fingerprint
	// parts are the parts of its prompt that other requests may share.
	parts []quarantine.Fingerprint
	// suspected tells that workers have crashed while running it before.
	suspected bool
	// answering tells that the worker has begun to answer.
	answering atomic.Bool
}

// crashDetector knows the requests that this node runs at each worker, and finds out which
// workers have ended when their answers break off. It is safe for concurrent use.
type crashDetector struct {
	probe func(ctx context.Context, worker, address string) workerconn.Liveness
	// drains reports whether a worker is known to end as planned.
	drains func(worker string) bool
	// unreached is called with each worker that other nodes don't reach either.
	unreached  func(worker string)
	quarantine Quarantine
	log        *logrus.Logger
	metrics    *Metrics

	mu      sync.Mutex
	running map[string]map[*runningRequest]struct{}
	looks   map[string]*look
}

func newCrashDetector(probe func(ctx context.Context, worker, address string) workerconn.Liveness, drains func(worker string) bool, unreached func(worker string), quarantined Quarantine, log *logrus.Logger, metrics *Metrics) *crashDetector {
	return &crashDetector{
		probe: probe, drains: drains, unreached: unreached, quarantine: quarantined, log: log, metrics: metrics,
		running: make(map[string]map[*runningRequest]struct{}), looks: make(map[string]*look),
	}
}

// begin records that a worker is given a request, and end that it no longer has it.
func (d *crashDetector) begin(worker string, call *Call, suspected bool) *runningRequest {
	begun := &runningRequest{request: call.Fingerprint, parts: call.Parts, suspected: suspected}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.running[worker] == nil {
		d.running[worker] = make(map[*runningRequest]struct{})
	}
	d.running[worker][begun] = struct{}{}
	return begun
}

func (d *crashDetector) end(worker string, ended *runningRequest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.running[worker], ended)
	if len(d.running[worker]) == 0 {
		delete(d.running, worker)
	}
}

// suspects counts the suspected requests that a worker is running for this node.
func (d *crashDetector) suspects(worker string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	count := 0
	for running := range d.running[worker] {
		if running.suspected {
			count++
		}
	}
	return count
}

// recordCompletion records that a worker completed a request that it was given at a time. If a
// look has found the worker ended, that was a mistake, since an address may refuse a connection
// for other reasons, and the quarantine is told. A worker whose ID names an incarnation may
// have started again under its name: then only a request given before the look shows a mistake.
func (d *crashDetector) recordCompletion(id string, given, now time.Time) {
	d.mu.Lock()
	known, exists := d.looks[id]
	mistaken := exists && known.isDead() && (worker.BornOf(id) == 0 || given.Before(known.begun))
	if mistaken {
		delete(d.looks, id)
	}
	d.mu.Unlock()
	if mistaken {
		d.quarantine.WorkerAlive(id, now)
	}
}

// inspect reports whether a worker whose answer broke off has ended, as far as that is known
// within lookPatience. All requests that the worker ran share one look.
func (d *crashDetector) inspect(worker scheduling.Candidate) workerconn.Liveness {
	seen := d.look(worker)
	timer := time.NewTimer(lookPatience)
	defer timer.Stop()
	select {
	case <-seen.done:
		return seen.liveness
	case <-timer.C:
		return workerconn.Unheard
	}
}

// look returns a look that is still valid, or begins one.
func (d *crashDetector) look(worker scheduling.Candidate) *look {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if known, exists := d.looks[worker.ID]; exists && known.isValid(now) {
		return known
	}
	d.evictOldestLook()
	begun := &look{begun: now, done: make(chan struct{})}
	d.looks[worker.ID] = begun
	ran := slices.Collect(maps.Keys(d.running[worker.ID]))
	go d.runLook(begun, worker, ran)
	return begun
}

// evictOldestLook drops the oldest look if there is no room for another.
func (d *crashDetector) evictOldestLook() {
	if len(d.looks) < maxLooks {
		return
	}
	oldest := ""
	for worker, known := range d.looks {
		if oldest == "" || known.begun.Before(d.looks[oldest].begun) {
			oldest = worker
		}
	}
	delete(d.looks, oldest)
}

// runLook probes a worker. If the worker has crashed it reports the requests that it ran.
func (d *crashDetector) runLook(begun *look, worker scheduling.Candidate, ran []*runningRequest) {
	drains := d.drains(worker.ID)
	begun.liveness = d.probe(context.Background(), worker.ID, worker.Address)
	crashes := crashesOf(worker, ran)
	if begun.liveness == workerconn.Dead && !drains {
		d.quarantine.Crashed(crashes, time.Now())
	}
	close(begun.done)
	if begun.liveness == workerconn.UnreachedByAll {
		d.unreached(worker.ID)
	}
	d.metrics.Breaks.WithLabelValues(string(begun.liveness)).Inc()
	d.log.WithFields(logrus.Fields{
		"worker": worker.ID, "address": worker.Address, "worker_state": begun.liveness, "drains": drains,
		"look_us": time.Since(begun.begun).Microseconds(), "running": len(ran), "fingerprints": fingerprintTexts(requestsOf(ran)), "parts": fingerprintTexts(partsOf(ran)),
	}).Warn("worker looked at: answers broke off")
}

// crashesOf returns one crash of the worker for each request that it ran, and for each part of
// their prompts. If it ran a request several times, it counts as answering that only if it was
// answering each of them.
func crashesOf(worker scheduling.Candidate, ran []*runningRequest) map[quarantine.Fingerprint]quarantine.Crash {
	crashes := make(map[quarantine.Fingerprint]quarantine.Crash, len(ran))
	for _, running := range ran {
		before, exists := crashes[running.request]
		answering := running.answering.Load() && (before.Answering || !exists)
		crashes[running.request] = quarantine.Crash{Worker: worker.ID, Address: worker.Address, Answering: answering}
	}
	for part := range partsOf(ran) {
		crashes[part] = quarantine.Crash{Worker: worker.ID, Address: worker.Address}
	}
	return crashes
}

// requestsOf returns the fingerprints of requests.
func requestsOf(ran []*runningRequest) iter.Seq[quarantine.Fingerprint] {
	return func(yield func(quarantine.Fingerprint) bool) {
		for _, running := range ran {
			if !yield(running.request) {
				return
			}
		}
	}
}

// partsOf returns the prompt parts of requests, each once.
func partsOf(ran []*runningRequest) iter.Seq[quarantine.Fingerprint] {
	parts := make(map[quarantine.Fingerprint]struct{})
	for _, running := range ran {
		for _, part := range running.parts {
			parts[part] = struct{}{}
		}
	}
	return maps.Keys(parts)
}

// maxLogged bounds the fingerprints in one log line.
const maxLogged = 32

func fingerprintTexts(fingerprints iter.Seq[quarantine.Fingerprint]) []string {
	var texts []string
	for fingerprint := range fingerprints {
		if len(texts) == maxLogged {
			break
		}
		texts = append(texts, fingerprint.String())
	}
	return texts
}
