package site

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/tinarch/tinarch/internal/lab/fleetworker"
)

// Bounds for a worker that asks a node for a backoff.
const (
	// backoffNoticeDelay is how long after a worker asked a node for a backoff requests begin
	// to count, and backoffSlack how many may reach it from that node until the backoff ends.
	backoffNoticeDelay = 500 * time.Millisecond
	backoffSlack       = 2
	// backoffSeconds is the backoff that workers in these tests ask for.
	backoffSeconds = "6"
)

// mostInBackoff returns the largest number of requests that reached a worker from one node
// during a backoff that it had asked that node for, from backoffNoticeDelay on.
func (p *loadAnswers) mostInBackoff(worker *fleetworker.Worker) int {
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
				if asking.Backoff > 0 && since > backoffNoticeDelay && since < asking.Backoff {
					count++
				}
			}
			most = max(most, count)
		}
	}
	return most
}

// TestWorkerThatAsksForAPauseIsLeftAlone: workers that ask for a backoff get almost no
// requests, and the others of their service serve them all.
func TestWorkerThatAsksForAPauseIsLeftAlone(t *testing.T) {
	t.Parallel()
	for _, pausing := range [][]string{{"portal-1", "write-1"}, {"read-1"}} {
		t.Run(strings.Join(pausing, " "), func(t *testing.T) {
			t.Parallel()
			checkBackoff(t, pausing)
		})
	}
}

func checkBackoff(t *testing.T, pausing []string) {
	s := startThreeNodes(t)
	s.setBackoffs(backoffSeconds, pausing...)
	begun := time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), loadDuration)
	defer cancel()
	seen := s.sendRecordedLoad(ctx, 3, "/board/1", "/verdict/1", "/submit/1", "/check/1")
	for _, id := range pausing {
		if got := seen.mostInBackoff(s.workers[id]); got > backoffSlack {
			t.Errorf("%s asked a node for a backoff of %s s and got %d requests from it, %d are allowed", id, backoffSeconds, got, backoffSlack)
		}
	}
	refused := 0
	for id, one := range seen.seen {
		if one.status != http.StatusOK && one.sent.After(begun.Add(backoffNoticeDelay)) {
			refused++
			t.Logf("%s, sent after %v: status %d, %v; the nodes' log:\n%s", id, one.sent.Sub(begun), one.status, one.readErr, s.logLinesWith(id))
		}
	}
	if refused > 0 {
		t.Errorf("%d of %d requests weren't served although other workers accept them", refused, len(seen.seen))
	}
}

// TestCallersWaitForAPauseThatEndsInTime: if all workers of a service ask for a backoff that
// ends before the deadline, callers wait for its end.
func TestCallersWaitForAPauseThatEndsInTime(t *testing.T) {
	t.Parallel()
	s := startThreeNodes(t)
	const pause = 400 * time.Millisecond
	s.setBackoffs("0.4", "portal-1", "portal-2")
	first := s.ask(http.MethodPost, "/board/1", nil, "x")
	s.setBackoffs("", "portal-1", "portal-2")
	second := s.ask(http.MethodPost, "/board/1", nil, "x")
	if first.status != http.StatusOK && first.status != http.StatusServiceUnavailable || second.status != http.StatusOK {
		t.Errorf("the callers got %d and %d; the second one has time to wait", first.status, second.status)
	}
	for _, id := range []string{"portal-1", "portal-2"} {
		arrivals := s.workers[id].Arrivals()
		for _, arrival := range arrivals[1:] {
			if since := arrival.At.Sub(arrivals[0].At); since < pause {
				t.Errorf("%s got a request %v after it asked for a backoff of %v", id, since, pause)
			}
		}
	}
}

// TestCallersAreRefusedAtOnceWhereAPauseIsTooLong: if the backoff outlasts the deadline,
// callers are refused at once and told when it ends.
func TestCallersAreRefusedAtOnceWhereAPauseIsTooLong(t *testing.T) {
	t.Parallel()
	s := startThreeNodes(t)
	s.setBackoffs(backoffSeconds, "portal-1", "portal-2", "write-1", "write-2")
	for _, path := range []string{"/board/1", "/submit/1", "/verdict/1", "/check/1"} {
		s.ask(http.MethodPost, path, nil, "x") // both workers of the service get a request and ask for the backoff
		s.ask(http.MethodPost, path, nil, "x")
		begun := time.Now()
		got := s.ask(http.MethodPost, path, nil, "x")
		wait, err := time.ParseDuration(got.header.Get("Retry-After") + "s")
		if got.status != http.StatusServiceUnavailable || err != nil || wait < 5*time.Second {
			t.Errorf("%s: status %d with Retry-After %q; the backoff of 6 s has just begun", path, got.status, got.header.Get("Retry-After"))
		}
		if took := time.Since(begun); took > backoffNoticeDelay {
			t.Errorf("%s: refused after %v, want at once", path, took)
		}
	}
}

// setBackoffs makes workers ask for a backoff.
func (s *site) setBackoffs(seconds string, ids ...string) {
	for _, id := range ids {
		s.workers[id].SetBackoff(seconds)
	}
}

// TestWorkerThatPausesAgainGetsOneRequestFirst guards against several callers that reach a worker
// at the end of its pause, before the answer to the first of them says that it wants another one.
// Each of them costs a retry of the budget.
func TestWorkerThatPausesAgainGetsOneRequestFirst(t *testing.T) {
	t.Parallel()
	s := start(t)
	const pause = 250 * time.Millisecond
	s.setBackoffs("0.25", "portal-1", "read-1")
	ctx, cancel := context.WithTimeout(t.Context(), loadDuration)
	defer cancel()
	s.sendRecordedLoad(ctx, 60, "/board/1", "/verdict/1")
	for _, id := range []string{"portal-1", "read-1"} {
		arrivals := s.workers[id].Arrivals()
		// Requests that are sent before the first one is answered may come together.
		at := slices.IndexFunc(arrivals, isRequest)
		if at < 0 {
			t.Logf("%s got no request", id)
			continue
		}
		first := arrivals[at].At
		early, last := 0, first
		for _, arrival := range arrivals {
			if arrival.At.Sub(first) > backoffNoticeDelay && arrival.At.Sub(last) < pause {
				early++
			}
			if isRequest(arrival) {
				last = arrival.At
			}
		}
		if early > 0 {
			t.Errorf("%s got %d of %d requests earlier than %v after the one before, which it had answered with a pause of that length", id, early, len(arrivals), pause)
		}
	}
}

// isRequest reports whether an arrival is a caller's request. The node's own questions are answered without a pause.
func isRequest(arrival fleetworker.Arrival) bool { return arrival.ID != "" }
