package gateway

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"time"

	"github.com/tinarch/tinarch/internal/cell"
	"github.com/tinarch/tinarch/internal/engine"
	"github.com/tinarch/tinarch/internal/ledger"
	"github.com/tinarch/tinarch/internal/openai"
	"github.com/tinarch/tinarch/internal/result"
)

// AnswerStore stores answers that are too long for the ledger.
type AnswerStore interface {
	Put(ctx context.Context, name string, content []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
}

// keyedRunner runs requests with an idempotency key, which must not run twice. An execution
// goes on when its caller leaves, and all callers with the same key read the same stream.
type keyedRunner struct {
	runner  *runner
	ledger  *ledger.Client
	answers AnswerStore
	metrics *Metrics
	running sync.WaitGroup

	mu         sync.Mutex
	executions map[string]*keyedExecution
}

// keyedExecution is a running request at this gateway.
type keyedExecution struct {
	digest    string
	recording *recording
}

func newKeyedRunner(runner *runner, client *ledger.Client, answers AnswerStore, metrics *Metrics) *keyedRunner {
	return &keyedRunner{runner: runner, ledger: client, answers: answers, metrics: metrics, executions: map[string]*keyedExecution{}}
}

const (
	ledgerTimeout = 3 * time.Second
	storeTimeout  = 5 * time.Second
	// takeOverDelay is how long another gateway has to dispatch an attempt after claiming it,
	// before this one makes the engine refuse the attempt.
	takeOverDelay = 250 * time.Millisecond
	// claimAgeLimit is the age up to which an engine is asked about a claim's attempt. Engines
	// remember attempts for engine.AttemptRetention only: one that doesn't know an older attempt
	// may have forgotten it, so its answer doesn't prove that the attempt did not run. Half of
	// that time leaves a margin for clocks that run at different rates.
	claimAgeLimit = engine.AttemptRetention / 2
)

// run joins the running execution of the exchange's key, or starts one.
func (k *keyedRunner) run(ctx context.Context, x *exchange, target sink) outcome {
	flight, isNew := k.join(x)
	if flight.digest != x.digest() {
		return outcome{err: result.New(result.KeyReused, "the idempotency key is in use for another request; use a new key")}
	}
	if isNew {
		k.running.Add(1)
		go func() {
			defer k.running.Done()
			k.execute(context.WithoutCancel(ctx), x, flight)
		}()
	}
	return flight.recording.play(ctx, target)
}

func (k *keyedRunner) join(x *exchange) (flight *keyedExecution, isNew bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if running := k.executions[x.key]; running != nil {
		return running, false
	}
	flight = &keyedExecution{digest: x.digest(), recording: newRecording()}
	k.executions[x.key] = flight
	return flight, true
}

// execute runs the request to its end, even if all callers leave.
func (k *keyedRunner) execute(ctx context.Context, x *exchange, flight *keyedExecution) {
	end := k.executeOnce(ctx, x, flight.recording)
	flight.recording.finish(end)
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.executions, x.key)
}

func (k *keyedRunner) executeOnce(ctx context.Context, x *exchange, target *recording) outcome {
	lookupCtx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	claim, err := k.ledger.Lookup(lookupCtx, x.key)
	cancel()
	if err != nil {
		return outcome{err: ledgerUnavailable(err)}
	}
	if claim != nil {
		return k.continueClaim(ctx, x, claim, target)
	}
	return k.start(ctx, x, target)
}

func ledgerUnavailable(err error) error {
	return result.New(result.LedgerUnavailable, "the claim could not be recorded, so the request was not run: %s", result.From(err).Message).
		WithRetryAfter(time.Second)
}

// start runs a request whose key has no claim.
func (k *keyedRunner) start(ctx context.Context, x *exchange, target *recording) outcome {
	guard := &claimGuard{keyed: k, x: x}
	end := k.runner.run(ctx, x, guard, target)
	if guard.otherClaim != nil {
		// Another gateway has claimed the key in the meantime.
		return k.continueClaim(ctx, x, guard.otherClaim, target)
	}
	k.recordEnd(ctx, x, guard, end, target)
	return end
}

// recordEnd records the outcome of an execution in the ledger: its answer, or that it did not
// run. A claim whose outcome is open stays.
func (k *keyedRunner) recordEnd(ctx context.Context, x *exchange, guard *claimGuard, end outcome, target *recording) {
	if guard.current == "" {
		return // nothing was claimed
	}
	if end.err == nil {
		k.complete(ctx, x, guard.current, end, target)
		return
	}
	if result.CodeOf(end.err).Entry().Outcome == result.DidNotRun {
		k.command(ctx, ledger.Command{Type: ledger.CommandRelease, Key: x.key, Attempt: guard.current})
	}
}

