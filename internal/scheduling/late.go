package scheduling

import (
	"slices"
	"time"
)

// Engines that have begun to prefill several prompts alternate between them, whatever their
// priority, so a late prompt delays those that arrive after it by its whole prefill time. Late
// requests are therefore prefilled where nothing else waits, and may wait for such an engine at
// their node.

// Bounds of the pause after which a held request is planned again. The lower one is a few times
// the age of the load information that nodes have of each other, the upper one about the
// prefill time of a long prompt.
const (
	minHold = 50 * time.Millisecond
	maxHold = 200 * time.Millisecond
)

// planLate plans a request whose answer cannot be in time. It is served at an engine where
// nothing waits. If there is none and late requests are held (Costs.Hold), it waits as long as
// an engine may become free before its caller leaves; otherwise it is refused. A stream that
// has begun is served without yielding to others, since the work done for it would be lost.
func (s *Scheduler) planLate(request Request, candidates []Candidate, regular Plan) Plan {
	switch {
	case request.Begun && s.worthwhile(request, regular):
		return regular
	case request.Begun || request.NoApart:
		return tooLate(request, regular)
	}
	if request.Waits {
		return s.planWaiting(request, candidates, regular)
	}
	lateView := s.lateView(request, candidates)
	if idleOnly := s.idleOnly(request, lateView); idleOnly != nil {
		if plan := s.planApart(request, idleOnly); s.worthwhile(request, plan) {
			plan.Late = true
			return plan
		}
	}
	plan := s.planApart(request, lateView)
	if !s.costs.Hold || !s.worthwhile(request, plan) {
		return tooLate(request, regular)
	}
	wait := milliseconds(queueTime(plan.Reader))
	return Plan{Mode: Held, Late: true, Reason: TooLate, Reader: plan.Reader, First: plan.First, Cost: plan.Cost,
		RetryAfter: min(max(wait, minHold), maxHold)}
}

// worthwhile reports whether a late plan delivers the first byte while the caller still waits,
// with a margin, since requests that arrive later may overtake it.
func (s *Scheduler) worthwhile(request Request, plan Plan) bool {
	limit := s.costs.LateShare * float64(min(request.Remaining, request.Patience))
	return plan.Mode != Refused && plan.First <= time.Duration(limit)
}

// lateView describes the candidates as a late request sees them, which is prefilled after all
// others. Unsound workers and those without room to spare remain only as sources of cached
// tokens.
func (s *Scheduler) lateView(request Request, candidates []Candidate) []Candidate {
	lateView := make([]Candidate, 0, len(candidates))
	for _, candidate := range candidates {
		candidate.ReadTokens += candidate.LateTokens
		candidate.ReadAhead = candidate.ReadTokens
		if !candidate.sound() || request.Failed[candidate.ID] || !s.hasRoom(request, candidate) {
			candidate.SourceOnly = true
		}
		lateView = append(lateView, candidate)
	}
	return lateView
}

// idleOnly makes engines with a queue sources only, so that idle ones remain to prefill. Where
// late requests are held it returns nil while fewer than half of the prefill engines are idle:
// held requests would otherwise take each engine just before a request that can be in time
// does.
func (s *Scheduler) idleOnly(request Request, candidates []Candidate) []Candidate {
	idleOnly := slices.Clone(candidates)
	readers, busy := 0, 0
	for i := range idleOnly {
		candidate := &idleOnly[i]
		if !candidate.Prefill || candidate.SourceOnly {
			continue
		}
		readers++
		if queueTime(*candidate) > s.costs.LateQueue*request.objectiveMilliseconds() {
			candidate.SourceOnly = true
			busy++
		}
	}
	if s.costs.Hold && 2*busy > readers {
		return nil
	}
	return idleOnly
}

// queueTime is the time that an engine takes to prefill everything queued there, in
// milliseconds.
func queueTime(candidate Candidate) float64 {
	return candidate.Host.Of(float64(candidate.ReadTokens) / max(candidate.Throughput, minThroughput))
}

// Queue is the time that the engine which prefills the prompt under a plan takes for what is
// queued there ahead of it.
func (p Plan) Queue() time.Duration {
	engine := p.Runner
	if p.Reader.ID != "" {
		engine = p.Reader
	}
	return milliseconds(engine.Host.Of(float64(engine.ReadAhead) / max(engine.Throughput, minThroughput)))
}

// hasRoom reports whether a worker has slots and memory for a late request and still keeps some
// free for others.
func (s *Scheduler) hasRoom(request Request, candidate Candidate) bool {
	if candidate.Slots > 0 && float64(candidate.Requests+1) > s.costs.LateFill*float64(candidate.Slots) {
		return false
	}
	needed := candidate.MemoryTokens + request.PromptTokens + request.OutputTokens
	return candidate.Capacity == 0 || float64(needed) <= s.costs.LateFill*float64(candidate.Capacity)
}

// tooLate refuses a request whose plan could be carried out but would be of no use to its
// caller.
func tooLate(request Request, plan Plan) Plan {
	plan.Mode = Refused
	plan.Reason = TooLate
	plan.RetryAfter = max(plan.First-request.ObjectiveLeft/2, minRetryAfter)
	return plan
}
