package worker

import (
	"time"

	"github.com/tinarch/tinarch/internal/breaker"
	"github.com/tinarch/tinarch/internal/latency"
	"github.com/tinarch/tinarch/internal/prefixcache"
)

// SetChanging keeps requests away from a worker that was ordered to a stage, until a
// time or until its entry shows the stage.
func (r *Registry) SetChanging(id string, prefill bool, until time.Time) {
	r.update(id, func(known *workerState) {
		stage := Decode
		if prefill {
			stage = Prefill
		}
		r.setChanging(known, until, stage)
		r.touch(id)
	})
}

func (r *Registry) setChanging(known *workerState, until time.Time, stage Stage) {
	known.changingUntil, known.changingStage = until, stage
	r.changing[known.worker.ID] = known
}

// Begin records work given to a worker.
func (r *Registry) Begin(id string, load Load) { r.addLoad(id, load) }

// End records that work given by Begin is over.
func (r *Registry) End(id string, load Load) { r.addLoad(id, Load{}.minus(load)) }

// addLoad adds a load, which may be negative.
func (r *Registry) addLoad(id string, load Load) {
	r.update(id, func(known *workerState) {
		known.load = known.load.plus(load)
		if known.load.Zero() {
			delete(r.busy, id)
		} else {
			r.busy[id] = known
		}
		r.touch(id)
	})
}

// ObserveReading records how long a worker took to read a prompt. A time that isn't positive
// tells nothing: more was taken off for the way to the worker than it took.
func (r *Registry) ObserveReading(id string, reading latency.Reading) {
	if reading.Elapsed <= 0 {
		return
	}
	r.update(id, func(known *workerState) {
		group := r.groupModel(known.worker)
		if reading.Ahead > 0 {
			terms, queuePace := r.prefillModel(known)
			waited := reading.Elapsed - time.Duration(terms.Milliseconds(reading.Tokens, reading.Context)*float64(time.Millisecond))
			r.timingsOf(known.worker.Service).queue.Observe(float64(waited)/float64(time.Millisecond), float64(reading.Ahead)/queuePace)
		}
		known.slowdown.Observe(reading, group)
		group.Observe(reading)
	})
}

// ObserveFetch records a reading that began with a fetch, the link taking part of the
// time.
func (r *Registry) ObserveFetch(id string, reading latency.Reading, link time.Duration) {
	r.update(id, func(known *workerState) {
		terms, _ := r.prefillModel(known)
		rest := reading.Elapsed - link - time.Duration(terms.Milliseconds(reading.Tokens, reading.Context)*float64(time.Millisecond))
		if reading.Ahead == 0 {
			r.timingsOf(known.worker.Service).fetch.Observe(max(rest, 0))
		}
	})
}

// ObserveHandover records the time from sending a request with a prompt that was read
// apart to the first byte of its answer, as ObserveReading does.
func (r *Registry) ObserveHandover(id string, elapsed time.Duration) {
	if elapsed <= 0 {
		return
	}
	r.update(id, func(known *workerState) { r.timingsOf(known.worker.Service).handover.Observe(elapsed) })
}

// ObserveRun records the time from the first byte of an answer, of which the caller
// expected so many tokens, to its end.
func (r *Registry) ObserveRun(id string, elapsed time.Duration, expectedTokens int) {
	r.update(id, func(known *workerState) {
		learned := r.timingsOf(known.worker.Service)
		learned.run.Observe(elapsed)
		learned.writing.Observe(float64(elapsed)/float64(time.Millisecond), float64(expectedTokens))
	})
}

// ObserveCached records that a worker keeps the parts of a prompt now, and queues that
// for the other nodes.
func (r *Registry) ObserveCached(id string, parts []prefixcache.Part, now time.Time) {
	r.update(id, func(known *workerState) {
		known.cache.Use(parts, now)
		r.cacheUpdates = append(r.cacheUpdates, CacheUpdate{Worker: id, Parts: parts})
		r.touch(id)
	})
}

// Succeeded records a good answer.
func (r *Registry) Succeeded(id string, now time.Time) {
	r.update(id, func(known *workerState) {
		known.breaker.Succeeded(now)
		if !r.noticeStates[id].BackingOff(now) {
			known.recovery.served()
		}
	})
}

// Failed records a failure, and queues it for the other nodes.
func (r *Registry) Failed(id string, now time.Time) {
	r.update(id, func(known *workerState) {
		known.breaker.Failed(now)
		r.failures = append(r.failures, id)
		r.touch(id)
	})
}

// Errored records an answer that tells of a failure of the worker's own.
func (r *Registry) Errored(id string, now time.Time) {
	r.update(id, func(known *workerState) {
		known.breaker.Errored(now)
	})
}

// Rejected records a request that the worker proved not to have run.
func (r *Registry) Rejected(id string, now time.Time) {
	r.update(id, func(known *workerState) {
		known.breaker.Rejected(now)
	})
}

// HandleFailed records that a prompt read apart at one worker could not be fetched by
// another. The one with more such failures in a row is to blame, both where that is even:
// an engine that can fetch from none must not make all that it fetches from look unsound.
func (r *Registry) HandleFailed(reader, runner string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	from, to := r.handleBreakerOf(reader), r.handleBreakerOf(runner)
	fromRow, toRow := from.ConsecutiveFailures(), to.ConsecutiveFailures()
	if fromRow >= toRow {
		from.Failed(now)
	}
	if toRow >= fromRow {
		to.Failed(now)
	}
}

// HandleFetched records that a prompt read apart at one worker was fetched by another.
func (r *Registry) HandleFetched(reader, runner string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.handleBreakerOf(reader).Succeeded(now)
	r.handleBreakerOf(runner).Succeeded(now)
}

// handleBreakerOf returns the breaker of a worker's handles, and one that nobody asks where it
// isn't known.
func (r *Registry) handleBreakerOf(id string) *breaker.Breaker {
	if known, exists := r.workers[id]; exists {
		return &known.handleBreaker
	}
	return &breaker.Breaker{}
}

// ObserveReportedLoad records the load that a worker's answer told.
func (r *Registry) ObserveReportedLoad(id string, running, waiting int, now time.Time) {
	r.update(id, func(known *workerState) {
		known.reported = reportedLoad{running: running, waiting: waiting, at: now}
	})
}

// update changes what is known of a worker, unless it is not known at all.
func (r *Registry) update(id string, change func(known *workerState)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known, exists := r.workers[id]; exists {
		change(known)
	}
}
