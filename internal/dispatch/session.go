package dispatch

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/quarantine"
	"github.com/tinarch/tinarch/internal/result"
	"github.com/tinarch/tinarch/internal/scheduling"
	"github.com/tinarch/tinarch/internal/worker"
	"github.com/tinarch/tinarch/internal/workerconn"
)

// verdict is what is known of one try.
type verdict string

const (
	// finished tries passed on a complete answer, or ended because the caller left.
	finished verdict = "finished"
	// notRun tries are proved not to have run.
	notRun verdict = "not run"
	// mayHaveRun tries were sent and their outcome is unknown.
	mayHaveRun verdict = "may have run"
)

// tryResult is how one try ended.
type tryResult struct {
	verdict verdict
	// code is the result code of a finished try.
	code   result.Code
	status int
	worker string
	err    error
	// counted tells that another try counts as a retry against the budget.
	counted bool
	// workerState is what a look at the worker found, empty if its answer did not break off.
	workerState workerconn.Liveness
}

// session is the state of a call under way.
type session struct {
	*Dispatcher
	call   *Call
	caller Caller

	// excluded workers do not get this call again. failed ones get it only if no other is left.
	excluded, failed map[string]bool
	// attempts counts the workers that were sent the call to run it, or that refused to prefill
	// its prompt for another engine.
	attempts int
	// mayHaveRunBefore tells that an earlier try may have run.
	mayHaveRunBefore bool
	// wasReadApart tells that the prompt was read apart. That is done at most once, since it
	// costs neither an attempt nor a retry.
	wasReadApart bool
	// keptPrompt is a prompt that was read apart for the call and not yet fetched, because the
	// engine that was to run it asked for a pause. It is nil if there is none.
	keptPrompt *prefilledPrompt
	// lateWaiter tells that the call is one of those that wait for the end of a pause although
	// they will be late.
	lateWaiter bool
	// pauseAwaited tells that the call has waited for the end of a worker's pause.
	pauseAwaited bool
	// late tells that the call yields to all that can be in time.
	late      bool
	headGiven bool
	// countedAsBegun tells that the call was counted as one that a worker has begun to run.
	countedAsBegun bool
	// predicted is what the last plan predicted, until the first byte of its answer arrives.
	predicted prediction
	// resumeAfter is the ID of the last event that the caller has received.
	resumeAfter string
	// first, last and gap are as in Outcome.
	first, last, gap time.Duration
	pieces           int
	// framing and ending are as in Outcome. vouches tells that the head which the caller was given
	// promises a mark at the end of a complete answer.
	framing workerconn.Framing
	ending  Ending
	vouches bool
	// endProbe and software are as in Outcome.
	endProbe workerconn.Liveness
	software string
	// bound tells that only workers with the version in software may run the call, since one of them
	// has begun its stream.
	bound bool
	// answering is the worker whose answer is passed on.
	answering scheduling.Candidate
	// through is as in Outcome. unreached counts the tries for which neither this node nor another one
	// had a connection to the worker, and unconfirmed those of which no other node could tell.
	through                string
	unreached, unconfirmed int
	// reports are the load reports of other nodes that the last plan was based on.
	reports map[string]scheduling.LoadReport
	// reach is why the region of the last plan was chosen.
	reach scheduling.Reach
	// questionStats describes the last questions to other nodes.
	questionStats questionStats
	// turnsHeld are the workers at which the call has an unused turn, with the time of that
	// turn. turnsAsked counts the turns that were asked for. nextTurn is the time until the
	// first turn at a worker that was left out of the last plan, zero if none was.
	turnsHeld  map[string]time.Time
	turnsAsked int
	nextTurn   time.Duration
	// leftOutRate is the rate limit of the workers that were left out, added up without
	// prefill engines.
	leftOutRate float64
	// countedAsServed tells that the call's prompt was counted as one that engines prefill.
	countedAsServed bool
	// prefixWaits is how often the call has waited for a prefix, and prefixWait how that ended.
	prefixWaits int
	prefixWait  prefixWait
	// quarantineStatus is the quarantine's status of the call as of its last plan.
	quarantineStatus quarantine.Status
	// wait is the call's wait for an engine, nil if it doesn't wait.
	wait *wait
	// askedWhileWaiting tells that what the call asks engines to prefill was recorded when its
	// wait began.
	askedWhileWaiting bool
}

// countBegun counts the call as one that a worker has begun to run, unless it was counted
// before or has no tenant.
func (s *session) countBegun(at time.Time) {
	name := s.call.Tenant.Name()
	if s.countedAsBegun || name == "" {
		return
	}
	s.countedAsBegun = true
	s.began(name, at)
}

