package stagecontrol

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/tinarch/tinarch/internal/stageplan"
)

// coldFleet has engines of which most decode, and callers that have asked nothing.
type coldFleet struct {
	*fakeFleet
	mu *sync.Mutex
}

// SetChanging may be called for several orders at once.
func (f coldFleet) SetChanging(id string, prefill bool, until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fakeFleet.SetChanging(id, prefill, until)
}

func (f coldFleet) Engines(service string, now time.Time) []stageplan.Worker {
	engines := f.fakeFleet.Engines(service, now)
	for i := range engines {
		engines[i].Prefill = engines[i].ID == "p1"
	}
	return engines
}

// coldHarness is a harness with metrics.
type coldHarness struct {
	*harness
	metrics *prometheus.Registry
}

func newColdHarness(t *testing.T) *coldHarness {
	t.Helper()
	return &coldHarness{newHarness(t), prometheus.NewRegistry()}
}

// ordered returns the number of orders that arrived.
func (b *coldHarness) ordered() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.orders)
}

// figure returns the sum of a gauge's or counter's values over its labels.
func (b *coldHarness) figure(t *testing.T, name string) float64 {
	t.Helper()
	families, err := b.metrics.Gather()
	if err != nil {
		t.Fatal(err)
	}
	sum := 0.0
	for _, family := range families {
		if family.GetName() != name {
			continue
		}
		for _, metric := range family.GetMetric() {
			sum += metric.GetGauge().GetValue() + metric.GetCounter().GetValue()
		}
	}
	return sum
}

// coldController controls coldFleet and has watched it for longer than preparing waits.
func coldController(b *coldHarness, service Service) *Controller {
	c := b.controller("a")
	c.options.Fleet = coldFleet{b.fleet, &sync.Mutex{}}
	c.options.Services = func() []Service { return []Service{service} }
	c.options.Metrics = NewMetrics(b.metrics)
	planner := stageplan.NewRegionalPlanner(stageplan.DefaultPolicy())
	planner.SetColdStart(stageplan.ColdStart{Selected: service.ColdStart, Empty: service.Empty, Switch: service.Switch, MaxOrders: service.MaxPreparing})
	watched := time.Now().Add(-2 * stageplan.DefaultPolicy().Learn)
	planner.Decide(watched, c.options.Fleet.Engines(service.Name, watched), nil, c.hears)
	c.planners[service.Name] = planner
	return c
}

// TestEnginesAreOrderedBeforeTheFirstRequest, and only in services that are selected and that
// nobody has asked.
func TestEnginesAreOrderedBeforeTheFirstRequest(t *testing.T) {
	for name, test := range map[string]struct {
		service Service
		want    int
	}{
		"empty caches": {Service{Name: "s", Switch: 3 * time.Second, ColdStart: true, Empty: true, MaxPreparing: 100}, 3},
		"not selected": {Service{Name: "s", Switch: 3 * time.Second, Empty: true}, 0},
		"asked":        {Service{Name: "s", Switch: 3 * time.Second, ColdStart: true}, 0},
	} {
		b := newColdHarness(t)
		coldController(b, test.service).Step(context.Background())
		if b.ordered() != test.want || len(b.fleet.changing) != test.want {
			t.Errorf("%s: %d orders, %d engines changing, want %d", name, b.ordered(), len(b.fleet.changing), test.want)
		}
	}
}

// TestUnansweredPreparingOrdersAreNotRepeated while they may still be carried out.
func TestUnansweredPreparingOrdersAreNotRepeated(t *testing.T) {
	b := newColdHarness(t)
	b.status = 0
	c := coldController(b, Service{Name: "s", Switch: 3 * time.Second, ColdStart: true, Empty: true, MaxPreparing: 100})
	c.Step(context.Background())
	given := b.ordered()
	for range 3 {
		c.Step(context.Background())
	}
	if given != 3 || b.ordered() != given {
		t.Errorf("%d orders at first and %d later, want 3 and none", given, b.ordered()-given)
	}
}

// TestPhasesAreCountedAndLogged with their inputs, and end where the node stands aside.
func TestPhasesAreCountedAndLogged(t *testing.T) {
	b := newColdHarness(t)
	c := coldController(b, Service{Name: "s", Switch: 3 * time.Second, ColdStart: true, Empty: true, MaxPreparing: 100})
	var lines strings.Builder
	c.options.Log.SetOutput(&lines)
	c.Step(context.Background())
	now, begun := b.figure(t, "tinarch_cold_caches"), b.figure(t, "tinarch_cold_phases_total")
	if now != 1 || begun != 1 || !strings.Contains(lines.String(), "phase=preparing") || !strings.Contains(lines.String(), "decode=5") {
		t.Errorf("%v preparing, %v begun; log: %s", now, begun, lines.String())
	}
	c.endPhases()
	if now := b.figure(t, "tinarch_cold_caches"); now != 0 {
		t.Errorf("%v services preparing at a node that stands aside", now)
	}
}
