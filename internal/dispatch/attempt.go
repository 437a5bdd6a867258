package dispatch

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/tinarch/tinarch/internal/latency"
	"github.com/tinarch/tinarch/internal/quota"
	"github.com/tinarch/tinarch/internal/result"
	"github.com/tinarch/tinarch/internal/scheduling"
	"github.com/tinarch/tinarch/internal/worker"
	"github.com/tinarch/tinarch/internal/workerconn"
)

var (
	// These errors are logged as the cause of a failed try and reach callers in Outcome.Detail.
	// The prompt that was read is one that another engine has prefilled for the call:
	// errNoRunner means that no decode engine can run it, and errNoHandle that the decode
	// engine could not fetch it.
	errNoRunner    = eris.New("no worker can run the prompt that was read")
	errNotExecuted = eris.New("the worker did not run the request")
	errMisdirected = eris.New("another worker has the address")
	errNoHandle    = eris.New("the prompt that was read could not be fetched")
	errFailed      = eris.New("the worker answered with a failure of its own")
)

const (
	// maxReadAnswer bounds the body of an answer that is not passed on to the caller.
	maxReadAnswer = 16 << 10
	// releaseTimeout bounds the request that frees a handle.
	releaseTimeout = 500 * time.Millisecond
	// maxReleaseDelay bounds the wait for the end of the worker's pause before that request.
	// Handles expire anyway.
	maxReleaseDelay = 10 * time.Second
)

// prefilledPrompt is a prompt that an engine has prefilled for this call and keeps for another
// one.
type prefilledPrompt struct {
	handle Handle
	reader scheduling.Candidate
}

// promptOrigin is how the worker that runs a call gets its prompt.
type promptOrigin struct {
	// from is the prompt prefilled by another engine, nil if the worker itself prefills.
	from *prefilledPrompt
	// unread counts the tokens that the worker prefills.
	unread int
	// fetch is the address of a worker that has part of the prompt cached.
	fetch string
	// expected is the predicted time until the worker has prefilled the prompt.
	expected time.Duration
}

// sendAdmitted sends the call to a worker unless refusal is the reason not to, or the call was
// quarantined meanwhile.
func (s *session) sendAdmitted(ctx context.Context, to scheduling.Candidate, refusal error, forward Forward) (*workerconn.Answer, Reply, error) {
	if refusal == nil {
		refusal = s.quarantineRefusal()
	}
	if refusal == nil {
		refusal = s.stopRefusal()
	}
	if refusal != nil {
		return nil, Reply{}, workerconn.Withhold(refusal)
	}
	return s.send(ctx, to, forward)
}

// send sends the call to a worker. It returns the answer and what its head says.
func (s *session) send(ctx context.Context, to scheduling.Candidate, forward Forward) (*workerconn.Answer, Reply, error) {
	forward.WorkerID = to.ID
	forward.Remaining = s.remaining()
	// Once a late prompt has been prefilled its request no longer yields: little work is left,
	// and until it runs the prompt takes memory at two engines.
	forward.Priority, forward.Late = s.call.Priority(), s.late && forward.ReadApart
	request := &workerconn.Request{
		Method: s.call.Method, Target: s.call.Target, Host: s.call.Host,
		Header: s.wire.ForwardHeader(s.call, forward), Body: s.call.Body,
		IDHeader: s.wire.IDHeader(), ID: s.call.ID,
		Borrow: s.failed[to.ID], // once no other worker has a connection of this node's left
		Verify: s.call.Route.Resumable && !forward.ReadApart, Continues: s.bound && !forward.ReadApart,
	}
	sent := time.Now()
	answer, err := s.pool.Do(ctx, to.ID, to.Address, s.connectionLimit(s.call), request)
	s.usedTurn(to.ID, err)
	if err != nil {
		return nil, Reply{}, err
	}
	s.through = answer.Through
	reply := s.wire.Reply(answer.Status, answer.Header)
	s.observeLimit(to.ID, answer.Status, reply, sent)
	if reply.HostSlowdown > 0 {
		s.registry.ObserveHostSlowdown(to.ID, reply.HostSlowdown, time.Now())
	}
	return answer, reply, nil
}

