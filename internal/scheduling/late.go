package scheduling

import (
	"slices"
	"time"
)

// Engines read prompts by turns once they have begun, whatever their priority: a late
// prompt at an engine makes those that come after it later by all of its reading. So late
// requests are read where nothing else waits, and may wait for that at their node.

// The bounds of the pause after which a request that is held is planned again: a few times
// the age of what nodes know of each other's load, and about the reading of a long prompt.
const (
	minHold = 50 * time.Millisecond
	maxHold = 200 * time.Millisecond
)

// planLate plans a request whose answer can't be in time: at an engine where nothing waits,
// or else, where requests are held, it waits as long as one may get free before its caller
// leaves. Otherwise it is refused. A stream that was begun goes on in its turn: what was done for it would be lost.
func (s *Scheduler) planLate(request Request, candidates []Candidate, inTurn Plan) Plan {
	switch {
	case request.Begun && s.worthwhile(request, inTurn):
		return inTurn
	case request.Begun || request.NoApart:
		return tooLate(request, inTurn)
	}
	spare := s.spare(request, candidates)
	if free := s.free(request, spare); free != nil {
		if plan := s.planApart(request, free); s.worthwhile(request, plan) {
			plan.Late = true
			return plan
		}
	}
	plan := s.planApart(request, spare)
	if !s.costs.Hold || !s.worthwhile(request, plan) {
		return tooLate(request, inTurn)
	}
	wait := milliseconds(queueTime(plan.Reader))
	return Plan{Mode: Held, Late: true, Reason: TooLate, Reader: plan.Reader, First: plan.First, Cost: plan.Cost,
		RetryAfter: min(max(wait, minHold), maxHold)}
}

// worthwhile reports whether a late plan gives the first byte while the caller is still
// there, with a margin: work that comes after it may pass it.
func (s *Scheduler) worthwhile(request Request, plan Plan) bool {
	limit := s.costs.LateShare * float64(min(request.Remaining, request.Patience))
	return plan.Mode != Refused && plan.First <= time.Duration(limit)
}

// spare describes the candidates as a late request finds them, which is read after all
// others. Unsound ones and those without room to spare are known for what they keep only.
func (s *Scheduler) spare(request Request, candidates []Candidate) []Candidate {
	spare := make([]Candidate, 0, len(candidates))
	for _, candidate := range candidates {
		candidate.ReadTokens += candidate.LateTokens
		candidate.ReadAhead = candidate.ReadTokens
		if !candidate.sound() || request.Failed[candidate.ID] || !s.hasRoom(request, candidate) {
			candidate.SourceOnly = true
		}
		spare = append(spare, candidate)
	}
	return spare
}

// free makes sources only of the engines at which anything waits. Where requests
// are held it returns none while fewer than half of the engines that read are free: those
// that wait would take each of them just before work in time does.
func (s *Scheduler) free(request Request, candidates []Candidate) []Candidate {
	free := slices.Clone(candidates)
	readers, busy := 0, 0
	for i := range free {
		candidate := &free[i]
		if !candidate.Prefill || candidate.SourceOnly {
			continue
		}
		readers++
		if queueTime(*candidate) > s.costs.LateQueue*request.aim() {
			candidate.SourceOnly = true
			busy++
		}
	}
	if s.costs.Hold && 2*busy > readers {
		return nil
	}
	return free
}

// queueTime is what an engine takes for all that it has to read, in milliseconds.
func queueTime(candidate Candidate) float64 {
	return float64(candidate.ReadTokens) / max(candidate.Throughput, lowestPace)
}

// hasRoom reports whether a worker has slots and memory for late work and others besides.
func (s *Scheduler) hasRoom(request Request, candidate Candidate) bool {
	if candidate.Slots > 0 && float64(candidate.Requests+1) > s.costs.LateFill*float64(candidate.Slots) {
		return false
	}
	needed := candidate.MemoryTokens + request.PromptTokens + request.OutputTokens
	return candidate.Capacity == 0 || float64(needed) <= s.costs.LateFill*float64(candidate.Capacity)
}

// tooLate refuses a request that could be carried out by a plan, but of no use.
func tooLate(request Request, plan Plan) Plan {
	plan.Mode = Refused
	plan.Reason = TooLate
	plan.RetryAfter = max(plan.First-request.ObjectiveLeft/2, minRetryAfter)
	return plan
}
