package dispatch

import (
	"time"

	"github.com/tinarch/tinarch/internal/scheduling"
	"github.com/tinarch/tinarch/internal/worker"
)

// work is the load that a call places on the worker that runs it.
type work struct {
	session *session
	runner  scheduling.Candidate
	prompt  promptOrigin
	reading worker.Load
	running worker.Load
	begun   time.Time
	// refusal is why the worker must not get the call, nil if it may.
	refusal error
	// firstAt is when the first byte of the answer arrived, zero before.
	firstAt time.Time
	// endPrefill ends what other nodes are told of the prefill.
	endPrefill func()
	// runningRequest is the entry for this call in the crash detector.
	runningRequest *runningRequest
}

func newWork(session *session, runner scheduling.Candidate, prompt promptOrigin) *work {
	call := session.call
	w := &work{
		session: session, runner: runner, prompt: prompt,
		reading: worker.Load{Unread: worker.UnreadTokensOf(session.rank(), prompt.unread)},
		running: worker.Load{Requests: 1, MemoryTokens: call.PromptTokens + call.ExpectedOutput},
		begun:   time.Now(),
	}
	session.registry.Begin(runner.ID, w.reading)
	w.refusal = session.registry.BeginRequest(runner.ID, w.running)
	w.endPrefill = session.beginPrefill(runner.ID, prompt.unread, prompt.expected)
	w.runningRequest = session.crashDetector.begin(runner.ID, call, session.suspected())
	return w
}

// firstByte records the first byte of the answer: the prompt has been prefilled.
func (w *work) firstByte() {
	if !w.firstAt.IsZero() {
		return
	}
	w.firstAt = time.Now()
	w.runningRequest.answering.Store(true)
	w.session.countBegun(w.firstAt)
	w.session.observeFirstByte(w.firstAt)
	registry, call := w.session.registry, w.session.call
	registry.End(w.runner.ID, w.reading)
	elapsed := w.firstAt.Sub(w.begun)
	if call.PromptTokens == 0 {
		w.observeWork(elapsed)
	}
	if len(call.Prompt) == 0 {
		return
	}
	if w.prompt.from != nil {
		registry.ObserveHandover(w.runner.ID, elapsed-roundTrip(w.runner), call.PromptTokens, w.session.slowdownSince(w.runner))
	} else if w.session.resumeAfter == "" {
		w.session.observeReading(w.runner, w.prompt.unread, w.prompt.fetch, elapsed)
	}
	registry.ObserveCached(w.runner.ID, call.Prompt, w.firstAt)
	w.endPrefill()
}

func (w *work) end() {
	registry := w.session.registry
	w.endPrefill()
	if w.firstAt.IsZero() {
		registry.End(w.runner.ID, w.reading)
	} else if len(w.session.call.Prompt) > 0 {
		slowdown := w.session.slowdownSince(w.runner)
		registry.ObserveRun(w.runner.ID, time.Since(w.firstAt), w.session.call.ExpectedOutput, slowdown)
	}
	registry.End(w.runner.ID, w.running)
	w.session.crashDetector.end(w.runner.ID, w.runningRequest)
}

// observeWork records the time in which a worker answered an opaque request. It leaves out
// repeated requests, which may find an answer prepared, those that had to wait for a slot, and
// streams, whose first byte comes before the work is done.
func (w *work) observeWork(elapsed time.Duration) {
	s := w.session
	if s.attempts > 1 || w.runner.Requests >= w.runner.Slots || s.call.Route.Streams() {
		return
	}
	s.registry.ObserveWork(w.runner.ID, elapsed-roundTrip(w.runner), s.slowdownSince(w.runner))
}
