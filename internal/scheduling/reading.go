package scheduling

// prefillEstimate is what it takes a worker to get a prompt into its KV cache. Times and prices
// are in milliseconds.
type prefillEstimate struct {
	// time is the wait for the tokens queued ahead plus the request's own prefill, and own the
	// part of it for which the request delays others.
	time, own float64
	// timeBehindAll is time if the request waited for the whole queue (Candidate.ReadTokens),
	// also for prompts that are less urgent. That leaves out late prompts, except in the view
	// of a late request. Costs are computed with it, since a request that overtakes others
	// delays them.
	timeBehindAll float64
	// price is that of prefilling shared tokens again and of transfers between engines.
	price float64
	// fetch is the address of the worker from which part of the prompt is fetched, empty if
	// nothing is fetched.
	fetch string
	// unread counts the tokens that have to be prefilled.
	unread int
}

// cheapestPrefill compares prefilling everything that the worker lacks with fetching what
// another worker has cached.
func (s *Scheduler) cheapestPrefill(request Request, candidate Candidate, sources []Candidate) prefillEstimate {
	cached := min(candidate.CachedTokens, request.PromptTokens)
	best := s.prefillWith(request, candidate, cached)
	source := bestSource(sources, candidate)
	if source == nil {
		return best
	}
	moved := min(source.CachedTokens, request.PromptTokens) - cached
	if float64(moved) < s.costs.MinFetchShare*float64(request.PromptTokens) {
		return best
	}
	fetched := s.prefillWith(request, candidate, cached+moved)
	wait := request.Engine.Fetch + request.Engine.MovePerToken*float64(moved)
	fetched.time += wait
	fetched.timeBehindAll += wait
	fetched.price += s.movePrice(request, moved)
	fetched.fetch = source.Address
	if fetched.timeBehindAll+fetched.price < best.timeBehindAll+best.price {
		return fetched
	}
	return best
}

// prefillWith returns the estimate in which all tokens are prefilled except the atHand leading
// ones, which are cached or fetched.
func (s *Scheduler) prefillWith(request Request, candidate Candidate, atHand int) prefillEstimate {
	unread := request.PromptTokens - atHand
	throughput := max(candidate.Throughput, minThroughput)
	fixed, own := candidate.PrefillCoefficients.Fixed, candidate.PrefillCoefficients.VariableMilliseconds(unread, atHand)
	onHost := candidate.Host.Of
	again := float64(max(request.SharedTokens-atHand, 0)) / float64(request.PromptTokens)
	if candidate.NotHome {
		again *= s.costs.NotHomeFactor
	}
	return prefillEstimate{
		time:          fixed + onHost(request.Engine.Queue*float64(candidate.ReadAhead)/throughput+own),
		own:           onHost(own),
		timeBehindAll: fixed + onHost(float64(candidate.ReadTokens)/throughput+own),
		price:         s.costs.Reread * again * request.objectiveMilliseconds(),
		unread:        unread,
	}
}

// movePrice is the price of transferring tokens of a request's prompt between engines.
func (s *Scheduler) movePrice(request Request, tokens int) float64 {
	return s.costs.Move * float64(tokens) / float64(request.PromptTokens) * request.objectiveMilliseconds()
}

// minThroughput is the least throughput assumed, in tokens per millisecond. It keeps
// predictions finite.
const minThroughput = 0.1

// bestSource returns the other worker in the same region that has the most of the prompt
// cached, nil if there is none. It passes over workers that are avoided, draining or rate-limited.
// Between regions KV cache transfers too slowly to be fetched.
func bestSource(candidates []Candidate, to Candidate) *Candidate {
	var found *Candidate
	for i := range candidates {
		other := &candidates[i]
		if other.ID == to.ID || other.Region != to.Region || other.Avoid || other.Draining || other.Limited || other.CachedTokens == 0 {
			continue
		}
		if found == nil || other.CachedTokens > found.CachedTokens {
			found = other
		}
	}
	return found
}
