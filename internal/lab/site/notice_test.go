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

// drainBound is how long after a worker announced its end to a node callers may still send
// requests that reach the worker through this node.
const drainBound = 2 * time.Second

// observation is a request and its answer as the caller saw them.
type observation struct {
	node string
	sent time.Time
	answer
}

// loadAnswers holds what callers saw that send requests continuously, by request id.
type loadAnswers struct {
	mu   sync.Mutex
	seen map[string]observation
}

// sendRecordedLoad runs callers at each node, which request the paths in turn until ctx is done.
// Callers that are refused don't wait.
func (s *site) sendRecordedLoad(ctx context.Context, perNode int, paths ...string) *loadAnswers {
	p := &loadAnswers{seen: make(map[string]observation)}
	var callers sync.WaitGroup
	for _, address := range s.addresses() {
		for number := range perNode {
			callers.Go(func() {
				for count := number; ctx.Err() == nil; count++ {
					sent := time.Now()
					got := s.askAt(address, http.MethodPost, paths[count%len(paths)], nil, "x")
					p.mu.Lock()
					p.seen[got.id] = observation{node: address, sent: sent, answer: got}
					p.mu.Unlock()
					time.Sleep(loadPause)
				}
			})
		}
	}
	callers.Wait()
	return p
}

// count returns how many requests were answered with a status.
func (p *loadAnswers) count(status int) int {
	count := 0
	for _, one := range p.seen {
		if one.status == status {
			count++
		}
	}
	return count
}

// sentTooLate counts the requests that reached a worker through a node although their callers
// sent them more than drainBound after the worker announced its end to the node.
func (p *loadAnswers) sentTooLate(worker *fleetworker.Worker) int {
	knownSince := make(map[string]time.Time)
	count := 0
	for _, arrival := range worker.Arrivals() {
		one := p.seen[arrival.ID]
		since, isKnown := knownSince[one.node]
		switch {
		case isKnown && one.sent.After(since.Add(drainBound)):
			count++
		case !isKnown && arrival.Leaving:
			knownSince[one.node] = arrival.At
		}
	}
	return count
}

// TestWorkerThatAnnouncesItsEndGetsNothingNew: a worker that announces its end gets no new
// requests although its list entry says that it is ready.
func TestWorkerThatAnnouncesItsEndGetsNothingNew(t *testing.T) {
	t.Parallel()
	s := startThreeNodes(t)
	leaving := []string{"portal-1", "read-1", "write-1"}
	for _, id := range leaving {
		s.workers[id].SetLeaving(true)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 2*drainBound)
	defer cancel()
	seen := s.sendRecordedLoad(ctx, 3, "/board/1", "/verdict/1", "/submit/1", "/check/1")
	for _, id := range leaving {
		if late := seen.sentTooLate(s.workers[id]); late > 0 {
			t.Errorf("%s announced its end, but %d requests reached it that callers sent more than %v after that", id, late, drainBound)
		}
	}
	if served := seen.count(http.StatusOK); served != len(seen.seen) {
		t.Errorf("%d of %d requests were served; other workers remain", served, len(seen.seen))
	}
}

// TestAnnouncedEndIsKnownToAllNodes: all nodes learn of an announcement that only one node
// received, and so does a node that starts later.
func TestAnnouncedEndIsKnownToAllNodes(t *testing.T) {
	t.Parallel()
	s := startThreeNodes(t)
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
