package site

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/tinarch/tinarch/internal/lab/fleetworker"
	"github.com/tinarch/tinarch/internal/settings"
)

// drainBound is how long after a worker has told a node that it is about to end a caller may
// send the last request that reaches the worker from there.
const drainBound = 2 * time.Second

// asked is a request as its caller saw it.
type asked struct {
	node string
	sent time.Time
	answer
}

// pressing is what callers saw who ask all nodes again and again, by the id of the request.
type pressing struct {
	mu   sync.Mutex
	seen map[string]asked
}

// pressNodes has callers at each node ask for paths in turn until ctx ends. They come back at
// once when they are refused.
func (s *site) pressNodes(ctx context.Context, perNode int, paths ...string) *pressing {
	p := &pressing{seen: make(map[string]asked)}
	var callers sync.WaitGroup
	for _, address := range s.addresses() {
		for number := range perNode {
			callers.Go(func() {
				for count := number; ctx.Err() == nil; count++ {
					sent := time.Now()
					got := s.askAt(address, http.MethodPost, paths[count%len(paths)], nil, "x")
					p.mu.Lock()
					p.seen[got.id] = asked{node: address, sent: sent, answer: got}
					p.mu.Unlock()
					time.Sleep(pressEvery)
				}
			})
		}
	}
	callers.Wait()
	return p
}

// count returns how many requests had a status.
func (p *pressing) count(status int) int {
	count := 0
	for _, one := range p.seen {
		if one.status == status {
			count++
		}
	}
	return count
}

// sentTooLate counts the requests that reached a worker from a node although their callers had
// sent them later than drainBound after the worker told the node that it is about to end.
func (p *pressing) sentTooLate(worker *fleetworker.Worker) int {
	told := make(map[string]time.Time)
	count := 0
	for _, arrival := range worker.Arrivals() {
		one := p.seen[arrival.ID]
		since, isTold := told[one.node]
		switch {
		case isTold && one.sent.After(since.Add(drainBound)):
			count++
		case !isTold && arrival.Leaving:
			told[one.node] = arrival.At
		}
	}
	return count
}

// TestWorkerThatAnnouncesItsEndGetsNothingNew: its entry says that it is ready all the time.
func TestWorkerThatAnnouncesItsEndGetsNothingNew(t *testing.T) {
	t.Parallel()
	s := startPressed(t)
	leaving := []string{"portal-1", "read-1", "write-1"}
	for _, id := range leaving {
		s.workers[id].SetLeaving(true)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 2*drainBound)
	defer cancel()
	seen := s.pressNodes(ctx, 3, "/board/1", "/verdict/1", "/submit/1", "/check/1")
	for _, id := range leaving {
		if late := seen.sentTooLate(s.workers[id]); late > 0 {
			t.Errorf("%s had said it is about to end; %d requests reached it that callers sent later than %v after", id, late, drainBound)
		}
	}
	if served := seen.count(http.StatusOK); served != len(seen.seen) {
		t.Errorf("%d of %d requests were served; other workers stay", served, len(seen.seen))
	}
}

// TestAnnouncedEndIsKnownToAllNodes: one node's caller brought the answer.
func TestAnnouncedEndIsKnownToAllNodes(t *testing.T) {
	t.Parallel()
	s := startPressed(t)
	s.workers["portal-1"].SetLeaving(true)
	s.await("the worker's answer tells the first node", func() bool {
		return s.ask(http.MethodPost, "/board/1", nil, "x").header.Get("Server-Leaving") != ""
	})
	s.await("all nodes know", func() bool {
		return s.node.Draining() == 1 && s.others[0].node.Draining() == 1 && s.others[1].node.Draining() == 1
	})
	late, _ := s.startNode("node-4", func(*settings.Routed) {})
	s.await("a node that starts later knows", func() bool { return late.Draining() == 1 })
}
