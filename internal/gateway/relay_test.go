package gateway

import (
	"bytes"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/tinarch/tinarch/internal/engine"
)

// TestPartOfAStreamIsNotComplete: the end of an engine's connection is taken for the end of its stream.
func TestPartOfAStreamIsNotComplete(t *testing.T) {
	var stream []byte
	for number := 1; number <= 3; number++ {
		stream = engine.AppendEvent(stream, "attempt", number, []byte("{}"))
	}
	events := len(stream)
	stream = engine.AppendEnd(stream, engine.Usage{OutputTokens: 3, PromptTokens: 1})
	endMark := events + bytes.Index(stream[events:], eventEnd) + len(eventEnd)
	for size := range len(stream) + 1 {
		relay := newRelay(nil, engine.Ticket{Attempt: "attempt"}, &collector{}, NewMetrics(prometheus.NewRegistry()), nil)
		if err := relay.copy(bytes.NewReader(stream[:size])); err != nil {
			t.Fatal(err)
		}
		if relay.reader.Complete() != (size >= endMark) {
			t.Errorf("%d bytes: complete %v, the end mark ends at %d", size, relay.reader.Complete(), endMark)
		}
	}
}
