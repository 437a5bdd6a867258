package dispatch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/tinarch/tinarch/internal/scheduling"
	"github.com/tinarch/tinarch/internal/worker"
)

const (
	// pauseRetrySpread is the time over which refused callers retry after the end of a pause.
	pauseRetrySpread = 500 * time.Millisecond
	// maxLateWaiters is how many calls of a service wait at a node for the end of a pause
	// although they will be late. It is about the number that the workers accept in the first
	// steps of their recovery after it; any more would wait in vain.
	maxLateWaiters = 8
)

// maxWait is how long the call may wait for a worker: until it would be late, half as long for
// each priority after the most urgent one, and no longer than its caller stays.
func (s *session) maxWait() time.Duration {
	inTime := time.Duration(waitShare * float64(s.call.Route.Objective-time.Since(s.call.Arrived)))
	return min(max(inTime, 0)>>min(max(s.call.Priority(), 0), worker.RankCount), s.maxStay())
}

// maxStay is the part of the time until the caller leaves for which the call may wait.
func (s *session) maxStay() time.Duration {
	return time.Duration(waitShare * float64(s.call.patience(time.Now(), s.last)))
}

// holdUntilPauseEnds turns a refusal for lack of workers into a wait for the first worker whose
// pause ends, if the call can be in time then or is one of the few that may wait although late.
// Otherwise it tells the caller when the pause ends.
func (s *session) holdUntilPauseEnds(plan scheduling.Plan) scheduling.Plan {
	if plan.Mode != scheduling.Refused || plan.Reason == scheduling.TooLate || plan.Reason == scheduling.Limited {
		return plan
	}
	wait := s.waitForPause()
	if wait == 0 {
		return plan
	}
	plan.Reason = scheduling.Paused
	if wait <= s.maxWait() || wait <= s.maxStay() && s.mayWaitLate() {
		plan.Mode, plan.RetryAfter = scheduling.Held, wait
		s.pauseAwaited = true
		return plan
	}
	plan.RetryAfter = wait + rand.N(pauseRetrySpread)
	return plan
}

// mayWaitLate reports whether the call is one of the few that wait for a pause which ends too
// late for them to be in time. A call that was charged to a quota is not, since it would run in
// another window than it was charged in.
func (s *session) mayWaitLate() bool {
	if s.lateWaiter || !s.call.Charge.None() {
		return s.lateWaiter
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	service := s.call.Service.Name
	if s.lateWaiters[service] >= maxLateWaiters {
		return false
	}
	s.lateWaiters[service]++
	s.lateWaiter = true
	return true
}

// endLateWait makes room for another call that waits although it will be late.
func (s *session) endLateWait() {
	if !s.lateWaiter {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	service := s.call.Service.Name
	s.lateWaiters[service]--
	if s.lateWaiters[service] == 0 {
		delete(s.lateWaiters, service)
	}
}

// planKept plans where a prompt that was read apart and kept is to run, or waits for the first
// engine whose pause ends. It returns false if there is no such prompt, or if no engine can run
// it in time; then the prompt is freed.
func (s *session) planKept(ctx context.Context) (scheduling.Plan, bool) {
	if s.keptPrompt == nil {
		return scheduling.Plan{}, false
	}
	plan := s.holdUntilPauseEnds(s.chooseRunner(ctx, s.keptPrompt.reader))
	switch plan.Mode {
	case scheduling.Held:
		return plan, true
	case scheduling.Refused:
		s.freeKept()
		return scheduling.Plan{}, false
	}
	plan.Mode, plan.Reader = scheduling.Apart, s.keptPrompt.reader
	return plan, true
}

// freeKept frees a prompt that was kept for another engine.
func (s *session) freeKept() {
	if s.keptPrompt != nil {
		s.release(s.keptPrompt.handle, s.keptPrompt.reader)
		s.keptPrompt = nil
	}
}

// pauseReplan is the wait before a call that has waited for a pause is planned again: about the
// time that a recovering worker takes to serve a request.
const pauseReplan = 20 * time.Millisecond

// waitForPause is the time until a worker that may get the call takes requests again. It is
// zero if one does now or no such time is known. A worker that recovers takes few requests at
// once: one that had no room for the plan may have some by now, so a call that has waited is
// planned again instead of being refused.
func (s *session) waitForPause() time.Duration {
	wait, found := s.registry.UsableIn(s.call.Service.Name, s.runnable(), time.Now())
	if found && wait == 0 && s.pauseAwaited {
		return pauseReplan
	}
	return wait
}
