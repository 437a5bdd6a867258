package ingress

import (
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/tinarch/tinarch/internal/httpguard"
	"github.com/tinarch/tinarch/internal/result"
)

// noRoomRetryAfter is the Retry-After of a request whose body this node has no memory for.
const noRoomRetryAfter = 300 * time.Millisecond

// errNoRoom means that the bodies of requests at this node take all memory that they may.
var errNoRoom = eris.New("the bodies of requests at this node take all the memory that they may")

// bodyMemory bounds the memory of all bodies at this node. It is safe for concurrent use.
type bodyMemory struct {
	limit int64
	used  atomic.Int64
}

// Reserve implements memory.
func (m *bodyMemory) Reserve(bytes int64) error {
	if m.used.Add(bytes) > m.limit {
		m.used.Add(-bytes)
		return errNoRoom
	}
	return nil
}

// Release implements memory.
func (m *bodyMemory) Release(bytes int64) { m.used.Add(-bytes) }

// memory is what bodies are kept in.
type memory interface {
	// Reserve fails if that much isn't left.
	Reserve(bytes int64) error
	Release(bytes int64)
}

// held is the memory that one request has reserved.
type held struct {
	memory memory
	bytes  int64
}

func (h *held) take(bytes int64) error {
	if h.memory.Reserve(bytes) != nil {
		return errNoRoom
	}
	h.bytes += bytes
	return nil
}

// release gives back what was reserved.
func (h *held) release() {
	h.memory.Release(h.bytes)
	h.bytes = 0
}

// readBody reads a body of limit bytes at most, zero for no limit, until a deadline. It reserves the
// memory for it in held.
func readBody(writer http.ResponseWriter, request *http.Request, limit int64, deadline time.Time, held *held) ([]byte, *result.Error) {
	if request.ContentLength == 0 {
		return nil, nil
	}
	if limit > 0 && request.ContentLength > limit {
		return nil, result.New(result.BodyTooLarge, "the body has %d bytes; the limit is %d", request.ContentLength, limit)
	}
	controller := http.NewResponseController(writer)
	if controller.SetReadDeadline(deadline) == nil {
		defer func() { _ = controller.SetReadDeadline(time.Time{}) }()
	}
	reader := request.Body
	if limit > 0 {
		reader = http.MaxBytesReader(writer, reader, limit)
	}
	body, err := httpguard.ReadAll(reader, request.ContentLength, held.take)
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, nil
	case errors.Is(err, errNoRoom):
		return nil, result.New(result.QueueFull, "%v", err).WithRetryAfter(noRoomRetryAfter)
	case errors.As(err, &tooLarge):
		return nil, result.New(result.BodyTooLarge, "the body is longer than the limit of %d bytes", limit)
	}
	return nil, result.New(result.CallerGone, "the body could not be read: %v", err)
}
