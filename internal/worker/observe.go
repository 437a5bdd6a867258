package worker

import (
	"time"

	"github.com/tinarch/tinarch/internal/prefixcache"
)

// SetChanging keeps requests away from a worker that was ordered to a stage, until a
// time or until its entry shows the stage.
func (r *Registry) SetChanging(id string, prefill bool, until time.Time) {
	r.update(id, func(known *state) {
		known.changing, known.changingStage = until, Decode
		if prefill {
			known.changingStage = Prefill
		}
		r.version++
	})
}

// Begin records work given to a worker.
func (r *Registry) Begin(id string, load Load) { r.change(id, load) }

// End records that work given by Begin is over.
func (r *Registry) End(id string, load Load) { r.change(id, Load{}.minus(load)) }

// change adds a load, which may be negative.
func (r *Registry) change(id string, load Load) {
	r.update(id, func(known *state) {
		known.load = known.load.plus(load)
		r.version++
	})
}

// ObserveRead records that a worker read a prompt of tokens, with others ahead of
// them, in the time elapsed.
func (r *Registry) ObserveRead(id string, tokens, ahead int, elapsed time.Duration) {
	r.update(id, func(known *state) {
		known.reader.Observe(tokens, ahead, elapsed)
		r.group(known.worker).Observe(tokens, ahead, elapsed)
	})
}

// Cached records that a worker keeps the parts of a prompt now, and queues that
// for the other nodes.
func (r *Registry) Cached(id string, parts []prefixcache.Part, now time.Time) {
	r.update(id, func(known *state) {
		known.cache.Use(parts, now)
		r.reads = append(r.reads, Read{Worker: id, Parts: parts})
		r.version++
	})
}

// Succeeded records a good answer.
func (r *Registry) Succeeded(id string, now time.Time) {
	r.update(id, func(known *state) {
		known.breaker.Succeeded(now)
	})
}

// Failed records a failure, and queues it for the other nodes.
func (r *Registry) Failed(id string, now time.Time) {
	r.update(id, func(known *state) {
		known.breaker.Failed(now)
		r.failures = append(r.failures, id)
		r.version++
	})
}

// Errored records an answer that tells of a failure of the worker's own.
func (r *Registry) Errored(id string, now time.Time) {
	r.update(id, func(known *state) {
		known.breaker.Errored(now)
	})
}

// Rejected records a request that the worker proved not to have run.
func (r *Registry) Rejected(id string, now time.Time) {
	r.update(id, func(known *state) {
		known.breaker.Rejected(now)
	})
}

// HandleFailed records that a prompt read apart at a worker could not be fetched.
func (r *Registry) HandleFailed(id string, now time.Time) {
	r.update(id, func(known *state) {
		known.handles.Failed(now)
	})
}

// HandleTaken records that a prompt read apart at a worker was fetched.
func (r *Registry) HandleTaken(id string, now time.Time) {
	r.update(id, func(known *state) {
		known.handles.Succeeded(now)
	})
}

// Reported records the load that a worker's answer told.
func (r *Registry) Reported(id string, running, waiting int, now time.Time) {
	r.update(id, func(known *state) {
		known.reported = reportedLoad{running: running, waiting: waiting, at: now}
	})
}

// update changes what is known of a worker, unless it is not known at all.
func (r *Registry) update(id string, change func(known *state)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known, exists := r.workers[id]; exists {
		change(known)
	}
}
