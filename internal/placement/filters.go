package placement

import (
	"github.com/tinarch/tinarch/internal/engine"
	"github.com/tinarch/tinarch/internal/result"
)

// Serves keeps engines that serve the request's model version and adapter in a
// role that runs whole requests.
type Serves struct{}

// Keep implements Filter.
func (Serves) Keep(request *Request, candidate *Candidate) bool {
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
func (Available) Keep(_ *Request, candidate *Candidate) bool { return candidate.Availability == Ready }

// Refusal implements Filter.
func (Available) Refusal() result.Code { return result.NoEngine }

// NotExcluded drops engines that refused the request before.
type NotExcluded struct{}

// Keep implements Filter.
func (NotExcluded) Keep(request *Request, candidate *Candidate) bool {
	return request.Excluded&(1<<candidate.Slot) == 0
}

// Refusal implements Filter.
func (NotExcluded) Refusal() result.Code { return result.RetriesExhausted }

// HasRoom drops engines that run as many requests as they may. Waiting here
// rather than in the engine keeps the order of classes in our hands.
type HasRoom struct{}

// Keep implements Filter.
func (HasRoom) Keep(_ *Request, candidate *Candidate) bool {
	return candidate.InFlight < candidate.MaxRunning
}

// Refusal implements Filter.
func (HasRoom) Refusal() result.Code { return result.QueueFull }
