// Package scheduling decides how a request is served: which worker prefills its prompt, which
// one generates the answer, or that it is refused at once. One cost model compares all options
// in predicted milliseconds. The package is pure: it does no I/O and reads no clock.
//
// In names, reading a prompt means prefilling it: the reader is the worker that prefills a
// prompt and the runner the one that answers.
package scheduling

import (
	"math"
	"time"
)

// Scheduler chooses plans by a cost model.
type Scheduler struct{ costs Costs }

// New returns a scheduler.
func New(costs Costs) *Scheduler { return &Scheduler{costs: costs} }

// Plan decides how a request is served.
func (s *Scheduler) Plan(request Request, candidates []Candidate) Plan {
	if request.PromptTokens == 0 {
		return s.planOpaque(request, candidates)
	}
	best := s.choose(request, candidates)
	plan := s.planPrompt(request, candidates, best)
	if request.SingleRead && request.Granted == "" {
		return s.planSingleRead(request, candidates, best, plan)
	}
	return plan
}

// planPrompt decides how a prompt is served, given the cheapest way to serve it.
func (s *Scheduler) planPrompt(request Request, candidates []Candidate, best Plan) Plan {
	if best.Mode == Refused || s.inTime(request, best) && !s.takesTurn(request, best) {
		return best
	}
	return s.planLate(request, candidates, best)
}

// choose returns the cheapest way to serve a prompt.
func (s *Scheduler) choose(request Request, candidates []Candidate) Plan {
	best := s.planWhole(request, candidates)
	if !request.NoApart {
		if apart := s.planApart(request, candidates); better(apart, best) {
			best = apart
		}
	}
	return best
}

func better(left, right Plan) bool {
	return left.Mode != Refused && (right.Mode == Refused || left.Cost < right.Cost)
}

// inTime reports whether a plan is carried out without yielding to others: its answer comes in
// time, or it comes before the caller leaves and nobody else waits.
func (s *Scheduler) inTime(request Request, plan Plan) bool {
	limit := time.Duration(s.costs.LatePast * float64(request.ObjectiveLeft))
	return plan.First <= limit || plan.First < min(request.Remaining, request.Patience) && idle(plan)
}

// idle reports whether nothing is queued where a plan would be carried out, so that refusing
// the request would help nobody.
func idle(plan Plan) bool {
	if plan.Mode == Apart {
		return plan.Reader.ReadAhead == 0
	}
	return plan.Runner.ReadAhead == 0
}

// minRetryAfter is the shortest time after which a refused caller is told to retry.
const minRetryAfter = 100 * time.Millisecond

func refuse(reason Reason) Plan {
	return Plan{Mode: Refused, Reason: reason, RetryAfter: minRetryAfter, Cost: math.Inf(1)}
}

// commonCost is the part of the cost that all ways to serve a prompt share, for one worker.
func (s *Scheduler) commonCost(request Request, candidate Candidate) float64 {
	prices := statePrices{s.costs.Failure, s.costs.Avoided, s.costs.OtherZone, s.costs.OtherRegion}
	return request.objectiveMilliseconds()*stateCost(request, candidate, prices) + candidate.RoundTrip
}

// statePrices are the prices of a worker's state, as in Costs.
type statePrices struct{ failure, avoided, otherZone, otherRegion float64 }

// stateCost adds up the prices of everything that counts against a worker.
func stateCost(request Request, candidate Candidate, prices statePrices) float64 {
	cost := prices.failure * candidate.FailureRate
	if request.Failed[candidate.ID] {
		cost += 2 * prices.avoided
	}
	if candidate.Avoid {
		cost += prices.avoided
	}
	if candidate.Leaving {
		cost += 2 * prices.avoided
	}
	if !candidate.SameZone {
		cost += prices.otherZone
	}
	if candidate.OtherRegion {
		cost += prices.otherRegion
	}
	return cost
}

// objectiveMilliseconds is the route's objective in milliseconds. Prices are fractions of it.
func (r Request) objectiveMilliseconds() float64 {
	return float64(r.RouteObjective) / float64(time.Millisecond)
}

// planWhole chooses a decode engine that both prefills and runs the request.
func (s *Scheduler) planWhole(request Request, candidates []Candidate) Plan {
	best := refuse(NoWorker)
	for _, candidate := range candidates {
		if candidate.Prefill || candidate.SourceOnly || !request.admitsCandidate(candidate) {
			continue
		}
		prefill := s.cheapestPrefill(request, candidate, candidates)
		running := float64(candidate.Requests)
		slot := max(slotWait(request, candidate), candidate.TurnWait)
		cost := slot + prefill.timeBehindAll + prefill.price + s.commonCost(request, candidate) + s.pressureCost(request, candidate) +
			s.runningCost(request, candidate) + s.interferencePrice(request, prefill)*running + s.paceCost(request, candidate)
		plan := Plan{
			Mode: Whole, Runner: candidate, Fetch: prefill.fetch, Unread: prefill.unread, Read: milliseconds(slot + prefill.time),
			First: milliseconds(slot + prefill.time + candidate.RoundTrip), Cost: cost,
		}
		if better(plan, best) {
			best = plan
		}
	}
	return best
}

