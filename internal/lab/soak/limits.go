package soak

import (
	"context"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/tinarch/tinarch/internal/lab/fleetworker"
)

// Bounds for a worker that states how many requests per second it accepts from all nodes
// together. In each window it may get limitFactor times that number, and limitSlack requests
// more.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitNoticeDelay is how long after a node forwarded an answer with the limit its requests
	// begin to count.
	limitNoticeDelay = 500 * time.Millisecond
	// settlingTime is how long after the start of a limit, and after the end of a fault, requests
	// are ignored.
	settlingTime = 3 * time.Second
)

// The range of the limits that workers state, in requests per second. Without a limit, an
// engine gets about ten.
const (
	lowestLimit  = 1.0
	highestLimit = 5.0
)

// span is a time span; a zero end means that it hasn't ended.
type span struct{ from, to time.Time }

func (s span) holds(at time.Time) bool {
	return !at.Before(s.from) && (s.to.IsZero() || at.Before(s.to))
}

// limitSpan is a time span in which a worker states one limit.
type limitSpan struct {
	span
	worker    string
	perSecond float64
}

// limits records which limits workers state and where faults were injected. The zero value is
// empty. It is safe for concurrent use.
type limits struct {
	mu                 sync.Mutex
	stated             []limitSpan
	faultsWithSettling map[string][]span
	// faults holds the time spans of faults, extended by resumeSlack; faultsWithSettling holds
	// the same, extended by settlingTime.
	faults map[string][]span
}

// setLimit makes a worker state a limit from now on, or none if it is zero.
func (l *limits) setLimit(worker *soakWorker, perSecond float64, at time.Time) {
	text := ""
	if perSecond > 0 {
		text = fmt.Sprintf("%.1f", perSecond)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.stated {
		if l.stated[i].worker == worker.ID() && l.stated[i].to.IsZero() {
			l.stated[i].to = at
		}
	}
	if perSecond > 0 {
		l.stated = append(l.stated, limitSpan{span: span{from: at}, worker: worker.ID(), perSecond: perSecond})
	}
	worker.SetLimit(text)
}

// recordFault records that a fault was injected into a node, or into the connections to a worker.
func (l *limits) recordFault(name string, from, to time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faultsWithSettling == nil {
		l.faultsWithSettling, l.faults = make(map[string][]span), make(map[string][]span)
	}
	l.faults[name] = append(l.faults[name], span{from: from, to: to.Add(resumeSlack)})
	l.faultsWithSettling[name] = append(l.faultsWithSettling[name], span{from: from, to: to.Add(settlingTime)})
}

// inFault reports whether a fault affected a node or the connections to a worker at a time, or
// less than settlingTime before.
func (l *limits) inFault(name string, at time.Time) bool {
	return slices.ContainsFunc(l.faultsWithSettling[name], func(s span) bool { return s.holds(at) })
}

// changeLimit makes one worker, or sometimes each of them, state a new limit or none.
func (s *site) changeLimit(_ context.Context, _ time.Duration) string {
	workers := []*soakWorker{s.randomWorker()}
	if s.random.IntN(4) == 0 {
		workers = s.runningWorkers()
	}
	perSecond := 0.0
	if s.random.IntN(3) > 0 {
		perSecond = math.Round(10*(lowestLimit+s.random.Float64()*(highestLimit-lowestLimit))) / 10
	}
	for _, worker := range workers {
		s.limits.setLimit(worker, perSecond, time.Now())
	}
	return fmt.Sprintf("%d workers, first %s, state a limit of %.1f requests per second (0: none)", len(workers), workers[0].ID(), perSecond)
}

// endLimits makes all workers state no limit.
func (s *site) endLimits() {
	for _, worker := range s.runningWorkers() {
		s.limits.setLimit(worker, 0, time.Now())
	}
}

// trace describes through which node a request went, which worker answered, and when the caller
// received the head of the answer.
type trace struct {
	node           string
	sent, answered time.Time
	worker         string
	// limited reports whether the answer stated a limit, and leaving whether it announced that
	// the worker is about to end.
	limited, leaving bool
}

// violations returns the limits that were exceeded. An arrival counts if its node has forwarded
// an answer in which the worker stated the limit, and neither was affected by a fault.
func (l *limits) violations(workers []*soakWorker, requests map[string]trace) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var violations []string
	for _, limit := range l.stated {
		for _, worker := range workers {
			if worker.ID() != limit.worker {
				continue
			}
			times := l.counted(limit, worker.Arrivals(), requests)
			most := limitFactor*limit.perSecond*limitWindow.Seconds() + limitSlack
			if count := fleetworker.MaxInWindow(times, limitWindow); float64(count) > most {
				violations = append(violations, fmt.Sprintf("%s states a limit of %.1f requests per second and got %d in %v, %.1f are allowed", limit.worker, limit.perSecond, count, limitWindow, most))
			}
		}
	}
	return violations
}

// counted returns the times of the arrivals that count towards a limit.
func (l *limits) counted(limit limitSpan, arrivals []fleetworker.Arrival, requests map[string]trace) []time.Time {
	knownSince := make(map[string]time.Time)
	for _, request := range requests {
		if request.worker != limit.worker || !request.limited || !limit.holds(request.answered) {
			continue
		}
		if first, known := knownSince[request.node]; !known || request.answered.Before(first) {
			knownSince[request.node] = request.answered
		}
	}
	var times []time.Time
	for _, arrival := range arrivals {
		request, known := requests[arrival.ID]
		since, isKnown := knownSince[request.node]
		switch {
		case !known || !isKnown || arrival.At.Before(since.Add(limitNoticeDelay)):
		case !limit.holds(arrival.At) || arrival.At.Before(limit.from.Add(settlingTime)):
		case l.inFault(request.node, arrival.At) || l.inFault(limit.worker, arrival.At):
		default:
			times = append(times, arrival.At)
		}
	}
	return times
}

// traces returns the requests that callers sent, by id.
func (l *load) traces() map[string]trace {
	l.mu.Lock()
	defer l.mu.Unlock()
	requests := make(map[string]trace, len(l.observations))
	for _, got := range l.observations {
		requests[got.id] = trace{
			node: got.node, sent: got.sent, answered: got.answered,
			worker: got.header.Get("X-Instance-Id"), limited: got.header.Get("Server-Limit") != "",
			leaving: got.header.Get("Server-Leaving") != "",
		}
	}
	return requests
}
