package scheduling

import (
	"slices"
	"time"
)

// Bounds of the wait for a prefix that is being prefilled for another request.
const (
	// maxPrefixWaits is how often one request waits: a second time if the first prefill takes
	// longer than expected or fails and another request begins to read the prefix.
	maxPrefixWaits = 2
	// prefixWaitShare bounds one wait, as a fraction of the time for which the caller stays. The
	// other half is left for prefilling the prompt if the awaited prefill fails.
	prefixWaitShare = 0.5
	// prefixOverrun is how much longer than expected a prefill may take, as a fraction, so that
	// the answer after the wait is still in time: engines alternate between prompts, so that
	// those that arrive later delay it.
	prefixOverrun = 0.5
	// prefixWaitMargin is added to the expected end of a prefill: the time until the load
	// message that tells it arrives.
	prefixWaitMargin = 25 * time.Millisecond
	// PrefixWaitSpread is the time over which requests are planned again after a prefill for
	// which they waited has not come to a good end. It is twice the time between two load
	// messages, so that most of them learn that the first one reads the prefix.
	PrefixWaitSpread = 50 * time.Millisecond
)

// InFlight is the part of a request's prompt that is being prefilled at a worker for another
// request. It is zero if there is none.
type InFlight struct {
	// Tokens are the leading tokens of the prompt that the worker has cached once the prefill
	// has ended, and Left is the time until then.
	Tokens int
	Left   time.Duration
}

// Better returns the one of two prefills that covers more of the prompt, or the one that ends
// first if both cover the same.
func (f InFlight) Better(other InFlight) InFlight {
	if other.Tokens > f.Tokens || other.Tokens == f.Tokens && other.Left < f.Left {
		return other
	}
	return f
}

// planSingleRead answers the load in which many requests of one prefix arrive while it is being
// prefilled for the first of them: the caches are empty and each would read it again. It compares
// the plan made without regard to that, and the cheapest one that it is based on, with waiting for
// each such prefill and then prefilling only the rest.
func (s *Scheduler) planSingleRead(request Request, candidates []Candidate, cheapest, plan Plan) Plan {
	plan.InFlight = largestInFlight(candidates)
	if request.PrefixWaits >= maxPrefixWaits || request.Begun || request.NoApart || cheapest.Mode == Refused {
		return plan
	}
	best, found := plan, false
	for i, candidate := range candidates {
		if !worthAwaiting(request, candidate, cheapest) {
			continue
		}
		wait := candidate.InFlight.Left + prefixWaitMargin
		later := s.planAfter(request, candidates, i, wait)
		longest := s.longestWait(request, wait, later, plan)
		if cheapest.Unread-later.Unread < MinSharedTokens || wait+time.Duration(prefixOverrun*float64(wait)) > longest {
			continue
		}
		held := Plan{
			Mode: Held, Reason: PrefixInFlight, Reader: candidate, InFlight: plan.InFlight, First: wait + later.First,
			Cost: later.Cost + float64(wait)/float64(time.Millisecond), RetryAfter: wait, LongestWait: longest,
		}
		if held.Cost < best.Cost || !found && !plan.served() {
			best, found = held, true
		}
	}
	return best
}

// planAfter returns the plan for a request after a wait at whose end one of the candidates has
// prefilled what is in flight there.
func (s *Scheduler) planAfter(request Request, candidates []Candidate, index int, wait time.Duration) Plan {
	later, then := request.after(wait), withPrefixRead(candidates, index, wait)
	return s.planPrompt(later, then, s.choose(later, then))
}

// served reports whether a plan sends the request to a worker.
func (p Plan) served() bool { return p.Mode == Whole || p.Mode == Apart }

// largestInFlight returns the largest part of the prompt that is being prefilled at one of the
// candidates.
func largestInFlight(candidates []Candidate) InFlight {
	var largest InFlight
	for _, candidate := range candidates {
		largest = largest.Better(candidate.InFlight)
	}
	return largest
}

// worthAwaiting reports whether a worker prefills, for another request, at least MinSharedTokens
// of the prompt that it has not cached yet and that the cheapest plan would prefill again. Nobody
// waits for a worker that has just failed or is about to end.
func worthAwaiting(request Request, candidate Candidate, cheapest Plan) bool {
	again := candidate.InFlight.Tokens - max(request.PromptTokens-cheapest.Unread, candidate.CachedTokens)
	return again >= MinSharedTokens && !candidate.Avoid && !candidate.Leaving && !request.Failed[candidate.ID]
}

// longestWait returns how long a request may wait for a prefill that is expected to take for the
// given time, zero if it is not to wait. A request that is served without the wait waits only if
// it is expected to be served sooner after it: a prefill often takes longer than expected, and a
// request that is late then may be refused. It may wait as long as it can be in time, or as long
// as its caller waits if it can't be in time with or without the wait.
func (s *Scheduler) longestWait(request Request, wait time.Duration, later, plan Plan) time.Duration {
	stay := float64(min(request.Remaining, request.Patience))
	longest := time.Duration(prefixWaitShare*stay) - PrefixWaitSpread
	first, inTime := wait+later.First, time.Duration(s.costs.LatePast*float64(request.ObjectiveLeft))
	switch {
	case !later.served() || plan.served() && plan.First < first:
		return 0
	case first <= inTime:
		return min(longest, inTime-later.First)
	}
	return min(longest, time.Duration(s.costs.LateShare*stay)-later.First)
}

// after returns the request as it will be after a wait.
func (r Request) after(wait time.Duration) Request {
	r.ObjectiveLeft -= wait
	r.Remaining -= wait
	r.Patience -= wait
	return r
}

// withPrefixRead returns the candidates as they will be once one of them has prefilled what is in
// flight there. Its queue still counts all tokens of that prefill. The queues of the others are
// assumed to stay as they are, since other requests arrive in the meantime.
func withPrefixRead(candidates []Candidate, index int, wait time.Duration) []Candidate {
	later := slices.Clone(candidates)
	read := &later[index]
	done := int(float64(wait) / float64(time.Millisecond) * max(read.Throughput, minThroughput))
	done = max(done, read.InFlight.Tokens-read.CachedTokens)
	read.CachedTokens = max(read.CachedTokens, read.InFlight.Tokens)
	read.ReadTokens = max(read.ReadTokens-done, 0)
	read.ReadAhead = max(read.ReadAhead-done, 0)
	return later
}
