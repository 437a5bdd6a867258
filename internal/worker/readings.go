package worker

import "github.com/tinarch/tinarch/internal/latency"

// maxSharedReadings bounds the readings in one snapshot. Nodes send up to 40 snapshots a
// second, and a model is fitted to the last 64 readings.
const maxSharedReadings = 4

// WorkerReading is a measured prefill of a worker.
type WorkerReading struct {
	Worker  string
	Reading latency.Reading
}

// ShareReading queues a measured prefill of an uneven service for the other nodes. Since the
// host's slowdown is known, a reading at any engine tells the time of all, so that a node that
// measures few, or has just started, learns from those of the others. Only readings at engines
// that had nothing else to do are worth it: of others, only bounds of the time are known. Those
// of decode engines aren't: an idle one reads faster than it does between the steps of running
// requests, so that prompts would be read there too often.
func (r *Registry) ShareReading(id string, reading latency.Reading) {
	if reading.Slowdown <= 0 || reading.Ahead > 0 || reading.Elapsed <= 0 {
		return
	}
	r.update(id, func(*workerState) {
		if len(r.sharedReadings) < maxSharedReadings {
			r.sharedReadings = append(r.sharedReadings, WorkerReading{Worker: id, Reading: reading})
			r.touch(id)
		}
	})
}

// MergeReadings records the prefills that other nodes have measured. Those without the host's
// slowdown are ignored.
func (r *Registry) MergeReadings(shared []WorkerReading) {
	for _, measured := range shared {
		if measured.Reading.Slowdown <= 0 || measured.Reading.Elapsed <= 0 {
			continue
		}
		r.update(measured.Worker, func(known *workerState) {
			group := r.groupModel(known.worker)
			known.slowdown.Observe(measured.Reading, group)
			group.Observe(measured.Reading)
		})
	}
}
