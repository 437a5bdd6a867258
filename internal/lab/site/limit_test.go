package site

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tinarch/tinarch/internal/lab/fleetworker"
	"github.com/tinarch/tinarch/internal/settings"
)

// Bounds for a worker that states how many requests per second it accepts.
const (
	// limitWindow is the time over which a worker's requests are counted. In it, a worker may
	// get limitFactor times its limit and limitSlack requests more.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitNoticeDelay is how long after a worker's first answer with a limit requests begin to
	// count.
	limitNoticeDelay = time.Second
	// loadDuration is how long callers send requests, and loadPause each one's pause after an
	// answer.
	loadDuration = 8 * time.Second
	loadPause    = 10 * time.Millisecond
)

// maxRequests returns how many requests a worker with a limit may get in a window.
func maxRequests(perSecond float64) int {
	return int(limitFactor*perSecond*limitWindow.Seconds() + limitSlack)
}

// maxArrivals returns the largest number of arrivals in one window, counting those from a time
// on.
func maxArrivals(arrivals []fleetworker.Arrival, from time.Time) int {
	var times []time.Time
	for _, arrival := range arrivals {
		if !arrival.At.Before(from) {
			times = append(times, arrival.At)
		}
	}
	return fleetworker.MaxInWindow(times, limitWindow)
}

// loadCounts counts the answers to callers that send requests continuously.
type loadCounts struct {
	served, refused atomic.Int64
	// withoutRetryAfter counts refusals without a valid Retry-After, and unexpected counts all
	// other answers.
	withoutRetryAfter, unexpected atomic.Int64
}

// sendLoad runs callers at each node, which request the paths in turn until ctx is done, far
// more often than a worker with a limit accepts. Callers that are refused wait for Retry-After.
func (s *site) sendLoad(ctx context.Context, perNode int, paths ...string) *loadCounts {
	seen := &loadCounts{}
	var callers sync.WaitGroup
	for _, address := range s.addresses() {
		for number := range perNode {
			callers.Go(func() {
				for count := number; ctx.Err() == nil; count++ {
					seen.count(ctx, s.askAt(address, http.MethodPost, paths[count%len(paths)], nil, "x"))
					time.Sleep(loadPause)
				}
			})
		}
	}
	callers.Wait()
	return seen
}

func (p *loadCounts) count(ctx context.Context, got answer) {
	switch got.status {
	case http.StatusOK:
		p.served.Add(1)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		p.refused.Add(1)
		wait, err := time.ParseDuration(got.header.Get("Retry-After") + "s")
		if err != nil || wait <= 0 {
			p.withoutRetryAfter.Add(1)
			return
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	default:
		p.unexpected.Add(1)
	}
}

// startThreeNodes starts a site of three nodes that know each other.
func startThreeNodes(t *testing.T) *site {
	t.Helper()
	s := start(t)
	s.addNodes("node-2", "node-3")
	s.awaitPeers()
	return s
}

// TestWorkersGetNoMoreThanTheyTake: a worker's limit holds for all nodes together. Six nodes
// once forwarded answers with a limit of 3.6 requests per second and went on sending 10 to 19
// per second to that worker: no node read the limit. Had each node kept to it alone, six would
// still have sent six times as much, so one node must count the requests of all. Nothing else
// needs to fail for this to happen.
func TestWorkersGetNoMoreThanTheyTake(t *testing.T) {
	t.Parallel()
	s := startThreeNodes(t)
	limits := map[string]float64{"portal-1": 2.2, "write-1": 3.6, "read-1": 2.6}
	for id, perSecond := range limits {
		s.workers[id].SetLimit(fmt.Sprint(perSecond))
	}
	ctx, cancel := context.WithTimeout(t.Context(), loadDuration)
	defer cancel()
	seen := s.sendLoad(ctx, 4, "/board/1", "/verdict/1", "/submit/1", "/check/1")
	for id, perSecond := range limits {
		arrivals := s.workers[id].Arrivals()
		if len(arrivals) == 0 {
			t.Errorf("%s got no requests although its limit allows some", id)
			continue
		}
		if got := maxArrivals(arrivals, arrivals[0].At.Add(limitNoticeDelay)); got > maxRequests(perSecond) {
			t.Errorf("%s takes %v a second and got %d requests in %v, %d are allowed", id, perSecond, got, limitWindow, maxRequests(perSecond))
		}
	}
	if seen.unexpected.Load()+seen.withoutRetryAfter.Load()+seen.refused.Load() > 0 {
		t.Errorf("%d answers were neither served nor refused, %d refused, %d of them without Retry-After; other workers were free",
			seen.unexpected.Load(), seen.refused.Load(), seen.withoutRetryAfter.Load())
	}
}

// checkLimits reports an error for each worker that got more than its limit, which it stated
// from its first request on.
func (s *site) checkLimits(perSecond float64, ids ...string) {
	s.t.Helper()
	for _, id := range ids {
		arrivals := s.workers[id].Arrivals()
		if len(arrivals) == 0 {
			s.t.Errorf("%s got no requests", id)
			continue
		}
		if got := maxArrivals(arrivals, arrivals[0].At.Add(limitNoticeDelay)); got > maxRequests(perSecond) {
			s.t.Errorf("%s takes %v a second and got %d requests in %v, %d are allowed", id, perSecond, got, limitWindow, maxRequests(perSecond))
		}
	}
}

// setLimits makes workers state a limit.
func (s *site) setLimits(limit string, ids ...string) {
	for _, id := range ids {
		s.workers[id].SetLimit(limit)
	}
}

// sendLoadFor runs sendLoad for a time.
func (s *site) sendLoadFor(span time.Duration, perNode int, path string) *loadCounts {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.t.Context(), span)
	defer cancel()
	return s.sendLoad(ctx, perNode, path)
}

