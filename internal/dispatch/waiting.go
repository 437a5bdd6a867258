package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/scheduling"
	"github.com/tinarch/tinarch/internal/waitlist"
)

// Waits lets late calls wait for prefill engines in an order over all nodes.
type Waits interface {
	// JoinWait makes a request wait for engines. It returns the number by which the other
	// methods know it, and a channel that receives the engine that it is granted.
	JoinWait(w waitlist.Waiter) (number uint64, granted <-chan waitlist.Grant)
	// UpdateWait replaces the engines for which a request waits.
	UpdateWait(number uint64, choices []waitlist.Choice)
	// WaitStanding returns what is expected for a waiting request, and false while that isn't
	// known.
	WaitStanding(number uint64) (waitlist.Standing, bool)
	// DeclineWait gives back the engine that a request was granted. The request waits on.
	DeclineWait(number uint64)
	// LeaveWait ends a request's wait. used is the engine that it was granted and uses, empty
	// if there is none.
	LeaveWait(number uint64, used string)
}

const (
	// replanInterval is how long a waiting call relies on its last plan: engines are lost and
	// change their stage, and others become busier. Each plan costs questions to other nodes.
	replanInterval = 450 * time.Millisecond
	// standingInterval is the interval at which a waiting call looks at what its arbiters expect
	// for it.
	standingInterval = 50 * time.Millisecond
	// heldShare is the part of a node's memory limit that waiting calls may take. The rest is
	// left to requests under way and to what the node knows of the workers.
	heldShare = 0.25
)

// HeldBytes returns the bound on the memory of waiting calls for a memory limit in megabytes.
func HeldBytes(megabytes int) int { return int(heldShare * float64(megabytes<<20)) }

// wait is the wait of a call for an engine.
type wait struct {
	number  uint64
	granted <-chan waitlist.Grant
	// grant is the engine that the call was granted, empty if there is none.
	grant waitlist.Grant
	held  *heldCall
	since time.Time
	// latest is when the last of the call's engines is of no use to it any more.
	latest time.Time
	// hopeless tells that the call is expected to come too late.
	hopeless bool
}

// waitsInOrder reports whether the call waits for an engine if it can't be in time.
func (s *session) waitsInOrder() bool {
	return s.waits != nil && s.call.PromptTokens > 0 && s.overload.Waiting(s.call.Service.Name)
}

// withGrant adds the engine that the call was granted to what the scheduler knows of it.
func (s *session) withGrant(request scheduling.Request) scheduling.Request {
	request.Waits = s.waitsInOrder()
	if s.wait == nil {
		return request
	}
	if grant := s.wait.grant; grant.Engine != "" && time.Now().Before(grant.Until) {
		request.Granted = grant.Engine
	}
	return request
}

// settleWait brings the call's wait in line with a new plan: it begins, goes on or ends. The
// plan becomes a refusal if there is no room to wait, or if the call would come too late.
func (s *session) settleWait(plan scheduling.Plan) scheduling.Plan {
	if plan.Mode != scheduling.Held || plan.Reason != scheduling.Queued {
		if plan.Mode == scheduling.Refused {
			s.endWait("", waitRefused)
		} else {
			s.endWait(plan.Reader.ID, waitServed)
		}
		return plan
	}
	now := time.Now()
	if s.wait == nil && !s.beginWait(plan, now) {
		return s.refuseWait(plan, scheduling.NoRoom)
	}
	select {
	case <-s.wait.held.dropped:
		return s.refuseWait(plan, scheduling.NoRoom)
	default:
	}
	if s.wait.hopeless {
		return s.refuseWait(plan, scheduling.TooLate)
	}
	if s.wait.grant.Engine != "" {
		s.waits.DeclineWait(s.wait.number)
		s.wait.grant = waitlist.Grant{}
	}
	choices := waitChoices(plan, now)
	s.wait.latest = latestOf(choices)
	s.waits.UpdateWait(s.wait.number, choices)
	return plan
}

