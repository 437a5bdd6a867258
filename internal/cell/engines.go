package cell

import (
	"time"

	"github.com/tinarch/tinarch/internal/catalog"
	"github.com/tinarch/tinarch/internal/control"
	"github.com/tinarch/tinarch/internal/engine"
	"github.com/tinarch/tinarch/internal/fleet"
)

// Instruction is an order with the engine to send it to.
type Instruction struct {
	Engine  string
	Address string
	Order   engine.Order
}

// assign decides which deployment each engine should serve.
func (s *State) assign() {
	if s.snapshot == nil {
		return
	}
	demands := s.snapshot.Demands(s.pool)
	members := make([]fleet.Engine, 0, len(s.ordered))
	for _, e := range s.ordered {
		if e.machine.Leaving {
			continue
		}
		status, _ := e.control.LastStatus()
		members = append(members, fleet.Engine{Name: e.machine.Name, Serving: status.Deployment, Assigned: e.desired.Deployment})
	}
	assigned := fleet.Assign(members, demands)
	for _, e := range s.ordered {
		target, ok := assigned[e.machine.Name]
		if !ok {
			continue // leaving engines keep their deployment
		}
		e.desired = control.Desired{Deployment: target, SizeBytes: s.sizeOf(target), Drained: e.drained}
	}
}

func (s *State) sizeOf(target engine.Deployment) uint64 {
	version := s.snapshot.Version(target.Model, target.Version)
	return version.GetSizeBytes() + s.snapshot.AdapterBytes(target.Adapters)
}

// Reconcile returns the orders to send now. The caller must check its lease again before it
// sends each of them, and pass the result to HandleOrderResult.
func (s *State) Reconcile(now time.Duration) []Instruction {
	if s.snapshot == nil || s.fence == 0 {
		return nil
	}
	budget := s.changeBudget(now)
	var instructions []Instruction
	for _, e := range s.ordered {
		if e.machine.Leaving {
			continue
		}
		mayChange := budget > 0 && s.mayLoad(now, e)
		wasChanging := e.control.Changing()
		order, send := e.control.NextOrder(now, e.desired, e.candidate.InFlight, mayChange)
		if e.control.Changing() && !wasChanging {
			budget--
			s.scheduleNextLoad(now, e)
		}
		if send {
			instructions = append(instructions, Instruction{Engine: e.machine.Name, Address: e.machine.Address, Order: order})
		}
	}
	return instructions
}

// changeBudget returns how many more engines may begin a planned change, so that at most the
// pool's MaxUnavailablePercent of the engines are out of service at once. While no engine
// serves a model of the pool there is no service to protect, and all may change; loads are
// still spaced by the weight store's rate.
func (s *State) changeBudget(now time.Duration) int {
	limit := max(1, len(s.ordered)*catalog.MaxUnavailablePercent(s.snapshot.Pool(s.pool))/100)
	unavailable := 0
	for _, e := range s.ordered {
		if e.control.Changing() || e.control.Lost(now) && e.listed {
			unavailable++
		}
	}
	if s.servingNothing() {
		return len(s.ordered)
	}
	return limit - unavailable
}

// servingNothing reports whether no engine serves a model of the pool, as when a cluster starts
// for the first time.
func (s *State) servingNothing() bool {
	for _, e := range s.ordered {
		status, seen := e.control.LastStatus()
		if seen && s.snapshot.ServedBy(status.Deployment.Model, s.pool) {
			return false
		}
	}
	return true
}

// mayLoad reports whether an engine may begin its change now: a change that loads weights waits
// until the weight store has had time for the loads before it.
func (s *State) mayLoad(now time.Duration, e *cellEngine) bool {
	return now >= s.nextLoadAt || !e.control.NeedsLoad(e.desired)
}

func (s *State) scheduleNextLoad(now time.Duration, e *cellEngine) {
	if s.loadRate <= 0 || !e.control.NeedsLoad(e.desired) {
		return
	}
	seconds := float64(e.desired.SizeBytes) / s.loadRate
	s.nextLoadAt = max(now, s.nextLoadAt) + time.Duration(seconds*float64(time.Second))
}

// HandleOrderResult records an engine's answer to an order, or the error of sending it.
func (s *State) HandleOrderResult(now time.Duration, instruction Instruction, status engine.Status, err error) {
	e := s.engines[instruction.Engine]
	if e == nil {
		return
	}
	if err == nil {
		s.ObserveStatus(now, instruction.Engine, status)
		return
	}
	e.control.HandleOrderResult(now, instruction.Order, status, err)
}

// PollTargets lists the engines whose status is to be polled.
func (s *State) PollTargets() []Machine {
	targets := make([]Machine, 0, len(s.ordered))
	for _, e := range s.ordered {
		targets = append(targets, e.machine)
	}
	return targets
}
