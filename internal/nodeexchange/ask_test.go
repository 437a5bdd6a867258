package nodeexchange

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/tinarch/tinarch/internal/prefixcache"
	"github.com/tinarch/tinarch/internal/scheduling"
	"github.com/tinarch/tinarch/internal/worker"
)

func TestLoadReportSurvivesEncoding(t *testing.T) {
	account := scheduling.LoadReport{
		Requests: 3, ReadTokens: 900, ReadAhead: 400, LateTokens: 50, MemoryTokens: 7000, CachedTokens: 12, Changing: true,
		HandleFailure: true, FailureRate: 0.25,
	}
	if diff := cmp.Diff(account, renderLoadReport(account).loadReport()); diff != "" {
		t.Error(diff)
	}
}

// cluster runs exchanges that know each other and communicate over UDP.
func cluster(t *testing.T, nodes int, workers ...string) ([]*Exchange, []*worker.Registry) {
	t.Helper()
	return clusterWithCoordinators(t, make([]TableCoordinator, nodes), workers...)
}

// clusterWith is cluster with exchanges that are prepared before they run.
func clusterWith(t *testing.T, nodes int, prepare func(exchanges []*Exchange), workers ...string) ([]*Exchange, []*worker.Registry) {
	t.Helper()
	return preparedCluster(t, make([]TableCoordinator, nodes), prepare, workers...)
}

// clusterWithCoordinators runs one exchange for each coordinator.
func clusterWithCoordinators(t *testing.T, coordinators []TableCoordinator, workers ...string) ([]*Exchange, []*worker.Registry) {
	t.Helper()
	return preparedCluster(t, coordinators, func([]*Exchange) {}, workers...)
}

func preparedCluster(t *testing.T, coordinators []TableCoordinator, prepare func(exchanges []*Exchange), workers ...string) ([]*Exchange, []*worker.Registry) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var exchanges []*Exchange
	var registries []*worker.Registry
	var listed []Peer
	for i := range coordinators {
		registries = append(registries, newRegistry(workers...))
		exchange, err := Listen("127.0.0.1:0", fmt.Sprint("n", i), "zone", registries[i], quiet())
		if err != nil {
			t.Fatal(err)
		}
		exchange.SetTableCoordinator(coordinators[i])
		exchanges = append(exchanges, exchange)
		listed = append(listed, Peer{Node: exchange.node, Address: exchange.peers.address, Zone: "zone"})
	}
	prepare(exchanges)
	for _, exchange := range exchanges {
		exchange.AddPeers(listed)
		go exchange.Run(ctx)
	}
	t.Cleanup(func() {
		cancel()
		for _, exchange := range exchanges {
			<-exchange.Done()
		}
	})
	return exchanges, registries
}

// TestLoadIsKnownByAsking checks that a node that doesn't track a worker's load learns, by
// asking, of the load that another node has placed, of what the worker has cached, and of its
// failures.
func TestLoadIsKnownByAsking(t *testing.T) {
	exchanges, registries := cluster(t, 30, "w")
	placing, asking := -1, -1
	for i, exchange := range exchanges {
		if exchange.Tracked([]string{"w"})[0] {
			continue
		}
		placing, asking = asking, i
	}
	if placing < 0 {
		t.Fatal("fewer than two of thirty nodes are no homes of the worker")
	}
	parts := []prefixcache.Part{{ID: 7, Tokens: 500}}
	registries[placing].Begin("w", worker.Load{Requests: 2, MemoryTokens: 30})
	registries[placing].ObserveCached("w", parts, time.Now())
	registries[placing].Failed("w", time.Now())
	registries[asking].Begin("w", worker.Load{Requests: 1})
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		account := exchanges[asking].Ask(context.Background(), []string{"w"}, parts, 0).Reports["w"]
		if account.Requests == 2 && account.MemoryTokens == 30 && account.CachedTokens == 500 && account.Avoid {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%+v", account)
		}
	}
}