// interferencePrice is the price of a prefill for each request that runs at the decode engine,
// in milliseconds. Prefill stalls their streams for at most its own duration, which does no
// harm while it is a small part of the pause allowed between two events.
func (s *Scheduler) interferencePrice(request Request, prefill prefillEstimate) float64 {
	price := s.costs.Interference * prefill.own
	if request.GapObjective <= 0 {
		return price
	}
	gap := float64(request.GapObjective) / float64(time.Millisecond)
	filled := s.costs.GapFactor * prefill.timeBehindAll / gap
	return price * (1 + filled*filled)
}

// planApart chooses a prefill engine for the prompt and a decode engine to run the request.
func (s *Scheduler) planApart(request Request, candidates []Candidate) Plan {
	best := refuse(NoWorker)
	runners := make(map[string]Plan)
	for _, candidate := range candidates {
		if !candidate.Prefill || candidate.SourceOnly || !request.admitsCandidate(candidate) || candidate.HandleFailure {
			continue
		}
		runner, chosen := runners[candidate.Region]
		if !chosen {
			runner = s.ChooseRunner(request, candidates, candidate.Region)
			runners[candidate.Region] = runner
		}
		if runner.Mode == Refused {
			return runner
		}
		plan := s.apartAt(request, candidate, runner, candidates)
		if better(plan, best) {
			best = plan
		}
	}
	return best
}

// apartAt is the plan to prefill the prompt at one engine and to run the request where the
// runner's plan says.
func (s *Scheduler) apartAt(request Request, candidate Candidate, runner Plan, candidates []Candidate) Plan {
	prefill := s.cheapestPrefill(request, candidate, candidates)
	move, _ := s.crossRegionExtra(request, candidate.Region, runner.Runner)
	read := candidate.TurnWait + prefill.time
	first := max(read, runner.Runner.TurnWait) + handoverTime(request, runner.Runner) + slotWait(request, runner.Runner) +
		candidate.RoundTrip + runner.Runner.RoundTrip + move
	cost := candidate.TurnWait + prefill.timeBehindAll + request.Engine.Handover + prefill.price + s.movePrice(request, request.PromptTokens) +
		s.commonCost(request, candidate) + runner.Cost
	return Plan{
		Mode: Apart, Reader: candidate, Runner: runner.Runner, Fetch: prefill.fetch, Unread: prefill.unread, Read: milliseconds(read),
		First: milliseconds(first), Cost: cost,
	}
}

// ChooseRunner chooses the decode engine for a prompt that is prefilled by another engine, in
// the given region.
func (s *Scheduler) ChooseRunner(request Request, candidates []Candidate, region string) Plan {
	best := refuse(NoWorker)
	for _, candidate := range candidates {
		if !candidate.Decode || candidate.SourceOnly || !request.admitsCandidate(candidate) {
			continue
		}
		time, price := s.crossRegionExtra(request, region, candidate)
		cost := max(slotWait(request, candidate), candidate.TurnWait) + s.commonCost(request, candidate) + s.runningCost(request, candidate) +
			s.pressureCost(request, candidate) + time + price +
			handoverExtra(request, candidate) + s.paceCost(request, candidate)
		if candidate.HandleFailure {
			cost += s.costs.Avoided * request.objectiveMilliseconds()
		}
		plan := Plan{Mode: Whole, Runner: candidate, Cost: cost}
		if better(plan, best) {
			best = plan
		}
	}
	return best
}

// slotWait is the predicted wait for a slot at an engine whose slots are all taken, in
// milliseconds.
func slotWait(request Request, candidate Candidate) float64 {
	if candidate.Slots == 0 || candidate.Requests < candidate.Slots {
		return 0
	}
	return float64(candidate.Requests+1-candidate.Slots) / float64(candidate.Slots) * candidate.Host.Of(request.Engine.Run)
}

// runningCost is the cost of the requests that already run at a decode engine.
func (s *Scheduler) runningCost(request Request, candidate Candidate) float64 {
	relative := candidate.Host.Relative(request.Engine.Run)
	return s.costs.Running * float64(candidate.Requests) * relative * request.objectiveMilliseconds()
}

// pressureCost is the cost of running where KV cache is short: the engine would preempt running
// requests.
func (s *Scheduler) pressureCost(request Request, candidate Candidate) float64 {
	if candidate.Capacity == 0 {
		return 0
	}
	needed := candidate.MemoryTokens + request.PromptTokens + request.OutputTokens
	fill := float64(needed) / float64(candidate.Capacity)
	price := s.costs.MemoryPressure * request.objectiveMilliseconds()
	if fill > 1 {
		return price * fill
	}
	const belowCapacityShare = 0.1
	return price * belowCapacityShare * fill * fill
}

func milliseconds(count float64) time.Duration {
	return time.Duration(count * float64(time.Millisecond))
}
