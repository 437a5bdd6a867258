package engine

import (
	"sync"
	"time"

	"github.com/tinarch/tinarch/internal/engine"
	"github.com/tinarch/tinarch/internal/openai"
	"github.com/tinarch/tinarch/internal/prefix"
)

// stream is the answer to an attempt. Its text is computed from the seed, so any part of it can
// be sent again.
type stream struct {
	attempt  engine.Identifier
	endpoint openai.Endpoint
	model    string
	seed     uint64
	created  int64
	sequence *sequence
	kvSeed   string

	mu         sync.Mutex
	generated  int
	done       bool
	aborted    bool
	broken     bool
	changed    chan struct{}
	finishedAt time.Time
}

func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) advance(generated int, done bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.generated = generated
	s.done = done
	s.notify()
}

func (s *stream) abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.done {
		return
	}
	s.aborted = true
	s.notify()
}

func (s *stream) finished() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.done || s.aborted
}

// snapshot returns the stream's state and a channel that is closed when it changes.
func (s *stream) snapshot() (generated int, done, aborted bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.generated, s.done, s.aborted, s.changed
}

// breakOnce returns true at the first call only.
func (s *stream) breakOnce() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := !s.broken
	s.broken = true
	return first
}

func (s *stream) usage() engine.Usage {
	return engine.Usage{
		OutputTokens: s.sequence.outputTokens,
		PromptTokens: s.sequence.promptTokens,
		CachedTokens: s.sequence.cachedTokens,
	}
}

func (s *stream) export(incarnation engine.Identifier, bytesPerToken uint64) engine.KVExport {
	return engine.KVExport{
		Incarnation: incarnation,
		Seed:        s.kvSeed,
		Blocks:      s.sequence.chain,
		SizeBytes:   uint64(len(s.sequence.chain)*prefix.BlockTokens) * bytesPerToken,
	}
}
