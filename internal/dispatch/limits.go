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

// Turns grants turns: rate-limit slots at workers that accept no more than some number of
// requests a second from all nodes together.
type Turns interface {
	// TakeTurn asks for a turn at a worker for a request that can wait for at most patience. A
	// granted turn belongs to the request alone. It comes after the outcome's delay.
	TakeTurn(ctx context.Context, worker string, patience time.Duration) quota.Outcome
	// ReturnTurn gives a turn back that was not used because the worker got nothing.
	ReturnTurn(worker string)
	// CountTurn counts a request that a worker gets without a turn, if the worker has a limit.
	CountTurn(worker string)
}

// noTurns grants every turn at once. A node uses it if no worker has a limit.
type noTurns struct{}

func (noTurns) TakeTurn(context.Context, string, time.Duration) quota.Outcome {
	return quota.Outcome{Granted: true}
}
func (noTurns) ReturnTurn(string) {}
func (noTurns) CountTurn(string)  {}

// Parameters of turns.
const (
	// waitShare is the fraction of the time left until an answer is late for which a call of
	// the most urgent priority, 0, waits for its turn. Each following priority waits half as
	// long, so that the queue at a worker never keeps more urgent calls out. With a longer
	// queue, all calls that are served would be late.
	waitShare = 0.6
	// turnMargin is added to the expected wait, since others may have taken turns meanwhile.
	turnMargin = 50 * time.Millisecond
	// maxTurns bounds the turns that are asked for on behalf of one call. Each one takes a
	// question to another node.
	maxTurns = 8
	// maxRetryAfter bounds the time after which a refused caller is told to retry.
	maxRetryAfter = 8 * time.Second
)

// turnWait is the expected wait for a turn at a worker.
func turnWait(at scheduling.Candidate) time.Duration {
	return time.Duration(at.TurnWait * float64(time.Millisecond))
}

// turnInterval is the time between two turns at a worker.
func turnInterval(at scheduling.Candidate) time.Duration {
	return time.Duration(float64(time.Second) / max(at.PerSecond, worker.MinRate))
}

// maxTurnWait is how long the call may wait for its turn at a worker: until it would be late,
// but at least until the next turn there, and no longer than its caller stays.
func (s *session) maxTurnWait(at scheduling.Candidate) time.Duration {
	return min(max(s.maxWait(), turnInterval(at)), s.maxStay())
}

// withTurnInTime drops the workers whose turn comes too late for the call. Once the call has
// asked for maxTurns turns it drops all workers that have a limit.
func (s *session) withTurnInTime(candidates []scheduling.Candidate) []scheduling.Candidate {
	s.nextTurn, s.leftOutRate = 0, 0
	isLimited := func(c scheduling.Candidate) bool { return c.Limited }
	if !slices.ContainsFunc(candidates, isLimited) {
		return candidates
	}
	return slices.DeleteFunc(candidates, func(c scheduling.Candidate) bool {
		wait := turnWait(c)
		if !c.Limited || wait <= s.maxTurnWait(c) && s.turnsAsked < maxTurns {
			return false
		}
		if s.nextTurn == 0 || wait < s.nextTurn {
			s.nextTurn = max(wait, turnMargin)
		}
		if !c.Prefill {
			s.leftOutRate += c.PerSecond
		}
		return true
	})
}

// withTurnRetryAfter makes a refusal for lack of workers tell when the caller can have a turn
// at the workers that withTurnInTime has dropped.
func (s *session) withTurnRetryAfter(plan scheduling.Plan) scheduling.Plan {
	if plan.Mode == scheduling.Refused && plan.Reason != scheduling.TooLate && s.nextTurn > 0 {
		plan.Reason, plan.RetryAfter = scheduling.Limited, s.promiseTurn(s.call.Service.Name, s.nextTurn, s.leftOutRate)
	}
	return plan
}

// promiseTurn returns the time after which a refused caller of a service should retry. Callers
// are scheduled one after the other, since they would otherwise all retry at once and be refused
// again: at this node's share of the rate of all workers, or at the rate at which it is granted
// turns if that is higher, as where most callers come to this node.
func (d *Dispatcher) promiseTurn(service string, next time.Duration, perSecond float64) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	at := now.Add(next)
	if d.promisedUntil[service].After(at) {
		at = d.promisedUntil[service]
	}
	share := max(perSecond, worker.MinRate) / float64(max(d.nodes(), 1))
	if rate := d.turnRates[service]; rate != nil {
		share = max(share, min(rate.perSecond(now), perSecond))
	}
	every := time.Duration(float64(time.Second) / share)
	d.promisedUntil[service] = earlier(at.Add(every), now.Add(maxRetryAfter))
	return min(at.Sub(now), maxRetryAfter)
}

// countGranted counts a turn at a worker of a service.
func (d *Dispatcher) countGranted(service string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.turnRates == nil {
		d.turnRates = make(map[string]*turnRate)
	}
	if d.turnRates[service] == nil {
		d.turnRates[service] = &turnRate{}
	}
	d.turnRates[service].granted(now)
}

