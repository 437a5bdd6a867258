package fleetworker

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// SetHostSlowdown sets the factor by which the worker's prefill takes longer than usual. Its
// answers state the factor from then on; zero means that they state none.
func (w *Worker) SetHostSlowdown(factor float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hostSlowdown = factor
}

// setLoadHeader sets the header that states the worker's load.
func (w *Worker) setLoadHeader(header http.Header, running int) {
	load := fmt.Sprintf("%d,0,%d", min(running, 1), w.options.Slots)
	if factor := w.slowdown(); factor > 0 {
		load += fmt.Sprintf(",%.0f", 100*factor)
	}
	header.Set("X-Server-Load", load)
}

func (w *Worker) slowdown() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hostSlowdown
}

// readPrompt takes the time that the prefill of a prompt takes, one prompt after the other, and
// caches its parts. It returns false if the caller leaves before.
func (w *Worker) readPrompt(ctx context.Context, prompt string) bool {
	if w.options.PrefillRate == 0 {
		return true
	}
	select {
	case w.reader <- struct{}{}:
		defer func() { <-w.reader }()
	case <-ctx.Done():
		w.recordCallerGone()
		return false
	}
	parts := promptParts(prompt)
	seconds := float64(w.unread(parts)) / w.options.PrefillRate * max(w.slowdown(), 1)
	select {
	case <-time.After(time.Duration(seconds * float64(time.Second))):
	case <-ctx.Done():
		w.recordCallerGone()
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, tokens := range parts {
		w.cached[id] = tokens
	}
	return true
}

// unread returns the number of tokens of a prompt that the worker hasn't cached.
func (w *Worker) unread(parts map[string]int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := 0
	for id, tokens := range parts {
		if w.cached[id] == 0 {
			count += tokens
		}
	}
	return count
}

// promptParts parses the parts of a prompt, "ID:TOKENS,…".
func promptParts(prompt string) map[string]int {
	parts := make(map[string]int)
	for _, field := range strings.Split(prompt, ",") {
		id, text, _ := strings.Cut(field, ":")
		if tokens, err := strconv.Atoi(text); err == nil {
			parts[id] = tokens
		}
	}
	return parts
}
