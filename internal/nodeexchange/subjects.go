package nodeexchange

import (
	"slices"

	"github.com/tinarch/tinarch/internal/worker"
)

// workersIn returns the workers that a snapshot has information about, including those that
// have no load left, in sorted order.
func workersIn(snapshot worker.Snapshot) []string {
	var subjects []string
	for id := range snapshot.Loads {
		subjects = append(subjects, id)
	}
	subjects = append(subjects, snapshot.Touched...)
	subjects = append(subjects, snapshot.Failures...)
	for _, read := range snapshot.CacheUpdates {
		subjects = append(subjects, read.Worker)
	}
	for _, stream := range snapshot.Streams {
		subjects = append(subjects, stream.Worker)
	}
	for _, prefill := range snapshot.Prefills {
		subjects = append(subjects, prefill.Worker)
	}
	for id := range snapshot.Limits {
		subjects = append(subjects, id)
	}
	subjects = append(subjects, snapshot.Draining...)
	for _, changing := range snapshot.Changing {
		subjects = append(subjects, changing.Worker)
	}
	slices.Sort(subjects)
	return slices.Compact(subjects)
}
