package fleetworker

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/tinarch/tinarch/internal/lab/fences"
)

// stageOrder is the body of an order that changes the worker's stage.
type stageOrder struct {
	Op, Stage, Holder string
	Fence             uint64
}

// order carries out an order. With late orders it waits first, and then breaks off the
// connection instead of answering.
func (w *Worker) order(writer http.ResponseWriter, body []byte) {
	var order stageOrder
	err := json.Unmarshal(body, &order)
	if err != nil || order.Op != "Stage" || order.Holder == "" || order.Fence == 0 {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	w.fences.Record(fences.Call{Subject: "orders to " + w.options.ID, Holder: order.Holder, Fence: order.Fence, At: time.Now()})
	w.mu.Lock()
	delay := w.lateOrders
	w.mu.Unlock()
	time.Sleep(delay)
	changed := w.carryOut(order)
	if changed && w.options.OnStageChange != nil {
		w.options.OnStageChange(w)
	}
	switch {
	case delay > 0:
		panic(http.ErrAbortHandler)
	case changed:
		writer.WriteHeader(http.StatusAccepted)
	}
}

// carryOut carries out an order and reports whether the stage changed. It records a violation
// if an order with a higher fencing token was carried out before: this one undoes what the
// newer lease holder wanted.
func (w *Worker) carryOut(order stageOrder) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if order.Fence < w.highestFence {
		w.fences.AddViolation(fmt.Sprintf("%s carried out an order with fencing token %d after one with token %d", w.options.ID, order.Fence, w.highestFence))
	}
	w.highestFence = max(w.highestFence, order.Fence)
	if order.Stage == w.stage {
		return false
	}
	w.stage = order.Stage
	w.orders++
	return true
}

// SetLateOrders makes the worker carry out orders after this time and leave them unanswered;
// zero means at once and answered.
func (w *Worker) SetLateOrders(delay time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lateOrders = delay
}

// Fences returns the log of the orders that reached the worker. The worker itself doesn't
// compare fencing tokens.
func (w *Worker) Fences() *fences.Log { return w.fences }

func (w *Worker) currentStage() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stage
}

// Orders returns the number of orders that changed the worker's stage.
func (w *Worker) Orders() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.orders
}
