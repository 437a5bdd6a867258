package gateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/admission"
	"github.com/tinarch/tinarch/internal/cell"
	"github.com/tinarch/tinarch/internal/engine"
	"github.com/tinarch/tinarch/internal/quarantine"
	"github.com/tinarch/tinarch/internal/result"
)

const (
	// maxAttempts limits the number of attempts of one request.
	maxAttempts = 4
	// retryRatio and retryCeiling set the gateway's retry budget: how much each request adds to
	// it, and its maximum.
	retryRatio   = 0.2
	retryCeiling = 50
	retryPause   = 10 * time.Millisecond
	cancelWait   = time.Second
	// askPause is the time between two questions to an engine about an attempt whose state is
	// unknown.
	askPause = 100 * time.Millisecond
)

// outcome is the result of an exchange.
type outcome struct {
	usage  engine.Usage
	engine string
	err    error
}

// claims records the attempts of a request that may run only once. For all other requests
// noClaims is used, which does nothing.
type claims interface {
	// begin is called with a new attempt before the engine gets it. replaced is the attempt
	// that the same call of runner.run made before it, empty for the first. No implementation
	// uses it: claimGuard remembers which attempt is recorded.
	begin(ctx context.Context, p placement, replaced engine.Identifier) error
	// lost is called when the outcome of an attempt can no longer be found out.
	lost(ctx context.Context, attempt engine.Identifier)
}

type noClaims struct{}

func (noClaims) begin(context.Context, placement, engine.Identifier) error { return nil }
func (noClaims) lost(context.Context, engine.Identifier)                   {}

// runner executes exchanges: it has attempts placed and relays their streams.
type runner struct {
	placer   *Placer
	engines  *engine.Client
	reporter *reporter
	metrics  *Metrics
	// quarantine holds back requests that make engines crash.
	quarantine *quarantine.Manager

	mu     sync.Mutex
	budget *admission.RetryBudget
}

func newRunner(placer *Placer, engines *engine.Client, reporter *reporter, metrics *Metrics, quarantined *quarantine.Manager) *runner {
	return &runner{
		placer: placer, engines: engines, reporter: reporter, metrics: metrics, quarantine: quarantined,
		budget: admission.NewRetryBudget(retryRatio, retryCeiling),
	}
}

func (r *runner) deposit() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.Deposit()
}

func (r *runner) mayRetry() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.Withdraw()
}

// attemptState is whether another attempt may follow one that failed. Where it is returned with
// a nil error it has no meaning.
type attemptState int

const (
	// notRun means that the attempt is proved not to have run, so another may follow.
	notRun attemptState = iota
	// mayHaveRun means that another attempt may follow only if the request's kind is
	// repeatable.
	mayHaveRun
	// noRetry means that no other attempt should follow: the caller has left, or the engine
	// refused the request for a reason that holds on every engine.
	noRetry
)

// run makes attempts until the answer is complete or the request is given up. The sink gets
// events of one attempt only: no other attempt follows once a caller may have seen an event.
func (r *runner) run(ctx context.Context, x *exchange, guard claims, target sink) outcome {
	r.deposit()
	var excluded []string
	var replaced engine.Identifier
	attempt := x.attempt
	mayHaveRunBefore := false
	fingerprint := x.fingerprint()
	for try := 1; ; try++ {
		if err := r.checkQuarantine(ctx, fingerprint); err != nil {
			return outcome{err: accountForEarlierAttempts(err, mayHaveRunBefore)}
		}
		placed, err := r.placer.place(ctx, x, attempt, excluded)
		if err != nil {
			return outcome{err: accountForEarlierAttempts(err, mayHaveRunBefore)}
		}
		if err := guard.begin(ctx, placed, replaced); err != nil {
			r.reporter.report(placed, cell.ProgressDone)
			return outcome{err: accountForEarlierAttempts(err, mayHaveRunBefore)}
		}
		usage, state, err := r.attempt(ctx, x, placed, target)
		r.reporter.report(placed, cell.ProgressDone)
		if err == nil {
			r.quarantine.Survived(fingerprint, time.Now())
			return outcome{usage: usage, engine: placed.ticket.Engine}
		}
		log := x.log.WithFields(logrus.Fields{"attempt": attempt, "engine": placed.ticket.Engine}).WithError(err)
		unseen := target.restart()
		if !r.shouldRetry(ctx, x, state, unseen, try) {
			log.Debug("attempt failed")
			return outcome{engine: placed.ticket.Engine, err: accountForEarlierAttempts(r.callerError(ctx, x, guard, attempt, state, unseen, err), mayHaveRunBefore)}
		}
		mayHaveRunBefore = mayHaveRunBefore || state == mayHaveRun
		log.Info("attempt failed; placing the request again")
		r.metrics.Retries.Inc()
		excluded = append(excluded, placed.ticket.Engine)
		replaced, attempt = attempt, engine.NewIdentifier()
		if sleep(ctx, time.Duration(try)*(retryPause+rand.N(retryPause))) != nil {
			return outcome{err: result.New(result.CallerGone, "the caller left before the request was placed again")}
		}
	}
}

