package serving

import (
	"testing"
	"time"
)

func TestLimitLogForgetsWorkersThatHaveEnded(t *testing.T) {
	l := &limitLog{logged: make(map[string]limitLogEntry)}
	begin := time.Unix(1000, 0)
	l.due("w", begin)
	l.due("w", begin)
	if _, due := l.due("other", begin.Add(limitLogEvery)); !due || len(l.logged) != 2 {
		t.Errorf("%d workers are remembered, want both: one has unlogged changes", len(l.logged))
	}
	if passedOver, due := l.due("w", begin.Add(2*limitLogEvery)); !due || passedOver != 1 {
		t.Errorf("%d changes were not logged, want 1", passedOver)
	}
	l.due("w", begin.Add(2*limitLogEvery))
	l.due("other", begin.Add(2*limitLogEvery+limitLogLife))
	if len(l.logged) != 1 {
		t.Errorf("%d workers are remembered, want 1", len(l.logged))
	}
}
