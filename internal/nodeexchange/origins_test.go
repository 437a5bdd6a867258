package nodeexchange

import (
	"context"
	"testing"
	"time"

	"github.com/tinarch/tinarch/internal/resumption"
	"github.com/tinarch/tinarch/internal/worker"
)

// soleOrigin is a history with one origin, or none if it is nil.
type soleOrigin struct{ sole *resumption.Sole }

func (s soleOrigin) SoleOrigin(string) (resumption.Sole, bool) {
	if s.sole == nil {
		return resumption.Sole{}, false
	}
	return *s.sole, true
}

// withOrigins gives each exchange a memory of streams. It must be called before they run.
func withOrigins(exchanges []*Exchange, history resumption.History) []*resumption.Store {
	var stores []*resumption.Store
	for _, e := range exchanges {
		store := resumption.NewStore()
		e.SetOrigins(store, history)
		stores = append(stores, store)
	}
	return stores
}

func TestStreamIsFoundAfterTheNodeThatBeganItHasEnded(t *testing.T) {
	const nodes = fullTrackingFleet + 5
	began := resumption.Origin{Service: "s", Software: "v1"}
	var stores []*resumption.Store
	exchanges, registries := clusterWith(t, nodes, func(exchanges []*Exchange) { stores = withOrigins(exchanges, soleOrigin{}) }, "w")
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
		answers := exchanges[asking].AskOrigin(context.Background(), resumption.Question{Key: 42})
		if !answers.Known || answers.Origin != began {
			t.Errorf("node %d learns %+v", asking, answers)
		}
	}
}

func TestNodeThatFollowedARouteVouchesForIt(t *testing.T) {
	sole := &resumption.Sole{Origin: resumption.Origin{Service: "s", Software: "v1"}, Since: time.Now().Add(-time.Hour), Confirmed: time.Now()}
	exchanges, _ := clusterWith(t, 2, func(exchanges []*Exchange) { withOrigins(exchanges, soleOrigin{sole}) })
	answers := exchanges[0].AskOrigin(context.Background(), resumption.Question{Key: 42, Route: "r"})
	if answers.Known || answers.Silent != 0 || len(answers.Soles) != 1 {
		t.Fatalf("%+v", answers)
	}
	told := answers.Soles[0]
	if told.Origin != sole.Origin || told.Since.Sub(sole.Since).Abs() > time.Minute || told.Confirmed.After(sole.Confirmed) {
		t.Errorf("%+v was told of %+v", told, sole)
	}
}

func TestOneCallerDoesNotFloodTheNodesWithQuestions(t *testing.T) {
	exchanges, _ := clusterWith(t, 2, func(exchanges []*Exchange) { withOrigins(exchanges, soleOrigin{}) })
	exchanges[0].originQuestions.SetBurst(1)
	exchanges[0].originQuestions.SetLimit(0)
	ask := func() resumption.Answers {
		return exchanges[0].AskOrigin(context.Background(), resumption.Question{Key: 1})
	}
	if first, second := ask(), ask(); first.Silent != 0 || second.Silent != 1 {
		t.Errorf("%d and %d nodes were silent", first.Silent, second.Silent)
	}
}
