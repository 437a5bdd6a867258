package worker

import (
	"maps"
	"math"
	"slices"
	"time"
)

// LimitStatement is what a worker has said of the requests that it takes in a second from all
// nodes together. The zero value is that of a worker that has said nothing.
type LimitStatement struct {
	// Named tells that the worker named a limit, and Rate are the requests a second.
	Named bool
	Rate  float64
	// Sent is when the request was sent whose answer said so, and Heard when the head of that
	// answer came: the worker said it in between.
	Sent, Heard time.Time
}

// MinRate are the requests a second that a worker gets which takes fewer, or none: its answer to
// one tells that it takes more again.
const MinRate = 0.1

// rate is the statement's limit, infinite where it names none.
func (s LimitStatement) rate() float64 {
	if s.Named {
		return s.Rate
	}
	return math.Inf(1)
}

// mergedWith returns what holds once a further statement is known. Answers overtake each other, so
// they are ordered by when the worker can have said it: a statement that came in answer to a
// request sent mergedWith the other was heard is newer. Of two whose order isn't known the lower
// holds: a worker in need gets too little for one more answer, rather than too much.
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

// LimitChange is a change of what holds for a worker.
type LimitChange struct {
	Worker, Service string
	// Before and After are what held and what holds.
	Before, After LimitStatement
	// Source is whose word changed it: a request's id, or another node.
	Source string
}

// OnLimitChange has each change of a worker's limit told. It is called before any is known,
// and changed must not call the registry.
func (r *Registry) OnLimitChange(changed func(LimitChange)) { r.limitChanged = changed }

// ObserveLimit takes in what a worker said in answer to a request of this node.
func (r *Registry) ObserveLimit(id, request string, said LimitStatement) {
	r.observeLimit(id, request, said, true)
}

// MergeLimit takes in what another node was told by a worker.
func (r *Registry) MergeLimit(id, node string, said LimitStatement) {
	r.observeLimit(id, node, said, false)
}

func (r *Registry) observeLimit(id, source string, said LimitStatement, own bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, exists := r.workers[id]
	if !exists {
		return
	}
	before := known.limit
	known.limit = said.mergedWith(before)
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

// CountLimited returns the number of workers that have named a limit.
func (r *Registry) CountLimited() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.limited)
}

// limitBroadcastTime is for how long what a worker said to this node is told on, so that it is told
// twice at rest.
const limitBroadcastTime = 1200 * time.Millisecond

// Limit returns what a worker has said of the requests that it takes, and a number that rises
// whenever that changes here. It reports false for a worker that isn't known.
func (r *Registry) Limit(id string) (said LimitStatement, version uint64, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	asked, exists := r.workers[id]
	if !exists {
		return LimitStatement{}, 0, false
	}
	return asked.limit, asked.limitVersion, true
}

// Limits returns what those of some workers have said that ever named a limit.
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

// LimitedWorkers names the workers that have named a limit.
func (r *Registry) LimitedWorkers() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Keys(r.limited))
}

// HasLimit reports whether a worker takes no more than so many requests a second now.
func (r *Registry) HasLimit(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, limited := r.limited[id]
	return limited
}

// SetTurn records when a worker that has named a limit takes a further request, as far as is
// known here.
func (r *Registry) SetTurn(id string, at time.Time) {
	r.update(id, func(known *workerState) { known.turnAt = at })
}

// IsUsable reports whether a worker may still get a request that waited for its turn there.
func (r *Registry) IsUsable(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, exists := r.workers[id]
	return exists && r.usable(known, time.Now())
}

// turnWait is the time until the worker takes a further request, as far as is known here.
func (s *workerState) turnWait(now time.Time) time.Duration {
	if !s.limit.Named {
		return 0
	}
	return max(s.turnAt.Sub(now), 0)
}

// addLimits adds to a snapshot what workers said to this node lately.
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