// TestWhatWorkersInNeedTakeIsUsed: if all workers state a limit, as many requests are served as
// they accept; the others wait for their turn or are told when to come back. The end of a limit
// takes effect at once.
func TestWhatWorkersInNeedTakeIsUsed(t *testing.T) {
	t.Parallel()
	s := startThreeNodes(t)
	const perSecond = 3
	s.setLimits(fmt.Sprint(perSecond), "portal-1", "portal-2")
	seen := s.sendLoadFor(loadDuration, 4, "/board/1")
	s.checkLimits(perSecond, "portal-1", "portal-2")
	if least := int64(loadDuration.Seconds() * perSecond); seen.served.Load() < least {
		t.Errorf("%d requests were served, two workers accept %d each", seen.served.Load(), least)
	}
	if seen.unexpected.Load()+seen.withoutRetryAfter.Load() > 0 {
		t.Errorf("%d refused, %d of them without Retry-After, %d unexpected answers", seen.refused.Load(), seen.withoutRetryAfter.Load(), seen.unexpected.Load())
	}
	s.setLimits("", "portal-1", "portal-2")
	s.await("no limit is in force", func() bool {
		return s.ask(http.MethodPost, "/board/1", nil, "x").status == http.StatusOK && s.node.Limited() == 0
	})
	if seen = s.sendLoadFor(time.Second, 1, "/board/1"); seen.refused.Load() > 0 {
		t.Errorf("%d requests were refused after the limits ended", seen.refused.Load())
	}
}

// TestWorkerThatTakesNothingGetsNextToNothing: workers with a limit of zero get almost no
// requests, and callers are refused at once.
func TestWorkerThatTakesNothingGetsNextToNothing(t *testing.T) {
	t.Parallel()
	s := startThreeNodes(t)
	s.setLimits("0", "portal-1", "portal-2")
	seen := s.sendLoadFor(loadDuration, 1, "/submit/1")
	s.checkLimits(0, "portal-1", "portal-2")
	if seen.unexpected.Load()+seen.withoutRetryAfter.Load() > 0 || seen.refused.Load() == 0 {
		t.Errorf("%d refused, %d of them without Retry-After, %d unexpected answers", seen.refused.Load(), seen.withoutRetryAfter.Load(), seen.unexpected.Load())
	}
}

// TestLimitOutlivesNodes: a limit holds while one node is killed and another one starts.
func TestLimitOutlivesNodes(t *testing.T) {
	t.Parallel()
	s := startThreeNodes(t)
	const perSecond = 2.2
	s.setLimits(fmt.Sprint(perSecond), "portal-1", "portal-2", "write-1", "write-2")
	killed := s.others[0]
	s.others = s.others[1:]
	time.AfterFunc(loadDuration/4, killed.node.Close)
	time.AfterFunc(loadDuration/2, func() { s.startNode("node-4", func(*settings.Routed) {}) })
	seen := s.sendLoadFor(loadDuration, 1, "/board/1")
	s.checkLimits(perSecond, "portal-1", "portal-2")
	if seen.served.Load() == 0 || seen.unexpected.Load() > 0 {
		t.Errorf("%d served, %d unexpected answers", seen.served.Load(), seen.unexpected.Load())
	}
}

