package placement

import (
	"time"

	"github.com/tinarch/tinarch/internal/engine"
	"github.com/tinarch/tinarch/internal/prefix"
	"github.com/tinarch/tinarch/internal/result"
)

// Serves keeps engines that serve the request's model version and adapter in a
// role that runs whole requests.
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

// Available keeps engines that are ready: claimed, read, answering, neither
// draining nor leaving.
type Available struct{}

// Keep implements Filter.
func (Available) Keep(_ *Request, candidate *Candidate, _ *Matches) bool {
	return candidate.Availability == Ready
}

// Refusal implements Filter.
func (Available) Refusal() result.Code { return result.NoEngine }

// NotExcluded drops engines that refused the request before.
type NotExcluded struct{}

// Keep implements Filter.
func (NotExcluded) Keep(request *Request, candidate *Candidate, _ *Matches) bool {
	return request.Excluded&(1<<candidate.Slot) == 0
}

// Refusal implements Filter.
func (NotExcluded) Refusal() result.Code { return result.RetriesExhausted }

// HasCapacity drops engines that run as many requests as they may. Waiting here
// rather than in the engine keeps the order of classes in our hands.
type HasCapacity struct{}

// Keep implements Filter.
func (HasCapacity) Keep(_ *Request, candidate *Candidate, _ *Matches) bool {
	return candidate.InFlight < candidate.MaxRunning
}

// Refusal implements Filter.
func (HasCapacity) Refusal() result.Code { return result.QueueFull }

// HasPrefillCapacity drops engines that have prompts of the request's rank or above to
// read for some time already:
// what waits here instead can still be put behind a more urgent request, be
// refused in time, or find a free engine elsewhere. An engine that has read the
// beginning of the prompt may have as much more ahead of it as that saves: to wait
// there is no slower than to read it again elsewhere.
type HasPrefillCapacity struct{}

// promptBacklog is how much prompt an engine is given ahead, in time. It covers
// the way of a few reports and tickets, so that engines do not run dry.
const promptBacklog = 1500 * time.Millisecond

// Keep implements Filter.
func (HasPrefillCapacity) Keep(request *Request, candidate *Candidate, matches *Matches) bool {
	ahead := candidate.Backlog.Ahead(request.Rank)
	if ahead == 0 {
		return true
	}
	cached := min(matches[candidate.Slot]*prefix.BlockTokens, request.PromptTokens)
	return candidate.Rates.PrefillTime(ahead-cached) < promptBacklog
}

// Refusal implements Filter.
func (HasPrefillCapacity) Refusal() result.Code { return result.QueueFull }
