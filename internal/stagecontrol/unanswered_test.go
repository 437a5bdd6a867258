package stagecontrol

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/authority"
	"github.com/tinarch/tinarch/internal/lab/memorystore"
	"github.com/tinarch/tinarch/internal/rowstore"
	"github.com/tinarch/tinarch/internal/stageplan"
	"github.com/tinarch/tinarch/internal/worker"
	"github.com/tinarch/tinarch/internal/workerconn"
)

// unfencedLife is the life of the leases here, which expire within a test.
const unfencedLife = time.Second

// stagedFleet is a fleet in which some workers show the decode stage.
type stagedFleet struct {
	*fakeFleet
	decode map[string]bool
}

func (f stagedFleet) Get(id string) (worker.Worker, bool) {
	known, listed := f.fakeFleet.Get(id)
	if f.decode[id] {
		known.Stage = worker.Decode
	}
	return known, listed
}

// SetChanging does nothing: another node would not know either.
func (stagedFleet) SetChanging(string, bool, time.Time) {}

// unfenced returns the controller of a node whose own view of the fleet contains no orders.
func (b *harness) unfenced(self string, store rowstore.Store, decode ...string) *Controller {
	log := logrus.New()
	log.SetOutput(io.Discard)
	fleet := stagedFleet{&fakeFleet{address: b.fleet.address, changing: make(map[string]time.Time)}, make(map[string]bool)}
	for _, id := range decode {
		fleet.decode[id] = true
	}
	held := authority.New(authority.Options{Self: self, Life: unfencedLife, Store: store, Log: log, Unfenced: true})
	return New(Options{
		Self: self, Authority: held, Wire: fakeProtocol{}, Fleet: fleet, Pool: workerconn.NewPool(), Log: log,
		Unfenced: true, Store: store,
	})
}

// orderAll waits until a controller has the authority and makes it order workers to decode.
func orderAll(t *testing.T, c *Controller, ids ...string) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); c.options.Authority.Acquire(context.Background()) != authority.Held; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the authority could not be acquired within 10 s")
		}
	}
	var orders []stageplan.Order
	for _, id := range ids {
		orders = append(orders, stageplan.Order{Worker: id, Reason: stageplan.DecodeBottleneck})
	}
	c.giveAll(context.Background(), Service{Name: "s", Switch: time.Second}, stageplan.NewRegionalPlanner(stageplan.DefaultPolicy()), orders)
}

// ordered returns the workers that got orders since the last call.
func (b *harness) ordered() map[string]bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	got := make(map[string]bool)
	for _, order := range b.orders {
		got[order.Get("Worker")] = true
	}
	b.orders = nil
	return got
}

func (b *harness) setStatus(status int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.status = status
}

// TestNextHolderWaitsForUnansweredOrders: the holder fails after sending an order that was not
// answered. The next one may order other workers, but that worker only once it shows the stage.
// Answered orders delay nobody.
func TestNextHolderWaitsForUnansweredOrders(t *testing.T) {
	for _, example := range []struct {
		name   string
		status int
		decode []string
		free   bool
	}{
		{"not answered", 0, nil, false},
		{"not answered, carried out since", 0, []string{"p1"}, true},
	} {
		b := newHarness(t)
		b.setStatus(example.status)
		orderAll(t, b.unfenced("a", b.store), "p1")
		if !b.ordered()["p1"] {
			t.Fatal("the first holder sent no order")
		}
		b.setStatus(http.StatusOK)
		orderAll(t, b.unfenced("b", b.store, example.decode...), "p1", "p2")
		if got := b.ordered(); got["p1"] != example.free || !got["p2"] {
			t.Errorf("%s: the next holder ordered %v", example.name, got)
		}
	}
}

func TestNextHolderWaitsForOrdersThatTheStoreHasLost(t *testing.T) {
	b := newHarness(t)
	b.setStatus(0)
	orderAll(t, b.unfenced("a", b.store), "p1")
	b.ordered()
	b.store.Restore(0)
	b.setStatus(http.StatusOK)
	next := b.unfenced("b", b.store)
	orderAll(t, next, "p1")
	if got := b.ordered(); got["p1"] {
		t.Error("the next holder ordered a worker that may still carry out an earlier order")
	}
	next.unanswered.restoredAt = time.Now().Add(-maxOrderDelay)
	orderAll(t, next, "p1")
	if got := b.ordered(); !got["p1"] {
		t.Error("the next holder sent no order after the wait")
	}
}