// readApart has the planned reader prefill the prompt. If it fails, the handle is nil and the
// call provably has not run.
func (s *session) readApart(ctx context.Context, plan scheduling.Plan) (*Handle, tryResult) {
	reader := plan.Reader
	unread := plan.Unread
	load := worker.Load{Requests: 1, Unread: worker.UnreadTokensOf(s.rank(), unread), MemoryTokens: s.call.PromptTokens}
	refusal := s.registry.BeginRequest(reader.ID, load)
	defer s.registry.End(reader.ID, load)
	defer s.beginPrefill(reader.ID, unread, plan.Read)()
	running := s.crashDetector.begin(reader.ID, s.call, s.suspected())
	defer s.crashDetector.end(reader.ID, running)
	begun := time.Now()
	answer, reply, err := s.sendAdmitted(ctx, reader, refusal, Forward{ReadApart: true, FetchFrom: plan.Fetch})
	if err != nil {
		return nil, s.readFailed(reader, err)
	}
	defer func() { _ = answer.Body.Close() }()
	content, err := workerconn.ReadDocument(answer.Body, maxReadAnswer)
	if err != nil {
		return nil, s.readFailed(reader, err)
	}
	if answer.Status != http.StatusOK {
		return nil, s.readRejected(reader, reply)
	}
	handle, err := s.wire.Handle(reader.Address, content)
	if err != nil {
		return nil, s.readFailed(reader, err)
	}
	now := time.Now()
	s.wasReadApart = true
	s.observeReading(reader, unread, plan.Fetch, now.Sub(begun))
	s.registry.ObserveCached(reader.ID, s.call.Prompt, now)
	s.registry.Succeeded(reader.ID, now)
	return &handle, tryResult{}
}

// observeReading records the time that a worker took to prefill what it lacked of the prompt.
// fetch is the address from which it fetched a part, or empty. Late prompts are not recorded,
// since prompts that arrived after them were prefilled first.
func (s *session) observeReading(reader scheduling.Candidate, unread int, fetch string, elapsed time.Duration) {
	if s.late {
		return
	}
	elapsed -= roundTrip(reader)
	context := s.call.PromptTokens - unread
	reading := latency.Reading{Tokens: unread, Context: context, Ahead: reader.ReadAhead, Elapsed: elapsed, Slowdown: s.slowdownSince(reader)}
	if fetch == "" {
		s.registry.ObserveReading(reader.ID, reading)
		if reader.Prefill && reader.Requests == 0 {
			s.registry.ShareReading(reader.ID, reading)
		}
		return
	}
	if spec := s.call.Service.Engine; spec != nil {
		s.registry.ObserveFetch(reader.ID, reading, spec.MoveTime(context-reader.CachedTokens))
	}
}

// readFailed ends a prefill that got no answer. The call has not run, but the worker may have
// done the work.
func (s *session) readFailed(reader scheduling.Candidate, err error) tryResult {
	s.excludeUnlessWithheld(reader, err)
	state := s.recordFailure(reader, err)
	counted := !workerconn.Unsent(err)
	return tryResult{verdict: notRun, worker: reader.ID, err: err, counted: counted, workerState: state}
}

// recordFailure records that a worker failed a request. If the worker had received the request,
// it returns whether the worker still accepts connections.
func (s *session) recordFailure(failed scheduling.Candidate, err error) workerconn.Liveness {
	if callerLeft(err) || endedHere(err) || workerconn.Withheld(err) {
		return ""
	}
	now := time.Now()
	if workerconn.Unsent(err) {
		s.recordUnsent(failed, err, now)
		return ""
	}
	s.registry.Unreached(failed.ID, now)
	state := s.crashDetector.inspect(failed)
	switch {
	case state == workerconn.Unheard, state == workerconn.UnreachedByAll:
		// This node's link may have failed. If other nodes don't reach the worker either, the crash
		// detector learns of it later.
	case state == workerconn.Alive && s.pool.LinkLost(failed.ID):
		s.registry.Reached(failed.ID)
	default:
		s.registry.Failed(failed.ID, now)
	}
	return state
}

// recordUnsent records that a worker couldn't be sent anything. The other nodes are told only if some
// of them have confirmed it.
func (s *session) recordUnsent(failed scheduling.Candidate, err error, now time.Time) {
	if errors.Is(err, workerconn.ErrFull) {
		return // that says nothing of the worker
	}
	if workerconn.Unreached(err) {
		s.unreached++
	}
	if workerconn.OwnLink(err) {
		s.unconfirmed++
		s.registry.Unreached(failed.ID, now)
		return
	}
	s.registry.Failed(failed.ID, now)
}

// excludeUnlessPausing excludes a worker that rejected the call, unless the worker said when it
// takes requests again: it may get the call then.
func (s *session) excludeUnlessPausing(rejecting scheduling.Candidate) {
	if !s.registry.IsBackingOff(rejecting.ID) {
		s.excluded[rejecting.ID] = true
	}
}

func (s *session) readRejected(reader scheduling.Candidate, reply Reply) tryResult {
	s.excludeUnlessPausing(reader)
	s.attempts++
	if !reply.NotExecuted || reply.Misdirected {
		s.registry.Failed(reader.ID, time.Now())
	} else {
		s.registry.Rejected(reader.ID, time.Now())
	}
	return tryResult{verdict: notRun, worker: reader.ID, err: errNotExecuted, counted: true}
}

// release frees a handle that no engine will fetch.
func (s *session) release(handle Handle, reader scheduling.Candidate) {
	limit := s.connectionLimit(s.call)
	s.turns.CountTurn(reader.ID) // sent despite the rate limit: memory kept for nobody weighs more
	go func() {
		time.Sleep(min(s.registry.NoticeState(reader.ID).BackoffRemaining(time.Now()), maxReleaseDelay))
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		answer, err := s.pool.Do(ctx, reader.ID, handle.Address, limit, s.wire.Release(handle))
		if err == nil {
			_ = workerconn.Discard(answer, maxReadAnswer)
		}
	}()
}