// rank is the rank under which the call's prompt counts in the load of an engine. Engines
// prefill prompts of lower ranks first (worker.UnreadTokens).
func (s *session) rank() int {
	if s.late {
		return worker.LateRank
	}
	return s.call.rank()
}

func (s *session) remaining() time.Duration { return time.Until(s.call.Deadline) }

func (s *session) request() scheduling.Request {
	return s.confine(scheduling.Request{
		Engine: s.engine(), RouteObjective: s.call.Route.Objective,
		PromptTokens:  s.call.PromptTokens,
		SharedTokens:  s.call.sharedTokens(),
		OutputTokens:  s.call.ExpectedOutput,
		ObjectiveLeft: s.call.Route.Objective - time.Since(s.call.Arrived),
		GapObjective:  s.call.Route.GapObjective,
		Remaining:     s.remaining(),
		Patience:      s.call.patience(time.Now(), s.last),
		Excluded:      s.excluded,
		Failed:        s.failed,
		SingleRead:    s.singleRead(),
		PrefixWaits:   s.prefixWaits,
		Begun:         s.headGiven || s.bound,
		NoApart:       s.wasReadApart,
		Content:       s.call.content(),
	})
}

// engine returns the learned times of the service's engines.
func (s *session) engine() scheduling.EngineTimes {
	learned := s.registry.LearnedTimings(s.call.Service.Name)
	if spec := s.call.Service.Engine; spec != nil {
		learned.MovePerToken = float64(spec.MoveTime(1)) / float64(time.Millisecond)
	}
	return learned
}

func (s *session) plan(ctx context.Context) scheduling.Plan {
	if plan, found := s.planKept(ctx); found {
		return plan
	}
	request := s.withGrant(s.request())
	plan := s.holdUntilRecorded(s.planAcrossRegions(ctx, request), request)
	s.late = plan.Late
	s.countServed(plan)
	s.observeAsked(plan)
	if plan.Mode == scheduling.Refused && plan.Reason == scheduling.NoWorker && len(s.excluded) > 0 && s.attempts > 0 {
		// Every worker has failed this call, and none is left to be tried.
		plan.Reason = scheduling.NoWorkerLeft
	}
	return s.settleWait(s.holdUntilPauseEnds(s.withTurnRetryAfter(plan)))
}

// observeAsked records what the call asks engines to prefill, also if it is refused. A call that
// waits in the order over all nodes is planned many times and counts once.
func (s *session) observeAsked(plan scheduling.Plan) {
	if s.attempts > 0 || s.askedWhileWaiting || plan.Mode == scheduling.Held && plan.Reason != scheduling.Queued {
		return
	}
	s.askedWhileWaiting = plan.Mode == scheduling.Held
	if plan.Unread > 0 {
		s.registry.ObserveDemand(s.call.Service.Name, readingRegion(plan), plan.Unread, time.Now())
	}
	s.observeShared(plan)
}

// observeShared records how much of what the prompt shares with others has to be read under a
// plan. A plan without an engine tells nothing about caches.
func (s *session) observeShared(plan scheduling.Plan) {
	if plan.Reader.ID == "" && plan.Runner.ID == "" {
		return
	}
	shared := s.call.sharedTokens()
	unread := max(plan.Unread-max(s.call.PromptTokens-shared, 0), 0)
	s.registry.ObserveShared(s.call.Service.Name, readingRegion(plan), shared, unread, time.Now())
}

// readingRegion is the region whose engine prefills the prompt under a plan, empty if the plan
// has no engine.
func readingRegion(plan scheduling.Plan) string {
	if plan.Reader.ID != "" {
		return plan.Reader.Region
	}
	return plan.Runner.Region
}

// runningRegion is the region whose engine runs the request under a plan, or would have run it,
// empty if the plan has no engine.
func runningRegion(plan scheduling.Plan) string {
	if plan.Runner.ID != "" {
		return plan.Runner.Region
	}
	return plan.Reader.Region
}

// hold waits until a held plan is to be made again. The wait is shortened at random so that
// nodes do not all plan at once, unless it is for a worker's pause or for a prefix. It returns the
// cause if the caller leaves or the deadline passes before that.
func (s *session) hold(ctx context.Context, plan scheduling.Plan) error {
	switch plan.Reason {
	case scheduling.Queued:
		return s.awaitGrant(ctx)
	case scheduling.Paused:
		return s.pause(ctx, plan.RetryAfter)
	case scheduling.PrefixInFlight:
		return s.awaitPrefix(ctx, plan)
	}
	return s.pause(ctx, plan.RetryAfter-rand.N(plan.RetryAfter/2))
}

