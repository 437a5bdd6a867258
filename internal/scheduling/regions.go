package scheduling

import (
	"math"
	"slices"

	"github.com/tinarch/tinarch/internal/rendezvous"
)

// Reach tells why a request is served in a region.
type Reach string

// The reaches of a request.
const (
	// Everywhere is that of a deployment in one region.
	Everywhere Reach = "everywhere"
	// OwnRegion is that of the node.
	OwnRegion Reach = "own_region"
	// ContentRegion is the one where all nodes look for what the prompt shares.
	ContentRegion Reach = "content_region"
	// SpillOver is another one, since the first choice can't serve the request in time.
	SpillOver Reach = "spill_over"
)

// Scope is a choice of regions for a request, and their workers.
type Scope struct {
	Reach      Reach
	Candidates []Candidate
}

// Scopes divides the candidates of a deployment in several regions into those that are
// looked at first and those that are looked at where these can't serve the request in time.
// In one region all are looked at first.
//
// A prompt that shares a content with others is read, and written, in the region where all
// nodes look for it: a region keeps a third of what three keep, and the way there takes a
// tenth of the time in which it is read again. The engines of the node's own region don't
// compete: nearly always one of them seems a little cheaper, and each region then reads all
// contents itself (docs/design/regions.md). Other requests stay in the region. A region none
// of whose engines can run the request is passed over as if it had none.
func Scopes(request Request, candidates []Candidate) []Scope {
	candidates = withinReach(request, candidates)
	if len(regionsOf(candidates)) < 2 {
		return []Scope{{Everywhere, candidates}}
	}
	own := ownRegion(candidates)
	first, reach := own, OwnRegion
	if request.Content != 0 {
		if home := HomeRegion(request.Content, candidates); home != own {
			first, reach = home, ContentRegion
		}
	}
	here, rest := split(candidates, func(c Candidate) bool { return c.Region == first })
	scopes := []Scope{{reach, here}}
	if next, found := nextRegion(request, rest); found {
		spill, _ := split(rest, func(c Candidate) bool { return c.Region == next })
		scopes = append(scopes, Scope{SpillOver, asStray(spill)})
	}
	return scopes
}

// withinReach leaves out the regions where no sound worker could run a request, unless that
// leaves none: they may be cut off from this node while the store still lists their workers.
func withinReach(request Request, candidates []Candidate) []Candidate {
	sound := make(map[string]bool)
	for _, candidate := range candidates {
		if !candidate.Prefill && candidate.sound() && !request.Failed[candidate.ID] && !request.Excluded[candidate.ID] {
			sound[candidate.Region] = true
		}
	}
	if len(sound) == 0 || len(sound) == len(regionsOf(candidates)) {
		return candidates
	}
	reached, _ := split(candidates, func(c Candidate) bool { return sound[c.Region] })
	return reached
}

// HomeRegion names the region in which all nodes look for a content: by weighted rendezvous
// hashing (Schindelhauer and Schomaker, "Weighted distributed hash tables", 2005), the
// weight of a region being the number of its engines, so that one which loses some gives up
// as many contents.
func HomeRegion(content uint64, candidates []Candidate) string {
	engines := make(map[string]int)
	for _, candidate := range candidates {
		if candidate.Prefill || candidate.Decode {
			engines[candidate.Region]++
		}
	}
	home, best := "", math.Inf(-1)
	for region, count := range engines {
		// A score in (0, 1], evenly distributed.
		score := (float64(rendezvous.Score(content, rendezvous.Hash(region))) + 1) / math.Exp2(64)
		if weighted := math.Log(score) / float64(count); weighted > best {
			home, best = region, weighted
		}
	}
	return home
}

// regionsOf lists the regions of candidates in order.
func regionsOf(candidates []Candidate) []string {
	var regions []string
	for _, candidate := range candidates {
		if !slices.Contains(regions, candidate.Region) {
			regions = append(regions, candidate.Region)
		}
	}
	slices.Sort(regions)
	return regions
}

// ownRegion is the node's own, as far as it has workers.
func ownRegion(candidates []Candidate) string {
	near := slices.IndexFunc(candidates, func(c Candidate) bool { return !c.OtherRegion })
	if near < 0 {
		return HomeRegion(0, candidates)
	}
	return candidates[near].Region
}

// nextRegion chooses the region that is looked at when the first choice can't serve a
// request: contents have the same second region at all nodes, other requests one drawn by
// the ranks of its workers, which are the node's own.
func nextRegion(request Request, candidates []Candidate) (string, bool) {
	if len(candidates) == 0 {
		return "", false
	}
	if request.Content != 0 {
		return HomeRegion(request.Content, candidates), true
	}
	lowest := slices.MinFunc(candidates, func(left, right Candidate) int {
		if left.Rank < right.Rank {
			return -1
		}
		return 1
	})
	return lowest.Region, true
}

// split divides candidates by a condition.
func split(candidates []Candidate, holds func(Candidate) bool) (yes, no []Candidate) {
	for _, candidate := range candidates {
		if holds(candidate) {
			yes = append(yes, candidate)
		} else {
			no = append(no, candidate)
		}
	}
	return yes, no
}

// asStray marks candidates as those where other nodes won't look for what is read.
func asStray(candidates []Candidate) []Candidate {
	for i := range candidates {
		candidates[i].NotHome = true
	}
	return candidates
}

// farMove is how much slower memory moves between regions than within one, as the users'
// pages tell of their links.
const farMove = 10

// crossing is what moving a whole prompt between two engines costs beyond a move within a
// region, in milliseconds: its time and its price.
func (s *Scheduler) crossing(request Request, from string, to Candidate) (time, price float64) {
	if from == to.Region {
		return 0, 0
	}
	tokens := float64(request.PromptTokens)
	return (farMove - 1) * request.Engine.MovePerToken * tokens, (farMove - 1) * s.movePrice(request, request.PromptTokens)
}
