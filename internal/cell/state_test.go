package cell

import (
	"fmt"
	"testing"
	"time"

	tinarchv1 "github.com/tinarch/tinarch/api/tinarch/v1"
	"github.com/tinarch/tinarch/internal/catalog"
	"github.com/tinarch/tinarch/internal/engine"
	"github.com/tinarch/tinarch/internal/result"
)

func snapshot(t *testing.T, revision uint64, change func(*tinarchv1.Catalog)) *catalog.Snapshot {
	t.Helper()
	source := &tinarchv1.Catalog{
		Classes:  []*tinarchv1.PriorityClass{{Name: "high", Rank: 2, Weight: 10}, {Name: "low", Rank: 1, Weight: 1}},
		Pools:    []*tinarchv1.Pool{{Name: "pool", MaxRunningPerEngine: 1}},
		Models:   []*tinarchv1.Model{{Name: "m", Pool: "pool", ContextTokens: 100_000, DefaultVersion: "1"}},
		Versions: []*tinarchv1.ModelVersion{{Model: "m", Name: "1", Weights: "w"}, {Model: "m", Name: "2", Weights: "w2"}},
		Kinds: []*tinarchv1.RequestKind{
			{Name: "urgent", PriorityClass: "high", Model: "m", DeadlineMs: 60_000, MaxOutputTokens: 100, Repeatable: true},
			{Name: "calm", PriorityClass: "low", Model: "m", DeadlineMs: 60_000, MaxOutputTokens: 100},
		},
		Tenants: []*tinarchv1.Tenant{{Name: "t", PriorityClass: "low"}},
	}
	if change != nil {
		change(source)
	}
	compiled, err := catalog.Compile(revision, source)
	if err != nil {
		t.Fatal(err)
	}
	return compiled
}

// fixture is a cell whose engines carry out every order at once.
type fixture struct {
	state    *State
	statuses map[string]engine.Status
	now      time.Duration
}

func newFixture(t *testing.T, engines int) *fixture {
	b := &fixture{state: NewState(Options{Name: "cell", Pool: "pool"}), statuses: map[string]engine.Status{}}
	b.state.SetCatalog(snapshot(t, 1, nil))
	b.state.SetFence(5)
	var machines []Machine
	for i := range engines {
		name := fmt.Sprintf("e%d", i)
		machines = append(machines, Machine{Name: name, Address: name, Pool: "pool"})
		b.statuses[name] = engine.Status{Incarnation: engine.Identifier("i-" + name)}
	}
	b.state.ObserveMachines(machines)
	b.converge()
	return b
}

// converge exchanges orders and status reports until engines and configuration agree.
func (b *fixture) converge() {
	for range 12 {
		for name, status := range b.statuses {
			b.state.ObserveStatus(b.now, name, status)
		}
		for _, instruction := range b.state.Reconcile(b.now) {
			status := b.statuses[instruction.Engine]
			status.Fence, status.LastOrder = instruction.Order.Fence, instruction.Order.ID
			switch instruction.Order.Type {
			case engine.OrderDrain:
				status.Draining = true
			case engine.OrderUndrain:
				status.Draining = false
			case engine.OrderDeploy:
				status.Deployment = *instruction.Order.Target
			}
			b.statuses[instruction.Engine] = status
			b.state.HandleOrderResult(b.now, instruction, status, nil)
		}
	}
}

func (b *fixture) enqueue(t *testing.T, attempt, kind string) {
	t.Helper()
	request := PlaceRequest{Attempt: engine.Identifier(attempt), Tenant: "t", Kind: kind, PromptTokens: 100, OutputTokens: 10, DeadlineMillis: 60_000}
	if _, err := b.state.Enqueue(b.now, request); err != nil {
		t.Fatalf("Enqueue(%s): %v", attempt, err)
	}
}

func placedAttempts(placed []Placed) []string {
	var attempts []string
	for _, p := range placed {
		attempts = append(attempts, string(p.Attempt))
	}
	return attempts
}

func TestEnginesAreClaimedDeployedAndUsed(t *testing.T) {
	b := newFixture(t, 2)
	b.enqueue(t, "a", "urgent")
	placed := b.state.Dispatch(b.now)
	if len(placed) != 1 || placed[0].Ticket.Version != "1" || placed[0].Ticket.Fence != 5 || placed[0].Ticket.Incarnation == "" {
		t.Fatalf("placed %+v, want one attempt with version 1, fence 5 and an incarnation", placed)
	}
}

func TestHigherClassGoesFirstWhenEnginesAreFull(t *testing.T) {
	b := newFixture(t, 1)
	b.enqueue(t, "running", "calm")
	b.state.Dispatch(b.now)
	b.enqueue(t, "calm-1", "calm")
	b.enqueue(t, "urgent-1", "urgent")
	if placed := b.state.Dispatch(b.now); len(placed) != 0 {
		t.Fatalf("a full engine got attempts %v", placedAttempts(placed))
	}
	b.state.Report(Progress{Attempt: "running", Type: ProgressDone})
	if placed := placedAttempts(b.state.Dispatch(b.now)); len(placed) != 1 || placed[0] != "urgent-1" {
		t.Errorf("placed %v, want urgent-1", placed)
	}
}

func TestLeavingEngineGetsNothing(t *testing.T) {
	b := newFixture(t, 2)
	b.state.ObserveMachines([]Machine{{Name: "e0", Address: "e0", Pool: "pool", Leaving: true}, {Name: "e1", Address: "e1", Pool: "pool"}})
	b.enqueue(t, "a", "urgent")
	b.enqueue(t, "b", "urgent")
	placed := b.state.Dispatch(b.now)
	if len(placed) != 1 || placed[0].Ticket.Engine != "e1" {
		t.Errorf("placed %+v, want one attempt on e1", placed)
	}
}

