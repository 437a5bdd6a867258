package dispatch

import (
	"errors"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

const streamText = "id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\n: note\n\nid:3\ndata: d\n\nid: 4\ndata: cut"

// TestEventCutterGivesWholeEvents checks that, however a stream is split into pieces, only
// complete events are returned and the last ID is theirs.
func TestEventCutterGivesWholeEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cutter, given, last := &eventCutter{}, "", "0"
		for text := streamText; text != ""; {
			size := rapid.IntRange(1, len(text)).Draw(t, "size")
			whole, _ := cutter.add([]byte(text[:size]))
			if len(whole) > 0 {
				given += string(whole)
				last = cutter.lastID(last)
			}
			text = text[size:]
		}
		const rest = "id: 4\ndata: cut"
		if given+rest != streamText || string(cutter.rest()) != rest || last != "3" {
			t.Fatalf("returned %q, rest %q, last ID %s", given, cutter.rest(), last)
		}
	})
}

func TestLastIDWithoutOne(t *testing.T) {
	cutter := &eventCutter{}
	_, _ = cutter.add([]byte("data: a\n\n"))
	if got := cutter.lastID("7"); got != "7" {
		t.Errorf("an event without an ID makes the last ID %q, want 7", got)
	}
}

// TestEventWithoutEndIsGivenUp guards against a worker whose event is kept until memory runs out.
func TestEventWithoutEndIsGivenUp(t *testing.T) {
	cutter, piece := &eventCutter{}, []byte("data: "+strings.Repeat("x", 1000))
	for range 2 * maxEventBytes / len(piece) {
		if _, err := cutter.add(piece); err != nil {
			if !errors.Is(err, errEventTooLong) || len(cutter.pending) > maxEventBytes {
				t.Errorf("%d bytes are kept: %v", len(cutter.pending), err)
			}
			return
		}
	}
	t.Errorf("%d bytes are kept of an event that doesn't end", len(cutter.pending))
}
