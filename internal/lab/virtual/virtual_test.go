package virtual

import (
	"testing"
)

func TestSchedulesKeepAllGuarantees(t *testing.T) {
	for seed := range uint64(40) {
		if outcome := RunClaims(seed, NoGuard); outcome.Problem != "" {
			t.Fatal(outcome)
		}
	}
}

// TestCheckersReportRemovedGuards shows that each check fails when the mechanism that it checks
// is left out.
func TestCheckersReportRemovedGuards(t *testing.T) {
	for _, guard := range []Guard{GuardPromise, GuardClaim} {
		reported := false
		for seed := uint64(0); seed < 50 && !reported; seed++ {
			reported = RunClaims(seed, guard).Problem != ""
		}
		if !reported {
			t.Errorf("no violation found in 50 schedules without guard %q", guard)
		}
	}
}

func TestScheduleIsAFunctionOfItsSeed(t *testing.T) {
	first, second := RunClaims(7, NoGuard), RunClaims(7, NoGuard)
	if first.Claims != second.Claims || first.Granted != second.Granted {
		t.Errorf("first %+v, second %+v", first, second)
	}
}
