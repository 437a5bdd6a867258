// Package scheduling decides how a request is served: which worker reads its
// prompt, which one writes the answer, or that it is refused at once. One cost
// model compares all ways, in predicted milliseconds. It is pure.
package scheduling

import (
	"math"
	"time"
)

// Candidate is what is known of one worker.
type Candidate struct {
	ID       string
	Address  string
	Zone     string
	SameZone bool
	Slots    int
	// Prefill and Decode tell the stage of a model engine; both are false for
	// other workers.
	Prefill, Decode bool
	// Requests, ReadTokens and MemoryTokens are the load placed by all nodes.
	Requests     int
	ReadTokens   int
	MemoryTokens int
	// Capacity is the KV cache in tokens, zero where it isn't known.
	Capacity int
	// CachedTokens is the part of the request's prompt that the worker keeps.
	CachedTokens int
	// Pace is the learned reading pace, in tokens a millisecond.
	Pace float64
	// Avoid tells that the worker failed just now.
	Avoid bool
	// Leaving tells that the worker's entry has just vanished.
	Leaving bool
	// FailureRate is the share of requests that it failed lately.
	FailureRate float64
	// HandleFailure tells that prompts read apart there could not be fetched.
	HandleFailure bool
}

// Request is what is known of a request.
type Request struct {
	// PromptTokens is zero for requests that aren't for model engines.
	PromptTokens int
	// SharedTokens is the part of the prompt that other requests share.
	SharedTokens int
	OutputTokens int
	// Objective is the time that is left for the first byte of the answer.
	Objective time.Duration
	// Remaining is the time that is left for the whole.
	Remaining time.Duration
	// Excluded are workers that must not get this request any more, and Failed those
	// that ran it and failed, which get it where no other is left.
	Excluded, Failed map[string]bool
	// Retry tells that the request was tried before.
	Retry bool
}

// Mode is the way in which a request is served.
type Mode string

// The modes.
const (
	// Whole requests run at one worker.
	Whole Mode = "whole"
	// Apart requests are read at one engine and run at another.
	Apart Mode = "apart"
	// Refused requests are not run.
	Refused Mode = "refused"
)

// Reason tells why a request was refused.
type Reason string

// The reasons of a refusal.
const (
	NoWorker  Reason = "no worker"
	TooLate   Reason = "too late"
	NoneIsFit Reason = "all workers are full"
)

// Plan is the decision.
type Plan struct {
	Mode   Mode
	Reason Reason
	// Reader is the worker that reads the prompt, where Mode is Apart.
	Reader Candidate
	// Runner is the worker that answers. Where Mode is Apart it is chosen again
	// when the prompt was read.
	Runner Candidate
	// Fetch is the address of a worker from which the one that reads the prompt
	// takes over what it keeps of it; empty where nothing is to be fetched.
	Fetch string
	// Unread is the part of the prompt that is read anew, in tokens.
	Unread int
	// First is the predicted time to the first byte.
	First time.Duration
	// Cost is what was compared, in milliseconds.
	Cost float64
	// RetryAfter is when a refused request should come back.
	RetryAfter time.Duration
}

// Costs are the figures of the cost model. Times are in milliseconds.
type Costs struct {
	// Fixed is the time of a request besides reading.
	Fixed float64
	// Hop is what a second worker adds to a request.
	Hop float64
	// MovePerToken is the time and price of moving one token's KV cache.
	MovePerToken float64
	// Fetch is the time of a fetch besides its tokens.
	Fetch float64
	// FetchFrom is the fewest tokens that are worth a fetch.
	FetchFrom int
	// Interference is the price of a millisecond of reading at a decode engine,
	// for each request that runs there: it holds up their streams.
	Interference float64
	// RereadPerToken is the price of reading a shared token again.
	RereadPerToken float64
	// OtherZone is the price of leaving the node's zone, once for each worker.
	OtherZone float64
	// Running is what each request that runs at a decode engine adds.
	Running float64
	// Failure is multiplied with a worker's failure rate.
	Failure float64
	// Avoided is added for a worker that failed just now.
	Avoided float64
	// MemoryPressure is added where an engine's memory is full.
	MemoryPressure float64
	// RefusePast is the share of the objective past which a request is refused.
	RefusePast float64
}

