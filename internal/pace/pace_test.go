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
		reader.Observe(10_000, 0, fixedCost+100*time.Millisecond)
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
	reader.Observe(minTokens-1, 0, time.Hour)
	if reader.Samples() != 0 {
		t.Error("a short reading was measured")
	}
	reader.Observe(minTokens, 0, 0)
	if got := reader.TokensPerMillisecond(); got > highest {
		t.Errorf("one measurement makes %v", got)
	}
}

// TestPromptsReadByTurns: a short prompt is read beside long ones that came before
// it; that tells nothing of a high pace.
func TestPromptsReadByTurns(t *testing.T) {
	const pace = 18
	var reader Reader
	reader.Observe(10_000, 0, fixedCost+10_000/pace*time.Millisecond)
	for range 40 {
		// Two prompts are read by turns: the short one takes twice its own time.
		reader.Observe(1500, 36_000, fixedCost+2*1500/pace*time.Millisecond)
	}
	if got := reader.TokensPerMillisecond(); got < pace*0.95 || got > pace*1.1 {
		t.Errorf("learned %v tokens a millisecond, want %d", got, pace)
	}
}

// TestSlowWorkerIsFoundUnderLoad: it needs longer than all that was placed there
// would take.
func TestSlowWorkerIsFoundUnderLoad(t *testing.T) {
	var reader Reader
	reader.Observe(10_000, 0, fixedCost+100*time.Millisecond)
	for range 40 {
		reader.Observe(2000, 8000, fixedCost+400*time.Millisecond)
	}
	if got := reader.TokensPerMillisecond(); got > 26 {
		t.Errorf("learned %v tokens a millisecond, want 25", got)
	}
}
