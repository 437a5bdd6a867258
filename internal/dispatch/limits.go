package dispatch

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/quota"
	"github.com/tinarch/tinarch/internal/scheduling"
	"github.com/tinarch/tinarch/internal/worker"
	"github.com/tinarch/tinarch/internal/workerconn"
)

// Turns are those at workers that take no more than so many requests a second from all nodes
// together.
type Turns interface {
	// TakeTurn asks for a request's turn at a worker, for which it can wait for a time. A turn
	// that was given is the request's alone; it comes after the verdict's delay.
	TakeTurn(ctx context.Context, worker string, patience time.Duration) quota.Verdict
	// ReturnTurn gives a turn back: the worker got nothing.
	ReturnTurn(worker string)
	// CountTurn counts a request that a worker gets without its turn, if it has a limit.
	CountTurn(worker string)
}

// noTurns are those of a node that no worker has told of a limit.
type noTurns struct{}

func (noTurns) TakeTurn(context.Context, string, time.Duration) quota.Verdict {
	return quota.Verdict{Granted: true}
}
func (noTurns) ReturnTurn(string) {}
func (noTurns) CountTurn(string)  {}

// The figures of turns.
const (
	// turnShare is the share of the time until its caller leaves for which a call of the
	// highest rank waits for its turn. Each rank below waits half as long, so that the queue
	// before a worker never keeps the more urgent out.
	turnShare = 0.6
	// turnMargin is added to the expected wait: others may have taken turns meanwhile.
	turnMargin = 50 * time.Millisecond
	// maxTurns bounds the turns that are asked for one call: each is a question to another
	// node.
	maxTurns = 8
)

// first is the worker that gets a call first by a plan.
func first(plan scheduling.Plan) scheduling.Candidate {
	if plan.Mode == scheduling.Apart {
		return plan.Reader
	}
	return plan.Runner
}

// turnWait is the expected wait for a turn at a worker.
func turnWait(at scheduling.Candidate) time.Duration {
	return time.Duration(at.TurnWait * float64(time.Millisecond))
}

// longestTurn is for how long the call may wait for its turn.
func (s *session) longestTurn() time.Duration {
	left := s.call.patience(time.Now(), s.last)
	return time.Duration(turnShare*float64(left)) >> min(max(s.call.Priority(), 0), worker.Ranks)
}

// inTurn leaves out the workers whose turn comes too late for the call, and all that take turns
// once it has asked for many.
func (s *session) inTurn(candidates []scheduling.Candidate) []scheduling.Candidate {
	s.nextTurn = 0
	isLimited := func(c scheduling.Candidate) bool { return c.Limited }
	if !slices.ContainsFunc(candidates, isLimited) {
		return candidates
	}
	longest := s.longestTurn()
	return slices.DeleteFunc(candidates, func(c scheduling.Candidate) bool {
		wait := turnWait(c)
		if !c.Limited || wait <= longest && s.turnsAsked < maxTurns {
			return false
		}
		if s.nextTurn == 0 || wait < s.nextTurn {
			s.nextTurn = max(wait, turnMargin)
		}
		return true
	})
}

// untilTurn makes a plan that found no worker one that tells when the first of those that were
// left out takes a further request.
func (s *session) untilTurn(plan scheduling.Plan) scheduling.Plan {
	if plan.Mode == scheduling.Refused && plan.Reason != scheduling.TooLate && s.nextTurn > 0 {
		plan.Reason, plan.RetryAfter = scheduling.Limited, s.nextTurn
	}
	return plan
}

// takeTurn has the call wait for its turn at a worker that takes no more than so many requests
// a second. It reports false where it is to be planned again: the worker takes none so soon, or
// may not be used any more.
func (s *session) takeTurn(ctx context.Context, at scheduling.Candidate) (taken bool, err error) {
	if !s.registry.HasLimit(at.ID) {
		return true, nil
	}
	s.turnsAsked++
	patience := time.Duration(0)
	if at.TurnWait > 0 {
		patience = min(2*turnWait(at)+turnMargin, s.longestTurn())
	}
	verdict := s.turns.TakeTurn(ctx, at.ID, patience)
	s.logTurn(at, patience, verdict)
	now := time.Now()
	if !verdict.Granted {
		s.registry.SetTurn(at.ID, now.Add(verdict.RetryAfter))
		return false, context.Cause(ctx)
	}
	s.turnAt = at.ID
	s.registry.SetTurn(at.ID, now.Add(verdict.Next))
	if verdict.Delay <= 0 {
		return true, nil
	}
	if err := s.pause(ctx, verdict.Delay); err != nil {
		s.returnTurn()
		return false, err
	}
	if !s.registry.MayTake(at.ID) || s.quarantine.Standing(s.call.Fingerprint, time.Now()).Quarantined {
		s.returnTurn()
		return false, nil
	}
	return true, nil
}

// returnTurn gives back the turn that the call has taken.
func (s *session) returnTurn() {
	if s.turnAt != "" {
		s.turns.ReturnTurn(s.turnAt)
	}
	s.turnAt = ""
}

// usedTurn records that the call was sent with its turn, or could not be.
func (s *session) usedTurn(err error) {
	if err != nil && workerconn.Unsent(err) {
		s.returnTurn()
	}
	s.turnAt = ""
}

// turnAtRunner chooses the engine that runs a prompt which was read apart, and takes the call's
// turn there.
func (s *session) turnAtRunner(ctx context.Context, reader scheduling.Candidate) (scheduling.Plan, error) {
	for {
		plan := s.runnerOver(ctx, reader)
		if plan.Mode == scheduling.Refused {
			return plan, errNoRunner
		}
		taken, err := s.takeTurn(ctx, plan.Runner)
		if taken || err != nil {
			return plan, err
		}
	}
}

func (s *session) logTurn(at scheduling.Candidate, patience time.Duration, verdict quota.Verdict) {
	s.metrics.turn(verdict)
	s.log.WithFields(logrus.Fields{
		"id": s.call.ID, "worker": at.ID, "granted": verdict.Granted, "delay_ms": verdict.Delay.Milliseconds(),
		"retry_after_ms": verdict.RetryAfter.Milliseconds(), "patience_ms": patience.Milliseconds(),
		"keeper": verdict.Keeper, "private": verdict.Private, "unanswered": verdict.Unanswered, "left": verdict.Level,
		"reserved": verdict.Reserved, "ask_us": verdict.Took.Microseconds(),
	}).Info("turn at a limited worker")
}

// observeLimit takes in what the head of an answer says of its worker's limit. The request was
// sent at a time, and the head came now. An answer that names none ends the limit only where
// the worker has run the request: others may come from the way to it, or from another worker at
// its address.
func (s *session) observeLimit(id string, status int, reply Reply, sent time.Time) {
	limit := reply.Limit
	ran := !reply.NotExecuted && !reply.Misdirected && status < http.StatusInternalServerError
	if reply.Misdirected || !limit.Named && limit.Malformed == "" && !ran {
		return
	}
	if limit.Malformed != "" {
		s.metrics.MalformedLimits.Inc()
		s.log.WithFields(logrus.Fields{"id": s.call.ID, "worker": id, "limit": limit.Malformed}).
			Warn("a worker names a limit that can't be read; what it said before holds")
		return
	}
	s.registry.ObserveLimit(id, s.call.ID, worker.LimitStatement{
		Named: limit.Named, Rate: limit.PerSecond, Sent: sent, Heard: time.Now(),
	})
}
