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
	TakeTurn(ctx context.Context, worker string, patience time.Duration) quota.Outcome
	// ReturnTurn gives a turn back: the worker got nothing.
	ReturnTurn(worker string)
	// CountTurn counts a request that a worker gets without its turn, if it has a limit.
	CountTurn(worker string)
}

// noTurns are those of a node that no worker has told of a limit.
type noTurns struct{}

func (noTurns) TakeTurn(context.Context, string, time.Duration) quota.Outcome {
	return quota.Outcome{Granted: true}
}
func (noTurns) ReturnTurn(string) {}
func (noTurns) CountTurn(string)  {}

// The figures of turns.
const (
	// turnShare is the share of the time that is left until an answer is late for which a call
	// of the highest rank waits for its turn. Each rank below waits half as long, so that the
	// queue before a worker never keeps the more urgent out. A longer queue would have all that
	// is served come late.
	turnShare = 0.6
	// turnMargin is added to the expected wait: others may have taken turns meanwhile.
	turnMargin = 50 * time.Millisecond
	// maxTurns bounds the turns that are asked for one call: each is a question to another
	// node.
	maxTurns = 8
	// longestReturn bounds when a refused caller is told to come back.
	longestReturn = 8 * time.Second
)

// turnWait is the expected wait for a turn at a worker.
func turnWait(at scheduling.Candidate) time.Duration {
	return time.Duration(at.TurnWait * float64(time.Millisecond))
}

// turnEvery is the time between two turns at a worker.
func turnEvery(at scheduling.Candidate) time.Duration {
	return time.Duration(float64(time.Second) / max(at.PerSecond, worker.MinRate))
}

// longestTurn is for how long the call may wait for its turn at a worker: as long as it can be
// in time, or to be the next one there, while its caller is there.
func (s *session) longestTurn(at scheduling.Candidate) time.Duration {
	return min(max(s.longestWait(), turnEvery(at)), s.longestStay())
}

// inTurn leaves out the workers whose turn comes too late for the call, and all that take turns
// once it has asked for many.
func (s *session) inTurn(candidates []scheduling.Candidate) []scheduling.Candidate {
	s.nextTurn, s.turnsASecond = 0, 0
	isLimited := func(c scheduling.Candidate) bool { return c.Limited }
	if !slices.ContainsFunc(candidates, isLimited) {
		return candidates
	}
	return slices.DeleteFunc(candidates, func(c scheduling.Candidate) bool {
		wait := turnWait(c)
		if !c.Limited || wait <= s.longestTurn(c) && s.turnsAsked < maxTurns {
			return false
		}
		if s.nextTurn == 0 || wait < s.nextTurn {
			s.nextTurn = max(wait, turnMargin)
		}
		if !c.Prefill {
			s.turnsASecond += c.PerSecond
		}
		return true
	})
}

// untilTurn makes a plan that found no worker one that tells when there is a turn for the caller
// at those that were left out.
func (s *session) untilTurn(plan scheduling.Plan) scheduling.Plan {
	if plan.Mode == scheduling.Refused && plan.Reason != scheduling.TooLate && s.nextTurn > 0 {
		plan.Reason, plan.RetryAfter = scheduling.Limited, s.promiseTurn(s.call.Service.Name, s.nextTurn, s.turnsASecond)
	}
	return plan
}

// promiseTurn returns when a refused caller of a service is to come back: after those that were
// refused here before it, as fast as this node's part of the turns of all workers comes. All of
// them would else come back at once, and be refused again.
func (d *Dispatcher) promiseTurn(service string, next time.Duration, perSecond float64) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	at := now.Add(next)
	if d.returning[service].After(at) {
		at = d.returning[service]
	}
	every := time.Duration(float64(time.Second) * float64(max(d.nodes(), 1)) / max(perSecond, worker.MinRate))
	d.returning[service] = earlier(at.Add(every), now.Add(longestReturn))
	return min(at.Sub(now), longestReturn)
}

func earlier(left, right time.Time) time.Time {
	if left.Before(right) {
		return left
	}
	return right
}

