package worker

import (
	"maps"
	"math"
	"slices"
	"time"
)

// LimitStatement is what a worker has stated about the request rate that it accepts from all
// nodes together. The zero value means that it hasn't stated anything.
type LimitStatement struct {
	// Named is set if the worker states a limit, and Rate is the limit in requests per second.
	Named bool
	Rate  float64
	// Sent is when the request was sent, and Heard when the header of its answer arrived. The
	// worker made the statement between the two.
	Sent, Heard time.Time
}

// MinRate is the rate in requests per second at which a worker gets requests if it states a
// lower limit, even zero: only its answer to a request can tell that it accepts more again.
const MinRate = 0.1

// rate returns the stated limit, infinite if there is none.
func (s LimitStatement) rate() float64 {
	if s.Named {
		return s.Rate
	}
	return math.Inf(1)
}

// mergedWith returns the statement that holds once s is known in addition to a known one.
// Answers can overtake each other, so statements are ordered by the time in which the worker
// can have made them: s is newer if its request was sent after the known answer arrived. If the
// order can't be told, the lower limit holds: an overloaded worker then gets too few requests
// until the next answer, rather than too many.
func (s LimitStatement) mergedWith(known LimitStatement) LimitStatement {
	switch {
	case known.Heard.IsZero():
		if s.Named {
			return s
		}
		return known
	case !s.Named && !known.Named:
		return known
	case s.Sent.After(known.Heard):
		return s
	case s.Heard.Before(known.Sent) || s.rate() > known.rate():
		return known
	}
	s.Sent, s.Heard = latest(s.Sent, known.Sent), latest(s.Heard, known.Heard)
	return s
}

func latest(left, right time.Time) time.Time {
	if left.After(right) {
		return left
	}
	return right
}

// LimitChange is a change of the limit that holds for a worker.
type LimitChange struct {
	Worker, Service string
	// Before and After are the statements that held and that hold now.
	Before, After LimitStatement
	// Source is the id of the request, or the node, that the new statement came from.
	Source string
}

// OnLimitChange sets the function that is called for each change of a worker's limit. It must
// be set before any limit is known, and changed must not call the registry.
func (r *Registry) OnLimitChange(changed func(LimitChange)) { r.limitChanged = changed }

// ObserveLimit records what a worker stated in the answer to a request of this node.
func (r *Registry) ObserveLimit(id, request string, statement LimitStatement) {
	r.observeLimit(id, request, statement, true)
}

// MergeLimit records what a worker stated in the answer to a request of another node.
func (r *Registry) MergeLimit(id, node string, statement LimitStatement) {
	r.observeLimit(id, node, statement, false)
}

func (r *Registry) observeLimit(id, source string, statement LimitStatement, own bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, exists := r.workers[id]
	if !exists {
		return
	}
	before := known.limit
	known.limit = statement.mergedWith(before)
	if own && known.limit != before {
		r.limitUpdates[id] = time.Now().Add(limitBroadcastTime)
		r.touch(id)
	}
	if known.limit.Named == before.Named && known.limit.Rate == before.Rate {
		return
	}
	known.limitVersion++
	if known.limit.Named {
		r.limited[id] = known
	} else {
		delete(r.limited, id)
	}
	r.limitChanged(LimitChange{Worker: id, Service: known.worker.Service, Before: before, After: known.limit, Source: source})
}

// CountLimited returns the number of workers that state a limit.
func (r *Registry) CountLimited() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.limited)
}

// limitBroadcastTime is how long a statement made to this node is included in snapshots: long
// enough for two of the periodic messages that a small fleet sends each half a second.
const limitBroadcastTime = 1200 * time.Millisecond

// Limit returns what a worker has stated about its request rate, and a version that increases
// whenever the limit changes at this node. It reports false if the worker isn't known.
func (r *Registry) Limit(id string) (statement LimitStatement, version uint64, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state, exists := r.workers[id]
	if !exists {
		return LimitStatement{}, 0, false
	}
	return state.limit, state.limitVersion, true
}

// Limits returns the statements of those of the given workers that have ever stated a limit.
func (r *Registry) Limits(workers []string) map[string]LimitStatement {
	r.mu.Lock()
	defer r.mu.Unlock()
	limits := make(map[string]LimitStatement)
	for _, id := range workers {
		if known, exists := r.workers[id]; exists && !known.limit.Heard.IsZero() {
			limits[id] = known.limit
		}
	}
	return limits
}

// LimitedWorkers returns the ids of the workers that state a limit.
func (r *Registry) LimitedWorkers() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Keys(r.limited))
}

// HasLimit reports whether a worker currently states a limit.
func (r *Registry) HasLimit(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, limited := r.limited[id]
	return limited
}

// SetTurn records when a worker with a limit accepts its next request, as far as this node
// knows.
func (r *Registry) SetTurn(id string, at time.Time) {
	r.update(id, func(known *workerState) { known.turnAt = at })
}

// IsUsable reports whether a worker may still get a request that has waited for its turn.
func (r *Registry) IsUsable(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, exists := r.workers[id]
	return exists && r.usable(known, time.Now())
}

// turnWait returns the time until the worker accepts its next request, as far as this node
// knows.
func (s *workerState) turnWait(now time.Time) time.Duration {
	if !s.limit.Named {
		return 0
	}
	return max(s.turnAt.Sub(now), 0)
}

// addLimits adds the limits that workers stated to this node lately to a snapshot.
func (r *Registry) addLimits(snapshot *Snapshot, now time.Time) {
	for id, until := range r.limitUpdates {
		known, exists := r.workers[id]
		if !exists || now.After(until) {
			delete(r.limitUpdates, id)
			continue
		}
		snapshot.Limits[id] = known.limit
	}
}
