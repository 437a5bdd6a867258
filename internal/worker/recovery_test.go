package worker

import (
	"testing"
	"time"

	"github.com/tinarch/tinarch/internal/topology"
)

func TestLoadIncreasesStepwiseAfterAPause(t *testing.T) {
	r := NewRegistry(topology.Map{})
	now := time.Now()
	r.ReplaceAt([]Worker{{ID: "w", Service: "s"}}, now)
	r.ObserveNotice("w", Notice{Backoff: time.Second}, now)
	r.Succeeded("w", now) // a request that started before the pause
	if wait, found := r.UsableIn("s", nil, now); !found || wait < time.Second || wait > 1100*time.Millisecond {
		t.Errorf("the worker accepts requests again in %v, want 1s plus at most a tenth", wait)
	}
	if len(r.Candidates("s", nil, 0, now.Add(time.Second-1))) != 0 {
		t.Error("a worker gets requests during its pause")
	}
	after := now.Add(1200 * time.Millisecond)
	for _, window := range []int{1, 2, 4, 8, 16} {
		for range window {
			if len(r.Candidates("s", nil, 0, after)) == 0 {
				t.Fatalf("the worker gets fewer than %d requests", window)
			}
			r.Begin("w", Load{Requests: 1})
		}
		if len(r.Candidates("s", nil, 0, after)) != 0 {
			t.Fatalf("the worker gets more than %d requests", window)
		}
		if wait, found := r.UsableIn("s", nil, after); !found || wait != recoveryRetryAfter {
			t.Errorf("a recovering worker accepts another request in %v, want %v", wait, recoveryRetryAfter)
		}
		r.End("w", Load{Requests: window})
		r.Succeeded("w", after)
	}
	r.Begin("w", Load{Requests: 1000})
	if len(r.Candidates("s", nil, 0, after)) == 0 {
		t.Error("a worker that has recovered gets no more requests")
	}
}
