package dispatch

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// heldOverhead is what a held call costs in memory beside its body: goroutine, connection and
// header. It also bounds the number of held calls.
const heldOverhead = 32 << 10

// heldCall is a call that waits for an engine.
type heldCall struct {
	rank  int
	since time.Time
	bytes int
	// dropped is closed when the call must make room for a more urgent one.
	dropped chan struct{}
}

// heldCalls bounds the memory of the calls that wait for engines at this node. It is safe for
// concurrent use.
type heldCalls struct {
	limit int

	mu    sync.Mutex
	calls map[*heldCall]struct{}
	bytes int
}

// add makes room for a call by dropping less urgent ones, of these the newest first. It returns
// nil if that isn't enough; then none is dropped.
func (h *heldCalls) add(rank, body int, now time.Time) *heldCall {
	added := &heldCall{rank: rank, since: now, bytes: body + heldOverhead, dropped: make(chan struct{})}
	h.mu.Lock()
	defer h.mu.Unlock()
	var dropped []*heldCall
	free := h.limit - h.bytes
	for free < added.bytes {
		last := h.last(rank, dropped)
		if last == nil {
			return nil
		}
		dropped = append(dropped, last)
		free += last.bytes
	}
	for _, call := range dropped {
		h.forget(call)
		close(call.dropped)
	}
	if h.calls == nil {
		h.calls = make(map[*heldCall]struct{})
	}
	h.calls[added] = struct{}{}
	h.bytes += added.bytes
	return added
}

// last returns the newest of the least urgent calls, nil if none is less urgent than the rank.
func (h *heldCalls) last(rank int, except []*heldCall) *heldCall {
	var last *heldCall
	for call := range h.calls {
		if call.rank <= rank || slices.Contains(except, call) {
			continue
		}
		if last == nil || cmp.Or(cmp.Compare(call.rank, last.rank), call.since.Compare(last.since)) > 0 {
			last = call
		}
	}
	return last
}

// remove removes a call that no longer waits.
func (h *heldCalls) remove(call *heldCall) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.forget(call)
}

func (h *heldCalls) forget(call *heldCall) {
	if _, held := h.calls[call]; held {
		delete(h.calls, call)
		h.bytes -= call.bytes
	}
}
