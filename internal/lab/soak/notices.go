package soak

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/tinarch/tinarch/internal/lab/fleetworker"
)

// What a worker is promised that says it takes no requests.
const (
	// drainBound is how long after a node has passed on an answer that says its worker is about
	// to end a caller may send the last request that reaches the worker from there.
	drainBound = 2 * time.Second
	// pauseTold is how long after a worker has asked a node for a pause requests count, and
	// pauseSlack how many may reach it from there until the end of the pause.
	pauseTold  = 500 * time.Millisecond
	pauseSlack = 2
	// leavingFor is how long a worker serves that is about to end.
	leavingFor = 5 * time.Second
	// leastStanding is how many workers of a service stay.
	leastStanding = 2
)

// pauses are the times in seconds for which workers ask to be left alone.
var pauses = []string{"0.7", "1", "2.5", "4"}

// notices counts what workers said. It is safe for concurrent use.
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

// counted returns how many workers said that they are about to end, and how many asked for pauses.
func (n *notices) counted() (leaving, paused int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leaving, n.paused
}

// announceEnd has a worker say in its answers that it is about to end, and end later. Its entry
// says that it is ready.
func (s *site) announceEnd(_ context.Context, _ time.Duration) string {
	worker := s.anyWorker()
	stay := slices.DeleteFunc(s.standing(), func(other *soakWorker) bool {
		return other.leaving.Load() || other.options.Service != worker.options.Service || other.options.Stage != worker.options.Stage
	})
	if worker.leaving.Load() || len(stay) <= leastStanding {
		return worker.ID() + " stays"
	}
	worker.leaving.Store(true)
	worker.SetLeaving(true)
	s.notices.count(1, 0)
	time.AfterFunc(leavingFor, func() {
		worker.Close()
		s.fall(worker, worker.options)
	})
	return fmt.Sprintf("%s is about to end in %v", worker.ID(), leavingFor)
}

// askForPause has a worker, or now and then each of them, reject requests for a time and ask to be
// left alone.
func (s *site) askForPause(ctx context.Context, length time.Duration) string {
	workers := []*soakWorker{s.anyWorker()}
	if s.random.IntN(4) == 0 {
		workers = s.standing()
	}
	pause := pauses[s.random.IntN(len(pauses))]
	for _, worker := range workers {
		worker.SetBackoff(pause)
	}
	s.notices.count(0, len(workers))
	sleep(ctx, length)
	for _, worker := range workers {
		worker.SetBackoff("")
	}
	return fmt.Sprintf("%d workers, first %s, ask for pauses of %s s for %v", len(workers), workers[0].ID(), pause, length.Round(time.Millisecond))
}

// noticeProblems returns the promises to workers that say they take no requests which were broken.
func (s *site) noticeProblems(requests map[string]via) []string {
	s.limits.mu.Lock()
	defer s.limits.mu.Unlock()
	var broken []string
	for _, worker := range s.everyWorker() {
		arrivals := worker.Arrivals()
		if late := s.limits.sentTooLate(worker.ID(), arrivals, requests); late > 0 {
			broken = append(broken, fmt.Sprintf("%s was about to end; %d requests reached it that callers sent later than %v after their node had passed that on", worker.ID(), late, drainBound))
		}
		if most := s.limits.mostInPause(worker.ID(), arrivals, requests); most > pauseSlack {
			broken = append(broken, fmt.Sprintf("%s asked a node for a pause and got %d requests from it in that time, %d are allowed", worker.ID(), most, pauseSlack))
		}
	}
	return broken
}

// sentTooLate counts the requests that reached a worker from a node although their callers had
// sent them later than drainBound after the node passed on that the worker is about to end.
func (l *limits) sentTooLate(worker string, arrivals []fleetworker.Arrival, requests map[string]via) int {
	told := make(map[string]time.Time)
	for _, request := range requests {
		if request.worker != worker || !request.leaving {
			continue
		}
		if first, known := told[request.node]; !known || request.answered.Before(first) {
			told[request.node] = request.answered
		}
	}
	count := 0
	for _, arrival := range arrivals {
		request := requests[arrival.ID]
		since, isTold := told[request.node]
		if isTold && request.sent.After(since.Add(drainBound)) && !l.harmedWithin(request.node, since, arrival.At) {
			count++
		}
	}
	return count
}

// mostInPause returns the most requests that reached a worker from one node within a pause that
// the worker had asked that node for, from pauseTold on.
func (l *limits) mostInPause(worker string, arrivals []fleetworker.Arrival, requests map[string]via) int {
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
				if since <= pauseTold || since >= asking.Backoff {
					continue
				}
				if !l.harmedWithin(node, asking.At, arrival.At) && !l.harmedWithin(worker, asking.At, arrival.At) {
					count++
				}
			}
			most = max(most, count)
		}
	}
	return most
}

// harmedWithin reports whether a node, or the way to a worker, was harmed at some moment of a time.
func (l *limits) harmedWithin(name string, from, to time.Time) bool {
	return slices.ContainsFunc(l.cut[name], func(s span) bool { return s.from.Before(to) && from.Before(s.to) })
}
