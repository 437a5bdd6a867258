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
// together. In each window it may get limitOver times that number, and limitSlack requests
// more.
const (
	limitWindow = 4 * time.Second
	limitOver   = 1.5
	limitSlack  = 5
	// limitTold is how long after a node forwarded an answer with the limit its requests begin
	// to count.
	limitTold = 500 * time.Millisecond
	// limitCalm is how long after the start of a limit, and after the end of a fault, requests
	// are ignored.
	limitCalm = 3 * time.Second
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
	mu     sync.Mutex
	named  []limitSpan
	harmed map[string][]span
	// cut holds the time spans of faults, extended by thawSlack; harmed holds the same,
	// extended by limitCalm.
	cut map[string][]span
}

// name makes a worker state a limit from now on, or none if it is zero.
func (l *limits) name(worker *soakWorker, perSecond float64, at time.Time) {
	text := ""
	if perSecond > 0 {
		text = fmt.Sprintf("%.1f", perSecond)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.named {
		if l.named[i].worker == worker.ID() && l.named[i].to.IsZero() {
			l.named[i].to = at
		}
	}
	if perSecond > 0 {
		l.named = append(l.named, limitSpan{span: span{from: at}, worker: worker.ID(), perSecond: perSecond})
	}
	worker.SetLimit(text)
}

// harm records that a fault was injected into a node, or into the connections to a worker.
func (l *limits) harm(name string, from, to time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.harmed == nil {
		l.harmed, l.cut = make(map[string][]span), make(map[string][]span)
	}
	l.cut[name] = append(l.cut[name], span{from: from, to: to.Add(thawSlack)})
	l.harmed[name] = append(l.harmed[name], span{from: from, to: to.Add(limitCalm)})
}

// isHarmed reports whether a fault affected a node or the connections to a worker at a time, or
// less than limitCalm before.
func (l *limits) isHarmed(name string, at time.Time) bool {
	return slices.ContainsFunc(l.harmed[name], func(s span) bool { return s.holds(at) })
}

// nameLimit makes one worker, or sometimes each of them, state a new limit or none.
func (s *site) nameLimit(_ context.Context, _ time.Duration) string {
	workers := []*soakWorker{s.anyWorker()}
	if s.random.IntN(4) == 0 {
		workers = s.standing()
	}
	perSecond := 0.0
	if s.random.IntN(3) > 0 {
		perSecond = math.Round(10*(lowestLimit+s.random.Float64()*(highestLimit-lowestLimit))) / 10
	}
	for _, worker := range workers {
		s.limits.name(worker, perSecond, time.Now())
	}
	return fmt.Sprintf("%d workers, first %s, take %.1f requests a second (0: all)", len(workers), workers[0].ID(), perSecond)
}

// endLimits makes all workers state no limit.
func (s *site) endLimits() {
	for _, worker := range s.standing() {
		s.limits.name(worker, 0, time.Now())
	}
}

// via describes through which node a request went, which worker answered, and when the caller
// received the head of the answer.
type via struct {
	node           string
	sent, answered time.Time
	worker         string
	// limited reports whether the answer stated a limit, and leaving whether it announced that
	// the worker is about to end.
	limited, leaving bool
}

// problems returns the limits that were exceeded. An arrival counts if its node has forwarded
// an answer in which the worker stated the limit, and neither was affected by a fault.
func (l *limits) problems(workers []*soakWorker, requests map[string]via) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var broken []string
	for _, limit := range l.named {
		for _, worker := range workers {
			if worker.ID() != limit.worker {
				continue
			}
			times := l.counted(limit, worker.Arrivals(), requests)
			most := limitOver*limit.perSecond*limitWindow.Seconds() + limitSlack
			if count := fleetworker.MaxInWindow(times, limitWindow); float64(count) > most {
				broken = append(broken, fmt.Sprintf("%s takes %.1f requests a second and got %d in %v, %.1f are allowed", limit.worker, limit.perSecond, count, limitWindow, most))
			}
		}
	}
	return broken
}

// counted returns the times of the arrivals that count towards a limit.
func (l *limits) counted(limit limitSpan, arrivals []fleetworker.Arrival, requests map[string]via) []time.Time {
	told := make(map[string]time.Time)
	for _, request := range requests {
		if request.worker != limit.worker || !request.limited || !limit.holds(request.answered) {
			continue
		}
		if first, known := told[request.node]; !known || request.answered.Before(first) {
			told[request.node] = request.answered
		}
	}
	var times []time.Time
	for _, arrival := range arrivals {
		request, known := requests[arrival.ID]
		since, isTold := told[request.node]
		switch {
		case !known || !isTold || arrival.At.Before(since.Add(limitTold)):
		case !limit.holds(arrival.At) || arrival.At.Before(limit.from.Add(limitCalm)):
		case l.isHarmed(request.node, arrival.At) || l.isHarmed(limit.worker, arrival.At):
		default:
			times = append(times, arrival.At)
		}
	}
	return times
}

// vias returns the requests that callers sent, by id.
func (l *load) vias() map[string]via {
	l.mu.Lock()
	defer l.mu.Unlock()
	requests := make(map[string]via, len(l.seen))
	for _, got := range l.seen {
		requests[got.id] = via{
			node: got.node, sent: got.sent, answered: got.answered,
			worker: got.header.Get("X-Instance-Id"), limited: got.header.Get("Server-Limit") != "",
			leaving: got.header.Get("Server-Leaving") != "",
		}
	}
	return requests
}
