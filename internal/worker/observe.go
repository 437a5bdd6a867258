package worker

import (
	"time"

	"github.com/tinarch/tinarch/internal/breaker"
	"github.com/tinarch/tinarch/internal/latency"
	"github.com/tinarch/tinarch/internal/prefixcache"
)

// SetChanging keeps requests away from a worker that was ordered to change its stage, until the
// given time or until its entry shows the new stage.
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

// Begin adds the load of a request that is sent to a worker.
func (r *Registry) Begin(id string, load Load) { r.addLoad(id, load) }

// BeginRequest is Begin for a request that is about to be sent, and returns ErrRecovering if it
// must not be: requests that were planned at the same time have taken the worker's places.
func (r *Registry) BeginRequest(id string, load Load) error {
	admitted := true
	r.update(id, func(known *workerState) {
		admitted = known.recovery.admits(known.load.Requests)
		r.addLoadTo(known, load)
	})
	if !admitted {
		return ErrRecovering
	}
	return nil
}

// End removes the load that Begin added.
func (r *Registry) End(id string, load Load) { r.addLoad(id, Load{}.minus(load)) }

// addLoad adds a load, which may be negative, to that of this node at a worker.
func (r *Registry) addLoad(id string, load Load) {
	r.update(id, func(known *workerState) { r.addLoadTo(known, load) })
}

func (r *Registry) addLoadTo(known *workerState, load Load) {
	id := known.worker.ID
	known.load = known.load.plus(load)
	if known.load.Zero() {
		delete(r.busy, id)
	} else {
		r.busy[id] = known
	}
	r.touch(id)
}

// ObserveReading records how long a worker took to read a prompt. The network time to the
// worker has been subtracted; if that leaves no positive time, the measurement is ignored.
func (r *Registry) ObserveReading(id string, reading latency.Reading) {
	if reading.Elapsed <= 0 {
		return
	}
	r.update(id, func(known *workerState) {
		group := r.groupModel(known.worker)
		if reading.Ahead > 0 {
			terms, throughput := r.prefillModel(known)
			waited := reading.Elapsed - time.Duration(reading.Predicted(terms)*float64(time.Millisecond))
			r.timingsOf(known.worker.Service).queue.Observe(float64(waited)/float64(time.Millisecond), reading.AheadMilliseconds(throughput))
		}
		known.slowdown.Observe(reading, group)
		group.Observe(reading)
	})
}

// ObserveFetch records the time to read a prompt of which cached parts were fetched from
// another engine first. link is the network transfer time of the fetch.
func (r *Registry) ObserveFetch(id string, reading latency.Reading, link time.Duration) {
	r.update(id, func(known *workerState) {
		terms, _ := r.prefillModel(known)
		fetchTime := reading.Elapsed - link - time.Duration(reading.Predicted(terms)*float64(time.Millisecond))
		if reading.Ahead == 0 {
			r.timingsOf(known.worker.Service).fetch.Observe(max(fetchTime, 0))
		}
	})
}

// ObserveHandover records the time from sending a request whose prompt was read by another
// engine to the first byte of its answer. As in ObserveReading, the network time has been
// subtracted. tokens is the length of the prompt, and slowdown the factor that the engine's host
// had, zero if it isn't known.
func (r *Registry) ObserveHandover(id string, elapsed time.Duration, tokens int, slowdown float64) {
	if elapsed <= 0 {
		return
	}
	r.update(id, func(known *workerState) {
		learned := r.timingsOf(known.worker.Service)
		learned.handover.Observe(elapsed)
		if slowdown > 0 {
			learned.unevenHandover.Observe(elapsed, tokens, slowdown)
		}
	})
}

// ObserveRun records the time from the first byte of an answer to its end, and how many output
// tokens the caller expected. slowdown is as in ObserveHandover.
func (r *Registry) ObserveRun(id string, elapsed time.Duration, expectedTokens int, slowdown float64) {
	elapsed = atUsualSpeed(elapsed, slowdown)
	r.update(id, func(known *workerState) {
		learned := r.timingsOf(known.worker.Service)
		learned.run.Observe(elapsed)
		learned.writing.Observe(float64(elapsed)/float64(time.Millisecond), float64(expectedTokens))
	})
}

// ObserveWork records the time in which a worker with free slots answered an opaque request.
// slowdown is as in ObserveHandover; times without it are ignored.
func (r *Registry) ObserveWork(id string, elapsed time.Duration, slowdown float64) {
	if elapsed <= 0 || slowdown <= 0 {
		return
	}
	elapsed = atUsualSpeed(elapsed, slowdown)
	r.update(id, func(known *workerState) { r.timingsOf(known.worker.Service).work.Observe(elapsed) })
}

