package dispatch

import (
	"context"
	"time"

	"github.com/tinarch/tinarch/internal/quarantine"
	"github.com/tinarch/tinarch/internal/result"
	"github.com/tinarch/tinarch/internal/scheduling"
)

// Quarantine knows the requests that crash workers, over all nodes. A worker crashes when it
// ends without having been drained.
type Quarantine interface {
	// Check tells how a request is to be treated.
	Check(request quarantine.Fingerprint, now time.Time) quarantine.Status
	// Crashed records that a worker has crashed while it ran these requests.
	Crashed(crashes map[quarantine.Fingerprint]quarantine.Crash, now time.Time)
	// Survived records that a worker completed a request and has not crashed.
	Survived(request quarantine.Fingerprint, now time.Time)
	// WorkerAlive records that a worker which was taken for crashed still answers.
	WorkerAlive(worker string, now time.Time)
}

// noQuarantine suspects no request.
type noQuarantine struct{}

func (noQuarantine) Check(quarantine.Fingerprint, time.Time) quarantine.Status {
	return quarantine.Status{}
}
func (noQuarantine) Crashed(map[quarantine.Fingerprint]quarantine.Crash, time.Time) {}
func (noQuarantine) Survived(quarantine.Fingerprint, time.Time)                     {}
func (noQuarantine) WorkerAlive(string, time.Time)                                  {}

// checkQuarantine looks up whether workers may get the call, before one of them does. While the
// last crash that counts against the call is recent it waits (Status.Settling): reports from
// other nodes may still be on their way, and only they tell which further requests ran on the
// crashed worker. It returns false and the outcome if the call is quarantined, because workers
// crashed whenever they ran it, or if it ended during the wait.
func (s *session) checkQuarantine(ctx context.Context) (Outcome, bool) {
	s.quarantineStatus = s.quarantine.Check(s.call.Fingerprint, time.Now())
	for !s.quarantineStatus.Quarantined && s.quarantineStatus.Settling > 0 {
		if err := s.pause(ctx, s.quarantineStatus.Settling); err != nil {
			return s.givenUp(tryResult{verdict: notRun, err: err}), false
		}
		s.quarantineStatus = s.quarantine.Check(s.call.Fingerprint, time.Now())
	}
	if s.quarantineStatus.Quarantined {
		return s.quarantined(), false
	}
	return Outcome{}, true
}

// quarantined returns the outcome of a call that no worker gets any more.
func (s *session) quarantined() Outcome {
	detail := "workers ended whenever they ran it; its fingerprint is " + s.call.Fingerprint.String()
	if s.mayHaveRunBefore {
		return s.end(Outcome{Code: codeOfLost(nil, s.call.Route.Repeatable()), Detail: detail})
	}
	return s.end(Outcome{Code: result.RequestQuarantined, RetryAfter: s.quarantineStatus.Left, Detail: detail})
}

// recordSurvival records that a worker has completed the call.
func (s *session) recordSurvival(load *work) {
	now := time.Now()
	s.crashDetector.recordCompletion(load.runner.ID, load.begun, now)
	s.quarantine.Survived(s.call.Fingerprint, now)
}

// suspected reports whether workers have crashed while running the call.
func (s *session) suspected() bool { return s.quarantineStatus.Crashes > 0 }

// withoutOtherSuspects drops, for a suspected call, the sound workers that run more other
// suspected calls of this node than the least loaded one of their stage. Calls that ran
// together when a worker crashed are retried at the same moment, and would all go to the one
// worker that is best then. If that crashed too, nothing would tell which call caused it.
func (s *session) withoutOtherSuspects(candidates []scheduling.Candidate) []scheduling.Candidate {
	if !s.suspected() {
		return candidates
	}
	counts := make(map[string]int, len(candidates))
	least := make(map[bool]int)
	for _, candidate := range candidates {
		if !s.isSoundFor(candidate) {
			continue
		}
		counts[candidate.ID] = s.crashDetector.suspects(candidate.ID)
		fewest, known := least[candidate.Prefill]
		if !known || counts[candidate.ID] < fewest {
			least[candidate.Prefill] = counts[candidate.ID]
		}
	}
	kept := make([]scheduling.Candidate, 0, len(candidates))
	for _, candidate := range candidates {
		if counts[candidate.ID] <= least[candidate.Prefill] {
			kept = append(kept, candidate)
		}
	}
	return kept
}

// isSoundFor reports whether nothing counts against a worker for this call.
func (s *session) isSoundFor(c scheduling.Candidate) bool {
	return isSound(c) && !s.excluded[c.ID] && !s.failed[c.ID]
}
