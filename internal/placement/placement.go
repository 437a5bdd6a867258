// Package placement chooses the engine for a request: a cycle of filters,
// scorers and a picker. It is pure: time is an argument, and nothing here does
// I/O. Costs are predicted seconds, so that scorers add up without weights.
package placement

import (
	"time"

	"github.com/tinarch/tinarch/internal/engine"
	"github.com/tinarch/tinarch/internal/prefix"
	"github.com/tinarch/tinarch/internal/result"
)

// MaxEngines is the most engines in one cell: engine sets are 64-bit masks.
const MaxEngines = 64

// Availability tells whether an engine may get work.
type Availability int

// The availabilities.
const (
	// Unknown engines have not been claimed and read.
	Unknown Availability = iota
	// Empty engines serve no model yet.
	Empty
	// Ready engines get work.
	Ready
	// Draining engines get none until a planned change is done.
	Draining
	// Changing engines carry out an order.
	Changing
	// Leaving engines are marked so by the machine list, and get none any more.
	Leaving
	// Lost engines do not answer.
	Lost
)

var availabilityNames = [...]string{"unknown", "empty", "ready", "draining", "changing", "leaving", "lost"}

// String returns the name that operators see.
func (a Availability) String() string { return availabilityNames[a] }

// Candidate is what placement knows of one engine. In-flight figures are exact,
// counted from this cell's own placements; the load report lags.
type Candidate struct {
	// Slot is the engine's index in masks, below MaxEngines.
	Slot         int
	Name         string
	Zone         string
	Availability Availability
	Deployment   engine.Deployment
	// InFlight counts placements not finished.
	InFlight int
	// MaxRunning is the most requests the engine runs before further ones wait.
	MaxRunning int
	// Backlog counts prompt tokens placed and not known to be read.
	Backlog Backlog
	// ReservedTokens counts the KV memory that placements need.
	ReservedTokens int
	MemoryTokens   int
	// Rates are learned from load reports.
	Rates Rates
}

// Rates describe an engine's speed.
type Rates struct {
	PrefillTokensPerSecond float64
	// DecodeStep is the length of an iteration that reads no prompt, MixedStep of
	// one that reads as much of prompts as it may.
	DecodeStep time.Duration
	MixedStep  time.Duration
}

// Default rates until a report has come.
const (
	defaultPrefillRate = 10_000
	defaultDecodeStep  = 10 * time.Millisecond
	defaultMixedStep   = 50 * time.Millisecond
)

// WithDefaults fills in what no report has told yet.
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

// PrefillTime predicts how long reading tokens takes.
func (r Rates) PrefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / r.PrefillTokensPerSecond * float64(time.Second))
}

// DecodeTime predicts how long writing tokens takes while, at its beginning, the
// engine has pending prompt tokens of other requests to read.
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
	// Rank is that of the request's class.
	Rank int32
	// Excluded is the mask of engines tried before.
	Excluded uint64
}

// Matches holds, for each slot, how many leading blocks of the prompt the
// engine should have cached.
type Matches [MaxEngines]int

// Filter removes engines that must not or can't take a request.
type Filter interface {
	// Keep reports whether the engine may take the request.
	Keep(request *Request, candidate *Candidate, matches *Matches) bool
	// Refusal is the code when this filter removed the last engine.
	Refusal() result.Code
}

// Scorer predicts a cost, in seconds, of placing a request on an engine.
type Scorer interface {
	Cost(request *Request, candidate *Candidate, matches *Matches) float64
}

// Picker chooses among the engines that passed all filters.
type Picker interface {
	// Pick returns an index into costs.
	Pick(costs []float64) int
}

// Decision is the outcome of one cycle.
type Decision struct {
	Candidate *Candidate
	// Cost is the predicted cost, in seconds.
	Cost float64
	// CachedTokens is the part of the prompt that should be cached.
	CachedTokens int
}

// Pipeline places one request at a time.
type Pipeline struct {
	filters []Filter
	scorers []Scorer
	picker  Picker
	index   *PrefixIndex

	matches Matches
	kept    []*Candidate
	costs   []float64
}

// NewPipeline returns a cycle. The index may be nil where no scorer needs it.
func NewPipeline(filters []Filter, scorers []Scorer, picker Picker, index *PrefixIndex) *Pipeline {
	return &Pipeline{
		filters: filters,
		scorers: scorers,
		picker:  picker,
		index:   index,
		kept:    make([]*Candidate, 0, MaxEngines),
		costs:   make([]float64, 0, MaxEngines),
	}
}

// DefaultFilters returns the filters of every policy.
func DefaultFilters() []Filter {
	return []Filter{Serves{}, Available{}, NotExcluded{}, HasCapacity{}, HasPrefillCapacity{}}
}

// NewDefaultPipeline returns the cycle that nodes use.
func NewDefaultPipeline(index *PrefixIndex) *Pipeline {
	scorers := []Scorer{PrefillDelay{}, DecodeSlowdown{}, MemoryPressure{}, ZoneDistance{}}
	return NewPipeline(DefaultFilters(), scorers, LowestCost{}, index)
}

// Place chooses an engine. The error names the filter that left none; with code
// QueueFull it only means that every engine is full now.
func (c *Pipeline) Place(request *Request, candidates []*Candidate) (Decision, error) {
	c.match(request, candidates)
	if code := c.filter(request, candidates); code != result.OK {
		return Decision{}, result.New(code, "none of %d engines can take a request for %s/%s now", len(candidates), request.Model, request.Version)
	}
	c.costs = c.costs[:0]
	for _, candidate := range c.kept {
		cost := 0.0
		for _, scorer := range c.scorers {
			cost += scorer.Cost(request, candidate, &c.matches)
		}
		c.costs = append(c.costs, cost)
	}
	chosen := c.picker.Pick(c.costs)
	candidate := c.kept[chosen]
	return Decision{
		Candidate:    candidate,
		Cost:         c.costs[chosen],
		CachedTokens: min(c.matches[candidate.Slot]*prefix.BlockTokens, request.PromptTokens),
	}, nil
}

// filter keeps the candidates that pass all filters. It returns the refusal of
// the filter that the most promising candidate failed at.
func (c *Pipeline) filter(request *Request, candidates []*Candidate) result.Code {
	c.kept = c.kept[:0]
	furthest, code := -1, result.NoEngine
	for _, candidate := range candidates {
		failed := c.firstFailure(request, candidate)
		if failed < 0 {
			c.kept = append(c.kept, candidate)
			continue
		}
		if failed > furthest {
			furthest, code = failed, c.filters[failed].Refusal()
		}
	}
	if len(c.kept) > 0 {
		return result.OK
	}
	return code
}

func (c *Pipeline) firstFailure(request *Request, candidate *Candidate) int {
	for i, filter := range c.filters {
		if !filter.Keep(request, candidate, &c.matches) {
			return i
		}
	}
	return -1
}

func (c *Pipeline) match(request *Request, candidates []*Candidate) {
	if c.index == nil {
		return
	}
	var mask uint64
	for _, candidate := range candidates {
		mask |= 1 << candidate.Slot
	}
	c.index.Match(request.Prefix, mask, &c.matches)
}