// takeTurns has the call take its turns at the workers of a plan. It reports false where it is
// to be planned again. The turn of the one that is to run a prompt which another reads is taken
// first: a prompt is not read for nothing, and the wait for it passes meanwhile.
func (s *session) takeTurns(ctx context.Context, plan scheduling.Plan) (taken bool, err error) {
	if plan.Mode == scheduling.Whole || s.kept != nil {
		return s.takeTurn(ctx, plan.Runner)
	}
	if taken, err := s.askTurn(ctx, plan.Runner); !taken || err != nil {
		return false, err
	}
	taken, err = s.takeTurn(ctx, plan.Reader)
	if !taken || err != nil {
		s.returnTurns()
	}
	return taken, err
}

// takeTurn has the call wait for its turn at a worker that takes no more than so many requests
// a second. It reports false where it is to be planned again: the worker takes none so soon, or
// may not be used any more.
func (s *session) takeTurn(ctx context.Context, at scheduling.Candidate) (taken bool, err error) {
	if taken, err := s.askTurn(ctx, at); !taken || err != nil {
		return false, err
	}
	return s.awaitTurn(ctx, at)
}

// askTurn asks for a turn at a worker, where it takes turns. It reports false where none comes
// in time.
func (s *session) askTurn(ctx context.Context, at scheduling.Candidate) (taken bool, err error) {
	if _, held := s.turnsHeld[at.ID]; held || !s.registry.HasLimit(at.ID) {
		return true, nil
	}
	s.turnsAsked++
	patience := time.Duration(0)
	if at.TurnWait > 0 {
		patience = min(2*turnWait(at)+turnMargin, s.longestTurn(at))
	}
	verdict := s.turns.TakeTurn(ctx, at.ID, patience)
	s.logTurn(at, patience, verdict)
	now := time.Now()
	if !verdict.Granted {
		s.registry.SetTurn(at.ID, now.Add(verdict.RetryAfter))
		return false, context.Cause(ctx)
	}
	s.registry.SetTurn(at.ID, now.Add(verdict.Next))
	s.turnsHeld[at.ID] = now.Add(verdict.Delay)
	return true, nil
}

// awaitTurn waits for a turn that was taken. It gives the turn back, and reports false, where the
// worker may not be used any more.
func (s *session) awaitTurn(ctx context.Context, at scheduling.Candidate) (taken bool, err error) {
	turn, held := s.turnsHeld[at.ID]
	wait := time.Until(turn)
	if !held || wait <= 0 {
		return true, nil
	}
	if err := s.pause(ctx, wait); err != nil {
		s.returnTurns()
		return false, err
	}
	if !s.registry.IsUsable(at.ID) || s.quarantine.Standing(s.call.Fingerprint, time.Now()).Quarantined {
		s.returnTurns()
		return false, nil
	}
	return true, nil
}

// returnTurns gives back the turns that the call has taken and not used.
func (s *session) returnTurns() {
	for id := range s.turnsHeld {
		s.turns.ReturnTurn(id)
	}
	clear(s.turnsHeld)
}

// usedTurn records that the call was sent with its turn, or that its worker got nothing.
func (s *session) usedTurn(id string, err error) {
	_, held := s.turnsHeld[id]
	if held && err != nil && workerconn.Unsent(err) {
		s.turns.ReturnTurn(id)
	}
	delete(s.turnsHeld, id)
}

// turnAtRunner chooses the engine that runs a prompt which was read apart, and takes the call's
// turn there: the one at which it has a turn already, if that can still be used.
func (s *session) turnAtRunner(ctx context.Context, plan scheduling.Plan) (scheduling.Plan, error) {
	if _, held := s.turnsHeld[plan.Runner.ID]; held && s.registry.IsUsable(plan.Runner.ID) {
		if taken, err := s.awaitTurn(ctx, plan.Runner); taken || err != nil {
			return plan, err
		}
	}
	for {
		runner := s.runnerOver(ctx, plan.Reader)
		if runner.Mode == scheduling.Refused {
			return runner, errNoRunner
		}
		taken, err := s.takeTurn(ctx, runner.Runner)
		if taken || err != nil {
			return runner, err
		}
	}
}

func (s *session) logTurn(at scheduling.Candidate, patience time.Duration, verdict quota.Outcome) {
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
