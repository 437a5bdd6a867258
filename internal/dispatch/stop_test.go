package dispatch

import (
	"testing"
	"time"
)

// TestSlowestAnswersAreForgotten guards against a route whose requests are refused in a stop for an answer that was
// slow long ago, and against one answer that is forgotten as soon as a faster one comes.
func TestSlowestAnswersAreForgotten(t *testing.T) {
	var times answerTimes
	start := time.Unix(1000, 0)
	if _, known := times.slowest("r", start); known {
		t.Error("a time is known before the first answer")
	}
	times.observe("r", 3*time.Second, start)
	times.observe("r", time.Second, start.Add(answerTimeWindow+time.Second))
	for _, step := range []struct {
		after time.Duration
		want  time.Duration
		known bool
	}{
		{answerTimeWindow + 2*time.Second, 3 * time.Second, true},
		{2*answerTimeWindow + 2*time.Second, time.Second, true},
		{4*answerTimeWindow + 2*time.Second, 0, false},
	} {
		got, known := times.slowest("r", start.Add(step.after))
		if got != step.want || known != step.known {
			t.Errorf("after %v: %v, %v; want %v, %v", step.after, got, known, step.want, step.known)
		}
	}
}
