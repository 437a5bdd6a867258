package ingress

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/tinarch/tinarch/internal/result"
)

// zeros reads without end.
type zeros struct{}

func (zeros) Read(buffer []byte) (int, error) { return len(buffer), nil }

// TestBodiesWithoutEndAreRefused guards against callers who fill the memory of a node: without a
// limit in the configuration a body had none, and many bodies together had none.
func TestBodiesWithoutEndAreRefused(t *testing.T) {
	const room = 1 << 20
	memory := &bodyMemory{limit: room}
	read := func(length int64, body io.Reader) (*held, []byte, *result.Error) {
		request := httptest.NewRequest(http.MethodPost, "/", body)
		request.ContentLength = length
		reserved := &held{memory: memory}
		content, failure := readBody(httptest.NewRecorder(), request, 0, time.Now().Add(time.Minute), reserved)
		return reserved, content, failure
	}
	for name, length := range map[string]int64{"no length": -1, "a length that doesn't fit": 2 * room} {
		reserved, _, failure := read(length, zeros{})
		if failure == nil || failure.Code != result.QueueFull || failure.RetryAfterMillis <= 0 {
			t.Errorf("%s: %v, want it refused with a Retry-After", name, failure)
		}
		reserved.release()
	}
	first, content, failure := read(room-10, strings.NewReader(strings.Repeat("x", room-10)))
	if failure != nil || len(content) != room-10 {
		t.Fatalf("%d bytes, %v", len(content), failure)
	}
	if _, _, failure := read(20, strings.NewReader(strings.Repeat("x", 20))); failure == nil {
		t.Error("more than the limit is kept")
	}
	first.release()
	if _, _, failure := read(20, strings.NewReader(strings.Repeat("x", 20))); failure != nil {
		t.Errorf("after the first body was released: %v", failure)
	}
}
