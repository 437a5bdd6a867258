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

// unfencedLife is that of the leases here: they lapse within a test.
const unfencedLife = time.Second

// stagedFleet is a fleet of which some workers show another stage.
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

// SetChanging forgets: another node doesn't know.
func (stagedFleet) SetChanging(string, bool, time.Time) {}

// unfenced returns a controller of a node whose own view of the fleet knows of no order.
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

// orderAll lets a controller that has the authority order workers to write.
func orderAll(t *testing.T, c *Controller, ids ...string) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); c.options.Authority.Acquire(context.Background()) != authority.Held; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the authority is never free")
		}
	}
	var orders []stageplan.Order
	for _, id := range ids {
		orders = append(orders, stageplan.Order{Worker: id, Reason: stageplan.DecodeBottleneck})
	}
	c.giveAll(context.Background(), Service{Name: "s", Switch: time.Second}, stageplan.NewRegionalPlanner(stageplan.DefaultPolicy()), orders)
}

// ordered lists the workers that got orders, and forgets them.
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

// TestNextHolderWaitsForUnansweredOrders: the holder is lost after it sent an order that was
// not answered; the next one orders other workers, and that one only once it shows the
// stage. Orders that were answered hold nobody up.
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
			t.Fatal("the first holder ordered nothing")
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
		t.Error("the next holder orders a worker that may still carry out an order")
	}
	next.unanswered.restoredAt = time.Now().Add(-maxOrderDelay)
	orderAll(t, next, "p1")
	if got := b.ordered(); !got["p1"] {
		t.Error("the next holder orders nothing for ever")
	}
}

// TestAnsweredOrderHoldsNoneUp: of this holder, who knows the answer.
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
			t.Errorf("answer %d: the planner is told that the worker may change: %v", example.status, engines[0].Changing)
		}
	}
}

// TestUnansweredOrderIsForgottenInTime: it can't be carried out for ever.
func TestUnansweredOrderIsForgottenInTime(t *testing.T) {
	b := newHarness(t)
	b.setStatus(0)
	c := b.unfenced("a", b.store)
	orderAll(t, c, "p1")
	c.unanswered.dropSettled(c.options.Fleet, time.Now())
	if len(c.unanswered.orders) != 1 {
		t.Error("forgotten at once")
	}
	c.unanswered.dropSettled(c.options.Fleet, time.Now().Add(maxOrderDelay+time.Second))
	if len(c.unanswered.orders) != 0 {
		t.Error("never forgotten")
	}
}

// TestNothingIsOrderedUnrecorded: while the store doesn't know of an order, it isn't sent.
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
		t.Error("nothing is ordered after the store is back")
	}
}

// lateStore keeps one write of orders back, which may be carried out later.
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

// TestLateRecordUndoesNothing: a record that was given up is carried out behind a newer one.
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
		t.Errorf("the older record was written over the newer: %v, %v", done, err)
	}
	b.setStatus(http.StatusOK)
	orderAll(t, b.unfenced("b", b.store), "p1", "p2")
	if got := b.ordered(); !got["p1"] || got["p2"] {
		t.Errorf("the next holder ordered %v", got)
	}
}