// run sends the call to the worker that is to answer it, and passes the answer on.
func (s *session) run(ctx context.Context, runner scheduling.Candidate, prompt promptOrigin) tryResult {
	s.attempts++
	from := prompt.from
	forward := Forward{ResumeAfter: s.resumeAfter, FetchFrom: prompt.fetch}
	if from != nil {
		forward.Source = &from.handle
	}
	runner.Software = s.registry.Software(runner.ID)
	work := newWork(s, runner, prompt)
	defer work.end()
	if work.refusal == nil {
		work.refusal = s.softwareRefusal(runner)
	}
	again := s.chargeAgain()
	answer, reply, err := s.sendAdmitted(ctx, runner, work.refusal, forward)
	if err != nil {
		if workerconn.Unsent(err) {
			s.refund(again)
		}
		switch {
		case from == nil:
		case workerconn.Withheld(err):
			s.keptPrompt = from
		default:
			s.release(from.handle, from.reader)
		}
		return s.sendFailed(runner, err)
	}
	defer func() { _ = answer.Body.Close() }()
	if reply.HasLoad {
		s.registry.ObserveReportedLoad(runner.ID, reply.Running, reply.Waiting, time.Now())
	}
	if reply.NotExecuted || reply.Misdirected {
		s.refund(again)
		_ = workerconn.Discard(answer, maxReadAnswer)
		return s.rejected(runner, reply, from)
	}
	if from != nil {
		s.registry.HandleFetched(from.reader.ID, runner.ID, time.Now())
	}
	if !s.call.Route.Streams() || answer.Status >= http.StatusInternalServerError {
		s.countBegun(time.Now()) // its run has already ended
	}
	return s.pass(runner, answer, work)
}

// chargeAgain charges for another run of a call that may have run already. It does so before
// the worker gets the call, because the answer may take as long as the quota's window.
func (s *session) chargeAgain() quota.Charge {
	if !s.mayHaveRunBefore || s.call.Charge.None() {
		return quota.Charge{}
	}
	s.repeated(s.call.Charge)
	return s.call.Charge
}

// refund refunds the charge for a run that provably did not happen.
func (s *session) refund(charge quota.Charge) {
	if !charge.None() {
		s.returned(charge)
	}
}

// excludeUnlessWithheld excludes a worker that failed the call, unless the request was never
// sent. If the worker accepts nothing now, plans leave it out for as long as that lasts. If it
// couldn't be reached, it is tried once more where no other worker is left.
func (s *session) excludeUnlessWithheld(failed scheduling.Candidate, err error) {
	switch {
	case workerconn.Withheld(err):
	case workerconn.Unsent(err) && !s.failed[failed.ID]:
		s.failed[failed.ID] = true
	default:
		s.excluded[failed.ID] = true
	}
}

func (s *session) sendFailed(runner scheduling.Candidate, err error) tryResult {
	s.excludeUnlessWithheld(runner, err)
	state := s.recordFailure(runner, err)
	if workerconn.Unsent(err) {
		s.attempts-- // no worker was sent anything
		return tryResult{verdict: notRun, worker: runner.ID, err: err, counted: false}
	}
	s.mayHaveRunBefore = true
	if !s.call.Route.Streams() && !callerLeft(err) && !endedHere(err) {
		// A worker that accepts a request and breaks off without an answer has usually run it:
		// most of the time only the answer is lost.
		s.countBegun(time.Now())
	}
	return tryResult{verdict: mayHaveRun, worker: runner.ID, err: err, counted: true, workerState: state}
}

// rejected ends a try that the worker provably did not run.
func (s *session) rejected(runner scheduling.Candidate, reply Reply, from *prefilledPrompt) tryResult {
	err := errNotExecuted
	switch {
	case reply.Misdirected:
		err = errMisdirected
		s.excluded[runner.ID] = true
		s.registry.Failed(runner.ID, time.Now())
	case from != nil && s.registry.IsBackingOff(runner.ID):
		s.keptPrompt = from // the engine has no room, whichever engine prefilled the prompt
		s.registry.Rejected(runner.ID, time.Now())
	case from != nil:
		err = errNoHandle
		s.registry.HandleFailed(from.reader.ID, runner.ID, time.Now())
	default:
		s.excludeUnlessPausing(runner)
		s.registry.Rejected(runner.ID, time.Now())
	}
	return tryResult{verdict: notRun, worker: runner.ID, err: err, counted: true}
}

// finishedWith is the end of a try whose complete answer was passed on.
func finishedWith(runner scheduling.Candidate, status int) tryResult {
	return tryResult{verdict: finished, code: result.OK, status: status, worker: runner.ID}
}
