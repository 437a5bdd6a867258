package scheduling

import (
	"cmp"
	"slices"
	"time"

	"github.com/tinarch/tinarch/internal/waitlist"
)

// Late requests of services with waiting (Request.Waits) wait for a prefill engine in an order
// over all nodes. The node that tracks an engine's load grants it to the first of them
// (internal/waitlist).

// Choice is a prefill engine for which a late request waits.
type Choice struct {
	Engine string
	// Latest is the time after which the request could no longer be served there while its
	// caller stays.
	Latest time.Duration
	// Need is the time that the prefill takes while nothing is queued there.
	Need time.Duration
}

// Waiting is what a plan says of a request that waits for an engine.
type Waiting struct {
	// Choices are the engines that can serve the request in time for its caller, the cheapest
	// first, no more than waitlist.MaxChoices.
	Choices []Choice
	// Prefer is the idle engine that would serve the request if nobody else waited, empty if
	// there is none.
	Prefer string
	// IdleBelow is the time that an engine needs for its queue up to which it counts as idle.
	IdleBelow time.Duration
	// Tokens are the tokens to be prefilled at the cheapest engine.
	Tokens int
}

// takesTurn reports whether a plan that is late but waits for nobody has to wait for its turn
// all the same, since the engine is one that others may be waiting for.
func (s *Scheduler) takesTurn(request Request, plan Plan) bool {
	limit := time.Duration(s.costs.LatePast * float64(request.ObjectiveLeft))
	if !request.Waits || request.Begun || plan.Mode != Apart || plan.First <= limit {
		return false
	}
	reader := plan.Reader
	reader.ReadTokens += reader.LateTokens
	return queueTime(reader) <= s.idleBelow(request)
}

// planWaiting plans a late request that takes its turn. It is served at the engine that it was
// granted, if that is still idle. Otherwise it waits while one of its engines is predicted to
// serve it before its caller leaves.
func (s *Scheduler) planWaiting(request Request, candidates []Candidate, regular Plan) Plan {
	lateView := s.lateView(request, candidates)
	if plan, served := s.planGranted(request, lateView, regular); served {
		return plan
	}
	choices, tokens := s.choices(request, lateView)
	plan := s.planApart(request, lateView)
	switch {
	case s.inTime(request, regular):
		if !slices.ContainsFunc(choices, func(c Choice) bool { return c.Engine == regular.Reader.ID }) {
			return regular
		}
	case len(choices) == 0 || !s.worthwhile(request, plan):
		return tooLate(request, regular)
	}
	preferred := s.preferred(request, lateView, regular)
	if !slices.ContainsFunc(choices, func(c Choice) bool { return c.Engine == preferred }) {
		preferred = "" // nobody would be asked for it
	}
	return Plan{
		Mode: Held, Late: true, Reason: Queued, Reader: plan.Reader, Runner: plan.Runner, Unread: plan.Unread,
		First: plan.First, Cost: plan.Cost,
		Waiting: Waiting{
			Choices: choices, Tokens: tokens, Prefer: preferred,
			IdleBelow: milliseconds(s.idleBelow(request)),
		},
	}
}

// planGranted plans a request at the engine that it was granted. It returns false if it was
// granted none, or one that is not idle.
func (s *Scheduler) planGranted(request Request, lateView []Candidate, regular Plan) (Plan, bool) {
	if request.Granted == "" {
		return Plan{}, false
	}
	if regular.Reader.ID == request.Granted && s.inTime(request, regular) {
		return regular, true
	}
	only := func(engine string) bool { return engine == request.Granted }
	plan := s.planApart(request, s.readingAt(only, request, lateView))
	plan.Late = true
	return plan, s.worthwhile(request, plan)
}

// preferred returns the idle engine that would serve the request if nobody else waited, empty if
// there is none.
func (s *Scheduler) preferred(request Request, lateView []Candidate, regular Plan) string {
	if s.inTime(request, regular) {
		return regular.Reader.ID
	}
	any := func(string) bool { return true }
	if plan := s.planApart(request, s.readingAt(any, request, lateView)); s.worthwhile(request, plan) {
		return plan.Reader.ID
	}
	return ""
}

// readingAt makes all prefill engines sources only, except idle ones that the function accepts.
func (s *Scheduler) readingAt(accepts func(engine string) bool, request Request, candidates []Candidate) []Candidate {
	only := slices.Clone(candidates)
	for i := range only {
		if only[i].Prefill && (!accepts(only[i].ID) || queueTime(only[i]) > s.idleBelow(request)) {
			only[i].SourceOnly = true
		}
	}
	return only
}

// idleBelow is the queue, in milliseconds, up to which an engine counts as idle.
func (s *Scheduler) idleBelow(request Request) float64 {
	return s.costs.LateQueue * request.objectiveMilliseconds()
}

// choices returns the engines that could serve a late request before its caller leaves if
// nothing were queued there, the cheapest first, and the tokens that are to be prefilled at the
// cheapest.
func (s *Scheduler) choices(request Request, lateView []Candidate) (choices []Choice, tokens int) {
	stays := min(request.Remaining, request.Patience)
	runners := make(map[string]Plan)
	var plans []Plan
	for _, candidate := range lateView {
		if !candidate.Prefill || candidate.SourceOnly || !request.admitsCandidate(candidate) {
			continue
		}
		runner, chosen := runners[candidate.Region]
		if !chosen {
			runner = s.ChooseRunner(request, lateView, candidate.Region)
			runners[candidate.Region] = runner
		}
		candidate.ReadTokens, candidate.ReadAhead = 0, 0
		plan := s.apartAt(request, candidate, runner, lateView)
		if runner.Mode != Refused && s.worthwhile(request, plan) {
			plans = append(plans, plan)
		}
	}
	slices.SortStableFunc(plans, func(a, b Plan) int { return cmp.Compare(a.Cost, b.Cost) })
	for _, plan := range plans[:min(len(plans), waitlist.MaxChoices)] {
		alone := plan.Reader.PrefillCoefficients.Milliseconds(plan.Unread, request.PromptTokens-plan.Unread)
		choices = append(choices, Choice{
			Engine: plan.Reader.ID, Need: milliseconds(alone),
			Latest: stays - time.Duration(float64(plan.First)/s.costs.LateShare),
		})
	}
	if len(plans) > 0 {
		tokens = plans[0].Unread
	}
	return choices, tokens
}
