package stagecontrol

import (
	"context"
	"encoding/json"
	"maps"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/authority"
	"github.com/tinarch/tinarch/internal/rowstore"
	"github.com/tinarch/tinarch/internal/stageplan"
	"github.com/tinarch/tinarch/internal/worker"
)

// The row that records orders which may be unanswered.
const (
	orderTable = "orders"
	orderKey   = "stages"
	// storeTimeout bounds a call to the store, as in package authority.
	storeTimeout = 800 * time.Millisecond
)

// unansweredOrder is an order that may still be carried out until a given time.
type unansweredOrder struct {
	prefill bool
	until   time.Time
}

// rowValue is the content of the row: for each worker, whether it was ordered to the prefill
// stage.
type rowValue struct {
	Prefill map[string]bool `json:"prefill"`
}

// unanswered tracks the orders that engines which don't compare fences may still carry out:
// until then a worker gets no other order. Orders are recorded in the store before they are
// sent, so that the next holder of the lease knows them too. It is not safe for concurrent use.
type unanswered struct {
	store     rowstore.Store
	authority *authority.Authority
	log       *logrus.Logger
	orders    map[string]unansweredOrder
	// readFence is the fence under which this node read the row. All changes since then are its
	// own.
	readFence uint64
	// version is the version of the row if versionKnown: a write that was not answered may have
	// been carried out, or may still be.
	version      uint64
	versionKnown bool
	// era is the store's era when last seen, and restoredAt when it was first seen to have
	// changed because the store was restored, zero if it hasn't.
	era        uint64
	restoredAt time.Time
}

func newUnanswered(options Options) *unanswered {
	return &unanswered{
		store: options.Store, authority: options.Authority, log: options.Log,
		orders: make(map[string]unansweredOrder),
	}
}

// prepare takes over the orders of an earlier holder and records the orders that are about to
// be sent. It returns the orders that may be sent, none if the store could not record them.
func (u *unanswered) prepare(ctx context.Context, fleet Fleet, orders []stageplan.Order, now time.Time) ([]stageplan.Order, error) {
	if err := u.takeOver(ctx, now); err != nil {
		return nil, err
	}
	u.dropSettled(fleet, now)
	var free []stageplan.Order
	for _, order := range orders {
		if _, waiting := u.orders[order.Worker]; !waiting {
			free = append(free, order)
		}
	}
	if len(free) == 0 {
		return nil, nil
	}
	if err := u.record(ctx, free); err != nil {
		return nil, err
	}
	for _, order := range free {
		u.orders[order.Worker] = unansweredOrder{prefill: order.Prefill, until: now.Add(maxOrderDelay)}
	}
	return free, nil
}

// answered removes the order of a worker that has answered it.
func (u *unanswered) answered(id string) { delete(u.orders, id) }

// markChanging marks workers that may still carry out an order, so that the planner leaves them
// alone.
func (u *unanswered) markChanging(fleet Fleet, engines []stageplan.Worker, now time.Time) {
	u.dropSettled(fleet, now)
	for i := range engines {
		_, waiting := u.orders[engines[i].ID]
		engines[i].Changing = engines[i].Changing || waiting
	}
}

// dropSettled removes orders that are too old to be carried out, and those whose worker is gone
// or has the ordered stage.
func (u *unanswered) dropSettled(fleet Fleet, now time.Time) {
	maps.DeleteFunc(u.orders, func(id string, order unansweredOrder) bool {
		known, listed := fleet.Get(id)
		return !listed || now.After(order.until) || (known.Stage == worker.Prefill) == order.prefill
	})
}

// takeOver reads the row when this node has newly taken the authority.
func (u *unanswered) takeOver(ctx context.Context, now time.Time) error {
	term, held := u.authority.Term()
	if !held {
		return eris.New("the authority expired")
	}
	if term.Fence == u.readFence && u.versionKnown {
		return nil
	}
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	content, version, err := u.store.ReadRow(callCtx, orderTable, orderKey)
	if err != nil {
		return eris.Wrap(err, "the orders of the earlier holder can't be read")
	}
	u.version, u.versionKnown = version, true
	if term.Fence == u.readFence {
		return nil
	}
	if left := u.lostOrdersDelay(now); left > 0 {
		return eris.Errorf("orders of the earlier holder may have been lost when the store was restored; they can't be carried out any more in %v", left.Round(time.Second))
	}
	var row rowValue
	if version > 0 {
		if err := json.Unmarshal(content, &row); err != nil {
			return eris.Wrap(err, "the orders of the earlier holder are malformed")
		}
	}
	for id, prefill := range row.Prefill {
		if _, own := u.orders[id]; !own {
			u.orders[id] = unansweredOrder{prefill: prefill, until: now.Add(maxOrderDelay)}
		}
	}
	u.readFence = term.Fence
	u.log.WithFields(logrus.Fields{"fence": term.Fence, "orders": len(row.Prefill)}).Info("orders of the earlier holder read; they may still be carried out")
	return nil
}

// lostOrdersDelay returns how long orders may still be carried out that a restored store no
// longer records.
func (u *unanswered) lostOrdersDelay(now time.Time) time.Duration {
	if era := u.store.Era(); era != u.era {
		u.era, u.restoredAt = era, now
	}
	if u.restoredAt.IsZero() {
		return 0
	}
	return max(maxOrderDelay-now.Sub(u.restoredAt), 0)
}

// record writes the pending orders and those about to be sent to the store.
func (u *unanswered) record(ctx context.Context, orders []stageplan.Order) error {
	row := rowValue{Prefill: make(map[string]bool)}
	for id, order := range u.orders {
		row.Prefill[id] = order.prefill
	}
	for _, order := range orders {
		row.Prefill[order.Worker] = order.Prefill
	}
	content, err := json.Marshal(row)
	if err != nil {
		return err
	}
	condition, held := u.authority.Condition()
	if !held {
		return eris.New("the authority expired before the orders were recorded")
	}
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	version, done, err := u.store.Transact(callCtx, rowstore.Transaction{
		// Without the condition on the row's own version, a late write that was given up could
		// overwrite a newer one.
		Conditions: []rowstore.Condition{condition, {Table: orderTable, Key: orderKey, Version: u.version}},
		Writes:     []rowstore.Write{{Table: orderTable, Key: orderKey, Value: content}},
	})
	u.version, u.versionKnown = version, done && err == nil
	switch {
	case err != nil:
		return eris.Wrap(err, "the orders can't be recorded")
	case !done:
		return eris.New("another node has the authority, or an earlier write that was given up was carried out late")
	}
	return nil
}
