// Package placement chooses the engine for a request with a pipeline of filters, scorers and a
// picker. It is deterministic: the caller passes the current time, and nothing here does I/O.
// Scorers return predicted seconds, so that their costs can be added without weights.
package placement

import (
	"time"

	"github.com/tinarch/tinarch/internal/engine"
	"github.com/tinarch/tinarch/internal/prefix"
	"github.com/tinarch/tinarch/internal/result"
)

// MaxEngines is the largest number of engines in one cell, the part of a pool that one
// scheduler (package cell) serves. Sets of engines are 64-bit masks.
const MaxEngines = 64

// Availability says whether an engine may be given requests.
type Availability int

// The availabilities.
const (
	// Unknown: it is not certain that the engine follows this cell's leader. At the leader, the
	// engine's current incarnation has not been claimed with this leader's fencing token, or no
	// status report has confirmed that yet. Another node tests less: there, the engine's last
	// report shows no fencing token at all. (Claiming raises the engine's fencing token, see
	// engine.OrderClaim.)
	Unknown Availability = iota
	// Empty: the engine serves no model yet.
	Empty
	// Ready: the engine accepts requests.
	Ready
	// Draining: the engine finishes its requests and gets no new ones, because an operator
	// drained it or a change of its deployment is about to begin.
	Draining
	// Changing: the engine is executing an order, for instance loading a model.
	Changing
	// Leaving: the machine list marks the engine as about to be removed; it gets no more
	// requests.
	Leaving
	// Lost: the engine does not answer.
	Lost
)

var availabilityNames = [...]string{"unknown", "empty", "ready", "draining", "changing", "leaving", "lost"}

// String returns the name that operators see.
func (a Availability) String() string { return availabilityNames[a] }

// Candidate is what placement knows of one engine. InFlight, Backlog and ReservedTokens count
// this cell's own placements and are exact, whereas the engine's load report is always somewhat
// old.
type Candidate struct {
	// Slot is the engine's bit in masks and its index in Matches, below MaxEngines.
	Slot         int
	Name         string
	Zone         string
	Availability Availability
	Deployment   engine.Deployment
	// InFlight counts the placed requests that have not finished.
	InFlight int
	// MaxRunning is the largest number of requests that the engine runs at once.
	MaxRunning int
	// Backlog counts the prompt tokens placed on the engine whose prefill is not known to be
	// done.
	Backlog Backlog
	// ReservedTokens is the KV cache, in tokens, that requests in flight need, and MemoryTokens
	// the engine's KV cache capacity; zero means not reported yet.
	ReservedTokens int
	MemoryTokens   int
	// Rates come from the engine's load reports.
	Rates Rates
}

// Rates describes an engine's speed.
type Rates struct {
	PrefillTokensPerSecond float64
	// DecodeStep is the duration of an iteration of the engine's batch that only decodes,
	// MixedStep that of one that also prefills as many prompt tokens as fit into it.
	DecodeStep time.Duration
	MixedStep  time.Duration
}

// Rates that are assumed until the engine has reported its own.
const (
	defaultPrefillRate = 10_000
	defaultDecodeStep  = 10 * time.Millisecond
	defaultMixedStep   = 50 * time.Millisecond
)

// WithDefaults replaces rates that have not been reported yet by the defaults.
func (r Rates) WithDefaults() Rates {
	if r.PrefillTokensPerSecond <= 0 {
		r.PrefillTokensPerSecond = defaultPrefillRate
	}
	if r.DecodeStep <= 0 {
		r.DecodeStep = defaultDecodeStep
	}
	if r.MixedStep <= 0 {
		r.MixedStep = defaultMixedStep
	}
	return r
}

// PrefillTime predicts how long the prefill of the given number of tokens takes.
func (r Rates) PrefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / r.PrefillTokensPerSecond * float64(time.Second))
}

// DecodeTime predicts how long it takes to generate the given number of tokens when, at the
// start, the engine still has to prefill pendingPrompt tokens of other requests: until those
// are done, each token takes a MixedStep.
func (r Rates) DecodeTime(tokens, pendingPrompt int) time.Duration {
	busy := r.PrefillTime(pendingPrompt)
	mixed := min(tokens, int(busy/r.MixedStep))
	return time.Duration(mixed)*r.MixedStep + time.Duration(tokens-mixed)*r.DecodeStep
}

// Request is what placement knows of one request.
type Request struct {
	Model        string
	Version      string
	Adapter      string
	PromptTokens int
	OutputTokens int
	Prefix       []prefix.Hash
	Zone         string
	// Rank is the rank of the request's priority class; engines run higher ranks first.
	Rank int32
	// Excluded is the mask of the engines that must not be tried again.
	Excluded uint64
}

