package worker

import (
	"testing"
	"time"

	"github.com/tinarch/tinarch/internal/topology"
)

func onlyUneven(uneven bool) bool { return uneven }

// TestSharedTokensAreToldOfSelectedServices: what was observed before a service was known to be
// uneven is told too.
func TestSharedTokensAreToldOfSelectedServices(t *testing.T) {
	for name, test := range map[string]struct {
		follow func(bool) bool
		uneven bool
		want   bool
	}{
		"not followed":      {nil, true, false},
		"even service":      {onlyUneven, false, false},
		"uneven service":    {onlyUneven, true, true},
		"every service":     {func(bool) bool { return true }, false, true},
		"no service at all": {func(bool) bool { return false }, true, false},
	} {
		r := NewRegistry(topology.New("a", nil))
		if test.follow != nil {
			r.FollowShared(test.follow)
		}
		r.ObserveShared("s", "", 300, 200, demandStart)
		if test.uneven {
			r.markUneven("s")
		}
		got := r.Demands("s", demandStart)[""]
		if (got.SharedTokens == 300 && got.SharedUnread == 200) != test.want || got.ReadTokens != 0 {
			t.Errorf("%s: %+v, told: want %v", name, got, test.want)
		}
	}
}

// TestSharedTokensOfAllNodesAreAdded in the region that reads them.
func TestSharedTokensOfAllNodesAreAdded(t *testing.T) {
	teller, r := regionalRegistry(), regionalRegistry()
	for _, registry := range []*Registry{teller, r} {
		registry.FollowShared(func(bool) bool { return true })
		registry.ObserveShared("s", "south", 300, 200, time.Now())
	}
	told := teller.Snapshot()
	told.DemandLife = 5 * time.Second
	r.Merge("teller", told, time.Now())
	if got := r.Demands("s", time.Now())["south"]; got.SharedTokens < 500 || got.SharedUnread < 300 {
		t.Errorf("%+v, want nearly 600 and 400", got)
	}
}

// TestServiceIsAskedOnceAnyCallerHasAsked, here or at another node, also if it was refused.
func TestServiceIsAskedOnceAnyCallerHasAsked(t *testing.T) {
	for name, ask := range map[string]func(*Registry){
		"read":    func(r *Registry) { r.ObserveDemand("llm", "", 10, origin) },
		"refused": func(r *Registry) { r.ObserveRefused("llm", "", 10, 10, origin) },
		"running": func(r *Registry) { r.Begin("d", Load{Requests: 1}) },
		"told": func(r *Registry) {
			r.Merge("other", Snapshot{Demand: map[string]Demand{"llm": {Requests: 1}}}, origin)
		},
	} {
		r := newTestRegistry()
		if r.Asked("llm") {
			t.Fatalf("%s: asked before", name)
		}
		ask(r)
		if !r.Asked("llm") || r.Asked("portal") {
			t.Errorf("%s: asked: llm %v, portal %v; want only llm", name, r.Asked("llm"), r.Asked("portal"))
		}
	}
}

// TestUsualSlowdownIsTheLowestStated: load of others on the host only raises it.
func TestUsualSlowdownIsTheLowestStated(t *testing.T) {
	r := newTestRegistry()
	slowdown := func(id string) float64 {
		for _, engine := range r.Engines("llm", origin) {
			if engine.ID == id {
				return engine.Slowdown
			}
		}
		return -1
	}
	for _, factor := range []float64{1.75, 0.7, 1.75} {
		r.ObserveHostSlowdown("p", factor, origin)
	}
	if slowdown("p") != 0.7 || slowdown("d") != 0 {
		t.Errorf("slowdown %v of p and %v of d, want 0.7 and 0", slowdown("p"), slowdown("d"))
	}
}
