package placement

import (
	"time"

	"github.com/tinarch/tinarch/internal/engine"
	"github.com/tinarch/tinarch/internal/prefix"
	"github.com/tinarch/tinarch/internal/result"
)

// Serves keeps engines that serve the request's model version and adapter in the mixed role,
// which both prefills and decodes.
type Serves struct{}

// Keep implements Filter.
func (Serves) Keep(request *Request, candidate *Candidate, _ *Matches) bool {
	deployment := &candidate.Deployment
	return deployment.Model == request.Model &&
		deployment.Version == request.Version &&
		deployment.Role == engine.RoleMixed &&
		deployment.HasAdapter(request.Adapter)
}

// Refusal implements Filter.
func (Serves) Refusal() result.Code { return result.NoEngine }

// Available keeps engines whose availability is Ready.
type Available struct{}

// Keep implements Filter.
func (Available) Keep(_ *Request, candidate *Candidate, _ *Matches) bool {
	return candidate.Availability == Ready
}

// Refusal implements Filter.
func (Available) Refusal() result.Code { return result.NoEngine }

// NotExcluded drops the engines in Request.Excluded, those that refused the request before.
type NotExcluded struct{}

// Keep implements Filter.
func (NotExcluded) Keep(request *Request, candidate *Candidate, _ *Matches) bool {
	return request.Excluded&(1<<candidate.Slot) == 0
}

// Refusal implements Filter.
func (NotExcluded) Refusal() result.Code { return result.RetriesExhausted }

// HasCapacity drops engines that run as many requests as they may. Further requests wait in the
// cell rather than in the engine, so that the cell's queue decides the order of classes.
type HasCapacity struct{}

// Keep implements Filter.
func (HasCapacity) Keep(_ *Request, candidate *Candidate, _ *Matches) bool {
	return candidate.InFlight < candidate.MaxRunning
}

// Refusal implements Filter.
func (HasCapacity) Refusal() result.Code { return result.QueueFull }

// HasPrefillCapacity drops engines that are still busy for maxPrefillBacklog with the prefill
// of prompts of the request's rank or above. A request that waits in the cell instead can still
// be overtaken by a more urgent one, be refused in time, or go to another engine that becomes
// free. The limit rises by the time that an engine's cached prefix saves: waiting for that
// engine is no slower than prefilling the prefix again elsewhere.
type HasPrefillCapacity struct{}

// maxPrefillBacklog is how much prefill work, in time, an engine is given in advance. It spans
// the delay of a few load reports and tickets, so that engines do not run idle between them.
const maxPrefillBacklog = 1500 * time.Millisecond

// Keep implements Filter.
func (HasPrefillCapacity) Keep(request *Request, candidate *Candidate, matches *Matches) bool {
	ahead := candidate.Backlog.Ahead(request.Rank)
	if ahead == 0 {
		return true
	}
	cached := min(matches[candidate.Slot]*prefix.BlockTokens, request.PromptTokens)
	return candidate.Rates.PrefillTime(ahead-cached) < maxPrefillBacklog
}

// Refusal implements Filter.
func (HasPrefillCapacity) Refusal() result.Code { return result.QueueFull }