// Matches holds, by slot, how many leading blocks of the prompt the engine is expected to have
// in its prefix cache.
type Matches [MaxEngines]int

// Filter rules out engines that cannot or must not run a request.
type Filter interface {
	// Keep reports whether the engine may take the request.
	Keep(request *Request, candidate *Candidate, matches *Matches) bool
	// Refusal is the result code when no engine passes all filters and, of the rejected
	// engines, the one that passed the most filters was rejected by this filter.
	Refusal() result.Code
}

// Scorer predicts a cost, in seconds, of placing a request on an engine.
type Scorer interface {
	Cost(request *Request, candidate *Candidate, matches *Matches) float64
}

// Picker chooses one of the engines that passed all filters.
type Picker interface {
	// Pick returns an index into costs.
	Pick(costs []float64) int
}

// Decision is the outcome of placing one request.
type Decision struct {
	Candidate *Candidate
	// Cost is the predicted cost, in seconds.
	Cost float64
	// CachedTokens is how many prompt tokens the engine is expected to have cached.
	CachedTokens int
}

// Pipeline places one request at a time: filters rule engines out, scorers add up a cost for
// each engine that is left, and the picker chooses by cost.
type Pipeline struct {
	filters []Filter
	scorers []Scorer
	picker  Picker
	index   *PrefixIndex

	matches  Matches
	eligible []*Candidate
	costs    []float64
}

// NewPipeline returns a pipeline. The index may be nil when no filter or scorer uses matches.
func NewPipeline(filters []Filter, scorers []Scorer, picker Picker, index *PrefixIndex) *Pipeline {
	return &Pipeline{
		filters:  filters,
		scorers:  scorers,
		picker:   picker,
		index:    index,
		eligible: make([]*Candidate, 0, MaxEngines),
		costs:    make([]float64, 0, MaxEngines),
	}
}

// DefaultFilters returns the filters that every policy uses.
func DefaultFilters() []Filter {
	return []Filter{Serves{}, Available{}, NotExcluded{}, HasCapacity{}, HasPrefillCapacity{}}
}

// NewDefaultPipeline returns the pipeline that nodes use.
func NewDefaultPipeline(index *PrefixIndex) *Pipeline {
	scorers := []Scorer{PrefillDelay{}, DecodeSlowdown{}, MemoryPressure{}, ZoneDistance{}}
	return NewPipeline(DefaultFilters(), scorers, LowestCost{}, index)
}

// Place chooses an engine for a request. If no engine passes all filters, the error has the
// refusal of the filter that rejected the engine which had passed the most; QueueFull means
// that there are suitable engines, and all are full for now.
func (p *Pipeline) Place(request *Request, candidates []*Candidate) (Decision, error) {
	p.matchPrefix(request, candidates)
	if code := p.applyFilters(request, candidates); code != result.OK {
		return Decision{}, result.New(code, "none of %d engines can take a request for %s/%s now", len(candidates), request.Model, request.Version)
	}
	p.costs = p.costs[:0]
	for _, candidate := range p.eligible {
		cost := 0.0
		for _, scorer := range p.scorers {
			cost += scorer.Cost(request, candidate, &p.matches)
		}
		p.costs = append(p.costs, cost)
	}
	chosen := p.picker.Pick(p.costs)
	candidate := p.eligible[chosen]
	return Decision{
		Candidate:    candidate,
		Cost:         p.costs[chosen],
		CachedTokens: min(p.matches[candidate.Slot]*prefix.BlockTokens, request.PromptTokens),
	}, nil
}

// applyFilters collects the candidates that pass all filters. If there are none, it returns the
// refusal of the filter that rejected the candidate which had passed the most filters.
func (p *Pipeline) applyFilters(request *Request, candidates []*Candidate) result.Code {
	p.eligible = p.eligible[:0]
	furthest, code := -1, result.NoEngine
	for _, candidate := range candidates {
		rejectedBy := p.firstRejection(request, candidate)
		if rejectedBy < 0 {
			p.eligible = append(p.eligible, candidate)
			continue
		}
		if rejectedBy > furthest {
			furthest, code = rejectedBy, p.filters[rejectedBy].Refusal()
		}
	}
	if len(p.eligible) > 0 {
		return result.OK
	}
	return code
}

func (p *Pipeline) firstRejection(request *Request, candidate *Candidate) int {
	for i, filter := range p.filters {
		if !filter.Keep(request, candidate, &p.matches) {
			return i
		}
	}
	return -1
}

func (p *Pipeline) matchPrefix(request *Request, candidates []*Candidate) {
	if p.index == nil {
		return
	}
	var mask uint64
	for _, candidate := range candidates {
		mask |= 1 << candidate.Slot
	}
	p.index.Match(request.Prefix, mask, &p.matches)
}
