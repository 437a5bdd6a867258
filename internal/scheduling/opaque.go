package scheduling

// planOpaque chooses a worker for an opaque request: by predicted time if the service's workers
// state the slowdown of their hosts, by free room otherwise.
func (s *Scheduler) planOpaque(request Request, candidates []Candidate) Plan {
	best := refuse(NoWorker)
	for _, candidate := range candidates {
		if !request.admitsCandidate(candidate) {
			continue
		}
		plan := s.opaqueByRoom(request, candidate)
		if candidate.Host.Stated() && request.Engine.Work > 0 {
			plan = s.opaqueByTime(request, candidate)
		}
		if better(plan, best) {
			best = plan
		}
	}
	return best
}

// opaqueByRoom prices a worker by the share of its slots in use.
func (s *Scheduler) opaqueByRoom(request Request, candidate Candidate) Plan {
	slots := max(candidate.Slots, 1)
	fill := float64(candidate.Requests+1) / float64(slots)
	cost := s.opaqueCost(request, candidate) + s.costs.Opaque.Fill*fill*fill
	if candidate.Requests >= slots {
		cost += s.costs.Opaque.Waiting * float64(candidate.Requests-slots+1)
	}
	cost += s.costs.Opaque.Turn * candidate.TurnWait
	return Plan{Mode: Whole, Runner: candidate, Cost: cost}
}

// opaqueCost is the cost of a worker's state for an opaque request.
func (s *Scheduler) opaqueCost(request Request, candidate Candidate) float64 {
	costs := s.costs.Opaque
	return stateCost(request, candidate, statePrices{costs.Failure, costs.Avoided, costs.OtherZone, costs.OtherRegion})
}

// unseenShare is the part of a worker's work time by which a request is expected to wait
// where all slots are in use by the time that it arrives, though one was free by what the node
// knew: the load that other nodes place is known 25 ms late, about as long as such work takes.
const unseenShare = 0.5

// opaqueByTime prices a worker by the predicted time to its answer, in milliseconds, and the
// prices of its state as fractions of the objective. Leaving the zone costs the same fraction as
// for prompts, so that a worker of another zone is chosen where it answers sooner by more than
// that.
func (s *Scheduler) opaqueByTime(request Request, candidate Candidate) Plan {
	work := candidate.Host.Of(request.Engine.Work)
	wait := max(opaqueWait(candidate)*work, candidate.TurnWait)
	slots := float64(max(candidate.Slots, 1))
	fill := min(float64(candidate.Requests+1)/slots, 1)
	cost := wait + work*(1+unseenShare*fill*fill) + s.commonCost(request, candidate)
	return Plan{Mode: Whole, Runner: candidate, First: milliseconds(wait + work + candidate.RoundTrip), Cost: cost}
}

// opaqueWait is the expected wait for a slot at a worker, as a multiple of its work time.
func opaqueWait(candidate Candidate) float64 {
	slots := max(candidate.Slots, 1)
	return float64(max(candidate.Requests-slots+1, 0)) / float64(slots)
}