// TestChangedLimitBinds: a limit holds although it changes, and is invalid at times, in each
// answer.
func TestChangedLimitBinds(t *testing.T) {
	t.Parallel()
	s := startThreeNodes(t)
	ctx, cancel := context.WithCancel(t.Context())
	changing := make(chan struct{})
	go func() {
		defer close(changing)
		for count := 0; ctx.Err() == nil; count++ {
			s.setLimits([]string{"3", "2.5", "few", "2"}[count%4], "portal-1")
			time.Sleep(loadPause)
		}
	}()
	seen := s.sendLoadFor(loadDuration, 1, "/board/1")
	cancel()
	<-changing
	s.checkLimits(3, "portal-1")
	if seen.refused.Load()+seen.unexpected.Load() > 0 {
		t.Errorf("%d refused, %d unexpected answers; the other worker was free", seen.refused.Load(), seen.unexpected.Load())
	}
	s.await("the limit that can't be read is logged", func() bool { return strings.Contains(s.logText(), "limit that can't be read") })
}

// TestLimitEndsWithoutRequests: a limit ends although no requests are sent. Otherwise the
// engine would count as limited forever.
func TestLimitEndsWithoutRequests(t *testing.T) {
	t.Parallel()
	s := start(t)
	s.setLimits("2", "write-1", "write-2")
	s.await("a limit is known", func() bool {
		return s.ask(http.MethodPost, "/verdict/1", nil, "x").status == http.StatusOK && s.node.Limited() > 0
	})
	s.setLimits("", "write-1", "write-2")
	s.await("no limit is known", func() bool { return s.node.Limited() == 0 })
}

// TestCallerThatLeavesGivesItsTurnBack: other requests are served in place of one whose caller
// disconnects while it waits.
func TestCallerThatLeavesGivesItsTurnBack(t *testing.T) {
	t.Parallel()
	s := start(t)
	s.setLimits("0.5", "portal-1", "portal-2")
	for range 6 { // what the workers accept at once
		s.ask(http.MethodPost, "/board/1", nil, "x")
	}
	before := len(s.workers["portal-1"].Arrivals()) + len(s.workers["portal-2"].Arrivals())
	for range 4 {
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.address+"/board/1", strings.NewReader("x"))
		if err != nil {
			t.Fatal(err)
		}
		request.Host = host
		request.Header.Set("X-Request-Id", s.nextID())
		request.Header.Set("X-Deadline-Ms", "7000")
		if response, err := http.DefaultTransport.RoundTrip(request); err == nil {
			_ = response.Body.Close()
		}
		cancel()
	}
	s.await("a caller that stays is served", func() bool { return s.ask(http.MethodPost, "/board/1", nil, "x").status == http.StatusOK })
	after := len(s.workers["portal-1"].Arrivals()) + len(s.workers["portal-2"].Arrivals())
	if after-before < 1 {
		t.Error("no worker got the request")
	}
}

// TestRejectionsDoNotEndALimit: only the answer to a request that was run states or ends a
// limit. A rejection that comes from something in between, or from another worker at the
// address, does not.
func TestRejectionsDoNotEndALimit(t *testing.T) {
	t.Parallel()
	s := startThreeNodes(t)
	const perSecond = 2.2
	s.setLimits(fmt.Sprint(perSecond), "portal-1", "portal-2")
	ctx, cancel := context.WithCancel(t.Context())
	rejecting := make(chan struct{})
	go func() {
		defer close(rejecting)
		for ctx.Err() == nil {
			s.setFaults("portal", fleetworker.Full, 1)
			time.Sleep(loadPause)
		}
	}()
	seen := s.sendLoadFor(loadDuration, 1, "/board/1")
	cancel()
	<-rejecting
	s.checkLimits(perSecond, "portal-1", "portal-2")
	if seen.unexpected.Load()+seen.withoutRetryAfter.Load() > 0 {
		t.Errorf("%d refusals without Retry-After, %d unexpected answers", seen.withoutRetryAfter.Load(), seen.unexpected.Load())
	}
}
