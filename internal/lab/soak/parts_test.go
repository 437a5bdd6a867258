package soak

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/tinarch/tinarch/internal/lab/fleetworker"
)

// TestFalseAnswersAreFound: each check of the answers to requests that crash workers can fail.
func TestFalseAnswersAreFound(t *testing.T) {
	for status, want := range map[int]int{http.StatusBadGateway: 0, http.StatusServiceUnavailable: 1, http.StatusOK: 1} {
		sent := &poison{}
		sent.add(observation{id: "a", status: status})
		got := sent.falseAnswers([]fleetworker.Run{{ID: "a", At: time.Now()}, {ID: "another"}})
		if len(got) != want {
			t.Errorf("status %d: %q", status, got)
		}
	}
}

// TestMemoryCheckerFinds a node that needs too much beyond the smallest one.
func TestMemoryCheckerFinds(t *testing.T) {
	for grown, want := range map[int64]int{memoryAllowed: 0, memoryAllowed + 1: 1} {
		used := memory{least: 10, most: map[string]int64{"small": 10, "grown": 10 + grown}}
		if got := used.violations(); len(got) != want {
			t.Errorf("%d bytes more: %q", grown, fmt.Sprint(got))
		}
	}
}
