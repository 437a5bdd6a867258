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
	for _, m := range s.ordered {
		if m.machine.Leaving {
			continue
		}
		status, _ := m.control.LastStatus()
		members = append(members, fleet.Engine{Name: m.machine.Name, Serving: status.Deployment, Assigned: m.desired.Deployment})
	}
	assigned := fleet.Assign(members, demands)
	for _, m := range s.ordered {
		target, ok := assigned[m.machine.Name]
		if !ok {
			continue // leaving engines keep their deployment
		}
		m.desired = control.Desired{Deployment: target, SizeBytes: s.sizeOf(target), Drained: m.drained}
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
	for _, m := range s.ordered {
		if m.machine.Leaving {
			continue
		}
		mayChange := budget > 0 && s.mayLoad(now, m)
		wasChanging := m.control.Changing()
		order, send := m.control.NextOrder(now, m.desired, m.candidate.InFlight, mayChange)
		if m.control.Changing() && !wasChanging {
			budget--
			s.scheduleNextLoad(now, m)
		}
		if send {
			instructions = append(instructions, Instruction{Engine: m.machine.Name, Address: m.machine.Address, Order: order})
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
	for _, m := range s.ordered {
		if m.control.Changing() || m.control.Lost(now) && m.listed {
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
	for _, m := range s.ordered {
		status, seen := m.control.LastStatus()
		if seen && s.snapshot.ServedBy(status.Deployment.Model, s.pool) {
			return false
		}
	}
	return true
}

// mayLoad reports whether an engine may begin its change now: a change that loads weights waits
// until the weight store has had time for the loads before it.
func (s *State) mayLoad(now time.Duration, m *cellEngine) bool {
	return now >= s.nextLoadAt || !m.control.NeedsLoad(m.desired)
}

func (s *State) scheduleNextLoad(now time.Duration, m *cellEngine) {
	if s.loadRate <= 0 || !m.control.NeedsLoad(m.desired) {
		return
	}
	seconds := float64(m.desired.SizeBytes) / s.loadRate
	s.nextLoadAt = max(now, s.nextLoadAt) + time.Duration(seconds*float64(time.Second))
}

// HandleOrderResult records an engine's answer to an order, or the error of sending it.
func (s *State) HandleOrderResult(now time.Duration, instruction Instruction, status engine.Status, err error) {
	m := s.engines[instruction.Engine]
	if m == nil {
		return
	}
	if err == nil {
		s.ObserveStatus(now, instruction.Engine, status)
		return
	}
	m.control.HandleOrderResult(now, instruction.Order, status, err)
}

// PollTargets lists the engines whose status is to be polled.
func (s *State) PollTargets() []Machine {
	targets := make([]Machine, 0, len(s.ordered))
	for _, m := range s.ordered {
		targets = append(targets, m.machine)
	}
	return targets
}
