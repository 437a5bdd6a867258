package scheduling

// reading is what it takes one worker to have a prompt in memory, in milliseconds.
type reading struct {
	// time is the wait for the tokens ahead and for those of the request, own the part
	// of it for which the request holds up others.
	time, own float64
	// held is time with the tokens of all ranks in place of those ahead: what is
	// compared, since a request that passes others holds them up.
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
	source := longest(sources, candidate)
	if source == nil {
		return best
	}
	moved := min(source.CachedTokens, request.PromptTokens) - kept
	if float64(moved) < s.costs.MinFetchShare*float64(request.PromptTokens) {
		return best
	}
	fetched := s.read(request, candidate, kept+moved)
	wait := request.Engine.Fetch + request.Engine.MovePerToken*float64(moved)
	fetched.time += wait
	fetched.held += wait
	fetched.price += s.movePrice(request, moved)
	fetched.fetch = source.Address
	if fetched.held+fetched.price < best.held+best.price {
		return fetched
	}
	return best
}

// read is the reading of all but the tokens at hand.
func (s *Scheduler) read(request Request, candidate Candidate, atHand int) reading {
	unread := request.PromptTokens - atHand
	pace := max(candidate.Throughput, lowestPace)
	alone := candidate.Reading.Milliseconds(unread, atHand)
	again := float64(max(request.SharedTokens-atHand, 0)) / float64(request.PromptTokens)
	if candidate.NotHome {
		again *= s.costs.NotHomeFactor
	}
	return reading{
		time:   request.Engine.Queue*float64(candidate.ReadAhead)/pace + alone,
		own:    candidate.Reading.VariableMilliseconds(unread, atHand),
		held:   float64(candidate.ReadTokens)/pace + alone,
		price:  s.costs.Reread * again * request.aim(),
		unread: unread,
	}
}

// movePrice is the price of moving tokens of a request's prompt.
func (s *Scheduler) movePrice(request Request, tokens int) float64 {
	return s.costs.Move * float64(tokens) / float64(request.PromptTokens) * request.aim()
}

// lowestPace keeps predictions finite, in tokens a millisecond.
const lowestPace = 0.1

// longest returns the sound worker of a worker's region, other than itself, that keeps most
// of the prompt: between regions memory moves too slowly to be fetched.
func longest(candidates []Candidate, to Candidate) *Candidate {
	var found *Candidate
	for i := range candidates {
		other := &candidates[i]
		if other.ID == to.ID || other.Region != to.Region || other.Avoid || other.Limited || other.CachedTokens == 0 {
			continue
		}
		if found == nil || other.CachedTokens > found.CachedTokens {
			found = other
		}
	}
	return found
}
