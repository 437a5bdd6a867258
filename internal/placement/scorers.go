package placement

import (
	"github.com/tinarch/tinarch/internal/prefix"
)

// PrefillDelay predicts the time to the first token: the prefill of the prompt tokens that are
// ahead of the request and of its own that are not cached. It makes prompts with a shared
// prefix go to engines that have it cached, until the queue there costs more than prefilling
// the prefix again elsewhere.
type PrefillDelay struct{}

// Cost implements Scorer.
func (PrefillDelay) Cost(request *Request, candidate *Candidate, matches *Matches) float64 {
	cached := min(matches[candidate.Slot]*prefix.BlockTokens, request.PromptTokens)
	tokens := candidate.Backlog.Ahead(request.Rank) + request.PromptTokens - cached
	return float64(tokens) / candidate.Rates.PrefillTokensPerSecond
}

// DecodeSlowdown predicts the whole time to generate the output, not only the part by which it
// is slowed down. Each token takes one iteration of the engine's batch, and iterations take
// longer when they also prefill prompts of other requests and when more sequences are decoded
// in them.
type DecodeSlowdown struct{}

// slowdownPerSequence is the share by which one more decoding sequence lengthens an iteration.
// It comes from a roofline estimate for a dense model of 70 billion parameters in 8 bits on
// four accelerators (see Model in internal/lab/engine): an iteration takes 7.5 ms to read the
// weights, and 17 ns more for each cached token, whose KV cache it reads too. A sequence with
// 2,000 cached tokens thus adds 0.5 % to an iteration; doubled to allow for sampling and output
// handling.
const slowdownPerSequence = 0.01

// Cost implements Scorer.
func (DecodeSlowdown) Cost(request *Request, candidate *Candidate, _ *Matches) float64 {
	decode := candidate.Rates.DecodeTime(request.OutputTokens, candidate.Backlog.Total()).Seconds()
	return decode * (1 + slowdownPerSequence*float64(candidate.InFlight))
}

// MemoryPressure charges for KV cache that has to be freed for the request, as the time to
// prefill the evicted prefixes again. A request for which there is no memory at all waits
// inside the engine until others finish.
type MemoryPressure struct{}

// Cost implements Scorer.
func (MemoryPressure) Cost(request *Request, candidate *Candidate, _ *Matches) float64 {
	if candidate.MemoryTokens == 0 {
		return 0
	}
	needed := request.PromptTokens + request.OutputTokens
	excess := candidate.ReservedTokens + needed - candidate.MemoryTokens
	if excess <= 0 {
		return 0
	}
	return float64(excess) / candidate.Rates.PrefillTokensPerSecond
}

// ZoneDistance adds a small cost for engines in another zone, which only decides between
// engines that are otherwise about equal.
type ZoneDistance struct{}

// crossZoneCost is the time of a few round trips between zones, in seconds.
const crossZoneCost = 0.003

// Cost implements Scorer.
func (ZoneDistance) Cost(request *Request, candidate *Candidate, _ *Matches) float64 {
	if request.Zone == "" || request.Zone == candidate.Zone {
		return 0
	}
	return crossZoneCost
}

// InFlightOnly is the cost of the least-loaded baseline: the number of requests in flight.
type InFlightOnly struct{}

// Cost implements Scorer.
func (InFlightOnly) Cost(_ *Request, candidate *Candidate, _ *Matches) float64 {
	return float64(candidate.InFlight)
}
