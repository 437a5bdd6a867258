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
	// maxAttempts bounds how often one request is placed.
	maxAttempts = 4
	// retryRatio and retryCeiling are the gateway's retry budget.
	retryRatio   = 0.2
	retryCeiling = 50
	retryPause   = 10 * time.Millisecond
	cancelWait   = time.Second
	// askPause is the time between questions about an attempt whose fate is not
	// known.
	askPause = 100 * time.Millisecond
)

// outcome is how an exchange ended.
type outcome struct {
	usage  engine.Usage
	engine string
	err    error
}

// claims is what a runner does around its attempts where the request may run only
// once. For other requests all its methods do nothing.
type claims interface {
	// begin is called with a new attempt before the engine sees it. replaced is
	// the attempt that is known not to have run, empty for none.
	begin(ctx context.Context, p placement, replaced engine.Identifier) error
	// lost is called when the outcome of the attempt can't be had.
	lost(ctx context.Context, attempt engine.Identifier)
}

type noClaims struct{}

func (noClaims) begin(context.Context, placement, engine.Identifier) error { return nil }
func (noClaims) lost(context.Context, engine.Identifier)                   {}

// runner executes exchanges: it places attempts and relays their streams.
type runner struct {
	placer   *Placer
	engines  *engine.Client
	reporter *reporter
	metrics  *Metrics
	// quarantine keeps requests under which engines end away from them.
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

// attemptState is what is known of one attempt after it failed.
type attemptState int

const (
	// notRun attempts are proved not to have run: they may be placed again.
	notRun attemptState = iota
	// mayHaveRun attempts must not run again unless the kind is repeatable.
	mayHaveRun
	// finished attempts ended for good: with a whole answer, or a refusal that
	// another attempt would meet too.
	finished
)

// run places and relays until the answer is whole or given up. The sink ends with
// events of one attempt only: once anybody has seen any, no other attempt follows.
func (r *runner) run(ctx context.Context, x *exchange, guard claims, target sink) outcome {
	r.deposit()
	var excluded []string
	var replaced engine.Identifier
	attempt := x.attempt
	mayHaveRunBefore := false
	fingerprint := x.fingerprint()
	for try := 1; ; try++ {
		if err := r.checkQuarantine(ctx, fingerprint); err != nil {
			return outcome{err: neverFalselyNotRun(err, mayHaveRunBefore)}
		}
		placed, err := r.placer.place(ctx, x, attempt, excluded)
		if err != nil {
			return outcome{err: neverFalselyNotRun(err, mayHaveRunBefore)}
		}
		if err := guard.begin(ctx, placed, replaced); err != nil {
			r.reporter.report(placed, cell.ProgressDone)
			return outcome{err: neverFalselyNotRun(err, mayHaveRunBefore)}
		}
		usage, state, err := r.attempt(ctx, x, placed, target)
		r.reporter.report(placed, cell.ProgressDone)
		if err == nil {
			r.quarantine.Survived(fingerprint, time.Now())
			return outcome{usage: usage, engine: placed.ticket.Engine}
		}
		log := x.log.WithFields(logrus.Fields{"attempt": attempt, "engine": placed.ticket.Engine}).WithError(err)
		fresh := target.restart()
		if !r.shouldRetry(ctx, x, state, fresh, try) {
			log.Debug("attempt failed")
			return outcome{engine: placed.ticket.Engine, err: neverFalselyNotRun(r.callerError(ctx, x, guard, attempt, state, fresh, err), mayHaveRunBefore)}
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

// neverFalselyNotRun never lets a request be called not run when an earlier attempt may have
// been.
func neverFalselyNotRun(err error, mayHaveRunBefore bool) error {
	failure := result.From(err)
	if !mayHaveRunBefore || failure.Code.Entry().Outcome != result.DidNotRun {
		return failure
	}
	changed := *failure
	changed.Code = result.EngineDown
	changed.Message = "an attempt was lost with its engine, and no other could be made: " + failure.Message
	return &changed
}

// shouldRetry decides whether a failed attempt is followed by another. fresh tells that
// nobody has seen anything of it.
func (r *runner) shouldRetry(ctx context.Context, x *exchange, state attemptState, fresh bool, try int) bool {
	if ctx.Err() != nil || !fresh || try >= maxAttempts || time.Now().After(x.deadline) {
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

// callerError turns the failure of the last attempt into what the caller is told.
func (r *runner) callerError(ctx context.Context, x *exchange, guard claims, attempt engine.Identifier, state attemptState, fresh bool, err error) error {
	failure := result.From(err)
	switch {
	case state == finished:
		return failure
	case state == notRun:
		return result.New(result.RetriesExhausted, "no engine took the request; the last one said: %s", failure.Message).WithRetryAfter(time.Second)
	case failure.Code == result.CallerGone:
		return failure
	case failure.Code == result.DeadlineExceeded && x.kind.Repeatable:
		return failure
	case x.kind.Repeatable && !fresh:
		return result.New(result.AnswerCut, "the answer broke off: %s", failure.Message)
	}
	if streamIsGone(err) {
		guard.lost(ctx, attempt)
	}
	return result.New(result.OutcomeUnknown, "the request was given to an engine and its outcome can't be had: %s", failure.Message)
}

// attempt runs one attempt to its end.
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

// follow relays an attempt that was accepted.
func (r *runner) follow(ctx context.Context, x *exchange, placed placement, target sink, stream io.ReadCloser) (engine.Usage, attemptState, error) {
	copier := newRelay(r.engines, placed.ticket, target, r.metrics, func() {
		r.metrics.FirstToken.WithLabelValues(x.kind.Name).Observe(time.Since(x.received).Seconds())
		r.reporter.report(placed, cell.ProgressFirstToken)
	})
	err := copier.run(ctx, stream)
	if err == nil {
		return copier.reader.Usage(), finished, nil
	}
	if x.key == "" || runLimitReached(ctx) {
		r.cancel(placed.ticket)
	}
	var left errSink
	if errors.As(err, &left) || errors.Is(ctx.Err(), context.Canceled) {
		return engine.Usage{}, finished, result.New(result.CallerGone, "the caller left before the answer was whole")
	}
	if runLimitReached(ctx) {
		err = result.New(result.DeadlineExceeded, "the answer was not whole after %v", 2*x.kind.Deadline)
	} else {
		r.checkForCrash(ctx, x, placed.ticket, copier.reader.Next() > 1)
	}
	return engine.Usage{}, mayHaveRun, err
}

// runLimitReached reports whether an exchange has reached its run limit.
func runLimitReached(ctx context.Context) bool { return errors.Is(ctx.Err(), context.DeadlineExceeded) }

// classifyStartError decides what a failed start means. No error means that the attempt
// does run and its stream can be read.
func (r *runner) classifyStartError(ctx context.Context, x *exchange, placed placement, err error) (attemptState, error) {
	failure := result.From(err)
	switch failure.Code {
	case result.NoEngine, result.TicketRefused, result.IncarnationMismatch, result.EngineBusy, result.FenceStale:
		return notRun, failure
	case result.InvalidRequest, result.PromptTooLong, result.OutputTooLong:
		return finished, failure
	}
	if ctx.Err() != nil && errors.Is(ctx.Err(), context.Canceled) {
		r.cancel(placed.ticket)
		return finished, result.New(result.CallerGone, "the caller left before the answer began")
	}
	if x.kind.Repeatable {
		r.cancel(placed.ticket)
		return mayHaveRun, failure
	}
	return r.resolveAttempt(ctx, placed.ticket, 0)
}

// resolveAttempt finds out what became of an attempt whose start was not answered. An
// engine that has not seen it within patience is told to refuse it from then on,
// which proves that it did not and will not run.
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

func (r *runner) queryAttempt(ctx context.Context, ticket engine.Ticket, refuse bool) (state attemptState, known bool, err error) {
	stream, err := r.engines.Resume(ctx, ticket.Address, ticket.Incarnation, ticket.Attempt, 1)
	if err == nil {
		_ = stream.Close()
		return finished, true, nil
	}
	switch result.CodeOf(err) {
	case result.IncarnationMismatch:
		// The engine restarted: what it did before is not known any more.
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
			// It ran, and its stream is not kept any more.
			return mayHaveRun, true, result.New(result.AnswerExpired, "engine %s ran the attempt and does not keep its answer any more", ticket.Engine)
		}
	}
	return mayHaveRun, false, err
}

// cancel frees the engine from an attempt that nobody waits for. It does not
// depend on the exchange, which may be over.
func (r *runner) cancel(ticket engine.Ticket) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelWait)
		defer cancel()
		_, _ = r.engines.Cancel(ctx, ticket.Address, ticket.Incarnation, ticket.Attempt)
	}()
}