// command sends a command to the ledger and ignores failures. If one fails, the next caller
// with the key asks the engine instead.
func (k *keyedRunner) command(ctx context.Context, command ledger.Command) {
	commandCtx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	_, _, _ = k.ledger.Execute(commandCtx, command)
}

// complete stores the answer in the ledger, or in the object store if it is long. If that
// fails, the engine still has the answer for a while.
func (k *keyedRunner) complete(ctx context.Context, x *exchange, attempt engine.Identifier, end outcome, target *recording) {
	content, _, _, _ := target.snapshot(0)
	text, err := textOf(content)
	if err != nil {
		return
	}
	answer := &ledger.Answer{Text: text, Usage: end.usage, Created: x.received.Unix()}
	if len(text) > ledger.MaxInlineBytes {
		storeCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		name := "answers/" + string(attempt)
		if k.answers.Put(storeCtx, name, []byte(text)) != nil {
			return
		}
		answer.Text, answer.Object = "", name
	}
	k.command(ctx, ledger.Command{Type: ledger.CommandComplete, Key: x.key, Attempt: attempt, Answer: answer})
}

// textOf returns the answer's text in recorded events.
func textOf(content []byte) (string, error) {
	var text strings.Builder
	for event := range bytes.SplitSeq(content, eventEnd) {
		data := engine.EventData(event)
		if data == nil {
			continue
		}
		part, err := openai.ChunkText(data)
		if err != nil {
			return "", err
		}
		text.WriteString(part)
	}
	return text.String(), nil
}

// continueClaim serves a request whose key has already been claimed, by this gateway or
// another.
func (k *keyedRunner) continueClaim(ctx context.Context, x *exchange, claim *ledger.Claim, target *recording) outcome {
	if claim.Digest != x.digest() {
		return outcome{err: result.New(result.KeyReused, "the idempotency key was used for another request; use a new key")}
	}
	switch claim.Status {
	case ledger.Done:
		return k.replay(ctx, x, claim, target)
	case ledger.Lost:
		// The outcome can no longer be found out.
		return outcome{err: result.New(result.OutcomeUnknown, "the request was given to an engine before, and its outcome can't be had")}
	}
	return k.takeOver(ctx, x, claim, target)
}

// replay answers with the stored answer.
func (k *keyedRunner) replay(ctx context.Context, x *exchange, claim *ledger.Claim, target *recording) outcome {
	answer := claim.Answer
	if answer == nil {
		return outcome{err: result.New(result.AnswerExpired, "the request ran, and its answer is not stored any more")}
	}
	text := answer.Text
	if answer.Object != "" {
		readCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		content, err := k.answers.Get(readCtx, answer.Object)
		if err != nil {
			return outcome{err: result.New(result.AnswerExpired, "the request ran, and its stored answer can't be read now: %v", err).WithRetryAfter(time.Second)}
		}
		text = string(content)
	}
	chunk, err := openai.TextChunk(x.endpoint, engine.CompletionID(claim.Attempt), x.kind.Model, answer.Created, text)
	if err != nil {
		return outcome{err: result.Wrap(err, result.Internal, "encoding a stored answer")}
	}
	_ = target.events(engine.AppendEvent(nil, claim.Attempt, 1, chunk))
	return outcome{usage: answer.Usage, engine: claim.Location.Engine}
}

