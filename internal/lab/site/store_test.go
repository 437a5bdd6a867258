package site

import (
	"net/http"
	"testing"
	"time"

	"github.com/tinarch/tinarch/internal/lab/fleetstore"
	"github.com/tinarch/tinarch/internal/lab/fleetworker"
	"github.com/tinarch/tinarch/internal/settings"
)

// TestNewConfigurationIsInForce: a new configuration takes effect, and an invalid or older one
// changes nothing.
func TestNewConfigurationIsInForce(t *testing.T) {
	s := start(t)
	s.store.Put("op", "config", map[string]any{"Version": 2, "Routes": []any{map[string]any{"Name": "r", "PathPrefix": "no-slash"}}})
	s.store.Put("op", "config", "not a configuration")
	s.store.Put("op", "config", configuration(0))
	if got := s.ask(http.MethodGet, "/board/1", nil, ""); got.status != http.StatusOK {
		t.Fatalf("after broken configurations: %d %s", got.status, got.body)
	}
	without := configuration(3)
	without["Routes"] = without["Routes"].([]any)[1:]
	s.store.Put("op", "config", without)
	s.await("the route is gone", func() bool { return s.ask(http.MethodGet, "/board/1", nil, "").status == http.StatusNotFound })
}

// TestUnconfiguredNodeIsNotReady: a node without a configuration answers 503, never 404.
func TestUnconfiguredNodeIsNotReady(t *testing.T) {
	s := startUnconfigured(t)
	if s.node.Ready() {
		t.Error("ready without a configuration")
	}
	got := s.ask(http.MethodGet, "/board/1", nil, "")
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("%d %v", got.status, got.header)
	}
}

// TestServesWithoutTheStore: a node goes on with what it knows while the store is unavailable,
// and follows the changes afterwards even if the store has dropped its change history.
func TestServesWithoutTheStore(t *testing.T) {
	s := start(t)
	for _, faults := range []fleetstore.Faults{{Down: true}, {Throttled: true}, {StaleReads: 1}} {
		s.store.SetFaults(faults)
		s.store.Compact()
		if got := s.ask(http.MethodGet, "/board/1", nil, ""); got.status != http.StatusOK {
			t.Errorf("%+v: %d %s", faults, got.status, got.body)
		}
	}
	s.store.Put("servers", "portal-1", nil)
	s.store.Compact()
	s.store.SetFaults(fleetstore.Faults{})
	s.await("the removed worker is known", func() bool { return s.node.Workers() == len(s.workers)-1 })
}

// TestPlannedStopCutsNothing: a request that is running when the node is told to stop is
// answered completely; its connection is closed after that.
func TestPlannedStopCutsNothing(t *testing.T) {
	s := start(t)
	s.workers["write-1"].Close()
	s.workers["write-2"].Close()
	delete(s.workers, "write-1")
	delete(s.workers, "write-2")
	s.store.Put("servers", "write-1", nil)
	s.store.Put("servers", "write-2", nil)
	s.await("both engines are gone", func() bool { return s.node.Workers() == len(s.workers) })
	s.addWorker(fleetworker.Options{ID: "write-3", Service: llm, Stage: "decode", Events: 20, Pause: 20 * time.Millisecond})
	s.await("only the slow worker is known", func() bool { return s.node.Workers() == len(s.workers) })
	answers := make(chan answer)
	go func() { answers <- s.ask(http.MethodPost, "/verdict/1", nil, "x") }()
	s.await("it runs", func() bool { return len(s.workers["write-3"].Runs()) == 1 })
	stopped := make(chan struct{})
	go func() { defer close(stopped); s.node.Stop("test") }()
	got := <-answers
	if got.status != http.StatusOK || got.readErr != nil || got.body != fleetworker.Body(got.id, 20, 0) {
		t.Errorf("%d %v, %d bytes", got.status, got.readErr, len(got.body))
	}
	s.await("not ready", func() bool { return !s.node.Ready() })
	<-stopped
}

// TestStartingNodeAsksWhatWorkersKeep: a node that starts without another node to ask gets the
// cache lists from the engines.
func TestStartingNodeAsksWhatWorkersKeep(t *testing.T) {
	s := newSite(t)
	s.addWorkers() // a worker missing from the first list would count as new, with an empty cache
	s.store.Put("op", "config", configuration(1))
	s.node, s.address = s.startNode("node-1", func(*settings.Routed) {})
	s.await("each engine was asked", func() bool {
		return s.workers["read-1"].ListCalls() == 1 && s.workers["write-1"].ListCalls() == 1 && s.workers["write-2"].ListCalls() == 1
	})
	if lists := s.workers["portal-1"].ListCalls(); lists != 0 {
		t.Errorf("a worker that isn't an engine was asked %d times", lists)
	}
	s.await("what it keeps is known", func() bool { return s.node.CachedTokens("read-1") == 1210 })
}