// accountForEarlierAttempts replaces an error that says that the request did not run, if an earlier
// attempt may have run.
func accountForEarlierAttempts(err error, mayHaveRunBefore bool) error {
	failure := result.From(err)
	if !mayHaveRunBefore || failure.Code.Entry().Outcome != result.DidNotRun {
		return failure
	}
	changed := *failure
	changed.Code = result.EngineDown
	changed.Message = "an attempt was lost with its engine, and no other could be made: " + failure.Message
	return &changed
}

// shouldRetry decides whether another attempt follows a failed one. unseen means that no caller
// has seen any of its events.
func (r *runner) shouldRetry(ctx context.Context, x *exchange, state attemptState, unseen bool, try int) bool {
	if ctx.Err() != nil || !unseen || try >= maxAttempts || time.Now().After(x.deadline) {
		return false
	}
	switch state {
	case notRun:
		return r.mayRetry()
	case mayHaveRun:
		return x.kind.Repeatable && r.mayRetry()
	}
	return false
}

// callerError converts the failure of the last attempt into the error that the caller gets.
func (r *runner) callerError(ctx context.Context, x *exchange, guard claims, attempt engine.Identifier, state attemptState, unseen bool, err error) error {
	failure := result.From(err)
	switch {
	case state == noRetry:
		return failure
	case state == notRun:
		return result.New(result.RetriesExhausted, "no engine took the request; the last one said: %s", failure.Message).WithRetryAfter(time.Second)
	case failure.Code == result.CallerGone:
		return failure
	case failure.Code == result.DeadlineExceeded && x.kind.Repeatable:
		return failure
	case x.kind.Repeatable && !unseen:
		return result.New(result.AnswerCut, "the answer broke off: %s", failure.Message)
	}
	if streamIsGone(err) {
		guard.lost(ctx, attempt)
	}
	// The outcome is unknown: the engine may have run the request, in part or to its end.
	return result.New(result.OutcomeUnknown, "the request was given to an engine and its outcome can't be had: %s", failure.Message)
}

// attempt dispatches one attempt and relays its stream to the end.
func (r *runner) attempt(ctx context.Context, x *exchange, placed placement, target sink) (engine.Usage, attemptState, error) {
	if placed.expired() {
		return engine.Usage{}, notRun, result.New(result.TicketRefused, "the ticket was too old to be dispatched")
	}
	runCtx, cancel := context.WithDeadline(ctx, x.runLimit())
	defer cancel()
	stream, err := r.engines.Start(runCtx, placed.ticket, string(x.endpoint), x.body)
	if err != nil {
		state, startErr := r.classifyStartError(runCtx, x, placed, err)
		if startErr != nil {
			if state == mayHaveRun {
				r.checkForCrash(ctx, x, placed.ticket, false)
			}
			return engine.Usage{}, state, startErr
		}
		stream = nil // it runs: resume from the start
	}
	return r.follow(runCtx, x, placed, target, stream)
}

