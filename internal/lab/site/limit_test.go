package site

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// The promise to a worker that names the requests a second which it takes.
const (
	// limitWindow is the time over which what a worker gets is counted, limitOver how many
	// times its limit it may get in it, and limitSlack how many requests besides.
	limitWindow = 4 * time.Second
	limitOver   = 1.5
	limitSlack  = 5
	// limitKnown is how long after its first answer that names a limit a worker's requests
	// count.
	limitKnown = time.Second
	// pressedFor is how long callers press, and pressEvery the pause of each after an answer.
	pressedFor = 8 * time.Second
	pressEvery = 10 * time.Millisecond
)

// most is how many requests a worker with a limit may get in a window.
func most(perSecond float64) int {
	return int(limitOver*perSecond*limitWindow.Seconds() + limitSlack)
}

// busiest returns the most requests that came in a window, of those from a time on.
func busiest(arrivals []time.Time, from time.Time) int {
	busiest, first := 0, 0
	for last, at := range arrivals {
		for first < last && (at.Sub(arrivals[first]) >= limitWindow || arrivals[first].Before(from)) {
			first++
		}
		if !at.Before(from) {
			busiest = max(busiest, last-first+1)
		}
	}
	return busiest
}

// pressed is what callers saw who ask again and again.
type pressed struct {
	served, refused atomic.Int64
	// unpromising counts the refusals that don't say when to come back, and odd all other
	// answers.
	unpromising, odd atomic.Int64
}

// press has callers at each node ask for paths in turn until ctx ends, much more than a worker
// with a limit takes; those who are refused come back when they are told to.
func (s *site) press(ctx context.Context, perNode int, paths ...string) *pressed {
	seen := &pressed{}
	addresses := []string{s.address}
	for _, other := range s.others {
		addresses = append(addresses, other.address)
	}
	var callers sync.WaitGroup
	for _, address := range addresses {
		for number := range perNode {
			callers.Go(func() {
				for count := number; ctx.Err() == nil; count++ {
					seen.count(ctx, s.askAt(address, http.MethodPost, paths[count%len(paths)], nil, "x"))
					time.Sleep(pressEvery)
				}
			})
		}
	}
	callers.Wait()
	return seen
}

func (p *pressed) count(ctx context.Context, got answer) {
	switch got.status {
	case http.StatusOK:
		p.served.Add(1)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		p.refused.Add(1)
		wait, err := time.ParseDuration(got.header.Get("Retry-After") + "s")
		if err != nil || wait <= 0 {
			p.unpromising.Add(1)
			return
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	default:
		p.odd.Add(1)
	}
}

// startPressed starts a site of three nodes that know each other.
func startPressed(t *testing.T) *site {
	t.Helper()
	s := start(t)
	s.addNodes("node-2", "node-3")
	s.awaitPeers()
	return s
}

// TestWorkersGetNoMoreThanTheyTake: on the users' days an engine in need said in each of its
// answers that it took 3.6 requests a second from all nodes together. It got 10 to 19 a second
// from six nodes, for as long as it said so; one node alone sent it more than the whole limit.
func TestWorkersGetNoMoreThanTheyTake(t *testing.T) {
	s := startPressed(t)
	limits := map[string]float64{"portal-1": 2.2, "write-1": 3.6, "read-1": 2.6}
	for id, perSecond := range limits {
		s.workers[id].SetLimit(fmt.Sprint(perSecond))
	}
	ctx, cancel := context.WithTimeout(t.Context(), pressedFor)
	defer cancel()
	seen := s.press(ctx, 4, "/board/1", "/verdict/1", "/submit/1", "/check/1")
	for id, perSecond := range limits {
		arrivals := s.workers[id].Arrivals()
		if len(arrivals) == 0 {
			t.Errorf("%s got nothing: what it takes lay unused", id)
			continue
		}
		if got := busiest(arrivals, arrivals[0].Add(limitKnown)); got > most(perSecond) {
			t.Errorf("%s takes %v a second and got %d requests in %v, %d are allowed", id, perSecond, got, limitWindow, most(perSecond))
		}
	}
	if seen.odd.Load()+seen.unpromising.Load()+seen.refused.Load() > 0 {
		t.Errorf("%d answers were neither served nor refused, %d refused, %d of them without a time to come back; other workers were free",
			seen.odd.Load(), seen.refused.Load(), seen.unpromising.Load())
	}
}
