package stagecontrol

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/authority"
	"github.com/tinarch/tinarch/internal/lab/memorystore"
	"github.com/tinarch/tinarch/internal/stageplan"
	"github.com/tinarch/tinarch/internal/worker"
	"github.com/tinarch/tinarch/internal/workerconn"
)

// fakeFleet has five prefill engines and one decode engine, one prefill engine too many.
type fakeFleet struct {
	address  string
	changing map[string]time.Time
}

func (f *fakeFleet) Engines(string, time.Time) []stageplan.Worker {
	var engines []stageplan.Worker
	for _, id := range []string{"p1", "p2", "p3", "p4", "p5", "d1"} {
		until, ordered := f.changing[id]
		engines = append(engines, stageplan.Worker{
			ID: id, Prefill: strings.HasPrefix(id, "p"), Usable: true, Changing: ordered && time.Now().Before(until),
			Capacity: 1000, Pace: 10,
		})
	}
	return engines
}

func (f *fakeFleet) Demands(string, time.Time) map[string]worker.Demand { return nil }

func (f *fakeFleet) Get(id string) (worker.Worker, bool) {
	return worker.Worker{ID: id, Address: f.address, Stage: worker.Prefill}, true
}

func (f *fakeFleet) SetChanging(id string, _ bool, until time.Time) { f.changing[id] = until }

// fakeProtocol encodes orders as headers.
type fakeProtocol struct{}

func (fakeProtocol) StageOrder(to worker.Worker, prefill bool, holder string, fence uint64) *workerconn.Request {
	header := http.Header{}
	header.Set("Worker", to.ID)
	header.Set("Holder", holder)
	if prefill {
		header.Set("Prefill", "1")
	}
	if fence == 0 {
		header.Set("Unfenced", "1")
	}
	return &workerconn.Request{Method: http.MethodPost, Target: "/", Host: to.Address, Header: header}
}

func (fakeProtocol) OrderVerdict(status int) Verdict {
	switch status {
	case http.StatusOK:
		return Accepted
	case http.StatusConflict:
		return Rejected
	}
	return Unknown
}

// harness is a fake engine and a store for controllers under test.
type harness struct {
	store  *memorystore.Store
	fleet  *fakeFleet
	orders []http.Header
	status int
	mu     sync.Mutex
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	b := &harness{store: memorystore.New(), status: http.StatusOK}
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		b.mu.Lock()
		b.orders = append(b.orders, request.Header.Clone())
		status := b.status
		b.mu.Unlock()
		if status == 0 {
			panic(http.ErrAbortHandler)
		}
		writer.WriteHeader(status)
	}))
	t.Cleanup(server.Close)
	b.fleet = &fakeFleet{address: strings.TrimPrefix(server.URL, "http://"), changing: make(map[string]time.Time)}
	return b
}

func (b *harness) controller(self string) *Controller { return b.controllerWith(self, nil) }

// leaseLife is the life of the tests' leases.
const leaseLife = 3 * time.Second

func (b *harness) controllerWith(self string, stepBack func(time.Duration)) *Controller {
	log := logrus.New()
	log.SetOutput(io.Discard)
	held := authority.New(authority.Options{Self: self, Life: leaseLife, Store: b.store, Log: log, StepBack: stepBack})
	return New(Options{
		Self: self, Authority: held, Wire: fakeProtocol{}, Fleet: b.fleet, Pool: workerconn.NewPool(), Log: log,
		Services:   func() []Service { return []Service{{Name: "s", Switch: time.Second}} },
		Designated: func() bool { return true },
	})
}

// order makes a controller send one order.
func order(c *Controller) {
	c.give(context.Background(), Service{Name: "s", Switch: time.Second}, stageplan.New(stageplan.DefaultPolicy()), stageplan.Order{Worker: "p1", Reason: stageplan.DecodeBottleneck})
}