// TestAnsweredOrderHoldsNoneUp: the same holder, which knows the answer, may order the worker
// again.
func TestAnsweredOrderHoldsNoneUp(t *testing.T) {
	for _, example := range []struct {
		status int
		free   bool
	}{{http.StatusConflict, true}, {0, false}} {
		b := newHarness(t)
		b.setStatus(example.status)
		c := b.unfenced("a", b.store)
		orderAll(t, c, "p1")
		b.ordered()
		b.setStatus(http.StatusOK)
		orderAll(t, c, "p1")
		if got := b.ordered(); got["p1"] != example.free {
			t.Errorf("answer %d: ordered again %v", example.status, got["p1"])
		}
		engines := c.options.Fleet.Engines("s", time.Now())
		c.unanswered.markChanging(c.options.Fleet, engines, time.Now())
		if engines[0].Changing == example.free {
			t.Errorf("answer %d: the worker is marked as changing for the planner: %v", example.status, engines[0].Changing)
		}
	}
}

// TestUnansweredOrderIsForgottenInTime: an unanswered order is dropped once it can't be carried
// out any more.
func TestUnansweredOrderIsForgottenInTime(t *testing.T) {
	b := newHarness(t)
	b.setStatus(0)
	c := b.unfenced("a", b.store)
	orderAll(t, c, "p1")
	c.unanswered.dropSettled(c.options.Fleet, time.Now())
	if len(c.unanswered.orders) != 1 {
		t.Error("the order was dropped at once")
	}
	c.unanswered.dropSettled(c.options.Fleet, time.Now().Add(maxOrderDelay+time.Second))
	if len(c.unanswered.orders) != 0 {
		t.Error("the order was never dropped")
	}
}

// TestNothingIsOrderedUnrecorded: an order that the store could not record is not sent.
func TestNothingIsOrderedUnrecorded(t *testing.T) {
	b := newHarness(t)
	c := b.unfenced("a", b.store)
	orderAll(t, c, "p1")
	b.ordered()
	for _, faults := range []memorystore.Faults{{Down: true}, {LoseWrites: true}} {
		b.store.SetFaults(faults)
		c.giveAll(context.Background(), Service{Name: "s"}, stageplan.NewRegionalPlanner(stageplan.DefaultPolicy()), []stageplan.Order{{Worker: "p2"}})
		if got := b.ordered(); len(got) != 0 {
			t.Errorf("%+v: ordered %v", faults, got)
		}
		b.store.SetFaults(memorystore.Faults{})
	}
	orderAll(t, c, "p2")
	if !b.ordered()["p2"] {
		t.Error("no order after the store is available again")
	}
}

// lateStore holds back one write of orders, which the test carries out later.
type lateStore struct {
	*memorystore.Store
	keep bool
	late rowstore.Transaction
}

func (s *lateStore) Transact(ctx context.Context, transaction rowstore.Transaction) (uint64, bool, error) {
	if s.keep && transaction.Writes[0].Table == orderTable {
		s.keep, s.late = false, transaction
		return 0, false, errors.New("no answer")
	}
	return s.Store.Transact(ctx, transaction)
}

// TestLateRecordUndoesNothing: a write of orders that was given up arrives after a newer one
// and must not overwrite it.
func TestLateRecordUndoesNothing(t *testing.T) {
	b := newHarness(t)
	b.setStatus(0)
	store := &lateStore{Store: b.store, keep: true}
	c := b.unfenced("a", store)
	orderAll(t, c, "p1")
	orderAll(t, c, "p2")
	if got := b.ordered(); got["p1"] || !got["p2"] {
		t.Fatalf("ordered %v", got)
	}
	if _, done, err := b.store.Transact(context.Background(), store.late); done || err != nil {
		t.Errorf("the older record overwrote the newer: %v, %v", done, err)
	}
	b.setStatus(http.StatusOK)
	orderAll(t, b.unfenced("b", b.store), "p1", "p2")
	if got := b.ordered(); !got["p1"] || got["p2"] {
		t.Errorf("the next holder ordered %v", got)
	}
}
