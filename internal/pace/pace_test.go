package pace

import (
	"testing"
	"time"
)

func TestLearnsThePace(t *testing.T) {
	var reader Reader
	if reader.TokensPerMillisecond() != initialTokensPerMillisecond {
		t.Error("no pace is assumed before the first measurement")
	}
	for range 60 {
		reader.Observe(10_000, fixedCost+100*time.Millisecond)
	}
	if got := reader.TokensPerMillisecond(); got < 99 || got > 101 {
		t.Errorf("learned %v tokens a millisecond, want 100", got)
	}
	if got := reader.Time(20_000); got < fixedCost+195*time.Millisecond || got > fixedCost+205*time.Millisecond {
		t.Errorf("predicts %v", got)
	}
	if got := reader.Time(0); got != fixedCost {
		t.Errorf("predicts %v for nothing", got)
	}
}

func TestShortReadingsTellNothing(t *testing.T) {
	var reader Reader
	reader.Observe(minTokens-1, time.Hour)
	if reader.Samples() != 0 {
		t.Error("a short reading was measured")
	}
	reader.Observe(minTokens, 0)
	if got := reader.TokensPerMillisecond(); got > highest {
		t.Errorf("one measurement makes %v", got)
	}
}
