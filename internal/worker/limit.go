package worker

import (
	"math"
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

// rate is the statement's limit, infinite where it names none.
func (s LimitStatement) rate() float64 {
	if s.Named {
		return s.Rate
	}
	return math.Inf(1)
}

// after returns what holds once a further statement is known. Answers overtake each other, so
// they are ordered by when the worker can have said it: a statement that came in answer to a
// request sent after the other was heard is newer. Of two whose order isn't known the lower
// holds: a worker in need gets too little for one more answer, rather than too much.
func (s LimitStatement) after(known LimitStatement) LimitStatement {
	switch {
	case known.Heard.IsZero():
		if s.Named {
			return s
		}
		return known
	case !s.Sent.Before(known.Heard):
		return s
	case !s.Heard.After(known.Sent) || s.rate() > known.rate():
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

// SetLimitsChanged has each change of a worker's limit told. It is called before any is known,
// and changed must not call the registry.
func (r *Registry) SetLimitsChanged(changed func(LimitChange)) { r.limitChanged = changed }

// ObserveLimit takes in what a worker said in answer to a request of this node, or what another
// node was told by it; source is the request's id or that node.
func (r *Registry) ObserveLimit(id, source string, said LimitStatement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, exists := r.workers[id]
	if !exists {
		return
	}
	before := known.limit
	known.limit = said.after(before)
	if known.limit.Named == before.Named && known.limit.Rate == before.Rate {
		return
	}
	if known.limit.Named {
		r.limited[id] = known
	} else {
		delete(r.limited, id)
	}
	r.limitChanged(LimitChange{Worker: id, Service: known.worker.Service, Before: before, After: known.limit, Source: source})
}

// Limited returns the number of workers that have named a limit.
func (r *Registry) Limited() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.limited)
}
