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

// The row in which orders lie that may not have been answered.
const (
	orderTable = "orders"
	orderKey   = "stages"
	// storeTimeout bounds a call to the store, as in package authority.
	storeTimeout = 800 * time.Millisecond
)

// unansweredOrder is an order that may be carried out at any time until a bound.
type unansweredOrder struct {
	prefill bool
	until   time.Time
}

// rowValue is what lies in the row: the stage to which each worker was ordered.
type rowValue struct {
	Prefill map[string]bool `json:"prefill"`
}

// unanswered keeps the orders that engines may still carry out, where these don't compare
// fences: a worker gets no other order until then. Orders are written to the store before
// they are sent, so that the next holder knows of them too. It is used by one goroutine.
type unanswered struct {
	store     rowstore.Store
	authority *authority.Authority
	log       *logrus.Logger
	orders    map[string]unansweredOrder
	// readFence is the fence under which the row's content was read: what lies there since
	// then is this node's own.
	readFence uint64
	// version is that of the row, if it is known: a write without an answer may have been
	// carried out, or may be later.
	version      uint64
	versionKnown bool
	// era is the store's as it was seen last, and restored when it was first seen to have come
	// back from a copy, zero where it hasn't.
	era        uint64
	restoredAt time.Time
}

func newUnanswered(options Options) *unanswered {
	return &unanswered{
		store: options.Store, authority: options.Authority, log: options.Log,
		orders: make(map[string]unansweredOrder),
	}
}

// prepare takes over the orders of an earlier holder, and writes down those that are about
// to be sent. It returns those of them that may be: none may where the store doesn't know
// of them.
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

// answered takes in that a worker has told what becomes of its order.
func (u *unanswered) answered(id string) { delete(u.orders, id) }

// markChanging has the planner leave workers alone that may carry out an order.
func (u *unanswered) markChanging(fleet Fleet, engines []stageplan.Worker, now time.Time) {
	u.dropSettled(fleet, now)
	for i := range engines {
		_, waiting := u.orders[engines[i].ID]
		engines[i].Changing = engines[i].Changing || waiting
	}
}

// dropSettled drops orders that are too old to be carried out, and those whose worker is gone or
// has the stage.
func (u *unanswered) dropSettled(fleet Fleet, now time.Time) {
	maps.DeleteFunc(u.orders, func(id string, order unansweredOrder) bool {
		known, listed := fleet.Get(id)
		return !listed || now.After(order.until) || (known.Stage == worker.Prefill) == order.prefill
	})
}

// takeOver reads the row once this node has taken the authority.
func (u *unanswered) takeOver(ctx context.Context, now time.Time) error {
	term, held := u.authority.Term()
	if !held {
		return eris.New("the authority lapsed")
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
		return eris.Errorf("orders of the earlier holder may be lost with the store's history; none can come any more in %v", left.Round(time.Second))
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

// lostOrdersDelay is for how long orders may still be carried out that a restored store doesn't know.
func (u *unanswered) lostOrdersDelay(now time.Time) time.Duration {
	if era := u.store.Era(); era != u.era {
		u.era, u.restoredAt = era, now
	}
	if u.restoredAt.IsZero() {
		return 0
	}
	return max(maxOrderDelay-now.Sub(u.restoredAt), 0)
}

// record writes down the orders that may be carried out, with those about to be sent.
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
		return eris.New("the authority lapsed before the orders were written down")
	}
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	version, done, err := u.store.Transact(callCtx, rowstore.Transaction{
		// Without its own version, a write that was given up could undo a newer one.
		Conditions: []rowstore.Condition{condition, {Table: orderTable, Key: orderKey, Version: u.version}},
		Writes:     []rowstore.Write{{Table: orderTable, Key: orderKey, Value: content}},
	})
	u.version, u.versionKnown = version, done && err == nil
	switch {
	case err != nil:
		return eris.Wrap(err, "the orders can't be written down")
	case !done:
		return eris.New("another node has the authority, or a write that was given up came late")
	}
	return nil
}
