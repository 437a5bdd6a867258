package scheduling

import (
	"math"
	"slices"

	"github.com/tinarch/tinarch/internal/rendezvous"
)

// Reach tells why a request is served in a region. It is logged and counted under this name.
type Reach string

// Values of Reach.
const (
	// Everywhere is the reach of all requests in a deployment with a single region.
	Everywhere Reach = "everywhere"
	// OwnRegion means the node's own region.
	OwnRegion Reach = "own_region"
	// ContentRegion means the region in which all nodes look for the prefix that the prompt
	// shares.
	ContentRegion Reach = "content_region"
	// SpillOver means another region, because the first choice cannot serve the request in
	// time.
	SpillOver Reach = "spill_over"
)

// Scope is a set of candidates that are considered together, and why their region is.
type Scope struct {
	Reach      Reach
	Candidates []Candidate
}

// Scopes divides the candidates of a deployment with several regions into those considered
// first and those considered if the first cannot serve the request in time. With one region all
// candidates are considered first.
//
// A content is the prefix that a prompt shares with others. Such a prompt is prefilled and
// decoded in the content's home region, where all nodes look for it. If each region cached all
// contents, three regions would keep only a third of what they can keep together, while the
// round trip to another region takes a tenth of the time of prefilling the content again. The
// engines of the node's own region are not compared with those of the home region: one of them
// nearly always seems slightly cheaper, and each region would then prefill all contents itself
// (docs/design/regions.md). Other requests stay in the node's region. A region none of whose
// engines can run the request is skipped.
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
		scopes = append(scopes, Scope{SpillOver, markNotHome(spill)})
	}
	return scopes
}

// withinReach drops the regions in which no sound worker could run a request, unless no region
// would be left. Such a region may be cut off from this node while the store still lists its
// workers.
func withinReach(request Request, candidates []Candidate) []Candidate {
	sound := make(map[string]bool)
	for _, candidate := range candidates {
		if !candidate.Prefill && candidate.sound() && !request.Failed[candidate.ID] && request.admitsCandidate(candidate) {
			sound[candidate.Region] = true
		}
	}
	if len(sound) == 0 || len(sound) == len(regionsOf(candidates)) {
		return candidates
	}
	reached, _ := split(candidates, func(c Candidate) bool { return sound[c.Region] })
	return reached
}

// HomeRegion returns the region in which all nodes look for a content. It is chosen by weighted
// rendezvous hashing (Schindelhauer and Schomaker, "Weighted distributed hash tables", 2005).
// The weight of a region is the number of its engines, so that a region that loses engines
// gives up contents in proportion.
func HomeRegion(content uint64, candidates []Candidate) string {
	engines := make(map[string]int)
	for _, candidate := range candidates {
		if candidate.Prefill || candidate.Decode {
			engines[candidate.Region]++
		}
	}
	home, best := "", math.Inf(-1)
	for region, count := range engines {
		// A score uniformly distributed in (0, 1].
		score := (float64(rendezvous.Score(content, rendezvous.Hash(region))) + 1) / math.Exp2(64)
		if weighted := math.Log(score) / float64(count); weighted > best {
			home, best = region, weighted
		}
	}
	return home
}

// regionsOf returns the sorted names of the candidates' regions.
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

// ownRegion returns the node's own region. If that has no workers, all nodes without workers
// nearby agree on one by hashing.
func ownRegion(candidates []Candidate) string {
	near := slices.IndexFunc(candidates, func(c Candidate) bool { return !c.OtherRegion })
	if near < 0 {
		return HomeRegion(0, candidates)
	}
	return candidates[near].Region
}

// nextRegion chooses the region that is considered if the first choice cannot serve a request.
// A content has the same second region at all nodes. Other requests go to the region of the
// worker with the smallest sort key, which differs from node to node.
func nextRegion(request Request, candidates []Candidate) (string, bool) {
	if len(candidates) == 0 {
		return "", false
	}
	if request.Content != 0 {
		return HomeRegion(request.Content, candidates), true
	}
	lowest := slices.MinFunc(candidates, func(left, right Candidate) int {
		if left.SortKey < right.SortKey {
			return -1
		}
		return 1
	})
	return lowest.Region, true
}

// split divides candidates by a predicate.
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

// markNotHome marks candidates as engines at which other nodes do not look for what is
// prefilled.
func markNotHome(candidates []Candidate) []Candidate {
	for i := range candidates {
		candidates[i].NotHome = true
	}
	return candidates
}

// crossRegionSlowdown is how many times slower KV cache transfers between regions are than
// within one, according to the users' descriptions of their links.
const crossRegionSlowdown = 10

// crossRegionExtra returns the time and the price of transferring a whole prompt between two
// engines beyond those of a transfer within a region, in milliseconds.
func (s *Scheduler) crossRegionExtra(request Request, from string, to Candidate) (time, price float64) {
	if from == to.Region {
		return 0, 0
	}
	tokens := float64(request.PromptTokens)
	return (crossRegionSlowdown - 1) * request.Engine.MovePerToken * tokens, (crossRegionSlowdown - 1) * s.movePrice(request, request.PromptTokens)
}
