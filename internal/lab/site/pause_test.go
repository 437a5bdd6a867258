package site

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/tinarch/tinarch/internal/lab/fleetworker"
)

// The promise to a worker that asks a node to be left alone for a time.
const (
	// pauseTold is how long after a worker has asked a node for a pause requests count, and
	// pauseSlack how many may reach it from there until the end of the pause.
	pauseTold  = 500 * time.Millisecond
	pauseSlack = 2
	// pauseSeconds is the pause that workers of these tests ask for.
	pauseSeconds = "6"
)

// mostInPause returns the most requests that reached a worker from one node within a pause that
// the worker had asked that node for, from pauseTold on.
func (p *pressing) mostInPause(worker *fleetworker.Worker) int {
	byNode := make(map[string][]fleetworker.Arrival)
	for _, arrival := range worker.Arrivals() {
		node := p.seen[arrival.ID].node
		byNode[node] = append(byNode[node], arrival)
	}
	most := 0
	for _, arrivals := range byNode {
		for _, asking := range arrivals {
			count := 0
			for _, arrival := range arrivals {
				since := arrival.At.Sub(asking.At)
				if asking.Pause > 0 && since > pauseTold && since < asking.Pause {
					count++
				}
			}
			most = max(most, count)
		}
	}
	return most
}

// TestWorkerThatAsksForAPauseIsLeftAlone: others of its service take requests.
func TestWorkerThatAsksForAPauseIsLeftAlone(t *testing.T) {
	t.Parallel()
	for _, pausing := range [][]string{{"portal-1", "write-1"}, {"read-1"}} {
		t.Run(strings.Join(pausing, " "), func(t *testing.T) {
			t.Parallel()
			leaveAlone(t, pausing)
		})
	}
}

func leaveAlone(t *testing.T, pausing []string) {
	s := startPressed(t)
	for _, id := range pausing {
		s.workers[id].SetPause(pauseSeconds)
	}
	begun := time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), pressedFor)
	defer cancel()
	seen := s.pressNodes(ctx, 3, "/board/1", "/verdict/1", "/submit/1", "/check/1")
	for _, id := range pausing {
		if got := seen.mostInPause(s.workers[id]); got > pauseSlack {
			t.Errorf("%s asked a node to be left alone for %s s and got %d requests from it, %d are allowed", id, pauseSeconds, got, pauseSlack)
		}
	}
	refused := 0
	for _, one := range seen.seen {
		if one.status != http.StatusOK && one.sent.After(begun.Add(pauseTold)) {
			refused++
		}
	}
	if refused > 0 {
		t.Errorf("%d of %d requests weren't served although it was known who takes them", refused, len(seen.seen))
	}
}
