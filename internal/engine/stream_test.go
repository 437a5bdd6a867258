package engine

import (
	"testing"
)

func classify(t *testing.T, reader *StreamReader, event string) EventDisposition {
	t.Helper()
	disposition, err := reader.Classify([]byte(event))
	if err != nil {
		t.Fatalf("Classify(%q): %v", event, err)
	}
	return disposition
}

func TestStreamReaderDropsRepeatedAndForeignEvents(t *testing.T) {
	reader := NewStreamReader("aa", 1)
	steps := []struct {
		event string
		want  EventDisposition
	}{
		{"id: aa/1\ndata: x", EventAccepted},
		{"id: aa/1\ndata: x", EventRepeated},
		{"id: bb/2\ndata: other request", EventForeign},
		{"id: aa/3\ndata: y", EventGap},
		{": end tokens=2 prompt=9 cached=0", EventGap},
		{"id: aa/2\ndata: y", EventAccepted},
		{": end tokens=2 prompt=9 cached=0", EventEnd},
	}
	for _, step := range steps {
		if got := classify(t, reader, step.event); got != step.want {
			t.Errorf("%q: disposition %d, want %d", step.event, got, step.want)
		}
	}
	if !reader.Complete() {
		t.Error("stream with matching end mark is not complete")
	}
}

func TestStreamReaderRejectsMalformedNumbers(t *testing.T) {
	for _, event := range []string{"id: aa/x\ndata: y", "id: aa\ndata: y", ": end tokens=2", ": end tokens= prompt=1 cached=0", "id: aa/99999999999\ndata: z"} {
		if _, err := NewStreamReader("aa", 1).Classify([]byte(event)); err == nil {
			t.Errorf("%q was classified without an error", event)
		}
	}
}

func TestAppendedEventIsReadBack(t *testing.T) {
	event := AppendEvent(nil, "aa", 1, []byte(`{"a":1}`))
	reader := NewStreamReader("aa", 1)
	if got := classify(t, reader, string(event[:len(event)-2])); got != EventAccepted {
		t.Fatalf("disposition %d, want EventAccepted", got)
	}
	if got := string(EventData(event[:len(event)-2])); got != `{"a":1}` {
		t.Errorf("EventData returned %q, want {\"a\":1}", got)
	}
}
