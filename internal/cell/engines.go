package cell

import (
	"time"

	"github.com/tinarch/tinarch/internal/catalog"
	"github.com/tinarch/tinarch/internal/control"
	"github.com/tinarch/tinarch/internal/engine"
	"github.com/tinarch/tinarch/internal/fleet"
)

// Instruction is an order to send to an engine.
type Instruction struct {
	Engine  string
	Address string
	Order   engine.Order
}

// assign decides what each engine should serve.
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
			continue // leaving engines keep what they have
		}
		m.desired = control.Desired{Deployment: target, SizeBytes: s.sizeOf(target), Drained: m.drained}
	}
}

func (s *State) sizeOf(target engine.Deployment) uint64 {
	version := s.snapshot.Version(target.Model, target.Version)
	return version.GetSizeBytes() + s.snapshot.AdapterBytes(target.Adapters)
}

// Reconcile returns the orders to send now. The caller checks its authority
// again before each leaves, and feeds the outcome to Answered.
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

// changeBudget returns how many more engines may begin a planned change. An
// engine that serves nothing of use is no loss, but the limit on loads applies.
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

// servingNothing reports that no engine serves a model of the pool, as at a first
// start: then there is no service to protect.
func (s *State) servingNothing() bool {
	for _, m := range s.ordered {
		status, seen := m.control.LastStatus()
		if seen && s.snapshot.ServedBy(status.Deployment.Model, s.pool) {
			return false
		}
	}
	return true
}

// mayLoad spaces loads by the weight store's rate.
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

// HandleOrderResult takes the outcome of an order.
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

// PollTargets lists the engines to ask for their status.
func (s *State) PollTargets() []Machine {
	targets := make([]Machine, 0, len(s.ordered))
	for _, m := range s.ordered {
		targets = append(targets, m.machine)
	}
	return targets
}
