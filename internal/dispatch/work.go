package dispatch

import (
	"time"

	"github.com/tinarch/tinarch/internal/scheduling"
	"github.com/tinarch/tinarch/internal/worker"
)

// work is a call's load on the worker that runs it.
type work struct {
	registry *worker.Registry
	runner   scheduling.Candidate
	call     *Call
	prompt   reading
	reading  worker.Load
	running  worker.Load
	begun    time.Time
	read     bool
}

func newWork(registry *worker.Registry, runner scheduling.Candidate, prompt reading, call *Call) *work {
	w := &work{
		registry: registry, runner: runner, call: call, prompt: prompt,
		reading: worker.Load{Reads: worker.ReadsOf(call.Route.Priority, prompt.unread)},
		running: worker.Load{Requests: 1, MemoryTokens: call.PromptTokens + call.OutputTokens},
		begun:   time.Now(),
	}
	registry.Begin(runner.ID, w.reading)
	registry.Begin(runner.ID, w.running)
	return w
}

// firstByte records that the prompt was read.
func (w *work) firstByte() {
	if w.read {
		return
	}
	w.read = true
	w.registry.End(w.runner.ID, w.reading)
	if len(w.call.Prompt) == 0 {
		return
	}
	now := time.Now()
	if w.prompt.unread > 0 && w.prompt.fetch == "" {
		// A fetch would count as reading.
		w.registry.ObserveRead(w.runner.ID, w.prompt.unread, w.runner.ReadAhead, now.Sub(w.begun))
	}
	w.registry.Cached(w.runner.ID, w.call.Prompt, now)
}

func (w *work) end() {
	if !w.read {
		w.registry.End(w.runner.ID, w.reading)
	}
	w.registry.End(w.runner.ID, w.running)
}