// pause waits for a time. If the caller leaves or the deadline passes before that, it returns
// the cause.
func (s *session) pause(ctx context.Context, span time.Duration) error {
	return s.pauseUntil(ctx, span, nil)
}

// pauseUntil is pause that ends earlier when a channel is closed.
func (s *session) pauseUntil(ctx context.Context, span time.Duration, changed <-chan struct{}) error {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-changed:
		return nil
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// maxUnreached and maxUnconfirmed are the numbers of such tries after which a call is given up: the
// other workers won't be reached either.
const (
	maxUnreached   = 8
	maxUnconfirmed = 3
)

// mayTryAgain decides whether a failed try is followed by another. If the failed try counts, it
// takes a retry from the budget.
func (s *session) mayTryAgain(end tryResult) bool {
	if callerLeft(end.err) || endedHere(end.err) && !workerconn.Withheld(end.err) || s.remaining() <= 0 {
		return false
	}
	if end.verdict == mayHaveRun && !s.call.Route.Repeatable() {
		return false
	}
	if s.headGiven && !s.call.Route.Resumable {
		return false
	}
	if s.attempts >= s.call.Route.MaxAttempts || s.unreached >= maxUnreached || s.unconfirmed >= maxUnconfirmed {
		return false
	}
	if !end.counted {
		return true
	}
	return s.spendRetry(s.call.Service.Name)
}

// outcome returns the outcome of a finished try.
func (s *session) outcome(end tryResult) Outcome {
	s.mayHaveRunBefore = true
	return s.end(Outcome{Code: end.code, Status: end.status, Detail: detail(end.err)})
}

func (s *session) end(outcome Outcome) Outcome {
	outcome.RetryAfter = max(outcome.RetryAfter, s.observeOutage(outcome.Code))
	outcome.HeadGiven = s.headGiven
	outcome.Attempts, outcome.MayHaveRun = s.attempts, s.mayHaveRunBefore
	outcome.First, outcome.Last, outcome.Gap, outcome.Pieces = s.first, s.last, s.gap, s.pieces
	outcome.Framing, outcome.Ending, outcome.EndProbe, outcome.Through = s.framing, s.ending, s.endProbe, s.through
	outcome.Software = s.software
	return outcome
}

// refused returns the outcome of a call whose plan is a refusal.
func (s *session) refused(plan scheduling.Plan) Outcome {
	if s.call.PromptTokens > 0 && s.attempts == 0 {
		memory := s.call.PromptTokens + s.call.ExpectedOutput
		s.registry.ObserveRefused(s.call.Service.Name, runningRegion(plan), memory, s.call.ExpectedOutput, time.Now())
	}
	if s.mayHaveRunBefore {
		return s.end(Outcome{Code: codeOfLost(nil, s.call.Route.Repeatable()), Detail: string(plan.Reason)})
	}
	if plan.Reason == scheduling.NoWorker && s.isVersionGone() {
		return s.end(Outcome{Code: result.StreamVersionGone, Detail: "no worker of " + s.call.Service.Name + " has version " + s.software + " of the software"})
	}
	code := result.NoEngine
	switch {
	case s.unreached > 0 && s.attempts == 0:
		code = result.WorkersUnreached
	case plan.Reason == scheduling.TooLate, plan.Reason == scheduling.NoRoom, plan.Reason == scheduling.Limited, plan.Reason == scheduling.Paused:
		code = result.DeadlineUnreachable
	case s.attempts > 0:
		code = result.RetriesExhausted
	}
	return s.end(Outcome{Code: code, RetryAfter: s.retryAfter(plan), Detail: string(plan.Reason)})
}

// retryAfterFailure is the least time after which a call that no worker has run should be
// retried.
const retryAfterFailure = 100 * time.Millisecond

// givenUp returns the outcome of a call whose last try failed.
func (s *session) givenUp(end tryResult) Outcome {
	s.mayHaveRunBefore = s.mayHaveRunBefore || end.verdict == mayHaveRun
	if s.mayHaveRunBefore || callerLeft(end.err) {
		return s.end(Outcome{Code: codeOfLost(end.err, s.call.Route.Repeatable()), Detail: detail(end.err)})
	}
	code := result.RetriesExhausted
	switch {
	case nodeStopped(end.err):
		code = result.Stopping
	case deadlinePassed(end.err):
		code = result.DeadlineUnreachable
	case workerconn.Unreached(end.err):
		code = result.WorkersUnreached
	}
	return s.end(Outcome{Code: code, RetryAfter: max(retryAfterFailure, s.waitForPause()), Detail: detail(end.err)})
}

func detail(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// try carries out a plan once.
func (s *session) try(ctx context.Context, plan scheduling.Plan) tryResult {
	if plan.Mode == scheduling.Whole {
		return s.run(ctx, plan.Runner, promptOrigin{unread: plan.Unread, fetch: plan.Fetch, expected: plan.Read})
	}
	from, end := s.read(ctx, plan)
	if from == nil {
		return end
	}
	runner, err := s.turnAtRunner(ctx, plan)
	if err != nil {
		s.release(from.handle, from.reader)
		return tryResult{verdict: notRun, worker: plan.Reader.ID, err: err}
	}
	return s.run(ctx, runner.Runner, promptOrigin{from: from})
}

// read returns the call's prompt if it was read apart and kept before, and has it prefilled
// otherwise.
func (s *session) read(ctx context.Context, plan scheduling.Plan) (*prefilledPrompt, tryResult) {
	if from := s.keptPrompt; from != nil {
		s.keptPrompt = nil
		return from, tryResult{}
	}
	handle, end := s.readApart(ctx, plan)
	if handle == nil {
		return nil, end
	}
	return &prefilledPrompt{handle: *handle, reader: plan.Reader}, end
}

func (s *session) logPlan(plan scheduling.Plan) {
	s.notePrefixWait(plan)
	s.metrics.plan(plan, s.reach)
	s.predicted = prediction{mode: plan.Mode, first: plan.First, at: time.Now()}
	ages := s.freshness()
	fields := logrus.Fields{
		"id": s.call.ID, "fingerprint": s.call.Fingerprint.String(), "parts": fingerprintTexts(slices.Values(s.call.Parts)), "route": s.call.Route.Name, "try": s.attempts + 1, "mode": plan.Mode,
		"reader": plan.Reader.ID, "runner": plan.Runner.ID, "reason": plan.Reason,
		"reader_software": plan.Reader.Software, "runner_software": plan.Runner.Software, "resumes": s.call.Resumes, "after": s.resumeAfter,
		"crashes": s.quarantineStatus.Crashes, "late": plan.Late, "rank": s.rank(), "patience_ms": s.call.patience(time.Now(), s.last).Milliseconds(),
		"reader_queue": plan.Reader.ReadAhead, "runner_queue": plan.Runner.ReadAhead,
		"late_queue": max(plan.Reader.LateTokens, plan.Runner.LateTokens),
		"cached":     max(plan.Reader.CachedTokens, plan.Runner.CachedTokens), "prompt": s.call.PromptTokens,
		"unread": plan.Unread, "fetch": plan.Fetch, "reach": s.reach, "region": plan.Runner.Region, "round_trip_ms": int(plan.Runner.RoundTrip),
		"predicted_ms": plan.First.Milliseconds(), "cost": int(min(plan.Cost, 1e9)),
		"remaining_ms": s.remaining().Milliseconds(), "routes_version": s.call.RoutesVersion,
		"workers_version": ages.Workers, "workers_age_ms": ages.WorkersAge.Milliseconds(),
		"digest_age_ms":  ages.DigestAge.Milliseconds(),
		"reader_turn_ms": int(plan.Reader.TurnWait), "runner_turn_ms": int(plan.Runner.TurnWait),
		"reader_host": describeHost(plan.Reader.Host), "runner_host": describeHost(plan.Runner.Host),
		"asked": s.questionStats.asked, "answered": s.questionStats.answered, "holders": s.questionStats.holders, "ask_us": s.questionStats.took.Microseconds(),
	}
	s.addPrefixWait(fields, plan)
	s.log.WithFields(fields).Info("planned")
}

func (s *session) logFailure(end tryResult, again bool) {
	s.metrics.Failures.WithLabelValues(string(end.verdict)).Inc()
	s.log.WithFields(logrus.Fields{
		"id": s.call.ID, "worker": end.worker, "verdict": end.verdict, "again": again,
		"attempts": s.attempts, "remaining_ms": s.remaining().Milliseconds(), "cause": detail(end.err),
		"fingerprint": s.call.Fingerprint.String(), "worker_state": end.workerState, "pieces": s.pieces,
		"framing": s.framing, "ending": s.ending, "end_probe": s.endProbe, "software": s.software,
	}).Warn("try failed")
}