// DefaultCosts returns the figures measured so far; docs/design/deployment.md
// tells how.
func DefaultCosts() Costs {
	return Costs{
		Fixed:          30,
		Hop:            12,
		MovePerToken:   0.0028,
		Fetch:          8,
		FetchFrom:      256,
		Interference:   0.5,
		RereadPerToken: 0.0375,
		OtherZone:      6,
		Running:        1.5,
		Failure:        400,
		Avoided:        2000,
		MemoryPressure: 300,
		RefusePast:     1,
	}
}

// Scheduler applies a cost model.
type Scheduler struct{ costs Costs }

// New returns a scheduler.
func New(costs Costs) *Scheduler { return &Scheduler{costs: costs} }

// Plan decides how a request is served.
func (s *Scheduler) Plan(request Request, candidates []Candidate) Plan {
	if request.PromptTokens == 0 {
		return s.planOpaque(request, candidates)
	}
	best := s.planWhole(request, candidates)
	if apart := s.planApart(request, candidates); better(apart, best) {
		best = apart
	}
	if best.Mode == Refused {
		return best
	}
	return s.admit(request, best)
}

func better(left, right Plan) bool {
	return left.Mode != Refused && (right.Mode == Refused || left.Cost < right.Cost)
}

// admit refuses a request whose answer would come too late to be of use.
func (s *Scheduler) admit(request Request, plan Plan) Plan {
	limit := time.Duration(s.costs.RefusePast * float64(request.Objective))
	if plan.First <= limit || plan.First < request.Remaining && idle(plan) {
		return plan
	}
	plan.Mode = Refused
	plan.Reason = TooLate
	plan.RetryAfter = max(plan.First-request.Objective/2, minRetryAfter)
	return plan
}

// idle reports whether nothing waits where a plan would be carried out: then a
// refusal would gain nobody anything.
func idle(plan Plan) bool {
	if plan.Mode == Apart {
		return plan.Reader.ReadTokens == 0
	}
	return plan.Runner.ReadTokens == 0
}

// minRetryAfter is the shortest time after which a refused request comes back.
const minRetryAfter = 100 * time.Millisecond

func refuse(reason Reason) Plan {
	return Plan{Mode: Refused, Reason: reason, RetryAfter: minRetryAfter, Cost: math.Inf(1)}
}

// planOpaque chooses the worker with the most room.
func (s *Scheduler) planOpaque(request Request, candidates []Candidate) Plan {
	best := refuse(NoWorker)
	for _, candidate := range candidates {
		if request.Excluded[candidate.ID] {
			continue
		}
		slots := max(candidate.Slots, 1)
		fill := float64(candidate.Requests+1) / float64(slots)
		cost := s.common(request, candidate) + 20*fill*fill
		if candidate.Requests >= slots {
			cost += 50 * float64(candidate.Requests-slots+1)
		}
		plan := Plan{Mode: Whole, Runner: candidate, Cost: cost}
		if better(plan, best) {
			best = plan
		}
	}
	return best
}

// common is the part of the cost that all ways share.
func (s *Scheduler) common(request Request, candidate Candidate) float64 {
	cost := s.costs.Failure * candidate.FailureRate
	if request.Failed[candidate.ID] {
		cost += 2 * s.costs.Avoided
	}
	if candidate.Avoid {
		cost += s.costs.Avoided
	}
	if candidate.Leaving {
		cost += 2 * s.costs.Avoided
	}
	if !candidate.SameZone {
		cost += s.costs.OtherZone
	}
	return cost
}

// planWhole chooses a decode engine that reads and runs the request.
func (s *Scheduler) planWhole(request Request, candidates []Candidate) Plan {
	best := refuse(NoWorker)
	for i, candidate := range candidates {
		if candidate.Prefill || request.Excluded[candidate.ID] {
			continue
		}
		reading := s.reading(request, candidates, i)
		first := s.costs.Fixed + reading.time + s.costs.Running*float64(candidate.Requests)
		cost := first + reading.price + s.common(request, candidate) + s.pressure(request, candidate) +
			s.costs.Interference*reading.own*float64(candidate.Requests)
		plan := Plan{
			Mode: Whole, Runner: candidate, Fetch: reading.fetch, Unread: reading.unread,
			First: milliseconds(first), Cost: cost,
		}
		if better(plan, best) {
			best = plan
		}
	}
	return best
}