// beginWait makes the call wait. It returns false if there is no room for it.
func (s *session) beginWait(plan scheduling.Plan, now time.Time) bool {
	held := s.heldCalls.add(s.call.rank(), len(s.call.Body), now)
	if held == nil {
		return false
	}
	s.wait = &wait{held: held, since: now}
	s.wait.number, s.wait.granted = s.waits.JoinWait(waitlist.Waiter{
		Rank: s.call.rank(), Tenant: s.call.Tenant.Name(), Tokens: plan.Waiting.Tokens,
		Need: plan.Waiting.Choices[0].Need, IdleBelow: plan.Waiting.IdleBelow,
		Choices: waitChoices(plan, now), Prefer: plan.Waiting.Prefer,
	})
	s.metrics.waits.began(s.call.Service.Name)
	return true
}

// waitChoices returns the engines for which a plan waits.
func waitChoices(plan scheduling.Plan, now time.Time) []waitlist.Choice {
	choices := make([]waitlist.Choice, 0, len(plan.Waiting.Choices))
	for _, choice := range plan.Waiting.Choices {
		choices = append(choices, waitlist.Choice{Engine: choice.Engine, Latest: now.Add(choice.Latest)})
	}
	return choices
}

// latestOf returns when the last of the engines is of no use any more.
func latestOf(choices []waitlist.Choice) time.Time {
	last := slices.MaxFunc(choices, func(a, b waitlist.Choice) int { return a.Latest.Compare(b.Latest) })
	return last.Latest
}

// refuseWait ends the call's wait and refuses it.
func (s *session) refuseWait(plan scheduling.Plan, reason scheduling.Reason) scheduling.Plan {
	s.endWait("", waitRefused)
	plan.Mode, plan.Reason, plan.Late = scheduling.Refused, reason, false
	plan.RetryAfter = max(plan.First-s.request().ObjectiveLeft/2, retryAfterFailure)
	return plan
}

// endWait ends the call's wait, if it waits. used is the engine that prefills the prompt, empty
// if there is none.
func (s *session) endWait(used string, outcome waitOutcome) {
	w := s.wait
	if w == nil {
		return
	}
	s.wait = nil
	if used != w.grant.Engine {
		used = ""
	}
	s.waits.LeaveWait(w.number, used)
	s.heldCalls.remove(w.held)
	s.metrics.waits.ended(s.call.Service.Name, outcome, time.Since(w.since))
	s.log.WithFields(logrus.Fields{
		"id": s.call.ID, "waited_ms": time.Since(w.since).Milliseconds(), "outcome": outcome, "engine": used,
		"rank": s.call.rank(), "tenant": s.call.Tenant.Name(),
	}).Info("wait for an engine ended")
}

// awaitGrant waits until the call is granted an engine, must be refused, or is to be planned
// again. If the caller leaves or the deadline passes before that, it returns the cause.
func (s *session) awaitGrant(ctx context.Context) error {
	w := s.wait
	replan := time.Now().Add(replanInterval)
	if w.latest.Before(replan) {
		replan = w.latest
	}
	timer := time.NewTicker(standingInterval)
	defer timer.Stop()
	logged := false
	for {
		select {
		case w.grant = <-w.granted:
			return nil
		case <-w.held.dropped:
			return nil
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-timer.C:
		}
		now := time.Now()
		standing, known := s.waits.WaitStanding(w.number)
		if known && !logged {
			s.logWait(standing)
			logged = true
		}
		w.hopeless = known && now.Add(standing.Wait).After(w.latest)
		if w.hopeless || !now.Before(replan) {
			return nil
		}
	}
}

// logWait logs why the call waits.
func (s *session) logWait(standing waitlist.Standing) {
	s.log.WithFields(logrus.Fields{
		"id": s.call.ID, "engine": standing.Engine, "ahead": standing.Ahead, "expected_ms": standing.Wait.Milliseconds(),
		"waited_ms": time.Since(s.wait.since).Milliseconds(), "useful_ms": time.Until(s.wait.latest).Milliseconds(),
		"rank": s.call.rank(), "tenant": s.call.Tenant.Name(),
	}).Info("waits for an engine")
}
