package nodeexchange

import (
	"time"

	"github.com/tinarch/tinarch/internal/worker"
)

// maxParts bounds the parts of prompts that one message tells of; what is left over
// waits for the next.
const maxParts = 250

// outbox holds what the other nodes are still to be told. It is pure: time is an
// argument.
type outbox struct {
	// changed tells that something has changed since the last message.
	changed bool
	// pending are reads that were not told yet, and toRepeat those that the next
	// message at rest tells once more, since a datagram may be lost.
	pending, toRepeat []worker.CacheUpdate
	// failures are told once: telling them twice would count them twice.
	failures []string
	// lastSent is when the last message was due, and lastPeriodic when the last one at rest.
	lastSent, lastPeriodic time.Time
}

// add adds what happened since the last snapshot.
func (o *outbox) add(snapshot worker.Snapshot) {
	o.pending = append(o.pending, snapshot.CacheUpdates...)
	o.failures = append(o.failures, snapshot.Failures...)
}

// due tells whether a message is to be sent, and whether as one at rest.
func (o *outbox) due(now time.Time) (due, atRest bool) {
	if now.Sub(o.lastPeriodic) >= periodicInterval {
		return true, true
	}
	return o.hasPending() && now.Sub(o.lastSent) >= minSendInterval, false
}

// hasPending reports whether there is anything to tell.
func (o *outbox) hasPending() bool { return o.changed || len(o.pending) > 0 }

// untilDue is the time until a message is due.
func (o *outbox) untilDue(now time.Time) time.Duration {
	wait := periodicInterval - now.Sub(o.lastPeriodic)
	if o.hasPending() {
		wait = min(wait, minSendInterval-now.Sub(o.lastSent))
	}
	return max(wait, 0)
}

// next returns the reads and failures of the message that is sent now.
func (o *outbox) next(now time.Time, atRest bool) (reads []worker.CacheUpdate, failures []string) {
	fresh := o.takePending()
	reads = fresh
	if atRest {
		reads = append(o.takeRepeated(), fresh...)
		o.lastPeriodic = now
	}
	o.toRepeat = append(o.toRepeat, fresh...)
	failures, o.failures = o.failures, nil
	o.changed, o.lastSent = false, now
	return reads, failures
}

// takePending takes reads out of those pending until a message is full, and takeRepeated
// out of those told once.
func (o *outbox) takePending() (fresh []worker.CacheUpdate) {
	fresh, o.pending = splitBatch(o.pending)
	return fresh
}

func (o *outbox) takeRepeated() (repeated []worker.CacheUpdate) {
	repeated, o.toRepeat = splitBatch(o.toRepeat)
	return repeated
}

// splitBatch divides reads into as many as a message may tell of, and the rest.
func splitBatch(reads []worker.CacheUpdate) (taken, left []worker.CacheUpdate) {
	parts, count := 0, 0
	for count < len(reads) {
		parts += len(reads[count].Parts)
		if parts > maxParts && count > 0 {
			break
		}
		count++
	}
	return reads[:count:count], reads[count:]
}
