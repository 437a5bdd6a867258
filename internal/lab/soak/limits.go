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

// What a worker is promised that names how many requests a second it takes from all nodes
// together: limitOver times that in each window, and limitSlack requests.
const (
	limitWindow = 4 * time.Second
	limitOver   = 1.5
	limitSlack  = 5
	// limitTold is how long after it has passed an answer on that names a limit a node counts.
	limitTold = 500 * time.Millisecond
	// limitCalm is how long after the start of a limit, and after the end of harm, requests
	// count.
	limitCalm = 3 * time.Second
)

// The limits that workers name, in requests a second; an engine of a soak gets about ten.
const (
	lowestLimit  = 1.0
	highestLimit = 5.0
)

// span is a part of a soak; one without an end lasts.
type span struct{ from, to time.Time }

func (s span) holds(at time.Time) bool {
	return !at.Before(s.from) && (s.to.IsZero() || at.Before(s.to))
}

// limitSpan is a time for which a worker names one limit.
type limitSpan struct {
	span
	worker    string
	perSecond float64
}

// limits follows from outside which limits workers name, and what was harmed. The zero value
// has none. It is safe for concurrent use.
type limits struct {
	mu     sync.Mutex
	named  []limitSpan
	harmed map[string][]span
	// cut are the same times without limitCalm.
	cut map[string][]span
}

// name has a worker name a limit from now on, none where it is zero.
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

// harm records that a node, or the way to a worker, was harmed for a time.
func (l *limits) harm(name string, from, to time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.harmed == nil {
		l.harmed, l.cut = make(map[string][]span), make(map[string][]span)
	}
	l.cut[name] = append(l.cut[name], span{from: from, to: to.Add(thawSlack)})
	l.harmed[name] = append(l.harmed[name], span{from: from, to: to.Add(limitCalm)})
}

// isHarmed reports whether a node or the way to a worker was harmed at a time or just before.
func (l *limits) isHarmed(name string, at time.Time) bool {
	return slices.ContainsFunc(l.harmed[name], func(s span) bool { return s.holds(at) })
}

// nameLimit has a worker, or now and then each of them, name a limit, another one, or none any
// more.
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

// endLimits has no worker name a limit any more.
func (s *site) endLimits() {
	for _, worker := range s.standing() {
		s.limits.name(worker, 0, time.Now())
	}
}

// via tells through which node each request came, and when its caller had the head of its
// answer.
type via struct {
	node           string
	sent, answered time.Time
	worker         string
	// limited tells that the answer named a limit, and leaving that its worker was about to end.
	limited, leaving bool
}

// problems returns the limits that were exceeded: each arrival counts whose node has passed on
// an answer of the same worker that names the limit, and isn't harmed.
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

// counted are the times of the arrivals that count under a limit.
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

// vias are the requests that callers sent.
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
