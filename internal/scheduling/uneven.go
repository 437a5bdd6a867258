package scheduling

import "time"

// Where workers state the slowdown of their hosts, all learned times are those on a host that
// is as fast as usual, and Candidate.Host tells how much longer they are at a worker.

// handoverTime is the predicted time from sending a request whose prompt was prefilled by
// another engine to the first byte of its answer, in milliseconds.
func handoverTime(request Request, runner Candidate) float64 {
	engine := request.Engine
	if !runner.Host.Stated() || engine.HandoverWork == 0 && engine.HandoverPerToken == 0 {
		return engine.Handover
	}
	return runner.Host.Of(engine.HandoverWork) + engine.HandoverPerToken*float64(request.PromptTokens)
}

// handoverExtra is how much longer the handover takes on a runner's host than on one that is as
// fast as usual, in milliseconds.
func handoverExtra(request Request, runner Candidate) float64 {
	return runner.Host.Of(request.Engine.HandoverWork) - request.Engine.HandoverWork
}

// paceCost is the cost of running where output would come more slowly than the route's pauses
// allow.
func (s *Scheduler) paceCost(request Request, candidate Candidate) float64 {
	if !candidate.Host.Stated() || request.GapObjective <= 0 {
		return 0
	}
	gap := float64(request.GapObjective) / float64(time.Millisecond)
	if candidate.Host.Of(request.Engine.Pace) <= gap {
		return 0
	}
	return s.costs.Avoided * request.objectiveMilliseconds()
}
