package worker

import "time"

// PrefillQueue returns the time that a prefill engine takes for all prompts queued there, late
// ones included. It returns false if the engine may get no requests or counts as failing.
func (r *Registry) PrefillQueue(id string, now time.Time) (queue time.Duration, usable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, exists := r.workers[id]
	if !exists || known.worker.Stage != Prefill || !r.usable(known, now) || !r.isStaying(known, now) ||
		known.isAvoided(now) || known.handleBreaker.Open(now) {
		return 0, false
	}
	_, throughput := r.prefillModel(known)
	if throughput <= 0 {
		return 0, false
	}
	tokens := known.totalLoad(now, "").Unread.Total()
	milliseconds := r.hostFactor(known, now).Of(float64(tokens) / throughput)
	return time.Duration(milliseconds * float64(time.Millisecond)), true
}
