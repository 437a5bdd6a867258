package placement

import (
	"github.com/tinarch/tinarch/internal/prefix"
)

// PrefillDelay predicts the time until the first token: the prompt tokens that
// wait before the request, and its own that are not cached. It makes shared
// prompts stick to the engines that have read them, until the queue there costs
// more than reading again.
type PrefillDelay struct{}

// Cost implements Scorer.
func (PrefillDelay) Cost(request *Request, candidate *Candidate, matches *Matches) float64 {
	cached := min(matches[candidate.Slot]*prefix.BlockTokens, request.PromptTokens)
	tokens := candidate.Backlog.Ahead(request.Rank) + request.PromptTokens - cached
	return float64(tokens) / candidate.Rates.PrefillTokensPerSecond
}

// DecodeSlowdown predicts the time to write the output: each token waits for one
// iteration, and an iteration is longer the more prompt tokens of others are read
// in it and the more sequences decode.
type DecodeSlowdown struct{}

// sequenceShare is the lengthening of an iteration by one more decoding
// sequence, as a share of the iteration. At 2,000 cached tokens of 17 ns against
// 7.5 ms it is 0.5 %; doubled for sampling and output handling.
const sequenceShare = 0.01

// Cost implements Scorer.
func (DecodeSlowdown) Cost(request *Request, candidate *Candidate, _ *Matches) float64 {
	decode := candidate.Rates.DecodeTime(request.OutputTokens, candidate.Backlog.Total()).Seconds()
	return decode * (1 + sequenceShare*float64(candidate.InFlight))
}

// MemoryPressure charges for memory that must be freed: cached prefixes are
// evicted and will be read again. A request that does not fit at all waits in
// the engine for others to end.
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

// ZoneDistance charges for the way to another zone: small, so that it only
// decides between engines that are otherwise alike.
type ZoneDistance struct{}

// otherZoneCost is a few round trips between zones, in seconds.
const otherZoneCost = 0.003

// Cost implements Scorer.
func (ZoneDistance) Cost(request *Request, candidate *Candidate, _ *Matches) float64 {
	if request.Zone == "" || request.Zone == candidate.Zone {
		return 0
	}
	return otherZoneCost
}

// InFlightOnly is the cost of the least-loaded baseline.
type InFlightOnly struct{}

// Cost implements Scorer.
func (InFlightOnly) Cost(_ *Request, candidate *Candidate, _ *Matches) float64 {
	return float64(candidate.InFlight)
}
