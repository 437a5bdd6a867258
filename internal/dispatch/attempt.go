package dispatch

import (
	"context"
	"io"
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
	errNoRunner    = eris.New("no worker can run the prompt that was read")
	errNotExecuted = eris.New("the worker did not run the request")
	errMisdirected = eris.New("another worker has the address")
	errNoHandle    = eris.New("the prompt that was read could not be fetched")
	errFailed      = eris.New("the worker answered with a failure of its own")
)

const (
	// maxReadAnswer bounds the answer of a prompt that was read apart.
	maxReadAnswer = 16 << 10
	// releaseTimeout bounds the freeing of a handle.
	releaseTimeout = 500 * time.Millisecond
	// longestRelease bounds the wait for the end of the worker's pause before that; handles
	// lapse by themselves.
	longestRelease = 10 * time.Second
)

// source is a prompt that was read apart for this call.
type source struct {
	handle Handle
	reader scheduling.Candidate
}

// reading is how the worker that runs a call comes by its prompt.
type reading struct {
	// from is where the prompt was read apart, nil where the worker itself reads.
	from *source
	// unread counts the tokens that the worker reads.
	unread int
	// fetch is the address of a worker that keeps a part of the prompt.
	fetch string
}

// send sends the call to a worker, and returns its answer and what the head of that says.
func (s *session) send(ctx context.Context, to scheduling.Candidate, forward Forward) (*workerconn.Answer, Reply, error) {
	forward.WorkerID = to.ID
	forward.Remaining = s.remaining()
	// A late prompt that was read goes on in its turn: what is left is little, and its
	// memory is held at two engines until then.
	forward.Priority, forward.Late = s.call.Priority(), s.late && forward.ReadApart
	request := &workerconn.Request{
		Method: s.call.Method, Target: s.call.Target, Host: s.call.Host,
		Header: s.wire.ForwardHeader(s.call, forward), Body: s.call.Body,
		IDHeader: s.wire.IDHeader(), ID: s.call.ID,
	}
	sent := time.Now()
	answer, err := s.pool.Do(ctx, to.ID, to.Address, s.connectionLimit(s.call), request)
	s.usedTurn(to.ID, err)
	if err != nil {
		return nil, Reply{}, err
	}
	reply := s.wire.Reply(answer.Status, answer.Header)
	s.observeLimit(to.ID, answer.Status, reply, sent)
	return answer, reply, nil
}

// readApart lets a worker read the prompt. It returns no handle where that failed;
// such a call has not run.
func (s *session) readApart(ctx context.Context, plan scheduling.Plan) (*Handle, tryEnd) {
	reader := plan.Reader
	unread := plan.Unread
	load := worker.Load{Requests: 1, Unread: worker.UnreadTokensOf(s.rank(), unread), MemoryTokens: s.call.PromptTokens}
	s.registry.Begin(reader.ID, load)
	defer s.registry.End(reader.ID, load)
	running := s.endings.begin(reader.ID, s.call.Fingerprint, s.suspected())
	defer s.endings.end(reader.ID, running)
	begun := time.Now()
	answer, reply, err := s.send(ctx, reader, Forward{ReadApart: true, FetchFrom: plan.Fetch})
	if err != nil {
		return nil, s.readFailed(reader, err)
	}
	defer func() { _ = answer.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(answer.Body, maxReadAnswer))
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
	s.readTaken = true
	s.observeReading(reader, unread, plan.Fetch, now.Sub(begun))
	s.registry.ObserveCached(reader.ID, s.call.Prompt, now)
	s.registry.Succeeded(reader.ID, now)
	return &handle, tryEnd{}
}

// observeReading records the time that a worker took to read what it lacked of the
// prompt, fetching a part of it where fetch says from where.
// Late prompts teach nothing: others that came after them were read first.
func (s *session) observeReading(reader scheduling.Candidate, unread int, fetch string, elapsed time.Duration) {
	if s.late {
		return
	}
	elapsed -= wayTo(reader)
	context := s.call.PromptTokens - unread
	reading := latency.Reading{Tokens: unread, Context: context, Ahead: reader.ReadAhead, Elapsed: elapsed}
	if fetch == "" {
		s.registry.ObserveReading(reader.ID, reading)
		return
	}
	if spec := s.call.Service.Engine; spec != nil {
		s.registry.ObserveFetch(reader.ID, reading, spec.MoveTime(context-reader.CachedTokens))
	}
}

// readFailed ends a reading that got no answer: the call has not run, but the
// worker may have read in vain.
func (s *session) readFailed(reader scheduling.Candidate, err error) tryEnd {
	s.excludeUnlessWithheld(reader, err)
	state := s.brokeOff(reader, err)
	counted := !workerconn.Unsent(err)
	return tryEnd{verdict: notRun, worker: reader.ID, err: err, counted: counted, workerState: state}
}

// brokeOff records that a worker failed a request. Where the worker had the request, it
// returns what a look at the worker shows.
func (s *session) brokeOff(failed scheduling.Candidate, err error) workerconn.Liveness {
	if gone(err) || late(err) || workerconn.Withheld(err) {
		return ""
	}
	s.registry.Failed(failed.ID, time.Now())
	if workerconn.Unsent(err) {
		return ""
	}
	return s.endings.inspect(failed)
}