// takeOver continues an attempt that another gateway started, or that this one lost track of.
// The other gateway may be suspended and still about to dispatch the request. Therefore, if the
// engine doesn't know the attempt, it is told to refuse it before another attempt replaces it.
func (k *keyedRunner) takeOver(ctx context.Context, x *exchange, claim *ledger.Claim, target *recording) outcome {
	placed := placement{ticket: engine.Ticket{
		Attempt: claim.Attempt, Engine: claim.Location.Engine, Address: claim.Location.Address, Incarnation: claim.Location.Incarnation,
	}}
	if time.Duration(claim.AgeMillis)*time.Millisecond > claimAgeLimit {
		// The engine may have forgotten the attempt, so not knowing it would not prove that it
		// did not run.
		return outcome{engine: claim.Location.Engine, err: result.New(result.OutcomeUnknown,
			"the request was given to engine %s too long ago to ask about it", claim.Location.Engine)}
	}
	runCtx, cancel := context.WithDeadline(ctx, x.runLimit())
	defer cancel()
	state, err := k.runner.resolveAttempt(runCtx, placed.ticket, takeOverDelay)
	if err == nil {
		return k.followClaim(runCtx, x, claim, placed, target)
	}
	guard := &claimGuard{keyed: k, x: x, current: claim.Attempt}
	if state == notRun {
		return k.restart(ctx, x, guard, target)
	}
	if result.CodeOf(err) == result.IncarnationMismatch {
		guard.lost(ctx, claim.Attempt)
	}
	// The outcome is unknown now; if the engine only could not be reached, a later request with
	// the key may still find it out.
	return outcome{engine: claim.Location.Engine, err: result.New(result.OutcomeUnknown,
		"the request was given to engine %s before, and its outcome can't be had now: %s", claim.Location.Engine, result.From(err).Message).
		WithRetryAfter(time.Second)}
}

func (k *keyedRunner) followClaim(ctx context.Context, x *exchange, claim *ledger.Claim, placed placement, target *recording) outcome {
	copier := newRelay(k.runner.engines, placed.ticket, target, k.metrics, nil)
	if err := copier.run(ctx, nil); err != nil {
		if result.CodeOf(err) == result.IncarnationMismatch || result.CodeOf(err) == result.StreamUnknown {
			(&claimGuard{keyed: k, x: x}).lost(context.WithoutCancel(ctx), claim.Attempt)
		}
		// The outcome is unknown now, and for good if the claim was recorded as lost.
		return outcome{engine: claim.Location.Engine, err: result.New(result.OutcomeUnknown, "the running request's outcome can't be had: %s", result.From(err).Message)}
	}
	end := outcome{usage: copier.reader.Usage(), engine: claim.Location.Engine}
	k.complete(context.WithoutCancel(ctx), x, claim.Attempt, end, target)
	return end
}

// restart runs a request again whose only attempt is proved not to have run.
func (k *keyedRunner) restart(ctx context.Context, x *exchange, guard *claimGuard, target *recording) outcome {
	x.attempt = engine.NewIdentifier()
	end := k.runner.run(ctx, x, guard, target)
	if guard.otherClaim != nil {
		return k.continueClaim(ctx, x, guard.otherClaim, target)
	}
	k.recordEnd(ctx, x, guard, end, target)
	return end
}

// claimGuard implements claims: it records each attempt of an execution in the ledger before
// the engine gets it. It keeps track of the recorded attempt and has the next one
// replace it. The replaced attempt is known not to have run: requests with a key are not
// repeatable.
type claimGuard struct {
	keyed *keyedRunner
	x     *exchange
	// current is the recorded attempt, empty before the first claim.
	current engine.Identifier
	// otherClaim is the claim of another gateway that was faster.
	otherClaim *ledger.Claim
}

func (g *claimGuard) begin(ctx context.Context, p placement, _ engine.Identifier) error {
	command := ledger.Command{
		Type:         ledger.CommandClaim,
		Key:          g.x.key,
		KeyTime:      g.x.keyTime,
		Digest:       g.x.digest(),
		Attempt:      p.ticket.Attempt,
		WindowMillis: g.x.kind.KeyWindow.Milliseconds(),
		Location: ledger.Location{
			Pool: g.x.kind.Pool, Engine: p.ticket.Engine, Address: p.ticket.Address, Incarnation: p.ticket.Incarnation,
		},
	}
	if g.current != "" {
		command.Type, command.Replaced = ledger.CommandReplace, g.current
	}
	claimCtx, cancel := context.WithTimeout(ctx, time.Duration(cell.TicketValidity))
	defer cancel()
	claim, granted, err := g.keyed.ledger.Execute(claimCtx, command)
	if err != nil {
		if code := result.CodeOf(err); code == result.OutcomeUnknown || code == result.KeyReused {
			return err
		}
		return ledgerUnavailable(err)
	}
	if !granted {
		g.otherClaim = claim
		return result.New(result.KeyReused, "another gateway runs the request")
	}
	g.current = p.ticket.Attempt
	return nil
}

func (g *claimGuard) lost(ctx context.Context, attempt engine.Identifier) {
	g.keyed.command(context.WithoutCancel(ctx), ledger.Command{Type: ledger.CommandLost, Key: g.x.key, Attempt: attempt})
}
