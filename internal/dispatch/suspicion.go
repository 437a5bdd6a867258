package dispatch

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/tinarch/tinarch/internal/quarantine"
	"github.com/tinarch/tinarch/internal/result"
	"github.com/tinarch/tinarch/internal/scheduling"
)

// Quarantine knows the requests that crash workers, over all nodes. A worker crashes when it
// ends without having been drained.
type Quarantine interface {
	// Check tells how a request whose prompt has these parts is to be treated. It may use up a
	// trial, and Status doesn't.
	Check(request quarantine.Fingerprint, now time.Time, parts ...quarantine.Fingerprint) quarantine.Status
	Status(request quarantine.Fingerprint, now time.Time, parts ...quarantine.Fingerprint) quarantine.Status
	// Crashed records that a worker has crashed while it ran requests with these fingerprints and
	// parts.
	Crashed(crashes map[quarantine.Fingerprint]quarantine.Crash, now time.Time)
	// Survived records that a worker completed a request and has not crashed. parts are those of
	// its prompt, if the worker has written an answer to it.
	Survived(request quarantine.Fingerprint, now time.Time, parts ...quarantine.Fingerprint)
	// WorkerAlive records that a worker which was taken for crashed still answers.
	WorkerAlive(worker string, now time.Time)
}

// noQuarantine suspects no request.
type noQuarantine struct{}

func (noQuarantine) Check(quarantine.Fingerprint, time.Time, ...quarantine.Fingerprint) quarantine.Status {
	return quarantine.Status{}
}
func (noQuarantine) Status(quarantine.Fingerprint, time.Time, ...quarantine.Fingerprint) quarantine.Status {
	return quarantine.Status{}
}
func (noQuarantine) Crashed(map[quarantine.Fingerprint]quarantine.Crash, time.Time) {}
func (noQuarantine) Survived(quarantine.Fingerprint, time.Time, ...quarantine.Fingerprint) {
}
func (noQuarantine) WorkerAlive(string, time.Time) {}

// checkQuarantine looks up whether workers may get the call, before one of them does. While the
// last crash that counts against the call is recent it waits (Status.Settling): reports from
// other nodes may still be on their way, and only they tell which further requests ran on the
// crashed worker. It returns false and the outcome if the call is quarantined, because workers
// crashed whenever they ran it, or if it ended during the wait.
func (s *session) checkQuarantine(ctx context.Context) (Outcome, bool) {
	check := func() { s.quarantineStatus = s.quarantine.Check(s.call.Fingerprint, time.Now(), s.call.Parts...) }
	check()
	for !s.quarantineStatus.Quarantined && s.quarantineStatus.Settling > 0 {
		if err := s.pause(ctx, s.quarantineStatus.Settling); err != nil {
			return s.givenUp(tryResult{verdict: notRun, err: err}), false
		}
		check()
	}
	if s.quarantineStatus.Quarantined {
		return s.quarantined(), false
	}
	return Outcome{}, true
}

// errQuarantined means that a call was quarantined after it was planned.
var errQuarantined = eris.New("workers ended whenever they ran the request or one with the same prompt part")

// quarantineRefusal returns why no worker may be sent the call now, nil if one may. What other
// nodes report may have changed that since the call was planned.
func (s *session) quarantineRefusal() error {
	if s.quarantineStatus.Trial {
		return nil
	}
	status := s.quarantine.Status(s.call.Fingerprint, time.Now(), s.call.Parts...)
	if status.Quarantined || status.Settling > 0 {
		return errQuarantined
	}
	return nil
}

// quarantined returns the outcome of a call that no worker gets any more.
func (s *session) quarantined() Outcome {
	detail := "workers ended whenever they ran it; its fingerprint is " + s.quarantineStatus.Cause.String()
	if s.quarantineStatus.Cause.IsPart() {
		detail = "workers ended whenever they ran a request with the prompt part " + s.quarantineStatus.Cause.String()
	}
	if s.mayHaveRunBefore {
		return s.end(Outcome{Code: codeOfLost(nil, s.call.Route.Repeatable()), Detail: detail})
	}
	return s.end(Outcome{Code: result.RequestQuarantined, RetryAfter: s.quarantineStatus.Left, Detail: detail})
}

// recordSurvival records that a worker has completed the call with a status.
func (s *session) recordSurvival(load *work, status int) {
	now := time.Now()
	s.crashDetector.recordCompletion(load.runner.ID, load.begun, now)
	if !isSuccess(status) {
		s.quarantine.Survived(s.call.Fingerprint, now)
		return
	}
	s.quarantine.Survived(s.call.Fingerprint, now, s.call.Parts...)
}

// suspectedPartCrashes is the number of crashes from which a prompt part is suspected: it is
// present at a single one whenever a request beside it crashes a worker.
const suspectedPartCrashes = 2

// suspected reports whether workers have crashed while running the call, or others with the same
// prompt part.
func (s *session) suspected() bool {
	return s.quarantineStatus.Crashes > 0 || s.quarantineStatus.PartCrashes >= suspectedPartCrashes
}

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