// planApart chooses a prefill engine to read, and a decode engine to run.
func (s *Scheduler) planApart(request Request, candidates []Candidate) Plan {
	runner := s.Runner(request, candidates)
	if runner.Mode == Refused {
		return runner
	}
	best := refuse(NoWorker)
	for i, candidate := range candidates {
		if !candidate.Prefill || request.Excluded[candidate.ID] || candidate.HandleFailure {
			continue
		}
		reading := s.reading(request, candidates, i)
		move := s.costs.MovePerToken * float64(request.PromptTokens)
		first := s.costs.Fixed + s.costs.Hop + reading.time + s.costs.Running*float64(runner.Runner.Requests)
		cost := s.costs.Fixed + s.costs.Hop + reading.time + move + reading.price + s.common(request, candidate) + runner.Cost
		plan := Plan{
			Mode: Apart, Reader: candidate, Runner: runner.Runner, Fetch: reading.fetch, Unread: reading.unread,
			First: milliseconds(first), Cost: cost,
		}
		if better(plan, best) {
			best = plan
		}
	}
	return best
}

// Runner chooses the decode engine for a prompt that was read apart.
func (s *Scheduler) Runner(request Request, candidates []Candidate) Plan {
	best := refuse(NoWorker)
	for _, candidate := range candidates {
		if !candidate.Decode || request.Excluded[candidate.ID] {
			continue
		}
		cost := s.common(request, candidate) + s.costs.Running*float64(candidate.Requests) + s.pressure(request, candidate)
		plan := Plan{Mode: Whole, Runner: candidate, Cost: cost}
		if better(plan, best) {
			best = plan
		}
	}
	return best
}

// reading is what it takes one worker to have a prompt in memory.
type reading struct {
	// time is the wait for the tokens ahead and for those of the request, in
	// milliseconds, and own the part of it for the request.
	time, own float64
	// price is that of shared tokens read again, and of moves.
	price float64
	// fetch is where a part of the prompt is taken from.
	fetch string
	// unread counts the tokens that are read anew.
	unread int
}

// reading compares reading all that the worker lacks with fetching what another
// worker keeps.
func (s *Scheduler) reading(request Request, candidates []Candidate, i int) reading {
	candidate := candidates[i]
	kept := min(candidate.CachedTokens, request.PromptTokens)
	best := s.read(request, candidate, kept)
	source := longest(candidates, i)
	if source == nil {
		return best
	}
	moved := min(source.CachedTokens, request.PromptTokens) - kept
	if moved < s.costs.FetchFrom {
		return best
	}
	fetched := s.read(request, candidate, kept+moved)
	fetched.own += s.costs.Fetch
	fetched.time += s.costs.Fetch
	fetched.price += s.costs.MovePerToken * float64(moved)
	fetched.fetch = source.Address
	if fetched.time+fetched.price < best.time+best.price {
		return fetched
	}
	return best
}

// read is the reading of all but the tokens at hand.
func (s *Scheduler) read(request Request, candidate Candidate, atHand int) reading {
	unread := request.PromptTokens - atHand
	pace := max(candidate.Pace, lowestPace)
	return reading{
		time:   float64(candidate.ReadTokens+unread) / pace,
		own:    float64(unread) / pace,
		price:  s.costs.RereadPerToken * float64(max(request.SharedTokens-atHand, 0)),
		unread: unread,
	}
}

// lowestPace keeps predictions finite, in tokens a millisecond.
const lowestPace = 0.1

// longest returns the sound worker other than i that keeps most of the prompt.
func longest(candidates []Candidate, i int) *Candidate {
	var found *Candidate
	for j := range candidates {
		other := &candidates[j]
		if j == i || other.Avoid || other.CachedTokens == 0 {
			continue
		}
		if found == nil || other.CachedTokens > found.CachedTokens {
			found = other
		}
	}
	return found
}

// pressure is the cost of running where memory is short: running requests would
// be put aside in the middle.
func (s *Scheduler) pressure(request Request, candidate Candidate) float64 {
	if candidate.Capacity == 0 {
		return 0
	}
	needed := candidate.MemoryTokens + request.PromptTokens + request.OutputTokens
	fill := float64(needed) / float64(candidate.Capacity)
	if fill > 1 {
		return s.costs.MemoryPressure * fill
	}
	return s.costs.MemoryPressure * 0.1 * fill * fill
}

func milliseconds(count float64) time.Duration {
	return time.Duration(count * float64(time.Millisecond))
}