func TestVersionChangeInterruptsNothingAndLimitsUnavailableEngines(t *testing.T) {
	b := newFixture(t, 4)
	b.enqueue(t, "running", "urgent")
	running := b.state.Dispatch(b.now)[0].Ticket.Engine
	b.state.SetCatalog(snapshot(t, 2, func(c *tinarchv1.Catalog) { c.Models[0].DefaultVersion = "2" }))
	b.enqueue(t, "meanwhile", "urgent")
	if placed := b.state.Dispatch(b.now); len(placed) != 1 || placed[0].Ticket.Version != "1" {
		t.Fatalf("during the version change placed %+v, want one attempt with version 1", placed)
	}
	b.state.Report(Progress{Attempt: "meanwhile", Type: ProgressDone})
	for range 3 {
		instructions := b.state.Reconcile(b.now)
		for _, instruction := range instructions {
			if instruction.Engine == running && instruction.Order.Type == engine.OrderDeploy {
				t.Fatal("an engine with an attempt in flight was told to deploy")
			}
		}
		changing := 0
		for _, e := range b.state.ordered {
			if e.control.Changing() {
				changing++
			}
		}
		if changing > 1 {
			t.Fatalf("%d of 4 engines are out of service at once, 25 %% are allowed", changing)
		}
	}
	b.converge()
	b.state.Report(Progress{Attempt: "running", Type: ProgressDone})
	b.converge()
	for name, status := range b.statuses {
		if status.Deployment.Version != "2" || status.Draining {
			t.Errorf("%s has status %+v, want version 2 and not draining", name, status)
		}
	}
}

func TestUnreachableDeadlineIsRefusedAtOnce(t *testing.T) {
	b := newFixture(t, 1)
	_, err := b.state.Enqueue(b.now, PlaceRequest{Attempt: "a", Tenant: "t", Kind: "urgent", PromptTokens: 90_000, OutputTokens: 100, DeadlineMillis: 50})
	if result.CodeOf(err) != result.DeadlineUnreachable || result.From(err).RetryAfterMillis == 0 {
		t.Errorf("got error %v, want DeadlineUnreachable with a time to retry after", err)
	}
}

func TestWaitingRequestExpiresInTime(t *testing.T) {
	b := newFixture(t, 1)
	b.enqueue(t, "running", "calm")
	b.state.Dispatch(b.now)
	b.enqueue(t, "late", "calm")
	b.now = 59*time.Second + 990*time.Millisecond
	refused := b.state.Expire(b.now)
	if len(refused) != 1 || refused[0].Attempt != "late" || result.CodeOf(refused[0].Err) != result.DeadlineUnreachable {
		t.Errorf("refused %+v, want attempt late with DeadlineUnreachable", refused)
	}
}

func TestEngineRestartEndsItsFlights(t *testing.T) {
	b := newFixture(t, 1)
	b.enqueue(t, "lost", "urgent")
	b.state.Dispatch(b.now)
	b.statuses["e0"] = engine.Status{Incarnation: "i2"}
	b.converge()
	if b.state.InFlight() != 0 {
		t.Errorf("%d attempts in flight on a restarted engine", b.state.InFlight())
	}
	b.enqueue(t, "next", "urgent")
	if placed := b.state.Dispatch(b.now); len(placed) != 1 || placed[0].Ticket.Incarnation != "i2" {
		t.Errorf("placed %+v, want one attempt with incarnation i2", placed)
	}
}

// TestNewLeaderQueuesRequestsUntilEnginesAreClaimed guards against requests being refused
// during the short time in which a new leader has not yet claimed its engines: then requests
// were lost at every change of leader.
func TestNewLeaderQueuesRequestsUntilEnginesAreClaimed(t *testing.T) {
	b := newFixture(t, 1)
	b.state.SetFence(6)
	b.enqueue(t, "a", "urgent")
	if placed := b.state.Dispatch(b.now); len(placed) != 0 {
		t.Fatal("an engine was used before it was claimed")
	}
	b.converge()
	if placed := b.state.Dispatch(b.now); len(placed) != 1 || placed[0].Ticket.Fence != 6 {
		t.Errorf("placed %+v, want one attempt with fence 6", placed)
	}
}

// TestLoadsAreSpacedByTheWeightStoreRate checks that engines begin to load one after the other,
// because loads at the same time would share the weight store's rate.
func TestLoadsAreSpacedByTheWeightStoreRate(t *testing.T) {
	b := &fixture{state: NewState(Options{Name: "cell", Pool: "pool", WeightBytesPerSecond: 1e9}), statuses: map[string]engine.Status{}}
	b.state.SetCatalog(snapshot(t, 1, func(c *tinarchv1.Catalog) { c.Versions[0].SizeBytes = 10e9 }))
	b.state.SetFence(5)
	var machines []Machine
	for i := range 3 {
		name := fmt.Sprintf("e%d", i)
		machines = append(machines, Machine{Name: name, Address: name, Pool: "pool"})
		b.statuses[name] = engine.Status{Incarnation: engine.Identifier("i-" + name)}
	}
	b.state.ObserveMachines(machines)
	b.converge()
	for loaded := 1; loaded <= 3; loaded++ {
		count := 0
		for _, status := range b.statuses {
			if status.Deployment.Model != "" {
				count++
			}
		}
		if count != loaded {
			t.Fatalf("at %v %d engines were told to load, want %d", b.now, count, loaded)
		}
		b.now += 10 * time.Second // the time that one load takes
		b.converge()
	}
}
