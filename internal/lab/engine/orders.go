package engine

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/tinarch/tinarch/internal/engine"
	"github.com/tinarch/tinarch/internal/result"
)

func (e *Engine) status() engine.Status {
	status := engine.Status{
		Incarnation: e.incarnation,
		Deployment:  e.deployment,
		Draining:    e.draining,
		Fence:       e.fence,
		LastOrder:   e.lastOrder,
		Running:     e.runningAttempts(),
		Load:        e.reports.published(),
	}
	if e.changing != nil {
		status.Changing = e.changing.ID
	}
	return status
}

func (e *Engine) runningAttempts() int { return len(e.batch.running) + len(e.batch.waiting) }

func (e *Engine) getStatus(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeReply(w, e.status())
}

func (e *Engine) postOrder(w http.ResponseWriter, r *http.Request) {
	var order engine.Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<20)).Decode(&order); err != nil {
		writeError(w, result.New(result.InvalidRequest, "the order can't be read: %v", err))
		return
	}
	e.mu.Lock()
	err := e.applyOrder(order)
	status := e.status()
	lose := err == nil && e.faults.LoseOrderReplies > 0
	if lose {
		e.faults.LoseOrderReplies--
	}
	e.mu.Unlock()
	switch {
	case lose:
		panic(http.ErrAbortHandler)
	case err != nil:
		writeError(w, err)
	default:
		writeReply(w, status)
	}
}

// applyOrder checks the incarnation, fence and sequence of an order and carries it out or
// starts to.
func (e *Engine) applyOrder(order engine.Order) error {
	if order.Incarnation != e.incarnation && !e.options.Without.Incarnation {
		e.counters.StaleOrders++
		return result.New(result.IncarnationMismatch, "the order is for incarnation %s, this is %s", order.Incarnation, e.incarnation)
	}
	if order.Fence < e.fence && !e.options.Without.Fence {
		e.counters.StaleOrders++
		return result.New(result.FenceStale, "the order has fence %d, the highest seen is %d", order.Fence, e.fence)
	}
	if order.ID == e.lastOrder || (e.changing != nil && e.changing.ID == order.ID) {
		return nil // the same order was sent again
	}
	if order.Fence == e.fence && order.Sequence <= e.sequence {
		e.counters.StaleOrders++
		return result.New(result.FenceStale, "the order has sequence %d, the highest seen is %d", order.Sequence, e.sequence)
	}
	if e.changing != nil && order.Type != engine.OrderClaim {
		return result.New(result.EngineBusy, "order %s is in progress", e.changing.ID)
	}
	e.fence, e.sequence = order.Fence, order.Sequence
	e.counters.Orders[string(order.Type)]++
	e.countViolations(order)
	switch order.Type {
	case engine.OrderClaim:
	case engine.OrderDrain:
		e.draining = true
	case engine.OrderUndrain:
		e.draining = false
	case engine.OrderDeploy:
		return e.startDeploy(order)
	default:
		return result.New(result.InvalidRequest, "unknown order type %q", order.Type)
	}
	e.lastOrder = order.ID
	return nil
}

// countViolations counts orders that must never take effect. It uses claims of earlier
// incarnations, which a real engine would not know.
func (e *Engine) countViolations(order engine.Order) {
	if order.Fence < e.claimedFence {
		e.counters.UnfencedOrders++
	}
	if order.Type == engine.OrderClaim {
		e.incarnationClaims[order.Fence] = true
		e.claimedFence = max(e.claimedFence, order.Fence)
	} else if !e.incarnationClaims[order.Fence] {
		e.counters.UnclaimedOrders++
	}
}

// startDeploy starts to load weights and to change the role. It refuses while attempts are
// running, so that a deployment never aborts one.
func (e *Engine) startDeploy(order engine.Order) error {
	if order.Target == nil {
		return result.New(result.InvalidRequest, "a deploy order needs a target")
	}
	if running := e.runningAttempts(); running > 0 {
		return result.New(result.EngineBusy, "%d attempts are running", running)
	}
	duration := e.options.Model.loadTime(order.SizeBytes)
	if e.deployment.Role != order.Target.Role {
		duration += e.options.Model.RoleChange
		if e.deployment.Role != "" {
			e.counters.RoleChanges++
		}
	}
	e.changing = &order
	incarnation := e.incarnation
	time.AfterFunc(e.scaleTime(duration), func() { e.finishDeploy(incarnation, order) })
	return nil
}

func (e *Engine) finishDeploy(incarnation engine.Identifier, order engine.Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.incarnation != incarnation {
		return // the engine has crashed during the deployment
	}
	e.changing = nil
	e.lastOrder = order.ID
	if e.deployment.Model != order.Target.Model || e.deployment.Version != order.Target.Version {
		e.batch.cache.shrink(0)
	}
	e.deployment = *order.Target
}
