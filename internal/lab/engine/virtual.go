package engine

import (
	"time"

	"github.com/tinarch/tinarch/internal/engine"
	"github.com/tinarch/tinarch/internal/prefix"
)

// Virtual is an engine without clock and network, for simulations. It is the emulator's batch;
// the caller advances the time.
type Virtual struct {
	model  Model
	batch  *batch
	events []engine.CacheEvent
	next   uint64
}

// VirtualProgress is the result of an iteration for an attempt.
type VirtualProgress struct {
	Attempt engine.Identifier
	Written int
	Done    bool
}

// VirtualRequest is an attempt to be run by a Virtual.
type VirtualRequest struct {
	Attempt      engine.Identifier
	Priority     int32
	Chain        []prefix.Hash
	PromptTokens int
	OutputTokens int
}

// NewVirtual returns an idle engine.
func NewVirtual(model Model) *Virtual {
	v := &Virtual{model: model}
	v.batch = newBatch(model, func(kind engine.CacheEventType, block prefix.Hash) {
		v.next++
		v.events = append(v.events, engine.CacheEvent{Sequence: v.next, Type: kind, Block: block})
	})
	return v
}

// Accept adds an attempt.
func (v *Virtual) Accept(request VirtualRequest) {
	v.batch.add(&sequence{
		attempt: request.Attempt, priority: request.Priority, chain: request.Chain,
		promptTokens: max(request.PromptTokens, 1), outputTokens: request.OutputTokens,
	})
}

// Idle reports whether no attempt is waiting or running.
func (v *Virtual) Idle() bool { return v.batch.idle() }

// Begin plans an iteration and returns its duration.
func (v *Virtual) Begin() time.Duration { return v.batch.begin() }

// Finish completes the iteration that Begin planned.
func (v *Virtual) Finish() []VirtualProgress {
	report := v.batch.finish()
	progress := make([]VirtualProgress, len(report))
	for i, p := range report {
		progress[i] = VirtualProgress{Attempt: p.attempt, Written: p.generated, Done: p.done}
	}
	return progress
}

// CacheEvents returns the cache events since the last call.
func (v *Virtual) CacheEvents() []engine.CacheEvent {
	events := v.events
	v.events = nil
	return events
}

// Load returns the engine's load report.
func (v *Virtual) Load() engine.Load {
	mixedStep := v.model.iterationTime(v.model.ChunkTokens, 0)
	return engine.Load{
		Running:                len(v.batch.running),
		Waiting:                len(v.batch.waiting),
		PendingPromptTokens:    int64(v.batch.pendingPromptTokens()),
		MemoryUsedTokens:       int64(v.batch.reserved),
		MemoryTotalTokens:      int64(v.model.MemoryTokens),
		PrefillTokensPerSecond: float64(v.model.ChunkTokens) / mixedStep.Seconds(),
		DecodeStepMillis:       v.model.StepBase.Seconds() * 1000,
		MixedStepMillis:        mixedStep.Seconds() * 1000,
	}
}

// Running returns the number of accepted attempts that haven't finished.
func (v *Virtual) Running() int { return len(v.batch.running) + len(v.batch.waiting) }
