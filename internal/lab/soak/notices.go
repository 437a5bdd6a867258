package soak

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/tinarch/tinarch/internal/lab/fleetworker"
)

// Bounds for a worker that announces that it takes no more requests.
const (
	// drainBound is how long after a node forwarded the announcement that a worker is about to
	// end callers may still send requests that reach the worker through this node.
	drainBound = 2 * time.Second
	// backoffNoticeDelay is how long after a worker asked a node for a backoff requests begin
	// to count. backoffSlack is how many may reach it from that node until the backoff ends.
	backoffNoticeDelay = 500 * time.Millisecond
	backoffSlack       = 2
	// leavingTime is how long a worker still serves after it first announces its end.
	leavingTime = 5 * time.Second
	// minRemaining is the number of workers of a service and stage that must remain.
	minRemaining = 2
)

// backoffs are the backoffs that workers ask for, in seconds.
var backoffs = []string{"0.7", "1", "2.5", "4"}

// notices counts the announcements of workers. It is safe for concurrent use.
type notices struct {
	mu              sync.Mutex
	leaving, paused int
}

func (n *notices) count(leaving, paused int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leaving += leaving
	n.paused += paused
}

// counted returns how often workers announced their end and asked for a backoff.
func (n *notices) counted() (leaving, paused int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leaving, n.paused
}

// announceEnd makes a worker announce in its answers that it is about to end, and ends it
// later. Its list entry still says that it is ready.
func (s *site) announceEnd(_ context.Context, _ time.Duration) string {
	worker := s.randomWorker()
	stay := slices.DeleteFunc(s.runningWorkers(), func(other *soakWorker) bool {
		return other.leaving.Load() || other.options.Service != worker.options.Service || other.options.Stage != worker.options.Stage
	})
	if worker.leaving.Load() || len(stay) <= minRemaining {
		return worker.ID() + " stays"
	}
	worker.leaving.Store(true)
	worker.SetLeaving(true)
	s.notices.count(1, 0)
	time.AfterFunc(leavingTime, func() {
		worker.Close()
		s.replaceEnded(worker, worker.options)
	})
	return fmt.Sprintf("%s is about to end in %v", worker.ID(), leavingTime)
}

// askForBackoff makes one worker, or sometimes each of them, reject requests for a time and ask
// for a backoff.
func (s *site) askForBackoff(ctx context.Context, length time.Duration) string {
	workers := []*soakWorker{s.randomWorker()}
	if s.random.IntN(4) == 0 {
		workers = s.runningWorkers()
	}
	pause := backoffs[s.random.IntN(len(backoffs))]
	for _, worker := range workers {
		worker.SetBackoff(pause)
	}
	s.notices.count(0, len(workers))
	sleep(ctx, length)
	for _, worker := range workers {
		worker.SetBackoff("")
	}
	return fmt.Sprintf("%d workers, first %s, ask for a backoff of %s s for %v", len(workers), workers[0].ID(), pause, length.Round(time.Millisecond))
}

// noticeViolations returns the workers that got too many requests after an announcement.
func (s *site) noticeViolations(requests map[string]trace) []string {
	s.limits.mu.Lock()
	defer s.limits.mu.Unlock()
	var violations []string
	for _, worker := range s.allWorkers() {
		arrivals := worker.Arrivals()
		if late := s.limits.sentTooLate(worker.ID(), arrivals, requests); late > 0 {
			violations = append(violations, fmt.Sprintf("%s was about to end, but %d requests reached it that callers sent more than %v after their node had forwarded that", worker.ID(), late, drainBound))
		}
		if most := s.limits.mostInBackoff(worker.ID(), arrivals, requests); most > backoffSlack {
			violations = append(violations, fmt.Sprintf("%s asked a node for a backoff and got %d requests from it during that time, %d are allowed", worker.ID(), most, backoffSlack))
		}
	}
	return violations
}

// sentTooLate counts the requests that reached a worker although their callers sent them more
// than drainBound after the node had forwarded that the worker is about to end.
func (l *limits) sentTooLate(worker string, arrivals []fleetworker.Arrival, requests map[string]trace) int {
	knownSince := make(map[string]time.Time)
	for _, request := range requests {
		if request.worker != worker || !request.leaving {
			continue
		}
		if first, known := knownSince[request.node]; !known || request.answered.Before(first) {
			knownSince[request.node] = request.answered
		}
	}
	count := 0
	for _, arrival := range arrivals {
		request := requests[arrival.ID]
		since, isKnown := knownSince[request.node]
		if isKnown && request.sent.After(since.Add(drainBound)) && !l.faultWithin(request.node, since, arrival.At) {
			count++
		}
	}
	return count
}

// mostInBackoff returns the largest number of requests that reached a worker from one node
// during a backoff that it had asked that node for, from backoffNoticeDelay on.
func (l *limits) mostInBackoff(worker string, arrivals []fleetworker.Arrival, requests map[string]trace) int {
	byNode := make(map[string][]fleetworker.Arrival)
	for _, arrival := range arrivals {
		if request, known := requests[arrival.ID]; known {
			byNode[request.node] = append(byNode[request.node], arrival)
		}
	}
	most := 0
	for node, arrivals := range byNode {
		for _, asking := range arrivals {
			count := 0
			for _, arrival := range arrivals {
				since := arrival.At.Sub(asking.At)
				if since <= backoffNoticeDelay || since >= asking.Backoff {
					continue
				}
				if !l.faultWithin(node, asking.At, arrival.At) && !l.faultWithin(worker, asking.At, arrival.At) {
					count++
				}
			}
			most = max(most, count)
		}
	}
	return most
}

// faultWithin reports whether a fault affected a node, or the connections to a worker, at some
// moment of a time span.
func (l *limits) faultWithin(name string, from, to time.Time) bool {
	return slices.ContainsFunc(l.faults[name], func(s span) bool { return s.from.Before(to) && from.Before(s.to) })
}