func earlier(left, right time.Time) time.Time {
	if left.Before(right) {
		return left
	}
	return right
}

// takeTurns takes the call's turns at the workers of a plan and waits for them. It returns
// false if the call has to be planned again. The turn at the runner of a prompt that is read
// apart is taken first, so that no prompt is prefilled in vain and the wait for it overlaps
// with the prefill.
func (s *session) takeTurns(ctx context.Context, plan scheduling.Plan) (taken bool, err error) {
	if plan.Mode == scheduling.Whole || s.keptPrompt != nil {
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

// takeTurn takes the call's turn at a worker and waits for it. It returns false if the call has
// to be planned again, because no turn comes in time or the worker must not be used any more.
func (s *session) takeTurn(ctx context.Context, at scheduling.Candidate) (taken bool, err error) {
	if taken, err := s.askTurn(ctx, at); !taken || err != nil {
		return false, err
	}
	return s.awaitTurn(ctx, at)
}

// askTurn takes a turn at a worker if the worker has a limit. It returns false if none comes in
// time.
func (s *session) askTurn(ctx context.Context, at scheduling.Candidate) (taken bool, err error) {
	if _, held := s.turnsHeld[at.ID]; held || !s.registry.HasLimit(at.ID) {
		return true, nil
	}
	s.turnsAsked++
	patience := time.Duration(0)
	if at.TurnWait > 0 {
		patience = min(2*turnWait(at)+turnMargin, s.maxTurnWait(at))
	}
	verdict := s.turns.TakeTurn(ctx, at.ID, patience)
	s.logTurn(at, patience, verdict)
	now := time.Now()
	if !verdict.Granted {
		s.registry.SetTurn(at.ID, now.Add(verdict.RetryAfter))
		return false, context.Cause(ctx)
	}
	s.countGranted(s.call.Service.Name, now)
	s.registry.SetTurn(at.ID, now.Add(verdict.Next))
	s.turnsHeld[at.ID] = now.Add(verdict.Delay)
	return true, nil
}

// awaitTurn waits for a turn that was taken. If the worker must not be used any more, it gives
// the turn back and returns false.
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
	if !s.registry.IsUsable(at.ID) || s.quarantineRefusal() != nil {
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

// usedTurn records that the call was sent in its turn. If the worker got nothing, the turn is
// given back.
func (s *session) usedTurn(id string, err error) {
	_, held := s.turnsHeld[id]
	if held && err != nil && workerconn.Unsent(err) {
		s.turns.ReturnTurn(id)
	}
	delete(s.turnsHeld, id)
}

// turnAtRunner chooses the engine that runs a prompt which was read apart, and takes the call's
// turn there. It keeps the planned runner if the call has a turn there that can still be used.
func (s *session) turnAtRunner(ctx context.Context, plan scheduling.Plan) (scheduling.Plan, error) {
	if _, held := s.turnsHeld[plan.Runner.ID]; held && s.registry.IsUsable(plan.Runner.ID) {
		if taken, err := s.awaitTurn(ctx, plan.Runner); taken || err != nil {
			return plan, err
		}
	}
	for {
		runner := s.chooseRunner(ctx, plan.Reader)
		if runner.Mode == scheduling.Refused {
			return runner, errNoRunner
		}
		taken, err := s.takeTurn(ctx, runner.Runner)
		if taken || err != nil {
			return runner, err
		}
	}
}

// logTurn counts and logs the outcome of asking for a turn. In the log, keeper is the address
// of the node that decided; private means that none answered, so that this node decided by its
// own allowance; left is the level of the bucket, or of the allowance, before the request; and
// reserved is the fraction of the limit that the keeper holds back for silent nodes
// (quota.Outcome).
func (s *session) logTurn(at scheduling.Candidate, patience time.Duration, verdict quota.Outcome) {
	s.metrics.turn(verdict)
	s.log.WithFields(logrus.Fields{
		"id": s.call.ID, "worker": at.ID, "granted": verdict.Granted, "delay_ms": verdict.Delay.Milliseconds(),
		"retry_after_ms": verdict.RetryAfter.Milliseconds(), "patience_ms": patience.Milliseconds(),
		"keeper": verdict.Keeper, "private": verdict.Private, "unanswered": verdict.Unanswered, "left": verdict.Level,
		"reserved": verdict.Reserved, "ask_us": verdict.Took.Microseconds(),
	}).Info("turn at a limited worker")
}

// observeLimit records what the head of an answer says of its worker's limit. The request was
// sent at the given time and the head has just arrived. An answer without a limit ends the
// limit only if the worker has run the request: other answers may come from a proxy in between
// or from another worker at the same address.
func (s *session) observeLimit(id string, status int, reply Reply, sent time.Time) {
	limit := reply.Limit
	ran := !reply.NotExecuted && !reply.Misdirected && status < http.StatusInternalServerError
	if reply.Misdirected || !limit.Named && limit.Malformed == "" && !ran {
		return
	}
	// A limit that cannot be parsed is ignored: what the worker has stated before stays in
	// effect.
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