// excludeUnlessPausing keeps the call from a worker that rejected it. One that named when it
// takes requests again may get the call then.
func (s *session) excludeUnlessPausing(rejecting scheduling.Candidate) {
	if !s.registry.IsBackingOff(rejecting.ID) {
		s.excluded[rejecting.ID] = true
	}
}

func (s *session) readRejected(reader scheduling.Candidate, reply Reply) tryEnd {
	s.excludeUnlessPausing(reader)
	s.attempts++
	if !reply.NotExecuted || reply.Misdirected {
		s.registry.Failed(reader.ID, time.Now())
	} else {
		s.registry.Rejected(reader.ID, time.Now())
	}
	return tryEnd{verdict: notRun, worker: reader.ID, err: errNotExecuted, counted: true}
}

// release frees a handle that nobody will take.
func (s *session) release(handle Handle, reader scheduling.Candidate) {
	limit := s.connectionLimit(s.call)
	s.turns.CountTurn(reader.ID) // sent all the same: what a worker keeps for nobody weighs more
	go func() {
		time.Sleep(min(s.registry.NoticeState(reader.ID).BackoffRemaining(time.Now()), longestRelease))
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		answer, err := s.pool.Do(ctx, reader.ID, handle.Address, limit, s.wire.Release(handle))
		if err == nil {
			_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, maxReadAnswer))
			_ = answer.Body.Close()
		}
	}()
}

// run sends the call to the worker that is to answer it.
func (s *session) run(ctx context.Context, runner scheduling.Candidate, prompt reading) tryEnd {
	s.attempts++
	from := prompt.from
	forward := Forward{ResumeAfter: s.resumeAfter, FetchFrom: prompt.fetch}
	if from != nil {
		forward.Source = &from.handle
	}
	work := newWork(s, runner, prompt)
	defer work.end()
	again := s.chargeAgain()
	answer, reply, err := s.send(ctx, runner, forward)
	if err != nil {
		if workerconn.Unsent(err) {
			s.giveBack(again)
		}
		switch {
		case from == nil:
		case workerconn.Withheld(err):
			s.kept = from
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
		s.giveBack(again)
		_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, maxReadAnswer))
		return s.rejected(runner, reply, from)
	}
	if from != nil {
		s.registry.HandleFetched(from.reader.ID, runner.ID, time.Now())
	}
	if !s.call.Route.Streams() || answer.Status >= http.StatusInternalServerError {
		s.countBegun(time.Now()) // its run has ended already
	}
	return s.pass(runner, answer, work)
}

// chargeAgain charges another run of a call that may have run already. It does so before a
// worker has the call: an answer may take as long as the quota's window.
func (s *session) chargeAgain() quota.Charge {
	if !s.ranBefore || s.call.Charge.None() {
		return quota.Charge{}
	}
	s.repeated(s.call.Charge)
	return s.call.Charge
}

// giveBack returns a charge of a run that proved not to have been.
func (s *session) giveBack(charge quota.Charge) {
	if !charge.None() {
		s.returned(charge)
	}
}

// excludeUnlessWithheld keeps the call from a worker that failed it. One that takes nothing now
// is left out of plans as long as that lasts.
func (s *session) excludeUnlessWithheld(failed scheduling.Candidate, err error) {
	if !workerconn.Withheld(err) {
		s.excluded[failed.ID] = true
	}
}

func (s *session) sendFailed(runner scheduling.Candidate, err error) tryEnd {
	s.excludeUnlessWithheld(runner, err)
	state := s.brokeOff(runner, err)
	if workerconn.Unsent(err) {
		s.attempts-- // no worker was sent anything
		return tryEnd{verdict: notRun, worker: runner.ID, err: err, counted: false}
	}
	s.ranBefore = true
	if !s.call.Route.Streams() && !gone(err) && !late(err) {
		// A worker that takes a request and breaks off without an answer has run it as a
		// rule: most such losses are of answers.
		s.countBegun(time.Now())
	}
	return tryEnd{verdict: mayHaveRun, worker: runner.ID, err: err, counted: true, workerState: state}
}

// rejected ends a try that the worker proved not to have run.
func (s *session) rejected(runner scheduling.Candidate, reply Reply, from *source) tryEnd {
	err := errNotExecuted
	switch {
	case reply.Misdirected:
		err = errMisdirected
		s.excluded[runner.ID] = true
		s.registry.Failed(runner.ID, time.Now())
	case from != nil && s.registry.IsBackingOff(runner.ID):
		s.kept = from // the engine has no room, whoever read the prompt
		s.registry.Rejected(runner.ID, time.Now())
	case from != nil:
		err = errNoHandle
		s.registry.HandleFailed(from.reader.ID, runner.ID, time.Now())
	default:
		s.excludeUnlessPausing(runner)
		s.registry.Rejected(runner.ID, time.Now())
	}
	return tryEnd{verdict: notRun, worker: runner.ID, err: err, counted: true}
}

// finishedWith is the end of a try whose answer was passed on whole.
func finishedWith(runner scheduling.Candidate, status int) tryEnd {
	return tryEnd{verdict: finished, code: result.OK, status: status, worker: runner.ID}
}
