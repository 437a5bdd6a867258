package cell

import (
	"context"

	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/engine"
	"github.com/tinarch/tinarch/internal/result"
)

// reconcile sends the orders that are due, at most one at a time to each engine.
func (s *Service) reconcile(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leading == 0 {
		return
	}
	s.state.SetDrained(s.Drained())
	for _, instruction := range s.state.Reconcile(s.now()) {
		if s.ordersInFlight[instruction.Engine] {
			continue
		}
		s.ordersInFlight[instruction.Engine] = true
		s.done.Add(1)
		go func() {
			defer s.done.Done()
			s.order(ctx, instruction)
		}()
	}
}

// order sends one order, after checking the lease once more.
func (s *Service) order(ctx context.Context, instruction Instruction) {
	var status engine.Status
	err := s.checkOrderLease(instruction.Order.Fence)
	if err == nil {
		orderCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		status, err = s.engines.Order(orderCtx, instruction.Address, instruction.Order)
	}
	entry := s.log.WithFields(logrus.Fields{
		"engine": instruction.Engine, "order": instruction.Order.Type, "order_id": instruction.Order.ID,
		"fence": uint64(instruction.Order.Fence), "sequence": instruction.Order.Sequence,
	})
	if err != nil {
		// The order was not sent, the engine refused it, or no valid answer came.
		entry.WithError(err).Warn("order not confirmed")
	} else {
		entry.Info("order accepted")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.ordersInFlight, instruction.Engine)
	s.state.HandleOrderResult(s.now(), instruction, status, err)
	s.dispatch()
}

// checkOrderLease checks that this node still holds the cell's lease with the order's fencing
// token. Its error calls the lease the order's authority.
func (s *Service) checkOrderLease(fence engine.Fence) error {
	if r := s.localReplica(); r != nil {
		if held, active := r.Fence(); active && held == fence {
			return nil
		}
	}
	return result.New(result.NoEngine, "the order was not sent: its authority has ended")
}
