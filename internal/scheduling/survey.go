package scheduling

import (
	"slices"

	"github.com/tinarch/tinarch/internal/prefixcache"
	"github.com/tinarch/tinarch/internal/rendezvous"
)

// The figures of a survey. With more than two random choices by load little more is
// gained (Mitzenmacher, "The power of two choices in randomized load balancing", 2001);
// the third makes up for one that doesn't answer.
const (
	// contentChoices is the number of prefill engines at which all nodes look for a
	// content.
	contentChoices = 3
	// nearReaders is the number of prefill engines that a node considers besides, and
	// readersWithout that where the prompt shares too little to be looked for.
	nearReaders    = 1
	readersWithout = 3
	// runnerChoices is the number of other workers that a node considers.
	runnerChoices = 3
	// widened multiplies all of them where none of the first choices can serve a request.
	widened = 2
	// MinSharedTokens is the number of shared tokens from which a prompt is read where
	// others look for it.
	MinSharedTokens = 1024
)

// Preselect narrows the workers of a service to those whose load is worth asking for: the
// ones that this node keeps account of, those where all nodes look for the request's
// content, and some that are near. In a fleet in which each node keeps all accounts these
// are all workers, and for requests that aren't for engines too: these workers tell their
// load in each answer. Where wide is set it takes more.
func Preselect(request Request, candidates []Candidate, wide bool) []Candidate {
	if request.PromptTokens == 0 || !slices.ContainsFunc(candidates, func(c Candidate) bool { return c.Report == Unasked }) {
		return candidates
	}
	var chosen []Candidate
	for _, region := range regionsOf(candidates) {
		near, _ := split(candidates, func(c Candidate) bool { return c.Region == region })
		chosen = append(chosen, surveyRegion(request, near, wide)...)
	}
	return chosen
}

// surveyRegion is Survey in one region.
func surveyRegion(request Request, candidates []Candidate, wide bool) []Candidate {
	factor := 1
	if wide {
		factor = widened
	}
	readers, others := byStage(fit(request, candidates))
	runners := nearest(others, runnerChoices*factor)
	for i := range runners {
		// Of prompts, all nodes look at prefill engines only.
		runners[i].NotHome = runners[i].NotHome || request.Content != 0 && len(readers) > 0
	}
	return slices.Concat(surveyReaders(request, readers, factor), runners)
}

// fit returns the candidates that may serve the request: the sound ones, or all that are
// not excluded where none is sound.
func fit(request Request, candidates []Candidate) []Candidate {
	var sound, unsound []Candidate
	for _, candidate := range candidates {
		switch {
		case request.Excluded[candidate.ID]:
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

// byStage divides candidates into those that only read and all others.
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

// surveyReaders chooses prefill engines: where the prompt shares enough, those at which
// all nodes look for its content come first, and what the others read is stray.
func surveyReaders(request Request, readers []Candidate, factor int) []Candidate {
	if request.Content == 0 {
		return nearest(readers, readersWithout*factor)
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

// nearest returns the candidates whose account this node keeps, and besides count others,
// those of its zone first and in an order of its own.
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

// WithKnownLoad leaves out the workers whose account was asked for in vain, as long as others
// of their stage are left: of a load that isn't known each node would take the least.
func WithKnownLoad(candidates []Candidate) []Candidate {
	readers, others := byStage(candidates)
	return slices.Concat(informed(readers), informed(others))
}

func informed(candidates []Candidate) []Candidate {
	known := slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool {
		return c.Report == Unanswered || c.Report == Unasked
	})
	if len(known) == 0 {
		return candidates
	}
	return known
}

// Content names what a prompt of these parts shares with others: the last shared part,
// since all parts before it are kept where that one is, and the tokens up to its end. It is
// zero where too little is shared to be looked for.
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

// WithHolders adds the workers that are told to keep the request's content to those that
// were chosen, as sources only: their load isn't known.
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

// outline is what a shortlist is made by.
func (c Candidate) outline() Outline {
	return Outline{
		ID: c.ID, Prefill: c.Prefill, SameZone: c.SameZone, Rank: c.Rank, Hash: c.Hash,
		Sound: c.sound(), Tracked: c.Report != Unasked,
	}
}

// sound reports whether nothing speaks against a worker.
func (c Candidate) sound() bool {
	return !c.Avoid && !c.Leaving && !c.HandleFailure && c.TurnWait == 0
}