// TestQuestionsEndWithoutAnAnswer checks that a home that is gone delays a request only once.
func TestQuestionsEndWithoutAnAnswer(t *testing.T) {
	exchange, err := Listen("127.0.0.1:0", "me", "zone", newRegistry("w"), quiet())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = exchange.conn.Close() }()
	var listed []Peer
	for i := range 40 {
		listed = append(listed, Peer{Node: fmt.Sprint(i), Address: addressOf(i)})
	}
	exchange.AddPeers(listed)
	id := "w"
	for i := 0; exchange.Tracked([]string{id})[0]; i++ {
		id = fmt.Sprint("w", i)
	}
	for range homeCount(41) {
		if got := exchange.Ask(context.Background(), []string{id}, nil, 0).Reports; len(got) != 0 {
			t.Errorf("answers: %v", got)
		}
	}
	if _, _, questions := exchange.prepareQuestions([]string{id}, 0); len(questions) != 0 {
		t.Errorf("nodes that didn't answer are asked again: %v", questions)
	}
	if len(exchange.pendingQuestions) != 0 {
		t.Errorf("%d questions are still pending", len(exchange.pendingQuestions))
	}
}

// TestCrossedAnswerIsDropped checks that an answer counts only for its own question and only
// from the node that was asked.
func TestCrossedAnswerIsDropped(t *testing.T) {
	exchange, err := Listen("127.0.0.1:0", "me", "zone", newRegistry("w"), quiet())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = exchange.conn.Close() }()
	exchange.AddPeers([]Peer{{Node: "a", Address: addressOf(1)}, {Node: "b", Address: addressOf(2)}})
	id, pending, questions := exchange.prepareQuestions([]string{"w"}, 0)
	answers := map[string]wireLoadReport{"w": {9}}
	for to := range questions {
		exchange.receiveReply(to, "other", reply{ID: id + 1, Reports: answers})
		other := addressOf(1)
		if to == other {
			other = addressOf(2)
		}
		exchange.receiveReply(other, "other", reply{ID: id, Reports: answers})
	}
	if len(pending.reports) != 0 {
		t.Errorf("%v", pending.reports)
	}
	for to := range questions {
		exchange.receiveReply(to, "other", reply{ID: id, Reports: answers})
	}
	if got := exchange.collectAnswers(id, pending, false).Reports; got["w"].Requests != 9 {
		t.Errorf("%v", got)
	}
}

// TestKeepingAgreesWithKept checks that TrackedEngines and Tracked agree, also after nodes and
// workers were added and removed.
func TestKeepingAgreesWithKept(t *testing.T) {
	exchange, err := Listen("127.0.0.1:0", "me", "zone0", newRegistry("w"), quiet())
	if err != nil {
		t.Fatal(err)
	}
	if _, some := exchange.TrackedEngines(); some {
		t.Error("in a small fleet a node tracks only some workers")
	}
	var engines []worker.Worker
	var ids []string
	for i := range 300 {
		ids = append(ids, fmt.Sprint("w", i))
		engines = append(engines, worker.Worker{ID: ids[i], Service: "llm", Address: "1:1", Stage: worker.Decode})
	}
	check := func() {
		t.Helper()
		keeping, some := exchange.TrackedEngines()
		if !some {
			t.Fatal("a node of a large fleet tracks all workers")
		}
		for i, kept := range exchange.Tracked(ids) {
			if known := exchange.registry.CandidatesAmong("llm", ids[i:i+1], nil, 0, time.Now()); kept != keeping[ids[i]] && len(known) > 0 {
				t.Errorf("%s: TrackedEngines says %v, Tracked %v", ids[i], keeping[ids[i]], kept)
			}
		}
	}
	exchange.registry.Replace(engines)
	for nodes := 30; nodes < 300; nodes += 30 {
		for i := nodes - 30; i < nodes; i++ {
			exchange.AddPeers([]Peer{{Node: fmt.Sprint("n", i), Address: addressOf(i), Zone: fmt.Sprint("zone", i%5)}})
		}
		check()
		exchange.mu.Lock()
		exchange.peers.remove(addressOf(nodes - 7))
		exchange.mu.Unlock()
		check()
		exchange.registry.Replace(engines[:300-nodes/2])
		check()
	}
}
