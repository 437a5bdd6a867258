package site

import (
	"net/http"
	"regexp"
	"testing"

	"github.com/tinarch/tinarch/internal/lab/fleetworker"
)

// TestNoWorkerIsARefusal: a request for which there is no worker is refused at once as not run,
// and its caller is told when to come back.
func TestNoWorkerIsARefusal(t *testing.T) {
	s := start(t)
	for id, worker := range s.workers {
		s.store.Put("servers", id, worker.Entry("draining"))
	}
	s.await("all workers are known to drain", func() bool { return s.node.Draining() == len(s.workers) })
	for _, path := range []string{"/board/1", "/submit/1", "/verdict/1", "/check/1"} {
		got := s.ask(http.MethodPost, path, nil, "x")
		if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
			t.Errorf("%s: %d %v", path, got.status, got.header)
		}
	}
}

func TestDrainingWorkerGetsNothing(t *testing.T) {
	s := start(t)
	s.store.Put("servers", "portal-1", s.workers["portal-1"].Entry("draining"))
	s.store.Put("op", "marker", 1)
	s.await("the worker is known to drain", func() bool { return s.node.Draining() == 1 })
	for range 10 {
		s.ask(http.MethodGet, "/board/1", nil, "")
	}
	if runs := s.workers["portal-1"].Runs(); len(runs) != 0 {
		t.Errorf("a draining worker got %d requests", len(runs))
	}
}

// TestOnlyWorkerIsTriedAgain: a failed request is retried at the same worker if there is no
// other.
func TestOnlyWorkerIsTriedAgain(t *testing.T) {
	s := start(t)
	s.store.Put("servers", "portal-2", s.workers["portal-2"].Entry("draining"))
	s.await("one worker drains", func() bool { return s.node.Draining() == 1 })
	s.workers["portal-1"].SetFault(fleetworker.Failing, 1)
	got := s.ask(http.MethodGet, "/board/1", nil, "")
	if got.status != http.StatusOK || len(s.runs(got.id)) != 2 {
		t.Errorf("%d, ran %d times: %s", got.status, len(s.runs(got.id)), got.body)
	}
}

// TestFailureOfTheOnlyWorkerIsPassedOn: once no attempt is left, the caller gets the worker's
// own answer.
func TestFailureOfTheOnlyWorkerIsPassedOn(t *testing.T) {
	s := start(t)
	s.setFaults("portal", fleetworker.Failing, -1)
	got := s.ask(http.MethodGet, "/board/1", nil, "")
	if got.status != http.StatusInternalServerError || got.header.Get("X-Response-Signature") == "" || got.body != "failed" {
		t.Errorf("%d %v %q", got.status, got.header, got.body)
	}
}

// TestVanishedEntriesDoNotStopService: requests are served although the store has dropped the
// entries of all running workers at once.
func TestVanishedEntriesDoNotStopService(t *testing.T) {
	s := start(t)
	for id := range s.workers {
		s.store.Put("servers", id, nil)
	}
	s.await("no worker is listed", func() bool { return s.node.Workers() == 0 })
	for _, path := range []string{"/board/1", "/submit/1", "/verdict/1", "/check/1"} {
		if got := s.ask(http.MethodPost, path, nil, "x"); got.status != http.StatusOK {
			t.Errorf("%s: %d %s", path, got.status, got.body)
		}
	}
	if !s.node.Ready() {
		t.Error("the node is not ready")
	}
}

// TestWorkerThatTakesNoConnectionIsNoAttempt: a refused connection isn't an attempt, since no
// request left the node. Even a request that may be sent to only one worker can then go to
// another.
func TestWorkerThatTakesNoConnectionIsNoAttempt(t *testing.T) {
	s := start(t)
	s.workers["portal-1"].Close()
	for range 4 {
		got := s.ask(http.MethodPost, "/once/1", nil, "x")
		if got.status != http.StatusOK || len(s.runs(got.id)) != 1 {
			t.Errorf("%d, ran %d times: %s", got.status, len(s.runs(got.id)), got.body)
		}
	}
}

// TestRejectingWorkerIsLeftAlone: a worker that rejects requests looks idle but must not
// attract request after request.
func TestRejectingWorkerIsLeftAlone(t *testing.T) {
	s := start(t)
	s.workers["portal-1"].SetFault(fleetworker.Full, -1)
	served := 0
	for range 24 {
		if got := s.ask(http.MethodPost, "/once/1", nil, "x"); got.status == http.StatusOK {
			served++
		}
	}
	if served < 19 {
		t.Errorf("%d of 24 requests were served beside a worker that rejects all", served)
	}
}

func TestPromptIsNotHandedToAnEngineThatDrainsMeanwhile(t *testing.T) {
	s := startUnconfigured(t)
	planned := regexp.MustCompile(`msg=planned.* runner=(\S+)`)
	var leaving string
	s.addWorker(fleetworker.Options{ID: "read-1", Service: llm, Stage: "prefill", OnPrefill: func(string) {
		leaving = planned.FindStringSubmatch(s.logText())[1]
		s.store.Put("servers", leaving, s.workers[leaving].Entry("draining"))
		s.await("the engine is known to drain", func() bool { return s.node.Draining() == 1 })
	}})
	s.addWorker(fleetworker.Options{ID: "write-1", Service: llm, Stage: "decode"})
	s.addWorker(fleetworker.Options{ID: "write-2", Service: llm, Stage: "decode"})
	s.store.Put("op", "config", configuration(1))
	s.await("the node is ready and knows the engines", func() bool { return s.node.Ready() && s.node.Workers() == 3 })
	long := map[string]string{"X-Token-Usage": "60000,20", "X-Prompt-Prefix": "aa:2000,bb:58000"}
	got := s.ask(http.MethodPost, "/verdict/1", long, "x")
	if got.status != http.StatusOK || leaving == "" {
		t.Fatalf("%d, %q leaves: %s", got.status, leaving, got.body)
	}
	if runs := s.workers[leaving].Runs(); len(runs) != 0 {
		t.Errorf("%s ran the request although it was known to drain", leaving)
	}
}
