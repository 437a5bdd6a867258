package nodeexchange

import (
	"context"
	"testing"
	"time"

	"github.com/tinarch/tinarch/internal/resumption"
	"github.com/tinarch/tinarch/internal/worker"
)

// withOrigins gives each exchange a memory of streams. It must be called before they run.
func withOrigins(exchanges []*Exchange) []*resumption.Store {
	var stores []*resumption.Store
	for _, e := range exchanges {
		store := resumption.NewStore()
		e.SetOrigins(store)
		stores = append(stores, store)
	}
	return stores
}

func TestStreamIsFoundAfterTheNodeThatBeganItHasEnded(t *testing.T) {
	const nodes = fullTrackingFleet + 5
	began := resumption.Origin{Service: "s", Software: "v1"}
	var stores []*resumption.Store
	exchanges, registries := clusterWith(t, nodes, func(exchanges []*Exchange) { stores = withOrigins(exchanges) }, "w")
	registries[3].ObserveStream(worker.Stream{Worker: "w", Key: 42, Origin: began})
	homes := 0
	for end := time.Now().Add(20 * time.Second); homes == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the stream was told to nobody")
		}
		for _, store := range stores {
			if _, known := store.Get(42, time.Now()); known {
				homes++
			}
		}
	}
	for asking := range nodes {
		if asking == 3 {
			continue
		}
		answers := exchanges[asking].AskOrigin(context.Background(), 42)
		if !answers.Known || answers.Origin != began {
			t.Errorf("node %d learns %+v", asking, answers)
		}
	}
}

func TestOneCallerDoesNotFloodTheNodesWithQuestions(t *testing.T) {
	exchanges, _ := clusterWith(t, 2, func(exchanges []*Exchange) { withOrigins(exchanges) })
	exchanges[0].originQuestions.SetBurst(1)
	exchanges[0].originQuestions.SetLimit(0)
	ask := func() resumption.Answers {
		return exchanges[0].AskOrigin(context.Background(), 1)
	}
	if first, second := ask(), ask(); first.Silent != 0 || second.Silent != 1 {
		t.Errorf("%d and %d nodes were silent", first.Silent, second.Silent)
	}
}
