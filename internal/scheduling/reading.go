package scheduling

// reading is what it takes one worker to have a prompt in memory.
type reading struct {
	// time is the wait for the tokens ahead and for those of the request, in
	// milliseconds, and own the part of it for the request.
	time, own float64
	// held is time with those of all ranks in place of those ahead: what is compared,
	// since a request that passes others holds them up.
	held float64
	// price is that of shared tokens read again, and of moves.
	price float64
	// fetch is where a part of the prompt is taken from.
	fetch string
	// unread counts the tokens that are read anew.
	unread int
}

// reading compares reading all that the worker lacks with fetching what another
// worker keeps.
func (s *Scheduler) reading(request Request, candidate Candidate, sources []Candidate) reading {
	kept := min(candidate.CachedTokens, request.PromptTokens)
	best := s.read(request, candidate, kept)
	source := longest(sources, candidate.ID)
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
	fetched.held += s.costs.Fetch
	fetched.price += s.costs.MovePerToken * float64(moved)
	fetched.fetch = source.Address
	if fetched.held+fetched.price < best.held+best.price {
		return fetched
	}
	return best
}

// read is the reading of all but the tokens at hand.
func (s *Scheduler) read(request Request, candidate Candidate, atHand int) reading {
	unread := request.PromptTokens - atHand
	pace := max(candidate.Pace, lowestPace)
	return reading{
		time:   float64(candidate.ReadAhead+unread) / pace,
		own:    float64(unread) / pace,
		held:   float64(candidate.ReadTokens+unread) / pace,
		price:  s.costs.RereadPerToken * float64(max(request.SharedTokens-atHand, 0)),
		unread: unread,
	}
}

// lowestPace keeps predictions finite, in tokens a millisecond.
const lowestPace = 0.1

// longest returns the sound worker other than one that keeps most of the prompt.
func longest(candidates []Candidate, except string) *Candidate {
	var found *Candidate
	for i := range candidates {
		other := &candidates[i]
		if other.ID == except || other.Avoid || other.CachedTokens == 0 {
			continue
		}
		if found == nil || other.CachedTokens > found.CachedTokens {
			found = other
		}
	}
	return found
}
