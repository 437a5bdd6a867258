package worker

import (
	"testing"
	"time"

	"github.com/tinarch/tinarch/internal/topology"
)

func listOf(ids ...string) []Worker {
	var workers []Worker
	for _, id := range ids {
		workers = append(workers, Worker{ID: id, Service: "s"})
	}
	return workers
}

func usableAt(r *Registry, id string, now time.Time) bool {
	for _, candidate := range r.Candidates("s", nil, 0, now) {
		if candidate.ID == id {
			return true
		}
	}
	return false
}

func TestWorkerThatLeftIsNotUsedAfterARestore(t *testing.T) {
	const doubt = 5 * time.Second
	r := NewRegistry(topology.Map{})
	now := time.Now()
	r.ReplaceAt(listOf("left", "b", "c"), now)
	r.ApplyAt(Change{Name: "left"}, now)
	now = now.Add(2 * lastResortFor)
	r.ReplaceRestored(listOf("left", "b", "c"), doubt, now)
	if usableAt(r, "left", now) || r.AdmitCall("left", false, now) == nil {
		t.Error("a worker that had left gets calls again after a restore")
	}
	if !usableAt(r, "b", now) {
		t.Error("a worker that was listed before the restore gets no calls")
	}
	if !usableAt(r, "left", now.Add(doubt)) {
		t.Error("a worker that stays listed is doubted for too long")
	}
	r.ApplyAt(Change{Name: "left", Worker: &listOf("left")[0]}, now)
	if !usableAt(r, "left", now) {
		t.Error("a worker that has written its entry again is doubted")
	}
}

func TestRestoreAfterAllEntriesDisappearedDoubtsNoWorker(t *testing.T) {
	r := NewRegistry(topology.Map{})
	now := time.Now()
	r.ReplaceAt(listOf("a", "b", "c"), now)
	r.ReplaceAt(nil, now)
	r.ReplaceRestored(listOf("a", "b", "c"), time.Minute, now)
	if !usableAt(r, "a", now) {
		t.Error("workers are doubted although all entries had disappeared")
	}
}