// follow relays the stream of an attempt that an engine has accepted.
func (r *runner) follow(ctx context.Context, x *exchange, placed placement, target sink, stream io.ReadCloser) (engine.Usage, attemptState, error) {
	copier := newRelay(r.engines, placed.ticket, target, r.metrics, func() {
		r.metrics.FirstToken.WithLabelValues(x.kind.Name).Observe(time.Since(x.received).Seconds())
		r.reporter.report(placed, cell.ProgressFirstToken)
	})
	err := copier.run(ctx, stream)
	if err == nil {
		return copier.reader.Usage(), noRetry, nil
	}
	if x.key == "" || runLimitReached(ctx) {
		r.cancel(placed.ticket)
	}
	var left errSink
	if errors.As(err, &left) || errors.Is(ctx.Err(), context.Canceled) {
		return engine.Usage{}, noRetry, result.New(result.CallerGone, "the caller left before the answer was whole")
	}
	if runLimitReached(ctx) {
		err = result.New(result.DeadlineExceeded, "the answer was not whole after %v", 2*x.kind.Deadline)
	} else {
		r.checkForCrash(ctx, x, placed.ticket, copier.reader.Next() > 1)
	}
	return engine.Usage{}, mayHaveRun, err
}

// runLimitReached reports whether the exchange has reached its run limit.
func runLimitReached(ctx context.Context) bool { return errors.Is(ctx.Err(), context.DeadlineExceeded) }

// classifyStartError decides what a failed start means for the attempt. A nil error means that
// the attempt is running and its stream can be read.
func (r *runner) classifyStartError(ctx context.Context, x *exchange, placed placement, err error) (attemptState, error) {
	failure := result.From(err)
	switch failure.Code {
	case result.NoEngine, result.TicketRefused, result.IncarnationMismatch, result.EngineBusy, result.FenceStale:
		return notRun, failure
	case result.InvalidRequest, result.PromptTooLong, result.OutputTooLong:
		return noRetry, failure
	}
	if ctx.Err() != nil && errors.Is(ctx.Err(), context.Canceled) {
		r.cancel(placed.ticket)
		return noRetry, result.New(result.CallerGone, "the caller left before the answer began")
	}
	if x.kind.Repeatable {
		r.cancel(placed.ticket)
		return mayHaveRun, failure
	}
	return r.resolveAttempt(ctx, placed.ticket, 0)
}

// resolveAttempt asks the engine about an attempt whose start was not answered. An engine that
// still has not seen the attempt after delay is told to refuse it from then on, which proves
// that it did not run and will not. A nil error means that the engine has accepted the attempt,
// which may still be running, and that its stream can be read.
func (r *runner) resolveAttempt(ctx context.Context, ticket engine.Ticket, delay time.Duration) (attemptState, error) {
	begun := time.Now()
	giveUp := begun.Add(resumeFor)
	for {
		state, settled, err := r.queryAttempt(ctx, ticket, time.Since(begun) >= delay)
		if settled {
			return state, err
		}
		if time.Now().After(giveUp) || sleep(ctx, askPause) != nil {
			return mayHaveRun, err
		}
	}
}

// queryAttempt asks the engine once about an attempt, and if refuse is set tells it to refuse the
// attempt if it has not seen it. settled means that there is no need to ask again. The error is
// nil if the engine has the attempt's stream.
func (r *runner) queryAttempt(ctx context.Context, ticket engine.Ticket, refuse bool) (state attemptState, settled bool, err error) {
	stream, err := r.engines.Resume(ctx, ticket.Address, ticket.Incarnation, ticket.Attempt, 1)
	if err == nil {
		_ = stream.Close()
		return noRetry, true, nil
	}
	switch result.CodeOf(err) {
	case result.IncarnationMismatch:
		// The engine has restarted and no longer knows what it did before.
		return mayHaveRun, true, err
	case result.StreamUnknown:
		if !refuse {
			return mayHaveRun, false, err
		}
		reply, cancelErr := r.engines.RefuseUnseen(ctx, ticket.Address, ticket.Incarnation, ticket.Attempt)
		switch {
		case cancelErr == nil && !reply.Seen:
			return notRun, true, result.New(result.TicketRefused, "engine %s never saw the attempt and will refuse it", ticket.Engine)
		case cancelErr == nil && reply.Seen && refuse:
			// The attempt ran, and its stream is no longer stored.
			return mayHaveRun, true, result.New(result.AnswerExpired, "engine %s ran the attempt and does not keep its answer any more", ticket.Engine)
		}
	}
	return mayHaveRun, false, err
}

// cancel tells the engine to stop an attempt that nobody waits for. It uses its own context,
// since the exchange may be over.
func (r *runner) cancel(ticket engine.Ticket) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelWait)
		defer cancel()
		_, _ = r.engines.Cancel(ctx, ticket.Address, ticket.Incarnation, ticket.Attempt)
	}()
}
