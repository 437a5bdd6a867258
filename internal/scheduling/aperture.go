package scheduling

import (
	"cmp"
	"slices"
)

// The figures of the aperture.
const (
	// smallFleet is the number of nodes up to which each places on all workers.
	smallFleet = 12
	// contenders is the number of nodes of a larger fleet that should place requests
	// on one worker: with what few nodes place unseen by one another, the predictions
	// hold.
	contenders = 6
	// leastInside is the fewest workers of a stage that a node places on.
	leastInside = 6
	// worthLeaving is how many tokens of a prompt a worker outside must keep for the
	// request to go there.
	worthLeaving = 1024
)

// aperture narrows the workers that a node of a large fleet places on: all nodes
// hear of a worker that has come free within the same moment, and of each other's
// requests only after it, so that all would choose that worker. Each node keeps to
// its own share of each stage, chosen by Candidate.Rank, which differs from node to
// node; a worker that keeps much of the prompt may be chosen from anywhere. Where
// nothing inside is sound, all workers count.
func aperture(request Request, candidates []Candidate) []Candidate {
	if request.Nodes <= smallFleet {
		return candidates
	}
	readers, writers := byStage(candidates)
	inside := slices.Concat(narrow(request, readers), narrow(request, writers))
	return append(inside, keepers(candidates, inside)...)
}

// byStage divides candidates into those that only read and all others.
func byStage(candidates []Candidate) (readers, writers []Candidate) {
	for _, candidate := range candidates {
		if candidate.Prefill {
			readers = append(readers, candidate)
		} else {
			writers = append(writers, candidate)
		}
	}
	return readers, writers
}

// narrow returns this node's share of the workers of one stage.
func narrow(request Request, stage []Candidate) []Candidate {
	sound := make([]Candidate, 0, len(stage))
	for _, candidate := range stage {
		if candidate.sound() && !request.Excluded[candidate.ID] && !request.Failed[candidate.ID] {
			sound = append(sound, candidate)
		}
	}
	if len(sound) == 0 {
		return stage
	}
	share := max((len(stage)*contenders+request.Nodes-1)/request.Nodes, leastInside)
	slices.SortFunc(sound, func(left, right Candidate) int { return cmp.Compare(left.Rank, right.Rank) })
	return sound[:min(share, len(sound))]
}

// keepers returns the workers outside that keep clearly more of the prompt than any
// inside.
func keepers(candidates, inside []Candidate) []Candidate {
	most := 0
	chosen := make(map[string]bool, len(inside))
	for _, candidate := range inside {
		most = max(most, candidate.CachedTokens)
		chosen[candidate.ID] = true
	}
	var keepers []Candidate
	for _, candidate := range candidates {
		if candidate.CachedTokens >= most+worthLeaving && candidate.sound() && !chosen[candidate.ID] {
			keepers = append(keepers, candidate)
		}
	}
	return keepers
}

// sound reports whether nothing speaks against a worker.
func (c Candidate) sound() bool { return !c.Avoid && !c.Leaving && !c.HandleFailure }
