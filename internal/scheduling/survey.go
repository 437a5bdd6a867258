package scheduling

import (
	"slices"

	"github.com/tinarch/tinarch/internal/prefixcache"
	"github.com/tinarch/tinarch/internal/rendezvous"
)

// Parameters of Preselect. More than two random choices by load gain little (Mitzenmacher, "The
// power of two choices in randomized load balancing", 2001); the third makes up for one that
// does not answer.
const (
	// contentChoices is the number of prefill engines at which all nodes look for a
	// content.
	contentChoices = 3
	// nearReaders is the number of prefill engines that a node considers in addition, and
	// readersWithoutContent their number for a prompt that shares too little to be placed by
	// content.
	nearReaders           = 1
	readersWithoutContent = 3
	// runnerChoices is the number of other workers that a node considers.
	runnerChoices = 3
	// widenFactor multiplies these numbers if none of the first choices can serve a request.
	widenFactor = 2
	// MinSharedTokens is the number of shared tokens from which a prompt is placed by its
	// content, at the engines where other nodes look for it.
	MinSharedTokens = 1024
)

// Preselect narrows the workers of a service to those whose load is worth asking other nodes
// for: those that this node tracks, those at which all nodes look for the request's content,
// and some that are near. It returns all workers if this node tracks them all. It also returns
// all for opaque requests, whose workers tell their load in each answer. If wide is set it
// takes more workers.
func Preselect(request Request, candidates []Candidate, wide bool) []Candidate {
	if request.PromptTokens == 0 || !slices.ContainsFunc(candidates, func(c Candidate) bool { return c.Report == Unasked }) {
		return candidates
	}
	var chosen []Candidate
	for _, region := range regionsOf(candidates) {
		inRegion, _ := split(candidates, func(c Candidate) bool { return c.Region == region })
		chosen = append(chosen, preselectRegion(request, inRegion, wide)...)
	}
	return chosen
}

// preselectRegion is Preselect within one region.
func preselectRegion(request Request, candidates []Candidate, wide bool) []Candidate {
	factor := 1
	if wide {
		factor = widenFactor
	}
	readers, others := byStage(eligible(request, candidates))
	runners := nearest(others, runnerChoices*factor)
	for i := range runners {
		// Nodes look for contents at prefill engines only.
		runners[i].NotHome = runners[i].NotHome || request.Content != 0 && len(readers) > 0
	}
	return slices.Concat(preselectReaders(request, readers, factor), runners)
}

// eligible returns the candidates of each stage that may serve the request: the sound ones, or
// all that are not excluded if none is sound.
func eligible(request Request, candidates []Candidate) []Candidate {
	var sound, unsound []Candidate
	for _, candidate := range candidates {
		switch {
		case !request.admitsCandidate(candidate):
		case candidate.sound() && !request.Failed[candidate.ID]:
			sound = append(sound, candidate)
		default:
			unsound = append(unsound, candidate)
		}
	}
	soundReaders, soundOthers := byStage(sound)
	unsoundReaders, unsoundOthers := byStage(unsound)
	if len(soundReaders) == 0 {
		soundReaders = unsoundReaders
	}
	if len(soundOthers) == 0 {
		soundOthers = unsoundOthers
	}
	return slices.Concat(soundReaders, soundOthers)
}

// byStage divides candidates into prefill engines and all other workers.
func byStage(candidates []Candidate) (readers, others []Candidate) {
	for _, candidate := range candidates {
		if candidate.Prefill {
			readers = append(readers, candidate)
		} else {
			others = append(others, candidate)
		}
	}
	return readers, others
}

// preselectReaders chooses prefill engines. If the prompt shares enough, the engines at which
// all nodes look for its content come first, and the others are marked as NotHome.
func preselectReaders(request Request, readers []Candidate, factor int) []Candidate {
	if request.Content == 0 {
		return nearest(readers, readersWithoutContent*factor)
	}
	hash := func(c Candidate) uint64 { return c.Hash }
	chosen := rendezvous.Top(readers, hash, request.Content, contentChoices*factor)
	for i := contentChoices; i < len(chosen); i++ {
		chosen[i].NotHome = true
	}
	for _, near := range nearest(readers, nearReaders*factor) {
		if !slices.ContainsFunc(chosen, func(c Candidate) bool { return c.ID == near.ID }) {
			near.NotHome = true
			chosen = append(chosen, near)
		}
	}
	return chosen
}

// nearest returns the candidates whose load this node tracks and count others: those in its
// zone first, then by their sort key.
func nearest(candidates []Candidate, count int) []Candidate {
	var near, unasked []Candidate
	for _, candidate := range candidates {
		if candidate.Report == Unasked {
			unasked = append(unasked, candidate)
		} else {
			near = append(near, candidate)
		}
	}
	slices.SortFunc(unasked, func(left, right Candidate) int { return byNearness(left.outline(), right.outline()) })
	return append(near, unasked[:min(count, len(unasked))]...)
}

// WithKnownLoad drops the workers whose load at other nodes is unknown, because no report was
// asked for or none arrived, as long as others of their stage are left. An unknown load looks
// like the smallest one, so that all nodes would choose these workers.
func WithKnownLoad(candidates []Candidate) []Candidate {
	readers, others := byStage(candidates)
	return slices.Concat(withKnownLoad(readers), withKnownLoad(others))
}

func withKnownLoad(candidates []Candidate) []Candidate {
	known := slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool {
		return c.Report == Unanswered || c.Report == Unasked
	})
	if len(known) == 0 {
		return candidates
	}
	return known
}

// Content identifies the prefix that a prompt of these parts shares with others, and returns
// its length in tokens. The identity is that of the last shared part, since the parts before it
// are cached wherever that one is. It is zero if the prefix is shorter than MinSharedTokens.
func Content(parts []prefixcache.Part) (content uint64, tokens int) {
	if len(parts) < 2 {
		return 0, 0
	}
	shared := parts[:len(parts)-1]
	tokens = prefixcache.Tokens(shared)
	if tokens < MinSharedTokens {
		return 0, 0
	}
	return uint64(shared[len(shared)-1].ID), tokens
}

// WithHolders adds the workers that are reported to have the request's content cached to the
// chosen ones, as sources only because their load is unknown.
func WithHolders(chosen, candidates []Candidate, holders []Holder) []Candidate {
	for _, holder := range holders {
		is := func(c Candidate) bool { return c.ID == holder.Worker }
		if i := slices.IndexFunc(chosen, is); i >= 0 {
			chosen[i].CachedTokens = max(chosen[i].CachedTokens, holder.Tokens)
			continue
		}
		if i := slices.IndexFunc(candidates, is); i >= 0 {
			source := candidates[i]
			source.SourceOnly = true
			source.CachedTokens = max(source.CachedTokens, holder.Tokens)
			chosen = append(chosen, source)
		}
	}
	return chosen
}

// outline returns the part of a candidate that a shortlist is made from.
func (c Candidate) outline() Outline {
	return Outline{
		ID: c.ID, Prefill: c.Prefill, Software: c.Software, Draining: c.Draining, SameZone: c.SameZone, SortKey: c.SortKey, Hash: c.Hash,
		Sound: c.sound(), Tracked: c.Report != Unasked,
	}
}

// sound reports whether nothing counts against a worker: it is neither avoided nor leaving,
// needs no wait for a turn, and hands prompts over without failures.
func (c Candidate) sound() bool {
	return !c.Avoid && !c.Leaving && !c.HandleFailure && c.TurnWait == 0
}