func TestOrdersCarryAFenceAndMarkTheWorker(t *testing.T) {
	b := newHarness(t)
	order(b.controller("a"))
	if len(b.orders) != 1 || b.orders[0].Get("Worker") != "p1" || b.orders[0].Get("Holder") != "a" || b.orders[0].Get("Unfenced") != "" {
		t.Fatalf("%v", b.orders)
	}
	if time.Until(b.fleet.changing["p1"]) <= 0 {
		t.Error("the worker of an accepted order isn't marked as changing")
	}
}

// TestOnlyTheHolderSendsOrders: a second node waits as long as the first one may act.
func TestOnlyTheHolderSendsOrders(t *testing.T) {
	b := newHarness(t)
	order(b.controller("a"))
	order(b.controller("b"))
	if len(b.orders) != 1 {
		t.Errorf("%d orders by two nodes, want 1", len(b.orders))
	}
	again := b.controller("a")
	order(again)
	if len(b.orders) != 2 {
		t.Errorf("the same incarnation can't send orders again: %d orders", len(b.orders))
	}
}

func TestNoOrderWithoutTheStore(t *testing.T) {
	b := newHarness(t)
	b.store.SetFaults(memorystore.Faults{Down: true})
	order(b.controller("a"))
	b.store.SetFaults(memorystore.Faults{LoseWrites: true})
	order(b.controller("a"))
	if len(b.orders) != 0 {
		t.Errorf("%d orders without authority", len(b.orders))
	}
}

func TestHeldLeaseCostsNoCalls(t *testing.T) {
	b := newHarness(t)
	c := b.controller("a")
	for range 5 {
		order(c)
	}
	if b.store.Calls() != 2 || len(b.orders) != 5 {
		t.Errorf("%d store calls for %d orders", b.store.Calls(), len(b.orders))
	}
}

// TestUnansweredOrderMayStillBeCarriedOut: its worker is not used for a long time, while the
// worker of a rejected order is used at once.
func TestUnansweredOrderMayStillBeCarriedOut(t *testing.T) {
	b := newHarness(t)
	b.status = 0
	order(b.controller("a"))
	if left := time.Until(b.fleet.changing["p1"]); left < 10*time.Second {
		t.Errorf("the worker of an unanswered order is not used for only %v", left)
	}
	b = newHarness(t)
	b.status = http.StatusConflict
	order(b.controller("a"))
	if _, marked := b.fleet.changing["p1"]; marked {
		t.Error("the worker of a rejected order is marked as changing")
	}
}

// TestStepSendsPlannedOrders: with one decode engine of six, another engine is ordered to
// decode once the shortage has lasted.
func TestStepSendsPlannedOrders(t *testing.T) {
	b := newHarness(t)
	c := b.controller("a")
	for end := time.Now().Add(20 * time.Second); len(b.fleet.changing) == 0; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no order within 20 s")
		}
		c.Step(context.Background())
	}
	for range 5 {
		c.Step(context.Background())
	}
	if len(b.orders) != 1 || b.orders[0].Get("Prefill") != "" {
		t.Errorf("%v", b.orders)
	}
}

// TestNodeWithoutTheStoreStandsAside: a node that can't read the lease steps back so that
// another node sends the orders. A node that only waits for another's lease does not.
func TestNodeWithoutTheStoreStandsAside(t *testing.T) {
	b := newHarness(t)
	stood := 0
	cut := b.controllerWith("a", func(span time.Duration) {
		stood++
		// Another node first looks at the lease when it hears of this, and takes the lease once
		// it has seen it unchanged for its life and a margin (docs/incidents/inc-6b64.md).
		const heard = 2 * time.Second
		if takes := heard + leaseLife*11/10; span < takes {
			t.Errorf("steps back for %v, but another node takes the lease after up to %v", span, takes)
		}
	})
	b.store.SetFaults(memorystore.Faults{Down: true})
	order(cut)
	if stood != 1 {
		t.Errorf("a node that can't read the lease stepped back %d times, want once", stood)
	}
	b.store.SetFaults(memorystore.Faults{})
	order(b.controller("b"))
	order(cut)
	if stood != 1 || len(b.orders) != 1 {
		t.Errorf("after a node waited for a lease: stepped back %d times, %d orders, want 1 and 1", stood, len(b.orders))
	}
}