// ObserveCached records that a worker has cached the parts of a prompt, and queues that for the
// other nodes.
func (r *Registry) ObserveCached(id string, parts []prefixcache.Part, now time.Time) {
	r.update(id, func(known *workerState) {
		known.cache.Use(parts, now)
		known.prefills.notify()
		r.cacheUpdates = append(r.cacheUpdates, CacheUpdate{Worker: id, Parts: parts})
		r.touch(id)
	})
}

// Succeeded records a successful request.
func (r *Registry) Succeeded(id string, now time.Time) {
	r.update(id, func(known *workerState) {
		known.breaker.Succeeded(now)
		known.unreachedUntil, known.suspicion = time.Time{}, suspicion{}
		if !r.noticeStates[id].BackingOff(now) {
			known.recovery.served()
		}
	})
}

// Failed records a failed request, and queues that for the other nodes.
func (r *Registry) Failed(id string, now time.Time) {
	r.update(id, func(known *workerState) {
		known.breaker.Failed(now)
		r.failures = append(r.failures, id)
		r.touch(id)
	})
}

// avoidedFor is how long a worker is avoided that wasn't reached, or of which another node has told
// a failure. That doubles, up to maxSuspected, with each further report.
const (
	avoidedFor   = 1500 * time.Millisecond
	maxSuspected = 6 * time.Second
)

// suspicion is what other nodes have told of failures of a worker since it last answered this node.
type suspicion struct {
	reports int
	until   time.Time
}

// add adds a report of another node.
func (s *suspicion) add(now time.Time) {
	s.until = now.Add(min(avoidedFor<<min(s.reports, 4), maxSuspected))
	s.reports++
}

func (s *suspicion) holds(now time.Time) bool { return now.Before(s.until) }

// Unreached records that this node got no connection to a worker, or lost it, and can't tell whether
// its own link has failed. The other nodes aren't told.
func (r *Registry) Unreached(id string, now time.Time) {
	r.update(id, func(known *workerState) { known.unreachedUntil = now.Add(avoidedFor) })
}

// Reached records that a worker takes requests although this node's own link to it has failed.
func (r *Registry) Reached(id string) {
	r.update(id, func(known *workerState) { known.unreachedUntil = time.Time{} })
}

// isAvoided reports whether a worker gets requests only if no other can take them.
func (s *workerState) isAvoided(now time.Time) bool {
	return s.breaker.Open(now) || now.Before(s.unreachedUntil) || s.suspicion.holds(now)
}

// Errored records an answer in which the worker reports a failure of its own.
func (r *Registry) Errored(id string, now time.Time) {
	r.update(id, func(known *workerState) {
		known.breaker.Errored(now)
	})
}

// Rejected records a request that the worker has proved not to have run.
func (r *Registry) Rejected(id string, now time.Time) {
	r.update(id, func(known *workerState) {
		known.breaker.Rejected(now)
	})
}

// HandleFailed records that the runner, the engine that generates the output, could not fetch
// the KV cache of a prompt from the reader, the engine that read it. The failure is counted for
// the one with more consecutive failures, for both if they are equal: otherwise an engine that
// can't fetch from anyone would make all readers look faulty.
func (r *Registry) HandleFailed(reader, runner string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	from, to := r.handleBreakerOf(reader), r.handleBreakerOf(runner)
	fromFailures, toFailures := from.ConsecutiveFailures(), to.ConsecutiveFailures()
	if fromFailures >= toFailures {
		from.Failed(now)
	}
	if toFailures >= fromFailures {
		to.Failed(now)
	}
}

// HandleFetched records that the runner has fetched the KV cache of a prompt from the reader.
func (r *Registry) HandleFetched(reader, runner string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.handleBreakerOf(reader).Succeeded(now)
	r.handleBreakerOf(runner).Succeeded(now)
}

// handleBreakerOf returns the breaker of a worker's KV cache transfers, or an unused one if the
// worker isn't known.
func (r *Registry) handleBreakerOf(id string) *breaker.Breaker {
	if known, exists := r.workers[id]; exists {
		return &known.handleBreaker
	}
	return &breaker.Breaker{}
}

// ObserveReportedLoad records the load that a worker reported in an answer.
func (r *Registry) ObserveReportedLoad(id string, running, waiting int, now time.Time) {
	r.update(id, func(known *workerState) {
		known.reported = reportedLoad{running: running, waiting: waiting, at: now}
	})
}

// update calls change with the state of a worker, if it is known.
func (r *Registry) update(id string, change func(known *workerState)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known, exists := r.workers[id]; exists {
		change(known)
	}
}
