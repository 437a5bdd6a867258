package digest

import (
	"time"

	"github.com/tinarch/tinarch/internal/tablefeed"
	"github.com/tinarch/tinarch/internal/worker"
)

// maxParts bounds the parts of prompts that one message tells of; what is left over
// waits for the next.
const maxParts = 250

// outbox holds what the nodes of one scope are still to be told. It is pure: time is
// an argument.
type outbox struct {
	// pending are reads that were not told yet, and repeated those that the next
	// message tells once more, since a datagram may be lost.
	pending, repeated []worker.Read
	// failures are told once: telling them twice would count them twice.
	failures []string
	// version and changed are those that were told last.
	version uint64
	changed tablefeed.Version
	// sent is when the last message was due, and rested when the last one at rest.
	sent, rested time.Time
}

// collect adds what happened since the last snapshot.
func (o *outbox) collect(snapshot worker.Snapshot) {
	o.pending = append(o.pending, snapshot.Reads...)
	o.failures = append(o.failures, snapshot.Failures...)
}

// dueness tells whether a message is to be sent, and whether as one at rest.
func (o *outbox) dueness(now time.Time, every time.Duration, version uint64, changed tablefeed.Version) (due, atRest bool) {
	if now.Sub(o.rested) >= restEvery {
		return true, true
	}
	waits := version != o.version || changed != o.changed || len(o.pending) > 0 || len(o.repeated) > 0
	return waits && now.Sub(o.sent) >= every, false
}

// next returns the reads and failures of the message that is sent now.
func (o *outbox) next(now time.Time, atRest bool, version uint64, changed tablefeed.Version) (reads []worker.Read, failures []string) {
	fresh := o.takeFresh()
	reads = append(o.repeated, fresh...)
	o.repeated = fresh
	failures, o.failures = o.failures, nil
	o.version, o.changed, o.sent = version, changed, now
	if atRest {
		o.rested = now
	}
	return reads, failures
}

// takeFresh takes reads out of those pending until a message is full.
func (o *outbox) takeFresh() []worker.Read {
	parts, count := 0, 0
	for count < len(o.pending) {
		parts += len(o.pending[count].Parts)
		if parts > maxParts && count > 0 {
			break
		}
		count++
	}
	fresh := o.pending[:count:count]
	o.pending = o.pending[count:]
	return fresh
}
