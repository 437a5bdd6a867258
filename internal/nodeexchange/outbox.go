package nodeexchange

import (
	"time"

	"github.com/tinarch/tinarch/internal/worker"
)

// maxParts bounds the prompt parts in one message. The rest waits for the next one.
const maxParts = 250

// maxStreams bounds the streams in one message, or the repeated ones among them: at some 20 bytes
// each, they leave room for the rest of the message.
const maxStreams = 100

// outbox holds what is still to be sent to other nodes. It doesn't read the clock: callers pass
// the time.
type outbox struct {
	// changed tells whether anything has changed since the last message.
	changed bool
	// pending are cache updates that were not sent yet. toRepeat are those that the next
	// periodic message sends a second time, since a datagram may be lost.
	pending, toRepeat []worker.CacheUpdate
	// streams and streamsToRepeat are the same for streams.
	streams, streamsToRepeat []worker.Stream
	// failures are sent only once, since the receivers would count a repeated one twice.
	failures []string
	// lastSent is when the last message was sent, and lastPeriodic when the last periodic one
	// was.
	lastSent, lastPeriodic time.Time
}

// add adds what has happened since the last snapshot.
func (o *outbox) add(snapshot worker.Snapshot) {
	o.pending = append(o.pending, snapshot.CacheUpdates...)
	o.failures = append(o.failures, snapshot.Failures...)
	o.streams = append(o.streams, snapshot.Streams...)
}

// due reports whether a message is to be sent now, and whether it is a periodic one.
func (o *outbox) due(now time.Time) (due, periodic bool) {
	if now.Sub(o.lastPeriodic) >= periodicInterval {
		return true, true
	}
	return o.hasPending() && now.Sub(o.lastSent) >= minSendInterval, false
}

// hasPending reports whether there is anything to send before the next periodic message.
func (o *outbox) hasPending() bool { return o.changed || len(o.pending)+len(o.streams) > 0 }

// untilDue returns the time until a message is due.
func (o *outbox) untilDue(now time.Time) time.Duration {
	wait := periodicInterval - now.Sub(o.lastPeriodic)
	if o.hasPending() {
		wait = min(wait, minSendInterval-now.Sub(o.lastSent))
	}
	return max(wait, 0)
}

// next returns the cache updates and failures for the message that is sent now.
func (o *outbox) next(now time.Time, periodic bool) (updates []worker.CacheUpdate, failures []string) {
	fresh := o.takePending()
	updates = fresh
	if periodic {
		updates = append(o.takeRepeated(), fresh...)
		o.lastPeriodic = now
	}
	o.toRepeat = append(o.toRepeat, fresh...)
	failures, o.failures = o.failures, nil
	o.changed, o.lastSent = false, now
	return updates, failures
}

// nextStreams returns the streams for the message that is sent now.
func (o *outbox) nextStreams(periodic bool) []worker.Stream {
	count := min(len(o.streams), maxStreams)
	fresh := o.streams[:count:count]
	o.streams = o.streams[count:]
	streams := fresh
	if periodic {
		count = min(len(o.streamsToRepeat), maxStreams)
		streams = append(o.streamsToRepeat[:count:count], fresh...)
		o.streamsToRepeat = o.streamsToRepeat[count:]
	}
	o.streamsToRepeat = append(o.streamsToRepeat, fresh...)
	return streams
}

// takePending removes cache updates from the pending ones until a message is full. takeRepeated
// does the same with those to be repeated.
func (o *outbox) takePending() (fresh []worker.CacheUpdate) {
	fresh, o.pending = splitBatch(o.pending)
	return fresh
}

func (o *outbox) takeRepeated() (repeated []worker.CacheUpdate) {
	repeated, o.toRepeat = splitBatch(o.toRepeat)
	return repeated
}

// splitBatch splits cache updates into those that fit in one message and the rest.
func splitBatch(updates []worker.CacheUpdate) (taken, left []worker.CacheUpdate) {
	parts, count := 0, 0
	for count < len(updates) {
		parts += len(updates[count].Parts)
		if parts > maxParts && count > 0 {
			break
		}
		count++
	}
	return updates[:count:count], updates[count:]
}
