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
	// pending are reads that were not told yet, and repeated those that the next
	// message at rest tells once more, since a datagram may be lost.
	pending, repeated []worker.CacheUpdate
	// failures are told once: telling them twice would count them twice.
	failures []string
	// sent is when the last message was due, and rested when the last one at rest.
	sent, rested time.Time
}

// collect adds what happened since the last snapshot.
func (o *outbox) collect(snapshot worker.Snapshot) {
	o.pending = append(o.pending, snapshot.CacheUpdates...)
	o.failures = append(o.failures, snapshot.Failures...)
}

// dueness tells whether a message is to be sent, and whether as one at rest.
func (o *outbox) dueness(now time.Time) (due, atRest bool) {
	if now.Sub(o.rested) >= restEvery {
		return true, true
	}
	return o.waits() && now.Sub(o.sent) >= sendEvery, false
}

// waits reports whether there is anything to tell.
func (o *outbox) waits() bool { return o.changed || len(o.pending) > 0 }

// wait is the time until a message is due.
func (o *outbox) wait(now time.Time) time.Duration {
	wait := restEvery - now.Sub(o.rested)
	if o.waits() {
		wait = min(wait, sendEvery-now.Sub(o.sent))
	}
	return max(wait, 0)
}

// next returns the reads and failures of the message that is sent now.
func (o *outbox) next(now time.Time, atRest bool) (reads []worker.CacheUpdate, failures []string) {
	fresh := o.takeFresh()
	reads = fresh
	if atRest {
		reads = append(o.takeRepeated(), fresh...)
		o.rested = now
	}
	o.repeated = append(o.repeated, fresh...)
	failures, o.failures = o.failures, nil
	o.changed, o.sent = false, now
	return reads, failures
}

// takeFresh takes reads out of those pending until a message is full, and takeRepeated
// out of those told once.
func (o *outbox) takeFresh() (fresh []worker.CacheUpdate) {
	fresh, o.pending = cut(o.pending)
	return fresh
}

func (o *outbox) takeRepeated() (repeated []worker.CacheUpdate) {
	repeated, o.repeated = cut(o.repeated)
	return repeated
}

// cut divides reads into as many as a message may tell of, and the rest.
func cut(reads []worker.CacheUpdate) (taken, left []worker.CacheUpdate) {
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
