package gateway

import (
	"context"
	"sync"

	"github.com/tinarch/tinarch/internal/result"
)

// recording stores the events of a stream, so that several callers can each read them from the
// start at their own pace. It implements sink.
type recording struct {
	mu      sync.Mutex
	content []byte
	ended   bool
	end     outcome
	changed chan struct{}
}

func newRecording() *recording { return &recording{changed: make(chan struct{})} }

func (r *recording) events(chunk []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.content = append(r.content, chunk...)
	r.notify()
	return nil
}

// restart implements sink. It is possible only while there is no content, since callers may
// have read any of it.
func (r *recording) restart() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.content) == 0
}

func (r *recording) finish(end outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended, r.end = true, end
	r.notify()
}

func (r *recording) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// snapshot returns the content from offset on, and a channel that is closed when there is more.
func (r *recording) snapshot(offset int) (more []byte, ended bool, end outcome, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.content[offset:], r.ended, r.end, r.changed
}

// play sends the recorded events to a sink from the start, and waits for more until the
// recording ends.
func (r *recording) play(ctx context.Context, target sink) outcome {
	offset := 0
	for {
		more, ended, end, changed := r.snapshot(offset)
		if len(more) > 0 {
			if err := target.events(more); err != nil {
				return outcome{err: result.New(result.CallerGone, "the caller left before the answer was whole")}
			}
			offset += len(more)
			continue
		}
		if ended {
			return end
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return outcome{err: result.New(result.CallerGone, "the caller left before the answer was whole")}
		}
	}
}
