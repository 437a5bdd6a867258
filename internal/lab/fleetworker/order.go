package fleetworker

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/tinarch/tinarch/internal/lab/fences"
)

// stageOrder is the body of an order to have a stage.
type stageOrder struct {
	Op, Stage, Holder string
	Fence             uint64
}

// order carries an order out at once, or leaves it unanswered and does so later.
func (w *Worker) order(writer http.ResponseWriter, body []byte) {
	var order stageOrder
	err := json.Unmarshal(body, &order)
	if err != nil || order.Op != "Stage" || order.Holder == "" || order.Fence == 0 {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	w.fences.Record(fences.Call{Subject: "orders to " + w.options.ID, Holder: order.Holder, Fence: order.Fence, At: time.Now()})
	w.mu.Lock()
	late := w.lateOrders
	w.mu.Unlock()
	time.Sleep(late)
	changed := w.carryOut(order)
	if changed && w.options.OnStageChange != nil {
		w.options.OnStageChange(w)
	}
	switch {
	case late > 0:
		panic(http.ErrAbortHandler)
	case changed:
		writer.WriteHeader(http.StatusAccepted)
	}
}

// carryOut reports whether an order changed the stage. One that is carried out behind an
// order of a higher fence breaks a promise: it undoes what the newer holder wanted.
func (w *Worker) carryOut(order stageOrder) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if order.Fence < w.carried {
		w.fences.AddViolation(fmt.Sprintf("%s carried out an order under fence %d behind one under %d", w.options.ID, order.Fence, w.carried))
	}
	w.carried = max(w.carried, order.Fence)
	if order.Stage == w.stage {
		return false
	}
	w.stage = order.Stage
	w.orders++
	return true
}

// SetLateOrders has orders left unanswered and carried out after a time, zero for at once.
func (w *Worker) SetLateOrders(after time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lateOrders = after
}

// Fences is the log of the orders that reached the worker, which compares no fences.
func (w *Worker) Fences() *fences.Log { return w.fences }

func (w *Worker) currentStage() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stage
}

// Orders counts the orders that the worker carried out.
func (w *Worker) Orders() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.orders
}
